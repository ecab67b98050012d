//! How a request to a node ended.

use std::time::Duration;

use crate::coordination::decision::reach::Failure;

/// How a request to a node ended.
#[derive(Clone, Copy, Debug)]
pub enum AttemptResult {
    /// The target answered after this time.
    Answered(Duration),
    /// The node refused the request; this is no failure of the target.
    Refused,
    /// The node reported that its target is leaving or gone.
    Leaving,
    /// The node reported that its target warms up and got all requests that it tolerates.
    WarmingUp,
    /// The node reported that its target got all requests that it takes.
    AtLimit,
    /// The node redirected the request because its target is slow now.
    Slow,
    /// Another node answered at its address.
    Replaced,
    /// The target failed: it closed the connection, or sent an invalid response or an error.
    Failed,
    /// No response came in time.
    Late,
    /// The node was unreachable.
    Lost(Failure),
    /// The caller went away, which is no evidence about the node.
    Abandoned,
}

impl AttemptResult {
    /// Returns its label value in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::WarmingUp => "warming-up",
            Self::AtLimit => "at-limit",
            Self::Slow => "slow",
            Self::Replaced => "replaced",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Lost(Failure::Silent) => "silent",
            Self::Lost(Failure::Closed) => "closed",
            Self::Abandoned => "abandoned",
        }
    }
}
