//! Decides again and again which requests are held back, as nodes tell of targets that end.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{decision::quarantine::Word, host::Host},
    event::Event,
    journal::note,
    state::member::Member,
};

/// The pause before a review: what a target was running breaks off within 4 ms, and is told
/// of in one record.
const GATHER: Duration = Duration::from_millis(20);

/// How often times that run out are looked at while there is anything to look for.
const LOOK: Duration = Duration::from_millis(500);

/// Reviews what is known whenever there is news of it; never returns.
///
/// The first review comes as soon as the members are known: what earlier lives of this and
/// other nodes told stands there, and no request is taken before.
pub async fn keep(host: Arc<Host>) {
    host.until_members_known().await;
    host.recall_evidence();
    review(&host);
    loop {
        let told = host.suspected.notified();
        if host.is_watching() {
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
    let now = Instant::now();
    let review = {
        let members = host.members.read();
        let me = &host.settings.node;
        let words = members.iter().filter(|member| member.node != *me);
        let words = words.filter(|member| !member.evidence.is_empty());
        let words: Vec<Word<'_>> = words.map(|member| word(member)).collect();
        let mut quarantine = host.quarantine.lock();
        let review = quarantine.review(me, &words, members.len(), fastrand::f64, now);
        host.set_watching(quarantine.is_watching());
        review
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
