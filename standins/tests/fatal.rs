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

use rilltrack_standins::{
    fleet::{Host, version},
    store::Store,
    until,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)*
    };
}

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
                tokio::time::sleep(std::time::Duration::from_millis(500)).await;
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
