//! The route, service and policy that apply to a caller's request.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use http_body::Body as _;
use salvo::Request;

use crate::{
    coordination::{
        memory::{Hold, Memory},
        node::Node,
    },
    event::Event,
    id::Name,
    protocol::answer::{self, Refusal},
    state::{region::Distance, resource::Class, version::Version, view},
    transport::{
        http::{self, Pieces},
        inbound::Onward,
        keyed,
    },
    unit::{Size, Span},
};

/// The size in bytes of the largest body that is buffered for retries.
const MAX_RETRY_BODY: u64 = 64 << 10;

/// A request with the route and service that the view gives for it.
pub struct Plan {
    /// The version of the view.
    pub version: Version,
    /// The route that matched.
    pub route: Name,
    /// The service that the route leads to.
    pub service: Arc<view::Service>,
    /// The request's class.
    pub class: Class,
    /// The forwarded parts of the request.
    pub onward: Onward,
    /// The time by which the answer must have begun.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Plan {
    /// Returns the plan for a request: its route, service, class and deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no route matches or the deadline has passed. The request
    /// has not run.
    pub fn new(node: &Node, req: &Request) -> Result<Self, Refusal> {
        let view = node.require_view()?;
        let onward = Onward::of(req);
        let host = host(req);
        let (path, method) = (req.uri().path(), onward.method.as_str());
        let Some(route) = view.route(host.as_deref(), path, method) else {
            let details = format_args!(
                "host={host:?} path={path} method={method} version={}",
                view.version
            );
            node.journal.write(Event::NoRoute, details);
            return Err(Refusal::rejected(404, "no route matches"));
        };
        let Some(service) = view.service(&route.service).cloned() else {
            // A view contains the service of each of its routes. If this one does not,
            // the request must be refused.
            return Err(Refusal::not_run(
                "the route's service is not in the view",
                Span::from_secs(1),
            ));
        };
        let policy = &service.policy;
        let asked: Option<u64> = http::parse(req.headers(), answer::DEADLINE);
        let left = asked.map_or(policy.timeout, |ms| {
            Span::from_millis(ms).min(policy.timeout)
        });
        if left.as_millis() == 0 {
            return Err(Refusal::rejected(504, "the deadline has passed"));
        }
        let repeatable = policy.repeat.allows(method);
        let class = route.class.unwrap_or(policy.class);
        let deadline = Instant::now() + left.duration();
        Ok(Self {
            version: view.version,
            route: route.name.clone(),
            service,
            class,
            onward,
            deadline,
            repeatable,
        })
    }

    /// Returns the distance of a failure domain.
    pub fn distance(&self, domain: &Name) -> Distance {
        self.service
            .allowed
            .get(domain)
            .copied()
            .unwrap_or(Distance::OtherRegion)
    }
}

/// A request body, either buffered whole or streamed once.
pub enum Body {
    /// The whole body, which can be sent in a retry, and the memory that it takes.
    Whole(Bytes, Option<Hold>),
    /// The stream of pieces. `None` once it is taken.
    Once(Option<Pieces>),
}

impl Body {
    /// Returns the body of a request. A small body is held whole in `memory`, so that it can be
    /// sent in a retry.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the body is too large or incomplete. The request has not
    /// run.
    pub async fn of(
        req: &mut Request,
        plan: &Plan,
        idle: Span,
        memory: &Arc<Memory>,
    ) -> Result<Self, Refusal> {
        let max = plan.service.policy.max_body;
        let length: Option<u64> = http::parse(req.headers(), "content-length");
        let chunked = req.headers().contains_key("transfer-encoding");
        if length.is_some_and(|length| length > max.as_bytes()) {
            return Err(Refusal::rejected(
                413,
                format!("request body is larger than {max}"),
            ));
        }
        // An HTTP/2 request without a body need not have a content-length: the end of the
        // stream marks the empty body.
        let body = req.take_body();
        if length.is_none() && !chunked && body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new(), None));
        }
        let keyed = plan.onward.headers.contains_key(answer::KEY);
        let kept = if keyed {
            keyed::MAX_BODY as u64
        } else {
            MAX_RETRY_BODY
        };
        if keyed && length.is_none_or(|length| length > kept) {
            return Err(Refusal::rejected(
                413,
                format!("a keyed request needs a content-length up to {kept}"),
            ));
        }
        if length.is_some_and(|length| length <= kept) {
            let pieces = http::request_pieces(body, Size::from_bytes(kept), idle);
            let whole = http::whole(pieces, kept as usize, memory.open()).await;
            let (whole, hold) = whole.map_err(|error| match http::is_full(&error) {
                true => http::no_memory(),
                false => Refusal::rejected(400, "the request body did not arrive whole"),
            })?;
            return Ok(Self::Whole(whole, Some(hold)));
        }
        Ok(Self::Once(Some(http::request_pieces(body, max, idle))))
    }

    /// Returns the body to send, or `None` if a streamed body was already taken.
    pub fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Whole(bytes, _) => Some(bytes.clone().into()),
            Self::Once(pieces) => pieces.take().map(reqwest::Body::wrap_stream),
        }
    }

    /// Returns the whole body if it can be sent in a retry.
    pub fn kept(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes, _) => Some(bytes.clone()),
            Self::Once(_) => None,
        }
    }
}

/// Returns the host name that a request is addressed to, in lower case and without the
/// port.
fn host(req: &Request) -> Option<String> {
    let host = http::get(req.headers(), "host").or_else(|| req.uri().host())?;
    let end = host
        .rfind(':')
        .filter(|_| !host.ends_with(']'))
        .unwrap_or(host.len());
    Some(host[..end].to_ascii_lowercase())
}
