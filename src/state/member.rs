//! The nodes of the mesh and the targets beside them, with the rules for merging
//! records of them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Generation, Incarnation, Instance, Name, Node, Release},
    state::{evidence::Evidence, selector::Labels},
};

/// The number of groups of members when two tables are compared.
pub const BUCKETS: usize = 128;

/// A record of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: Node,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Orders the node's records of itself within one incarnation: each has a greater number than
    /// the ones before it, also than those whose write failed.
    pub sequence: u64,
    /// Whether the node is available.
    pub status: Status,
    /// The failure domain of the node.
    pub domain: Name,
    /// The address for control messages from other nodes.
    pub peers: SocketAddr,
    /// The address to which other nodes send requests for its targets.
    pub inbound: SocketAddr,
    /// The proxy's labels.
    pub labels: Labels,
    /// The targets that have announced themselves to the node.
    pub targets: Vec<Target>,
    /// The bandwidth of its host's network link in Mbit/s; 0 if not reported.
    #[serde(default)]
    pub bandwidth: u32,
    /// Its evidence of requests under which targets crashed.
    #[serde(default, skip_serializing_if = "Evidence::is_empty")]
    pub evidence: Evidence,
    /// The generation of the key under which the store has this record. Daemons send members to
    /// each other without the names of fields, so it comes last and is left out if it is not set.
    #[serde(default, skip_serializing_if = "Generation::is_default")]
    pub generation: Generation,
}

/// The availability of a member.
///
/// Of two records of the same incarnation with the same sequence, the one
/// whose status comes later in this order wins.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Status {
    /// In service.
    Alive,
    /// Did not answer. The node can refute the suspicion.
    Suspect,
    /// Shutting down as planned: gets no new requests.
    Leaving,
    /// Stopped, or unreachable for too long.
    Gone,
}

/// A target beside a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service of the target.
    pub service: Name,
    /// The address at which the node reaches it.
    pub address: SocketAddr,
    /// Whether it accepts HTTP/2 with prior knowledge.
    pub http2: bool,
    /// Whether it is shutting down and gets no new requests.
    pub draining: bool,
    /// The number of requests that it runs at a time; 0 if not reported.
    #[serde(default)]
    pub slots: u32,
    /// The instance of the target's process, if reported.
    #[serde(default)]
    pub instance: Instance,
    /// The release of its program, if reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Release>,
    /// How it performs while its release is on trial, as judged by the node
    /// beside it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<Verdict>,
}

impl Target {
    /// Returns whether the target fails on the trial of `order`, or `None` if it
    /// has no verdict for that order.
    pub fn is_failing(&self, order: u64) -> Option<bool> {
        let verdict = self.verdict.filter(|verdict| verdict.order == order);
        verdict.map(|verdict| verdict.is_failing)
    }
}

/// How a target of a release on trial performs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The roll-out order of the trial:
    /// [`Rollout::order`](crate::state::rollout::Rollout).
    pub order: u64,
    /// Whether it performs worse than the serving release.
    pub is_failing: bool,
}

impl Member {
    /// Returns the key of the store under which this record is written.
    pub fn key(&self) -> String {
        record_key(&self.node, self.generation)
    }

    /// Returns the precedence of the report: of two reports about a node, the one
    /// with the greater value is newer.
    pub fn precedence(&self) -> (Incarnation, u64, Status) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Returns the node's target of a service, if it has one.
    pub fn target(&self, service: &Name) -> Option<&Target> {
        self.targets.iter().find(|t| t.service == *service)
    }

    /// Returns the hash by which tables compare this report.
    fn hash(&self) -> u32 {
        let (incarnation, sequence, status) = self.precedence();
        xxh3_64(format!("{} {incarnation} {sequence} {status:?}", self.node).as_bytes()) as u32
    }

    /// Returns whether other nodes may contact the member.
    pub fn is_present(&self) -> bool {
        matches!(
            self.status,
            Status::Alive | Status::Suspect | Status::Leaving
        )
    }
}

/// Returns the key of the store for a node's records of a generation. No two nodes share a key,
/// because names don't contain `@`.
pub fn record_key(node: &Node, generation: Generation) -> String {
    if generation.is_default() {
        node.to_string()
    } else {
        format!("{node}@{generation}")
    }
}

/// Returns the bucket of a node, below [`BUCKETS`].
pub fn bucket(node: &Node) -> usize {
    xxh3_64(node.as_str().as_bytes()) as usize % BUCKETS
}

/// All known members, indexed by service.
#[derive(Clone, Debug)]
pub struct Table {
    members: HashMap<Node, Arc<Member>>,
    /// Members with a target of each service, ordered by failure domain.
    offers: BTreeMap<Name, Vec<Arc<Member>>>,
    /// The number of targets of each release, by service.
    releases: BTreeMap<Name, BTreeMap<Release, usize>>,
    /// For each bucket, the XOR of the hashes of its members.
    bucket_hashes: Vec<u32>,
    /// Members whose record in the store is older than the one here.
    overwritten: BTreeSet<Node>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            members: HashMap::new(),
            offers: BTreeMap::new(),
            releases: BTreeMap::new(),
            bucket_hashes: vec![0; BUCKETS],
            overwritten: BTreeSet::new(),
        }
    }
}

