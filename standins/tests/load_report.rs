//! Load reports between a few nodes: early rejection, and what remains when nodes fail.

use std::time::Duration;

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    raw,
    store::Store,
    target::Mode,
    until,
};
use serde_json::{Value, json};

/// The slots that the target of a [`Host`] states.
const SLOTS: u64 = 4;

/// Returns a version with services a and b, whose routes are open to all, and a team with a
/// priority if `has_priority`.
fn open_version(number: u64, has_priority: bool) -> Value {
    let mut version = version(number, &["a", "b"]);
    let resources = version["resources"].as_array_mut().unwrap();
    for resource in resources.iter_mut() {
        if resource["resourceType"] == "routes" {
            resource["spec"]["allowAnonymous"] = true.into();
        }
        if resource["metadata"]["name"] == "post-b" {
            resource["spec"]["targetLatency"] = "60ms".into();
            resource["spec"]["priority"] = 2.into();
        }
    }
    if has_priority {
        resources.push(
            json!({"resourceType": "tenants", "metadata": {"name": "fares"},
            "spec": {"apiKeys": ["k"], "priority": 1, "ratePerS": 0, "burst": 0}}),
        );
    }
    version
}

/// Starts hosts named by their domains and services, which know each other.
async fn fleet(version: &Value, hosts: &[(&str, &str, &str)]) -> (Store, Vec<Host>) {
    let store = Store::start().await;
    store.publish(version);
    let mut started = Vec::new();
    for (name, domain, service) in hosts {
        started.push(Host::start(&store, name, domain, service).await);
    }
    until("all know each other", async || {
        let knows_all = |host: &Host| hosts.iter().all(|(name, ..)| host.knows(name));
        started.iter().all(knows_all)
    })
    .await;
    (store, started)
}

/// Returns the loads that a node knows, as `rilltrack room` gets them.
async fn room(host: &Host) -> Vec<Value> {
    let ask = "GET /room HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = raw::exchange_until_closed(host.peers(), ask.as_bytes()).await;
    let (_, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    serde_json::from_str(body).unwrap_or_default()
}

/// Returns whether a node has a fresh report of the target beside `of`, with this many running.
async fn knows_running(host: &Host, of: &Host, running: u64) -> bool {
    let is_found = |known: &Value| {
        known["node"] == of.name.as_str()
            && known["is_fresh"] == true
            && known["state"]["running"] == running
    };
    room(host).await.iter().any(is_found)
}

/// Keeps the target of a host, which answers nothing, and its queue full until it is dropped.
fn fill(host: &Host) -> tokio::task::JoinSet<()> {
    host.target.set(Mode::Hangs);
    let callers = host.callers();
    let mut sent = tokio::task::JoinSet::new();
    for number in 0..20 {
        sent.spawn(async move {
            let request = format!(
                "GET /get/b/fill HTTP/1.1\r\nHost: fares.example\r\nConnection: close\r\n\
                 Rilltrack-Attempt-Id: f{number}\r\nRilltrack-Deadline-Ms: 30000\r\n\r\n"
            );
            loop {
                raw::exchange_until_closed(callers, request.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    }
    sent
}

/// Returns the value of a metric that begins with `name`; 0 if there is none.
async fn metric(host: &Host, name: &str) -> f64 {
    let metrics = host.metrics().await;
    let line = metrics.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0.0)
}

/// Returns how many attempts of a host at service b were refused.
async fn refused_attempts(host: &Host) -> f64 {
    metric(host, r#"rilltrack_tries_total{service="b",end="refused"}"#).await
}

cases! {
    // Guards against asking targets that are known to be full.
    full_service_is_refused_at_the_entry_without_asking => {
        let hosts = [("one", "here", "a"), ("two", "here", "b")];
        let (_store, fleet) = fleet(&open_version(5, true), &hosts).await;
        let [one, two] = &fleet[..] else { unreachable!() };
        one.ask("GET", "/get/b/first", "id0", "").await;
        until("the load is known", async || knows_running(one, two, 0).await).await;
        let _filling = fill(two);
        // A request that comes before would run in a free slot.
        until("all slots are known to be taken", async || knows_running(one, two, SLOTS).await).await;
        until("it is refused at the entry", async || {
            let refused = refused_attempts(one).await;
            let rejected = metric(one, "rilltrack_no_room_total").await;
            let answer = one.ask_within("POST", "/post/b/y", "id1", "", 1_000).await;
            if !answer.contains("not-run: no target has room") {
                return false;
            }
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("retry-after: 0."), "{answer}");
            assert_eq!(refused_attempts(one).await, refused, "a target was asked");
            assert_eq!(metric(one, "rilltrack_no_room_total").await, rejected + 1.0);
            true
        })
        .await;
        assert!(two.target.seen().iter().all(|seen| !seen.line.contains("/y ")));
    }

    // Guards against traffic where nothing calls for it.
    without_a_teams_priority_nothing_is_reported => {
        let hosts = [("one", "here", "a"), ("two", "here", "b")];
        let (store, fleet) = fleet(&open_version(5, false), &hosts).await;
        let [one, two] = &fleet[..] else { unreachable!() };
        one.ask("GET", "/get/b/first", "id0", "").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(room(one).await.is_empty() && room(two).await.is_empty());
        // The version in force alone enables it.
        store.publish(&open_version(6, true));
        until("the load is known", async || {
            one.ask("GET", "/get/b/first", "id0", "").await;
            knows_running(one, two, 0).await
        })
        .await;
    }

    // Guards against a domain without reports after its first-ranked node has stopped, and
    // against a report of a stopped node that still counts.
    reports_go_on_after_the_first_ranked_node_stops => {
        let hosts = [
            ("one", "here", "a"), ("two", "here", "b"), ("three", "here", "b"), ("four", "there", "b"),
        ];
        let (_store, mut fleet) = fleet(&open_version(5, true), &hosts).await;
        let all_known = async |host: &Host, of: &[&Host]| {
            host.ask("GET", "/get/b/x", "id0", "").await;
            let mut is_known = true;
            for other in of {
                is_known &= knows_running(host, other, 0).await;
            }
            is_known
        };
        until("reports of both domains arrive", async || {
            all_known(&fleet[0], &[&fleet[1], &fleet[2], &fleet[3]]).await
        })
        .await;
        // Whichever of the three is first, the two others go on. While the nodes elect it, none or
        // several of them read the store.
        let readers = || {
            let domain = fleet.iter().take(3).enumerate();
            domain.filter(|(_, host)| host.reads()).map(|(number, _)| number).collect::<Vec<_>>()
        };
        until("one node of the domain reads the store", async || readers().len() == 1).await;
        let first = readers()[0];
        let mut stopped = fleet.remove(first);
        stopped.stop().await;
        let others: Vec<&Host> = fleet.iter().filter(|host| host.service == "b").collect();
        until("reports arrive again", async || {
            all_known(others[0], &others[1..]).await
        })
        .await;
        let is_stale = |known: &Value| known["node"] != stopped.name.as_str() || known["is_fresh"] == false;
        until("the stopped node's report expires", async || {
            room(others[0]).await.iter().all(is_stale)
        })
        .await;
    }
}
