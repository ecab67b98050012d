//! Which node a request goes to, by what this one has seen of each.
//!
//! Nearest first, since a longer way costs time and is paid for by the byte;
//! further away once the near ones have no room. Among equals two are drawn and
//! the cheaper one counts, so that not all nodes rush to the same target.
//! A node that can't be reached, or owes answers for long, gets nothing until it
//! is heard of again.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    id::{Incarnation, Name, Node},
    protocol::dialect::Load,
    state::member::{Member, Status, Table},
};

/// Share of a target's slots from which another failure domain is worth its
/// longer way: the last slots go to what other nodes send meanwhile.
const SPILL: f64 = 0.85;

/// The weight of the newest request in what is known of a target's speed.
const NEWEST: f64 = 0.1;

/// How long a reported load is believed; the mean request lasts about as long.
const LOAD_LIFE: Duration = Duration::from_millis(500);

/// How long a node may owe an answer, and give no other, before it is passed
/// over: several times the mean work of the slowest service of both meshes.
const SILENCE: Duration = Duration::from_millis(700);

/// How long a node that can't be reached is passed over the first time. It
/// doubles with each further failure, up to [`MAX_ABSENCE`].
const ABSENCE: Duration = Duration::from_millis(200);

/// The longest that a node is passed over before one request tries it again.
const MAX_ABSENCE: Duration = Duration::from_secs(3);

/// Failures of the target itself, in a row, after which it is passed over.
const FAILURES: u32 = 4;

/// The added cost of a further failure domain, as a share of the cost.
const FAR_COST: f64 = 1.15;

/// What is known of the other nodes, and of the own target.
#[derive(Debug, Default)]
pub struct Balance {
    peers: HashMap<Node, Peer>,
    /// The mean time of an answer on each route, in seconds.
    routes: HashMap<Name, f64>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    outstanding: u32,
    /// When it last gave any sign of life, or was first sent to.
    heard: Instant,
    report: Option<(Load, Instant)>,
    /// Requests sent since the report.
    since_report: u32,
    /// Its time for an answer over that of all, a smoothed mean.
    slowness: f64,
    failures: u32,
    absences: u32,
    absent_until: Option<Instant>,
}

/// How a request to a node ended.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// The target answered after this time.
    Answered(Duration),
    /// The node refused, the target is unharmed.
    Refused,
    /// The node says that its target leaves or is gone.
    Leaving,
    /// The target failed: it broke off, answered wrongly or with a fault.
    Failed,
    /// The node could not be reached, or fell silent.
    Absent,
    /// The caller went away, which says nothing.
    Abandoned,
}

/// The node that was chosen, and on what grounds.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The node.
    pub member: Arc<Member>,
    /// Its expected use of slots, 1 being full.
    pub usage: f64,
    /// Its cost: the smaller one won.
    pub cost: f64,
    /// How many there were to choose from.
    pub candidates: usize,
}

impl Peer {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            outstanding: 0,
            heard: now,
            report: None,
            since_report: 0,
            slowness: 1.0,
            failures: 0,
            absences: 0,
            absent_until: None,
        }
    }

    fn is_out(&self, now: Instant) -> bool {
        let is_absent = self.absent_until.is_some_and(|until| now < until);
        let is_silent = self.outstanding > 0 && now - self.heard > SILENCE;
        is_absent || is_silent
    }

    /// Returns the requests that the target is thought to hold.
    fn held(&self, now: Instant) -> u32 {
        match self.report {
            Some((load, at)) if now - at < LOAD_LIFE => {
                (load.running + load.waiting + self.since_report).max(self.outstanding)
            }
            _ => self.outstanding,
        }
    }

    fn be_absent(&mut self, now: Instant) {
        let span = ABSENCE * 2u32.saturating_pow(self.absences.min(8));
        self.absences += 1;
        self.absent_until = Some(now + span.min(MAX_ABSENCE));
    }
}

impl Balance {
    fn peer(&mut self, member: &Member, now: Instant) -> &mut Peer {
        let peer = self
            .peers
            .entry(member.node.clone())
            .or_insert_with(|| Peer::new(member.incarnation, now));
        if peer.incarnation != member.incarnation {
            // Another life: what was held against the old one is forgiven.
            *peer = Peer {
                outstanding: peer.outstanding,
                ..Peer::new(member.incarnation, now)
            };
        }
        peer
    }

