//! Large bodies on one way of a host's link, so that there is room for what is small.
//!
//! Out: a target that runs a dozen downloads at a time hands over a second's worth of a
//! thin link in a moment. All of it queued in the system, the versions and heartbeats of
//! this host waited behind it, and the acknowledgements of what came in too: on links
//! of 15 Mbit/s nodes were seconds behind with a version. So large answers go one
//! after the other, as fast as the link carries them; none is held once it has room.
//!
//! In: what the link can't carry in time is turned away before it is sent
//! ([`line`](crate::coordination::decision::line)).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::coordination::decision::line::Line;

/// How far ahead of the link an answer may be handed to the system: a few round trips,
/// so that the link never waits, and short against the 0.25 s within which a connection
/// must come about.
const AHEAD: Duration = Duration::from_millis(50);

/// Large bodies that go one way over a host's link.
#[derive(Debug)]
pub struct Flow {
    line: Arc<Mutex<Line>>,
    /// When the link has carried all that was let out.
    free: tokio::sync::Mutex<Option<Instant>>,
}

/// A body that was counted in; ends when it has passed, or will not come.
#[derive(Debug)]
pub struct Counted {
    line: Arc<Mutex<Line>>,
    bytes: usize,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.line.lock().pass(self.bytes);
    }
}

impl Flow {
    /// Returns one way of a link of `bandwidth` Mbit/s; 0 is a link that is not known, which
    /// bounds nothing.
    pub fn new(bandwidth: u32) -> Self {
        Self {
            line: Arc::new(Mutex::new(Line::new(bandwidth))),
            free: tokio::sync::Mutex::default(),
        }
    }

    /// Counts in a body of `bytes` that must have passed within `spare`.
    ///
    /// # Errors
    ///
    /// How much longer than that it would take behind those under way.
    pub fn count_in(&self, bytes: usize, spare: Duration) -> Result<Counted, Duration> {
        self.line.lock().count_in(bytes, spare)?;
        Ok(Counted {
            line: self.line.clone(),
            bytes,
        })
    }

    /// Waits until the link has room for a body of `bytes`. Bodies go in the order in
    /// which they came; one that is given up meanwhile takes none of the link.
    pub async fn enter(&self, bytes: usize) {
        let span = {
            let line = self.line.lock();
            if !line.is_known() {
                return;
            }
            line.span(bytes)
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
        *free = Some(begins + span);
    }
}
