//! The evidence that this node reports to its peers.

use std::{collections::HashMap, time::Instant};

use crate::{
    id::Instance,
    state::{
        evidence::{Cleared, Crash, Evidence, QuarantineEntry},
        fingerprint::Fingerprint,
    },
};

/// The most crashes of its own target that a node remembers; the oldest is forgotten first.
/// More than that within [`CRASH_RETENTION`](super::CRASH_RETENTION) means that the target
/// crashes by itself.
const MAX_CRASHES: usize = 8;

/// The most requests that are recorded for one crash: several times the slots of a target.
const MAX_CONTENTS: usize = 256;

/// The most requests that a node reports as quarantined. Each has crashed its target.
const MAX_ENTRIES: usize = 64;

/// What this node reports, and since when.
#[derive(Debug, Default)]
pub(super) struct Own {
    pub(super) evidence: Evidence,
    /// When this node last reported each request as quarantined.
    pub(super) entries_at: HashMap<Fingerprint, Instant>,
    /// When this node last reported each request as cleared.
    pub(super) cleared_at: HashMap<Fingerprint, Instant>,
}

impl Own {
    /// Adds a request to those that the target was running at a crash.
    pub(super) fn add_crash(&mut self, instance: &Instance, content: Fingerprint) {
        let crashes = &mut self.evidence.ends;
        let at = crashes.iter().position(|crash| crash.instance == *instance);
        let at = at.unwrap_or_else(|| {
            if crashes.len() >= MAX_CRASHES {
                crashes.remove(0);
            }
            crashes.push(Crash {
                instance: instance.clone(),
                contents: Vec::new(),
            });
            crashes.len() - 1
        });
        let contents = &mut crashes[at].contents;
        if contents.len() < MAX_CONTENTS && !contents.contains(&content) {
            contents.push(content);
        }
    }

    /// Reports a request as quarantined.
    pub(super) fn add_entry(&mut self, entry: QuarantineEntry, now: Instant) {
        let entries = &mut self.evidence.held;
        match entries.iter_mut().find(|own| own.content == entry.content) {
            Some(known) => {
                known.ends = known.ends.max(entry.ends);
                known.round = known.round.max(entry.round);
            }
            None => {
                if entries.len() >= MAX_ENTRIES {
                    entries.remove(0);
                }
                entries.push(entry);
            }
        }
        self.entries_at.insert(entry.content, now);
    }

    /// Reports a request as cleared, for the last time of several.
    pub(super) fn add_cleared(&mut self, cleared: Cleared, now: Instant) {
        let content = cleared.content;
        let all = &mut self.evidence.cleared;
        all.retain(|cleared| cleared.content != content);
        all.push(cleared);
        self.cleared_at.insert(content, now);
    }

    /// Removes the times of reports that are not made any more.
    pub(super) fn forget_times(&mut self) {
        let Evidence { held, cleared, .. } = &self.evidence;
        self.entries_at
            .retain(|content, _| held.iter().any(|entry| entry.content == *content));
        self.cleared_at
            .retain(|content, _| cleared.iter().any(|c| c.content == *content));
    }
}
