//! Settings of the daemon, read from JSON with comments and validated together.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{
    document::{Document, Fault},
    id::{Name, Node},
    state::selector::Labels,
    unit::{Size, Span},
};

/// The settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique in the mesh.
    pub node: Node,
    /// The failure domain of its host.
    pub domain: Name,
    /// Labels of the proxy, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The addresses under which other nodes reach it, if not those of `listen`.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// Control addresses of some other nodes, through which this node discovers the rest.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's log.
    pub log: Log,
    /// How nodes authenticate each other.
    pub security: Security,
    /// Timing of the membership protocol.
    #[serde(default)]
    pub membership: Membership,
    /// Limits on requests and idempotency keys.
    #[serde(default)]
    pub requests: Requests,
    /// The file for log lines; standard error if absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
}

/// The addresses that a daemon listens on. Port 0 selects a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests from callers.
    pub callers: SocketAddr,
    /// For requests from other nodes.
    pub inbound: SocketAddr,
    /// For control messages from other nodes.
    pub peers: SocketAddr,
    /// For announcements of targets on this host.
    pub targets: SocketAddr,
    /// For the command-line tool, health checks and metrics.
    pub operators: SocketAddr,
}

/// The addresses that other nodes use if they differ from those listened on, for
/// example behind a port forwarder.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For requests from other nodes.
    pub inbound: SocketAddr,
    /// For control messages from other nodes.
    pub peers: SocketAddr,
}

/// The platform's log and how the daemon uses it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The base URL.
    pub url: String,
    /// The name of the stream of changes.
    #[serde(default = "default_config_stream")]
    pub config_stream: Name,
    /// The name of the stream of snapshots.
    #[serde(default = "default_snapshot_stream")]
    pub snapshot_stream: Name,
    /// The largest record that the log accepts.
    #[serde(default = "default_max_record")]
    pub max_record: Size,
    /// Timeout of a call to the log.
    #[serde(default = "default_log_timeout")]
    pub timeout: Span,
    /// How long the log may hold a read open until there are new records (long poll).
    #[serde(default = "default_log_wait")]
    pub wait: Span,
    /// Interval between snapshots. It must be well below the log's retention.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: Span,
}

/// How nodes authenticate each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Security {
    /// No authentication: anybody on the network can act as a node. For trials and tests.
    Plaintext,
    /// Mutual TLS.
    Tls(Tls),
}

/// Keys and certificates, as PEM files.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// This node's certificate, issued for its host's IP address.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The certificate of the authority that signs the nodes' certificates.
    pub authority: PathBuf,
}

/// Timing of the membership protocol and of target leases.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Mean interval between a node's pings to other nodes of its failure domain.
    pub period: Span,
    /// How long a node waits for a reply, for example to a ping.
    pub timeout: Span,
    /// How long an unreachable member is suspected, and may refute it, before it counts as
    /// gone.
    pub suspect_for: Span,
    /// Interval at which a node compares its whole member table with that of another node.
    pub sync_every: Span,
    /// Lease of a target: how long an announcement is valid.
    pub lease: Span,
}

/// Limits on requests and idempotency keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Number of threads that serve requests.
    pub threads: usize,
    /// How long a shutdown waits for requests in progress.
    pub drain: Span,
    /// Maximum number of idempotency keys that a node keeps, used or not.
    pub keys: usize,
    /// Lifetime of an idempotency key.
    pub key_life: Span,
    /// Maximum total size of the answers kept for repeats of keyed requests.
    pub key_answers: Size,
    /// How long a caller, target or operator may take to send the headers of a request.
    pub header_timeout: Span,
    /// How long the transfer of a body may make no progress.
    pub idle_timeout: Span,
    /// Memory that the process may take. The bodies and messages that it holds until they are whole
    /// take three eighths of it at the most.
    pub memory: Size,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            period: Span::from_secs(1),
            timeout: Span::from_millis(500),
            suspect_for: Span::from_secs(4),
            sync_every: Span::from_secs(10),
            lease: Span::from_secs(10),
        }
    }
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            threads: 2,
            drain: Span::from_secs(30),
            keys: 65_536,
            key_life: Span::from_secs(600),
            key_answers: Size::from_bytes(32 << 20),
            header_timeout: Span::from_secs(10),
            idle_timeout: Span::from_secs(30),
            memory: Size::from_bytes(256 << 20),
        }
    }
}

fn default_config_stream() -> Name {
    "config".parse().expect("a valid name")
}

fn default_snapshot_stream() -> Name {
    "snapshots".parse().expect("a valid name")
}

/// The least memory with which a daemon can work: what it takes without requests, and a table of the
/// members of a large mesh.
const MIN_MEMORY: Size = Size::from_bytes(32 << 20);

fn default_max_record() -> Size {
    Size::from_bytes(512 << 10)
}

fn default_log_timeout() -> Span {
    Span::from_secs(3)
}

fn default_log_wait() -> Span {
    Span::from_secs(15)
}

fn default_snapshot_every() -> Span {
    Span::from_secs(600)
}

/// An invalid setting: it conflicts with another or is out of bounds.
struct Conflict {
    path: Vec<&'static str>,
    message: &'static str,
}

