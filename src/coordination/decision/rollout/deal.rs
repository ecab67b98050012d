//! Which requests a release on trial gets.
//!
//! The share is one of arrivals at targets, not of requests: while a service is
//! overloaded, half of what is sent to the release that serves is turned away, where the
//! release on trial has room for all that it gets. Each node holds to the share by itself,
//! and so does their sum.

use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Name, Node},
    state::{
        member::{Member, Status, Table},
        rollout::Rollout,
    },
};

/// The part of the share that may reach a new release in all which is dealt to it on trial.
/// The rest is for the time in which it has all requests and can still be taken back: at a
/// share of a tenth and 16 s, 0.8 s of all requests.
pub const PART: f64 = 0.5;

/// Requests that a node may be behind with, so that a pause is not followed by a burst.
const MOST_CREDIT: f64 = 2.0;

/// Targets on trial at the least: one may fail for a reason of its own.
const LEAST: usize = 2;

/// Requests that this node may still send to releases on trial, by service.
#[derive(Debug, Default)]
pub struct Deal {
    credit: HashMap<Name, f64>,
}

impl Deal {
    /// Notes that a request arrived at a target of a service, which has `share` of them
    /// on trial.
    pub fn arrive(&mut self, service: &Name, share: f64) {
        let credit = self.credit.entry(service.clone()).or_default();
        *credit = (*credit + share).min(MOST_CREDIT);
    }

    /// Returns whether the next request goes to the release on trial, and counts it.
    pub fn take(&mut self, service: &Name) -> bool {
        let credit = self.credit.get_mut(service);
        let Some(credit) = credit.filter(|credit| **credit >= 1.0) else {
            return false;
        };
        *credit -= 1.0;
        true
    }

    /// Notes that a request which was counted did not arrive.
    pub fn give_back(&mut self, service: &Name) {
        let credit = self.credit.entry(service.clone()).or_default();
        *credit = (*credit + 1.0).min(MOST_CREDIT);
    }
}

/// Returns the nodes whose targets are tried, the same ones at every node that knows the
/// same members: so many that each has about the load of a target which serves. Spread over
/// all new targets, a release that fails only under load would never show it.
pub fn tried(table: &Table, rollout: &Rollout, share: f64) -> Vec<Node> {
    let offers = table.offers(&rollout.service);
    let mut serving = 0;
    let mut new: Vec<(u64, &Arc<Member>)> = Vec::new();
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
            let mark = format!("{} {}", member.node, rollout.order);
            new.push((xxh3_64(mark.as_bytes()), member));
        }
    }
    let count = (f64::from(serving) * share).ceil() as usize;
    new.sort_unstable_by_key(|(mark, _)| *mark);
    let tried = new.into_iter().take(count.max(LEAST));
    tried.map(|(_, member)| member.node.clone()).collect()
}
