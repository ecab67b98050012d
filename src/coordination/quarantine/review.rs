//! Keeps the list of the requests that are quarantined at this node up to date, as nodes report
//! crashes of targets.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::{decision::quarantine::PeerEvidence, host::Host},
    event::Event,
    journal::note,
    state::member::Member,
};

/// The delay before a review. The requests that a crashed target was running fail within 4 ms
/// of each other, so one record reports all of them.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// The interval of reviews without new evidence, for times that expire, while any request is
/// suspected or quarantined.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

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
