//! Which part of what the targets on a host run was sent before.
//!
//! The load that it answers: targets of one service turn requests away or fail them, and
//! what is sent again runs at others and makes its calls there. To the node that sends such
//! a call it looks like any first send, but it would not be there without the repeat. One of
//! the runs under way has made it, so the part of them that are repeats says how likely it
//! is due to one; which of them it was need not be known.

/// Runs under way.
///
/// # Example
///
/// ```
/// use rilltrack::coordination::decision::runs::Runs;
///
/// let mut runs = Runs::default();
/// for is_again in [false, false, false, true] {
///     runs.start(is_again);
/// }
/// assert_eq!(runs.repeats(), 0.25);
/// runs.end(true);
/// assert_eq!(runs.repeats(), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Runs {
    count: u32,
    again: u32,
}

impl Runs {
    /// Notes that a run begins, and whether a target has seen its request before.
    pub fn start(&mut self, is_again: bool) {
        self.count += 1;
        self.again += u32::from(is_again);
    }

    /// Notes that such a run ends.
    pub fn end(&mut self, is_again: bool) {
        self.count -= 1;
        self.again -= u32::from(is_again);
    }

    /// Returns these runs and `other` ones together.
    pub fn and(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            again: self.again + other.again,
        }
    }

    /// Returns the part of the runs that are repeats; nothing if there are none.
    pub fn repeats(&self) -> f64 {
        f64::from(self.again) / f64::from(self.count.max(1))
    }
}
