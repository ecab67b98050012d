//! The whole path over separate processes: publish, follow, announce, route.

mod support;

use std::path::Path;

use support::{
    log::Log,
    mesh::{attach, basic_ops, processes, publish, reached},
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
        reached(&process.listen, version).await;
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
    support::until("the decision is logged", || async {
        first
            .lines()
            .lines()
            .any(|l| l.contains("E400 Routed node=a1") && l.contains("to=b1"))
            .then_some(())
    })
    .await;
}
