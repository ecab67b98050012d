//! Admission queue of a target: which request gets a slot, waits for one, or is rejected.
//!
//! It handles loads of more requests than slots, from callers with different deadlines. All
//! requests of a target pass one queue, so it knows what the target runs. It never grants more
//! than the slots, lets a few requests wait, and rejects the others before the target sees
//! them. A request that can't end in time behind those that wait is rejected at once. No slot
//! stays free while a request waits.
//!
//! The time is an argument. A waiting request is represented by a value of type `W` that the
//! caller chooses: in [`gate`](crate::coordination::gate) the sender that wakes its task, in a
//! replayed load a number.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    coordination::decision::{
        pace::{Cause, Paces},
        slowness::Stated,
    },
    protocol::{
        dialect::{Load, Slowdown},
        load_report::{DUE_UNIT_MILLIS, MAX_DUE_UNITS, MAX_PRIORITIES, Queued, State},
    },
    state::priority::Priority,
    unit::Span,
};

/// Weight of the newest request in the moving averages of run time and slowdown.
const NEWEST_WEIGHT: f64 = 0.1;

/// Assumed run time before the first request has ended, in seconds. The user stories of both
/// meshes that use this system name 120 to 160 ms.
const INITIAL_MEAN: f64 = 0.15;

/// Requests that may wait, for each slot. Longer queues serve no further request in time: at
/// twice the slots, the last request waits for two whole runs.
const QUEUE_PER_SLOT: usize = 2;

/// Shortest time after which a rejected caller is asked to retry: a round trip within a
/// region and the turnover of a slot.
pub const MIN_RETRY_AFTER: Span = Span::from_millis(10);

/// Mean runs over which the retries of callers that will be late anyway are spread, so that
/// those that were rejected together don't retry together.
const RETRY_SPREAD_RUNS: f64 = 2.0;

/// Divisor of a request's slack that gives its maximum wait. The rest of the slack is kept
/// because a run takes longer than the mean as often as not, and because a longer queue
/// serves no more requests (docs/POLICY.md).
const SLACK_DIVISOR: u32 = 2;

/// Slots for each late request that may wait: one waiting request for four slots is enough to
/// keep all slots in use.
const SLOTS_PER_LATE: usize = 4;

/// Stated slowness above which requests are redirected. Below it a run takes less than half as
/// long again, which is within the spread of run times (standard deviations of 0.3 to 0.8 of the
/// mean), and a further round trip and a wait elsewhere would take up most of the gain.
const MIN_REDIRECT_FACTOR: f64 = 1.5;

/// The slots of a target, and the requests that wait for one.
#[derive(Debug)]
pub struct Queue<W> {
    slots: u32,
    running: u32,
    /// In the order in which they are admitted.
    waiting: BTreeMap<Place, W>,
    next_sequence: u64,
    /// The mean run time, in seconds.
    mean: f64,
    slowdown: Slowdown,
    /// How many requests the target takes in a second, whatever slots are free.
    pub paces: Paces,
    /// How slow the target is by its own statement.
    pub slowness: Stated,
}

/// The properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its priority; the highest goes first.
    pub priority: Priority,
    /// Its due time, by which it should be answered. Among requests of equal priority, the
    /// earliest goes first. So the short calls that a target makes during a request go before
    /// whole requests. Otherwise, under load, requests could hold all slots while the calls
    /// that they wait for queue behind other requests.
    pub due: Instant,
    /// Its maximum wait for a slot, limited by the time that its caller has left.
    pub max_wait: Duration,
    /// The usual run time of such a request, as observed by the node that sent it.
    pub usual_run_time: Option<Duration>,
    /// Whether its sender asks another node if this one refuses it because the target is slow.
    pub may_redirect: bool,
}

/// A position in the queue, in the order of admission.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    priority: Priority,
    /// Whether the request is expected to miss its due time. If due times alone decided, slots
    /// would go to requests that end late anyway, while new requests become late behind them.
    is_late: bool,
    due: Instant,
    /// Orders requests that are otherwise equal by arrival.
    sequence: u64,
}

