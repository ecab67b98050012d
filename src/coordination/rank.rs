//! Who does what, by rendezvous hashing.
//!
//! Every node ranks the members it knows by a hash of job and name. Nobody
//! has to agree: where two views differ two nodes may do the same job for a
//! while, and every job given out this way is harmless when done twice.

use std::{cmp::Reverse, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::{Name, Node},
    state::member::{Member, Status, Table},
};

/// Nodes of a failure domain that read the log at a time. Two, so that one
/// can die without its domain waiting for anybody to notice.
pub const READERS: usize = 2;

/// Members of the same failure domain after a node in the ring of all, which it
/// pings. So each member is pinged by that many others at least.
const SUCCESSORS: usize = 2;

/// Further members of the same failure domain that a node pings. They make the
/// ring a random graph, in which news takes a few steps and not hundreds.
const CHORDS: usize = 4;

/// Members of other failure domains that a node pings.
const FAR: usize = 3;

/// Returns the weight of `node` for the job whose seed this is. Every member is
/// weighed at every look, so nothing is allocated here.
fn weight(seed: u64, node: &Node) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

fn seed(job: &str) -> u64 {
    xxh3_64(job.as_bytes())
}

/// Returns the place of `node` for `job` among `others`, 0 being first.
fn place<'a>(job: &str, node: &Node, others: impl Iterator<Item = &'a Node>) -> usize {
    let seed = seed(job);
    let mine = weight(seed, node);
    others
        .filter(|other| *other != node && weight(seed, other) < mine)
        .count()
}

/// Returns the place of `node` among the readers of its failure domain.
pub fn reader(table: &Table, domain: &Name, node: &Node) -> usize {
    let others = table
        .iter()
        .filter(|m| m.status == Status::Alive && m.domain == *domain);
    place("reader", node, others.map(|m| &m.node))
}

/// Returns the place of `node` as the writer of snapshots for the mesh.
pub fn writer(table: &Table, node: &Node) -> usize {
    let others = table.iter().filter(|m| m.status == Status::Alive);
    place("writer", node, others.map(|m| &m.node))
}

/// Returns the present members of `domain` besides `node`.
pub fn neighbours(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let is_neighbour = |m: &&Arc<Member>| m.domain == *domain && m.node != *node && m.is_present();
    table.iter().filter(is_neighbour).cloned().collect()
}

/// Returns the few members of its failure domain that `node` pings.
///
/// They stay the same while nobody comes or goes, so connections to them are
/// kept. With a random member each time every ping would pay for a new
/// connection, and under TLS for a handshake.
pub fn partners(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let mut ring = neighbours(table, domain, node);
    let order = seed("ring");
    let me = weight(order, node);
    // Distance along the ring from here.
    ring.sort_by_cached_key(|member| weight(order, &member.node).wrapping_sub(me));
    let mut chords = ring.split_off(ring.len().min(SUCCESSORS));
    let order = seed(node.as_str());
    chords.sort_by_cached_key(|member| weight(order, &member.node));
    chords.truncate(CHORDS);
    ring.extend(chords);
    ring
}

/// Returns the few members of other failure domains that `node` pings.
pub fn far_partners(table: &Table, domain: &Name, node: &Node) -> Vec<Arc<Member>> {
    let order = seed(node.as_str());
    let is_far = |m: &&Arc<Member>| m.domain != *domain && m.is_present();
    let weighed = |m| (weight(order, &Arc::<Member>::as_ref(m).node), m);
    let mut far: Vec<(u64, &Arc<Member>)> = table.iter().filter(is_far).map(weighed).collect();
    if far.len() > FAR {
        far.select_nth_unstable_by_key(FAR, |(weight, _)| *weight);
        far.truncate(FAR);
    }
    far.into_iter().map(|(_, member)| member.clone()).collect()
}

/// Returns those before `node` among `members`, ranked for `job`, the nearest
/// first; nothing if it is the first itself.
///
/// Wide links go first: the first one carries what all others need to know.
pub fn before<'a>(
    members: impl Iterator<Item = &'a Arc<Member>>,
    job: &str,
    node: &Node,
    bandwidth: u32,
) -> Vec<Arc<Member>> {
    let seed = seed(job);
    let key = |bandwidth, node| (Reverse(bandwidth), weight(seed, node));
    let mine = key(bandwidth, node);
    let keyed = members.map(|member| (key(member.bandwidth, &member.node), member));
    let mut lower: Vec<_> = keyed
        .filter(|(key, member)| (*key, &member.node) < (mine, node))
        .collect();
    lower.sort_unstable_by(|(one, a), (other, b)| (other, &b.node).cmp(&(one, &a.node)));
    lower
        .into_iter()
        .map(|(_, member)| member.clone())
        .collect()
}
