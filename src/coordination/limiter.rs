//! Concurrency limits of the targets on one host, shared by concurrent requests.
//!
//! Each target's [`Limiter`] decides; this module adds the lock, the waiting tasks
//! and the permits.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    coordination::{
        admission::{Admission, Limiter, Ticket},
        decision::runs::Runs,
    },
    id::Name,
    protocol::answer::Refusal,
    state::resource::{Class, Policy},
    unit::{Rate, Span},
};

/// The reason of a refusal by a target that is draining.
pub const LEAVING: &str = "target is leaving";
/// The reason of a refusal by a target whose slots and queue are full.
pub const FULL: &str = "target is full";
/// The reason of a refusal by a target that got all requests that it takes by its own statement.
pub const AT_LIMIT: &str = "target is at its limit";

/// The concurrency limiter of one target. Clones share their state.
#[derive(Clone, Debug)]
pub struct SharedLimiter {
    inner: Arc<Mutex<Inner>>,
}

/// The concurrency limiters of all targets on one host, by service.
#[derive(Debug, Default)]
pub struct Limiters {
    limiters: Mutex<HashMap<Name, SharedLimiter>>,
}

impl Limiters {
    /// Returns the limiter of the target of `service`, set to the limits of
    /// `policy`.
    pub fn get(&self, service: &Name, policy: &Policy) -> SharedLimiter {
        let mut limiters = self.limiters.lock();
        let limiter = limiters
            .entry(service.clone())
            .or_insert_with(|| SharedLimiter::new(policy));
        limiter.resize(policy);
        limiter.clone()
    }

    /// Refuses all requests that wait for the target of `service`, because it is draining.
    pub fn close(&self, service: &Name) {
        let limiter = self.limiters.lock().get(service).cloned();
        if let Some(limiter) = limiter {
            limiter.close();
        }
    }

    /// Refuses all requests that wait for any target.
    pub fn close_all(&self) {
        self.limiters.lock().values().for_each(SharedLimiter::close);
    }

    /// Returns the share of repeats, from 0 to 1, among the running requests of all
    /// targets.
    pub fn repeat_share(&self) -> f64 {
        let limiters = self.limiters.lock();
        let runs = limiters.values().map(|limiter| limiter.inner.lock().runs);
        runs.fold(Runs::default(), Runs::plus).repeat_share()
    }

    /// Returns the highest load of any target, as a percentage of its slots.
    pub fn load(&self) -> u32 {
        self.limiters
            .lock()
            .values()
            .map(SharedLimiter::load)
            .max()
            .unwrap_or(0)
    }
}

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    waiters: HashMap<Ticket, Waiter>,
    runs: Runs,
}

#[derive(Debug)]
struct Waiter {
    class: Class,
    grant: oneshot::Sender<Result<Permit, Refusal>>,
}

/// The right to run one request in a slot of a target. Dropping it releases the slot.
#[derive(Debug)]
pub struct Permit {
    limiter: SharedLimiter,
    class: Class,
    since: Instant,
    /// Whether the request is a repeat; `None` until it is sent to the target.
    is_repeat: Option<bool>,
}

/// A place in the queue. Dropping it cancels the wait, as when the caller disconnects.
struct QueuePlace<'a> {
    limiter: &'a SharedLimiter,
    ticket: Ticket,
}

impl SharedLimiter {
    /// Returns a limiter with the limits of `policy`.
    pub fn new(policy: &Policy) -> Self {
        let limiter = Limiter::new(policy.slots, policy.queue);
        Self {
            inner: Arc::new(Mutex::new(Inner {
                limiter,
                waiters: HashMap::new(),
                runs: Runs::default(),
            })),
        }
    }

    /// Sets the limits to those of `policy`.
    pub fn resize(&self, policy: &Policy) {
        self.inner.lock().limiter.resize(policy.slots, policy.queue);
    }

    /// Sets the limit that the target states in its responses. Returns whether it stated
    /// another one before.
    pub fn set_limit(&self, limit: Option<Rate>) -> bool {
        let mut inner = self.inner.lock();
        let has_changed = inner.limiter.set_limit(limit);
        inner.refuse_at_limit(Instant::now());
        has_changed
    }

