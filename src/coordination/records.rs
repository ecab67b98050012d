//! Applies records of the store's streams, whether this node read them or another one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, Records, Stream},
        rollout::local,
        spread,
    },
    event::Event,
    id::{Generation, Name, Node},
    journal::note,
    protocol::update::{Changes, Update},
    state::{
        drain::Drain,
        member::{Member, Table},
        rollout::{Rollout, Stage},
    },
};

/// Applies records from the store, up to the offset `next`.
pub fn apply_records(host: &Host, stream: Stream, records: &[Bytes], next: u64) {
    match stream {
        // Only the newest version counts; the ones in between were never in force here. If
        // the newest can't be decoded, the one before it is used.
        Stream::Routes => {
            let mut newest = records.iter().rev();
            newest.find(|record| host.apply_record(record, "store").is_ok());
        }
        Stream::Members => apply_members(host, records, next, "store"),
    }
}

/// Applies roll-out orders; returns the roll-outs of those that could be decoded.
pub fn apply_orders(host: &Host, orders: &[(u64, Bytes)]) -> Vec<Rollout> {
    let decoded = orders.iter().filter_map(|(offset, record)| {
        let order = (host.decoders.order)(record);
        if let Err(error) = &order {
            host.count_unusable("order");
            let why = crate::logging::chain(error);
            note!(
                host.journal,
                Event::ChangeRejected,
                what = "order",
                offset = offset,
                why = why
            );
        }
        let order = order.ok()?;
        Some(Rollout {
            service: order.service,
            order: *offset,
            from: None,
            to: order.to,
            duration: order.duration,
            stage: Stage::Ordered,
            began: local::unix_millis(),
        })
    });
    let rollouts: Vec<Rollout> = decoded.collect();
    local::receive(host, rollouts.clone(), "store");
    rollouts
}

/// Applies orders about drains of failure domains; returns those to send to other nodes. A
/// read of the whole stream has no record of a drain that was taken back.
pub fn apply_drains(host: &Host, records: &Records, stream: Stream, is_whole: bool) -> Vec<Drain> {
    let mut drains = records.drains.clone();
    if is_whole && stream == Stream::Routes {
        drains.extend(host.drains.ended(&records.drains, records.next));
    }
    host.receive_drains(drains.clone(), "store");
    drains
}

/// Returns the key of a roll-out in the stream of the members. It can't collide with a
/// node's key, because no node name contains a slash.
pub fn rollout_key(service: &Name) -> String {
    format!("rollout/{service}")
}

/// A record of the stream of the members. It is about a node, or about a roll-out: every
/// node that knows the targets must know the roll-outs, too.
enum Record {
    Member(Member),
    Rollout(Rollout),
}

fn decode_record(host: &Host, record: &[u8], from: &str) -> Option<Record> {
    match rmp_serde::from_slice(record) {
        Ok(rollout) => Some(Record::Rollout(rollout)),
        Err(_) => decode(host, record, "member", from).map(Record::Member),
    }
}

/// Applies records of the stream of the members, in their order in the store and up to the offset
/// `next`.
pub fn apply_members(host: &Host, records: &[Bytes], next: u64, from: &str) {
    let (mut members, mut rollouts) = (Vec::new(), Vec::new());
    for record in records {
        match decode_record(host, record, from) {
            Some(Record::Member(member)) => members.push(member),
            Some(Record::Rollout(rollout)) => rollouts.push(rollout),
            None => {}
        }
    }
    let is_own = |member: &&Member| member.node == host.settings.node;
    let own_generations = members.iter().filter(is_own).map(|own| own.generation);
    let own_generations: Vec<Generation> = own_generations.collect();
    merge_members(host, members, rollouts, next, from);
    // After the merge: a key must not pass for obsolete before its record is known.
    let mut keys = host.record_keys.lock();
    own_generations
        .into_iter()
        .for_each(|generation| keys.note(generation));
}

