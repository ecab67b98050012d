//! The gate before the target on this host.
//!
//! Nobody but the node beside it reaches a target, so the gate knows all that
//! the target runs. A refusal of the gate is always "not run". Who enters is decided in
//! [`queue`](crate::coordination::decision::queue); here waiting tasks are woken.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::oneshot;

pub use crate::coordination::decision::queue::Arrival;
use crate::{
    coordination::decision::{
        queue::{Entry, MIN_RETRY_AFTER, Place, Queue},
        runs::Runs,
    },
    id::Instance,
    protocol::{
        answer::Refusal,
        dialect::{Load, Pace},
    },
};

/// The gate. Cheap to clone; all clones are one gate.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

/// The target behind the gate, as it last announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The life of its process.
    pub instance: Instance,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: u32,
}

/// Leave to send one request to the target; ends when it is dropped.
pub struct Permit {
    gate: Gate,
    /// The target as it is now.
    pub target: Target,
    since: Instant,
    /// Whether the run is a repeat, once it has begun.
    is_again: Option<bool>,
}

#[derive(Default)]
struct State {
    target: Option<Target>,
    closed: bool,
    /// What waits is woken with the sender; dropped, it turns its task away.
    queue: Queue<oneshot::Sender<()>>,
    runs: Runs,
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

/// Returns the refusal of a request for which no target is here.
pub fn no_target() -> Refusal {
    Bar::NoTarget.refusal()
}

impl Gate {
    /// Returns a gate with no target behind it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens the gate to `target`, or notes what changed about it.
    pub fn open(&self, target: Target) {
        let mut state = self.state.lock();
        let held = state.target.as_ref();
        // Nothing of an earlier life's pace is believed of this one.
        if held.is_none_or(|held| held.instance != target.instance) {
            state.queue.forget_speed();
        }
        state.queue.set_slots(target.slots);
        state.target = Some(target);
        state.closed = false;
        state.grant();
    }

    /// Lets nothing more through; what waits is refused.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        state.queue.clear();
    }

    /// Takes the target away: it fell silent or its connections are refused.
    pub fn vacate(&self) {
        let mut state = self.state.lock();
        state.target = None;
        state.queue.set_slots(0);
        state.queue.clear();
    }

    /// Returns how full the target is.
    pub fn load(&self) -> Load {
        self.state.lock().queue.load()
    }

    /// Returns how long it takes until some slot is free, while all are taken.
    pub fn turn(&self) -> Duration {
        self.state.lock().queue.turn()
    }

    /// Notes how long a request ran that usually takes `usual`, where it came from.
    pub fn note_run(&self, took: Duration, usual: Duration) {
        self.state.lock().queue.note_run(took, usual);
    }

    /// Returns how long the target takes, over what is usual.
    pub fn pace(&self) -> Pace {
        self.state.lock().queue.pace()
    }

    /// Returns the part of the runs under way that are repeats.
    pub fn repeats(&self) -> f64 {
        self.state.lock().runs.repeats()
    }

    /// Waits for leave to send one request to the target.
    ///
    /// # Errors
    ///
    /// The refusal, at once where no wait would help.
    pub async fn enter(&self, arrival: Arrival) -> Result<Permit, Refusal> {
        let (grant, mut granted) = oneshot::channel();
        let (place, patience) = {
            let mut state = self.state.lock();
            if let Some(bar) = state.bar() {
                return Err(bar.refusal());
            }
            match state.queue.arrive(&arrival, grant, Instant::now()) {
                Entry::Entered => return Ok(self.permit(&state)),
                Entry::Full => return Err(state.full(&arrival)),
                Entry::Waits {
                    place, patience, ..
                } => (place, patience),
            }
        };
        // Whoever stops waiting, by time or because its caller left, takes its
        // place out of the queue, or gives back what was just granted.
        let mut waiter = Waiter {
            gate: self,
            place: Some(place),
            granted: &mut granted,
        };
        match tokio::time::timeout(patience, &mut *waiter.granted).await {
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

    /// Returns at once whether a request could enter or wait here now: before its body is
    /// sent for, which must not come in vain.
    ///
    /// # Errors
    ///
    /// The refusal that it would get.
    pub fn check(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let state = self.state.lock();
        if let Some(bar) = state.bar() {
            return Err(bar.refusal());
        }
        match state.queue.has_place(arrival, Instant::now()) {
            true => Ok(()),
            false => Err(state.full(arrival)),
        }
    }

    fn permit(&self, state: &State) -> Permit {
        Permit {
            gate: self.clone(),
            target: state.target.clone().expect("checked by `bar`"),
            since: Instant::now(),
            is_again: None,
        }
    }

    fn leave(&self, took: Option<Duration>) {
        let mut state = self.state.lock();
        state.queue.leave(took);
        state.grant();
    }
}

struct Waiter<'a> {
    gate: &'a Gate,
    place: Option<Place>,
    granted: &'a mut oneshot::Receiver<()>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(place) = self.place else { return };
        let waited = self.gate.state.lock().queue.give_up(&place);
        // Else it was granted in the same moment, or turned away and had no slot.
        if !waited && self.granted.try_recv().is_ok() {
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

    fn full(&self, arrival: &Arrival) -> Refusal {
        let again = self
            .queue
            .retry_after(arrival, fastrand::f64(), Instant::now());
        Refusal::not_run(FULL, again)
    }

    /// Wakes those that have room now.
    fn grant(&mut self) {
        while !self.closed {
            let Some(waiter) = self.queue.grant() else {
                return;
            };
            // One that has just stopped waiting is passed over.
            if waiter.send(()).is_err() {
                self.queue.leave(None);
            }
        }
    }
}

impl Permit {
    /// Notes that the request goes to the target now, and whether one has seen it before.
    pub fn begin(&mut self, is_again: bool) {
        self.gate.state.lock().runs.start(is_again);
        self.is_again = Some(is_again);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(is_again) = self.is_again {
            self.gate.state.lock().runs.end(is_again);
        }
        self.gate.leave(Some(self.since.elapsed()));
    }
}
