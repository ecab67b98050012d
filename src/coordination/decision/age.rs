//! How long callers have been trying, by the time that they have left.
//!
//! A caller that was refused comes back with less time than it began with. Nobody says
//! how much that was, but first tries have the most, and with few retries each are a good
//! part of all requests of a route: the time that few requests of a route exceed is taken for what its callers
//! begin with.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::id::Name;

/// Requests of a route that are remembered: some tenths of a second of a busy one.
const KEPT: usize = 64;

/// Part of the requests that may have more time than is taken for the whole: callers
/// that wait longer than others.
const EXCEED: f64 = 0.15;

/// How often the whole is looked for anew, in requests.
const EVERY: usize = 8;

/// A difference that is no age, but rounding.
const SLACK: Duration = Duration::from_millis(2);

/// What callers of each route had left of late.
#[derive(Debug, Default)]
pub struct Ages {
    routes: HashMap<Name, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    left: VecDeque<Duration>,
    since: usize,
    whole: Duration,
}

impl Ages {
    /// Notes that a request of `route` came with `left` of its caller's time.
    ///
    /// Returns how long its caller has been trying.
    pub fn note(&mut self, route: &Name, left: Duration) -> Duration {
        let seen = self.routes.entry(route.clone()).or_default();
        seen.note(left);
        let age = seen.whole.saturating_sub(left);
        if age <= SLACK { Duration::ZERO } else { age }
    }

    /// Forgets routes that `known` does not know any more.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.routes.retain(|route, _| known(route));
    }
}

impl Seen {
    /// Notes what a caller had left, and looks for the whole anew every few requests.
    fn note(&mut self, left: Duration) {
        if self.left.len() == KEPT {
            self.left.pop_front();
        }
        self.left.push_back(left);
        self.since += 1;
        if self.since >= EVERY || self.left.len() < EVERY {
            self.since = 0;
            let mut sorted: Vec<_> = self.left.iter().copied().collect();
            let above = (sorted.len() as f64 * EXCEED) as usize;
            sorted.sort_unstable();
            self.whole = sorted[sorted.len() - 1 - above];
        }
    }
}
