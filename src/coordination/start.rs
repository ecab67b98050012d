//! How a starting node learns of the fleet.
//!
//! 1. It reads the contacts from the store: a few nodes of each failure domain, whatever the
//!    size of the fleet ([`Contact`]).
//! 2. It asks those of its domain for the members and the routes, until one has them, and reads
//!    from the store what was recorded since that one read it.
//! 3. Contacts, and nodes whose contacts don't answer, read all members from the store. They ask
//!    a few nodes for members that those know better than the store.
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
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    coordination::{
        Error,
        host::Host,
        interface::{CallPeer, Store, Stream},
        records, source, sync,
    },
    event::Event,
    journal::note,
    protocol::{
        contact::{self, Contact},
        update::Progress,
    },
    state::member::Member,
    unit::Span,
};

/// Contacts asked in one round.
const ASKED_CONTACTS: usize = 2;

/// How long a node waits for its contacts before it reads the store itself: as long as contacts
/// that start at the same time need to read the members.
const CONTACT_WAIT: Duration = Duration::from_millis(2500);

/// How long a node waits for its contacts to settle. If all nodes read the store instead, most of
/// them would get no answer in time.
const SETTLE_WAIT: Duration = Duration::from_secs(10);

/// How long a node that becomes a contact asks the others before it reads the store. A running
/// one answers within milliseconds.
const OWN_CONTACT_WAIT: Duration = Duration::from_millis(150);

/// The pause between two rounds of asking contacts. Each contact is asked by a fixed share of its
/// domain, and an answer has a few bytes.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// A link of this bandwidth, in Mbit/s, delays a node's contact by [`LINK_DELAY`] on average; a
/// link of ten times as much by a tenth of it. So in a fleet that starts as a whole, nodes with
/// wide links become contacts, and the others find them.
const LINK: f64 = 20.0;

/// See [`LINK`].
const LINK_DELAY: Duration = Duration::from_millis(400);

/// How long the nodes of a fleet that starts as a whole take to write their records after the
/// first heartbeats of their targets.
const RECORD_TIME: Duration = Duration::from_millis(800);

/// Loads the members, and the routes if a contact has them. Returns once the membership is
/// settled.
pub async fn load(host: &Arc<Host>, store: &Store, call_peer: &CallPeer) {
    let is_first = host.settings.first_start;
    if is_first {
        tokio::time::sleep(link_delay(host)).await;
    }
    let mut contacts = read_contacts(host, store).await;
    if contacts.is_empty() && !is_first {
        tokio::time::sleep(link_delay(host)).await;
        contacts = read_contacts(host, store).await;
    }
    let own = own_contact(host);
    let start = Start {
        host,
        store,
        call_peer,
        was_contact: contacts.contains(&own),
        others: contacts
            .into_iter()
            .filter(|c| c.node != own.node)
            .collect(),
        own,
    };
    let from_contact = start.load_members().await;
    let is_contact = if host.members.read().get(&host.settings.node).is_some() {
        host.streams.note_membership_settled();
        start.claim_contact(from_contact).await
    } else {
        let is_contact = start.claim_contact(from_contact).await;
        tokio::time::sleep(heartbeat_wait(host) + RECORD_TIME).await;
        start.reload_members(is_contact).await;
        host.streams.note_membership_settled();
        is_contact
    };
    note!(
        host.journal,
        Event::MembershipSettled,
        contacts = start.others.len(),
        is_contact = is_contact,
        members = host.members.read().len(),
        version = host.version()
    );
}

