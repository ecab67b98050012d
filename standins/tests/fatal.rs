//! Requests that end whatever target runs them, over real processes on loopback.
//!
//! Within a second four of six targets of a service ended, with sixteen to eighteen requests
//! under way at each, and whenever some of them were back they ended again: 18 in one such
//! spell, 22 in the next. One lookup came again and again, by its caller at any node and by
//! the nodes' own repeats, and nothing remembered that targets had ended under it: when it
//! had ended three already it reached thirteen more. The same here, within three
//! milliseconds and one request:
//!
//! ```text
//! TargetEnded node n2, instance i1, content 84465ffc090820f1b83aa7b6007538ae
//! TargetEnded node n0, instance i1, content 84465ffc090820f1b83aa7b6007538ae
//! TargetEnded node n1, instance i1, content 84465ffc090820f1b83aa7b6007538ae
//! ```

use std::time::Duration;

use rilltrack::coordination::decision::quarantine::HELD_BACK;
use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    store::{Mode as StoreMode, Store},
    target::Mode,
    until,
};

/// The path of the requests that end targets.
const FATAL: &str = "/get/a/fatal";

/// Targets that may end under a request before it is sent to none any more: three, and
/// three sends beyond.
const MOST: usize = 6;

/// Rounds of such requests at every node.
const ROUNDS: usize = 12;

/// Four hosts with a target of service a and two with one of service b, in two failure
/// domains.
struct Fleet {
    _store: Store,
    hosts: Vec<Host>,
    lives: usize,
}

impl Fleet {
    async fn start() -> Self {
        let store = Store::start().await;
        store.publish(&version(5, &["a", "b"]));
        let mut hosts = Vec::new();
        for (i, service) in ["a", "a", "a", "a", "b", "b"].into_iter().enumerate() {
            let domain = ["here", "there"][i % 2];
            hosts.push(Host::start(&store, &format!("n{i}"), domain, service).await);
        }
        for host in &hosts {
            host.target.end_under("fatal");
            until("it knows all targets", async || {
                (0..hosts.len()).all(|other| host.knows(&format!("n{other}")))
            })
            .await;
        }
        Self {
            _store: store,
            hosts,
            lives: 1,
        }
    }

