//! Targets that state in their answers how many requests they take, or that they leave.

use rilltrack_standins::{
    cases,
    fleet::{self, Host, version},
    store::Store,
    until,
};

/// Starts two hosts that know each other, with targets of services a and b.
async fn single() -> (Store, Host, Host) {
    fleet::pair(&version(5, &["a", "b"]), "b").await
}

/// Asks for service a until the answer is a target's.
async fn served(host: &Host, id: &str) {
    until("a target answers", async || {
        let answer = host.ask("GET", "/get/a/x", id, "").await;
        answer.starts_with("HTTP/1.1 200")
    })
    .await;
}

cases! {
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
