//! A small test language: one step a line, run against real processes.
//!
//! Steps (`NODES` is a list with commas, or `all` for those that run):
//!
//! ```text
//! start NODES DOMAIN            start daemons, each in a process of its own
//! ready NODES                   wait until they hold a complete view
//! known NODES COUNT             wait until they know so many alive members
//! kill|freeze|thaw|term NODES   send a signal; `term` waits for exit code 0
//! log down|hanging|losing|well  how the platform's log behaves
//! log expire|truncate STREAM N  what the log forgets, or loses
//! log noise                     append a record that is none of ours
//! cut A B, heal                 links between domains, or to `platform`
//! mesh ID NODE DOMAINS SERVICE  publish a small mesh through NODE
//! label ID NODE KEY K=V VERDICT publish a label; what becomes of it
//! race ID NODE KEY K=V VERDICT  the same, expecting the last `mark`
//! recover NODE                  begin a new epoch with its state
//! mark NODE                     remember its version
//! reach NODES                   wait for the newest accepted version
//! stay NODES                    they have the marked version, to the digit
//! same NODES                    wait until they hold the same, digest and all
//! unready NODE                  it holds no complete view
//! log count, log reads-below N  fewer reads than that since the count
//! snapshot                      wait for one more snapshot in the log
//! target NAME SERVICE NODE      start a target there, known to all
//! call NODE PATH OUTCOME [FROM] send a GET; its outcome, and who answered
//! key KEY NODE SERVICE          get an idempotency key through a node
//! debit KEY NODE OUTCOME        send the keyed request until its outcome is so
//! hits NAME COUNT               so many requests reached that target
//! pause MS                      let time pass (for what must not happen)
//! ```
//!
//! At the end of every scenario, no process ever went back to an older
//! version, by its own log.

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
    log::{Log, Mood},
    mesh::{self, Process, attach, basic_ops},
    target::Target,
    until,
};

pub struct World {
    program: std::path::PathBuf,
    log: Log,
    links: Links,
    to_log: Relay,
    processes: BTreeMap<String, Process>,
    domains: BTreeMap<String, String>,
    /// Where others reach a node, which seeds name.
    reached_at: BTreeMap<String, SocketAddr>,
    accepted: Version,
    marked: Option<Report>,
    snapshots: u64,
    reads: u64,
    targets: BTreeMap<String, Target>,
    keys: BTreeMap<String, String>,
}

/// Runs the scenario in `text`.
pub async fn run(program: &Path, text: &str) {
    let log = Log::start();
    let links = Links::default();
    let to_log = links.relay([127, 0, 0, 1].into(), PLATFORM);
    to_log.behind.set(log.address).unwrap();
    let mut world = World {
        program: program.into(),
        log,
        links,
        to_log,
        processes: BTreeMap::new(),
        domains: BTreeMap::new(),
        reached_at: BTreeMap::new(),
        accepted: Version::default(),
        marked: None,
        snapshots: 0,
        reads: 0,
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
            world.step(&words).await;
        }
    }
    world.processes.values().for_each(never_back);
}

