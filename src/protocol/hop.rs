//! What two nodes say to each other of a request, in one header each way.
//!
//! A header with a name for each value was half of what a lookup sent between failure
//! domains, and those bytes are paid for. Values stand in a fixed order with
//! semicolons between:
//!
//! ```
//! use rilltrack::protocol::hop::{Ask, Told};
//!
//! let ask: Ask = "n-7;ledger;1;300;1200;2500;340;0;4;1".parse()?;
//! assert_eq!((ask.to.as_str(), ask.usual.unwrap().as_millis()), ("n-7", 340));
//! let told: Told = "not-run;0;83/152;12,3,12;0.85;;250;target is full".parse()?;
//! assert_eq!((told.version, told.reason.as_str()), (83, "target is full"));
//! # Ok::<(), rilltrack::protocol::hop::Error>(())
//! ```

use std::{fmt, str::FromStr};

use crate::{
    id::{Name, Node},
    protocol::{
        answer::Outcome,
        dialect::{Load, Pace},
    },
    unit::Span,
};

/// The header. None of a caller's or target's gets past a node.
pub const HEADER: &str = "rilltrack-hop";

/// What a node asks of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// The node that is meant: an address may be taken over by another.
    pub to: Node,
    /// The service whose target is to run the request.
    pub service: Name,
    /// The rank of the request where room is short; 0 goes first.
    pub priority: u8,
    /// How long the request may wait for room at the target.
    pub patience: Span,
    /// How long until it should be answered; nothing if it is late.
    pub due: Span,
    /// How long is left for it as a whole.
    pub deadline: Span,
    /// How long targets usually run such requests, as far as the sender knows.
    pub usual: Option<Span>,
    /// How large the answer usually is, in bytes, if it is a large one; else 0.
    pub answer: usize,
    /// How many of 1,000 answers on its route the sender sees to be bad, of the release
    /// that serves.
    pub faults: u16,
    /// Whether a target has seen it before.
    pub is_again: bool,
}

/// What a node tells with an answer or a refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// What became of the request.
    pub outcome: Outcome,
    /// Whether the target itself has seen it.
    pub arrived: bool,
    /// The version of the routes in force at the node.
    pub version: u64,
    /// The offset up to which it knows the members.
    pub members: u64,
    /// How full its target is.
    pub load: Load,
    /// How long its target takes.
    pub pace: Pace,
    /// How long the target ran the request, if it did.
    pub ran: Option<Span>,
    /// When to come back, if that may help.
    pub retry_after: Option<Span>,
    /// Why it refused; empty if it did not.
    pub reason: String,
}

/// A text that is not one of the two.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not {what}")]
pub struct Error {
    what: &'static str,
    text: String,
}

impl fmt::Display for Ask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { to, service, .. } = self;
        let [patience, due, left] = [self.patience, self.due, self.deadline].map(Span::as_millis);
        write!(
            f,
            "{to};{service};{};{patience};{due};{left};",
            self.priority
        )?;
        write_span(f, self.usual)?;
        write!(
            f,
            ";{};{};{}",
            self.answer,
            self.faults,
            u8::from(self.is_again)
        )
    }
}

impl FromStr for Ask {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fault = || Error {
            what: "what a node asks",
            text: text.into(),
        };
        let fields: Vec<&str> = text.split(';').collect();
        let [
            to,
            service,
            priority,
            patience,
            due,
            deadline,
            usual,
            answer,
            faults,
            is_again,
        ] = fields[..]
        else {
            return Err(fault());
        };
        let span = |text| parse_span(text).flatten().ok_or_else(fault);
        Ok(Self {
            to: to.parse().map_err(|_| fault())?,
            service: service.parse().map_err(|_| fault())?,
            priority: priority.parse().map_err(|_| fault())?,
            patience: span(patience)?,
            due: span(due)?,
            deadline: span(deadline)?,
            usual: parse_span(usual).ok_or_else(fault)?,
            answer: answer.parse().map_err(|_| fault())?,
            faults: faults.parse().map_err(|_| fault())?,
            is_again: parse_flag(is_again).ok_or_else(fault)?,
        })
    }
}

impl fmt::Display for Told {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            outcome,
            version,
            members,
            load,
            pace,
            ..
        } = self;
        let arrived = u8::from(self.arrived);
        write!(f, "{outcome};{arrived};{version}/{members};{load};{pace};")?;
        write_span(f, self.ran)?;
        f.write_str(";")?;
        write_span(f, self.retry_after)?;
        write!(f, ";{}", self.reason)
    }
}

impl FromStr for Told {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fault = || Error {
            what: "what a node tells",
            text: text.into(),
        };
        // A reason may hold anything.
        let fields: Vec<&str> = text.splitn(8, ';').collect();
        let [outcome, arrived, seen, load, pace, ran, retry_after, reason] = fields[..] else {
            return Err(fault());
        };
        let (version, members) = seen.split_once('/').ok_or_else(fault)?;
        Ok(Self {
            outcome: outcome.parse().map_err(|_| fault())?,
            arrived: parse_flag(arrived).ok_or_else(fault)?,
            version: version.parse().map_err(|_| fault())?,
            members: members.parse().map_err(|_| fault())?,
            load: load.parse().map_err(|_| fault())?,
            pace: pace.parse().map_err(|_| fault())?,
            ran: parse_span(ran).ok_or_else(fault)?,
            retry_after: parse_span(retry_after).ok_or_else(fault)?,
            reason: reason.into(),
        })
    }
}

fn write_span(f: &mut fmt::Formatter<'_>, span: Option<Span>) -> fmt::Result {
    match span {
        Some(span) => write!(f, "{}", span.as_millis()),
        None => Ok(()),
    }
}

/// Returns milliseconds, or nothing where there are none; `None` if it is neither.
fn parse_span(text: &str) -> Option<Option<Span>> {
    if text.is_empty() {
        return Some(None);
    }
    let millis = text.parse().ok()?;
    Some(Some(Span::from_millis(millis)))
}

fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}
