//! The interfaces of a node to peers, the log, the store and the platform's encoding.
//!
//! All are closures, so that this layer opens no sockets and knows no outer format.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::{
    coordination::{Error, decision::rate_limit::Report},
    id::Name,
    protocol::{
        self, announce,
        dialect::Dialect,
        load_report,
        log::Batch,
        rollout::{Order, Status},
        update::Update,
        wire::{Frame, Reply},
    },
    state::{drain::Drain, routing},
    unit::Span,
};

pub use crate::protocol::update::Stream;

/// A future of a result of this layer.
pub type ResultFuture<T> = BoxFuture<'static, Result<T, Error>>;

/// Sends a frame to the node at an address and returns its reply. The span is
/// the timeout.
pub type Call = Arc<dyn Fn(SocketAddr, Frame, Span) -> ResultFuture<Reply> + Send + Sync>;

/// Reads the records of a stream from an offset on. The span is how long the log
/// waits for the first record.
pub type Read = Arc<dyn Fn(Name, u64, Span) -> ResultFuture<Batch> + Send + Sync>;

/// Appends a record to a stream and returns its offset.
pub type Append = Arc<dyn Fn(Name, Bytes) -> ResultFuture<u64> + Send + Sync>;

/// The platform's log.
#[derive(Clone)]
pub struct Log {
    /// Reads a stream.
    pub read: Read,
    /// Appends to a stream.
    pub append: Append,
}

/// The platform's store, which keeps the newest record of each key.
#[derive(Clone)]
pub struct Store {
    /// Returns the newest record of each key of a stream.
    pub newest: Arc<dyn Fn(Stream) -> ResultFuture<Records> + Send + Sync>,
    /// Returns the records of a stream from an offset on. The span is how long the
    /// store waits for the first record. Fails with [`Error::Expired`] if the store no
    /// longer keeps them.
    pub tail: Arc<dyn Fn(Stream, u64, Span) -> ResultFuture<Records> + Send + Sync>,
    /// Writes a record to the stream of the members, and returns the offset after it. A write that
    /// fails with [`Error::NoAnswer`] may still be executed, at any later time.
    pub put: Arc<dyn Fn(Write) -> ResultFuture<u64> + Send + Sync>,
    /// Returns the [`Contact`](crate::protocol::contact::Contact)s, encoded.
    pub contacts: Arc<dyn Fn() -> ResultFuture<Vec<Bytes>> + Send + Sync>,
    /// Writes a contact under its key.
    pub put_contact: Arc<dyn Fn(String, Bytes) -> ResultFuture<()> + Send + Sync>,
    /// Returns the status, for operators, of the latest roll-out order for a service.
    pub read_status: Arc<dyn Fn(Name) -> ResultFuture<StatusRecord> + Send + Sync>,
    /// Writes the status of an order if the stream of statuses still ends at the given
    /// offset. Returns whether the status was written.
    pub write_status: Arc<dyn Fn(Status, u64) -> ResultFuture<bool> + Send + Sync>,
}

/// A record to be written to the stream of the members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The key of the record.
    pub key: String,
    /// The record, encoded.
    pub record: Bytes,
    /// Other keys, which the same append deletes.
    pub obsolete: Vec<String>,
}

/// The status of a roll-out order, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusRecord {
    /// The status, if one was written.
    pub status: Option<Status>,
    /// The end offset of the stream of all statuses.
    pub end: u64,
}

/// Records of a stream.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The records, by ascending offset.
    pub records: Vec<Bytes>,
    /// Roll-out orders found among the versions of the routes, with their offsets.
    pub orders: Vec<(u64, Bytes)>,
    /// Orders about drains of failure domains, found there, too.
    pub drains: Vec<Drain>,
    /// The offset of the next record, to read on from.
    pub next: u64,
}

/// Decodes a version of the routes.
pub type DecodeRoutes = dyn Fn(&[u8]) -> Result<routing::Table, protocol::Error> + Send + Sync;

/// Decodes a roll-out order.
pub type DecodeOrder = dyn Fn(&[u8]) -> Result<Order, protocol::Error> + Send + Sync;

/// Decodes a call from a target, given its method, path and body.
pub type DecodeCall = dyn Fn(&http::Method, &str, &[u8]) -> Result<announce::TargetCall, protocol::Error>
    + Send
    + Sync;

/// Decoders for the platform's encoding, its acknowledgement and its header names.
#[derive(Clone)]
pub struct Decoders {
    /// Decodes versions of the routes.
    pub routes: Arc<DecodeRoutes>,
    /// Decodes roll-out orders.
    pub order: Arc<DecodeOrder>,
    /// Decodes calls from a target.
    pub target_call: Arc<DecodeCall>,
    /// The response body that acknowledges a call from a target.
    pub acknowledgement: Bytes,
    /// The header names that callers and targets use.
    pub dialect: Dialect,
}

/// Sends a request to the node at an address and returns its encoded answer.
pub type CallPeer = Arc<dyn Fn(SocketAddr, PeerRequest) -> ResultFuture<Bytes> + Send + Sync>;

/// A request from one node to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerRequest {
    /// Asks for the version of the routes in force. The number is the version that the
    /// requester has. The answer is a [`Delta`](crate::state::routing::Delta) from that
    /// version. A node without a version answers with an error.
    Routes(u64),
    /// Asks for the members that the requester lacks. The numbers are the
    /// [`bucket_hashes`](crate::state::member::Table::bucket_hashes) of the requester's table.
    /// The answer is a [`Members`](crate::protocol::update::Members).
    Members(Vec<u32>),
    /// Asks for the version and the offsets that the node has reached. The answer is a
    /// [`Progress`](crate::protocol::update::Progress).
    Progress,
    /// Reports a node's counts of teams' requests. The answer is the
    /// [`Shares`](crate::coordination::decision::rate_limit::Shares) to admit.
    Counts(Report),
    /// Reports the loads of targets. The answer is a
    /// [`Reply`](crate::protocol::load_report::Reply).
    Loads(load_report::Message),
    /// Delivers records that another node read, to apply and to forward.
    Deliver(Box<Update>),
}
