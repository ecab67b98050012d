//! How a starting node learns of the fleet.
//!
//! 1. It reads the contacts from the store: a few nodes of each failure domain, whatever the
//!    size of the fleet ([`Contact`]).
//! 2. It asks those of its domain for the members and the routes, until one has them.
//! 3. Contacts, and nodes whose contacts don't answer, read the members from the store.
//! 4. A domain with too few contacts, or whose contacts didn't answer, gets one more: this node
//!    writes a contact of its own. Nodes with wide links come first.
//! 5. A node that the members don't include yet waits until the nodes of a fleet that starts as
//!    a whole have written their records. Contacts then read the members once more, and the
//!    others ask them. Without that, each would take itself for the only node of its domain, read
//!    the store and send all members to all others.
//!
//! So the store sends each starting node a constant number of bytes. When all nodes of a fleet of
//! 985 read all members, the store's bandwidth gave each of them its answer after seconds, beyond
//! the timeout, and no node ever started.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    coordination::{
        host::Host,
        interface::{CallPeer, Store, Stream},
        source,
    },
    event::Event,
    journal::note,
    protocol::{
        contact::{self, Contact},
        update::Progress,
    },
};

/// Contacts asked in one round.
const ASKED_CONTACTS: usize = 2;

/// How long a node waits for its contacts before it reads the store itself: as long as contacts
/// that start at the same time need to read the members.
const CONTACT_WAIT: Duration = Duration::from_millis(2500);

/// How long a node waits for its contacts to settle. If all nodes read the store instead, most of
/// them would get no answer in time.
const SETTLE_WAIT: Duration = Duration::from_secs(10);

/// How long a contact asks other contacts before it reads the store. A running one answers
/// within milliseconds.
const OWN_CONTACT_WAIT: Duration = Duration::from_millis(150);

/// The pause between two rounds of asking contacts.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// A link of this bandwidth, in Mbit/s, delays a node's contact by [`LINK_DELAY`]; a link of ten
/// times as much by a tenth of it. So in a fleet that starts as a whole, nodes with wide links
/// become contacts, and the others find them.
const LINK: f64 = 20.0;

/// See [`LINK`].
const LINK_DELAY: Duration = Duration::from_millis(400);

/// How long the nodes of a fleet that starts as a whole take to write their records after the
/// first heartbeats of their targets.
const RECORD_TIME: Duration = Duration::from_millis(800);

/// Loads the members, and the routes if a contact has them. Returns once the membership is
/// settled.
pub async fn load(host: &Arc<Host>, store: &Store, call_peer: &CallPeer) {
    let mut contacts = read_contacts(host, store).await;
    if contacts.is_empty() {
        tokio::time::sleep(link_delay(host)).await;
        contacts = read_contacts(host, store).await;
    }
    let from_contact = load_members(host, store, call_peer, &contacts).await;
    let is_known = host.members.read().get(&host.settings.node).is_some();
    if is_known {
        host.streams.note_membership_settled();
    }
    let is_contact = claim_contact(host, store, &contacts, from_contact).await;
    if !is_known {
        tokio::time::sleep(first_record_wait(host) + RECORD_TIME).await;
        reload_members(host, store, call_peer, &contacts, is_contact).await;
    }
    note!(
        host.journal,
        Event::MembershipSettled,
        contacts = contacts.len(),
        is_contact = is_contact,
        members = host.members.read().len(),
        version = host.version()
    );
    host.streams.note_membership_settled();
}

/// Makes this node a contact if its domain has too few, or if none of them had the members.
/// Returns whether it did.
async fn claim_contact(
    host: &Host,
    store: &Store,
    contacts: &[Contact],
    from_contact: bool,
) -> bool {
    let own = own_contact(host);
    if from_contact {
        if !contact::is_wanted(contacts, &own) {
            return false;
        }
        // A node with a wider link may have taken the place meanwhile.
        tokio::time::sleep(link_delay(host)).await;
        if !contact::is_wanted(&read_contacts(host, store).await, &own) {
            return false;
        }
    }
    let since = Instant::now();
    let record = rmp_serde::to_vec_named(&own).expect("a contact always encodes");
    let put = (store.put_contact)(own.key(), record.into()).await;
    // If it fails, the domain has a contact less until a later start adds one.
    host.note_store("contact", &put, Some(since.elapsed()));
    put.is_ok()
}

