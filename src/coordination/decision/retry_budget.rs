//! The retry budget of the fleet, and this node's share of it.
//!
//! Within any window, the fleet as a whole may retry a share of the requests for a service,
//! plus a fixed slack. No node counts the requests of the fleet. Each node may retry a share of
//! the requests that it sent itself, plus its part of the slack, so the sum holds however
//! traffic shifts between nodes.
//!
//! A repeat is a run of a request that another target has already seen. It makes calls, which
//! are extra arrivals for the called services, too. The node beside the target that runs the
//! repeat sends these calls, so it counts them against its own share. It estimates their number
//! from the [`runs`](super::runs) under way. Once they use up its share, its target runs no
//! more repeats.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::id::Name;

/// The share of the allowed extra arrivals that retries may use. The rest covers differences
/// between the windows of the nodes, and calls made by calls of repeats, which no node counts.
const USED_SHARE: f64 = 0.7;

/// The share of the allowed extra arrivals for retries of requests that may have run. The
/// larger part is for requests that certainly did not run, since their retries cost no second
/// run.
const REPEATED_SHARE: f64 = 0.25;

/// The share of the allowed extra arrivals that this node's retries and the calls of repeats
/// may use together before the target here runs no more repeats. The rest is for the calls
/// of the repeats that are still running then.
const ADMIT_SHARE: f64 = 0.9;

/// Steps of a window. One more is kept, so that usage is summed over a little more than the
/// window.
const WINDOW_STEPS: u32 = 10;

/// How much the fleet may retry.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in each window, for the whole fleet.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Rule {
    /// Returns the extra arrivals that a node may cause when it has sent `requests`, with its
    /// part of the slack.
    fn allowed(&self, requests: u32, nodes: usize) -> f64 {
        self.ratio * f64::from(requests) + self.slack / nodes.max(1) as f64
    }
}

/// The requests and retries that this node sent, for each service.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rilltrack::coordination::decision::retry_budget::{Retry, RetryBudget, Rule};
///
/// let rule = Rule { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(rule);
/// let (service, now) = ("ledger".parse()?, Instant::now());
/// // The only node of the fleet may use seven tenths of the slack, and a quarter of it for
/// // requests that may have run.
/// let repeated = (0..20).filter(|_| budget.spend(&service, Retry::Repeated, 1, now)).count();
/// let unrun = (0..20).filter(|_| budget.spend(&service, Retry::NotRun, 1, now)).count();
/// assert_eq!((repeated, unrun), (2, 5));
/// # Ok::<(), rilltrack::id::Error>(())
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    rule: Rule,
    services: HashMap<Name, VecDeque<Step>>,
}

/// The counts of one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    begins: Instant,
    first_sends: u32,
    /// The first sends that a target has seen.
    arrived: u32,
    retries: u32,
    /// The retries of requests that may have run.
    repeated: u32,
    /// The estimated number of first sends that are calls of repeats.
    repeat_calls: f64,
}

/// What this node sent for one service within the window, and what it may retry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// First sends: one for each request.
    pub first_sends: u32,
    /// The first sends that a target has seen.
    pub arrived: u32,
    /// Retries.
    pub retries: u32,
    /// The retries of requests that may have run.
    pub repeated: u32,
    /// The estimated number of first sends that are calls of repeats.
    pub repeat_calls: f64,
    /// Extra arrivals that the rule of the fleet allows for this node's first sends, with its
    /// part of the slack.
    pub allowed: f64,
    /// Extra arrivals that the rule allows for the first sends which a target has seen, with
    /// the same part of the slack.
    pub allowed_arrived: f64,
}

/// Whether a request that is retried may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// It certainly did not run.
    NotRun,
    /// It ran, or may have.
    Repeated,
}

impl Usage {
    /// Returns the arrivals at targets, past and expected, beyond the first one of each
    /// request.
    pub fn extra_arrivals(&self) -> f64 {
        f64::from(self.retries) + self.repeat_calls
    }
}

impl RetryBudget {
    /// Returns an unused retry budget.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Sets another rule. The requests and retries sent so far still count.
    pub fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Records the first send of a request for `service`; `repeat_chance` is the probability
    /// that it is a call made by a run that is a repeat.
    pub fn note_first_send(&mut self, service: &Name, repeat_chance: f64, now: Instant) {
        let step = self.step(service, now);
        step.first_sends += 1;
        step.repeat_calls += repeat_chance;
    }

