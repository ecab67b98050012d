//! From publishing a version and announcing a target to routed requests, over
//! separate processes.

mod support;

use std::path::Path;

use rilltrack::{
    protocol::wire::{self, Frame, Reply},
    state::version::Version,
};
use serde_json::json;
use support::{
    local::{Mesh, resources},
    log::Log,
    mesh::{attach, basic_ops, processes, publish, wait_for_version},
    target::Target,
};

const DAEMON: &str = env!("CARGO_BIN_EXE_rilltrackd");
const NODES: [(&str, &str); 3] = [("a1", "palermo"), ("b1", "catania"), ("c1", "messina")];

#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_an_allowed_target_from_any_daemon() {
    let log = Log::start();
    let mesh = processes(Path::new(DAEMON), &log, &NODES).await;
    let domains = ["palermo", "catania", "messina"];
    let version = publish(
        mesh[0].listen.operators,
        "first",
        basic_ops(&domains, "balance"),
    )
    .await;
    for process in &mesh {
        wait_for_version(&process.listen, version).await;
    }
    let target = Target::start("t-catania", "balance");
    let all: Vec<_> = mesh.iter().map(|process| &process.listen).collect();
    attach(&target, all[1], &all).await;

    for process in &mesh {
        let url = format!("http://{}/balance/card/7", process.listen.callers);
        let response = support::client()
            .post(url)
            .body("hello")
            .send()
            .await
            .unwrap();
        assert_eq!(response.headers()["rilltrack-outcome"], "answered");
        assert_eq!(
            response.text().await.unwrap(),
            "t-catania /balance/card/7 hello"
        );
    }
    assert_eq!(target.hits(), 3);

    let first = &mesh[0];
    support::until("the routing decision is logged", || async {
        first
            .log_text()
            .lines()
            .any(|l| l.contains("E400 Routed node=a1") && l.contains("to=b1"))
            .then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_replies_are_limited() {
    let domains: Vec<String> = (0..500).map(|i| format!("domain-number-{i}")).collect();
    let domains: Vec<&str> = domains.iter().map(String::as_str).collect();
    let mesh = Mesh::start(&["palermo"], &resources(&domains, "s", json!({}))).await;
    let daemon = &mesh.daemons[0];
    let url = format!("http://{}{}", daemon.listen.peers, wire::PATH);
    let fetch = || async {
        let frame = Frame::Fetch(Version {
            epoch: 0,
            offset: 0,
        });
        let response = support::client()
            .post(&url)
            .header("rilltrack-node", "n9")
            .header("rilltrack-domain", "palermo")
            .body(wire::encode(&frame))
            .send()
            .await
            .unwrap();
        wire::decode::<Reply>(&response.bytes().await.unwrap()).unwrap()
    };
    assert!(matches!(fetch().await, Reply::Records(_)));
    let permits = daemon.node.large_replies.available_permits() as u32;
    let acquired = daemon
        .node
        .large_replies
        .clone()
        .acquire_many_owned(permits)
        .await
        .unwrap();
    assert!(matches!(fetch().await, Reply::Later(_)));
    drop(acquired);
    assert!(matches!(fetch().await, Reply::Records(_)));
    // The permit of a reply is returned once the reply is sent.
    support::until("all permits are returned", || async {
        (daemon.node.large_replies.available_permits() as u32 == permits).then_some(())
    })
    .await;
}
