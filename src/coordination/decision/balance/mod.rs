//! Chooses the node that a request goes to, by what this node has observed of each.
//!
//! A few targets are drawn at random, some in the request's failure domain and some in others,
//! and the one with the shortest expected response time is chosen. Random draws keep the nodes
//! from all choosing the same target.
//!
//! A target in another failure domain has the cost of the network path added: its round trip
//! and, since traffic between failure domains is paid for by the byte, a time for each
//! kilobyte. So an upload stays in its failure domain where a lookup goes to a faster target
//! elsewhere. The path to another region costs a multiple of that: it is tens of milliseconds
//! long, and all traffic between two regions shares it.
//!
//! A target that stated its leave in an answer that this node passed on gets nothing more from
//! this node, whatever the node beside it knows. That one may have started again since, without
//! having recorded the leave.
//!
//! A node that is unreachable, or has left requests unanswered for longer than `MAX_SILENCE`,
//! gets no requests until it responds again.

mod draw;
mod outcome;
mod peer;
mod staleness;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::outcome::AttemptResult;
use self::{
    draw::draw,
    peer::{Peer, Process},
};
use crate::{
    coordination::decision::{
        reach::{Failure, Reachability},
        slowness::Services,
    },
    id::{Name, Node},
    protocol::{
        dialect::{Load, Slowdown, Slowness},
        hop::Limit,
        notice::Notice,
    },
    state::{
        member::{Member, Status, Table},
        region::{Distance, Regions},
    },
};

/// Targets of the request's failure domain that are drawn. Two spread load well; a third
/// finds a fast one more often where speeds differ by three times.
const NEAR_DRAWS: usize = 3;

/// Targets of other failure domains that are drawn.
const FAR_DRAWS: usize = 2;

/// Cost of the round trip to another failure domain, in seconds: 3 ms on the network; the rest
/// is the price of an ordinary response's bytes, expressed as a time. At 3 ms alone, lookups
/// were sent to other failure domains for gains of a few milliseconds and cost more than they
/// gained (docs/MEASURES.md).
const FAR_TRIP_COST: f64 = 0.04;

/// Cost of a kilobyte of a request or its response to or from another failure domain, in
/// seconds: an upload or download of 60 KB goes there only if it would fail in the failure
/// domain of the request.
const FAR_KILOBYTE_COST: f64 = 0.007;

/// Cost of the path to another region, as a multiple of the one to another failure domain.
const REGION_COST: f64 = 10.0;

/// Slowdown of a target with all slots in use, as a share of the run time. It grows in
/// proportion to usage.
const USAGE_COST: f64 = 0.3;

/// Usage of slots from which a target counts as crowded. It is below 1 because the known
/// load is up to 0.5 s old, and other nodes send there, too.
const CROWDED_USAGE: f64 = 0.75;

/// Cost of each unit of usage above [`CROWDED_USAGE`], as a multiple of the run time. At 1, and
/// counted only from full usage on, all senders chose the fast targets, where requests waited
/// or were refused while slow targets had free slots (docs/MEASURES.md).
const CROWDING_COST: f64 = 3.0;

/// Assumed time of a response on a route without observations, in seconds.
const INITIAL_MEAN: f64 = 0.15;

/// Weight of the newest request in the moving averages of times, sizes and slowdowns.
const NEWEST_WEIGHT: f64 = 0.1;

/// Weight of a reported slowdown in the moving average for its target. The target's node has
/// observed all its requests; this node has observed a few.
const REPORT_WEIGHT: f64 = 0.7;

/// Ejection time of a node at whose address another node answers. Its host was replaced. If a
/// node takes over its name, the ejection ends: that node has another incarnation, or its
/// target is another instance, so its observations start anew.
const REPLACED_EJECTION: Duration = Duration::from_secs(30);

/// Failures of a target at which it is ejected; each response subtracts one.
const MAX_FAILURES: u32 = 4;

