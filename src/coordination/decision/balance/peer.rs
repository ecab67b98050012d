//! What this node has observed of one other node and its target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::staleness;
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

/// Age up to which the load in a response is used; the mean request lasts about as long.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// Age up to which a load that was reported without a request is used: three reports, so that
/// one that is lost doesn't make the load unknown.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

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
    /// The latest known load of its target.
    pub(super) load: Option<KnownLoad>,
    /// When requests were sent since that load was observed; at most those of the last
    /// [`MAX_REPORT_AGE`], since no load is used for longer.
    pub(super) sent_since_load: VecDeque<Instant>,
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

/// The load of a target at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLoad {
    load: Load,
    at: Instant,
    /// Whether its node reported it without a request; otherwise it came with a response.
    is_report: bool,
}

impl KnownLoad {
    fn is_used(&self, now: Instant) -> bool {
        let max_age = if self.is_report {
            MAX_REPORT_AGE
        } else {
            MAX_LOAD_AGE
        };
        now.saturating_duration_since(self.at) < max_age
    }

    fn requests(&self) -> f64 {
        f64::from(self.load.running) + f64::from(self.load.waiting)
    }
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
            load: None,
            sent_since_load: VecDeque::new(),
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

    /// Records that a request is sent to the node.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.outstanding += 1;
        let is_old = |sent: &mut Instant| now.saturating_duration_since(*sent) > MAX_REPORT_AGE;
        while self.sent_since_load.pop_front_if(is_old).is_some() {}
        self.sent_since_load.push_back(now);
    }

    /// Records the load of the target at `at`, unless it is a report and a later load is known.
    /// Requests that were sent after `at` are not part of it and still count.
    pub(super) fn record_load(&mut self, load: Load, at: Instant, is_report: bool) {
        if !is_report || self.load.is_none_or(|known| known.at < at) {
            self.load = Some(KnownLoad {
                load,
                at,
                is_report,
            });
            let counted = self.sent_since_load.partition_point(|sent| *sent <= at);
            self.sent_since_load.drain(..counted);
        }
    }

    /// Returns the number of requests at the target by the last report of its node, if that is
    /// the latest known load and still used.
    pub(super) fn reported_requests(&self, now: Instant) -> Option<f64> {
        let known = self
            .load
            .filter(|known| known.is_report && known.is_used(now))?;
        Some(known.requests())
    }

    /// Returns the expected number of requests that the target runs or that wait for it.
    /// `typical` is how many targets of its size have by reports, and `run_time` the mean of the
    /// route in seconds.
    pub(super) fn expected_requests(&self, typical: f64, run_time: f64, now: Instant) -> f64 {
        let outstanding = f64::from(self.outstanding);
        let Some(known) = self.load.filter(|known| known.is_used(now)) else {
            return outstanding;
        };
        let requests = if known.is_report {
            let age = now.saturating_duration_since(known.at);
            staleness::expected(known.requests(), typical, age, run_time)
        } else {
            known.requests()
        };
        (requests + self.sent_since_load.len() as f64).max(outstanding)
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
