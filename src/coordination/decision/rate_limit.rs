//! The limit on the requests of a team at all nodes together.
//!
//! It handles teams whose callers spread over many nodes, unevenly and moving from one to
//! another, and a team that suddenly sends many times its limit. No node sees all requests of
//! a team. Each node counts what it was asked for and what it admitted ([`Counter`]), and reports
//! that to one node of its failure domain several times a second. That one adds up its domain
//! and what its like in other domains tell it ([`Pool`]), and answers with the share of each
//! team's requests to admit. Below its limit a team is never refused: its share is 1.
//!
//! A node that is out of touch with the pool admits its own fraction of the limit alone, and the
//! pool distributes only the fractions of the nodes that report to it. So the sum over all nodes
//! holds however they are cut off from each other, and a cut costs a team only what it asks
//! for beyond the fractions of its side.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Name, Node},
    state::team::RateLimit,
};

/// How long a report or a share counts. It spans two lost reports.
pub const MAX_AGE: Duration = Duration::from_millis(800);

/// The time constant of the quick estimate of demand, which notices a sudden rise.
const QUICK_DECAY: Duration = Duration::from_millis(400);

/// The time constant of the steady estimate of demand. It smooths teams of a few requests a
/// second.
const STEADY_DECAY: Duration = Duration::from_secs(2);

/// The time over which a pool spends a team's burst, or makes up for what was admitted beyond
/// its limit. Several times the delay of a report, so that the share doesn't oscillate.
const SPEND_TIME: Duration = Duration::from_secs(1);

/// Requests that a pool admits beyond a team's burst. Teams of few requests a second would be
/// refused within their limit by the noise of the estimate without them.
const HEADROOM: f64 = 5.0;

/// The factor by which a share may rise from one answer of a pool to the next.
const MAX_RISE: f64 = 1.5;

/// The share from which a share begins to rise.
const MIN_SHARE: f64 = 0.05;

/// The shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What one node was asked for and admitted on behalf of a team, since its process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that arrived.
    pub offered: u64,
    /// Those that were admitted, without those that certainly did not run.
    pub admitted: u64,
}

/// The counts of one node, or of a pool's nodes together.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting node.
    pub from: Node,
    /// Its incarnation, with which its counts start anew.
    pub incarnation: Incarnation,
    /// The number of nodes whose counts these are.
    pub nodes: u32,
    /// Whether the counts are of a pool of another failure domain.
    pub is_pool: bool,
    /// The counts of each team with a limit that had any request.
    pub counts: Vec<(Name, Count)>,
}

/// The share of its requests to admit, for each team that exceeds its limit. A team that isn't
/// listed has all its requests admitted.
pub type Shares = Vec<(Name, f64)>;

/// The requests of teams at one node.
#[derive(Debug, Default)]
pub struct Counter {
    teams: HashMap<Name, Admission>,
    shares: HashMap<Name, f64>,
    /// When the shares were received; `None` before the first ones.
    shares_at: Option<Instant>,
}

/// A team at one node.
#[derive(Debug)]
struct Admission {
    count: Count,
    /// The node's own tokens, used while it is out of touch.
    tokens: f64,
    filled_at: Instant,
}

/// A request that exceeds its team's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exceeded {
    /// The time after which a retry may be admitted.
    pub retry_after: Duration,
}

