//! Unreachable nodes and failure domains, and when each is probed.
//!
//! Requests are never used as probes: on every node, a request would have to wait for a
//! connection timeout for each node of a partitioned failure domain. Unreachable nodes are
//! probed in the background ([`probe`](crate::coordination::probe)) with exponential
//! backoff, and get requests again once they answer.
//!
//! If several nodes of one failure domain stop answering one after the other, and no node of it
//! answers in between, the domain counts as partitioned: no requests go to it, and one of its
//! nodes at a time is probed on behalf of all. So a partition costs a node a few failed
//! requests, however many nodes the failure domain has.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    id::{Name, Node},
    state::member::{Member, Table},
};

/// The pause before the first probe of an unreachable node. It doubles with each failed
/// probe, up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between probes of a node, and so the longest time that a recovered
/// node gets no requests. With a connection timeout of 0.25 s, 73 nodes that probe the same
/// dead node send 22 probes a second altogether.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The longest pause between probes of a partitioned failure domain. It is shorter than
/// [`MAX_PAUSE`] because a whole domain without requests leaves far more capacity unused.
const MAX_DOMAIN_PAUSE: Duration = Duration::from_secs(1);

/// Nodes of one failure domain that stop answering one after the other before the domain counts
/// as partitioned. One node may be a dead host and two a coincidence; in a partition, every
/// node that is asked fails to answer.
const PARTITION_NODES: u32 = 3;

/// Unreachable nodes that are probed together. Partitioned failure domains come first and
/// add one node each, even beyond this number.
const MAX_PROBES: usize = 8;

/// How a node failed to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// There was no response: the host or the network path to it is down.
    Silent,
    /// The host refused the connection: it is reachable, but the node's process is gone.
    Closed,
}

/// The nodes and failure domains that are unreachable.
#[derive(Debug, Default)]
pub struct Reachability {
    nodes: HashMap<Node, Outage>,
    domains: HashMap<Name, Domain>,
}

/// Since when a node or a failure domain is unreachable, and when it is probed next.
#[derive(Debug)]
struct Outage {
    domain: Name,
    since: Instant,
    backoff: Backoff,
}

#[derive(Debug, Default)]
struct Domain {
    /// Nodes that stopped answering since any node of the domain last answered.
    unanswered: u32,
    /// Set while the domain is partitioned.
    outage: Option<Outage>,
}

/// When the next probe is sent.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    next_probe: Instant,
    is_probing: bool,
}

impl Backoff {
    fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            next_probe: now + FIRST_PAUSE,
            is_probing: false,
        }
    }

    /// Records a failed probe and schedules the next one after at most `max_pause`.
    fn extend(&mut self, max_pause: Duration, now: Instant) {
        self.failures += 1;
        let pause = (FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8))).min(max_pause);
        // Jitter, so that nodes which found the same node unreachable don't probe it at the
        // same times.
        self.next_probe = now + pause.mul_f64(0.8 + 0.4 * fastrand::f64());
        self.is_probing = false;
    }

    fn is_due(&self, now: Instant) -> bool {
        !self.is_probing && self.next_probe <= now
    }
}

impl Reachability {
    /// Returns whether a node, or its whole failure domain, is unreachable.
    pub fn is_unreachable(&self, member: &Member) -> bool {
        !self.nodes.is_empty()
            && (self.nodes.contains_key(&member.node) || self.is_partitioned(&member.domain))
    }

    /// Returns whether a failure domain counts as partitioned.
    pub fn is_partitioned(&self, domain: &Name) -> bool {
        let domain = self.domains.get(domain);
        domain.is_some_and(|domain| domain.outage.is_some())
    }

