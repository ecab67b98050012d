//! Who gets a slot of a target, who waits for one, and who is turned away.
//!
//! The load that it answers: more requests than slots, of callers with different
//! deadlines. All requests of a target pass one queue, so it knows what runs. It never
//! gives more than the slots, lets a few wait, and turns the rest away before the target
//! sees them. What can't end in time behind those that wait is turned away at once. No
//! slot stays free while something waits.
//!
//! The time comes in as an argument, and what waits is a value of the caller's: the
//! sender of a wake-up in [`gate`](crate::coordination::gate), a number in a replay.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    protocol::dialect::{Load, Pace},
    unit::Span,
};

/// Weight of the newest request in the mean of how long one takes.
const NEWEST: f64 = 0.1;

/// What a request is taken to last before the first one has ended, in seconds.
/// The stories of both meshes name 120 to 160 ms of work.
const FIRST_MEAN: f64 = 0.15;

/// Requests that wait, for each slot. Longer queues serve nobody in time: at
/// twice the slots the last waiter comes after two whole requests.
const QUEUE_PER_SLOT: usize = 2;

/// The shortest time after which a refused caller is asked to come back: a round trip
/// within a region and the turn of a slot.
pub const MIN_RETRY_AFTER: Span = Span::from_millis(10);

/// Runs over which callers are spread that will be late anyway, so that those who were
/// refused together do not come back together.
const SPREAD_RUNS: f64 = 2.0;

/// The part of its spare time that a request may wait: one over this. A run takes
/// longer than the mean as often as not, and a longer queue serves nobody more. Days of
/// high load were worth a hundredth less with the whole of it; a quarter measured the
/// same (docs/POLICY.md).
const WAITED: u32 = 2;

/// Slots for each late request that may wait: enough that none stays free.
const LATE_PER_SLOTS: usize = 4;

/// The slots of a target, and those that wait for one.
#[derive(Debug)]
pub struct Queue<W> {
    slots: u32,
    running: u32,
    /// In the order in which they are let in.
    waiting: BTreeMap<Place, W>,
    next: u64,
    mean: f64,
    pace: Pace,
}

/// What a request brings.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// When it should be answered; among equals in rank the earliest goes first.
    /// So the short calls that a target makes amid a request go before whole
    /// requests, and load does not turn into parents that wait for calls that wait
    /// for parents.
    pub due: Instant,
    /// How long it may wait for room at the most, by its caller's time.
    pub patience: Duration,
    /// How long such a request usually runs, where it came from.
    pub usual: Option<Duration>,
}

/// A place among those that wait, in the order in which they are let in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    priority: u8,
    /// Whether it can't be expected to end in time. Were the earliest due let in
    /// whatever came of it, slots would go to answers that are late anyway while
    /// fresh requests turn late behind them.
    is_late: bool,
    due: Instant,
    /// Tells equals apart.
    count: u64,
}

/// What becomes of a request that arrives.
#[derive(Debug)]
pub enum Entry<W> {
    /// It has a slot.
    Entered,
    /// It waits, for so long at the most.
    Waits {
        /// Where it waits.
        place: Place,
        /// How long it waits at the most.
        patience: Duration,
        /// Who is turned away for it.
        displaced: Option<W>,
    },
    /// It is turned away.
    Full,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            next: 0,
            mean: FIRST_MEAN,
            pace: Pace::default(),
        }
    }
}

impl<W> Queue<W> {
    /// Sets how many requests the target runs at a time. What
    /// [`grant`](Self::grant) gives may be more then.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Forgets how long requests took: another instance runs them now.
    pub fn forget_speed(&mut self) {
        self.mean = FIRST_MEAN;
        self.pace = Pace::default();
    }

    /// Returns how full the target is.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// Returns how long the target takes, over what is usual.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Notes how long a request ran that usually takes `usual`, where it came from.
    pub fn note_run(&mut self, took: Duration, usual: Duration) {
        self.pace = self.pace.towards(Pace::of(took, usual), NEWEST);
    }

