//! The nodes that a starting node asks first.
//!
//! The store holds a few contacts of each failure domain, in numbered places: a node writes its
//! contact to the place of its name's hash, so their number doesn't grow with the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{Name, Node};

/// The places for contacts of one failure domain. With four, a domain of 200 nodes that starts
/// as a whole asks each contact for fifty copies of the members.
const PLACES: u64 = 4;

/// A node that starting nodes of its failure domain ask for the members and routes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Contact {
    /// The node.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
    /// The address for control messages from other nodes.
    pub peers: SocketAddr,
    /// The bandwidth of its host's link in Mbit/s; 0 if not known.
    pub bandwidth: u32,
}

impl Contact {
    /// Returns the key of the contact in the store.
    pub fn key(&self) -> String {
        format!("{}/{}", self.domain, self.place())
    }

    fn place(&self) -> u64 {
        xxh3_64(self.node.as_str().as_bytes()) % PLACES
    }
}

/// Returns whether a failure domain needs `own` as a contact: its place is free or belongs to a
/// node with a narrower link.
pub fn is_wanted(contacts: &[Contact], own: &Contact) -> bool {
    let key = own.key();
    let held = contacts.iter().find(|contact| contact.key() == key);
    held.is_none_or(|held| held.bandwidth < own.bandwidth)
}

/// Returns up to `most` random contacts of `domain`, then one of another domain.
pub fn nearest<'a>(contacts: &'a [Contact], domain: &Name, most: usize) -> Vec<&'a Contact> {
    let (near, far): (Vec<_>, Vec<_>) = contacts
        .iter()
        .partition(|contact| contact.domain == *domain);
    let mut chosen = fastrand::choose_multiple(near, most);
    chosen.extend(fastrand::choose_multiple(far, 1));
    chosen
}
