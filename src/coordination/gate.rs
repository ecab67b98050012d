//! Admission to the target on this host.
//!
//! A target is reached only through the node beside it, so the gate knows all requests that the
//! target runs. A rejection by the gate is a [`Refusal`] that always has the outcome "not run".
//! The decision on admission is made in [`queue`](crate::coordination::decision::queue); the
//! gate wakes the tasks that wait.

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
        pace::{Bound, Cause},
        queue::{Admission, MIN_RETRY_AFTER, Place, Queue},
        runs::Runs,
    },
    id::Instance,
    protocol::{
        answer::Refusal,
        dialect::{Load, Slowdown, Slowness},
        hop::Limit,
        load_report,
        notice::Notice,
    },
    unit::{Rate, Span},
};

/// Admits requests to the target on this host. Cheap to clone; all clones share their state.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

/// The target behind the gate, from its latest announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The instance of its process.
    pub instance: Instance,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of requests that it runs at a time.
    pub slots: u32,
}

/// Permission to send one request to the target. Dropping it frees the slot.
pub struct Permit {
    gate: Gate,
    /// The target at the time of admission.
    pub target: Target,
    admitted_at: Instant,
    /// Whether the run is a repeat; `None` until it begins.
    is_repeat: Option<bool>,
}

#[derive(Default)]
struct State {
    target: Option<Target>,
    is_closed: bool,
    /// The senders wake waiting tasks. A task whose sender is dropped is rejected.
    queue: Queue<oneshot::Sender<()>>,
    runs: Runs,
    /// What is known of what the target states; `None` before it has stated anything.
    stated: Option<Stated>,
}

/// What an instance of the target states in its responses.
struct Stated {
    by: Instance,
    notice: Notice,
    /// Whether the target stated it here. Otherwise other nodes know it from earlier responses,
    /// while this node has started anew.
    is_heard: bool,
}

/// Why no request is admitted now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unavailable {
    Closed,
    NoTarget,
}

impl Unavailable {
    fn refusal(self) -> Refusal {
        let reason = match self {
            Self::Closed => LEAVING,
            Self::NoTarget => NO_TARGET,
        };
        Refusal::not_run(reason, MIN_RETRY_AFTER)
    }
}

/// Reason of a rejection while the target or this node is leaving.
pub const LEAVING: &str = "target is leaving";

/// Reason of a rejection while the gate has no target.
pub const NO_TARGET: &str = "no target is here";

/// Reason of a rejection for lack of a free slot.
pub const FULL: &str = "target is full";

/// Reason of a rejection because a target that warms up got all requests that it tolerates.
pub const WARMING_UP: &str = "target is warming up";

/// Reason of a rejection because a target got all requests that it takes by its own statement.
pub const AT_LIMIT: &str = "target is at its limit";

/// Reason of a refusal because the target is slow, by its own statement, and the request would
/// be late here but not at another target. The sender asks another node.
pub const SLOW: &str = "target is slow now";

/// Returns the [`Refusal`] of a request that is rejected because the gate has no target.
pub fn no_target() -> Refusal {
    Unavailable::NoTarget.refusal()
}

impl Gate {
    /// Returns a gate without a target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens the gate to `target`, or updates the target's slots, address and instance.
    pub fn set_target(&self, target: Target) {
        let mut state = self.state.lock();
        let current = state.target.as_ref();
        // The run times of an earlier instance don't apply to this one.
        if current.is_none_or(|current| current.instance != target.instance) {
            state.queue.reset_run_times();
        }
        let is_by_another = |stated: &Stated| !stated.by.may_match(&target.instance);
        if state.stated.as_ref().is_some_and(is_by_another) {
            state.stated = None;
            state.queue.paces.set_limit(None);
        }
        state.queue.set_slots(target.slots);
        state.target = Some(target);
        state.is_closed = false;
        state.admit_next();
    }

    /// Sets the bound while the target warms up; `None` if it needs none.
    pub fn set_warmup(&self, warmup: Option<Bound>) {
        let mut state = self.state.lock();
        state.queue.paces.set_warmup(warmup);
        state.reject_paced();
    }

    /// Takes in what the target stated in a response, and keeps to its limit from now on.
    /// Returns whether it stated something else before, apart from its slowness, which changes
    /// many times a second.
    pub fn record_notice(&self, instance: &Instance, notice: Notice) -> bool {
        let mut state = self.state.lock();
        let current = state.target.as_ref();
        if current.is_none_or(|target| target.instance != *instance) {
            return false;
        }
        if let Some(slowness) = notice.slowness {
            state.queue.slowness.record(slowness, Instant::now());
        }
        let notice = Notice {
            slowness: None,
            ..notice
        };
        let has_changed = state.notice() != notice;
        state.set_stated(Stated {
            by: instance.clone(),
            notice,
            is_heard: true,
        });
        has_changed
    }

