//! The ways out of a node, as closures.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::{
    coordination::Error,
    id::Name,
    protocol::{
        log::Batch,
        wire::{Frame, Reply},
    },
    unit::Span,
};

/// A result that comes later.
pub type Later<T> = BoxFuture<'static, Result<T, Error>>;

/// Sends a frame to the node at an address and returns its reply, within a
/// span of time.
pub type Call = Arc<dyn Fn(SocketAddr, Frame, Span) -> Later<Reply> + Send + Sync>;

/// Reads a stream from an offset on, waiting at the log up to a span.
pub type Read = Arc<dyn Fn(Name, u64, Span) -> Later<Batch> + Send + Sync>;

/// Appends a record to a stream and returns its offset.
pub type Append = Arc<dyn Fn(Name, Bytes) -> Later<u64> + Send + Sync>;

/// The platform's log.
#[derive(Clone)]
pub struct Log {
    /// See [`Read`].
    pub read: Read,
    /// See [`Append`].
    pub append: Append,
}
