//! A mesh of daemons in the process of the test.

use std::net::SocketAddr;

use rilltrack::{
    daemon::Daemon,
    settings::{Listen, Settings},
    state::change::Op,
};
use serde_json::{Value, json};

use super::{
    log::Log,
    mesh::{self, attach, publish, wait_for_members, wait_for_version, wait_until_ready},
    target::{self, Target},
    until,
};

/// Running daemons and their log.
pub struct Mesh {
    pub log: Log,
    pub daemons: Vec<Daemon>,
}

impl Mesh {
    /// Starts daemons `n0`, `n1`, … in these domains and publishes `resources`.
    /// Returns once the resources are in force at all of them.
    pub async fn start(domains: &[&str], resources: &[Value]) -> Self {
        let log = Log::start();
        let mut daemons: Vec<Daemon> = Vec::new();
        for (i, domain) in domains.iter().enumerate() {
            let seeds: Vec<SocketAddr> = daemons
                .first()
                .map(|d| d.listen.peers)
                .into_iter()
                .collect();
            let settings = mesh::settings(&format!("n{i}"), domain, &log.url(), &seeds);
            let settings: Settings = serde_json::from_value(settings).unwrap();
            daemons.push(
                tokio::task::spawn_blocking(|| Daemon::start(settings).unwrap())
                    .await
                    .unwrap(),
            );
        }
        let mesh = Self { log, daemons };
        for daemon in &mesh.daemons {
            wait_until_ready(&daemon.listen).await;
            wait_for_members(&daemon.listen, domains.len()).await;
        }
        mesh.publish("base", mesh::ops(resources)).await;
        mesh
    }

    /// Publishes operations and waits until they are in force at all daemons.
    pub async fn publish(&self, id: &str, ops: Vec<Op>) {
        let version = publish(self.daemons[0].listen.operators, id, ops).await;
        for daemon in &self.daemons {
            wait_for_version(&daemon.listen, version).await;
        }
    }

    /// Returns the addresses that each daemon listens on.
    pub fn listen_addresses(&self) -> Vec<&Listen> {
        self.daemons.iter().map(|daemon| &daemon.listen).collect()
    }

    /// Starts target `t{i}` of `service` beside daemon `i`, and returns once all
    /// daemons know it.
    pub async fn target(&self, i: usize, service: &str) -> Target {
        let target = Target::start(&format!("t{i}"), service);
        attach(&target, &self.daemons[i].listen, &self.listen_addresses()).await;
        target
    }

    /// Announces `address` once as a target of `service` beside daemon `i`, and
    /// returns once all daemons know it.
    pub async fn announce(&self, i: usize, service: &str, address: SocketAddr) {
        let at = self.daemons[i].listen.targets;
        target::announce(at, service, address, false).await;
        for listen in self.listen_addresses() {
            until("the target is known", || async {
                let report = mesh::report(listen).await?;
                report
                    .members
                    .iter()
                    .flat_map(|m| &m.targets)
                    .any(|t| t.address == address)
                    .then_some(())
            })
            .await;
        }
    }

    /// Returns the URL of `path` at the callers address of daemon `i`.
    pub fn url(&self, i: usize, path: &str) -> String {
        format!("http://{}{path}", self.daemons[i].listen.callers)
    }

    /// Requests an idempotency key for `service` from daemon `i`.
    pub async fn key(&self, i: usize, service: &str) -> String {
        let url = self.url(i, &format!("/rilltrack/keys?service={service}"));
        let response = super::client().post(url).send().await.unwrap();
        let issued: Value = serde_json::from_slice(&response.bytes().await.unwrap()).unwrap();
        issued["keys"][0]
            .as_str()
            .expect("a key is issued")
            .to_owned()
    }

    /// Shuts daemon `i` down gracefully and removes it from `daemons`.
    pub async fn stop(&mut self, i: usize) {
        let daemon = self.daemons.remove(i);
        tokio::task::spawn_blocking(|| daemon.stop()).await.unwrap();
    }
}

/// Returns the resources of a mesh with one service, `name`, whose requests may
/// go to any domain. Fields in `changed` override the policy below.
pub fn resources(domains: &[&str], name: &str, changed: Value) -> Vec<Value> {
    let mut policy = json!({
        "kind": "policy", "name": "p", "timeout": "5s", "slots": 4, "queue": 8,
        "class": "normal", "repeat": "by-method"
    });
    for (field, value) in changed.as_object().unwrap() {
        policy[field] = value.clone();
    }
    let mut resources: Vec<Value> = domains
        .iter()
        .map(|d| json!({"kind": "domain", "name": d, "labels": {"name": d}}))
        .collect();
    resources.extend([
        policy,
        json!({"kind": "service", "name": name, "policy": "p"}),
        json!({"kind": "boundary", "name": "anywhere", "services": {"all": true}, "to": {"all": true}}),
        json!({"kind": "route", "name": name, "path": format!("/{name}"), "service": name}),
    ]);
    resources
}
