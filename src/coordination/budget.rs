//! How many further attempts a proxy may make.
//!
//! Attempts beyond the first are paid from a budget that first attempts fill,
//! so that retries stay a fixed share of the traffic however much fails. An
//! inbound proxy's refusals do not travel further up a chain of calls as
//! retriable. A run that is a retry makes its calls again; they are first attempts
//! of their own, and paid from the same budget, as far as
//! [`runs`](crate::coordination::decision::runs) tell them.

use crate::unit::Percent;

/// The most attempts that can be saved up, or owed.
const CAP: f64 = 20.0;

/// Further attempts for one request.
pub const MAX_RETRIES: u32 = 2;

/// The budget of one service on one proxy.
///
/// # Example
///
/// ```
/// use rilltrack::{coordination::budget::Budget, unit::Percent};
///
/// let mut budget = Budget::default();
/// while budget.spend() {}
/// (0..10).for_each(|_| budget.earn(Percent::new(10), 0.0));
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// // Calls of retries alone pay for nothing.
/// (0..10).for_each(|_| budget.earn(Percent::new(10), 0.1));
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: CAP / 4.0 }
    }
}

impl Budget {
    /// Adds what one first attempt pays in; `carried` is how likely it is a call of a run
    /// that is itself a retry, which takes a further attempt out.
    pub fn earn(&mut self, share: Percent, carried: f64) {
        self.tokens = (self.tokens + share.fraction() - carried).clamp(-CAP, CAP);
    }

    /// Takes one further attempt out; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        // Sums of tenths fall short of the whole by a rounding error.
        let enough = self.tokens + 1e-9 >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
