//! Keeps this node's member record in the store up to date, and publishes which targets the
//! stored record has.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use crate::{
    coordination::{
        Error,
        host::{Host, targets_text},
        interface::{Store, Write},
        quarantine::review,
        rollout::local::unix_millis,
        source,
    },
    event::Event,
    id::{Generation, Incarnation},
    journal::note,
    state::member::{Member, Status, Target, record_key},
};

/// How often the heartbeats of the target here are checked: a fraction of their period of
/// 1.5 s.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How long a target may take to start beside its node, before its first heartbeat is due.
const TARGET_START: Duration = Duration::from_millis(1500);

/// The part of this node's record that is known to be in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recorded {
    /// The targets in the stored record; `None` if the store has none, or an older one, of this
    /// node.
    pub targets: Option<Vec<Target>>,
}

/// Writes this node's record to the store whenever it changes or the store has an older one, and
/// marks members as gone whose host this node's host has replaced; never returns.
pub async fn maintain_record(
    host: Arc<Host>,
    store: Store,
    recorded_sender: watch::Sender<Recorded>,
) {
    host.streams.until_members_known().await;
    let recorded = host.members.read().get(&host.settings.node).cloned();
    host.local
        .lock()
        .restore(recorded.as_deref(), Instant::now());
    if let Some(recorded) = &recorded {
        host.record_keys.lock().note(recorded.generation);
        note!(
            host.journal,
            Event::RecordRestored,
            sequence = recorded.sequence,
            key = recorded.key(),
            targets = targets_text(recorded)
        );
    }
    host.set_gate();
    review::restore(&host);
    let mut member = recorded.as_deref().cloned();
    if member.is_none() {
        // Avoids a second write: the first record then already has the target.
        let wait = TARGET_START + host.settings.heartbeat.duration();
        drop(tokio::time::timeout(wait, host.own_record_changed.notified()).await);
    }
    // A write that failed may be executed late, even one of an earlier process. So no two different
    // records may have the same number: each takes a new one, and those of this process begin at
    // its start time. If the clock has stepped back, they follow the recorded one.
    let mut min_sequence = unix_millis();
    let mut failures = 0;
    loop {
        if let Some(later) = later_record(&host, member.as_ref()) {
            host.local.lock().merge_later_record(&later);
            host.set_gate();
            member = Some(later);
        }
        let wanted = wanted_record(&host, member.as_ref(), min_sequence);
        let is_overwritten = is_overwritten(&host);
        let is_written = member.as_ref() == Some(&wanted) && !is_overwritten;
        if is_written || is_overwritten {
            recorded_sender.send_replace(Recorded {
                targets: is_written.then(|| wanted.targets.clone()),
            });
        }
        let replaced = if is_written {
            replaced_member(&host)
        } else {
            None
        };
        if is_written && replaced.is_none() {
            until_changed(&host, member.as_ref()).await;
            continue;
        }
        let is_own = replaced.is_none();
        let (wanted, obsolete) = match replaced {
            Some(replaced) => mark_as_gone(&replaced, min_sequence),
            None => {
                min_sequence = min_sequence.max(wanted.sequence + 1);
                let mut keys = host.record_keys.lock();
                // An unchanged record is written again under its own key: that does no harm,
                // whenever it is executed.
                let wanted = match member.as_ref() == Some(&wanted) {
                    true => wanted,
                    false => keys.next_record(wanted),
                };
                let obsolete = keys.obsolete(wanted.generation);
                (wanted, obsolete)
            }
        };
        let put = put(&host, &store, &wanted, &obsolete).await;
        match put {
            Ok(end) => {
                failures = 0;
                host.members.write().set_overwritten(&wanted.node, false);
                host.merge_member(wanted.clone(), "self");
                if is_own {
                    host.streams.note_own_record(end);
                    let mut keys = host.record_keys.lock();
                    keys.on_written(wanted.generation, &obsolete);
                    drop(keys);
                    member = Some(wanted);
                }
            }
            Err(error) => {
                if is_own {
                    host.record_keys.lock().on_failed(wanted);
                }
                if failures == 0 {
                    let why = crate::logging::chain(&error);
                    note!(
                        host.journal,
                        Event::LogDown,
                        stream = "Members",
                        write = true,
                        why = why
                    );
                }
                host.streams
                    .until_store_answers(source::pause_while_others_retry(&host, failures))
                    .await;
                failures += 1;
            }
        }
    }
}

