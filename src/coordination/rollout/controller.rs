//! Advances the roll-outs that operators ordered, at each node that reads the store for its
//! failure domain.
//!
//! Several nodes may do so at once. The status that operators read is written by
//! compare-and-set: only if the store's log of statuses still ends where it did when it was
//! read, and never after a final status of the same order. So there is exactly one final
//! status, even if nodes crash, are partitioned or write late. A final stage is published to
//! nodes only after its status is in the store.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error,
        decision::rollout::judge::{self, Input, TargetCounts},
        host::Host,
        interface::{Store, Write},
        records,
        rollout::Tracked,
    },
    event::Event,
    id::Name,
    journal::note,
    protocol::{
        operator::{Progress, TrialTarget},
        rollout::{self, State},
    },
    state::{
        member::{Status, Table},
        rollout::{Rollout, Stage},
    },
    unit::Span,
};

/// The pause between two checks of the open roll-outs. It delays the rollback of a failing
/// release, which has to happen within 5 s, by at most this.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// How much longer each further failure domain waits before it writes. By then, what the
/// first one wrote is known everywhere, and the others need not write it, too.
const DOMAIN_DELAY: Duration = Duration::from_millis(500);

/// The maximum wait for a store that failed, before the next call to it.
const STORE_WAIT: Duration = Duration::from_millis(400);

/// The maximum number of attempts to write a status before the next check. Concurrent writes
/// are at most one for each failure domain.
const MAX_ATTEMPTS: usize = 8;