/// Observations of the other nodes and of this node's own target, by which nodes are chosen.
#[derive(Debug, Default)]
pub struct Balancer {
    peers: HashMap<Node, Peer>,
    /// The mean run time of a request of each route, in seconds.
    run_times: HashMap<Name, f64>,
    /// The mean size of a response on each route, in bytes.
    answer_sizes: HashMap<Name, f64>,
    /// The mean response time of requests with a large body or response on each route, in
    /// seconds.
    transfer_times: HashMap<Name, f64>,
    /// The services whose targets state their slowness.
    stating: Services,
    /// Which nodes are unreachable.
    pub reachability: Reachability,
}

/// Counts of the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCounts {
    /// Known targets.
    pub known: usize,
    /// Draining targets.
    pub draining: usize,
    /// Excluded targets that are not draining: unreachable, ejected, or beside a node that has
    /// left requests unanswered for longer than `MAX_SILENCE`.
    pub excluded: usize,
}

/// The request and the node that a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The node that chooses. It reaches its own target without a network path.
    pub node: &'a Node,
    /// The route of the request.
    pub route: &'a Name,
    /// The service that is to run it.
    pub service: &'a Name,
    /// The failure domain that it comes from.
    pub domain: &'a Name,
    /// The regions of the failure domains.
    pub regions: &'a Regions,
    /// The size of its body, in bytes.
    pub bytes: usize,
    /// The load of the target beside the node.
    pub own_load: Load,
}

impl Criteria<'_> {
    fn distance(&self, member: &Member) -> Distance {
        self.regions.distance(self.domain, &member.domain)
    }
}

/// What a node reports of its target with a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// The target's load.
    pub load: Option<Load>,
    /// The target's slowdown.
    pub slowdown: Option<Slowdown>,
    /// The run time of the request. Without it, the response time is used, which includes the
    /// network path and the wait for a slot, so a target that gets many uploads seems slower
    /// than it is.
    pub run_time: Option<Duration>,
    /// Whether the request's body was large.
    pub is_large: bool,
    /// What the target stated in its answer, if there is one.
    pub notice: Option<Notice>,
    /// The slowness that the target stated last, if its node knows it.
    pub slowness: Option<Slowness>,
}

/// The node that was chosen, and the figures that it was chosen by.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The node.
    pub member: Arc<Member>,
    /// The expected usage of its target's slots, where 1 is full.
    pub usage: f64,
    /// The expected time to a response, in seconds; the lowest of those drawn.
    pub cost: f64,
    /// The number of known targets of the service.
    pub candidates: usize,
    /// The number of eligible targets that were drawn, the chosen one included.
    pub eligible: usize,
}

impl Balancer {
    fn peer(&mut self, member: &Member, now: Instant) -> &mut Peer {
        let peer = self
            .peers
            .entry(member.node.clone())
            .or_insert_with(|| Peer::new(Process::of(member), now));
        if !peer.process.matches(member) {
            // Observations of an earlier incarnation of the node, or instance of its target,
            // don't apply to this one.
            *peer = Peer {
                outstanding: peer.outstanding,
                stated: peer.stated.take(),
                ..Peer::new(Process::of(member), now)
            };
        }
        peer
    }

    /// Returns the node to send a request to, or `None` if every node that `is_allowed` accepts
    /// is excluded or has no target of the service.
    pub fn choose(
        &mut self,
        table: &Table,
        criteria: Criteria<'_>,
        is_allowed: impl Fn(&Member) -> bool,
        now: Instant,
    ) -> Option<Choice> {
        let serves = |member: &Arc<Member>| {
            let mut targets = member.targets.iter();
            let has_target = targets.any(|t| t.service == *criteria.service && !t.draining);
            has_target && member.status == Status::Alive && is_allowed(member)
        };
        let mut by_distance: [Vec<&[Arc<Member>]>; 3] = Default::default();
        for members in table.providers_by_domain(criteria.service) {
            by_distance[criteria.distance(&members[0]) as usize].push(members);
        }
        let [near, region, other_regions] = by_distance;
        let mut is_eligible =
            |member: &Arc<Member>| serves(member) && !self.is_excluded(member, criteria.node, now);
        let mut drawn = draw(&near, NEAR_DRAWS, &mut is_eligible);
        for lists in [region, other_regions] {
            // Where none is nearer, as many are drawn as otherwise in all.
            let most = if drawn.is_empty() {
                NEAR_DRAWS + FAR_DRAWS
            } else {
                FAR_DRAWS
            };
            drawn.extend(draw(&lists, most, &mut is_eligible));
        }
        // The first of equal costs is chosen, and must not be the same at all nodes.
        fastrand::shuffle(&mut drawn);
        let typical = self.reported_usage(&drawn, criteria.service, now);
        let eligible = drawn.len();
        let estimates = drawn.into_iter().map(|member| {
            let (usage, cost) = self.estimate(member, &criteria, typical, now);
            (member, usage, cost)
        });
        let best = estimates.min_by(|(_, _, one), (_, _, other)| one.total_cmp(other));
        best.map(|(member, usage, cost)| Choice {
            member: member.clone(),
            usage,
            cost,
            candidates: table.providers(criteria.service).len(),
            eligible,
        })
    }

