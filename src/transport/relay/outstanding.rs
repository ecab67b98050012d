//! Requests under way at other nodes, and how each ended.

use std::time::{Duration, Instant};

use hyper::Response;

use crate::{
    coordination::{
        decision::{
            balance::{End, Report},
            tries::Ended,
        },
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
        ingress::{self, Refused},
    },
};

/// How one try ended.
pub enum Tried {
    /// With the target's answer.
    Answered(Response<Body>),
    /// Without one.
    Refused(Refused),
}

impl Tried {
    /// Returns whether a target has seen the request.
    pub fn has_arrived(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Refused(refused) => refused.arrived,
        }
    }
}

impl From<Tried> for Ended<Response<Body>> {
    fn from(tried: Tried) -> Self {
        match tried {
            Tried::Answered(answer) => Self::Answered {
                is_fault: answer.status().is_server_error(),
                answer,
            },
            Tried::Refused(Refused { refusal, .. }) if refusal.reason == ingress::TARGET_ENDED => {
                Self::TargetEnded(refusal)
            }
            Tried::Refused(Refused { refusal, arrived }) => Self::Refused { refusal, arrived },
        }
    }
}

/// Counts a request as outstanding at a node until it ends, however it ends.
pub struct Watch<'a> {
    host: &'a Host,
    member: &'a Member,
    route: &'a Name,
    service: &'a Name,
    /// What the node reported of its target.
    pub report: Report,
    /// How the node failed, where it did and not its target.
    pub fault: Option<End>,
    end: End,
}

impl<'a> Watch<'a> {
    /// Notes that a request of `route` for `service` is sent to a member.
    pub fn start(host: &'a Host, member: &'a Member, route: &'a Name, service: &'a Name) -> Self {
        host.balance.lock().start(member, Instant::now());
        Self {
            host,
            member,
            route,
            service,
            report: Report::default(),
            fault: None,
            end: End::Abandoned,
        }
    }

    /// Notes how it ended, after this time.
    pub fn finish(mut self, tried: &Tried, took: Duration) {
        self.end = match tried {
            Tried::Answered(response) if response.status().is_server_error() => End::Failed,
            Tried::Answered(_) => End::Answered(took),
            Tried::Refused(refused) => match refused.refusal.outcome {
                _ if self.fault.is_some() => self.fault.unwrap_or(End::Failed),
                Outcome::NotRun if refused.refusal.reason == ingress::OTHER_NODE => End::Replaced,
                Outcome::NotRun if ingress::is_leaving(&refused.refusal.reason) => End::Leaving,
                Outcome::NotRun => End::Refused,
                _ => End::Failed,
            },
        };
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let tried = metrics::Try {
            service: self.service.to_string(),
            end: self.end.name(),
        };
        self.host.metrics.tries.get_or_create(&tried).inc();
        let mut balance = self.host.balance.lock();
        let is_out = balance.finish(self.member, self.route, self.end, self.report, now);
        if is_out {
            self.host.lost.notify_one();
            note!(
                self.host.journal,
                Event::Ejected,
                target = self.member.node,
                end = format_args!("{:?}", self.end)
            );
        }
    }
}
