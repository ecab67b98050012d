//! The slowness that a target states: how long work currently takes on its machine.
//!
//! It handles machines that are several times slower for about half a second at a time. A
//! slowdown that is averaged over runs follows such a change too late, so the latest statement is
//! kept apart from it, with its age. Senders and the node beside the target read it here.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{id::Name, protocol::dialect::Slowness};

/// The age up to which a stated slowness is valid: half of the 600 ms that a machine stays slow.
pub const MAX_AGE: Duration = Duration::from_millis(300);

/// The time for which a service counts as one whose targets state their slowness after one of
/// them did. It is long enough for a sender that seldom uses the service, and ends soon after
/// targets that don't state it have replaced the others.
const STATING_TIME: Duration = Duration::from_secs(60);

/// The latest slowness that a target stated, if it stated any.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::coordination::decision::slowness::{MAX_AGE, Stated};
///
/// let now = Instant::now();
/// let mut stated = Stated::default();
/// assert_eq!((stated.fresh(now), stated.factor(now)), (None, 1.0));
/// stated.record("250".parse()?, now);
/// assert_eq!(stated.factor(now), 2.5);
/// assert_eq!(stated.factor(now + MAX_AGE), 1.0);
/// # Ok::<(), rilltrack::protocol::dialect::SlownessError>(())
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Stated(Option<(Slowness, Instant)>);

impl Stated {
    /// Records what a target stated at `at`, unless a later statement is known.
    pub fn record(&mut self, slowness: Slowness, at: Instant) {
        if self.0.is_none_or(|(_, known_at)| known_at <= at) {
            self.0 = Some((slowness, at));
        }
    }

    /// Returns the slowness; `None` if none was stated within [`MAX_AGE`].
    pub fn fresh(&self, now: Instant) -> Option<Slowness> {
        let (slowness, _) = self.fresh_since(now)?;
        Some(slowness)
    }

    /// Returns the slowness and when it was stated; `None` if none was within [`MAX_AGE`].
    pub fn fresh_since(&self, now: Instant) -> Option<(Slowness, Instant)> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < MAX_AGE;
        self.0.filter(|(_, at)| is_fresh(*at))
    }

    /// Returns the ratio of the current run time to the usual one; 1 if it isn't known.
    pub fn factor(&self, now: Instant) -> f64 {
        self.fresh(now).map_or(1.0, Slowness::factor)
    }
}

/// The services whose targets state their slowness.
#[derive(Debug, Default)]
pub struct Services(HashMap<Name, Instant>);

impl Services {
    /// Records that a target of a service stated its slowness.
    pub fn record(&mut self, service: &Name, now: Instant) {
        match self.0.get_mut(service) {
            Some(at) => *at = now.max(*at),
            None => {
                self.0.retain(|_, at| is_stating(*at, now));
                self.0.insert(service.clone(), now);
            }
        }
    }

    /// Returns whether a target of any service stated its slowness lately.
    pub fn any(&self, now: Instant) -> bool {
        self.0.values().any(|at| is_stating(*at, now))
    }

    /// Returns whether a target of the service stated its slowness lately.
    pub fn contains(&self, service: &Name, now: Instant) -> bool {
        self.0.get(service).is_some_and(|at| is_stating(*at, now))
    }
}

fn is_stating(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STATING_TIME
}
