//! What a target is given to do, and what waits or is refused.
//!
//! The gate is a plain state machine without clock or locks: the caller hands
//! it the time, and it says what to do. Requests that can't be started before
//! their deadline are refused when they come, not when it is too late: the
//! caller is told at once, and when to come back.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{state::resource::Class, unit::Span};

/// The weight of the newest request in the mean service time.
const NEWEST: f64 = 0.1;

/// Every so many grants it is the turn of bulk or normal requests, alternately,
/// so that they are never starved.
const FAIR_EVERY: u32 = 8;

/// The number of classes.
const CLASSES: usize = 3;

/// A waiting request.
pub type Ticket = u64;

/// The gate before one target.
#[derive(Debug)]
pub struct Gate {
    slots: u32,
    queue: u32,
    running: [u32; CLASSES],
    waiting: [VecDeque<Waiter>; CLASSES],
    next: Ticket,
    /// Requests started since the last turn, while others waited.
    since_turn: u32,
    bulk_turn: bool,
    mean: f64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// What becomes of a request that comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It runs now.
    Run,
    /// It waits; the evicted one, if any, is refused in its favour.
    Wait {
        /// Names it until it is granted.
        ticket: Ticket,
        /// A request of a lower class that gives up its place.
        evicted: Option<Ticket>,
    },
    /// It is refused; worth trying again after the span.
    Refuse(Span),
}

impl Gate {
    /// Returns a gate for a target with `slots`, before which `queue` may
    /// wait.
    pub fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots: slots.max(1),
            queue,
            running: [0; CLASSES],
            waiting: Default::default(),
            next: 0,
            since_turn: 0,
            bulk_turn: true,
            mean: 0.0,
        }
    }

    /// Takes new limits; what runs and waits goes on.
    pub fn resize(&mut self, slots: u32, queue: u32) {
        self.slots = slots.max(1);
        self.queue = queue;
    }

    /// Decides on a request that comes at `now`.
    pub fn arrive(&mut self, class: Class, deadline: Instant, now: Instant) -> Arrival {
        // Nothing waits beside a free slot.
        if self.has_slot() {
            self.running[class as usize] += 1;
            return Arrival::Run;
        }
        let wait = self.expected_wait(class);
        if now + wait >= deadline {
            return Arrival::Refuse(retry_after(wait));
        }
        let mut evicted = None;
        if !self.has_place(class) {
            evicted = self.evict_below(class);
            if evicted.is_none() {
                return Arrival::Refuse(retry_after(wait));
            }
        }
        let ticket = self.next;
        self.next += 1;
        self.waiting[class as usize].push_back(Waiter { ticket, deadline });
        Arrival::Wait { ticket, evicted }
    }

    /// Notes that a running request ended after `took`; returns those that
    /// now run.
    pub fn finish(&mut self, class: Class, took: Duration, now: Instant) -> Vec<Ticket> {
        let running = &mut self.running[class as usize];
        *running = running.saturating_sub(1);
        let seconds = took.as_secs_f64();
        self.mean = if self.mean == 0.0 {
            seconds
        } else {
            self.mean + NEWEST * (seconds - self.mean)
        };
        self.grant(now)
    }

    /// Starts what may run; returns it.
    pub fn grant(&mut self, now: Instant) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while let Some(class) = self.next_class() {
            let Some(waiter) = self.waiting[class as usize].pop_front() else {
                break;
            };
            if waiter.deadline <= now {
                // Its own timer refuses it.
                continue;
            }
            self.running[class as usize] += 1;
            granted.push(waiter.ticket);
        }
        granted
    }

    /// Takes a request that gave up out of the queue; returns whether it was
    /// still there.
    pub fn give_up(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting_count();
        self.waiting
            .iter_mut()
            .for_each(|queue| queue.retain(|w| w.ticket != ticket));
        self.waiting_count() < before
    }

    /// Takes all waiting requests out; the target is leaving.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.waiting
            .iter_mut()
            .flat_map(|queue| queue.drain(..))
            .map(|w| w.ticket)
            .collect()
    }

    /// Returns requests running and waiting over slots, in hundredths.
    pub fn load(&self) -> u32 {
        (self.running_count() + self.waiting_count()) * 100 / self.slots
    }

    /// Returns the number of requests running.
    pub fn running_count(&self) -> u32 {
        self.running.iter().sum()
    }

    fn waiting_count(&self) -> u32 {
        self.waiting.iter().map(|queue| queue.len() as u32).sum()
    }

    /// Returns whether a request of `class` may wait. Beside the queue each class
    /// has a place of its own: its turn is worth nothing if the others fill the
    /// queue each time it comes.
    fn has_place(&self, class: Class) -> bool {
        let own_place = self.queue > 0 && self.waiting[class as usize].is_empty();
        own_place || self.waiting_count() < self.queue
    }

    /// Returns whether a slot is free. Any class may take it: class decides who goes
    /// first, not who stays out. A slot that is kept for one class idles while others
    /// wait, which near full load was a tenth of what the target could do
    /// (docs/CAPACITY.md).
    fn has_slot(&self) -> bool {
        self.running_count() < self.slots
    }

    /// Returns the class whose next waiter starts now.
    fn next_class(&mut self) -> Option<Class> {
        let turn = self.since_turn + 1 >= FAIR_EVERY;
        let order = match (turn, self.bulk_turn) {
            (false, _) => [Class::Critical, Class::Normal, Class::Bulk],
            (true, true) => [Class::Bulk, Class::Normal, Class::Critical],
            (true, false) => [Class::Normal, Class::Bulk, Class::Critical],
        };
        let mut waits = order
            .into_iter()
            .filter(|class| !self.waiting[*class as usize].is_empty());
        let next = waits.next().filter(|_| self.has_slot())?;
        self.since_turn = if turn { 0 } else { self.since_turn + 1 };
        self.bulk_turn ^= turn;
        Some(next)
    }

    /// Returns how long a request of `class` that comes now will wait.
    fn expected_wait(&self, class: Class) -> Duration {
        let ahead: usize = self.waiting[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum();
        Duration::from_secs_f64((ahead + 1) as f64 * self.mean / f64::from(self.slots))
    }

    /// Takes the newest waiter of the lowest class out, but never the only one:
    /// the turn that a class gets now and then would find nobody.
    fn evict_below(&mut self, class: Class) -> Option<Ticket> {
        let mut below = (class as usize + 1..CLASSES).rev();
        let lower = below.find(|lower| self.waiting[*lower].len() > 1)?;
        self.waiting[lower].pop_back().map(|waiter| waiter.ticket)
    }
}

/// The shortest span a caller is told to stay away.
const MIN_RETRY_AFTER: Span = Span::from_millis(1000);

fn retry_after(wait: Duration) -> Span {
    Span::from_millis(wait.as_millis() as u64).max(MIN_RETRY_AFTER)
}
