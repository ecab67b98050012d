//! HTTP functions shared by the clients and servers.

use std::{pin::Pin, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, TryStreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::BodyDataStream;
use salvo::{
    Response,
    http::{ReqBody, ResBody},
};

use crate::{
    coordination::memory::{self, Full, Hold},
    protocol::{
        answer::{self, Refusal},
        framing,
    },
    settings::Settings,
    unit::{Size, Span},
};

/// A body as a stream of pieces.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>> + Send>>;

/// The timeout for opening a connection. Within one failure domain that takes about
/// a millisecond.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which an idle connection is closed. It is longer than the
/// interval between two pings of the same peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum number of idle connections that are kept to each peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// Returns a builder for HTTP clients that follow no redirects, make no retries of
/// their own and use no proxy.
pub fn client() -> reqwest::ClientBuilder {
    // Fails only if a provider is installed already, which works as well.
    let _ = rustls::crypto::ring::default_provider().install_default();
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_PEER)
}

/// Returns a builder for clients of other hosts. Their connections come from the
/// address that the node listens on, so that a host with several addresses always
/// uses the same one.
pub fn bound_client(settings: &Settings) -> reqwest::ClientBuilder {
    client().local_address(settings.listen.peers.ip())
}

/// Returns a builder for clients of other nodes. Each request names the sending
/// node and its failure domain in headers.
pub fn mesh_client(settings: &Settings) -> reqwest::ClientBuilder {
    let mut headers = HeaderMap::new();
    set(&mut headers, answer::NODE, &settings.node);
    set(&mut headers, answer::DOMAIN, &settings.domain);
    bound_client(settings).default_headers(headers)
}

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns `headers` without hop-by-hop headers and those of the system.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers, answer::PREFIX)
}

/// Returns `headers` without hop-by-hop headers and those whose names start with
/// `prefix`.
pub fn end_to_end(headers: &HeaderMap, prefix: &str) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let stays = |name: &HeaderName| {
        let name = name.as_str();
        let hop = HOP_BY_HOP.contains(&name) || named.iter().any(|n| n == name);
        !hop && !name.starts_with(prefix)
    };
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| stays(name)) {
        passed.append(name.clone(), value.clone());
    }
    passed
}

/// Sets a header of the system.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl ToString) {
    // Names and numbers are always valid header values.
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the value of a header, if it is valid text.
pub fn get<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the parsed value of a header, if it is valid.
pub fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    get(headers, name)?.parse().ok()
}