    /// Takes in the slowness that the target stated other than in response to a request.
    pub fn record_slowness(&self, instance: &Instance, slowness: Slowness) {
        let mut state = self.state.lock();
        let target = state.target.as_ref();
        if target.is_some_and(|target| target.instance == *instance) {
            state.queue.slowness.record(slowness, Instant::now());
        }
    }

    /// Returns the slowness that the target states, if it stated one lately.
    pub fn slowness(&self) -> Option<Slowness> {
        self.state.lock().queue.slowness.fresh(Instant::now())
    }

    /// Returns that slowness with the time when it was stated.
    pub fn stated_slowness(&self) -> Option<(Slowness, Instant)> {
        self.state.lock().queue.slowness.fresh_since(Instant::now())
    }

    /// Keeps to a limit that another node knows, until the target answers here.
    pub fn assume_limit(&self, limit: &Limit) {
        let mut state = self.state.lock();
        let Some(target) = &state.target else { return };
        let is_heard = state.stated.as_ref().is_some_and(|stated| stated.is_heard);
        if is_heard || !target.instance.may_match(&limit.instance) {
            return;
        }
        let known = state.notice().limit;
        let notice = Notice {
            limit: Some(known.map_or(limit.rate, |known| known.min(limit.rate))),
            ..Notice::default()
        };
        let by = target.instance.clone();
        state.set_stated(Stated {
            by,
            notice,
            is_heard: false,
        });
    }

    /// Returns the limit that the target states, if it states one.
    pub fn limit(&self) -> Option<Rate> {
        self.state.lock().notice().limit
    }

    /// Closes the gate: rejects waiting requests and all later ones.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        state.queue.clear();
    }

    /// Removes the target, which has stopped announcing itself or refuses connections.
    pub fn remove_target(&self) {
        let mut state = self.state.lock();
        state.target = None;
        state.queue.set_slots(0);
        state.queue.clear();
    }

    /// Returns the target's load. While requests to it are paced, its slots count as used as far
    /// as the requests of a window are, so that other nodes choose it less.
    pub fn load(&self) -> Load {
        self.state.lock().queue.load(Instant::now())
    }

    /// Returns the target's load as it is reported to other nodes; `None` if no request is
    /// admitted.
    pub fn state(&self) -> Option<load_report::State> {
        let state = self.state.lock();
        match state.unavailable() {
            Some(_) => None,
            None => Some(state.queue.state(Instant::now())),
        }
    }

    /// Returns the target's load, its slowness while one is stated, and the slot turnover time,
    /// all of the same moment.
    pub fn figures(&self) -> (Load, Option<Slowness>, Duration) {
        let now = Instant::now();
        let queue = &self.state.lock().queue;
        let slowness = queue.slowness.fresh(now);
        (queue.load(now), slowness, queue.slot_turnover())
    }

    /// Records the run time of a request whose `usual` run time was observed by the node that
    /// sent it.
    pub fn record_run(&self, took: Duration, usual: Duration) {
        let mut state = self.state.lock();
        state.queue.record_run(took, usual, Instant::now());
    }

    /// Returns the target's slowdown, the ratio of run times to usual run times.
    pub fn slowdown(&self) -> Slowdown {
        self.state.lock().queue.slowdown()
    }

    /// Returns the share of repeats among the requests that the target runs, from 0 to 1.
    pub fn repeat_share(&self) -> f64 {
        self.state.lock().runs.repeat_share()
    }

    /// Returns a permit to send one request to the target, after a wait for a slot if none is
    /// free.
    ///
    /// # Errors
    ///
    /// The rejection. It comes at once if the gate is closed, there is no target, or no slot is
    /// expected to be free in time.
    pub async fn acquire(&self, arrival: Arrival) -> Result<Permit, Refusal> {
        let (sender, mut receiver) = oneshot::channel();
        let (place, max_wait) = {
            let mut state = self.state.lock();
            if let Some(unavailable) = state.unavailable() {
                return Err(unavailable.refusal());
            }
            match state.queue.admit(&arrival, sender, Instant::now()) {
                Admission::Admitted => return Ok(self.permit(&state)),
                Admission::Rejected => return Err(state.reject_full(&arrival)),
                Admission::Redirected => return Err(slow_refusal()),
                Admission::Paced(wait, cause) => return Err(paced_refusal(wait, cause)),
                Admission::Queued {
                    place, max_wait, ..
                } => (place, max_wait),
            }
        };
        // If the wait ends by timeout, or because the caller went away and this future is
        // dropped, the waiter leaves the queue or frees the slot that it was just granted.
        let mut waiter = Waiter {
            gate: self,
            place: Some(place),
            receiver: &mut receiver,
        };
        match tokio::time::timeout(max_wait, &mut *waiter.receiver).await {
            Ok(Ok(())) => {
                waiter.place = None;
                let state = self.state.lock();
                if let Some(unavailable) = state.unavailable() {
                    drop(state);
                    self.release(None);
                    return Err(unavailable.refusal());
                }
                Ok(self.permit(&state))
            }
            Ok(Err(_)) => {
                waiter.place = None;
                let state = self.state.lock();
                // The gate closed, the target was removed or takes no request now, or a request
                // that goes before this one displaced it.
                if let Some(unavailable) = state.unavailable() {
                    return Err(unavailable.refusal());
                }
                state.check_pace(Instant::now())?;
                Err(state.reject_full(&arrival))
            }
            Err(_) => Err(self.state.lock().reject_full(&arrival)),
        }
    }

    /// Checks whether a request could be admitted or wait now. It is used before the body of
    /// the request is asked for, so that no body is sent for a request that is then rejected.
    ///
    /// # Errors
    ///
    /// The rejection that the request would get.
    pub fn check(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let state = self.state.lock();
        if let Some(unavailable) = state.unavailable() {
            return Err(unavailable.refusal());
        }
        let now = Instant::now();
        state.check_pace(now)?;
        if state.queue.is_redirected(arrival, now) {
            return Err(slow_refusal());
        }
        match state.queue.may_admit(arrival, now) {
            true => Ok(()),
            false => Err(state.reject_full(arrival)),
        }
    }

    fn permit(&self, state: &State) -> Permit {
        Permit {
            gate: self.clone(),
            target: state
                .target
                .clone()
                .expect("a permit is issued only while there is a target"),
            admitted_at: Instant::now(),
            is_repeat: None,
        }
    }

    fn release(&self, took: Option<Duration>) {
        let mut state = self.state.lock();
        state.queue.release(took);
        state.admit_next();
    }
}

