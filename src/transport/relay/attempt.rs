//! Attempts at nodes: their outcomes, and the guard that counts them while they run.

use std::time::{Duration, Instant};

use hyper::Response;

use crate::{
    coordination::{
        decision::{
            attempts::AttemptEnd,
            balance::{AttemptResult, Report},
        },
        gate,
        host::Host,
    },
    event::Event,
    host::metrics,
    id::Name,
    journal::note,
    protocol::answer::Outcome,
    state::member::Member,
    transport::relay::{
        body::Body,
        delivery::{self, Refused},
    },
};

/// How one attempt ended.
pub enum AttemptOutcome {
    /// The target answered.
    Answered(Response<Body>),
    /// The attempt was refused or failed.
    Refused(Refused),
}

impl AttemptOutcome {
    /// Returns whether a target may have seen the request.
    pub fn has_arrived(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Refused(refused) => refused.has_arrived,
        }
    }
}

impl From<AttemptOutcome> for AttemptEnd<Response<Body>> {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered(answer) => Self::Answered {
                is_fault: answer.status().is_server_error(),
                answer,
            },
            AttemptOutcome::Refused(Refused { refusal, .. })
                if refusal.reason == delivery::TARGET_CRASHED =>
            {
                Self::TargetCrashed(refusal)
            }
            // A peer that gives this reason for a request that may have run must not cause it to
            // be sent again.
            AttemptOutcome::Refused(Refused {
                refusal,
                has_arrived: false,
            }) if refusal.reason == gate::SLOW && refusal.outcome == Outcome::NotRun => {
                Self::Redirected
            }
            AttemptOutcome::Refused(Refused {
                refusal,
                has_arrived,
            }) => Self::Refused {
                refusal,
                arrived: has_arrived,
            },
        }
    }
}

/// Counts a request as outstanding at a node until it is dropped, and then records how the
/// attempt ended.
pub struct AttemptGuard<'a> {
    host: &'a Host,
    member: &'a Member,
    route: &'a Name,
    service: &'a Name,
    /// The node's report about its target.
    pub report: Report,
    /// How the node itself failed, as opposed to its target; `None` if it didn't.
    pub node_failure: Option<AttemptResult>,
    /// How the attempt ended; abandoned unless it was finished.
    result: AttemptResult,
}

impl<'a> AttemptGuard<'a> {
    /// Returns a guard for a request of `route` for `service` that is sent to a member.
    pub fn start(host: &'a Host, member: &'a Member, route: &'a Name, service: &'a Name) -> Self {
        host.balancer.lock().start(member, Instant::now());
        Self {
            host,
            member,
            route,
            service,
            report: Report::default(),
            node_failure: None,
            result: AttemptResult::Abandoned,
        }
    }

    /// Records how the attempt ended, after `elapsed`.
    pub fn finish(mut self, outcome: &AttemptOutcome, elapsed: Duration) {
        self.result = match outcome {
            AttemptOutcome::Answered(response) if response.status().is_server_error() => {
                AttemptResult::Failed
            }
            AttemptOutcome::Answered(_) => AttemptResult::Answered(elapsed),
            AttemptOutcome::Refused(refused) => match refused.refusal.outcome {
                _ if self.node_failure.is_some() => {
                    self.node_failure.unwrap_or(AttemptResult::Failed)
                }
                Outcome::NotRun if refused.refusal.reason == delivery::OTHER_NODE => {
                    AttemptResult::Replaced
                }
                Outcome::NotRun if delivery::is_target_unavailable(&refused.refusal.reason) => {
                    AttemptResult::Leaving
                }
                Outcome::NotRun if refused.refusal.reason == gate::WARMING_UP => {
                    AttemptResult::WarmingUp
                }
                Outcome::NotRun if refused.refusal.reason == gate::AT_LIMIT => {
                    AttemptResult::AtLimit
                }
                Outcome::NotRun if refused.refusal.reason == gate::SLOW => AttemptResult::Slow,
                Outcome::NotRun => AttemptResult::Refused,
                // The caller sent too much, or not all of it.
                _ if refused.refusal.reason == delivery::BODY_BROKE_OFF => AttemptResult::Abandoned,
                _ => AttemptResult::Failed,
            },
        };
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        if let Some(load) = self.report.load {
            self.host.load_reports.observe(self.member, load, now);
        }
        let labels = metrics::Attempt {
            service: self.service.to_string(),
            end: self.result.name(),
        };
        self.host.metrics.attempts.get_or_create(&labels).inc();
        let mut balancer = self.host.balancer.lock();
        let is_ejected = balancer.finish(self.member, self.route, self.result, self.report, now);
        if is_ejected {
            self.host.node_unreachable.notify_one();
            note!(
                self.host.journal,
                Event::Ejected,
                target = self.member.node,
                end = format_args!("{:?}", self.result)
            );
        }
    }
}