/// Builds [`Settings`] in code.
///
/// # Example
///
/// ```
/// use rilltrack::settings::Settings;
///
/// let settings = Settings::builder("a1".parse()?, "palermo".parse()?, "http://127.0.0.1:9000")
///     .seeds(vec!["127.0.0.1:7002".parse()?])
///     .build()?;
/// assert_eq!(settings.domain.as_str(), "palermo");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets the labels of the proxy.
    pub fn labels(mut self, labels: Labels) -> Self {
        self.settings.labels = labels;
        self
    }

    /// Sets the addresses that the daemon listens on.
    pub fn listen(mut self, listen: Listen) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the control addresses of some other nodes, through which this node discovers
    /// the rest.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets how nodes authenticate each other.
    pub fn security(mut self, security: Security) -> Self {
        self.settings.security = security;
        self
    }

    /// Sets the timing of the membership protocol.
    pub fn membership(mut self, membership: Membership) -> Self {
        self.settings.membership = membership;
        self
    }

    /// Sets the limits on requests and idempotency keys.
    pub fn requests(mut self, requests: Requests) -> Self {
        self.settings.requests = requests;
        self
    }

    /// Returns the settings.
    ///
    /// # Errors
    ///
    /// If settings conflict or are out of bounds; the first fault found.
    pub fn build(self) -> Result<Settings, Fault> {
        match self.settings.conflicts().into_iter().next() {
            None => Ok(self.settings),
            Some(Conflict { path, message }) => Err(Fault {
                file: "settings".into(),
                line: 0,
                field: path.join("."),
                message: message.into(),
            }),
        }
    }
}

impl Log {
    /// Returns the settings of a log at `url`, with defaults for the rest.
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            config_stream: default_config_stream(),
            snapshot_stream: default_snapshot_stream(),
            max_record: default_max_record(),
            timeout: default_log_timeout(),
            wait: default_log_wait(),
            snapshot_every: default_snapshot_every(),
        }
    }
}

impl Settings {
    /// Reads the settings at `path` and validates them.
    ///
    /// # Errors
    ///
    /// All faults that were found.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        Self::from_document(&Document::read(path).map_err(|fault| vec![fault])?)
    }

    /// Decodes the settings in `document` and validates them.
    ///
    /// # Errors
    ///
    /// The first fault of decoding, or else all faults of validation.
    pub fn from_document(document: &Document) -> Result<Self, Vec<Fault>> {
        let settings: Self = document
            .decode(&[], &document.value)
            .map_err(|fault| vec![fault])?;
        let conflicts = settings.conflicts().into_iter();
        let faults: Vec<Fault> = conflicts
            .map(|conflict| document.fault(&conflict.path, conflict.message))
            .collect();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    /// Returns a builder for a single node on loopback, in plaintext, with
    /// defaults for the rest.
    pub fn builder(node: Node, domain: Name, log_url: impl Into<String>) -> Builder {
        Builder {
            settings: Self {
                node,
                domain,
                labels: Labels::new(),
                listen: Listen::loopback(),
                advertise: None,
                seeds: Vec::new(),
                log: Log::new(log_url),
                security: Security::Plaintext,
                membership: Membership::default(),
                requests: Requests::default(),
                log_file: None,
            },
        }
    }

    /// Returns all settings that conflict with others or are out of bounds.
    fn conflicts(&self) -> Vec<Conflict> {
        let mut found = Vec::new();
        let mut add = |path: &[&'static str], message: &'static str| {
            found.push(Conflict {
                path: path.to_vec(),
                message,
            });
        };
        let membership = &self.membership;
        if membership.timeout >= membership.period {
            add(
                &["membership", "timeout"],
                "must be below `period`, or pings overlap",
            );
        }
        if membership.suspect_for < membership.period {
            add(
                &["membership", "suspect_for"],
                "must be at least `period`, or nobody can refute",
            );
        }
        if membership.period.as_millis() == 0 {
            add(&["membership", "period"], "must be greater than 0");
        }
        if !self.log.url.starts_with("http://") && !self.log.url.starts_with("https://") {
            add(&["log", "url"], "must start with http:// or https://");
        }
        if self.log.max_record.as_bytes() < 4096 {
            add(
                &["log", "max_record"],
                "must be at least 4KiB, or changes don't fit",
            );
        }
        if self.requests.threads == 0 {
            add(&["requests", "threads"], "must be at least 1");
        }
        if self.requests.memory < MIN_MEMORY {
            add(&["requests", "memory"], "must be at least 32MiB");
        }
        if self.requests.keys == 0 {
            add(&["requests", "keys"], "must be at least 1");
        }
        for (name, address) in self.listen.named_addresses() {
            let is_duplicate = self
                .listen
                .named_addresses()
                .iter()
                .any(|(other_name, other)| {
                    *other_name != name && *other == address && other.port() != 0
                });
            if is_duplicate {
                add(&["listen", name], "is used twice");
            }
        }
        if !self.listen.targets.ip().is_loopback() {
            add(
                &["listen", "targets"],
                "must be a loopback address: only targets on this host may announce",
            );
        }
        if matches!(self.security, Security::Plaintext) && !self.listen.operators.ip().is_loopback()
        {
            add(
                &["listen", "operators"],
                "must be a loopback address under plaintext: anybody could publish",
            );
        }
        found
    }
}

impl Listen {
    /// Returns five loopback addresses with free ports, for trials and tests.
    pub fn loopback() -> Self {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            callers: free_port,
            inbound: free_port,
            peers: free_port,
            targets: free_port,
            operators: free_port,
        }
    }

    /// Returns all addresses with the names of their settings.
    fn named_addresses(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("callers", self.callers),
            ("inbound", self.inbound),
            ("peers", self.peers),
            ("targets", self.targets),
            ("operators", self.operators),
        ]
    }
}