/// Merges records of members and roll-outs from the store, up to the offset `next`.
fn merge_members(host: &Host, members: Vec<Member>, rollouts: Vec<Rollout>, next: u64, from: &str) {
    // Records that this node has already, from a peer, don't tell what came after them.
    let known_to = host.streams.offset(Stream::Members);
    if known_to.is_some_and(|known_to| next <= known_to) {
        local::receive(host, rollouts, from);
        host.merge_members(members, from);
        return;
    }
    // Of several records of a roll-out, the store keeps the last one.
    let newest: BTreeMap<&Name, &Rollout> = rollouts.iter().map(|r| (&r.service, r)).collect();
    newest
        .into_values()
        .for_each(|rollout| host.rollouts.note_stored(rollout));
    local::receive(host, rollouts, from);
    let before = host.members.read().overwritten().clone();
    host.merge_members_by(Table::merge_from_store, members, from);
    note_overwritten(host, &before, next, from);
}

/// Logs the members that are overwritten in the store since `before`, given what the store has up
/// to the offset `next`. Wakes the task that writes records if it is to write one of them again.
pub fn note_overwritten(host: &Host, before: &BTreeSet<Node>, next: u64, from: &str) {
    let mut members = host.members.write();
    let own = &host.settings.node;
    // A read that ends before this node's latest write can't tell what came after that.
    if next <= host.streams.own_record_end() && !before.contains(own) {
        members.set_overwritten(own, false);
    }
    for node in members.overwritten().difference(before) {
        let held = members.get(node).map(|member| member.sequence);
        note!(
            host.journal,
            Event::RecordOverwritten,
            member = node,
            held = held.unwrap_or_default(),
            next = next,
            from = from
        );
    }
    let inbound = host.settings.advertised().inbound;
    let is_written_here = |node: &Node| {
        node == own
            || members
                .get(node)
                .is_some_and(|member| member.inbound == inbound)
    };
    if members.overwritten().iter().any(is_written_here) {
        host.own_record_changed.notify_one();
    }
}

/// Applies records that another node read, and forwards them.
pub fn apply_update(host: &Arc<Host>, call_peer: &CallPeer, mut update: Update) {
    if !update.relay.is_empty() {
        let relayed = Update {
            relay: std::mem::take(&mut update.relay),
            ..update.clone()
        };
        tokio::spawn(spread::relay(call_peer.clone(), relayed));
    }
    local::receive(host, update.rollouts, "reader");
    host.receive_drains(update.drains, "reader");
    let stream = update.load.stream();
    match update.load.version() {
        Some(version) => host.delivered.note_version(version),
        None => host.delivered.note_members(update.next),
    }
    let is_whole = match update.load {
        Changes::Routes(delta) => host.apply_routes(delta, "reader"),
        Changes::Members(records) => {
            apply_members(host, &records, update.next, "reader");
            // Each record is about one member, so the records before `from` must be known.
            host.streams.offset(stream) >= Some(update.from)
        }
    };
    if is_whole {
        // A sender that has the routes from a peer may not know their offset.
        if update.next > 0 {
            host.streams.advance_offset(stream, update.next);
        }
    } else {
        // Earlier records are missing here, so a sync is needed whatever the version: the highest
        // number counts as newer in any case.
        host.note_newer(u64::MAX, update.next, update.reader);
    }
}

/// Decodes a record or a message of another node, which is MessagePack. Counts and logs
/// input that can't be decoded.
pub fn decode<T: serde::de::DeserializeOwned>(
    host: &Host,
    bytes: &[u8],
    what: &'static str,
    from: &str,
) -> Option<T> {
    let decoded = rmp_serde::from_slice(bytes);
    if let Err(error) = &decoded {
        host.count_unusable(what);
        note!(
            host.journal,
            Event::ChangeRejected,
            what = what,
            from = from,
            why = error
        );
    }
    decoded.ok()
}
