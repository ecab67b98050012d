//! Targets that state in their answers how slow they are.

use std::time::Duration;

use rilltrack::{
    coordination::gate,
    id::Incarnation,
    state::member::{Member, Status, Target as MemberTarget},
};
use rilltrack_standins::{
    cases,
    fleet::{self, Host},
    raw,
    store::Store,
    until,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
};

/// The usual run time of a request, and the objective: a run that takes eight times as long
/// misses it.
const RUN_TIME: Duration = Duration::from_millis(100);
const OBJECTIVE: &str = "400ms";

/// The slowness of a slow target, in hundredths.
const SLOW: u32 = 800;

/// Returns a version with that objective on all routes.
fn version(services: &[&str]) -> Value {
    let mut version = fleet::version(5, services);
    for resource in version["resources"].as_array_mut().unwrap() {
        if resource["resourceType"] == "routes" {
            resource["spec"]["targetLatency"] = OBJECTIVE.into();
        }
    }
    version
}

/// Starts two hosts with targets of services a and `other` that state the usual slowness, and
/// returns them once the second one knows the usual run time of service a.
///
/// They report no loads to each other: by the reports, the sender avoids a slow target before it
/// is redirected.
async fn pair(other: &str) -> (Store, Host, Host) {
    let (store, mut one, mut two) = fleet::pair(&version(&["a", "b"]), other).await;
    for host in [&mut one, &mut two] {
        host.load_reports = Some(false);
        host.stop().await;
        host.run();
        host.until_ready().await;
    }
    until("both nodes know each other", async || {
        one.knows("n2") && two.knows("n1")
    })
    .await;
    for host in [&one, &two] {
        host.target.set_run_time(RUN_TIME);
        host.target.set_slowness(Some(100));
    }
    for i in 0..5 {
        served(&two, &format!("first{i}")).await;
    }
    (store, one, two)
}

