//! The nodes of a replay, each with its own decision state.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rilltrack::{
    coordination::decision::{
        age::Ages, balance::Balancer, link_share::LinkShare, queue::Queue,
        retry_budget::RetryBudget, runs::Runs,
    },
    id::{Incarnation, Name},
    protocol::dialect::Slowness,
    state::{
        member::{Member, Status, Table, Target},
        selector::Labels,
    },
};

use super::{Harm, Load, SlowSpells, reserve::Reserve};

/// A host: the state of its node and of its target.
pub struct Host {
    pub member: Arc<Member>,
    pub domain: usize,
    pub service: usize,
    /// The index of its target within the service.
    pub index: usize,
    /// The relative speed of its target; 2 halves the run time.
    pub speed: f64,
    pub balancer: Balancer,
    pub queue: Queue<usize>,
    pub runs: Runs,
    pub link_share: LinkShare,
    /// When its link will have carried all admitted bodies, from the start of the load.
    pub free: Duration,
    pub retry_budget: RetryBudget,
    pub ages: Ages,
    /// The demand of nested calls at its target.
    pub reserve: Reserve,
    /// Determines the times for which its target is slower.
    seed: u64,
}

/// All hosts and services, and the member table that every node uses.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub table: Table,
    pub services: Vec<Name>,
}

impl Fleet {
    /// Returns the fleet of a load in its initial state. The `seed` draws the targets that are
    /// slower for a time.
    pub fn new(load: &Load, seed: u64) -> Self {
        let domains: Vec<_> = (0..load.domains).map(|i| name("d", i)).collect();
        let services: Vec<_> = (0..load.services.len()).map(|i| name("s", i)).collect();
        let rule = load.rule();
        let mut hosts = Vec::new();
        let mut table = Table::default();
        for (service, of) in load.services.iter().enumerate() {
            for index in 0..of.targets {
                let domain = index % load.domains;
                let number = hosts.len();
                let member = member(number, &domains[domain], &services[service], of.slots);
                table.merge(member.clone());
                let mut queue = Queue::default();
                queue.set_slots(of.slots);
                hosts.push(Host {
                    member: Arc::new(member),
                    domain,
                    service,
                    index,
                    // Assigned in turn within a failure domain, so that each domain has all
                    // speeds.
                    speed: of.speeds[(index / load.domains) % of.speeds.len()],
                    balancer: Balancer::default(),
                    queue,
                    runs: Runs::default(),
                    link_share: LinkShare::new(of.bandwidth),
                    free: Duration::ZERO,
                    retry_budget: RetryBudget::new(rule),
                    ages: Ages::default(),
                    reserve: Reserve::default(),
                    seed: seed.wrapping_mul(1_000_003).wrapping_add(number as u64),
                });
            }
        }
        Self {
            hosts,
            table,
            services,
        }
    }

    /// Returns the index of a member's host.
    pub fn number(&self, member: &Member) -> usize {
        let number = member.node.as_str().trim_start_matches('n');
        number.parse().expect("nodes are numbered by `member`")
    }
}

impl Host {
    /// Returns the faults of its target at time `at`.
    pub fn harms<'a>(&'a self, load: &'a Load, at: Duration) -> impl Iterator<Item = Harm> + 'a {
        load.troubles.iter().filter_map(move |trouble| {
            let harmed = trouble.share * load.services[self.service].targets as f64;
            let is_drawn = match trouble.what {
                Harm::SlowsInTurn { every, .. } => self.is_drawn(trouble.share, every, at),
                _ => (self.index as f64) < harmed,
            };
            let is_harmed = trouble.service == self.service && is_drawn;
            (is_harmed && trouble.during.contains(&at)).then_some(trouble.what)
        })
    }

    /// Returns whether the target is among a share of its service that is drawn anew `every` time.
    /// The draw depends on nothing else, so that all loads and seeds have the same.
    fn is_drawn(&self, share: f64, every: Duration, at: Duration) -> bool {
        let turn = (at.as_nanos() / every.as_nanos().max(1)) as u64;
        let place = ((self.service as u64) << 32) | self.index as u64;
        fastrand::Rng::with_seed(turn.rotate_left(40) ^ place).f64() < share
    }

    /// Returns the time that the target takes at time `at` for `work`.
    pub fn runs(&self, load: &Load, work: Duration, at: Duration) -> Duration {
        let service = &load.services[self.service];
        let mut factor = if at < service.cold {
            service.cold_factor
        } else {
            1.0
        };
        for harm in self.harms(load, at) {
            if let Harm::Slows(by) | Harm::SlowsInTurn { by, .. } = harm {
                factor *= by;
            }
        }
        let work = work.mul_f64(factor / self.speed);
        match service.slow_spells {
            None => work,
            Some(spells) => self.runs_in_spells(&spells, work, at),
        }
    }

    /// Returns the factor on run times at time `at`, and how long it stays.
    fn spell(&self, spells: &SlowSpells, at: Duration) -> (f64, Duration) {
        // The targets don't change all at once.
        let span = spells.span.as_nanos() as u64;
        let offset = fastrand::Rng::with_seed(self.seed).u64(..span);
        let since = at.as_nanos() as u64 + offset;
        let number = since / span;
        let drawn = self.seed.wrapping_mul(1_000_033).wrapping_add(number);
        let is_slow = fastrand::Rng::with_seed(drawn).f64() < spells.share;
        let factor = if is_slow { spells.factor } else { 1.0 };
        (factor, Duration::from_nanos(span - since % span))
    }

    /// Returns the time that the target takes for `work` at time `at`, while it may be slower
    /// for a part of it.
    fn runs_in_spells(&self, spells: &SlowSpells, mut work: Duration, at: Duration) -> Duration {
        let mut takes = Duration::ZERO;
        loop {
            let (factor, left) = self.spell(spells, at + takes);
            let needed = work.mul_f64(factor);
            if needed <= left {
                return takes + needed;
            }
            takes += left;
            work -= left.div_f64(factor).min(work);
        }
    }

    /// Returns the slowness that the target states at time `at`, if it states it.
    pub fn slowness(&self, load: &Load, at: Duration) -> Option<Slowness> {
        let spells = load.services[self.service].slow_spells?;
        let (factor, _) = self.spell(&spells, at);
        let stated = format!("{:.0}", factor * 100.0).parse();
        spells.is_stated.then_some(stated.ok()?)
    }
}

/// Returns the instant at which a replay starts; only times relative to it matter.
pub fn origin() -> Instant {
    Instant::now()
}

fn name(letter: &str, number: usize) -> Name {
    format!("{letter}{number}")
        .parse()
        .expect("a letter and a number")
}

fn member(number: usize, domain: &Name, service: &Name, slots: u32) -> Member {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    Member {
        node: format!("n{number}").parse().expect("a letter and a number"),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: domain.clone(),
        peers: address,
        inbound: address,
        labels: Labels::new(),
        targets: vec![Target {
            service: service.clone(),
            address,
            http2: false,
            draining: false,
            slots,
            instance: format!("i{number}").into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}
