//! Settings of the daemon: JSON with comments, checked as a whole.

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
    /// The failure domain its host is in.
    pub domain: Name,
    /// Labels of the proxy, for selectors.
    #[serde(default)]
    pub labels: Labels,
    /// Where it listens.
    pub listen: Listen,
    /// Where other nodes reach it, if that is not where it listens.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// Control addresses of some other nodes, to find the rest.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's log.
    pub log: Log,
    /// How nodes prove who they are to each other.
    pub security: Security,
    /// Membership.
    #[serde(default)]
    pub membership: Membership,
    /// Limits on requests.
    #[serde(default)]
    pub requests: Requests,
    /// Where log lines go; standard error if absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
}

/// Where a daemon listens. Port 0 takes a free one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
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

/// Addresses that other nodes use, as behind a forwarder.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For requests.
    pub inbound: SocketAddr,
    /// For control messages.
    pub peers: SocketAddr,
}

/// How to reach the platform's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The base URL.
    pub url: String,
    /// The stream of changes.
    #[serde(default = "default_config_stream")]
    pub config_stream: Name,
    /// The stream of snapshots.
    #[serde(default = "default_snapshot_stream")]
    pub snapshot_stream: Name,
    /// The largest record the log takes.
    #[serde(default = "default_max_record")]
    pub max_record: Size,
    /// How long a call may take.
    #[serde(default = "default_log_timeout")]
    pub timeout: Span,
    /// How long a read waits at the log for something new.
    #[serde(default = "default_log_wait")]
    pub wait: Span,
    /// How often a snapshot is written; well below the log's retention.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: Span,
}

/// How nodes prove who they are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Security {
    /// They don't: anybody on the network can act as a node. For trials.
    Plaintext,
    /// Certificates both ways, encrypted.
    Tls(Tls),
}

/// Keys and certificates, as PEM files.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// This node's certificate, for its host's IP number.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority that signs nodes' certificates.
    pub authority: PathBuf,
}

/// Timing of membership.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// How often a node pings another of its failure domain.
    pub period: Span,
    /// How long an answer may take.
    pub timeout: Span,
    /// How long a silent member may still refute that it is gone.
    pub suspect_for: Span,
    /// How often a node compares its whole table with another's.
    pub sync_every: Span,
    /// How long a target's announcement lasts.
    pub lease: Span,
}

/// Limits on requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Threads that serve requests.
    pub threads: usize,
    /// How long a shutdown waits for requests in flight.
    pub drain: Span,
    /// Idempotency keys held at a time, issued or used.
    pub keys: usize,
    /// How long an idempotency key lasts.
    pub key_life: Span,
    /// Bytes of answers kept for repeats of keyed requests.
    pub key_answers: Size,
    /// How long a caller may take over the headers of a request.
    pub header_timeout: Span,
    /// How long a body may stand still.
    pub idle_timeout: Span,
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
        }
    }
}

fn default_config_stream() -> Name {
    "config".parse().expect("a valid name")
}

fn default_snapshot_stream() -> Name {
    "snapshots".parse().expect("a valid name")
}

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

/// A setting that contradicts another or is out of bounds.
struct Contradiction {
    path: Vec<&'static str>,
    what: &'static str,
}

/// Builds [`Settings`] within a program.
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

    /// Sets where it listens.
    pub fn listen(mut self, listen: Listen) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the control addresses of some other nodes.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets how nodes prove who they are.
    pub fn security(mut self, security: Security) -> Self {
        self.settings.security = security;
        self
    }

    /// Sets the timing of membership.
    pub fn membership(mut self, membership: Membership) -> Self {
        self.settings.membership = membership;
        self
    }

    /// Sets the limits on requests.
    pub fn requests(mut self, requests: Requests) -> Self {
        self.settings.requests = requests;
        self
    }

    /// Returns the settings.
    ///
    /// # Errors
    ///
    /// The first contradiction between them.
    pub fn build(self) -> Result<Settings, Fault> {
        match self.settings.contradictions().into_iter().next() {
            None => Ok(self.settings),
            Some(Contradiction { path, what }) => Err(Fault {
                file: "settings".into(),
                line: 0,
                field: path.join("."),
                what: what.into(),
            }),
        }
    }
}

impl Log {
    /// Returns a log at `url`, all else at its default.
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
    /// Reads and checks the settings at `path`.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        Self::from_document(&Document::read(path).map_err(|fault| vec![fault])?)
    }

    /// Checks the settings in `document`.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them.
    pub fn from_document(document: &Document) -> Result<Self, Vec<Fault>> {
        let settings: Self = document
            .decode(&[], &document.value)
            .map_err(|fault| vec![fault])?;
        let contradictions = settings.contradictions().into_iter();
        let faults: Vec<Fault> = contradictions
            .map(|c| document.fault(&c.path, c.what))
            .collect();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    /// Returns a builder for a node that is alone on loopback, in plaintext;
    /// everything else stands at its default.
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

    fn contradictions(&self) -> Vec<Contradiction> {
        let mut found = Vec::new();
        let mut add = |path: &[&'static str], what: &'static str| {
            found.push(Contradiction {
                path: path.to_vec(),
                what,
            });
        };
        let m = &self.membership;
        if m.timeout >= m.period {
            add(
                &["membership", "timeout"],
                "must be below `period`, or pings overlap",
            );
        }
        if m.suspect_for < m.period {
            add(
                &["membership", "suspect_for"],
                "must be at least `period`, or nobody can refute",
            );
        }
        if m.period.as_millis() == 0 {
            add(&["membership", "period"], "must be more than nothing");
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
        if self.requests.keys == 0 {
            add(&["requests", "keys"], "must be at least 1");
        }
        for (name, address) in self.listen.all() {
            let twin = self
                .listen
                .all()
                .iter()
                .any(|(other, a)| *other != name && *a == address && a.port() != 0);
            if twin {
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
    /// Returns all five addresses on free ports of loopback, for trials.
    pub fn loopback() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            callers: any,
            inbound: any,
            peers: any,
            targets: any,
            operators: any,
        }
    }

    fn all(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("callers", self.callers),
            ("inbound", self.inbound),
            ("peers", self.peers),
            ("targets", self.targets),
            ("operators", self.operators),
        ]
    }
}
