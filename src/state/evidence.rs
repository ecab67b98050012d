//! Evidence that nodes exchange on requests under which targets crashed.

use serde::{Deserialize, Serialize};

use crate::{id::Instance, state::fingerprint::Fingerprint};

/// The evidence of one node. It is a part of the node's
/// [`Member`](crate::state::member::Member) record, so the platform's store keeps it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Crashes of the node's target that no quarantined request explains yet.
    pub ends: Vec<Crash>,
    /// Requests under which the node's target crashed and which are quarantined for it.
    pub held: Vec<QuarantineEntry>,
    /// Requests that a target answered after others had crashed under them.
    pub cleared: Vec<Cleared>,
}

/// A crash of one instance of a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The instance that crashed.
    pub instance: Instance,
    /// The requests that it was running.
    pub contents: Vec<Fingerprint>,
}

/// A quarantined request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// Targets that have crashed under the request, as far as the node knew when its own did.
    pub ends: u8,
    /// The clear count of the request before: how often it had been cleared. A higher
    /// [`Cleared::times`] from any node overrules this entry, also if the node that reported
    /// the entry has left and can't withdraw it.
    pub round: u32,
}

/// A request that a target answered after others had crashed under it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Cleared {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// The clear count of the request: how often it has been cleared in all, as far as the node
    /// knew.
    pub times: u32,
}

impl Evidence {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.held.is_empty() && self.cleared.is_empty()
    }

    /// Returns whether a request is quarantined or was running at a crash.
    pub fn implicates(&self, content: &Fingerprint) -> bool {
        let is_quarantined = self.held.iter().any(|entry| entry.content == *content);
        is_quarantined || self.ends.iter().any(|end| end.contents.contains(content))
    }
}
