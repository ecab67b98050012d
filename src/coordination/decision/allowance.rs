//! This node's share of what the fleet may send again.
//!
//! The fleet as a whole may send a share of a service's requests a further time,
//! plus a fixed slack, within any window. Nobody counts for the fleet: each node
//! sends again a share of what it sent itself, plus its part of the slack, so
//! the sum holds however traffic shifts between nodes.
//!
//! A request that runs after another target refused or failed it makes calls, and to the
//! services that are called these are further arrivals, too. They are sent by the node beside
//! the target that runs it. So there they are held against its own part as far as
//! [`runs`](super::runs) tell them, and where they take all of it, no more repeats run.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::id::Name;

/// Part of the allowed share that is used. The rest covers what windows of different nodes
/// differ by, and calls of calls, which no node counts.
const USED: f64 = 0.7;

/// Part of the allowed share for requests that may have run already. The larger
/// part goes to those that certainly did not: they cost no second work.
const REPEATED: f64 = 0.25;

/// Part of the allowed share that this node's further sends and the calls of repeats may take
/// together before no more repeats run at the target here. The rest is for the calls of those
/// that run then.
const CARRIED: f64 = 0.9;

/// Steps into which a window is cut; one more is kept, so that what is used is summed over
/// a little more than the window.
const STEPS: u32 = 10;

/// What the fleet may send again.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Further sends over requests.
    pub ratio: f64,
    /// Further sends that are free in each window, for the whole fleet.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Rule {
    /// Returns the further arrivals that a node's `requests` allow, with its part of the
    /// slack.
    fn allowed(&self, requests: u32, nodes: usize) -> f64 {
        self.ratio * f64::from(requests) + self.slack / nodes.max(1) as f64
    }
}

/// What this node sent, for each service.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::coordination::decision::allowance::{Again, Allowance, Rule};
///
/// let rule = Rule { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
/// let mut allowance = Allowance::new(rule);
/// let (service, now) = ("ledger".parse()?, Instant::now());
/// // Alone in the fleet, seven tenths of the slack are this node's, and a quarter
/// // for what may have run.
/// let repeated = (0..20).filter(|_| allowance.spend(&service, Again::Repeated, 1, now)).count();
/// let unrun = (0..20).filter(|_| allowance.spend(&service, Again::NotRun, 1, now)).count();
/// assert_eq!((repeated, unrun), (2, 5));
/// # Ok::<(), rilltrack::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Allowance {
    rule: Rule,
    services: HashMap<Name, VecDeque<Step>>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    begins: Instant,
    first: u32,
    /// Of those, requests that a target has seen.
    arrived: u32,
    again: u32,
    /// Of those, requests that may have run before.
    repeated: u32,
    /// First sends that are calls of repeats, as far as the runs tell.
    carried: f64,
}

/// What was sent for one service within the window, and what may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Requests: first sends.
    pub first: u32,
    /// Of those, requests that a target has seen.
    pub arrived: u32,
    /// Further sends.
    pub again: u32,
    /// Of those, requests that may have run before.
    pub repeated: u32,
    /// First sends that are calls of repeats, as far as the runs tell.
    pub carried: f64,
    /// Further arrivals that the fleet's rule allows for this node's requests, with its
    /// part of the slack.
    pub allowed: f64,
    /// Those that it allows for requests which a target has seen.
    pub allowed_arrived: f64,
}

/// What a request that is sent again did before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Again {
    /// It certainly did not run.
    NotRun,
    /// It ran, or may have.
    Repeated,
}

impl Used {
    /// Returns what came to targets, or will, beyond the first arrival of each request.
    pub fn further(&self) -> f64 {
        f64::from(self.again) + self.carried
    }
}

impl Allowance {
    /// Returns an allowance of which nothing is used.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Takes another rule; what was sent counts on.
    pub fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Notes the first send of a request for `service`; `carried` is how likely it is a call
    /// of a run that is a repeat.
    pub fn earn(&mut self, service: &Name, carried: f64, now: Instant) {
        let step = self.step(service, now);
        step.first += 1;
        step.carried += carried;
    }

