//! Updates of the store's streams that host processes forward to each other.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::Node,
    state::{drain::Drain, rollout::Rollout, routing::Delta},
};

/// Records of a stream, forwarded by the node that read them from the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The offset of the first record.
    pub from: u64,
    /// The offset after the last record.
    pub next: u64,
    /// The content of the records.
    pub load: Changes,
    /// Roll-outs whose orders are among the records.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// Orders about drains of failure domains among the records.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// The nodes to which the receiver forwards the records.
    pub relay: Vec<SocketAddr>,
    /// The node that read the records. A receiver that lacks earlier records fetches them from
    /// this node.
    pub reader: SocketAddr,
}

/// The content of records.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Changes {
    /// A version of the routes, as the difference from the version before it.
    Routes(Delta),
    /// Records of members, unmodified.
    Members(Vec<Bytes>),
}

impl Changes {
    /// Returns the stream to which the records belong.
    pub fn stream(&self) -> Stream {
        match self {
            Self::Routes(_) => Stream::Routes,
            Self::Members(_) => Stream::Members,
        }
    }

    /// Returns the version of the routes that results; nothing if the records are of members.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Routes(delta) => Some(delta.version),
            Self::Members(_) => None,
        }
    }
}

/// A stream of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stream {
    /// The operator's versions of the routes.
    Routes,
    /// The nodes' records of themselves.
    Members,
}

/// A node's progress in the streams of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The version of the routes in force; 0 if there is none.
    pub version: u64,
    /// The offset up to which the node knows the members.
    pub members: u64,
    /// Whether the node has loaded the members since its start.
    #[serde(default)]
    pub knows_members: bool,
    /// Whether its membership is settled: the nodes of a fleet that starts as a whole have had
    /// the time to write their records.
    #[serde(default)]
    pub is_settled: bool,
    /// The offset up to which the node knows the routes; 0 if it does not know the offset
    /// of its version.
    pub routes: u64,
    /// The number of consecutive failed readers: nodes in the ranking, up to and including this
    /// one, that can't read the store; 0 if this node can or is not a reader.
    pub blind: u8,
    /// The latest order about each failure domain that was ever drained.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// The newest version of the routes that was sent to all nodes of its failure domain, as far
    /// as it knows; 0 if it doesn't.
    #[serde(default)]
    pub sent_version: u64,
    /// The offset up to which the records of members were sent to them; 0 if it doesn't know.
    #[serde(default)]
    pub sent_members: u64,
}

/// The members that a node knows, and its offset in their stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Members<M> {
    /// The offset up to which the node knows the members.
    pub at: u64,
    /// The members.
    pub members: Vec<M>,
    /// The latest roll-out of each service.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// The members whose record in the store, up to the offset, is older than the one that the
    /// node knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub overwritten: Vec<Node>,
}
