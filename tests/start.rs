//! The start of a fleet: what the store is asked for, by the number of nodes.

mod support;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use futures_util::{FutureExt, future::join_all};
use parking_lot::Mutex;
use rilltrack::{
    coordination::{
        Error,
        host::Host,
        interface::{CallPeer, PeerRequest, Records, Store, Stream},
        source, start, sync,
    },
    id::{Incarnation, Instance},
    protocol::{contact::Contact, update::Progress},
    state::member::{Member, Status, Target},
};

/// The failure domains of each fleet.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The most contacts of each failure domain.
const MAX_CONTACTS: usize = 4;

/// The bandwidth of a wide link, and of the others, in Mbit/s.
const WIDE: u32 = 1000;
const NARROW: u32 = 20;

/// A store without a size limit that counts what it is asked for.
#[derive(Default)]
struct FakeStore {
    contacts: Mutex<BTreeMap<String, Bytes>>,
    /// All records of members, by their offset.
    members: Mutex<Vec<(String, Bytes)>>,
    whole_reads: Mutex<usize>,
    /// Calls other than whole reads.
    small_calls: Mutex<usize>,
    contact_puts: Mutex<usize>,
}

impl FakeStore {
    fn append(&self, member: &Member) {
        let record = rmp_serde::to_vec_named(member).unwrap();
        let key = member.node.to_string();
        self.members.lock().push((key, record.into()));
    }

    /// Returns the newest record of each key.
    fn newest(&self) -> Records {
        let members = self.members.lock();
        let newest: BTreeMap<_, _> = members.iter().cloned().collect();
        Records {
            next: members.len() as u64,
            records: newest.into_values().collect(),
            ..Records::default()
        }
    }

    /// Returns the records from an offset on.
    fn tail(&self, from: u64) -> Records {
        let members = self.members.lock();
        let tail = members.iter().skip(from as usize);
        Records {
            next: members.len() as u64,
            records: tail.map(|(_, record)| record.clone()).collect(),
            ..Records::default()
        }
    }
}

/// The running nodes, by their addresses for peers.
type Nodes = Arc<Mutex<HashMap<SocketAddr, Arc<Host>>>>;

fn store(fake: &Arc<FakeStore>) -> Store {
    let [newest, tail, put, contacts, put_contact] = std::array::from_fn(|_| fake.clone());
    Store {
        newest: Arc::new(move |stream| {
            assert_eq!(stream, Stream::Members);
            *newest.whole_reads.lock() += 1;
            let records = newest.newest();
            async { Ok(records) }.boxed()
        }),
        tail: Arc::new(move |stream, from, _| {
            assert_eq!(stream, Stream::Members);
            *tail.small_calls.lock() += 1;
            let records = tail.tail(from);
            async { Ok(records) }.boxed()
        }),
        put: Arc::new(move |write| {
            let mut members = put.members.lock();
            members.push((write.key, write.record));
            let end = members.len() as u64;
            async move { Ok(end) }.boxed()
        }),
        contacts: Arc::new(move || {
            *contacts.small_calls.lock() += 1;
            let all = contacts.contacts.lock().values().cloned().collect();
            async { Ok(all) }.boxed()
        }),
        put_contact: Arc::new(move |key, record| {
            *put_contact.contact_puts.lock() += 1;
            put_contact.contacts.lock().insert(key, record);
            async { Ok(()) }.boxed()
        }),
        read_status: Arc::new(|_| std::future::pending().boxed()),
        write_status: Arc::new(|_, _| std::future::pending().boxed()),
    }
}

/// Returns a function that answers from the memory of the node at an address.
fn call_peer(nodes: &Nodes) -> CallPeer {
    let nodes = nodes.clone();
    Arc::new(move |address, request| {
        let node = nodes.lock().get(&address).cloned();
        async move {
            let node = node.ok_or_else(|| Error::Unreachable(address.to_string()))?;
            match request {
                PeerRequest::Progress => {
                    Ok(rmp_serde::to_vec_named(&node.progress()).unwrap().into())
                }
                PeerRequest::Members(hashes) => Ok(sync::members(&node, &hashes)),
                _ => Err(Error::Unexpected(address.to_string())),
            }
        }
        .boxed()
    })
}

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 7600).into()
}

