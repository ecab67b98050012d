//! Coordination: how nodes cooperate, and how each node decides on requests.
//!
//! A node is one process of this system: a daemon on a platform with a log, or a host process
//! on a platform with its own store. A daemon runs these tasks, each on its own thread, in addition
//! to the threads that serve requests and peers:
//!
//! * [`apply`]: applies log records and puts views in force;
//! * [`gossip`]: maintains the table of members;
//! * [`log_reader`]: reads the log for the failure domain and distributes its records;
//! * [`snapshot`]: writes snapshots to the log.
//!
//! The tasks and the request path are built from:
//!
//! * [`node`]: the state that all tasks of one daemon share;
//! * [`interface`]: the interfaces to peers, the log and the store, as closures;
//! * [`rank`]: which nodes read the log or store, write snapshots, and ping each other;
//! * [`scatter`]: sends one message to many nodes and counts their replies;
//! * [`catchup`]: how a node that is behind catches up;
//! * [`publish`]: publishes an operator's changes through the log;
//! * [`pick`], [`health`], [`budget`]: target selection and retries;
//! * [`admission`], [`limiter`], [`idempotency`]: admission to a target, at most once per key.
//!
//! A host process uses other parts:
//!
//! * [`host`]: the state that its tasks share;
//! * [`streams`]: how far this node has come along the store's streams;
//! * [`versions`], [`hint`]: the routes in force, and hints that a peer has newer ones;
//! * [`start`]: how a starting node learns of the fleet;
//! * [`source`]: loads whole versions of the routes, and the members, from the store;
//! * [`sync`]: what nodes ask of each other while they can't have it from the store;
//! * [`records`]: applies what was read;
//! * [`shared_answer`]: answers that many nodes ask for at the same time;
//! * [`watch`], [`spread`]: which node reads the store for its failure domain, and how the
//!   other nodes receive what it read;
//! * [`probe`]: probes unreachable nodes;
//! * [`local`], [`presence`]: the target on this host, and what is published about it;
//! * [`record_keys`]: under which keys of the store that is written;
//! * [`gate`], [`flow`]: admission to that target, and of large bodies to the host's link;
//! * [`memory`]: the memory for messages that are not whole yet;
//! * [`drain`]: which failure domains an operator has drained;
//! * [`load_report`]: the exchange of the loads of targets;
//! * [`rate_limit`]: the exchange of counts behind the limits on teams' requests;
//! * [`quarantine`]: which requests are quarantined because targets crash under them;
//! * [`rollout`]: which release of a service receives its requests;
//! * [`decision`]: queueing, load shedding, target selection and retries.
//!
//! This layer opens no sockets. Its input and output are closures that the caller passes
//! in, so that tests can replace them with small fakes.

pub mod admission;
pub mod apply;
pub mod budget;
pub mod catchup;
pub mod decision;
pub mod delivered;
pub mod drain;
pub mod flow;
pub mod gate;
pub mod gossip;
pub mod health;
pub mod hint;
pub mod host;
pub mod idempotency;
pub mod interface;
pub mod limiter;
pub mod load_report;
pub mod local;
pub mod log_reader;
pub mod memory;
pub mod node;

pub mod pick;
pub mod presence;
pub mod probe;
pub mod publish;
pub mod quarantine;
pub mod rank;
pub mod rate_limit;
pub mod record_keys;
pub mod records;
pub mod rollout;
pub mod scatter;
pub mod shared_answer;
pub mod snapshot;
pub mod source;
pub mod spread;
pub mod start;
pub mod streams;
pub mod sync;
pub mod versions;
pub mod watch;

use crate::{protocol, state};

/// An error of this layer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A peer or the log is unreachable; nothing was delivered.
    #[error("{0} can't be reached")]
    Unreachable(String),
    /// No answer arrived; the message may still have taken effect.
    #[error("{0} did not answer")]
    NoAnswer(String),
    /// The requested records are no longer kept.
    #[error("{0} no longer keeps the requested records")]
    Expired(String),
    /// The answer does not match the request.
    #[error("unexpected answer from {0}")]
    Unexpected(String),
    /// A message could not be decoded.
    #[error(transparent)]
    Protocol(#[from] protocol::Error),
    /// A record or snapshot could not be used by the state layer.
    #[error(transparent)]
    State(#[from] state::Error),
    /// The daemon is shutting down.
    #[error("the daemon is ending")]
    Ending,
}