/// Leaves the queue when it is dropped, unless the wait has ended.
struct Waiter<'a> {
    gate: &'a Gate,
    /// Its place in the queue; `None` once the wait has ended.
    place: Option<Place>,
    receiver: &'a mut oneshot::Receiver<()>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let Some(place) = self.place else { return };
        let was_waiting = self.gate.state.lock().queue.cancel(&place);
        // If it had left the queue already, it was either granted a slot, which is freed here,
        // or rejected, and holds none.
        if !was_waiting && self.receiver.try_recv().is_ok() {
            self.gate.release(None);
        }
    }
}

/// Returns the refusal of a request while the target takes none for a time.
fn paced_refusal(wait: Duration, cause: Cause) -> Refusal {
    let reason = match cause {
        Cause::Warmup => WARMING_UP,
        Cause::Limit => AT_LIMIT,
    };
    Refusal::not_run(reason, Span::from_duration(wait))
}

/// Returns the refusal of a request that is to be sent to another node. Its caller never gets
/// it, so the `Retry-After` has no effect.
fn slow_refusal() -> Refusal {
    Refusal::not_run(SLOW, MIN_RETRY_AFTER)
}

impl State {
    fn unavailable(&self) -> Option<Unavailable> {
        if self.is_closed {
            Some(Unavailable::Closed)
        } else if self.target.is_none() {
            Some(Unavailable::NoTarget)
        } else {
            None
        }
    }

    fn notice(&self) -> Notice {
        let stated = self.stated.as_ref();
        stated.map_or_else(Notice::default, |stated| stated.notice)
    }

    fn set_stated(&mut self, stated: Stated) {
        self.queue.paces.set_limit(stated.notice.limit);
        self.stated = Some(stated);
        self.reject_paced();
    }

    /// Checks whether the target takes one more request now.
    fn check_pace(&self, now: Instant) -> Result<(), Refusal> {
        match self.queue.paces.wait(now) {
            Some((wait, cause)) => Err(paced_refusal(wait, cause)),
            None => Ok(()),
        }
    }

    /// Rejects all waiting requests if the target takes none now, by dropping their senders.
    fn reject_paced(&mut self) {
        drop(self.queue.reject_paced(Instant::now()));
    }

    fn reject_full(&self, arrival: &Arrival) -> Refusal {
        let retry_after = self
            .queue
            .retry_after(arrival, fastrand::f64(), Instant::now());
        Refusal::not_run(FULL, retry_after)
    }

    /// Wakes the waiting tasks for which slots are free now.
    fn admit_next(&mut self) {
        let now = Instant::now();
        while !self.is_closed {
            let Some(waiter) = self.queue.admit_next(now) else {
                return self.reject_paced();
            };
            // The task has just stopped waiting, so the slot goes to the next one.
            if waiter.send(()).is_err() {
                self.queue.release(None);
            }
        }
    }
}

impl Permit {
    /// Records that the request is sent to the target now; `is_repeat` if a target has already
    /// seen it.
    pub fn start_run(&mut self, is_repeat: bool) {
        self.gate.state.lock().runs.start(is_repeat);
        self.is_repeat = Some(is_repeat);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(is_repeat) = self.is_repeat {
            self.gate.state.lock().runs.end(is_repeat);
        }
        self.gate.release(Some(self.admitted_at.elapsed()));
    }
}
