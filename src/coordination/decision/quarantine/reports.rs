//! Combines the evidence that all nodes report on requests under which targets crash.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use super::culprits::MIN_CRASHES;
use crate::{
    id::{Instance, Node},
    state::{
        evidence::{Cleared, Crash, Evidence, QuarantineEntry},
        fingerprint::Fingerprint,
    },
};

/// The evidence of a peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerEvidence<'a> {
    /// The peer.
    pub node: &'a Node,
    /// Whether the peer is still a member: its status is not gone.
    pub is_present: bool,
    /// What the peer reports.
    pub evidence: &'a Evidence,
}

/// A crash that still counts as evidence, as this node knows it.
pub struct OpenCrash<'a> {
    /// The node beside which the target crashed; `None` for this one.
    pub node: Option<&'a Node>,
    /// The instance that crashed.
    pub instance: &'a Instance,
    /// When this node learned of the crash.
    pub learned: Instant,
    /// The requests that the target was running.
    pub contents: &'a [Fingerprint],
    /// Those of them that no target has answered since.
    pub unanswered: HashSet<Fingerprint>,
}

/// What all nodes together report on a quarantined request.
#[derive(Clone, Copy)]
pub struct Reported<'a> {
    /// The number of targets that crashed under the request.
    pub crashes: u8,
    /// The first by name of the present nodes that report the request as quarantined.
    pub first_node: Option<&'a Node>,
}

/// Returns the crashes that this node and its peers report, the former without a node.
pub fn all_crashes<'a>(
    own: &'a Evidence,
    peers: &[PeerEvidence<'a>],
) -> impl Iterator<Item = (Option<&'a Node>, &'a Crash)> {
    let theirs = peers.iter().flat_map(|peer| {
        let node = peer.node;
        peer.evidence
            .ends
            .iter()
            .map(move |crash| (Some(node), crash))
    });
    own.ends.iter().map(|crash| (None, crash)).chain(theirs)
}

/// Returns since when enough crashes are known to quarantine a request: when this node learned
/// of the second latest. A response after that clears the request.
pub fn suspected_since(crashes: &[OpenCrash<'_>], content: &Fingerprint) -> Option<Instant> {
    let with = crashes
        .iter()
        .filter(|crash| crash.contents.contains(content));
    let mut learned: Vec<Instant> = with.map(|crash| crash.learned).collect();
    learned.sort_unstable();
    learned.into_iter().rev().nth(MIN_CRASHES - 1)
}

/// Returns how often each request was cleared: the highest count that any node reports.
pub fn clear_counts(own: &Evidence, peers: &[PeerEvidence<'_>]) -> HashMap<Fingerprint, u32> {
    let theirs = peers.iter().map(|peer| peer.evidence);
    let cleared = theirs.chain([own]).flat_map(|evidence| &evidence.cleared);
    let mut counts = HashMap::new();
    for Cleared { content, times } in cleared {
        let most = counts.entry(*content).or_insert(0);
        *most = (*times).max(*most);
    }
    counts
}

/// Returns the requests that nodes report as quarantined and that no node has cleared since.
pub fn reported<'a>(
    me: &'a Node,
    own: &Evidence,
    peers: &[PeerEvidence<'a>],
    clear_counts: &HashMap<Fingerprint, u32>,
) -> HashMap<Fingerprint, Reported<'a>> {
    let own = own.held.iter().map(|entry| (Some(me), entry));
    let theirs = peers.iter().flat_map(|peer| {
        let node = Some(peer.node).filter(|_| peer.is_present);
        peer.evidence.held.iter().map(move |entry| (node, entry))
    });
    let clear_count = |content: &Fingerprint| clear_counts.get(content).copied().unwrap_or(0);
    let is_valid = |(_, entry): &(_, &QuarantineEntry)| entry.round >= clear_count(&entry.content);
    let mut reported: HashMap<Fingerprint, Reported<'a>> = HashMap::new();
    for (node, entry) in own.chain(theirs).filter(is_valid) {
        let all = reported.entry(entry.content).or_insert(Reported {
            crashes: 0,
            first_node: None,
        });
        all.crashes = all.crashes.max(entry.ends);
        all.first_node = all.first_node.into_iter().chain(node).min();
    }
    reported
}
