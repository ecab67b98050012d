//! Daemons in separate processes, and calls to their operators addresses.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use parking_lot::Mutex;
use rilltrack::{
    protocol::operator::{Published, Report, Resources},
    settings::Listen,
    state::{
        change::{Change, Op},
        version::Version,
    },
};
use serde_json::{Value, json};
use tempfile::TempDir;

use super::{log::Log, target::Target, until};

/// Returns the settings of a daemon of a small mesh, with short membership
/// intervals so that tests converge quickly.
pub fn settings(node: &str, domain: &str, log: &str, seeds: &[SocketAddr]) -> Value {
    let any = "127.0.0.1:0";
    json!({
        "node": node,
        "domain": domain,
        "listen": {"callers": any, "inbound": any, "peers": any, "targets": any, "operators": any},
        "seeds": seeds,
        "log": {"url": log, "timeout": "1s", "wait": "5s"},
        "security": "plaintext",
        "membership": {"period": "200ms", "timeout": "150ms", "suspect_for": "1s", "sync_every": "1s"},
        "requests": {"drain": "20s", "header_timeout": "1s"}
    })
}

/// A daemon in a separate process, killed on drop.
pub struct Process {
    pub name: String,
    pub listen: Listen,
    child: Child,
    _dir: TempDir,
    pub log_file: PathBuf,
}

