//! Tests of the coordination layer: background tasks with fakes of the log and of peers,
//! and decisions as property tests with a fixed seed.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rilltrack::{
    coordination::{
        Error,
        admission::{Admission, Limiter},
        apply,
        budget::Budget,
        catchup, gossip,
        health::{AttemptResult, Health},
        idempotency::{Answer, KeyedDecision, Ledger, LedgerLimits, Record},
        interface::{Call, Log},
        log_reader::{self, LogReader},
        node::Node,
        pick::{Candidate, Reason, pick},
        rank,
        scatter::scatter,
        snapshot,
    },
    event::Journal,
    id::Incarnation,
    protocol::{
        log::{Assembly, Batch, split},
        wire::{Frame, Payload, PingBody, Reply, Scatter, VersionCount},
    },
    settings::Settings,
    state::{
        change::{Change, Entry, Op},
        machine::Machine,
        member::{Member, Status, Table},
        region::Distance,
        resource::{Class, Domain, Resource},
        version::Version,
    },
    unit::{Percent, Size, Span},
};
use serde_json::json;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn address(i: u32) -> SocketAddr {
    SocketAddr::from((i.to_be_bytes(), 7001))
}

fn member(i: u32, domain: &str, status: Status, sequence: u64) -> Member {
    Member {
        node: format!("n{i}").parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
        generation: Default::default(),
        status,
        domain: domain.parse().unwrap(),
        peers: address(i),
        inbound: address(i),
        labels: BTreeMap::new(),
        targets: Vec::new(),
        bandwidth: 0,
        evidence: Default::default(),
    }
}

fn node(i: u32, domain: &str) -> Arc<Node> {
    node_with_seeds(i, domain, &[])
}

fn node_with_seeds(i: u32, domain: &str, seeds: &[SocketAddr]) -> Arc<Node> {
    let any = "127.0.0.1:0";
    let settings: Settings = serde_json::from_value(json!({
        "node": format!("n{i}"), "domain": domain, "security": "plaintext", "seeds": seeds,
        "listen": {"callers": any, "inbound": any, "peers": any, "targets": any, "operators": any},
        "log": {"url": "http://127.0.0.1:1", "wait": "0ms"}
    }))
    .unwrap();
    let (applier, queue) = apply::channel();
    let me = member(i, domain, Status::Alive, 1);
    let node = Node::new(settings, me, Journal::start("test"), applier).shared();
    queue.run(node.clone());
    node
}

/// Returns `count` log records that add one failure domain each.
fn records(count: usize) -> Vec<Bytes> {
    let mut machine = Machine::new();
    let mut records = Vec::new();
    for i in 0..count {
        let name = format!("d{i}").parse().unwrap();
        let change = Change {
            id: format!("c{i}").parse().unwrap(),
            base: machine.anchor(),
            expect: None,
            author: String::new(),
            note: String::new(),
            ops: vec![Op::Put(Resource::Domain(Domain {
                name,
                labels: BTreeMap::new(),
            }))],
        };
        let record = Entry::Change(change).encode();
        assert!(
            machine
                .apply(i as u64, record.clone())
                .unwrap()
                .verdict
                .is_accepted()
        );
        records.push(record);
    }
    records
}

fn machine(records: &[Bytes]) -> Machine {
    let mut machine = Machine::new();
    for (i, record) in records.iter().enumerate() {
        machine.apply(i as u64, record.clone()).unwrap();
    }
    machine
}

fn at(offset: u64) -> Version {
    Version { epoch: 0, offset }
}

fn unreachable_peers() -> Call {
    Arc::new(|peer, _, _| async move { Err(Error::Unreachable(peer.to_string())) }.boxed())
}

#[tokio::test]
async fn out_of_order_updates_never_revert_the_version_nor_apply_in_part() {
    let records = records(6);
    let node = node(1, "d");
    let applier = &node.applier;
    applier.mark_complete().await.unwrap();
    let old = machine(&records[..2]).snapshot();
    assert_eq!(
        applier
            .apply_records(at(0), records[..4].to_vec())
            .await
            .unwrap(),
        at(4)
    );
    // An older snapshot after newer records changes nothing.
    assert_eq!(applier.load_snapshot(old).await.unwrap(), at(4));
    assert_eq!(node.version(), at(4));
    // Records that start beyond the current version fail. Records that were applied
    // already, or overlap such, do not.
    assert!(
        applier
            .apply_records(at(5), records[5..].to_vec())
            .await
            .is_err()
    );
    assert_eq!(
        applier
            .apply_records(at(2), records[2..4].to_vec())
            .await
            .unwrap(),
        at(4)
    );
    assert_eq!(
        applier
            .apply_records(at(3), records[3..5].to_vec())
            .await
            .unwrap(),
        at(5)
    );
    // A damaged snapshot is rejected as a whole.
    let mut damaged = machine(&records).snapshot().to_vec();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 1;
    assert!(applier.load_snapshot(damaged.into()).await.is_err());
    assert_eq!(
        (
            node.version(),
            node.view.load().as_ref().unwrap().resources.len()
        ),
        (at(5), 5)
    );
}

