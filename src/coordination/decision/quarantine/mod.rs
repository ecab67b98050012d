//! Decides which requests are quarantined because targets crash under them.
//!
//! This guards against poison requests. A poison request crashes every target that runs it and
//! is sent repeatedly, by its caller at any node and by retries of nodes. Each crash also
//! aborts everything else that the target is running, some 18 unrelated requests. One such
//! request crashed six targets of a service within two seconds, and again whenever they had
//! restarted.
//!
//! Each node reports what its target was running at each of its crashes ([`Evidence`]). From
//! these reports every node computes a small set of requests that explain the crashes,
//! greedily: the request that is in most crashes explains those, then the one that is in most
//! of the remaining crashes, and so on. A request that was running by chance is in one crash,
//! rarely in two, and one that a target has answered since counts in none. So two crashes
//! suffice if only one request is in both; if several are, a third crash is needed.
//!
//! A harmless request can still be quarantined by chance. So one node sends a quarantined
//! request to its own target as a trial, after a delay that grows with the number of targets
//! that crashed under it. A response releases the request at all nodes.
//!
//! A run that was cancelled here, because its caller left or its deadline passed, may go on at the
//! target. Until its deadline it counts among the requests that a crashed target was running
//! (`docs/design/cancelled-runs.md`).
//!
//! Limits: a request under which targets crash only sometimes is cleared by each response in
//! between. Nodes that can reach neither the store nor each other each quarantine a request on
//! their own evidence alone.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use rilltrack::{
//!     coordination::decision::quarantine::{PeerEvidence, Quarantine},
//!     state::{evidence::{Crash, Evidence}, fingerprint::Fingerprint},
//! };
//!
//! let content = |path: &str| Fingerprint::of(&[path.as_bytes()]);
//! let crash = |instance: &str, contents| Crash { instance: instance.into(), contents };
//! let reported = Evidence {
//!     ends: vec![crash("i-1", vec![content("/card/7"), content("/card/8")])],
//!     ..Evidence::default()
//! };
//! let (me, peer) = ("n-1".parse()?, "n-2".parse()?);
//! let mut quarantine = Quarantine::default();
//! quarantine.note_crash(&"i-2".into(), content("/card/9"), Instant::now());
//! quarantine.note_crash(&"i-2".into(), content("/card/7"), Instant::now());
//! let peer = PeerEvidence { node: &peer, is_present: true, evidence: &reported };
//! quarantine.review(&me, &[peer], 2, || 0.0, Instant::now());
//! assert!(quarantine.is_quarantined(&content("/card/7")));
//! assert!(!quarantine.is_quarantined(&content("/card/8")));
//! # Ok::<(), rilltrack::id::Error>(())
//! ```

mod cancelled;
mod culprits;
mod own;
mod recent;
mod reports;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

pub use self::reports::PeerEvidence;
use self::{
    cancelled::CancelledRuns,
    culprits::{MIN_CRASHES, culprits},
    own::Own,
    recent::RecentAnswers,
    reports::{OpenCrash, Reported, all_crashes, clear_counts, reported, suspected_since},
};
use crate::{
    id::{Instance, Node},
    state::{
        evidence::{Cleared, Evidence, QuarantineEntry},
        fingerprint::Fingerprint,
    },
};

/// The reason for refusing a quarantined request.
pub const QUARANTINED: &str = "targets ended under this request";

/// How long an unexplained crash is remembered. A request that crashes targets less often is
/// not quarantined; it crashes one target in that time.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// The delay before the first trial of a request that two targets crashed under. Without
/// trials, a request that was running at two crashes by chance would never be served again.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);

/// The factor by which each further crash extends the delay: to 1, 6 and 36 minutes.
const TRIAL_DELAY_FACTOR: u32 = 6;

/// The number of crashes after which a quarantined request gets no more trials: two or three
/// before the quarantine, and four or three in trials.
const MAX_TRIAL_CRASHES: u8 = 6;

