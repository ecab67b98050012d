//! What the nodes of this failure domain have been sent.
//!
//! Whoever reads the store for its domain has to send on all that the others lack, and not only
//! what its own reads bring: it may have learned a version from a peer before, at its start or
//! while another node was the reader. So each node tracks what has been sent to all nodes of its
//! domain, and the reader sends what it knows beyond that.

use parking_lot::Mutex;
use tokio::sync::Notify;

/// What has been sent to all nodes of this failure domain, as far as this node knows.
#[derive(Debug, Default)]
pub struct Delivered {
    state: Mutex<State>,
    /// Is notified when this node learns something from a peer that its failure domain may lack.
    pub learned: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    version: u64,
    members: u64,
}

impl Delivered {
    /// Returns the newest version of the routes that was sent; 0 if that isn't known.
    pub fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Returns the offset up to which the records of members were sent; 0 if that isn't known.
    pub fn members(&self) -> u64 {
        self.state.lock().members
    }

    /// Records that a version of the routes was sent.
    pub fn note_version(&self, version: u64) {
        let mut state = self.state.lock();
        state.version = state.version.max(version);
    }

    /// Records that the records of members were sent up to an offset.
    pub fn note_members(&self, offset: u64) {
        let mut state = self.state.lock();
        state.members = state.members.max(offset);
    }

    /// Claims the sending of a version: of several tasks that have it, one sends it.
    ///
    /// Returns the version sent before, or 0 if that isn't known; nothing if this version, or a
    /// newer one, was sent already.
    pub fn claim(&self, version: u64) -> Option<u64> {
        let mut state = self.state.lock();
        if version <= state.version {
            return None;
        }
        Some(std::mem::replace(&mut state.version, version))
    }
}
