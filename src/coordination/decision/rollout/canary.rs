//! Which targets of a new release are on trial, and which requests they get.
//!
//! The share counts arrivals at targets, not requests: while a service is overloaded, the
//! targets of the serving release reject half of the requests sent to them, whereas those on
//! trial have free slots for all that they get. Each node keeps to the share on its own, so all
//! nodes together keep to it, too.

use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Name, Node},
    state::{
        member::{Member, Status, Table},
        rollout::Rollout,
    },
};

/// The fraction of the share that a new release may get during its trial. The rest is for
/// the time in which it has all requests and can still be rolled back: with a share of 0.1
/// and a duration of 16 s, that is 0.8 s of all requests.
pub const TRIAL_FRACTION: f64 = 0.5;

/// The greatest number of requests that a node can accumulate for a trial, so that a pause is
/// not followed by a burst.
const MAX_BUDGET: f64 = 2.0;

/// The least number of targets on trial. One target may fail for a reason other than its
/// release.
const MIN_TARGETS: usize = 2;

/// The requests that this node may still send to targets on trial, by service.
#[derive(Debug, Default)]
pub struct Budget {
    requests: HashMap<Name, f64>,
}

impl Budget {
    /// Adds the part of the budget that follows from one arrival at a target of a service;
    /// `share` of the arrivals may go to targets on trial.
    pub fn add(&mut self, service: &Name, share: f64) {
        let requests = self.requests.entry(service.clone()).or_default();
        *requests = (*requests + share).min(MAX_BUDGET);
    }

    /// Takes one request from the budget, to send it to a target on trial. Returns whether
    /// the budget allowed it.
    pub fn spend(&mut self, service: &Name) -> bool {
        let requests = self.requests.get_mut(service);
        let Some(requests) = requests.filter(|requests| **requests >= 1.0) else {
            return false;
        };
        *requests -= 1.0;
        true
    }

    /// Returns one request to the budget, since it did not arrive.
    pub fn refund(&mut self, service: &Name) {
        let requests = self.requests.entry(service.clone()).or_default();
        *requests = (*requests + 1.0).min(MAX_BUDGET);
    }
}

/// Returns the nodes whose targets are on trial; all nodes that know the same members agree
/// on them.
///
/// Their number is such that each target on trial has about the load of a serving target. If
/// the share were spread over all new targets, a release that fails only under load would
/// pass.
pub fn nodes(table: &Table, rollout: &Rollout, share: f64) -> Vec<Node> {
    let offers = table.providers(&rollout.service);
    let mut serving = 0;
    let mut candidates: Vec<(u64, &Arc<Member>)> = Vec::new();
    for member in offers {
        let Some(target) = member.target(&rollout.service) else {
            continue;
        };
        if target.release.as_ref() != Some(&rollout.to) {
            serving += 1;
            continue;
        }
        let is_failing = target.is_failing(rollout.order) == Some(true);
        if member.status == Status::Alive && !target.draining && !is_failing {
            let hashed = format!("{} {}", member.node, rollout.order);
            candidates.push((xxh3_64(hashed.as_bytes()), member));
        }
    }
    let count = (f64::from(serving) * share).ceil() as usize;
    candidates.sort_unstable_by_key(|(hash, _)| *hash);
    let chosen = candidates.into_iter().take(count.max(MIN_TARGETS));
    chosen.map(|(_, member)| member.node.clone()).collect()
}
