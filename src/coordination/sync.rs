//! What nodes ask of each other: how far a peer is, and the routes and members that this node
//! lacks; and the answers to such requests.
//!
//! This is how a node learns what it missed while the store turns it away, its failure domain's
//! reader is gone, or its message was lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, PeerRequest, Stream},
        records,
        rollout::local,
        shared_answer::MembersKey,
        source::FIRST_RANKED,
        watch,
    },
    id::Node,
    protocol::update::{Members, Progress},
    state::{
        member::{Member, Table},
        routing::Delta,
    },
};

/// Peers of the own failure domain, and as many of the others, that are asked in one round
/// while the store fails.
const PEERS_PER_GROUP: usize = 2;

/// How long a node waits for peers whose answer it can do without. A running one answers within
/// milliseconds.
const COMPARE_WAIT: Duration = Duration::from_millis(150);

/// Asks each peer that reports something newer for it; never returns.
pub async fn follow_hints(host: Arc<Host>, call_peer: CallPeer) {
    loop {
        let peer = host.next_hint().await;
        with_peer(&host, &call_peer, peer).await;
    }
}

/// Asks a few peers for their progress, and the most advanced ones for what they have.
pub async fn with_peers(host: &Arc<Host>, call_peer: &CallPeer) {
    let first_ranked = watch::predecessors(host);
    let first_ranked = first_ranked.iter().rev().take(FIRST_RANKED);
    let peers = {
        let members = host.members.read();
        let (near, far) = others_by_domain(host, &members);
        // Of equally advanced peers the first in this list is chosen. First-ranked nodes come
        // first: they have the fastest links and are the first to receive updates. Nodes of
        // other failure domains come last, so that they send data only if they are ahead.
        let mut drawn = fastrand::choose_multiple(first_ranked, 1);
        drawn.extend(fastrand::choose_multiple(near, PEERS_PER_GROUP));
        drawn.extend(fastrand::choose_multiple(far, PEERS_PER_GROUP));
        drawn.iter().map(|member| member.peers).collect::<Vec<_>>()
    };
    let asked = peers
        .into_iter()
        .map(|peer| fetch_progress(host, call_peer, peer));
    let progress: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    let newest = |of: fn(&Progress) -> u64| {
        progress
            .iter()
            .rev()
            .max_by_key(|(_, progress)| of(progress))
    };
    if let Some((peer, progress)) = newest(|progress| progress.version) {
        fetch_routes(host, call_peer, *peer, progress).await;
    }
    if let Some((peer, progress)) = newest(|progress| progress.members) {
        fetch_members(host, call_peer, *peer, progress).await;
    }
}

/// Fetches from a peer what is newer than the state of this node.
async fn with_peer(host: &Host, call_peer: &CallPeer, peer: SocketAddr) {
    if let Some((_, progress)) = fetch_progress(host, call_peer, peer).await {
        fetch(host, call_peer, peer, &progress).await;
    }
}

/// Fetches from a peer what is newer than the state of this node, given the peer's progress.
pub async fn fetch(host: &Host, call_peer: &CallPeer, peer: SocketAddr, progress: &Progress) {
    if progress.knows_members {
        fetch_members(host, call_peer, peer, progress).await;
    }
    fetch_routes(host, call_peer, peer, progress).await;
}

/// Asks a peer which version and offsets it has reached.
///
/// A peer that does not answer does no harm: another peer that reports something newer is
/// asked, or the next round asks others.
pub async fn fetch_progress(
    host: &Host,
    call_peer: &CallPeer,
    peer: SocketAddr,
) -> Option<(SocketAddr, Progress)> {
    let answer = call_peer(peer, PeerRequest::Progress).await.ok()?;
    let progress: Progress = records::decode(host, &answer, "news", "peer")?;
    receive_drains(host, &progress);
    Some((peer, progress))
}

/// Takes in the drains that a peer knows.
pub fn receive_drains(host: &Host, progress: &Progress) {
    if host.receive_drains(progress.drains.clone(), "peer") {
        host.delivered.learned.notify_one();
    }
}