impl Process {
    /// Starts `program` with `settings` and waits until it has printed the
    /// addresses it listens on.
    pub fn start(program: &Path, settings: &Value) -> Self {
        let dir = TempDir::new().unwrap();
        let log_file = dir.path().join("log");
        let mut settings = settings.clone();
        settings["log_file"] = json!(log_file);
        let file = dir.path().join("settings.jsonc");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon can be started");
        let mut line = String::new();
        BufReader::new(child.stdout.as_mut().unwrap())
            .read_line(&mut line)
            .unwrap();
        let addresses: Value =
            serde_json::from_str(&line).expect("the daemon prints its addresses");
        let listen = serde_json::from_value(addresses["listen"].clone()).unwrap();
        let name = settings["node"].as_str().unwrap().to_owned();
        Self {
            name,
            listen,
            child,
            _dir: dir,
            log_file,
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given by its number.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has terminated; returns its exit code, or `None`
    /// if a signal terminated it.
    pub async fn wait(&mut self) -> Option<i32> {
        let child = &mut self.child;
        until("the process has terminated", || {
            let status = child.try_wait().unwrap();
            async move { status }
        })
        .await
        .code()
    }

    /// Returns what the daemon has written to its log file.
    pub fn log_text(&self) -> String {
        let mut text = String::new();
        std::fs::File::open(&self.log_file)
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        text
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have terminated already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Clients by operators address, for addresses that require a client certificate.
static OPERATOR_CLIENTS: Mutex<BTreeMap<SocketAddr, reqwest::Client>> = Mutex::new(BTreeMap::new());

/// Makes later calls to the operators address `at` use `client` over TLS.
pub fn use_operator_client(at: SocketAddr, client: &reqwest::Client) {
    OPERATOR_CLIENTS.lock().insert(at, client.clone());
}

/// Returns the client and the URL of `path` for an operators address.
fn operator_endpoint(at: SocketAddr, path: &str) -> (reqwest::Client, String) {
    match OPERATOR_CLIENTS.lock().get(&at) {
        Some(client) => (client.clone(), format!("https://{at}/{path}")),
        None => (super::client(), format!("http://{at}/{path}")),
    }
}

/// Gets JSON from an operators address.
pub async fn get<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> Option<T> {
    let (client, url) = operator_endpoint(at, path);
    let response = client.get(url).send().await.ok()?;
    serde_json::from_slice(&response.bytes().await.ok()?).ok()
}

/// Posts JSON to an operators address.
pub async fn post<T: serde::de::DeserializeOwned>(
    at: SocketAddr,
    path: &str,
    body: &impl serde::Serialize,
) -> Option<T> {
    let (client, url) = operator_endpoint(at, path);
    let sent = client
        .post(url)
        .body(serde_json::to_vec(body).unwrap())
        .send()
        .await;
    serde_json::from_slice(&sent.ok()?.bytes().await.ok()?).ok()
}

/// Gets the status of a daemon.
pub async fn report(listen: &Listen) -> Option<Report> {
    get(listen.operators, "status").await
}

/// Waits until the daemon holds a complete view.
pub async fn wait_until_ready(listen: &Listen) {
    until("the daemon is ready", || async {
        report(listen).await.filter(|report| report.ready)
    })
    .await;
}

/// Waits until the daemon is ready with `version` or a newer one in force.
pub async fn wait_for_version(listen: &Listen, version: Version) {
    let check = || async {
        report(listen)
            .await
            .filter(|r| r.ready && r.anchor.version >= version)
    };
    until("the version is in force", check).await;
}

/// Waits until the daemon knows exactly `count` members that are alive.
pub async fn wait_for_members(listen: &Listen, count: usize) {
    until("all members are known", || async {
        let report = report(listen).await?;
        let alive = report
            .members
            .iter()
            .filter(|m| format!("{:?}", m.status) == "Alive")
            .count();
        (alive == count).then_some(())
    })
    .await;
}

/// Returns a change based on the current state of the daemon at `at`.
pub async fn new_change(at: SocketAddr, id: &str, ops: Vec<Op>) -> Change {
    let current: Resources = get(at, "resources").await.unwrap();
    Change {
        id: id.parse().unwrap(),
        base: current.anchor,
        expect: None,
        author: "test".into(),
        note: String::new(),
        ops,
    }
}

/// Publishes operations; returns the version from which they are in force.
///
/// # Panics
///
/// Panics if the operations are not accepted.
pub async fn publish(at: SocketAddr, id: &str, ops: Vec<Op>) -> Version {
    let change = new_change(at, id, ops).await;
    match post(at, "changes", &change).await {
        Some(Published::Decided(outcome)) if outcome.verdict.is_accepted() => outcome.version,
        other => panic!("change {id:?} was not accepted: {other:?}"),
    }
}

/// Returns operations for a mesh of `domains` in one region, with one service
/// whose requests may go to any domain of the region.
pub fn basic_ops(domains: &[&str], service: &str) -> Vec<Op> {
    let mut resources = Vec::new();
    for domain in domains {
        resources.push(json!({"kind": "domain", "name": domain, "labels": {"region": "south", "name": domain}}));
    }
    resources.extend([
        json!({"kind": "policy", "name": "lookups", "timeout": "5s", "slots": 12, "queue": 24, "class": "normal", "repeat": "by-method"}),
        json!({"kind": "service", "name": service, "labels": {"data": "fares"}, "policy": "lookups"}),
        json!({"kind": "boundary", "name": "inside", "services": {"match_labels": {"data": "fares"}}, "to": {"match_labels": {"region": "south"}}}),
        json!({"kind": "route", "name": service, "path": format!("/{service}"), "service": service}),
    ]);
    ops(&resources)
}

/// Returns operations that put `resources`, written as in configuration files.
pub fn ops(resources: &[Value]) -> Vec<Op> {
    let text = Value::from(resources.to_vec()).to_string();
    let document = rilltrack::document::Document::parse("test", &text).unwrap();
    let parsed = rilltrack::files::Files::decode_resources(&document)
        .expect("resources of the test are well-formed");
    parsed.into_iter().map(Op::Put).collect()
}

/// Starts one daemon for each `(node, domain)`, with the first as the seed of the
/// others. Returns once all are ready and know each other.
pub async fn processes(program: &Path, log: &Log, nodes: &[(&str, &str)]) -> Vec<Process> {
    let mut started: Vec<Process> = Vec::new();
    for (node, domain) in nodes {
        let seeds: Vec<SocketAddr> = started
            .first()
            .map(|first| first.listen.peers)
            .into_iter()
            .collect();
        started.push(Process::start(
            program,
            &settings(node, domain, &log.url(), &seeds),
        ));
    }
    for process in &started {
        wait_until_ready(&process.listen).await;
        wait_for_members(&process.listen, nodes.len()).await;
    }
    started
}

/// Announces `target` to the daemon at `to` and waits until every daemon of `mesh`
/// knows it. Repeats the announcement every 2 s in the background.
pub async fn attach(target: &Target, to: &Listen, mesh: &[&Listen]) {
    let (target, at) = (target.clone(), to.targets);
    until("the announcement is accepted", || async {
        target.announce(at).await.then_some(())
    })
    .await;
    for listen in mesh {
        until("the target is known", || async {
            let report = report(listen).await?;
            let known = report
                .members
                .iter()
                .flat_map(|m| &m.targets)
                .any(|t| t.address == target.address);
            known.then_some(())
        })
        .await;
    }
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(std::time::Duration::from_secs(2)).await;
            target.announce(at).await;
        }
    });
}
