//! Everything that a host process serves besides callers' requests: requests of
//! peers and operators, heartbeats and leave calls of the target, readiness checks
//! and metrics.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::sync::watch;

use crate::{
    coordination::{
        Error,
        host::Host,
        interface::{CallPeer, PeerRequest},
        load_report::Intake,
        local::Change,
        memory::{Hold, Memory},
        presence::Recorded,
        records,
        rollout::controller,
        sync,
    },
    event::Event,
    host::metrics,
    id::Instance,
    journal::note,
    protocol::{announce::TargetCall, load_report::Message},
    state::fingerprint::Fingerprint,
    transport::relay::{
        body::{Body, ReadError, ReadResult, Reader},
        empty_response,
        pool::{Pool, Settings},
        serve::{Handler, Phase},
    },
};

/// Settings of the connections to the control addresses of peers.
const POOL_SETTINGS: Settings = Settings {
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(12),
    max_idle_per_address: 2,
    max_idle: 16,
};

/// How long a peer may take to respond, which it does from memory.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest message from a peer, in bytes: the members of a mesh of 13,000 take 400 bytes
/// each.
const MAX_PEER_MESSAGE: usize = 8 << 20;

/// The largest report of loads from a peer, in bytes: 256 entries of at most 150 bytes, and 32
/// names of services.
const MAX_LOADS: usize = 64 << 10;

/// The largest body of any other request, in bytes; heartbeats of targets have a few hundred.
const MAX_CALL: usize = 16 << 10;

/// How long the response to a target's heartbeat or leave call waits until the target's
/// state is in the store. The target waits 1 s for the response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest pause within the body of a target's heartbeat or leave call.
const CALL_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The path that returns the routes to peers, as a change from the version that they have.
const ROUTES: &str = "/routes";

/// The path that returns to peers the members that they lack.
const MEMBERS: &str = "/members";

/// The path that returns the progress of this node to peers.
const SEEN: &str = "/seen";

/// The path where peers report their counts of teams' requests.
const COUNTS: &str = "/counts";

/// The path where peers report the loads of targets.
const LOADS: &str = "/loads";

/// The path where peers deliver the records that they read from the store.
const NEWS: &str = "/news";

/// The path that returns the states of roll-outs to operators.
const ROLLOUTS: &str = "/rollouts";

/// The path that returns the latest drains of failure domains to operators.
const DRAINS: &str = "/drains";

/// The path that returns the quarantined requests to operators.
const HELD: &str = "/held";

/// The path that returns the known loads of targets to operators.
const ROOM: &str = "/room";

/// The path where operators release a quarantined request.
const LET_GO: &str = "/let-go";

/// Returns a function that sends requests to peers. Their answers are held in `memory`.
pub fn call_peer(memory: Arc<Memory>) -> CallPeer {
    let pool = Arc::new(Pool::new(POOL_SETTINGS));
    Arc::new(move |address, request| {
        let (pool, memory) = (pool.clone(), memory.clone());
        async move { send_request(&pool, &memory, address, request).await }.boxed()
    })
}

/// The response to a peer or an operator, or the status of one without a body.
type Answer = Result<Response<Body>, StatusCode>;

