//! Who does what, by rendezvous hashing.
//!
//! Every node ranks the members it knows by a hash of job and name. Nobody
//! has to agree: where two views differ two nodes may do the same job for a
//! while, and every job given out this way is harmless when done twice.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Name, Node},
    state::member::{Member, Status, Table},
};

/// Nodes of a failure domain that read the log at a time. Two, so that one
/// can die without its domain waiting for anybody to notice.
pub const READERS: usize = 2;

fn weight(job: &str, node: &Node) -> u64 {
    xxh3_64(format!("{job}/{node}").as_bytes())
}

/// Returns the place of `node` for `job` among `others`, 0 being first.
fn place<'a>(job: &str, node: &Node, others: impl Iterator<Item = &'a Node>) -> usize {
    let mine = weight(job, node);
    others
        .filter(|other| *other != node && weight(job, other) < mine)
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
