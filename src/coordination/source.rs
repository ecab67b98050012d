//! Takes in the store's streams: whole versions of the routes, and the members.
//!
//! A starting node reads the members, and takes a first version of the routes from a peer;
//! the heads of each failure domain's row read it themselves where no peer has one. After
//! that the first node of each domain reads on, by long waits, and tells the others
//! ([`watch`], [`spread`]). While the store can't be reached, and whenever another node
//! names something newer, peers are asked instead.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::join_all;

use crate::{
    coordination::{
        Error,
        host::Host,
        link::{Ask, Question, Records, Store, Stream},
        rollout::here,
        spread, watch,
    },
    event::Event,
    id::Name,
    journal::note,
    protocol::news::{Load, Members, News, Seen},
    state::{
        member::Member,
        rollout::{Rollout, Stage},
        routing::Delta,
    },
    unit::Span,
};

/// How long a read of the routes waits at the store for something new. A store
/// that falls silent leaves waiting reads without an answer, also after its
/// return, and nothing but time tells that from a quiet one. With the time for an
/// answer this must end before the 3 s after which changes are to be in time
/// again.
const WAIT_ROUTES: Span = Span::from_millis(1500);

/// The same for the members. The platform allows 30 s; a little less, so that its
/// answer and not our timeout ends the wait. When a read of the routes fails this
/// one is begun anew.
const WAIT_MEMBERS: Span = Span::from_secs(25);

/// The pause after a first failed call; doubles up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between calls to a store that fails. Its return must be
/// noticed well within the 2 s in which changes are to be in force.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// How long peers are waited for at a start. One that is there answers within a few
/// milliseconds; after a loss of power none is, and the store tells as well.
const FIRST: Duration = Duration::from_millis(150);

/// Nodes of each failure domain, the first of its row, that read a first version from the
/// store when no peer has one. The others wait for them: a store has a rate of bytes, and
/// after a loss of power 295 nodes that all read 450 KB had their version 1.2 s after
/// their start at the median, where 15 take 0.1 s of 80 MB/s for it.
const HEADS: usize = 3;

/// How long the others wait for a version of a peer before they read the store: as long
/// as a fleet of hundreds takes to hand one on over links of 10 Mbit/s.
const FIRST_BEHIND: Duration = Duration::from_millis(1200);

/// The pause between two rounds of asking for a first version: about the time in which a
/// head reads one of 450 KB over a link of 100 Mbit/s, with its decoding.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// How long a duty relies on another one of this process that asks a store which
/// fails: one call in a round is enough to find out that it is back. Longer than
/// [`MAX_PAUSE`] and a call's time.
const RELY: Duration = Duration::from_secs(2);

/// Peers that are asked at a time while the store fails.
const PEERS: usize = 2;

/// How long a node that the store does not know yet waits before it reads the
/// members again and takes up a role: a fleet that starts as one has written
/// itself down by then, each node with its target's first heartbeat (1.5 s).
const SETTLE: Duration = Duration::from_millis(2800);

/// The pause after records of members, so that changes which come together cost
/// one call. Nothing waits for it: the gate beside a target acts at once.
const GATHER: Duration = Duration::from_millis(200);

/// The same after a version. Versions come 0.2 s apart at the most.
const GATHER_ROUTES: Duration = Duration::from_millis(30);

/// Follows one stream of the store; never returns.
pub async fn follow(host: Arc<Host>, store: Store, ask: Ask, stream: Stream) {
    match stream {
        Stream::Routes => first_routes(&host, &store, &ask).await,
        Stream::Members => {
            read_newest(&host, &store, &ask, stream).await;
            settle(&host, &store, &ask).await;
        }
    }
    host.until_settled().await;
    let mut reading = host.reading();
    loop {
        // The host outlives its duties.
        let _ = reading.wait_for(|reads| *reads).await;
        tokio::select! {
            () = read_on(&host, &store, &ask, stream) => {}
            _ = reading.wait_for(|reads| !*reads) => {}
        }
    }
}

/// Takes a first version from peers, or from the store if they have none.
///
/// A peer tells it in half the bytes and without a call to the store; a fleet that
/// starts as one finds nobody who has it.
async fn first_routes(host: &Arc<Host>, store: &Store, ask: &Ask) {
    host.until_members_known().await;
    let is_head = watch::before(host).len() < HEADS;
    let wait = if is_head { FIRST } else { FIRST_BEHIND };
    // None of them having answered in time is what the store is there for.
    let _ = tokio::time::timeout(wait, until_told(host, ask, is_head)).await;
    if host.version() == 0 {
        read_newest(host, store, ask, Stream::Routes).await;
    }
}

