//! Targets that crash if they get many requests while they are cold.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rilltrack_standins::{
    cases,
    fleet::{self, Host, version},
    store::Store,
    target::Cold,
    until,
};
use serde_json::Value;

/// The requests per second that a cold target tolerates.
const TOLERATED: usize = 6;

/// How long a target is cold: longer than any case takes.
const COLD_TIME: Duration = Duration::from_secs(60);

fn warming_version() -> Value {
    let mut version = version(5, &["a", "b"]);
    for resource in version["resources"].as_array_mut().unwrap() {
        if resource["resourceType"] == "services" {
            resource["spec"]["warmupPerS"] = (TOLERATED as f64).into();
            resource["spec"]["warmup"] = "3s".into();
        }
    }
    version
}

/// Starts two hosts that know each other, with targets of a and b.
async fn pair() -> (Store, Host, Host) {
    fleet::pair(&warming_version(), "b").await
}

fn cold() -> Option<Cold> {
    Some(Cold {
        tolerated: TOLERATED,
        until: Instant::now() + COLD_TIME,
    })
}

/// Sends a heartbeat of a target that is cold or warm.
async fn heartbeat(host: &Host, sequence: u64, warmup: &str) {
    let mut body = host.heartbeat_body("i1", sequence, "ready");
    body["status"]["warmupLeft"] = warmup.into();
    host.tell("/api/instances/i1/heartbeat", &body.to_string())
        .await;
}

/// Sends 200 requests for service a to both nodes, eight at a time; returns how many were
/// served.
async fn herd(one: &Host, two: &Host) -> usize {
    let callers = (0..4).flat_map(|number| [one, two].map(|host| caller(host, number)));
    join_all(callers).await.into_iter().sum()
}

/// Sends 25 requests for service a one after the other; returns how many were served.
async fn caller(host: &Host, number: usize) -> usize {
    let mut served = 0;
    for i in 0..25 {
        let id = format!("{}-{number}-{i}", host.name);
        let answer = host.ask_within("GET", "/get/a/x", &id, "", 2_000).await;
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
    }
    served
}

cases! {
    cold_target_gets_no_more_than_it_tolerates_from_all_nodes_together => {
        let (_store, one, two) = pair().await;
        one.target.set_cold(cold());
        heartbeat(&one, 2, "60s").await;
        let served = herd(&one, &two).await;
        assert_eq!(one.target.ended(), 0, "it crashed");
        assert!(one.target.busiest_second(Instant::now()) <= TOLERATED);
        assert!(served >= TOLERATED, "{served} served");
    }

    target_that_is_warm_gets_all_requests => {
        let (_store, one, two) = pair().await;
        heartbeat(&one, 2, "0ms").await;
        assert!(herd(&one, &two).await > 100);
    }

    restarted_node_asks_whether_its_target_is_cold => {
        for is_cold in [true, false] {
            let (_store, mut one, two) = pair().await;
            one.target.set_cold(cold().filter(|_| is_cold));
            one.stop().await;
            one.run();
            one.until_ready().await;
            until("the other node reaches it", async || {
                two.ask("GET", "/get/a/x", "id1", "").await.starts_with("HTTP/1.1 200")
            })
            .await;
            let served = herd(&one, &two).await;
            assert_eq!(one.target.ended(), 0, "it crashed");
            if is_cold {
                assert!(one.target.busiest_second(Instant::now()) <= TOLERATED);
            } else {
                assert!(served > 100, "{served} served");
            }
        }
    }

    restarted_node_learns_of_a_leave_from_the_health_answer => {
        let (_store, mut one, two) = pair().await;
        one.target.set_notice("Server-Leaving: 1\r\n");
        one.stop().await;
        one.run();
        until("the other node knows the leave", async || !two.knows("n1")).await;
        assert!(one.target.seen().is_empty(), "no request was needed");
    }

    target_that_becomes_cold_again_is_paced_from_its_next_heartbeat => {
        let (_store, one, two) = pair().await;
        heartbeat(&one, 2, "0ms").await;
        assert!(herd(&one, &two).await > 100);
        let before = one.target.seen().len();
        tokio::time::sleep(Duration::from_secs(1)).await;
        one.target.set_cold(cold());
        heartbeat(&one, 3, "60s").await;
        herd(&one, &two).await;
        assert_eq!(one.target.ended(), 0, "it crashed");
        assert!(one.target.seen().len() - before <= TOLERATED * 4, "of four seconds at most");
    }
}
