//! The gate before the target on this host.
//!
//! Nobody but the node beside it reaches a target, so the gate knows all that
//! the target runs. It never gives it more than its slots, lets few wait, and
//! refuses the rest before the target sees them: such a refusal is always
//! "not run". No slot stays free while something waits.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    protocol::{
        answer::Refusal,
        dialect::{Load, Pace},
    },
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
const MIN_RETRY_AFTER: Span = Span::from_millis(10);

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

/// The gate. Cheap to clone; all clones are one gate.
#[derive(Clone)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

/// The target behind the gate, as it last announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its instance: one start of its process.
    pub instance: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: u32,
}

/// What a request brings to the gate.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// When it should be answered; among equals in rank the earliest goes first.
    /// So the short calls that a target makes amid a request go before whole
    /// requests, and load does not turn into parents that wait for calls that wait
    /// for parents.
    pub due: Instant,
    /// How long it may wait for room at the most.
    pub patience: Duration,
    /// How long such a request usually runs, where it came from.
    pub usual: Option<Duration>,
}

/// Leave to send one request to the target; ends when it is dropped.
pub struct Permit {
    gate: Gate,
    /// The target as it is now.
    pub target: Target,
    since: Instant,
}

#[derive(Default)]
struct State {
    target: Option<Target>,
    closed: bool,
    running: u32,
    /// Waiting requests in the order in which they are let in.
    waiting: BTreeMap<Place, oneshot::Sender<()>>,
    next: u64,
    mean: f64,
    pace: Pace,
}

/// A place in the queue, in the order in which requests are let in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    priority: u8,
    /// Whether it can't be expected to end in time. Were the earliest due let in
    /// whatever came of it, slots would go to answers that are late anyway while
    /// fresh requests turn late behind them.
    is_late: bool,
    due: Instant,
    /// Tells equals apart.
    count: u64,
}

/// Why a request may not enter now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bar {
    Closed,
    NoTarget,
}

impl Bar {
    fn refusal(self) -> Refusal {
        let reason = match self {
            Self::Closed => LEAVING,
            Self::NoTarget => NO_TARGET,
        };
        Refusal::not_run(reason, MIN_RETRY_AFTER)
    }
}

/// The reason of a refusal at a target that leaves.
pub const LEAVING: &str = "target is leaving";

/// The reason of a refusal where no target has announced itself.
pub const NO_TARGET: &str = "no target is here";

/// The reason of a refusal for want of room.
pub const FULL: &str = "target is full";

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

impl Gate {
    /// Returns a gate with no target behind it.
    pub fn new() -> Self {
        let state = State {
            mean: FIRST_MEAN,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Opens the gate to `target`, or notes what changed about it.
    pub fn open(&self, target: Target) {
        let mut state = self.state.lock();
        let is_other = state
            .target
            .as_ref()
            .is_some_and(|held| held.instance != target.instance);
        if is_other || state.target.is_none() {
            state.mean = FIRST_MEAN;
            state.pace = Pace::default();
        }
        state.target = Some(target);
        state.closed = false;
        state.grant();
    }

    /// Lets nothing more through; what waits is refused.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        // Dropping the senders ends the waits.
        state.waiting.clear();
    }

    /// Takes the target away: it fell silent or its connections are refused.
    pub fn vacate(&self) {
        let mut state = self.state.lock();
        state.target = None;
        state.waiting.clear();
    }

    /// Returns how full the target is.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        Load {
            running: state.running,
            waiting: state.waiting.len() as u32,
            slots: state.target.as_ref().map_or(0, |target| target.slots),
        }
    }

    /// Notes how long a request ran that usually takes `usual`, where it came from.
    pub fn note_run(&self, took: Duration, usual: Duration) {
        let mut state = self.state.lock();
        state.pace = state.pace.towards(Pace::of(took, usual), NEWEST);
    }

    /// Returns how long the target takes, over what is usual.
    pub fn pace(&self) -> Pace {
        self.state.lock().pace
    }

    /// Waits for leave to send one request to the target.
    ///
    /// # Errors
    ///
    /// The refusal, at once where no wait would help.
    pub async fn enter(&self, arrival: Arrival) -> Result<Permit, Refusal> {
        let ticket = {
            let mut state = self.state.lock();
            if let Some(bar) = state.bar() {
                return Err(bar.refusal());
            }
            if state.has_room() && state.waiting.is_empty() {
                state.running += 1;
                return Ok(self.permit(&state));
            }
            state.queue(arrival)?
        };
        let Ticket {
            place,
            patience,
            granted,
        } = ticket;
        // Whoever stops waiting, by time or because its caller left, takes its
        // place out of the queue, or gives back what was just granted.
        let mut waiter = Waiter {
            gate: self,
            place: Some(place),
        };
        let granted = tokio::time::timeout(patience, granted).await;
        match granted {
            Ok(Ok(())) => {
                waiter.place = None;
                let state = self.state.lock();
                if let Some(bar) = state.bar() {
                    drop(state);
                    self.leave(None);
                    return Err(bar.refusal());
                }
                Ok(self.permit(&state))
            }
            Ok(Err(_)) => {
                waiter.place = None;
                let state = self.state.lock();
                // The gate closed, or one that goes before it took its place.
                Err(state
                    .bar()
                    .map_or_else(|| state.full(&arrival), Bar::refusal))
            }
            Err(_) => Err(self.state.lock().full(&arrival)),
        }
    }

    fn permit(&self, state: &State) -> Permit {
        Permit {
            gate: self.clone(),
            target: state.target.clone().expect("checked by `bar`"),
            since: Instant::now(),
        }
    }

    fn leave(&self, took: Option<Duration>) {
        let mut state = self.state.lock();
        state.running = state.running.saturating_sub(1);
        if let Some(took) = took {
            state.mean += NEWEST * (took.as_secs_f64() - state.mean);
        }
        state.grant();
    }
}

