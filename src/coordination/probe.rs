//! Asks nodes that can't be reached whether they are back, beside the requests.

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

/// The shortest time between two looks at what is due. The pauses are 0.2 s and
/// more; what falls due within it is asked in one go.
const LOOK: Duration = Duration::from_millis(50);

/// Asks whoever is due; never returns.
pub async fn keep(host: Arc<Host>, ask: Ask) {
    loop {
        let next = host.balance.lock().reach.next();
        match next {
            // Whatever is under way wakes this duty when it ends.
            None => host.lost.notified().await,
            Some(next) => tokio::select! {
                () = tokio::time::sleep_until(next.into()) => {}
                () = host.lost.notified() => {}
            },
        }
        ask_due(&host, &ask);
        tokio::time::sleep(LOOK).await;
    }
}

fn ask_due(host: &Arc<Host>, ask: &Ask) {
    let due = {
        let members = host.members.read();
        let mut balance = host.balance.lock();
        balance.reach.due(&members, Instant::now())
    };
    for member in due {
        let (host, ask) = (host.clone(), ask.clone());
        tokio::spawn(async move {
            ask_one(&host, &ask, &member).await;
            host.lost.notify_one();
        });
    }
}

async fn ask_one(host: &Host, ask: &Ask, member: &Member) {
    let answer = ask(member.peers, Question::Seen).await;
    let now = Instant::now();
    let loss = match &answer {
        Ok(_) => {
            let was_lost = host.balance.lock().reach.hear(member);
            if was_lost {
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
    // One that can't be read says nothing of versions; that it is there counts.
    let seen = answer.ok();
    if let Some(seen) = seen.and_then(|seen| rmp_serde::from_slice::<Seen>(&seen).ok()) {
        host.hear_of(seen.version, seen.members, member.peers);
    }
}