/// The delay before the next trial if the outcome of the last one stays unknown: longer than
/// a request may take.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a node reports that a request was cleared: many times what the report takes to
/// reach all nodes.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// The expected number of nodes that report a cleared request in each review. Each node that
/// could report it draws at random whether it does.
const CLEARING_NODES: f64 = 4.0;

/// How long peers may object to a quarantine: report that the request is cleared. It is several
/// times what the report of a crash and the objection take to reach all nodes. During this time
/// a node still reports the crashes beside the entry that explains them, and a node that saw
/// the request answered recently doesn't quarantine it yet. Without this window, 223 of 24,000
/// popular requests were refused within a minute in which a target crashed every two seconds
/// for other reasons; with it, 94 of 480,000 (cases of `tests/quarantine.rs`: the former with
/// the first seed, the latter with all twenty).
const OBJECTION_WINDOW: Duration = Duration::from_millis(1500);

/// The most explained crashes that a node remembers, so that a late report of one doesn't count
/// as a new crash.
const MAX_EXPLAINED: usize = 8;

/// What a node knows of requests under which targets crash.
#[derive(Debug, Default)]
pub struct Quarantine {
    own: Own,
    cancelled: CancelledRuns,
    /// The evidence of this node as of the last review.
    last_own: Evidence,
    is_restored: bool,
    /// When this node learned of each crash. Crashes of its own target have no node.
    learned: HashMap<(Option<Node>, Instance), Instant>,
    explained: VecDeque<Instance>,
    /// When a target last answered each request under which others had crashed.
    answered: BTreeMap<Fingerprint, Instant>,
    /// How often a request was cleared according to each peer, and when that report arrived.
    cleared_by: HashMap<(Node, Fingerprint), (u32, Instant)>,
    /// How often each request was cleared, over all nodes.
    clear_counts: HashMap<Fingerprint, u32>,
    suspects: HashSet<Fingerprint>,
    /// Since when each request is a culprit. Requests that nodes report as quarantined already are
    /// not included.
    culprits_since: HashMap<Fingerprint, Instant>,
    recent: RecentAnswers,
    /// Since when each request is quarantined here.
    quarantined: HashMap<Fingerprint, Instant>,
    /// The number of targets that crashed under each request that nodes report as quarantined.
    crash_counts: HashMap<Fingerprint, u8>,
    /// Quarantined requests that this node may send as a trial.
    assigned: HashSet<Fingerprint>,
    /// When the last trial of each quarantined request began.
    trials: HashMap<Fingerprint, Instant>,
}

/// The changes that a review made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Review {
    /// Requests that are quarantined from now on, with the crashes that they explain, as far as
    /// those are known here.
    pub quarantined: Vec<(Fingerprint, Vec<String>)>,
    /// Requests that are not quarantined any more.
    pub released: Vec<Fingerprint>,
    /// Whether the evidence of this node has changed.
    pub has_new_evidence: bool,
}

impl Quarantine {
    /// Returns the evidence that this node reports to its peers.
    pub fn evidence(&self) -> &Evidence {
        &self.own.evidence
    }

    /// Restores the crashes and quarantined requests that an earlier incarnation of this node
    /// reported. Only the first call has an effect.
    pub fn restore(&mut self, evidence: Option<&Evidence>, now: Instant) {
        if std::mem::replace(&mut self.is_restored, true) {
            return;
        }
        let Some(evidence) = evidence else { return };
        for crash in &evidence.ends {
            for content in &crash.contents {
                self.note_crash(&crash.instance, *content, now);
            }
        }
        for entry in &evidence.held {
            self.own.add_entry(*entry, now);
        }
    }

    /// Records that the local target crashed while it was running a request. Returns the requests
    /// that it may have been running besides, since their runs were cancelled.
    pub fn note_crash(
        &mut self,
        instance: &Instance,
        content: Fingerprint,
        now: Instant,
    ) -> Vec<Fingerprint> {
        self.add_to_crash(instance, content, now);
        self.note_end(instance, now)
    }

