//! Runs failure scenarios against real processes.
//!
//! A scenario has one step per line; `#` starts a comment. `NODES` is a
//! comma-separated list of nodes, or `all` for all running nodes. The steps:
//!
//! ```text
//! start NODES DOMAIN            start daemons, each in a separate process
//! ready NODES                   wait until they hold a complete view
//! known NODES COUNT             wait until they know exactly COUNT alive members
//! kill|freeze|thaw|term NODES   send a signal; `term` expects exit code 0
//! log down|hanging|losing|well  set how the platform's log answers
//! log expire|truncate STREAM N  remove records before, or from, offset N
//! log noise                     append a record that cannot be decoded
//! cut A B, heal                 partition two domains, or a domain and
//!                               `platform`; restore all paths
//! mesh ID NODE DOMAINS SERVICE  publish a small mesh through NODE
//! label ID NODE KEY K=V VERDICT publish a label and check the verdict
//! race ID NODE KEY K=V VERDICT  the same, on condition that the version is
//!                               the marked one
//! recover NODE                  begin a new epoch with the state of NODE
//! mark NODE                     remember the version of NODE
//! reach NODES                   wait for the newest accepted version
//! stay NODES                    assert that they have exactly the marked
//!                               version and digest
//! same NODES                    wait until they have the same version and digest
//! unready NODE                  assert that it has no complete view
//! log count, log reads-below N  assert fewer than N reads since `log count`
//! snapshot                      wait for a new snapshot in the log
//! target NAME SERVICE NODE      start a target beside NODE, wait until all
//!                               nodes know it
//! call NODE PATH OUTCOME [FROM] send a GET until its outcome is OUTCOME;
//!                               assert which target answered
//! key KEY NODE SERVICE          get an idempotency key from NODE
//! debit KEY NODE OUTCOME        send a POST with the key until its outcome is
//!                               OUTCOME
//! hits NAME COUNT               assert that COUNT requests reached the target
//! pause MS                      wait, to assert that something doesn't happen
//! ```
//!
//! After `term`, and at the end for all processes that still run, the log file of
//! a process is checked: the versions that it put in force must never decrease.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use rilltrack::{
    protocol::operator::{Published, Report},
    state::{
        change::{Change, Op},
        machine::Verdict,
        version::Version,
    },
    transport::keyed,
};
use serde_json::json;

use super::{
    link::{Links, PLATFORM, Relay},
    log::{Log, Mode},
    mesh::{self, Process, attach, basic_ops},
    target::Target,
    until,
};

/// The state of a running scenario.
pub struct Runner {
    program: std::path::PathBuf,
    log: Log,
    links: Links,
    log_relay: Relay,
    processes: BTreeMap<String, Process>,
    domains: BTreeMap<String, String>,
    /// Address of the relay in front of each node's peers address.
    peer_relays: BTreeMap<String, SocketAddr>,
    /// The newest version that a step has published or recovered.
    accepted: Version,
    marked: Option<Report>,
    /// Offset after the last snapshot that a step has waited for.
    snapshots_end: u64,
    /// Read calls of the log at the last `log count`.
    counted_reads: u64,
    targets: BTreeMap<String, Target>,
    keys: BTreeMap<String, String>,
}

/// Runs the scenario in `text`.
pub async fn run(program: &Path, text: &str) {
    let log = Log::start();
    let links = Links::default();
    let log_relay = links.relay([127, 0, 0, 1].into(), PLATFORM);
    log_relay.upstream.set(log.address).unwrap();
    let mut runner = Runner {
        program: program.into(),
        log,
        links,
        log_relay,
        processes: BTreeMap::new(),
        domains: BTreeMap::new(),
        peer_relays: BTreeMap::new(),
        accepted: Version::default(),
        marked: None,
        snapshots_end: 0,
        counted_reads: 0,
        targets: BTreeMap::new(),
        keys: BTreeMap::new(),
    };
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line
            .split('#')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        if !words.is_empty() {
            eprintln!("line {}: {line}", number + 1);
            runner.step(&words).await;
        }
    }
    runner
        .processes
        .values()
        .for_each(assert_versions_never_decrease);
}

