//! The nodes of the mesh and the targets beside them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Incarnation, Instance, Name, Node, Release},
    state::{evidence::Evidence, selector::Labels},
};

/// Groups into which members fall for comparing two tables.
pub const BUCKETS: usize = 128;

/// What is known about one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: Node,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Counts what the node says about itself within one life.
    pub sequence: u64,
    /// Whether it is there.
    pub status: Status,
    /// The failure domain it is in.
    pub domain: Name,
    /// Where other nodes reach it for control.
    pub peers: SocketAddr,
    /// Where other nodes send requests for its targets.
    pub inbound: SocketAddr,
    /// The proxy's labels.
    pub labels: Labels,
    /// The targets announced to it.
    pub targets: Vec<Target>,
    /// What its host's link carries, in Mbit/s, if it says so; 0 if not.
    #[serde(default)]
    pub bandwidth: u32,
    /// What it knows of requests under which targets ended.
    #[serde(default, skip_serializing_if = "Evidence::is_empty")]
    pub evidence: Evidence,
}

/// Whether a member is there. The order decides between two claims about the
/// same life: the later one wins.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Status {
    /// In service.
    Alive,
    /// Did not answer; may still refute it.
    Suspect,
    /// Leaving of its own will: gets no new work.
    Leaving,
    /// Gone.
    Gone,
}

/// A target beside a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service it offers.
    pub service: Name,
    /// Where the node reaches it.
    pub address: SocketAddr,
    /// Whether it speaks HTTP/2 without being asked.
    pub http2: bool,
    /// Whether it is leaving and gets no new work.
    pub draining: bool,
    /// Requests it runs at a time, if it says so; 0 if not.
    #[serde(default)]
    pub slots: u32,
    /// The life of the target's process, if it names it.
    #[serde(default)]
    pub instance: Instance,
    /// The release of its program, if it names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Release>,
    /// How it did while its release is on trial, as the node beside it sees it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<Verdict>,
}

impl Target {
    /// Returns whether it fails on the trial of an order, if that is known.
    pub fn is_failing(&self, order: u64) -> Option<bool> {
        let verdict = self.verdict.filter(|verdict| verdict.order == order);
        verdict.map(|verdict| verdict.is_failing)
    }
}

/// How a target of a release on trial did.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The order whose trial it is: [`Rollout::order`](crate::state::rollout::Rollout).
    pub order: u64,
    /// Whether it did worse than the release that serves.
    pub is_failing: bool,
}

impl Member {
    /// Returns what decides which of two claims about a node is newer.
    pub fn stamp(&self) -> (Incarnation, u64, Status) {
        (self.incarnation, self.sequence, self.status)
    }

    /// Returns the target of a service beside it, if there is one.
    pub fn target(&self, service: &Name) -> Option<&Target> {
        self.targets.iter().find(|t| t.service == *service)
    }

    fn mark(&self) -> u32 {
        let (incarnation, sequence, status) = self.stamp();
        xxh3_64(format!("{} {incarnation} {sequence} {status:?}", self.node).as_bytes()) as u32
    }

    /// Returns whether the member may be asked for anything.
    pub fn is_present(&self) -> bool {
        matches!(
            self.status,
            Status::Alive | Status::Suspect | Status::Leaving
        )
    }
}

/// Returns the bucket a node falls into.
pub fn bucket(node: &Node) -> usize {
    xxh3_64(node.as_str().as_bytes()) as usize % BUCKETS
}

/// All members known, indexed by service.
#[derive(Clone, Debug)]
pub struct Table {
    members: HashMap<Node, Arc<Member>>,
    /// By service, those of a failure domain beside each other.
    offers: BTreeMap<Name, Vec<Arc<Member>>>,
    /// Targets of each release, by service.
    releases: BTreeMap<Name, BTreeMap<Release, usize>>,
    marks: Vec<u32>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            members: HashMap::new(),
            offers: BTreeMap::new(),
            releases: BTreeMap::new(),
            marks: vec![0; BUCKETS],
        }
    }
}

impl Table {
    /// Takes `member` in if it is newer than what is held.
    ///
    /// Returns whether it was.
    pub fn merge(&mut self, member: Member) -> bool {
        let held = self.members.get(&member.node);
        if held.is_some_and(|held| held.stamp() >= member.stamp()) {
            return false;
        }
        if let Some(old) = held.cloned() {
            self.unindex(&old);
        }
        self.index(Arc::new(member));
        true
    }

    /// Forgets a member that has been gone for long.
    pub fn forget(&mut self, node: &Node) {
        if let Some(old) = self.members.remove(node) {
            self.unindex(&old);
        }
    }

    fn index(&mut self, member: Arc<Member>) {
        self.marks[bucket(&member.node)] ^= member.mark();
        if member.is_present() {
            for target in &member.targets {
                let offers = self.offers.entry(target.service.clone()).or_default();
                if !offers.iter().any(|other| other.node == member.node) {
                    let at = offers.partition_point(|other| other.domain <= member.domain);
                    offers.insert(at, member.clone());
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
        self.marks[bucket(&old.node)] ^= old.mark();
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

    /// Returns the release of most targets of a service, other than `but`; the first by
    /// name among equals, so that all nodes which know the same members agree.
    pub fn main_release(&self, service: &Name, but: Option<&Release>) -> Option<&Release> {
        let counts = self.releases.get(service)?.iter();
        let others = counts.filter(|(release, _)| Some(*release) != but);
        let most = others.rev().max_by_key(|(_, count)| **count);
        most.map(|(release, _)| release)
    }

    /// Returns whether targets of several releases offer a service.
    pub fn has_releases(&self, service: &Name) -> bool {
        self.releases
            .get(service)
            .is_some_and(|counts| counts.len() > 1)
    }

    /// Returns a member.
    pub fn get(&self, node: &Node) -> Option<&Arc<Member>> {
        self.members.get(node)
    }

    /// Returns all members, in no order.
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

    /// Returns the members beside which a target of `service` runs.
    pub fn offers(&self, service: &Name) -> &[Arc<Member>] {
        self.offers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the members beside which a target of `service` runs, in three parts: those
    /// of failure domains before `domain`, those of it, and those of domains after it.
    pub fn offers_around(&self, service: &Name, domain: &Name) -> [&[Arc<Member>]; 3] {
        let offers = self.offers(service);
        let begins = offers.partition_point(|member| member.domain < *domain);
        let (before, rest) = offers.split_at(begins);
        let (within, after) = rest.split_at(rest.partition_point(|m| m.domain == *domain));
        [before, within, after]
    }

    /// Returns one mark per bucket; two tables hold the same where the marks
    /// are equal.
    pub fn marks(&self) -> &[u32] {
        &self.marks
    }

    /// Returns the members in the buckets whose mark differs from `marks`.
    pub fn differing(&self, marks: &[u32]) -> Vec<&Arc<Member>> {
        let differs = |node: &Node| {
            let bucket = bucket(node);
            marks.get(bucket) != Some(&self.marks[bucket])
        };
        self.members
            .values()
            .filter(|member| differs(&member.node))
            .collect()
    }
}
