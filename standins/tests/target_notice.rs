//! Targets that state in their answers how many requests they take, or that they leave.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rilltrack_standins::{
    cases,
    fleet::{self, Host, version},
    store::{Mode as StoreMode, Store},
    target::{Mode, Target},
    until,
};

/// The limit that targets state, in requests per second.
const LIMIT: f64 = 10.0;

/// The span in which requests beyond a limit are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Starts two hosts that know each other, both with a target of service a.
async fn pair() -> (Store, Host, Host) {
    fleet::pair(&version(5, &["a"]), "a").await
}

/// Starts two hosts that know each other, with targets of services a and b.
async fn single() -> (Store, Host, Host) {
    fleet::pair(&version(5, &["a", "b"]), "b").await
}

/// Returns the most requests that a target may get within `SPAN` while it states a limit:
/// half more than the limit, and five.
fn allowed(limit: f64) -> usize {
    (limit * 1.5 * SPAN.as_secs_f64()) as usize + 5
}

/// Asks for service a until the answer is a target's.
async fn served(host: &Host, id: &str) {
    until("a target answers", async || {
        let answer = host.ask("GET", "/get/a/x", id, "").await;
        answer.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// Sends 400 requests for service a to both nodes, from `callers` at each; returns how many
/// were served.
async fn herd(one: &Host, two: &Host, callers: usize) -> usize {
    let requests = 200 / callers;
    let callers =
        (0..callers).flat_map(|number| [one, two].map(|host| caller(host, number, requests)));
    join_all(callers).await.into_iter().sum()
}

/// Sends requests for service a one after the other; returns how many were served.
async fn caller(host: &Host, number: usize, requests: usize) -> usize {
    let mut served = 0;
    for i in 0..requests {
        let id = format!("{}-{number}-{i}", host.name);
        let answer = host.ask_within("GET", "/get/a/x", &id, "", 2_000).await;
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
    }
    served
}

/// Returns the most requests that a target got within `SPAN` since `start`.
fn busiest(target: &Target, start: Instant) -> usize {
    target.busiest(SPAN, |at| at >= start)
}

cases! {
    target_gets_no_more_than_the_limit_that_it_states => {
        let (_store, one, two) = single().await;
        one.target.set_notice(&format!("Server-Limit: {LIMIT}\r\n"));
        served(&one, "told1").await;
        served(&two, "told2").await;
        let start = Instant::now();
        let served = herd(&one, &two, 4).await;
        let got = busiest(&one.target, start);
        assert!(got <= allowed(LIMIT), "{got} requests, {} allowed", allowed(LIMIT));
        assert!(served >= LIMIT as usize / 2, "{served} served");
    }

    limit_holds_while_the_store_turns_all_nodes_away => {
        let (store, one, two) = single().await;
        store.set(StoreMode::Refusing);
        one.target.set_notice(&format!("Server-Limit: {LIMIT}\r\n"));
        served(&one, "told1").await;
        served(&two, "told2").await;
        let start = Instant::now();
        herd(&one, &two, 4).await;
        let got = busiest(&one.target, start);
        assert!(got <= allowed(LIMIT), "{got} requests, {} allowed", allowed(LIMIT));
    }

    withdrawn_limit_ends_with_the_first_answer_without_it => {
        let (_store, one, two) = single().await;
        one.target.set_notice("Server-Limit: 0\r\n");
        served(&one, "told").await;
        one.target.set_notice("");
        served(&two, "untold").await;
        // No more callers than the slots of the target.
        assert_eq!(herd(&one, &two, 2).await, 400);
    }

    restarted_node_learns_the_limit_from_nodes_that_were_told => {
        let limit = 0.25;
        let (_store, mut one, two) = single().await;
        one.target.set_notice(&format!("Server-Limit: {limit}\r\n"));
        served(&two, "told").await;
        one.stop().await;
        // The node hears nothing from its target.
        one.target.set(Mode::Breaks);
        one.run();
        one.until_ready().await;
        let start = Instant::now();
        until("a request reaches the target again", async || {
            caller(&two, 8, 1).await;
            busiest(&one.target, start) > 0
        })
        .await;
        join_all((0..8).map(|number| caller(&two, number, 100))).await;
        let got = busiest(&one.target, start);
        assert!(got <= allowed(limit), "{got} requests, {} allowed", allowed(limit));
    }

    leaving_target_gets_no_request_after_it_said_so => {
        let (_store, one, two) = pair().await;
        one.target.set_notice("Server-Leaving: 1\r\n");
        until("both targets are used", async || {
            served(&one, "told").await;
            !one.target.seen().is_empty() && !two.target.seen().is_empty()
        })
        .await;
        let before = one.target.seen().len();
        // No more callers than the slots of a target.
        let served = herd(&one, &two, 2).await;
        assert_eq!(one.target.seen().len(), before, "requests to the leaving target");
        assert_eq!(served, 400, "the other target serves all");
    }

    stated_leave_survives_a_restart_of_the_node => {
        let (_store, mut one, two) = pair().await;
        one.target.set_notice("Server-Leaving: 1\r\n");
        until("the other node knows the leave", async || {
            served(&one, "told").await;
            !two.knows("n1")
        })
        .await;
        one.stop().await;
        one.run();
        one.until_ready().await;
        let before = one.target.seen().len();
        herd(&one, &two, 2).await;
        assert_eq!(one.target.seen().len(), before, "requests to the leaving target");
    }

    node_that_passed_on_a_leave_keeps_to_it_if_the_node_of_the_target_forgot => {
        let (_store, mut one, two) = pair().await;
        // The leave is never recorded.
        one.store.set_own(StoreMode::Refusing);
        one.target.set_notice("Server-Leaving: 1\r\n");
        until("the other node was told", async || {
            served(&two, "told").await;
            !one.target.seen().is_empty()
        })
        .await;
        one.stop().await;
        one.store.set_own(StoreMode::Up);
        one.run();
        one.until_ready().await;
        let before = one.target.seen().len();
        assert_eq!(caller(&two, 0, 200).await, 200);
        assert_eq!(one.target.seen().len(), before, "requests to the leaving target");
    }

    metrics_tell_the_limit_that_the_target_states => {
        let (_store, one, _two) = single().await;
        assert!(one.metrics().await.contains("\nrilltrack_gate_limit -1"));
        one.target.set_notice("Server-Limit: 45.9\r\n");
        served(&one, "told").await;
        let metrics = one.metrics().await;
        assert!(metrics.contains("\nrilltrack_gate_limit 45.9"), "{metrics}");
        assert!(metrics.contains("\nrilltrack_gate_admitted_total 1"), "{metrics}");
        one.target.set_notice("");
        served(&one, "untold").await;
        assert!(one.metrics().await.contains("\nrilltrack_gate_limit -1"));
    }
}
