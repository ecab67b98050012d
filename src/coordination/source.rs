//! Loads the store's streams: whole versions of the routes, and the members.
//!
//! A starting node loads the members ([`start`]), and a first version of the
//! routes from a peer. Where no peer has one, the first-ranked nodes of each failure domain
//! read it from the store. After that, the first node in the ranking of each domain keeps
//! reading by long polling and sends what it read to the others ([`watch`], [`spread`]).
//! While the store is unreachable, and whenever another node reports something newer,
//! nodes ask peers instead ([`sync`]).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::OptionFuture;

use crate::{
    coordination::{
        Error,
        host::Host,
        interface::{CallPeer, Records, Store, Stream},
        records, spread, start, sync, watch,
    },
    event::Event,
    journal::note,
    protocol::update::{Changes, Update},
    unit::Span,
};

/// How long a read of the routes waits at the store for a new version. A store that stops
/// responding never answers the reads that wait there, not even after its return, and only a
/// timeout distinguishes it from a store without changes. Together with the timeout of an
/// answer, the wait must end within 3 s: from 3 s after an outage on, changes must be in force
/// in time again.
const ROUTES_MAX_WAIT: Span = Span::from_millis(1500);

/// How long a read of the members waits at the store for a new record. The platform allows
/// 30 s; this is a little less, so that the platform's answer ends the wait and not this node's
/// timeout. When a read of the routes fails, the read of the members is restarted.
const MEMBERS_MAX_WAIT: Span = Span::from_secs(25);

/// The pause after the first failed call; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between calls to a failing store. Its return must be noticed well
/// within the 2 s in which changes must be in force.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// How long a starting first-ranked node waits for peers before it reads the store. A
/// running peer answers within a few milliseconds; after a loss of power none is running,
/// and the store has the version as well.
const FIRST_RANKED_PEER_WAIT: Duration = Duration::from_millis(150);

/// Nodes of each failure domain, the first in its ranking, that read a first version from
/// the store when no peer has one; the others wait for them. The store's bandwidth is
/// limited: after a loss of power, with 295 nodes that all read 450 KB, the median node had
/// its version 1.2 s after its start. For 15 nodes the store needs 0.1 s at 80 MB/s.
pub const FIRST_RANKED: usize = 3;

/// How long the other starting nodes ask peers for a version before they wait for the reader: as
/// long as a fleet of hundreds needs to forward a version over links of 10 Mbit/s.
const PEER_WAIT: Duration = Duration::from_millis(1200);

/// The pause between two rounds of asking peers for a first version. It is about the time in
/// which a first-ranked node reads and decodes a version of 450 KB over a link of 100 Mbit/s.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long a task waits for another task of this process that retries its calls to a failing
/// store; one call per round is enough to notice the store's return. Longer than [`MAX_PAUSE`]
/// plus the duration of a call.
const STORE_RETURN_WAIT: Duration = Duration::from_secs(2);

/// Records of members that a reader reads once more, because its failure domain lacks them. They
/// have 400 bytes each. A domain that lacks more gets them from peers.
const MAX_REREAD_RECORDS: u64 = 256;

/// The pause after a read of members, so that changes in quick succession cost one call.
/// Nothing waits for these changes: the gate beside a target acts at once.
const MEMBERS_BATCH_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a read of the routes, so that versions in quick succession cost one
/// call. At the highest rate, versions are 0.2 s apart.
const ROUTES_BATCH_PAUSE: Duration = Duration::from_millis(30);

/// Follows one stream of the store; never returns.
pub async fn follow(host: Arc<Host>, store: Store, call_peer: CallPeer, stream: Stream) {
    match stream {
        Stream::Routes => load_first_routes(&host, &store, &call_peer).await,
        Stream::Members => start::load(&host, &store, &call_peer).await,
    }
    host.streams.until_membership_settled().await;
    follow_settled(host, store, call_peer, stream).await;
}

/// Follows a stream whose first content is loaded, while this node is the reader; never returns.
pub async fn follow_settled(host: Arc<Host>, store: Store, call_peer: CallPeer, stream: Stream) {
    let mut reading = host.streams.reading();
    loop {
        // Can't fail: `host` owns the sender.
        let _ = reading.wait_for(|reads| *reads).await;
        let read = async {
            sync::learn_delivered(&host, &call_peer).await;
            let learned = spread::send_learned(&host, &call_peer);
            let learned = OptionFuture::from((stream == Stream::Routes).then_some(learned));
            tokio::join!(read_tail(&host, &store, &call_peer, stream), learned);
        };
        tokio::select! {
            () = read => {}
            _ = reading.wait_for(|reads| !*reads) => {}
        }
    }
}

