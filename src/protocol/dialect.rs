//! The headers of callers and targets, and the values that they carry.
//!
//! Header names differ between platforms, so the relay gets them as values. The
//! header between nodes, in [`hop`](super::hop), is the same on all platforms.

use std::time::Duration;

use http::HeaderName;

/// The platform's names of the headers that the relay reads or writes.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The id that a caller gives to one attempt. Targets echo it, so that a late response to
    /// another request is recognized.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender waits for the response.
    pub deadline: HeaderName,
    /// The expected instance of the target; any other instance refuses the request.
    pub expected_instance: HeaderName,
    /// The service on whose host the request began.
    pub caller_service: HeaderName,
    /// The team of the request's caller, for the target.
    pub team: HeaderName,
    /// A target's proof that it produced the response.
    pub proof: HeaderName,
    /// On a target's health answer: the id of the instance that answers.
    pub instance: HeaderName,
    /// On a target's health answer: milliseconds for which it still warms up.
    pub warmup: HeaderName,
    /// On a target's response: the request has not run.
    pub not_run: HeaderName,
    /// On a target's response: its running requests, waiting requests and slots,
    /// separated by commas. A fourth figure is its [`Slowness`].
    pub load: HeaderName,
    /// On a target's response: the requests per second that it takes from all nodes together.
    pub limit: HeaderName,
    /// On a target's response: the target is about to leave.
    pub leaving: HeaderName,
}

impl Default for Dialect {
    /// Returns the product's own names.
    fn default() -> Self {
        Self {
            attempt_id: HeaderName::from_static("rilltrack-request"),
            deadline: HeaderName::from_static(super::answer::DEADLINE),
            expected_instance: HeaderName::from_static("rilltrack-target"),
            caller_service: HeaderName::from_static("rilltrack-caller"),
            team: HeaderName::from_static("rilltrack-team"),
            proof: HeaderName::from_static("rilltrack-proof"),
            instance: HeaderName::from_static("rilltrack-instance"),
            warmup: HeaderName::from_static("rilltrack-warmup-ms"),
            not_run: HeaderName::from_static("rilltrack-not-run"),
            load: HeaderName::from_static(super::answer::LOAD),
            limit: HeaderName::from_static(super::answer::LIMIT),
            leaving: HeaderName::from_static(super::answer::LEAVING),
        }
    }
}

/// The slowdown of a target: the ratio of run time to usual run time.
///
/// 1 is the usual run time, 2 twice as long. Always finite and above zero.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// The bounds of one request's slowdown, so that a single outlier doesn't dominate a
    /// mean.
    const FACTOR_BOUNDS: (f64, f64) = (0.2, 8.0);

    /// The shortest usual run time that is used, in seconds; avoids a division by zero.
    const MIN_USUAL_SECONDS: f64 = 1e-4;

    /// Returns the slowdown of one request that took `took` instead of `usual`.
    pub fn from_run(took: Duration, usual: Duration) -> Self {
        let usual = usual.as_secs_f64().max(Self::MIN_USUAL_SECONDS);
        let (min, max) = Self::FACTOR_BOUNDS;
        Self((took.as_secs_f64() / usual).clamp(min, max))
    }

    /// Returns the weighted mean of this slowdown and `other`, where `weight` is the
    /// share of `other`, from 0 to 1.
    pub fn lerp(self, other: Self, weight: f64) -> Self {
        Self(self.0 + weight * (other.0 - self.0))
    }

    /// Returns the ratio.
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl Default for Slowdown {
    /// Returns the slowdown of a target with its usual run time.
    fn default() -> Self {
        Self(1.0)
    }
}

impl std::fmt::Display for Slowdown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// A text that is not a slowdown.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a slowdown: expected a number above zero")]
pub struct SlowdownError(String);

impl std::str::FromStr for Slowdown {
    type Err = SlowdownError;

    fn from_str(text: &str) -> Result<Self, SlowdownError> {
        let factor = text
            .parse()
            .ok()
            .filter(|factor: &f64| factor.is_finite() && *factor > 0.0);
        let factor = factor.ok_or_else(|| SlowdownError(text.into()))?;
        let (min, max) = Self::FACTOR_BOUNDS;
        Ok(Self(factor.clamp(min, max)))
    }
}

/// How long work currently takes on a target's machine, by the target's own statement, in
/// relation to the usual time.
///
/// It is exchanged in hundredths of the usual time. A figure out of bounds counts as the nearest
/// bound.
///
/// ```
/// use rilltrack::protocol::dialect::Slowness;
///
/// let slowness: Slowness = "250".parse()?;
/// assert_eq!((slowness.factor(), slowness.to_string()), (2.5, "250".into()));
/// assert_eq!("100000".parse::<Slowness>()?.factor(), 8.0);
/// assert_eq!("99999999999".parse::<Slowness>()?.factor(), 8.0);
/// # Ok::<(), rilltrack::protocol::dialect::SlownessError>(())
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Slowness(u32);

impl Slowness {
    /// The bounds, in hundredths; the same as those of a [`Slowdown`], so that a wrong statement
    /// has no more effect than a wrong observation.
    const HUNDREDTHS_BOUNDS: (u32, u32) = (20, 800);

    /// Returns the ratio of the current time to the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns the slowness of a ratio in hundredths, within its bounds.
    pub fn from_hundredths(hundredths: u32) -> Self {
        let (min, max) = Self::HUNDREDTHS_BOUNDS;
        Self(hundredths.clamp(min, max))
    }

    /// Returns the ratio in hundredths.
    pub fn hundredths(self) -> u32 {
        self.0
    }
}

impl std::fmt::Display for Slowness {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A text that is not a [`Slowness`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a slowness: expected hundredths of the usual time, above zero")]
pub struct SlownessError(String);

impl std::str::FromStr for Slowness {
    type Err = SlownessError;

    fn from_str(text: &str) -> Result<Self, SlownessError> {
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        // Digits that are no `u32` are a number above it.
        let hundredths = is_number.then(|| text.parse().unwrap_or(u32::MAX));
        let hundredths = hundredths.filter(|hundredths| *hundredths > 0);
        let hundredths = hundredths.ok_or_else(|| SlownessError(text.into()))?;
        Ok(Self::from_hundredths(hundredths))
    }
}

/// The utilization of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Slots: the most requests that the target runs at a time.
    pub slots: u32,
}

/// A text that is not a [`Load`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a load: expected three numbers separated by commas")]
pub struct Error(String);

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)
    }
}

impl std::str::FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error(text.into());
        let numbers: Result<Vec<u32>, _> = text.split(',').map(|n| n.trim().parse()).collect();
        let [running, waiting, slots] = numbers.map_err(|_| error())?[..] else {
            return Err(error());
        };
        Ok(Self {
            running,
            waiting,
            slots,
        })
    }
}
