//! Bodies that are offered before they are sent.
//!
//! The head goes alone, with `Expect: 100-continue`, and the body once the other node
//! has room for the request. Two kinds are offered:
//!
//! * Large ones ([`is_large`](crate::coordination::decision::balance::is_large)); smaller ones go
//!   out with the first packets of a connection. A body that goes to a node only to be refused there has cost its
//!   link as much as one that is served; with several nodes asked for room, thin
//!   links fill up with uploads that nobody takes, and heartbeats and changes wait
//!   behind them.
//! * Those of requests that may run only once. While the body is here, the request
//!   certainly has not run, whatever became of the other node, and may go elsewhere.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, StatusCode,
    header::{EXPECT, HeaderValue},
};
use parking_lot::Mutex;
use tokio::sync::{Semaphore, SemaphorePermit, oneshot};

use crate::{
    coordination::flow::{Counted, Flow},
    transport::relay::body::Body,
    unit::Span,
};

/// How long the bodies that are let in at a time may keep the link busy: what small messages
/// wait for behind them, which at 150 ms was as long as the objective of a call. On links of
/// 7 Mbit/s, which one body of 60 KB keeps busy for 69 ms, worth rose by 0.010 to 0.043 on
/// each of five days, 0.025 in the mean.
const IN_TRANSIT: Span = Span::from_millis(75);

/// What a body of unknown length is counted as, in bytes: one of the largest that
/// are kept whole.
const UNKNOWN: usize = super::KEPT_BODY;

/// Lets bodies in as far as the host's link carries them.
pub struct Inflow {
    /// A permit for each KiB; none if the link is not known.
    room: Option<(Semaphore, u32)>,
    /// What was counted in and has not come.
    flow: Flow,
}

impl Inflow {
    /// Returns what lets in as much as a link of `bandwidth` Mbit/s carries; 0 is a
    /// link that is not known, which bounds nothing.
    pub fn new(bandwidth: u32) -> Self {
        let bytes = u64::from(bandwidth) * 1_000_000 / 8 * IN_TRANSIT.as_millis() / 1000;
        let kib = u32::try_from(bytes >> 10).unwrap_or(u32::MAX);
        let room = (bandwidth > 0).then(|| (Semaphore::new(kib as usize), kib));
        Self {
            room,
            flow: Flow::new(bandwidth),
        }
    }

    /// Counts in a body of `length` that must have come within `spare`.
    ///
    /// # Errors
    ///
    /// How much longer than that it would take behind those that come already.
    pub fn count_in(&self, length: Option<usize>, spare: Duration) -> Result<Counted, Duration> {
        self.flow.count_in(length.unwrap_or(UNKNOWN), spare)
    }

    /// Waits until a body of `length` may come; it has come when the permit is
    /// dropped. One that is larger than all the room waits until it is alone.
    pub async fn enter(&self, length: Option<usize>) -> Option<SemaphorePermit<'_>> {
        let (room, all) = self.room.as_ref()?;
        let kib = length.unwrap_or(UNKNOWN).div_ceil(1 << 10);
        let kib = u32::try_from(kib).unwrap_or(u32::MAX).min(*all);
        // It is never closed.
        room.acquire_many(kib).await.ok()
    }
}

/// A body that waits for the other node's leave.
pub struct Offer {
    leave: Leave,
}

type Leave = Arc<Mutex<Option<oneshot::Sender<()>>>>;

impl Offer {
    /// Takes the offer back. Returns whether that was in time: nothing of the body
    /// has left, nor ever will.
    pub fn take_back(&self) -> bool {
        self.leave.lock().take().is_some()
    }

    /// Returns whether the other node has taken it.
    pub fn is_taken(&self) -> bool {
        self.leave.lock().is_none()
    }
}

/// Makes `request` an offer.
pub fn offer(request: Request<Body>) -> (Request<Body>, Offer) {
    let (leave, given) = oneshot::channel();
    let mut request = request.map(|body| body.after(given));
    request
        .headers_mut()
        .insert(EXPECT, HeaderValue::from_static("100-continue"));
    let leave = Arc::new(Mutex::new(Some(leave)));
    let offer = Offer {
        leave: leave.clone(),
    };
    hyper::ext::on_informational(&mut request, move |response| {
        if response.status() == StatusCode::CONTINUE
            && let Some(leave) = leave.lock().take()
        {
            // The body may be gone already, with its request.
            let _ = leave.send(());
        }
    });
    (request, offer)
}