/// Asserts that the versions a process put in force only ever grew.
fn never_back(process: &Process) {
    let mut last = Version::default();
    for line in process
        .lines()
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

impl World {
    async fn step(&mut self, words: &[&str]) {
        match words {
            ["start", nodes, domain] => nodes.split(',').for_each(|node| self.start(node, domain)),
            ["ready", nodes] => {
                self.each(nodes, async |p| mesh::ready(&p.listen).await)
                    .await
            }
            ["known", nodes, count] => {
                let count: usize = count.parse().unwrap();
                self.each(nodes, async |p| mesh::knows(&p.listen, count).await)
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
                    assert_eq!(process.ended().await, Some(0));
                    never_back(&process);
                }
            }
            ["log", "down"] => self.log.set_mood(Mood::Down),
            ["log", "hanging"] => self.log.set_mood(Mood::Hanging),
            ["log", "losing"] => self.log.set_mood(Mood::LosingAnswers),
            ["log", "well"] => self.log.set_mood(Mood::Well),
            ["log", "expire", stream, offset] => self.log.expire(stream, offset.parse().unwrap()),
            ["log", "truncate", stream, offset] => {
                self.log.truncate(stream, offset.parse().unwrap())
            }
            ["log", "count"] => self.reads = self.log.calls().0,
            ["log", "reads-below", count] => {
                let reads = self.log.calls().0 - self.reads;
                assert!(reads < count.parse().unwrap(), "{reads} reads");
            }
            ["log", "noise"] => drop(self.log.append("config", "noise".into())),
            ["cut", a, b] => {
                let known =
                    |d: &&str| *d == PLATFORM || self.domains.values().any(|domain| domain == *d);
                assert!(known(a) && known(b), "no such domain");
                self.links.cut(a, b);
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
                let seen = self.marked.as_ref().unwrap().anchor.version;
                self.publish(id, node, vec![label_op(key, label)], Some(seen), verdict)
                    .await;
            }
            ["recover", node] => {
                let at = self.processes[*node].listen.operators;
                self.accepted = mesh::post(at, "recover?author=test", &()).await.unwrap();
            }
            ["mark", node] => self.marked = mesh::report(&self.processes[*node].listen).await,
            ["reach", nodes] => {
                let version = self.accepted;
                self.each(nodes, async |p| mesh::reached(&p.listen, version).await)
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
            other => panic!("no such step: {other:?}"),
        }
    }

    fn names(&self, nodes: &str) -> Vec<String> {
        match nodes {
            "all" => self.processes.keys().cloned().collect(),
            _ => nodes.split(',').map(str::to_owned).collect(),
        }
    }

    async fn each(&self, nodes: &str, step: impl AsyncFn(&Process)) {
        for name in self.names(nodes) {
            step(&self.processes[&name]).await;
        }
    }

    fn start(&mut self, node: &str, domain: &str) {
        let ip = self.links.ip(domain);
        let (peers, inbound) = (self.links.relay(ip, domain), self.links.relay(ip, domain));
        let others = self.processes.keys().filter(|name| *name != node);
        let seeds: Vec<SocketAddr> = others.map(|name| self.reached_at[name]).take(3).collect();
        let url = format!("http://{}", self.to_log.address);
        let mut settings = mesh::settings(node, domain, &url, &seeds);
        let any = SocketAddr::new(ip, 0);
        settings["listen"]["peers"] = json!(any);
        settings["listen"]["inbound"] = json!(any);
        settings["advertise"] = json!({"peers": peers.address, "inbound": inbound.address});
        settings["log"]["snapshot_every"] = json!("2s");
        let process = Process::start(&self.program, &settings);
        peers.behind.set(process.listen.peers).unwrap();
        inbound.behind.set(process.listen.inbound).unwrap();
        self.reached_at.insert(node.into(), peers.address);
        self.domains.insert(node.into(), domain.into());
        self.processes.insert(node.into(), process);
    }

    /// Publishes as the tool does: the same change again while its outcome is
    /// unknown, unless that is what is expected.
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
            ..mesh::change(at, id, ops).await
        };
        let published = until("an answer to the publish", || async {
            let published: Published = mesh::post(at, "changes", &change).await?;
            let settled = wanted == "unknown" || !matches!(published, Published::Unknown(_));
            settled.then_some(published)
        })
        .await;
        let got = match &published {
            Published::Decided(outcome) => {
                if outcome.verdict.is_accepted() {
                    self.accepted = outcome.version;
                }
                word(&outcome.verdict)
            }
            Published::Refused(verdict) => word(verdict),
            Published::NotAccepted(_) => "not-accepted",
            Published::Unknown(_) => "unknown",
        };
        assert_eq!(got, wanted, "{published:?}");
    }

    async fn same(&self, nodes: &str) {
        let names = self.names(nodes);
        until("all hold the same", || async {
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

    async fn snapshot(&mut self) {
        let held = self.log.next("snapshots").max(self.snapshots);
        until("a snapshot in the log", || async {
            (self.log.next("snapshots") > held).then_some(())
        })
        .await;
        self.snapshots = self.log.next("snapshots");
    }

    async fn target(&mut self, name: &str, service: &str, node: &str) {
        let target = Target::start(name, service);
        let all: Vec<_> = self.processes.values().map(|p| &p.listen).collect();
        attach(&target, &self.processes[node].listen, &all).await;
        self.targets.insert(name.into(), target);
    }

    async fn debit(&self, key: &str, node: &str, wanted: &str) {
        let url = format!(
            "http://{}/ledger/debit",
            self.processes[node].listen.callers
        );
        until(&format!("outcome {wanted}"), || async {
            let sent = super::client()
                .post(&url)
                .header("idempotency-key", &self.keys[key]);
            let response = sent.body("debit").send().await.ok()?;
            let outcome = response.headers().get("rilltrack-outcome")?.to_str().ok()?;
            (outcome == wanted).then_some(())
        })
        .await;
    }

    /// Sends a request until its outcome is as wanted: what the view holds
    /// may still be on its way.
    async fn call(&self, node: &str, path: &str, wanted: &str) -> Option<String> {
        let url = format!("http://{}{path}", self.processes[node].listen.callers);
        until(&format!("outcome {wanted}"), || async {
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

async fn report(process: &Process) -> Report {
    mesh::report(&process.listen).await.unwrap()
}

fn label_op(key: &str, label: &str) -> Op {
    let (name, value) = label.split_once('=').unwrap();
    let set = BTreeMap::from([(name.to_owned(), value.to_owned())]);
    Op::Label {
        key: key.parse().unwrap(),
        set,
        remove: Vec::new(),
    }
}

fn word(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted => "accepted",
        Verdict::Repeated(_) => "repeated",
        Verdict::Conflict(_) => "conflict",
        Verdict::Invalid(_) => "invalid",
        Verdict::Foreign => "foreign",
        Verdict::Unreadable => "unreadable",
    }
}
