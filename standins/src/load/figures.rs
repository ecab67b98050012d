//! What a replay gave.

use std::time::Duration;

use rilltrack::coordination::decision::retry_budget::Rule;

/// What became of the requests of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// For each kind, in the order of the load.
    pub kinds: Vec<Count>,
    /// Requests that each target ran, by service.
    pub runs: Vec<Vec<u32>>,
    /// Sends to targets beyond the first of each request, by service.
    pub repeats: Vec<u32>,
    /// What was asked of each service, and what its targets saw more than once.
    pub arrivals: Vec<Arrivals>,
}

/// What was asked of a service and what came to its targets, by time from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Requests, a caller's own retries among them.
    pub requests: Vec<Duration>,
    /// Arrivals beyond the first of each request, with all calls of runs that were repeats.
    pub further: Vec<Duration>,
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    /// Requests, each counted once however often its caller came back.
    pub asked: u32,
    /// Answered within the objective, from the first try.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused in the end.
    pub refused: u32,
    /// Failed: the target or one of its calls did.
    pub failed: u32,
    /// Nodes that were asked for room.
    pub offers: u32,
    /// What was earned.
    pub earned: f64,
    /// What could have been earned.
    pub owed: f64,
    /// How long the answered ones took.
    pub took: Took,
}

/// How long requests took, from the first try of each.
#[derive(Clone, Default, PartialEq)]
pub struct Took(Vec<Duration>);

impl Figures {
    /// Returns what was earned of what could have been.
    pub fn worth(&self) -> f64 {
        let sum = |of: fn(&Count) -> f64| self.kinds.iter().map(of).sum::<f64>();
        sum(|count| count.earned) / sum(|count| count.owed).max(f64::MIN_POSITIVE)
    }

    /// Returns what the busiest target of a service ran, over the mean.
    pub fn busiest(&self, service: usize) -> f64 {
        let runs = &self.runs[service];
        let mean = f64::from(runs.iter().sum::<u32>()) / runs.len() as f64;
        f64::from(*runs.iter().max().unwrap_or(&0)) / mean
    }
}

impl Arrivals {
    /// Returns the further arrivals in the worst window, and what `rule` allows there: a share
    /// of the requests in that window or the one before it.
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
    /// Returns the part of the requests for which `count` stands.
    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.asked.max(1))
    }
}

impl Took {
    /// Notes one more.
    pub fn note(&mut self, took: Duration) {
        self.0.push(took);
    }

    /// Returns the time within which this part of them came; zero if there are none.
    pub fn quantile(&self, part: f64) -> Duration {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * part) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(at.min(last)).copied().unwrap_or_default()
    }
}

/// A few quantiles: a replay has tens of thousands.
impl std::fmt::Debug for Took {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [half, most] = [0.5, 0.99].map(|part| self.quantile(part));
        write!(
            f,
            "{} of {half:?} at the median, {most:?} at p99",
            self.0.len()
        )
    }
}
