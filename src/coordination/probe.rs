//! Probes unreachable nodes in the background, apart from the requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error,
        decision::reach::Failure,
        host::Host,
        interface::{CallPeer, PeerRequest},
    },
    event::Event,
    journal::note,
    protocol::update::Progress,
    state::member::Member,
};

/// The shortest time between two rounds of probes. Each node is probed at intervals of 0.2 s
/// and more; probes that become due within one round are sent together.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// Sends each probe when it is due; never returns.
pub async fn run(host: Arc<Host>, call_peer: CallPeer) {
    loop {
        let next = host.balancer.lock().reachability.next_probe();
        match next {
            // The end of a probe that is under way wakes this task.
            None => host.node_unreachable.notified().await,
            Some(next) => tokio::select! {
                () = tokio::time::sleep_until(next.into()) => {}
                () = host.node_unreachable.notified() => {}
            },
        }
        send_due(&host, &call_peer);
        tokio::time::sleep(MIN_ROUND).await;
    }
}

fn send_due(host: &Arc<Host>, call_peer: &CallPeer) {
    let due = {
        let members = host.members.read();
        let mut balancer = host.balancer.lock();
        balancer.reachability.due_probes(&members, Instant::now())
    };
    for member in due {
        let (host, call_peer) = (host.clone(), call_peer.clone());
        tokio::spawn(async move {
            probe(&host, &call_peer, &member).await;
            host.node_unreachable.notify_one();
        });
    }
}

/// Asks one node for its state and records whether it answered.
async fn probe(host: &Host, call_peer: &CallPeer, member: &Member) {
    let answer = call_peer(member.peers, PeerRequest::Progress).await;
    let now = Instant::now();
    let failure = match &answer {
        Ok(_) => {
            let was_unreachable = host.balancer.lock().reachability.record_answer(member);
            if was_unreachable {
                note!(host.journal, Event::Returned, target = member.node);
            }
            None
        }
        Err(Error::Unreachable(_)) => Some(Failure::Closed),
        Err(_) => Some(Failure::Silent),
    };
    if let Some(failure) = failure {
        host.balancer
            .lock()
            .reachability
            .record_failure(member, failure, now);
    }
    // An answer that can't be decoded has no versions, but shows that the node is reachable.
    let answer = answer.ok();
    if let Some(progress) =
        answer.and_then(|answer| rmp_serde::from_slice::<Progress>(&answer).ok())
    {
        host.receive_drains(progress.drains, "peer");
        host.note_newer(progress.version, progress.members, member.peers);
    }
}
