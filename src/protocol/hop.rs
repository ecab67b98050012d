//! The header that two nodes exchange for a request: one on the request, one on the response.
//!
//! All values share one header, in a fixed order and separated by semicolons. With a
//! named header for each value, the headers were half of the bytes that a lookup sent
//! between failure domains, where traffic is billed.
//!
//! ```
//! use rilltrack::protocol::hop;
//!
//! let request: hop::Request = "n-7;ledger;1;300;1200;2500;340;0;4;1".parse()?;
//! assert_eq!((request.to.as_str(), request.usual_run_time.unwrap().as_millis()), ("n-7", 340));
//! let response: hop::Reply = "not-run;0;83/152;12,3,12;0.85;;250;target is full".parse()?;
//! assert_eq!((response.version, response.reason.as_str()), (83, "target is full"));
//! # Ok::<(), rilltrack::protocol::hop::Error>(())
//! ```

use std::{fmt, str::FromStr};

use crate::{
    id::{Instance, Name, Node},
    protocol::{
        answer::Outcome,
        dialect::{Load, Slowdown},
    },
    state::priority::Priority,
    unit::{Rate, Span},
};

/// The name of the header. Nodes remove it from messages of callers and targets.
pub const HEADER: &str = "rilltrack-hop";

/// The name of the header with a [`Limit`], on requests. It starts with [`HEADER`], so that nodes
/// of earlier releases remove it, too.
pub const LIMIT_HEADER: &str = "rilltrack-hop-limit";

/// The name of the header on requests that are sent to another node if this one refuses them
/// because its target is slow; its value is [`SLOW`]. Nodes of earlier releases remove it, as they
/// do [`SLOWNESS_HEADER`], because the name starts with [`HEADER`].
pub const SLOW_HEADER: &str = "rilltrack-hop-slow";

/// The value of [`SLOW_HEADER`].
pub const SLOW: &str = "1";

/// The name of the header with the [`Slowness`](super::dialect::Slowness) that the node's target
/// stated last, on responses and refusals while that is fresh.
pub const SLOWNESS_HEADER: &str = "rilltrack-hop-slowness";

/// The header's value on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The receiving node. Its address may have been taken over by another node.
    pub to: Node,
    /// The service whose target runs the request.
    pub service: Name,
    /// The priority of the request under overload.
    pub priority: Priority,
    /// The maximum wait for a slot at the target.
    pub max_wait: Span,
    /// The time left until the deadline of the objective; zero if it has passed.
    pub due_in: Span,
    /// The time left until the request's deadline.
    pub deadline: Span,
    /// The usual run time of such requests at targets, if the sender knows it.
    pub usual_run_time: Option<Span>,
    /// The usual size of the response in bytes if it is large; otherwise 0.
    pub usual_answer_size: usize,
    /// Bad responses per 1,000 that the sender observed on the request's route from the
    /// serving release.
    pub fault_permille: u16,
    /// Whether a target has already seen the request.
    pub is_repeat: bool,
}

/// The limit that an instance of a target stated in an answer that the sender passed on.
///
/// ```
/// use rilltrack::protocol::hop::Limit;
///
/// let limit: Limit = "45.9/s;i-7".parse()?;
/// assert_eq!((limit.rate.per_second(), limit.instance.id()), (45.9, "i-7"));
/// assert_eq!(limit.to_string(), "45.9/s;i-7");
/// # Ok::<(), rilltrack::protocol::hop::Error>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The requests per second that the target takes from all nodes together.
    pub rate: Rate,
    /// The instance that stated it.
    pub instance: Instance,
}

/// The header's value on a response or a refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the request reached the target itself.
    pub has_arrived: bool,
    /// The version of the routes in force at the responding node.
    pub version: u64,
    /// The offset up to which the responding node knows the members.
    pub members_offset: u64,
    /// The utilization of the node's target.
    pub load: Load,
    /// The slowdown of the node's target.
    pub slowdown: Slowdown,
    /// The run time of the request at the target, if it ran.
    pub run_time: Option<Span>,
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

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { to, service, .. } = self;
        let [max_wait, due, deadline] =
            [self.max_wait, self.due_in, self.deadline].map(Span::as_millis);
        write!(
            f,
            "{to};{service};{};{max_wait};{due};{deadline};",
            self.priority
        )?;
        write_millis(f, self.usual_run_time)?;
        write!(
            f,
            ";{};{};{}",
            self.usual_answer_size,
            self.fault_permille,
            u8::from(self.is_repeat)
        )
    }
}

impl FromStr for Request {
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
            max_wait,
            due,
            deadline,
            usual,
            answer,
            faults,
            is_repeat,
        ] = fields[..]
        else {
            return Err(error());
        };
        let span = |text| parse_millis(text).flatten().ok_or_else(error);
        Ok(Self {
            to: to.parse().map_err(|_| error())?,
            service: service.parse().map_err(|_| error())?,
            priority: priority.parse().map_err(|_| error())?,
            max_wait: span(max_wait)?,
            due_in: span(due)?,
            deadline: span(deadline)?,
            usual_run_time: parse_millis(usual).ok_or_else(error)?,
            usual_answer_size: answer.parse().map_err(|_| error())?,
            fault_permille: faults.parse().map_err(|_| error())?,
            is_repeat: parse_flag(is_repeat).ok_or_else(error)?,
        })
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{}", self.rate, self.instance)
    }
}

impl FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            what: "the limit of a target",
            text: text.into(),
        };
        let (rate, instance) = text.split_once(';').ok_or_else(error)?;
        Ok(Self {
            rate: rate.parse().map_err(|_| error())?,
            instance: instance.into(),
        })
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            outcome,
            version,
            members_offset: members,
            load,
            slowdown,
            ..
        } = self;
        let arrived = u8::from(self.has_arrived);
        write!(
            f,
            "{outcome};{arrived};{version}/{members};{load};{slowdown};"
        )?;
        write_millis(f, self.run_time)?;
        f.write_str(";")?;
        write_millis(f, self.retry_after)?;
        write!(f, ";{}", self.reason)
    }
}

impl FromStr for Reply {
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
            slowdown,
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
            has_arrived: parse_flag(arrived).ok_or_else(error)?,
            version: version.parse().map_err(|_| error())?,
            members_offset: members.parse().map_err(|_| error())?,
            load: load.parse().map_err(|_| error())?,
            slowdown: slowdown.parse().map_err(|_| error())?,
            run_time: parse_millis(ran).ok_or_else(error)?,
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
