//! Distributes the records that one node read from the store to the other nodes of its
//! failure domain, along a tree.
//!
//! The reader splits its list of nodes among a few children, and each child splits its part
//! again. So no node sends more than a few copies, which matters on hosts with slow links. If
//! a child does not answer, the next node of its part takes its place. A node that is missed
//! gets the records after a check between it and another node
//! ([`watch`](crate::coordination::watch)).
//!
//! A reader also sends what it knows from peers and its domain lacks
//! ([`delivered`](crate::coordination::delivered)).

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, PeerRequest, Stream},
        scatter,
    },
    event::Event,
    journal::note,
    protocol::update::{Changes, Update},
};

/// Children of a node in the tree. The changes of a version take a few KB. A complete version
/// of 650 routes takes 80 KB; a link of 10 Mbit/s transfers three copies of it in 0.2 s.
const FANOUT: usize = 3;

/// Sends to the failure domain what this node learns from peers, and at first what it knows
/// already; never returns.
///
/// This runs while this node reads the store for its domain. Its reads of the store bring only what
/// it doesn't know yet. The reader before it may have ended before it had sent a version to all
/// nodes, so they are told of the current one in any case: those that lack it fetch it.
pub async fn send_learned(host: &Arc<Host>, call_peer: &CallPeer) {
    let mut is_first = true;
    let mut sent = (Vec::new(), Vec::new());
    loop {
        let orders = (host.rollouts.latest(), host.drains.latest());
        let has_news = std::mem::take(&mut is_first) || orders != sent;
        if let Some(load) = undelivered_routes(host, host.version(), has_news) {
            let known_to = host.streams.offset(Stream::Routes).unwrap_or(0);
            let update = Update {
                from: known_to,
                next: known_to,
                load,
                rollouts: orders.0.clone(),
                drains: orders.1.clone(),
                relay: Vec::new(),
                reader: host.settings.advertised().peers,
            };
            tokio::spawn(to_domain(host.clone(), call_peer.clone(), update));
            sent = orders;
        }
        host.delivered.learned.notified().await;
    }
}

/// Returns the changes to the version in force since the version that the failure domain was
/// sent, or since `known` if that isn't known, and counts them as sent.
///
/// Returns nothing if the domain was sent the version, unless `has_orders` are to be sent with it:
/// then the changes are empty.
pub fn undelivered_routes(host: &Host, known: u64, has_orders: bool) -> Option<Changes> {
    let version = host.version();
    let base = match host.delivered.claim(version) {
        Some(0) => known,
        Some(sent) => sent,
        None if has_orders => version,
        None => return None,
    };
    host.routes_since(base).map(Changes::Routes)
}

/// Sends `update` to the other nodes of this failure domain.
pub async fn to_domain(host: Arc<Host>, call_peer: CallPeer, mut update: Update) {
    update.relay = {
        let members = host.members.read();
        let settings = &host.settings;
        let others = members.iter().filter(|member| {
            member.domain == settings.domain && member.node != settings.node && member.is_present()
        });
        others.map(|member| member.peers).collect()
    };
    let nodes = update.relay.len();
    let missed = relay(call_peer, update.clone()).await;
    note!(
        host.journal,
        Event::Spread,
        stream = format_args!("{:?}", update.load.stream()),
        from = update.from,
        next = update.next,
        version = update.load.version().unwrap_or_default(),
        nodes = nodes,
        missed = missed
    );
}

/// Forwards `update` to the nodes in its `relay` list; each child forwards it to its part of
/// them. Returns how many nodes did not answer when they were asked to be a child.
pub fn relay(call_peer: CallPeer, update: Update) -> BoxFuture<'static, usize> {
    async move {
        let parts = scatter::split(&update.relay, FANOUT);
        let branches = parts
            .into_iter()
            .map(|part| send_branch(call_peer.clone(), update.clone(), part));
        join_all(branches).await.into_iter().sum()
    }
    .boxed()
}

/// Forwards `update` to the first node of `part` that answers, which forwards it to the nodes
/// after it. Returns how many nodes did not answer.
async fn send_branch(call_peer: CallPeer, update: Update, mut part: Vec<SocketAddr>) -> usize {
    let mut missed = 0;
    while !part.is_empty() {
        let child = part.remove(0);
        let update = Update {
            relay: part.clone(),
            ..update.clone()
        };
        if call_peer(child, PeerRequest::Deliver(Box::new(update)))
            .await
            .is_ok()
        {
            return missed;
        }
        missed += 1;
    }
    missed
}
