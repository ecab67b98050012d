//! Fetches newer configuration from peers, and answers such fetches.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    coordination::{Error, interface::Call, node::Node},
    event::Event,
    protocol::wire::{Frame, Reply},
    state::version::Version,
    unit::Span,
};

/// Maximum wait for a fetch; a whole snapshot may be megabytes.
const FETCH_TIMEOUT: Span = Span::from_secs(5);

/// Fetches from the node at `peer` the records or the snapshot that this node lacks.
///
/// Returns how long to wait before the next fetch, if the peer is busy or holds no
/// complete view yet.
///
/// # Errors
///
/// If the peer does not answer, or its reply can't be applied.
pub async fn from_peer(
    node: &Arc<Node>,
    call: &Call,
    peer: SocketAddr,
) -> Result<Option<Span>, Error> {
    let current = node.applier.inspect(|machine| machine.version()).await?;
    let reply = call(peer, Frame::Fetch(current), FETCH_TIMEOUT).await?;
    let version = match reply {
        Reply::Records(records) => node.applier.apply_records(current, records).await?,
        Reply::Snapshot(bytes) => node.applier.load_snapshot(bytes).await?,
        Reply::Current => current,
        Reply::Later(pause) => return Ok(Some(pause)),
        _ => return Err(Error::Unexpected(peer.to_string())),
    };
    // A peer serves fetches only from a complete view, so this state is complete now.
    node.applier.mark_complete().await?;
    if version > current {
        let details = format_args!("version={version} was={current} peer={peer}");
        node.journal.write(Event::CaughtUp, details);
    }
    Ok(None)
}

/// Returns the reply to a peer's [`Frame::Fetch`] of everything newer than `from`.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn answer_fetch(node: &Arc<Node>, from: Version) -> Result<Reply, Error> {
    if node.view.load().is_none() {
        return Ok(Reply::Later(jitter(Span::from_millis(500))));
    }
    node.applier
        .inspect(move |machine| {
            if from >= machine.version() {
                return Reply::Current;
            }
            match machine.records(from) {
                Some(records) => Reply::Records(records),
                None => Reply::Snapshot(machine.snapshot()),
            }
        })
        .await
}

/// Returns a random span between 0.5 and 1.5 times `span`, so that nodes that started
/// at the same time don't stay synchronized.
pub fn jitter(span: Span) -> Span {
    let millis = span.as_millis();
    Span::from_millis(millis / 2 + fastrand::u64(0..=millis))
}
