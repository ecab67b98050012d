//! Receives roll-outs and applies them to this node's target.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::{
    coordination::{host::Host, rollout::Answer},
    event::Event,
    journal::note,
    state::rollout::{Role, Rollout},
    unit::Span,
};

/// Merges roll-outs that were received; `from` names their source in the log. Returns whether any
/// was new.
pub fn receive(host: &Host, rollouts: Vec<Rollout>, from: &str) -> bool {
    let now = Instant::now();
    let mut is_any_new = false;
    for rollout in rollouts {
        // A node that has been running learns of an order when it is given. A node that has
        // just started computes the age from the wall clock, which may be wrong by seconds.
        let age = match host.streams.is_membership_settled() {
            true => Duration::ZERO,
            false => elapsed_since(rollout.began).min(rollout.duration.duration()),
        };
        if host.rollouts.merge(rollout.clone(), age, now) {
            is_any_new = true;
            note!(
                host.journal,
                Event::RolloutHeard,
                service = rollout.service,
                order = rollout.order,
                to = rollout.to,
                stage = format_args!("{:?}", rollout.stage),
                age = age.as_millis(),
                from = from,
            );
        }
    }
    is_any_new
}

/// Returns which requests this node's target may get, by its release.
pub fn role(host: &Host) -> Role {
    let local = host.local.lock();
    let members = host.members.read();
    let target = local.target();
    target.map_or(Role::Serving, |target| host.rollouts.role(target, &members))
}

/// Counts a response of this node's target towards the trial of its release, if there is one.
/// `usual` is the share of bad responses that the request's sender sees of the serving release.
pub fn assess(host: &Host, answer: &Answer<'_>, usual: f64) {
    let mut local = host.local.lock();
    let changed = local
        .target()
        .and_then(|target| host.rollouts.assess(target, answer, usual));
    let Some((verdict, (answers, bad))) = changed else {
        return;
    };
    local.judge(verdict);
    drop(local);
    host.own_record_changed.notify_one();
    note!(
        host.journal,
        Event::TargetJudged,
        order = verdict.order,
        is_failing = verdict.is_failing,
        route = answer.route,
        usual = format_args!("{usual:.3}"),
        answers = answers,
        bad = bad,
    );
}

/// Returns the wall-clock time in milliseconds since 1970, or 0 if the clock is before that.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| Span::from_duration(elapsed).as_millis())
}

/// Returns the time that has passed since a wall-clock time in milliseconds since 1970.
fn elapsed_since(began_millis: u64) -> Duration {
    Duration::from_millis(unix_millis().saturating_sub(began_millis))
}
