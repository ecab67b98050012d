//! Tells the nodes of a failure domain what one of them read from the store.
//!
//! The reader splits its list of nodes among a few children, each child splits
//! its part again: nobody sends more than a few copies, which counts where a
//! host has a thin link. A child that does not answer passes its part to the
//! next in it. Whoever is missed learns of it by the next check of another node
//! ([`watch`](crate::coordination::watch)).

use std::{net::SocketAddr, sync::Arc};

use futures_util::future::{BoxFuture, FutureExt, join_all};

use crate::{
    coordination::{
        host::Host,
        link::{Ask, Question},
        scatter,
    },
    event::Event,
    journal::note,
    protocol::news::News,
};

/// Children of a node in the tree. What a version changes has a few KB; a whole
/// one of 650 routes has 80 KB, which a link of 10 Mbit/s carries three times in
/// 0.2 s.
const FANOUT: usize = 3;

/// Tells `news` to the other nodes of this failure domain.
pub async fn to_domain(host: Arc<Host>, ask: Ask, mut news: News) {
    news.relay = {
        let members = host.members.read();
        let settings = &host.settings;
        let others = members.iter().filter(|member| {
            member.domain == settings.domain && member.node != settings.node && member.is_present()
        });
        others.map(|member| member.peers).collect()
    };
    let nodes = news.relay.len();
    let missed = relay(ask, news.clone()).await;
    note!(
        host.journal,
        Event::Spread,
        stream = format_args!("{:?}", news.load.stream()),
        from = news.from,
        next = news.next,
        nodes = nodes,
        missed = missed
    );
}

/// Tells `news` to the nodes that it lists; returns how many heads of parts did
/// not answer.
pub fn relay(ask: Ask, news: News) -> BoxFuture<'static, usize> {
    async move {
        let parts = scatter::split(&news.relay, FANOUT);
        let told = parts
            .into_iter()
            .map(|part| branch(ask.clone(), news.clone(), part));
        join_all(told).await.into_iter().sum()
    }
    .boxed()
}

async fn branch(ask: Ask, news: News, mut part: Vec<SocketAddr>) -> usize {
    let mut missed = 0;
    while !part.is_empty() {
        let head = part.remove(0);
        let news = News {
            relay: part.clone(),
            ..news.clone()
        };
        if ask(head, Question::Take(news)).await.is_ok() {
            return missed;
        }
        missed += 1;
    }
    missed
}
