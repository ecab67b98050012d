//! Roll-outs over real processes on loopback: targets of another release stand beside those
//! that serve, and an operator orders that they take over.

use std::time::Duration;

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    store::{Mode as StoreMode, Store},
    target::Mode,
    until,
};

/// Requests between two heartbeats of every target: a fraction of a second's.
const HEARTBEAT: usize = 60;

/// Six hosts in two failure domains: three whose targets serve, and three with targets of
/// another release.
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
        until("all know each other", async || {
            let all = || fleet.old.iter().chain(&fleet.new);
            all().all(|host| all().all(|other| host.knows(&other.name)))
        })
        .await;
        fleet
    }

    /// Sends requests at every old host until `is_done`; each must be answered if
    /// `all_served`.
    async fn send_until(&mut self, all_served: bool, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            for answer in self.send("GET", "/get/a/x", "").await {
                let status = answer.get(9..12).unwrap_or(&answer);
                assert!(!all_served || status == "200", "{answer}");
            }
        }
    }

    /// Sends requests that run once at every old host until `is_done`.
    async fn send_once_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            self.send("POST", "/post/a/x", "x").await;
        }
    }

    /// Sends a request at every old host, one after the other; returns the answers.
    async fn send(&mut self, method: &str, path: &str, body: &str) -> Vec<String> {
        let mut answers = Vec::new();
        for host in &self.old {
            if self.sent.is_multiple_of(HEARTBEAT) {
                self.heartbeat().await;
            }
            self.sent += 1;
            let id = format!("id{}", self.sent);
            answers.push(host.ask(method, path, &id, body).await);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        answers
    }

    /// Lets all targets that are there say so.
    async fn heartbeat(&self) {
        for host in self.old.iter().chain(&self.new) {
            if host.target.is_there() {
                host.heartbeat("i1", 10 + self.sent as u64, "ready").await;
            }
        }
    }

    /// Stops all processes at once.
    async fn stop(&mut self) {
        let hosts = self.old.iter_mut().chain(&mut self.new);
        futures_util::future::join_all(hosts.map(Host::stop)).await;
    }

    /// Starts them all.
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

    fn set_new(&self, mode: Mode) {
        self.new.iter().for_each(|host| host.target.set(mode));
    }

    fn new_ran(&self) -> usize {
        self.new.iter().map(|host| host.target.ran().len()).sum()
    }

    fn old_ran(&self) -> usize {
        self.old.iter().map(|host| host.target.ran().len()).sum()
    }

    fn last_word(&self) -> String {
        self.store.words("a").pop().unwrap_or_default()
    }
}

cases! {
    targets_of_another_release_get_nothing_without_an_order => {
        let mut fleet = Fleet::start().await;
        fleet.send_until(true, |fleet| fleet.sent >= 300).await;
        assert_eq!(fleet.new_ran(), 0);
        // Also where one of them restarts its node and knows nothing yet.
        fleet.new[0].stop().await;
        fleet.new[0].run();
        fleet.new[0].until_ready().await;
        fleet.new[0].heartbeat("i1", 2, "ready").await;
        fleet.send_until(true, |fleet| fleet.sent >= 600).await;
        assert_eq!(fleet.new_ran(), 0);
        assert!(fleet.store.words("a").is_empty());
    }

    good_release_takes_over_and_leaves_nothing_behind => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "8s");
        fleet.send_until(true, |fleet| fleet.last_word() == "running").await;
        fleet.send_until(true, |fleet| fleet.last_word() == "completed").await;
        assert_eq!(fleet.store.words("a"), ["running", "completed"]);
        // The old targets end at that word.
        let before = fleet.old_ran();
        fleet.old.iter().for_each(|host| host.target.end());
        let sent = fleet.sent;
        fleet.send_until(true, |fleet| fleet.sent >= sent + 300).await;
        assert_eq!(fleet.old_ran(), before);
    }

    release_on_trial_gets_less_than_its_share => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(true, |fleet| fleet.sent >= 2_000).await;
        let (new, all) = (fleet.new_ran(), fleet.new_ran() + fleet.old_ran());
        // Half of the share, which is two fifths here.
        assert!(new > 0 && new * 5 <= all + 10, "{new} of {all}");
    }

    bad_release_is_taken_back_and_gets_nothing_more => {
        let mut fleet = Fleet::start().await;
        fleet.set_new(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_word() == "rolled_back").await;
        assert!(fleet.new_ran() < 50, "{}", fleet.new_ran());
        until("all know", async || {
            fleet.old.iter().all(|host| host.rollout("a").is_some_and(|stage| stage == "RolledBack"))
        })
        .await;
        let (ran, sent) = (fleet.new_ran(), fleet.sent);
        // Not even by the processes that start anew.
        fleet.restart().await;
        fleet.send_until(true, |fleet| fleet.sent >= sent + 600).await;
        assert_eq!(fleet.new_ran(), ran);
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
    }

    release_that_turns_bad_late_is_taken_back => {
        let mut fleet = Fleet::start().await;
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(true, |fleet| fleet.new_ran() > 60).await;
        let before = fleet.new_ran();
        fleet.set_new(Mode::Fails);
        fleet.send_until(false, |fleet| fleet.last_word() == "rolled_back").await;
        assert!(fleet.new_ran() - before < 50, "{}", fleet.new_ran() - before);
    }

    release_that_breaks_off_is_taken_back_and_runs_no_request_twice => {
        let mut fleet = Fleet::start().await;
        fleet.set_new(Mode::Breaks);
        fleet.store.order("a", "v2", "60s");
        fleet.send_once_until(|fleet| fleet.last_word() == "rolled_back" || fleet.sent > 6_000).await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
        assert!(fleet.new_ran() < 50, "{}", fleet.new_ran());
        let hosts = fleet.old.iter().chain(&fleet.new);
        let mut ids: Vec<String> = hosts.flat_map(|host| host.target.ran()).collect();
        let runs = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), runs, "none ran twice");
    }

    second_order_for_the_same_release_is_another => {
        let mut fleet = Fleet::start().await;
        fleet.set_new(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_word() == "rolled_back").await;
        fleet.set_new(Mode::Serves);
        fleet.store.order("a", "v2", "8s");
        fleet.send_until(true, |fleet| fleet.last_word() == "completed").await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back", "running", "completed"]);
    }

    order_outlives_a_store_that_is_away_and_the_nodes_that_read_it => {
        let mut fleet = Fleet::start().await;
        fleet.set_new(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.last_word() == "running").await;
        fleet.store.set(StoreMode::Refusing);
        fleet.stop().await;
        fleet.store.set(StoreMode::Up);
        fleet.run().await;
        fleet.send_until(false, |fleet| fleet.last_word() == "rolled_back").await;
        assert_eq!(fleet.store.words("a"), ["running", "rolled_back"]);
    }

    answers_of_the_store_that_are_lost_make_no_second_word => {
        let mut fleet = Fleet::start().await;
        fleet.set_new(Mode::Fails);
        fleet.store.order("a", "v2", "60s");
        fleet.send_until(false, |fleet| fleet.new_ran() > 2).await;
        fleet.store.set(StoreMode::LosingAnswers);
        fleet.send_until(false, |fleet| fleet.last_word() == "rolled_back").await;
        fleet.store.set(StoreMode::Up);
        until("all know", async || {
            fleet.old.iter().all(|host| host.rollout("a").is_some_and(|stage| stage == "RolledBack"))
        })
        .await;
        let words = fleet.store.words("a");
        assert_eq!(words.iter().filter(|word| *word != "running").count(), 1, "{words:?}");
    }
}