    /// Notes that a target has seen a request for `service` for the first time.
    ///
    /// Only such requests make calls, and so carry what the calls of repeated ones
    /// cost at other services. Under overload most first sends are refused before any
    /// target sees them: counted like the others, they allowed repeats whose calls
    /// alone were a fifth of what the callee's own requests allow.
    pub fn arrive(&mut self, service: &Name, now: Instant) {
        self.step(service, now).arrived += 1;
    }

    /// Takes one further send for `service`; returns whether there was one.
    /// `nodes` is the size of the fleet.
    pub fn spend(&mut self, service: &Name, again: Again, nodes: usize, now: Instant) -> bool {
        let steps = self.services.get(service);
        let used = self.used(steps.into_iter().flatten(), nodes, now);
        // Calls of repeats come to the same targets as what this node sends again itself:
        // held against its part alone, that came on top of them.
        let has_room = used.further() + 1.0 <= USED * used.allowed;
        let is_left = has_room
            && (again == Again::NotRun
                || f64::from(used.repeated) + 1.0 <= REPEATED * used.allowed_arrived);
        if is_left {
            let step = self.step(service, now);
            step.again += 1;
            step.repeated += u32::from(again == Again::Repeated);
        }
        is_left
    }

    /// Returns whether the target here may run one more repeat: whether what this node sent
    /// leaves room for the calls of its run. `nodes` is the size of the fleet.
    ///
    /// Whoever sends the request again can't know what its run calls.
    pub fn carries(&self, nodes: usize, now: Instant) -> bool {
        self.all(nodes, now)
            .all(|(_, used)| used.further() <= CARRIED * used.allowed)
    }

    /// Returns what was sent for each service. `nodes` is the size of the fleet.
    pub fn all(&self, nodes: usize, now: Instant) -> impl Iterator<Item = (&Name, Used)> {
        let used = move |(service, steps)| (service, self.used(steps, nodes, now));
        self.services.iter().map(used)
    }

    /// Returns what was sent in the `steps` of a service.
    ///
    /// What is used is summed over a little more than the window, what allows it over no
    /// more: else a calm stretch allowed a tenth more than its part within the seconds
    /// after it, 154 further sends for 1,000 requests in place of 140.
    fn used<'a>(
        &self,
        steps: impl IntoIterator<Item = &'a Step>,
        nodes: usize,
        now: Instant,
    ) -> Used {
        let mut used = Used::default();
        for step in steps {
            let age = now - step.begins;
            if age <= self.rule.window {
                used.first += step.first;
                used.arrived += step.arrived;
            }
            if age <= self.kept() {
                used.again += step.again;
                used.repeated += step.repeated;
                used.carried += step.carried;
            }
        }
        used.allowed = self.rule.allowed(used.first, nodes);
        used.allowed_arrived = self.rule.allowed(used.arrived, nodes);
        used
    }

    /// Returns the length of a step.
    fn step_length(&self) -> Duration {
        self.rule.window / STEPS
    }

    /// Returns how long steps are kept: the window and one step.
    fn kept(&self) -> Duration {
        self.rule.window + self.step_length()
    }

    /// Returns the step of now, forgetting those that are out of the window.
    fn step(&mut self, service: &Name, now: Instant) -> &mut Step {
        let (length, kept) = (self.step_length(), self.kept());
        let steps = self.services.entry(service.clone()).or_default();
        while steps.front().is_some_and(|step| now - step.begins > kept) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|step| now - step.begins >= length) {
            steps.push_back(Step {
                begins: now,
                first: 0,
                arrived: 0,
                again: 0,
                repeated: 0,
                carried: 0.0,
            });
        }
        steps.back_mut().expect("just pushed")
    }
}
