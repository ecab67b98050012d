//! Which failure domains are drained, as this node knows it.
//!
//! Orders are among the records of the routes. The reader of a failure domain sends them on with
//! those; besides, every check between two nodes carries the latest ones, so a node that the
//! store turns away or that missed the reader's message learns of them within a second or two.

use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::{
    event::{Event, Journal},
    journal::note,
    state::drain::{Drain, Drains},
};

/// The drains, shared by the tasks that apply and check them.
#[derive(Debug, Default)]
pub struct SharedDrains {
    current: ArcSwap<Drains>,
    /// Held while the current state is replaced.
    merging: Mutex<()>,
}

impl SharedDrains {
    /// Returns the current state.
    pub fn current(&self) -> Arc<Drains> {
        self.current.load_full()
    }

    /// Returns the latest order about each failure domain that was ever drained.
    pub fn latest(&self) -> Vec<Drain> {
        self.current.load().iter().cloned().collect()
    }

    /// Returns the drains that are over, given all that are `active` in the store up to `next`.
    pub fn ended(&self, active: &[Drain], next: u64) -> Vec<Drain> {
        self.current.load().ended(active, next)
    }

    /// Merges orders, and returns those that were new; `from` names their source in the log.
    pub fn receive(&self, received: Vec<Drain>, from: &str, journal: &Journal) -> Vec<Drain> {
        if received.is_empty() {
            return received;
        }
        let _merging = self.merging.lock();
        let mut drains = Drains::clone(&self.current.load());
        let is_new = |drain: &Drain| drains.merge(drain.clone());
        let changed: Vec<Drain> = received.into_iter().filter(is_new).collect();
        for drain in &changed {
            note!(
                journal,
                Event::DomainDrained,
                domain = drain.domain,
                order = drain.order,
                is_active = drain.is_active,
                from = from
            );
        }
        self.current.store(Arc::new(drains));
        changed
    }
}