impl Table {
    /// Stores `member` if it is newer than the stored record of the same node.
    ///
    /// Returns whether it was stored.
    pub fn merge(&mut self, member: Member) -> bool {
        let stored = self.members.get(&member.node);
        if stored.is_some_and(|stored| stored.precedence() >= member.precedence()) {
            return false;
        }
        if let Some(old) = stored.cloned() {
            self.unindex(&old);
        }
        self.index(Arc::new(member));
        true
    }

    /// Stores a record that was read from the store, unless the stored record of the same node is
    /// newer. In that case the member is [overwritten](Self::overwritten): the store executed an
    /// earlier write after a later one.
    ///
    /// Returns whether it was stored.
    pub fn merge_from_store(&mut self, member: Member) -> bool {
        let held = self.members.get(&member.node);
        if held.is_some_and(|held| held.precedence() > member.precedence()) {
            self.overwritten.insert(member.node);
            return false;
        }
        self.overwritten.remove(&member.node);
        self.merge(member)
    }

    /// Returns the members whose newest record in the store is older than the one here.
    ///
    /// Whoever loads the members from the store alone gets the older record, so the node that
    /// writes the record has to write it again.
    pub fn overwritten(&self) -> &BTreeSet<Node> {
        &self.overwritten
    }

    /// Sets whether the store has an older record of a member than the one here.
    pub fn set_overwritten(&mut self, node: &Node, is_overwritten: bool) {
        if is_overwritten {
            self.overwritten.insert(node.clone());
        } else {
            self.overwritten.remove(node);
        }
    }

    /// Removes a member, used once it has been gone for long.
    pub fn forget(&mut self, node: &Node) {
        self.overwritten.remove(node);
        if let Some(old) = self.members.remove(node) {
            self.unindex(&old);
        }
    }

    fn index(&mut self, member: Arc<Member>) {
        self.bucket_hashes[bucket(&member.node)] ^= member.hash();
        if member.is_present() {
            for target in &member.targets {
                let offers = self.offers.entry(target.service.clone()).or_default();
                if !offers.iter().any(|other| other.node == member.node) {
                    let position = offers.partition_point(|other| other.domain <= member.domain);
                    offers.insert(position, member.clone());
                    if let Some(release) = &target.release {
                        let counts = self.releases.entry(target.service.clone()).or_default();
                        *counts.entry(release.clone()).or_default() += 1;
                    }
                }
            }
        }
        self.members.insert(member.node.clone(), member);
    }

    fn unindex(&mut self, old: &Member) {
        self.bucket_hashes[bucket(&old.node)] ^= old.hash();
        for target in &old.targets {
            let Some(offers) = self.offers.get_mut(&target.service) else {
                continue;
            };
            let before = offers.len();
            offers.retain(|other| other.node != old.node);
            if offers.len() == before {
                continue;
            }
            if let Some(release) = &target.release
                && let Some(counts) = self.releases.get_mut(&target.service)
                && let Some(count) = counts.get_mut(release)
            {
                *count -= 1;
                if *count == 0 {
                    counts.remove(release);
                }
            }
        }
    }

    /// Returns the release with the most targets of a service, except `excluded`.
    ///
    /// Of several with the same number it returns the first by name, so that all
    /// nodes that know the same members agree.
    pub fn most_common_release(
        &self,
        service: &Name,
        excluded: Option<&Release>,
    ) -> Option<&Release> {
        let counts = self.releases.get(service)?.iter();
        let others = counts.filter(|(release, _)| Some(*release) != excluded);
        let most = others.rev().max_by_key(|(_, count)| **count);
        most.map(|(release, _)| release)
    }

    /// Returns whether the targets of a service are of more than one release.
    pub fn has_several_releases(&self, service: &Name) -> bool {
        self.releases
            .get(service)
            .is_some_and(|counts| counts.len() > 1)
    }

    /// Returns the member of a node, if it is known.
    pub fn get(&self, node: &Node) -> Option<&Arc<Member>> {
        self.members.get(node)
    }

    /// Returns all members, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the members that have a target of `service`, ordered by failure
    /// domain.
    pub fn providers(&self, service: &Name) -> &[Arc<Member>] {
        self.offers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the members that have a target of `service`, one slice for each of their failure
    /// domains.
    pub fn providers_by_domain(&self, service: &Name) -> impl Iterator<Item = &[Arc<Member>]> {
        let mut rest = self.providers(service);
        std::iter::from_fn(move || {
            let domain = &rest.first()?.domain;
            let end = rest.partition_point(|member| member.domain <= *domain);
            let (members, others) = rest.split_at(end);
            rest = others;
            Some(members)
        })
    }

    /// Returns one hash for each bucket. Two tables have the same members in a
    /// bucket if its hashes are equal.
    pub fn bucket_hashes(&self) -> &[u32] {
        &self.bucket_hashes
    }

    /// Returns the members in the buckets whose hash differs from the one in
    /// `hashes`.
    pub fn in_differing_buckets(&self, hashes: &[u32]) -> Vec<&Arc<Member>> {
        let differs = |node: &Node| {
            let bucket = bucket(node);
            hashes.get(bucket) != Some(&self.bucket_hashes[bucket])
        };
        self.members
            .values()
            .filter(|member| differs(&member.node))
            .collect()
    }
}
