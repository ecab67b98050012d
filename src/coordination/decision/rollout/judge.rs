//! The next stage of a roll-out, from the verdicts of the nodes beside targets of the new
//! release.
//!
//! A release gets all requests only when the roll-out's deadline requires it. A release that
//! turns bad late then still has a small share.

use std::time::Duration;

use crate::state::rollout::Stage;

/// How long before the roll-out's deadline a release that passed its trial gets all requests. A
/// new stage reaches all nodes within 0.5 s, and requests that are still running at targets of
/// the serving release end within another 1.5 s. They have to, since those targets are stopped
/// as soon as the roll-out is completed.
const FULL_TRAFFIC_LEAD: Duration = Duration::from_millis(3000);

/// How long before its deadline a roll-out is completed or rolled back. Covers twice the time
/// of a call to a store that is slowed down from its usual 4 ms to 60 times that, and the error
/// of the wall clock at a node that has just restarted.
const FINISH_LEAD: Duration = Duration::from_millis(900);

/// The shortest time for which the new release has all requests before the roll-out is
/// completed, so that targets of the serving release run no requests any more.
const MIN_FULL_TRAFFIC: Duration = Duration::from_millis(1500);

/// [`FULL_TRAFFIC_LEAD`] and [`FINISH_LEAD`] are each at most the roll-out's duration divided
/// by this.
const LEAD_DIVISOR: u32 = 4;

/// The number of failing targets that rolls a release back. One target may fail for a reason
/// other than its release.
const MIN_FAILING_TARGETS: usize = 2;

/// While the new release has all requests, it is rolled back only if the number of its failing
/// targets is at least that of its targets divided by this, and [`MIN_FAILING_TARGETS`]. Among
/// dozens of targets, a few are slow for reasons other than their release.
const FAILING_DIVISOR: usize = 8;

/// The least ratio of the slots of the new release's targets to those of the serving release's
/// targets. With fewer, the service would reject requests that it serves now.
const MIN_SLOT_RATIO: f64 = 0.6;

/// Counts of the targets of a roll-out's service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCounts {
    /// Targets of the new release that are alive and not draining.
    pub new: usize,
    /// Those of them that passed their trial.
    pub passing: usize,
    /// Failing targets of the new release, also those that are not counted in `new`.
    pub failing: usize,
    /// The slots of the targets counted in `new`.
    pub new_slots: u32,
    /// The slots of the other targets that are alive and not draining.
    pub old_slots: u32,
}

/// The facts about a roll-out from which its next stage follows.
#[derive(Clone, Copy, Debug)]
pub struct Input {
    /// The current stage.
    pub stage: Stage,
    /// The time since the order was given.
    pub age: Duration,
    /// The time since this node learned of the current stage.
    pub in_stage: Duration,
    /// How long the order allows the roll-out to take.
    pub duration: Duration,
    /// The targets of the roll-out's service.
    pub targets: TargetCounts,
}

/// Returns a text for operators that states what the roll-out waits for.
pub fn waits_for(input: &Input) -> &'static str {
    let TargetCounts {
        passing, failing, ..
    } = input.targets;
    match input.stage {
        Stage::Completed | Stage::RolledBack => "nothing: it has ended",
        Stage::Ordered => "a node that reads the store",
        Stage::Moving => "the end of what runs at the old targets",
        Stage::Trial if failing > 0 => "more evidence: a target of it fails",
        Stage::Trial if passing > 0 => "the end of its time, should it turn bad late",
        Stage::Trial => "enough answers of its targets",
    }
}

/// Returns the next stage of a roll-out and the reason for it, or `None` if the roll-out has
/// ended or stays in its stage for now.
pub fn next_stage(input: &Input) -> Option<(Stage, &'static str)> {
    let Input { targets, .. } = input;
    let is_within = |lead: Duration| {
        let lead = lead.min(input.duration / LEAD_DIVISOR);
        input.age + lead >= input.duration
    };
    match input.stage {
        Stage::Ordered => Some((Stage::Trial, "it was ordered")),
        Stage::Trial => {
            if targets.failing >= MIN_FAILING_TARGETS {
                return Some((Stage::RolledBack, "targets fail on trial"));
            }
            let has_passed = targets.passing > targets.failing;
            let has_room =
                f64::from(targets.new_slots) >= MIN_SLOT_RATIO * f64::from(targets.old_slots);
            if has_passed && has_room && is_within(FULL_TRAFFIC_LEAD) {
                return Some((Stage::Moving, "it did well on trial"));
            }
            let why = match has_passed {
                true => "its targets have no room for all requests",
                false => "it was not shown to do well in time",
            };
            is_within(FINISH_LEAD).then_some((Stage::RolledBack, why))
        }
        Stage::Moving => {
            if targets.failing >= MIN_FAILING_TARGETS.max(targets.new / FAILING_DIVISOR) {
                let why = "targets fail under all requests";
                return Some((Stage::RolledBack, why));
            }
            let is_due = is_within(FINISH_LEAD) && input.in_stage >= MIN_FULL_TRAFFIC;
            is_due.then_some((Stage::Completed, "it does well with all requests"))
        }
        Stage::Completed | Stage::RolledBack => None,
    }
}