/// Loads a first version from a peer, or from the store if no peer has one.
///
/// A peer sends a version in half the bytes and without a call to the store. In a fleet that
/// starts as a whole no peer has one.
async fn load_first_routes(host: &Arc<Host>, store: &Store, call_peer: &CallPeer) {
    // Before, each node would take itself for the first of its ranking and read the store.
    host.streams.until_membership_settled().await;
    if host.version() > 0 {
        return;
    }
    let is_first_ranked = watch::predecessors(host).len() < FIRST_RANKED;
    let wait = if is_first_ranked {
        FIRST_RANKED_PEER_WAIT
    } else {
        PEER_WAIT
    };
    // If no peer has sent a version in time, the first-ranked nodes read the store. The others
    // receive what these read; if all of them are gone, the election of readers replaces them.
    let _ = tokio::time::timeout(wait, request_routes(host, call_peer, is_first_ranked)).await;
    if host.version() == 0 && is_first_ranked {
        read_newest(host, store, call_peer, Stream::Routes).await;
    }
}

/// Asks peers until one has sent a version. A first-ranked node asks one round only.
async fn request_routes(host: &Arc<Host>, call_peer: &CallPeer, is_first_ranked: bool) {
    loop {
        sync::with_peers(host, call_peer).await;
        if is_first_ranked || host.version() > 0 {
            return;
        }
        tokio::time::sleep(PEER_RETRY_PAUSE.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
    }
}

/// Loads a stream as a whole from the store.
///
/// # Errors
///
/// If the store doesn't answer, or turns this node away.
pub async fn read_once(host: &Host, store: &Store, stream: Stream) -> Result<(), Error> {
    let next = read_whole(host, store, stream).await?;
    host.streams.advance_offset(stream, next);
    Ok(())
}

/// Loads all members from the store, and then what a few peers know of them and the store doesn't.
///
/// The members count as known only after that, because a starting node takes its own record for
/// its last state then.
///
/// # Errors
///
/// If the store doesn't answer, or turns this node away.
pub async fn read_members(host: &Host, store: &Store, call_peer: &CallPeer) -> Result<(), Error> {
    let next = read_whole(host, store, Stream::Members).await?;
    sync::compare_members(host, call_peer).await;
    host.streams.advance_offset(Stream::Members, next);
    Ok(())
}

/// Applies all records of a stream; returns the offset after them.
async fn read_whole(host: &Host, store: &Store, stream: Stream) -> Result<u64, Error> {
    let since = Instant::now();
    let read = (store.newest)(stream).await;
    host.note_store("newest", &read, Some(since.elapsed()));
    let records = read?;
    records::apply_orders(host, &records.orders);
    records::apply_drains(host, &records, stream, true);
    records::apply_records(host, stream, &records.records, records.next);
    Ok(records.next)
}

/// Loads a stream as a whole from the store, or from peers while the store fails.
pub async fn read_newest(host: &Arc<Host>, store: &Store, call_peer: &CallPeer, stream: Stream) {
    let mut failures = 0;
    loop {
        let read = match stream {
            Stream::Routes => read_once(host, store, stream).await,
            Stream::Members => read_members(host, store, call_peer).await,
        };
        match read {
            Ok(()) => {
                note_store_up(host, stream, failures);
                return;
            }
            Err(error) => {
                note_store_down(host, stream, failures, &error);
                let before = host.streams.offset(stream);
                sync::with_peers(host, call_peer).await;
                if host.streams.offset(stream) > before {
                    return;
                }
                tokio::time::sleep(pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Keeps reading a stream and sends the records to the failure domain; never returns.
async fn read_tail(host: &Arc<Host>, store: &Store, call_peer: &CallPeer, stream: Stream) {
    let mut failures = 0;
    let mut is_behind = false;
    loop {
        // Without an offset, or when this node is behind, the stream is read as a whole, which
        // includes the content of the earlier records.
        let from = read_position(host, stream).filter(|_| !is_behind);
        let read = match from {
            Some(from) => (store.tail)(stream, from, max_wait(stream)),
            None => (store.newest)(stream),
        };
        let read = tokio::select! {
            read = read => read,
            () = host.streams.until_read_fails(), if stream == Stream::Members => {
                host.streams.until_store_answers(STORE_RETURN_WAIT).await;
                continue;
            }
        };
        let call = if from.is_some() { "tail" } else { "newest" };
        host.note_store(call, &read, None);
        match read {
            Ok(records) => {
                note_store_up(host, stream, failures);
                failures = 0;
                is_behind = false;
                host.streams.set_store_unreadable(false);
                apply_and_spread(host, call_peer, stream, from, records);
                tokio::time::sleep(batch_pause(stream)).await;
            }
            Err(Error::Expired(_)) => is_behind = true,
            Err(error) => {
                note_store_down(host, stream, failures, &error);
                host.streams.set_store_unreadable(true);
                host.streams.signal_read_failure();
                // The versions published during the outage are large: a slow link takes
                // seconds for all of them, and only the newest one counts.
                is_behind = stream == Stream::Routes;
                let delay = async {
                    match stream {
                        Stream::Routes => tokio::time::sleep(pause(failures)).await,
                        Stream::Members => {
                            host.streams.until_store_answers(STORE_RETURN_WAIT).await
                        }
                    }
                };
                tokio::join!(sync::with_peers(host, call_peer), delay);
                failures += 1;
            }
        }
    }
}

const fn max_wait(stream: Stream) -> Span {
    match stream {
        Stream::Routes => ROUTES_MAX_WAIT,
        Stream::Members => MEMBERS_MAX_WAIT,
    }
}

const fn batch_pause(stream: Stream) -> Duration {
    match stream {
        Stream::Routes => ROUTES_BATCH_PAUSE,
        Stream::Members => MEMBERS_BATCH_PAUSE,
    }
}

/// Returns the offset from which to read a stream on, if it was ever read.
///
/// This node may know members from a peer whose records its failure domain lacks: then it reads
/// these once more, and sends them.
fn read_position(host: &Host, stream: Stream) -> Option<u64> {
    let known = host.streams.offset(stream)?;
    let sent = match stream {
        // What this node knows of the routes from a peer is sent as such.
        Stream::Routes => 0,
        Stream::Members => host.delivered.members(),
    };
    let is_near = sent > 0 && known.saturating_sub(sent) <= MAX_REREAD_RECORDS;
    Some(if is_near { known.min(sent) } else { known })
}

/// Applies records from the store, and sends to the failure domain what it lacks.
fn apply_and_spread(
    host: &Arc<Host>,
    call_peer: &CallPeer,
    stream: Stream,
    from: Option<u64>,
    records: Records,
) {
    let before = host.version();
    let rollouts = records::apply_orders(host, &records.orders);
    let drains = records::apply_drains(host, &records, stream, from.is_none());
    records::apply_records(host, stream, &records.records, records.next);
    host.streams.advance_offset(stream, records.next);
    let has_orders = !rollouts.is_empty() || !drains.is_empty();
    let load = match stream {
        Stream::Routes => spread::undelivered_routes(host, before, has_orders),
        Stream::Members => {
            host.delivered.note_members(records.next);
            (!records.records.is_empty()).then_some(Changes::Members(records.records))
        }
    };
    let Some(load) = load else { return };
    let update = Update {
        from: from.unwrap_or(0),
        next: records.next,
        load,
        rollouts,
        drains,
        relay: Vec::new(),
        reader: host.settings.advertised().peers,
    };
    tokio::spawn(spread::to_domain(host.clone(), call_peer.clone(), update));
}

/// Returns the pause after `failures` consecutive failed calls, with a jitter of one fifth
/// up or down, so that the nodes of a fleet don't retry at the same time.
pub fn pause(failures: u32) -> Duration {
    let span = (FIRST_PAUSE * 2u32.saturating_pow(failures.min(8))).min(MAX_PAUSE);
    span.mul_f64(0.8 + 0.4 * fastrand::f64())
}

/// Returns the pause of a task after `failures` consecutive failed calls. It is longer while
/// another task of this process retries, because that one notices the store's return.
pub fn pause_while_others_retry(host: &Host, failures: u32) -> Duration {
    if host.streams.is_polling_store() {
        STORE_RETURN_WAIT
    } else {
        pause(failures)
    }
}

fn note_store_up(host: &Host, stream: Stream, failures: u32) {
    if failures > 0 {
        note!(
            host.journal,
            Event::LogUp,
            stream = format_args!("{stream:?}"),
            failures = failures
        );
    }
}

/// Logs the first of several consecutive failures to read a stream of the store.
pub fn note_store_down(host: &Host, stream: Stream, failures: u32, error: &Error) {
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