impl Counter {
    /// Counts a request of a team, and decides whether it is admitted. `nodes` is the number of
    /// nodes that share the limit; `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// If the request exceeds the limit.
    pub fn admit(
        &mut self,
        team: &Name,
        limit: RateLimit,
        nodes: usize,
        draw: f64,
        now: Instant,
    ) -> Result<(), Exceeded> {
        let in_touch = self
            .shares_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_AGE);
        let share = self.shares.get(team).copied().unwrap_or(1.0);
        let admission = self.teams.entry(team.clone()).or_insert(Admission {
            count: Count::default(),
            tokens: 0.0,
            filled_at: now,
        });
        admission.count.offered += 1;
        admission.fill(limit, nodes, now);
        let is_admitted = match in_touch {
            true => draw < share,
            false => admission.tokens >= 1.0,
        };
        if !is_admitted {
            let refused = if in_touch { 1.0 - share } else { 1.0 };
            return Err(Exceeded {
                retry_after: SPEND_TIME.mul_f64(refused).max(MIN_RETRY_AFTER),
            });
        }
        admission.tokens = (admission.tokens - 1.0).max(0.0);
        admission.count.admitted += 1;
        Ok(())
    }

    /// Records that an admitted request certainly did not run, so that it doesn't count.
    pub fn refund(&mut self, team: &Name) {
        if let Some(admission) = self.teams.get_mut(team) {
            admission.count.admitted = admission.count.admitted.saturating_sub(1);
        }
    }

    /// Sets the shares that the pool answered with.
    ///
    /// A share rises in steps. A pool that has just started doesn't know the demand yet, and a
    /// team far beyond its limit would otherwise have all its requests admitted meanwhile.
    pub fn set_shares(&mut self, shares: Shares, now: Instant) {
        let mut shares: HashMap<Name, f64> = shares.into_iter().collect();
        for (team, before) in self.shares.drain() {
            let most = before.max(MIN_SHARE) * MAX_RISE;
            let share = shares.get(&team).copied().unwrap_or(1.0).min(most);
            if share < 1.0 {
                shares.insert(team, share);
            }
        }
        self.shares = shares;
        self.shares_at = Some(now);
    }

    /// Returns the counts of all teams.
    pub fn counts(&self) -> Vec<(Name, Count)> {
        let counts = self.teams.iter();
        counts
            .map(|(team, admission)| (team.clone(), admission.count))
            .collect()
    }

    /// Forgets the teams for which `has_limit` returns false.
    pub fn retain(&mut self, has_limit: impl Fn(&Name) -> bool) {
        self.teams.retain(|team, _| has_limit(team));
    }
}

impl Admission {
    /// Adds the tokens for the time since the last call: this node's fraction of the rate.
    ///
    /// At least one whole token fits. With the fraction of a small burst alone, a node could
    /// never admit any request by itself.
    fn fill(&mut self, limit: RateLimit, nodes: usize, now: Instant) {
        let fraction = 1.0 / nodes.max(1) as f64;
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let most = (limit.burst as f64 * fraction).max(1.0);
        self.tokens = (self.tokens + limit.rate.per_second() * fraction * elapsed).min(most);
        self.filled_at = now;
    }
}

/// An amount that decays with time: the recent events per second, as an estimate.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    per_second: f64,
    at: Instant,
}

impl Estimate {
    fn add(&mut self, events: f64, decay: Duration, now: Instant) {
        self.per_second = self.get(decay, now) + events / decay.as_secs_f64();
        self.at = now;
    }

    fn get(&self, decay: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / decay.as_secs_f64()).exp()
    }
}

/// The requests of teams at all nodes that report to one node.
#[derive(Debug, Default)]
pub struct Pool {
    reporters: HashMap<Node, Reporter>,
    teams: HashMap<Name, Bucket>,
    /// The sum of the reports of the own failure domain's nodes.
    own: HashMap<Name, Count>,
}

#[derive(Debug)]
struct Reporter {
    incarnation: Incarnation,
    nodes: u32,
    is_pool: bool,
    at: Instant,
    counts: HashMap<Name, Count>,
}

/// A team's requests, as a token bucket.
#[derive(Debug)]
struct Bucket {
    /// Tokens; below 0 if more was admitted than the limit allows.
    level: f64,
    filled_at: Instant,
    quick: Estimate,
    steady: Estimate,
}

impl Bucket {
    fn new(now: Instant) -> Self {
        let none = Estimate {
            per_second: 0.0,
            at: now,
        };
        Self {
            level: HEADROOM,
            filled_at: now,
            quick: none,
            steady: none,
        }
    }

    /// Adds the tokens for the time since the last call. `fraction` is the part of the limit
    /// that the pool distributes.
    fn fill(&mut self, limit: RateLimit, fraction: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let rate = limit.rate.per_second() * fraction;
        let most = limit.burst as f64 * fraction + HEADROOM;
        self.level = (self.level + rate * elapsed).min(most);
        self.filled_at = now;
    }

