//! A randomized soak test: injects faults into real processes and checks guarantees by what
//! callers and targets observe.
//!
//! `cargo run --release --example soak -- --seed 7` runs seed 7 and prints the first violation
//! with the request concerned; `--seeds 50` runs 50 seeds from there. It needs
//! `rilltrack-node` in the parent of its own folder, and signals only processes that it
//! started, by their ids.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use fastrand::Rng;
use parking_lot::Mutex;
use rilltrack_standins::{
    fleet::version,
    proxy::{Harm, Proxy},
    store::{Mode as StoreMode, Store},
    target::{Damage, Endless, Mode, Target},
};
use serde_json::json;

/// Plays random faults against real processes and checks the promises.
#[derive(FromArgs)]
struct Args {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// hosts of a fleet
    #[argh(option, default = "6")]
    hosts: usize,
    /// seconds of faults for each seed
    #[argh(option, default = "8")]
    seconds: u64,
}

/// What the store may do to calls.
const STORE_FAULTS: [StoreMode; 4] = [
    StoreMode::Refusing,
    StoreMode::Silent,
    StoreMode::LosingAnswers,
    StoreMode::ExecutingLate,
];

/// The time after its acknowledged drain in which a target may still receive requests, as
/// the platform specifies.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// The time after the last fault within which the fleet must serve all requests.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The delay after which an older version is written behind a newer one: longer than a
/// reader's pause between reads, 30 ms, so that the older one is read by itself.
const OLDER_VERSION_DELAY: Duration = Duration::from_millis(80);

/// The limit that a target states, in requests per second; its callers send several times as
/// many.
const STATED_LIMIT: f64 = 5.0;

/// The time after a limit was first stated from which the platform holds nodes to it.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// The span within which a target may get half more than its limit, and five requests.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// The number of callers that send during the faults.
const CALLERS: usize = 8;

/// The number of nodes that are stopped gracefully at the end.
const GRACEFUL_STOPS: usize = 2;

/// The number of callers with a persistent connection to each of those nodes.
const CALLERS_PER_STOP: usize = 6;

/// How long a target must have had free slots before no request may be refused for lack of room.
const FREE_SPAN: Duration = Duration::from_secs(1);

/// The delay in front of the service's other targets, with which their slots are full.
const SLOW_RUN: Duration = Duration::from_millis(300);

/// Callers that together take more than the slots of a service's other targets.
const FILLING_CALLERS: usize = 24;

/// The setting `memory` of each node, in MiB.
const MEMORY_MIB: u64 = 64;

/// The clients of a crowd, and the size of the body that each of them doesn't end, in bytes.
const CROWD: usize = 100;
const CROWD_BODY: usize = 700_000;

const SERVICES: [&str; 2] = ["a", "b"];

/// A request and its answer, as its caller saw them.
#[derive(Clone, Debug)]
struct RequestRecord {
    once: bool,
    to: usize,
    at: Duration,
    answer: String,
}

impl std::fmt::Display for RequestRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { to, at, answer, .. } = self;
        write!(f, "sent to n{to} at {at:?}, answered {answer:?}")
    }
}

struct Node {
    ip: IpAddr,
    service: &'static str,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    target: Target,
    own_store: Store,
    proxies: Proxies,
    instance: Mutex<Instance>,
    silent: AtomicBool,
    /// The instance whose drain was acknowledged first, and when.
    drained: Mutex<Option<(u64, Instant)>>,
    /// The newest version that the current process has reported.
    newest_version: AtomicU64,
}

/// The state that a target reports in its heartbeats.
#[derive(Clone, Copy, Default)]
struct Instance {
    id: u64,
    /// Its start time, which distinguishes instances after a restart under the same id.
    born: u64,
    sequence: u64,
    draining: bool,
}

/// The proxies in front of a node's listeners, its target and its store.
struct Proxies {
    inbound: Proxy,
    peers: Proxy,
    target: Proxy,
    store: Proxy,
}

