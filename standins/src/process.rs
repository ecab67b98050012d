//! A node as a process of its own, whose memory and descriptors a test can see.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Once,
        atomic::{AtomicU8, Ordering},
    },
};

use rilltrack::unit::Size;
use serde_json::json;
use tokio::task::JoinSet;

use crate::{
    fleet::{self, CALLERS, HEARTBEAT, INBOUND, METRICS, PEERS, READY, TARGETS},
    raw,
    store::Store,
    target::Target,
    until,
};

/// The limits of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The setting `memory`.
    pub memory: Size,
    /// The setting `descriptors`.
    pub descriptors: usize,
}

/// A running process of a node and its target. The process is killed when this is dropped.
pub struct Process {
    pub name: String,
    pub target: Target,
    service: String,
    ip: IpAddr,
    child: Child,
    settings: PathBuf,
    /// Repeats the target's heartbeat.
    heartbeats: JoinSet<()>,
}

/// Returns the path of the node's program, built from the present sources.
fn program() -> PathBuf {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let built = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--locked", "-p", "rilltrack-platform"])
            // The profile of the test, in whose folder the program is looked for.
            .args((!cfg!(debug_assertions)).then_some("--release"))
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status();
        assert!(built.unwrap().success(), "rilltrack-node can be built");
    });
    let test = std::env::current_exe().unwrap();
    // The test is in the folder `deps` beside the program.
    test.parent().unwrap().with_file_name("rilltrack-node")
}

/// Returns an address that no other test uses at the same time.
fn fresh_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let (high, low) = ((id / 250 % 50) as u8, (id % 250) as u8);
    Ipv4Addr::new(127, 200 + high, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

impl Process {
    /// Starts a node in failure domain `here` with a target of `service`, which is in force once
    /// this returns.
    pub async fn start(store: &Store, name: &str, service: &str, limits: Limits) -> Self {
        let ip = fresh_ip();
        let at = |port| SocketAddr::new(ip, port);
        let settings = json!({
            "node": name, "domain": "here", "service": service,
            "regions": {"here": "south"},
            "listen": {"callers": at(CALLERS), "inbound": at(INBOUND), "peers": at(PEERS),
                "targets": at(TARGETS), "ready": at(READY), "metrics": at(METRICS)},
            "store": store.address, "heartbeat": "1500ms", "grace": "6s",
            "resend": {"ratio": 0.2, "slack": 62, "window": "10s"},
            "descriptors": limits.descriptors, "memory": limits.memory,
        });
        let file = format!("rilltrack-{}-{ip}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(program())
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let mut process = Self {
            name: name.into(),
            target: Target::start().await,
            service: service.into(),
            ip,
            child,
            settings: path,
            heartbeats: JoinSet::new(),
        };
        until("the process is ready", async || {
            fleet::ready(at(READY)).await.starts_with("HTTP/1.1 200")
        })
        .await;
        let (targets, call) = (process.targets(), process.heartbeat());
        let answer = raw::exchange_until_closed(targets, call.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        process.heartbeats.spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                raw::exchange_until_closed(targets, call.as_bytes()).await;
            }
        });
        process
    }

    /// Returns a heartbeat of the target.
    fn heartbeat(&self) -> String {
        let body = json!({
            "address": self.target.address,
            "info": {"service": self.service, "version": "v1", "zone": "here", "slots": 4},
            "status": {"state": "ready", "sequence": 1, "warmupLeft": "0ms"},
        });
        let path = format!("/api/instances/{}/heartbeat", self.name);
        fleet::post(&path, &body.to_string())
    }

    /// Returns the address for requests of callers.
    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }

    /// Returns the address for requests of other nodes.
    pub fn inbound(&self) -> SocketAddr {
        (self.ip, INBOUND).into()
    }

    /// Returns the address for messages of other nodes.
    pub fn peers(&self) -> SocketAddr {
        (self.ip, PEERS).into()
    }

    /// Returns the address for calls of the target.
    pub fn targets(&self) -> SocketAddr {
        (self.ip, TARGETS).into()
    }

    /// Returns the address for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    /// Returns the node's metrics as text.
    pub async fn metrics(&self) -> String {
        let ask = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        raw::exchange_until_closed((self.ip, METRICS).into(), ask.as_bytes()).await
    }

    /// Sends a caller's request; returns the answer.
    pub async fn ask(&self, method: &str, path: &str, id: &str, body: &str) -> String {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
             Rilltrack-Deadline-Ms: 10000\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        raw::exchange_until_closed(self.callers(), request.as_bytes()).await
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the most memory that the process had so far.
    pub fn peak_memory(&self) -> Size {
        Size::from_bytes(peak_memory(self.child.id()))
    }

    /// Returns the memory that the process has.
    pub fn current_memory(&self) -> Size {
        Size::from_bytes(memory(self.child.id(), "VmRSS:"))
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended, which tests check themselves.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the most memory that a process had so far, in bytes; 0 if it has ended.
pub fn peak_memory(process: u32) -> u64 {
    memory(process, "VmHWM:")
}

fn memory(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kib.and_then(|kib| kib.trim().parse().ok()).unwrap_or(0u64) << 10
}
