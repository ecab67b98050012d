//! A model of teams' rate limits over a virtual clock: many nodes in failure domains, the real
//! decisions, and the delay of each message.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rilltrack::{
    coordination::decision::rate_limit::{Counter, Pool, Report},
    id::{Incarnation, Name, Node},
    state::team::RateLimit,
    unit::Rate,
};

/// How nodes share a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Pools by failure domain, which tell each other.
    Pools,
    /// Each node its own fraction, without any message.
    Fractions,
    /// One node holds the bucket and is asked for each request.
    Owner,
}

/// The demand for one team's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// Evenly at all nodes.
    Even,
    /// At three nodes of one failure domain.
    OnFewNodes,
    /// At three nodes, other ones each second.
    Moving,
}

/// A fault at the fleet, from [`Load::fault_at`] for [`Load::fault_span`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// The first failure domain is cut off from the others.
    DomainCut,
    /// A sixth of the nodes is cut off from all others.
    NodesCut,
    /// All pools and a third of the other nodes start anew.
    Restarts,
}

/// A load to replay.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Nodes in each of the three failure domains.
    pub nodes: usize,
    /// The limit.
    pub limit: RateLimit,
    /// Requests per second, at first and from the second [`Load::rise_at`] on.
    pub demand: (f64, f64),
    /// When the demand changes.
    pub rise_at: Duration,
    /// Where the demand is.
    pub spread: Demand,
    /// The fault.
    pub fault: Fault,
    /// When the fault begins.
    pub fault_at: Duration,
    /// How long it lasts.
    pub fault_span: Duration,
}

/// What came of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The requests in the fullest window of five seconds.
    pub fullest_window: f64,
    /// The requests that the limit allows in such a window.
    pub allowed: f64,
    /// The share of requests that were refused although the team kept within its limit, as one
    /// bucket that sees every request would count it.
    pub refused_within: f64,
    /// The share of requests admitted.
    pub admitted: f64,
    /// Messages per second and node.
    pub messages: f64,
}

const DOMAINS: usize = 3;
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
const REPORT_STEPS: usize = 50;
const LENGTH: Duration = Duration::from_secs(30);

/// Replays a load with a seed.
pub fn replay(load: &Load, way: Way, seed: u64) -> Figures {
    Model::new(load, way, seed).run()
}

struct Model<'a> {
    load: &'a Load,
    way: Way,
    rng: fastrand::Rng,
    team: Name,
    start: Instant,
    counters: Vec<Counter>,
    incarnations: Vec<u64>,
    pools: Vec<Pool>,
    /// The bucket of the owner, and of an observer that sees every request.
    owner: f64,
    observer: f64,
    window: VecDeque<Duration>,
    figures: Figures,
    offered: f64,
    within: f64,
}

impl<'a> Model<'a> {
    fn new(load: &'a Load, way: Way, seed: u64) -> Self {
        let count = load.nodes * DOMAINS;
        Self {
            load,
            way,
            rng: fastrand::Rng::with_seed(seed),
            team: "fares".parse().expect("a valid name"),
            start: Instant::now(),
            counters: (0..count).map(|_| Counter::default()).collect(),
            incarnations: vec![1; count],
            pools: (0..DOMAINS).map(|_| Pool::default()).collect(),
            owner: load.limit.burst as f64,
            observer: load.limit.burst as f64,
            window: VecDeque::new(),
            figures: Figures::default(),
            offered: 0.0,
            within: 0.0,
        }
    }

    fn run(mut self) -> Figures {
        let (rate, burst) = (
            self.load.limit.rate.per_second(),
            self.load.limit.burst as f64,
        );
        self.figures.allowed = rate * WINDOW.as_secs_f64() + burst;
        let steps = LENGTH.as_millis() / STEP.as_millis();
        for step in 0..steps as usize {
            let at = STEP * step as u32;
            let fill = rate * STEP.as_secs_f64();
            self.owner = (self.owner + fill).min(burst);
            self.observer = (self.observer + fill).min(burst);
            if self.load.fault == Fault::Restarts && at == self.load.fault_at {
                self.restart();
            }
            if self.way == Way::Pools {
                self.exchange(step, at);
            }
            self.requests(at);
        }
        let seconds = LENGTH.as_secs_f64();
        self.figures.admitted /= self.offered.max(1.0);
        self.figures.refused_within /= self.within.max(1.0);
        self.figures.messages /= seconds * self.counters.len() as f64;
        self.figures
    }

    fn restart(&mut self) {
        for node in 0..self.counters.len() {
            if node % self.load.nodes == 0 || node % 3 == 0 {
                self.counters[node] = Counter::default();
                self.incarnations[node] += 1;
            }
        }
        self.pools = (0..DOMAINS).map(|_| Pool::default()).collect();
    }

    /// Returns whether two nodes reach each other. The first node of a domain is its pool.
    fn reaches(&self, one: usize, other: usize, at: Duration) -> bool {
        let Load {
            fault_at,
            fault_span,
            ..
        } = *self.load;
        if one == other || at < fault_at || at >= fault_at + fault_span {
            return true;
        }
        match self.load.fault {
            Fault::DomainCut => (one < self.load.nodes) == (other < self.load.nodes),
            Fault::NodesCut => one % 6 != 1 && other % 6 != 1,
            Fault::None | Fault::Restarts => true,
        }
    }

