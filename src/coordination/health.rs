//! What this proxy has seen of each target: load, failures, how long it is
//! known. Its own observations go before what targets claim.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::id::{Incarnation, Node};

/// Failures in a row after which a target is passed over.
const FAILURES: u32 = 5;

/// How long the first ejection lasts; each further one lasts longer.
const EJECTION: Duration = Duration::from_secs(5);

/// The longest ejection, in multiples of the first.
const MAX_EJECTIONS: u32 = 6;

/// How long a target that said it is leaving is passed over.
const LEAVING: Duration = Duration::from_secs(10);

/// How long a fresh target is spared its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// The extra cost of a target just come, in hundredths of its slots; falls to
/// nothing over the slow start.
const COLD_COST: u32 = 60;

/// How long a reported load is believed.
const LOAD_LIFE: Duration = Duration::from_secs(2);

/// What is known of all targets.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashMap<Node, Target>,
}

#[derive(Debug)]
struct Target {
    incarnation: Incarnation,
    first_seen: Instant,
    outstanding: u32,
    reported: Option<(u32, Instant)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The target answered, and reported this load if it did.
    Answered(Option<u32>),
    /// The target's proxy refused it for want of room.
    Shed(Option<u32>),
    /// The target is leaving.
    Leaving,
    /// It failed, or answered with a fault of its own.
    Failed,
    /// The caller went away, which says nothing of the target.
    Abandoned,
}

impl Health {
    fn target(&mut self, node: &Node, incarnation: Incarnation, now: Instant) -> &mut Target {
        let fresh = || Target {
            incarnation,
            first_seen: now,
            outstanding: 0,
            reported: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
        let target = self.targets.entry(node.clone()).or_insert_with(fresh);
        if target.incarnation != incarnation {
            // Another life of the process: old sins are forgiven, and the
            // target is cold again.
            *target = Target {
                outstanding: target.outstanding,
                ..fresh()
            };
        }
        target
    }

    /// Returns the cost of `node` in hundredths of `slots`, and whether it is
    /// ejected.
    pub fn look(
        &mut self,
        node: &Node,
        incarnation: Incarnation,
        slots: u32,
        now: Instant,
    ) -> (u32, bool) {
        let target = self.target(node, incarnation, now);
        let own = target.outstanding * 100 / slots.max(1);
        let reported = match target.reported {
            Some((load, at)) if now - at < LOAD_LIFE => load,
            _ => 0,
        };
        let ejected = target.ejected_until.is_some_and(|until| now < until);
        (own.max(reported) + target.cold_cost(now), ejected)
    }

    /// Notes that an attempt starts.
    pub fn start(&mut self, node: &Node, incarnation: Incarnation, now: Instant) {
        self.target(node, incarnation, now).outstanding += 1;
    }

    /// Notes how an attempt ended; returns whether that ejected the target.
    pub fn finish(&mut self, node: &Node, end: End, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(node) else {
            return false;
        };
        target.outstanding = target.outstanding.saturating_sub(1);
        match end {
            End::Answered(load) => {
                target.reported = load.map(|load| (load, now));
                target.failures = 0;
                target.ejections = 0;
                target.ejected_until = None;
                false
            }
            End::Shed(load) => {
                // It sheds, so it is full, whatever it says.
                target.reported = Some((load.unwrap_or(0).max(100), now));
                false
            }
            End::Leaving => {
                target.ejected_until = Some(now + LEAVING);
                false
            }
            End::Failed => target.fail(now),
            End::Abandoned => false,
        }
    }

    /// Forgets targets of nodes that `known` does not know any more.
    pub fn retain(&mut self, known: impl Fn(&Node) -> bool) {
        self.targets
            .retain(|node, target| target.outstanding > 0 || known(node));
    }
}

impl Target {
    fn cold_cost(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.first_seen);
        let left = SLOW_START.saturating_sub(age);
        (u128::from(COLD_COST) * left.as_millis() / SLOW_START.as_millis()) as u32
    }

    fn fail(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let was_ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.failures < FAILURES || was_ejected {
            return false;
        }
        self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
        self.ejected_until = Some(now + EJECTION * self.ejections);
        // One more failure after its return ejects it again at once.
        self.failures = FAILURES - 1;
        true
    }
}
