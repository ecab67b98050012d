//! The target on this host: its announced state, and the drain acknowledged to it.
//!
//! An acknowledged drain must survive a crash of this process. So a change that the
//! target announces is written to the store before it is acknowledged, and a new
//! incarnation of this node reads it from there before it opens the gate.

use std::time::Instant;

use crate::{
    coordination::gate,
    id::Instance,
    protocol::announce::Heartbeat,
    state::member::{Member, Target, Verdict},
    unit::Span,
};

/// Consecutive heartbeats that may be missing before a target is considered gone. Single
/// heartbeats are often late, and a wrong decision takes a working target out of use.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Former instances that are remembered, so that their late heartbeats are recognized.
/// A host restarts its target once in minutes.
const MAX_FORMER_INSTANCES: usize = 8;

/// The state of the target on this host.
#[derive(Debug)]
pub struct Local {
    heartbeat_interval: Span,
    is_restored: bool,
    current: Option<Current>,
    former: Vec<Former>,
}

/// An instance that was replaced by another one, or that left.
#[derive(Clone, Debug)]
struct Former {
    instance: Instance,
    /// Whether it announced that it leaves. If so, it never returns. An instance that was
    /// only replaced may return: a late heartbeat of an older instance may have replaced
    /// it.
    has_left: bool,
}

/// The latest instance. It is considered running while `last_heartbeat` is set.
#[derive(Clone, Debug)]
struct Current {
    target: Target,
    /// The highest sequence number of its heartbeats.
    sequence: u64,
    /// When its last heartbeat arrived. None if it is considered gone.
    last_heartbeat: Option<Instant>,
    /// When it has warmed up; `None` if that isn't known.
    warm_at: Option<Instant>,
}

impl Current {
    fn restored(target: Target, now: Instant) -> Self {
        Self {
            target,
            sequence: 0,
            last_heartbeat: Some(now),
            warm_at: None,
        }
    }

    /// Merges a record of the same instance.
    fn merge(&mut self, recorded: &Target) {
        self.target.draining |= recorded.draining;
        self.target.verdict = self.target.verdict.or(recorded.verdict);
    }
}

/// The effect of a message from the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing changed that other nodes need to know.
    Nothing,
    /// The state that this node publishes changed. It must be written to the store
    /// before the message is acknowledged.
    Publish,
}

impl Local {
    /// Returns the state without a target. Targets send heartbeats at the given interval.
    pub fn new(heartbeat_interval: Span) -> Self {
        Self {
            heartbeat_interval,
            is_restored: false,
            current: None,
            former: Vec::new(),
        }
    }

    /// Sets the interval at which targets send heartbeats.
    pub fn set_heartbeat(&mut self, interval: Span) {
        self.heartbeat_interval = interval;
    }

    /// Merges the record that an earlier incarnation of this node wrote to the store, if
    /// there is one.
    ///
    /// A recorded target that is not draining is treated as if its heartbeat had arrived
    /// now. Most incarnations of this node end before their target does, and waiting for
    /// the next heartbeat would leave a working target unused for a second. If the target
    /// is gone, or another instance runs at its address, requests to it fail as not run
    /// and [`Local::mark_unreachable`] closes the gate.
    pub fn restore(&mut self, recorded: Option<&Member>, now: Instant) {
        if std::mem::replace(&mut self.is_restored, true) {
            return;
        }
        let Some(target) = recorded.and_then(|member| member.targets.first()) else {
            return;
        };
        match &mut self.current {
            Some(current) if current.target.instance.may_match(&target.instance) => {
                current.merge(target);
            }
            // The heartbeat received since the start was a late one of an older instance.
            Some(current) if current.target.instance.is_before(&target.instance) => {
                self.replace(Some(Current::restored(target.clone(), now)));
            }
            Some(_) => self.retire(target.instance.clone(), target.draining),
            None => {
                // The leave may have named the instance by its id alone, without its start.
                let mut former = self.former.iter();
                let has_left = former.any(|f| f.instance.may_match(&target.instance));
                let mut target = target.clone();
                target.draining |= has_left;
                self.current = Some(Current::restored(target, now));
            }
        }
    }

    /// Merges a later record of an earlier incarnation of this node, which became known after
    /// [`restore`](Self::restore). Only what is final counts: that the target leaves, and the
    /// verdict on it.
    pub fn merge_later_record(&mut self, recorded: &Member) {
        let Some(target) = recorded.targets.first() else {
            return;
        };
        match &mut self.current {
            Some(current) if current.target.instance.may_match(&target.instance) => {
                current.merge(target);
            }
            _ if target.draining => self.retire(target.instance.clone(), true),
            _ => {}
        }
    }