#[tokio::test]
async fn view_is_not_in_force_before_it_is_complete() {
    let node = node(1, "d");
    node.applier.apply_records(at(0), records(2)).await.unwrap();
    assert!(!node.is_ready());
    assert!(matches!(
        catchup::answer_fetch(&node, Version::default())
            .await
            .unwrap(),
        Reply::Later(_)
    ));
    node.applier.mark_complete().await.unwrap();
    node.applier.wait_for(at(2)).await.unwrap();
    assert!(
        matches!(catchup::answer_fetch(&node, at(1)).await.unwrap(), Reply::Records(r) if r.len() == 1)
    );
    assert_eq!(
        catchup::answer_fetch(&node, at(2)).await.unwrap(),
        Reply::Current
    );
}

/// Returns a log that has dropped the part of `records` before `first`, and its stream of
/// snapshot parts. A read returns three records at most, and does not wait.
fn fake_log(
    first: u64,
    records: Vec<Bytes>,
    snapshots: Vec<Bytes>,
) -> (Log, Arc<Mutex<Vec<Bytes>>>) {
    let snapshot_stream = Arc::new(Mutex::new(snapshots));
    let (read_stream, append_stream) = (snapshot_stream.clone(), snapshot_stream.clone());
    let read = move |stream: rilltrack::id::Name, from: u64, _| {
        let (first, all) = match stream.as_str() {
            "config" => (first, records.clone()),
            _ => (0, read_stream.lock().unwrap().clone()),
        };
        let next = all.len() as u64;
        let records = if from < first {
            Vec::new()
        } else {
            all.into_iter().skip(from as usize).take(3).collect()
        };
        async move {
            Ok(Batch {
                first,
                next,
                records,
            })
        }
        .boxed()
    };
    let append = move |_, record| {
        let mut stream = append_stream.lock().unwrap();
        stream.push(record);
        let offset = stream.len() as u64 - 1;
        async move { Ok(offset) }.boxed()
    };
    (
        Log {
            read: Arc::new(read),
            append: Arc::new(append),
        },
        snapshot_stream,
    )
}

/// Returns whether `node`, following `log`, reaches version `wanted` within two seconds.
async fn reaches(node: &Arc<Node>, log: Log, wanted: Version) -> bool {
    node.joined
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let follow = LogReader::new(node.clone(), unreachable_peers(), log).run();
    tokio::select! {
        () = follow => false,
        result = node.applier.wait_for(wanted) => result.is_ok(),
        () = tokio::time::sleep(Duration::from_secs(2)) => false,
    }
}

#[tokio::test]
async fn gap_in_the_log_is_closed_only_by_a_snapshot_that_covers_it() {
    let records = records(8);
    let parts = |end: usize, writing: u64| -> Vec<Bytes> {
        let snapshot = machine(&records[..end]).snapshot();
        let parts = split(&snapshot, at(end as u64), writing, 200);
        parts
            .iter()
            .map(rilltrack::protocol::wire::encode)
            .collect()
    };
    // The parts of two concurrent snapshots alternate. The first writer crashed before its
    // last part; the second snapshot is complete and covers the gap.
    let (incomplete, complete) = (parts(7, 1), parts(5, 2));
    let mut stream = Vec::new();
    for i in 0..incomplete.len().max(complete.len()) {
        stream.extend(
            incomplete
                .get(i)
                .filter(|_| i + 1 < incomplete.len())
                .cloned(),
        );
        stream.extend(complete.get(i).cloned());
    }
    let covered_node = node(1, "d");
    let (log, _) = fake_log(4, records.clone(), stream);
    assert!(reaches(&covered_node, log, at(8)).await);
    // The snapshot ends before the first record of the log, so the node gets no view
    // rather than one with a gap.
    let uncovered_node = node(2, "d");
    let (log, _) = fake_log(6, records.clone(), complete);
    assert!(!reaches(&uncovered_node, log, at(1)).await);
    assert!(!uncovered_node.is_ready());
}