/// Fetches the routes from a peer if its version is newer.
pub async fn fetch_routes(
    host: &Host,
    call_peer: &CallPeer,
    peer: SocketAddr,
    progress: &Progress,
) {
    if progress.version > host.version()
        && let Ok(answer) = call_peer(peer, PeerRequest::Routes(host.version())).await
    {
        apply_routes_answer(host, &answer);
        // The peer reported this offset before it sent its version, so the version includes
        // every record up to the offset.
        if host.version() >= progress.version && progress.routes > 0 {
            host.streams.advance_offset(Stream::Routes, progress.routes);
        }
    }
}

async fn fetch_members(host: &Host, call_peer: &CallPeer, peer: SocketAddr, progress: &Progress) {
    if Some(progress.members) <= host.streams.offset(Stream::Members) {
        return;
    }
    let hashes = host.members.read().bucket_hashes().to_vec();
    if let Some(answer) = request_members(host, call_peer, peer, hashes).await {
        apply_members_answer(host, answer);
    }
}

/// Returns the members of a peer that differ from a table with these bucket hashes; nothing if
/// it doesn't answer.
pub async fn request_members(
    host: &Host,
    call_peer: &CallPeer,
    peer: SocketAddr,
    hashes: Vec<u32>,
) -> Option<Members<Member>> {
    let answer = call_peer(peer, PeerRequest::Members(hashes)).await.ok()?;
    records::decode(host, &answer, "news", "peer")
}

fn apply_routes_answer(host: &Host, answer: &[u8]) {
    let before = host.version();
    if let Some(delta) = records::decode::<Delta>(host, answer, "news", "peer") {
        host.apply_routes(delta, "peer");
    }
    if host.version() > before {
        host.delivered.learned.notify_one();
    }
}

/// Applies a peer's answer with members.
pub fn apply_members_answer(host: &Host, answer: Members<Member>) {
    let at = answer.at;
    merge_members_answer(host, answer);
    host.streams.advance_offset(Stream::Members, at);
}

/// Merges what a peer knows of members, without taking over its offset.
pub fn merge_members_answer(host: &Host, answer: Members<Member>) {
    let own = &host.settings.node;
    if local::receive(host, answer.rollouts, "peer") {
        host.delivered.learned.notify_one();
    }
    let (before, own_before) = {
        let members = host.members.read();
        let own_record = members.get(own).map(|member| member.precedence());
        (members.overwritten().clone(), own_record)
    };
    host.merge_members(answer.members, "peer");
    merge_overwritten(host, &answer.overwritten, answer.at);
    let mut members = host.members.write();
    // What a peer knows of this node and this node doesn't comes from an earlier process, and the
    // store doesn't have it any more; or from a write of this process that wasn't answered.
    let own_record = members.get(own).map(|member| member.precedence());
    if own_before.is_some() && own_before < own_record {
        members.set_overwritten(own, true);
    }
    drop(members);
    records::note_overwritten(host, &before, answer.at, "peer");
}

/// Merges the list of members that are overwritten in the store, as a peer knows it up to the
/// offset `at`. Of two lists the one that goes further applies.
fn merge_overwritten(host: &Host, overwritten: &[Node], at: u64) {
    let known_to = host.streams.offset(Stream::Members);
    let mut members = host.members.write();
    if known_to.is_some_and(|known_to| known_to < at) {
        let ended = members.overwritten().clone();
        // This node knows best whether it has written its record again.
        let ended = ended.iter().filter(|node| **node != host.settings.node);
        ended.for_each(|node| members.set_overwritten(node, false));
    }
    if known_to.is_none_or(|known_to| known_to <= at) {
        let overwritten = overwritten.iter();
        overwritten.for_each(|node| members.set_overwritten(node, true));
    }
}

/// Asks a few peers for the members that they know better than the store, which has an older
/// record of a node if it executed an earlier write after a later one.
pub async fn compare_members(host: &Host, call_peer: &CallPeer) {
    let peers: Vec<SocketAddr> = {
        let members = host.members.read();
        let (near, far) = others_by_domain(host, &members);
        let mut drawn = fastrand::choose_multiple(near, PEERS_PER_GROUP);
        drawn.extend(fastrand::choose_multiple(far, PEERS_PER_GROUP));
        drawn.iter().map(|member| member.peers).collect()
    };
    let hashes = host.members.read().bucket_hashes().to_vec();
    let asked = peers.into_iter().map(|peer| {
        let request = request_members(host, call_peer, peer, hashes.clone());
        tokio::time::timeout(COMPARE_WAIT, request)
    });
    // A peer that doesn't answer in time is starting or gone.
    for answer in join_all(asked).await.into_iter().flatten().flatten() {
        merge_members_answer(host, answer);
    }
}

