//! Roll-outs at one node: which targets a request may go to, by their release, and how the
//! target here does while its release is on trial.
//!
//! * [`here`]: what that means for the target on this host;
//! * [`duty`]: carries orders out, at the nodes that read the store.

pub mod duty;
pub mod here;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::decision::rollout::{
        deal::{self, Deal},
        trial::{self, Trial, Usual},
    },
    id::{Instance, Name, Node, Release},
    state::{
        member::{Member, Table, Target, Verdict},
        rollout::{Book, Rollout, Stage, Standing},
    },
};

/// Which targets of a service a request may go to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lane {
    /// All.
    All,
    /// Those of one release.
    Release(Release),
    /// Those beside these nodes, which are on trial.
    Trial(Vec<Node>),
}

impl Lane {
    /// Returns whether a member's target of `service` is among them.
    pub fn admits(&self, member: &Member, service: &Name) -> bool {
        match self {
            Self::All => true,
            Self::Trial(nodes) => nodes.contains(&member.node),
            Self::Release(release) => {
                let target = member.target(service);
                let offered = target.and_then(|target| target.release.as_ref());
                offered.is_none_or(|offered| offered == release)
            }
        }
    }
}

/// What a node knows of roll-outs.
#[derive(Debug)]
pub struct Rollouts {
    /// The share of a service's requests that may reach a release which proves bad;
    /// nothing where there are no roll-outs.
    share: Option<f64>,
    state: Mutex<State>,
    /// Wakes the duty that carries orders out.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    book: Book,
    /// Since when each roll-out is known, and its stage.
    since: BTreeMap<Name, Since>,
    deal: Deal,
    usual: Usual,
    /// Roll-outs that have ended, and of which an earlier stage was told afterwards.
    overtaken: Vec<Name>,
    /// The trial of the target here.
    trial: Option<(u64, Instance, Trial)>,
}

impl State {
    /// Returns the roll-out in which a release of a service is being tried.
    fn tried(&self, service: &Name) -> Option<&Rollout> {
        let rollout = self.book.get(service);
        rollout.filter(|rollout| matches!(rollout.stage, Stage::Trial | Stage::Moving))
    }
}

/// A roll-out and how long it has been known.
#[derive(Clone, Debug)]
pub struct Known {
    /// What became of the order.
    pub rollout: Rollout,
    /// How long ago it was given.
    pub age: Duration,
    /// How long it has been in its stage.
    pub in_stage: Duration,
}

/// When a roll-out was heard of.
#[derive(Clone, Copy, Debug)]
struct Since {
    order: u64,
    ordered: Instant,
    stage: Instant,
}

/// An answer of a target, as it is weighed.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Its route.
    pub route: &'a Name,
    /// Whether the target says that it failed.
    pub is_fault: bool,
    /// How long it took.
    pub ran: Duration,
    /// How long targets usually take, as far as is known.
    pub usual: Option<Duration>,
}

impl Answer<'_> {
    fn is_bad(&self) -> bool {
        trial::is_bad(self.is_fault, self.ran, self.usual)
    }
}

