//! A small fleet of nodes on loopback, within the test's process.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use rilltrack::{
    coordination::interface::Decoders,
    document::Document,
    host::{self, Process, Settings},
    id::Instance,
    state::member::Member,
    transport,
};
use rilltrack_platform::{config, heartbeat, request, rollout, store};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
};

use crate::{raw, store::Store, target::Target, until};

pub(crate) const CALLERS: u16 = 7001;
pub(crate) const INBOUND: u16 = 7002;
pub(crate) const PEERS: u16 = 7003;
pub(crate) const TARGETS: u16 = 7004;
pub(crate) const READY: u16 = 7005;
pub(crate) const METRICS: u16 = 7006;

/// The time between two heartbeats of a target.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A simulated host in one of the failure domains `here` and `near` of region `south`, `there` of
/// region `north`, and others of unknown regions: its address, its target, and its node while that runs.
pub struct Host {
    pub name: String,
    /// The service of its target.
    pub service: String,
    pub ip: IpAddr,
    pub target: Target,
    /// The release of its target.
    pub release: String,
    process: Option<Process>,
    /// Repeats the target's first heartbeat until the host is dropped, as a target does that
    /// runs on while a test takes its time.
    heartbeats: JoinSet<()>,
    /// The store, at an address for this host alone.
    pub store: Store,
    /// The node's setting `load_reports`, as of its next start.
    pub load_reports: Option<bool>,
    domain: String,
}

