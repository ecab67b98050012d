//! The verdict on one target on trial, from its responses.
//!
//! For each route, a sequential test runs: a cumulative sum (CUSUM) of log-likelihood ratios.
//! Each response is weighed against the share of bad responses that its sender sees of the
//! serving release, on the same route in the same seconds. So failing calls to other services,
//! overload and other faults that both releases have count against neither. The sum never falls
//! below 0, so a release that turns bad late is detected as fast as one that was bad from the
//! start. Each route has its own sum, so good responses on other routes don't hide a route on
//! which the release is bad.

use std::{collections::HashMap, time::Duration};

use crate::id::Name;

/// The share of bad responses that a bad release adds, among the requests that the serving
/// release would answer well. The sum grows, so that the release is detected, if it spoils a
/// seventh of them or more.
const EXCESS_SHARE: f64 = 0.25;

/// The least baseline share of bad responses. On hosts where runs take one and a half times the
/// mean, 6 in 100 responses of a route whose run times vary widely take [`SLOW_RATIO`] times
/// the mean. At 0.02, eight of 32 good targets were judged to fail under their usual load.
const MIN_BASELINE_SHARE: f64 = 0.06;

/// The greatest baseline share of bad responses. If a service mostly fails, its responses are
/// no evidence about a release.
const MAX_BASELINE_SHARE: f64 = 0.8;

/// The sum (a log-likelihood ratio) from which a target is failing. A good target reaches it
/// once in `e^10`, some 20,000, responses on a route, many times those of a trial. A target
/// that spoils half of its responses reaches it within some 15 responses, 8 of them bad.
const FAILING_SUM: f64 = 10.0;

/// The number of responses after which a target that is not failing has passed. A release that
/// spoils half of its responses is detected within 20 responses with probability 0.999.
const MIN_ANSWERS: u32 = 20;

/// The ratio of run time to usual run time from which a response is bad. Targets that have just
/// started take twice the usual time, targets on slow hosts one and a half times.
const SLOW_RATIO: f64 = 4.0;

/// The least usual run time for this comparison. The scheduling of a host's processor can
/// lengthen a run of a millisecond many times, and no caller finds a response within 0.1 s
/// slow.
const MIN_USUAL_RUN_TIME: Duration = Duration::from_millis(25);

/// The weight of the newest response in the moving average of bad responses, which then covers
/// about the last four seconds of one node's part of the traffic.
const NEWEST_WEIGHT: f64 = 0.02;

/// Returns whether a response is bad: the target reported a failure, or the run took several
/// times the usual run time.
pub fn is_bad(is_fault: bool, run_time: Duration, usual: Option<Duration>) -> bool {
    let is_slow =
        usual.is_some_and(|usual| run_time > usual.max(MIN_USUAL_RUN_TIME).mul_f64(SLOW_RATIO));
    is_fault || is_slow
}

/// The share of bad responses that a node sees of the serving releases, by route.
#[derive(Debug, Default)]
pub struct Baseline {
    shares: HashMap<Name, f64>,
}

impl Baseline {
    /// Records a response.
    pub fn record(&mut self, route: &Name, is_bad: bool) {
        let share = self.shares.entry(route.clone()).or_default();
        *share += NEWEST_WEIGHT * (f64::from(u8::from(is_bad)) - *share);
    }

    /// Returns the share of bad responses on a route; 0 if no response is recorded.
    pub fn share(&self, route: &Name) -> f64 {
        self.shares.get(route).copied().unwrap_or(0.0)
    }

    /// Forgets the routes that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.shares.retain(|route, _| exists(route));
    }
}

/// The trial of one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trial {
    /// The cumulative sums, by route.
    sums: HashMap<Name, f64>,
    answers: u32,
    bad: u32,
    is_failing: bool,
}

impl Trial {
    /// Records a response on a route. `baseline` is the share of bad responses of the serving
    /// release there, as the sender sees it.
    ///
    /// Returns whether the verdict changed.
    pub fn record(&mut self, route: &Name, baseline: f64, is_bad: bool) -> bool {
        let before = self.verdict();
        self.answers += 1;
        self.bad += u32::from(is_bad);
        // The probability of a bad response if the release is good, and if it is bad.
        let if_good = baseline.clamp(MIN_BASELINE_SHARE, MAX_BASELINE_SHARE);
        let if_bad = if_good + (1.0 - if_good) * EXCESS_SHARE;
        let ratio = match is_bad {
            true => if_bad / if_good,
            false => (1.0 - if_bad) / (1.0 - if_good),
        };
        let sum = self.sums.entry(route.clone()).or_default();
        *sum = (*sum + ratio.ln()).max(0.0);
        self.is_failing |= *sum >= FAILING_SUM;
        self.verdict() != before
    }

    /// Returns whether the target is failing, or `None` while there are too few responses to
    /// tell.
    pub fn verdict(&self) -> Option<bool> {
        let is_known = self.is_failing || self.answers >= MIN_ANSWERS;
        is_known.then_some(self.is_failing)
    }

    /// Returns the number of responses so far, and of the bad ones among them.
    pub fn counts(&self) -> (u32, u32) {
        (self.answers, self.bad)
    }
}