    /// Records that the local target is found to have crashed. Returns the requests that it may have
    /// been running, since their runs were cancelled.
    pub fn note_end(&mut self, instance: &Instance, now: Instant) -> Vec<Fingerprint> {
        let cancelled = self.cancelled.take(instance, now);
        for content in &cancelled {
            self.add_to_crash(instance, *content, now);
        }
        cancelled
    }

    /// Records that a run at the local target was cancelled. The target may work on until the
    /// deadline. Returns whether it is known to have crashed meanwhile.
    pub fn note_cancelled(
        &mut self,
        instance: &Instance,
        content: Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let has_crashed = self.learned.contains_key(&(None::<Node>, instance.clone()));
        if has_crashed {
            self.add_to_crash(instance, content, now);
        } else {
            self.cancelled.add(instance, content, deadline);
        }
        has_crashed
    }

    fn add_to_crash(&mut self, instance: &Instance, content: Fingerprint, now: Instant) {
        if self.explained.contains(instance) {
            return;
        }
        self.learned.entry((None, instance.clone())).or_insert(now);
        self.own.add_crash(instance, content);
        self.suspects.insert(content);
    }

    /// Records that a target answered a request.
    pub fn note_answer(&mut self, content: Fingerprint, now: Instant) {
        self.recent.note(content, now);
        if self.suspects.contains(&content) || self.quarantined.contains_key(&content) {
            self.answered.insert(content, now);
        }
    }

    /// Returns whether any request is suspected or quarantined, or this node has evidence to
    /// report. If not, requests needn't be checked and reviews can wait for new evidence.
    pub fn is_active(&self) -> bool {
        !(self.suspects.is_empty() && self.quarantined.is_empty() && self.own.evidence.is_empty())
    }

    /// Returns whether a request is quarantined and has not been answered since.
    pub fn is_quarantined(&self, content: &Fingerprint) -> bool {
        let Some(since) = self.quarantined.get(content) else {
            return false;
        };
        let answered = self.answered.get(content);
        answered.is_none_or(|answered| answered <= since)
    }

    /// Returns whether a quarantined request may be sent to the local target now, as a trial,
    /// and if so records that the trial began. No other trial begins here until the outcome of
    /// this one is known or it has timed out.
    pub fn start_trial(&mut self, content: &Fingerprint, now: Instant) -> bool {
        let crashes = self.crash_counts.get(content).copied().unwrap_or(0);
        if !self.assigned.contains(content) || crashes >= MAX_TRIAL_CRASHES {
            return false;
        }
        let delay = FIRST_TRIAL_DELAY
            * TRIAL_DELAY_FACTOR.pow(u32::from(crashes).saturating_sub(MIN_CRASHES as u32));
        let is_due = |since: &Instant| now - *since >= delay;
        let is_over = |since: &Instant| now - *since >= TRIAL_TIMEOUT;
        let may_start = self.own.entries_at.get(content).is_some_and(is_due)
            && self.trials.get(content).is_none_or(is_over);
        if may_start {
            self.trials.insert(*content, now);
        }
        may_start
    }

    /// Returns the quarantined requests, since when each is quarantined, and how many targets
    /// are known to have crashed under it.
    pub fn quarantined(&self) -> impl ExactSizeIterator<Item = (&Fingerprint, Instant, u8)> {
        let crashes = |content| self.crash_counts.get(content).copied().unwrap_or(0);
        self.quarantined
            .iter()
            .map(move |(content, since)| (content, *since, crashes(content)))
    }

    /// Releases a request on an operator's command, which counts as a response of a target.
    /// Returns whether the request was quarantined.
    pub fn release(&mut self, content: Fingerprint, now: Instant) -> bool {
        let was_quarantined = self.quarantined.contains_key(&content);
        if was_quarantined {
            self.answered.insert(content, now);
            self.report_cleared(content, now);
        }
        was_quarantined
    }

