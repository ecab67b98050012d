//! The request path of a host process, on hyper.
//!
//! [`egress`] receives a caller's request and selects its route and a target.
//! The node beside that target receives the request at [`ingress`] and forwards
//! it to the target once the gate admits it. [`control`] serves peers, targets,
//! readiness checks and metrics.
//!
//! The rest of the product uses salvo and reqwest. This module uses hyper
//! directly, since the two hide whether any byte of a request was sent and
//! whether an idle connection holds unread bytes before it is reused
//! (docs/DESIGN.md).

pub mod attempt;
pub mod body;
pub mod call;
pub mod codec;
pub mod completion;
pub mod connections;
pub mod control;
pub mod delivery;
pub mod egress;
pub mod health;
pub mod http1_server;
pub mod ingress;
pub mod io;
pub mod offer;
pub mod peer_client;
pub mod pool;
pub mod request_fingerprint;
pub mod run;
pub mod selection;
pub mod serve;

use std::time::Duration;

use hyper::{HeaderMap, Response, StatusCode, http::request};

use crate::{
    protocol::{answer::Refusal, hop},
    transport::{http, relay::body::Body},
};

/// The largest body of an answer or of a request between nodes that is buffered whole, in bytes. The
/// node where a request comes in holds larger ones, too, as far as its memory allows
/// ([`Memory::max_whole`](crate::coordination::memory::Memory::max_whole)).
pub const MAX_BUFFERED_BODY: usize = 512 << 10;

/// Headers that a node handles itself and never forwards.
const LOCAL_HEADERS: [&str; 1] = ["expect"];

/// Returns the headers of a request or response that are forwarded.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = http::end_to_end(headers, hop::HEADER);
    for name in LOCAL_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns a response with `status` and an empty body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::whole(""));
    *response.status_mut() = status;
    response
}

/// Returns the response to a rejected request with `left` until its deadline.
///
/// `retry-after` is at most a third of `left`: after a longer pause the caller
/// would have no time left for the response.
pub fn refusal_response(refusal: &Refusal, left: Duration) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Body::whole(format!(
        "{}: {}\n",
        refusal.outcome, refusal.reason
    )));
    *response.status_mut() = status;
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.duration().min(left / 3).as_secs_f64();
        http::set(
            response.headers_mut(),
            "retry-after",
            format_args!("{seconds:.3}"),
        );
    }
    response
}

/// Returns the `Host` of a request in lower case and without the port.
pub fn host_of(head: &request::Parts) -> String {
    let host = http::get(&head.headers, "host").or_else(|| head.uri.host());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