    /// Records that a target has seen a request for `service` for the first time.
    ///
    /// Only such requests make calls, so only they earn budget for the calls that repeats make
    /// to other services. Under overload, most first sends are refused before any target sees
    /// them. When those earned budget as well, they allowed repeats whose calls alone were a
    /// fifth of what the requests for the called service allow.
    pub fn note_arrival(&mut self, service: &Name, now: Instant) {
        self.step(service, now).arrived += 1;
    }

    /// Takes one retry for `service` from the budget; returns whether one was left. `nodes`
    /// is the size of the fleet.
    pub fn spend(&mut self, service: &Name, retry: Retry, nodes: usize, now: Instant) -> bool {
        let steps = self.services.get(service);
        let usage = self.used(steps.into_iter().flatten(), nodes, now);
        // Calls of repeats arrive at the same targets as this node's own retries. When only the
        // retries were counted here, the calls were extra arrivals beyond the budget.
        let has_room = usage.extra_arrivals() + 1.0 <= USED_SHARE * usage.allowed;
        let is_left = has_room
            && (retry == Retry::NotRun
                || f64::from(usage.repeated) + 1.0 <= REPEATED_SHARE * usage.allowed_arrived);
        if is_left {
            let step = self.step(service, now);
            step.retries += 1;
            step.repeated += u32::from(retry == Retry::Repeated);
        }
        is_left
    }

    /// Returns whether the target here may run one more repeat: whether this node has budget
    /// left for the calls of its run. `nodes` is the size of the fleet.
    ///
    /// It is checked here because the node that retries the request can't know which services
    /// its run calls.
    pub fn has_room_for_calls(&self, nodes: usize, now: Instant) -> bool {
        self.usage(nodes, now)
            .all(|(_, usage)| usage.extra_arrivals() <= ADMIT_SHARE * usage.allowed)
    }

    /// Returns what this node sent for each service. `nodes` is the size of the fleet.
    pub fn usage(&self, nodes: usize, now: Instant) -> impl Iterator<Item = (&Name, Usage)> {
        let usage = move |(service, steps)| (service, self.used(steps, nodes, now));
        self.services.iter().map(usage)
    }

    /// Returns the sums over the `steps` of a service.
    ///
    /// Retries are summed over the window and one more step, the requests that earn their
    /// budget over the window only. When the requests were summed over the longer time, too,
    /// the retries in the seconds after a quiet period exceeded their share by a tenth: 154 for
    /// 1,000 requests in place of 140.
    fn used<'a>(
        &self,
        steps: impl IntoIterator<Item = &'a Step>,
        nodes: usize,
        now: Instant,
    ) -> Usage {
        let mut usage = Usage::default();
        for step in steps {
            let age = now - step.begins;
            if age <= self.rule.window {
                usage.first_sends += step.first_sends;
                usage.arrived += step.arrived;
            }
            if age <= self.retention() {
                usage.retries += step.retries;
                usage.repeated += step.repeated;
                usage.repeat_calls += step.repeat_calls;
            }
        }
        usage.allowed = self.rule.allowed(usage.first_sends, nodes);
        usage.allowed_arrived = self.rule.allowed(usage.arrived, nodes);
        usage
    }

    /// Returns the length of a step.
    fn step_length(&self) -> Duration {
        self.rule.window / WINDOW_STEPS
    }

    /// Returns how long a step is kept: the window and one step.
    fn retention(&self) -> Duration {
        self.rule.window + self.step_length()
    }

    /// Returns the current step, and removes steps that are older than the retention time.
    fn step(&mut self, service: &Name, now: Instant) -> &mut Step {
        let (length, retention) = (self.step_length(), self.retention());
        let steps = self.services.entry(service.clone()).or_default();
        while steps
            .front()
            .is_some_and(|step| now - step.begins > retention)
        {
            steps.pop_front();
        }
        if steps.back().is_none_or(|step| now - step.begins >= length) {
            steps.push_back(Step {
                begins: now,
                first_sends: 0,
                arrived: 0,
                retries: 0,
                repeated: 0,
                repeat_calls: 0.0,
            });
        }
        steps.back_mut().expect("just pushed")
    }
}