    /// Decides on a request that arrives; `waiter` is kept if it waits.
    pub fn arrive(&mut self, arrival: &Arrival, waiter: W, now: Instant) -> Entry<W> {
        if self.has_room() && self.waiting.is_empty() {
            self.running += 1;
            return Entry::Entered;
        }
        let Some((place, patience)) = self.place(arrival, now) else {
            return Entry::Full;
        };
        let displaced = if self.waiting.len() < self.slots as usize * QUEUE_PER_SLOT {
            None
        } else {
            // The last one makes room for one that goes before it.
            match self.waiting.last_key_value() {
                Some((last, _)) if *last > place => self.waiting.pop_last(),
                _ => return Entry::Full,
            }
        };
        self.next += 1;
        self.waiting.insert(place, waiter);
        Entry::Waits {
            place,
            patience,
            displaced: displaced.map(|(_, waiter)| waiter),
        }
    }

    /// Returns whether a request that arrived now would be let in or wait.
    pub fn has_place(&self, arrival: &Arrival, now: Instant) -> bool {
        let is_free = self.has_room() && self.waiting.is_empty();
        is_free || self.place(arrival, now).is_some()
    }

    /// Lets the next one in, if there is room for it.
    pub fn grant(&mut self) -> Option<W> {
        if !self.has_room() {
            return None;
        }
        let (_, waiter) = self.waiting.pop_first()?;
        self.running += 1;
        Some(waiter)
    }

    /// Gives a slot back, after a run of this time if there was one.
    pub fn leave(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.mean += NEWEST * (took.as_secs_f64() - self.mean);
        }
    }

    /// Takes one that stopped waiting out; returns whether it still waited.
    pub fn give_up(&mut self, place: &Place) -> bool {
        self.waiting.remove(place).is_some()
    }

    /// Turns away all that wait.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Returns when a request that is turned away may return: once room is expected
    /// that still helps it, else spread over a few runs by `spread`, a number between 0
    /// and 1 drawn by chance.
    pub fn retry_after(&self, arrival: &Arrival, spread: f64, now: Instant) -> Span {
        let soon = self.turn() * (self.waiting.len() + 1) as u32;
        let later = match self.spare(arrival, now) {
            Some(spare) if spare > soon => soon,
            _ => soon + Duration::from_secs_f64(self.mean * SPREAD_RUNS * spread),
        };
        Span::of(later).max(MIN_RETRY_AFTER)
    }

    fn has_room(&self) -> bool {
        self.running < self.slots
    }

    /// Returns how long one in `place` will wait.
    fn wait(&self, place: &Place) -> Duration {
        let ahead = self.waiting.range(..place).count();
        self.turn() * (ahead + 1) as u32
    }

    /// Returns how long it takes until some slot is free, while all are taken.
    pub fn turn(&self) -> Duration {
        Duration::from_secs_f64(self.mean) / self.slots.max(1)
    }

    /// Returns how long a request may wait and still end in time, if at all.
    fn spare(&self, arrival: &Arrival, now: Instant) -> Option<Duration> {
        let run = match arrival.usual {
            Some(usual) => usual.mul_f64(self.pace.factor()),
            None => Duration::from_secs_f64(self.mean),
        };
        arrival.due.checked_duration_since(now + run)
    }

    /// Returns the place of a request that comes now, and how long it may wait there;
    /// none if it would wait in vain.
    fn place(&self, arrival: &Arrival, now: Instant) -> Option<(Place, Duration)> {
        let place = Place {
            priority: arrival.priority,
            is_late: false,
            due: arrival.due,
            count: self.next,
        };
        let spare = self.spare(arrival, now).unwrap_or_default();
        // A wait is for the runs of others, so its bounds are no shorter than those: the
        // queue is so many runs long, and a slot is free after a turn.
        let run = Duration::from_secs_f64(self.mean);
        let own = arrival.usual.unwrap_or(run);
        let longest = (own.max(run) * QUEUE_PER_SLOT as u32).min(arrival.patience);
        let patience = (spare / WAITED).min(longest);
        if self.wait(&place) <= patience {
            return Some((place, patience));
        }
        let place = Place {
            is_late: true,
            ..place
        };
        let places = (self.slots as usize / LATE_PER_SLOTS).max(1);
        let patience = own
            .clamp(self.turn() * places as u32, run)
            .min(arrival.patience);
        // Lower ranks are passed by. With them counted, requests whose objective is near
        // their run starved behind lower ranks: 10 pairs of kinds in 60 generated loads.
        let in_rank = self
            .waiting
            .keys()
            .take_while(|p| p.priority <= place.priority);
        let has_place = in_rank.count() < places && self.wait(&place) <= patience;
        has_place.then_some((place, patience))
    }
}
