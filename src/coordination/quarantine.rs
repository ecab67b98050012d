//! Keeps the list of the requests that are quarantined at this node up to date, as nodes report
//! crashes of targets.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::{
        decision::quarantine::{PeerEvidence, Quarantine, Review},
        host::Host,
    },
    event::Event,
    id::{Instance, Node},
    journal::note,
    protocol::operator::Quarantined,
    state::{evidence::Evidence, fingerprint::Fingerprint, member::Member},
    unit::Span,
};

/// The delay before a review. The requests that a crashed target was running fail within 4 ms
/// of each other, so one record reports all of them.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// The interval of reviews without new evidence, for times that expire, while any request is
/// suspected or quarantined.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// The quarantine of this node, shared by the tasks that use it.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// Wakes the task that runs the reviews.
    wake: Notify,
    /// Whether requests have to be checked at all: most of the time no request is suspected.
    is_active: AtomicBool,
    /// Whether the evidence of other nodes was reviewed once.
    is_reviewed: AtomicBool,
}

impl SharedQuarantine {
    /// Restores the crashes and quarantined requests that an earlier incarnation of this node
    /// reported. Only the first call has an effect.
    pub fn restore(&self, evidence: Option<&Evidence>) {
        self.quarantine.lock().restore(evidence, Instant::now());
    }

    /// Returns the evidence that this node reports to its peers.
    pub fn evidence(&self) -> Evidence {
        self.quarantine.lock().evidence().clone()
    }

    /// Requests a review because the record of a member changed, if that record has evidence or
    /// any request is suspected or quarantined here.
    pub fn on_member_update(&self, has_evidence: bool) {
        if has_evidence || self.is_active() {
            self.wake.notify_one();
        }
    }

    /// Records that the local target crashed while it was running a request.
    pub fn note_crash(&self, instance: &Instance, content: Fingerprint) {
        let mut quarantine = self.quarantine.lock();
        quarantine.note_crash(instance, content, Instant::now());
        self.is_active.store(true, Ordering::Relaxed);
        drop(quarantine);
        self.wake.notify_one();
    }

    /// Records that a target answered a request.
    pub fn note_answer(&self, content: Fingerprint) {
        self.quarantine.lock().note_answer(content, Instant::now());
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, content: &Fingerprint) -> bool {
        self.is_active() && self.quarantine.lock().is_quarantined(content)
    }

    /// Returns whether a quarantined request may be sent to the local target now, as a trial,
    /// and if so records that the trial began.
    pub fn start_trial(&self, content: &Fingerprint) -> bool {
        self.quarantine.lock().start_trial(content, Instant::now())
    }

    /// Returns the quarantined requests, for operators.
    pub fn quarantined(&self, now: Instant) -> Vec<Quarantined> {
        let quarantine = self.quarantine.lock();
        let quarantined = quarantine
            .quarantined()
            .map(|(content, since, ends)| Quarantined {
                content: *content,
                ends,
                since_ms: Span::from_duration(now - since).as_millis(),
            });
        quarantined.collect()
    }

    /// Releases a request at every node on an operator's command; returns whether it was
    /// quarantined here.
    pub fn release(&self, content: Fingerprint) -> bool {
        let was_quarantined = self.quarantine.lock().release(content, Instant::now());
        self.wake.notify_one();
        was_quarantined
    }

    /// Returns whether the first review has run, so that the quarantined requests are known.
    pub fn is_reviewed(&self) -> bool {
        self.is_reviewed.load(Ordering::Relaxed)
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Recomputes which requests are quarantined, from the evidence of `peers`, in a fleet of
    /// `node_count` nodes.
    fn review(&self, me: &Node, peers: &[PeerEvidence<'_>], node_count: usize) -> Review {
        let mut quarantine = self.quarantine.lock();
        let review = quarantine.review(me, peers, node_count, fastrand::f64, Instant::now());
        let is_active = quarantine.is_active();
        self.is_active.store(is_active, Ordering::Relaxed);
        self.is_reviewed.store(true, Ordering::Relaxed);
        review
    }
}

/// Restores the evidence that an earlier incarnation of this node recorded in the store.
pub fn restore(host: &Host) {
    let members = host.members.read();
    let recorded = members.get(&host.settings.node);
    host.quarantine
        .restore(recorded.map(|member| &member.evidence));
}

/// Runs a review whenever there is new evidence; never returns.
///
/// The first review runs as soon as the members are known. Their records hold the evidence of
/// earlier incarnations of this and other nodes, and this node accepts no request before.
pub async fn run(host: Arc<Host>) {
    host.streams.until_members_known().await;
    restore(&host);
    review(&host);
    loop {
        let wake = host.quarantine.wake.notified();
        if host.quarantine.is_active() {
            // A timeout is no error: the review is due then, too.
            let _ = tokio::time::timeout(REVIEW_INTERVAL, wake).await;
        } else {
            wake.await;
        }
        tokio::time::sleep(GATHER_DELAY).await;
        review(&host);
    }
}

fn review(host: &Host) {
    let review = {
        let members = host.members.read();
        let me = &host.settings.node;
        let peers = members.iter().filter(|member| member.node != *me);
        let peers = peers.filter(|member| !member.evidence.is_empty());
        let peers: Vec<PeerEvidence<'_>> = peers.map(|member| peer_evidence(member)).collect();
        host.quarantine.review(me, &peers, members.len())
    };
    for (content, crashes) in &review.quarantined {
        note!(
            host.journal,
            Event::HeldBack,
            content = content,
            ends = crashes.join(","),
        );
    }
    for content in &review.released {
        note!(host.journal, Event::LetGo, content = content);
    }
    if review.has_new_evidence {
        host.own_record_changed.notify_one();
    }
}

fn peer_evidence(member: &Member) -> PeerEvidence<'_> {
    PeerEvidence {
        node: &member.node,
        is_present: member.is_present(),
        evidence: &member.evidence,
    }
}
