//! Announcements and heartbeats that targets send to the node on their host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Instance, Name, Release},
    unit::Span,
};

/// The path to which a target posts its [`Announcement`], as JSON.
pub const PATH: &str = "/targets";

/// A target's announcement, on a platform with a log. The target sends it repeatedly, each time
/// with a new [`Lease`] in the answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the target offers.
    pub service: Name,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// Whether the target speaks HTTP/2 with prior knowledge instead of HTTP/1.1.
    #[serde(default)]
    pub http2: bool,
    /// Whether the target is draining: it finishes its requests and gets no new ones.
    #[serde(default)]
    pub draining: bool,
}

/// The answer to an [`Announcement`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The time after which the target is removed unless it sends another announcement.
    pub expires_after: Span,
}

/// A target's heartbeat to the node on its host, on a platform with its own store. It is sent
/// at the heartbeat interval of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The sending instance of the target.
    pub instance: Instance,
    /// The instance's heartbeat count, by which late heartbeats are recognized.
    pub sequence: u64,
    /// The service that the target offers.
    pub service: Name,
    /// The address at which the target receives requests.
    pub address: SocketAddr,
    /// Slots: the most requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target is draining and gets no new requests.
    pub draining: bool,
    /// The warm-up time after its start, in which the target is slow.
    pub warmup: Span,
    /// The release of the target's program, if the target reports one.
    pub release: Option<Release>,
}

/// A call of a target to the node on its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetCall {
    /// The target is running.
    Heartbeat(Heartbeat),
    /// The instance has terminated or is about to.
    Leave(Instance),
}
