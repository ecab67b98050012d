//! One message to many nodes, with the count of their answers back.
//!
//! The sender lays out the tree: it splits the list of nodes among a few
//! children and each child splits its part again. A child that does not
//! answer costs one timeout; its part goes to the next node in it. Views of
//! membership may differ between nodes without harm, because only the
//! sender's list counts.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::link::Call,
    protocol::wire::{Census, Frame, Load, Reply, Scatter},
    unit::Span,
};

/// Children of a node in the tree.
pub const FANOUT: usize = 8;

/// How long one level of the tree may take.
const LEVEL: Span = Span::from_millis(400);

/// Sends `load` to all of `slice` and returns how many have it in force.
pub fn scatter(
    call: Call,
    me: SocketAddr,
    load: Load,
    slice: Vec<SocketAddr>,
) -> BoxFuture<'static, Census> {
    async move {
        let chunks = split(&slice, FANOUT);
        let parts = chunks
            .into_iter()
            .map(|chunk| branch(call.clone(), me, load.clone(), chunk));
        let mut census = Census::default();
        for part in join_all(parts).await {
            census.add(part);
        }
        census
    }
    .boxed()
}

/// Splits `slice` into at most `most` parts of like size.
pub fn split(slice: &[SocketAddr], most: usize) -> Vec<Vec<SocketAddr>> {
    if slice.is_empty() {
        return Vec::new();
    }
    let size = slice.len().div_ceil(most);
    slice.chunks(size).map(<[SocketAddr]>::to_vec).collect()
}

/// Returns how long the head of a part with `rest` more nodes may take.
fn patience(rest: usize) -> Span {
    let mut levels = 1;
    let mut left = rest;
    while left > 0 {
        levels += 1;
        left /= FANOUT;
    }
    Span::from_millis(LEVEL.as_millis() * levels)
}

/// Gives one part to its first node that answers.
async fn branch(call: Call, me: SocketAddr, load: Load, mut part: Vec<SocketAddr>) -> Census {
    let mut census = Census::default();
    while !part.is_empty() {
        let head = part.remove(0);
        let scatter = Scatter {
            from: me,
            load: load.clone(),
            slice: part.clone(),
        };
        let patience = patience(part.len());
        let answer = tokio::time::timeout(
            patience.duration() + Duration::from_millis(50),
            call(head, Frame::Scatter(scatter), patience),
        )
        .await;
        if let Ok(Ok(Reply::Counted(counted))) = answer {
            census.add(counted);
            return census;
        }
        census.silent += 1;
        census.name(head);
    }
    census
}
