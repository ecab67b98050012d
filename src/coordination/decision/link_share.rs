//! Admission of large bodies to one direction of a host's link.
//!
//! It handles large bodies beside short calls to the same targets, such as uploads of 60 KB to
//! ten hosts with links of 7 Mbit/s that use eight tenths of the bandwidth and more. A body
//! that can't be transferred in time behind the pending ones is rejected before any of its
//! bytes are sent. A body is always admitted if no other one is pending, however slow the link.

use std::time::{Duration, Instant};

use crate::coordination::decision::queue::Arrival;

/// The share of the bandwidth for large bodies; the rest is for lookups, versions and
/// heartbeats. At eight tenths, with every download admitted, more bodies waited than the
/// link transferred (docs/POLICY.md).
const BODY_SHARE: f64 = 0.9;

/// Returns how long the transfer of a request's body may take so that its run still ends in
/// time. A late request gets as long as its usual run time: with more, the link would fill
/// with bodies of requests whose callers have stopped waiting.
pub fn body_slack(arrival: &Arrival, now: Instant) -> Duration {
    let run = arrival.usual_run_time.unwrap_or_default();
    arrival.due.saturating_duration_since(now + run).max(run)
}

/// One direction of a host's link.
#[derive(Clone, Debug)]
pub struct LinkShare {
    /// Bytes per second for large bodies; `None` if the bandwidth is unknown, which admits
    /// every body.
    bytes_per_s: Option<f64>,
    /// Bytes of admitted bodies whose transfer has not ended.
    pending_bytes: usize,
}

impl LinkShare {
    /// Returns one direction of a link of `bandwidth` Mbit/s; 0 means that the bandwidth is
    /// unknown.
    pub fn new(bandwidth: u32) -> Self {
        let bytes_per_s = f64::from(bandwidth) * 1_000_000.0 / 8.0 * BODY_SHARE;
        Self {
            bytes_per_s: (bandwidth > 0).then_some(bytes_per_s),
            pending_bytes: 0,
        }
    }

    /// Returns the transfer time of `bytes` if nothing else is pending.
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        let time = |bytes_per_s| Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        self.bytes_per_s.map_or(Duration::ZERO, time)
    }

    /// Returns whether the bandwidth of the link is known.
    pub fn is_known(&self) -> bool {
        self.bytes_per_s.is_some()
    }

    /// Admits a body of `bytes` if its transfer can end within `slack`, or if no other body is
    /// pending.
    ///
    /// # Errors
    ///
    /// The time by which its transfer behind the pending bodies would exceed `slack`.
    pub fn reserve(&mut self, bytes: usize, slack: Duration) -> Result<(), Duration> {
        let time = self.transfer_time(self.pending_bytes + bytes);
        if self.pending_bytes > 0 && time > slack {
            return Err(time - slack);
        }
        self.pending_bytes += bytes;
        Ok(())
    }

    /// Records that the transfer of an admitted body of `bytes` has ended, or will not happen.
    pub fn release(&mut self, bytes: usize) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }
}
