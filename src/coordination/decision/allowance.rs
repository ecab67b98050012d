//! This node's share of what the fleet may send again.
//!
//! The fleet as a whole may send a share of a service's requests a further time,
//! plus a fixed slack, within any window. Nobody counts for the fleet: each node
//! sends again a share of what it sent itself, plus its part of the slack, so
//! the sum holds however traffic shifts between nodes.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::id::Name;

/// Part of the allowed share that is used. The rest, with what windows of different
/// nodes differ by, covers calls which a request that ran twice makes twice, at
/// services that can't tell: as much as [`REPEATED`] at each of their callers.
const USED: f64 = 0.7;

/// Part of the allowed share for requests that may have run already. The larger
/// part goes to those that certainly did not: they cost no second work, and nothing
/// further down.
const REPEATED: f64 = 0.25;

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
    /// Returns the further sends that a node's `requests` allow it, with its part of the
    /// slack.
    fn allowed(&self, requests: f64, nodes: usize) -> f64 {
        self.ratio * requests + self.slack / nodes.max(1) as f64
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
#[derive(Clone, Copy, Debug, PartialEq)]
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
    /// Further arrivals that the fleet's rule allows for this node's requests.
    pub allowed: f64,
}

/// What a request that is sent again did before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Again {
    /// It certainly did not run.
    NotRun,
    /// It ran, or may have.
    Repeated,
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
        self.step(service, now);
        let steps = &self.services[service];
        let sum = |of: fn(&Step) -> u32| f64::from(steps.iter().map(of).sum::<u32>());
        // What is used is summed over a little more than the window, what allows it over no
        // more: else a calm stretch allowed a tenth more than its part within the seconds
        // after it, 154 further sends for 1,000 requests in place of 140.
        let earned = |of: fn(&Step) -> u32| {
            let within = steps
                .iter()
                .filter(|step| now - step.begins <= self.rule.window);
            f64::from(within.map(of).sum::<u32>())
        };
        let allowed = |requests| self.rule.allowed(requests, nodes);
        let first = earned(|step| step.first);
        let arrived = earned(|step| step.arrived);
        let has_room = sum(|step| step.again) + 1.0 <= USED * allowed(first);
        let is_left = has_room
            && (again == Again::NotRun
                || sum(|step| step.repeated) + 1.0 <= REPEATED * allowed(arrived));
        if is_left {
            let step = self.step(service, now);
            step.again += 1;
            step.repeated += u32::from(again == Again::Repeated);
        }
        is_left
    }

    /// Returns what was sent within the window, for each service of which something was
    /// sent again. `nodes` is the size of the fleet.
    pub fn used(&mut self, nodes: usize, now: Instant) -> Vec<(Name, Used)> {
        let services: Vec<Name> = self.services.keys().cloned().collect();
        let used = services.into_iter().filter_map(|service| {
            self.step(&service, now);
            let steps = &self.services[&service];
            let sum = |of: fn(&Step) -> u32| steps.iter().map(of).sum::<u32>();
            let first = sum(|step| step.first);
            let carried = steps.iter().map(|step| step.carried).sum();
            let used = Used {
                first,
                arrived: sum(|step| step.arrived),
                again: sum(|step| step.again),
                repeated: sum(|step| step.repeated),
                carried,
                allowed: self.rule.allowed(f64::from(first), nodes),
            };
            (used.again > 0 || carried > 0.0).then_some((service, used))
        });
        used.collect()
    }

    /// Returns the step of now, forgetting those that are out of the window.
    fn step(&mut self, service: &Name, now: Instant) -> &mut Step {
        let length = self.rule.window / STEPS;
        let steps = self.services.entry(service.clone()).or_default();
        let out = self.rule.window + length;
        while steps.front().is_some_and(|step| now - step.begins > out) {
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
