//! A model of load: callers, nodes and targets over a virtual clock.
//!
//! It replays a load on the product's own decisions: each node has its
//! [`Balancer`], its [`Queue`] and its [`RetryBudget`], and each request its [`Attempts`]; none
//! of them is written again here. There are no processes, sockets or threads, and the
//! same seed gives the same figures to the last digit.
//!
//! What it leaves out: processors, memory, the store and versions; and of links what small
//! messages wait for behind large bodies.
//! So it shows what a decision is worth, never what it costs a host.
//!
//! ```
//! use rilltrack_standins::load::{Kind, Load, Service, run};
//!
//! let load = Load {
//!     services: vec![Service { targets: 6, slots: 4, ..Service::default() }],
//!     kinds: vec![Kind { per_s: 60.0, ..Kind::default() }],
//!     ..Load::default()
//! };
//! let figures = run(&load, 1);
//! assert!(figures.worth() > 0.9, "{figures:?}");
//! assert_eq!(figures, run(&load, 1));
//! ```
//!
//! [`Balancer`]: rilltrack::coordination::decision::balance::Balancer
//! [`Queue`]: rilltrack::coordination::decision::queue::Queue
//! [`RetryBudget`]: rilltrack::coordination::decision::retry_budget::RetryBudget
//! [`Attempts`]: rilltrack::coordination::decision::attempts::Attempts

mod figures;
mod file;
mod fleet;
mod model;

use std::{ops::Range, time::Duration};

use rilltrack::{coordination::decision::retry_budget::Rule, state::routing};

pub use figures::{Arrivals, Count, Figures, Took};
pub use file::Experiment;

/// The window of what may be sent again.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// What is replayed.
#[derive(Clone, Debug)]
pub struct Load {
    /// Failure domains. Targets and callers are spread over them evenly.
    pub domains: usize,
    /// What there is to serve.
    pub services: Vec<Service>,
    /// What is asked for.
    pub kinds: Vec<Kind>,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// How long callers send.
    pub length: Duration,
    /// How long until requests count: nodes know nothing at first.
    pub warm_up: Duration,
    /// The time of a message within a failure domain.
    pub near: Duration,
    /// The time of a message to another one.
    pub far: Duration,
    /// What the fleet may send again over what it sends.
    pub resend_ratio: f64,
    /// What it may send again besides, in ten seconds.
    pub resend_slack: f64,
    /// When large bodies cross links.
    pub crossing: Crossing,
}

/// A service and its targets, each on a host of its own.
#[derive(Clone, Debug)]
pub struct Service {
    /// Targets.
    pub targets: usize,
    /// Requests that each runs at a time.
    pub slots: u32,
    /// How fast they are, in turn; 1 takes as long as the work says.
    pub speeds: Vec<f64>,
    /// How long a target is slower after its start.
    pub cold: Duration,
    /// How much longer it takes then.
    pub cold_factor: f64,
    /// What the link of each target's host carries, in Mbit/s; 0 bounds nothing.
    pub bandwidth: u32,
}

/// A kind of request: one route.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The index of the service that it goes to.
    pub service: usize,
    /// Requests a second; 0 for one that only targets send.
    pub per_s: f64,
    /// Whether it may run more than once.
    pub kind: routing::Kind,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// The mean time that it runs.
    pub work: Duration,
    /// How the time varies: the standard deviation over the mean.
    pub spread: f64,
    /// When it should be answered.
    pub objective: Duration,
    /// When its caller leaves.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The part of it that a later one is worth.
    pub late: f64,
    /// How often its caller comes back after a refusal.
    pub retries: u32,
    /// What its run asks for at its start.
    pub calls: Option<Calls>,
    /// The mean size of its body, in bytes; only large ones take a part of a link.
    pub body: usize,
}

/// When a large body crosses the link to its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Crossing {
    /// Before the request has a slot, where the link can carry it in time.
    #[default]
    First,
    /// Once it has one, which it keeps meanwhile.
    InSlot,
}

/// Requests that a target makes amid one.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    /// The index of their kind.
    pub kind: usize,
    /// How many are made together.
    pub times: u32,
    /// The part of the runs that makes them.
    pub share: f64,
}

/// Something that goes wrong at a part of a service's targets.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// The index of the service.
    pub service: usize,
    /// The part of its targets.
    pub share: f64,
    /// From when until when, from the start of the load.
    pub during: Range<Duration>,
    /// What goes wrong.
    pub what: Harm,
}

/// What goes wrong at a target.
#[derive(Clone, Copy, Debug)]
pub enum Harm {
    /// It refuses this part of what it gets, and says that it has not run.
    Sheds(f64),
    /// It fails this part of what it runs.
    Fails(f64),
    /// It takes so many times as long.
    Slows(f64),
}

impl Load {
    /// Returns what the fleet may send again.
    pub fn rule(&self) -> Rule {
        Rule {
            ratio: self.resend_ratio,
            slack: self.resend_slack,
            window: RESEND_WINDOW,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            domains: 3,
            services: Vec::new(),
            kinds: Vec::new(),
            troubles: Vec::new(),
            length: Duration::from_secs(10),
            warm_up: Duration::from_secs(2),
            near: Duration::from_micros(100),
            far: Duration::from_micros(1_400),
            resend_ratio: 0.2,
            resend_slack: 60.0,
            crossing: Crossing::default(),
        }
    }
}

impl Default for Service {
    fn default() -> Self {
        Self {
            targets: 6,
            slots: 12,
            speeds: vec![1.0],
            cold: Duration::ZERO,
            cold_factor: 1.0,
            bandwidth: 0,
        }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            service: 0,
            per_s: 0.0,
            kind: routing::Kind::Idempotent,
            priority: 1,
            work: Duration::from_millis(120),
            spread: 0.5,
            objective: Duration::from_millis(400),
            deadline: Duration::from_millis(2_500),
            worth: 1.0,
            late: 0.1,
            retries: 2,
            calls: None,
            body: 0,
        }
    }
}

/// Replays a load; the same `seed` gives the same figures.
pub fn run(load: &Load, seed: u64) -> Figures {
    model::Model::new(load, seed).run()
}
