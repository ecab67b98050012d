//! A model of load: callers, nodes and targets over a virtual clock.
//!
//! It replays a load on the decisions of rilltrack itself: each node has its
//! [`Balancer`], its [`Queue`] and its [`RetryBudget`], and each request its [`Attempts`]; the
//! model doesn't reimplement them. There are no processes, sockets or threads, and a replay is
//! deterministic: the same seed gives identical figures.
//!
//! Not modelled are processors, memory, the store, versions, and the delay of small messages
//! behind large bodies on a link. The model therefore shows the effect of a decision on
//! requests, not its cost on a host.
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

mod end;
mod exchange;
mod figures;
mod file;
mod fleet;
mod model;
mod reserve;
mod run;

use std::{ops::Range, time::Duration};

use rilltrack::{
    coordination::decision::retry_budget::Rule,
    state::{priority::Priority, routing},
};

pub use figures::{Arrivals, Count, Figures, Took};
pub use file::Experiment;

/// The window of the limit on retries.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// A load to replay.
#[derive(Clone, Debug)]
pub struct Load {
    /// The number of failure domains. Targets and callers are spread over them evenly.
    pub domains: usize,
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of request.
    pub kinds: Vec<Kind>,
    /// The faults of targets.
    pub troubles: Vec<Trouble>,
    /// The time for which callers send requests.
    pub length: Duration,
    /// The time before requests count: at first, nodes have no measurements.
    pub warm_up: Duration,
    /// The one-way delay of a message within a failure domain.
    pub near: Duration,
    /// The one-way delay of a message to another failure domain.
    pub far: Duration,
    /// The limit on the fleet's retries, as a ratio of its requests.
    pub resend_ratio: f64,
    /// The number of retries allowed in ten seconds, in addition to the ratio.
    pub resend_slack: f64,
    /// When a large body crosses its link.
    pub crossing: Crossing,
    /// How nested calls get slots.
    pub waits: Waits,
    /// The exchange of load reports, if there is one.
    pub reports: Option<Reports>,
}

/// An exchange of load reports: each node reports its target's load to all others.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    /// The time between two reports of a node.
    pub period: Duration,
    /// The age of a report when the other nodes take it in.
    pub age: Duration,
}

/// A service and its targets, each on a host of its own.
#[derive(Clone, Debug)]
pub struct Service {
    /// The number of targets.
    pub targets: usize,
    /// The number of requests that each target runs concurrently.
    pub slots: u32,
    /// The relative speeds of the targets, assigned in turn; at 1, a run takes its work time.
    pub speeds: Vec<f64>,
    /// The time for which a target is slower after its start.
    pub cold: Duration,
    /// The factor on run times during that time.
    pub cold_factor: f64,
    /// The bandwidth of the link of each target's host, in Mbit/s; 0 means no limit.
    pub bandwidth: u32,
    /// The times for which its targets are slower; `None` if they aren't.
    pub slow_spells: Option<SlowSpells>,
}

/// Times for which some targets of a service are slower. The targets are drawn anew each time.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpells {
    /// The share of the targets, on average.
    pub share: f64,
    /// The factor on their run times.
    pub factor: f64,
    /// How long they are slower.
    pub span: Duration,
    /// Whether all targets of the service state in their answers how slow they are.
    pub is_stated: bool,
}

/// A kind of request: one route.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The index of its service.
    pub service: usize,
    /// The rate, in requests a second; 0 for a kind that only targets send.
    pub per_s: f64,
    /// Whether it is idempotent or may run at most once.
    pub kind: routing::Kind,
    /// The priority.
    pub priority: Priority,
    /// The mean run time.
    pub work: Duration,
    /// The coefficient of variation of the run time: standard deviation over mean.
    pub spread: f64,
    /// The time within which it should be answered.
    pub objective: Duration,
    /// The time after which its caller stops waiting.
    pub deadline: Duration,
    /// The worth of an answer within the objective.
    pub worth: f64,
    /// The share of the worth that a later answer has.
    pub late: f64,
    /// The number of times that its caller retries after a refusal.
    pub retries: u32,
    /// The share of its remaining time that a caller waits at most before it retries.
    pub retry_within: f64,
    /// Whether it is a nested call by what its node knows: without a key, on an anonymous route.
    pub is_nested: bool,
    /// The requests that its target sends at the start of a run.
    pub calls: Option<Calls>,
    /// The size of its body, in bytes; only large bodies take link bandwidth.
    pub body: usize,
}

/// When a large body crosses the link to its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Crossing {
    /// Before the request has a slot, if the link can carry it in time.
    #[default]
    First,
    /// While the request occupies its slot.
    InSlot,
}

/// How nested calls get slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Waits {
    /// They wait as new requests do, by their objective.
    Objective,
    /// They wait within the remaining time of the run that made them.
    #[default]
    Run,
    /// They wait by their objective, and new requests leave the slots free that nested calls
    /// need by their observed demand.
    Reserved,
}

/// Requests that a target sends while it runs a request.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    /// The index of their kind.
    pub kind: usize,
    /// The number of requests that are sent.
    pub times: u32,
    /// Whether each is sent after the answer to the one before, or all together.
    pub is_sequential: bool,
    /// The share of the runs that send them.
    pub share: f64,
}

/// A fault at a share of a service's targets.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// The index of the service.
    pub service: usize,
    /// The share of its targets that have the fault.
    pub share: f64,
    /// The time range of the fault, from the start of the load.
    pub during: Range<Duration>,
    /// The fault.
    pub what: Harm,
}

/// A fault of a target.
#[derive(Clone, Copy, Debug)]
pub enum Harm {
    /// It rejects this share of its requests and reports that they didn't run.
    Sheds(f64),
    /// It fails this share of its runs.
    Fails(f64),
    /// Its run times are multiplied by this factor.
    Slows(f64),
    /// As [`Slows`](Self::Slows), at a share of the targets that is drawn anew each time.
    SlowsInTurn {
        /// The factor on run times.
        by: f64,
        /// The time after which the targets are drawn anew.
        every: Duration,
    },
    /// It states in its answers that it takes this many requests a second.
    Limits(f64),
}

impl Load {
    /// Returns the limit on the fleet's retries.
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
            waits: Waits::default(),
            reports: None,
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
            slow_spells: None,
        }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            service: 0,
            per_s: 0.0,
            kind: routing::Kind::Idempotent,
            priority: Priority::of_route(1),
            work: Duration::from_millis(120),
            spread: 0.5,
            objective: Duration::from_millis(400),
            deadline: Duration::from_millis(2_500),
            worth: 1.0,
            late: 0.1,
            retries: 2,
            retry_within: 1.0,
            is_nested: false,
            calls: None,
            body: 0,
        }
    }
}

/// Replays a load and returns its results; the same `seed` gives identical results.
pub fn run(load: &Load, seed: u64) -> Figures {
    model::Model::new(load, seed).run()
}
