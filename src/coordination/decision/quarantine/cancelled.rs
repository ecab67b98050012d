//! Runs that ended for this node before they ended for the target.
//!
//! A caller that leaves, or a deadline that passes, ends a run here, and the connection to the target
//! is closed. Most targets then stop, but some work on up to the deadline that they were given, and may
//! crash under the request until then. Without these runs, nobody would know that the request was
//! running.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{id::Instance, state::fingerprint::Fingerprint};

/// The most runs that are remembered; the oldest is forgotten first. A node that runs 52 requests a
/// second, of which a fifth are cancelled, remembers those of 12 seconds in 16 KB.
const MAX_RUNS: usize = 128;

/// How long after its deadline a run may still explain a crash: the target's next heartbeat, or the
/// next request to it, tells that it has crashed.
const DETECTION_TIME: Duration = Duration::from_millis(1500);

/// The cancelled runs at which the target may still be working.
#[derive(Debug, Default)]
pub(super) struct CancelledRuns {
    runs: VecDeque<Run>,
}

#[derive(Debug)]
struct Run {
    instance: Instance,
    content: Fingerprint,
    /// The deadline that the target was given.
    deadline: Instant,
}

impl CancelledRuns {
    /// Adds a run of a request at an instance, which stops work at the deadline.
    pub(super) fn add(&mut self, instance: &Instance, content: Fingerprint, deadline: Instant) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(Run {
            instance: instance.clone(),
            content,
            deadline,
        });
    }

    /// Removes the runs of an instance that is found to have crashed, and returns the requests that
    /// it may have been running.
    pub(super) fn take(&mut self, instance: &Instance, now: Instant) -> Vec<Fingerprint> {
        self.runs.retain(|run| run.deadline + DETECTION_TIME >= now);
        let is_of = |run: &&Run| run.instance == *instance;
        let contents = self.runs.iter().filter(is_of).map(|run| run.content);
        let contents = contents.collect();
        self.runs.retain(|run| run.instance != *instance);
        contents
    }
}
