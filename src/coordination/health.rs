//! Load and failures of each target as observed by this proxy, and outlier ejection.
//!
//! The proxy's own observations take precedence over the load that targets report.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::id::{Incarnation, Node};

/// The number of consecutive failures that ejects a target.
const FAILURES_TO_EJECT: u32 = 5;

/// The duration of the first ejection. The nth in a row lasts n times as long.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// The longest ejection, in multiples of the first.
const MAX_EJECTION_FACTOR: u32 = 6;

/// How long a target that reported that it is draining stays ejected.
const DRAINING_EJECTION: Duration = Duration::from_secs(10);

/// How long a new target gets less than its full share of requests.
const SLOW_START: Duration = Duration::from_secs(10);

/// The extra cost of a target that is new, as a percentage of its slots. It falls linearly
/// to 0 over the slow start.
const SLOW_START_COST: u32 = 60;

/// How long a reported load is used.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// The observed state of all targets, by their nodes.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashMap<Node, Target>,
}

#[derive(Debug)]
struct Target {
    incarnation: Incarnation,
    first_seen: Instant,
    /// Attempts of this proxy that have not ended.
    outstanding: u32,
    /// The load that the target reported last, and when.
    reported: Option<(u32, Instant)>,
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last answer, up to [`MAX_EJECTION_FACTOR`].
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The target answered; with the load that it reported, if any.
    Answered(Option<u32>),
    /// The target's proxy rejected the request because the target is full; with the
    /// reported load, if any.
    Shed(Option<u32>),
    /// The target is draining.
    Leaving,
    /// The attempt failed, or the target answered with a server error.
    Failed,
    /// The attempt ended without evidence about the target, as when the caller
    /// disconnects.
    Abandoned,
}

impl Health {
    /// Returns the state of the target beside `node`, reset if the node has a new
    /// incarnation.
    fn target(&mut self, node: &Node, incarnation: Incarnation, now: Instant) -> &mut Target {
        let new_target = || Target {
            incarnation,
            first_seen: now,
            outstanding: 0,
            reported: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
        let target = self.targets.entry(node.clone()).or_insert_with(new_target);
        if target.incarnation != incarnation {
            // Failures of an earlier incarnation do not count, and the new one goes
            // through slow start.
            *target = Target {
                outstanding: target.outstanding,
                ..new_target()
            };
        }
        target
    }

    /// Returns the cost of the target beside `node` as a percentage of `slots`, and
    /// whether it is ejected.
    pub fn assess(
        &mut self,
        node: &Node,
        incarnation: Incarnation,
        slots: u32,
        now: Instant,
    ) -> (u32, bool) {
        let target = self.target(node, incarnation, now);
        let own_load = target.outstanding * 100 / slots.max(1);
        let reported_load = match target.reported {
            Some((load, at)) if now - at < REPORT_LIFETIME => load,
            _ => 0,
        };
        let is_ejected = target.ejected_until.is_some_and(|until| now < until);
        (
            own_load.max(reported_load) + target.slow_start_cost(now),
            is_ejected,
        )
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, node: &Node, incarnation: Incarnation, now: Instant) {
        self.target(node, incarnation, now).outstanding += 1;
    }

    /// Records how an attempt ended. Returns whether its failure ejected the target.
    pub fn finish(&mut self, node: &Node, end: AttemptResult, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(node) else {
            return false;
        };
        target.outstanding = target.outstanding.saturating_sub(1);
        match end {
            AttemptResult::Answered(load) => {
                target.reported = load.map(|load| (load, now));
                target.failures = 0;
                target.ejections = 0;
                target.ejected_until = None;
                false
            }
            AttemptResult::Shed(load) => {
                // A target that sheds requests is full, even if it reports less load.
                target.reported = Some((load.unwrap_or(0).max(100), now));
                false
            }
            AttemptResult::Leaving => {
                target.ejected_until = Some(now + DRAINING_EJECTION);
                false
            }
            AttemptResult::Failed => target.record_failure(now),
            AttemptResult::Abandoned => false,
        }
    }

    /// Drops the targets of nodes for which `is_known` is false, unless attempts at them
    /// are outstanding.
    pub fn retain(&mut self, is_known: impl Fn(&Node) -> bool) {
        self.targets
            .retain(|node, target| target.outstanding > 0 || is_known(node));
    }
}

impl Target {
    fn slow_start_cost(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.first_seen);
        let left = SLOW_START.saturating_sub(age);
        (u128::from(SLOW_START_COST) * left.as_millis() / SLOW_START.as_millis()) as u32
    }

    /// Counts a failure. Returns whether it ejected the target.
    fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let was_ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.failures < FAILURES_TO_EJECT || was_ejected {
            return false;
        }
        self.ejections = (self.ejections + 1).min(MAX_EJECTION_FACTOR);
        self.ejected_until = Some(now + BASE_EJECTION * self.ejections);
        // After the ejection, a single failure ejects the target again.
        self.failures = FAILURES_TO_EJECT - 1;
        true
    }
}
