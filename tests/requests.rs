//! Outcomes that callers get when targets, nodes and connections fail.

mod support;

use std::{
    path::Path,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use reqwest::Response;
use serde_json::{Value, json};
use support::{
    client,
    local::{Mesh, resources},
    log::Log,
    mesh::{self, attach, ops, processes, publish, wait_for_version},
    raw,
    target::Target,
    until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const DOMAINS: [&str; 2] = ["palermo", "catania"];

/// Starts daemons `n0` and `n1` and service `s`, with `policy` over the defaults.
async fn two_nodes(policy: Value) -> Mesh {
    Mesh::start(&DOMAINS, &resources(&DOMAINS, "s", policy)).await
}

/// Returns the outcome that a response reports.
fn outcome(response: &Response) -> &str {
    response
        .headers()
        .get("rilltrack-outcome")
        .map_or("", |value| value.to_str().unwrap())
}

/// Defines each case as a test with its own runtime.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)*
    };
}

cases! {
    truncated_answer_is_never_forwarded_as_complete => {
        let answers: [&[u8]; 2] = [
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ];
        for answer in answers {
            let mesh = two_nodes(json!({})).await;
            let (address, _) = raw::target(move |_| Some(answer.to_vec())).await;
            mesh.announce(1, "s", address).await;
            let response = client().get(mesh.url(0, "/s")).send().await;
            if let Ok(response) = response {
                assert!(response.bytes().await.is_err(), "a truncated answer must not look complete");
            }
        }
    }

    // Guards against a damaged answer that passes for the target's.
    answer_with_a_damaged_head_is_not_forwarded => {
        let chunks = "5\r\nhello\r\n0\r\n\r\n";
        let answers = [
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkd\r\n\r\nCHUNKS",
            "HTTP/1.1 200 OK\r\ntransfer-encoding:\r\n\r\nCHUNKS",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\nCHUNKS",
            "HTTP/1.1 200 OK\r\nzransfer-encoding: chunked\r\n\r\nCHUNKS",
            "HTTP/1.1 200 OK\r\ncontent-length: 5x\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ncontent-length: 5, 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ncontent_length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ncontent length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\njunk\r\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nx: y\n\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 101 OK\r\n\r\n",
            "HTTP/1.1 999 OK\r\ncontent-length: 5\r\n\r\nhello",
        ];
        let mesh = two_nodes(json!({})).await;
        let number = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let current = number.clone();
        let (address, hits) = raw::target(move |_| {
            let answer = answers[current.load(Ordering::SeqCst)].replace("CHUNKS", chunks);
            Some(answer.into_bytes())
        })
        .await;
        mesh.announce(1, "s", address).await;
        // Through another node, and beside the target.
        for node in [0, 1] {
            for (i, answer) in answers.iter().enumerate() {
                number.store(i, Ordering::SeqCst);
                let before = hits.load(Ordering::SeqCst);
                let response = client().post(mesh.url(node, "/s")).body("x").send().await.unwrap();
                assert_eq!((response.status().as_u16(), outcome(&response)), (502, "unknown"), "{answer:?}");
                assert_eq!(hits.load(Ordering::SeqCst), before + 1, "{answer:?}");
            }
        }
    }

    // Guards against a node that reads from a target without end.
    head_without_an_end_is_not_read_beyond_the_deadline => {
        let endless: [(&'static str, &'static str); 3] = [
            ("HTTP/1.1 200 OK\r\n", "x: value\r\n"),
            ("HTTP/1.1 200 OK\r\nx: ", "value"),
            ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ];
        for (first, piece) in endless {
            let mesh = two_nodes(json!({"timeout": "1s"})).await;
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (closed, mut closes) = tokio::sync::mpsc::unbounded_channel();
            tokio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let closed = closed.clone();
                    tokio::spawn(async move {
                        drop(stream.read_u8().await);
                        let mut sent = stream.write_all(first.as_bytes()).await;
                        while sent.is_ok() {
                            sent = stream.write_all(piece.repeat(1000).as_bytes()).await;
                        }
                        closed.send(()).unwrap();
                    });
                }
            });
            mesh.announce(1, "s", address).await;
            let response = client().post(mesh.url(0, "/s")).body("x").send().await.unwrap();
            assert_eq!(outcome(&response), "unknown");
            closes.recv().await.unwrap();
        }
    }

    request_on_a_reused_connection_that_closes_is_sent_once => {
        let mesh = two_nodes(json!({})).await;
        let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
        let (address, hits) = raw::target(move |number| (number == 0).then(|| ok.clone())).await;
        mesh.announce(0, "s", address).await;
        let first = client().post(mesh.url(0, "/s")).body("debit 1").send().await.unwrap();
        assert_eq!((first.status().as_u16(), outcome(&first)), (200, "answered"));
        first.bytes().await.unwrap();
        // A second target, to which the request must not be sent.
        let other = mesh.target(1, "s").await;
        let second = client().post(mesh.url(0, "/s")).body("debit 2").send().await.unwrap();
        assert_eq!((second.status().as_u16(), outcome(&second)), (502, "unknown"));
        assert_eq!((hits.load(Ordering::SeqCst), other.hits()), (2, 0));
    }

    target_gets_no_more_than_the_limit_in_its_answers => {
        const LIMIT: usize = 5;
        let mesh = two_nodes(json!({})).await;
        let answer = format!("HTTP/1.1 200 OK\r\nrilltrack-limit: {LIMIT}\r\ncontent-length: 2\r\n\r\nok");
        let (address, hits) = raw::target(move |_| Some(answer.clone().into_bytes())).await;
        mesh.announce(1, "s", address).await;
        let told = client().get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(told.status().as_u16(), 200);
        let since = Instant::now();
        // No more callers than the slots of the target.
        let caller = async || {
            let mut served = 0;
            for _ in 0..50 {
                let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
                served += usize::from(response.status().as_u16() == 200);
            }
            served
        };
        let served: usize = join_all((0..4).map(|_| caller())).await.into_iter().sum();
        // Half more than the limit for each second that the requests took, and five.
        let seconds = since.elapsed().as_secs_f64().max(4.0);
        let allowed = (LIMIT as f64 * 1.5 * seconds) as usize + 5;
        assert!((LIMIT - 1..=allowed).contains(&served), "{served} served, {allowed} allowed");
        assert_eq!(hits.load(Ordering::SeqCst), served as u64 + 1);
    }

    target_whose_answer_states_its_leave_gets_no_more_requests => {
        let mesh = two_nodes(json!({})).await;
        let leaving = b"HTTP/1.1 200 OK\r\nrilltrack-leaving: 1\r\ncontent-length: 2\r\n\r\nok".to_vec();
        let (address, hits) = raw::target(move |_| Some(leaving.clone())).await;
        mesh.announce(0, "s", address).await;
        let told = client().get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(told.status().as_u16(), 200);
        // It announces itself again as if it stayed.
        mesh.announce(0, "s", address).await;
        // The other target is in a farther failure domain.
        let other = mesh.target(1, "s").await;
        for _ in 0..20 {
            let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
            assert_eq!(response.status().as_u16(), 200);
        }
        assert_eq!((hits.load(Ordering::SeqCst), other.hits()), (1, 20));
    }

    request_to_a_target_that_refuses_connections_is_not_run => {
        let mesh = two_nodes(json!({})).await;
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        mesh.announce(1, "s", closed).await;
        let response = client().post(mesh.url(0, "/s")).body("debit").send().await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response)), (503, "not-run"));
        assert!(response.headers().contains_key("retry-after"));
        // Since it has not run, the request goes to another target once there is one.
        let target = mesh.target(0, "s").await;
        let response = client().post(mesh.url(0, "/s")).body("debit").send().await.unwrap();
        assert_eq!(outcome(&response), "answered");
        assert_eq!(target.hits(), 1);
    }

    streamed_body_is_not_retried => {
        let mesh = two_nodes(json!({"repeat": "always"})).await;
        let (address, hits) = raw::target(|_| None).await;
        mesh.announce(0, "s", address).await;
        mesh.announce(1, "s", address).await;
        let chunks = (0..4).map(|_| Ok::<_, std::io::Error>(vec![7u8; 40_000]));
        let body = reqwest::Body::wrap_stream(futures_util::stream::iter(chunks));
        let response = client().put(mesh.url(0, "/s")).body(body).send().await.unwrap();
        assert_eq!(outcome(&response), "unknown");
        assert!(hits.load(Ordering::SeqCst) <= 1);
    }

    unknown_result_of_an_earlier_attempt_is_kept => {
        // The first attempt may have run; later ones have not. The outcome is unknown.
        let domains = ["palermo", "catania", "messina"];
        let mesh = Mesh::start(&domains, &resources(&domains, "s", json!({"repeat": "always"}))).await;
        let (breaking, _) = raw::target(|_| None).await;
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        mesh.announce(0, "s", breaking).await;
        mesh.announce(1, "s", closed).await;
        let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(outcome(&response), "unknown");
        mesh.announce(2, "s", closed).await;
        let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(outcome(&response), "unknown");
    }

    unknown_result_of_a_hedged_attempt_is_kept => {
        // The connection of the first attempt breaks; the hedge does not run. The outcome
        // is unknown.
        let mesh = two_nodes(json!({"repeat": "always", "hedge_after": "50ms", "slots": 1})).await;
        let busy = mesh.target(1, "s").await;
        busy.delay_ms.store(3_000, Ordering::SeqCst);
        // A streamed body can't be sent twice, so this request isn't hedged to the other target.
        let piece = futures_util::stream::iter([Ok::<_, std::io::Error>("x")]);
        let streamed = reqwest::Body::wrap_stream(piece);
        let busy_call = tokio::spawn(client().put(mesh.url(1, "/s")).body(streamed).send());
        until("the other target is busy", || async { (busy.hits() == 1).then_some(()) }).await;
        let (breaking, broken) = raw::target(|_| { std::thread::sleep(Duration::from_millis(200)); None }).await;
        mesh.announce(0, "s", breaking).await;
        let call = tokio::spawn(client().get(mesh.url(0, "/s")).send());
        until("the first attempt reaches its target", || async { (broken.load(Ordering::SeqCst) == 1).then_some(()) }).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let at = mesh.daemons[1].listen.operators;
        mesh::post::<Value>(at, "drain", &json!({"service": "s"})).await.unwrap();
        assert_eq!(outcome(&call.await.unwrap().unwrap()), "unknown");
        assert_eq!((busy.hits(), broken.load(Ordering::SeqCst)), (1, 1));
        busy_call.abort();
    }

    callers_get_their_own_answers_while_others_cancel => {
        let mesh = two_nodes(json!({"slots": 64, "queue": 64})).await;
        let target = mesh.target(1, "s").await;
        target.delay_ms.store(20, Ordering::SeqCst);
        let client = client();
        let mut rng = fastrand::Rng::with_seed(3);
        let calls = (0..200).map(|i| {
            let (client, url, gives_up) = (client.clone(), mesh.url(0, "/s/echo"), rng.u32(..3) == 0);
            async move {
                let body = format!("request {i} ").repeat(50);
                let call = client.post(url).body(body.clone()).send();
                let max_wait = Duration::from_millis(if gives_up { 15 } else { 20_000 });
                let Ok(Ok(response)) = tokio::time::timeout(max_wait, call).await else { return 0 };
                if outcome(&response) != "answered" {
                    return 0;
                }
                assert_eq!(response.text().await.unwrap(), body);
                1
            }
        });
        let answered: usize = join_all(calls).await.into_iter().sum();
        assert!(answered > 50, "only {answered} answers to compare");
    }

    key_sent_to_two_nodes_at_once_runs_once => {
        let mesh = two_nodes(json!({"repeat": "never"})).await;
        let target = mesh.target(1, "s").await;
        target.delay_ms.store(100, Ordering::SeqCst);
        let key = mesh.key(0, "s").await;
        let send = |i: usize, body: &'static str| {
            client().post(mesh.url(i, "/s")).header("idempotency-key", &key).body(body).send()
        };
        let both = join_all([send(0, "debit"), send(1, "debit"), send(0, "debit")]).await;
        let mut outcomes = Vec::new();
        for response in both {
            let response = response.unwrap();
            outcomes.push(outcome(&response).to_owned());
            assert_eq!(response.text().await.unwrap(), "t1 /s debit");
        }
        outcomes.sort();
        assert_eq!(outcomes, ["answered", "recorded", "recorded"]);
        let repeat = send(1, "debit").await.unwrap();
        assert_eq!(outcome(&repeat), "recorded");
        let other = send(1, "another debit").await.unwrap();
        assert_eq!((other.status().as_u16(), outcome(&other)), (422, "not-run"));
        assert_eq!(target.hits(), 1);
    }

    key_of_a_stopped_node_is_unknown_and_not_run_elsewhere => {
        let mut mesh = two_nodes(json!({"repeat": "never"})).await;
        let stopped = mesh.target(1, "s").await;
        let key = mesh.key(0, "s").await;
        let send = || client().post(mesh.url(0, "/s")).header("idempotency-key", &key).body("debit").send();
        assert_eq!(outcome(&send().await.unwrap()), "answered");
        mesh.stop(1).await;
        let other = mesh.target(0, "s").await;
        let send = || client().post(mesh.url(0, "/s")).header("idempotency-key", &key).body("debit").send();
        assert_eq!(outcome(&send().await.unwrap()), "unknown");
        assert_eq!((stopped.hits(), other.hits()), (1, 0));
        // A new key makes a new request, which goes to the remaining target.
        let key = mesh.key(0, "s").await;
        let fresh = client().post(mesh.url(0, "/s")).header("idempotency-key", key).body("debit").send();
        assert_eq!(outcome(&fresh.await.unwrap()), "answered");
    }

    answer_that_a_caller_missed_is_returned_as_recorded => {
        let mesh = two_nodes(json!({"repeat": "never"})).await;
        let target = mesh.target(1, "s").await;
        target.delay_ms.store(300, Ordering::SeqCst);
        let key = mesh.key(0, "s").await;
        let send = |i: usize| client().post(mesh.url(i, "/s")).header("idempotency-key", &key).body("debit").send();
        // The caller disconnects while the request runs, and repeats it at the other node.
        assert!(tokio::time::timeout(Duration::from_millis(100), send(0)).await.is_err());
        let response = until("the recorded answer is returned", || async {
            let response = send(1).await.ok()?;
            (outcome(&response) == "recorded").then_some(response)
        })
        .await;
        assert_eq!(response.text().await.unwrap(), "t1 /s debit");
        assert_eq!(target.hits(), 1);
    }

    key_that_was_not_issued_is_refused => {
        let mesh = two_nodes(json!({"repeat": "never"})).await;
        let target = mesh.target(1, "s").await;
        let forged = format!("n1.{}.{:032x}", mesh.daemons[1].node.incarnation(), 5);
        for (key, status, expected) in [("a-key-of-mine", 400, "not-run"), (forged.as_str(), 410, "unknown")] {
            let sent = client().post(mesh.url(0, "/s")).header("idempotency-key", key).body("debit").send();
            let response = sent.await.unwrap();
            assert_eq!((response.status().as_u16(), outcome(&response)), (status, expected));
        }
        assert_eq!(target.hits(), 0);
    }

    drain_sends_new_and_queued_requests_elsewhere => {
        let mesh = two_nodes(json!({"slots": 1, "queue": 8})).await;
        let leaving = mesh.target(0, "s").await;
        let staying = mesh.target(1, "s").await;
        leaving.delay_ms.store(400, Ordering::SeqCst);
        let calls = (0..3).map(|i| client().post(mesh.url(0, "/s")).body(format!("{i}")).send());
        let calls = tokio::spawn(join_all(calls));
        until("one request runs at the draining target", || async { (leaving.hits() == 1).then_some(()) }).await;
        let at = mesh.daemons[0].listen.operators;
        let drained: Vec<Value> = mesh::post(at, "drain", &json!({"service": "s"})).await.unwrap();
        assert_eq!(drained[0]["draining"], true);
        let hits = leaving.hits();
        for response in calls.await.unwrap() {
            assert_eq!(outcome(&response.unwrap()), "answered");
        }
        for _ in 0..5 {
            let response = client().post(mesh.url(1, "/s")).body("new").send().await.unwrap();
            assert_eq!(response.headers()["x-target"], "t1");
        }
        // Requests queued at the drain were refused without running, and sent elsewhere.
        assert_eq!(leaving.hits(), hits);
        assert!(staying.hits() >= 5);
    }

    missed_deadline_is_reported_as_unknown => {
        let mesh = two_nodes(json!({"repeat": "never"})).await;
        let target = mesh.target(1, "s").await;
        target.delay_ms.store(5_000, Ordering::SeqCst);
        let sent = client().post(mesh.url(0, "/s")).header("rilltrack-deadline-ms", "200").body("x").send();
        let response = sent.await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response)), (504, "unknown"));
        let sent = client().post(mesh.url(0, "/s")).header("rilltrack-deadline-ms", "0").body("x").send();
        assert_eq!(outcome(&sent.await.unwrap()), "not-run");
        assert_eq!(target.hits(), 1);
    }

    slow_lookup_is_hedged => {
        let mesh = two_nodes(json!({"hedge_after": "50ms"})).await;
        let slow = mesh.target(0, "s").await;
        let quick = mesh.target(1, "s").await;
        slow.delay_ms.store(3_000, Ordering::SeqCst);
        let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(response.headers()["x-target"], "t1");
        assert_eq!((slow.hits(), quick.hits()), (1, 1));
    }

    failing_target_is_ejected_unless_it_is_the_last_one => {
        let mesh = two_nodes(json!({})).await;
        let failing = mesh.target(0, "s").await;
        failing.status.store(500, Ordering::SeqCst);
        for _ in 0..8 {
            // An error status of the target is its answer, which is forwarded.
            let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
            assert_eq!((response.status().as_u16(), outcome(&response)), (500, "answered"));
        }
        assert_eq!(failing.hits(), 8);
        let healthy = mesh.target(1, "s").await;
        for _ in 0..8 {
            let response = client().get(mesh.url(0, "/s")).send().await.unwrap();
            assert_eq!(response.status().as_u16(), 200);
        }
        assert_eq!((failing.hits(), healthy.hits()), (8, 8));
    }

    receiver_refuses_a_sender_that_its_newer_view_forbids => {
        let mesh = two_nodes(json!({})).await;
        let target = mesh.target(1, "s").await;
        let boundary = json!({"kind": "boundary", "name": "stay", "services": {"all": true},
            "from": {"match_labels": {"name": "palermo"}}, "to": {"match_labels": {"name": "palermo"}}});
        let inbound = mesh.daemons[1].listen.inbound;
        let send = |domain: &'static str| {
            let sent = client().get(format!("http://{inbound}/s"));
            let sent = sent.header("rilltrack-service", "s").header("rilltrack-node", "n9");
            sent.header("rilltrack-domain", domain).send()
        };
        assert_eq!(outcome(&send("palermo").await.unwrap()), "answered");
        mesh.publish("narrow", ops(&[boundary])).await;
        let response = send("palermo").await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response)), (503, "not-run"));
        assert_eq!(outcome(&send("catania").await.unwrap()), "answered");
        assert_eq!(outcome(&client().get(format!("http://{inbound}/s")).send().await.unwrap()), "not-run");
        assert_eq!(target.hits(), 2);
    }

    bad_input_is_refused_before_any_target => {
        let mesh = two_nodes(json!({"max_body": "1KiB"})).await;
        let target = mesh.target(1, "s").await;
        let callers = mesh.daemons[0].listen.callers;
        let long = format!("GET /s HTTP/1.1\r\nhost: h\r\nx-long: {}\r\n\r\n", "a".repeat(1 << 20));
        let raw_inputs = [
            "POST /s HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
            "POST /s HTTP/1.1\r\nhost: h\r\ncontent-length: nan\r\n\r\nabc",
            "GET /s HTTP/1.1\r\nhost: h\r\nbad header\r\n\r\n",
            "\u{0}\u{1}\u{2}\r\n\r\n",
            &long,
        ];
        for input in raw_inputs {
            let answer = raw::exchange(callers, input.as_bytes()).await;
            let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
            assert!(refused, "{:?} got {answer:?}", &input[..40.min(input.len())]);
        }
        let large = client().post(mesh.url(0, "/s")).body(vec![0u8; 2000]).send().await.unwrap();
        assert_eq!((large.status().as_u16(), outcome(&large)), (413, "not-run"));
        let unknown = client().get(mesh.url(0, "/nowhere")).send().await.unwrap();
        assert_eq!((unknown.status().as_u16(), outcome(&unknown)), (404, "not-run"));
        assert_eq!(target.hits(), 0);
        assert_eq!(outcome(&client().get(mesh.url(0, "/s")).send().await.unwrap()), "answered");
    }

    // Guards against a node that refuses another one's request for the headers that nodes add.
    request_with_as_many_headers_as_callers_may_send_reaches_the_target => {
        let mesh = two_nodes(json!({})).await;
        let target = mesh.target(1, "s").await;
        let headers: String = (0..98).map(|i| format!("x-{i}: {i}\r\n")).collect();
        let request = format!("GET /s HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n");
        let answer = raw::exchange_until_closed(mesh.daemons[0].listen.callers, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_eq!(target.hits(), 1);
    }

    // Guards against an answer of a node's HTTP library that passes for one of the target.
    answer_of_a_node_without_an_outcome_is_no_answer_of_the_target => {
        let program = Path::new(env!("CARGO_BIN_EXE_rilltrackd"));
        let log = Log::start();
        let mut nodes = processes(program, &log, &[("a1", "palermo"), ("b1", "catania")]).await;
        let version = publish(nodes[0].listen.operators, "base", ops(&resources(&DOMAINS, "s", json!({})))).await;
        for node in &nodes {
            wait_for_version(&node.listen, version).await;
        }
        let target = Target::start("t", "s");
        let listens = [&nodes[0].listen, &nodes[1].listen];
        attach(&target, listens[1], &listens).await;
        nodes[1].signal(libc::SIGKILL);
        nodes[1].wait().await;
        let listener = tokio::net::TcpListener::bind(nodes[1].listen.inbound).await.unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut bytes = [0; 4096];
                drop(stream.read(&mut bytes).await);
                let refusal = b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\n\r\n";
                drop(stream.write_all(refusal).await);
            }
        });
        let sent = client().post(format!("http://{}/s", nodes[0].listen.callers)).body("x").send();
        let response = sent.await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response)), (502, "unknown"));
    }

    target_cannot_set_outcome_headers => {
        let mesh = two_nodes(json!({})).await;
        let forged = b"HTTP/1.1 503 Full\r\nrilltrack-outcome: not-run\r\nrilltrack-reason: full\r\ncontent-length: 2\r\n\r\nok".to_vec();
        let (address, hits) = raw::target(move |_| Some(forged.clone())).await;
        mesh.announce(1, "s", address).await;
        // A caller can't set internal headers either: this one claims a keyed request
        // without a key.
        let sent = client().post(mesh.url(0, "/s")).header("rilltrack-keyed", "1").body("debit").send();
        let response = sent.await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response)), (503, "answered"));
        assert!(!response.headers().contains_key("rilltrack-reason"));
        assert_eq!(hits.load(Ordering::SeqCst), 1);
    }

    interrupted_upload_is_never_complete_at_the_target => {
        let mesh = two_nodes(json!({"max_body": "1MiB"})).await;
        let target = mesh.target(1, "s").await;
        let head = "POST /s/digest HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        let part = "186A0\r\n".to_owned() + &"x".repeat(100_000) + "\r\n";
        raw::exchange(mesh.daemons[0].listen.callers, (head.to_owned() + &part).as_bytes()).await;
        until("the upload ends at the target", || async { (target.ended_bodies() == 1).then_some(()) }).await;
        assert_eq!(target.complete_bodies.load(Ordering::SeqCst), 0);
        // The size of a chunked body shows only while it is sent.
        let body = futures_util::stream::iter((0..40).map(|_| Ok::<_, std::io::Error>(vec![0u8; 65_536])));
        let sent = client().post(mesh.url(0, "/s/digest")).body(reqwest::Body::wrap_stream(body)).send();
        // The caller may get the answer, or lose it when the connection breaks while it
        // writes. The answer is never the target's.
        if let Ok(response) = sent.await {
            assert_ne!(outcome(&response), "answered");
        }
        until("the upload ends at the target", || async { (target.ended_bodies() == 2).then_some(()) }).await;
        assert_eq!(target.complete_bodies.load(Ordering::SeqCst), 0);
    }

    sigterm_interrupts_neither_upload_nor_download => {
        let program = Path::new(env!("CARGO_BIN_EXE_rilltrackd"));
        let log = Log::start();
        let mut nodes = processes(program, &log, &[("a1", "palermo"), ("b1", "catania")]).await;
        let policy = json!({"max_body": "1GiB", "timeout": "30s"});
        let version = publish(nodes[0].listen.operators, "base", ops(&resources(&DOMAINS, "s", policy))).await;
        for node in &nodes {
            wait_for_version(&node.listen, version).await;
        }
        let target = Target::start("t", "s");
        let listens = [&nodes[0].listen, &nodes[1].listen];
        attach(&target, listens[1], &listens).await;
        // The body is uploaded and echoed while both nodes shut down.
        let (sender, body) = tokio::sync::mpsc::channel::<Result<Vec<u8>, std::io::Error>>(1);
        let body = futures_util::stream::unfold(body, |mut body| async { Some((body.recv().await?, body)) });
        let url = format!("http://{}/s/echo", nodes[0].listen.callers);
        sender.send(Ok(vec![0; 1000])).await.unwrap();
        let call = tokio::spawn(client().put(url).body(reqwest::Body::wrap_stream(body)).send());
        until("the request reaches the target", || async { (target.hits() == 1).then_some(()) }).await;
        nodes.iter().for_each(|node| node.signal(libc::SIGTERM));
        let refused = until("new requests are refused", || async {
            let sent = client().get(format!("http://{}/s", nodes[0].listen.callers)).send().await;
            match sent {
                Ok(response) => (outcome(&response) == "not-run").then_some(()),
                Err(error) => error.is_connect().then_some(()),
            }
        });
        refused.await;
        for i in 1..50u8 {
            sender.send(Ok(vec![i; 1000])).await.unwrap();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(sender);
        let answer = call.await.unwrap().unwrap().bytes().await.unwrap();
        assert_eq!(answer.len(), 50_000);
        for node in &mut nodes {
            assert_eq!(node.wait().await, Some(0));
        }
    }

    http2_callers_stream_both_ways => {
        let mesh = two_nodes(json!({"hedge_after": "50ms"})).await;
        let slow = mesh.target(0, "s").await;
        mesh.target(1, "s").await;
        let h2 = rilltrack::transport::http::client().http2_prior_knowledge().build().unwrap();
        let chunks: Vec<Vec<u8>> = (0..50u8).map(|i| vec![i; 10_000]).collect();
        let expected = chunks.concat();
        let body = futures_util::stream::iter(chunks.into_iter().map(Ok::<_, std::io::Error>));
        let sent = h2.post(mesh.url(0, "/s/echo")).body(reqwest::Body::wrap_stream(body)).send().await;
        let response = sent.unwrap();
        assert_eq!((response.version(), outcome(&response)), (reqwest::Version::HTTP_2, "answered"));
        assert_eq!(response.bytes().await.unwrap(), expected);
        // A request without a body is hedged as over HTTP/1.1.
        slow.delay_ms.store(3_000, Ordering::SeqCst);
        let response = h2.get(mesh.url(0, "/s")).send().await.unwrap();
        assert_eq!(response.headers()["x-target"], "t1");
    }

    http2_target_gets_requests_over_http2 => {
        let mesh = two_nodes(json!({})).await;
        let mut target = Target::start("t", "s");
        target.http2 = true;
        attach(&target, &mesh.daemons[1].listen, &mesh.listen_addresses()).await;
        let response = client().post(mesh.url(0, "/s")).body("x").send().await.unwrap();
        assert_eq!(response.headers()["x-version"], "HTTP/2.0");
        let body: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
        let response = client().post(mesh.url(0, "/s/echo")).body(body.clone()).send().await.unwrap();
        assert_eq!(response.bytes().await.unwrap(), body);
    }

    connection_with_slow_headers_is_closed => {
        let mesh = two_nodes(json!({})).await;
        let callers = mesh.daemons[0].listen.callers;
        let mut stream = tokio::net::TcpStream::connect(callers).await.unwrap();
        stream.write_all(b"GET /s HTTP/1.1\r\nhost: h\r\n").await.unwrap();
        let mut answer = Vec::new();
        // The settings of the test allow 1 s for headers. Without that limit the connection
        // would stay open.
        let ended = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut answer)).await;
        assert!(ended.is_ok(), "the connection stays open although the headers never end");
    }

    large_bodies_pass_unchanged => {
        let mesh = two_nodes(json!({"max_body": "1GiB", "timeout": "30s"})).await;
        mesh.target(1, "s").await;
        let mut hasher = blake3::Hasher::new();
        let chunks: Vec<Vec<u8>> = (0..512u32).map(|i| vec![i as u8; 65_536]).collect();
        chunks.iter().for_each(|chunk| { hasher.update(chunk); });
        let body = futures_util::stream::iter(chunks.into_iter().map(Ok::<_, std::io::Error>));
        let body = reqwest::Body::wrap_stream(body);
        let response = client().post(mesh.url(0, "/s/digest")).body(body).send().await.unwrap();
        assert_eq!(response.text().await.unwrap(), hasher.finalize().to_hex().to_string());
    }
}
