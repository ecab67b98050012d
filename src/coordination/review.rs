//! Which requests are held back at this node: decided again and again, as nodes tell of
//! targets that end.

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
        decision::quarantine::{Quarantine, Review, Word},
        host::Host,
    },
    event::Event,
    id::{Instance, Node},
    journal::note,
    protocol::operator::Quarantined,
    state::{evidence::Evidence, fingerprint::Fingerprint, member::Member},
    unit::Span,
};

/// The pause before a review: what a target was running breaks off within 4 ms, and is told
/// of in one record.
const GATHER: Duration = Duration::from_millis(20);

/// How often times that run out are looked at while there is anything to look for.
const LOOK: Duration = Duration::from_millis(500);

/// What this node knows of requests under which targets end.
#[derive(Debug, Default)]
pub struct Reviews {
    quarantine: Mutex<Quarantine>,
    /// Wakes the duty that decides.
    suspected: Notify,
    /// Whether anything is to be looked for in requests: most of the time nothing is.
    watching: AtomicBool,
    /// Whether what other nodes told was looked at once.
    done: AtomicBool,
}

impl Reviews {
    /// Takes in, once, what an earlier life of this node told.
    pub fn recall(&self, told: Option<&Evidence>) {
        self.quarantine.lock().recall(told, Instant::now());
    }

    /// Returns what this node tells others.
    pub fn evidence(&self) -> Evidence {
        self.quarantine.lock().evidence().clone()
    }

    /// Notes that there is news of a member, and whether it tells of such requests.
    pub fn hear(&self, tells: bool) {
        if tells || self.is_watching() {
            self.suspected.notify_one();
        }
    }

    /// Notes that the target here ended while it ran this request.
    pub fn note_end(&self, instance: &Instance, content: Fingerprint) {
        let mut quarantine = self.quarantine.lock();
        quarantine.note_end(instance, content, Instant::now());
        self.watching.store(true, Ordering::Relaxed);
        drop(quarantine);
        self.suspected.notify_one();
    }

    /// Notes that a target answered a request.
    pub fn note_answer(&self, content: Fingerprint) {
        self.quarantine.lock().note_answer(content, Instant::now());
    }

    /// Returns whether a request is held back.
    pub fn is_held(&self, content: &Fingerprint) -> bool {
        self.is_watching() && self.quarantine.lock().is_held(content)
    }

    /// Returns whether a request that is held back is tried again now at the target here.
    pub fn try_again(&self, content: &Fingerprint) -> bool {
        self.quarantine.lock().try_again(content, Instant::now())
    }

    /// Returns the requests that are held back.
    pub fn held(&self, now: Instant) -> Vec<Quarantined> {
        let quarantine = self.quarantine.lock();
        let held = quarantine.held().map(|(content, since, ends)| Quarantined {
            content: *content,
            ends,
            since_ms: Span::of(now - since).as_millis(),
        });
        held.collect()
    }

    /// Lets a request go at every node, by an operator's word; returns whether it was held
    /// back here.
    pub fn let_go(&self, content: Fingerprint) -> bool {
        let was_held = self.quarantine.lock().let_go(content, Instant::now());
        self.suspected.notify_one();
        was_held
    }

    /// Returns whether it is known which requests are held back.
    pub fn are_done(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Decides by what other nodes tell, in a fleet of `nodes`.
    fn review(&self, me: &Node, words: &[Word<'_>], nodes: usize) -> Review {
        let mut quarantine = self.quarantine.lock();
        let review = quarantine.review(me, words, nodes, fastrand::f64, Instant::now());
        let is_watching = quarantine.is_watching();
        self.watching.store(is_watching, Ordering::Relaxed);
        self.done.store(true, Ordering::Relaxed);
        review
    }
}

/// Takes in what an earlier life of this node told.
pub fn recall(host: &Host) {
    let members = host.members.read();
    let recorded = members.get(&host.settings.node);
    host.reviews.recall(recorded.map(|member| &member.evidence));
}

/// Reviews what is known whenever there is news of it; never returns.
///
/// The first review comes as soon as the members are known: what earlier lives of this and
/// other nodes told stands there, and no request is taken before.
pub async fn keep(host: Arc<Host>) {
    host.until_members_known().await;
    recall(&host);
    review(&host);
    loop {
        let told = host.reviews.suspected.notified();
        if host.reviews.is_watching() {
            // Either way it is time.
            let _ = tokio::time::timeout(LOOK, told).await;
        } else {
            told.await;
        }
        tokio::time::sleep(GATHER).await;
        review(&host);
    }
}

fn review(host: &Host) {
    let review = {
        let members = host.members.read();
        let me = &host.settings.node;
        let words = members.iter().filter(|member| member.node != *me);
        let words = words.filter(|member| !member.evidence.is_empty());
        let words: Vec<Word<'_>> = words.map(|member| word(member)).collect();
        host.reviews.review(me, &words, members.len())
    };
    for (content, ends) in &review.held {
        note!(
            host.journal,
            Event::HeldBack,
            content = content,
            ends = ends.join(","),
        );
    }
    for content in &review.let_go {
        note!(host.journal, Event::LetGo, content = content);
    }
    if review.is_news {
        host.changed.notify_one();
    }
}

fn word(member: &Member) -> Word<'_> {
    Word {
        node: &member.node,
        is_present: member.is_present(),
        evidence: &member.evidence,
    }
}
