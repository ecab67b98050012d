//! Assigns jobs to nodes by rendezvous hashing.
//!
//! Every node ranks the members in its table by a hash of job and node name. No
//! agreement is needed: while the tables of two nodes differ, both may do the same
//! job, and every job assigned this way is harmless if done twice.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::{Name, Node},
    state::member::{Member, Status, Table},
};

/// Number of nodes of a failure domain that read the log. With two, records still arrive
/// when one of them crashes, before any node has detected the crash.
pub const READERS: usize = 2;

/// Number of successors that a node pings in the ring of all members of its failure
/// domain. Each member is therefore pinged by at least that many others.
const SUCCESSORS: usize = 2;

/// Number of further members of the same failure domain that a node pings. They turn
/// the ring into a random graph, in which an update spreads in a few hops instead of
/// hundreds.
const EXTRA_PROBE_PEERS: usize = 4;

/// Number of members of other failure domains that a node pings.
const REMOTE_PEERS: usize = 3;

/// Returns the weight of `node` for the job of `seed`.
///
/// Each ranking computes the weight of every member, so this does not allocate.
fn weight(seed: u64, node: &Node) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn seed(job: &str) -> u64 {
    xxh3_64(job.as_bytes())
}

/// Returns the rank of `node` for `job` among `others`; 0 is the first.
fn rank<'a>(job: &str, node: &Node, others: impl Iterator<Item = &'a Node>) -> usize {
    let seed = seed(job);
    let mine = weight(seed, node);
    others
        .filter(|other| *other != node && weight(seed, other) < mine)
        .count()
}

/// Returns the rank of `node` among the alive members of `domain` for reading the log.
///
/// The first [`READERS`] ranks read.
pub fn reader_rank(table: &Table, domain: &Name, node: &Node) -> usize {
    let others = table
        .iter()
        .filter(|m| m.status == Status::Alive && m.domain == *domain);
    rank("reader", node, others.map(|m| &m.node))
}

/// Returns the rank of `node` among all alive members for writing snapshots.
///
/// The node with rank 0 writes.
pub fn writer_rank(table: &Table, node: &Node) -> usize {
    let others = table.iter().filter(|m| m.status == Status::Alive);
    rank("writer", node, others.map(|m| &m.node))
}

/// Returns the present members of `domain` besides `node`.
pub fn neighbours(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let is_included = |m: &&Arc<Member>| m.domain == *domain && m.node != *node && m.is_present();
    table.iter().filter(is_included).cloned().collect()
}

/// Returns the few members of its failure domain that `node` pings.
///
/// They stay the same while no member joins or leaves, so connections to them are
/// reused. With a random member each time, every ping would need a new connection
/// and, with TLS, a handshake.
pub fn probe_peers(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let mut ring = neighbours(table, domain, node);
    let order = seed("ring");
    let me = weight(order, node);
    // Sorts by the distance from `node` along the ring.
    ring.sort_by_cached_key(|member| weight(order, &member.node).wrapping_sub(me));
    let mut extra = ring.split_off(ring.len().min(SUCCESSORS));
    let order = seed(node.as_str());
    extra.sort_by_cached_key(|member| weight(order, &member.node));
    extra.truncate(EXTRA_PROBE_PEERS);
    ring.extend(extra);
    ring
}

/// Returns the few members of other failure domains that `node` pings.
pub fn remote_probe_peers(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let order = seed(node.as_str());
    let is_remote = |m: &&Arc<Member>| m.domain != *domain && m.is_present();
    let with_weight = |m| (weight(order, &Arc::<Member>::as_ref(m).node), m);
    let mut remote: Vec<(u64, &Arc<Member>)> =
        table.iter().filter(is_remote).map(with_weight).collect();
    if remote.len() > REMOTE_PEERS {
        remote.select_nth_unstable_by_key(REMOTE_PEERS, |(weight, _)| *weight);
        remote.truncate(REMOTE_PEERS);
    }
    remote
        .into_iter()
        .map(|(_, member)| member.clone())
        .collect()
}

/// Returns the order of members in a ranking: more bandwidth first, because the first member
/// sends the data that all others need; then by hash.
fn position(seed: u64, bandwidth: u32, node: &Node) -> (Reverse<u32>, u64) {
    (Reverse(bandwidth), weight(seed, node))
}

/// Returns the member that ranks first for `job` in each failure domain.
pub fn first_of_domains<'a>(
    members: impl Iterator<Item = &'a Arc<Member>>,
    job: &str,
) -> BTreeMap<&'a Name, &'a Arc<Member>> {
    let seed = seed(job);
    let position = |member: &Member| position(seed, member.bandwidth, &member.node);
    let mut first: BTreeMap<&Name, &Arc<Member>> = BTreeMap::new();
    for member in members {
        let current = first.entry(&member.domain).or_insert(member);
        if (position(member), &member.node) < (position(current), &current.node) {
            *current = member;
        }
    }
    first
}

/// Returns the members that rank before `node` for `job`, the nearest rank first; empty
/// if `node` ranks first.
pub fn predecessors<'a>(
    members: impl Iterator<Item = &'a Arc<Member>>,
    job: &str,
    node: &Node,
    bandwidth: u32,
) -> Vec<Arc<Member>> {
    let seed = seed(job);
    let mine = position(seed, bandwidth, node);
    let keyed = members.map(|member| (position(seed, member.bandwidth, &member.node), member));
    let mut predecessors: Vec<_> = keyed
        .filter(|(key, member)| (*key, &member.node) < (mine, node))
        .collect();
    predecessors.sort_unstable_by(|(key_a, a), (key_b, b)| (key_b, &b.node).cmp(&(key_a, &a.node)));
    predecessors
        .into_iter()
        .map(|(_, member)| member.clone())
        .collect()
}
