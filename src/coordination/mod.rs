//! Coordination: how nodes act together, and what each decides on requests.
//!
//! Duties, each with its own thread:
//!
//! * [`apply`]: applies records and puts views in force;
//! * [`gossip`]: keeps the table of members;
//! * [`follow`]: reads the log for the failure domain and spreads records;
//!
//! and what they and the request path are made of:
//!
//! * [`node`]: what all duties of one daemon share;
//! * [`link`]: the ways out to peers and the log, as closures;
//! * [`rank`]: who reads, relays and writes;
//! * [`scatter`]: one message to many nodes, with their count back;
//! * [`catchup`]: how a node that is behind gets ahead;
//! * [`pick`], [`health`], [`budget`]: where a request goes, and again;
//! * [`admit`], [`door`], [`once`]: what a target is given, and at most once.
//!
//! A host process on a platform with a store of its own is made of fewer parts:
//!
//! * [`host`]: what its duties share;
//! * [`source`]: takes whole versions and members from the store, or from peers;
//! * [`watch`], [`spread`]: who reads the store for its failure domain, and how the
//!   others hear of it;
//! * [`local`], [`presence`]: the target on this host, and what is told of it;
//! * [`gate`]: what that target is given;
//! * [`review`]: which requests are held back because targets end under them;
//! * [`rollout`]: which release of a service gets its requests;
//! * [`decision`]: who waits, who is turned away, where a request goes, and again.
//!
//! This layer opens no sockets. It is handed closures, so that the tests put
//! small fakes in their place.

pub mod admit;
pub mod apply;
pub mod budget;
pub mod catchup;
pub mod decision;
pub mod door;
pub mod flow;
pub mod follow;
pub mod gate;
pub mod gossip;
pub mod health;
pub mod host;
pub mod link;
pub mod local;
pub mod node;
pub mod once;

pub mod pick;
pub mod presence;
pub mod probe;
pub mod publish;
pub mod rank;
pub mod review;
pub mod rollout;
pub mod scatter;
pub mod snapshot;
pub mod source;
pub mod spread;
pub mod watch;

use crate::{protocol, state};

/// An error of this layer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A peer or the log can't be reached; nothing was delivered.
    #[error("{0} can't be reached")]
    Unreachable(String),
    /// No answer came; what was sent may have taken effect.
    #[error("{0} did not answer")]
    NoAnswer(String),
    /// What was asked for is not kept any more.
    #[error("{0} does not keep this any more")]
    Expired(String),
    /// The answer was of a kind that does not fit.
    #[error("unexpected answer from {0}")]
    Unexpected(String),
    /// A message could not be decoded.
    #[error(transparent)]
    Protocol(#[from] protocol::Error),
    /// The state refused something.
    #[error(transparent)]
    State(#[from] state::Error),
    /// The daemon is ending.
    #[error("the daemon is ending")]
    Ending,
}
