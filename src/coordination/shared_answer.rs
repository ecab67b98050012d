//! Answers that many nodes ask for at the same time.
//!
//! When a failure domain starts as a whole, its nodes ask a few others for all members and the
//! routes. With an answer of its own for each of them, what such a node holds grows with the
//! members and with those who ask, so with the square of the fleet.

use std::sync::{Arc, Weak};

use bytes::Bytes;
use parking_lot::Mutex;

use crate::{id::Node, state::rollout::Rollout};

/// The answers that nodes may ask for at the same time.
#[derive(Debug, Default)]
pub struct Answers {
    /// By the version that it starts from and the one in force.
    pub routes: SharedAnswer<(u64, u64)>,
    /// By what they depend on.
    pub members: SharedAnswer<MembersKey>,
}

/// All that an answer with members depends on.
#[derive(Debug, PartialEq)]
pub struct MembersKey {
    /// The bucket hashes of the node that asks, and of this one.
    pub hashes: [Vec<u32>; 2],
    /// The offset of this node in the stream of the members.
    pub at: u64,
    /// The latest roll-out of each service.
    pub rollouts: Vec<Rollout>,
    /// The members that are overwritten in the store.
    pub overwritten: Vec<Node>,
}

/// The latest answer of one kind, as long as it is being sent to any node. `K` is all that it
/// depends on.
#[derive(Debug)]
pub struct SharedAnswer<K> {
    latest: Mutex<Option<(K, Weak<Vec<u8>>)>>,
}

impl<K> Default for SharedAnswer<K> {
    fn default() -> Self {
        Self {
            latest: Mutex::default(),
        }
    }
}

impl<K: PartialEq> SharedAnswer<K> {
    /// Returns the answer for `key`: the one that is being sent to another node, or else what
    /// `encode` returns.
    pub fn get(&self, key: K, encode: impl FnOnce() -> Vec<u8>) -> Bytes {
        let mut latest = self.latest.lock();
        let sent = latest.as_ref().filter(|(sent, _)| *sent == key);
        let answer = match sent.and_then(|(_, answer)| answer.upgrade()) {
            Some(answer) => answer,
            None => {
                let answer = Arc::new(encode());
                *latest = Some((key, Arc::downgrade(&answer)));
                answer
            }
        };
        Bytes::from_owner(Shared(answer))
    }
}

struct Shared(Arc<Vec<u8>>);

impl AsRef<[u8]> for Shared {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}
