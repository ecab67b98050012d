//! Drains of failure domains: an operator orders that a whole domain gets no requests, and takes
//! it back later.
//!
//! ```
//! use rilltrack::state::drain::{Drain, Drains};
//!
//! let domain: rilltrack::id::Name = "north".parse()?;
//! let ordered = Drain { domain: domain.clone(), order: 7, is_active: true };
//! let taken_back = Drain { order: 9, is_active: false, ..ordered.clone() };
//! let mut drains = Drains::default();
//! assert!(drains.merge(ordered.clone()) && drains.is_drained(&domain));
//! assert!(drains.merge(taken_back) && !drains.is_drained(&domain));
//! assert!(!drains.merge(ordered), "an earlier order is ignored");
//! # Ok::<(), rilltrack::id::Error>(())
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Name;

/// An operator's latest order about a failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The failure domain.
    pub domain: Name,
    /// The offset of the order in the store. A later order has a greater offset.
    pub order: u64,
    /// Whether the domain is drained; otherwise it was taken back.
    pub is_active: bool,
}

impl Drain {
    /// Returns the sort key: of two orders about a domain, the one that applies has the greater
    /// key.
    fn rank(&self) -> (u64, bool) {
        (self.order, !self.is_active)
    }
}

/// The latest order about each failure domain.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    latest: BTreeMap<Name, Drain>,
}

impl Drains {
    /// Stores an order if it is later than the known one about its domain; returns whether it
    /// was.
    pub fn merge(&mut self, received: Drain) -> bool {
        let known = self.latest.get(&received.domain);
        if known.is_some_and(|known| known.rank() >= received.rank()) {
            return false;
        }
        self.latest.insert(received.domain.clone(), received);
        true
    }

    /// Returns whether a failure domain is drained.
    pub fn is_drained(&self, domain: &Name) -> bool {
        self.latest.get(domain).is_some_and(|drain| drain.is_active)
    }

    /// Returns the drains that have been taken back, given all that are `active` in the store
    /// up to the offset `next`: a deleted order leaves no record there.
    pub fn ended(&self, active: &[Drain], next: u64) -> Vec<Drain> {
        let is_ended = |known: &&Drain| {
            known.is_active
                && known.order < next
                && !active.iter().any(|drain| drain.domain == known.domain)
        };
        let ended = self.latest.values().filter(is_ended);
        let ended = ended.map(|known| Drain {
            order: next - 1,
            is_active: false,
            ..known.clone()
        });
        ended.collect()
    }

    /// Returns the latest orders, ordered by domain.
    pub fn iter(&self) -> impl Iterator<Item = &Drain> {
        self.latest.values()
    }
}
