//! The results of a replay.

use std::time::Duration;

use rilltrack::coordination::decision::retry_budget::Rule;

/// The results of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// The results of each kind of request, in the order of the load.
    pub kinds: Vec<Count>,
    /// The number of requests that each target ran, by service.
    pub runs: Vec<Vec<u32>>,
    /// The number of retries of requests that had arrived at a target before, by service.
    pub repeats: Vec<u32>,
    /// Arrivals of requests and of repeats, by service.
    pub arrivals: Vec<Arrivals>,
}

/// The requests for a service and the repeats at its targets, as times from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Requests of callers, including their own retries.
    pub requests: Vec<Duration>,
    /// Arrivals beyond the first of each request, including all calls that repeats made.
    pub further: Vec<Duration>,
}

/// The results of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    /// Requests; each counts once, whatever the number of its caller's retries.
    pub asked: u32,
    /// Answered within the objective, measured from the caller's first attempt.
    pub in_time: u32,
    /// Answered after the objective and before the deadline.
    pub late: u32,
    /// Refused, with no retry of the caller left.
    pub refused: u32,
    /// Failed: the target or one of its calls failed, or the deadline passed.
    pub failed: u32,
    /// Runs at targets.
    pub runs: u32,
    /// Runs that failed because a call that they made was refused.
    pub runs_failed_by_refused_call: u32,
    /// Attempts that were offered to nodes.
    pub offers: u32,
    /// Offers that a target's queue rejected.
    pub rejections: u32,
    /// Attempts that a node redirected because its target was slow.
    pub redirects: u32,
    /// The sum of the worth of all answers.
    pub earned: f64,
    /// The sum of worth if all requests were answered in time.
    pub owed: f64,
    /// The latencies of answered requests.
    pub took: Took,
}

/// The latencies of requests, measured from each caller's first attempt.
#[derive(Clone, Default, PartialEq)]
pub struct Took(Vec<Duration>);

impl Figures {
    /// Returns the earned share of the possible worth.
    pub fn worth(&self) -> f64 {
        let sum = |of: fn(&Count) -> f64| self.kinds.iter().map(of).sum::<f64>();
        sum(|count| count.earned) / sum(|count| count.owed).max(f64::MIN_POSITIVE)
    }

    /// Returns the runs of a service's busiest target, relative to the mean of its targets.
    pub fn busiest(&self, service: usize) -> f64 {
        let runs = &self.runs[service];
        let mean = f64::from(runs.iter().sum::<u32>()) / runs.len() as f64;
        f64::from(*runs.iter().max().unwrap_or(&0)) / mean
    }
}

impl Arrivals {
    /// Returns the further arrivals in the window that uses most of its limit, and the limit:
    /// `rule`'s ratio of the requests in that window or the one before it, whichever has more,
    /// plus its slack.
    pub fn worst(&self, rule: Rule) -> (usize, f64) {
        let within = |times: &[Duration], from: Duration, until: Duration| {
            let before = |end| times.partition_point(|at| *at < end);
            before(until) - before(from)
        };
        let worst = self.further.iter().map(|from| {
            let until = *from + rule.window;
            let former = from.saturating_sub(rule.window);
            let requests =
                within(&self.requests, *from, until).max(within(&self.requests, former, *from));
            let allowed = rule.ratio * requests as f64 + rule.slack;
            (within(&self.further, *from, until), allowed)
        });
        let part = |(further, allowed): &(usize, f64)| *further as f64 / allowed;
        worst
            .max_by(|a, b| part(a).total_cmp(&part(b)))
            .unwrap_or((0, rule.slack))
    }
}

impl Count {
    /// Returns `count` as a share of the requests.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.asked.max(1))
    }
}

impl Took {
    /// Adds a latency.
    pub fn note(&mut self, took: Duration) {
        self.0.push(took);
    }

    /// Returns the latency at quantile `part`; zero without latencies.
    pub fn quantile(&self, part: f64) -> Duration {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * part) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(at.min(last)).copied().unwrap_or_default()
    }
}

/// Prints two quantiles only, since a replay has tens of thousands of latencies.
impl std::fmt::Debug for Took {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [median, p99] = [0.5, 0.99].map(|part| self.quantile(part));
        write!(
            f,
            "{} of {median:?} at the median, {p99:?} at p99",
            self.0.len()
        )
    }
}