/// Writes a record to the store and deletes the node's keys of `obsolete` generations. Returns the
/// offset after the record.
async fn put(
    host: &Host,
    store: &Store,
    record: &Member,
    obsolete: &[Generation],
) -> Result<u64, Error> {
    let encoded = rmp_serde::to_vec_named(record).expect("a member record always encodes");
    let key_of = |generation: &Generation| record_key(&record.node, *generation);
    let write = Write {
        key: record.key(),
        record: encoded.into(),
        obsolete: obsolete.iter().map(key_of).collect(),
    };
    let since = Instant::now();
    let put = (store.put)(write).await;
    host.note_store("put", &put, Some(since.elapsed()));
    put
}

/// Returns the record of this node in the member table if it is later than `held`: another
/// node has recorded this one as gone.
fn later_record(host: &Host, held: Option<&Member>) -> Option<Member> {
    let members = host.members.read();
    let known = members.get(&host.settings.node)?;
    let is_later = held.is_some_and(|held| held.precedence() < known.precedence());
    is_later.then(|| known.as_ref().clone())
}

/// Returns whether the store has an older record of this node than the one that it wrote last.
fn is_overwritten(host: &Host) -> bool {
    let members = host.members.read();
    members.overwritten().contains(&host.settings.node)
}

/// Returns a member whose address this node has now and that isn't marked as gone in the store. The
/// member's host was replaced by this one under another name, and no other node will ever record
/// that. Without a mark, each node would try in each of its incarnations to reach the old member,
/// and the member table would grow with each replaced host.
fn replaced_member(host: &Host) -> Option<Member> {
    let inbound = host.settings.advertised().inbound;
    let members = host.members.read();
    let mut others = members
        .iter()
        .filter(|member| member.node != host.settings.node);
    let lacks_mark =
        |member: &Member| member.is_present() || members.overwritten().contains(&member.node);
    let replaced = others.find(|member| member.inbound == inbound && lacks_mark(member))?;
    Some(replaced.as_ref().clone())
}

/// Returns the record that marks a member as gone, and the generation that it makes obsolete. The
/// mark has a key of its own, numbered `generation`: writes of the member's last process may still
/// be executed.
fn mark_as_gone(member: &Member, generation: u64) -> (Member, Vec<Generation>) {
    let mark = Member {
        status: Status::Gone,
        sequence: member.sequence + 1,
        generation: Generation(generation),
        // Keeps its targets and their drain state, in case a node of that name returns.
        ..member.clone()
    };
    let obsolete = [member.generation].into_iter();
    let obsolete = obsolete.filter(|obsolete| *obsolete != mark.generation);
    let obsolete = obsolete.collect();
    (mark, obsolete)
}

/// Returns the record to be written: `held` if it is up to date, else its successor, whose sequence
/// number is at least `min_sequence`.
fn wanted_record(host: &Host, held: Option<&Member>, min_sequence: u64) -> Member {
    let settings = &host.settings;
    let advertised = settings.advertised();
    let fresh = Member {
        node: settings.node.clone(),
        // A process continues the sequence numbers of the one before it.
        incarnation: held.map_or(Incarnation(1), |held| held.incarnation),
        sequence: held.map_or(min_sequence, |held| held.sequence),
        generation: held.map_or(Generation::default(), |held| held.generation),
        status: Status::Alive,
        domain: settings.domain.clone(),
        peers: advertised.peers,
        inbound: advertised.inbound,
        labels: settings.labels.clone(),
        targets: host.local.lock().announced(),
        bandwidth: settings.bandwidth(),
        evidence: host.quarantine.evidence(),
    };
    match held {
        Some(held) if *held != fresh => Member {
            sequence: min_sequence.max(held.sequence + 1),
            ..fresh
        },
        _ => fresh,
    }
}

/// Waits until this node's record may have to be written: the node reported a change, the store
/// has an older record, or the member table a later one than `held`. Meanwhile it checks whether
/// the heartbeats of the target are overdue.
async fn until_changed(host: &Host, held: Option<&Member>) {
    loop {
        // A change without a notification is found at the next check.
        if tokio::time::timeout(CHECK_PERIOD, host.own_record_changed.notified())
            .await
            .is_ok()
        {
            return;
        }
        if later_record(host, held).is_some() || is_overwritten(host) {
            return;
        }
        let is_overdue = host.local.lock().check_missed_heartbeats(Instant::now());
        if is_overdue {
            note!(host.journal, Event::TargetChanged, reason = "silent");
            host.set_gate();
        }
    }
}
