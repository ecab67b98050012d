//! A request on its way to the target beside the node that receives it, and how it is refused.

use std::time::Instant;

use hyper::StatusCode;

use crate::{
    coordination::gate::{Arrival, LEAVING, NO_TARGET},
    id::Name,
    protocol::{
        answer::{Outcome, Refusal},
        hop,
    },
    unit::Span,
};

/// The reason of a refusal because the host's link can't carry the large answer in time.
pub const LINK_BUSY: &str = "the link has no room for the answer";

/// The reason of a refusal because the host's link can't carry the request body in time, or
/// because the deadline passed before the body arrived.
pub const LINK_FULL: &str = "the link has no room for the body";

/// The reason of a refusal by a node other than the one that the request is addressed to.
pub const OTHER_NODE: &str = "another node has this address";

/// The reason of a refusal because the failure domain of this node is drained.
pub const DOMAIN_DRAINED: &str = "the failure domain is drained";

/// The `Retry-After` of refusals with [`DOMAIN_DRAINED`]. The sender learns of the drain from
/// this node's report or sooner, and a target elsewhere takes the request.
pub const DRAINED_RETRY_AFTER: Span = Span::from_millis(100);

/// The reason of a refusal because a running target closed the connection during a
/// request.
pub const TARGET_BROKE_OFF: &str = "target broke off";

/// The reason of a refusal because a running target sent bytes that are no response, or too many
/// before one.
pub const NO_RESPONSE: &str = "target sent bytes that are no answer";

/// The reason of a refusal because the request body ended early, which is no fault of the
/// target.
pub const BODY_BROKE_OFF: &str = "request body broke off";

/// The reason of a refusal because the target's process terminated during the request.
pub const TARGET_CRASHED: &str = "target ended";

/// The reason of a refusal because the retry budget does not cover the calls that one more
/// repeat would make.
pub const CALL_BUDGET_SPENT: &str = "no allowance is left for the calls of a repeat";

/// The `Retry-After` of refusals with [`CALL_BUDGET_SPENT`]. The caller's next attempt counts
/// as a first send, which needs no retry budget.
pub const CALLS_RETRY_AFTER: Span = Span::from_millis(200);

/// The parameters of a delivery to the target on this host.
pub struct Delivery {
    /// The service that the request is for.
    pub service: Name,
    /// The priority and time limits for the gate's queue.
    pub arrival: Arrival,
    /// The usual size of the answer in bytes, if the answer is usually large; otherwise 0.
    pub answer_size: usize,
    /// When the caller has no more use for an answer.
    pub deadline: Instant,
    /// Whether this is the trial of a quarantined request.
    pub is_trial: bool,
    /// How many of 1,000 answers on the request's route are bad, as observed by the sender.
    pub fault_permille: u16,
    /// Whether a target has seen the request before.
    pub is_repeat: bool,
    /// The limit that the target stated to the sender.
    pub known_limit: Option<hop::Limit>,
}

/// An attempt that was refused or failed, so that it has no answer of the target.
pub struct Refused {
    /// What is known about the request, and why it failed.
    pub refusal: Refusal,
    /// Whether the target may have seen the request.
    pub has_arrived: bool,
}

impl Refused {
    /// Returns a refusal of a request that the target has not seen.
    pub fn before_arrival(refusal: Refusal) -> Self {
        Self {
            refusal,
            has_arrived: false,
        }
    }

    /// Returns a refusal of a request that the target may have seen.
    pub fn after_arrival(refusal: Refusal) -> Self {
        Self {
            refusal,
            has_arrived: true,
        }
    }

    /// Returns whether a request that may have run failed because the target or the connection
    /// to it broke off, or because the response was invalid for this request.
    pub fn is_fault(&self) -> bool {
        let Refusal {
            outcome,
            status,
            reason,
            ..
        } = &self.refusal;
        self.has_arrived
            && *outcome == Outcome::Unknown
            && *status == 502
            && reason != BODY_BROKE_OFF
    }
}

impl Delivery {
    /// Returns the delivery that a peer requests at `now`.
    pub fn from_peer(ask: hop::Request, now: Instant) -> Self {
        Self {
            service: ask.service,
            arrival: Arrival {
                priority: ask.priority,
                max_wait: ask.max_wait.duration(),
                due: now + ask.due_in.duration(),
                usual_run_time: ask.usual_run_time.map(Span::duration),
                may_redirect: false,
            },
            answer_size: ask.usual_answer_size,
            deadline: now + ask.deadline.duration(),
            is_trial: false,
            fault_permille: ask.fault_permille,
            is_repeat: ask.is_repeat,
            known_limit: None,
        }
    }
}

/// Returns whether the reason of a refusal is that the node has no target, that its target is
/// leaving or that its failure domain is drained.
pub fn is_target_unavailable(reason: &str) -> bool {
    [LEAVING, NO_TARGET, DOMAIN_DRAINED].contains(&reason)
}

/// Returns the refusal that a peer reported, or `None` if the response is the target's answer.
pub fn peer_refusal(status: StatusCode, report: hop::Reply) -> Option<Refused> {
    if report.outcome == Outcome::Answered {
        return None;
    }
    Some(Refused {
        refusal: Refusal {
            outcome: report.outcome,
            status: status.as_u16(),
            reason: report.reason,
            retry_after: report.retry_after,
        },
        has_arrived: report.has_arrived,
    })
}