#[tokio::test]
async fn log_that_returns_at_once_is_not_read_without_pause() {
    let node = node(1, "d");
    node.joined
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let reads = Arc::new(Mutex::new(0));
    let (read_count, (log, _)) = (reads.clone(), fake_log(0, records(2), Vec::new()));
    let read = move |stream, from, wait| {
        *read_count.lock().unwrap() += 1;
        (log.read)(stream, from, wait)
    };
    let (unused, _) = fake_log(0, Vec::new(), Vec::new());
    let log = Log {
        read: Arc::new(read),
        append: unused.append,
    };
    let run = LogReader::new(node.clone(), unreachable_peers(), log).run();
    assert!(
        tokio::time::timeout(Duration::from_secs(1), run)
            .await
            .is_err()
    );
    // A slow machine makes fewer reads; a loop without a pause makes thousands.
    assert!(
        *reads.lock().unwrap() <= 20,
        "{} reads",
        reads.lock().unwrap()
    );
    assert_eq!(node.version(), at(2));
}

#[tokio::test]
async fn records_of_several_reads_are_sent_together() {
    // The log returns three records per read. The other member has none yet.
    let node = node(1, "d");
    node.merge_members(vec![member(2, "d", Status::Alive, 1)]);
    node.applier.mark_complete().await.unwrap();
    let loads = Arc::new(Mutex::new(Vec::new()));
    let sent_loads = loads.clone();
    let call: Call = Arc::new(move |_, frame, _| {
        if let Frame::Scatter(scatter) = frame {
            sent_loads.lock().unwrap().push(scatter.payload);
        }
        async move { Ok(Reply::Counted(VersionCount::default())) }.boxed()
    });
    let (log, _) = fake_log(0, records(8), Vec::new());
    node.joined
        .store(true, std::sync::atomic::Ordering::Relaxed);
    let follow = LogReader::new(node.clone(), call, log).run();
    let first = async {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if let Some(load) = loads.lock().unwrap().first().cloned() {
                return load;
            }
        }
    };
    let load = tokio::select! {
        () = follow => None,
        load = first => Some(load),
        () = tokio::time::sleep(Duration::from_secs(20)) => None,
    };
    assert_eq!(
        load,
        Some(Payload::Records {
            from: at(0),
            records: records(8)
        })
    );
}

/// Guards against records that reach a failure domain node by node, because its reader has fetched
/// them from a peer before the log returned them.
#[tokio::test]
async fn records_that_a_reader_has_from_a_peer_are_scattered() {
    let node = node(1, "d");
    node.merge_members(vec![member(2, "d", Status::Alive, 1)]);
    node.applier.mark_complete().await.unwrap();
    let (sender, mut loads) = tokio::sync::mpsc::unbounded_channel();
    let call: Call = Arc::new(move |_, frame, _| {
        if let Frame::Scatter(scatter) = frame {
            sender.send(scatter.payload).unwrap();
        }
        async move { Ok(Reply::Counted(VersionCount::default())) }.boxed()
    });
    let all = records(8);
    let scattered = Scatter {
        from: "127.0.0.1:1".parse().unwrap(),
        payload: Payload::Records {
            from: at(0),
            records: all[..3].to_vec(),
        },
        recipients: Vec::new(),
    };
    log_reader::receive_scatter(&node, &call, scattered)
        .await
        .unwrap();
    // The rest comes from a peer.
    node.applier
        .apply_records(at(3), all[3..].to_vec())
        .await
        .unwrap();
    let (log, _) = fake_log(0, all.clone(), Vec::new());
    node.joined
        .store(true, std::sync::atomic::Ordering::Relaxed);
    tokio::spawn(LogReader::new(node.clone(), call, log).run());
    let load = tokio::time::timeout(Duration::from_secs(20), loads.recv()).await;
    let wanted = Payload::Records {
        from: at(3),
        records: all[3..].to_vec(),
    };
    assert_eq!(load.expect("records are scattered"), Some(wanted));
}

#[tokio::test]
async fn snapshot_written_in_parts_is_read_back_whole() {
    let node = node(1, "d");
    node.applier
        .apply_records(at(0), records(500))
        .await
        .unwrap();
    node.applier.mark_complete().await.unwrap();
    let mut settings = node.settings.clone();
    settings.log.max_record = "4KiB".parse().unwrap();
    let (log, written) = fake_log(0, Vec::new(), Vec::new());
    assert_eq!(snapshot::write(&node, &log).await.unwrap(), at(500));
    let (version, bytes) = snapshot::read(&node, &log).await.unwrap().unwrap();
    assert_eq!(
        (version, Machine::from_snapshot(&bytes).unwrap().version()),
        (at(500), at(500))
    );
    written.lock().unwrap().pop();
    assert!(snapshot::read(&node, &log).await.unwrap().is_none());
}