    /// Returns whether a member gets no requests for now: it is unreachable or ejected, has left
    /// requests unanswered for too long, or its target leaves. `me` is the node that chooses.
    pub fn is_excluded(&mut self, member: &Member, me: &Node, now: Instant) -> bool {
        let is_unreachable = member.node != *me && self.reachability.is_unreachable(member);
        let peer = self.peer(member, now);
        is_unreachable || peer.is_excluded(now) || peer.is_leaving(member)
    }

    /// Returns the limit that the target beside a node stated in the last answer that this node
    /// passed on.
    pub fn stated_limit(&self, member: &Member) -> Option<Limit> {
        self.peers.get(&member.node)?.limit(member)
    }

    /// Returns the number of targets of a service, as the node `me` observes them.
    pub fn count_targets(
        &mut self,
        table: &Table,
        service: &Name,
        me: &Node,
        now: Instant,
    ) -> TargetCounts {
        let mut count = TargetCounts::default();
        for member in table.providers(service) {
            let mut targets = member.targets.iter();
            let is_draining = targets.any(|t| t.service == *service && t.draining);
            count.known += 1;
            count.draining += usize::from(is_draining);
            let is_excluded = self.is_excluded(member, me, now);
            count.excluded += usize::from(!is_draining && is_excluded);
        }
        count
    }

