//! Typed messages that processes exchange.
//!
//! * [`wire`]: requests and replies between nodes, as MessagePack;
//! * [`log`]: records of the platform's log;
//! * [`update`]: updates of the store's streams, between host processes;
//! * [`contact`]: the nodes that a starting node asks first;
//! * [`framing`]: where the body of a message ends;
//! * [`response_head`]: the strict check of the head of a response;
//! * [`hop`]: the request and response header between two nodes;
//! * [`header_block`]: the headers of a request with many of them, between two nodes;
//! * [`answer`]: the headers and outcomes that callers see;
//! * [`operator`]: messages of the command-line tool;
//! * [`rollout`]: orders for roll-outs and their status;
//! * [`load_report`]: the loads of targets that nodes report to each other;
//! * [`announce`]: messages of targets to their node;
//! * [`dialect`]: the headers of callers and targets, whose names depend on the platform;
//! * [`notice`]: what a target states in its responses about the requests that it takes.

pub mod announce;
pub mod answer;
pub mod contact;
pub mod dialect;
pub mod framing;
pub mod header_block;
pub mod hop;
pub mod load_report;
pub mod log;
pub mod notice;
pub mod operator;
pub mod response_head;
pub mod rollout;
pub mod update;
pub mod wire;

/// A message that can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("cannot decode {what}")]
pub struct Error {
    what: &'static str,
    #[source]
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl Error {
    /// Returns an error for a message of kind `what`, caused by `source`.
    pub fn new(
        what: &'static str,
        source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
    ) -> Self {
        Self {
            what,
            source: source.into(),
        }
    }
}