/// Reads a message of at most `max` bytes whose pieces come within `idle`; returns it with the
/// memory that it takes.
///
/// # Errors
///
/// The status of the response if it can't be read.
async fn read_message(
    memory: &Arc<Memory>,
    body: Body,
    max: usize,
    idle: Duration,
) -> Result<(Bytes, Hold), StatusCode> {
    let hold = memory.open();
    match Reader::new(&hold, max, idle).read(body).await {
        Ok(ReadResult::Whole(bytes)) => Ok((bytes, hold)),
        Ok(ReadResult::Partial(..)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(ReadError::NoMemory(_)) => Err(StatusCode::SERVICE_UNAVAILABLE),
        Err(ReadError::Stalled | ReadError::Interrupted(_)) => Err(StatusCode::BAD_REQUEST),
    }
}

async fn send_request(
    pool: &Pool,
    memory: &Arc<Memory>,
    address: SocketAddr,
    request: PeerRequest,
) -> Result<Bytes, Error> {
    let (path, body) = match request {
        PeerRequest::Routes(base) => (ROUTES, encode(&base)),
        PeerRequest::Members(hashes) => (MEMBERS, encode(&hashes)),
        PeerRequest::Progress => (SEEN, Bytes::new()),
        PeerRequest::Counts(report) => (COUNTS, encode(&report)),
        PeerRequest::Loads(message) => (LOADS, encode_compact(&message)),
        PeerRequest::Deliver(news) => (NEWS, encode(&news)),
    };
    let peer = || address.to_string();
    let mut request = Request::new(Body::whole(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let deadline = Instant::now() + PEER_TIMEOUT;
    let sent = pool.send(address, request, deadline).await;
    let exchange = sent.map_err(|failure| {
        if failure.is_timeout() {
            Error::NoAnswer(peer())
        } else {
            Error::Unreachable(peer())
        }
    })?;
    if exchange.response.status() != StatusCode::OK {
        return Err(Error::Unexpected(peer()));
    }
    let body = exchange.response.into_body();
    match read_message(memory, body, MAX_PEER_MESSAGE, PEER_TIMEOUT).await {
        Ok((bytes, _)) => {
            pool.put_back(exchange.connection);
            Ok(bytes)
        }
        Err(_) => Err(Error::Unexpected(peer())),
    }
}

fn encode(value: &impl serde::Serialize) -> Bytes {
    rmp_serde::to_vec_named(value)
        .expect("a message to a peer always encodes")
        .into()
}

/// Returns a message without field names, for those that are sent several times a second.
fn encode_compact(value: &impl serde::Serialize) -> Bytes {
    rmp_serde::to_vec(value)
        .expect("a message to a peer always encodes")
        .into()
}

/// Returns the handler of requests from peers and operators. Messages are held in `memory`.
pub fn peers(
    host: Arc<Host>,
    call_peer: CallPeer,
    intake: Arc<Intake>,
    memory: Arc<Memory>,
) -> Handler {
    Arc::new(move |request: Request<Body>| {
        let (host, call_peer, intake) = (host.clone(), call_peer.clone(), intake.clone());
        let memory = memory.clone();
        async move {
            let memory = &memory;
            let answer = match request.uri().path() {
                ROUTES => routes(&host, memory, request.into_body()).await,
                MEMBERS => members(&host, memory, request.into_body()).await,
                SEEN => Ok(Response::new(Body::whole(encode(&host.progress())))),
                COUNTS => counts(&host, memory, request.into_body()).await,
                LOADS => loads(&host, &intake, memory, request.into_body()).await,
                NEWS => news(&host, &call_peer, memory, request.into_body()).await,
                ROLLOUTS => Ok(json(&controller::progress(&host))),
                DRAINS => Ok(json(&host.drains.latest())),
                HELD => Ok(json(&host.quarantine.quarantined(Instant::now()))),
                ROOM => Ok(json(&host.load_reports.reported(Instant::now()))),
                LET_GO => let_go(&host, memory, request.into_body()).await,
                _ => Err(StatusCode::NOT_FOUND),
            };
            answer.unwrap_or_else(empty_response)
        }
        .boxed()
    })
}

async fn routes(host: &Host, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_CALL, PEER_TIMEOUT).await?;
    let Ok(base) = rmp_serde::from_slice(&bytes) else {
        return Err(StatusCode::BAD_REQUEST);
    };
    match sync::routes(host, base) {
        Some(delta) => Ok(Response::new(Body::whole(delta))),
        None => Err(StatusCode::NOT_FOUND),
    }
}

async fn members(host: &Host, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_CALL, PEER_TIMEOUT).await?;
    // Marks that can't be decoded count as none, so that all members are sent.
    let hashes: Vec<u32> = rmp_serde::from_slice(&bytes).unwrap_or_default();
    Ok(Response::new(Body::whole(sync::members(host, &hashes))))
}

async fn news(host: &Arc<Host>, call_peer: &CallPeer, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_PEER_MESSAGE, PEER_TIMEOUT).await?;
    match records::decode(host, &bytes, "news", "reader") {
        Some(news) => {
            records::apply_update(host, call_peer, news);
            Ok(empty_response(StatusCode::OK))
        }
        None => Err(StatusCode::BAD_REQUEST),
    }
}

async fn counts(host: &Host, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_PEER_MESSAGE, PEER_TIMEOUT).await?;
    let Some(routes) = host.routes() else {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    };
    match records::decode(host, &bytes, "counts", "peer") {
        Some(report) => {
            let limits = &host.rate_limits;
            let shares = limits.receive(report, &routes, host.nodes(), Instant::now());
            Ok(Response::new(Body::whole(encode(&shares))))
        }
        None => Err(StatusCode::BAD_REQUEST),
    }
}

async fn loads(host: &Host, intake: &Intake, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_LOADS, PEER_TIMEOUT).await?;
    if host.settings.load_reports == Some(false) {
        return Err(StatusCode::NOT_FOUND);
    }
    let Some(message) = records::decode::<Message>(host, &bytes, "loads", "peer") else {
        return Err(StatusCode::BAD_REQUEST);
    };
    let reply = intake.receive(message, Instant::now());
    Ok(Response::new(Body::whole(encode_compact(&reply))))
}