/// Writes a refusal to an answer.
pub fn refuse(res: &mut Response, refusal: &Refusal) {
    res.status_code(StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    set(headers, answer::OUTCOME, refusal.outcome);
    set(headers, answer::REASON, &refusal.reason);
    if let Some(later) = refusal.retry_after {
        set(headers, "retry-after", later.as_millis().div_ceil(1000));
    }
    let text = format!("{}: {}\n", refusal.outcome, refusal.reason);
    set(headers, "content-type", "text/plain; charset=utf-8");
    res.replace_body(ResBody::Once(text.into()));
}

/// Returns whether an answer states an outcome, as all answers of nodes do.
pub fn has_outcome(headers: &HeaderMap) -> bool {
    parse::<answer::Outcome>(headers, answer::OUTCOME).is_some()
}

/// Returns the refusal in a node's answer, or `None` if the answer is not a refusal.
pub fn refusal(response: &reqwest::Response) -> Option<Refusal> {
    let headers = response.headers();
    let outcome = parse(headers, answer::OUTCOME)?;
    if !matches!(outcome, answer::Outcome::NotRun | answer::Outcome::Unknown) {
        return None;
    }
    Some(Refusal {
        outcome,
        status: response.status().as_u16(),
        reason: get(headers, answer::REASON)
            .unwrap_or("no reason given")
            .into(),
        retry_after: parse(headers, "retry-after").map(Span::from_secs),
    })
}

/// Returns the body of a request as a stream that fails if it exceeds `max` bytes
/// or if a piece takes longer than `idle`.
pub fn request_pieces(body: ReqBody, max: Size, idle: Span) -> Pieces {
    let mut left = max.as_bytes();
    let limited = BodyDataStream::new(body).map(move |piece| {
        let piece = piece.map_err(std::io::Error::other)?;
        left = left
            .checked_sub(piece.len() as u64)
            .ok_or_else(|| std::io::Error::other("request body is larger than allowed"))?;
        Ok(piece)
    });
    with_idle_timeout(limited.boxed(), idle)
}

/// Returns the body of an answer as a stream that fails if a piece takes longer than
/// `idle`.
pub fn response_pieces(response: reqwest::Response, idle: Span) -> Pieces {
    with_idle_timeout(
        response
            .bytes_stream()
            .map_err(std::io::Error::other)
            .boxed(),
        idle,
    )
}

/// Returns a stream of `pieces` that fails if a piece takes longer than `idle`.
fn with_idle_timeout(pieces: Pieces, idle: Span) -> Pieces {
    let next = move |mut pieces: Pieces| async move {
        let piece = tokio::time::timeout(idle.duration(), pieces.next()).await;
        match piece {
            Ok(piece) => Some((piece?, pieces)),
            Err(_) => Some((Err(std::io::Error::other("body stood still")), pieces)),
        }
    };
    futures_util::stream::unfold(pieces, next).boxed()
}

/// Returns the whole body of at most `max` bytes, with `hold`, which has the memory that it takes.
///
/// # Errors
///
/// Returns an error if the body is incomplete or larger, or if there is no memory for it, which
/// [`is_full`] tells.
pub async fn whole(
    pieces: Pieces,
    max: usize,
    hold: Hold,
) -> Result<(Bytes, Hold), std::io::Error> {
    let body = tokio::select! {
        body = collect(pieces, max, &hold) => body?,
        () = hold.given_up() => return Err(std::io::Error::other(Full)),
    };
    hold.complete();
    Ok((body, hold))
}

async fn collect(mut pieces: Pieces, max: usize, hold: &Hold) -> Result<Bytes, std::io::Error> {
    let mut body = Vec::new();
    while let Some(piece) = pieces.next().await {
        let piece = piece?;
        let len = body.len() + piece.len();
        if len > max {
            return Err(std::io::Error::other("body is larger than allowed"));
        }
        if len > body.capacity() {
            let capacity = len.max(body.capacity() * 2).min(max);
            let growth = capacity - body.capacity();
            hold.grow(growth).map_err(std::io::Error::other)?;
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.into())
}

/// Returns whether a body could not be read for want of memory.
pub fn is_full(error: &std::io::Error) -> bool {
    error.get_ref().is_some_and(|error| error.is::<Full>())
}

/// Returns the refusal of a request whose body could not be read for want of memory. It has not run.
pub fn no_memory() -> Refusal {
    Refusal::not_run(Full.to_string(), memory::RETRY_AFTER)
}

/// Sets the body of an answer to a stream of pieces.
pub fn stream(res: &mut Response, pieces: Pieces) {
    res.stream(pieces);
}

/// Checks the head of the response to a request of `method`.
///
/// # Errors
///
/// If it doesn't tell where the body ends, or isn't that of a final response.
pub fn check_response(
    method: &http::Method,
    response: &reqwest::Response,
) -> Result<(), framing::Error> {
    let (status, version) = (response.status(), response.version());
    framing::check_response(method, status, version, response.headers())
}

/// A request to a node or target.
pub struct Outgoing {
    /// The method.
    pub method: http::Method,
    /// The URL of the node or target.
    pub url: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: reqwest::Body,
    /// The time by which the head of the answer must arrive.
    pub deadline: std::time::Instant,
}

/// The reason why no answer arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
    /// The deadline passed after something may have been sent.
    TimedOut,
}

impl Failure {
    /// Returns the refusal that reports this failure to the caller. `whom` names the
    /// node or target.
    pub fn refusal(&self, whom: &str) -> Refusal {
        match self {
            Self::NotSent => {
                Refusal::not_run(format!("{whom} can't be reached"), Span::from_secs(1))
            }
            Self::Broken => Refusal::unknown(502, format!("{whom} broke off")),
            Self::TimedOut => Refusal::unknown(504, format!("{whom} did not answer in time")),
        }
    }
}

/// Sends a request and returns the head of its answer.
///
/// # Errors
///
/// Returns the reason why no answer arrived. A timeout never counts as "not sent",
/// because the connection may have been established just before the timeout.
pub async fn forward(
    client: &reqwest::Client,
    out: Outgoing,
) -> Result<reqwest::Response, Failure> {
    let method = out.method.clone();
    let request = client
        .request(out.method, out.url)
        .headers(out.headers)
        .body(out.body)
        .send();
    match tokio::time::timeout_at(out.deadline.into(), request).await {
        Ok(Ok(response)) => match check_response(&method, &response) {
            Ok(()) => Ok(response),
            Err(_) => Err(Failure::Broken),
        },
        Ok(Err(error)) if error.is_connect() => Err(Failure::NotSent),
        Ok(Err(_)) => Err(Failure::Broken),
        Err(_) => Err(Failure::TimedOut),
    }
}
