//! Messages between nodes, as MessagePack over HTTP.
//!
//! Each request, a [`Frame`], gets one [`Reply`]. Fields are encoded by position, so
//! adding a field requires a new [`PATH`].

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    id::Node,
    protocol::Error,
    state::{member::Member, version::Version},
    unit::Span,
};

/// The path at which nodes receive frames; it ends in the version of this protocol.
pub const PATH: &str = "/peer/v1";

/// The largest frame that a node accepts, in bytes.
pub const MAX_FRAME: usize = 16 << 20;

/// The size in bytes from which a reply counts as large and needs a permit to be sent.
pub const LARGE_REPLY_BYTES: usize = 32 << 10;

/// The most nodes named in one [`VersionCount`]; further nodes are only counted.
pub const MAX_NAMED_NODES: usize = 16;

/// A request of one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A liveness probe, with the sender's updates.
    Ping(PingBody),
    /// An indirect probe: the receiver pings this third node, which the sender can't reach.
    PingFor(SocketAddr),
    /// The sender's table of members, as one digest per bucket.
    Sync(Vec<u32>),
    /// Members that the receiver may not know.
    Tell(Vec<Member>),
    /// A request for the configuration records after this version.
    Fetch(Version),
    /// A message that the receiver applies, forwards to its recipients and answers
    /// for all of them.
    Scatter(Scatter),
}

/// The content of a ping and of its reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PingBody {
    /// The sender.
    pub node: Node,
    /// The address at which the sender receives frames.
    pub peers: SocketAddr,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// Members that changed recently.
    pub members: Vec<Member>,
}

/// A message for many nodes, forwarded down a tree.
///
/// Each receiver splits its recipients among its children, so nodes need not agree on the
/// members of the tree. If a child does not answer, its parent gives the child's recipients
/// to the next of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scatter {
    /// The forwarding node, from which the receiver requests missing records.
    pub from: SocketAddr,
    /// The content.
    #[serde(rename = "load")]
    pub payload: Payload,
    /// The nodes, besides itself, for which the receiver answers.
    #[serde(rename = "slice")]
    pub recipients: Vec<SocketAddr>,
}

/// The content of a [`Scatter`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Records of the configuration stream that follow the version `from`.
    Records {
        /// The version before the first record.
        from: Version,
        /// The records.
        records: Vec<Bytes>,
    },
    /// No records: the receivers only count the nodes that have `version` in force.
    Count {
        /// The version that is counted.
        version: Version,
    },
}

/// The number of nodes that have a version in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Nodes that have the version in force.
    pub current: u32,
    /// Nodes that answered and don't have the version yet.
    pub behind: u32,
    /// Nodes that did not answer.
    pub silent: u32,
    /// Some of the nodes counted in `behind` or `silent`, at most [`MAX_NAMED_NODES`].
    pub named: Vec<SocketAddr>,
}

impl VersionCount {
    /// Adds another count to this one.
    pub fn add(&mut self, other: Self) {
        self.current += other.current;
        self.behind += other.behind;
        self.silent += other.silent;
        let remaining = MAX_NAMED_NODES.saturating_sub(self.named.len());
        self.named.extend(other.named.into_iter().take(remaining));
    }

    /// Adds the address of a node that is not current, up to [`MAX_NAMED_NODES`].
    pub fn add_named(&mut self, node: SocketAddr) {
        if self.named.len() < MAX_NAMED_NODES {
            self.named.push(node);
        }
    }

    /// Returns whether all counted nodes have the version in force.
    pub fn is_complete(&self) -> bool {
        self.behind == 0 && self.silent == 0
    }
}

/// The answer to a [`Frame`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Frame::Ping`]: the answering node's updates.
    Pong(PingBody),
    /// To [`Frame::PingFor`]: whether the third node answered the ping.
    Reached(bool),
    /// To [`Frame::Sync`]: the answering node's digests, and its members in the buckets
    /// that differ.
    Members {
        /// The answering node's digests, one per bucket.
        marks: Vec<u32>,
        /// The answering node's members in the buckets that differ.
        members: Vec<Member>,
    },
    /// To [`Frame::Tell`]: an acknowledgement.
    Done,
    /// To [`Frame::Fetch`]: the records that follow the requested version.
    Records(Vec<Bytes>),
    /// To [`Frame::Fetch`]: the whole configuration, as the records are no longer kept.
    Snapshot(Bytes),
    /// To [`Frame::Fetch`]: the answering node has no newer version.
    Current,
    /// To any frame: the node is overloaded or its view is not complete yet; retry after
    /// this time.
    Later(Span),
    /// To [`Frame::Scatter`]: the count over the receiver and its recipients.
    Counted(VersionCount),
}

/// Returns the encoded message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec(message)
        .expect("messages contain only serializable data")
        .into()
}

/// Returns the message encoded in `bytes`.
///
/// # Errors
///
/// If `bytes` is not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|source| Error::new("peer message", source))
}