    /// Returns the share of requests to admit, from 0 to 1.
    fn share(&self, limit: RateLimit, fraction: f64, now: Instant) -> f64 {
        let quick = self.quick.get(QUICK_DECAY, now);
        let demand = quick.max(self.steady.get(STEADY_DECAY, now));
        let allowed = limit.rate.per_second() * fraction + self.level / SPEND_TIME.as_secs_f64();
        if demand <= allowed {
            1.0
        } else {
            allowed.max(0.0) / demand
        }
    }
}

impl Pool {
    /// Takes in a report. `limit` returns the limit of a team, and `nodes` is the number of
    /// nodes that share it.
    pub fn record(
        &mut self,
        report: Report,
        limit: impl Fn(&Name) -> Option<RateLimit>,
        nodes: usize,
        now: Instant,
    ) {
        let Report {
            from,
            incarnation,
            nodes: reported,
            is_pool,
            counts,
        } = report;
        let counts: HashMap<Name, Count> = counts.into_iter().collect();
        let reporter = Reporter {
            incarnation,
            nodes: reported,
            is_pool,
            at: now,
            counts: counts.clone(),
        };
        let known = self.reporters.insert(from, reporter);
        // What a node counted before this pool knew it, or while it was out of touch, is not of
        // the part that this pool distributes.
        let known = known.filter(|known| {
            known.incarnation == incarnation && now.saturating_duration_since(known.at) <= MAX_AGE
        });
        let fraction = self.fraction(nodes, now);
        for (team, count) in &counts {
            let Some(limit) = limit(team) else { continue };
            let before = match &known {
                Some(known) => known.counts.get(team).copied().unwrap_or_default(),
                None => *count,
            };
            let offered = count.offered.saturating_sub(before.offered);
            // A refund may make the count smaller than before.
            let admitted = count.admitted as f64 - before.admitted as f64;
            let bucket = self
                .teams
                .entry(team.clone())
                .or_insert_with(|| Bucket::new(now));
            bucket.fill(limit, fraction, now);
            bucket.level -= admitted;
            bucket.quick.add(offered as f64, QUICK_DECAY, now);
            bucket.steady.add(offered as f64, STEADY_DECAY, now);
            if !is_pool {
                let own = self.own.entry(team.clone()).or_default();
                own.offered += offered;
                own.admitted = own.admitted.saturating_add_signed(admitted as i64);
            }
        }
    }

    /// Returns the share of each team that exceeds its limit.
    pub fn shares(
        &mut self,
        limit: impl Fn(&Name) -> Option<RateLimit>,
        nodes: usize,
        now: Instant,
    ) -> Shares {
        let fraction = self.fraction(nodes, now);
        let shares = self.teams.iter_mut().filter_map(|(team, bucket)| {
            let limit = limit(team)?;
            bucket.fill(limit, fraction, now);
            let share = bucket.share(limit, fraction, now);
            (share < 1.0).then(|| (team.clone(), share))
        });
        shares.collect()
    }

    /// Returns the number of nodes of the own failure domain that report, and the sum of their
    /// counts, for the pools of other domains.
    pub fn own(&self, now: Instant) -> (u32, Vec<(Name, Count)>) {
        let nodes = self.reporting(now).filter(|reporter| !reporter.is_pool);
        let counts = self.own.iter().map(|(team, count)| (team.clone(), *count));
        (nodes.map(|reporter| reporter.nodes).sum(), counts.collect())
    }

    /// Forgets reporters that have been silent for long, and teams for which `has_limit`
    /// returns false.
    pub fn retain(&mut self, has_limit: impl Fn(&Name) -> bool, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_AGE * 4;
        self.reporters.retain(|_, reporter| is_recent(reporter.at));
        self.teams.retain(|team, _| has_limit(team));
        self.own.retain(|team, _| has_limit(team));
    }

    fn reporting(&self, now: Instant) -> impl Iterator<Item = &Reporter> {
        let is_fresh = move |at| now.saturating_duration_since(at) <= MAX_AGE;
        self.reporters
            .values()
            .filter(move |reporter| is_fresh(reporter.at))
    }

    /// Returns the part of each limit that this pool distributes: that of the nodes that report
    /// to it, of the `nodes` that share the limit.
    fn fraction(&self, nodes: usize, now: Instant) -> f64 {
        let reporting: u32 = self.reporting(now).map(|reporter| reporter.nodes).sum();
        (f64::from(reporting) / nodes.max(1) as f64).min(1.0)
    }
}
