//! Roll-outs at one node: to which targets a request may go, by their release, and the trial
//! of this node's target.
//!
//! * [`local`]: receives roll-outs and applies them to this node's target;
//! * [`controller`]: advances roll-outs, at the nodes that read the store.

pub mod controller;
pub mod local;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::decision::rollout::{
        canary::{self, Budget},
        trial::{self, Baseline, Trial},
    },
    id::{Instance, Name, Node, Release},
    state::{
        member::{Member, Table, Target, Verdict},
        rollout::{Latest, Role, Rollout, Stage},
    },
};

/// A subset of a service's targets to which a request may go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subset {
    /// All targets.
    All,
    /// The targets of one release, and those that name no release.
    Release(Release),
    /// The targets on trial, which are beside these nodes.
    Trial(Vec<Node>),
}

impl Subset {
    /// Returns whether a member's target of `service` is in the subset.
    pub fn admits(&self, member: &Member, service: &Name) -> bool {
        match self {
            Self::All => true,
            Self::Trial(nodes) => nodes.contains(&member.node),
            Self::Release(release) => {
                let target = member.target(service);
                let of_target = target.and_then(|target| target.release.as_ref());
                of_target.is_none_or(|of_target| of_target == release)
            }
        }
    }
}

/// The roll-outs that a node knows of.
#[derive(Debug)]
pub struct Rollouts {
    /// The share of a service's requests that may reach a release that proves bad; `None` if
    /// roll-outs are disabled.
    share: Option<f64>,
    state: Mutex<State>,
    /// Wakes the task that advances roll-outs.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    latest: Latest,
    /// When the latest roll-out of each service, and its stage, became known.
    times: BTreeMap<Name, Times>,
    budget: Budget,
    baseline: Baseline,
    /// Services whose latest stage has to be published once more.
    republish: Vec<Name>,
    /// The trial of this node's target, with the id of the order and the target's instance.
    trial: Option<(u64, Instance, Trial)>,
}

impl State {
    /// Returns the roll-out of a service while its new release gets a share of the requests,
    /// or all, and can still be rolled back.
    fn evaluated(&self, service: &Name) -> Option<&Rollout> {
        let rollout = self.latest.get(service);
        rollout.filter(|rollout| matches!(rollout.stage, Stage::Trial | Stage::Moving))
    }
}

/// A roll-out with its age and the time in its stage.
#[derive(Clone, Debug)]
pub struct Tracked {
    /// The roll-out and its stage.
    pub rollout: Rollout,
    /// The time since the order was given, as far as this node knows.
    pub age: Duration,
    /// The time since this node learned of the stage.
    pub in_stage: Duration,
}

/// When a roll-out and its stage became known.
#[derive(Clone, Copy, Debug)]
struct Times {
    order: u64,
    ordered_at: Instant,
    stage_at: Instant,
}

/// A response of a target, as evidence about its release.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The route of the request.
    pub route: &'a Name,
    /// Whether the target reported a failure.
    pub is_fault: bool,
    /// The run time.
    pub run_time: Duration,
    /// The usual run time, if it is known.
    pub usual_run_time: Option<Duration>,
}

impl Answer<'_> {
    fn is_bad(&self) -> bool {
        trial::is_bad(self.is_fault, self.run_time, self.usual_run_time)
    }
}