/// Asserts, by the process's log file, that the versions it put in force never
/// decreased.
fn assert_versions_never_decrease(process: &Process) {
    let mut last = Version::default();
    for line in process
        .log_text()
        .lines()
        .filter(|line| line.contains(" E200 "))
    {
        let version: Version = line
            .rsplit("version=")
            .next()
            .unwrap()
            .trim()
            .parse()
            .unwrap();
        assert!(
            version >= last,
            "{} went back from {last} to {version}",
            process.name
        );
        last = version;
    }
}

impl Runner {
    /// Runs one step, given as the words of its line.
    async fn step(&mut self, words: &[&str]) {
        match words {
            ["start", nodes, domain] => nodes.split(',').for_each(|node| self.start(node, domain)),
            ["ready", nodes] => {
                self.each(nodes, async |p| mesh::wait_until_ready(&p.listen).await)
                    .await
            }
            ["known", nodes, count] => {
                let count: usize = count.parse().unwrap();
                self.each(nodes, async |p| {
                    mesh::wait_for_members(&p.listen, count).await
                })
                .await;
            }
            ["kill", nodes] => self
                .names(nodes)
                .iter()
                .for_each(|n| drop(self.processes.remove(n))),
            ["freeze", nodes] => self.each(nodes, async |p| p.signal(libc::SIGSTOP)).await,
            ["thaw", nodes] => self.each(nodes, async |p| p.signal(libc::SIGCONT)).await,
            ["term", nodes] => {
                for name in self.names(nodes) {
                    let mut process = self.processes.remove(&name).unwrap();
                    process.signal(libc::SIGTERM);
                    assert_eq!(process.wait().await, Some(0));
                    assert_versions_never_decrease(&process);
                }
            }
            ["log", "down"] => self.log.set_mode(Mode::Unavailable),
            ["log", "hanging"] => self.log.set_mode(Mode::Hanging),
            ["log", "losing"] => self.log.set_mode(Mode::LosingAppendReplies),
            ["log", "well"] => self.log.set_mode(Mode::Normal),
            ["log", "expire", stream, offset] => self.log.expire(stream, offset.parse().unwrap()),
            ["log", "truncate", stream, offset] => {
                self.log.truncate(stream, offset.parse().unwrap())
            }
            ["log", "count"] => self.counted_reads = self.log.calls().0,
            ["log", "reads-below", count] => {
                let reads = self.log.calls().0 - self.counted_reads;
                assert!(
                    reads < count.parse().unwrap(),
                    "{reads} reads of the log since the count"
                );
            }
            ["log", "noise"] => drop(self.log.append("config", "noise".into())),
            ["cut", a, b] => {
                let known =
                    |d: &&str| *d == PLATFORM || self.domains.values().any(|domain| domain == *d);
                assert!(
                    known(a) && known(b),
                    "unknown failure domain in `cut {a} {b}`"
                );
                self.links.partition(a, b);
            }
            ["heal"] => self.links.heal(),
            ["mesh", id, node, domains, service] => {
                let domains: Vec<&str> = domains.split(',').collect();
                self.publish(id, node, basic_ops(&domains, service), None, "accepted")
                    .await;
            }
            ["label", id, node, key, label, verdict] => {
                self.publish(id, node, vec![label_op(key, label)], None, verdict)
                    .await;
            }
            ["race", id, node, key, label, verdict] => {
                let expected = self.marked.as_ref().unwrap().anchor.version;
                self.publish(
                    id,
                    node,
                    vec![label_op(key, label)],
                    Some(expected),
                    verdict,
                )
                .await;
            }
            ["recover", node] => {
                let at = self.processes[*node].listen.operators;
                self.accepted = mesh::post(at, "recover?author=test", &()).await.unwrap();
            }
            ["mark", node] => self.marked = mesh::report(&self.processes[*node].listen).await,
            ["reach", nodes] => {
                let version = self.accepted;
                self.each(nodes, async |p| {
                    mesh::wait_for_version(&p.listen, version).await
                })
                .await;
            }
            ["stay", nodes] => {
                let anchor = self.marked.as_ref().unwrap().anchor;
                self.each(nodes, async |p| {
                    assert_eq!(report(p).await.anchor, anchor, "{}", p.name)
                })
                .await;
            }
            ["same", nodes] => self.same(nodes).await,
            ["unready", node] => assert!(!report(&self.processes[*node]).await.ready),
            ["snapshot"] => self.snapshot().await,
            ["target", name, service, node] => self.target(name, service, node).await,
            ["call", node, path, outcome] => drop(self.call(node, path, outcome).await),
            ["call", node, path, outcome, from] => {
                assert_eq!(self.call(node, path, outcome).await.as_deref(), Some(*from));
            }
            ["key", key, node, service] => {
                let url = format!(
                    "http://{}/rilltrack/keys?service={service}",
                    self.processes[*node].listen.callers
                );
                let response = super::client().post(url).send().await.unwrap();
                let issued: keyed::Issued =
                    serde_json::from_slice(&response.bytes().await.unwrap()).unwrap();
                self.keys.insert((*key).into(), issued.keys[0].clone());
            }
            ["debit", key, node, outcome] => self.debit(key, node, outcome).await,
            ["hits", name, count] => {
                assert_eq!(self.targets[*name].hits(), count.parse::<u64>().unwrap());
            }
            ["pause", ms] => {
                tokio::time::sleep(std::time::Duration::from_millis(ms.parse().unwrap())).await
            }
            other => panic!("unknown step: {other:?}"),
        }
    }