/// Returns an address that no concurrent test uses: made of the process id and a count
/// within the process.
fn fresh_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let (high, low) = ((id / 250 % 100) as u8, (id % 250) as u8);
    Ipv4Addr::new(127, 100 + high, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

impl Host {
    /// Starts a host and its node; its target, of `service`, has sent a heartbeat.
    pub async fn start(store: &Store, name: &str, domain: &str, service: &str) -> Self {
        let mut host = Self::stopped(store, name, domain, service).await;
        host.run();
        host.until_ready().await;
        host.heartbeat("i1", 1, "ready").await;
        host.repeat_heartbeat();
        host
    }

    /// Returns a host whose node isn't started yet.
    pub async fn stopped(store: &Store, name: &str, domain: &str, service: &str) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            ip: fresh_ip(),
            target: Target::start().await,
            release: "v1".into(),
            process: None,
            heartbeats: JoinSet::new(),
            store: store.door(),
            load_reports: None,
            domain: domain.into(),
        }
    }

    /// Starts the node.
    pub fn run(&mut self) {
        let at = |port| SocketAddr::new(self.ip, port);
        let mut settings = json!({
            "node": self.name, "domain": self.domain, "service": self.service,
            "regions": {"here": "south", "near": "south", "there": "north"},
            "listen": {
                "callers": at(CALLERS), "inbound": at(INBOUND), "peers": at(PEERS),
                "targets": at(TARGETS), "ready": at(READY), "metrics": at(METRICS),
            },
            "store": self.store.address, "heartbeat": format!("{}ms", HEARTBEAT.as_millis()), "grace": "6s",
            "resend": {"ratio": 0.2, "slack": 62, "window": "10s"}, "descriptors": 1024,
            "exposure": {"share": 0.4},
        });
        if let Some(is_enabled) = self.load_reports {
            settings["load_reports"] = is_enabled.into();
        }
        let document = Document::parse("host", &settings.to_string()).unwrap();
        let settings = Settings::from_document(&document).unwrap();
        let decoders = Decoders {
            routes: Arc::new(config::decode),
            order: Arc::new(rollout::decode),
            target_call: Arc::new(heartbeat::decode),
            acknowledgement: heartbeat::ACKNOWLEDGEMENT.into(),
            dialect: request::dialect(),
        };
        // Retried while an address is in use: after a stop within this process, the listeners
        // of the control thread (for peers and metrics, for example) close only once that thread
        // has noticed the stop.
        let process = loop {
            let store = store::store(self.store.address);
            match Process::start(settings.clone(), store, decoders.clone()) {
                Ok(process) => break process,
                Err(host::Error::Transport(transport::Error::Listen { source, .. }))
                    if source.kind() == std::io::ErrorKind::AddrInUse =>
                {
                    std::thread::sleep(Duration::from_millis(5));
                }
                Err(error) => panic!("{error}"),
            }
        };
        self.process = Some(process);
    }

    /// Stops the node gracefully.
    pub async fn stop(&mut self) {
        if let Some(process) = self.process.take() {
            tokio::task::spawn_blocking(|| process.stop())
                .await
                .unwrap();
        }
    }

    /// Returns the version of the routes that is in force.
    pub fn version(&self) -> u64 {
        self.process.as_ref().unwrap().host.version()
    }

    /// Returns the stage of a service's latest roll-out, as known to this node.
    pub fn rollout(&self, service: &str) -> Option<String> {
        let rollouts = self.process.as_ref().unwrap().host.rollouts.latest();
        let rollout = rollouts.iter().find(|r| r.service.as_str() == service)?;
        Some(format!("{:?}", rollout.stage))
    }

    /// Returns whether this node takes a failure domain for drained.
    pub fn is_drained(&self, domain: &str) -> bool {
        let drains = self.process.as_ref().unwrap().host.drains.current();
        drains.is_drained(&domain.parse().unwrap())
    }

    /// Returns whether the node is a reader of the store for its failure domain.
    pub fn reads(&self) -> bool {
        *self
            .process
            .as_ref()
            .unwrap()
            .host
            .streams
            .reading()
            .borrow()
    }

    /// Returns whether the node takes part in the election of readers.
    pub fn is_settled(&self) -> bool {
        let host = &self.process.as_ref().unwrap().host;
        host.streams.is_membership_settled()
    }

    /// Returns whether the node is a reader of the store and its reads fail.
    pub fn is_blind(&self) -> bool {
        self.process.as_ref().unwrap().host.progress().blind > 0
    }

    /// Returns the share of its target's running requests that are repeats: requests that
    /// a target has already seen.
    pub fn repeats(&self) -> f64 {
        self.process.as_ref().unwrap().host.gate.repeat_share()
    }

    /// Returns how many first sends for a service this node counts as calls of repeats.
    pub fn carried(&self, service: &str) -> f64 {
        let budget = self.process.as_ref().unwrap().host.retry_budget.lock();
        let mut all = budget.usage(1, std::time::Instant::now());
        let found = all.find(|(name, _)| name.as_str() == service);
        found.map_or(0.0, |(_, used)| used.repeat_calls)
    }

    /// Adds a member to the node's table, as if another node had reported it.
    pub fn introduce(&self, member: Member) {
        let host = &self.process.as_ref().unwrap().host;
        host.merge_members(vec![member], "test");
    }

    /// Returns whether this node knows a target on host `other` that isn't draining.
    pub fn knows(&self, other: &str) -> bool {
        let members = self.process.as_ref().unwrap().host.members.read();
        let member = members.get(&other.parse().unwrap());
        member.is_some_and(|member| member.targets.iter().any(|t| !t.draining))
    }

    /// Waits until the node's readiness check returns 200.
    pub async fn until_ready(&self) {
        until("ready", async || {
            self.ready().await.starts_with("HTTP/1.1 200")
        })
        .await;
    }

    /// Returns the answer to the node's readiness check.
    pub async fn ready(&self) -> String {
        ready(self.ready_address()).await
    }

    /// Returns the address of the node's readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    /// Sends a heartbeat of the target; returns the answer.
    ///
    /// An `instance` of the form `ID@BORN` includes the start time.
    pub async fn heartbeat(&self, instance: &str, sequence: u64, state: &str) -> String {
        let body = self.heartbeat_body(instance, sequence, state);
        let instance = Instance::from(instance);
        let instance = instance.id();
        self.tell(
            &format!("/api/instances/{instance}/heartbeat"),
            &body.to_string(),
        )
        .await
    }

    fn repeat_heartbeat(&mut self) {
        let targets = SocketAddr::new(self.ip, TARGETS);
        let mut body = self.heartbeat_body("i1", 1, "ready");
        let target = self.target.clone();
        self.heartbeats.spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                body["status"]["warmupLeft"] = format!("{}ms", target.cold_left()).into();
                let call = post("/api/instances/i1/heartbeat", &body.to_string());
                // Refused while the node is stopped.
                if let Ok(mut stream) = TcpStream::connect(targets).await {
                    let _ = stream.write_all(call.as_bytes()).await;
                    let _ = stream.read_to_end(&mut Vec::new()).await;
                }
            }
        });
    }

    /// Returns the body of a heartbeat.
    pub fn heartbeat_body(&self, instance: &str, sequence: u64, state: &str) -> Value {
        let mut body = json!({
            "address": self.target.address,
            "info": {"service": self.service, "version": self.release, "zone": self.domain, "slots": 4},
            "status": {"state": state, "sequence": sequence, "warmupLeft": "0ms"},
        });
        if let Some(born) = Instance::from(instance).born() {
            body["born"] = born.into();
        }
        body
    }

    /// Sends a leave of the target; returns the answer.
    pub async fn deregister(&self, instance: &str) -> String {
        self.tell(&format!("/api/instances/{instance}/deregister"), "")
            .await
    }

    /// Sends a POST to the node's listener for targets; returns the answer.
    pub async fn tell(&self, path: &str, body: &str) -> String {
        raw::exchange_until_closed((self.ip, TARGETS).into(), post(path, body).as_bytes()).await
    }

    /// Returns the quarantined contents, as the node reports them to an operator.
    pub async fn held(&self) -> Vec<String> {
        let ask = "GET /held HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = raw::exchange_until_closed(self.peers(), ask.as_bytes()).await;
        let (_, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let held: Vec<Value> = serde_json::from_str(body).unwrap();
        let content = |held: &Value| held["content"].as_str().unwrap().to_owned();
        held.iter().map(content).collect()
    }

    /// Releases a content from quarantine, as an operator does; returns the status.
    pub async fn let_go(&self, content: &str) -> String {
        let call = post("/let-go", &format!("\"{content}\""));
        let answer = raw::exchange_until_closed(self.peers(), call.as_bytes()).await;
        answer.get(9..12).unwrap_or_default().to_owned()
    }

    /// Sends a caller's request with a deadline of 60 s; returns the answer.
    pub async fn ask(&self, method: &str, path: &str, id: &str, body: &str) -> String {
        self.ask_within(method, path, id, body, 60_000).await
    }

    /// Sends a caller's request with a deadline in milliseconds; returns the answer.
    pub async fn ask_within(
        &self,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
        deadline: u64,
    ) -> String {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
             Rilltrack-Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        raw::exchange_until_closed((self.ip, CALLERS).into(), request.as_bytes()).await
    }

    /// Returns the node's metrics as text.
    pub async fn metrics(&self) -> String {
        let ask = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        raw::exchange_until_closed((self.ip, METRICS).into(), ask.as_bytes()).await
    }

    /// Returns the address of the node's listener for peers and operators.
    pub fn peers(&self) -> SocketAddr {
        (self.ip, PEERS).into()
    }

    /// Returns the address of the node's listener for requests that peers forward.
    pub fn inbound(&self) -> SocketAddr {
        (self.ip, INBOUND).into()
    }

    /// Returns the address of the node's listener for callers.
    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }
}