/// Advances roll-outs while this node reads the store; never returns.
pub async fn run(host: Arc<Host>, store: Store) {
    host.streams.until_membership_settled().await;
    let mut reading = host.streams.reading();
    let mut due = DueStages::default();
    loop {
        // This can't fail: `host` owns the sender.
        let _ = reading.wait_for(|is_reader| *is_reader).await;
        for rollout in host.rollouts.due_for_republish() {
            if let Err(error) = publish(&host, &store, &rollout).await {
                log_store_error(&host, &error);
                host.streams.until_store_answers(STORE_WAIT).await;
                host.rollouts.republish(&rollout.service);
            }
        }
        let mut open = host.rollouts.tracked(Instant::now());
        open.retain(|tracked| !tracked.rollout.stage.is_final());
        if open.is_empty() {
            host.rollouts.changed.notified().await;
            continue;
        }
        for tracked in open {
            check(&host, &store, &mut due, &tracked).await;
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

/// The next stage of each service's roll-out: the id of the order, the stage, and the time
/// since which it is due.
type DueStages = BTreeMap<Name, (u64, Stage, Instant)>;

/// Advances a roll-out if its next stage has been due for the time that this node's failure
/// domain has to wait.
async fn check(host: &Arc<Host>, store: &Store, due: &mut DueStages, tracked: &Tracked) {
    let input = input(&host.members.read(), tracked);
    let Input { age, targets, .. } = input;
    let rollout = &tracked.rollout;
    let Some((stage, why)) = judge::next_stage(&input) else {
        return;
    };
    let now = Instant::now();
    let due = due
        .entry(rollout.service.clone())
        .or_insert((rollout.order, stage, now));
    if (due.0, due.1) != (rollout.order, stage) {
        *due = (rollout.order, stage, now);
    }
    if now - due.2 < DOMAIN_DELAY * domain_rank(host) {
        return;
    }
    match advance(host, store, rollout, stage).await {
        Ok(reached) => note!(
            host.journal,
            Event::RolloutMoved,
            service = rollout.service,
            order = rollout.order,
            to = rollout.to,
            stage = format_args!("{reached:?}"),
            why = why,
            age = age.as_millis(),
            new = targets.new,
            passing = targets.passing,
            failing = targets.failing,
            new_slots = targets.new_slots,
            old_slots = targets.old_slots,
        ),
        Err(error) => {
            log_store_error(host, &error);
            host.streams.until_store_answers(STORE_WAIT).await;
        }
    }
}

/// Logs that a call to the store failed.
fn log_store_error(host: &Host, error: &Error) {
    let why = crate::logging::chain(error);
    note!(
        host.journal,
        Event::LogDown,
        stream = "Rollouts",
        write = true,
        why = why
    );
}

/// Returns the rank of this node's failure domain: how many others write before it.
fn domain_rank(host: &Host) -> u32 {
    let members = host.members.read();
    let present = members.iter().filter(|member| member.is_present());
    let domains: std::collections::BTreeSet<&Name> = present.map(|m| &m.domain).collect();
    let rank = domains.into_iter().position(|d| *d == host.settings.domain);
    rank.unwrap_or(0) as u32
}

/// Brings a roll-out to a stage, or to the final stage that the store already has for its
/// order; returns that stage.
async fn advance(
    host: &Arc<Host>,
    store: &Store,
    rollout: &Rollout,
    stage: Stage,
) -> Result<Stage, Error> {
    let stage = match stage {
        Stage::Ordered | Stage::Moving => stage,
        Stage::Trial => write_status(host, store, rollout, State::Running).await?,
        Stage::Completed => write_status(host, store, rollout, State::Completed).await?,
        Stage::RolledBack => write_status(host, store, rollout, State::RolledBack).await?,
    };
    let from = || {
        let members = host.members.read();
        members
            .most_common_release(&rollout.service, Some(&rollout.to))
            .cloned()
    };
    let advanced = Rollout {
        from: rollout.from.clone().or_else(from),
        stage,
        ..rollout.clone()
    };
    publish(host, store, &advanced).await?;
    host.rollouts
        .merge(advanced, Duration::ZERO, Instant::now());
    Ok(stage)
}

/// Publishes the stage of a roll-out to all nodes, through the store.
async fn publish(host: &Host, store: &Store, rollout: &Rollout) -> Result<(), Error> {
    let record = rmp_serde::to_vec_named(rollout).expect("a roll-out always encodes");
    let started = Instant::now();
    let write = Write {
        key: records::rollout_key(&rollout.service),
        record: record.into(),
        obsolete: Vec::new(),
    };
    let put = (store.put)(write).await;
    host.note_store("put", &put, Some(started.elapsed()));
    put.map(drop)
}

/// Writes the status of an order for operators, unless the store has it already or has a
/// final one; returns the stage that belongs to the status then in the store.
async fn write_status(
    host: &Host,
    store: &Store,
    rollout: &Rollout,
    state: State,
) -> Result<Stage, Error> {
    for _ in 0..MAX_ATTEMPTS {
        let read = (store.read_status)(rollout.service.clone()).await;
        host.note_store("newest", &read, None);
        let latest = read?;
        let is_of_order = |status: &rollout::Status| {
            status.to == rollout.to && status.order == Some(rollout.order)
        };
        if let Some(stored) = latest.status.filter(is_of_order)
            && (stored.state != State::Running || state == State::Running)
        {
            return Ok(stage_of(stored.state));
        }
        let status = rollout::Status {
            service: rollout.service.clone(),
            to: rollout.to.clone(),
            order: Some(rollout.order),
            state,
        };
        let put = (store.write_status)(status, latest.end).await;
        host.note_store("put", &put, None);
        if put? {
            return Ok(stage_of(state));
        }
    }
    Err(Error::Unexpected(
        "the store (other nodes kept writing statuses)".into(),
    ))
}

/// Returns the stage that a status stands for.
const fn stage_of(state: State) -> Stage {
    match state {
        State::Running => Stage::Trial,
        State::Completed => Stage::Completed,
        State::RolledBack => Stage::RolledBack,
    }
}

/// Returns the progress of the latest roll-out of each service, for operators.
pub fn progress(host: &Host) -> Vec<Progress> {
    let now = Instant::now();
    let members = host.members.read();
    let progress = |tracked: Tracked| Progress {
        age_ms: Span::from_duration(tracked.age).as_millis(),
        waits_for: judge::waits_for(&input(&members, &tracked)).into(),
        decides: *host.streams.reading().borrow(),
        targets: new_targets(&members, &tracked.rollout),
        rollout: tracked.rollout,
    };
    host.rollouts
        .tracked(now)
        .into_iter()
        .map(progress)
        .collect()
}

/// Returns the nodes beside targets of the new release, with their verdicts.
fn new_targets(table: &Table, rollout: &Rollout) -> Vec<TrialTarget> {
    let offers = table.providers(&rollout.service).iter();
    let new = offers.filter_map(|member| {
        let target = member.target(&rollout.service)?;
        let is_new = target.release.as_ref() == Some(&rollout.to);
        is_new.then(|| TrialTarget {
            node: member.node.clone(),
            is_failing: target.is_failing(rollout.order),
        })
    });
    new.collect()
}

/// Returns the facts from which the next stage of a roll-out follows.
fn input(table: &Table, tracked: &Tracked) -> Input {
    Input {
        stage: tracked.rollout.stage,
        age: tracked.age,
        in_stage: tracked.in_stage,
        duration: tracked.rollout.duration.duration(),
        targets: count_targets(table, &tracked.rollout),
    }
}

/// Counts the targets of a roll-out's service.
fn count_targets(table: &Table, rollout: &Rollout) -> TargetCounts {
    let mut counts = TargetCounts::default();
    for member in table.providers(&rollout.service) {
        let Some(target) = member.target(&rollout.service) else {
            continue;
        };
        let is_available = member.status == Status::Alive && !target.draining;
        if target.release.as_ref() != Some(&rollout.to) {
            counts.old_slots += u32::from(is_available) * target.slots;
            continue;
        }
        let is_failing = target.is_failing(rollout.order);
        counts.failing += usize::from(is_failing == Some(true));
        counts.new += usize::from(is_available);
        counts.passing += usize::from(is_available && is_failing == Some(false));
        counts.new_slots += u32::from(is_available) * target.slots;
    }
    counts
}
