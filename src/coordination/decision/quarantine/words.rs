//! What nodes tell of requests under which targets end, put together.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use super::culprits::ENDS;
use crate::{
    id::{Instance, Node},
    state::{
        evidence::{Cleared, End, Evidence, Held},
        fingerprint::Fingerprint,
    },
};

/// What another node tells.
#[derive(Clone, Copy, Debug)]
pub struct Word<'a> {
    /// The node.
    pub node: &'a Node,
    /// Whether it is there.
    pub is_present: bool,
    /// What it tells.
    pub evidence: &'a Evidence,
}

/// An end as this node sees it.
pub struct Open<'a> {
    /// The node, if it is not this one.
    pub node: Option<&'a Node>,
    /// Which life of its target.
    pub instance: &'a Instance,
    /// When this node learned of it.
    pub learned: Instant,
    /// What it was running.
    pub all: &'a [Fingerprint],
    /// The same without what a target has answered since.
    pub left: HashSet<Fingerprint>,
}

/// What all nodes together tell of a request that is held back.
#[derive(Clone, Copy)]
pub struct Told<'a> {
    /// Targets that ended under it.
    pub ends: u8,
    /// The first by name of the nodes that tell so and are there.
    pub first: Option<&'a Node>,
}

/// Returns the ends that this node and others tell; its own have no node.
pub fn all_ends<'a>(
    own: &'a Evidence,
    others: &[Word<'a>],
) -> impl Iterator<Item = (Option<&'a Node>, &'a End)> {
    let theirs = others.iter().flat_map(|word| {
        let node = word.node;
        word.evidence.ends.iter().map(move |end| (Some(node), end))
    });
    own.ends.iter().map(|end| (None, end)).chain(theirs)
}

/// Returns since when so many ends speak against a request that it may be held back; an
/// answer that came later speaks for it.
pub fn speaks_since(ends: &[Open<'_>], content: &Fingerprint) -> Option<Instant> {
    let with = ends.iter().filter(|end| end.all.contains(content));
    let mut learned: Vec<Instant> = with.map(|end| end.learned).collect();
    learned.sort_unstable();
    learned.into_iter().rev().nth(ENDS - 1)
}

/// Returns how often each request was cleared, as far as nodes tell.
pub fn cleared(own: &Evidence, others: &[Word<'_>]) -> HashMap<Fingerprint, u32> {
    let theirs = others.iter().map(|word| word.evidence);
    let told = theirs.chain([own]).flat_map(|evidence| &evidence.cleared);
    let mut cleared = HashMap::new();
    for Cleared { content, times } in told {
        let most = cleared.entry(*content).or_insert(0);
        *most = (*times).max(*most);
    }
    cleared
}

/// Returns what all nodes tell to be held back and none has cleared since.
pub fn told<'a>(
    me: &'a Node,
    own: &Evidence,
    others: &[Word<'a>],
    cleared: &HashMap<Fingerprint, u32>,
) -> HashMap<Fingerprint, Told<'a>> {
    let own = own.held.iter().map(|held| (Some(me), held));
    let theirs = others.iter().flat_map(|word| {
        let node = Some(word.node).filter(|_| word.is_present);
        word.evidence.held.iter().map(move |held| (node, held))
    });
    let times = |content: &Fingerprint| cleared.get(content).copied().unwrap_or(0);
    let holds = |(_, held): &(_, &Held)| held.round >= times(&held.content);
    let mut told: HashMap<Fingerprint, Told<'a>> = HashMap::new();
    for (node, held) in own.chain(theirs).filter(holds) {
        let all = told.entry(held.content).or_insert(Told {
            ends: 0,
            first: None,
        });
        all.ends = all.ends.max(held.ends);
        all.first = all.first.into_iter().chain(node).min();
    }
    told
}
