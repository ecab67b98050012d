//! Roll-outs: a service's requests move from targets of one release to those of another.
//!
//! An operator's order names the release that is to take over and how long that may take.
//! What becomes of an order is told from node to node as a [`Rollout`], whose [`Stage`] only
//! ever goes forward; a [`Book`] holds the latest of each service.
//!
//! ```
//! use rilltrack::{
//!     state::rollout::{Book, Rollout, Stage, Standing},
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
//! let mut book = Book::default();
//! book.merge(Rollout { stage: Stage::Trial, ..ordered.clone() });
//! assert!(!book.merge(ordered), "a stage never goes back");
//! assert_eq!(book.standing(&service, &new), Some(Standing::Trial));
//! assert_eq!(book.standing(&service, &old), Some(Standing::Serves));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Name, Release},
    unit::Span,
    words::words,
};

/// What became of an operator's order to move a service to another release.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: Name,
    /// The place of the order in the store; a later order has a greater one.
    pub order: u64,
    /// The release that serves until the other one takes over, if it is known.
    pub from: Option<Release>,
    /// The release that is to take over.
    pub to: Release,
    /// How long that may take, from the order on.
    pub duration: Span,
    /// How far it has come.
    pub stage: Stage,
    /// The time of day at which a node first heard of the order, in milliseconds since
    /// 1970: all that a node which starts anew has to tell how much of the time is left.
    pub began: u64,
}

/// How far a roll-out has come. Of two tellings of one order the later stage counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Stage {
    /// Ordered; targets of the new release get nothing yet.
    Ordered,
    /// A few of them get a small share of the requests.
    Trial,
    /// They get all, as long as the others are still there.
    Moving,
    /// The new release serves, for good.
    Completed,
    /// The new release gets nothing more, for good.
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

/// A text that is not a stage.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a stage: ordered, trial, moving, completed or rolled-back")]
pub struct Error(String);

impl Stage {
    /// Returns whether no other stage follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// What a target may be sent, by its release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Whatever its service gets.
    Serves,
    /// A small share of it.
    Trial,
    /// Nothing.
    Barred,
}

impl Rollout {
    /// Returns the release that serves for good, as far as this order decides it.
    pub fn serving(&self) -> Option<&Release> {
        match self.stage {
            Stage::Completed => Some(&self.to),
            _ => self.from.as_ref(),
        }
    }

    /// Returns what a target of `release` may be sent.
    pub fn standing(&self, release: &Release) -> Standing {
        if *release == self.to {
            return match self.stage {
                Stage::Ordered | Stage::RolledBack => Standing::Barred,
                Stage::Trial => Standing::Trial,
                Stage::Moving | Stage::Completed => Standing::Serves,
            };
        }
        let is_left_behind = self.stage == Stage::Completed;
        let is_of_another = self.from.as_ref().is_some_and(|from| from != release);
        if is_left_behind || is_of_another {
            Standing::Barred
        } else {
            Standing::Serves
        }
    }

    fn rank(&self) -> (u64, Stage) {
        (self.order, self.stage)
    }
}

/// The latest roll-out of each service.
#[derive(Clone, Debug, Default)]
pub struct Book {
    rollouts: BTreeMap<Name, Rollout>,
}

impl Book {
    /// Takes in what became of an order, if it is later than what is held.
    ///
    /// Returns whether it was.
    pub fn merge(&mut self, mut told: Rollout) -> bool {
        if let Some(held) = self.rollouts.get(&told.service) {
            let is_final_already = held.order == told.order && held.stage.is_final();
            if is_final_already || held.rank() >= told.rank() {
                return false;
            }
            if told.from.is_none() {
                told.from = match held.order == told.order {
                    true => held.from.clone(),
                    false => held.serving().cloned(),
                };
            }
        }
        self.rollouts.insert(told.service.clone(), told);
        true
    }

    /// Returns the latest roll-out of a service.
    pub fn get(&self, service: &Name) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns what a target of a service may be sent, by its release; nothing where no
    /// order was ever heard of.
    pub fn standing(&self, service: &Name, release: &Release) -> Option<Standing> {
        self.get(service).map(|rollout| rollout.standing(release))
    }

    /// Returns the latest roll-outs of all services.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }
}