    /// Returns the node to send a request for `service` to, if there is one
    /// that was not `tried` and is not passed over.
    pub fn choose(
        &mut self,
        table: &Table,
        service: &Name,
        domain: &Name,
        tried: &[Node],
        now: Instant,
    ) -> Option<Choice> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        for member in table.offers(service) {
            let Some(target) = member.targets.iter().find(|t| t.service == *service) else {
                continue;
            };
            let serves = member.status == Status::Alive && !target.draining;
            if !serves || tried.contains(&member.node) {
                continue;
            }
            let slots = f64::from(target.slots.max(1));
            let peer = self.peer(member, now);
            if peer.is_out(now) {
                continue;
            }
            let usage = f64::from(peer.held(now) + 1) / slots;
            let cost = peer.slowness * (1.0 + usage) * (1.0 + f64::from(peer.failures));
            let is_near = member.domain == *domain;
            let side = if is_near { &mut near } else { &mut far };
            side.push((member, usage, cost));
        }
        let candidates = near.len() + far.len();
        let near_one = cheaper_of_two(&near);
        let has_room = |(_, usage, _): &(_, f64, _)| *usage <= SPILL;
        let (member, usage, cost) = match near_one {
            Some(one) if has_room(&one) => one,
            Some(one) => match cheaper_of_two(&far) {
                Some(other) if other.2 * FAR_COST < one.2 => other,
                _ => one,
            },
            None => cheaper_of_two(&far)?,
        };
        Some(Choice {
            member: member.clone(),
            usage,
            cost,
            candidates,
        })
    }

    /// Notes that a request is sent.
    pub fn start(&mut self, member: &Member, now: Instant) {
        let peer = self.peer(member, now);
        if peer.outstanding == 0 {
            peer.heard = now;
        }
        peer.outstanding += 1;
        peer.since_report += 1;
    }

    /// Notes how a request ended, and the load that the node reported.
    ///
    /// Returns whether the node is passed over from now on.
    pub fn finish(
        &mut self,
        member: &Member,
        route: &Name,
        end: End,
        load: Option<Load>,
        now: Instant,
    ) -> bool {
        let took = match end {
            End::Answered(took) => Some(self.relative(route, took)),
            _ => None,
        };
        let peer = self.peer(member, now);
        peer.outstanding = peer.outstanding.saturating_sub(1);
        if let Some(load) = load {
            peer.report = Some((load, now));
            peer.since_report = 0;
        }
        if !matches!(end, End::Absent | End::Abandoned) {
            peer.heard = now;
            peer.absences = 0;
            peer.absent_until = None;
        }
        match end {
            End::Answered(_) => {
                peer.slowness += NEWEST * (took.unwrap_or(1.0) - peer.slowness);
                peer.failures = peer.failures.saturating_sub(1);
                false
            }
            End::Refused | End::Abandoned => false,
            End::Leaving | End::Absent => {
                peer.be_absent(now);
                true
            }
            End::Failed => {
                peer.failures = (peer.failures + 1).min(FAILURES);
                let is_out = peer.failures == FAILURES;
                if is_out {
                    peer.be_absent(now);
                }
                is_out
            }
        }
    }

    /// Forgets nodes that `known` does not know any more.
    pub fn retain(&mut self, known: impl Fn(&Node) -> bool) {
        self.peers
            .retain(|node, peer| peer.outstanding > 0 || known(node));
    }

    /// Returns `took` over the route's mean, and takes it into that.
    fn relative(&mut self, route: &Name, took: Duration) -> f64 {
        /// Bounds on one request's say, lest a single outlier decide.
        const BOUNDS: (f64, f64) = (0.2, 5.0);
        let took = took.as_secs_f64().max(1e-4);
        let mean = self.routes.entry(route.clone()).or_insert(took);
        let relative = took / *mean;
        *mean += NEWEST * (took - *mean);
        relative.clamp(BOUNDS.0, BOUNDS.1)
    }
}

fn cheaper_of_two<'a, T: Copy + 'a>(tier: &[(T, f64, f64)]) -> Option<(T, f64, f64)> {
    match tier {
        [] => None,
        [only] => Some(*only),
        _ => {
            let first = fastrand::usize(..tier.len());
            let second = (first + 1 + fastrand::usize(..tier.len() - 1)) % tier.len();
            let (first, second) = (tier[first], tier[second]);
            Some(if second.2 < first.2 { second } else { first })
        }
    }
}
