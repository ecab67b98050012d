//! Distributes the records that one node read from the store to the other nodes of its
//! failure domain, along a tree.
//!
//! The reader splits its list of nodes among a few children, and each child splits its part
//! again. So no node sends more than a few copies, which matters on hosts with slow links. If
//! a child does not answer, the next node of its part takes its place. A node that is missed
//! gets the records after the next check between it and another node
//! ([`watch`](crate::coordination::watch)).

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, PeerRequest},
        scatter,
    },
    event::Event,
    journal::note,
    protocol::update::Update,
};

/// Children of a node in the tree. The changes of a version take a few KB. A complete version
/// of 650 routes takes 80 KB; a link of 10 Mbit/s transfers three copies of it in 0.2 s.
const FANOUT: usize = 3;

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
