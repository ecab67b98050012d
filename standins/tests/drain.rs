//! Drains of failure domains over the whole path.

use std::time::Instant;

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    store::{Mode as StoreMode, Store},
    until,
};

/// Starts three hosts that know each other, each with a target of a: two in the failure domain
/// `north`, one in `south`.
async fn three() -> (Store, [Host; 3]) {
    let store = Store::start().await;
    store.publish(&version(5, &["a"]));
    let hosts = [
        Host::start(&store, "n1", "north", "a").await,
        Host::start(&store, "n2", "north", "a").await,
        Host::start(&store, "s1", "south", "a").await,
    ];
    until("all nodes know each other", async || {
        let names = ["n1", "n2", "s1"];
        hosts
            .iter()
            .all(|host| names.iter().all(|name| host.knows(name)))
    })
    .await;
    (store, hosts)
}

/// Sends 40 requests, to each host in turn; all must be served. Returns the number that arrived
/// at targets in `north`.
async fn served_in_north(hosts: &[Host; 3], of: &str) -> usize {
    let since = Instant::now();
    for i in 0..40 {
        let host = &hosts[i % hosts.len()];
        let answer = host
            .ask("POST", "/post/a/x", &format!("{of}-{i}"), "")
            .await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    hosts[..2]
        .iter()
        .map(|host| host.target.seen_since(since, "i1"))
        .sum()
}

async fn until_drained(hosts: &[Host], drained: bool) {
    until("all nodes know the drain", async || {
        hosts.iter().all(|host| host.is_drained("north") == drained)
    })
    .await;
}

cases! {
    drained_domain_gets_nothing_and_its_callers_are_served_elsewhere => {
        let (store, hosts) = three().await;
        assert!(served_in_north(&hosts, "before").await > 0);
        store.drain("north");
        until_drained(&hosts, true).await;
        assert_eq!(served_in_north(&hosts, "during").await, 0);
        store.take_back("north");
        until_drained(&hosts, false).await;
        until("north serves again", async || served_in_north(&hosts, "after").await > 0).await;
    }

    drain_reaches_a_node_that_the_store_rejects => {
        let (store, hosts) = three().await;
        hosts[1].store.set_own(StoreMode::Refusing);
        hosts[2].store.set_own(StoreMode::Refusing);
        store.drain("north");
        until_drained(&hosts, true).await;
        assert_eq!(served_in_north(&hosts, "during").await, 0);
        store.take_back("north");
        until_drained(&hosts, false).await;
    }

    restarted_node_knows_the_drain_before_it_is_ready => {
        let (store, mut hosts) = three().await;
        store.drain("north");
        until_drained(&hosts, true).await;
        for host in &mut hosts {
            host.stop().await;
        }
        for host in &mut hosts {
            host.run();
            host.until_ready().await;
            assert!(host.is_drained("north"), "{}", host.name);
        }
        assert_eq!(served_in_north(&hosts, "during").await, 0);
    }

    drain_that_was_taken_back_unseen_is_over => {
        let (store, hosts) = three().await;
        store.drain("north");
        until_drained(&hosts, true).await;
        store.set(StoreMode::Refusing);
        until("the readers notice", async || {
            hosts.iter().filter(|host| host.reads()).all(Host::is_blind)
        })
        .await;
        store.take_back("north");
        store.forget_history();
        store.set(StoreMode::Up);
        until_drained(&hosts, false).await;
    }
}
