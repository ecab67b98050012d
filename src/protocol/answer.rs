//! The headers by which nodes and callers exchange the outcome of a request.
//!
//! Headers that start with [`PREFIX`] are reserved for the system. An inbound proxy
//! removes them from a target's response, so that neither the target nor a service
//! that it called can make a proxy retry.

use crate::{unit::Span, words::words};

/// The prefix of all headers of the system.
pub const PREFIX: &str = "rilltrack-";
/// Whether the request ran: an [`Outcome`].
pub const OUTCOME: &str = "rilltrack-outcome";
/// The reason of a refusal, as text for people who read logs.
pub const REASON: &str = "rilltrack-reason";
/// Milliseconds left until the request's deadline. Relative, so that clocks of hosts
/// need not agree.
pub const DEADLINE: &str = "rilltrack-deadline-ms";
/// The key under which a non-idempotent request runs at most once.
pub const KEY: &str = "idempotency-key";
/// From an outbound proxy: the request may run at most once under its key.
pub const KEYED: &str = "rilltrack-keyed";
/// From an outbound proxy: the service the request is for.
pub const SERVICE: &str = "rilltrack-service";
/// From an outbound proxy: the name of its node.
pub const NODE: &str = "rilltrack-node";
/// From an outbound proxy: its failure domain.
pub const DOMAIN: &str = "rilltrack-domain";
/// On requests and responses: the sender's configuration version.
pub const VERSION: &str = "rilltrack-version";
/// From an outbound proxy: the class of the request.
pub const CLASS: &str = "rilltrack-class";
/// From an outbound proxy: an earlier attempt of the request may have run, or still
/// runs at another node.
pub const REPEAT: &str = "rilltrack-again";
/// From an inbound proxy: running plus waiting requests, divided by slots, in
/// hundredths.
pub const LOAD: &str = "rilltrack-load";
/// From a target: the requests per second that it takes from all nodes together, as a decimal
/// number.
pub const LIMIT: &str = "rilltrack-limit";
/// From a target: `1` if it is about to leave.
pub const LEAVING: &str = "rilltrack-leaving";

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response is the target's.
    Answered,
    /// The response is the target's, recorded when the request ran earlier.
    Recorded,
    /// The request did not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// A text that is not an outcome.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not an outcome: answered, recorded, not-run or unknown")]
pub struct Error(String);

words! {
    Outcome, Error = Error,
    Answered: "answered",
    Recorded: "recorded",
    NotRun: "not-run",
    Unknown: "unknown",
}

/// A response by the system itself, in place of a target's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request ran; never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// The reason, as text for people.
    pub reason: String,
    /// The time after which a retry may succeed, if any.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run and may be retried after
    /// `retry_after`.
    pub fn not_run(reason: impl Into<String>, retry_after: Span) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status: 503,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns a refusal of a request that did not run, and for which a retry without
    /// changes is useless.
    pub fn rejected(status: u16, reason: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns whether the request did not run and a retry without changes is useless at
    /// any node.
    pub fn is_final(&self) -> bool {
        self.outcome == Outcome::NotRun && self.retry_after.is_none()
    }

    /// Returns a refusal of a request that may or may not have run.
    pub fn unknown(status: u16, reason: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }
}
