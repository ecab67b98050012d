//! The header that two nodes exchange for a request: one on the request, one on the response.
//!
//! All values share one header, in a fixed order and separated by semicolons. With a
//! named header for each value, the headers were half of the bytes that a lookup sent
//! between failure domains, where traffic is billed.
//!
//! ```
//! use rilltrack::protocol::hop::{Ask, Told};
//!
//! let request: Ask = "n-7;ledger;1;300;1200;2500;340;0;4;1".parse()?;
//! assert_eq!((request.to.as_str(), request.usual.unwrap().as_millis()), ("n-7", 340));
//! let response: Told = "not-run;0;83/152;12,3,12;0.85;;250;target is full".parse()?;
//! assert_eq!((response.version, response.reason.as_str()), (83, "target is full"));
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

/// The name of the header. Nodes remove it from messages of callers and targets.
pub const HEADER: &str = "rilltrack-hop";

/// The header's value on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// The receiving node. Its address may have been taken over by another node.
    pub to: Node,
    /// The service whose target runs the request.
    pub service: Name,
    /// The priority of the request under overload; 0 is the highest.
    pub priority: u8,
    /// The maximum wait for a slot at the target.
    pub patience: Span,
    /// The time left until the deadline of the objective; zero if it has passed.
    pub due: Span,
    /// The time left until the request's deadline.
    pub deadline: Span,
    /// The usual run time of such requests at targets, if the sender knows it.
    pub usual: Option<Span>,
    /// The usual size of the response in bytes if it is large; otherwise 0.
    pub answer: usize,
    /// Bad responses per 1,000 that the sender observed on the request's route from the
    /// serving release.
    pub faults: u16,
    /// Whether a target has already seen the request.
    pub is_again: bool,
}

/// The header's value on a response or a refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the request reached the target itself.
    pub arrived: bool,
    /// The version of the routes in force at the responding node.
    pub version: u64,
    /// The offset up to which the responding node knows the members.
    pub members: u64,
    /// The utilization of the node's target.
    pub load: Load,
    /// The slowdown of the node's target.
    pub pace: Pace,
    /// The run time of the request at the target, if it ran.
    pub ran: Option<Span>,
    /// The time after which a retry may succeed, if any.
    pub retry_after: Option<Span>,
    /// The reason of a refusal; empty for any other response.
    pub reason: String,
}

/// A header value that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not {what}")]
pub struct Error {
    what: &'static str,
    text: String,
}

impl fmt::Display for Ask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { to, service, .. } = self;
        let [patience, due, deadline] =
            [self.patience, self.due, self.deadline].map(Span::as_millis);
        write!(
            f,
            "{to};{service};{};{patience};{due};{deadline};",
            self.priority
        )?;
        write_millis(f, self.usual)?;
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
        let error = || Error {
            what: "the hop header of a request",
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
            return Err(error());
        };
        let span = |text| parse_millis(text).flatten().ok_or_else(error);
        Ok(Self {
            to: to.parse().map_err(|_| error())?,
            service: service.parse().map_err(|_| error())?,
            priority: priority.parse().map_err(|_| error())?,
            patience: span(patience)?,
            due: span(due)?,
            deadline: span(deadline)?,
            usual: parse_millis(usual).ok_or_else(error)?,
            answer: answer.parse().map_err(|_| error())?,
            faults: faults.parse().map_err(|_| error())?,
            is_again: parse_flag(is_again).ok_or_else(error)?,
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
        write_millis(f, self.ran)?;
        f.write_str(";")?;
        write_millis(f, self.retry_after)?;
        write!(f, ";{}", self.reason)
    }
}

impl FromStr for Told {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            what: "the hop header of a response",
            text: text.into(),
        };
        // The reason comes last and may contain semicolons.
        let fields: Vec<&str> = text.splitn(8, ';').collect();
        let [
            outcome,
            arrived,
            progress,
            load,
            pace,
            ran,
            retry_after,
            reason,
        ] = fields[..]
        else {
            return Err(error());
        };
        let (version, members) = progress.split_once('/').ok_or_else(error)?;
        Ok(Self {
            outcome: outcome.parse().map_err(|_| error())?,
            arrived: parse_flag(arrived).ok_or_else(error)?,
            version: version.parse().map_err(|_| error())?,
            members: members.parse().map_err(|_| error())?,
            load: load.parse().map_err(|_| error())?,
            pace: pace.parse().map_err(|_| error())?,
            ran: parse_millis(ran).ok_or_else(error)?,
            retry_after: parse_millis(retry_after).ok_or_else(error)?,
            reason: reason.into(),
        })
    }
}

fn write_millis(f: &mut fmt::Formatter<'_>, span: Option<Span>) -> fmt::Result {
    match span {
        Some(span) => write!(f, "{}", span.as_millis()),
        None => Ok(()),
    }
}

/// Parses milliseconds. Returns `Some(None)` for an empty text and `None` for an invalid one.
fn parse_millis(text: &str) -> Option<Option<Span>> {
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