struct Ticket {
    place: Place,
    patience: Duration,
    granted: oneshot::Receiver<()>,
}

struct Waiter<'a> {
    gate: &'a Gate,
    place: Option<Place>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(place) = self.place else { return };
        let waited = self.gate.state.lock().waiting.remove(&place).is_some();
        if !waited {
            // Granted in the same moment, or the queue was cleared.
            self.gate.leave(None);
        }
    }
}

impl State {
    fn bar(&self) -> Option<Bar> {
        if self.closed {
            Some(Bar::Closed)
        } else if self.target.is_none() {
            Some(Bar::NoTarget)
        } else {
            None
        }
    }

    fn slots(&self) -> u32 {
        self.target.as_ref().map_or(0, |target| target.slots)
    }

    fn has_room(&self) -> bool {
        self.running < self.slots()
    }

    /// Returns how long one in `place` will wait.
    fn wait(&self, place: &Place) -> Duration {
        let ahead = self.waiting.range(..place).count();
        self.turn() * (ahead + 1) as u32
    }

    /// Returns how long it takes until some slot is free.
    fn turn(&self) -> Duration {
        Duration::from_secs_f64(self.mean) / self.slots().max(1)
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
        let patience = (spare / WAITED).min(arrival.patience);
        if self.wait(&place) <= patience {
            return Some((place, patience));
        }
        let place = Place {
            is_late: true,
            ..place
        };
        let is_short = self.waiting.len() < (self.slots() as usize / LATE_PER_SLOTS).max(1);
        let patience = Duration::from_secs_f64(self.mean).min(arrival.patience);
        (is_short && self.wait(&place) <= patience).then_some((place, patience))
    }

    fn full(&self, arrival: &Arrival) -> Refusal {
        let now = Instant::now();
        let soon = self.turn() * (self.waiting.len() + 1) as u32;
        let later = match self.spare(arrival, now) {
            Some(spare) if spare > soon => soon,
            _ => soon + Duration::from_secs_f64(self.mean * SPREAD_RUNS * fastrand::f64()),
        };
        Refusal::not_run(FULL, Span::of(later).max(MIN_RETRY_AFTER))
    }

    fn queue(&mut self, arrival: Arrival) -> Result<Ticket, Refusal> {
        let Some((place, patience)) = self.place(&arrival, Instant::now()) else {
            return Err(self.full(&arrival));
        };
        self.next += 1;
        if self.waiting.len() >= self.slots() as usize * QUEUE_PER_SLOT {
            // The last one makes room for one that goes before it.
            match self.waiting.last_key_value() {
                Some((last, _)) if *last > place => self.waiting.pop_last(),
                _ => return Err(self.full(&arrival)),
            };
        }
        let (grant, granted) = oneshot::channel();
        self.waiting.insert(place, grant);
        Ok(Ticket {
            place,
            patience,
            granted,
        })
    }

    /// Lets in what there is room for.
    fn grant(&mut self) {
        while !self.closed && self.has_room() {
            let Some((_, waiter)) = self.waiting.pop_first() else {
                return;
            };
            // One that has just stopped waiting is passed over.
            if waiter.send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.leave(Some(self.since.elapsed()));
    }
}