    /// Returns the mean usage of the slots of those members whose load was reported; 0 if none
    /// was.
    fn reported_usage(&mut self, members: &[&Arc<Member>], service: &Name, now: Instant) -> f64 {
        let usage = |member: &&Arc<Member>| {
            let requests = self.peer(member, now).reported_requests(now)?;
            Some(requests / slots(member, service))
        };
        let usages = members.iter().filter_map(usage);
        let (sum, count) = usages.fold((0.0, 0u32), |(sum, count), usage| (sum + usage, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Returns the usage of a target's slots with one more request, where 1 is full, and the
    /// expected time to its response, in seconds.
    /// `typical_usage` is the mean of the targets that it is compared with, by reports.
    fn estimate(
        &mut self,
        member: &Member,
        criteria: &Criteria<'_>,
        typical_usage: f64,
        now: Instant,
    ) -> (f64, f64) {
        let answer = self.answer_size(criteria.route);
        let is_large = is_large(criteria.bytes) || is_large(answer);
        let means = if is_large {
            &self.transfer_times
        } else {
            &self.run_times
        };
        let mean_of = |means: &HashMap<Name, f64>| means.get(criteria.route).copied();
        let mean = mean_of(means).unwrap_or(INITIAL_MEAN);
        // Slots turn over with run times, also where a transfer takes many times as long.
        let mean_run_time = mean_of(&self.run_times).unwrap_or(INITIAL_MEAN);
        let slots = slots(member, criteria.service);
        let peer = self.peer(member, now);
        let requests = if member.node == *criteria.node {
            f64::from(criteria.own_load.running) + f64::from(criteria.own_load.waiting)
        } else {
            peer.expected_requests(typical_usage * slots, mean_run_time, now)
        };
        let usage = (requests + 1.0) / slots;
        // The time of a large body or response depends on the links on its path as much as on
        // the target. When only the target's slowdown counted, all uploads of a failure domain
        // were sent over the slow link of its fastest target. The observed transfer times include
        // the target's slowness.
        let slowdown = if is_large {
            peer.transfer_slowdown.factor()
        } else {
            peer.slowdown(now) * peer.slowness.factor(now)
        };
        let run_time = mean * slowdown * f64::from(1 + peer.failures);
        let crowding = CROWDING_COST * (usage - CROWDED_USAGE).max(0.0);
        let time = run_time * (1.0 + USAGE_COST * usage + crowding);
        // `FAR_TRIP_COST` includes the bytes of an ordinary response.
        let bytes = criteria.bytes + answer.saturating_sub(MIN_LARGE);
        let far_cost = FAR_TRIP_COST + FAR_KILOBYTE_COST * bytes as f64 / 1024.0;
        let path_cost = match criteria.distance(member) {
            Distance::Domain => 0.0,
            Distance::Region => far_cost,
            Distance::OtherRegion => REGION_COST * far_cost,
        };
        (usage, time + path_cost)
    }

    /// Returns the mean size of a response on a route, in bytes; 0 if none is known.
    fn answer_size(&self, route: &Name) -> usize {
        self.answer_sizes
            .get(route)
            .map_or(0, |mean| *mean as usize)
    }

    /// Returns the mean size of a response on a route, in bytes, if that is large; otherwise 0.
    pub fn large_answer_size(&self, route: &Name) -> usize {
        let size = self.answer_size(route);
        if is_large(size) { size } else { 0 }
    }

    /// Records the size of a response on a route, in bytes.
    pub fn record_answer_size(&mut self, route: &Name, bytes: usize) {
        update_mean(&mut self.answer_sizes, route, bytes as f64);
    }

    /// Records that a request is sent to a node.
    pub fn start(&mut self, member: &Member, now: Instant) {
        let peer = self.peer(member, now);
        if peer.outstanding == 0 {
            peer.heard_at = now;
        }
        peer.record_send(now);
    }

    /// Records how a request ended, and what the node reported of its target.
    ///
    /// Returns whether this excludes the node: it is ejected or newly unreachable.
    pub fn finish(
        &mut self,
        member: &Member,
        route: &Name,
        end: AttemptResult,
        report: Report,
        now: Instant,
    ) -> bool {
        // A node of an earlier release reports no slowness, but passes the target's answer on.
        let in_answer = report.notice.and_then(|notice| notice.slowness);
        if let Some(slowness) = report.slowness.or(in_answer) {
            self.record_slowness(member, slowness, now, now);
        }
        // A reported slowdown leaves out the stated slowness; an observed one must, too, or the
        // slowness would count twice.
        let stated = match report.slowdown {
            Some(_) => 1.0,
            None => self.peer(member, now).slowness.factor(now),
        };
        let (slowdown, transfer_slowdown) = match end {
            AttemptResult::Answered(took) => {
                let ran = report.run_time.unwrap_or(took).div_f64(stated);
                let is_large = report.is_large || is_large(self.answer_size(route));
                let transfer = is_large.then(|| record_time(&mut self.transfer_times, route, took));
                (record_time(&mut self.run_times, route, ran), transfer)
            }
            _ => (Slowdown::default(), None),
        };
        let peer = self.peer(member, now);
        peer.outstanding = peer.outstanding.saturating_sub(1);
        if let Some(notice) = report.notice {
            peer.record_notice(member, notice);
        }
        if let Some(load) = report.load {
            peer.record_load(load, now, false);
        }
        if !matches!(
            end,
            AttemptResult::Lost(_) | AttemptResult::Late | AttemptResult::Abandoned
        ) {
            peer.heard_at = now;
            peer.ejections = 0;
            peer.ejected_until = None;
            self.reachability.record_answer(member);
        }
        let peer = self.peer(member, now);
        match end {
            AttemptResult::Answered(_) => {
                let (newest, weight) = match report.slowdown {
                    Some(reported) => (reported, REPORT_WEIGHT),
                    None => (slowdown, NEWEST_WEIGHT),
                };
                if let Some(transfer) = transfer_slowdown {
                    peer.transfer_slowdown = peer.transfer_slowdown.lerp(transfer, NEWEST_WEIGHT);
                }
                peer.slowdown = peer.slowdown.lerp(newest, weight);
                peer.slowdown_at = now;
                peer.failures = peer.failures.saturating_sub(1);
                false
            }
            AttemptResult::Refused | AttemptResult::Slow | AttemptResult::Abandoned => false,
            AttemptResult::Leaving => {
                peer.eject(now);
                true
            }
            // Hundreds of nodes may choose the target next. Each leaves it alone for a while,
            // since most of their requests would be refused.
            AttemptResult::WarmingUp | AttemptResult::AtLimit => {
                peer.eject(now);
                false
            }
            AttemptResult::Replaced => {
                peer.ejected_until = Some(now + REPLACED_EJECTION);
                true
            }
            // A node that answered other requests meanwhile is reachable; only its target is
            // slow.
            AttemptResult::Late => {
                peer.is_overdue(now)
                    && self
                        .reachability
                        .record_failure(member, Failure::Silent, now)
            }
            AttemptResult::Lost(failure) => self.reachability.record_failure(member, failure, now),
            AttemptResult::Failed => {
                peer.failures = (peer.failures + 1).min(MAX_FAILURES);
                let is_ejected = peer.failures == MAX_FAILURES;
                if is_ejected {
                    peer.eject(now);
                }
                is_ejected
            }
        }
    }

    /// Records the load of a target as its node reported it at `at`, unless a later report is
    /// known.
    ///
    /// A node that was not known before counts as heard of `now`. If it counted as heard of at
    /// `at`, an outstanding request could exclude it as silent at once.
    pub fn record_load(&mut self, member: &Member, load: Load, at: Instant, now: Instant) {
        self.peer(member, now).record_load(load, at, true);
    }

    /// Records the slowness that the target beside a node stated at `at`.
    pub fn record_slowness(
        &mut self,
        member: &Member,
        slowness: Slowness,
        at: Instant,
        now: Instant,
    ) {
        if let Some(target) = member.targets.first() {
            self.stating.record(&target.service, at);
        }
        self.peer(member, now).slowness.record(slowness, at);
    }

    /// Returns whether targets of any service state their slowness.
    pub fn knows_any_slowness(&self, now: Instant) -> bool {
        self.stating.any(now)
    }

    /// Returns whether targets of the service state their slowness.
    pub fn knows_slowness(&self, service: &Name, now: Instant) -> bool {
        self.stating.contains(service, now)
    }

    /// Forgets nodes that `is_known` rejects, except those with outstanding requests.
    pub fn retain(&mut self, is_known: impl Fn(&Node) -> bool) {
        self.peers
            .retain(|node, peer| peer.outstanding > 0 || is_known(node));
        self.reachability.retain(is_known);
    }

    /// Returns the mean run time of a request of a route, if any has run.
    pub fn mean_run_time(&self, route: &Name) -> Option<Duration> {
        self.run_times
            .get(route)
            .map(|mean| Duration::from_secs_f64(*mean))
    }
}

/// Returns the number of slots of a member's target of a service, at least 1.
fn slots(member: &Member, service: &Name) -> f64 {
    let target = member.target(service);
    f64::from(target.map_or(1, |target| target.slots.max(1)))
}

/// Returns the slowdown of a request that took so long, and adds its time to the mean of its
/// route.
fn record_time(means: &mut HashMap<Name, f64>, route: &Name, took: Duration) -> Slowdown {
    let before = update_mean(means, route, took.as_secs_f64());
    Slowdown::from_run(took, Duration::from_secs_f64(before))
}

/// Adds a value to the moving average of its route; returns the average before, or the value
/// itself if it is the first.
fn update_mean(means: &mut HashMap<Name, f64>, route: &Name, value: f64) -> f64 {
    let mean = means.entry(route.clone()).or_insert(value);
    let before = *mean;
    *mean += NEWEST_WEIGHT * (value - before);
    before
}

/// Smallest body, in bytes, that counts as large, and whose transfer is part of the cost: it
/// takes a good part of a millisecond on an ordinary link, and 11 ms on a slow link of
/// 10 Mbit/s.
const MIN_LARGE: usize = 14 << 10;

/// Returns whether a body of this many bytes is large.
pub fn is_large(bytes: usize) -> bool {
    bytes >= MIN_LARGE
}