/// Returns a call to peers of which those in `dead` are unreachable. The others count a
/// scatter in `received` and forward it.
fn peers(dead: HashSet<SocketAddr>, received: Arc<Mutex<HashMap<SocketAddr, usize>>>) -> Call {
    Arc::new(move |peer, frame, _| {
        let (dead, received) = (dead.clone(), received.clone());
        async move {
            let Frame::Scatter(scattered) = frame else {
                return Err(Error::Unexpected(peer.to_string()));
            };
            if dead.contains(&peer) {
                return Err(Error::Unreachable(peer.to_string()));
            }
            *received.lock().unwrap().entry(peer).or_default() += 1;
            let forwarded = scatter(
                peers(dead, received),
                peer,
                scattered.payload,
                scattered.recipients,
            );
            let mut census: VersionCount = forwarded.await;
            census.current += 1;
            Ok(Reply::Counted(census))
        }
        .boxed()
    })
}

fn limits(keys: usize, bytes: u64) -> LedgerLimits {
    LedgerLimits {
        keys,
        key_lifetime: Span::from_millis(40),
        answer_bytes: Size::from_bytes(bytes),
    }
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn scatter_reaches_every_live_node_once(count in 0..300u32, dead in vec(0..300u32, 0..40)) {
        let dead: HashSet<SocketAddr> = dead.into_iter().filter(|i| *i < count).map(address).collect();
        let received = Arc::new(Mutex::new(HashMap::new()));
        let slice: Vec<SocketAddr> = (0..count).map(address).collect();
        let call = peers(dead.clone(), received.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let load = Payload::Count { version: at(1) };
        let census = runtime.block_on(scatter(call, address(9999), load, slice));
        prop_assert_eq!(census.current as usize, count as usize - dead.len());
        prop_assert_eq!(census.silent as usize, dead.len());
        let received = received.lock().unwrap();
        prop_assert_eq!(received.len(), count as usize - dead.len());
        prop_assert!(received.values().all(|times| *times == 1));
    }

    #[test]
    fn tables_agree_after_exchanging_differences(
        a in vec((0..30u32, 0..4u64, 0..4usize), 0..40), b in vec((0..30u32, 0..4u64, 0..4usize), 0..40)
    ) {
        let status = [Status::Alive, Status::Suspect, Status::Leaving, Status::Gone];
        let table = |records: &[(u32, u64, usize)]| {
            let mut table = Table::default();
            for (i, sequence, s) in records {
                table.merge(member(*i, "d", status[*s], *sequence));
            }
            table
        };
        let (mut left, mut right) = (table(&a), table(&b));
        let differing = |t: &Table, marks: &[u32]| -> Vec<Member> {
            t.in_differing_buckets(marks).into_iter().map(|m| m.as_ref().clone()).collect()
        };
        let (to_left, to_right) = (differing(&right, left.bucket_hashes()), differing(&left, right.bucket_hashes()));
        for m in to_left {
            left.merge(m);
        }
        for m in to_right {
            right.merge(m);
        }
        prop_assert_eq!(left.bucket_hashes(), right.bucket_hashes());
        // Reference: the newest record of each node wins.
        let mut newest: BTreeMap<u32, (u64, Status)> = BTreeMap::new();
        for (i, sequence, s) in a.iter().chain(&b) {
            let record = (*sequence, status[*s]);
            newest.entry(*i).and_modify(|newest| *newest = (*newest).max(record)).or_insert(record);
        }
        for (i, (sequence, status)) in newest {
            let name = format!("n{i}").parse().unwrap();
            let merged = left.get(&name).unwrap();
            prop_assert_eq!((merged.sequence, merged.status), (sequence, status));
        }
    }

    #[test]
    fn pick_prefers_near_and_cheap_targets(candidates in vec((0..3usize, 0..200u32, any::<bool>()), 0..20), seed in any::<u64>()) {
        let distances = [Distance::Domain, Distance::Region, Distance::OtherRegion];
        let candidates: Vec<Candidate> = candidates
            .into_iter()
            .map(|(d, cost, ejected)| Candidate { distance: distances[d], cost, is_ejected: ejected })
            .collect();
        let picked = pick(&candidates, &mut fastrand::Rng::with_seed(seed));
        prop_assert_eq!(picked.is_none(), candidates.is_empty());
        let Some((index, reason)) = picked else { return Ok(()) };
        let chosen = candidates[index];
        let eligible: Vec<&Candidate> = candidates.iter().filter(|c| !c.is_ejected).collect();
        prop_assert_eq!(chosen.is_ejected, eligible.is_empty());
        prop_assert_eq!(reason == Reason::LastResort, eligible.is_empty());
        let costs_at = |d: Distance| -> Vec<u32> { eligible.iter().filter(|c| c.distance == d).map(|c| c.cost).collect() };
        // A distance is skipped only if it has no eligible target, or one at or above the
        // spillover cost.
        for nearer in distances.into_iter().filter(|d| *d < chosen.distance && !chosen.is_ejected) {
            prop_assert!(costs_at(nearer).is_empty() || costs_at(nearer).iter().any(|cost| *cost >= 90));
        }
        // The single most expensive target of a distance is never chosen over others there.
        let costs = costs_at(chosen.distance);
        let highest = costs.iter().max().copied().unwrap_or(0);
        let is_single = costs.iter().filter(|cost| **cost == highest).count() == 1;
        if !chosen.is_ejected && costs.len() > 1 && is_single {
            prop_assert!(chosen.cost < highest);
        }
    }

    #[test]
    fn limiter_keeps_its_limits_and_starves_no_request(
        steps in vec((0..4u8, 0..3usize), 1..200), slots in 1..10u32, queue in 0..10u32
    ) {
        let classes = [Class::Critical, Class::Normal, Class::Bulk];
        let (now, run_time) = (Instant::now(), Duration::from_millis(10));
        let deadline = now + Duration::from_secs(3600);
        let mut limiter = Limiter::new(slots, queue);
        let mut running: Vec<Class> = Vec::new();
        let mut waiting: HashMap<u64, Class> = HashMap::new();
        for (step, class) in steps {
            let class = classes[class];
            if step < 2 {
                match limiter.admit(class, deadline, now) {
                    Admission::Admitted => running.push(class),
                    Admission::Queued { ticket, evicted } => {
                        if let Some(evicted) = evicted {
                            let lower = waiting.remove(&evicted).unwrap();
                            prop_assert!(lower > class);
                        }
                        waiting.insert(ticket, class);
                    }
                    Admission::Rejected(retry_after) => {
                        prop_assert!(waiting.len() as u32 >= queue && retry_after.as_millis() > 0);
                    }
                    Admission::AtLimit(_) => prop_assert!(false, "no limit is set"),
                }
            } else if !running.is_empty() {
                let ended = running.remove(0);
                for ticket in limiter.release(ended, run_time, now) {
                    running.push(waiting.remove(&ticket).unwrap());
                }
            }
            prop_assert!(running.len() as u32 <= slots);
            // If one class fills the queue, each of the other two may have one more waiter.
            let max_waiting = if queue == 0 { 0 } else { queue + 2 };
            prop_assert!(waiting.len() as u32 <= max_waiting);
            prop_assert_eq!(limiter.running_count() as usize, running.len());
            // No slot is free while requests wait.
            prop_assert!(waiting.is_empty() || running.len() as u32 == slots);
        }
        // All waiting requests start as running ones end.
        while let Some(ended) = running.pop() {
            for ticket in limiter.release(ended, run_time, now) {
                running.push(waiting.remove(&ticket).unwrap());
            }
        }
        prop_assert!(waiting.is_empty());
    }

    #[test]
    fn request_runs_at_most_once_per_key(steps in vec((0..5u8, 0..4u128, 0..2u64), 1..100)) {
        let mut ledger = Ledger::new(limits(3, 1000));
        let (mut now, mut issued, mut runs) = (0, HashSet::new(), HashMap::<u128, u32>::new());
        let mut running: HashSet<u128> = HashSet::new();
        for (step, secret, request) in steps {
            now += 3;
            match step {
                // Each secret is issued once, as 128 random bits do not repeat.
                0 if !issued.contains(&secret) && ledger.issue(secret, now) => {
                    issued.insert(secret);
                }
                1 | 2 => if matches!(ledger.begin(secret, request, now), KeyedDecision::Run) {
                    prop_assert!(issued.contains(&secret) && running.insert(secret));
                    *runs.entry(secret).or_default() += 1;
                },
                3 if running.remove(&secret) => {
                    let answer = Answer { status: 200, headers: Default::default(), body: Bytes::new() };
                    ledger.end(secret, Record::Answered(Arc::new(answer)));
                }
                4 if running.remove(&secret) => {
                    ledger.end(secret, Record::Unknown);
                }
                _ => {}
            }
            prop_assert!(ledger.len() <= 3);
        }
        prop_assert!(runs.values().all(|runs| *runs == 1));
    }

    #[test]
    fn retries_stay_a_share_of_first_attempts(calls in vec(any::<bool>(), 1..3000), share in 0..50u8) {
        let mut budget = Budget::default();
        let mut retries = 0;
        for fails in &calls {
            budget.note_first_send(Percent::new(share), 0.0);
            retries += u32::from(*fails && budget.try_spend());
        }
        prop_assert!(f64::from(retries) <= 5.0 + calls.len() as f64 * f64::from(share) / 100.0 + 1e-6);
    }

    /// In a chain of two services, each fails half of its requests. A retry runs at another
    /// target of the first service, which makes the call to the second service again. That
    /// call is an extra attempt at the second service, whichever budget it is taken from.
    #[test]
    fn retries_and_the_calls_of_retries_stay_a_share_of_first_attempts(
        steps in vec((any::<bool>(), any::<bool>()), 500..3000), share in 5..50u8,
    ) {
        let (mut first_budget, mut second_budget) = (Budget::default(), Budget::default());
        let (mut calls, mut extra) = (0, 0);
        for (fails, call_fails) in steps {
            first_budget.note_first_send(Percent::new(share), 0.0);
            let retries = u32::from(fails && first_budget.try_spend());
            for run in 0..=retries {
                second_budget.note_first_send(Percent::new(share), f64::from(run));
                calls += 1;
                extra += run + u32::from(call_fails && second_budget.try_spend());
            }
        }
        let share = f64::from(share) / 100.0;
        // 10 is the sum of the tokens that both budgets start with: the second budget
        // cannot refuse the calls of retries that the first one allowed.
        let limit = 10.0 + f64::from(calls) * share;
        prop_assert!(f64::from(extra) <= limit, "{extra} extra attempts, limit {limit}");
    }
}

/// Defines a test for each named block.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    request_that_cannot_start_in_time_is_rejected_on_arrival => {
        let now = Instant::now();
        let mut limiter = Limiter::new(1, 100);
        assert_eq!(limiter.admit(Class::Normal, now + Duration::from_secs(9), now), Admission::Admitted);
        limiter.release(Class::Normal, Duration::from_secs(1), now);
        assert_eq!(limiter.admit(Class::Normal, now + Duration::from_secs(9), now), Admission::Admitted);
        let soon = now + Duration::from_millis(500);
        assert!(matches!(limiter.admit(Class::Normal, soon, now), Admission::Rejected(_)));
        assert!(matches!(limiter.admit(Class::Normal, now + Duration::from_secs(9), now), Admission::Queued { .. }));
    }

    critical_request_starts_before_other_waiters_and_has_no_reserved_slot => {
        let (now, deadline) = (Instant::now(), Instant::now() + Duration::from_secs(9));
        let mut limiter = Limiter::new(4, 10);
        (0..4).for_each(|_| assert_eq!(limiter.admit(Class::Bulk, deadline, now), Admission::Admitted));
        assert!(matches!(limiter.admit(Class::Bulk, deadline, now), Admission::Queued { .. }));
        assert!(matches!(limiter.admit(Class::Normal, deadline, now), Admission::Queued { .. }));
        let Admission::Queued { ticket, .. } = limiter.admit(Class::Critical, deadline, now) else {
            panic!("the request is not queued")
        };
        assert_eq!(limiter.release(Class::Bulk, Duration::from_millis(1), now), [ticket]);
    }

    no_class_is_starved_by_a_flood_of_critical_requests => {
        let (now, deadline) = (Instant::now(), Instant::now() + Duration::from_secs(9));
        let mut limiter = Limiter::new(4, 8);
        let (mut running, mut waiting) = (VecDeque::new(), HashMap::new());
        let (mut bulk, mut normal) = (0, 0);
        for _ in 0..1000 {
            for class in [Class::Critical, Class::Normal, Class::Normal, Class::Bulk] {
                match limiter.admit(class, deadline, now) {
                    Admission::Admitted => running.push_back(class),
                    Admission::Queued { ticket, evicted } => {
                        evicted.map(|evicted| waiting.remove(&evicted));
                        waiting.insert(ticket, class);
                    }
                    Admission::Rejected(_) => {}
                    Admission::AtLimit(_) => panic!("no limit is set"),
                }
            }
            // One request ends for every four that arrive.
            let ended = running.pop_front().unwrap();
            for ticket in limiter.release(ended, Duration::from_millis(1), now) {
                let class = waiting.remove(&ticket).unwrap();
                bulk += u32::from(class == Class::Bulk);
                normal += u32::from(class == Class::Normal);
                running.push_back(class);
            }
        }
        assert!(bulk >= 50 && normal >= 50, "{bulk} bulk and {normal} normal of 1000 grants");
    }

    readers_are_limited_and_replaced_when_suspected => {
        let mut table = Table::default();
        for i in 0..50 {
            table.merge(member(i, if i < 25 { "d" } else { "e" }, Status::Alive, 1));
        }
        let domain = "d".parse().unwrap();
        let readers = |table: &Table| -> Vec<u32> {
            let rank_of = |i: &u32| rank::reader_rank(table, &domain, &format!("n{i}").parse().unwrap());
            let alive = (0..25).filter(|i| table.get(&format!("n{i}").parse().unwrap()).unwrap().status == Status::Alive);
            alive.filter(|i| rank_of(i) < rank::READERS).collect()
        };
        let first = readers(&table);
        assert_eq!(first.len(), rank::READERS);
        for i in &first {
            table.merge(member(*i, "d", Status::Suspect, 1));
        }
        let second = readers(&table);
        assert_eq!(second.len(), rank::READERS);
        assert!(second.iter().all(|i| !first.contains(i)));
    }

    every_node_is_pinged_and_news_reaches_all_in_few_rounds => {
        for count in [2u32, 3, 10, 100, 400] {
            let mut table = Table::default();
            for i in 0..count {
                table.merge(member(i, "d", Status::Alive, 1));
                table.merge(member(count + i, "e", Status::Alive, 1));
            }
            let domain = "d".parse().unwrap();
            let name = |i: u32| format!("n{i}").parse().unwrap();
            let pings: Vec<HashSet<SocketAddr>> = (0..count)
                .map(|i| rank::probe_peers(&table, &domain, &name(i)).iter().map(|m| m.peers).collect())
                .collect();
            for i in 0..count {
                let pinging = pings.iter().filter(|partners| partners.contains(&address(i))).count();
                assert!(pinging >= 2.min(count as usize - 1), "{pinging} of {count} nodes ping n{i}");
                assert!(pings[i as usize].len() <= 6 && !pings[i as usize].contains(&address(i)));
                let far = rank::remote_probe_peers(&table, &domain, &name(i));
                assert!((1..=3).contains(&far.len()) && far.iter().all(|m| m.domain.as_str() == "e"));
            }
            // A ping and its answer carry news in both directions.
            let mut informed: HashSet<SocketAddr> = HashSet::from([address(0)]);
            let mut rounds = 0;
            while informed.len() < count as usize {
                let before = informed.clone();
                for (i, partners) in pings.iter().enumerate() {
                    let me = address(i as u32);
                    if before.contains(&me) {
                        informed.extend(partners);
                    } else if partners.iter().any(|partner| before.contains(partner)) {
                        informed.insert(me);
                    }
                }
                rounds += 1;
                assert!(rounds <= 6, "{} of {count} informed after {rounds} rounds", informed.len());
            }
        }
    }

    own_observations_override_reported_load => {
        let (now, target) = (Instant::now(), "n1".parse().unwrap());
        let mut health = Health::default();
        let assess = |health: &mut Health, at: Instant| health.assess(&target, Incarnation(1), 10, at);
        // A new target has an extra cost; after the slow start it has none.
        assert!(assess(&mut health, now).0 > 0);
        let later = now + Duration::from_secs(20);
        assert_eq!(assess(&mut health, later), (0, false));
        // The target sheds a request, but reports no load.
        health.start(&target, Incarnation(1), later);
        health.finish(&target, AttemptResult::Shed(Some(0)), later);
        assert_eq!(assess(&mut health, later).0, 100);
        for _ in 0..5 {
            health.start(&target, Incarnation(1), later);
            health.finish(&target, AttemptResult::Failed, later);
        }
        assert!(assess(&mut health, later).1);
        // An ejection does not carry over to a new incarnation.
        assert!(!health.assess(&target, Incarnation(2), 10, later).1);
    }

    recorded_answers_are_bounded_and_their_requests_never_run_again => {
        let mut ledger = Ledger::new(limits(10, 250));
        let answer = |bytes: usize| {
            let body = Bytes::from(vec![0; bytes]);
            Record::Answered(Arc::new(Answer { status: 200, headers: Default::default(), body }))
        };
        for secret in 0..3 {
            assert!(ledger.issue(secret, 0));
            assert!(matches!(ledger.begin(secret, 1, 0), KeyedDecision::Run));
            ledger.end(secret, answer(100));
        }
        assert!(matches!(ledger.begin(1, 1, 0), KeyedDecision::Ended(Record::Answered(_))));
        assert!(matches!(ledger.begin(2, 1, 0), KeyedDecision::Ended(Record::TooLarge)));
        // Expired answers no longer count.
        assert!(ledger.issue(3, 100));
        assert!(matches!(ledger.begin(3, 1, 100), KeyedDecision::Run));
        ledger.end(3, answer(250));
        assert!(matches!(ledger.begin(3, 1, 100), KeyedDecision::Ended(Record::Answered(_))));
    }

    records_of_an_older_incarnation_are_ignored => {
        let mut table = Table::default();
        let fresh = Member { incarnation: Incarnation(2), ..member(1, "d", Status::Alive, 1) };
        assert!(table.merge(member(1, "d", Status::Gone, 9)));
        assert!(table.merge(fresh));
        assert!(!table.merge(member(1, "d", Status::Gone, 99)));
    }

    snapshot_with_a_missing_part_is_not_assembled => {
        let parts = split(&Bytes::from(vec![1u8; 1000]), at(3), 5, 300);
        for missing in 0..parts.len() {
            let mut assembly = Assembly::default();
            parts.iter().enumerate().filter(|(i, _)| *i != missing).for_each(|(_, p)| assembly.add(p.clone()));
            assert!(assembly.into_newest().is_none());
        }
        let mut assembly = Assembly::default();
        parts.into_iter().for_each(|part| assembly.add(part));
        assert_eq!(assembly.into_newest().unwrap().1.len(), 1000);
    }
}

