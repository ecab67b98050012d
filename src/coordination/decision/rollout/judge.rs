//! What becomes of an order, by what the nodes beside the new targets conclude.
//!
//! A release gets all requests only as late as the order's time forces it, so that one
//! which turns bad late does so while it has a small share.

use std::time::Duration;

use crate::state::rollout::Stage;

/// How long before the end of its time a release that did well on trial gets all requests:
/// what is told reaches all nodes within half a second, and what the old targets run then
/// ends within another 1.5 s, for they are ended without a pause once the order is
/// completed.
const MOVE: Duration = Duration::from_millis(3000);

/// How long before the end of its time an order is completed or taken back: twice what a
/// call to a store takes that is slowed to 60 times its usual 4 ms, and the time of day of a
/// node that started anew.
const END: Duration = Duration::from_millis(900);

/// How long the new release has all requests at the least before the order is completed, so
/// that nothing runs at the old targets any more.
const SETTLED: Duration = Duration::from_millis(1500);

/// The part of an order's time that [`MOVE`] and [`END`] take at the most.
const MOST_OF: u32 = 4;

/// Failing targets that take a release back: one may fail for a reason of its own.
const FAILING: usize = 2;

/// While a release has all requests, the part of its targets that has to fail for it to be
/// taken back, if that is more: among dozens a few are slow by themselves.
const FAILING_PART: usize = 8;

/// The slots that the new targets must have over those of the old ones: with fewer, the
/// service would turn away what it serves now.
const ROOM: f64 = 0.6;

/// What is known of an order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Targets of the new release that are there and do not drain.
    pub new: usize,
    /// Those of them that did well on trial.
    pub passing: usize,
    /// Those that are failing, also where they drain by now.
    pub failing: usize,
    /// The slots of the new targets.
    pub new_slots: u32,
    /// The slots of the targets that serve.
    pub old_slots: u32,
}

/// An order and how it stands.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// How far it has come.
    pub stage: Stage,
    /// How long ago it was given.
    pub age: Duration,
    /// How long it has been in its stage, as far as this node knows.
    pub in_stage: Duration,
    /// How long it may take.
    pub duration: Duration,
    /// What is known of the targets.
    pub count: Count,
}

/// Returns what the order waits for, in words.
pub fn waits_for(case: &Case) -> &'static str {
    let Count {
        passing, failing, ..
    } = case.count;
    match case.stage {
        Stage::Completed | Stage::RolledBack => "nothing: it has ended",
        Stage::Ordered => "a node that reads the store",
        Stage::Moving => "the end of what runs at the old targets",
        Stage::Trial if failing > 0 => "more evidence: a target of it fails",
        Stage::Trial if passing > 0 => "the end of its time, should it turn bad late",
        Stage::Trial => "enough answers of its targets",
    }
}

/// Returns the stage that follows now, and why; nothing while the order waits.
pub fn next(case: &Case) -> Option<(Stage, &'static str)> {
    let Case { count, .. } = case;
    let before_end = |span: Duration| {
        let span = span.min(case.duration / MOST_OF);
        case.age + span >= case.duration
    };
    match case.stage {
        Stage::Ordered => Some((Stage::Trial, "it was ordered")),
        Stage::Trial => {
            if count.failing >= FAILING {
                return Some((Stage::RolledBack, "targets fail on trial"));
            }
            let did_well = count.passing > count.failing;
            let has_room = f64::from(count.new_slots) >= ROOM * f64::from(count.old_slots);
            if did_well && has_room && before_end(MOVE) {
                return Some((Stage::Moving, "it did well on trial"));
            }
            let why = match did_well {
                true => "its targets have no room for all requests",
                false => "it was not shown to do well in time",
            };
            before_end(END).then_some((Stage::RolledBack, why))
        }
        Stage::Moving => {
            if count.failing >= FAILING.max(count.new / FAILING_PART) {
                return Some((Stage::RolledBack, "targets fail under all requests"));
            }
            let is_due = before_end(END) && case.in_stage >= SETTLED;
            is_due.then_some((Stage::Completed, "it does well with all requests"))
        }
        Stage::Completed | Stage::RolledBack => None,
    }
}
