//! The headers by which callers and nodes tell each other what became of a
//! request.
//!
//! Headers that start with [`PREFIX`] belong to the system: an inbound proxy
//! strips them from a target's answer, so a target (or a call deeper in the
//! chain) can't make a proxy retry.

use crate::{unit::Span, words::words};

/// The start of every header of the system.
pub const PREFIX: &str = "rilltrack-";
/// What became of the request: an [`Outcome`].
pub const OUTCOME: &str = "rilltrack-outcome";
/// Why, in words, for whoever reads logs.
pub const REASON: &str = "rilltrack-reason";
/// Milliseconds that are left for the request; relative, so that no two
/// clocks need to agree.
pub const DEADLINE: &str = "rilltrack-deadline-ms";
/// The key under which a non-idempotent request runs at most once.
pub const KEY: &str = "idempotency-key";
/// From an outbound proxy: the request is to run at most once under its key.
pub const KEYED: &str = "rilltrack-keyed";
/// From an outbound proxy: the service the request is for.
pub const SERVICE: &str = "rilltrack-service";
/// From an outbound proxy: its node name.
pub const NODE: &str = "rilltrack-node";
/// From an outbound proxy: its failure domain.
pub const DOMAIN: &str = "rilltrack-domain";
/// The sender's configuration version, on requests and answers.
pub const VERSION: &str = "rilltrack-version";
/// From an outbound proxy: the class of the request.
pub const CLASS: &str = "rilltrack-class";
/// From an outbound proxy: the request may have run before, or runs elsewhere.
pub const AGAIN: &str = "rilltrack-again";
/// From an inbound proxy: requests running and waiting over slots, in
/// hundredths.
pub const LOAD: &str = "rilltrack-load";

/// What became of a request, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is the target's.
    Answered,
    /// The answer is the target's, recorded when the request ran before.
    Recorded,
    /// The target did not get the request.
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

/// A final answer by the system itself, in place of a target's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request ran; never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// Why, in words.
    pub reason: String,
    /// When to come back, if that may help.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run and may be sent again
    /// after `retry_after`.
    pub fn not_run(reason: impl Into<String>, retry_after: Span) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status: 503,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns a refusal of a request that did not run and will never, as it
    /// stands.
    pub fn rejected(status: u16, reason: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns whether it did not run and will not anywhere, as it stands.
    pub fn is_final(&self) -> bool {
        self.outcome == Outcome::NotRun && self.retry_after.is_none()
    }

    /// Returns the answer to a request of which it isn't known whether it ran.
    pub fn unknown(status: u16, reason: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            status,
            reason: reason.into(),
            retry_after: None,
        }
    }
}
