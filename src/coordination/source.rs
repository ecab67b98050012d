//! Follows the store: whole versions of the routes, and the members.
//!
//! Each stream is read as a whole first and then by long waits from where that
//! ended, so a quiet store is asked twice a minute. While it can't be reached,
//! and whenever another node names something newer, peers are asked instead.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    coordination::{
        Error,
        host::Host,
        link::{Ask, Question, Records, Store, Stream},
    },
    event::Event,
    state::member::Member,
    unit::Span,
};

/// How long a read waits at the store for something new. The platform allows
/// 30 s; a little less, so that its answer and not our timeout ends the wait.
const WAIT: Span = Span::from_secs(25);

/// The pause after a first failed call; doubles up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between calls to a store that fails. Its return must be
/// noticed well within the 2 s in which changes are to be in force.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Peers that are asked at a time while the store fails.
const PEERS: usize = 2;

/// Follows one stream of the store; never returns.
pub async fn follow(host: Arc<Host>, store: Store, ask: Ask, stream: Stream) {
    let mut failures = 0;
    let mut next = None;
    loop {
        let got = match next {
            None => (store.newest)(stream).await,
            Some(from) => (store.tail)(stream, from, WAIT).await,
        };
        match got {
            Ok(records) => {
                if failures > 0 {
                    let details = format_args!("stream={stream:?} failures={failures}");
                    host.journal.write(Event::LogUp, details);
                }
                failures = 0;
                next = Some(records.next);
                take(&host, stream, records);
            }
            Err(Error::Expired(_)) => next = None,
            Err(error) => {
                if failures == 0 {
                    let why = crate::logging::chain(&error);
                    let details = format_args!("stream={stream:?} why={why:?}");
                    host.journal.write(Event::LogDown, details);
                }
                ask_around(&host, &ask).await;
                tokio::time::sleep(pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Asks whoever names something newer for it; never returns.
pub async fn follow_hints(host: Arc<Host>, ask: Ask) {
    loop {
        let peer = host.next_hint().await;
        for question in [Question::Routes, Question::Members] {
            // A peer that does not answer is no loss: the next one to name
            // something newer is asked.
            if let Ok(answer) = ask(peer, question).await {
                take_answer(&host, question, answer, "peer");
            }
        }
    }
}

/// Returns the pause after `failures` calls in a row that failed, with a fifth
/// by chance, so that a fleet does not come back in step.
pub fn pause(failures: u32) -> Duration {
    let span = (PAUSE * 2u32.saturating_pow(failures.min(8))).min(MAX_PAUSE);
    span.mul_f64(0.8 + 0.4 * fastrand::f64())
}

async fn ask_around(host: &Arc<Host>, ask: &Ask) {
    let peers = {
        let members = host.members.read();
        let others = members
            .iter()
            .filter(|member| member.node != host.settings.node && member.is_present());
        fastrand::choose_multiple(others.map(|member| member.peers), PEERS)
    };
    for peer in peers {
        for question in [Question::Routes, Question::Members] {
            // The next peer or the next round serves as well.
            if let Ok(answer) = ask(peer, question).await {
                take_answer(host, question, answer, "peer");
            }
        }
    }
}

fn take(host: &Host, stream: Stream, records: Records) {
    match stream {
        // Only the newest counts; what lies between was in force for nobody.
        Stream::Routes => {
            if let Some(newest) = records.records.into_iter().next_back() {
                host.take_routes(newest, "store");
            }
        }
        Stream::Members => {
            for record in records.records {
                take_member(host, &record);
            }
            host.members_known_to(records.next);
        }
    }
}

fn take_member(host: &Host, record: &[u8]) {
    match rmp_serde::from_slice::<Member>(record) {
        Ok(member) => {
            host.take_member(member, "store");
        }
        Err(error) => {
            let details = format_args!("stream=Members why={:?}", error.to_string());
            host.journal.write(Event::ChangeRejected, details);
        }
    }
}

/// The members that a node knows, and how far it follows them.
pub type MembersAnswer = (u64, Vec<Member>);

fn take_answer(host: &Host, question: Question, answer: Bytes, from: &str) {
    match question {
        Question::Routes => {
            if !answer.is_empty() {
                host.take_routes(answer, from);
            }
        }
        Question::Members => match rmp_serde::from_slice::<MembersAnswer>(&answer) {
            Ok((at, members)) => {
                for member in members {
                    host.take_member(member, from);
                }
                host.members_known_to(at);
            }
            Err(error) => {
                let details = format_args!("from={from} why={:?}", error.to_string());
                host.journal.write(Event::ChangeRejected, details);
            }
        },
    }
}

/// Returns the answer of this node to a question of another.
pub fn answer(host: &Host, question: Question) -> Bytes {
    match question {
        Question::Routes => host.routes().map_or_else(Bytes::new, |v| v.record.clone()),
        Question::Members => {
            let members = host.members.read();
            let known: Vec<&Member> = members.iter().map(AsRef::as_ref).collect();
            let at = host.members_at().unwrap_or(0);
            rmp_serde::to_vec_named(&(at, known))
                .expect("plain data always encodes")
                .into()
        }
    }
}
