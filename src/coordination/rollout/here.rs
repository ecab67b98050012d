//! What roll-outs mean for the target on this host.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::{
    coordination::{host::Host, rollout::Answer},
    event::Event,
    journal::note,
    state::rollout::{Rollout, Standing},
    unit::Span,
};

/// Takes in what became of orders for roll-outs.
pub fn take(host: &Host, rollouts: Vec<Rollout>, from: &str) {
    let now = Instant::now();
    for told in rollouts {
        // A node that has been there has heard of the order when it was given; one that
        // starts has but the time of day, which may be wrong by seconds.
        let age = match host.is_settled() {
            true => Duration::ZERO,
            false => since(told.began).min(told.duration.duration()),
        };
        if host.rollouts.take(told.clone(), age, now) {
            note!(
                host.journal,
                Event::RolloutHeard,
                service = told.service,
                order = told.order,
                to = told.to,
                stage = format_args!("{:?}", told.stage),
                age = age.as_millis(),
                from = from,
            );
        }
    }
}

/// Returns what the target here may be sent, by its release.
pub fn standing(host: &Host) -> Standing {
    let local = host.local.lock();
    let members = host.members.read();
    let target = local.target();
    target.map_or(Standing::Serves, |target| {
        host.rollouts.standing(target, &members)
    })
}

/// Weighs an answer of the target here, where its release is on trial.
pub fn weigh(host: &Host, answer: &Answer<'_>, usual: f64) {
    let mut local = host.local.lock();
    let weighed = local
        .target()
        .and_then(|target| host.rollouts.weigh(target, answer, usual));
    let Some((verdict, (answers, bad))) = weighed else {
        return;
    };
    local.judge(verdict);
    drop(local);
    host.changed.notify_one();
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

/// Returns the time of day in milliseconds since 1970; 0 of a clock that stands before that.
pub fn time_of_day() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| Span::of(since).as_millis())
}

/// Returns how long ago a time of day was, in milliseconds since 1970.
fn since(moment: u64) -> Duration {
    Duration::from_millis(time_of_day().saturating_sub(moment))
}