    /// Sends the request that ends targets until it is refused at every node.
    async fn until_held(&mut self) {
        for i in 0..self.hosts.len() {
            let mut count = 0;
            loop {
                let id = format!("until-{i}-{count}");
                let answer = self.hosts[i].ask("GET", FATAL, &id, "").await;
                self.restart().await;
                if status(&answer) == "503" && answer.contains(HELD_BACK) {
                    break;
                }
                count += 1;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }

    /// Sends it once at every node; it must be held back at each.
    async fn check_held(&mut self, why: &str) {
        let before = self.ended();
        for host in &self.hosts {
            let answer = host.ask("GET", FATAL, &format!("held-{why}"), "").await;
            assert!(answer.contains(HELD_BACK), "{why}: {answer}");
        }
        assert_eq!(self.ended(), before, "{why}");
    }

    fn ended(&self) -> usize {
        self.hosts.iter().map(|host| host.target.ended()).sum()
    }

    /// Starts the targets that have ended again, each as a new life.
    async fn restart(&mut self) {
        for host in &self.hosts {
            if host.target.is_there() {
                continue;
            }
            host.target.restart().await;
            self.lives += 1;
            let instance = format!("i{}", self.lives);
            host.heartbeat(&instance, 1, "ready").await;
        }
    }

    /// Sends the request that ends targets once at every node; returns the last answer.
    async fn round(&mut self, round: usize) -> String {
        let mut last = String::new();
        for i in 0..self.hosts.len() {
            let before = self.ended();
            let id = format!("fatal-{round}-{i}");
            last = self.hosts[i].ask("GET", FATAL, &id, "").await;
            self.restart().await;
            if self.ended() > before {
                // What one node knows reaches the others by the store.
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        }
        last
    }
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or(answer)
}

cases! {
    request_ends_one_target_at_the_most => {
        let fleet = Fleet::start().await;
        let answer = fleet.hosts[4].ask("GET", FATAL, "once", "").await;
        assert_eq!(status(&answer), "502", "{answer}");
        assert_eq!(fleet.ended(), 1, "by the repeats of one node");
    }

    nodes_that_start_anew_hold_back_what_they_held => {
        let mut fleet = Fleet::start().await;
        fleet.until_held().await;
        // What is told of it has come to rest in the store.
        tokio::time::sleep(Duration::from_secs(3)).await;
        for most in [5, 6] {
            for host in fleet.hosts.iter_mut().take(most) {
                host.stop().await;
            }
            for host in fleet.hosts.iter_mut().take(most) {
                host.run();
            }
            for host in &fleet.hosts {
                host.until_ready().await;
            }
            fleet.check_held(&format!("{most} of 6 nodes started anew")).await;
        }
    }

    node_that_the_store_refused_holds_back_what_the_others_do => {
        let mut fleet = Fleet::start().await;
        fleet.hosts[4].store.set_own(StoreMode::Refusing);
        fleet.until_held().await;
        fleet.hosts[4].store.set_own(StoreMode::Up);
        fleet.check_held("after the store refused one").await;
    }

    operator_sees_what_is_held_back_and_lets_it_go => {
        let mut fleet = Fleet::start().await;
        fleet.until_held().await;
        let held = fleet.hosts[5].held().await;
        let [content] = &held[..] else { panic!("{held:?}") };
        for host in &fleet.hosts {
            host.target.end_under("nothing");
        }
        assert_eq!(fleet.hosts[5].let_go("0123").await, "400");
        assert_eq!(fleet.hosts[5].let_go(content).await, "200");
        for host in &fleet.hosts {
            until("it is let go", async || host.held().await.is_empty()).await;
            let answer = host.ask("GET", FATAL, "mended", "").await;
            assert_eq!(status(&answer), "200", "{answer}");
        }
    }

    target_that_breaks_off_and_is_there_speaks_against_no_request => {
        let fleet = Fleet::start().await;
        for host in &fleet.hosts {
            host.target.set(Mode::Breaks);
        }
        for i in 0..6 {
            let answer = fleet.hosts[4].ask("GET", "/get/a/same", &format!("b{i}"), "").await;
            assert_eq!(status(&answer), "502", "{answer}");
        }
        for host in &fleet.hosts {
            host.target.set(Mode::Serves);
        }
        let answer = fleet.hosts[4].ask("GET", "/get/a/same", "served", "").await;
        assert_eq!(status(&answer), "200", "{answer}");
    }

    request_that_runs_once_is_refused_as_not_run => {
        let mut fleet = Fleet::start().await;
        for i in 0.. {
            let id = format!("once-{i}");
            let answer = fleet.hosts[i % 6].ask("POST", "/post/a/fatal", &id, "x").await;
            fleet.restart().await;
            if status(&answer) == "503" {
                assert!(answer.contains(HELD_BACK), "{answer}");
                let runs = fleet.hosts.iter().filter(|host| host.target.ran().contains(&id));
                assert_eq!(runs.count(), 0);
                break;
            }
            assert_eq!(status(&answer), "502", "{answer}");
            assert!(i < MOST, "{i} targets ended");
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        // Nothing speaks against others of its route.
        let host = &fleet.hosts[5];
        let answer = host.ask("POST", "/post/a/other", "other", "x").await;
        assert_eq!(status(&answer), "200", "{answer}");
    }

    request_under_which_targets_end_is_held_back_at_every_node => {
        let mut fleet = Fleet::start().await;
        let mut last = String::new();
        for round in 0..ROUNDS {
            last = fleet.round(round).await;
            let ended = fleet.ended();
            assert!(ended <= MOST, "{ended} targets ended in {} rounds", round + 1);
        }
        assert_eq!(status(&last), "503", "{last}");
        // Nothing invites its caller back to what will not be served.
        assert!(!last.to_lowercase().contains("retry-after"), "{last}");
        // Others of the same route are served all the while.
        let answer = fleet.hosts[5].ask("GET", "/get/a/other", "id1", "").await;
        assert_eq!(status(&answer), "200", "{answer}");
    }
}