/// Returns how long the targets of most nodes take for their first heartbeats when the fleet
/// starts as a whole.
fn heartbeat_wait(host: &Host) -> Duration {
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
                let decode = |record| records::decode::<Contact>(host, record, "contact", "store");
                return records.iter().filter_map(|record| decode(record)).collect();
            }
            Err(error) => {
                source::note_store_down(host, Stream::Members, failures, &error);
                tokio::time::sleep(source::pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// What a starting node knows and calls.
struct Start<'a> {
    host: &'a Arc<Host>,
    store: &'a Store,
    call_peer: &'a CallPeer,
    /// The contact that this node is, or would be.
    own: Contact,
    /// Whether the store has it: this node was a contact before its start.
    was_contact: bool,
    /// The other contacts.
    others: Vec<Contact>,
}

impl Start<'_> {
    /// Loads the members from a contact, or from the store if none has them in time. Returns
    /// whether a contact had them.
    ///
    /// A contact reads the store at once: when all nodes start, no other node can answer it, and
    /// the others wait for it.
    async fn load_members(&self) -> bool {
        if self.was_contact && self.read_store().await {
            return false;
        }
        let wait = match contact::is_wanted(&self.others, &self.own) {
            true => OWN_CONTACT_WAIT,
            false => CONTACT_WAIT,
        };
        if self.fetch(wait, |progress| progress.knows_members).await {
            return true;
        }
        source::read_newest(self.host, self.store, self.call_peer, Stream::Members).await;
        false
    }

    /// Loads the members that were recorded since the start: as a contact from the store,
    /// otherwise, or if the store turns this node away, from a contact that is settled.
    async fn reload_members(&self, is_contact: bool) {
        if is_contact && self.read_store().await {
            return;
        }
        // A contact that can't read the store doesn't know the latest records either. Nodes that
        // settled with what it has would take themselves for readers and ask a failing store.
        let is_settled = |progress: &Progress| progress.is_settled && progress.blind == 0;
        if !self.fetch(SETTLE_WAIT, is_settled).await {
            source::read_newest(self.host, self.store, self.call_peer, Stream::Members).await;
        }
    }

    /// Makes this node a contact if its domain has too few, or if none of them had the members.
    /// Returns whether it is one.
    async fn claim_contact(&self, from_contact: bool) -> bool {
        if self.was_contact {
            return true;
        }
        if from_contact {
            if !contact::is_wanted(&self.others, &self.own) {
                return false;
            }
            // A node with a wider link may have taken the place meanwhile.
            tokio::time::sleep(link_delay(self.host)).await;
            let others = read_contacts(self.host, self.store).await;
            if !contact::is_wanted(&others, &self.own) {
                return false;
            }
        }
        let since = Instant::now();
        let record = rmp_serde::to_vec_named(&self.own).expect("a contact always encodes");
        let put = (self.store.put_contact)(self.own.key(), record.into()).await;
        // If it fails, the domain has a contact less until a later start adds one.
        self.host.note_store("contact", &put, Some(since.elapsed()));
        put.is_ok()
    }

    /// Reads the members from the store once. Returns whether it answered.
    async fn read_store(&self) -> bool {
        let read = source::read_members(self.host, self.store, self.call_peer).await;
        if let Err(error) = &read {
            source::note_store_down(self.host, Stream::Members, 0, error);
        }
        read.is_ok()
    }

    /// Fetches the members and the routes from a contact that is `far_enough`. Returns whether one
    /// was within `wait`; what it then sends may take longer.
    async fn fetch(&self, wait: Duration, far_enough: impl Fn(&Progress) -> bool) -> bool {
        if self.others.is_empty() {
            return false;
        }
        let deadline = tokio::time::Instant::now() + wait;
        let found = || tokio::time::timeout_at(deadline, self.until_contact(&far_enough));
        while let Ok((peer, progress)) = found().await {
            if self.fetch_members(peer).await {
                sync::fetch_routes(self.host, self.call_peer, peer, &progress).await;
                return true;
            }
        }
        false
    }

    /// Asks a few contacts a round how far they are. Returns the first one that is `far_enough`,
    /// and its progress.
    async fn until_contact(
        &self,
        far_enough: impl Fn(&Progress) -> bool,
    ) -> (SocketAddr, Progress) {
        let mut asked = FuturesUnordered::new();
        loop {
            let nearest = contact::nearest(&self.others, &self.own.domain, ASKED_CONTACTS);
            let ask =
                |contact: &Contact| sync::fetch_progress(self.host, self.call_peer, contact.peers);
            asked.extend(nearest.into_iter().map(ask));
            // A round doesn't wait for the one before it: a dead contact answers nothing for a
            // quarter of a second.
            let pause = tokio::time::sleep(ROUND_PAUSE.mul_f64(0.8 + 0.4 * fastrand::f64()));
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    Some(answer) = asked.next() => {
                        if let Some((peer, progress)) = answer
                            && far_enough(&progress)
                        {
                            return (peer, progress);
                        }
                    }
                }
            }
        }
    }

    /// Fetches the members from a contact, and from the store what was recorded since the contact
    /// read it. Returns whether the contact answered.
    ///
    /// The contact may lack the newest record of this node, and with it a drain that was
    /// acknowledged to the target here just before this node's start. So the store is read before
    /// the members are known for the first time, unless there can be no such record. The contact's
    /// members come first: against them, records that the store executed late are recognized.
    async fn fetch_members(&self, peer: SocketAddr) -> bool {
        // All starting nodes ask for all members, so that a contact encodes them once.
        let members = sync::request_members(self.host, self.call_peer, peer, Vec::new()).await;
        let Some(members) = members else {
            return false;
        };
        let is_own = |member: &Member| member.node == self.own.node;
        let is_recorded = !self.host.settings.first_start || members.members.iter().any(is_own);
        let is_known = self.host.streams.offset(Stream::Members).is_some();
        if is_known || !is_recorded {
            sync::apply_members_answer(self.host, members);
            return true;
        }
        let mut known_to = members.at;
        sync::merge_members_answer(self.host, members);
        let since = Instant::now();
        let read = (self.store.tail)(Stream::Members, known_to, Span::from_millis(0)).await;
        self.host.note_store("tail", &read, Some(since.elapsed()));
        match read {
            Ok(records) => {
                records::apply_members(self.host, &records.records, records.next, "store");
                known_to = records.next;
            }
            Err(Error::Expired(_)) => return self.read_store().await,
            Err(error) => source::note_store_down(self.host, Stream::Members, 0, &error),
        }
        self.host.streams.advance_offset(Stream::Members, known_to);
        true
    }
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
    // Of nodes with equal links, a few come first and the others find them, too.
    LINK_DELAY.mul_f64(share.min(1.0) * (0.5 + fastrand::f64()))
}
