//! Carries orders out: at each node that reads the store for its failure domain.
//!
//! Any of them may, and several may at once. What an operator reads is written only if the
//! store's row of words is as it was when it was read, and never over a final word of the
//! same order: so there is one final word, whoever dies, is cut off or comes late. Nodes are
//! told a final stage only once its word stands.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error,
        decision::rollout::judge::{self, Case, Count},
        host::Host,
        link::Store,
        rollout::Known,
        source,
    },
    event::Event,
    id::Name,
    journal::note,
    protocol::{
        operator::{Progress, Tried},
        rollout::{State, Word},
    },
    state::{
        member::{Status, Table},
        rollout::{Rollout, Stage},
    },
    unit::Span,
};

/// The pause between looks at the roll-outs under way. A release that fails is taken back
/// as much later at the most, of the 5 s in which it must be.
const LOOK: Duration = Duration::from_millis(100);

/// How much longer each further failure domain waits before it acts: what the first one
/// writes is known everywhere by then, and the others need not write it, too.
const TURN: Duration = Duration::from_millis(500);

/// How long a store that failed is waited for before it is asked again.
const RELY: Duration = Duration::from_millis(400);

/// How often a word is tried before the next look: others write at the same time at most
/// once for each failure domain.
const TRIES: usize = 8;

