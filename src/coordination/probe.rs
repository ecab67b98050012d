//! Probes unreachable nodes in the background, apart from the requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::{
        Error,
        decision::reach::Loss,
        host::Host,
        link::{Ask, Question},
    },
    event::Event,
    journal::note,
    protocol::news::Seen,
    state::member::Member,
};

/// The shortest time between two rounds of probes. Each node is probed at intervals of 0.2 s
/// and more; probes that become due within one round are sent together.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// Sends each probe when it is due; never returns.
pub async fn keep(host: Arc<Host>, ask: Ask) {
    loop {
        let next = host.balance.lock().reach.next();
        match next {
            // The end of a probe that is under way wakes this task.
            None => host.lost.notified().await,
            Some(next) => tokio::select! {
                () = tokio::time::sleep_until(next.into()) => {}
                () = host.lost.notified() => {}
            },
        }
        send_due(&host, &ask);
        tokio::time::sleep(MIN_ROUND).await;
    }
}

fn send_due(host: &Arc<Host>, ask: &Ask) {
    let due = {
        let members = host.members.read();
        let mut balance = host.balance.lock();
        balance.reach.due(&members, Instant::now())
    };
    for member in due {
        let (host, ask) = (host.clone(), ask.clone());
        tokio::spawn(async move {
            probe(&host, &ask, &member).await;
            host.lost.notify_one();
        });
    }
}

/// Asks one node for its state and records whether it answered.
async fn probe(host: &Host, ask: &Ask, member: &Member) {
    let answer = ask(member.peers, Question::Seen).await;
    let now = Instant::now();
    let loss = match &answer {
        Ok(_) => {
            let was_unreachable = host.balance.lock().reach.hear(member);
            if was_unreachable {
                note!(host.journal, Event::Returned, target = member.node);
            }
            None
        }
        Err(Error::Unreachable(_)) => Some(Loss::Closed),
        Err(_) => Some(Loss::Silent),
    };
    if let Some(loss) = loss {
        host.balance.lock().reach.lose(member, loss, now);
    }
    // An answer that can't be decoded has no versions, but shows that the node is reachable.
    let seen = answer.ok();
    if let Some(seen) = seen.and_then(|seen| rmp_serde::from_slice::<Seen>(&seen).ok()) {
        host.hear_of(seen.version, seen.members, member.peers);
    }
}
