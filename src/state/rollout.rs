//! Roll-outs: the requests of a service move from the targets of one release to those of
//! another.
//!
//! An operator's order names the new release and how long the roll-out may take. Nodes send the
//! state of a roll-out to each other as a [`Rollout`], whose [`Stage`] only moves forward.
//! [`Latest`] holds the latest roll-out of each service.
//!
//! ```
//! use rilltrack::{
//!     state::rollout::{Latest, Role, Rollout, Stage},
//!     unit::Span,
//! };
//!
//! let service = "ledger".parse()?;
//! let (old, new) = ("v1".parse()?, "v2".parse()?);
//! let ordered = Rollout {
//!     service: "ledger".parse()?,
//!     order: 7,
//!     from: Some("v1".parse()?),
//!     to: "v2".parse()?,
//!     duration: Span::from_secs(12),
//!     stage: Stage::Ordered,
//!     began: 1_791_758_000_000,
//! };
//! let mut latest = Latest::default();
//! latest.merge(Rollout { stage: Stage::Trial, ..ordered.clone() });
//! assert!(!latest.merge(ordered), "an earlier stage is ignored");
//! assert_eq!(latest.role(&service, &new), Some(Role::Canary));
//! assert_eq!(latest.role(&service, &old), Some(Role::Serving));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Name, Release},
    unit::Span,
    words::words,
};

/// A roll-out: an operator's order to move a service to another release, and the stage that was
/// reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: Name,
    /// The id of the order: its offset in the store. A later order has a greater offset.
    pub order: u64,
    /// The serving release, which serves until the new one does, if it is known.
    pub from: Option<Release>,
    /// The new release.
    pub to: Release,
    /// How long the roll-out may take, from the time of the order.
    pub duration: Span,
    /// The stage that the roll-out has reached.
    pub stage: Stage,
    /// The wall-clock time at which a node first read the order, in milliseconds since 1970.
    /// A node that has just started knows the remaining time only from this.
    pub began: u64,
}

/// The stage of a roll-out. Of two stages of one order the later one applies; a final stage
/// is never replaced.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Stage {
    /// The order is known; targets of the new release get no requests yet.
    Ordered,
    /// A few targets of the new release get a small share of the requests.
    Trial,
    /// Targets of the new release get all requests. Targets of the release that served before
    /// still run, as a fallback and for a rollback.
    Moving,
    /// Final: the new release serves.
    Completed,
    /// Final: the new release gets no requests.
    RolledBack,
}

words! {
    Stage, Error = Error,
    Ordered: "ordered",
    Trial: "trial",
    Moving: "moving",
    Completed: "completed",
    RolledBack: "rolled-back",
}

/// The error for a text that names no stage.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a stage: ordered, trial, moving, completed or rolled-back")]
pub struct Error(String);

impl Stage {
    /// Returns whether no other stage follows this one.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// Which requests a target may get, by its release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Any request for its service.
    Serving,
    /// A small share of the requests for its service: the target is on trial.
    Canary,
    /// No requests.
    Excluded,
}

impl Rollout {
    /// Returns the release that serves if this roll-out goes no further: the new one once the
    /// roll-out is completed; before that, the one that it replaces, if that is known.
    pub fn serving(&self) -> Option<&Release> {
        match self.stage {
            Stage::Completed => Some(&self.to),
            _ => self.from.as_ref(),
        }
    }

    /// Returns which requests a target of `release` may get.
    pub fn role(&self, release: &Release) -> Role {
        if *release == self.to {
            return match self.stage {
                Stage::Ordered | Stage::RolledBack => Role::Excluded,
                Stage::Trial => Role::Canary,
                Stage::Moving | Stage::Completed => Role::Serving,
            };
        }
        let is_replaced = self.stage == Stage::Completed;
        let is_unrelated = self.from.as_ref().is_some_and(|from| from != release);
        if is_replaced || is_unrelated {
            Role::Excluded
        } else {
            Role::Serving
        }
    }

    /// Returns the sort key of this roll-out: of two roll-outs of a service, the later one has
    /// the greater key.
    pub fn rank(&self) -> (u64, Stage) {
        (self.order, self.stage)
    }
}

/// The latest roll-out of each service.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    rollouts: BTreeMap<Name, Rollout>,
}

impl Latest {
    /// Replaces the roll-out of a service by a received one if that is later: if it has a
    /// later order, or the same order at a later stage while the known stage is not final.
    ///
    /// Returns whether it was later.
    pub fn merge(&mut self, mut received: Rollout) -> bool {
        if let Some(known) = self.rollouts.get(&received.service) {
            let is_final_already = known.order == received.order && known.stage.is_final();
            if is_final_already || known.rank() >= received.rank() {
                return false;
            }
            if received.from.is_none() {
                received.from = match known.order == received.order {
                    true => known.from.clone(),
                    false => known.serving().cloned(),
                };
            }
        }
        self.rollouts.insert(received.service.clone(), received);
        true
    }

    /// Returns the latest roll-out of a service.
    pub fn get(&self, service: &Name) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns which requests a target of a service may get, by its release, or `None` if no
    /// roll-out of the service is known.
    pub fn role(&self, service: &Name, release: &Release) -> Option<Role> {
        self.get(service).map(|rollout| rollout.role(release))
    }

    /// Returns the latest roll-outs of all services, in order of the services' names.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }
}