/// Carries orders out while this node reads the store; never returns.
pub async fn keep(host: Arc<Host>, store: Store) {
    host.until_settled().await;
    let mut reading = host.reading();
    let mut wanted = Wanted::default();
    loop {
        // The host outlives its duties.
        let _ = reading.wait_for(|reads| *reads).await;
        for rollout in host.rollouts.overtaken() {
            if let Err(error) = tell(&host, &store, &rollout).await {
                note_down(&host, &error);
                host.until_store_answers(RELY).await;
                host.rollouts.retell(&rollout.service);
            }
        }
        let mut under_way = host.rollouts.known(Instant::now());
        under_way.retain(|known| !known.rollout.stage.is_final());
        if under_way.is_empty() {
            host.rollouts.changed.notified().await;
            continue;
        }
        for known in under_way {
            look(&host, &store, &mut wanted, &known).await;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Since when the next stage of each roll-out is due.
type Wanted = BTreeMap<Name, (u64, Stage, Instant)>;

async fn look(host: &Arc<Host>, store: &Store, wanted: &mut Wanted, known: &Known) {
    let case = case(&host.members.read(), known);
    let Case { age, count, .. } = case;
    let rollout = &known.rollout;
    let Some((stage, why)) = judge::next(&case) else {
        return;
    };
    let now = Instant::now();
    let due = wanted
        .entry(rollout.service.clone())
        .or_insert((rollout.order, stage, now));
    if (due.0, due.1) != (rollout.order, stage) {
        *due = (rollout.order, stage, now);
    }
    if now - due.2 < TURN * turn(host) {
        return;
    }
    match act(host, store, rollout, stage).await {
        Ok(reached) => note!(
            host.journal,
            Event::RolloutMoved,
            service = rollout.service,
            order = rollout.order,
            to = rollout.to,
            stage = format_args!("{reached:?}"),
            why = why,
            age = age.as_millis(),
            new = count.new,
            passing = count.passing,
            failing = count.failing,
            new_slots = count.new_slots,
            old_slots = count.old_slots,
        ),
        Err(error) => {
            note_down(host, &error);
            host.until_store_answers(RELY).await;
        }
    }
}

fn note_down(host: &Host, error: &Error) {
    let why = crate::logging::chain(error);
    note!(
        host.journal,
        Event::LogDown,
        stream = "Rollouts",
        write = true,
        why = why
    );
}

/// Returns how many failure domains act before this one.
fn turn(host: &Host) -> u32 {
    let members = host.members.read();
    let present = members.iter().filter(|member| member.is_present());
    let domains: std::collections::BTreeSet<&Name> = present.map(|m| &m.domain).collect();
    let before = domains.into_iter().position(|d| *d == host.settings.domain);
    before.unwrap_or(0) as u32
}

/// Brings a roll-out to a stage, or to the final one that stands already; returns which.
async fn act(
    host: &Arc<Host>,
    store: &Store,
    rollout: &Rollout,
    stage: Stage,
) -> Result<Stage, Error> {
    let stage = match stage {
        Stage::Ordered | Stage::Moving => stage,
        Stage::Trial => say(host, store, rollout, State::Running).await?,
        Stage::Completed => say(host, store, rollout, State::Completed).await?,
        Stage::RolledBack => say(host, store, rollout, State::RolledBack).await?,
    };
    let from = || {
        let members = host.members.read();
        members
            .main_release(&rollout.service, Some(&rollout.to))
            .cloned()
    };
    let told = Rollout {
        from: rollout.from.clone().or_else(from),
        stage,
        ..rollout.clone()
    };
    tell(host, store, &told).await?;
    host.rollouts.take(told, Duration::ZERO, Instant::now());
    Ok(stage)
}

/// Tells all nodes how far a roll-out has come.
async fn tell(host: &Host, store: &Store, told: &Rollout) -> Result<(), Error> {
    let record = rmp_serde::to_vec_named(told).expect("plain data always encodes");
    let since = Instant::now();
    let put = (store.put)(source::rollout_key(&told.service), record.into()).await;
    host.note_store("put", &put, Some(since.elapsed()));
    put
}

/// Writes the word on an order, unless a final one stands; returns the stage of the word
/// that stands then.
async fn say(host: &Host, store: &Store, rollout: &Rollout, state: State) -> Result<Stage, Error> {
    for _ in 0..TRIES {
        let read = (store.said)(rollout.service.clone()).await;
        host.note_store("newest", &read, None);
        let said = read?;
        let is_own = |word: &Word| word.to == rollout.to && word.order == Some(rollout.order);
        if let Some(held) = said.word.filter(is_own)
            && (held.state != State::Running || state == State::Running)
        {
            return Ok(stage(held.state));
        }
        let word = Word {
            service: rollout.service.clone(),
            to: rollout.to.clone(),
            order: Some(rollout.order),
            state,
        };
        let put = (store.say)(word, said.end).await;
        host.note_store("put", &put, None);
        if put? {
            return Ok(stage(state));
        }
    }
    Err(Error::Unexpected("the store (others write words)".into()))
}

const fn stage(state: State) -> Stage {
    match state {
        State::Running => Stage::Trial,
        State::Completed => Stage::Completed,
        State::RolledBack => Stage::RolledBack,
    }
}

/// Returns how the latest roll-outs of all services stand, for operators.
pub fn progress(host: &Host) -> Vec<Progress> {
    let now = Instant::now();
    let members = host.members.read();
    let of = |known: Known| Progress {
        age_ms: Span::of(known.age).as_millis(),
        waits_for: judge::waits_for(&case(&members, &known)).into(),
        decides: *host.reading().borrow(),
        targets: tried(&members, &known.rollout),
        rollout: known.rollout,
    };
    host.rollouts.known(now).into_iter().map(of).collect()
}

/// Returns the nodes beside targets of the release that is to take over.
fn tried(table: &Table, rollout: &Rollout) -> Vec<Tried> {
    let offers = table.offers(&rollout.service).iter();
    let new = offers.filter_map(|member| {
        let target = member.target(&rollout.service)?;
        let is_new = target.release.as_ref() == Some(&rollout.to);
        is_new.then(|| Tried {
            node: member.node.clone(),
            is_failing: target.is_failing(rollout.order),
        })
    });
    new.collect()
}

/// Returns an order and how it stands.
fn case(table: &Table, known: &Known) -> Case {
    Case {
        stage: known.rollout.stage,
        age: known.age,
        in_stage: known.in_stage,
        duration: known.rollout.duration.duration(),
        count: count(table, &known.rollout),
    }
}

/// Counts the targets of an order's service.
fn count(table: &Table, rollout: &Rollout) -> Count {
    let mut count = Count::default();
    for member in table.offers(&rollout.service) {
        let Some(target) = member.target(&rollout.service) else {
            continue;
        };
        let is_there = member.status == Status::Alive && !target.draining;
        if target.release.as_ref() != Some(&rollout.to) {
            count.old_slots += u32::from(is_there) * target.slots;
            continue;
        }
        let is_failing = target.is_failing(rollout.order);
        count.failing += usize::from(is_failing == Some(true));
        count.new += usize::from(is_there);
        count.passing += usize::from(is_there && is_failing == Some(false));
        count.new_slots += u32::from(is_there) * target.slots;
    }
    count
}