    /// Applies a heartbeat, and returns its effect.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> Change {
        // A target that reports its start time does so in every heartbeat. A heartbeat
        // without one comes from another sender.
        let has_start_time = |instance: &Instance| instance.born().is_some();
        let current = self.current.as_ref().map(|c| &c.target.instance);
        if current.is_some_and(has_start_time) && !has_start_time(&heartbeat.instance) {
            return Change::Nothing;
        }
        // A restarted node knows former instances only from the heartbeats that it
        // receives. A heartbeat delayed by a network partition may come from an instance
        // that has crashed since, and must not displace the running one.
        let running = self.current.as_ref().filter(|c| c.last_heartbeat.is_some());
        let running = running.map(|current| &current.target.instance);
        // Instances run one after the other, so the one that started first has ended. An
        // older start time is accepted only when no instance sends heartbeats: the clock
        // may have stepped back, and the target would stay rejected forever.
        if running.is_some_and(|running| heartbeat.instance.is_before(running)) {
            return Change::Nothing;
        }
        let may_be_older = running.is_some_and(|running| !running.is_before(&heartbeat.instance));
        match self.former(&heartbeat.instance) {
            Some(former) if former.has_left || may_be_older => return Change::Nothing,
            Some(_) => self.former.retain(|f| f.instance != heartbeat.instance),
            None => {}
        }
        let announced = Target {
            service: heartbeat.service.clone(),
            address: heartbeat.address,
            http2: false,
            draining: heartbeat.draining,
            slots: heartbeat.slots,
            instance: heartbeat.instance.clone(),
            release: heartbeat.release.clone(),
            verdict: None,
        };
        match &mut self.current {
            Some(current) if current.target.instance.may_match(&heartbeat.instance) => {
                current.last_heartbeat = Some(now);
                if heartbeat.sequence < current.sequence {
                    return Change::Nothing;
                }
                current.sequence = heartbeat.sequence;
                current.warm_at = Some(now + heartbeat.warmup.duration());
                let announced = Target {
                    // A drain is final; a late heartbeat does not revoke it.
                    draining: announced.draining || current.target.draining,
                    verdict: current.target.verdict,
                    ..announced
                };
                let has_changed = current.target != announced;
                current.target = announced;
                if has_changed {
                    Change::Publish
                } else {
                    Change::Nothing
                }
            }
            _ => {
                self.replace(Some(Current {
                    target: announced,
                    sequence: heartbeat.sequence,
                    last_heartbeat: Some(now),
                    warm_at: Some(now + heartbeat.warmup.duration()),
                }));
                Change::Publish
            }
        }
    }

    /// Records that an instance has left or is about to leave, and returns the effect.
    pub fn leave(&mut self, instance: &Instance) -> Change {
        match &mut self.current {
            Some(current) if current.target.instance.may_match(instance) => {
                let was_draining = std::mem::replace(&mut current.target.draining, true);
                if was_draining {
                    Change::Nothing
                } else {
                    Change::Publish
                }
            }
            // Another instance, or one unknown to this incarnation of the node: a late
            // heartbeat of it must not open the gate.
            _ => {
                self.retire(instance.clone(), true);
                Change::Nothing
            }
        }
    }

    /// Returns whether the record of the earlier incarnation has been merged. Until then,
    /// a drain of the recorded instance looks like a drain of an unknown one.
    pub fn is_restored(&self) -> bool {
        self.is_restored
    }

    /// Marks the target as gone if it missed too many heartbeats. Returns whether this
    /// call marked it.
    pub fn check_missed_heartbeats(&mut self, now: Instant) -> bool {
        let max_silence = self.heartbeat_interval.duration() * MAX_MISSED_HEARTBEATS;
        let Some(current) = &mut self.current else {
            return false;
        };
        let is_silent = current
            .last_heartbeat
            .is_some_and(|last_heartbeat| now - last_heartbeat > max_silence);
        if is_silent {
            current.last_heartbeat = None;
        }
        is_silent
    }

    /// Considers an instance gone until its next heartbeat, because nothing answers at its
    /// address or another instance does. Returns whether it was considered running.
    pub fn mark_unreachable(&mut self, instance: &Instance) -> bool {
        let current = self.current.as_mut();
        let matching = current.filter(|current| current.target.instance == *instance);
        matching.is_some_and(|current| current.last_heartbeat.take().is_some())
    }

    /// Records how long an instance still warms up, as its health answer told it.
    pub fn set_warmup(&mut self, instance: &Instance, left: Span, now: Instant) {
        let current = self.current.as_mut();
        if let Some(current) = current.filter(|current| current.target.instance == *instance) {
            current.warm_at = Some(now + left.duration());
        }
    }

    /// Forgets whether the target has warmed up: it may be cold again.
    pub fn forget_warmup(&mut self) {
        if let Some(current) = &mut self.current {
            current.warm_at = None;
        }
    }

    /// Returns when the target has warmed up; `None` if that isn't known.
    pub fn warm_at(&self) -> Option<Instant> {
        self.current.as_ref().and_then(|current| current.warm_at)
    }

    /// Returns the target on this host, if one is known.
    pub fn target(&self) -> Option<&Target> {
        self.current.as_ref().map(|current| &current.target)
    }

    /// Records the verdict on the target from the trial of its release.
    pub fn judge(&mut self, verdict: Verdict) {
        if let Some(current) = &mut self.current {
            current.target.verdict = Some(verdict);
        }
    }

    /// Returns the target as published to other nodes; empty if there is none.
    pub fn announced(&self) -> Vec<Target> {
        self.current.iter().map(|c| c.target.clone()).collect()
    }

    /// Returns the target for which the gate may open, if there is one.
    pub fn open(&self) -> Option<gate::Target> {
        let current = self.current.as_ref().filter(|_| self.is_restored)?;
        let is_available = current.last_heartbeat.is_some() && !current.target.draining;
        is_available.then(|| gate::Target {
            instance: current.target.instance.clone(),
            address: current.target.address,
            slots: current.target.slots,
        })
    }

    /// Returns whether the target has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.target.draining)
    }

    fn replace(&mut self, current: Option<Current>) {
        let old = std::mem::replace(&mut self.current, current);
        if let Some(old) = old {
            self.retire(old.target.instance, old.target.draining);
        }
    }

    fn former(&self, instance: &Instance) -> Option<&Former> {
        self.former.iter().find(|f| f.instance == *instance)
    }

    fn retire(&mut self, instance: Instance, has_left: bool) {
        match self.former.iter_mut().find(|f| f.instance == instance) {
            Some(former) => former.has_left |= has_left,
            None => self.former.push(Former { instance, has_left }),
        }
        let excess = self.former.len().saturating_sub(MAX_FORMER_INSTANCES);
        self.former.drain(..excess);
    }
}