    /// Records that a node failed to answer. Returns whether it was reachable before.
    pub fn record_failure(&mut self, member: &Member, failure: Failure, now: Instant) -> bool {
        let is_new = !self.nodes.contains_key(&member.node);
        let outage = self
            .nodes
            .entry(member.node.clone())
            .or_insert_with(|| Outage {
                domain: member.domain.clone(),
                since: now,
                backoff: Backoff::new(now),
            });
        // Only a failure during a probe extends the backoff. Any other one is of a request that
        // was sent before the node became unreachable, and is no new evidence.
        if outage.backoff.is_probing {
            outage.backoff.extend(MAX_PAUSE, now);
        }
        match failure {
            Failure::Closed => self.record_domain_answer(&member.domain),
            Failure::Silent => self.record_no_response(member, is_new, now),
        }
        is_new
    }

    /// Records for the failure domain of `member` that this node did not respond.
    fn record_no_response(&mut self, member: &Member, is_new: bool, now: Instant) {
        let domain = self.domains.entry(member.domain.clone()).or_default();
        domain.unanswered += u32::from(is_new);
        match &mut domain.outage {
            Some(outage) if outage.backoff.is_probing => {
                outage.backoff.extend(MAX_DOMAIN_PAUSE, now);
            }
            Some(_) => {}
            None if domain.unanswered >= PARTITION_NODES => {
                domain.outage = Some(Outage {
                    domain: member.domain.clone(),
                    since: now,
                    backoff: Backoff::new(now),
                });
            }
            None => {}
        }
    }

    /// Records that a node answered. Returns whether it was unreachable before.
    pub fn record_answer(&mut self, member: &Member) -> bool {
        if self.nodes.is_empty() {
            return false;
        }
        self.record_domain_answer(&member.domain);
        let was_unreachable = self.nodes.remove(&member.node).is_some();
        if self.nodes.is_empty() {
            self.domains.clear();
        }
        was_unreachable
    }

    /// Records that a failure domain is reachable. Nodes that became unreachable with its
    /// partition get requests again; each node that is dead is detected by one request.
    fn record_domain_answer(&mut self, domain: &Name) {
        let Some(state) = self.domains.get_mut(domain) else {
            return;
        };
        state.unanswered = 0;
        if let Some(outage) = state.outage.take() {
            // The first nodes failed before the domain counted as partitioned. Outages that
            // began up to `MAX_PAUSE` before that are attributed to the partition.
            let began = outage.since.checked_sub(MAX_PAUSE).unwrap_or(outage.since);
            self.nodes
                .retain(|_, node| node.domain != *domain || node.since < began);
        }
    }

    /// Returns the members to probe now, and marks them as being probed.
    pub fn due_probes(&mut self, table: &Table, now: Instant) -> Vec<Arc<Member>> {
        let mut due = Vec::new();
        for (name, domain) in &mut self.domains {
            let Some(outage) = domain.outage.as_mut().filter(|o| o.backoff.is_due(now)) else {
                continue;
            };
            let inside = table
                .iter()
                .filter(|member| member.domain == *name && member.is_present());
            due.extend(fastrand::choose_multiple(inside, 1).into_iter().cloned());
            outage.backoff.is_probing = true;
        }
        let domains = &self.domains;
        let is_partitioned = |name: &Name| domains.get(name).is_some_and(|d| d.outage.is_some());
        for (node, outage) in &mut self.nodes {
            if due.len() >= MAX_PROBES {
                break;
            }
            if outage.backoff.is_due(now) && !is_partitioned(&outage.domain) {
                outage.backoff.is_probing = true;
                due.extend(table.get(node).cloned());
            }
        }
        due
    }

    /// Returns when the next probe is due, or `None` if there is none to wait for.
    pub fn next_probe(&self) -> Option<Instant> {
        let partitions = self.domains.values().filter_map(|d| d.outage.as_ref());
        let nodes = self
            .nodes
            .values()
            .filter(|outage| !self.is_partitioned(&outage.domain));
        let waiting = partitions
            .chain(nodes)
            .filter(|outage| !outage.backoff.is_probing)
            .map(|outage| outage.backoff.next_probe);
        waiting.min()
    }

    /// Forgets the nodes for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&Node) -> bool) {
        self.nodes.retain(|node, _| known(node));
        if self.nodes.is_empty() {
            self.domains.clear();
        }
    }
}
