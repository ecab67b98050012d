//! Admission of requests to one target: which run, wait or are rejected.
//!
//! [`Limiter`] is a state machine without a clock or locks: the caller passes in
//! the time and carries out what it returns. A request that cannot start before
//! its deadline is rejected on arrival rather than when the deadline passes, so
//! that its sender learns early of the rejection and of when to retry.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    coordination::decision::pace::{Bound, Pace},
    state::resource::Class,
    unit::{Rate, Span},
};

/// The weight of the newest run time in the moving average of run times.
const NEWEST_WEIGHT: f64 = 0.1;

/// Every 8th grant goes to a waiting bulk or normal request before critical ones.
/// The two classes alternate in this, so neither is starved.
const FAIR_GRANT_INTERVAL: u32 = 8;

/// The number of classes.
const CLASS_COUNT: usize = 3;

/// Identifies a waiting request.
pub type Ticket = u64;

/// A concurrency limiter with a bounded queue, for one target.
#[derive(Debug)]
pub struct Limiter {
    slots: u32,
    max_waiting: u32,
    running: [u32; CLASS_COUNT],
    waiting: [VecDeque<Waiter>; CLASS_COUNT],
    next_ticket: Ticket,
    /// Waiting requests started since the last fair grant.
    grants_since_fair: u32,
    /// Whether bulk goes before normal at the next fair grant.
    is_bulk_next: bool,
    /// The moving average of run times, in seconds; 0 before the first run ends.
    mean_run_secs: f64,
    /// The limit that the target states in its responses.
    limit: Option<Rate>,
    pace: Pace,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// The decision on a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request runs now.
    Admitted,
    /// The request waits for a slot.
    Queued {
        /// Identifies the request while it waits.
        ticket: Ticket,
        /// A waiting request of a lower class that lost its place to this one and
        /// is to be rejected.
        evicted: Option<Ticket>,
    },
    /// The request is rejected and may be retried after the span.
    Rejected(Span),
    /// The request is rejected because the target got all requests that it takes by its own
    /// statement. It may be retried after the span.
    AtLimit(Span),
}

