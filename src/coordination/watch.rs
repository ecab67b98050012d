//! Election of the node that reads the platform's store for its failure domain, and the
//! checks that replace it when it fails.
//!
//! The nodes of a failure domain are ranked by bandwidth, then by a hash of their names. The
//! first one is the reader: it reads the store for all. Each other node checks its predecessor
//! about once a second. An unreachable predecessor is left out of the ranking, and those
//! before it are checked, twice as many at a time with each round. So the ranking closes its
//! gaps whichever nodes die and however many. The first node of each failure domain checks
//! nodes of other domains. So one or two nodes check each node, however large the fleet is.
//! Each check also compares the versions and offsets of both nodes, and those of a random node of
//! the domain: a predecessor may have missed the same.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, PeerRequest},
        load_report, rank, rate_limit, sync,
    },
    event::Event,
    id::Node,
    journal::note,
    protocol::update::Progress,
    state::member::Member,
};

/// The pause between checks. With the time to ask the predecessor and to read the store, the
/// failure of a reader delays a version by well under the 2 s in which it must be in force.
const CHECK_PAUSE: Duration = Duration::from_millis(700);

/// How long an unreachable node is left out of the ranking: longer than a search takes that
/// passes all nodes of a partitioned failure domain.
const SKIP_TIME: Duration = Duration::from_secs(6);

/// Predecessors that are asked at a time at most, once the nearest ones are unreachable.
/// Thirty partitioned nodes are passed in five rounds of 0.25 s.
const MAX_ASKED_NODES: usize = 16;

/// Nodes of a failure domain that try to read the store, each because those ranked before it
/// can't. If the store rejects a third of all nodes, it rejects all four once in 81 cases. If
/// the store is down, only four nodes of each failure domain ask it, not all of them.
const MAX_READERS: u8 = 4;

/// The job for which nodes are ranked.
const JOB: &str = "reader";

/// Checks the predecessors of this node in the ranking periodically, and makes this node read
/// the store when they can't; never returns.
pub async fn run(host: Arc<Host>, call_peer: CallPeer) {
    host.streams.until_membership_settled().await;
    loop {
        tokio::join!(
            check(&host, &call_peer),
            sync::compare_with_neighbor(&host, &call_peer)
        );
        tokio::time::sleep(CHECK_PAUSE.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}

/// Finds the nearest predecessor that answers, and sets whether this node reads the store.
async fn check(host: &Host, call_peer: &CallPeer) {
    let mut batch_size = 1;
    // Nodes that have not settled yet don't read the store. A node that the store turns away
    // while it starts would otherwise leave its domain without a reader.
    let mut unsettled: Vec<Node> = Vec::new();
    loop {
        let mut predecessors = predecessors(host);
        predecessors.retain(|member| !unsettled.contains(&member.node));
        if predecessors.is_empty() {
            host.set_reading(true, 0);
            if let Some(other) = other_domain_member(host) {
                compare(host, call_peer, &other).await;
            }
            return;
        }
        predecessors.truncate(batch_size);
        let answers = predecessors
            .iter()
            .map(|member| compare(host, call_peer, member));
        let answers = join_all(answers).await;
        let answers = predecessors.iter().zip(answers);
        let (settled, starting): (Vec<_>, Vec<_>) = answers
            .filter_map(|(member, progress)| Some((member, progress?)))
            .partition(|(_, progress)| progress.is_settled);
        unsettled.extend(starting.iter().map(|(member, _)| member.node.clone()));
        if let Some((_, progress)) = settled.first() {
            // If the predecessor is a reader that can't read the store, this node reads, too,
            // unless nodes between them are about to: all behind these would, in a fleet that
            // starts while the store fails.
            let is_next = unsettled.is_empty();
            let reads = is_next && (1..MAX_READERS).contains(&progress.blind);
            host.set_reading(reads, progress.blind);
            return;
        }
        // Many nodes are dead, or this node is partitioned. Asked one by one, the nodes of its
        // failure domain would take longer than the time for which each is left out.
        batch_size = (batch_size * 2).min(MAX_ASKED_NODES);
    }
}

/// Asks a member for its versions and offsets, and compares them with this node's. A member
/// that doesn't answer is left out of the ranking for a while.
async fn compare(host: &Host, call_peer: &CallPeer, member: &Member) -> Option<Progress> {
    let answer = call_peer(member.peers, PeerRequest::Progress).await;
    let progress = answer
        .ok()
        .and_then(|answer| rmp_serde::from_slice::<Progress>(&answer).ok());
    match progress {
        Some(progress) => {
            sync::receive_drains(host, &progress);
            host.note_newer(progress.version, progress.members, member.peers);
            Some(progress)
        }
        None => {
            note_silent(host, &member.node);
            None
        }
    }
}

/// Returns the nodes before this one in the ranking of its failure domain, the nearest
/// first.
pub fn predecessors(host: &Host) -> Vec<Arc<Member>> {
    let settings = &host.settings;
    let members = host.members.read();
    let now = Instant::now();
    let is_ranked = |member: &Member| {
        member.domain == settings.domain
            && member.is_present()
            && !host.is_unreachable(&member.node, now)
    };
    let ranked = members.iter().filter(|member| is_ranked(member));
    rank::predecessors(ranked, JOB, &settings.node, settings.bandwidth())
}

/// Returns what the exchange of rate limits needs to know of the fleet: the first-ranked node
/// of each failure domain is its pool.
pub fn rate_limit_view(host: &Host) -> rate_limit::View {
    let settings = &host.settings;
    let members = host.members.read();
    let now = Instant::now();
    let reachable = members
        .iter()
        .filter(|member| member.is_present() && !host.is_unreachable(&member.node, now));
    let mut pools = rank::first_of_domains(reachable, JOB);
    let address = |member: &Arc<Member>| (member.node.clone(), member.peers);
    let own = pools.remove(&settings.domain).map(address);
    rate_limit::View {
        routes: host.routes(),
        nodes: members.len().max(1),
        pool: own.filter(|(node, _)| *node != settings.node),
        others: pools.into_values().map(address).collect(),
    }
}

/// Returns what the exchange of loads needs to know of the fleet: the first-ranked nodes are those
/// of the exchange of rate limits.
pub fn load_report_view(host: &Host) -> load_report::View {
    let view = rate_limit_view(host);
    load_report::View {
        routes: view.routes,
        first: view.pool,
        others: view.others,
    }
}

/// Records that a node did not answer: it is left out of the ranking for a while.
pub fn note_silent(host: &Host, node: &Node) {
    host.note_unreachable(node, Instant::now() + SKIP_TIME);
    note!(
        host.journal,
        Event::MemberChanged,
        member = node,
        status = "silent"
    );
}

/// Returns a random node of the other failure domains, whatever its rank.
fn other_domain_member(host: &Host) -> Option<Arc<Member>> {
    let settings = &host.settings;
    let members = host.members.read();
    let now = Instant::now();
    let others = members.iter().filter(|member| {
        member.domain != settings.domain
            && member.is_present()
            && !host.is_unreachable(&member.node, now)
    });
    fastrand::choose_multiple(others, 1)
        .into_iter()
        .next()
        .cloned()
}
