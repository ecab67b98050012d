//! Settings of a host process: JSON with comments. All faults are reported at once.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::{
    document::{Document, Fault},
    id::{Name, Node},
    state::{region::Regions, selector::Labels},
    unit::{Size, Span},
};

/// The settings of one host process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the node, unique in the mesh.
    pub node: Node,
    /// The failure domain of the host.
    pub domain: Name,
    /// The region of each failure domain of the mesh. A route or team that is confined to some
    /// regions isn't served in a failure domain that is missing here.
    #[serde(default)]
    pub regions: Regions,
    /// The service of the target on this host.
    pub service: Name,
    /// Labels of the proxy.
    #[serde(default)]
    pub labels: Labels,
    /// The addresses on which the process listens.
    pub listen: Listen,
    /// The addresses at which other nodes reach the process, if they differ from `listen`
    /// because of network address translation.
    #[serde(default)]
    pub advertise: Option<Advertise>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Whether the mesh starts for the first time, so that the store has nothing of its nodes.
    #[serde(default)]
    pub first_start: bool,
    /// The interval of a target's heartbeats.
    pub heartbeat: Span,
    /// The grace period: the most time that a shutdown may take, from the signal to the exit.
    pub grace: Span,
    /// The limit on retries by all nodes together.
    pub resend: RetryLimit,
    /// The bandwidth of the host's link in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub bandwidth: f64,
    /// Whether nodes report the loads of their targets to each other. Without it, they do while a
    /// team of the version in force has a priority or a limit, or the target here or one that this
    /// node sent to states its slowness.
    #[serde(default)]
    pub load_reports: Option<bool>,
    /// The most file descriptors that the process may have open.
    pub descriptors: usize,
    /// The memory that the process may take. The messages that it holds at a time take three eighths of
    /// it at the most.
    #[serde(default = "default_memory")]
    pub memory: Size,
    /// The limit on requests to a new release before it has proven good. Without it,
    /// releases are not distinguished and there are no roll-outs.
    #[serde(default)]
    pub exposure: Option<Exposure>,
}

/// The most requests of a service that a release may get if it turns out bad.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exposure {
    /// The share of all requests that reach the service, from the roll-out's order to the
    /// end of the order's duration.
    pub share: f64,
}

/// The addresses on which a host process listens. Port 0 selects a free port.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests of callers on this host, including its target.
    pub callers: SocketAddr,
    /// For requests from other nodes.
    pub inbound: SocketAddr,
    /// For control messages from other nodes.
    pub peers: SocketAddr,
    /// For heartbeats of the target on this host.
    pub targets: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// The addresses at which other nodes reach a host process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    /// For requests.
    pub inbound: SocketAddr,
    /// For control messages.
    pub peers: SocketAddr,
}

/// The limit on retries by all nodes together, for each service within any window.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimit {
    /// The maximum ratio of retries to requests.
    pub ratio: f64,
    /// The number of retries allowed in addition to the ratio.
    pub slack: f64,
    /// The length of the window.
    pub window: Span,
}

/// The fewest file descriptors with which a process can work: for its listeners, the
/// store, and a connection to and from each of a few dozen peers and callers.
const MIN_DESCRIPTORS: usize = 256;

/// The least memory with which a process can work, in bytes: what it takes without requests, and
/// a message with all members of a large mesh.
const MIN_MEMORY: u64 = 32 << 20;

fn default_memory() -> Size {
    Size::from_bytes(256 << 20)
}

impl Settings {
    /// Returns the bandwidth of the host's link in whole Mbit/s; 0 if unknown.
    pub fn bandwidth(&self) -> u32 {
        self.bandwidth as u32
    }

    /// Returns the addresses at which other nodes reach the process.
    pub fn advertised(&self) -> Advertise {
        self.advertise.unwrap_or(Advertise {
            inbound: self.listen.inbound,
            peers: self.listen.peers,
        })
    }

    /// Reads and checks the settings at `path`.
    ///
    /// # Errors
    ///
    /// All faults of the settings.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        Self::from_document(&Document::read(path).map_err(|fault| vec![fault])?)
    }

    /// Checks the settings in `document`.
    ///
    /// # Errors
    ///
    /// All required fields that are missing or can't be decoded; without such, the first
    /// fault of the whole document; without that, all values out of range.
    pub fn from_document(document: &Document) -> Result<Self, Vec<Fault>> {
        let faults = decode_faults(document);
        if !faults.is_empty() {
            return Err(faults);
        }
        let settings: Self = document
            .decode(&[], &document.value)
            .map_err(|fault| vec![fault])?;
        let range_faults = settings.range_faults();
        let faults: Vec<Fault> = range_faults
            .into_iter()
            .map(|(path, what)| document.fault(path, what))
            .collect();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn range_faults(&self) -> Vec<(&'static [&'static str], &'static str)> {
        let ratio = self.resend.ratio;
        let share = self.exposure.map_or(1.0, |exposure| exposure.share);
        let slack = self.resend.slack;
        let checks: [(bool, &[&str], &str); 8] = [
            (
                !(share > 0.0 && share <= 1.0),
                &["exposure", "share"],
                "must be more than 0 and at most 1",
            ),
            (
                self.heartbeat.as_millis() == 0,
                &["heartbeat"],
                "must be more than nothing",
            ),
            (
                self.grace.as_millis() < 1000,
                &["grace"],
                "must be at least 1s, so that requests in flight can finish",
            ),
            (
                !(0.0..=1.0).contains(&ratio),
                &["resend", "ratio"],
                "must lie between 0 and 1",
            ),
            (
                !(slack.is_finite() && slack >= 0.0),
                &["resend", "slack"],
                "must be 0 or more",
            ),
            (
                self.resend.window.as_millis() == 0,
                &["resend", "window"],
                "must be more than nothing",
            ),
            (
                self.descriptors < MIN_DESCRIPTORS,
                &["descriptors"],
                "must be at least 256",
            ),
            (
                self.memory.as_bytes() < MIN_MEMORY,
                &["memory"],
                "must be at least 32MiB",
            ),
        ];
        let found = checks.into_iter().filter(|(is_fault, _, _)| *is_fault);
        found.map(|(_, path, what)| (path, what)).collect()
    }
}

/// Returns the faults of all required top-level fields.
///
/// Each field is decoded separately, so that all faults are reported and not only the
/// first.
fn decode_faults(document: &Document) -> Vec<Fault> {
    let Some(object) = document.value.as_object() else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    let mut check =
        |name: &'static str, decode: &dyn Fn(&serde_json::Value) -> Option<Fault>| match object
            .get(name)
        {
            None => faults.push(document.fault(&[name], "is missing")),
            Some(value) => faults.extend(decode(value)),
        };
    macro_rules! fields {
        ($($name:literal: $type:ty),* $(,)?) => {
            $(check($name, &|value| document.decode::<$type>(&[$name], value).err());)*
        };
    }
    fields! {
        "node": Node, "domain": Name, "service": Name, "listen": Listen,
        "store": SocketAddr, "heartbeat": Span, "grace": Span, "resend": RetryLimit,
        "descriptors": usize,
    }
    faults
}