#[tokio::test]
async fn member_declared_gone_refutes_it_in_its_next_ping() {
    let node = node(1, "d");
    let before = node.me();
    node.merge_members(vec![member(1, "d", Status::Gone, before.sequence)]);
    let me = node.me();
    assert!(me.status == Status::Alive && me.sequence > before.sequence);
    // The refutation is part of the next ping.
    let news = gossip::outgoing_updates(&node);
    assert!(
        news.members
            .iter()
            .any(|m| m.node == me.node && m.sequence == me.sequence)
    );
}

#[tokio::test]
async fn node_rejoins_after_its_clock_was_set_back() {
    // The clock was set back between two incarnations. Others still hold the earlier one,
    // which has the higher incarnation number.
    let earlier = Member {
        incarnation: Incarnation(99),
        ..member(1, "d", Status::Gone, 7)
    };
    let (node, mut others) = (node(1, "d"), Table::default());
    others.merge(earlier.clone());
    assert!(!others.merge(node.me()));
    node.merge_members(vec![earlier]);
    assert!(others.merge(node.me()));
    assert_eq!(others.get(&node.me().node).unwrap().status, Status::Alive);
}

#[tokio::test]
async fn news_is_relayed_but_a_whole_table_is_not() {
    let relayed = |node: &Arc<Node>| {
        let mut nodes = HashSet::new();
        (0..100).for_each(|_| {
            nodes.extend(
                gossip::outgoing_updates(node)
                    .members
                    .into_iter()
                    .map(|m| m.node),
            )
        });
        nodes.len()
    };
    let table = |range: std::ops::Range<u32>, sequence| -> Vec<Member> {
        range
            .map(|i| member(i, "e", Status::Alive, sequence))
            .collect()
    };
    let node = node(1, "d");
    assert_eq!(node.merge_members(table(100..200, 1)), 100);
    assert_eq!(relayed(&node), 1, "members of the whole table are relayed");
    // After a partition: many updates at once, but of less than half of the known members.
    assert_eq!(node.merge_members(table(100..140, 2)), 40);
    assert_eq!(relayed(&node), 40);
}

