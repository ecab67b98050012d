//! The version of the routes in force at this node, and the recent ones before it.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;

use crate::state::routing::{Delta, Limits, Table};

/// Recent versions of the routes that are kept, to compute deltas for peers. A burst
/// of changes brings five versions a second; a node that is further behind receives a
/// whole version.
const MAX_PAST_VERSIONS: usize = 8;

/// The version in force, and recent ones.
#[derive(Debug, Default)]
pub struct Versions {
    current: ArcSwapOption<Table>,
    recent: Mutex<VecDeque<Arc<Table>>>,
    in_force_since: Mutex<Option<Instant>>,
}

impl Versions {
    /// Returns the routes in force, if there is a version.
    pub fn current(&self) -> Option<Arc<Table>> {
        self.current.load_full()
    }

    /// Returns the number of the version in force, or 0 if there is none.
    pub fn number(&self) -> u64 {
        self.current
            .load()
            .as_ref()
            .map_or(0, |table| table.version)
    }

    /// Returns the limits on requests of callers, from the version in force.
    pub fn limits(&self) -> Limits {
        let current = self.current.load();
        current
            .as_ref()
            .map_or_else(Default::default, |table| table.limits)
    }

    /// Returns when the version in force came into force.
    pub fn in_force_since(&self) -> Option<Instant> {
        *self.in_force_since.lock()
    }

    /// Returns the delta from version `base` to the version in force, or the whole version
    /// if `base` is no longer kept. Returns nothing if no version is in force.
    pub fn since(&self, base: u64) -> Option<Delta> {
        let table = self.current()?;
        let recent = self.recent.lock();
        let base = recent.iter().find(|past| past.version == base);
        Some(table.delta_since(base.map(AsRef::as_ref)))
    }

    /// Puts a version in force.
    pub fn put(&self, table: Table) {
        let table = Arc::new(table);
        self.current.store(Some(table.clone()));
        *self.in_force_since.lock() = Some(Instant::now());
        let mut recent = self.recent.lock();
        recent.push_back(table);
        if recent.len() > MAX_PAST_VERSIONS {
            recent.pop_front();
        }
    }
}
