//! What a host process answers besides requests: questions of peers, calls of
//! the target, readiness checks, metrics.

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
        link::{Ask, Question},
        local::Change,
        presence::Written,
        rollout::duty,
        source,
    },
    event::Event,
    journal::note,
    protocol::announce::Message,
    state::fingerprint::Fingerprint,
    transport::relay::{
        body::{self, Body, Read},
        plain,
        pool::{Pool, Settings},
        serve::{Handler, Phase},
    },
};

/// How connections to other nodes' control addresses are made and kept.
const POOL: Settings = Settings {
    connect: Duration::from_millis(250),
    keep: Duration::from_secs(12),
    kept: 2,
    total: 16,
};

/// How long a peer may take to answer a question: it answers from memory.
const ANSWER: Duration = Duration::from_millis(500);

/// The largest answer of a peer: members of a fleet of 13,000 at 400 bytes each.
const MAX_ANSWER: usize = 8 << 20;

/// The largest call of a target; heartbeats are a few hundred bytes.
const MAX_CALL: usize = 16 << 10;

/// How long a target is made to wait for its acknowledgement while the store has
/// not taken what it says. A target waits a second in all.
const WRITE: Duration = Duration::from_millis(700);

/// How long a call's body may stand still.
const CALL_IDLE: Duration = Duration::from_secs(1);

/// Where peers ask for the version of the routes.
const ROUTES: &str = "/routes";

/// Where peers ask for the members.
const MEMBERS: &str = "/members";

/// Where peers ask how far this node is.
const SEEN: &str = "/seen";

/// Where peers tell what they read.
const NEWS: &str = "/news";

/// Where operators ask how roll-outs stand.
const ROLLOUTS: &str = "/rollouts";

/// Where operators ask what is held back.
const HELD: &str = "/held";

/// Where operators let a request go that is held back.
const LET_GO: &str = "/let-go";

/// Returns the way to ask other nodes.
pub fn ask() -> Ask {
    let pool = Arc::new(Pool::new(POOL));
    Arc::new(move |address, question| {
        let pool = pool.clone();
        async move { ask_one(&pool, address, question).await }.boxed()
    })
}

