//! How a node that is behind gets ahead.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    coordination::{Error, link::Call, node::Node},
    event::Event,
    protocol::wire::{Frame, Reply},
    state::version::Version,
    unit::Span,
};

/// How long a fetch may take; a whole snapshot may be megabytes.
const PATIENCE: Span = Span::from_secs(5);

/// Fetches from the node at `peer` whatever it has that is newer.
///
/// Returns how long to wait before asking it again, if it asks for that.
///
/// # Errors
///
/// If the peer does not answer or its answer can't be used.
pub async fn from_peer(
    node: &Arc<Node>,
    call: &Call,
    peer: SocketAddr,
) -> Result<Option<Span>, Error> {
    let held = node.applier.look(|machine| machine.version()).await?;
    let reply = call(peer, Frame::Fetch(held), PATIENCE).await?;
    let version = match reply {
        Reply::Records(records) => node.applier.records(held, records).await?,
        Reply::Snapshot(bytes) => node.applier.snapshot(bytes).await?,
        Reply::Current => held,
        Reply::Later(span) => return Ok(Some(span)),
        _ => return Err(Error::Unexpected(peer.to_string())),
    };
    // The peer gives only from a complete view, so now this one is complete.
    node.applier.complete().await?;
    if version > held {
        let details = format_args!("version={version} was={held} peer={peer}");
        node.journal.write(Event::CaughtUp, details);
    }
    Ok(None)
}

/// Answers a peer's [`Frame::Fetch`] of what is newer than `from`.
///
/// # Errors
///
/// Only if the daemon is ending.
pub async fn serve(node: &Arc<Node>, from: Version) -> Result<Reply, Error> {
    if node.view.load().is_none() {
        return Ok(Reply::Later(jitter(Span::from_millis(500))));
    }
    node.applier
        .look(move |machine| {
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

/// Returns a span between half of `span` and one and a half of it, so that
/// nodes which began together do not stay together.
pub fn jitter(span: Span) -> Span {
    let millis = span.as_millis();
    Span::from_millis(millis / 2 + fastrand::u64(0..=millis))
}
