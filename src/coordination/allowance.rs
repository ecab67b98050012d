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

/// Part of the allowed share that is used. The rest covers calls which a
/// request that ran twice makes twice, at services that can't tell.
const USED: f64 = 0.5;

/// Steps into which a window is cut; one more is kept, so that the sum is over
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

/// What this node sent, for each service.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::coordination::allowance::{Allowance, Rule};
///
/// let rule = Rule { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
/// let mut allowance = Allowance::new(rule);
/// let (service, now) = ("ledger".parse()?, Instant::now());
/// // Alone in the fleet, half of the slack is this node's.
/// let spent = (0..20).filter(|_| allowance.spend(&service, 1, now)).count();
/// assert_eq!(spent, 5);
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
    again: u32,
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

    /// Notes the first send of a request for `service`.
    pub fn earn(&mut self, service: &Name, now: Instant) {
        self.step(service, now).first += 1;
    }

    /// Takes one further send for `service`; returns whether there was one.
    /// `nodes` is the size of the fleet.
    pub fn spend(&mut self, service: &Name, nodes: usize, now: Instant) -> bool {
        let slack = self.rule.slack * USED / nodes.max(1) as f64;
        let ratio = self.rule.ratio * USED;
        self.step(service, now);
        let steps = &self.services[service];
        let first: u32 = steps.iter().map(|step| step.first).sum();
        let again: u32 = steps.iter().map(|step| step.again).sum();
        let is_left = f64::from(again) + 1.0 <= ratio * f64::from(first) + slack;
        if is_left {
            self.step(service, now).again += 1;
        }
        is_left
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
                again: 0,
            });
        }
        steps.back_mut().expect("just pushed")
    }
}
