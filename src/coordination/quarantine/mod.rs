//! The quarantine of this node, shared by the tasks that use it.

pub mod review;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Instant,
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::decision::quarantine::{PeerEvidence, Quarantine, Review},
    id::{Instance, Node},
    protocol::operator::Quarantined,
    state::{evidence::Evidence, fingerprint::Fingerprint},
    unit::Span,
};

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

    /// Records that the local target crashed while it was running a request. Returns the requests
    /// that it may have been running besides, since their runs were cancelled.
    pub fn note_crash(&self, instance: &Instance, content: Fingerprint) -> Vec<Fingerprint> {
        let mut quarantine = self.quarantine.lock();
        let cancelled = quarantine.note_crash(instance, content, Instant::now());
        self.is_active.store(true, Ordering::Relaxed);
        drop(quarantine);
        self.wake.notify_one();
        cancelled
    }

    /// Records that the local target is found to have crashed. Returns the requests that it may have
    /// been running, since their runs were cancelled.
    pub fn note_end(&self, instance: &Instance) -> Vec<Fingerprint> {
        let mut quarantine = self.quarantine.lock();
        let cancelled = quarantine.note_end(instance, Instant::now());
        if !cancelled.is_empty() {
            self.is_active.store(true, Ordering::Relaxed);
            self.wake.notify_one();
        }
        cancelled
    }

    /// Records that a run at the local target was cancelled. The target may work on until the
    /// deadline.
    pub fn note_cancelled(&self, instance: &Instance, content: Fingerprint, deadline: Instant) {
        let mut quarantine = self.quarantine.lock();
        if quarantine.note_cancelled(instance, content, deadline, Instant::now()) {
            self.is_active.store(true, Ordering::Relaxed);
            self.wake.notify_one();
        }
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