    fn exchange(&mut self, step: usize, at: Duration) {
        let (nodes, count) = (self.load.nodes, self.counters.len());
        let (now, limit) = (self.start + at, self.load.limit);
        let limit_of = |_: &Name| Some(limit);
        for node in 0..count {
            // Nodes report at different times.
            if !(step + node * 7).is_multiple_of(REPORT_STEPS) {
                continue;
            }
            let pool = node / nodes * nodes;
            if self.reaches(node, pool, at) {
                let report = self.report(node, 1, false);
                let pool = &mut self.pools[pool / nodes];
                pool.record(report, limit_of, count, now);
                let shares = pool.shares(limit_of, count, now);
                self.counters[node].set_shares(shares, now);
                self.figures.messages += f64::from(u8::from(node % nodes != 0));
            }
            if node != pool {
                continue;
            }
            for other in (0..DOMAINS).map(|domain| domain * nodes) {
                if other != pool && self.reaches(pool, other, at) {
                    let (of, counts) = self.pools[pool / nodes].own(now);
                    let report = Report {
                        counts,
                        ..self.report(pool, of, true)
                    };
                    self.pools[other / nodes].record(report, limit_of, count, now);
                    self.figures.messages += 1.0;
                }
            }
        }
    }

    fn report(&self, node: usize, nodes: u32, is_pool: bool) -> Report {
        Report {
            from: format!("n{node}").parse::<Node>().expect("a valid name"),
            incarnation: Incarnation(self.incarnations[node]),
            nodes,
            is_pool,
            counts: self.counters[node].counts(),
        }
    }

    fn requests(&mut self, at: Duration) {
        let Load {
            demand, rise_at, ..
        } = *self.load;
        let demand = if at < rise_at { demand.0 } else { demand.1 };
        let mean = demand * STEP.as_secs_f64();
        let whole = mean.floor();
        let arrivals = whole as usize + usize::from(self.rng.f64() < mean - whole);
        for _ in 0..arrivals {
            let node = self.sender(at);
            self.offered += 1.0;
            let is_within = self.observer >= 1.0;
            if is_within {
                self.observer -= 1.0;
                self.within += 1.0;
            }
            if self.admits(node, at) {
                self.figures.admitted += 1.0;
                self.window.push_back(at);
            } else if is_within {
                self.figures.refused_within += 1.0;
            }
        }
        while self
            .window
            .front()
            .is_some_and(|first| at - *first >= WINDOW)
        {
            self.window.pop_front();
        }
        let fullest = self.figures.fullest_window.max(self.window.len() as f64);
        self.figures.fullest_window = fullest;
    }

    fn sender(&mut self, at: Duration) -> usize {
        let few = self.rng.usize(..3.min(self.load.nodes));
        match self.load.spread {
            Demand::Even => self.rng.usize(..self.counters.len()),
            Demand::OnFewNodes => few,
            Demand::Moving => (at.as_secs() as usize * 5 + few) % self.counters.len(),
        }
    }

    fn admits(&mut self, node: usize, at: Duration) -> bool {
        if self.way == Way::Owner {
            self.figures.messages += 1.0;
            let is_admitted = self.owner >= 1.0 && self.reaches(node, self.load.nodes, at);
            self.owner -= f64::from(u8::from(is_admitted));
            return is_admitted;
        }
        let (count, draw) = (self.counters.len(), self.rng.f64());
        let counter = &mut self.counters[node];
        let admitted = counter.admit(&self.team, self.load.limit, count, draw, self.start + at);
        admitted.is_ok()
    }
}

/// Returns the loads that the ways are compared on, with their names: a team of hundreds of
/// requests a second and one of a few, whose limit is 1.6 times what they usually send.
pub fn loads() -> Vec<(String, Load)> {
    let mut loads = Vec::new();
    for (size, usual) in [("large", 440.0), ("small", 2.5)] {
        let limit = RateLimit {
            rate: Rate::from_per_second(usual * 1.6).expect("a valid rate"),
            burst: (usual * 1.6) as u64,
        };
        let calm = Load {
            nodes: 23,
            limit,
            demand: (usual, usual),
            rise_at: Duration::ZERO,
            spread: Demand::Even,
            fault: Fault::None,
            fault_at: Duration::from_secs(12),
            fault_span: Duration::from_secs(6),
        };
        let hot = Load {
            demand: (usual, usual * 7.5),
            rise_at: Duration::from_secs(10),
            ..calm
        };
        let cases = [
            ("even", calm),
            (
                "on three nodes",
                Load {
                    spread: Demand::OnFewNodes,
                    ..calm
                },
            ),
            (
                "moving",
                Load {
                    spread: Demand::Moving,
                    ..calm
                },
            ),
            ("7.5 times as many", hot),
            (
                "7.5 times, on three nodes",
                Load {
                    spread: Demand::OnFewNodes,
                    ..hot
                },
            ),
            (
                "even, a domain cut",
                Load {
                    fault: Fault::DomainCut,
                    ..calm
                },
            ),
            (
                "7.5 times, a domain cut",
                Load {
                    fault: Fault::DomainCut,
                    ..hot
                },
            ),
            (
                "7.5 times, nodes cut",
                Load {
                    fault: Fault::NodesCut,
                    ..hot
                },
            ),
            (
                "7.5 times, restarts",
                Load {
                    fault: Fault::Restarts,
                    ..hot
                },
            ),
            (
                "even, restarts",
                Load {
                    fault: Fault::Restarts,
                    ..calm
                },
            ),
        ];
        loads.extend(cases.map(|(name, load)| (format!("{size}: {name}"), load)));
    }
    loads
}