/// Asks a few nodes of this failure domain what was sent to all of them.
///
/// A node that has just started doesn't know it, and one that was cut off may have missed some.
pub async fn learn_delivered(host: &Host, call_peer: &CallPeer) {
    for progress in ask_neighbors(host, call_peer, PEERS_PER_GROUP).await {
        host.delivered.note_version(progress.sent_version);
        host.delivered.note_members(progress.sent_members);
    }
}

/// Asks a random node of this failure domain whether it has something newer.
///
/// A node checks its predecessor in the ranking, which may lack the same. Whatever some nodes of
/// the domain have reaches the others through random ones in a number of checks that grows with
/// the logarithm of their number, and through predecessors alone with their number.
pub async fn compare_with_neighbor(host: &Host, call_peer: &CallPeer) {
    ask_neighbors(host, call_peer, 1).await;
}

/// Asks random nodes of this failure domain for their progress, and follows what is newer.
async fn ask_neighbors(host: &Host, call_peer: &CallPeer, most: usize) -> Vec<Progress> {
    let neighbors: Vec<SocketAddr> = {
        let members = host.members.read();
        let near = others(host, &members).filter(|other| other.domain == host.settings.domain);
        let drawn = fastrand::choose_multiple(near, most);
        drawn.iter().map(|member| member.peers).collect()
    };
    let asked = neighbors.into_iter().map(|peer| {
        let progress = fetch_progress(host, call_peer, peer);
        tokio::time::timeout(COMPARE_WAIT, progress)
    });
    // A node that doesn't answer in time is left to the checks of the ranking.
    let answers = join_all(asked).await.into_iter().flatten().flatten();
    let answers = answers.map(|(peer, progress)| {
        host.note_newer(progress.version, progress.members, peer);
        progress
    });
    answers.collect()
}

/// Returns the other members that are present, in arbitrary order.
fn others<'a>(host: &'a Host, members: &'a Table) -> impl Iterator<Item = &'a Arc<Member>> {
    members
        .iter()
        .filter(|member| member.node != host.settings.node && member.is_present())
}

/// Returns the other members that are present: those of this node's failure domain, and the rest.
fn others_by_domain<'a>(
    host: &'a Host,
    members: &'a Table,
) -> (Vec<&'a Arc<Member>>, Vec<&'a Arc<Member>>) {
    others(host, members).partition(|member| member.domain == host.settings.domain)
}

/// Returns the delta from version `base` to the version in force, as MessagePack, or
/// nothing if no version is in force.
pub fn routes(host: &Host, base: u64) -> Option<Bytes> {
    let delta = host.routes_since(base)?;
    let encode = || rmp_serde::to_vec(&delta).expect("plain data always encodes");
    let key = (delta.base, delta.version);
    Some(host.answers.routes.get(key, encode))
}

/// Returns the members that differ from a table with these bucket hashes, as MessagePack; all
/// members if there are none.
///
/// While a fleet recovers from a loss of power, every node is constantly a little behind
/// some other node. With all members in every answer, 295 nodes sent 0.399 GB between
/// failure domains during a recovery; with only the differing ones, 0.226 GB.
pub fn members(host: &Host, hashes: &[u32]) -> Bytes {
    let at = host.streams.offset(Stream::Members).unwrap_or(0);
    let members = host.members.read();
    let rollouts = host.rollouts.latest();
    let overwritten: Vec<Node> = members.overwritten().iter().cloned().collect();
    let key = MembersKey {
        hashes: [hashes.to_vec(), members.bucket_hashes().to_vec()],
        at,
        rollouts: rollouts.clone(),
        overwritten: overwritten.clone(),
    };
    host.answers.members.get(key, || {
        let differing = members.in_differing_buckets(hashes);
        let answer = Members {
            at,
            members: differing
                .into_iter()
                .map(AsRef::as_ref)
                .collect::<Vec<&Member>>(),
            rollouts,
            overwritten,
        };
        rmp_serde::to_vec_named(&answer).expect("plain data always encodes")
    })
}