    /// Returns the names in a list of nodes.
    fn names(&self, nodes: &str) -> Vec<String> {
        match nodes {
            "all" => self.processes.keys().cloned().collect(),
            _ => nodes.split(',').map(str::to_owned).collect(),
        }
    }

    /// Runs `step` for each of `nodes`, one after another.
    async fn each(&self, nodes: &str, step: impl AsyncFn(&Process)) {
        for name in self.names(nodes) {
            step(&self.processes[&name]).await;
        }
    }

    /// Starts a daemon whose peers and inbound addresses are behind relays.
    fn start(&mut self, node: &str, domain: &str) {
        let ip = self.links.ip(domain);
        let (peers, inbound) = (self.links.relay(ip, domain), self.links.relay(ip, domain));
        let others = self.processes.keys().filter(|name| *name != node);
        let seeds: Vec<SocketAddr> = others.map(|name| self.peer_relays[name]).take(3).collect();
        let url = format!("http://{}", self.log_relay.address);
        let mut settings = mesh::settings(node, domain, &url, &seeds);
        let any = SocketAddr::new(ip, 0);
        settings["listen"]["peers"] = json!(any);
        settings["listen"]["inbound"] = json!(any);
        settings["advertise"] = json!({"peers": peers.address, "inbound": inbound.address});
        settings["log"]["snapshot_every"] = json!("2s");
        let process = Process::start(&self.program, &settings);
        peers.upstream.set(process.listen.peers).unwrap();
        inbound.upstream.set(process.listen.inbound).unwrap();
        self.peer_relays.insert(node.into(), peers.address);
        self.domains.insert(node.into(), domain.into());
        self.processes.insert(node.into(), process);
    }

