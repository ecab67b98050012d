//! Sends one message to many nodes down a tree, and aggregates the count of their
//! replies.
//!
//! The sender determines the tree: it splits its list of nodes among a few children,
//! and each child splits its part in the same way. If a child does not answer, its part
//! is sent to the next node in that part after one timeout. Member tables may
//! differ between nodes without harm, because only the sender's list is used.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::interface::Call,
    protocol::wire::{Frame, Payload, Reply, Scatter, VersionCount},
    unit::Span,
};

/// Maximum number of children of a node in the tree.
pub const FANOUT: usize = 8;

/// Maximum wait per level of the tree.
const LEVEL_TIMEOUT: Span = Span::from_millis(400);

/// Sends `payload` to all `recipients` and returns how many of them have its version in
/// force.
///
/// `me` is the address at which the receivers can fetch records that they lack.
pub fn scatter(
    call: Call,
    me: SocketAddr,
    payload: Payload,
    recipients: Vec<SocketAddr>,
) -> BoxFuture<'static, VersionCount> {
    async move {
        let parts = split(&recipients, FANOUT);
        let branches = parts
            .into_iter()
            .map(|part| send_to_part(call.clone(), me, payload.clone(), part));
        let mut version_count = VersionCount::default();
        for counted in join_all(branches).await {
            version_count.add(counted);
        }
        version_count
    }
    .boxed()
}

/// Splits `slice` into at most `max_parts` contiguous parts of similar size.
pub fn split(slice: &[SocketAddr], max_parts: usize) -> Vec<Vec<SocketAddr>> {
    if slice.is_empty() {
        return Vec::new();
    }
    let size = slice.len().div_ceil(max_parts);
    slice.chunks(size).map(<[SocketAddr]>::to_vec).collect()
}

/// Returns the maximum wait for the first node of a part that has `others` more nodes.
fn max_wait(others: usize) -> Span {
    let mut levels = 1;
    let mut remaining = others;
    while remaining > 0 {
        levels += 1;
        remaining /= FANOUT;
    }
    Span::from_millis(LEVEL_TIMEOUT.as_millis() * levels)
}

/// Sends `payload` to the first node of `part` that answers, which relays it to the nodes
/// after it; returns the count for the whole part.
async fn send_to_part(
    call: Call,
    me: SocketAddr,
    payload: Payload,
    mut part: Vec<SocketAddr>,
) -> VersionCount {
    let mut version_count = VersionCount::default();
    while !part.is_empty() {
        let head = part.remove(0);
        let scatter = Scatter {
            from: me,
            payload: payload.clone(),
            recipients: part.clone(),
        };
        let max_wait = max_wait(part.len());
        let reply = tokio::time::timeout(
            max_wait.duration() + Duration::from_millis(50),
            call(head, Frame::Scatter(scatter), max_wait),
        )
        .await;
        if let Ok(Ok(Reply::Counted(counted))) = reply {
            version_count.add(counted);
            return version_count;
        }
        version_count.silent += 1;
        version_count.add_named(head);
    }
    version_count
}
