//! Tests of single components of a host process: routes, traffic split, gate, load balancing,
//! retry budget, state of the target, callers' connections, connection pool.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::BytesMut;
use futures_util::{FutureExt, future::join_all};
use hyper::{Request, Response};
use rilltrack::{
    coordination::{
        self,
        decision::{
            age::Ages,
            balance::{AttemptResult, Balancer, Choice, Criteria, Report},
            reach,
            retry_budget::{Retry, RetryBudget, Rule},
            split::Split,
        },
        flow::Flow,
        gate::{self, Arrival, Gate},
        host::Host,
        interface::{CallPeer, PeerRequest, Records, Store, Stream},
        local::{Change, Local},
        presence, rank, records, source, sync,
    },
    id::{Incarnation, Instance, Name},
    protocol::{
        announce::Heartbeat,
        answer::Outcome,
        dialect::Load,
        framing::Framing,
        hop,
        notice::Notice,
        update::{Members as MembersUpdate, Progress},
    },
    state::{
        member::{Member, Status, Table, Target},
        priority::Priority,
        region::Regions,
        routing::{self, Kind, Limits, Part, Route},
        selector::Labels,
    },
    transport::relay::{
        body::{self, Body, ReadResult},
        codec::{self, Decoded, Decoder},
        offer::{self, UploadAdmission},
        pool::{self, Failure, Pool},
        serve::{self, ClientKind, Handler, Phase, Server},
    },
    unit::{Rate, Size, Span},
};
use support::raw;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{Barrier, mpsc, watch},
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn route(text: &str, host: &str, prefix: &str, parts: &[(&str, u32)]) -> Route {
    let parts = parts.iter().map(|(service, weight)| Part {
        service: name(service),
        weight: *weight,
    });
    Route {
        name: name(text),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Span::from_millis(1000),
        objective: Span::from_millis(400),
        priority: 1,
        attempts: 2,
        parts: parts.collect(),
        is_anonymous: false,
        regions: None,
        unsupported: vec![],
    }
}

fn table(routes: Vec<Route>) -> Result<routing::Table, routing::Error> {
    routing::Table::new(
        3,
        routes,
        vec![name("a").into(), name("b").into()],
        Limits::default(),
    )
}

/// Returns the longest matching prefix by a linear search through all routes.
fn linear_find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let matches = routes
        .iter()
        .filter(|r| r.host == host && path.starts_with(&r.prefix));
    matches.max_by_key(|r| r.prefix.len())
}

fn member(node: &str, domain: &str, slots: u32) -> Member {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Member {
        node: node.parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: name(domain),
        peers: address,
        inbound: address,
        labels: Labels::new(),
        targets: vec![Target {
            service: name("a"),
            address,
            http2: false,
            draining: false,
            slots,
            instance: format!("i-{node}").into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}

fn members(list: &[(&str, &str)]) -> Table {
    let mut table = Table::default();
    for (node, domain) in list {
        table.merge(member(node, domain, 10));
    }
    table
}

/// Chooses a target of service `a` for a request of route `r` from the domain `here`.
fn choose(balancer: &mut Balancer, table: &Table, bytes: usize, now: Instant) -> Option<Choice> {
    let (route, service, domain) = (name("r"), name("a"), name("here"));
    let me = "me".parse().unwrap();
    let criteria = Criteria {
        node: &me,
        route: &route,
        service: &service,
        domain: &domain,
        regions: &Regions::default(),
        bytes,
        own_load: Load::default(),
    };
    balancer.choose(table, criteria, |_| true, now)
}

/// Checks that in each window of 10 s the retries are at least one, and at most a fifth of the
/// first sends plus 62.
fn assert_budget_in_every_window(first: &[u64], retries: &[u64]) {
    for end in (10_000..40_000).step_by(500) {
        let within = |at: &&u64| **at > end - 10_000 && **at <= end;
        let requests = first.iter().filter(within).count() as f64;
        let sent = retries.iter().filter(within).count() as f64;
        assert!(
            sent <= 0.2 * requests + 62.0,
            "{sent} retries of {requests} requests in the window that ends at {end} ms"
        );
        assert!(sent > 0.0);
    }
}

/// The state of a host process without its background tasks.
fn host(domain: &str) -> Host {
    let settings = format!(
        r#"{{"node": "me", "domain": "{domain}", "service": "a", "listen": {{
            "callers": "127.0.0.1:1", "inbound": "127.0.0.1:1", "peers": "127.0.0.1:1",
            "targets": "127.0.0.1:1", "ready": "127.0.0.1:1", "metrics": "127.0.0.1:1"}},
            "store": "127.0.0.1:1", "heartbeat": "1500ms", "grace": "6s",
            "resend": {{"ratio": 0.2, "slack": 62, "window": "10s"}}, "descriptors": 1024}}"#
    );
    support::host::starting(&settings)
}

/// A store that accepts every write, and the members written to it.
fn recording_store() -> (Store, mpsc::UnboundedReceiver<Member>) {
    let (sender, written) = mpsc::unbounded_channel();
    let store = Store {
        newest: Arc::new(|_| std::future::pending().boxed()),
        tail: Arc::new(|_, _, _| std::future::pending().boxed()),
        put: Arc::new(move |write| {
            let member: Member = rmp_serde::from_slice(&write.record).unwrap();
            assert_eq!(member.key(), write.key);
            sender.send(member).unwrap();
            async { Ok(0) }.boxed()
        }),
        contacts: Arc::new(|| async { Ok(Vec::new()) }.boxed()),
        put_contact: Arc::new(|_, _| async { Ok(()) }.boxed()),
        read_status: Arc::new(|_| std::future::pending().boxed()),
        write_status: Arc::new(|_, _| std::future::pending().boxed()),
    };
    (store, written)
}

/// Progress requests before the peers have a version: those of three rounds.
const REQUESTS_WITHOUT_VERSION: usize = 9;

/// Starts a node that ranks after `before` others. Those have a version only after
/// [`REQUESTS_WITHOUT_VERSION`] progress requests; the store has it from the start.
///
/// Returns the number of reads of the store and the version in force.
async fn first_version(before: usize) -> (usize, u64) {
    let mut host = host("here");
    let decoded = |_: &[u8]| Ok(table(vec![route("r", "h", "/", &[("a", 1)])]).unwrap());
    host.decoders.routes = Arc::new(decoded);
    let host = Arc::new(host);
    let member_with_wide_link = |i| Member {
        bandwidth: 1_000,
        ..member(&format!("n{i}"), "here", 10)
    };
    host.merge_members((0..before).map(member_with_wide_link).collect(), "store");
    host.streams.advance_offset(Stream::Members, 1);
    host.streams.note_membership_settled();
    let reads = Arc::new(AtomicUsize::new(0));
    let read_count = reads.clone();
    let store = Store {
        newest: Arc::new(move |_| {
            read_count.fetch_add(1, Ordering::SeqCst);
            let records = vec![Default::default()];
            async {
                Ok(Records {
                    records,
                    next: 1,
                    ..Records::default()
                })
            }
            .boxed()
        }),
        ..recording_store().0
    };
    let progress_requests = Arc::new(AtomicUsize::new(0));
    let ask: CallPeer = Arc::new(move |_, request| {
        let version = match request {
            PeerRequest::Progress
                if progress_requests.fetch_add(1, Ordering::SeqCst) >= REQUESTS_WITHOUT_VERSION =>
            {
                3
            }
            _ => 0,
        };
        let answer = match request {
            PeerRequest::Routes(_) => {
                let delta = table(vec![route("r", "h", "/", &[("a", 1)])])
                    .unwrap()
                    .delta_since(None);
                rmp_serde::to_vec(&delta).unwrap()
            }
            _ => rmp_serde::to_vec_named(&Progress {
                version,
                ..Progress::default()
            })
            .unwrap(),
        };
        async move { Ok(answer.into()) }.boxed()
    });
    tokio::spawn(source::follow(host.clone(), store, ask, Stream::Routes));
    while host.version() == 0 {
        tokio::task::yield_now().await;
    }
    (reads.load(Ordering::SeqCst), host.version())
}

/// Waits until the host has recorded a member as gone.
async fn until_gone(host: &Host, node: &str) {
    let node = node.parse().unwrap();
    let is_gone = || {
        let members = host.members.read();
        members
            .get(&node)
            .is_some_and(|member| member.status == Status::Gone)
    };
    while !is_gone() {
        tokio::task::yield_now().await;
    }
}

fn target(instance: &str, slots: u32) -> gate::Target {
    gate::Target {
        instance: instance.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots,
    }
}

/// A request that waits `max_wait` milliseconds at most and is due in 1 s.
fn arrival(priority: u8, max_wait: u64) -> Arrival {
    Arrival {
        priority: Priority::of_route(priority),
        max_wait: Duration::from_millis(max_wait),
        due: Instant::now() + Duration::from_secs(1),
        usual_run_time: None,
        may_redirect: false,
    }
}

/// A request that is due in `due` milliseconds; negative if it is late.
fn arrival_due(due: i64) -> Arrival {
    let span = Duration::from_millis(due.unsigned_abs());
    let now = Instant::now();
    Arrival {
        due: if due < 0 { now - span } else { now + span },
        ..arrival(1, LONG)
    }
}

/// A wait in milliseconds that is longer than any test, so that only the test ends it.
const LONG: u64 = 600_000;

fn heartbeat(instance: &str, sequence: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        instance: instance.into(),
        sequence,
        service: name("a"),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 4,
        draining,
        warmup: Span::from_millis(0),
        release: None,
    }
}

/// Serves `handler` on a free port until the test ends; returns the address and the phase.
async fn serve(
    client: ClientKind,
    limits: Limits,
    handler: Handler,
) -> (SocketAddr, watch::Sender<Phase>) {
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, seen) = watch::channel(Phase::Serving);
    let server = Server {
        client,
        handler,
        limits: Arc::new(move || limits),
        on_refused: Arc::new(|_| {}),
        phase: seen,
        max_connections: 100,
        connections: Arc::default(),
    };
    tokio::spawn(async move { server.run(listener).await.unwrap() });
    (address, phase)
}

/// Responds with the path and the body.
fn echo() -> Handler {
    Arc::new(|request: Request<Body>| {
        async move {
            let path = request.uri().path().to_owned();
            match body::read(request.into_body(), 1 << 20, Duration::from_secs(5)).await {
                Ok(ReadResult::Whole(bytes)) => {
                    Response::new(Body::whole([path.as_bytes(), b"=", &bytes].concat()))
                }
                Ok(ReadResult::Partial(..)) => Response::new(Body::whole("long")),
                Err(error) => Response::new(Body::whole(error.to_string())),
            }
        }
        .boxed()
    })
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

macro_rules! served {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)*
    };
}

