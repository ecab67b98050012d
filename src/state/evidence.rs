//! What nodes tell each other of requests under which targets ended.

use serde::{Deserialize, Serialize};

use crate::{id::Instance, state::fingerprint::Fingerprint};

/// What one node knows of such requests: a part of what it says of itself
/// ([`Member`](crate::state::member::Member)), so the platform's store keeps it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Ends of the target here that nothing explains yet.
    pub ends: Vec<End>,
    /// Requests under which the target here ended and which are held back for it.
    pub held: Vec<Held>,
    /// Requests that a target answered after others had ended under them.
    pub cleared: Vec<Cleared>,
}

/// The end of one life of a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The life.
    pub instance: Instance,
    /// What it was running.
    pub contents: Vec<Fingerprint>,
}

/// A request that is held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// What the request is.
    pub content: Fingerprint,
    /// Targets that have ended under it, as far as the node knew when its own did.
    pub ends: u8,
    /// How often it had been cleared before: a later clearing overrules this, whoever told
    /// it and whether or not that node is still there to take it back.
    pub round: u32,
}

/// A request that a target answered after others had ended under it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Cleared {
    /// What the request is.
    pub content: Fingerprint,
    /// How often it has been cleared in all, as far as the node knew.
    pub times: u32,
}

impl Evidence {
    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.held.is_empty() && self.cleared.is_empty()
    }

    /// Returns whether it speaks against a request.
    pub fn speaks_of(&self, content: &Fingerprint) -> bool {
        let is_held = self.held.iter().any(|held| held.content == *content);
        is_held || self.ends.iter().any(|end| end.contents.contains(content))
    }
}
