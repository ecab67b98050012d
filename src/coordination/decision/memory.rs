//! What a node may hold of messages that are not whole yet, and which one it gives up when it can
//! hold no more.
//!
//! It handles clients that send most of a large body, as a whole, in pieces or in chunks of a byte,
//! and then stay: a process of 260 MB has up to 1,950 connections, and 500 bodies of 512 KiB fill it. So what
//! is received counts against a limit before it is stored. At the limit, the message that has stood
//! still longest makes room for one that advances; if none stands still, the one that asks is
//! refused. Short messages have a share of their own, so that large ones, whether they advance or
//! not, never keep an ordinary request out.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::unit::Size;

/// How much of a message counts as a short one, which may use the whole limit. Requests have a few
/// hundred bytes; those of all connections together take less than half of the limit.
const SHORT_BYTES: u64 = 16 << 10;

/// The part of the limit that is left for short messages.
const SHORT_SHARE: u64 = 4;

/// How long a message must have stood still before it is given up. A sender whose packet was lost
/// sends it again sooner.
const MIN_STALL: Duration = Duration::from_millis(500);

/// The bytes by which a message must grow to count as advancing. One that sends a byte now and then
/// stands still.
const MIN_PROGRESS: u64 = 1 << 10;

/// A message in an [`Account`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u64);

/// The messages that a node holds in part, or until they are handled.
#[derive(Debug)]
pub struct Account {
    limit: u64,
    held: u64,
    /// The most that was held since [`Account::take_peak`].
    peak: u64,
    messages: HashMap<Id, Message>,
    next: u64,
}

#[derive(Debug)]
struct Message {
    bytes: u64,
    /// The bytes when it last advanced.
    mark: u64,
    advanced: Instant,
    /// Whether it may be given up: it is not whole, and its sender may never send the rest.
    is_incomplete: bool,
}

/// What to do with bytes that a message received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// They may be stored, after these messages were given up.
    Store(Vec<Id>),
    /// There is no memory for them.
    Refuse,
}

impl Account {
    /// Returns an account of at most `limit`, without messages.
    pub fn new(limit: Size) -> Self {
        Self {
            limit: limit.as_bytes(),
            held: 0,
            peak: 0,
            messages: HashMap::new(),
            next: 0,
        }
    }

    /// Returns how much is held.
    pub fn held(&self) -> Size {
        Size::from_bytes(self.held)
    }

    /// Returns the most that was held since the last call.
    pub fn take_peak(&mut self) -> Size {
        Size::from_bytes(std::mem::replace(&mut self.peak, self.held))
    }

    /// Returns the most that may be held.
    pub fn limit(&self) -> Size {
        Size::from_bytes(self.limit)
    }

    /// Adds a message of which nothing is held yet. It may be given up while `is_incomplete`.
    pub fn open(&mut self, is_incomplete: bool, now: Instant) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let message = Message {
            bytes: 0,
            mark: 0,
            advanced: now,
            is_incomplete,
        };
        self.messages.insert(id, message);
        id
    }

    /// Decides on `bytes` more of a message. They count as held, and the messages given up as gone,
    /// once this returns [`Verdict::Store`].
    pub fn grow(&mut self, id: Id, bytes: u64, now: Instant) -> Verdict {
        let Some(message) = self.messages.get(&id) else {
            // It was given up just before.
            return Verdict::Refuse;
        };
        let limit = match message.bytes + bytes {
            0..=SHORT_BYTES => self.limit,
            _ => self.limit - self.limit / SHORT_SHARE,
        };
        let mut given_up = Vec::new();
        let excess = (self.held + bytes).saturating_sub(limit);
        if excess > 0 {
            match self.stalled(id, excess, now) {
                Some(stalled) => given_up = stalled,
                None => return Verdict::Refuse,
            }
        }
        for stalled in &given_up {
            self.close(*stalled);
        }
        self.held += bytes;
        self.peak = self.peak.max(self.held);
        if let Some(message) = self.messages.get_mut(&id) {
            message.bytes += bytes;
            if message.bytes >= message.mark + MIN_PROGRESS || message.mark == 0 {
                message.mark = message.bytes;
                message.advanced = now;
            }
        }
        Verdict::Store(given_up)
    }

    /// Returns the messages that have stood still longest and hold at least `bytes` together,
    /// without `except`; `None` if there are not enough.
    fn stalled(&self, except: Id, bytes: u64, now: Instant) -> Option<Vec<Id>> {
        let mut stalled: Vec<(Instant, Id, u64)> = self
            .messages
            .iter()
            .filter(|(id, message)| **id != except && message.is_incomplete && message.bytes > 0)
            .filter(|(_, message)| now.saturating_duration_since(message.advanced) >= MIN_STALL)
            .map(|(id, message)| (message.advanced, *id, message.bytes))
            .collect();
        stalled.sort_unstable();
        let mut left = bytes;
        let mut chosen = Vec::new();
        for (_, id, bytes) in stalled {
            chosen.push(id);
            left = left.saturating_sub(bytes);
            if left == 0 {
                return Some(chosen);
            }
        }
        None
    }

    /// Keeps a message that is whole: it is handled and then closed, and no longer given up.
    pub fn complete(&mut self, id: Id) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.is_incomplete = false;
        }
    }

    /// Removes a message; nothing of it is held any more. A message that was given up is gone
    /// already.
    pub fn close(&mut self, id: Id) {
        if let Some(message) = self.messages.remove(&id) {
            self.held -= message.bytes;
        }
    }
}