impl Rollouts {
    /// Returns an instance without roll-outs. Without a `share`, roll-outs are disabled and all
    /// releases are treated alike.
    pub fn new(share: Option<f64>) -> Self {
        Self {
            share,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Merges a roll-out that was received; returns whether its order or stage is newer than
    /// the one known before.
    ///
    /// `age` is the time since the order was given, as far as is known.
    pub fn merge(&self, received: Rollout, age: Duration, now: Instant) -> bool {
        if self.share.is_none() {
            return false;
        }
        let mut state = self.state.lock();
        let (service, order, stage) = (received.service.clone(), received.order, received.stage);
        if !state.latest.merge(received) {
            let known = state.latest.get(&service);
            let is_late = known.is_some_and(|known| {
                known.stage.is_final() && (order, stage) < (known.order, known.stage)
            });
            if is_late && !state.republish.contains(&service) {
                state.republish.push(service);
                self.changed.notify_one();
            }
            return false;
        }
        let known = state
            .times
            .get(&service)
            .filter(|known| known.order == order);
        let ordered_at = match known {
            Some(known) => known.ordered_at,
            None => now.checked_sub(age).unwrap_or(now),
        };
        let times = Times {
            order,
            ordered_at,
            stage_at: now,
        };
        state.times.insert(service, times);
        drop(state);
        self.changed.notify_one();
        true
    }

    /// Records which stage of a service's roll-out the store has as its newest. If a later one is
    /// known, that has to be published once more.
    pub fn note_stored(&self, stored: &Rollout) {
        let mut state = self.state.lock();
        let known = state.latest.get(&stored.service);
        let is_older = known.is_some_and(|known| stored.rank() < known.rank());
        if is_older && !state.republish.contains(&stored.service) {
            state.republish.push(stored.service.clone());
            self.changed.notify_one();
        }
    }

    /// Returns the latest roll-out of each service.
    pub fn latest(&self) -> Vec<Rollout> {
        self.state.lock().latest.iter().cloned().collect()
    }

    /// Returns the roll-outs that have to be published once more, and clears their list.
    ///
    /// They are those whose newest record in the store has an earlier stage, and the ended ones
    /// for which an earlier stage was received from any source. A partitioned node wrote that
    /// stage late, or the store executed its write late, and a node that starts would read it as
    /// the last one.
    pub fn due_for_republish(&self) -> Vec<Rollout> {
        let mut state = self.state.lock();
        let services = std::mem::take(&mut state.republish);
        let rollouts = services
            .iter()
            .filter_map(|service| state.latest.get(service));
        rollouts.cloned().collect()
    }

    /// Schedules the latest stage of a roll-out to be published once more.
    pub fn republish(&self, service: &Name) {
        self.state.lock().republish.push(service.clone());
        self.changed.notify_one();
    }

    /// Returns the latest roll-out of each service, with its age and the time in its stage.
    pub fn tracked(&self, now: Instant) -> Vec<Tracked> {
        let state = self.state.lock();
        let tracked = state.latest.iter().filter_map(|rollout| {
            let times = state.times.get(&rollout.service)?;
            Some(Tracked {
                rollout: rollout.clone(),
                age: now - times.ordered_at,
                in_stage: now - times.stage_at,
            })
        });
        tracked.collect()
    }

    /// Returns the subsets of a service's targets to which a request may go, in order of
    /// preference. `may_try` states whether the request may go to a target on trial.
    ///
    /// If the first subset is a trial, the request is taken from the trial's budget.
    pub fn subsets(&self, service: &Name, table: &Table, may_try: bool) -> [Option<Subset>; 2] {
        let Some(share) = self.share else {
            return [Some(Subset::All), None];
        };
        let mut state = self.state.lock();
        let Some(rollout) = state.latest.get(service) else {
            return [Some(without_order(service, table)), None];
        };
        let from = rollout.from.clone().map(Subset::Release);
        let to = || Some(Subset::Release(rollout.to.clone()));
        match rollout.stage {
            Stage::Completed => [to(), None],
            Stage::Moving => [to(), from],
            Stage::Trial if may_try => {
                let rollout = rollout.clone();
                if !state.budget.spend(service) {
                    return [from, None];
                }
                drop(state);
                let nodes = canary::nodes(table, &rollout, share * canary::TRIAL_FRACTION);
                [Some(Subset::Trial(nodes)), from]
            }
            Stage::Ordered if from.is_none() => {
                let main = table.most_common_release(service, Some(&rollout.to));
                [main.cloned().map(Subset::Release), None]
            }
            Stage::Ordered | Stage::Trial | Stage::RolledBack => [from, None],
        }
    }

    /// Returns a request to the trial's budget, since no target of the subset was chosen.
    pub fn refund(&self, service: &Name) {
        self.state.lock().budget.refund(service);
    }

    /// Records how an attempt at a target of a service ended: whether the request arrived, and
    /// the response if there is one.
    pub fn record_attempt(
        &self,
        target: Option<&Target>,
        service: &Name,
        has_arrived: bool,
        answer: Option<&Answer<'_>>,
    ) {
        let Some(share) = self.share else { return };
        let mut state = self.state.lock();
        let release = target.and_then(|target| target.release.as_ref());
        let role = release.and_then(|release| state.latest.role(service, release));
        let open = state.latest.get(service).filter(|r| !r.stage.is_final());
        let is_new = open.is_some_and(|rollout| release == Some(&rollout.to));
        if has_arrived && open.is_some() {
            state.budget.add(service, share * canary::TRIAL_FRACTION);
        }
        if role == Some(Role::Canary) && !has_arrived {
            state.budget.refund(service);
        }
        if let Some(answer) = answer.filter(|_| !is_new) {
            state.baseline.record(answer.route, answer.is_bad());
        }
    }

    /// Returns whether a new release of a service gets a share of its requests, or all, and
    /// can still be rolled back.
    pub fn is_evaluating(&self, service: &Name) -> bool {
        self.share.is_some() && self.state.lock().evaluated(service).is_some()
    }

    /// Returns the share of bad responses on a route, as this node sees it of the serving
    /// releases.
    pub fn baseline(&self, route: &Name) -> f64 {
        match self.share {
            Some(_) => self.state.lock().baseline.share(route),
            None => 0.0,
        }
    }

    /// Forgets the routes that no longer exist.
    pub fn retain_routes(&self, exists: impl Fn(&Name) -> bool) {
        self.state.lock().baseline.retain(exists);
    }

    /// Returns which requests this node's target may get.
    pub fn role(&self, target: &Target, table: &Table) -> Role {
        let Some(release) = target.release.as_ref().filter(|_| self.share.is_some()) else {
            return Role::Serving;
        };
        let state = self.state.lock();
        let Some(rollout) = state.latest.get(&target.service) else {
            return match without_order(&target.service, table) {
                Subset::Release(main) if main != *release => Role::Excluded,
                _ => Role::Serving,
            };
        };
        let is_failing = target.is_failing(rollout.order) == Some(true);
        match rollout.role(release) {
            _ if is_failing && *release == rollout.to && !rollout.stage.is_final() => {
                Role::Excluded
            }
            role => role,
        }
    }

    /// Counts a response of this node's target towards the trial of its release, if there is
    /// one. `baseline` is the share of bad responses that the request's sender sees of the
    /// serving release.
    ///
    /// Returns the verdict on the target if it changed, with the numbers of all responses and
    /// of bad ones so far.
    pub fn assess(
        &self,
        target: &Target,
        answer: &Answer<'_>,
        baseline: f64,
    ) -> Option<(Verdict, (u32, u32))> {
        let release = target.release.as_ref().filter(|_| self.share.is_some())?;
        let mut state = self.state.lock();
        let rollout = state.evaluated(&target.service)?;
        if *release != rollout.to {
            return None;
        }
        let order = rollout.order;
        let is_current = |(of_order, instance, _): &mut (u64, Instance, Trial)| {
            *of_order == order && *instance == target.instance
        };
        if !state.trial.as_mut().is_some_and(is_current) {
            state.trial = Some((order, target.instance.clone(), Trial::default()));
        }
        let (_, _, trial) = state.trial.as_mut()?;
        let has_changed = trial.record(answer.route, baseline, answer.is_bad());
        let is_failing = trial.verdict().filter(|_| has_changed)?;
        Some((Verdict { order, is_failing }, trial.counts()))
    }
}

/// Returns the serving targets of a service for which no roll-out is known: those of the
/// release that most of the service's targets have. Targets of another release may already have
/// started, before this node learns of the order that names their release.
fn without_order(service: &Name, table: &Table) -> Subset {
    if !table.has_several_releases(service) {
        return Subset::All;
    }
    let main = table.most_common_release(service, None).cloned();
    main.map_or(Subset::All, Subset::Release)
}
