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
    state::{
        member::{Member, Status, Table, Target},
        selector::Labels,
    },
};

use super::{Harm, Load};

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
}

/// All hosts and services, and the member table that every node uses.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub table: Table,
    pub services: Vec<Name>,
}

impl Fleet {
    /// Returns the fleet of a load in its initial state.
    pub fn new(load: &Load) -> Self {
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
        work.mul_f64(factor / self.speed)
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
