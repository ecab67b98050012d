//! Retry budget: how many retries a proxy may make.
//!
//! Each first attempt adds a fraction of a token and each retry takes a token, so
//! retries stay a fixed share of the traffic however many attempts fail. In a chain of
//! calls, the refusal of an inner call does not make the response to the outer call
//! retriable: an inbound proxy removes the system's headers from its target's response.
//!
//! A target that runs a repeat repeats the calls of that request. Each such call is a
//! first attempt of its own, but takes a token from the same budget, too. The
//! probability that a call is made by a repeat comes from
//! [`runs`](crate::coordination::decision::runs).

use crate::unit::Percent;

/// The most tokens that a budget holds, and the largest debt that it can have. A token
/// is worth one retry.
const MAX_TOKENS: f64 = 20.0;

/// The most retries of one request.
pub const MAX_RETRIES: u32 = 2;

/// The retry budget of one proxy for one service.
///
/// # Example
///
/// ```
/// use rilltrack::{coordination::budget::Budget, unit::Percent};
///
/// let mut budget = Budget::default();
/// while budget.try_spend() {}
/// (0..10).for_each(|_| budget.note_first_send(Percent::new(10), 0.0));
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// // Calls of repeats use up what first attempts add.
/// (0..10).for_each(|_| budget.note_first_send(Percent::new(10), 0.1));
/// assert!(!budget.try_spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: MAX_TOKENS / 4.0,
        }
    }
}

impl Budget {
    /// Adds the tokens for one first attempt: `share` of a token, less `repeat_chance`,
    /// the probability that the attempt is a call of a repeat.
    pub fn note_first_send(&mut self, share: Percent, repeat_chance: f64) {
        self.tokens =
            (self.tokens + share.fraction() - repeat_chance).clamp(-MAX_TOKENS, MAX_TOKENS);
    }

    /// Returns whether a retry may be made, and takes its token if so.
    pub fn try_spend(&mut self) -> bool {
        // The tolerance covers rounding errors: ten times 0.1 is slightly less than 1.
        let has_token = self.tokens + 1e-9 >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
