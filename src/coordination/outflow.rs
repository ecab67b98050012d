//! When large answers leave, so that the host's link has room for what is small.
//!
//! A target that runs a dozen downloads at a time hands over a second's worth of a
//! thin link in a moment. All of it queued in the system, the versions and heartbeats of
//! this host waited behind it, and the acknowledgements of what came in too: on links
//! of 15 Mbit/s nodes were seconds behind with a version. So large answers go one
//! after the other, as fast as the link carries them; none is held once it has room.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::sync::Mutex;

/// The part of the link that large answers may take; the rest is for lookups, versions
/// and heartbeats. Eight tenths, with every download begun, let more wait than it
/// carried; shares other than these two were not measured (docs/POLICY.md).
const SHARE: f64 = 0.9;

/// How far ahead of the link an answer may be handed to the system: a few round trips,
/// so that the link never waits, and short against the 0.25 s within which a connection
/// must come about.
const AHEAD: Duration = Duration::from_millis(50);

/// The order in which large answers leave a host.
#[derive(Debug)]
pub struct Outflow {
    /// Bytes a second; nothing if the link is not known.
    rate: Option<f64>,
    /// When the link has carried all that was let out.
    free: Mutex<Option<Instant>>,
    /// Bytes of answers that were counted in and have not left.
    pending: Arc<AtomicUsize>,
}

/// An answer that was counted in; ends when it has left, or will not come.
#[derive(Debug)]
pub struct Leave {
    pending: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.pending.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Outflow {
    /// Returns what lets out as much as a link of `bandwidth` Mbit/s carries; 0 is a
    /// link that is not known, which bounds nothing.
    pub fn new(bandwidth: u32) -> Self {
        let rate = f64::from(bandwidth) * 1_000_000.0 / 8.0 * SHARE;
        Self {
            rate: (bandwidth > 0).then_some(rate),
            free: Mutex::default(),
            pending: Arc::default(),
        }
    }

    /// Counts in an answer of `bytes` that must have left within `spare`.
    ///
    /// # Errors
    ///
    /// How much longer than that it would take behind those under way.
    pub fn count_in(&self, bytes: usize, spare: Duration) -> Result<Leave, Duration> {
        let before = self.pending.fetch_add(bytes, Ordering::Relaxed);
        let leave = Leave {
            pending: self.pending.clone(),
            bytes,
        };
        let span = |rate: f64| Duration::from_secs_f64((before + bytes) as f64 / rate);
        let takes = self.rate.map_or(Duration::ZERO, span);
        // One that is alone goes, however thin the link.
        if before > 0 && takes > spare {
            return Err(takes - spare);
        }
        Ok(leave)
    }

    /// Waits until the link has room for an answer of `bytes`. Answers go in the order in
    /// which they came; one that is given up meanwhile takes none of the link.
    pub async fn enter(&self, bytes: usize) {
        let Some(rate) = self.rate else {
            return;
        };
        // Held while the first in the row waits. A place that was counted from the start
        // would outlast its caller, and a link once overloaded would stay so.
        let mut free = self.free.lock().await;
        let now = Instant::now();
        let begins = free.map_or(now, |free| free.max(now));
        let wait = begins.saturating_duration_since(now + AHEAD);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        *free = Some(begins + Duration::from_secs_f64(bytes as f64 / rate));
    }
}