impl Proxies {
    fn all(&self) -> [&Proxy; 4] {
        [&self.inbound, &self.peers, &self.target, &self.store]
    }
}

struct Fleet {
    seed: u64,
    nodes: Vec<Node>,
    store: Store,
    requests: Mutex<BTreeMap<String, RequestRecord>>,
    /// Requests over persistent connections, sent after the faults.
    persistent: Mutex<BTreeMap<String, RequestRecord>>,
    violations: Mutex<Vec<String>>,
    started: Instant,
    done: AtomicBool,
    version: AtomicU64,
}

impl Node {
    fn start(&self) {
        let program = std::env::current_exe().unwrap();
        let program = program
            .parent()
            .unwrap()
            .parent()
            .unwrap()
            .join("rilltrack-node");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        // Locked until `newest_version` is reset, too: a new process that answered while the
        // former one was still registered here was taken for the former with an older version
        // (seed 135).
        let mut current = self.child.lock();
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("rilltrack-node is built beside this program");
        *current = Some(child);
        self.newest_version.store(0, Ordering::Relaxed);
    }

    /// Sends a signal to the node's process, if it is running.
    fn signal(&self, signal: i32) {
        if let Some(child) = &mut *self.child.lock()
            && matches!(child.try_wait(), Ok(None))
        {
            // SAFETY: `kill` takes no pointers. The child has not been waited for, so its id
            // is not reused.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock();
        child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    fn at(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }

    /// Sends the target's heartbeats until the run ends.
    async fn run_heartbeats(&self, fleet: &Fleet) {
        while !fleet.done.load(Ordering::Relaxed) {
            let instance = {
                let mut current = self.instance.lock();
                current.sequence += 1;
                *current
            };
            if !self.silent.load(Ordering::Relaxed) {
                let answer = self.report(instance).await;
                if instance.draining && answer.starts_with("HTTP/1.1 200") {
                    self.drained
                        .lock()
                        .get_or_insert((instance.id, Instant::now()));
                }
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    }

    /// Sends a heartbeat of an instance of the target; returns the answer.
    async fn report(&self, instance: Instance) -> String {
        let state = if instance.draining {
            "draining"
        } else {
            "ready"
        };
        let body = json!({"address": self.proxies.target.address, "born": instance.born,
            "info": {"service": self.service, "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": state, "sequence": instance.sequence, "warmupLeft": "0ms"}});
        self.send_heartbeat(instance.id, &body.to_string()).await
    }

    /// Sends a heartbeat with an arbitrary body; returns the answer.
    async fn send_heartbeat(&self, id: u64, body: &str) -> String {
        let call = format!(
            "POST /api/instances/i{id}/heartbeat HTTP/1.1\r\nhost: x\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        exchange(self.at(7004), &call, Duration::from_secs(1)).await
    }
}

/// Sends requests over one persistent connection to node `to` until that closes it.
async fn send_over_one_connection(fleet: Arc<Fleet>, to: usize, caller: usize) {
    use tokio::io::AsyncWriteExt;
    let Ok(mut stream) = tokio::net::TcpStream::connect(fleet.nodes[to].at(7001)).await else {
        return;
    };
    for number in 0.. {
        let id = format!("k{to}-{caller}-{number}");
        let service = SERVICES[number % 2];
        let request = format!(
            "POST /post/{service}/ HTTP/1.1\r\nHost: fares.example\r\n\
             Rilltrack-Attempt-Id: {id}\r\nRilltrack-Deadline-Ms: 1500\r\n\
             Content-Length: 3\r\n\r\nabc"
        );
        let at = fleet.started.elapsed();
        let sent = stream.write_all(request.as_bytes()).await;
        let answer = match sent {
            Ok(()) => read_answer(&mut stream).await,
            Err(_) => return,
        };
        let closes = answer.is_empty() || answer.contains("connection: close");
        let record = RequestRecord {
            once: true,
            to,
            at,
            answer,
        };
        fleet.persistent.lock().insert(id, record);
        if closes {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Reads an answer with a content-length; returns an empty string if the connection ends
/// before it is complete.
async fn read_answer(stream: &mut tokio::net::TcpStream) -> String {
    use tokio::io::AsyncReadExt;
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
            if body.len() >= length.unwrap_or(0) {
                return text.into_owned();
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ => return String::new(),
        }
    }
}

/// Sends bytes over a new connection and returns the answer up to the connection's end; empty
/// if there is none within the time limit.
async fn exchange(to: SocketAddr, bytes: &str, within: Duration) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let answer = async {
        let mut stream = tokio::net::TcpStream::connect(to).await.ok()?;
        stream.write_all(bytes.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        // A reset ends the answer, too; the bytes received until then count.
        let _ = stream.read_to_end(&mut answer).await;
        Some(String::from_utf8_lossy(&answer).into_owned())
    };
    let answer = tokio::time::timeout(within, answer).await;
    answer.ok().flatten().unwrap_or_default()
}

/// Returns whether nodes report loads with a seed. Without the setting they don't, because the
/// version has no team and targets state no slowness; that path is soaked with even seeds.
fn reports_loads(seed: u64) -> bool {
    seed % 2 == 1
}

impl Fleet {
    async fn start(seed: u64, hosts: usize) -> Arc<Self> {
        let store = Store::start().await;
        let folder =
            std::env::temp_dir().join(format!("rilltrack-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut nodes = Vec::new();
        for i in 0..hosts {
            let id = std::process::id();
            let ip: IpAddr =
                Ipv4Addr::new(127, 30 + (seed % 30) as u8, (id % 250) as u8, i as u8 + 1).into();
            let own_store = store.door();
            let at = |port| SocketAddr::new(ip, port);
            let target = Target::start().await;
            let proxies = Proxies {
                inbound: Proxy::start(at(7002)).await,
                peers: Proxy::start(at(7003)).await,
                target: Proxy::start(target.address).await,
                store: Proxy::start(own_store.address).await,
            };
            let domain = ["x", "y", "z"][i % 3];
            let mut settings = json!({
                "node": format!("n{i}"), "domain": domain,
                "service": SERVICES[i % 2],
                "listen": {"callers": at(7001), "inbound": at(7002), "peers": at(7003),
                    "targets": at(7004), "ready": at(7005), "metrics": at(7006)},
                "advertise": {"inbound": proxies.inbound.address, "peers": proxies.peers.address},
                "store": proxies.store.address, "heartbeat": "400ms", "grace": "6s",
                "resend": {"ratio": 0.2, "slack": 62, "window": "10s"}, "descriptors": 1024,
                "memory": format!("{MEMORY_MIB}MiB"),
            });
            if reports_loads(seed) {
                settings["load_reports"] = true.into();
            }
            let path = folder.join(format!("n{i}.json"));
            std::fs::write(&path, settings.to_string()).unwrap();
            nodes.push(Node {
                ip,
                service: SERVICES[i % 2],
                settings: path,
                child: Mutex::new(None),
                target,
                own_store,
                proxies,
                instance: Mutex::new(Instance {
                    id: 1,
                    ..Instance::default()
                }),
                silent: AtomicBool::new(false),
                drained: Mutex::new(None),
                newest_version: AtomicU64::new(0),
            });
        }
        store.publish(&version(1, &SERVICES));
        Arc::new(Self {
            seed,
            nodes,
            store,
            requests: Mutex::default(),
            persistent: Mutex::default(),
            violations: Mutex::default(),
            started: Instant::now(),
            done: AtomicBool::new(false),
            version: AtomicU64::new(1),
        })
    }

    fn report_violation(&self, what: String) {
        self.violations
            .lock()
            .push(format!("{:?} {what}", self.started.elapsed()));
    }

    /// Sends one request, records its answer, and returns whether it was served.
    async fn ask(&self, rng: &mut Rng, caller: usize, number: usize) -> bool {
        let to = rng.usize(..self.nodes.len());
        let once = rng.bool();
        let service = SERVICES[rng.usize(..2)];
        let (method, kind) = if once {
            ("POST", "post")
        } else {
            ("GET", "get")
        };
        let id = format!("c{caller}-{number}");
        let request = format!(
            "{method} /{kind}/{service}/ HTTP/1.1\r\nHost: fares.example\r\n\
             Rilltrack-Attempt-Id: {id}\r\nRilltrack-Deadline-Ms: 1500\r\n\
             Content-Length: 3\r\nConnection: close\r\n\r\nabc"
        );
        let at = self.started.elapsed();
        let answer = exchange(self.nodes[to].at(7001), &request, Duration::from_secs(4)).await;
        let is_served = answer.starts_with("HTTP/1.1 200");
        if is_served && !(answer.ends_with(&format!("ran {id}")) && answer.contains("1.2.3")) {
            self.report_violation(format!(
                "request {id} got another answer than its own: {answer:?}"
            ));
        }
        let record = RequestRecord {
            once,
            to,
            at,
            answer,
        };
        self.requests.lock().insert(id, record);
        is_served
    }

    async fn caller(self: Arc<Self>, caller: usize) {
        let mut rng = Rng::with_seed(self.seed * 1000 + caller as u64);
        for number in 0.. {
            if self.done.load(Ordering::Relaxed) {
                return;
            }
            self.ask(&mut rng, caller, number).await;
            tokio::time::sleep(Duration::from_millis(rng.u64(5..40))).await;
        }
    }

    /// Checks that no process goes back to an older version.
    async fn watch_versions(self: Arc<Self>) {
        let check = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while !self.done.load(Ordering::Relaxed) {
            for (i, node) in self.nodes.iter().enumerate() {
                let process = node.child.lock().as_ref().map(Child::id);
                let text = exchange(node.at(7006), check, Duration::from_millis(300)).await;
                let seen = text
                    .lines()
                    .find_map(|line| line.strip_prefix("rilltrack_version ")?.parse::<u64>().ok());
                let child = node.child.lock();
                let is_same_process = child.as_ref().map(Child::id) == process;
                if let Some(seen) = seen.filter(|_| is_same_process) {
                    let before = node.newest_version.fetch_max(seen, Ordering::Relaxed);
                    if seen < before {
                        self.report_violation(format!(
                            "n{i} went back from version {before} to {seen}"
                        ));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Injects one random fault and, where it lasts, ends it.
    async fn inject_fault(self: Arc<Self>, mut rng: Rng) {
        let node = &self.nodes[rng.usize(..self.nodes.len())];
        let span = Duration::from_millis(rng.u64(200..2500));
        match rng.u32(..16) {
            0 => node.signal(libc::SIGKILL),
            1 => node.signal(libc::SIGTERM),
            2 => node.signal(libc::SIGHUP),
            3 => {
                node.signal(libc::SIGSTOP);
                tokio::time::sleep(span).await;
                node.signal(libc::SIGCONT);
            }
            4 => {
                // About 60% of the nodes are killed at once.
                for other in &self.nodes {
                    if rng.f64() < 0.6 {
                        other.signal(libc::SIGKILL);
                    }
                }
            }
            5 => {
                node.own_store
                    .set_own(STORE_FAULTS[rng.usize(..STORE_FAULTS.len())]);
                tokio::time::sleep(span).await;
                node.own_store.set_own(StoreMode::Up);
            }
            6 => {
                self.store
                    .set(STORE_FAULTS[rng.usize(..STORE_FAULTS.len())]);
                tokio::time::sleep(span).await;
                self.store.set(StoreMode::Up);
            }
            7 => self.store.forget_history(),
            8 => {
                for _ in 0..rng.usize(1..6) {
                    let next = self.version.fetch_add(rng.u64(1..4), Ordering::Relaxed) + 3;
                    self.version.fetch_max(next, Ordering::Relaxed);
                    self.store.publish(&version(next, &SERVICES));
                    if rng.f64() < 0.3 {
                        // Two operators race, and the older version is written last.
                        tokio::time::sleep(OLDER_VERSION_DELAY).await;
                        self.store.publish(&version(next - 1, &SERVICES));
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            9 => self.drain(node, &mut rng).await,
            10 | 11 => {
                let harm = random_harm(&mut rng);
                let all = node.proxies.all();
                let proxy = all[rng.usize(..all.len())];
                proxy.set(harm);
                tokio::time::sleep(span).await;
                proxy.set(Harm::None);
            }
            12 => {
                // A failure domain is partitioned from the others, and from the store at times.
                let domain = rng.usize(..3);
                let harm = random_harm(&mut rng);
                let with_store = rng.bool();
                let set_domain = |harm| {
                    for node in self.nodes.iter().skip(domain).step_by(3) {
                        node.proxies.inbound.set(harm);
                        node.proxies.peers.set(harm);
                        if with_store {
                            node.proxies.store.set(harm);
                        }
                    }
                };
                set_domain(harm);
                tokio::time::sleep(span).await;
                set_domain(Harm::None);
            }
            13 => self.crowd(node, span).await,
            _ => {
                let modes = [
                    Mode::Sheds,
                    Mode::Breaks,
                    Mode::Fails,
                    Mode::Mixes,
                    Mode::Unproved,
                    Mode::Halves,
                    Mode::Unframed,
                    Mode::Twice,
                    Mode::Hangs,
                    Mode::Endless(Endless::Headers),
                    Mode::Endless(Endless::Interim),
                    Mode::Endless(Endless::Drip),
                    Mode::Damaged(Damage::Coding),
                    Mode::Damaged(Damage::Name),
                    Mode::Damaged(Damage::Line),
                    Mode::Damaged(Damage::Status),
                ];
                node.target.set(modes[rng.usize(..modes.len())]);
                tokio::time::sleep(span).await;
                node.target.set(Mode::Serves);
            }
        }
    }

    /// Sends a node uploads that stop before their end, from clients that stay for a while.
    async fn crowd(&self, node: &Node, span: Duration) {
        use tokio::io::AsyncWriteExt;
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..CROWD {
            let callers = node.at(7001);
            clients.spawn(async move {
                let head = format!(
                    "POST /post/a/ HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: crowd\r\n\
                     Rilltrack-Deadline-Ms: 20000\r\nContent-Length: {CROWD_BODY}\r\n\r\n"
                );
                let mut stream = tokio::net::TcpStream::connect(callers).await.ok()?;
                stream.write_all(head.as_bytes()).await.ok()?;
                stream.write_all(&vec![b'x'; CROWD_BODY - 1]).await.ok()?;
                tokio::time::sleep(Duration::from_secs(60)).await;
                Some(())
            });
        }
        tokio::time::sleep(span).await;
    }

    /// Checks that no process has taken more memory than its setting allows.
    fn check_memory(&self) {
        for (i, node) in self.nodes.iter().enumerate() {
            let id = node.child.lock().as_ref().map(Child::id);
            let peak = id.map_or(0, rilltrack_standins::process::peak_memory);
            if peak > MEMORY_MIB << 20 {
                self.report_violation(format!("n{i} took {peak} bytes of memory"));
            }
        }
    }

    /// Drains a target and replaces it by a successor; kills its node at times.
    async fn drain(&self, node: &Node, rng: &mut Rng) {
        let instance = {
            let mut current = node.instance.lock();
            current.draining = true;
            current.id
        };
        if rng.bool() {
            tokio::time::sleep(Duration::from_millis(rng.u64(..900))).await;
            node.signal(libc::SIGKILL);
        }
        tokio::time::sleep(Duration::from_millis(3500)).await;
        let acknowledged = node.drained.lock().take();
        if let Some((drained, at)) = acknowledged.filter(|(drained, _)| *drained == instance) {
            let late = node
                .target
                .seen_since(at + DRAIN_LIMIT, &format!("i{drained}"));
            if late > 0 {
                self.report_violation(format!(
                    "{late} requests reached i{drained} after its drain"
                ));
            }
        }
        let mut current = node.instance.lock();
        if current.id == instance {
            *current = Instance {
                id: instance + 1,
                ..Instance::default()
            };
        }
    }

    /// Until `end`, restarts targets under their ids, with late heartbeats of their former
    /// instances, and sends invalid records and heartbeats to the store and to nodes.
    ///
    /// It draws from a generator of its own, so that the other faults of a seed don't change.
    async fn inject_restarts_and_invalid_data(self: Arc<Self>, end: Instant) {
        let mut rng = Rng::with_seed(!self.seed);
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(rng.u64(300..1500))).await;
            let node = &self.nodes[rng.usize(..self.nodes.len())];
            match rng.u32(..3) {
                0 | 1 => node.restart_target(&mut rng).await,
                _ => self.send_invalid_data(node, &mut rng).await,
            }
        }
    }

    /// Writes an invalid record to the store, or sends an invalid heartbeat to `node`.
    async fn send_invalid_data(&self, node: &Node, rng: &mut Rng) {
        let mut bytes = vec![0; rng.usize(1..60)];
        rng.fill(&mut bytes);
        let key = format!("stray & {}", rng.u8(..));
        match rng.u32(..4) {
            0 => self.store.write_member(key.as_bytes(), &bytes),
            1 => self.store.write_torn(&[0xff, 1, 2]),
            2 => self.store.write_member(key.as_bytes(), b"{}"),
            _ => {
                let body = String::from_utf8_lossy(&bytes).into_owned();
                drop(node.send_heartbeat(rng.u64(..4), &body).await);
            }
        }
    }

    /// After the faults, stops nodes gracefully, one by one, while callers send over persistent
    /// connections until the process has ended. `check_runs` then checks that every request
    /// that ran was answered.
    async fn stop_gracefully(self: &Arc<Self>) {
        for (i, node) in self.nodes.iter().enumerate().take(GRACEFUL_STOPS) {
            let callers: Vec<_> = (0..CALLERS_PER_STOP)
                .map(|caller| tokio::spawn(send_over_one_connection(self.clone(), i, caller)))
                .collect();
            tokio::time::sleep(Duration::from_millis(300)).await;
            node.signal(libc::SIGTERM);
            for caller in callers {
                caller.await.expect("a caller does not panic");
            }
        }
    }

    /// After the faults, slows all targets of service `a` but n0's while more requests come than
    /// they have slots, and checks that none is refused at the entry once n0's has had free slots
    /// for [`FREE_SPAN`].
    async fn check_room(self: &Arc<Self>) {
        let set_others = |harm| {
            let others = self.nodes.iter().skip(2).step_by(SERVICES.len());
            others.for_each(|node| node.proxies.target.set(harm));
        };
        set_others(Harm::Delay(SLOW_RUN));
        let start = Instant::now();
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..FILLING_CALLERS {
            let fleet = self.clone();
            callers.spawn(async move {
                for number in 0.. {
                    let sent = start.elapsed();
                    if sent > FREE_SPAN * 3 {
                        return;
                    }
                    let request = format!(
                        "GET /get/a/ HTTP/1.1\r\nHost: fares.example\r\nConnection: close\r\n\
                         Rilltrack-Attempt-Id: f{caller}-{number}\r\n\
                         Rilltrack-Deadline-Ms: 500\r\n\r\n"
                    );
                    let node = &fleet.nodes[caller % fleet.nodes.len()];
                    let answer = exchange(node.at(7001), &request, FREE_SPAN).await;
                    if sent > FREE_SPAN && answer.contains("no target has room") {
                        fleet.report_violation(format!(
                            "f{caller}-{number} was refused {sent:?} after n0's target had \
                             free slots"
                        ));
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
        callers.join_all().await;
        set_others(Harm::None);
    }

    /// After the faults, lets a target state a limit, kills its node, and checks what the target
    /// gets while the node starts anew.
    async fn check_stated_limit(&self) {
        let node = &self.nodes[0];
        node.target
            .set_notice(&format!("Server-Limit: {STATED_LIMIT}\r\n"));
        tokio::time::sleep(LIMIT_GRACE).await;
        node.signal(libc::SIGKILL);
        let start = Instant::now();
        tokio::time::sleep(LIMIT_SPAN).await;
        let got = node.target.busiest(LIMIT_SPAN, |at| at >= start);
        let allowed = (STATED_LIMIT * 1.5 * LIMIT_SPAN.as_secs_f64()) as usize + 5;
        if got > allowed {
            self.report_violation(format!(
                "n0's target got {got} requests in {LIMIT_SPAN:?}, {allowed} allowed by its limit"
            ));
        }
        node.target.set_notice("");
    }

    /// Lets a target state its leave in its answers alone, kills its node, and checks that the
    /// target gets nothing more. Another instance takes its place then.
    async fn check_stated_leave(&self) {
        let node = &self.nodes[1];
        node.target.set_notice("Server-Leaving: 1\r\n");
        tokio::time::sleep(DRAIN_LIMIT).await;
        node.signal(libc::SIGKILL);
        let start = Instant::now();
        tokio::time::sleep(DRAIN_LIMIT).await;
        let late = node.target.busiest(DRAIN_LIMIT, |at| at >= start);
        if late > 0 {
            self.report_violation(format!(
                "{late} requests reached n1's target after it stated its leave"
            ));
        }
        node.target.set_notice("");
        let mut current = node.instance.lock();
        *current = Instance {
            id: current.id + 1,
            ..Instance::default()
        };
    }

    /// Restarts nodes whose process has ended, as the platform does.
    async fn restart_nodes(self: Arc<Self>) {
        while !self.done.load(Ordering::Relaxed) {
            for node in &self.nodes {
                if node.has_ended() {
                    node.start();
                }
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Checks at the end how often each request ran, against the answer that its caller got.
    fn check_runs(&self) {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for node in &self.nodes {
            for id in node.target.ran() {
                *runs.entry(id).or_default() += 1;
            }
        }
        for (id, record) in &*self.persistent.lock() {
            if record.answer.is_empty() && runs.contains_key(id) {
                self.report_violation(format!("a stop cut {id}, which ran: {record}"));
            }
        }
        let (requests, persistent) = (self.requests.lock(), self.persistent.lock());
        for (id, record) in requests.iter().chain(persistent.iter()) {
            let count = runs.get(id).copied().unwrap_or(0);
            let status = record.answer.get(9..12).unwrap_or("none");
            if record.once && count > 1 {
                self.report_violation(format!("request {id} ran {count} times: {record}"));
            }
            let is_reported_not_run = ["503", "429", "408", "421"].contains(&status);
            if record.once && is_reported_not_run && count > 0 {
                self.report_violation(format!("request {id} ran and was refused: {record}"));
            }
        }
    }

    /// Checks that, within [`RECOVERY_LIMIT`], 30 requests in a row are served and every target
    /// has run a request from another node.
    async fn check_recovery(&self) {
        let started = Instant::now();
        let before: Vec<_> = self.nodes.iter().map(|n| n.target.ran().len()).collect();
        let mut rng = Rng::with_seed(self.seed);
        let mut in_a_row = 0;
        for number in 0.. {
            let unreached = self.unreached(&before);
            if in_a_row >= 30 && unreached.is_empty() {
                return;
            }
            if started.elapsed() > RECOVERY_LIMIT {
                self.report_violation(format!(
                    "the fleet does not serve all again: {in_a_row} in a row, no other node \
                     reaches {unreached:?}"
                ));
                return;
            }
            let is_served = self.ask(&mut rng, 99, number).await;
            in_a_row = if is_served { in_a_row + 1 } else { 0 };
        }
    }
}

impl Fleet {
    /// Returns the nodes whose target has run no request from another node since it had run
    /// `before[node]` requests.
    fn unreached(&self, before: &[usize]) -> Vec<usize> {
        let requests = self.requests.lock();
        let comes_from_others = |node: usize, id: &String| {
            let record = requests.get(id);
            record.is_some_and(|record| record.to != node)
        };
        let is_reached = |node: usize| {
            let ran = self.nodes[node].target.ran();
            ran[before[node]..]
                .iter()
                .any(|id| comes_from_others(node, id))
        };
        (0..self.nodes.len())
            .filter(|node| !is_reached(*node))
            .collect()
    }
}

impl Node {
    /// Restarts the target under its id; sends a late heartbeat of the former instance after
    /// that.
    async fn restart_target(&self, rng: &mut Rng) {
        let old = {
            let mut current = self.instance.lock();
            if current.draining {
                return;
            }
            let old = *current;
            *current = Instance {
                born: old.born + 1,
                sequence: 0,
                ..old
            };
            old
        };
        tokio::time::sleep(Duration::from_millis(rng.u64(..900))).await;
        let late = Instance {
            sequence: old.sequence + 1000,
            draining: rng.bool(),
            ..old
        };
        drop(self.report(late).await);
    }
}

/// Returns a random fault for a proxy.
fn random_harm(rng: &mut Rng) -> Harm {
    let harms = [
        Harm::Delay(Duration::from_millis(rng.u64(1..300))),
        Harm::Reset,
        Harm::CutThere,
        Harm::CutBack,
        Harm::Silence,
    ];
    harms[rng.usize(..harms.len())]
}

/// Runs one seed; returns the violations in the order of their detection.
async fn run_seed(seed: u64, args: &Args) -> Vec<String> {
    let fleet = Fleet::start(seed, args.hosts).await;
    fleet.nodes.iter().for_each(Node::start);
    let watcher = fleet.clone();
    let mut tasks = vec![
        tokio::spawn(fleet.clone().restart_nodes()),
        tokio::spawn(async move { watcher.watch_versions().await }),
    ];
    for i in 0..fleet.nodes.len() {
        let fleet = fleet.clone();
        tasks.push(tokio::spawn(async move {
            fleet.nodes[i].run_heartbeats(&fleet).await
        }));
    }
    // All nodes start at the same time; there are no guarantees to callers until they are up.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for caller in 0..CALLERS {
        tasks.push(tokio::spawn(fleet.clone().caller(caller)));
    }
    let mut rng = Rng::with_seed(seed);
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let mut faults = vec![tokio::spawn(
        fleet.clone().inject_restarts_and_invalid_data(end),
    )];
    while Instant::now() < end {
        // Faults start in groups of one to three, and overlap.
        for _ in 0..rng.usize(1..4) {
            faults.push(tokio::spawn(fleet.clone().inject_fault(rng.fork())));
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(100..900))).await;
    }
    for fault in faults {
        fault.await.expect("a fault does not panic");
    }
    fleet.check_memory();
    fleet.check_recovery().await;
    if reports_loads(fleet.seed) {
        fleet.check_room().await;
    }
    fleet.check_stated_limit().await;
    fleet.check_stated_leave().await;
    fleet.stop_gracefully().await;
    fleet.done.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("a task does not panic");
    }
    fleet.check_runs();
    for node in &fleet.nodes {
        node.signal(libc::SIGKILL);
        if let Some(mut child) = node.child.lock().take() {
            child.wait().expect("a child can be waited for");
        }
    }
    let requests = fleet.requests.lock();
    let served = requests
        .values()
        .filter(|request| request.answer.starts_with("HTTP/1.1 200"))
        .count();
    println!("seed {seed}: {} requests, {served} served", requests.len());
    fleet.violations.lock().clone()
}

fn main() {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let violations = runtime.block_on(run_seed(seed, &args));
        if let Some(first) = violations.first() {
            failed += 1;
            println!("seed {seed} BROKEN ({} in all): {first}", violations.len());
        }
    }
    println!("{} seeds, {failed} failed", args.seeds);
    std::process::exit(i32::from(failed > 0));
}