    /// Returns the running and waiting requests as a percentage of the slots, or the used
    /// share of the target's limit if that is more.
    pub fn load(&self) -> u32 {
        let inner = self.inner.lock();
        inner
            .limiter
            .load()
            .max(inner.limiter.limit_usage(Instant::now()))
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> u32 {
        self.inner.lock().limiter.running_count()
    }

    /// Returns a permit to run a request of `class`, once a slot is free.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue is full, if no slot becomes free or is expected
    /// to become free before the deadline, or if the target starts draining. The
    /// request has not run.
    pub async fn acquire(&self, class: Class, deadline: Instant) -> Result<Permit, Refusal> {
        let (ticket, granted) = match self.admit(class, deadline)? {
            Entry::Admitted(permit) => return Ok(permit),
            Entry::Queued(ticket, granted) => (ticket, granted),
        };
        let _place = QueuePlace {
            limiter: self,
            ticket,
        };
        match tokio::time::timeout_at(deadline.into(), granted).await {
            Ok(Ok(granted)) => granted,
            _ => Err(Refusal::not_run(
                "no room before the deadline",
                Span::from_secs(1),
            )),
        }
    }

    fn admit(&self, class: Class, deadline: Instant) -> Result<Entry, Refusal> {
        let mut inner = self.inner.lock();
        match inner.limiter.admit(class, deadline, Instant::now()) {
            Admission::Admitted => Ok(Entry::Admitted(self.permit(class))),
            Admission::Rejected(retry_after) => Err(Refusal::not_run(FULL, retry_after)),
            Admission::AtLimit(retry_after) => Err(Refusal::not_run(AT_LIMIT, retry_after)),
            Admission::Queued { ticket, evicted } => {
                if let Some(evicted) = evicted {
                    inner.refuse(evicted, FULL);
                }
                let (grant, granted) = oneshot::channel();
                inner.waiters.insert(ticket, Waiter { class, grant });
                Ok(Entry::Queued(ticket, granted))
            }
        }
    }

    /// Refuses all waiting requests, because the target is draining.
    pub fn close(&self) {
        let mut inner = self.inner.lock();
        for ticket in inner.limiter.drain() {
            inner.refuse(ticket, LEAVING);
        }
    }

    fn permit(&self, class: Class) -> Permit {
        Permit {
            limiter: self.clone(),
            class,
            since: Instant::now(),
            is_repeat: None,
        }
    }

    /// Sends permits to the waiters of `granted`. If a waiter is already gone, its
    /// permit is dropped, which releases the slot and grants it to the next waiter.
    fn send_permits(&self, granted: Vec<Ticket>) {
        for ticket in granted {
            let waiter = self.inner.lock().waiters.remove(&ticket);
            if let Some(Waiter { class, grant }) = waiter {
                // The lock is not held here: dropping an undelivered permit takes it.
                drop(grant.send(Ok(self.permit(class))));
            }
        }
    }
}

enum Entry {
    Admitted(Permit),
    Queued(Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

impl Inner {
    /// Refuses all waiting requests if the target is at its limit. Nothing would wake them when
    /// it takes requests again.
    fn refuse_at_limit(&mut self, now: Instant) {
        if self.limiter.is_at_limit(now) {
            for ticket in self.limiter.drain() {
                self.refuse(ticket, AT_LIMIT);
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: &str) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let refusal = Refusal::not_run(reason, Span::from_secs(1));
            // Sending fails if the waiter is gone; it needs no refusal then.
            let _ = waiter.grant.send(Err(refusal));
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut inner = self.limiter.inner.lock();
        inner.limiter.cancel(self.ticket);
        inner.waiters.remove(&self.ticket);
    }
}

impl Permit {
    /// Records that the request is being sent to the target, and whether it is a
    /// repeat.
    pub fn begin(&mut self, is_repeat: bool) {
        self.limiter.inner.lock().runs.start(is_repeat);
        self.is_repeat = Some(is_repeat);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let run_time: Duration = self.since.elapsed();
        let granted = {
            let mut inner = self.limiter.inner.lock();
            if let Some(is_repeat) = self.is_repeat {
                inner.runs.end(is_repeat);
            }
            let now = Instant::now();
            let granted = inner.limiter.release(self.class, run_time, now);
            inner.refuse_at_limit(now);
            granted
        };
        self.limiter.send_permits(granted);
    }
}
