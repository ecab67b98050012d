//! Estimates how long callers have been trying, from the time that they have left.
//!
//! A caller that was rejected retries with less time than it began with. Requests don't carry
//! the initial time. But first attempts have the most time left, and where callers retry a few
//! times each, a good part of a route's requests are first attempts. So the time left that only
//! a few of a route's requests exceed is used as the initial time of its callers.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::id::Name;

/// Samples kept for each route. A busy route fills them in some tenths of a second.
const SAMPLES_PER_ROUTE: usize = 64;

/// Share of a route's requests that may have more time left than the estimated initial time.
/// These requests come from callers that wait longer than others.
const EXCEEDING_SHARE: f64 = 0.15;

/// Requests of a route after which its initial time is estimated anew.
const REQUESTS_PER_ESTIMATE: usize = 8;

/// Largest difference from the initial time that is treated as a rounding error: callers send
/// their time left in whole milliseconds.
const MAX_ROUNDING: Duration = Duration::from_millis(2);

/// Recent samples of the time that callers of each route had left.
#[derive(Debug, Default)]
pub struct Ages {
    routes: HashMap<Name, Samples>,
}

#[derive(Debug, Default)]
struct Samples {
    /// The times left, oldest first.
    left: VecDeque<Duration>,
    since_estimate: usize,
    /// The estimated initial time.
    initial: Duration,
}

impl Ages {
    /// Records that a request of `route` came with `left` of its caller's time.
    ///
    /// Returns the estimated time that its caller has been trying.
    pub fn note(&mut self, route: &Name, left: Duration) -> Duration {
        let samples = self.routes.entry(route.clone()).or_default();
        samples.add(left);
        let age = samples.initial.saturating_sub(left);
        if age <= MAX_ROUNDING {
            Duration::ZERO
        } else {
            age
        }
    }

    /// Forgets routes that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}

impl Samples {
    /// Adds a sample, and estimates the initial time anew every few samples.
    fn add(&mut self, left: Duration) {
        if self.left.len() == SAMPLES_PER_ROUTE {
            self.left.pop_front();
        }
        self.left.push_back(left);
        self.since_estimate += 1;
        if self.since_estimate >= REQUESTS_PER_ESTIMATE || self.left.len() < REQUESTS_PER_ESTIMATE {
            self.since_estimate = 0;
            let mut sorted: Vec<_> = self.left.iter().copied().collect();
            let exceeding = (sorted.len() as f64 * EXCEEDING_SHARE) as usize;
            sorted.sort_unstable();
            self.initial = sorted[sorted.len() - 1 - exceeding];
        }
    }
}