/// Sends a request for service a; it is served.
async fn served(host: &Host, id: &str) {
    let answer = host.ask("GET", "/get/a/x", id, "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!answer.contains("rilltrack-hop"), "{answer}");
}

/// Sends a request that takes no time to the node of a target, as another node does, so that
/// the node knows what the target states. Returns the answer.
async fn refresh(host: &Host) -> String {
    let request = format!(
        "GET /get/a/quick HTTP/1.1\r\nhost: fares.example\r\nrilltrack-attempt-id: q\r\n\
         rilltrack-hop: {};{};1;500;1000;2000;;0;0;0\r\nconnection: close\r\n\r\n",
        host.name, host.service
    );
    raw::exchange_until_closed(host.inbound(), request.as_bytes()).await
}

/// Returns how many attempts of a node were redirected.
async fn redirected(host: &Host) -> u64 {
    let metrics = host.metrics().await;
    let mut lines = metrics.lines();
    let line =
        lines.find(|line| line.starts_with("rilltrack_tries") && line.contains("end=\"slow\""));
    let count = line.and_then(|line| line.rsplit(' ').next());
    count.map_or(0, |count| count.parse().unwrap())
}

/// Returns the names of the headers in a head, in order.
fn names(head: &str) -> Vec<String> {
    let (head, _) = head.split_once("\r\n\r\n").unwrap();
    let lines = head.lines().skip(1);
    lines
        .map(|line| line.split(':').next().unwrap().to_lowercase())
        .collect()
}

/// A node that exists only as a member record. It passes on the heads of the requests that it
/// gets, and answers them with a slowness if `is_stating`.
async fn introduce(to: &Host, name: &str, is_stating: bool) -> mpsc::UnboundedReceiver<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    to.introduce(Member {
        node: name.parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: "here".parse().unwrap(),
        peers: address,
        inbound: address,
        labels: Default::default(),
        targets: vec![MemberTarget {
            service: "a".parse().unwrap(),
            address,
            http2: false,
            draining: false,
            slots: 4,
            instance: "i1".into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    });
    let (sender, heads) = mpsc::unbounded_channel();
    let stated = if is_stating {
        "rilltrack-hop-slowness: 100\r\n"
    } else {
        ""
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrilltrack-hop: answered;1;0/0;0,0,4;1.00;1;;\r\n{stated}\
         content-length: 2\r\nconnection: close\r\n\r\nok"
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else {
                    break;
                };
                head.push(byte);
            }
            let head = String::from_utf8(head).unwrap();
            if head.contains("/get/a/") {
                let _ = sender.send(head);
            }
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    heads
}

cases! {
    request_that_a_slow_target_would_make_late_is_served_elsewhere => {
        let (_store, one, two) = pair("a").await;
        one.target.set_slowness(Some(SLOW));
        let mut seen = 0;
        until("three requests were redirected", async || {
            refresh(&one).await;
            let before = redirected(&two).await;
            let id = format!("x{seen}-{before}");
            served(&two, &id).await;
            if redirected(&two).await > before {
                assert!(two.target.ran().contains(&id), "{id} ran elsewhere");
                assert!(!one.target.ran().contains(&id), "{id} ran at the slow target");
                assert!(!two.metrics().await.contains(gate::SLOW), "no caller gets the redirect");
                seen += 1;
            }
            seen == 3
        })
        .await;
    }

    request_is_served_when_all_targets_are_slow => {
        let (_store, one, two) = pair("a").await;
        for host in [&one, &two] {
            host.target.set_slowness(Some(SLOW));
        }
        let mut number = 0;
        until("two requests were redirected", async || {
            refresh(&one).await;
            refresh(&two).await;
            served(&two, &format!("x{number}")).await;
            number += 1;
            redirected(&two).await >= 2
        })
        .await;
    }

    single_target_that_is_slow_gets_all_requests => {
        let (_store, one, two) = pair("b").await;
        one.target.set_slowness(Some(SLOW));
        for i in 0..3 {
            refresh(&one).await;
            served(&two, &format!("x{i}")).await;
        }
        assert_eq!(redirected(&two).await, 0);
    }

    restarted_sender_learns_of_a_slow_target_by_a_redirect => {
        let (_store, one, mut two) = pair("a").await;
        one.target.set_slowness(Some(SLOW));
        two.stop().await;
        two.run();
        two.until_ready().await;
        until("both nodes know each other", async || one.knows("n2") && two.knows("n1")).await;
        let mut number = 0;
        until("a request was redirected", async || {
            refresh(&one).await;
            served(&two, &format!("y{number}")).await;
            number += 1;
            redirected(&two).await > 0
        })
        .await;
    }

    slowness_is_in_the_answer_to_a_node_and_in_the_metrics_while_it_is_fresh => {
        let (_store, one, _two) = pair("a").await;
        one.target.set_slowness(Some(250));
        let answer = refresh(&one).await;
        assert!(answer.contains("rilltrack-hop-slowness: 250\r\n"), "{answer}");
        until("the metric tells it", async || {
            refresh(&one).await;
            one.metrics().await.contains("\nrilltrack_gate_slowness 2.5")
        })
        .await;
        until("the figure expires", async || {
            one.metrics().await.contains("\nrilltrack_gate_slowness -1")
        })
        .await;
    }

    target_that_states_nothing_gets_and_gives_the_same_headers_as_before => {
        let (_store, one, two) = fleet::pair(&version(&["a", "b"]), "b").await;
        let answer = refresh(&one).await;
        let before = ["rilltrack-attempt-id", "rilltrack-response-signature", "content-length",
            "rilltrack-hop", "connection", "date"];
        assert_eq!(names(&answer), before, "{answer}");
        // The other node knows three targets of the service, so it could ask elsewhere.
        let mut heads = introduce(&two, "n8", false).await;
        introduce(&two, "n9", false).await;
        let mut number = 0;
        until("a request came to the node", async || {
            served(&two, &format!("x{number}")).await;
            number += 1;
            !heads.is_empty()
        })
        .await;
        let head = heads.recv().await.unwrap();
        let before = ["host", "rilltrack-attempt-id", "rilltrack-deadline-ms", "content-length",
            "rilltrack-caller-service", "rilltrack-hop"];
        assert_eq!(names(&head), before, "{head}");
    }

    sender_asks_for_redirects_once_a_target_of_the_service_has_stated_its_slowness => {
        let (_store, _one, two) = fleet::pair(&version(&["a", "b"]), "b").await;
        let mut heads = introduce(&two, "n8", true).await;
        let mut number = 0;
        until("a request asks for it", async || {
            served(&two, &format!("x{number}")).await;
            number += 1;
            let head = heads.try_recv().unwrap_or_default();
            head.contains("rilltrack-hop-slow: 1\r\n")
        })
        .await;
    }
}
