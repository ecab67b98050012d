//! What one way of a host's link may carry of large bodies, and what is turned away.
//!
//! The load that it answers: uploads of 60 KB to ten hosts with links of 7 Mbit/s, at eight
//! tenths of what the links carry and more, beside short calls to the same targets. A body
//! that can't have passed in time behind those under way is turned away before its bytes go
//! anywhere; one that is alone always passes, however thin the link.

use std::time::{Duration, Instant};

use crate::coordination::decision::queue::Arrival;

/// The part of the link that large bodies may take; the rest is for lookups, versions
/// and heartbeats. Eight tenths, with every download begun, let more wait than it
/// carried; shares other than these two were not measured (docs/POLICY.md).
const SHARE: f64 = 0.9;

/// Returns how long the body of a request may take to come, so that its run still ends in
/// time: of a late one as much as its run takes, lest the link fill with what nobody waits
/// for any more.
pub fn spare(arrival: &Arrival, now: Instant) -> Duration {
    let run = arrival.usual.unwrap_or_default();
    arrival.due.saturating_duration_since(now + run).max(run)
}

/// One way of a link.
#[derive(Clone, Debug)]
pub struct Line {
    /// Bytes a second that large bodies may take; nothing if the link is not known, which
    /// bounds nothing.
    rate: Option<f64>,
    /// Bytes of bodies that were counted in and have not passed.
    pending: usize,
}

impl Line {
    /// Returns one way of a link of `bandwidth` Mbit/s; 0 is a link that is not known.
    pub fn new(bandwidth: u32) -> Self {
        let rate = f64::from(bandwidth) * 1_000_000.0 / 8.0 * SHARE;
        Self {
            rate: (bandwidth > 0).then_some(rate),
            pending: 0,
        }
    }

    /// Returns how long a body takes by itself.
    pub fn span(&self, bytes: usize) -> Duration {
        let span = |rate| Duration::from_secs_f64(bytes as f64 / rate);
        self.rate.map_or(Duration::ZERO, span)
    }

    /// Returns whether the link is known.
    pub fn is_known(&self) -> bool {
        self.rate.is_some()
    }

    /// Counts in a body of `bytes` that must have passed within `spare`.
    ///
    /// # Errors
    ///
    /// How much longer than that it would take behind those under way.
    pub fn count_in(&mut self, bytes: usize, spare: Duration) -> Result<(), Duration> {
        let takes = self.span(self.pending + bytes);
        if self.pending > 0 && takes > spare {
            return Err(takes - spare);
        }
        self.pending += bytes;
        Ok(())
    }

    /// Notes that a body of `bytes` that was counted in has passed, or will not come.
    pub fn pass(&mut self, bytes: usize) {
        self.pending = self.pending.saturating_sub(bytes);
    }
}
