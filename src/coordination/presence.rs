//! Writes what this node says of itself to the store, and knows how far that
//! has come.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

use crate::{
    coordination::{host::Host, link::Store, review, source},
    event::Event,
    id::Incarnation,
    journal::note,
    state::member::{Member, Status, Target},
};

/// How often the target here is looked at for silence: a fraction of a
/// heartbeat's 1.5 s.
const LOOK: Duration = Duration::from_millis(500);

/// How long a node that the store does not know waits for its target's first
/// heartbeat, which comes within 1.5 s.
const FIRST: Duration = Duration::from_millis(2000);

/// What has been written of this node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Written {
    /// Its targets as the store has them; nothing if it knows no such node.
    pub targets: Option<Vec<Target>>,
}

/// Keeps the store's record of this node as it should be; never returns.
pub async fn keep_written(host: Arc<Host>, store: Store, written: watch::Sender<Written>) {
    host.until_members_known().await;
    let recorded = host.members.read().get(&host.settings.node).cloned();
    host.local
        .lock()
        .recall(recorded.as_deref(), Instant::now());
    host.set_gate();
    review::recall(&host);
    let mut member = recorded.as_deref().cloned();
    if member.is_none() {
        // One record with the target, rather than one without and one with it.
        drop(tokio::time::timeout(FIRST, host.changed.notified()).await);
    }
    let mut failures = 0;
    loop {
        if let Some(later) = later(&host, member.as_ref()) {
            member = Some(later);
        }
        let wanted = wanted(&host, member.as_ref());
        let is_written = member.as_ref() == Some(&wanted);
        if is_written {
            written.send_replace(Written {
                targets: Some(wanted.targets.clone()),
            });
        }
        let replaced = if is_written { replaced(&host) } else { None };
        if is_written && replaced.is_none() {
            wait(&host, member.as_ref()).await;
            continue;
        }
        let is_own = replaced.is_none();
        let wanted = replaced.unwrap_or(wanted);
        let record = rmp_serde::to_vec_named(&wanted).expect("plain data always encodes");
        let key = wanted.node.to_string();
        let since = Instant::now();
        let put = (store.put)(key, record.into()).await;
        host.note_store("put", &put, Some(since.elapsed()));
        match put {
            Ok(()) => {
                failures = 0;
                host.take_member(wanted.clone(), "self");
                if is_own {
                    member = Some(wanted);
                }
            }
            Err(error) => {
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
                host.until_store_answers(source::pause_beside(&host, failures))
                    .await;
                failures += 1;
            }
        }
    }
}

/// Returns the record of this node that others know, where it is later than the one
/// `held`: another node took this one for gone.
fn later(host: &Host, held: Option<&Member>) -> Option<Member> {
    let members = host.members.read();
    let known = members.get(&host.settings.node)?;
    let is_later = held.is_some_and(|held| held.stamp() < known.stamp());
    is_later.then(|| known.as_ref().clone())
}

/// Returns the record that ends a member whose address this node has now: its host was
/// replaced by this one, under another name, and nobody else will ever say that it is
/// gone. Without it every node asks it in vain, once in each life, and the members known
/// grow with every host that is replaced.
fn replaced(host: &Host) -> Option<Member> {
    let inbound = host.settings.advertised().inbound;
    let members = host.members.read();
    let mut others = members
        .iter()
        .filter(|member| member.node != host.settings.node);
    let replaced = others.find(|member| member.inbound == inbound && member.is_present())?;
    Some(Member {
        status: Status::Gone,
        sequence: replaced.sequence + 1,
        // What its target drained stays known, should the name come back.
        ..replaced.as_ref().clone()
    })
}

/// Returns what is to be written: the record held, or the next one if something
/// differs from it.
fn wanted(host: &Host, held: Option<&Member>) -> Member {
    let settings = &host.settings;
    let advertised = settings.advertised();
    let fresh = Member {
        node: settings.node.clone(),
        // The store's order decides, so no clock is asked; one life goes on
        // counting where the last one ended.
        incarnation: held.map_or(Incarnation(1), |held| held.incarnation),
        sequence: held.map_or(1, |held| held.sequence),
        status: Status::Alive,
        domain: settings.domain.clone(),
        peers: advertised.peers,
        inbound: advertised.inbound,
        labels: settings.labels.clone(),
        targets: host.local.lock().told(),
        bandwidth: settings.bandwidth(),
        evidence: host.reviews.evidence(),
    };
    match held {
        Some(held) if *held != fresh => Member {
            sequence: held.sequence + 1,
            ..fresh
        },
        _ => fresh,
    }
}

async fn wait(host: &Host, held: Option<&Member>) {
    loop {
        // A change that nobody announced is seen at the next look.
        if tokio::time::timeout(LOOK, host.changed.notified())
            .await
            .is_ok()
        {
            return;
        }
        if later(host, held).is_some() {
            return;
        }
        let fell_silent = host.local.lock().fell_silent(Instant::now());
        if fell_silent {
            note!(host.journal, Event::TargetChanged, reason = "silent");
            host.set_gate();
        }
    }
}
