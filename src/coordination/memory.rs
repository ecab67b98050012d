//! The memory for messages that a node holds until they are whole and handled.
//!
//! [`decision::memory`](crate::coordination::decision::memory) decides; here the tasks that receive the
//! messages are told. A [`Hold`] stands for the bytes of one message and gives them back when it is
//! dropped.
//!
//! ```
//! use rilltrack::{coordination::memory::Memory, unit::Size};
//!
//! let memory = Memory::new(Size::from_bytes(1 << 20), |_| {});
//! let hold = memory.open();
//! hold.grow(100_000)?;
//! assert_eq!(memory.held(), Size::from_bytes(100_000));
//! assert!(hold.grow(1 << 20).is_err());
//! drop(hold);
//! assert_eq!(memory.held(), Size::from_bytes(0));
//! # Ok::<(), rilltrack::coordination::memory::Full>(())
//! ```

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
    time::Instant,
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::decision::memory::{Account, Id, Verdict},
    unit::{Size, Span},
};

/// The `Retry-After` of a request that was refused for [`Full`]: by then, messages that stand still
/// now can be given up.
pub const RETRY_AFTER: Span = Span::from_millis(500);

/// The part of a process's memory for the bodies of requests and answers.
const BODY_SHARE: u64 = 4;

/// The part of a process's memory for messages of peers, targets and operators.
const MESSAGE_SHARE: u64 = 8;

/// The bodies of the largest size that fit into the memory for them at a time.
const MAX_LARGE_BODIES: u64 = 8;

/// The part of the limit from which what was held counts as a peak.
const PEAK_SHARE: u64 = 8;

/// The part of the limit up to which a peak counts as over.
const IDLE_SHARE: u64 = 64;

/// The memory is used up, and no message that holds some of it stands still.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no memory for more of the body")]
pub struct Full;

/// What changed when the memory was used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is used up: the first message since it was free is given up or refused.
    Filled,
    /// This many messages were given up, as they stood still.
    GivenUp(usize),
    /// A message was refused, since none stood still.
    Refused,
    /// Less than half of it is used again.
    Freed,
}

/// The memory of a process for messages of one kind, which its tasks share.
pub struct Memory {
    state: Mutex<State>,
    on_change: Box<dyn Fn(Change) + Send + Sync>,
}

struct State {
    account: Account,
    /// Wakes the task that receives a message once it is given up.
    tasks: HashMap<Id, Arc<Notify>>,
    is_full: bool,
    /// Whether there was a peak, whose memory the allocator may still keep.
    had_peak: bool,
}

/// The part of [`Memory`] that one message takes; given back when it is dropped.
pub struct Hold {
    memory: Arc<Memory>,
    /// Set once the message takes memory, which most requests don't.
    id: OnceLock<Id>,
    given_up: Arc<Notify>,
    is_incomplete: bool,
}

impl Memory {
    /// Returns memory of at most `limit`. `on_change` is told when it is used up and free again.
    pub fn new(limit: Size, on_change: impl Fn(Change) + Send + Sync + 'static) -> Arc<Self> {
        let state = State {
            account: Account::new(limit),
            tasks: HashMap::new(),
            is_full: false,
            had_peak: false,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            on_change: Box::new(on_change),
        })
    }

    /// Returns the limit on bodies of requests and answers in a process of `memory`.
    pub fn body_limit(memory: Size) -> Size {
        Size::from_bytes(memory.as_bytes() / BODY_SHARE)
    }

    /// Returns the limit on messages of peers, targets and operators in a process of `memory`.
    pub fn message_limit(memory: Size) -> Size {
        Size::from_bytes(memory.as_bytes() / MESSAGE_SHARE)
    }

    /// Returns the size of the largest body that may be held whole, in bytes.
    pub fn max_whole(&self) -> usize {
        let limit = self.state.lock().account.limit().as_bytes();
        usize::try_from(limit / MAX_LARGE_BODIES).unwrap_or(usize::MAX)
    }

    /// Returns how much is held.
    pub fn held(&self) -> Size {
        self.state.lock().account.held()
    }

    /// Returns whether much memory was held and little is now, so that the allocator should give
    /// back to the system what it keeps; once for each such peak.
    pub fn is_peak_over(&self) -> bool {
        let mut state = self.state.lock();
        let limit = state.account.limit().as_bytes();
        state.had_peak |= state.account.take_peak().as_bytes() * PEAK_SHARE >= limit;
        let is_idle = state.account.held().as_bytes() * IDLE_SHARE <= limit;
        is_idle && std::mem::take(&mut state.had_peak)
    }

    /// Returns a hold for a message of which nothing was received yet. It may be given up until it
    /// is [complete](Hold::complete).
    pub fn open(self: &Arc<Self>) -> Hold {
        self.hold(true)
    }

    /// Returns a hold for a message that is never given up for others.
    pub fn open_lasting(self: &Arc<Self>) -> Hold {
        self.hold(false)
    }

    fn hold(self: &Arc<Self>, is_incomplete: bool) -> Hold {
        Hold {
            memory: self.clone(),
            id: OnceLock::new(),
            given_up: Arc::new(Notify::new()),
            is_incomplete,
        }
    }

    fn grow(&self, hold: &Hold, bytes: u64) -> Result<(), Full> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let id = *hold.id.get_or_init(|| {
            let id = state.account.open(hold.is_incomplete, now);
            state.tasks.insert(id, hold.given_up.clone());
            id
        });
        let verdict = state.account.grow(id, bytes, now);
        let (change, result) = match verdict {
            Verdict::Store(given_up) if given_up.is_empty() => return Ok(()),
            Verdict::Store(given_up) => {
                for id in &given_up {
                    if let Some(task) = state.tasks.remove(id) {
                        task.notify_one();
                    }
                }
                (Change::GivenUp(given_up.len()), Ok(()))
            }
            Verdict::Refuse => (Change::Refused, Err(Full)),
        };
        let is_first = !std::mem::replace(&mut state.is_full, true);
        drop(state);
        if is_first {
            (self.on_change)(Change::Filled);
        }
        (self.on_change)(change);
        result
    }

    fn close(&self, id: Id) {
        let mut state = self.state.lock();
        state.account.close(id);
        state.tasks.remove(&id);
        let account = &state.account;
        let is_free = account.held().as_bytes() * 2 < account.limit().as_bytes();
        let is_freed = is_free && std::mem::take(&mut state.is_full);
        drop(state);
        if is_freed {
            (self.on_change)(Change::Freed);
        }
    }
}

impl Hold {
    /// Takes memory for `bytes` more of the message.
    ///
    /// # Errors
    ///
    /// If there is none, or the message was given up.
    pub fn grow(&self, bytes: usize) -> Result<(), Full> {
        match bytes {
            0 => Ok(()),
            _ => self.memory.grow(self, bytes as u64),
        }
    }

    /// Waits until the message is given up. What was received of it must be dropped then.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Keeps the message, which is whole, until the hold is dropped.
    pub fn complete(&self) {
        if let Some(id) = self.id.get() {
            self.memory.state.lock().account.complete(*id);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(id) = self.id.get() {
            self.memory.close(*id);
        }
    }
}
