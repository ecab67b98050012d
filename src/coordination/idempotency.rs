//! Idempotency keys: a request with a key runs at most once.
//!
//! Each key is bound to one incarnation of one node, the only process that may run its
//! request. Other nodes never run it, even if views of membership differ, and neither
//! does a later incarnation of the same node. So nodes need not reach agreement, and
//! there is no lease that could expire while its holder is paused. Once the process has
//! ended, it stays unknown whether the request ran, and the refusal says so.

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

/// The size in bytes of the largest answer that is recorded for repeats.
pub const MAX_ANSWER: usize = 256 << 10;

/// An idempotency key, written `node.incarnation.secret`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The node whose target may run the request.
    pub node: Node,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// A random number, so that a caller cannot guess another caller's key.
    pub secret: u128,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:032x}", self.node, self.incarnation, self.secret)
    }
}

/// The error for a text that is not a key of this system.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not an idempotency key of this system")]
pub struct Error;

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.rsplitn(3, '.');
        let mut next_part = || parts.next().ok_or(Error);
        let secret = u128::from_str_radix(next_part()?, 16).map_err(|_| Error)?;
        let incarnation = next_part()?.parse().map_err(|_| Error)?;
        let node = next_part()?.parse().map_err(|_| Error)?;
        Ok(Self {
            node,
            incarnation,
            secret,
        })
    }
}

/// A target's answer, recorded for repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The recorded result of a keyed request.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The request ran and got this answer.
    Answered(Arc<Answer>),
    /// The request may have run, but no answer is known.
    Unknown,
    /// The request ran, but its answer is too large to be recorded.
    TooLarge,
    /// The request did not run; its key can be used again.
    NotRun(Refusal),
}

/// The decision on a keyed request.
#[derive(Debug)]
pub enum KeyedDecision {
    /// Run the request, and pass its result to [`Ledger::end`].
    Run,
    /// The request is running: wait for its result.
    Join(watch::Receiver<Option<Record>>),
    /// The request ended earlier, with this result.
    Ended(Record),
    /// The request can't be run under this key.
    Refuse(Refusal),
}

/// All keys issued by one incarnation of one node, with the results of their requests.
///
/// Times are in milliseconds since the incarnation started, so clock steps do not change
/// how long a key lasts.
#[derive(Debug)]
pub struct Ledger {
    entries: HashMap<u128, Entry>,
    /// Expiry times and secrets of the keys, oldest first.
    expiries: VecDeque<(u64, u128)>,
    limits: LedgerLimits,
    /// The total size of the recorded answers.
    answer_bytes: usize,
}

/// The limits of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// The most keys, used or not.
    pub keys: usize,
    /// How long a key lasts.
    pub key_lifetime: Span,
    /// The total size of recorded answers. Beyond it requests still run, but their
    /// answers are not recorded, and repeats are refused with that reason.
    pub answer_bytes: Size,
}

#[derive(Debug)]
struct Entry {
    /// The digest of the request that used the key.
    digest: Option<u64>,
    /// The result of the request, once it has ended.
    result: watch::Sender<Option<Record>>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            limits,
            answer_bytes: 0,
        }
    }

    /// Adds a key with this secret, unless the limit on keys is reached. Returns whether
    /// the key was added.
    ///
    /// Keys are never dropped before they expire to make room for others: the request
    /// of a dropped key could run a second time.
    pub fn issue(&mut self, secret: u128, now_ms: u64) -> bool {
        self.expire(now_ms);
        if self.entries.len() >= self.limits.keys {
            return false;
        }
        let entry = Entry {
            digest: None,
            result: watch::Sender::new(None),
        };
        self.entries.insert(secret, entry);
        self.expiries
            .push_back((now_ms + self.limits.key_lifetime.as_millis(), secret));
        true
    }

    /// Drops the keys that have expired.
    fn expire(&mut self, now_ms: u64) {
        while let Some((expiry, secret)) = self.expiries.front().copied() {
            if expiry > now_ms {
                break;
            }
            self.expiries.pop_front();
            if let Some(entry) = self.entries.remove(&secret) {
                self.answer_bytes -= size_of_answer(entry.result.borrow().as_ref());
            }
        }
    }

    /// Decides on a request with this digest under the key with this secret.
    pub fn begin(&mut self, secret: u128, digest: u64, now_ms: u64) -> KeyedDecision {
        self.expire(now_ms);
        let Some(entry) = self.entries.get_mut(&secret) else {
            // The key has expired. The request may have run before that.
            let reason = "the key has expired; what became of its request is not kept";
            return KeyedDecision::Refuse(Refusal::unknown(410, reason));
        };
        match entry.digest {
            None => {
                entry.digest = Some(digest);
                KeyedDecision::Run
            }
            Some(first) if first != digest => KeyedDecision::Refuse(Refusal::rejected(
                422,
                "the key was used for another request",
            )),
            Some(_) => match entry.result.borrow().clone() {
                None => KeyedDecision::Join(entry.result.subscribe()),
                Some(record) => KeyedDecision::Ended(record),
            },
        }
    }

    /// Records the result of the request under the key with this secret.
    pub fn end(&mut self, secret: u128, record: Record) {
        let size = size_of_answer(Some(&record));
        let has_room = (self.answer_bytes + size) as u64 <= self.limits.answer_bytes.as_bytes();
        let Some(entry) = self.entries.get_mut(&secret) else {
            return;
        };
        if matches!(record, Record::NotRun(_)) {
            // Repeats that wait get this result; the next one may run the request.
            entry.result.send_replace(Some(record));
            entry.digest = None;
            entry.result = watch::Sender::new(None);
        } else if has_room {
            self.answer_bytes += size;
            entry.result.send_replace(Some(record));
        } else {
            entry.result.send_replace(Some(Record::TooLarge));
        }
    }

    /// Returns the number of keys that have not been dropped.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the size in bytes of the answer in a record, or 0 if it has none.
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