/// The decision on a request that arrives.
#[derive(Debug)]
pub enum Admission<W> {
    /// It has a slot.
    Admitted,
    /// It waits for a slot.
    Queued {
        /// Its position.
        place: Place,
        /// Its maximum wait.
        max_wait: Duration,
        /// The waiting request that is rejected to make room for it.
        displaced: Option<W>,
    },
    /// It is rejected.
    Rejected,
    /// It is rejected because the target takes no request for this time.
    Paced(Duration, Cause),
    /// It is refused because it would be late here, where the target is slow now, and its sender
    /// asks another node.
    Redirected,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            next_sequence: 0,
            mean: INITIAL_MEAN,
            slowdown: Slowdown::default(),
            paces: Paces::default(),
            slowness: Stated::default(),
        }
    }
}

impl<W> Queue<W> {
    /// Sets how many requests the target runs at a time.
    ///
    /// With more slots than before, [`admit_next`](Self::admit_next) may admit waiting requests.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Resets the mean run time, the slowdown and the stated slowness, because another instance
    /// runs the requests from now on.
    pub fn reset_run_times(&mut self) {
        self.mean = INITIAL_MEAN;
        self.slowdown = Slowdown::default();
        self.slowness = Stated::default();
    }

    /// Returns the target's load. While requests to it are paced, its slots count as used as far
    /// as the requests of a window are, so that other nodes choose it less.
    pub fn load(&self, now: Instant) -> Load {
        let paced = (self.paces.usage(now) * f64::from(self.slots)).ceil() as u32;
        Load {
            running: self.running.max(paced),
            waiting: self.waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// Returns the target's slowdown, the ratio of run times to usual run times, apart from the
    /// slowness that it states.
    pub fn slowdown(&self) -> Slowdown {
        self.slowdown
    }

    /// Returns the target's load with what else decides whether it would admit a request, as it
    /// is reported to other nodes. The lowest priorities beyond [`MAX_PRIORITIES`] are left out.
    pub fn state(&self, now: Instant) -> State {
        let load = self.load(now);
        let mut queue: Vec<Queued> = Vec::new();
        for place in self.waiting.keys() {
            let priority = place.priority;
            if queue.last().is_none_or(|last| last.priority != priority) {
                if queue.len() == MAX_PRIORITIES {
                    break;
                }
                queue.push(Queued {
                    priority,
                    waiting: 0,
                    late: 0,
                    first_due: u16::MAX,
                    last_due: 0,
                });
            }
            let Some(queued) = queue.last_mut() else {
                break;
            };
            queued.waiting += 1;
            queued.late += u32::from(place.is_late);
            if !place.is_late {
                let due = place.due.saturating_duration_since(now).as_millis();
                let due = (due / u128::from(DUE_UNIT_MILLIS)).min(MAX_DUE_UNITS.into()) as u16;
                queued.first_due = queued.first_due.min(due);
                queued.last_due = queued.last_due.max(due);
            }
        }
        for queued in &mut queue {
            queued.first_due = queued.first_due.min(queued.last_due);
        }
        State {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            turnover_micros: self.slot_turnover().as_micros().max(1) as u32,
            slowdown: (self.slowdown.factor() * 100.0).round() as u16,
            queue,
            slowness: self
                .slowness
                .fresh(now)
                .map(|slowness| slowness.hundredths() as u16),
        }
    }

    /// Records the run time of a request that ends now and whose `usual` run time was observed
    /// by the node that sent it. What the stated slowness explains is no slowdown: it ends much
    /// sooner than a mean over runs would follow.
    pub fn record_run(&mut self, took: Duration, usual: Duration, now: Instant) {
        let usual = usual.mul_f64(self.slowness.factor(now));
        self.slowdown = self
            .slowdown
            .lerp(Slowdown::from_run(took, usual), NEWEST_WEIGHT);
    }

    /// Decides on a request that arrives; `waiter` is kept if the request waits.
    pub fn admit(&mut self, arrival: &Arrival, waiter: W, now: Instant) -> Admission<W> {
        if let Some((wait, cause)) = self.paces.wait(now) {
            return Admission::Paced(wait, cause);
        }
        if self.is_redirected(arrival, now) {
            return Admission::Redirected;
        }
        if self.has_free_slot() && self.waiting.is_empty() {
            self.start(now);
            return Admission::Admitted;
        }
        let Some((place, max_wait)) = self.place(arrival, now) else {
            return Admission::Rejected;
        };
        let displaced = if self.waiting.len() < self.slots as usize * QUEUE_PER_SLOT {
            None
        } else {
            // The last one makes room for a request that goes before it.
            match self.waiting.last_key_value() {
                Some((last, _)) if *last > place => self.waiting.pop_last(),
                _ => return Admission::Rejected,
            }
        };
        self.next_sequence += 1;
        self.waiting.insert(place, waiter);
        Admission::Queued {
            place,
            max_wait,
            displaced: displaced.map(|(_, waiter)| waiter),
        }
    }

    /// Returns whether a request that arrived now would get a slot, or could expect one within
    /// its maximum wait.
    ///
    /// This does not check whether the queue is full.
    pub fn may_admit(&self, arrival: &Arrival, now: Instant) -> bool {
        let is_free = self.has_free_slot() && self.waiting.is_empty();
        is_free || self.place(arrival, now).is_some()
    }

    /// Returns whether a request that arrived now would be refused only because the target is
    /// slow now: a slot is free or the request would wait for one, it would be late here and in
    /// time at usual slowness, and its sender asks another node.
    pub fn is_redirected(&self, arrival: &Arrival, now: Instant) -> bool {
        let (true, Some(usual)) = (arrival.may_redirect, arrival.usual_run_time) else {
            return false;
        };
        let factor = self.slowness.factor(now);
        if factor <= MIN_REDIRECT_FACTOR {
            return false;
        }
        let wait = if self.has_free_slot() && self.waiting.is_empty() {
            Duration::ZERO
        } else {
            match self.place(arrival, now) {
                Some((place, _)) => self.wait(&place),
                None => return false,
            }
        };
        let run = usual.mul_f64(self.slowdown.factor());
        let left = arrival.due.saturating_duration_since(now);
        wait + run <= left && wait + run.mul_f64(factor) > left
    }

    /// Admits the next waiting request, if a slot is free and the target takes a request now.
    pub fn admit_next(&mut self, now: Instant) -> Option<W> {
        if !self.has_free_slot() || self.paces.wait(now).is_some() {
            return None;
        }
        let (_, waiter) = self.waiting.pop_first()?;
        self.start(now);
        Some(waiter)
    }

    /// Rejects all waiting requests if the target takes none now, and returns their waiters.
    /// Such a time is longer than most requests may wait, and no run that ends would wake them.
    pub fn reject_paced(&mut self, now: Instant) -> Vec<W> {
        match self.paces.wait(now) {
            Some(_) => std::mem::take(&mut self.waiting).into_values().collect(),
            None => Vec::new(),
        }
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.paces.record(now);
    }

    /// Frees a slot, after a run of this time if there was one.
    pub fn release(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.mean += NEWEST_WEIGHT * (took.as_secs_f64() - self.mean);
        }
    }

    /// Removes a request that stopped waiting; returns whether it was still in the queue.
    pub fn cancel(&mut self, place: &Place) -> bool {
        self.waiting.remove(place).is_some()
    }

    /// Rejects all waiting requests by dropping their waiters.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Returns how long the caller of a rejected request should wait before it retries.
    ///
    /// That is until a slot is expected to be free, if the request can still end in time
    /// then. Otherwise up to `RETRY_SPREAD_RUNS` mean runs are added, in proportion to
    /// `spread`, a random number from 0 to 1.
    pub fn retry_after(&self, arrival: &Arrival, spread: f64, now: Instant) -> Span {
        let until_free = self.slot_turnover() * (self.waiting.len() + 1) as u32;
        let wait = match self.slack(arrival, now) {
            Some(slack) if slack > until_free => until_free,
            _ => until_free + Duration::from_secs_f64(self.mean * RETRY_SPREAD_RUNS * spread),
        };
        Span::from_duration(wait).max(MIN_RETRY_AFTER)
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Returns the expected wait of a request at `place`.
    fn wait(&self, place: &Place) -> Duration {
        let ahead = self.waiting.range(..place).count();
        self.slot_turnover() * (ahead + 1) as u32
    }

    /// Returns the slot turnover time: how long it takes until a slot is free, while all are
    /// in use.
    pub fn slot_turnover(&self) -> Duration {
        Duration::from_secs_f64(self.mean) / self.slots.max(1)
    }

    /// Returns the slack of a request: how long it may wait and still end in time. `None` if
    /// it can't.
    fn slack(&self, arrival: &Arrival, now: Instant) -> Option<Duration> {
        let run = match arrival.usual_run_time {
            Some(usual) => usual.mul_f64(self.slowdown.factor() * self.slowness.factor(now)),
            None => Duration::from_secs_f64(self.mean),
        };
        arrival.due.checked_duration_since(now + run)
    }

    /// Returns the place of a request that arrives now, and its maximum wait there; `None` if
    /// it is not expected to be admitted within that.
    fn place(&self, arrival: &Arrival, now: Instant) -> Option<(Place, Duration)> {
        let place = Place {
            priority: arrival.priority,
            is_late: false,
            due: arrival.due,
            sequence: self.next_sequence,
        };
        let slack = self.slack(arrival, now).unwrap_or_default();
        let mean_run = Duration::from_secs_f64(self.mean);
        let bounds = bounds(arrival, self.slots, mean_run, slack);
        let max_wait = bounds.max_wait;
        if self.wait(&place) <= max_wait {
            return Some((place, max_wait));
        }
        let place = Place {
            is_late: true,
            ..place
        };
        let max_wait = bounds.late_max_wait;
        // Waiting requests of lower priority are not counted. Counting them starved requests
        // whose objective is close to their run time behind requests of lower priority.
        let ahead = self
            .waiting
            .keys()
            .take_while(|p| p.priority <= place.priority);
        let has_place = ahead.count() < bounds.late_places && self.wait(&place) <= max_wait;
        has_place.then_some((place, max_wait))
    }
}

/// How long a request may wait at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Its maximum wait, if it is then expected to end by its due time.
    pub max_wait: Duration,
    /// Its maximum wait as a late request.
    pub late_max_wait: Duration,
    /// The waiting requests of its priority or a higher one with which the queue has no place
    /// for a late request.
    pub late_places: usize,
}

/// Returns the bounds on the wait of a request with this slack at a target with this many slots
/// and this mean run time.
///
/// A request waits for the runs of others, so the bounds on its wait are no shorter than those
/// take: a full queue takes `QUEUE_PER_SLOT` mean runs, and the next slot is free after one
/// turnover.
pub fn bounds(arrival: &Arrival, slots: u32, mean_run: Duration, slack: Duration) -> Bounds {
    let own_run = arrival.usual_run_time.unwrap_or(mean_run);
    let longest = (own_run.max(mean_run) * QUEUE_PER_SLOT as u32).min(arrival.max_wait);
    let late_places = (slots as usize / SLOTS_PER_LATE).max(1);
    let turnover = mean_run / slots.max(1);
    Bounds {
        max_wait: (slack / SLACK_DIVISOR).min(longest),
        late_max_wait: own_run
            .clamp(turnover * late_places as u32, mean_run)
            .min(arrival.max_wait),
        late_places,
    }
}
