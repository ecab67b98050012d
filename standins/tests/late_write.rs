//! Writes that the store executes late, after newer ones of the same node.

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    store::Store,
    until,
};

/// Returns whether the store's newest record of a node says that its target drains.
fn is_drain_stored(store: &Store, node: &str) -> bool {
    let member = store.member(node);
    member.is_some_and(|member| member.targets.first().is_some_and(|target| target.draining))
}

/// Appends the write that was held back under the key of the node's newest record, as if the node
/// had one key for all its records.
fn overwrite_newest(store: &Store) {
    let newest = store.member("n1").expect("the node has a record");
    let older = store.take_held_member().expect("a write is held back");
    let record = rmp_serde::to_vec_named(&older).unwrap();
    store.write_member(newest.key().as_bytes(), &record);
}

/// Stops all hosts and starts them again, all at the same time. `between` is called while none runs.
async fn restart_all(hosts: &mut [Host], between: impl FnOnce()) {
    for host in &mut *hosts {
        host.stop().await;
    }
    between();
    for host in &mut *hosts {
        host.run();
    }
    for host in hosts {
        host.until_ready().await;
    }
}

/// Starts three hosts of one failure domain that know each other. The target of the first one has
/// started again as `i2`; the store holds the first record of that back, and has the next one. Then
/// `i2` leaves, and its leave is acknowledged.
async fn leave_after_unanswered_write() -> (Store, [Host; 3]) {
    let store = Store::start().await;
    store.publish(&version(5, &["a", "b"]));
    let mut first = Host::stopped(&store, "n1", "here", "a").await;
    first.run();
    first.until_ready().await;
    first.heartbeat("i1", 1, "ready").await;
    let hosts = [
        first,
        Host::start(&store, "n2", "here", "b").await,
        Host::start(&store, "n3", "here", "b").await,
    ];
    until("all nodes know each other", async || {
        hosts
            .iter()
            .all(|host| ["n1", "n2", "n3"].iter().all(|name| host.knows(name)))
    })
    .await;
    store.hold_next("i2");
    hosts[0].heartbeat("i2", 1, "ready").await;
    until("a write is held back", async || store.has_held()).await;
    until("the leave is acknowledged", async || {
        hosts[0].deregister("i2").await.starts_with("HTTP/1.1 200")
    })
    .await;
    assert!(is_drain_stored(&store, "n1"));
    until("the others know the drain", async || {
        hosts.iter().all(|host| !host.knows("n1"))
    })
    .await;
    (store, hosts)
}

/// Checks that no caller of a node reaches the target of the first host.
async fn assert_drained(hosts: &[Host; 3]) {
    for host in hosts {
        assert!(
            !host.knows("n1"),
            "{} takes the target for ready",
            host.name
        );
        let answer = host
            .ask_within("POST", "/post/a/x", &host.name, "", 300)
            .await;
        assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
    }
}

cases! {
    // Guards against an acknowledged drain that is lost with the processes that know of it, because
    // a late write replaced its record in the store while none was running.
    drain_outlives_a_late_write_and_the_end_of_all_processes => {
        let (store, mut hosts) = leave_after_unanswered_write().await;
        restart_all(&mut hosts, || store.execute_held()).await;
        assert!(is_drain_stored(&store, "n1"));
        assert_drained(&hosts).await;
    }

    // Guards against the same if the late write is one of the process before.
    drain_outlives_a_late_write_of_an_earlier_process => {
        let store = Store::start().await;
        store.publish(&version(5, &["a", "b"]));
        let mut hosts = [
            Host::stopped(&store, "n1", "here", "a").await,
            Host::start(&store, "n2", "here", "b").await,
            Host::start(&store, "n3", "here", "b").await,
        ];
        hosts[0].run();
        hosts[0].until_ready().await;
        store.hold_next("i1");
        hosts[0].heartbeat("i1", 1, "ready").await;
        until("a write is held back", async || store.has_held()).await;
        hosts[0].stop().await;
        hosts[0].run();
        hosts[0].until_ready().await;
        hosts[0].heartbeat("i1", 2, "ready").await;
        until("the others know the target", async || hosts[1].knows("n1")).await;
        until("the leave is acknowledged", async || {
            hosts[0].deregister("i1").await.starts_with("HTTP/1.1 200")
        })
        .await;
        restart_all(&mut hosts, || store.execute_held()).await;
        assert!(is_drain_stored(&store, "n1"));
        assert_drained(&hosts).await;
    }

    // Guards against keys that pile up in the store, one for each write that got no answer.
    record_that_a_late_write_leaves_behind_is_deleted => {
        let (store, _hosts) = leave_after_unanswered_write().await;
        store.execute_held();
        assert_eq!(store.members("n1").len(), 2);
        until("one record is left", async || store.members("n1").len() == 1).await;
        assert!(is_drain_stored(&store, "n1"));
    }

    // Guards against a node that forgets an acknowledged drain at its next start, because the
    // store's record of it is an older one.
    record_overwritten_by_a_late_write_is_written_again => {
        let (store, mut hosts) = leave_after_unanswered_write().await;
        overwrite_newest(&store);
        until("the store has the drain again", async || is_drain_stored(&store, "n1")).await;
        restart_all(&mut hosts, || {}).await;
        assert_drained(&hosts).await;
    }

    // Guards against the same if the node is down when the store does the write, and so can't
    // write its record again before it starts.
    node_that_was_down_during_a_late_write_learns_its_drain_from_peers => {
        let (store, mut hosts) = leave_after_unanswered_write().await;
        hosts[0].stop().await;
        overwrite_newest(&store);
        assert!(!is_drain_stored(&store, "n1"));
        hosts[0].run();
        hosts[0].until_ready().await;
        assert_drained(&hosts).await;
        until("the store has the drain again", async || is_drain_stored(&store, "n1")).await;
    }

    // Guards against peers that lose the drain one after the other, each at its own restart, while
    // the node that has to write the record again is down.
    peers_restarted_after_a_late_write_keep_the_newer_record => {
        let (store, mut hosts) = leave_after_unanswered_write().await;
        hosts[0].stop().await;
        overwrite_newest(&store);
        for i in [1, 2] {
            hosts[i].stop().await;
            hosts[i].run();
            hosts[i].until_ready().await;
            assert!(!hosts[i].knows("n1"));
        }
        hosts[0].run();
        hosts[0].until_ready().await;
        assert_drained(&hosts).await;
        until("the store has the drain again", async || is_drain_stored(&store, "n1")).await;
    }
}
