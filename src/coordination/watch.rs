//! Who reads the store for its failure domain, and who notices when that ends.
//!
//! The nodes of a failure domain stand in a row, by a hash of their names. The
//! first one reads the store for all. Each other node checks the one before it
//! once a second; when that one is silent it is left out of the row and those
//! before it are checked, twice as many at a time with each round, so the row
//! closes up whoever dies and however many. The first ones check each other across failure
//! domains. So each node is checked by one or two others however large the fleet
//! is, and every check also compares how far both are: whatever was missed is
//! found within a second or two.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use crate::{
    coordination::{
        host::Host,
        link::{Ask, Question},
        rank,
    },
    event::Event,
    id::Node,
    journal::note,
    protocol::news::Seen,
    state::member::Member,
};

/// The pause between checks. With the time to ask and to read it keeps the death
/// of a reader well within the 2 s in which a version must be in force.
const CHECK: Duration = Duration::from_millis(700);

/// How long a silent node is left out of the row.
const SILENT: Duration = Duration::from_secs(6);

/// Nodes that are asked at a time once those nearest in the row are silent. Thirty
/// that are cut off are passed over in five rounds of 0.25 s.
const AT_ONCE: usize = 16;

/// Nodes in a row that read the store when those before them can't. A store that
/// turns away a third of all nodes turns all of them away once in 81; one that is
/// down altogether is asked by so many of each failure domain, and not by all.
const STAND_INS: u8 = 4;

/// The job by which nodes are ranked.
const JOB: &str = "reader";

/// Checks the node before this one in the row, and takes the first one's place
/// where it must; never returns.
pub async fn keep(host: Arc<Host>, ask: Ask) {
    host.until_settled().await;
    loop {
        check(&host, &ask).await;
        tokio::time::sleep(CHECK.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
    }
}

async fn check(host: &Host, ask: &Ask) {
    let mut at_once = 1;
    loop {
        let mut before = before(host);
        if before.is_empty() {
            host.set_reading(true, 0);
            if let Some(other) = elsewhere(host) {
                compare(host, ask, &other).await;
            }
            return;
        }
        before.truncate(at_once);
        let asked = before.iter().map(|member| compare(host, ask, member));
        let nearest = join_all(asked).await.into_iter().flatten().next();
        if let Some(seen) = nearest {
            // One that can't read is stood in for, and stays what it is.
            host.set_reading((1..STAND_INS).contains(&seen.blind), seen.blind);
            return;
        }
        // A dead herd, or a cut around this node: one after the other its whole
        // failure domain would take longer to pass over than it stays left out.
        at_once = (at_once * 2).min(AT_ONCE);
    }
}

/// Asks a member how far it is; notes if it is silent.
async fn compare(host: &Host, ask: &Ask, member: &Member) -> Option<Seen> {
    let answer = ask(member.peers, Question::Seen).await;
    let seen = answer
        .ok()
        .and_then(|answer| rmp_serde::from_slice::<Seen>(&answer).ok());
    match seen {
        Some(seen) => {
            host.hear_of(seen.version, seen.members, member.peers);
            Some(seen)
        }
        None => {
            host.note_silent(&member.node, Instant::now() + SILENT);
            note!(
                host.journal,
                Event::MemberChanged,
                member = member.node,
                status = "silent"
            );
            None
        }
    }
}

/// Returns the nodes before this one in the row of its failure domain, the nearest
/// first.
pub fn before(host: &Host) -> Vec<Arc<Member>> {
    let settings = &host.settings;
    let members = host.members.read();
    let now = Instant::now();
    let in_row = |member: &Member| {
        member.domain == settings.domain
            && member.is_present()
            && !host.is_silent(&member.node, now)
    };
    let row = members.iter().filter(|member| in_row(member));
    rank::before(row, JOB, &settings.node, settings.bandwidth())
}

/// Returns a node of another failure domain, by chance the first of its row or
/// any other.
fn elsewhere(host: &Host) -> Option<Arc<Member>> {
    let settings = &host.settings;
    let members = host.members.read();
    let now = Instant::now();
    let others = members.iter().filter(|member| {
        member.domain != settings.domain
            && member.is_present()
            && !host.is_silent(&member.node, now)
    });
    fastrand::choose_multiple(others, 1)
        .into_iter()
        .next()
        .cloned()
}

/// Nodes that did not answer, until when they are left out.
pub type Silent = std::collections::HashMap<Node, Instant>;