/// Returns a store with a version, and two hosts in one failure domain that know each other: the
/// first has a target of service a, the second one of `service`.
pub async fn pair(version: &Value, service: &str) -> (Store, Host, Host) {
    let store = Store::start().await;
    store.publish(version);
    let one = Host::start(&store, "n1", "here", "a").await;
    let two = Host::start(&store, "n2", "here", service).await;
    until("both nodes know each other", async || {
        one.knows("n2") && two.knows("n1")
    })
    .await;
    (store, one, two)
}

/// Returns a POST whose answer closes the connection.
pub(crate) fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}

/// Returns the answer to a readiness check at `address`, or `no listener`.
pub async fn ready(address: SocketAddr) -> String {
    let Ok(stream) = TcpStream::connect(address).await else {
        return "no listener".into();
    };
    drop(stream);
    let check = "GET /api/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    raw::exchange_until_closed(address, check.as_bytes()).await
}

/// Returns a version with two routes for each service: an idempotent one and one whose
/// requests run at most once.
pub fn version(number: u64, services: &[&str]) -> Value {
    let mut resources = vec![json!({
        "resourceType": "limits", "metadata": {},
        "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 2_000_000,
                 "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
    })];
    for service in services {
        resources.push(json!({"resourceType": "services", "metadata": {"name": service},
            "spec": {"healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}}));
        for (kind, word) in [("get", "safe"), ("post", "non_idempotent")] {
            resources.push(json!({"resourceType": "routes",
                "metadata": {"name": format!("{kind}-{service}")},
                "spec": {"host": "fares.example", "pathPrefix": format!("/{kind}/{service}/"),
                    "kind": word, "timeout": "30s", "targetLatency": "10s", "priority": 1,
                    "service": service, "maxAttempts": 3}}));
        }
    }
    json!({"version": number, "resources": resources})
}
