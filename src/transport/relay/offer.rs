//! Request bodies that are offered with `Expect: 100-continue` before they are sent.
//!
//! The head is sent alone, and the body once the peer has room for the request. Two kinds of
//! bodies are offered:
//!
//! * Large ones ([`is_large`](crate::coordination::decision::balance::is_large)); smaller ones
//!   fit into the first packets of a connection. A body that a node refuses after receiving it
//!   takes as much of the link as one that is served. When several nodes are tried for it, slow
//!   links fill up with refused uploads, and heartbeats and configuration changes wait behind
//!   them.
//! * Those of requests that may run only once. As long as the body has not been sent, the
//!   request has certainly not run, whatever happened to the peer, and may go to another node.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, StatusCode,
    header::{EXPECT, HeaderValue},
};
use parking_lot::Mutex;
use tokio::sync::{Semaphore, SemaphorePermit, oneshot};

use crate::{
    coordination::flow::{Flow, Reservation},
    transport::relay::body::Body,
    unit::Span,
};

/// The maximum time for which the bodies admitted at a time may occupy the link. Small messages
/// wait behind them for as long, so this is half of a call's objective, which is 150 ms. One
/// body of 60 KB occupies a link of 7 Mbit/s for 69 ms.
const MAX_LINK_TIME: Span = Span::from_millis(75);

/// The size assumed for a body of unknown length, in bytes: that of the largest body that is
/// buffered whole.
const ASSUMED_BYTES: usize = super::MAX_BUFFERED_BODY;

/// Admits request bodies as far as the bandwidth of the host's link allows.
pub struct UploadAdmission {
    /// A semaphore with a permit for each KiB in transit, and the number of its permits; `None`
    /// if the bandwidth is unknown.
    permits: Option<(Semaphore, u32)>,
    /// The bodies that are reserved and have not arrived whole.
    flow: Flow,
}

impl UploadAdmission {
    /// Returns the admission for a link of `bandwidth` Mbit/s. 0 means that the bandwidth is
    /// unknown, and admits everything.
    pub fn new(bandwidth: u32) -> Self {
        let bytes = u64::from(bandwidth) * 1_000_000 / 8 * MAX_LINK_TIME.as_millis() / 1000;
        let kib = u32::try_from(bytes >> 10).unwrap_or(u32::MAX);
        let permits = (bandwidth > 0).then(|| (Semaphore::new(kib as usize), kib));
        Self {
            permits,
            flow: Flow::new(bandwidth),
        }
    }

    /// Reserves the link for a body of `length` bytes that must arrive within `slack`.
    ///
    /// # Errors
    ///
    /// If the body would take longer than `slack` after those reserved before; the error is the
    /// excess.
    pub fn reserve(&self, length: Option<usize>, slack: Duration) -> Result<Reservation, Duration> {
        self.flow.reserve(length.unwrap_or(ASSUMED_BYTES), slack)
    }

    /// Waits until a body of `length` bytes may be received. The returned permit must be held
    /// until the body has arrived. A body larger than the total of permits waits until no other
    /// is in transit.
    pub async fn wait_for_link(&self, length: Option<usize>) -> Option<SemaphorePermit<'_>> {
        let (permits, total) = self.permits.as_ref()?;
        let kib = length.unwrap_or(ASSUMED_BYTES).div_ceil(1 << 10);
        let kib = u32::try_from(kib).unwrap_or(u32::MAX).min(*total);
        // `ok` loses nothing: the semaphore is never closed.
        permits.acquire_many(kib).await.ok()
    }
}

/// A body that is sent only once the peer accepts it.
pub struct Offer {
    go_ahead: GoAhead,
}

/// The channel that releases the body; `None` once the offer was accepted or withdrawn.
type GoAhead = Arc<Mutex<Option<oneshot::Sender<()>>>>;

impl Offer {
    /// Withdraws the offer. Returns whether it was not accepted before: nothing of the body has
    /// been sent, or ever will be.
    pub fn withdraw(&self) -> bool {
        self.go_ahead.lock().take().is_some()
    }

    /// Returns whether the peer has accepted the offer, or it was withdrawn.
    pub fn is_accepted(&self) -> bool {
        self.go_ahead.lock().is_none()
    }
}

/// Returns `request` with a body that is sent only after the peer answers `100 Continue`, and a
/// handle to the offer.
pub fn offer(request: Request<Body>) -> (Request<Body>, Offer) {
    let (sender, receiver) = oneshot::channel();
    let mut request = request.map(|body| body.gated_by(receiver));
    request
        .headers_mut()
        .insert(EXPECT, HeaderValue::from_static("100-continue"));
    let go_ahead = Arc::new(Mutex::new(Some(sender)));
    let offer = Offer {
        go_ahead: go_ahead.clone(),
    };
    hyper::ext::on_informational(&mut request, move |response| {
        if response.status() == StatusCode::CONTINUE
            && let Some(sender) = go_ahead.lock().take()
        {
            // Sending fails if the request was dropped together with its body.
            let _ = sender.send(());
        }
    });
    (request, offer)
}
