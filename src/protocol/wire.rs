//! Messages between nodes, as MessagePack over HTTP.
//!
//! One request, a [`Frame`], gets one [`Reply`]. Fields are sent by position,
//! so a field may only be added together with a new [`PATH`].

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    id::Node,
    protocol::Error,
    state::{member::Member, version::Version},
    unit::Span,
};

/// Where nodes take frames; the number is the version of this protocol.
pub const PATH: &str = "/peer/v1";

/// The largest frame a node takes.
pub const MAX_FRAME: usize = 16 << 20;

/// Bytes from which a reply is large, and needs leave to be sent.
pub const LARGE: usize = 32 << 10;

/// Laggards named in one [`Census`]; beyond it they are only counted.
pub const MAX_NAMED: usize = 16;

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Are you there? With news.
    Ping(News),
    /// Is this third node there? I can't reach it.
    PingFor(SocketAddr),
    /// My table of members, by one mark per bucket.
    Sync(Vec<u32>),
    /// Members you may lack.
    Tell(Vec<Member>),
    /// The configuration from this version on.
    Fetch(Version),
    /// Take this, pass it on to the nodes of the slice and answer for all.
    Scatter(Scatter),
}

/// What every ping and its reply carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Who sends it.
    pub node: Node,
    /// Where the sender takes frames.
    pub peers: SocketAddr,
    /// The configuration it has in force.
    pub version: Version,
    /// Members that changed lately.
    pub members: Vec<Member>,
}

/// A message for many nodes, passed down a tree that the sender lays out.
///
/// The slice is split by whoever receives it, so no node needs to agree with
/// another on who is in the tree, and a sender whose child does not answer
/// gives that child's slice to the next node in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scatter {
    /// The node that passes it on, to be asked for what is missing.
    pub from: SocketAddr,
    /// What is spread.
    pub load: Load,
    /// The nodes the receiver answers for, besides itself.
    pub slice: Vec<SocketAddr>,
}

/// What a [`Scatter`] spreads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Load {
    /// Records of the configuration stream, the first at `from`.
    Records {
        /// The version they continue.
        from: Version,
        /// The records.
        records: Vec<Bytes>,
    },
    /// Nothing new: just count who has `version` in force.
    Count {
        /// The version asked for.
        version: Version,
    },
}

/// How many nodes have a version in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Census {
    /// Nodes that have it.
    pub current: u32,
    /// Nodes that answered and don't have it yet.
    pub behind: u32,
    /// Nodes that did not answer.
    pub silent: u32,
    /// Some of the nodes behind or silent.
    pub named: Vec<SocketAddr>,
}

impl Census {
    /// Adds another count to this one.
    pub fn add(&mut self, other: Self) {
        self.current += other.current;
        self.behind += other.behind;
        self.silent += other.silent;
        let room = MAX_NAMED.saturating_sub(self.named.len());
        self.named.extend(other.named.into_iter().take(room));
    }

    /// Adds one node that is not current.
    pub fn name(&mut self, node: SocketAddr) {
        if self.named.len() < MAX_NAMED {
            self.named.push(node);
        }
    }

    /// Returns whether every node counted has the version in force.
    pub fn is_complete(&self) -> bool {
        self.behind == 0 && self.silent == 0
    }
}

/// The answer to a [`Frame`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Frame::Ping`]; also a ping's news from the other side.
    Pong(News),
    /// To [`Frame::PingFor`]: whether the third node answered.
    Reached(bool),
    /// To [`Frame::Sync`]: the marks here and the members that differ.
    Members {
        /// The marks of the answering node.
        marks: Vec<u32>,
        /// Its members in the buckets that differ.
        members: Vec<Member>,
    },
    /// To [`Frame::Tell`].
    Done,
    /// To [`Frame::Fetch`]: the records that continue the version asked for.
    Records(Vec<Bytes>),
    /// To [`Frame::Fetch`]: the whole, because the records are gone.
    Snapshot(Bytes),
    /// To [`Frame::Fetch`]: nothing newer here.
    Current,
    /// To any frame: too busy, or nothing complete to give yet; come back
    /// after this span.
    Later(Span),
    /// To [`Frame::Scatter`].
    Counted(Census),
}

/// Returns the encoded message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec(message)
        .expect("plain data always encodes")
        .into()
}

/// Returns the message in `bytes`.
///
/// # Errors
///
/// If they hold no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|source| Error::new("peer message", source))
}
