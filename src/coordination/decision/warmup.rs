//! The pace of requests to a target that warms up.
//!
//! It handles targets that crash if they get more than a few requests a second at first: those
//! of a release, of a failure domain that returns, or any that announce a warm-up again while
//! they run. The node beside a target sees all of its requests, so its count is the one that
//! matters: within any second, it passes on no more than the target tolerates and rejects the
//! others before the target sees them. While it isn't known whether the target warms up, it
//! counts as if it did.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::unit::Rate;

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What is known of a target's warm-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Warmup {
    /// The requests per second that the target tolerates.
    pub rate: Rate,
    /// When it ends; `None` if that isn't known.
    pub until: Option<Instant>,
}

/// Paces the requests to a target while it warms up.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::{coordination::decision::warmup::{Pace, Warmup}, unit::Rate};
///
/// let now = Instant::now();
/// let rate = Rate::from_per_second(2.0).unwrap();
/// let mut pace = Pace::default();
/// pace.set(Some(Warmup { rate, until: Some(now + Duration::from_secs(3)) }));
/// pace.record(now);
/// pace.record(now);
/// assert_eq!(pace.wait(now), Some(Duration::from_secs(1)));
/// assert_eq!(pace.wait(now + Duration::from_secs(1)), None);
/// assert_eq!(pace.wait(now + Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct Pace {
    warmup: Option<Warmup>,
    /// When the latest requests were passed on, oldest first; no more than one window's.
    passed: VecDeque<Instant>,
}

impl Pace {
    /// Sets what is known of the warm-up; `None` if the target needs none.
    pub fn set(&mut self, warmup: Option<Warmup>) {
        self.warmup = warmup;
    }

    /// Records that a request is passed on.
    pub fn record(&mut self, now: Instant) {
        let Some(warmup) = self.warmup else { return };
        self.passed.push_back(now);
        while self.passed.len() > most(warmup.rate) {
            self.passed.pop_front();
        }
    }

    /// Returns how long it takes until a request may be passed on; `None` if one may be now.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let warmup = self.warming(now)?;
        let most = most(warmup.rate);
        // The request that is `most` requests back must have left the window.
        let first = self.passed.len().checked_sub(most)?;
        let free_at = *self.passed.get(first)? + WINDOW;
        free_at
            .checked_duration_since(now)
            .filter(|wait| !wait.is_zero())
    }

    /// Returns the used share of what may be passed on within a window; `None` if the target
    /// doesn't warm up.
    pub fn usage(&self, now: Instant) -> Option<f64> {
        let warmup = self.warming(now)?;
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < WINDOW;
        let recent = self.passed.iter().filter(is_recent).count();
        Some(recent as f64 / most(warmup.rate) as f64)
    }

    fn warming(&self, now: Instant) -> Option<Warmup> {
        let is_warming = |warmup: &Warmup| warmup.until.is_none_or(|until| now < until);
        self.warmup.filter(is_warming)
    }
}

/// Returns the requests that may be passed on within a window. At least one is, so that a
/// target is used at all.
fn most(rate: Rate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64()).floor().max(1.0) as usize
}
