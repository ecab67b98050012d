//! A first mesh without any setup: a stand-in for the platform's log, daemons of
//! three failure domains and their targets, on loopback in one process.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;

use rilltrack::{
    daemon::Daemon,
    settings::{Membership, Settings},
    state::{change::Op, version::Version},
    unit::Span,
};
use serde_json::json;
use support::{
    log::Log,
    mesh::{attach, ops, publish, wait_for_members, wait_for_version, wait_until_ready},
    target::Target,
};

const DOMAINS: [&str; 3] = ["palermo", "catania", "messina"];
/// Number of requests sent to each daemon.
const CALLS: usize = 30;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let log = Log::start();
    println!(
        "1. A stand-in for the platform's log listens on {}.",
        log.address
    );
    let mut daemons: Vec<Daemon> = Vec::new();
    for domain in DOMAINS {
        let seeds: Vec<_> = daemons
            .first()
            .map(|first| first.listen.peers)
            .into_iter()
            .collect();
        let node = format!("{domain}-1").parse()?;
        let settings = Settings::builder(node, domain.parse()?, log.url())
            .seeds(seeds)
            .membership(fast_membership())
            .build()?;
        daemons.push(Daemon::start(settings)?);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_tour(&daemons))?;
    daemons.into_iter().for_each(Daemon::stop);
    println!("7. All daemons left in good order.");
    Ok(())
}

/// Returns membership settings with short intervals, with which the nodes of a
/// small mesh find each other quickly.
fn fast_membership() -> Membership {
    Membership {
        period: Span::from_millis(200),
        timeout: Span::from_millis(150),
        suspect_for: Span::from_secs(1),
        sync_every: Span::from_secs(1),
        ..Membership::default()
    }
}

/// Publishes a configuration, starts targets, sends requests and changes a label.
async fn run_tour(daemons: &[Daemon]) -> Result<(), Box<dyn std::error::Error>> {
    for daemon in daemons {
        wait_until_ready(&daemon.listen).await;
        wait_for_members(&daemon.listen, daemons.len()).await;
    }
    println!(
        "2. Daemons of {} found each other; each holds a complete view.",
        DOMAINS.join(", ")
    );

    let at = daemons[0].listen.operators;
    let version = publish(at, "quickstart", mesh_ops()).await;
    wait_for_all(daemons, version).await;
    println!("3. Version {version} is in force everywhere: balance lookups may go to all domains.");

    let all: Vec<_> = daemons.iter().map(|daemon| &daemon.listen).collect();
    for (domain, daemon) in DOMAINS.iter().zip(daemons) {
        let target = Target::start(&format!("target-{domain}"), "balance");
        attach(&target, &daemon.listen, &all).await;
    }
    println!("4. A target in each domain announced itself to the node on its host.");
    println!(
        "5. {CALLS} requests at each daemon went to: {}",
        send_calls(daemons).await?
    );

    let key = "domain/messina".parse()?;
    let set = BTreeMap::from([("jurisdiction".to_owned(), "other".to_owned())]);
    let version = publish(
        at,
        "label",
        vec![Op::Label {
            key,
            set,
            remove: Vec::new(),
        }],
    )
    .await;
    wait_for_all(daemons, version).await;
    println!("6. The label of one failure domain changed (version {version}): requests go to");
    println!("   {}", send_calls(daemons).await?);
    Ok(())
}

/// Returns operations for a service whose requests may go only to failure domains
/// with the label `jurisdiction: sicily`.
fn mesh_ops() -> Vec<Op> {
    let domain =
        |name: &str| json!({"kind": "domain", "name": name, "labels": {"jurisdiction": "sicily"}});
    let mut resources: Vec<_> = DOMAINS.into_iter().map(domain).collect();
    resources.extend([
        json!({"kind": "policy", "name": "lookups", "timeout": "2s", "slots": 12, "queue": 24,
               "class": "normal", "repeat": "by-method"}),
        json!({"kind": "service", "name": "balance", "labels": {"data": "cards"}, "policy": "lookups"}),
        json!({"kind": "boundary", "name": "cards-stay",
               "services": {"match_labels": {"data": "cards"}},
               "to": {"match_labels": {"jurisdiction": "sicily"}}}),
        json!({"kind": "route", "name": "balance", "path": "/balance", "service": "balance"}),
    ]);
    ops(&resources)
}

/// Waits until `version` is in force at all daemons.
async fn wait_for_all(daemons: &[Daemon], version: Version) {
    for daemon in daemons {
        wait_for_version(&daemon.listen, version).await;
    }
}

/// Sends `CALLS` requests to every daemon; returns the number of requests that each
/// target answered, as text.
async fn send_calls(daemons: &[Daemon]) -> Result<String, reqwest::Error> {
    let client = support::client();
    let mut answered: BTreeMap<String, usize> = BTreeMap::new();
    for daemon in daemons {
        for _ in 0..CALLS {
            let url = format!("http://{}/balance/card/7", daemon.listen.callers);
            let response = client.get(url).send().await?;
            let target = response
                .headers()
                .get("x-target")
                .and_then(|name| name.to_str().ok());
            *answered
                .entry(target.unwrap_or("nobody").to_owned())
                .or_default() += 1;
        }
    }
    let counts: Vec<String> = answered
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    Ok(counts.join(", "))
}