/// Returns how long a node without a record in the store waits for its target's first
/// heartbeat. Its first record then already has the target, which saves a second one.
pub fn first_record_wait(host: &Host) -> Duration {
    host.settings.heartbeat.duration() * 4 / 3
}

/// Reads the contacts, as often as it takes.
async fn read_contacts(host: &Host, store: &Store) -> Vec<Contact> {
    let mut failures = 0;
    loop {
        let since = Instant::now();
        let read = (store.contacts)().await;
        host.note_store("contacts", &read, Some(since.elapsed()));
        match read {
            Ok(records) => {
                let decode = |record| source::decode::<Contact>(host, record, "contact", "store");
                let contacts = records.iter().filter_map(|record| decode(record));
                let is_other = |contact: &Contact| contact.node != host.settings.node;
                return contacts.filter(is_other).collect();
            }
            Err(error) => {
                source::note_store_down(host, Stream::Members, failures, &error);
                tokio::time::sleep(source::pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Loads the members from a contact, or from the store if none has them in time. Returns whether
/// a contact had them.
async fn load_members(
    host: &Arc<Host>,
    store: &Store,
    call_peer: &CallPeer,
    contacts: &[Contact],
) -> bool {
    let wait = match contact::is_wanted(contacts, &own_contact(host)) {
        true => OWN_CONTACT_WAIT,
        false => CONTACT_WAIT,
    };
    let knows_members = |progress: &Progress| progress.knows_members;
    if ask_until(host, call_peer, contacts, wait, knows_members).await {
        return true;
    }
    source::read_newest(host, store, call_peer, Stream::Members).await;
    false
}

/// Loads the members that were recorded since the start: as a contact from the store, otherwise, or
/// if the store turns this node away, from a contact that is settled.
async fn reload_members(
    host: &Arc<Host>,
    store: &Store,
    call_peer: &CallPeer,
    contacts: &[Contact],
    is_contact: bool,
) {
    // A contact that can't read the store doesn't know the latest records either. Nodes that
    // settled with what it has would take themselves for readers and ask a failing store.
    let is_settled = |progress: &Progress| progress.is_settled && progress.blind == 0;
    if is_contact
        && source::read_once(host, store, Stream::Members)
            .await
            .is_ok()
    {
        return;
    }
    if !ask_until(host, call_peer, contacts, SETTLE_WAIT, is_settled).await {
        source::read_newest(host, store, call_peer, Stream::Members).await;
    }
}

/// Asks contacts for what they have until one is `far_enough`, for `wait` at most. Returns
/// whether one was.
async fn ask_until(
    host: &Host,
    call_peer: &CallPeer,
    contacts: &[Contact],
    wait: Duration,
    far_enough: impl Fn(&Progress) -> bool,
) -> bool {
    let rounds = async {
        while !ask(host, call_peer, contacts, &far_enough).await {
            tokio::time::sleep(ROUND_PAUSE.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        }
    };
    !contacts.is_empty() && tokio::time::timeout(wait, rounds).await.is_ok()
}

/// Asks a few contacts how far they are, and fetches what the first one has that is `far_enough`.
/// Returns whether there was one.
async fn ask(
    host: &Host,
    call_peer: &CallPeer,
    contacts: &[Contact],
    far_enough: impl Fn(&Progress) -> bool,
) -> bool {
    // All are asked at the same time: one that is dead answers nothing for a quarter of a second.
    let nearest = contact::nearest(contacts, &host.settings.domain, ASKED_CONTACTS);
    let asked = nearest
        .into_iter()
        .map(|contact| source::fetch_progress(host, call_peer, contact.peers));
    let mut answers: FuturesUnordered<_> = asked.collect();
    while let Some(answer) = answers.next().await {
        if let Some((peer, progress)) = answer
            && far_enough(&progress)
        {
            source::fetch(host, call_peer, peer, &progress).await;
            return host.streams.offset(Stream::Members).is_some();
        }
    }
    false
}

fn own_contact(host: &Host) -> Contact {
    Contact {
        node: host.settings.node.clone(),
        domain: host.settings.domain.clone(),
        peers: host.settings.advertised().peers,
        bandwidth: host.settings.bandwidth(),
    }
}

fn link_delay(host: &Host) -> Duration {
    let bandwidth = f64::from(host.settings.bandwidth());
    // An unknown bandwidth counts as a wide link.
    let share = if bandwidth == 0.0 {
        0.0
    } else {
        LINK / bandwidth
    };
    LINK_DELAY.mul_f64(share.min(1.0))
}
