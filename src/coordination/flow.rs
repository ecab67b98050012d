//! Flow control for large bodies on one direction of a host's link, so that small messages
//! keep their share of the bandwidth.
//!
//! Outgoing: a target that runs a dozen downloads at a time can produce, in a moment, as much
//! as a slow link transfers in a second. When all of it was queued in the operating system,
//! versions and heartbeats of this host waited behind it, and so did the acknowledgements of
//! incoming data: on links of 15 Mbit/s, nodes got a version seconds late. So large answers
//! are sent one after the other at the rate of the link. None waits while the link has room.
//!
//! Incoming: a body that the link can't transfer in time is rejected before it is sent
//! ([`link_share`](crate::coordination::decision::link_share)).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::coordination::decision::link_share::LinkShare;

/// How much earlier than the link is free a body may be handed to the operating system: a few
/// round trips, so that the link never idles, and short compared with the connection timeout
/// of 0.25 s.
const MAX_AHEAD: Duration = Duration::from_millis(50);

/// The large bodies on one direction of a host's link.
#[derive(Debug)]
pub struct Flow {
    share: Arc<Mutex<LinkShare>>,
    /// When the link will have transferred every body that [`Flow::wait_for_link`] let through.
    free_at: tokio::sync::Mutex<Option<Instant>>,
}

/// An admitted body. Drop it when its transfer has ended, or will not happen.
#[derive(Debug)]
pub struct Reservation {
    share: Arc<Mutex<LinkShare>>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.share.lock().release(self.bytes);
    }
}

impl Flow {
    /// Returns one direction of a link of `bandwidth` Mbit/s; 0 means that the bandwidth is
    /// unknown, and every body is admitted at once.
    pub fn new(bandwidth: u32) -> Self {
        Self {
            share: Arc::new(Mutex::new(LinkShare::new(bandwidth))),
            free_at: tokio::sync::Mutex::default(),
        }
    }

    /// Admits a body of `bytes` if its transfer can end within `slack`, or if no other body is
    /// pending.
    ///
    /// # Errors
    ///
    /// The time by which its transfer behind the pending bodies would exceed `slack`.
    pub fn reserve(&self, bytes: usize, slack: Duration) -> Result<Reservation, Duration> {
        self.share.lock().reserve(bytes, slack)?;
        Ok(Reservation {
            share: self.share.clone(),
            bytes,
        })
    }

    /// Waits until the link has room for a body of `bytes`. Bodies are let through in the
    /// order of the calls. If the future is dropped while it waits, its body takes no
    /// bandwidth.
    pub async fn wait_for_link(&self, bytes: usize) {
        let transfer_time = {
            let share = self.share.lock();
            if !share.is_known() {
                return;
            }
            share.transfer_time(bytes)
        };
        // The lock is held while the first body in the queue waits, and the time is added
        // only after the wait. Were it added before, it would still count after the caller
        // gave up, and an overloaded link would stay overloaded.
        let mut free_at = self.free_at.lock().await;
        let now = Instant::now();
        let begins = free_at.map_or(now, |free_at| free_at.max(now));
        let wait = begins.saturating_duration_since(now + MAX_AHEAD);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        *free_at = Some(begins + transfer_time);
    }
}