async fn let_go(host: &Host, memory: &Arc<Memory>, body: Body) -> Answer {
    let (bytes, _hold) = read_message(memory, body, MAX_CALL, PEER_TIMEOUT).await?;
    match serde_json::from_slice::<Fingerprint>(&bytes) {
        Ok(content) => Ok(json(&host.quarantine.release(content))),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn json(value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("a response to an operator always encodes");
    json_response(body.into())
}

/// Returns the handler of readiness checks, which ignores the path.
pub fn ready(host: Arc<Host>, phase: watch::Receiver<Phase>) -> Handler {
    Arc::new(move |_| {
        let is_ready = host.is_ready() && *phase.borrow() == Phase::Serving;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(empty_response(status)).boxed()
    })
}

/// Returns the handler that returns metrics, which ignores the path. `memories` are those of the kinds
/// of messages.
pub fn metrics<const N: usize>(
    host: Arc<Host>,
    memories: [(&'static str, Arc<Memory>); N],
) -> Handler {
    Arc::new(move |_| {
        for (kind, memory) in &memories {
            let held = host
                .metrics
                .held_bytes
                .get_or_create(&metrics::Memory { kind });
            held.set(memory.held().as_bytes() as i64);
        }
        let mut response = Response::new(Body::whole(host.metrics()));
        let content_type = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        std::future::ready(response).boxed()
    })
}

/// Returns the handler of the target's heartbeats and leave calls, which are held in `memory`.
pub fn targets(
    host: Arc<Host>,
    written: watch::Receiver<Recorded>,
    memory: Arc<Memory>,
) -> Handler {
    Arc::new(move |request| {
        let (host, written, memory) = (host.clone(), written.clone(), memory.clone());
        async move { target_call(host, written, &memory, request).await }.boxed()
    })
}

async fn target_call(
    host: Arc<Host>,
    mut written: watch::Receiver<Recorded>,
    memory: &Arc<Memory>,
    request: Request<Body>,
) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    let (body, _hold) = match read_message(memory, incoming, MAX_CALL, CALL_IDLE_TIMEOUT).await {
        Ok(read) => read,
        Err(status) => return empty_response(status),
    };
    if head.method != Method::POST {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    let message = (host.decoders.target_call)(&head.method, head.uri.path(), &body);
    let message = match message.map_err(|error| crate::logging::chain(&error)) {
        Ok(TargetCall::Heartbeat(heartbeat)) if heartbeat.service != *host.service() => {
            let why = format!("its service is {}", heartbeat.service);
            return reject_call(&host, &why);
        }
        Ok(message) => message,
        Err(why) => return reject_call(&host, &why),
    };
    let change = apply(&host, &message);
    if change == Change::Publish {
        note!(
            host.journal,
            Event::TargetChanged,
            said = format_args!("{message:?}")
        );
        host.own_record_changed.notify_one();
    }
    host.set_gate();
    let (is_leaving, is_recalled) = {
        let local = host.local.lock();
        (local.is_leaving(), local.is_restored())
    };
    let is_leave = is_leaving || matches!(message, TargetCall::Leave(_));
    if is_leave && !is_recalled {
        // This node has not restored its state yet, and the store may still list the target
        // as ready. By the time the target repeats the call, the state will be restored.
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if is_leaving && !is_written(&host, &mut written).await {
        // The state is not in the store, so it is not acknowledged and the target
        // repeats the call.
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    json_response(host.decoders.acknowledgement.clone())
}

/// Rejects an invalid heartbeat or leave call, or one from a target of another service; the
/// state stays unchanged.
fn reject_call(host: &Host, why: &str) -> Response<Body> {
    host.count_unusable("heartbeat");
    note!(
        host.journal,
        Event::TargetChanged,
        reason = "bad",
        why = why
    );
    empty_response(StatusCode::BAD_REQUEST)
}

fn apply(host: &Host, message: &TargetCall) -> Change {
    let mut local = host.local.lock();
    let running = local.target().filter(|target| !target.draining);
    let running = running.map(|target| target.instance.clone());
    let change = match message {
        TargetCall::Heartbeat(heartbeat) => local.apply_heartbeat(heartbeat, Instant::now()),
        TargetCall::Leave(instance) => local.leave(instance),
    };
    let is_replaced = |before: &Instance| {
        let current = local.target().map(|target| &target.instance);
        current.is_some_and(|current| !current.may_match(before))
    };
    let crashed = running.filter(is_replaced);
    drop(local);
    // An instance that another one replaced without a leave has crashed.
    if let Some(crashed) = crashed {
        let cancelled = host.quarantine.note_end(&crashed);
        host.log_cancelled(&crashed, &cancelled);
    }
    change
}

/// Waits until the latest state of the target is in the store; returns whether it is.
async fn is_written(host: &Host, written: &mut watch::Receiver<Recorded>) -> bool {
    let announced = host.local.lock().announced();
    let matching = written.wait_for(|written| written.targets.as_ref() == Some(&announced));
    tokio::time::timeout(WRITE_TIMEOUT, matching)
        .await
        .is_ok_and(|matching| matching.is_ok())
}

fn json_response(body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