#[tokio::test]
async fn new_node_does_not_fetch_from_busy_peers_without_pause() {
    let node = node_with_seeds(1, "d", &[address(2)]);
    let fetches = Arc::new(Mutex::new(0));
    let fetch_count = fetches.clone();
    let call: Call = Arc::new(move |_, frame, _| {
        let reply = match frame {
            Frame::Ping(_) => Reply::Pong(PingBody {
                node: "n2".parse().unwrap(),
                peers: address(2),
                version: at(5),
                members: Vec::new(),
            }),
            Frame::Fetch(_) => {
                *fetch_count.lock().unwrap() += 1;
                Reply::Later(Span::from_millis(300))
            }
            _ => Reply::Members {
                marks: Vec::new(),
                members: Vec::new(),
            },
        };
        async move { Ok(reply) }.boxed()
    });
    let run = gossip::Gossip::new(node.clone(), call).run();
    assert!(
        tokio::time::timeout(Duration::from_secs(1), run)
            .await
            .is_err()
    );
    // A slow machine makes fewer fetches; a loop without a pause makes thousands.
    assert!(
        *fetches.lock().unwrap() <= 20,
        "{} fetches",
        fetches.lock().unwrap()
    );
    assert!(!node.is_ready());
}

#[tokio::test]
async fn suspected_sender_learns_of_it_from_the_pong() {
    let node = node(1, "d");
    node.merge_members(vec![member(2, "d", Status::Suspect, 1)]);
    let from = PingBody {
        node: "n2".parse().unwrap(),
        peers: address(2),
        version: Version::default(),
        members: Vec::new(),
    };
    let Reply::Pong(news) = gossip::answer_ping(&node, &unreachable_peers(), from) else {
        panic!("the reply is not a pong")
    };
    assert!(
        news.members
            .iter()
            .any(|m| m.node.as_str() == "n2" && m.status == Status::Suspect)
    );
}
