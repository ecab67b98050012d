//! Share of repeats among the requests that the targets on a host run.
//!
//! When targets of one service reject or fail requests, these are retried, run at other
//! targets, and make their calls there. To the node that sends such a call, it looks like any
//! first attempt, but without the repeat it would not have been made. One of the runs in
//! progress has made it, so the share of repeats among them is the probability that a repeat
//! made it. Which run it was need not be known.

/// Counts of the requests that targets are running, and of the repeats among them.
///
/// # Example
///
/// ```
/// use rilltrack::coordination::decision::runs::Runs;
///
/// let mut runs = Runs::default();
/// for is_repeat in [false, false, false, true] {
///     runs.start(is_repeat);
/// }
/// assert_eq!(runs.repeat_share(), 0.25);
/// runs.end(true);
/// assert_eq!(runs.repeat_share(), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Runs {
    total: u32,
    repeated: u32,
}

impl Runs {
    /// Records that a run begins; `is_repeat` if a target has already seen its request.
    pub fn start(&mut self, is_repeat: bool) {
        self.total += 1;
        self.repeated += u32::from(is_repeat);
    }

    /// Records that a run ends, with the same `is_repeat` as at its start.
    pub fn end(&mut self, is_repeat: bool) {
        self.total -= 1;
        self.repeated -= u32::from(is_repeat);
    }

    /// Returns the sum of these counts and `other`.
    pub fn plus(self, other: Self) -> Self {
        Self {
            total: self.total + other.total,
            repeated: self.repeated + other.repeated,
        }
    }

    /// Returns the share of repeats among the runs, from 0 to 1; 0 if there are no runs.
    pub fn repeat_share(&self) -> f64 {
        f64::from(self.repeated) / f64::from(self.total.max(1))
    }
}