impl Rollouts {
    /// Returns a state that knows of no order. Without a `share` there are no roll-outs, and
    /// releases are not told apart.
    pub fn new(share: Option<f64>) -> Self {
        Self {
            share,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Takes in what became of an order; returns whether that is news.
    ///
    /// `age` is how long ago it was given, as far as is known.
    pub fn take(&self, told: Rollout, age: Duration, now: Instant) -> bool {
        if self.share.is_none() {
            return false;
        }
        let mut state = self.state.lock();
        let (service, order, stage) = (told.service.clone(), told.order, told.stage);
        if !state.book.merge(told) {
            let held = state.book.get(&service);
            let is_overtaken = held.is_some_and(|held| {
                held.stage.is_final() && (order, stage) < (held.order, held.stage)
            });
            if is_overtaken && !state.overtaken.contains(&service) {
                state.overtaken.push(service);
                self.changed.notify_one();
            }
            return false;
        }
        let held = state.since.get(&service).filter(|held| held.order == order);
        let ordered = match held {
            Some(held) => held.ordered,
            None => now.checked_sub(age).unwrap_or(now),
        };
        let since = Since {
            order,
            ordered,
            stage: now,
        };
        state.since.insert(service, since);
        drop(state);
        self.changed.notify_one();
        true
    }

    /// Returns what became of the latest order of each service.
    pub fn all(&self) -> Vec<Rollout> {
        self.state.lock().book.iter().cloned().collect()
    }

    /// Returns, once each, the roll-outs that have ended and of which an earlier stage was
    /// told afterwards: a node that was cut off wrote late, and whoever starts anew would
    /// read that last.
    pub fn overtaken(&self) -> Vec<Rollout> {
        let mut state = self.state.lock();
        let services = std::mem::take(&mut state.overtaken);
        let held = services
            .iter()
            .filter_map(|service| state.book.get(service));
        held.cloned().collect()
    }

    /// Notes that the end of a roll-out is to be told again.
    pub fn retell(&self, service: &Name) {
        self.state.lock().overtaken.push(service.clone());
        self.changed.notify_one();
    }

    /// Returns the latest roll-outs.
    pub fn known(&self, now: Instant) -> Vec<Known> {
        let state = self.state.lock();
        let aged = state.book.iter().filter_map(|rollout| {
            let since = state.since.get(&rollout.service)?;
            Some(Known {
                rollout: rollout.clone(),
                age: now - since.ordered,
                in_stage: now - since.stage,
            })
        });
        aged.collect()
    }

    /// Returns which targets of a service a request may go to, the first choice first.
    ///
    /// Where the first is a trial, it is counted as one request of the trial's share.
    pub fn lanes(&self, service: &Name, table: &Table, may_try: bool) -> [Option<Lane>; 2] {
        let Some(share) = self.share else {
            return [Some(Lane::All), None];
        };
        let mut state = self.state.lock();
        let Some(rollout) = state.book.get(service) else {
            return [Some(unordered(service, table)), None];
        };
        let from = rollout.from.clone().map(Lane::Release);
        let to = || Some(Lane::Release(rollout.to.clone()));
        match rollout.stage {
            Stage::Completed => [to(), None],
            Stage::Moving => [to(), from],
            Stage::Trial if may_try => {
                let rollout = rollout.clone();
                if !state.deal.take(service) {
                    return [from, None];
                }
                drop(state);
                let nodes = deal::tried(table, &rollout, share * deal::PART);
                [Some(Lane::Trial(nodes)), from]
            }
            Stage::Ordered if from.is_none() => {
                let main = table.main_release(service, Some(&rollout.to));
                [main.cloned().map(Lane::Release), None]
            }
            Stage::Ordered | Stage::Trial | Stage::RolledBack => [from, None],
        }
    }

    /// Notes that a lane which was counted as a trial was not taken.
    pub fn give_back(&self, service: &Name) {
        self.state.lock().deal.give_back(service);
    }

    /// Notes how a try at a target of a service ended: whether it arrived, and its answer if
    /// there is one.
    pub fn note_try(
        &self,
        target: Option<&Target>,
        service: &Name,
        has_arrived: bool,
        answer: Option<&Answer<'_>>,
    ) {
        let Some(share) = self.share else { return };
        let mut state = self.state.lock();
        let release = target.and_then(|target| target.release.as_ref());
        let standing = release.and_then(|release| state.book.standing(service, release));
        let open = state.book.get(service).filter(|r| !r.stage.is_final());
        let is_new = open.is_some_and(|rollout| release == Some(&rollout.to));
        if has_arrived && open.is_some() {
            state.deal.arrive(service, share * deal::PART);
        }
        if standing == Some(Standing::Trial) && !has_arrived {
            state.deal.give_back(service);
        }
        if let Some(answer) = answer.filter(|_| !is_new) {
            state.usual.note(answer.route, answer.is_bad());
        }
    }

    /// Returns whether a release of a service is being tried, with a share of its requests
    /// or with all.
    pub fn is_trying(&self, service: &Name) -> bool {
        self.share.is_some() && self.state.lock().tried(service).is_some()
    }

    /// Returns the share of bad answers that this node sees on a route of the releases that
    /// serve.
    pub fn usual(&self, route: &Name) -> f64 {
        match self.share {
            Some(_) => self.state.lock().usual.share(route),
            None => 0.0,
        }
    }

    /// Forgets the routes that are gone.
    pub fn retain(&self, is_there: impl Fn(&Name) -> bool) {
        self.state.lock().usual.retain(is_there);
    }

    /// Returns what the target here may be sent.
    pub fn standing(&self, target: &Target, table: &Table) -> Standing {
        let Some(release) = target.release.as_ref().filter(|_| self.share.is_some()) else {
            return Standing::Serves;
        };
        let state = self.state.lock();
        let Some(rollout) = state.book.get(&target.service) else {
            return match unordered(&target.service, table) {
                Lane::Release(main) if main != *release => Standing::Barred,
                _ => Standing::Serves,
            };
        };
        let is_failing = target.is_failing(rollout.order) == Some(true);
        match rollout.standing(release) {
            _ if is_failing && *release == rollout.to && !rollout.stage.is_final() => {
                Standing::Barred
            }
            standing => standing,
        }
    }

    /// Weighs an answer of the target here, against the share of bad ones that its sender
    /// sees usually, where its release is on trial.
    ///
    /// Returns the verdict on it if that changed, with the answers so far and the bad ones.
    pub fn weigh(
        &self,
        target: &Target,
        answer: &Answer<'_>,
        usual: f64,
    ) -> Option<(Verdict, (u32, u32))> {
        let release = target.release.as_ref().filter(|_| self.share.is_some())?;
        let mut state = self.state.lock();
        let rollout = state.tried(&target.service)?;
        if *release != rollout.to {
            return None;
        }
        let order = rollout.order;
        let is_same = |(held, instance, _): &mut (u64, Instance, Trial)| {
            *held == order && *instance == target.instance
        };
        if !state.trial.as_mut().is_some_and(is_same) {
            state.trial = Some((order, target.instance.clone(), Trial::default()));
        }
        let (_, _, trial) = state.trial.as_mut()?;
        let changed = trial.note(answer.route, usual, answer.is_bad());
        let is_failing = trial.verdict().filter(|_| changed)?;
        Some((Verdict { order, is_failing }, trial.answers()))
    }
}

/// Returns the targets of a service that serve while no order was ever heard of: those of
/// the release that most are of. Targets of another one may stand there before the order
/// which names them has come here.
fn unordered(service: &Name, table: &Table) -> Lane {
    if !table.has_releases(service) {
        return Lane::All;
    }
    let main = table.main_release(service, None).cloned();
    main.map_or(Lane::All, Lane::Release)
}
