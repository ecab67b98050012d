//! What a host process answers besides requests: questions of peers, calls of
//! the target, readiness checks, metrics.

use std::{sync::Arc, time::Duration};

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
        source,
    },
    event::Event,
    protocol::announce::Message,
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

/// Returns the way to ask other nodes.
pub fn ask() -> Ask {
    let pool = Arc::new(Pool::new(POOL));
    Arc::new(move |address, question| {
        let pool = pool.clone();
        async move {
            let path = match question {
                Question::Routes => ROUTES,
                Question::Members => MEMBERS,
            };
            let whom = || address.to_string();
            let mut request = Request::new(Body::whole(""));
            *request.uri_mut() = hyper::Uri::from_static(path);
            let deadline = std::time::Instant::now() + ANSWER;
            let sent = pool.send(address, request, deadline).await;
            let exchange = sent.map_err(|_| Error::NoAnswer(whom()))?;
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
        .boxed()
    })
}

/// Returns the handler of other nodes' questions.
pub fn peers(host: Arc<Host>) -> Handler {
    Arc::new(move |request: Request<Body>| {
        let answer = match request.uri().path() {
            ROUTES => Response::new(Body::whole(source::answer(&host, Question::Routes))),
            MEMBERS => Response::new(Body::whole(source::answer(&host, Question::Members))),
            _ => plain(StatusCode::NOT_FOUND),
        };
        std::future::ready(answer).boxed()
    })
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
    let message = match message {
        Ok(message) => message,
        Err(error) => {
            let why = crate::logging::chain(&error);
            let details = format_args!("reason=bad why={why:?}");
            host.journal.write(Event::TargetChanged, details);
            return plain(StatusCode::BAD_REQUEST);
        }
    };
    let change = take(&host, &message);
    if change == Change::Told {
        let details = format_args!("said={message:?}");
        host.journal.write(Event::TargetChanged, details);
        host.changed.notify_one();
    }
    host.set_gate();
    let is_leaving = host.local.lock().is_leaving();
    if is_leaving && !is_written(&host, &mut written).await {
        // Not kept, so not acknowledged: the target asks again.
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    acknowledged(host.words.acknowledgement.clone())
}

fn take(host: &Host, message: &Message) -> Change {
    let mut local = host.local.lock();
    match message {
        Message::Heartbeat(heartbeat) => local.hear(heartbeat, std::time::Instant::now()),
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