cases! {
    longest_prefix_match_agrees_with_a_linear_search => {
        let mut rng = fastrand::Rng::with_seed(11);
        let segments = ["a/", "b/", "c/"];
        let path = |rng: &mut fastrand::Rng| {
            let depth = rng.usize(0..4);
            let chosen = (0..depth).map(|_| segments[rng.usize(..segments.len())]);
            format!("/{}", chosen.collect::<String>())
        };
        for _ in 0..200 {
            let mut routes: Vec<Route> = Vec::new();
            for i in 0..rng.usize(1..12) {
                let host = ["x", "y"][rng.usize(..2)];
                let prefix = path(&mut rng);
                if !routes.iter().any(|r| r.host == host && r.prefix == prefix) {
                    routes.push(route(&format!("r{i}"), host, &prefix, &[("a", 1)]));
                }
            }
            let built = table(routes.clone()).unwrap();
            for _ in 0..50 {
                let host = ["x", "y", "z"][rng.usize(..3)];
                let suffixes = ["", "7", "ab"];
                let request_path = format!("{}{}", path(&mut rng), suffixes[rng.usize(..3)]);
                let expected = linear_find(&routes, host, &request_path).map(|r| &r.name);
                assert_eq!(built.find(host, &request_path).map(|r| &r.name), expected, "{host} {request_path}");
            }
        }
    }

    table_with_one_bad_route_is_rejected => {
        let good = route("good", "x", "/g/", &[("a", 1)]);
        let bad = [
            route("r", "x", "/p/", &[("c", 1)]),
            route("r", "x", "/p", &[("a", 1)]),
            route("r", "x", "p/", &[("a", 1)]),
            route("r", "x", "/p/", &[("a", 0)]),
            route("r", "x", "/p/", &[]),
            route("r", "x", "/g/", &[("b", 1)]),
            Route { attempts: 0, ..route("r", "x", "/p/", &[("a", 1)]) },
            Route { timeout: Span::from_millis(0), ..route("r", "x", "/p/", &[("a", 1)]) },
        ];
        for bad in bad {
            table(vec![good.clone(), bad.clone()]).expect_err(&format!("{bad:?}"));
        }
    }

    delta_yields_the_same_table => {
        let mut rng = fastrand::Rng::with_seed(3);
        let mut previous: Option<routing::Table> = None;
        for version in 1..80 {
            let mut routes: Vec<Route> = Vec::new();
            for i in 0..rng.usize(1..9) {
                let mut r = route(&format!("r{i}"), "x", &format!("/{i}/"), &[("a", 1)]);
                r.priority = rng.u8(0..3);
                routes.push(r);
            }
            let whole = routing::Table::new(version, routes, vec![name("a").into()], Limits::default()).unwrap();
            let delta = whole.delta_since(previous.as_ref());
            let bytes = rmp_serde::to_vec(&delta).unwrap();
            let decoded = rmp_serde::from_slice(&bytes).unwrap();
            let updated = routing::Table::apply_delta(previous.as_ref(), decoded).unwrap();
            assert_eq!(updated.delta_since(None), whole.delta_since(None));
            // A delta from another version is rejected.
            let mismatched = routing::Delta { base: version + 7, ..delta };
            assert!(matches!(routing::Table::apply_delta(previous.as_ref(), mismatched), Err(routing::Error::Base { .. })));
            previous = Some(updated);
        }
    }

    ranking_skips_excluded_nodes_and_puts_wide_links_first => {
        let list: Vec<Arc<Member>> = (0..40)
            .map(|i| {
                let mut member = member(&format!("n{i}"), "here", 1);
                member.bandwidth = if i % 4 == 0 { 200 } else { 10 };
                Arc::new(member)
            })
            .collect();
        let predecessors = |of: &Member, excluded: &[&str]| {
            let ranked = list.iter().filter(|m| !excluded.contains(&m.node.as_str()));
            rank::predecessors(ranked, "reader", &of.node, of.bandwidth)
        };
        let first: Vec<_> = list.iter().filter(|m| predecessors(m, &[]).is_empty()).collect();
        let [first] = first[..] else { panic!("more or less than one node is first") };
        assert_eq!(first.bandwidth, 200);
        // The nearest predecessors are all different, so each node is checked by one other.
        let mut checked: Vec<String> =
            list.iter().filter_map(|m| Some(predecessors(m, &[]).first()?.node.to_string())).collect();
        checked.sort();
        checked.dedup();
        assert_eq!(checked.len(), list.len() - 1);
        // The predecessors of a node are the nearest one and its predecessors.
        for member in &list {
            let ranked = predecessors(member, &[]);
            if let Some((nearest, rest)) = ranked.split_first() {
                assert_eq!(predecessors(nearest, &[]), rest);
            }
        }
        // If the first node is excluded, exactly one other is first.
        let gone = first.node.as_str();
        let next = list.iter().filter(|m| m.node.as_str() != gone && predecessors(m, &[gone]).is_empty());
        assert_eq!(next.count(), 1);
    }

    hop_headers_round_trip => {
        let mut rng = fastrand::Rng::with_seed(21);
        let span = |rng: &mut fastrand::Rng| Span::from_millis(rng.u64(0..100_000));
        for i in 0..500 {
            let request = hop::Request {
                to: format!("n-{i}").parse().unwrap(),
                service: name(&format!("s{i}.x")),
                priority: Priority::of_route(rng.u8(..)),
                max_wait: span(&mut rng),
                due_in: span(&mut rng),
                deadline: span(&mut rng),
                usual_run_time: rng.bool().then(|| span(&mut rng)),
                usual_answer_size: rng.usize(..1 << 20),
                fault_permille: rng.u16(..=1000),
                is_repeat: rng.bool(),
            };
            assert_eq!(request.to_string().parse(), Ok(request.clone()));
            let reply = hop::Reply {
                outcome: [Outcome::Answered, Outcome::NotRun, Outcome::Unknown][rng.usize(..3)],
                has_arrived: rng.bool(),
                version: rng.u64(..),
                members_offset: rng.u64(..),
                load: Load { running: rng.u32(..), waiting: rng.u32(..), slots: rng.u32(..) },
                slowdown: format!("{:.2}", 0.2 + rng.f64()).parse().unwrap(),
                run_time: rng.bool().then(|| span(&mut rng)),
                retry_after: rng.bool().then(|| span(&mut rng)),
                reason: ["", "target is full", "a; b;; c"][rng.usize(..3)].into(),
            };
            assert_eq!(reply.to_string().parse(), Ok(reply.clone()));
            // A header that is truncated or has one byte changed does not parse or has another
            // value; parsing it does not panic.
            let text = request.to_string();
            let truncated = &text[..rng.usize(..text.len())];
            assert!(truncated.parse::<hop::Request>().is_ok_and(|other| other != request) || truncated.parse::<hop::Request>().is_err());
            let mut bytes = reply.to_string().into_bytes();
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(b' '..b'~');
            let _ = String::from_utf8(bytes).unwrap().parse::<hop::Reply>();
        }
        for bad in ["", ";;;;;;", "n;s;1;2;3;4", "n;s;-1;2;3;4;5", "N;s;1;2;3;4;5", "n;s;1;2;3;;5"] {
            assert!(bad.parse::<hop::Request>().is_err(), "{bad}");
        }
    }

    large_answer_that_cannot_be_sent_in_time_is_rejected => {
        // 90 KB take 53 ms over nine tenths of 15 Mbit/s.
        let outflow = Flow::new(15);
        let slack = Duration::from_millis(500);
        let mut reserved = Vec::new();
        while let Ok(reservation) = outflow.reserve(90_000, slack) {
            reserved.push(reservation);
        }
        assert_eq!(reserved.len(), 9);
        let excess = outflow.reserve(90_000, slack).unwrap_err();
        assert!(excess < Duration::from_millis(54), "{excess:?}");
        reserved.pop();
        assert!(outflow.reserve(90_000, slack).is_ok(), "one answer was sent");
        reserved.clear();
        let alone = outflow.reserve(90_000_000, slack);
        assert!(alone.is_ok(), "an answer that is alone is accepted");
        assert!((0..100).all(|_| Flow::new(0).reserve(90_000, Duration::ZERO).is_ok()));
    }

    request_age_is_the_time_its_caller_has_used => {
        let mut ages = Ages::default();
        let (route, other) = (name("r"), name("s"));
        let mut rng = fastrand::Rng::with_seed(2);
        let millis = Duration::from_millis;
        for i in 0..400 {
            // A third are first attempts; one in 20 callers has a longer deadline than the others.
            let left = match i % 20 {
                0 => 5000,
                i if i % 3 == 0 => 1200,
                _ => rng.u64(300..1200),
            };
            let age = ages.note(&route, millis(left));
            if i > 100 {
                assert_eq!(age, millis(1200).saturating_sub(millis(left)), "{i}");
            }
        }
        assert_eq!(ages.note(&other, millis(200)), Duration::ZERO, "each route has its own age");
        assert_eq!(ages.note(&route, millis(1199)), Duration::ZERO, "a rounding difference does not count as age");
        // When callers start with another deadline, it is learned within a few dozen requests.
        for _ in 0..80 {
            ages.note(&route, millis(600));
        }
        assert_eq!(ages.note(&route, millis(500)), millis(100));
    }

    split_follows_the_weights_in_every_window => {
        let route = route("r", "x", "/p/", &[("a", 90), ("b", 10)]);
        let mut split = Split::default();
        let chosen: Vec<Name> = (0..400).map(|_| split.next(&route)).collect();
        for window in chosen.windows(50) {
            let to_b = window.iter().filter(|service| service.as_str() == "b").count();
            assert!((4..=6).contains(&to_b), "{to_b} of 50");
        }
    }

    service_with_weight_zero_gets_no_requests => {
        let route = route("r", "x", "/p/", &[("a", 0), ("b", 1)]);
        let mut split = Split::default();
        assert!((0..50).all(|_| split.next(&route).as_str() == "b"));
    }

    retry_budget_bounds_the_fleet_in_every_window => {
        let rule = Rule { ratio: 0.2, slack: 62.0, window: Duration::from_secs(10) };
        let mut rng = fastrand::Rng::with_seed(5);
        let service = name("a");
        let begin = Instant::now();
        let nodes = 13;
        let mut fleet: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(rule)).collect();
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        for step in 0..40_000u64 {
            let now = begin + Duration::from_millis(step);
            // The traffic shifts from node to node.
            let busy = (step / 3000) as usize % nodes;
            let node = if rng.bool() { busy } else { rng.usize(..nodes) };
            fleet[node].note_first_send(&service, 0.0, now);
            first.push(step);
            if rng.f64() < 0.6 && fleet[node].spend(&service, Retry::NotRun, nodes, now) {
                retries.push(step);
            }
        }
        assert_budget_in_every_window(&first, &retries);
    }

    // After a calm period a service rejects most requests, so that the whole budget is spent
    // within seconds. The part for the calls of repeats must stay unspent.
    burst_after_a_calm_window_stays_within_the_retry_share => {
        let rule = Rule { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
        let service = name("a");
        let begin = Instant::now();
        let mut budget = RetryBudget::new(rule);
        let mut retries = Vec::new();
        for step in 0..3000u64 {
            let now = begin + Duration::from_millis(step * 10);
            budget.note_first_send(&service, 0.0, now);
            if step > 1200 && budget.spend(&service, Retry::NotRun, 1, now) {
                retries.push(step);
            }
        }
        // Each window has 1000 requests; a fifth may be retried, and seven tenths of that are used.
        for from in &retries {
            let within = retries.iter().filter(|at| (*from..from + 1000).contains(at)).count();
            assert!(within <= 140, "{within} retries within 10 s from step {from}");
        }
        assert!(retries.len() >= 200, "{} retries", retries.len());
    }

    calls_of_repeats_reduce_the_retry_budget => {
        let rule = Rule { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
        let service = name("a");
        let now = Instant::now();
        // Of 100 requests 20 may be repeated. The node itself retries 14, and fewer if some of
        // the 100 are calls of repeats.
        for (repeat_chance, left) in [(0.0, 14), (0.1, 4), (0.2, 0)] {
            let mut budget = RetryBudget::new(rule);
            (0..100).for_each(|_| budget.note_first_send(&service, repeat_chance, now));
            let spent = (0..100).filter(|_| budget.spend(&service, Retry::NotRun, 1, now));
            assert_eq!(spent.count(), left, "{repeat_chance}");
        }
    }

    no_repeat_runs_if_its_calls_would_exceed_the_retry_budget => {
        let rule = Rule { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
        let (called, other) = (name("a"), name("b"));
        let begin = Instant::now();
        let mut budget = RetryBudget::new(rule);
        assert!(budget.has_room_for_calls(1, begin));
        (0..100).for_each(|_| budget.note_first_send(&other, 0.0, begin));
        (0..90).for_each(|_| budget.note_first_send(&called, 0.0, begin));
        assert!(budget.has_room_for_calls(1, begin));
        // All of these are calls of repeats.
        (0..20).for_each(|_| budget.note_first_send(&called, 1.0, begin));
        assert!(!budget.has_room_for_calls(1, begin));
        // They no longer count once the window and the step in which they were sent have passed.
        let later = begin + Duration::from_millis(11_001);
        assert!(budget.has_room_for_calls(1, later));
    }

    retry_budget_includes_the_calls_of_repeats => {
        let rule = Rule { ratio: 0.2, slack: 62.0, window: Duration::from_secs(10) };
        let mut rng = fastrand::Rng::with_seed(9);
        let (parents, calls) = (name("a"), name("b"));
        let begin = Instant::now();
        let nodes = 13;
        let mut fleet: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(rule)).collect();
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        for step in 0..40_000u64 {
            let now = begin + Duration::from_millis(step);
            let budget = &mut fleet[rng.usize(0..nodes)];
            budget.note_first_send(&parents, 0.0, now);
            // Under overload only every third request is admitted by the gate of its target.
            if step / 10_000 % 2 == 1 && step % 3 != 0 {
                continue;
            }
            // Each admitted request makes two calls, and half of all requests fail at either service.
            budget.note_arrival(&parents, now);
            let repeats = rng.bool() && budget.spend(&parents, Retry::Repeated, nodes, now);
            for run in 0..1 + u32::from(repeats) {
                for _ in 0..2 {
                    fleet[rng.usize(0..nodes)].note_first_send(&calls, 0.0, now);
                    if run == 0 { first.push(step) } else { retries.push(step) }
                    if rng.bool() && fleet[rng.usize(0..nodes)].spend(&calls, Retry::NotRun, nodes, now) {
                        retries.push(step);
                    }
                }
            }
        }
        assert_budget_in_every_window(&first, &retries);
    }

    nearest_target_is_preferred_until_it_is_full => {
        let table = members(&[("n1", "here"), ("f1", "there"), ("f2", "there")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let mut chosen = Vec::new();
        for _ in 0..20 {
            let choice = choose(&mut balancer, &table, 0, now).unwrap();
            balancer.start(&choice.member, now);
            chosen.push(choice.member.node.to_string());
        }
        assert!(chosen[..5].iter().all(|node| node == "n1"), "{chosen:?}");
        for (node, least) in [("n1", 6), ("f1", 3), ("f2", 3)] {
            let count = chosen.iter().filter(|chosen| *chosen == node).count();
            assert!((least..=10).contains(&count), "{chosen:?}");
        }
    }

    faster_remote_target_gets_lookups_but_no_uploads => {
        let table = members(&[("n1", "here"), ("f1", "there")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        for _ in 0..100 {
            for (node, took) in [("n1", 150), ("f1", 100)] {
                let member = table.get(&node.parse().unwrap()).unwrap().clone();
                balancer.start(&member, now);
                let end = AttemptResult::Answered(Duration::from_millis(took));
                balancer.finish(&member, &name("r"), end, Report::default(), now);
            }
        }
        let lookup = choose(&mut balancer, &table, 100, now).unwrap();
        assert_eq!(lookup.member.node.as_str(), "f1");
        let upload = choose(&mut balancer, &table, 100 << 10, now).unwrap();
        assert_eq!(upload.member.node.as_str(), "n1");
    }

    large_answers_are_served_in_the_same_domain => {
        let table = members(&[("n1", "here"), ("n2", "there")]);
        let route = name("r");
        let now = Instant::now();
        let mut balancer = Balancer::default();
        let near = table.get(&"n1".parse().unwrap()).unwrap().clone();
        // Nine of ten slots are taken in the domain `here`, and none in `there`.
        for _ in 0..9 {
            balancer.start(&near, now);
        }
        let chosen_node = |balancer: &mut Balancer| choose(balancer, &table, 0, now).unwrap().member.node.to_string();
        balancer.record_answer_size(&route, 2_000);
        assert_eq!(chosen_node(&mut balancer), "n2");
        for _ in 0..40 {
            balancer.record_answer_size(&route, 90_000);
        }
        assert_eq!(chosen_node(&mut balancer), "n1");
    }

    large_answers_avoid_a_slow_network_path => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let route = name("r");
        let now = Instant::now();
        let mut balancer = Balancer::default();
        balancer.record_answer_size(&route, 90_000);
        // Both targets run the request equally fast, but the link of n2 is narrow.
        let run_time = Some(Duration::from_millis(50));
        for _ in 0..40 {
            for (node, took) in [("n1", 60), ("n2", 400)] {
                let member = table.get(&node.parse().unwrap()).unwrap().clone();
                balancer.start(&member, now);
                let end = AttemptResult::Answered(Duration::from_millis(took));
                let report = Report { run_time, slowdown: Some("1.00".parse().unwrap()), ..Report::default() };
                balancer.finish(&member, &route, end, report, now);
            }
        }
        for _ in 0..20 {
            assert_eq!(choose(&mut balancer, &table, 0, now).unwrap().member.node.as_str(), "n1");
        }
    }

    target_reported_slow_is_avoided_until_the_report_expires => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        for (node, slowdown) in [("n1", 3.0), ("n2", 0.8)] {
            let member = table.get(&node.parse().unwrap()).unwrap().clone();
            balancer.start(&member, now);
            let report = Report { slowdown: Some(slowdown.to_string().parse().unwrap()), ..Report::default() };
            // The time of this one request does not outweigh the report.
            balancer.finish(&member, &name("r"), AttemptResult::Answered(Duration::from_millis(100)), report, now);
        }
        let fast = table.get(&"n2".parse().unwrap()).unwrap().clone();
        // One more request at the fast target counts less than the slowdown of the other, and
        // more once that has expired.
        for (later, expected) in [(0, "n2"), (60, "n1")] {
            let at = now + Duration::from_secs(later);
            balancer.start(&fast, at);
            let chosen = choose(&mut balancer, &table, 0, at).unwrap();
            assert_eq!(chosen.member.node.as_str(), expected);
            balancer.finish(&fast, &name("r"), AttemptResult::Refused, Report::default(), at);
        }
    }

    slow_network_path_does_not_count_as_slowdown => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let run_time = Duration::from_millis(100);
        // The network path to n1 is slow, but its target is as fast as that of n2.
        for (node, took) in [("n1", 400), ("n2", 100)].repeat(50) {
            let member = table.get(&node.parse().unwrap()).unwrap().clone();
            balancer.start(&member, now);
            let report = Report { run_time: Some(run_time), ..Report::default() };
            balancer.finish(&member, &name("r"), AttemptResult::Answered(Duration::from_millis(took)), report, now);
        }
        assert_eq!(balancer.mean_run_time(&name("r")), Some(run_time));
        let chosen = (0..60).map(|_| choose(&mut balancer, &table, 0, now).unwrap().member.node.to_string());
        let to_n1 = chosen.filter(|node| node == "n1").count();
        assert!((10..50).contains(&to_n1), "{to_n1} of 60");
    }

    load_of_the_own_target_comes_from_its_gate => {
        let table = members(&[("me", "here"), ("n1", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let (me, route, service, domain) = ("me".parse().unwrap(), name("r"), name("a"), name("here"));
        for (running, expected) in [(0, "me"), (9, "n1")] {
            let own = Load { running, waiting: 0, slots: 10 };
            let criteria = Criteria { node: &me, route: &route, service: &service, domain: &domain, regions: &Regions::default(), bytes: 0, own_load: own };
            let other = table.get(&"n1".parse().unwrap()).unwrap().clone();
            for _ in 0..running / 3 {
                balancer.start(&other, now);
            }
            if running == 0 {
                balancer.start(&other, now);
            }
            let chosen = balancer.choose(&table, criteria, |_| true, now).unwrap();
            assert_eq!(chosen.member.node.as_str(), expected);
        }
    }

    other_region_is_the_last_resort => {
        let regions: Regions = serde_json::from_str(r#"{"here": "south", "near": "south", "far": "north"}"#).unwrap();
        let far: Vec<String> = (0..40).map(|i| format!("far{i}")).collect();
        let mut list = vec![("n1", "near")];
        list.extend(far.iter().map(|node| (node.as_str(), "far")));
        let table = members(&list);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let (me, route, service, domain) = ("me".parse().unwrap(), name("r"), name("a"), name("here"));
        let near = table.get(&"n1".parse().unwrap()).unwrap().clone();
        for (waiting, expected) in [(0, "near"), (12, "far")] {
            let load = Some(Load { running: 10 * u32::from(waiting > 0), waiting, slots: 10 });
            balancer.start(&near, now);
            let answered = AttemptResult::Answered(Duration::from_millis(100));
            balancer.finish(&near, &route, answered, Report { load, ..Report::default() }, now);
            for _ in 0..60 {
                let criteria = Criteria {
                    node: &me, route: &route, service: &service, domain: &domain, regions: &regions,
                    bytes: 0, own_load: Load::default(),
                };
                let choice = balancer.choose(&table, criteria, |_| true, now).unwrap();
                assert_eq!(choice.member.domain.as_str(), expected);
            }
        }
    }

    reported_load_is_used => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let full = Load { running: 10, waiting: 4, slots: 10 };
        let busy = table.get(&"n1".parse().unwrap()).unwrap().clone();
        balancer.start(&busy, now);
        balancer.finish(&busy, &name("r"), AttemptResult::Answered(Duration::from_millis(100)), Report { load: Some(full), ..Report::default() }, now);
        for _ in 0..20 {
            let choice = choose(&mut balancer, &table, 0, now).unwrap();
            assert_eq!(choice.member.node.as_str(), "n2");
        }
    }

    report_does_not_cover_requests_sent_after_it => {
        // A report is some 100 ms old when it arrives. If it reset the count of requests sent
        // since, the node would send the next ones to the same target.
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let [n1, n2] = ["n1", "n2"].map(|node| table.get(&node.parse().unwrap()).unwrap().clone());
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let after = |millis| now + Duration::from_millis(millis);
        let running = |running| Load { running, waiting: 0, slots: 10 };
        for at in [4, 5, 6] {
            balancer.start(&n1, after(at));
        }
        balancer.record_load(&n1, running(5), after(1), after(1));
        balancer.record_load(&n2, running(7), after(1), after(1));
        for _ in 0..20 {
            assert_eq!(choose(&mut balancer, &table, 0, after(8)).unwrap().member.node, n2.node);
        }
        // An older report changes nothing; a later one that covers the requests does.
        balancer.record_load(&n1, running(0), now, now);
        assert_eq!(choose(&mut balancer, &table, 0, after(8)).unwrap().member.node, n2.node);
        balancer.record_load(&n1, running(5), after(7), after(7));
        balancer.record_load(&n2, running(7), after(7), after(7));
        assert_eq!(choose(&mut balancer, &table, 0, after(8)).unwrap().member.node, n1.node);
    }

    reported_difference_decays => {
        // If the load of 300 ms ago counted in full, all nodes would send to the target that was
        // empty then.
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let [n1, n2] = ["n1", "n2"].map(|node| table.get(&node.parse().unwrap()).unwrap().clone());
        let mut balancer = Balancer::default();
        let now = Instant::now();
        balancer.record_load(&n1, Load { running: 0, waiting: 0, slots: 10 }, now, now);
        balancer.record_load(&n2, Load { running: 8, waiting: 0, slots: 10 }, now, now);
        let usage = |balancer: &mut Balancer, at| choose(balancer, &table, 0, at).unwrap().usage;
        assert!(usage(&mut balancer, now) < 0.11);
        // Half of the slots, with the new request: the mean of both.
        let later = usage(&mut balancer, now + Duration::from_millis(300));
        assert!((0.45..0.51).contains(&later), "{later}");
    }

    reported_difference_decays_with_run_times_and_not_with_transfer_times => {
        // A transfer takes many times as long as a run; slots turn over with the runs.
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let [n1, n2] = ["n1", "n2"].map(|node| table.get(&node.parse().unwrap()).unwrap().clone());
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let answered = AttemptResult::Answered(Duration::from_secs(5));
        let report = Report { run_time: Some(Duration::from_millis(100)), is_large: true, ..Report::default() };
        for node in [&n1, &n2] {
            balancer.start(node, now);
            balancer.finish(node, &name("r"), answered, report, now);
        }
        balancer.record_load(&n1, Load { running: 0, waiting: 0, slots: 10 }, now, now);
        balancer.record_load(&n2, Load { running: 8, waiting: 0, slots: 10 }, now, now);
        let later = choose(&mut balancer, &table, 60_000, now + Duration::from_millis(300)).unwrap().usage;
        assert!((0.45..0.51).contains(&later), "{later}");
    }

    report_of_a_new_incarnation_does_not_make_it_silent => {
        // If a new node counted as heard of at the time of a report of 600 ms ago, an outstanding
        // request to its predecessor would exclude it as silent.
        let n1 = member("n1", "here", 10);
        let next = Member { incarnation: Incarnation(2), ..n1.clone() };
        let me = "me".parse().unwrap();
        let (load, slowness) = (Load { running: 1, waiting: 0, slots: 10 }, "250".parse().unwrap());
        let start = Instant::now();
        let after = |millis| start + Duration::from_millis(millis);
        for is_load in [true, false] {
            let mut balancer = Balancer::default();
            balancer.start(&n1, start);
            match is_load {
                true => balancer.record_load(&next, load, start, after(600)),
                false => balancer.record_slowness(&next, slowness, start, after(600)),
            }
            assert!(!balancer.is_excluded(&next, &me, after(800)));
            assert!(balancer.is_excluded(&next, &me, after(1_301)), "it is silent by then");
        }
    }

    load_of_any_size_is_counted => {
        // The sum of both counts doesn't fit in 32 bits.
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let [n1, n2] = ["n1", "n2"].map(|node| table.get(&node.parse().unwrap()).unwrap().clone());
        let now = Instant::now();
        let load = Load { running: u32::MAX, waiting: 2, slots: 10 };
        for is_report in [false, true] {
            let mut balancer = Balancer::default();
            if is_report {
                balancer.record_load(&n1, load, now, now);
            } else {
                balancer.start(&n1, now);
                let report = Report { load: Some(load), ..Report::default() };
                balancer.finish(&n1, &name("r"), AttemptResult::Refused, report, now);
            }
            for _ in 0..20 {
                assert_eq!(choose(&mut balancer, &table, 0, now).unwrap().member.node, n2.node);
            }
        }
    }

    choice_counts_the_eligible_targets_apart_from_the_known_ones => {
        // A nested call that counts on targets which can't be asked waits too short a time at
        // the one that can.
        let mut table = members(&[("n1", "here"), ("n2", "here"), ("n4", "there")]);
        let mut draining = member("n3", "here", 10);
        draining.targets[0].draining = true;
        table.merge(draining);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        balancer.start(&member("n2", "here", 10), now);
        balancer.finish(&member("n2", "here", 10), &name("r"), AttemptResult::Leaving, Report::default(), now);
        let all = choose(&mut balancer, &table, 0, now).unwrap();
        assert_eq!((all.candidates, all.eligible), (4, 2));
        balancer.finish(&member("n4", "there", 10), &name("r"), AttemptResult::Leaving, Report::default(), now);
        let only = choose(&mut balancer, &table, 0, now).unwrap();
        assert_eq!((only.candidates, only.eligible), (4, 1));
    }

    leaving_target_is_excluded_briefly_and_a_replaced_one_for_longer => {
        let table = members(&[("n1", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let only = table.get(&"n1".parse().unwrap()).unwrap().clone();
        let is_chosen = |balancer: &mut Balancer, at| choose(balancer, &table, 0, at).is_some();
        let end = |balancer: &mut Balancer, end| {
            balancer.start(&only, now);
            balancer.finish(&only, &name("r"), end, Report::default(), now)
        };
        assert!(end(&mut balancer, AttemptResult::Leaving));
        assert!(!is_chosen(&mut balancer, now + Duration::from_millis(100)));
        assert!(is_chosen(&mut balancer, now + Duration::from_millis(300)));
        end(&mut balancer, AttemptResult::Refused);
        assert!(is_chosen(&mut balancer, now));
        assert!(end(&mut balancer, AttemptResult::Replaced));
        assert!(!is_chosen(&mut balancer, now + Duration::from_secs(10)));
    }

    unreachable_node_gets_no_requests_until_it_answers_a_probe => {
        let table = members(&[("n1", "here"), ("f1", "there")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let unreachable = table.get(&"n1".parse().unwrap()).unwrap().clone();
        balancer.start(&unreachable, now);
        assert!(balancer.finish(&unreachable, &name("r"), AttemptResult::Lost(reach::Failure::Silent), Report::default(), now));
        let at = |ms| now + Duration::from_millis(ms);
        for ms in [0, 300, 60_000] {
            let choice = choose(&mut balancer, &table, 0, at(ms)).unwrap();
            assert_eq!(choice.member.node.as_str(), "f1");
        }
        assert!(balancer.reachability.due_probes(&table, at(100)).is_empty());
        assert_eq!(balancer.reachability.next_probe(), Some(at(200)));
        assert_eq!(balancer.reachability.due_probes(&table, at(200)).len(), 1);
        // There is one probe at a time, and each without an answer delays the next.
        assert!(balancer.reachability.due_probes(&table, at(60_000)).is_empty());
        balancer.reachability.record_failure(&unreachable, reach::Failure::Silent, at(450));
        assert!(balancer.reachability.due_probes(&table, at(450 + 300)).is_empty());
        assert_eq!(balancer.reachability.due_probes(&table, at(450 + 500)).len(), 1);
        assert!(balancer.reachability.record_answer(&unreachable));
        assert_eq!(choose(&mut balancer, &table, 100 << 10, now).unwrap().member.node.as_str(), "n1");
        assert_eq!(balancer.reachability.next_probe(), None);
    }

    domain_is_excluded_after_consecutive_unreachable_nodes => {
        let remote: Vec<String> = (0..10).map(|i| format!("f{i}")).collect();
        let mut list = vec![("n1", "here")];
        list.extend(remote.iter().map(|node| (node.as_str(), "there")));
        let table = members(&list);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let at = |ms| now + Duration::from_millis(ms);
        let get = |node: &str| table.get(&node.parse().unwrap()).unwrap().clone();
        // A host that refuses connections shows that the network path to it works.
        for (node, failure) in [("f0", reach::Failure::Silent), ("f1", reach::Failure::Silent), ("f2", reach::Failure::Closed)] {
            balancer.reachability.record_failure(&get(node), failure, now);
        }
        assert!(!balancer.reachability.is_partitioned(&name("there")));
        for node in ["f3", "f4", "f5"] {
            balancer.reachability.record_failure(&get(node), reach::Failure::Silent, at(1000));
        }
        assert!(balancer.reachability.is_unreachable(&get("f9")), "f9 was not tried, but its domain is unreachable");
        for _ in 0..50 {
            let choice = choose(&mut balancer, &table, 0, at(1000)).unwrap();
            assert_eq!(choice.member.node.as_str(), "n1");
        }
        // One node is probed for the whole domain.
        let [probed] = &balancer.reachability.due_probes(&table, at(5000))[..] else { panic!("not one probe") };
        assert!(balancer.reachability.due_probes(&table, at(60_000)).is_empty());
        balancer.reachability.record_answer(probed);
        assert!(["f4", "f9"].iter().all(|node| !balancer.reachability.is_unreachable(&get(node))));
    }

    partitioned_node_still_uses_its_own_target => {
        let table = members(&[("me", "here"), ("n1", "here"), ("n2", "here"), ("n3", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        for node in ["n1", "n2", "n3"] {
            let member = table.get(&node.parse().unwrap()).unwrap().clone();
            balancer.reachability.record_failure(&member, reach::Failure::Silent, now);
        }
        assert!(balancer.reachability.is_partitioned(&name("here")));
        assert_eq!(choose(&mut balancer, &table, 0, now).unwrap().member.node.as_str(), "me");
    }

    late_answer_does_not_make_a_responsive_node_unreachable => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let late = now + Duration::from_secs(3);
        for (node, answered, is_unreachable) in [("n1", late, false), ("n2", now, true)] {
            let member = table.get(&node.parse().unwrap()).unwrap().clone();
            balancer.start(&member, now);
            balancer.start(&member, now);
            balancer.finish(&member, &name("r"), AttemptResult::Refused, Report::default(), answered);
            assert_eq!(balancer.finish(&member, &name("r"), AttemptResult::Late, Report::default(), late), is_unreachable);
            assert_eq!(balancer.reachability.is_unreachable(&member), is_unreachable);
        }
    }

    node_with_overdue_answers_gets_no_more_requests => {
        let table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let frozen = table.get(&"n1".parse().unwrap()).unwrap().clone();
        balancer.start(&frozen, now);
        let later = now + Duration::from_secs(1);
        for _ in 0..20 {
            let choice = choose(&mut balancer, &table, 0, later).unwrap();
            assert_eq!(choice.member.node.as_str(), "n2");
        }
    }

    draining_target_gets_no_requests => {
        let mut table = members(&[("n1", "here"), ("n2", "here")]);
        let mut leaving = member("n1", "here", 10);
        leaving.sequence = 2;
        leaving.targets[0].draining = true;
        table.merge(leaving);
        let mut balancer = Balancer::default();
        for _ in 0..20 {
            let choice =
                choose(&mut balancer, &table, 0, Instant::now()).unwrap();
            assert_eq!(choice.member.node.as_str(), "n2");
        }
    }

    target_that_stated_its_leave_gets_no_requests_even_if_its_node_forgets => {
        let mut table = members(&[("n1", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let answer = |is_leaving| Report {
            notice: Some(Notice { is_leaving, ..Notice::default() }),
            ..Report::default()
        };
        let ended = AttemptResult::Answered(Duration::from_millis(100));
        let first = member("n1", "here", 10);
        balancer.start(&first, now);
        balancer.start(&first, now);
        balancer.finish(&first, &name("r"), ended, answer(true), now);
        // This answer was sent before the other one.
        balancer.finish(&first, &name("r"), ended, answer(false), now);
        assert!(choose(&mut balancer, &table, 0, now).is_none());
        // Its node has started again and knows nothing of the leave.
        table.merge(Member { incarnation: Incarnation(2), ..member("n1", "here", 10) });
        assert!(choose(&mut balancer, &table, 0, now).is_none());
        // Another instance of the target has stated nothing.
        let mut restarted = Member { incarnation: Incarnation(2), sequence: 2, ..first };
        restarted.targets[0].instance = "i2".into();
        table.merge(restarted);
        assert!(choose(&mut balancer, &table, 0, now).is_some());
    }

    late_heartbeat_does_not_undo_a_drain => {
        let mut local = Local::new(Span::from_millis(1500));
        let now = Instant::now();
        local.restore(None, Instant::now());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 1, false), now), Change::Publish);
        assert!(local.open().is_some());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 3, true), now), Change::Publish);
        assert!(local.open().is_none());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 2, false), now), Change::Nothing);
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 4, false), now), Change::Nothing);
        assert!(local.open().is_none());
        // A new instance of the target opens the gate again; late heartbeats of the old one
        // then change nothing.
        assert_eq!(local.apply_heartbeat(&heartbeat("i2", 1, false), now), Change::Publish);
        assert!(local.open().is_some());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 5, false), now), Change::Nothing);
        assert_eq!(local.open().unwrap().instance, "i2".into());
    }

    drain_survives_a_restart_of_the_node => {
        let now = Instant::now();
        let mut written = member("n1", "here", 4);
        written.targets[0].instance = "i1".into();
        written.targets[0].draining = true;
        for heartbeat_first in [false, true] {
            let mut local = Local::new(Span::from_millis(1500));
            if heartbeat_first {
                local.apply_heartbeat(&heartbeat("i1", 7, false), now);
            }
            // The gate stays closed until the recorded state is restored.
            assert!(local.open().is_none());
            local.restore(Some(&written), now);
            local.apply_heartbeat(&heartbeat("i1", 8, false), now);
            assert!(local.open().is_none());
            local.apply_heartbeat(&heartbeat("i2", 1, false), now);
            assert!(local.open().is_some());
        }
    }

    late_heartbeat_of_a_crashed_instance_does_not_exclude_the_current_one => {
        let now = Instant::now();
        let mut written = member("n1", "here", 4);
        written.targets[0].instance = "i2".into();
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(Some(&written), now);
        // The node does not know i1, which crashed before i2 started.
        local.apply_heartbeat(&heartbeat("i1", 9, false), now);
        local.apply_heartbeat(&heartbeat("i2", 4, false), now);
        // Once i1 is marked unreachable, since i2 answers at its address or nothing does, i2 is
        // accepted again.
        assert!(local.mark_unreachable(&"i1".into()));
        assert_eq!(local.apply_heartbeat(&heartbeat("i2", 5, false), now), Change::Publish);
        assert_eq!(local.open().unwrap().instance, "i2".into());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1", 10, false), now), Change::Nothing);
        // An instance that left stays gone, whichever others send heartbeats.
        local.apply_heartbeat(&heartbeat("i2", 6, true), now);
        local.apply_heartbeat(&heartbeat("i3", 1, false), now);
        assert!(local.mark_unreachable(&"i3".into()));
        assert_eq!(local.apply_heartbeat(&heartbeat("i2", 7, false), now), Change::Nothing);
        assert!(local.open().is_none());
    }

    restarted_target_with_the_same_id_is_a_new_instance => {
        let now = Instant::now();
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(None, now);
        local.apply_heartbeat(&heartbeat("i1@100", 9, false), now);
        // The sequence numbers of the new instance start from the beginning.
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@200", 1, false), now), Change::Publish);
        assert_eq!(local.open().unwrap().instance, "i1@200".into());
        // Delayed heartbeats of the earlier instance change nothing, nor do its drain and its
        // leave call.
        for late in [heartbeat("i1@100", 10, false), heartbeat("i1@100", 11, true)] {
            assert_eq!(local.apply_heartbeat(&late, now), Change::Nothing);
            assert_eq!(local.open().unwrap().instance, "i1@200".into());
        }
        assert_eq!(local.leave(&"i1@100".into()), Change::Nothing);
        assert_eq!(local.open().unwrap().instance, "i1@200".into());
        // A heartbeat without a start time comes from another sender.
        for other in ["i1", "i2"] {
            assert_eq!(local.apply_heartbeat(&heartbeat(other, 50, true), now), Change::Nothing);
            assert_eq!(local.open().unwrap().instance, "i1@200".into());
        }
        // The drain of the instance holds, and does not apply to a third instance.
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@200", 2, true), now), Change::Publish);
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@200", 3, false), now), Change::Nothing);
        assert!(local.open().is_none() && local.is_leaving());
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@300", 1, false), now), Change::Publish);
        assert_eq!(local.open().unwrap().instance, "i1@300".into());
    }

    restarted_node_distinguishes_instances => {
        let now = Instant::now();
        let mut written = member("n1", "here", 4);
        written.targets[0].instance = "i1@200".into();
        for (draining, late_first) in [(false, false), (false, true), (true, false), (true, true)] {
            written.targets[0].draining = draining;
            let mut local = Local::new(Span::from_millis(1500));
            if late_first {
                local.apply_heartbeat(&heartbeat("i1@100", 9, !draining), now);
            }
            local.restore(Some(&written), now);
            local.apply_heartbeat(&heartbeat("i1@100", 9, !draining), now);
            assert_eq!(local.open().is_some(), !draining, "late first: {late_first}");
            assert_eq!(local.is_leaving(), draining);
            local.apply_heartbeat(&heartbeat("i1@300", 1, false), now);
            assert_eq!(local.open().unwrap().instance, "i1@300".into());
        }
    }

    target_whose_clock_was_set_back_is_not_excluded => {
        let now = Instant::now();
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(None, now);
        local.apply_heartbeat(&heartbeat("i1@9000", 1, false), now);
        // The target crashed, and the host's clock was set back before the target restarted.
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@4000", 1, false), now), Change::Nothing);
        assert!(local.check_missed_heartbeats(now + Duration::from_secs(7)));
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@4000", 5, false), now), Change::Publish);
        assert_eq!(local.open().unwrap().instance, "i1@4000".into());
        // If it was a late heartbeat after all, the next one of the running instance replaces it.
        assert_eq!(local.apply_heartbeat(&heartbeat("i1@9000", 2, false), now), Change::Publish);
        assert_eq!(local.open().unwrap().instance, "i1@9000".into());
    }

    failures_of_an_instance_do_not_count_against_the_next => {
        let mut table = members(&[("n1", "here"), ("n2", "here")]);
        let mut balancer = Balancer::default();
        let now = Instant::now();
        let old = table.get(&"n1".parse().unwrap()).unwrap().clone();
        for _ in 0..8 {
            balancer.start(&old, now);
            balancer.finish(&old, &name("r"), AttemptResult::Failed, Report::default(), now);
        }
        assert_eq!(choose(&mut balancer, &table, 0, now).unwrap().member.node.as_str(), "n2");
        let mut restarted = Member::clone(&old);
        restarted.sequence += 1;
        restarted.targets[0].instance = Instance::new(old.targets[0].instance.id(), Some(7));
        table.merge(restarted);
        let chosen: Vec<_> = (0..40)
            .map(|_| choose(&mut balancer, &table, 0, now).unwrap().member.node.to_string())
            .collect();
        assert!(chosen.iter().any(|node| node == "n1"), "{chosen:?}");
    }

    instances_round_trip_as_text => {
        let mut rng = fastrand::Rng::with_seed(4);
        for _ in 0..2_000 {
            let id: String = (0..rng.usize(..6)).map(|_| ['a', '7', '@', '-', 'é'][rng.usize(..5)]).collect();
            let started = rng.bool().then(|| rng.u64(..));
            let instance = Instance::new(&id, started);
            assert_eq!(Instance::from(instance.to_string()), instance, "{instance}");
        }
    }

    recorded_target_is_available_until_marked_unreachable => {
        let now = Instant::now();
        let mut written = member("n1", "here", 4);
        written.targets[0].instance = "i1".into();
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(Some(&written), now);
        assert_eq!(local.open().unwrap().instance, "i1".into());
        assert!(!local.mark_unreachable(&"i0".into()), "another instance than the current one");
        assert!(local.mark_unreachable(&"i1".into()));
        assert!(!local.mark_unreachable(&"i1".into()), "already marked unreachable");
        assert!(local.open().is_none());
        local.apply_heartbeat(&heartbeat("i1", 3, false), now);
        assert!(local.open().is_some());
        // Missed heartbeats close the gate as for any other instance.
        local.apply_heartbeat(&heartbeat("i2", 1, false), now);
        assert!(local.check_missed_heartbeats(now + Duration::from_secs(7)));
        assert!(local.open().is_none());
    }

    leave_without_a_drain_closes_the_gate => {
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(None, Instant::now());
        local.apply_heartbeat(&heartbeat("i1", 1, false), Instant::now());
        assert_eq!(local.leave(&"i0".into()), Change::Nothing);
        assert!(local.open().is_some());
        assert_eq!(local.leave(&"i1".into()), Change::Publish);
        assert!(local.open().is_none() && local.is_leaving());
    }

    target_that_left_before_its_first_heartbeat_stays_gone => {
        // After a restart of the node, the first message of its target is a leave, followed by
        // an older heartbeat.
        let now = Instant::now();
        let mut written = member("n1", "here", 4);
        written.targets[0].instance = "i1".into();
        for restored_first in [false, true] {
            let mut local = Local::new(Span::from_millis(1500));
            if restored_first {
                local.restore(Some(&written), now);
            }
            local.leave(&"i1".into());
            assert_eq!(local.is_restored(), restored_first);
            local.restore(Some(&written), now);
            local.apply_heartbeat(&heartbeat("i1", 9, false), now);
            assert!(local.open().is_none());
            assert!(local.announced()[0].draining);
        }
        // A leave without a start time, for an instance that was recorded with one.
        let mut local = Local::new(Span::from_millis(1500));
        written.targets[0].instance = "i1@100".into();
        local.leave(&"i1".into());
        local.restore(Some(&written), now);
        assert!(local.open().is_none() && local.announced()[0].draining);
        // A leave of an instance that was not recorded.
        let mut local = Local::new(Span::from_millis(1500));
        local.restore(None, Instant::now());
        local.leave(&"i1".into());
        local.apply_heartbeat(&heartbeat("i1", 9, false), now);
        assert!(local.open().is_none());
    }

    target_without_heartbeats_is_considered_gone => {
        let mut local = Local::new(Span::from_millis(1500));
        let now = Instant::now();
        local.restore(None, Instant::now());
        local.apply_heartbeat(&heartbeat("i1", 1, false), now);
        assert!(!local.check_missed_heartbeats(now + Duration::from_secs(5)));
        assert!(local.check_missed_heartbeats(now + Duration::from_secs(7)));
        assert!(local.open().is_none());
        local.apply_heartbeat(&heartbeat("i1", 2, false), now + Duration::from_secs(8));
        assert!(local.open().is_some());
    }

    ambiguous_body_framing_is_rejected => {
        let head = |text: &str| codec::head(&mut BytesMut::from(text), Size::from_bytes(1024)).map(|h| h.map(|h| h.framing));
        let post = |headers: &str| head(&format!("POST /a HTTP/1.1\r\nhost: x\r\n{headers}\r\n"));
        assert_eq!(post(""), Ok(Some(Framing::Length(0))));
        assert_eq!(post("content-length: 12\r\n"), Ok(Some(Framing::Length(12))));
        assert_eq!(post("transfer-encoding: Chunked\r\n"), Ok(Some(Framing::Chunked)));
        assert_eq!(head("GET /a HTTP/1.1\r\nhost"), Ok(None));
        for smuggled in [
            "content-length: 3\r\ntransfer-encoding: chunked\r\n",
            "content-length: 3\r\ncontent-length: 4\r\n",
            "content-length: 3\r\ncontent-length: 3\r\n",
            "content-length: +3\r\n",
            "content-length: 3,3\r\n",
            "content-length: \r\n",
            "transfer-encoding: gzip, chunked\r\n",
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding : chunked\r\n",
        ] {
            post(smuggled).expect_err(smuggled);
        }
        head("POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n").expect_err("1.0");
        head("\0\0\0\0\r\n\r\n").expect_err("arbitrary bytes");
    }

    chunked_body_is_independent_of_read_boundaries => {
        let bytes = b"5;x=y\r\nhello\r\n1\r\n!\r\n0\r\ntrailer: a\r\n\r\nGET";
        for step in 1..bytes.len() {
            let mut decoder = Decoder::new(Framing::Chunked);
            let mut received = BytesMut::new();
            let (mut whole, mut has_ended) = (Vec::new(), false);
            for part in bytes.chunks(step) {
                received.extend_from_slice(part);
                while !has_ended {
                    match decoder.next(&mut received).unwrap() {
                        Decoded::Data(data) => whole.extend_from_slice(&data),
                        Decoded::Incomplete => break,
                        Decoded::End => has_ended = true,
                    }
                }
            }
            assert!(has_ended && whole == b"hello!" && &received[..] == b"GET", "in parts of {step} bytes");
        }
        let mut decoder = Decoder::new(Framing::Chunked);
        let mut wrong = BytesMut::from(&b"2\r\nabc\r\n"[..]);
        decoder.next(&mut wrong).unwrap();
        decoder.next(&mut wrong).expect_err("a chunk longer than its size");
    }
}

