//! What this node has observed of one other node and its target.

use std::time::{Duration, Instant};

use crate::{
    coordination::decision::slowness::Stated,
    id::{Incarnation, Instance},
    protocol::{
        dialect::{Load, Slowdown},
        hop::Limit,
        notice::Notice,
    },
    state::member::Member,
};

/// Time after which about two thirds of an observed slowdown have decayed. It is longer than
/// some faults of targets last, but well below a minute, so that a target that was slow is
/// tried again.
const SLOWDOWN_DECAY: Duration = Duration::from_secs(10);

/// Age up to which a reported load is used; the mean request lasts about as long.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// How long a node may leave a request unanswered, without answering any other, before it is
/// excluded: several times the mean run time of the slowest service.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// First ejection time of a node whose target leaves or fails. The time doubles with each
/// ejection counted in [`Peer::ejections`], up to [`MAX_EJECTION`].
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest ejection time, after which requests may try the node again.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Observations of one node and its target.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) process: Process,
    /// Requests that were sent to it and have not ended.
    pub(super) outstanding: u32,
    /// When it last responded, or a request was sent to it with no other outstanding.
    pub(super) heard_at: Instant,
    /// The load in its last report, and when that came.
    pub(super) report: Option<(Load, Instant)>,
    /// Requests sent since the report.
    pub(super) sent_since_report: u32,
    /// The slowdown of its target, as reported or observed.
    pub(super) slowdown: Slowdown,
    /// When `slowdown` was last updated.
    pub(super) slowdown_at: Instant,
    /// The slowness that its target stated.
    pub(super) slowness: Stated,
    /// The slowdown of requests with a large body or response, network path included, as this
    /// node observed it.
    pub(super) transfer_slowdown: Slowdown,
    /// Failures of its target less responses, from 0 to [`MAX_FAILURES`].
    pub(super) failures: u32,
    /// Ejections since the node last responded; a failure of its target counts as a response.
    pub(super) ejections: u32,
    pub(super) ejected_until: Option<Instant>,
    /// What an instance of its target stated in the last answer that this node passed on.
    pub(super) stated: Option<(Instance, Notice)>,
}

/// The processes of a node and its target that an observation is about.
#[derive(Debug)]
pub(super) struct Process {
    node: Incarnation,
    target: Option<Instance>,
}

impl Process {
    pub(super) fn of(member: &Member) -> Self {
        Self {
            node: member.incarnation,
            target: member.targets.first().map(|target| target.instance.clone()),
        }
    }

    pub(super) fn matches(&self, member: &Member) -> bool {
        let target = member.targets.first().map(|target| &target.instance);
        self.node == member.incarnation && self.target.as_ref() == target
    }
}

impl Peer {
    pub(super) fn new(process: Process, now: Instant) -> Self {
        Self {
            process,
            outstanding: 0,
            heard_at: now,
            report: None,
            sent_since_report: 0,
            slowdown: Slowdown::default(),
            slowdown_at: now,
            slowness: Stated::default(),
            transfer_slowdown: Slowdown::default(),
            failures: 0,
            ejections: 0,
            ejected_until: None,
            stated: None,
        }
    }

    /// Takes in what the target of `member` stated in an answer.
    pub(super) fn record_notice(&mut self, member: &Member, notice: Notice) {
        let Some(target) = member.targets.first() else {
            return;
        };
        // A leave is final: an answer that was sent before it may arrive after it.
        let is_leaving = notice.is_leaving || self.is_leaving(member);
        let notice = Notice {
            is_leaving,
            ..notice
        };
        self.stated = Some((target.instance.clone(), notice));
    }

    /// Returns whether the target of `member` stated to this node that it leaves.
    pub(super) fn is_leaving(&self, member: &Member) -> bool {
        self.stated_by(member)
            .is_some_and(|(_, notice)| notice.is_leaving)
    }

    /// Returns the limit that the target of `member` stated to this node.
    pub(super) fn limit(&self, member: &Member) -> Option<Limit> {
        let (instance, notice) = self.stated_by(member)?;
        Some(Limit {
            rate: notice.limit?,
            instance: instance.clone(),
        })
    }

    /// Returns what the target of `member` stated to this node, if it is still that instance.
    fn stated_by(&self, member: &Member) -> Option<&(Instance, Notice)> {
        let stated = self.stated.as_ref()?;
        let target = member.targets.first()?;
        target.instance.may_match(&stated.0).then_some(stated)
    }

    pub(super) fn is_excluded(&self, now: Instant) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        let is_unresponsive = self.outstanding > 0 && self.is_overdue(now);
        is_ejected || is_unresponsive
    }

    /// Returns the expected number of requests that the target runs or that wait for it.
    pub(super) fn expected_requests(&self, now: Instant) -> u32 {
        match self.report {
            Some((load, at)) if now - at < MAX_LOAD_AGE => {
                (load.running + load.waiting + self.sent_since_report).max(self.outstanding)
            }
            _ => self.outstanding,
        }
    }

    /// Returns the expected slowdown of the target. It decays towards 1, so that a target
    /// that was slow is tried again.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slowdown_at);
        let weight = (-age.as_secs_f64() / SLOWDOWN_DECAY.as_secs_f64()).exp();
        Slowdown::default().lerp(self.slowdown, weight).factor()
    }

    pub(super) fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = Some(now + span.min(MAX_EJECTION));
    }

    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        now - self.heard_at > MAX_SILENCE
    }
}
