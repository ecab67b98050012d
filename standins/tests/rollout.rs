//! Roll-outs with real processes on loopback: an operator orders that the requests of a
//! service move from its targets to those of another release.

use std::time::Duration;

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    store::{Mode as StoreMode, Store},
    target::Mode,
    until,
};

/// The number of requests between two heartbeats of all targets. They take a fraction of a
/// second.
const HEARTBEAT_REQUESTS: usize = 60;

/// Six hosts in two failure domains: three with targets that serve, and three with targets
/// of another release.
struct Fleet {
    store: Store,
    old: Vec<Host>,
    new: Vec<Host>,
    sent: usize,
}

impl Fleet {
    async fn start() -> Self {
        let store = Store::start().await;
        store.publish(&version(5, &["a"]));
        let mut old = Vec::new();
        for i in 0..3 {
            let domain = ["here", "there"][i % 2];
            old.push(Host::start(&store, &format!("old{i}"), domain, "a").await);
        }
        let mut fleet = Self {
            store,
            old,
            new: Vec::new(),
            sent: 0,
        };
        for i in 0..3 {
            let domain = ["here", "there"][i % 2];
            let mut host = Host::stopped(&fleet.store, &format!("new{i}"), domain, "a").await;
            host.release = "v2".into();
            host.run();
            host.until_ready().await;
            host.heartbeat("i1", 1, "ready").await;
            fleet.new.push(host);
        }
        until("all hosts know each other's targets", async || {
            let all = || fleet.old.iter().chain(&fleet.new);
            all().all(|host| all().all(|other| host.knows(&other.name)))
        })
        .await;
        fleet
    }

    /// Sends GET requests through every old host until `is_done`. If `must_succeed`, panics
    /// when an answer's status is not 200.
    async fn send_until(&mut self, must_succeed: bool, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            for answer in self.send("GET", "/get/a/x", "").await {
                let status = answer.get(9..12).unwrap_or(&answer);
                assert!(!must_succeed || status == "200", "{answer}");
            }
        }
    }

    /// Sends requests that are not idempotent through every old host until `is_done`.
    async fn post_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            self.send("POST", "/post/a/x", "x").await;
        }
    }

    /// Sends a request through every old host, one after the other; returns the answers.
    async fn send(&mut self, method: &str, path: &str, body: &str) -> Vec<String> {
        let mut answers = Vec::new();
        for host in &self.old {
            if self.sent.is_multiple_of(HEARTBEAT_REQUESTS) {
                self.heartbeat().await;
            }
            self.sent += 1;
            let id = format!("id{}", self.sent);
            answers.push(host.ask(method, path, &id, body).await);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        answers
    }

    /// Sends a heartbeat from each running target to its node.
    async fn heartbeat(&self) {
        for host in self.old.iter().chain(&self.new) {
            if host.target.is_there() {
                host.heartbeat("i1", 10 + self.sent as u64, "ready").await;
            }
        }
    }

    /// Stops all nodes at once.
    async fn stop(&mut self) {
        let hosts = self.old.iter_mut().chain(&mut self.new);
        futures_util::future::join_all(hosts.map(Host::stop)).await;
    }

    /// Starts all nodes.
    async fn run(&mut self) {
        self.old.iter_mut().chain(&mut self.new).for_each(Host::run);
        for host in self.old.iter().chain(&self.new) {
            host.until_ready().await;
        }
        self.heartbeat().await;
    }

    async fn restart(&mut self) {
        self.stop().await;
        self.run().await;
    }

    fn set_new_targets(&self, mode: Mode) {
        self.new.iter().for_each(|host| host.target.set(mode));
    }

    /// Returns the number of requests that the new targets ran.
    fn new_runs(&self) -> usize {
        self.new.iter().map(|host| host.target.ran().len()).sum()
    }

    /// Returns the number of requests that the old targets ran.
    fn old_runs(&self) -> usize {
        self.old.iter().map(|host| host.target.ran().len()).sum()
    }

    /// Returns the latest status of the order, or an empty text if there is none.
    fn last_status(&self) -> String {
        self.store.words("a").pop().unwrap_or_default()
    }
}