    /// Publishes operations and checks the result. Retries the same change while its
    /// outcome is unknown, as the command line tool does, unless `wanted` is
    /// `unknown`.
    async fn publish(
        &mut self,
        id: &str,
        node: &str,
        ops: Vec<Op>,
        expect: Option<Version>,
        wanted: &str,
    ) {
        let at = self.processes[node].listen.operators;
        let change = Change {
            expect,
            ..mesh::new_change(at, id, ops).await
        };
        let published = until("the change is decided", || async {
            let published: Published = mesh::post(at, "changes", &change).await?;
            let is_final = wanted == "unknown" || !matches!(published, Published::Unknown(_));
            is_final.then_some(published)
        })
        .await;
        let got = match &published {
            Published::Decided(outcome) => {
                if outcome.verdict.is_accepted() {
                    self.accepted = outcome.version;
                }
                verdict_word(&outcome.verdict)
            }
            Published::Refused(verdict) => verdict_word(verdict),
            Published::NotAccepted(_) => "not-accepted",
            Published::Unknown(_) => "unknown",
        };
        assert_eq!(got, wanted, "{published:?}");
    }

    /// Waits until `nodes` have the same version and digest.
    async fn same(&self, nodes: &str) {
        let names = self.names(nodes);
        until("all nodes have the same version", || async {
            let first = mesh::report(&self.processes[&names[0]].listen)
                .await?
                .anchor;
            for name in &names {
                let report = mesh::report(&self.processes[name].listen).await?;
                if !report.ready || report.anchor != first {
                    return None;
                }
            }
            Some(())
        })
        .await;
    }

    /// Waits until the log holds a new snapshot.
    async fn snapshot(&mut self) {
        let end = self.log.next_offset("snapshots").max(self.snapshots_end);
        until("the log holds a new snapshot", || async {
            (self.log.next_offset("snapshots") > end).then_some(())
        })
        .await;
        self.snapshots_end = self.log.next_offset("snapshots");
    }

    /// Starts a target and waits until all nodes know it.
    async fn target(&mut self, name: &str, service: &str, node: &str) {
        let target = Target::start(name, service);
        let all: Vec<_> = self.processes.values().map(|p| &p.listen).collect();
        attach(&target, &self.processes[node].listen, &all).await;
        self.targets.insert(name.into(), target);
    }

    /// Sends a request with a key until its outcome is `wanted`.
    async fn debit(&self, key: &str, node: &str, wanted: &str) {
        let url = format!(
            "http://{}/ledger/debit",
            self.processes[node].listen.callers
        );
        until(&format!("the outcome is `{wanted}`"), || async {
            let sent = super::client()
                .post(&url)
                .header("idempotency-key", &self.keys[key]);
            let response = sent.body("debit").send().await.ok()?;
            let outcome = response.headers().get("rilltrack-outcome")?.to_str().ok()?;
            (outcome == wanted).then_some(())
        })
        .await;
    }

    /// Sends a request until its outcome is `wanted`, because members and versions
    /// may not have reached the node yet. Returns which target answered.
    async fn call(&self, node: &str, path: &str, wanted: &str) -> Option<String> {
        let url = format!("http://{}{path}", self.processes[node].listen.callers);
        until(&format!("the outcome is `{wanted}`"), || async {
            let response = super::client().get(&url).send().await.ok()?;
            let outcome = response
                .headers()
                .get("rilltrack-outcome")?
                .to_str()
                .ok()?
                .to_owned();
            let from = response
                .headers()
                .get("x-target")
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned);
            (outcome == wanted).then_some(from)
        })
        .await
    }
}

/// Gets the status of a daemon, which must be reachable.
async fn report(process: &Process) -> Report {
    mesh::report(&process.listen).await.unwrap()
}

/// Returns the operation that sets a label, written as `name=value`, on a resource.
fn label_op(key: &str, label: &str) -> Op {
    let (name, value) = label.split_once('=').unwrap();
    let set = BTreeMap::from([(name.to_owned(), value.to_owned())]);
    Op::Label {
        key: key.parse().unwrap(),
        set,
        remove: Vec::new(),
    }
}

/// Returns the word for a verdict in a scenario.
fn verdict_word(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted => "accepted",
        Verdict::Repeated(_) => "repeated",
        Verdict::Conflict(_) => "conflict",
        Verdict::Invalid(_) => "invalid",
        Verdict::Foreign => "foreign",
        Verdict::Unreadable => "unreadable",
    }
}
