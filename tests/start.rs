//! The start of a fleet: what the store is asked for, by the number of nodes.

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
        interface::{CallPeer, Decoders, PeerRequest, Records, Store, Stream},
        source, start,
    },
    document::Document,
    event::Journal,
    host::Settings,
    id::{Incarnation, Instance},
    protocol::{contact::Contact, dialect::Dialect},
    state::member::{Member, Status, Target},
};

/// The failure domains of each fleet.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The most contacts of each failure domain.
const MAX_CONTACTS: usize = 4;

/// A store without a size limit that counts what it sends.
#[derive(Default)]
struct FakeStore {
    contacts: Mutex<BTreeMap<String, Bytes>>,
    members: Mutex<BTreeMap<String, Bytes>>,
    whole_reads: Mutex<usize>,
}

/// The running nodes, by their addresses for peers.
type Nodes = Arc<Mutex<HashMap<SocketAddr, Arc<Host>>>>;

fn store(fake: &Arc<FakeStore>) -> Store {
    let [newest, put, contacts, put_contact] = std::array::from_fn(|_| fake.clone());
    Store {
        newest: Arc::new(move |stream| {
            assert_eq!(stream, Stream::Members);
            *newest.whole_reads.lock() += 1;
            let members = newest.members.lock();
            let records = Records {
                next: members.len() as u64,
                records: members.values().cloned().collect(),
                ..Records::default()
            };
            async { Ok(records) }.boxed()
        }),
        tail: Arc::new(|_, _, _| std::future::pending().boxed()),
        put: Arc::new(move |key, record| {
            put.members.lock().insert(key, record);
            async { Ok(()) }.boxed()
        }),
        contacts: Arc::new(move || {
            let all = contacts.contacts.lock().values().cloned().collect();
            async { Ok(all) }.boxed()
        }),
        put_contact: Arc::new(move |key, record| {
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
                PeerRequest::Members(hashes) => Ok(source::members(&node, &hashes)),
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
    let (own, domain) = (address(number), DOMAINS[number % DOMAINS.len()]);
    let bandwidth = if number.is_multiple_of(10) { 1000 } else { 20 };
    let settings = format!(
        r#"{{"node": "n{number}", "domain": "{domain}", "service": "a", "listen": {{
            "callers": "{own}", "inbound": "{own}", "peers": "{own}", "targets": "{own}",
            "ready": "{own}", "metrics": "{own}"}}, "store": "127.0.0.1:1",
            "heartbeat": "30ms", "grace": "6s", "bandwidth": {bandwidth},
            "resend": {{"ratio": 0.2, "slack": 62, "window": "10s"}}, "descriptors": 1024}}"#
    );
    let document = Document::parse("host", &settings).unwrap();
    let decoders = Decoders {
        routes: Arc::new(|_| unreachable!("the test decodes no version")),
        order: Arc::new(|_| unreachable!("the test decodes no order")),
        target_call: Arc::new(|_, _, _| unreachable!("no target calls in this test")),
        acknowledgement: Default::default(),
        dialect: Dialect::default(),
    };
    let journal = Journal::start_json("n", Box::new(std::io::sink()));
    let settings = Settings::from_document(&document).unwrap();
    Arc::new(Host::new(settings, decoders, journal))
}

fn member(number: usize) -> Member {
    Member {
        node: format!("n{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
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
    *fake.whole_reads.lock() = 0;
    let nodes = Nodes::default();
    let hosts: Vec<_> = (0..count).map(host).collect();
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
    let known = fake.members.lock().len();
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
            let record = rmp_serde::to_vec_named(&member(number)).unwrap();
            fake.members
                .lock()
                .insert(format!("n{number}"), record.into());
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
