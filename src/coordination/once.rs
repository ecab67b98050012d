//! At most once: keys, each bound to one life of one node.
//!
//! A key names the only process that may run its request. Another node can't
//! run it, however views of membership differ; a later life of the same node
//! can't either. So nothing has to be agreed on, and nothing can lapse while
//! its holder is paused. When that process is gone, what became of the
//! request is unknown for good, and the answer says so.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    str::FromStr,
    sync::Arc,
};

use bytes::Bytes;
use tokio::sync::watch;

use crate::{
    id::{Incarnation, Node},
    protocol::answer::Refusal,
    unit::{Size, Span},
};

/// The largest answer that is recorded for a repeat.
pub const MAX_ANSWER: usize = 256 << 10;

/// An idempotency key, written `node.incarnation.secret`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The node whose target may run the request.
    pub node: Node,
    /// The life of that node.
    pub incarnation: Incarnation,
    /// Drawn at random, so that one caller can't guess another's.
    pub secret: u128,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:032x}", self.node, self.incarnation, self.secret)
    }
}

/// A text that is not a key of this system.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not an idempotency key of this system")]
pub struct Error;

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.rsplitn(3, '.');
        let mut next = || parts.next().ok_or(Error);
        let secret = u128::from_str_radix(next()?, 16).map_err(|_| Error)?;
        let incarnation = next()?.parse().map_err(|_| Error)?;
        let node = next()?.parse().map_err(|_| Error)?;
        Ok(Self {
            node,
            incarnation,
            secret,
        })
    }
}

/// A target's answer, kept for a repeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What is known of a keyed request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// It ran, and this was the answer.
    Answered(Arc<Answer>),
    /// It may have run; there is no answer.
    Unknown,
    /// It ran, but the answer is too large to keep.
    TooLarge,
    /// It did not run; the key may be used again.
    NotRun(Refusal),
}

/// What to do with a keyed request.
#[derive(Debug)]
pub enum Begin {
    /// Run it, and say how it ended through [`Ledger::end`].
    Run,
    /// It runs already: wait for its end.
    Join(watch::Receiver<Option<Record>>),
    /// It ended before.
    Ended(Record),
    /// It can't be run under this key.
    Refuse(Refusal),
}

/// All keys of one life of one node.
///
/// Times are milliseconds since that life began, so no step of a clock can
/// shorten or lengthen a key's life.
#[derive(Debug)]
pub struct Ledger {
    entries: HashMap<u128, Entry>,
    order: VecDeque<(u64, u128)>,
    limits: Limits,
    answer_bytes: usize,
}

/// What a [`Ledger`] may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Keys, issued or used.
    pub keys: usize,
    /// How long each lasts.
    pub life: Span,
    /// Bytes of recorded answers. Beyond it requests still run, but a repeat
    /// is told that the answer is not kept.
    pub answers: Size,
}

#[derive(Debug)]
struct Entry {
    request: Option<u64>,
    end: watch::Sender<Option<Record>>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            limits,
            answer_bytes: 0,
        }
    }

    /// Issues a key's secret, unless there is no room.
    ///
    /// Keys are never dropped before their time to make room: a dropped key
    /// could run its request again.
    pub fn issue(&mut self, secret: u128, now_ms: u64) -> bool {
        self.expire(now_ms);
        if self.entries.len() >= self.limits.keys {
            return false;
        }
        let entry = Entry {
            request: None,
            end: watch::Sender::new(None),
        };
        self.entries.insert(secret, entry);
        self.order
            .push_back((now_ms + self.limits.life.as_millis(), secret));
        true
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((until, secret)) = self.order.front().copied() {
            if until > now_ms {
                break;
            }
            self.order.pop_front();
            if let Some(entry) = self.entries.remove(&secret) {
                self.answer_bytes -= size_of_answer(entry.end.borrow().as_ref());
            }
        }
    }

    /// Decides on the request with digest `request` under a key's secret.
    pub fn begin(&mut self, secret: u128, request: u64, now_ms: u64) -> Begin {
        self.expire(now_ms);
        let Some(entry) = self.entries.get_mut(&secret) else {
            // Expired: it may have run while the key lived.
            let reason = "the key has expired; what became of its request is not kept";
            return Begin::Refuse(Refusal::unknown(410, reason));
        };
        match entry.request {
            None => {
                entry.request = Some(request);
                Begin::Run
            }
            Some(first) if first != request => Begin::Refuse(Refusal::rejected(
                422,
                "the key was used for another request",
            )),
            Some(_) => match entry.end.borrow().clone() {
                None => Begin::Join(entry.end.subscribe()),
                Some(record) => Begin::Ended(record),
            },
        }
    }

    /// Notes how the request under a key's secret ended.
    pub fn end(&mut self, secret: u128, record: Record) {
        let size = size_of_answer(Some(&record));
        let has_room = (self.answer_bytes + size) as u64 <= self.limits.answers.as_bytes();
        let Some(entry) = self.entries.get_mut(&secret) else {
            return;
        };
        if matches!(record, Record::NotRun(_)) {
            // Those who joined are told; whoever comes next may run it.
            entry.end.send_replace(Some(record));
            entry.request = None;
            entry.end = watch::Sender::new(None);
        } else if has_room {
            self.answer_bytes += size;
            entry.end.send_replace(Some(record));
        } else {
            entry.end.send_replace(Some(Record::TooLarge));
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no keys are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the bytes that a record holds on to.
fn size_of_answer(record: Option<&Record>) -> usize {
    match record {
        Some(Record::Answered(answer)) => {
            let headers = answer
                .headers
                .iter()
                .map(|(name, value)| name.as_str().len() + value.len());
            answer.body.len() + headers.sum::<usize>()
        }
        _ => 0,
    }
}