impl Limiter {
    /// Returns a limiter for a target with `slots` concurrent requests, for which
    /// `queue` more may wait.
    pub fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots: slots.max(1),
            max_waiting: queue,
            running: [0; CLASS_COUNT],
            waiting: Default::default(),
            next_ticket: 0,
            grants_since_fair: 0,
            is_bulk_next: true,
            mean_run_secs: 0.0,
            limit: None,
            pace: Pace::default(),
        }
    }

    /// Sets new limits. Requests that already run or wait are not affected.
    pub fn resize(&mut self, slots: u32, queue: u32) {
        self.slots = slots.max(1);
        self.max_waiting = queue;
    }

    /// Sets the limit that the target states in its responses; `None` if it states none.
    /// Returns whether it stated another one before.
    pub fn set_limit(&mut self, limit: Option<Rate>) -> bool {
        self.pace.set(limit.map(Bound::limit));
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Decides on a request that arrives at `now`.
    pub fn admit(&mut self, class: Class, deadline: Instant, now: Instant) -> Admission {
        if let Some(wait) = self.pace.wait(now) {
            return Admission::AtLimit(retry_after(wait));
        }
        // A free slot is used at once.
        if self.has_slot() {
            self.start(class, now);
            return Admission::Admitted;
        }
        let wait = self.expected_wait(class);
        if now + wait >= deadline {
            return Admission::Rejected(retry_after(wait));
        }
        let mut evicted = None;
        if !self.has_place(class) {
            evicted = self.evict_below(class);
            if evicted.is_none() {
                return Admission::Rejected(retry_after(wait));
            }
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting[class as usize].push_back(Waiter { ticket, deadline });
        Admission::Queued { ticket, evicted }
    }

    /// Releases the slot of a request that ran for `run_time`. Returns the waiting
    /// requests that now run.
    pub fn release(&mut self, class: Class, run_time: Duration, now: Instant) -> Vec<Ticket> {
        let running = &mut self.running[class as usize];
        *running = running.saturating_sub(1);
        let seconds = run_time.as_secs_f64();
        self.mean_run_secs = if self.mean_run_secs == 0.0 {
            seconds
        } else {
            self.mean_run_secs + NEWEST_WEIGHT * (seconds - self.mean_run_secs)
        };
        self.admit_next(now)
    }

    /// Starts waiting requests while slots are free, and returns them. While the target is at
    /// its limit none starts, whatever slots are free.
    pub fn admit_next(&mut self, now: Instant) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while !self.is_at_limit(now)
            && let Some(class) = self.next_class()
        {
            let Some(waiter) = self.waiting[class as usize].pop_front() else {
                break;
            };
            if waiter.deadline <= now {
                // The waiter's own timeout rejects it.
                continue;
            }
            self.start(class, now);
            granted.push(waiter.ticket);
        }
        granted
    }

    /// Returns whether the target got all requests that it takes by its own statement.
    pub fn is_at_limit(&self, now: Instant) -> bool {
        self.pace.wait(now).is_some()
    }

    fn start(&mut self, class: Class, now: Instant) {
        self.running[class as usize] += 1;
        self.pace.record(now);
    }

    /// Removes a request from the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting_count();
        self.waiting
            .iter_mut()
            .for_each(|queue| queue.retain(|w| w.ticket != ticket));
        self.waiting_count() < before
    }

    /// Removes and returns all waiting requests, as when the target is draining.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.waiting
            .iter_mut()
            .flat_map(|queue| queue.drain(..))
            .map(|w| w.ticket)
            .collect()
    }

    /// Returns the running and waiting requests as a percentage of the slots.
    pub fn load(&self) -> u32 {
        (self.running_count() + self.waiting_count()) * 100 / self.slots
    }

    /// Returns the used share of the target's limit at `now` as a percentage; 0 without one.
    pub fn limit_usage(&self, now: Instant) -> u32 {
        let usage = self.pace.usage(now).unwrap_or_default();
        (usage * 100.0) as u32
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> u32 {
        self.running.iter().sum()
    }

    fn waiting_count(&self) -> u32 {
        self.waiting.iter().map(|queue| queue.len() as u32).sum()
    }

    /// Returns whether a request of `class` may wait.
    ///
    /// Each class may have one waiter even if the queue is full. Otherwise a class
    /// could have no waiter at each of its fair grants, because the other classes
    /// fill the queue.
    fn has_place(&self, class: Class) -> bool {
        let is_first_of_class = self.max_waiting > 0 && self.waiting[class as usize].is_empty();
        is_first_of_class || self.waiting_count() < self.max_waiting
    }

    /// Returns whether a slot is free.
    ///
    /// Requests of any class may take it: classes decide the order of waiting
    /// requests, and none has reserved slots. A slot reserved for one class is idle
    /// while others wait, which near full load took a tenth of the target's capacity
    /// (docs/CAPACITY.md).
    fn has_slot(&self) -> bool {
        self.running_count() < self.slots
    }

    /// Returns the class whose oldest waiter starts next, if a slot is free.
    fn next_class(&mut self) -> Option<Class> {
        let is_fair = self.grants_since_fair + 1 >= FAIR_GRANT_INTERVAL;
        let order = match (is_fair, self.is_bulk_next) {
            (false, _) => [Class::Critical, Class::Normal, Class::Bulk],
            (true, true) => [Class::Bulk, Class::Normal, Class::Critical],
            (true, false) => [Class::Normal, Class::Bulk, Class::Critical],
        };
        let mut waiting = order
            .into_iter()
            .filter(|class| !self.waiting[*class as usize].is_empty());
        let next = waiting.next().filter(|_| self.has_slot())?;
        self.grants_since_fair = if is_fair {
            0
        } else {
            self.grants_since_fair + 1
        };
        self.is_bulk_next ^= is_fair;
        Some(next)
    }

    /// Returns the expected wait of a request of `class` that arrives now. Waiting
    /// requests of the same class and of higher ones go before it.
    fn expected_wait(&self, class: Class) -> Duration {
        let ahead: usize = self.waiting[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum();
        Duration::from_secs_f64((ahead + 1) as f64 * self.mean_run_secs / f64::from(self.slots))
    }

    /// Removes and returns the newest waiter of the lowest class below `class` that
    /// has more than one. The only waiter of a class stays, for its class's next fair
    /// grant.
    fn evict_below(&mut self, class: Class) -> Option<Ticket> {
        let mut below = (class as usize + 1..CLASS_COUNT).rev();
        let lower = below.find(|lower| self.waiting[*lower].len() > 1)?;
        self.waiting[lower].pop_back().map(|waiter| waiter.ticket)
    }
}

/// The shortest span after which a rejected request may be retried. The `retry-after`
/// header has whole seconds.
const MIN_RETRY_AFTER: Span = Span::from_millis(1000);

fn retry_after(wait: Duration) -> Span {
    Span::from_millis(wait.as_millis() as u64).max(MIN_RETRY_AFTER)
}