served! {
    unusable_version_does_not_hide_an_older_one => {
        let mut host = host("here");
        host.decoders.routes = Arc::new(|record| match record {
            b"good" => Ok(table(vec![route("r", "h", "/", &[("a", 1)])]).unwrap()),
            _ => Err(rilltrack::protocol::Error::new("version", "torn")),
        });
        let host = Arc::new(host);
        host.streams.advance_offset(Stream::Members, 1);
        host.streams.note_membership_settled();
        let store = Store {
            newest: Arc::new(|_| {
                let records = ["good", "torn", "bad"].map(|text| text.into()).to_vec();
                async { Ok(Records { records, next: 3, ..Records::default() }) }.boxed()
            }),
            ..recording_store().0
        };
        let ask: CallPeer = Arc::new(|_, _| std::future::pending().boxed());
        tokio::spawn(source::follow(host.clone(), store, ask, Stream::Routes));
        while host.version() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(host.metrics().contains("rilltrack_unusable_total{what=\"version\"} 2"), "{}", host.metrics());
    }

    pipelined_requests_run_concurrently_and_are_answered_in_order => {
        // No request is answered before all three run, so the test hangs if they run one after
        // the other.
        let all_running = Arc::new(Barrier::new(3));
        let handler: Handler = Arc::new(move |request: Request<Body>| {
            let all_running = all_running.clone();
            async move {
                all_running.wait().await;
                Response::new(Body::whole(format!("[{}]", request.uri().path())))
            }
            .boxed()
        });
        let (address, _phase) = serve(ClientKind::Callers, Limits::default(), handler).await;
        let get = |path| {
            let last = if path == "c" { "connection: close\r\n" } else { "" };
            format!("GET /{path} HTTP/1.1\r\nhost: x\r\n{last}\r\n")
        };
        let answer = raw::exchange_until_closed(address, [get("a"), get("b"), get("c")].concat().as_bytes()).await;
        let bodies: Vec<&str> = answer.lines().filter(|l| l.starts_with('[')).collect();
        assert_eq!(bodies.len(), 3, "{answer}");
        let position = |text| answer.find(text).unwrap();
        assert!(position("[/a]") < position("[/b]") && position("[/b]") < position("[/c]"), "{answer}");
    }

    pipelined_requests_keep_their_bodies => {
        let (address, _phase) = serve(ClientKind::Callers, Limits::default(), echo()).await;
        let sent = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n\
                    POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nxyz\
                    POST /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nuv\r\n0\r\n\r\n\
                    GET /d HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = raw::exchange_until_closed(address, sent.as_bytes()).await;
        for part in ["/a=", "/b=xyz", "/c=uv", "/d="] {
            assert!(answer.contains(part), "{part} is missing in {answer}");
        }
        assert_eq!(answer.matches("connection: close").count(), 1, "{answer}");
    }

    unread_body_does_not_block_its_thread => {
        // The handler drops the body unread and responds only after another request was served
        // on the same single thread.
        let (release, released) = watch::channel(false);
        let release = Arc::new(release);
        let (dropped, was_dropped) = tokio::sync::mpsc::unbounded_channel();
        let handler: Handler = Arc::new(move |request: Request<Body>| {
            let (release, mut released, dropped) = (release.clone(), released.clone(), dropped.clone());
            async move {
                if request.method() == "GET" {
                    release.send_replace(true);
                } else {
                    drop(request);
                    dropped.send(()).unwrap();
                    drop(released.wait_for(|released| *released).await);
                }
                Response::new(Body::whole("done"))
            }
            .boxed()
        });
        let (sender, address) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let (address, _phase) = serve(ClientKind::Callers, Limits::default(), handler).await;
                sender.send(address).unwrap();
                std::future::pending::<()>().await;
            });
        });
        let address = address.recv().unwrap();
        let post = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc";
        let posted = tokio::spawn(async move { raw::exchange_until_closed(address, post.as_bytes()).await });
        let mut was_dropped = was_dropped;
        was_dropped.recv().await.unwrap();
        let get = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = raw::exchange_until_closed(address, get.as_bytes()).await;
        assert!(answer.ends_with("done"), "{answer}");
        let answer = posted.await.unwrap();
        assert!(answer.ends_with("done"), "{answer}");
    }

    invalid_request_gets_400_and_a_close => {
        let (address, _phase) = serve(ClientKind::Callers, Limits::default(), echo()).await;
        let answer = raw::exchange_until_closed(address, b"\x16\x03\x01 no http\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 400 ") && answer.contains("connection: close"), "{answer}");
    }

    head_beyond_the_limit_gets_431 => {
        let limits = Limits { head: Size::from_bytes(1024), ..Limits::default() };
        let (address, _phase) = serve(ClientKind::Callers, limits, echo()).await;
        let long = format!("GET / HTTP/1.1\r\nhost: x\r\na: {}", "b".repeat(4000));
        let answer = raw::exchange_until_closed(address, long.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    }

    head_that_never_ends_gets_408 => {
        let limits = Limits { head_timeout: Span::from_millis(50), ..Limits::default() };
        let (address, _phase) = serve(ClientKind::Callers, limits, echo()).await;
        let answer = raw::exchange_until_closed(address, b"GET / HTTP/1.1\r\nhost: x\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    }

    disconnect_of_a_caller_cancels_its_requests => {
        struct RunningGuard(Arc<AtomicUsize>);
        impl Drop for RunningGuard {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::SeqCst);
            }
        }
        let running = Arc::new(AtomicUsize::new(0));
        let count = running.clone();
        let handler: Handler = Arc::new(move |_| {
            count.fetch_add(1, Ordering::SeqCst);
            let guard = RunningGuard(count.clone());
            async move {
                let _guard = guard;
                std::future::pending().await
            }
            .boxed()
        });
        let (address, _phase) = serve(ClientKind::Callers, Limits::default(), handler).await;
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let twice = b"GET / HTTP/1.1\r\nhost: x\r\n\r\nGET / HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.writable().await.unwrap();
        assert_eq!(stream.try_write(twice).unwrap(), twice.len());
        let are_running = |count: usize| (running.load(Ordering::SeqCst) == count).then_some(());
        support::until("both requests run", || async { are_running(2) }).await;
        drop(stream);
        support::until("both requests are cancelled", || async { are_running(0) }).await;
    }

    closing_server_answers_accepted_requests => {
        let (release, released) = watch::channel(false);
        let handler: Handler = Arc::new(move |_| {
            let mut released = released.clone();
            async move {
                drop(released.wait_for(|released| *released).await);
                Response::new(Body::whole("done"))
            }
            .boxed()
        });
        let (address, phase) = serve(ClientKind::Callers, Limits::default(), handler).await;
        let response = tokio::spawn(async move {
            raw::exchange_until_closed(address, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await
        });
        support::until("the connection is open", || async {
            (phase.receiver_count() > 2).then_some(())
        })
        .await;
        phase.send_replace(Phase::Closing);
        release.send_replace(true);
        let answer = response.await.unwrap();
        // The request was answered in full, or the server closed before it accepted it.
        assert!(answer.is_empty() || answer.ends_with("done"), "{answer}");
    }

    large_answers_are_paced_to_the_link => {
        // 90 KB take 53 ms over nine tenths of 15 Mbit/s, and answers are handed over up to 50 ms
        // ahead of the link.
        let outflow = Flow::new(15);
        let since = Instant::now();
        outflow.wait_for_link(90_000).await;
        assert!(outflow.wait_for_link(90_000_000).now_or_never().is_none(), "the link is still busy");
        for _ in 0..9 {
            outflow.wait_for_link(90_000).await;
        }
        assert!(since.elapsed() >= Duration::from_millis(425), "{:?}", since.elapsed());
        // The cancelled answer, which would take about a minute, used nothing of the link.
        assert!(since.elapsed() < Duration::from_secs(60));
        // A wide link delays no answer, nor does one of unknown bandwidth.
        for wide in [Flow::new(100_000), Flow::new(0)] {
            assert!((0..100).all(|_| wide.wait_for_link(90_000).now_or_never().is_some()));
        }
    }

    gate_grants_each_slot_once_and_leaves_none_idle => {
        let gate = Gate::new();
        gate.set_target(target("i1", 2));
        let first = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let _second = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let third = gate.acquire(arrival(1, LONG));
        let mut third = Box::pin(third);
        assert!(third.as_mut().now_or_never().is_none());
        assert_eq!(gate.load(), Load { running: 2, waiting: 1, slots: 2 });
        drop(first);
        assert!(third.await.is_ok());
    }

    gate_admits_higher_priorities_first => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut low = Box::pin(gate.acquire(arrival(2, LONG)));
        let mut high = Box::pin(gate.acquire(arrival(0, LONG)));
        assert!(low.as_mut().now_or_never().is_none());
        assert!(high.as_mut().now_or_never().is_none());
        drop(permit);
        let high = high.await.ok().unwrap();
        assert!(low.as_mut().now_or_never().is_none());
        drop(high);
        assert!(low.await.is_ok());
    }

    gate_admits_the_earliest_due_time_first_at_equal_priority => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut request = Box::pin(gate.acquire(arrival(1, LONG)));
        let due_soon = Arrival { usual_run_time: Some(Duration::from_millis(10)), ..arrival_due(400) };
        let mut call = Box::pin(gate.acquire(due_soon));
        assert!(request.as_mut().now_or_never().is_none());
        assert!(call.as_mut().now_or_never().is_none());
        drop(permit);
        let call = call.await.ok().unwrap();
        assert!(request.as_mut().now_or_never().is_none());
        drop(call);
        assert!(request.await.is_ok());
    }

    gate_admits_late_requests_after_those_that_can_finish_in_time => {
        let gate = Gate::new();
        gate.set_target(target("i1", 4));
        let mut permits = Vec::new();
        for _ in 0..4 {
            permits.push(gate.acquire(arrival(1, LONG)).await.ok().unwrap());
        }
        let mut late = Box::pin(gate.acquire(arrival_due(-50)));
        assert!(late.as_mut().now_or_never().is_none(), "a late request waits for an unused slot");
        let mut fresh = Box::pin(gate.acquire(arrival_due(800)));
        assert!(fresh.as_mut().now_or_never().is_none());
        permits.pop();
        assert!(late.as_mut().now_or_never().is_none());
        permits.push(fresh.now_or_never().unwrap().ok().unwrap());
        permits.pop();
        assert!(late.now_or_never().unwrap().is_ok(), "no slot stays free");
    }

    gate_rejects_at_once_a_request_that_the_queue_makes_late => {
        let gate = Gate::new();
        gate.set_target(target("i1", 4));
        let mut permits = Vec::new();
        for _ in 0..4 {
            permits.push(gate.acquire(arrival(1, LONG)).await.ok().unwrap());
        }
        let mut fresh = Box::pin(gate.acquire(arrival_due(800)));
        assert!(fresh.as_mut().now_or_never().is_none());
        let refused = gate.acquire(arrival_due(100)).now_or_never();
        assert_eq!(refused.unwrap().err().unwrap().reason, gate::FULL, "the request can't finish within 100 ms");
    }

    closed_gate_rejects_waiting_requests_as_not_run => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let _permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut waiting = Box::pin(gate.acquire(arrival(1, LONG)));
        assert!(waiting.as_mut().now_or_never().is_none());
        gate.close();
        let refusal = waiting.await.err().unwrap();
        assert_eq!(refusal.outcome, Outcome::NotRun);
        assert_eq!(refusal.reason, gate::LEAVING);
        assert!(gate.acquire(arrival(0, LONG)).await.is_err());
    }

    slot_granted_to_a_cancelled_waiter_is_released => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut cancelled = Box::pin(gate.acquire(arrival(0, LONG)));
        assert!(cancelled.as_mut().now_or_never().is_none());
        // The slot is granted just before the request is cancelled.
        drop(permit);
        drop(cancelled);
        assert_eq!(gate.load().running, 0);
        assert!(gate.acquire(arrival(1, 0)).await.is_ok());
    }

    displaced_and_cancelled_waiter_releases_no_slot => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let _permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut waiting: Vec<_> = (0..2).map(|_| Box::pin(gate.acquire(arrival(2, LONG)))).collect();
        for waiter in &mut waiting {
            assert!(waiter.as_mut().now_or_never().is_none());
        }
        // A request of higher priority displaces the last waiter, which is cancelled at once.
        let mut first = Box::pin(gate.acquire(arrival(0, LONG)));
        assert!(first.as_mut().now_or_never().is_none());
        drop(waiting.pop());
        assert_eq!(gate.load().running, 1, "the slot is still held");
        assert!(first.now_or_never().is_none());
    }

    target_that_reaches_its_limit_leaves_no_request_waiting => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let mut waiting: Vec<_> = (0..2).map(|_| Box::pin(gate.acquire(arrival(1, LONG)))).collect();
        for waiter in &mut waiting {
            assert!(waiter.as_mut().now_or_never().is_none());
        }
        let none = Notice { limit: Some(Rate::default()), ..Notice::default() };
        assert!(gate.record_notice(&"i1".into(), none));
        // The target gets one request, and the other one is rejected although it may wait on.
        drop(permit);
        let mut ended = join_all(waiting).await.into_iter();
        assert!(ended.next().unwrap().is_ok());
        let refusal = ended.next().unwrap().err().unwrap();
        assert_eq!((refusal.outcome, refusal.reason.as_str()), (Outcome::NotRun, gate::AT_LIMIT));
        assert!(refusal.retry_after.is_some());
    }

    limit_lasts_while_the_instance_may_be_the_same => {
        let gate = Gate::new();
        let limit = Notice { limit: Rate::from_per_second(9.0), ..Notice::default() };
        gate.set_target(target("i1", 1));
        assert!(gate.record_notice(&"i1".into(), limit));
        // The target has been silent for a while, and its start time becomes known.
        gate.remove_target();
        gate.set_target(target("i1@7", 1));
        assert_eq!(gate.limit(), limit.limit);
        assert!(gate.record_notice(&"i1@7".into(), Notice::default()));
        assert_eq!(gate.limit(), None);
        assert!(gate.record_notice(&"i1@7".into(), limit));
        gate.set_target(target("i1@8", 1));
        assert_eq!(gate.limit(), None);
    }

    full_gate_rejects_at_once_a_request_that_would_wait_too_long => {
        let gate = Gate::new();
        gate.set_target(target("i1", 1));
        let _permit = gate.acquire(arrival(1, LONG)).await.ok().unwrap();
        let refusal = gate.acquire(arrival(1, 1)).await.err().unwrap();
        assert_eq!(refusal.reason, gate::FULL);
        assert!(refusal.retry_after.is_some());
        assert_eq!(gate.load().waiting, 0);
    }

    peer_that_lacks_one_member_is_not_sent_all => {
        let host = host("here");
        let list: Vec<_> = (0..300).map(|i| member(&format!("n{i}"), "here", 10)).collect();
        host.merge_members(list.clone(), "store");
        let mut peer_table = Table::default();
        for member in &list[1..] {
            peer_table.merge(member.clone());
        }
        let update_for = |marks: &[u32]| -> MembersUpdate<Member> {
            rmp_serde::from_slice(&sync::members(&host, marks)).unwrap()
        };
        let missing = update_for(peer_table.bucket_hashes());
        assert!(missing.members.contains(&list[0]));
        assert!(missing.members.len() < 20, "{} of 300", missing.members.len());
        assert!(update_for(host.members.read().bucket_hashes()).members.is_empty());
        assert_eq!(update_for(&[]).members.len(), 300, "a peer without members is sent all");
    }

    first_record_has_a_target_that_starts_a_little_after_its_node => {
        let mut host = host("here");
        host.settings.heartbeat = Span::from_millis(100);
        let host = Arc::new(host);
        host.streams.advance_offset(Stream::Members, 0);
        let (store, mut written_members) = recording_store();
        tokio::spawn(presence::maintain_record(host.clone(), store, watch::Sender::default()));
        // The target starts within 100 ms, and sends its first heartbeat an interval later.
        tokio::time::sleep(Duration::from_millis(200)).await;
        host.local.lock().apply_heartbeat(&heartbeat("i1", 1, false), Instant::now());
        host.own_record_changed.notify_one();
        assert_eq!(written_members.recv().await.unwrap().targets.len(), 1);
    }

    node_removes_a_former_member_at_its_own_address => {
        let host = Arc::new(host("here"));
        let elsewhere = Member { inbound: "127.0.0.1:2".parse().unwrap(), ..member("n2", "here", 10) };
        host.merge_members(vec![member("n1", "here", 10), elsewhere], "store");
        host.streams.advance_offset(Stream::Members, 1);
        let (store, mut written_members) = recording_store();
        // Writes the own record without waiting for a target.
        host.own_record_changed.notify_one();
        let written = watch::Sender::default();
        tokio::spawn(presence::maintain_record(host.clone(), store, written));
        assert_eq!(written_members.recv().await.unwrap().node.as_str(), "me");
        let removed = written_members.recv().await.unwrap();
        assert_eq!((removed.node.as_str(), removed.status), ("n1", Status::Gone));
        assert!(removed.targets == member("n1", "here", 10).targets, "the drain state of targets is kept");
        until_gone(&host, "n1").await;
        let members = host.members.read().clone();
        assert_eq!(members.get(&"n2".parse().unwrap()).unwrap().status, Status::Alive);
        assert_eq!(members.providers(&name("a")).len(), 1);

        // If the node itself is reported gone by mistake, it publishes that it is alive.
        let me = members.get(&"me".parse().unwrap()).unwrap();
        let gone = Member { status: Status::Gone, sequence: me.sequence + 1, ..me.as_ref().clone() };
        host.merge_member(gone.clone(), "reader");
        let republished = written_members.recv().await.unwrap();
        assert_eq!((republished.node.as_str(), republished.status), ("me", Status::Alive));
        assert!(republished.precedence() > gone.precedence());
    }

    // Guards against a target that gets requests after its acknowledged leave, if its node started
    // with an older record than the one in which it recorded the leave.
    drain_in_a_later_record_of_an_earlier_process_is_kept => {
        let host = Arc::new(host("here"));
        let me = |sequence, draining| {
            let mut me = Member { sequence, ..member("me", "here", 10) };
            me.targets[0].draining = draining;
            me
        };
        host.merge_member(me(2, false), "store");
        host.streams.advance_offset(Stream::Members, 1);
        let (store, _written_members) = recording_store();
        let (recorded, mut is_recorded) = watch::channel(presence::Recorded::default());
        tokio::spawn(presence::maintain_record(host.clone(), store, recorded));
        let is_draining = |recorded: &presence::Recorded| recorded.targets.as_ref().map(|t| t[0].draining);
        is_recorded.wait_for(|recorded| is_draining(recorded) == Some(false)).await.unwrap();
        host.merge_member(me(7, true), "reader");
        is_recorded.wait_for(|recorded| is_draining(recorded) == Some(true)).await.unwrap();
        assert!(host.local.lock().is_leaving());
    }

    // Guards against an older record that stays in the store, because the node that has to write
    // its record again didn't get the late one.
    overwritten_record_is_reported_by_peers => {
        let [peer, owner] = ["n1", "me"].map(|name| {
            let mut host = host("here");
            host.settings.node = name.parse().unwrap();
            host
        });
        let me = |sequence| Member { sequence, ..member("me", "here", 10) };
        let encode = |member: &Member| rmp_serde::to_vec_named(member).unwrap().into();
        peer.merge_member(me(3), "test");
        records::apply_members(&peer, &[encode(&me(2))], 8, "store");
        peer.streams.advance_offset(Stream::Members, 8);
        let learn = |end: u64| {
            owner.merge_member(me(3), "self");
            owner.streams.note_own_record(end);
            let answer = sync::members(&peer, &[]);
            sync::apply_members_answer(&owner, rmp_serde::from_slice(&answer).unwrap());
            owner.members.read().overwritten().contains(&owner.settings.node)
        };
        assert!(learn(7), "the record at offset 7 came after the owner's");
        owner.members.write().set_overwritten(&owner.settings.node, false);
        assert!(!learn(8), "the owner has written since");
        records::apply_members(&peer, &[encode(&me(3))], 9, "store");
        assert!(peer.members.read().overwritten().is_empty());
        peer.streams.advance_offset(Stream::Members, 9);
        records::apply_members(&peer, &[encode(&me(2))], 9, "reader");
        assert!(peer.members.read().overwritten().is_empty(), "the peer had these records");
    }

    first_version_comes_from_a_higher_ranked_node_and_not_from_the_store => {
        let (reads, version) = first_version(9).await;
        assert_eq!((reads, version), (0, 3));
    }

    highly_ranked_node_reads_the_first_version_from_the_store => {
        let (reads, version) = first_version(2).await;
        assert_eq!((reads, version), (1, 3));
    }

    predecessor_that_is_still_starting_is_passed_over => {
        for (is_settled, reads) in [(true, false), (false, true)] {
            let host = Arc::new(host("here"));
            for i in 0..40 {
                let other = Member { bandwidth: 100, ..member(&format!("n{i}"), "here", 4) };
                host.merge_member(other, "test");
            }
            let progress = Progress { is_settled, ..Progress::default() };
            let answer = rmp_serde::to_vec_named(&progress).unwrap();
            let (asked, mut all_asked) = watch::channel(0);
            let ask: CallPeer = Arc::new(move |_, _| {
                asked.send_modify(|count| *count += 1);
                let answer = answer.clone().into();
                async { Ok(answer) }.boxed()
            });
            host.streams.note_membership_settled();
            let task = tokio::spawn(coordination::watch::run(host.clone(), ask));
            // Two checks of a settled predecessor, or one of all forty.
            let enough = if is_settled { 2 } else { 40 };
            all_asked.wait_for(|count| *count >= enough).await.unwrap();
            if reads {
                host.streams.reading().wait_for(|reads| *reads).await.unwrap();
            }
            assert_eq!(host.streams.is_reading(), reads);
            task.abort();
        }
    }

    unreachable_nodes_in_the_ranking_are_skipped_in_a_few_rounds => {
        let host = Arc::new(host("here"));
        for i in 0..40 {
            // Their links are wider, so that they all rank before this node.
            let other = Member { bandwidth: 100, ..member(&format!("n{i}"), "here", 4) };
            host.merge_member(other, "test");
        }
        // Counts a round for each request that is sent while no other is open.
        let (open, rounds) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let round_count = rounds.clone();
        let ask: CallPeer = Arc::new(move |address, _| {
            let open = open.clone();
            if open.fetch_add(1, Ordering::SeqCst) == 0 {
                round_count.fetch_add(1, Ordering::SeqCst);
            }
            async move {
                tokio::task::yield_now().await;
                open.fetch_sub(1, Ordering::SeqCst);
                Err(coordination::Error::NoAnswer(address.to_string()))
            }
            .boxed()
        });
        host.streams.note_membership_settled();
        let mut reading = host.streams.reading();
        let watch_task = tokio::spawn(coordination::watch::run(host.clone(), ask));
        reading.wait_for(|reads| *reads).await.unwrap();
        watch_task.abort();
        assert!(rounds.load(Ordering::SeqCst) <= 7, "{rounds:?} rounds for 40 nodes");
    }

    connection_with_unread_bytes_is_not_reused => {
        // Each response is followed by another one without a request.
        let two_responses = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n2\r\n\r\nok";
        let (address, _) = raw::target(move |_| Some(two_responses.to_vec())).await;
        let pool = Pool::new(POOL);
        for _ in 0..5 {
            let exchange = get(&pool, address).await.unwrap();
            let read = body::read(exchange.response.into_body(), 100, Duration::from_secs(5)).await;
            let Ok(ReadResult::Whole(bytes)) = read else { panic!("the body could not be read whole") };
            assert_eq!(&bytes[..], b"1");
            pool.put_back(exchange.connection);
        }
    }

    full_pool_closes_the_longest_idle_connection => {
        let pool = Pool::new(POOL);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
        let mut addresses = Vec::new();
        for _ in 0..20 {
            let answer = answer.clone();
            let (address, seen) = raw::target(move |_| Some(answer.clone())).await;
            let exchange = get(&pool, address).await.unwrap();
            let read = body::read(exchange.response.into_body(), 100, Duration::from_secs(5)).await;
            assert!(matches!(read, Ok(ReadResult::Whole(_))));
            pool.put_back(exchange.connection);
            addresses.push((address, seen));
            assert!(pool.idle_count() <= POOL.max_idle);
        }
        assert_eq!(pool.idle_count(), POOL.max_idle);
        pool.close_idle(addresses[0].0);
        assert_eq!(pool.idle_count(), POOL.max_idle, "the oldest connections were closed already");
        pool.close_idle(addresses[19].0);
        assert_eq!(pool.idle_count(), POOL.max_idle - 1);
    }

    offered_body_is_sent_only_after_100_continue => {
        // Rejects the request after its head, and counts the bytes received after that.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let rest = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.unwrap());
            }
            stream.write_all(b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n").await.unwrap();
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.unwrap();
            rest.len()
        });
        let pool = Pool::new(POOL);
        let until = Instant::now() + Duration::from_secs(5);
        let (request, offer) = offer::offer(Request::new(Body::whole(vec![b'x'; 20 << 10])));
        let exchange = pool.send(address, request, until).await.unwrap();
        assert_eq!(exchange.response.status(), 503);
        drop(exchange);
        assert!(offer.withdraw());
        assert_eq!(rest.await.unwrap(), 0);
        let (address, _phase) = serve(ClientKind::Internal, Limits::default(), echo()).await;
        for length in [15 << 10, 200 << 10] {
            let request = Request::new(Body::whole(vec![b'x'; length]));
            let until = Instant::now() + Duration::from_secs(5);
            let (request, offer) = offer::offer(request);
            let exchange = pool.send(address, request, until).await.unwrap();
            assert!(offer.is_accepted() && !offer.withdraw());
            let read = body::read(exchange.response.into_body(), 1 << 20, Duration::from_secs(5)).await;
            let Ok(ReadResult::Whole(bytes)) = read else { panic!("the response could not be read whole") };
            assert_eq!(bytes.len(), "/=".len() + length);
            pool.put_back(exchange.connection);
        }
    }

    concurrent_large_bodies_are_limited_by_the_link => {
        // 20 Mbit/s carry 183 KiB in 75 ms.
        let narrow = UploadAdmission::new(20);
        let first = narrow.wait_for_link(Some(120 << 10)).await;
        assert!(narrow.wait_for_link(Some(100 << 10)).now_or_never().is_none());
        assert!(narrow.wait_for_link(None).now_or_never().is_none());
        drop(first);
        let second = narrow.wait_for_link(Some(100 << 10)).now_or_never();
        assert!(second.is_some());
        drop(second);
        // A body larger than the whole limit is let in once it is alone.
        assert!(narrow.wait_for_link(Some(10 << 20)).now_or_never().is_some());
        let unknown = UploadAdmission::new(0);
        assert!(unknown.wait_for_link(Some(10 << 20)).now_or_never().is_some());
    }

    refused_connection_sent_nothing_and_a_broken_one_may_have => {
        let pool = Pool::new(POOL);
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let unused = free.local_addr().unwrap();
        drop(free);
        assert!(matches!(get(&pool, unused).await, Err(Failure::NotSent(_))));
        let (closes, _) = raw::target(|_| None).await;
        assert!(matches!(get(&pool, closes).await, Err(Failure::Broken(_))));
    }
}

const POOL: pool::Settings = pool::Settings {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    max_idle_per_address: 4,
    max_idle: 6,
};

async fn get(
    pool: &Pool,
    address: SocketAddr,
) -> Result<rilltrack::transport::relay::pool::Exchange, Failure> {
    let mut request = Request::new(Body::whole(""));
    *request.uri_mut() = "/".parse().unwrap();
    pool.send(address, request, Instant::now() + Duration::from_secs(5))
        .await
}