    /// Recomputes which requests are quarantined, from the evidence of this node, `me`, and of
    /// its `peers`, in a fleet of `node_count` nodes. `draw` returns random numbers from 0 to 1.
    pub fn review(
        &mut self,
        me: &Node,
        peers: &[PeerEvidence<'_>],
        node_count: usize,
        mut draw: impl FnMut() -> f64,
        now: Instant,
    ) -> Review {
        let own = self.own.evidence.clone();
        self.record_times(&own, peers, now);
        let crashes = self.open_crashes(&own, peers, now);
        self.clear_counts = clear_counts(&own, peers);
        let reported = reported(me, &own, peers, &self.clear_counts);
        let is_unexplained =
            |unanswered: &&HashSet<_>| !unanswered.iter().any(|c| reported.contains_key(c));
        let unexplained: Vec<_> = crashes
            .iter()
            .map(|crash| &crash.unanswered)
            .filter(is_unexplained)
            .collect();
        let culprits = culprits(&unexplained);
        let mut quarantined: HashSet<Fingerprint> = reported.keys().copied().collect();
        quarantined.extend(self.without_objection(culprits, now));
        self.drop_answered(
            &crashes,
            peers,
            |content| reported.contains_key(content),
            now,
        );
        self.report_cleared_requests(&crashes, node_count, &mut draw, now);
        let review = self.update_quarantined(&quarantined, &crashes, now);
        self.report_explained(&quarantined, &reported, &crashes, now);
        let is_assigned =
            |(_, reported): &(&Fingerprint, &Reported<'_>)| reported.first_node == Some(me);
        let assigned = reported.iter().filter(is_assigned);
        self.assigned = assigned.map(|(content, _)| *content).collect();
        let with_crashes = reported
            .iter()
            .map(|(content, reported)| (*content, reported.crashes));
        self.crash_counts = with_crashes.collect();
        self.suspects = crashes
            .iter()
            .flat_map(|crash| crash.contents)
            .copied()
            .collect();
        self.forget_times(peers, now);
        let has_new_evidence = self.own.evidence != self.last_own;
        self.last_own.clone_from(&self.own.evidence);
        Review {
            has_new_evidence,
            ..review
        }
    }

    /// Records when this node learned of each crash and of each report of a cleared request.
    /// The latter counts as a response.
    fn record_times(&mut self, own: &Evidence, peers: &[PeerEvidence<'_>], now: Instant) {
        let before = std::mem::take(&mut self.learned);
        for (node, crash) in all_crashes(own, peers) {
            let key = (node.cloned(), crash.instance.clone());
            let at = before.get(&key).copied().unwrap_or(now);
            self.learned.insert(key, at);
        }
        let before = std::mem::take(&mut self.cleared_by);
        for peer in peers {
            for Cleared { content, times } in &peer.evidence.cleared {
                let key = (peer.node.clone(), *content);
                let known = before.get(&key).filter(|(known, _)| known >= times);
                if known.is_none() {
                    self.answered.insert(*content, now);
                }
                let known = known.copied().unwrap_or((*times, now));
                self.cleared_by.insert(key, known);
            }
        }
    }

    /// Returns the crashes that still count as evidence.
    fn open_crashes<'a>(
        &self,
        own: &'a Evidence,
        peers: &[PeerEvidence<'a>],
        now: Instant,
    ) -> Vec<OpenCrash<'a>> {
        let crashes = all_crashes(own, peers).filter_map(|(node, crash)| {
            let learned = *self.learned.get(&(node.cloned(), crash.instance.clone()))?;
            let is_answered = |content: &&Fingerprint| {
                let answered = self.answered.get(*content);
                answered.is_some_and(|answered| *answered >= learned)
            };
            Some(OpenCrash {
                node,
                instance: &crash.instance,
                learned,
                contents: &crash.contents,
                unanswered: crash
                    .contents
                    .iter()
                    .filter(|c| !is_answered(c))
                    .copied()
                    .collect(),
            })
        });
        crashes
            .filter(|crash| now - crash.learned < CRASH_RETENTION)
            .collect()
    }

    /// Returns those culprits that are to be quarantined: this node saw no recent response to
    /// them, or the [`OBJECTION_WINDOW`] has passed.
    fn without_objection(
        &mut self,
        culprits: HashSet<Fingerprint>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        self.culprits_since
            .retain(|content, _| culprits.contains(content));
        let mut quarantined = Vec::new();
        for content in culprits {
            let since = *self.culprits_since.entry(content).or_insert(now);
            if now - since >= OBJECTION_WINDOW || !self.recent.contains(&content, now) {
                quarantined.push(content);
            }
        }
        quarantined
    }

    /// Removes answered requests from the evidence of this node, along with what has expired. An
    /// answered request stays in a crash unless it is reported as quarantined or is in enough
    /// crashes to be.
    fn drop_answered(
        &mut self,
        crashes: &[OpenCrash<'_>],
        peers: &[PeerEvidence<'_>],
        is_reported: impl Fn(&Fingerprint) -> bool,
        now: Instant,
    ) {
        let is_common = |content: &Fingerprint| {
            crashes
                .iter()
                .filter(|crash| crash.contents.contains(content))
                .count()
                >= MIN_CRASHES
        };
        let (answered, learned) = (&self.answered, &self.learned);
        let Own {
            evidence,
            entries_at,
            cleared_at,
        } = &mut self.own;
        let may_be_quarantined = |content: &Fingerprint| is_reported(content) || is_common(content);
        for crash in &mut evidence.ends {
            let learned = learned.get(&(None, crash.instance.clone()));
            crash.contents.retain(|content| {
                let answered = answered.get(content);
                answered < learned || answered.is_none() || !may_be_quarantined(content)
            });
        }
        evidence.ends.retain(|crash| {
            let learned = learned.get(&(None, crash.instance.clone()));
            let is_recent = learned.is_none_or(|learned| now - *learned < CRASH_RETENTION);
            is_recent && !crash.contents.is_empty()
        });
        let clear_counts = &self.clear_counts;
        evidence.held.retain(|entry| {
            let answered = answered.get(&entry.content);
            let clear_count = clear_counts.get(&entry.content).copied().unwrap_or(0);
            entry.round >= clear_count
                && (answered.is_none() || answered <= entries_at.get(&entry.content))
        });
        evidence.cleared.retain(|cleared| {
            let since = cleared_at.get(&cleared.content);
            since.is_some_and(|since| now - *since < CLEARED_RETENTION)
                || peers
                    .iter()
                    .any(|peer| peer.evidence.implicates(&cleared.content))
        });
    }

    /// Reports requests as cleared that were answered although they are quarantined or are in
    /// enough crashes to be.
    fn report_cleared_requests(
        &mut self,
        crashes: &[OpenCrash<'_>],
        node_count: usize,
        draw: &mut impl FnMut() -> f64,
        now: Instant,
    ) {
        let since = |content: &Fingerprint| {
            let suspected = suspected_since(crashes, content);
            suspected.or_else(|| self.quarantined.get(content).copied())
        };
        let last_cleared = |content: &Fingerprint| {
            let theirs = self.cleared_by.iter().filter(|((_, c), _)| c == content);
            let theirs = theirs.map(|(_, (_, at))| *at);
            theirs
                .chain(self.own.cleared_at.get(content).copied())
                .max()
        };
        let to_report = self.answered.iter().filter(|(content, at)| {
            let since = since(content);
            since.is_some_and(|since| **at > since) && last_cleared(content) < since
        });
        let to_report: Vec<Fingerprint> = to_report.map(|(content, _)| *content).collect();
        for content in to_report {
            // The node that made the trial may be the only one that knows of the response.
            let is_tried = self.trials.contains_key(&content);
            if is_tried || draw() * (node_count.max(1) as f64) < CLEARING_NODES {
                self.report_cleared(content, now);
            }
        }
    }

    /// Sets which requests are quarantined here; returns the changes.
    fn update_quarantined(
        &mut self,
        quarantined: &HashSet<Fingerprint>,
        crashes: &[OpenCrash<'_>],
        now: Instant,
    ) -> Review {
        let mut review = Review::default();
        for content in quarantined {
            if self.quarantined.contains_key(content) {
                continue;
            }
            let since = suspected_since(crashes, content);
            self.quarantined.insert(*content, since.unwrap_or(now));
            let with = crashes
                .iter()
                .filter(|crash| crash.contents.contains(content));
            let names = with.map(|crash| match crash.node {
                Some(node) => format!("{node}/{}", crash.instance),
                None => crash.instance.to_string(),
            });
            review.quarantined.push((*content, names.collect()));
        }
        self.quarantined.retain(|content, _| {
            let is_kept = quarantined.contains(content);
            if !is_kept {
                review.released.push(*content);
            }
            is_kept
        });
        review
    }

    /// Reports the quarantined requests that explain crashes of the local target. Those crashes
    /// are reported for the [`OBJECTION_WINDOW`] as well, so that peers can object.
    fn report_explained(
        &mut self,
        quarantined: &HashSet<Fingerprint>,
        reported: &HashMap<Fingerprint, Reported<'_>>,
        crashes: &[OpenCrash<'_>],
        now: Instant,
    ) {
        let mut settled = Vec::new();
        for crash in crashes.iter().filter(|crash| crash.node.is_none()) {
            let explains: Vec<_> = crash.unanswered.intersection(quarantined).collect();
            let is_new = !self.explained.contains(crash.instance);
            for content in explains.iter().filter(|_| is_new) {
                let with = crashes
                    .iter()
                    .filter(|crash| crash.unanswered.contains(*content));
                let ends = match reported.get(*content) {
                    Some(reported) => reported.crashes.saturating_add(1),
                    None => u8::try_from(with.count()).unwrap_or(u8::MAX),
                };
                let content = **content;
                let round = self.clear_counts.get(&content).copied().unwrap_or(0);
                self.trials.remove(&content);
                self.own.add_entry(
                    QuarantineEntry {
                        content,
                        ends,
                        round,
                    },
                    now,
                );
            }
            if is_new && !explains.is_empty() {
                self.explained.push_back(crash.instance.clone());
            }
            let since = explains
                .iter()
                .filter_map(|content| self.own.entries_at.get(content));
            if since
                .max()
                .is_some_and(|since| now - *since >= OBJECTION_WINDOW)
            {
                settled.push(crash.instance);
            }
        }
        self.own
            .evidence
            .ends
            .retain(|crash| !settled.contains(&&crash.instance));
        let beyond = self.explained.len().saturating_sub(MAX_EXPLAINED);
        self.explained.drain(..beyond);
    }

    fn report_cleared(&mut self, content: Fingerprint, now: Instant) {
        let times = self.clear_counts.entry(content).or_default();
        *times += 1;
        let cleared = Cleared {
            content,
            times: *times,
        };
        self.own.add_cleared(cleared, now);
    }

    /// Removes the times of requests that are not known any more.
    fn forget_times(&mut self, peers: &[PeerEvidence<'_>], now: Instant) {
        let (suspects, quarantined) = (&self.suspects, &self.quarantined);
        // The report of a crash may arrive after the one that clears the request.
        let is_implicated =
            |content: &Fingerprint| peers.iter().any(|peer| peer.evidence.implicates(content));
        self.answered.retain(|content, at| {
            let is_known = suspects.contains(content) || quarantined.contains_key(content);
            is_known || is_implicated(content) || now - *at < CLEARED_RETENTION
        });
        self.own.forget_times();
        self.trials
            .retain(|content, _| quarantined.contains_key(content));
    }
}
