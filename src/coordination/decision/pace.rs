//! The pace of requests to a target that takes only so many a second.
//!
//! It handles targets that crash if they get more than a few requests a second while they warm
//! up: those of a release, of a failure domain that returns, or any that announce a warm-up
//! again while they run. It also handles targets in need, which state in their responses how
//! many requests a second they take from all nodes together, while callers send several times
//! as many. The node beside a target sees all of its requests, so its count is the one that
//! matters: it passes on no more than the target takes and rejects the others before the target
//! sees them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::unit::Rate;

/// The window of a bound on whole requests.
const WINDOW: Duration = Duration::from_secs(1);

/// The longest window, in which one request is passed on whatever the limit. A target that
/// takes none would otherwise never get the chance to state that this has ended.
const MAX_WINDOW: Duration = Duration::from_secs(5);

/// How many requests may be passed on within any window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    most: usize,
    window: Duration,
    /// When it ends; `None` if it holds until another one is set.
    until: Option<Instant>,
}

impl Bound {
    /// Returns the bound for a target that warms up until a time: within any second, no more
    /// than the whole requests of `rate`, but at least one. A target of which it isn't known
    /// until when it warms up counts as if it did.
    pub fn warmup(rate: Rate, until: Option<Instant>) -> Self {
        Self {
            most: whole(rate),
            window: WINDOW,
            until,
        }
    }

    /// Returns the bound for a target that states a limit. On average it is `limit`, fractions
    /// included, but at least one request in five seconds.
    pub fn limit(limit: Rate) -> Self {
        let most = whole(limit);
        let seconds = most as f64 / limit.per_second();
        let window = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WINDOW);
        Self {
            most,
            window: window.min(MAX_WINDOW),
            until: None,
        }
    }
}

/// Paces the requests to a target.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::{coordination::decision::pace::{Bound, Pace}, unit::Rate};
///
/// let now = Instant::now();
/// let rate = Rate::from_per_second(2.0).unwrap();
/// let mut pace = Pace::default();
/// pace.set(Some(Bound::warmup(rate, Some(now + Duration::from_secs(3)))));
/// pace.record(now);
/// pace.record(now);
/// assert_eq!(pace.wait(now), Some(Duration::from_secs(1)));
/// assert_eq!(pace.wait(now + Duration::from_secs(1)), None);
/// assert_eq!(pace.wait(now + Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct Pace {
    bound: Option<Bound>,
    /// When the latest requests were passed on, oldest first; no more than one window's.
    passed: VecDeque<Instant>,
}

impl Pace {
    /// Sets the bound; `None` if there is none.
    pub fn set(&mut self, bound: Option<Bound>) {
        self.bound = bound;
    }

    /// Records that a request is passed on.
    pub fn record(&mut self, now: Instant) {
        let Some(bound) = self.bound else { return };
        self.passed.push_back(now);
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= bound.window;
        while self.passed.front().is_some_and(is_over) {
            self.passed.pop_front();
        }
    }

    /// Returns how long it takes until a request may be passed on; `None` if one may be now.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let bound = self.bound_at(now)?;
        // The request that is `most` requests back must have left the window.
        let first = self.passed.len().checked_sub(bound.most)?;
        let free_at = *self.passed.get(first)? + bound.window;
        free_at
            .checked_duration_since(now)
            .filter(|wait| !wait.is_zero())
    }

    /// Returns the used share of what may be passed on within a window; `None` without a
    /// bound.
    pub fn usage(&self, now: Instant) -> Option<f64> {
        let bound = self.bound_at(now)?;
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= bound.window;
        let recent = self.passed.len() - self.passed.partition_point(is_over);
        Some(recent as f64 / bound.most as f64)
    }

    fn bound_at(&self, now: Instant) -> Option<Bound> {
        let is_in_force = |bound: &Bound| bound.until.is_none_or(|until| now < until);
        self.bound.filter(is_in_force)
    }
}

/// Why a target takes no request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It warms up.
    Warmup,
    /// It states a limit.
    Limit,
}

/// The paces of a target: while it warms up, and by the limit that it states.
#[derive(Debug, Default)]
pub struct Paces {
    warmup: Pace,
    limit: Pace,
}

impl Paces {
    /// Sets the bound while the target warms up; `None` if it needs none.
    pub fn set_warmup(&mut self, bound: Option<Bound>) {
        self.warmup.set(bound);
    }

    /// Sets the limit that the target states; `None` if it states none.
    pub fn set_limit(&mut self, limit: Option<Rate>) {
        self.limit.set(limit.map(Bound::limit));
    }

    /// Records that a request is passed on.
    pub fn record(&mut self, now: Instant) {
        self.warmup.record(now);
        self.limit.record(now);
    }

    /// Returns how long it takes until a request may be passed on, and why; `None` if one may
    /// be now.
    pub fn wait(&self, now: Instant) -> Option<(Duration, Cause)> {
        let warmup = self.warmup.wait(now).map(|wait| (wait, Cause::Warmup));
        let limit = self.limit.wait(now).map(|wait| (wait, Cause::Limit));
        warmup
            .into_iter()
            .chain(limit)
            .max_by_key(|(wait, _)| *wait)
    }

    /// Returns the used share of what may be passed on within a window; 0 without a bound.
    pub fn usage(&self, now: Instant) -> f64 {
        let usages = [&self.warmup, &self.limit].map(|pace| pace.usage(now).unwrap_or_default());
        usages.into_iter().fold(0.0, f64::max)
    }
}

/// Returns the whole requests of a second. At least one is, so that a target is used at all.
fn whole(rate: Rate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64()).floor().max(1.0) as usize
}
