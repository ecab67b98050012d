//! Hints that a peer has a newer version or newer members than this node.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// The shortest time between two hints that are followed; hints in between are ignored.
/// It is about the duration of one request to a peer.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The latest hint that a peer has something newer.
#[derive(Debug, Default)]
pub struct Hint {
    latest: Mutex<Latest>,
    arrived: Notify,
}

#[derive(Debug, Default)]
struct Latest {
    from: Option<SocketAddr>,
    at: Option<Instant>,
}

impl Hint {
    /// Records that a peer has something newer.
    pub fn record(&self, peer: SocketAddr) {
        let now = Instant::now();
        let mut latest = self.latest.lock();
        if latest.at.is_none_or(|at| now - at > MIN_INTERVAL) {
            latest.from = Some(peer);
            latest.at = Some(now);
            self.arrived.notify_one();
        }
    }

    /// Waits for a hint, and returns the address of the peer that has something newer.
    pub async fn next(&self) -> SocketAddr {
        loop {
            self.arrived.notified().await;
            if let Some(peer) = self.latest.lock().from.take() {
                return peer;
            }
        }
    }
}