async fn ask_one(pool: &Pool, address: SocketAddr, question: Question) -> Result<Bytes, Error> {
    let (path, body) = match question {
        Question::Routes(base) => (ROUTES, encode(&base)),
        Question::Members(marks) => (MEMBERS, encode(&marks)),
        Question::Seen => (SEEN, Bytes::new()),
        Question::Take(news) => (NEWS, encode(&news)),
    };
    let whom = || address.to_string();
    let mut request = Request::new(Body::whole(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let deadline = Instant::now() + ANSWER;
    let sent = pool.send(address, request, deadline).await;
    let exchange = sent.map_err(|failure| {
        if failure.is_silence() {
            Error::NoAnswer(whom())
        } else {
            Error::Unreachable(whom())
        }
    })?;
    if exchange.response.status() != StatusCode::OK {
        return Err(Error::Unexpected(whom()));
    }
    let read = body::read(exchange.response.into_body(), MAX_ANSWER, ANSWER).await;
    match read {
        Ok(Read::Whole(bytes)) => {
            pool.put_back(exchange.connection);
            Ok(bytes)
        }
        Ok(Read::Start(..)) | Err(_) => Err(Error::Unexpected(whom())),
    }
}

fn encode(value: &impl serde::Serialize) -> Bytes {
    rmp_serde::to_vec_named(value)
        .expect("plain data always encodes")
        .into()
}

/// Returns the handler of other nodes' questions.
pub fn peers(host: Arc<Host>, ask: Ask) -> Handler {
    Arc::new(move |request: Request<Body>| {
        let (host, ask) = (host.clone(), ask.clone());
        async move {
            match request.uri().path() {
                ROUTES => routes(&host, request.into_body()).await,
                MEMBERS => members(&host, request.into_body()).await,
                SEEN => Response::new(Body::whole(encode(&host.seen()))),
                NEWS => news(&host, &ask, request.into_body()).await,
                ROLLOUTS => json(&duty::progress(&host)),
                HELD => json(&host.reviews.held(Instant::now())),
                LET_GO => let_go(&host, request.into_body()).await,
                _ => plain(StatusCode::NOT_FOUND),
            }
        }
        .boxed()
    })
}

async fn routes(host: &Host, body: Body) -> Response<Body> {
    let read = body::read(body, MAX_CALL, ANSWER).await;
    let Ok(Read::Whole(bytes)) = read else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let Ok(base) = rmp_serde::from_slice(&bytes) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    match source::routes(host, base) {
        Some(delta) => Response::new(Body::whole(delta)),
        None => plain(StatusCode::NOT_FOUND),
    }
}

async fn members(host: &Host, body: Body) -> Response<Body> {
    let read = body::read(body, MAX_CALL, ANSWER).await;
    let Ok(Read::Whole(bytes)) = read else {
        return plain(StatusCode::BAD_REQUEST);
    };
    // Without marks everything differs.
    let marks: Vec<u32> = rmp_serde::from_slice(&bytes).unwrap_or_default();
    Response::new(Body::whole(source::members(host, &marks)))
}

async fn news(host: &Arc<Host>, ask: &Ask, body: Body) -> Response<Body> {
    let read = body::read(body, MAX_ANSWER, ANSWER).await;
    let Ok(Read::Whole(bytes)) = read else {
        return plain(StatusCode::BAD_REQUEST);
    };
    match source::decode(host, &bytes, "news", "reader") {
        Some(news) => {
            source::take_news(host, ask, news);
            plain(StatusCode::OK)
        }
        None => plain(StatusCode::BAD_REQUEST),
    }
}

async fn let_go(host: &Host, body: Body) -> Response<Body> {
    let read = body::read(body, MAX_CALL, ANSWER).await;
    let Ok(Read::Whole(bytes)) = read else {
        return plain(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice::<Fingerprint>(&bytes) {
        Ok(content) => json(&host.reviews.let_go(content)),
        Err(_) => plain(StatusCode::BAD_REQUEST),
    }
}

fn json(value: &impl serde::Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("plain data always encodes");
    acknowledged(body.into())
}

/// Returns the handler of readiness checks, whatever path they ask for.
pub fn ready(host: Arc<Host>, phase: watch::Receiver<Phase>) -> Handler {
    Arc::new(move |_| {
        let is_ready = host.is_ready() && *phase.borrow() == Phase::Serving;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(plain(status)).boxed()
    })
}

/// Returns the handler that shows metrics, whatever path is asked for.
pub fn metrics(host: Arc<Host>) -> Handler {
    Arc::new(move |_| {
        let mut response = Response::new(Body::whole(host.metrics()));
        let kind = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        std::future::ready(response).boxed()
    })
}

/// Returns the handler of the target's calls.
pub fn targets(host: Arc<Host>, written: watch::Receiver<Written>) -> Handler {
    Arc::new(move |request| {
        let (host, written) = (host.clone(), written.clone());
        async move { announced(host, written, request).await }.boxed()
    })
}

async fn announced(
    host: Arc<Host>,
    mut written: watch::Receiver<Written>,
    request: Request<Body>,
) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    let body = match body::read(incoming, MAX_CALL, CALL_IDLE).await {
        Ok(Read::Whole(bytes)) => bytes,
        Ok(Read::Start(..)) => return plain(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return plain(StatusCode::BAD_REQUEST),
    };
    if head.method != Method::POST {
        return plain(StatusCode::METHOD_NOT_ALLOWED);
    }
    let message = (host.words.announcement)(&head.method, head.uri.path(), &body);
    let message = match message.map_err(|error| crate::logging::chain(&error)) {
        Ok(Message::Heartbeat(heartbeat)) if heartbeat.service != *host.service() => {
            let why = format!("its service is {}", heartbeat.service);
            return refused(&host, &why);
        }
        Ok(message) => message,
        Err(why) => return refused(&host, &why),
    };
    let change = take(&host, &message);
    if change == Change::Told {
        note!(
            host.journal,
            Event::TargetChanged,
            said = format_args!("{message:?}")
        );
        host.changed.notify_one();
    }
    host.set_gate();
    let (is_leaving, is_recalled) = {
        let local = host.local.lock();
        (local.is_leaving(), local.is_recalled())
    };
    let leaves = is_leaving || matches!(message, Message::Leave(_));
    if leaves && !is_recalled {
        // What it leaves may stand in the store as ready; asked again, it will
        // be known here.
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    if is_leaving && !is_written(&host, &mut written).await {
        // Not kept, so not acknowledged: the target asks again.
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    acknowledged(host.words.acknowledgement.clone())
}

/// Refuses a call that is none of the target's here: it changes nothing.
fn refused(host: &Host, why: &str) -> Response<Body> {
    host.count_unusable("heartbeat");
    note!(
        host.journal,
        Event::TargetChanged,
        reason = "bad",
        why = why
    );
    plain(StatusCode::BAD_REQUEST)
}

fn take(host: &Host, message: &Message) -> Change {
    let mut local = host.local.lock();
    match message {
        Message::Heartbeat(heartbeat) => local.hear(heartbeat, Instant::now()),
        Message::Leave(instance) => local.leave(instance),
    }
}

/// Waits until the store has what the target said last.
async fn is_written(host: &Host, written: &mut watch::Receiver<Written>) -> bool {
    let told = host.local.lock().told();
    let is_there = written.wait_for(|written| written.targets.as_ref() == Some(&told));
    tokio::time::timeout(WRITE, is_there)
        .await
        .is_ok_and(|is_there| is_there.is_ok())
}

fn acknowledged(body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