/// Returns the state of a node that starts. One in ten has a wide link.
fn host(number: usize) -> Arc<Host> {
    let bandwidth = if number.is_multiple_of(10) {
        WIDE
    } else {
        NARROW
    };
    host_with(number, bandwidth, false)
}

/// Returns the state of a node that starts, maybe as one of a mesh that starts for the first time.
fn host_with(number: usize, bandwidth: u32, first_start: bool) -> Arc<Host> {
    let (own, domain) = (address(number), DOMAINS[number % DOMAINS.len()]);
    let settings = format!(
        r#"{{"node": "n{number}", "domain": "{domain}", "service": "a", "listen": {{
            "callers": "{own}", "inbound": "{own}", "peers": "{own}", "targets": "{own}",
            "ready": "{own}", "metrics": "{own}"}}, "store": "127.0.0.1:1",
            "heartbeat": "30ms", "grace": "6s", "bandwidth": {bandwidth},
            "first_start": {first_start},
            "resend": {{"ratio": 0.2, "slack": 62, "window": "10s"}}, "descriptors": 1024}}"#
    );
    Arc::new(support::host::starting(&settings))
}

fn member(number: usize) -> Member {
    Member {
        node: format!("n{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: DOMAINS[number % DOMAINS.len()].parse().unwrap(),
        peers: address(number),
        inbound: address(number),
        labels: Default::default(),
        targets: vec![Target {
            service: "a".parse().unwrap(),
            address: address(number),
            http2: false,
            draining: false,
            slots: 4,
            instance: Instance::from("i1"),
            release: None,
            verdict: None,
        }],
        bandwidth: 20,
        evidence: Default::default(),
    }
}

/// Starts `count` nodes at once over a store. Returns how often it was read as a whole.
async fn start_fleet(fake: &Arc<FakeStore>, count: usize) -> usize {
    start_hosts(fake, (0..count).map(host).collect()).await
}

/// Starts nodes at once over a store. Returns how often it was read as a whole.
async fn start_hosts(fake: &Arc<FakeStore>, hosts: Vec<Arc<Host>>) -> usize {
    *fake.whole_reads.lock() = 0;
    let nodes = Nodes::default();
    nodes.lock().extend(
        hosts
            .iter()
            .enumerate()
            .map(|(i, host)| (address(i), host.clone())),
    );
    let starts = hosts.iter().map(|host| {
        let (host, store, call_peer) = (host.clone(), store(fake), call_peer(&nodes));
        tokio::spawn(async move { start::load(&host, &store, &call_peer).await })
    });
    for started in join_all(starts).await {
        started.unwrap();
    }
    let known = fake.newest().records.len();
    assert!(hosts.iter().all(|host| host.members.read().len() == known));
    *fake.whole_reads.lock()
}

#[tokio::test(flavor = "multi_thread")]
async fn number_of_whole_reads_does_not_grow_with_the_fleet() {
    for count in [30, 240] {
        let fake = Arc::new(FakeStore::default());
        start_fleet(&fake, count).await;
        assert!(fake.contacts.lock().len() <= DOMAINS.len() * MAX_CONTACTS);
        for number in 0..count {
            fake.append(&member(number));
        }
        // After a loss of power, all start again.
        let reads = start_fleet(&fake, count).await;
        assert!(reads <= DOMAINS.len() * MAX_CONTACTS, "{reads} of {count}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn contacts_that_are_gone_are_replaced() {
    let fake = Arc::new(FakeStore::default());
    start_fleet(&fake, 30).await;
    // None of the contacts runs any more.
    let gone: SocketAddr = "10.9.9.9:1".parse().unwrap();
    for record in fake.contacts.lock().values_mut() {
        let mut contact: Contact = rmp_serde::from_slice(record).unwrap();
        contact.peers = gone;
        *record = rmp_serde::to_vec_named(&contact).unwrap().into();
    }
    start_fleet(&fake, 30).await;
    for record in fake.contacts.lock().values() {
        let contact: Contact = rmp_serde::from_slice(record).unwrap();
        assert_ne!(contact.peers, gone, "{}", contact.node);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_start_costs_most_nodes_one_call() {
    let fake = Arc::new(FakeStore::default());
    let bandwidth = |i: usize| if i.is_multiple_of(10) { WIDE } else { NARROW };
    let hosts = (0..240).map(|i| host_with(i, bandwidth(i), true));
    start_hosts(&fake, hosts.collect()).await;
    // Those whose place is free look a second time whether they are still wanted.
    let calls = *fake.small_calls.lock();
    assert!(calls < 240 + 240 / 2, "{calls} calls of 240 nodes");
}

#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_with_equal_links_become_contacts() {
    let fake = Arc::new(FakeStore::default());
    let hosts = (0..240).map(|i| host_with(i, NARROW, true)).collect();
    start_hosts(&fake, hosts).await;
    let puts = *fake.contact_puts.lock();
    assert!(puts < 120, "{puts} of 240 nodes wrote a contact");
}

/// Starts a fleet of 30 nodes over a store that has a member record of each.
async fn recorded_fleet() -> Arc<FakeStore> {
    let fake = Arc::new(FakeStore::default());
    start_fleet(&fake, 30).await;
    for number in 0..30 {
        fake.append(&member(number));
    }
    fake
}

/// Returns the contacts that the store has.
fn contacts(fake: &FakeStore) -> Vec<Contact> {
    let contacts = fake.contacts.lock();
    let decode = |record: &Bytes| rmp_serde::from_slice(record).unwrap();
    contacts.values().map(decode).collect()
}

/// Returns the number of a node that isn't a contact.
fn other(contacts: &[Contact]) -> usize {
    let is_other = |number: &usize| contacts.iter().all(|c| c.peers != address(*number));
    (0..30).find(is_other).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_that_a_contact_does_not_know_yet_is_known_after_a_start() {
    let fake = recorded_fleet().await;
    let nodes = Nodes::default();
    for contact in contacts(&fake) {
        let number = (0..30).find(|i| address(*i) == contact.peers).unwrap();
        let running = host(number);
        source::read_once(&running, &store(&fake), Stream::Members)
            .await
            .unwrap();
        nodes.lock().insert(contact.peers, running);
    }
    let number = other(&contacts(&fake));
    let mut drained = member(number);
    drained.sequence += 1;
    drained.targets[0].draining = true;
    fake.append(&drained);
    *fake.whole_reads.lock() = 0;
    let started = host(number);
    start::load(&started, &store(&fake), &call_peer(&nodes)).await;
    assert_eq!(*fake.whole_reads.lock(), 0, "a contact had the members");
    let members = started.members.read();
    let own = members.get(&drained.node).unwrap();
    assert!(own.targets[0].draining);
}

#[tokio::test(flavor = "multi_thread")]
async fn former_contact_reads_the_store_before_it_asks_anyone() {
    let fake = recorded_fleet().await;
    let contact = &contacts(&fake)[0];
    let number = (0..30).find(|i| address(*i) == contact.peers).unwrap();
    *fake.whole_reads.lock() = 0;
    let reads = fake.clone();
    let nobody: CallPeer = Arc::new(move |address, _| {
        assert!(*reads.whole_reads.lock() > 0, "{address} was asked first");
        async move { Err(Error::Unreachable(address.to_string())) }.boxed()
    });
    start::load(&host(number), &store(&fake), &nobody).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn contact_that_does_not_answer_holds_up_no_other() {
    let fake = recorded_fleet().await;
    let number = other(&contacts(&fake));
    let domain = DOMAINS[number % DOMAINS.len()];
    let mut near = contacts(&fake);
    near.retain(|contact| contact.domain.as_str() == domain);
    // The node's own place is held, so it waits for its contacts: one is dead, the other one is
    // still starting when it is asked first.
    let place = Contact {
        node: member(number).node,
        ..near[0].clone()
    };
    let (held, others): (Vec<_>, Vec<_>) = near.iter().partition(|c| c.key() == place.key());
    let (living, dead) = (held[0].peers, others[0].peers);
    let is_asked = |contact: &Contact| [living, dead].contains(&contact.peers);
    fake.contacts
        .lock()
        .retain(|_, record| is_asked(&rmp_serde::from_slice(record).unwrap()));
    let running = host(number);
    source::read_once(&running, &store(&fake), Stream::Members)
        .await
        .unwrap();
    let nodes = Nodes::default();
    nodes.lock().insert(living, running);
    let (answers, is_first) = (call_peer(&nodes), Mutex::new(true));
    let calls: CallPeer = Arc::new(move |address, request| {
        if address == dead {
            return std::future::pending().boxed();
        }
        if std::mem::take(&mut *is_first.lock()) {
            let starting = Progress::default();
            let answer = rmp_serde::to_vec_named(&starting).unwrap().into();
            return async { Ok(answer) }.boxed();
        }
        answers(address, request)
    });
    *fake.whole_reads.lock() = 0;
    start::load(&host(number), &store(&fake), &calls).await;
    assert_eq!(*fake.whole_reads.lock(), 0, "a contact had the members");
}

#[test]
fn nodes_that_ask_at_the_same_time_share_an_answer() {
    let running = host(0);
    running.merge_members((0..30).map(member).collect(), "test");
    let [one, two] = [(); 2].map(|()| sync::members(&running, &[]));
    assert_eq!(one.as_ptr(), two.as_ptr());
    running.merge_members(vec![member(30)], "test");
    let later = sync::members(&running, &[]);
    assert_ne!(one, later);
    // Another node's table differs, so it gets another answer.
    let hashes = running.members.read().bucket_hashes().to_vec();
    assert!(sync::members(&running, &hashes).len() < later.len());
    assert_eq!(sync::members(&running, &[]), later);
}

#[tokio::test(flavor = "multi_thread")]
async fn contact_that_breaks_off_is_asked_again_before_the_node_settles() {
    let fake = recorded_fleet().await;
    // A new node whose place is held, so that it stays without one.
    let held: Vec<String> = contacts(&fake).iter().map(Contact::key).collect();
    let place = |number: &usize| Contact {
        node: member(*number).node,
        domain: member(*number).domain,
        ..contacts(&fake)[0].clone()
    };
    let number = (100..200).find(|number| held.contains(&place(number).key()));
    let running = host(0);
    source::read_once(&running, &store(&fake), Stream::Members)
        .await
        .unwrap();
    running.streams.note_membership_settled();
    let nodes = Nodes::default();
    let peers = contacts(&fake).into_iter().map(|contact| contact.peers);
    nodes
        .lock()
        .extend(peers.map(|peers| (peers, running.clone())));
    let (answers, asked) = (call_peer(&nodes), Mutex::new(0));
    let calls: CallPeer = Arc::new(move |address, request| {
        if matches!(request, PeerRequest::Members(_)) {
            let mut asked = asked.lock();
            *asked += 1;
            if *asked == 2 {
                running.merge_members(vec![member(250)], "test");
                return async { Err(Error::Unreachable("contact".into())) }.boxed();
            }
        }
        answers(address, request)
    });
    let started = host(number.unwrap());
    start::load(&started, &store(&fake), &calls).await;
    let members = started.members.read();
    assert!(members.get(&member(250).node).is_some());
}
