//! How targets announce themselves to the node on their host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{id::Name, unit::Span};

/// Where a target posts its [`Announcement`], as JSON.
pub const PATH: &str = "/targets";

/// A target's announcement, which is also its heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it offers.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it speaks HTTP/2 without being asked, in place of HTTP/1.1.
    #[serde(default)]
    pub http2: bool,
    /// Set when it leaves: it finishes what it has and gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// The answer to an [`Announcement`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The target is forgotten unless it announces itself again within this
    /// span.
    pub expires_after: Span,
}