cases! {
    other_release_gets_no_requests_without_an_order => {
        let mut fleet = Fleet::start().await;
        fleet.send_until(true, |fleet| fleet.sent >= 300).await;
        assert_eq!(fleet.new_runs(), 0);
        // Nor do they while a restarted node beside one of them knows no other members yet.
        fleet.new[0].stop().await;
        fleet.new[0].run();
        fleet.new[0].until_ready().await;
        fleet.new[0].heartbeat("i1", 2, "ready").await;
        fleet.send_until(true, |fleet| fleet.sent >= 600).await;
        assert_eq!(fleet.new_runs(), 0);
        assert!(fleet.store.words("a").is_empty());
    }

    good_release_is_completed_and_the_old_targets_can_stop => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "8s");
        fleet.send_until(true, |fleet| fleet.last_status() == "running").await;
        fleet.send_until(true, |fleet| fleet.last_status() == "completed").await;
        assert_eq!(fleet.store.words("a"), ["running", "completed"]);
        // The old targets stop as soon as the status is `completed`.
        let before = fleet.old_runs();
        fleet.old.iter().for_each(|host| host.target.end());
        let sent = fleet.sent;
        fleet.send_until(true, |fleet| fleet.sent >= sent + 300).await;
        assert_eq!(fleet.old_runs(), before);
    }

    release_on_trial_gets_at_most_half_of_the_exposure_share => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(true, |fleet| fleet.sent >= 2_000).await;
        let (new, all) = (fleet.new_runs(), fleet.new_runs() + fleet.old_runs());
        // Half of the exposure share, which is two fifths here.
        assert!(new > 0 && new * 5 <= all + 10, "{new} of {all}");
    }

    bad_release_is_rolled_back_and_gets_no_more_requests => {
        let mut fleet = Fleet::start().await;
        fleet.set_new_targets(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_status() == "rolled_back").await;
        assert!(fleet.new_runs() < 50, "{}", fleet.new_runs());
        until("all old hosts know of the rollback", async || {
            fleet.old.iter().all(|host| host.rollout("a").is_some_and(|stage| stage == "RolledBack"))
        })
        .await;
        let (ran, sent) = (fleet.new_runs(), fleet.sent);
        // Nor does it get any from nodes that have just restarted.
        fleet.restart().await;
        fleet.send_until(true, |fleet| fleet.sent >= sent + 600).await;
        assert_eq!(fleet.new_runs(), ran);
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
    }

    release_that_turns_bad_late_is_rolled_back => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(true, |fleet| fleet.new_runs() > 60).await;
        let before = fleet.new_runs();
        fleet.set_new_targets(Mode::Fails);
        fleet.send_until(false, |fleet| fleet.last_status() == "rolled_back").await;
        assert!(fleet.new_runs() - before < 50, "{}", fleet.new_runs() - before);
    }

    release_that_breaks_off_answers_is_rolled_back_and_no_request_runs_twice => {
        let mut fleet = Fleet::start().await;
        fleet.set_new_targets(Mode::Breaks);
        fleet.store.order("a", "v2", "60s");
        fleet.post_until(|fleet| fleet.last_status() == "rolled_back" || fleet.sent > 6_000).await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
        assert!(fleet.new_runs() < 50, "{}", fleet.new_runs());
        let hosts = fleet.old.iter().chain(&fleet.new);
        let mut ids: Vec<String> = hosts.flat_map(|host| host.target.ran()).collect();
        let runs = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), runs, "a request ran twice");
    }

    second_order_for_the_same_release_is_another => {
        let mut fleet = Fleet::start().await;
        fleet.set_new_targets(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_status() == "rolled_back").await;
        fleet.set_new_targets(Mode::Serves);
        fleet.store.order("a", "v2", "8s");
        fleet.send_until(true, |fleet| fleet.last_status() == "completed").await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back", "running", "completed"]);
    }

    order_survives_a_store_outage_and_a_restart_of_all_nodes => {
        let mut fleet = Fleet::start().await;
        fleet.set_new_targets(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_status() == "running").await;
        fleet.store.set(StoreMode::Refusing);
        fleet.stop().await;
        fleet.store.set(StoreMode::Up);
        fleet.run().await;
        fleet.send_until(false, |fleet| fleet.last_status() == "rolled_back").await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
    }

    lost_answers_of_the_store_cause_no_second_final_status => {
        let mut fleet = Fleet::start().await;
        fleet.set_new_targets(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.new_runs() > 2).await;
        fleet.store.set(StoreMode::LosingAnswers);
        fleet.send_until(false, |fleet| fleet.last_status() == "rolled_back").await;
        fleet.store.set(StoreMode::Up);
        until("all old hosts know of the rollback", async || {
            fleet.old.iter().all(|host| host.rollout("a").is_some_and(|stage| stage == "RolledBack"))
        })
        .await;
        let statuses = fleet.store.words("a");
        assert_eq!(statuses.iter().filter(|status| *status != "running").count(), 1, "{statuses:?}");
    }
}
