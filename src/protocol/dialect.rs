//! The headers that callers and targets speak, by what they mean.
//!
//! The names differ from platform to platform, so the relay takes them as
//! values. What nodes say to each other stands in
//! [`hop`](super::hop) and is always the
//! same.

use std::time::Duration;

use http::HeaderName;

/// The names of the headers that have a meaning for the relay.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The id of one attempt of a caller. Targets echo it, which tells an
    /// answer to this request from a late one to another.
    pub id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// The instance of the target that is meant; any other refuses.
    pub expect: HeaderName,
    /// The service on the host at which the request began.
    pub caller: HeaderName,
    /// A target's proof that it made the answer.
    pub proof: HeaderName,
    /// On a target's answer: the request has not run.
    pub not_run: HeaderName,
    /// On a target's answer: requests running, waiting and its slots, with
    /// commas between.
    pub load: HeaderName,
}

impl Default for Dialect {
    /// The product's own names.
    fn default() -> Self {
        Self {
            id: HeaderName::from_static("rilltrack-request"),
            deadline: HeaderName::from_static(super::answer::DEADLINE),
            expect: HeaderName::from_static("rilltrack-target"),
            caller: HeaderName::from_static("rilltrack-caller"),
            proof: HeaderName::from_static("rilltrack-proof"),
            not_run: HeaderName::from_static("rilltrack-not-run"),
            load: HeaderName::from_static(super::answer::LOAD),
        }
    }
}

/// How long a target takes for a request, over what is usual for it: 1 is as usual, 2
/// twice as long. Never zero, negative or without end.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// Bounds on one request's say, lest a single outlier decide.
    const BOUNDS: (f64, f64) = (0.2, 8.0);

    /// Returns the pace of one request.
    pub fn of(took: Duration, usual: Duration) -> Self {
        let usual = usual.as_secs_f64().max(1e-4);
        let (least, most) = Self::BOUNDS;
        Self((took.as_secs_f64() / usual).clamp(least, most))
    }

    /// Returns a mean of this pace and `other`, which has `weight` of 1.
    pub fn towards(self, other: Self, weight: f64) -> Self {
        Self(self.0 + weight * (other.0 - self.0))
    }

    /// Returns it as a factor.
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl Default for Pace {
    /// As usual.
    fn default() -> Self {
        Self(1.0)
    }
}

impl std::fmt::Display for Pace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// A text that is no pace.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a pace: a number above zero")]
pub struct PaceError(String);

impl std::str::FromStr for Pace {
    type Err = PaceError;

    fn from_str(text: &str) -> Result<Self, PaceError> {
        let factor = text
            .parse()
            .ok()
            .filter(|pace: &f64| pace.is_finite() && *pace > 0.0);
        let factor = factor.ok_or_else(|| PaceError(text.into()))?;
        let (least, most) = Self::BOUNDS;
        Ok(Self(factor.clamp(least, most)))
    }
}

/// How full a target is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// A text that is no load.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a load: three numbers with commas between")]
pub struct Error(String);

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)
    }
}

impl std::str::FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let fault = || Error(text.into());
        let numbers: Result<Vec<u32>, _> = text.split(',').map(|n| n.trim().parse()).collect();
        let [running, waiting, slots] = numbers.map_err(|_| fault())?[..] else {
            return Err(fault());
        };
        Ok(Self {
            running,
            waiting,
            slots,
        })
    }
}