/// Asks peers until one has told a version; a head asks once.
async fn until_told(host: &Arc<Host>, ask: &Ask, is_head: bool) {
    loop {
        ask_around(host, ask).await;
        if is_head || host.version() > 0 {
            return;
        }
        tokio::time::sleep(ASK_AGAIN.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
    }
}

/// Gives a fleet that starts as one the time to write itself down.
async fn settle(host: &Arc<Host>, store: &Store, ask: &Ask) {
    let is_known = host.members.read().get(&host.settings.node).is_some();
    if !is_known {
        tokio::time::sleep(SETTLE).await;
        read_newest(host, store, ask, Stream::Members).await;
    }
    host.settle();
}

/// Reads a stream as a whole, or what peers know of it.
async fn read_newest(host: &Arc<Host>, store: &Store, ask: &Ask, stream: Stream) {
    let mut failures = 0;
    loop {
        let since = Instant::now();
        let read = (store.newest)(stream).await;
        host.note_store("newest", &read, Some(since.elapsed()));
        match read {
            Ok(records) => {
                note_up(host, stream, failures);
                take_orders(host, &records.orders);
                take(host, stream, records.records);
                host.known_to(stream, records.next);
                return;
            }
            Err(error) => {
                note_down(host, stream, failures, &error);
                let before = host.at(stream);
                ask_around(host, ask).await;
                if host.at(stream) > before {
                    return;
                }
                tokio::time::sleep(pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Reads a stream on and tells the failure domain; never returns.
async fn read_on(host: &Arc<Host>, store: &Store, ask: &Ask, stream: Stream) {
    let mut failures = 0;
    let mut is_behind = false;
    loop {
        // What is read as a whole leaves nothing out that came before it.
        let from = host.at(stream).filter(|_| !is_behind);
        let read = match from {
            Some(from) => (store.tail)(stream, from, wait(stream)),
            None => (store.newest)(stream),
        };
        let read = tokio::select! {
            read = read => read,
            () = host.until_read_fails(), if stream == Stream::Members => {
                host.until_store_answers(RELY).await;
                continue;
            }
        };
        let call = if from.is_some() { "tail" } else { "newest" };
        host.note_store(call, &read, None);
        match read {
            Ok(records) => {
                note_up(host, stream, failures);
                failures = 0;
                is_behind = false;
                host.set_store_unreadable(false);
                take_on(host, ask, stream, from.unwrap_or(0), records);
                tokio::time::sleep(gather(stream)).await;
            }
            Err(Error::Expired(_)) => is_behind = true,
            Err(error) => {
                note_down(host, stream, failures, &error);
                host.set_store_unreadable(true);
                host.signal_read_failure();
                // Versions that came meanwhile are long: a thin link takes seconds
                // for all of them, and only the newest counts.
                is_behind = stream == Stream::Routes;
                let rest = async {
                    match stream {
                        Stream::Routes => tokio::time::sleep(pause(failures)).await,
                        Stream::Members => host.until_store_answers(RELY).await,
                    }
                };
                tokio::join!(ask_around(host, ask), rest);
                failures += 1;
            }
        }
    }
}

const fn wait(stream: Stream) -> Span {
    match stream {
        Stream::Routes => WAIT_ROUTES,
        Stream::Members => WAIT_MEMBERS,
    }
}

const fn gather(stream: Stream) -> Duration {
    match stream {
        Stream::Routes => GATHER_ROUTES,
        Stream::Members => GATHER,
    }
}

/// Takes what was read and tells the failure domain.
fn take_on(host: &Arc<Host>, ask: &Ask, stream: Stream, from: u64, records: Records) {
    let rollouts = take_orders(host, &records.orders);
    let load = take(host, stream, records.records);
    host.known_to(stream, records.next);
    // Where there is an order alone, it goes with a version that changes nothing.
    let unchanged = || host.routes_since(host.version()).map(Load::Routes);
    let load = load.or_else(|| (!rollouts.is_empty()).then(unchanged)?);
    let Some(load) = load else { return };
    let news = News {
        from,
        next: records.next,
        load,
        rollouts,
        relay: Vec::new(),
        reader: host.settings.advertised().peers,
    };
    tokio::spawn(spread::to_domain(host.clone(), ask.clone(), news));
}

/// Takes in what another node read, and tells it on.
pub fn take_news(host: &Arc<Host>, ask: &Ask, mut news: News) {
    if !news.relay.is_empty() {
        let told_on = News {
            relay: std::mem::take(&mut news.relay),
            ..news.clone()
        };
        tokio::spawn(spread::relay(ask.clone(), told_on));
    }
    here::take(host, news.rollouts, "reader");
    let stream = news.load.stream();
    let is_whole = match news.load {
        Load::Routes(delta) => host.apply_routes(delta, "reader"),
        Load::Members(records) => {
            take_members(host, &records, "reader");
            // Every record counts: those before must be known.
            host.at(stream) >= Some(news.from)
        }
    };
    if is_whole {
        host.known_to(stream, news.next);
    } else {
        host.hear_of(u64::MAX, news.next, news.reader);
    }
}

/// Asks whoever names something newer for it; never returns.
pub async fn follow_hints(host: Arc<Host>, ask: Ask) {
    loop {
        let peer = host.next_hint().await;
        ask_one(&host, &ask, peer).await;
    }
}

/// Returns the pause after `failures` calls in a row that failed, with a fifth
/// by chance, so that a fleet does not come back in step.
pub fn pause(failures: u32) -> Duration {
    let span = (PAUSE * 2u32.saturating_pow(failures.min(8))).min(MAX_PAUSE);
    span.mul_f64(0.8 + 0.4 * fastrand::f64())
}

/// Returns the pause of a duty that has not to find out by itself when the store is
/// back, where another one of this process does.
pub fn pause_beside(host: &Host, failures: u32) -> Duration {
    if host.is_polling_store() {
        RELY
    } else {
        pause(failures)
    }
}

fn note_up(host: &Host, stream: Stream, failures: u32) {
    if failures > 0 {
        note!(
            host.journal,
            Event::LogUp,
            stream = format_args!("{stream:?}"),
            failures = failures
        );
    }
}

fn note_down(host: &Host, stream: Stream, failures: u32, error: &Error) {
    if failures == 0 {
        let why = crate::logging::chain(error);
        note!(
            host.journal,
            Event::LogDown,
            stream = format_args!("{stream:?}"),
            why = why
        );
    }
}

/// Asks a few peers how far they are, and the first of them for what it has.
async fn ask_around(host: &Arc<Host>, ask: &Ask) {
    let heads = watch::before(host);
    let heads = heads.iter().rev().take(HEADS);
    let peers = {
        let members = host.members.read();
        let others = members
            .iter()
            .filter(|member| member.node != host.settings.node && member.is_present());
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|member| member.domain == host.settings.domain);
        // Heads first: their links are the widest, and they know it first. Far ones last, to
        // be asked for the whole only if they are ahead.
        let mut drawn = fastrand::choose_multiple(heads, 1);
        drawn.extend(fastrand::choose_multiple(near, PEERS));
        drawn.extend(fastrand::choose_multiple(far, PEERS));
        drawn.iter().map(|member| member.peers).collect::<Vec<_>>()
    };
    let asked = peers.into_iter().map(|peer| seen_by(host, ask, peer));
    let seen: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    let newest = |of: fn(&Seen) -> u64| seen.iter().rev().max_by_key(|(_, seen)| of(seen));
    if let Some((peer, seen)) = newest(|seen| seen.version) {
        fetch_routes(host, ask, *peer, seen).await;
    }
    if let Some((peer, seen)) = newest(|seen| seen.members) {
        fetch_members(host, ask, *peer, seen).await;
    }
}

/// Takes what a peer has that is newer than what is held here.
async fn ask_one(host: &Arc<Host>, ask: &Ask, peer: SocketAddr) {
    if let Some((_, seen)) = seen_by(host, ask, peer).await {
        fetch_routes(host, ask, peer, &seen).await;
        fetch_members(host, ask, peer, &seen).await;
    }
}

/// Asks a peer how far it is.
///
/// One that does not answer is no loss: the next one that names something newer is
/// asked, or the next round asks others.
async fn seen_by(host: &Host, ask: &Ask, peer: SocketAddr) -> Option<(SocketAddr, Seen)> {
    let answer = ask(peer, Question::Seen).await.ok()?;
    Some((peer, decode(host, &answer, "news", "peer")?))
}

async fn fetch_routes(host: &Host, ask: &Ask, peer: SocketAddr, seen: &Seen) {
    if seen.version > host.version()
        && let Ok(answer) = ask(peer, Question::Routes(host.version())).await
    {
        take_routes(host, &answer);
        // Its offset was told before its version, so nothing lies between.
        if host.version() >= seen.version && seen.routes > 0 {
            host.known_to(Stream::Routes, seen.routes);
        }
    }
}

async fn fetch_members(host: &Host, ask: &Ask, peer: SocketAddr, seen: &Seen) {
    if Some(seen.members) <= host.at(Stream::Members) {
        return;
    }
    let marks = host.members.read().marks().to_vec();
    if let Ok(answer) = ask(peer, Question::Members(marks)).await {
        take_table(host, &answer);
    }
}

fn take_routes(host: &Host, answer: &[u8]) {
    if let Some(delta) = decode::<Delta>(host, answer, "news", "peer") {
        host.apply_routes(delta, "peer");
    }
}

fn take_table(host: &Host, answer: &[u8]) {
    let Some(answer) = decode::<Members<Member>>(host, answer, "news", "peer") else {
        return;
    };
    here::take(host, answer.rollouts, "peer");
    host.take_members(answer.members, "peer");
    host.known_to(Stream::Members, answer.at);
}

/// Decodes a record or a message of another node, which is MessagePack; one that can't be
/// decoded is counted and written down.
pub fn decode<T: serde::de::DeserializeOwned>(
    host: &Host,
    bytes: &[u8],
    what: &'static str,
    from: &str,
) -> Option<T> {
    let decoded = rmp_serde::from_slice(bytes);
    if let Err(error) = &decoded {
        host.count_unusable(what);
        note!(
            host.journal,
            Event::ChangeRejected,
            what = what,
            from = from,
            why = error
        );
    }
    decoded.ok()
}

/// Takes in records of the store; returns what others are to be told of them.
fn take(host: &Host, stream: Stream, records: Vec<Bytes>) -> Option<Load> {
    match stream {
        // Only the newest counts; what lies between was in force for nobody. One that
        // can't be used hides no other.
        Stream::Routes => {
            let mut newest = records.iter().rev();
            let usable = newest.find_map(|record| host.apply_record(record, "store").ok());
            usable.flatten().map(Load::Routes)
        }
        Stream::Members => {
            take_members(host, &records, "store");
            (!records.is_empty()).then_some(Load::Members(records))
        }
    }
}

/// Takes in orders for roll-outs; returns those that can be used.
fn take_orders(host: &Host, orders: &[(u64, Bytes)]) -> Vec<Rollout> {
    let decoded = orders.iter().filter_map(|(offset, record)| {
        let order = (host.words.order)(record);
        if let Err(error) = &order {
            host.count_unusable("order");
            let why = crate::logging::chain(error);
            note!(
                host.journal,
                Event::ChangeRejected,
                what = "order",
                offset = offset,
                why = why
            );
        }
        let order = order.ok()?;
        Some(Rollout {
            service: order.service,
            order: *offset,
            from: None,
            to: order.to,
            duration: order.duration,
            stage: Stage::Ordered,
            began: here::time_of_day(),
        })
    });
    let rollouts: Vec<Rollout> = decoded.collect();
    here::take(host, rollouts.clone(), "store");
    rollouts
}

/// The key of a roll-out among the members: no node's name has a slash.
pub fn rollout_key(service: &Name) -> String {
    format!("rollout/{service}")
}

/// What stands in the stream of the members: a node, or a roll-out, which everyone has to
/// know that knows the targets.
enum Record {
    Member(Member),
    Rollout(Rollout),
}

fn decode_record(host: &Host, record: &[u8], from: &str) -> Option<Record> {
    match rmp_serde::from_slice(record) {
        Ok(rollout) => Some(Record::Rollout(rollout)),
        Err(_) => decode(host, record, "member", from).map(Record::Member),
    }
}

fn take_members(host: &Host, records: &[Bytes], from: &str) {
    let (mut members, mut rollouts) = (Vec::new(), Vec::new());
    for record in records {
        match decode_record(host, record, from) {
            Some(Record::Member(member)) => members.push(member),
            Some(Record::Rollout(rollout)) => rollouts.push(rollout),
            None => {}
        }
    }
    here::take(host, rollouts, from);
    host.take_members(members, from);
}

/// Returns what the version in force changes about version `base`, in
/// MessagePack; nothing if no version is in force.
pub fn routes(host: &Host, base: u64) -> Option<Bytes> {
    let delta = host.routes_since(base)?;
    let encoded = rmp_serde::to_vec(&delta).expect("plain data always encodes");
    Some(encoded.into())
}

/// Returns the members that differ from a table with these marks, in MessagePack.
///
/// While a fleet comes back from a loss of power, every node is a little behind some other
/// all the time. With all members told each time, 295 nodes sent 0.399 GB between failure
/// domains on such a day; with the difference, 0.226.
pub fn members(host: &Host, marks: &[u32]) -> Bytes {
    let at = host.at(Stream::Members).unwrap_or(0);
    let members = host.members.read();
    let differing = members.differing(marks);
    let answer = Members {
        at,
        members: differing
            .into_iter()
            .map(AsRef::as_ref)
            .collect::<Vec<&Member>>(),
        rollouts: host.rollouts.all(),
    };
    rmp_serde::to_vec_named(&answer)
        .expect("plain data always encodes")
        .into()
}
