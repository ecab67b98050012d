//! The inbound proxy: passes requests from other nodes to the targets on this
//! host.
//!
//! Only the inbound proxy knows which requests it sent to its targets, so only it
//! can report with certainty that a request has not run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ::http::{HeaderMap, header::HOST};
use futures_util::StreamExt;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};

use crate::{
    coordination::{
        limiter::{LEAVING, Permit},
        node::Node,
    },
    event::Event,
    id::Name,
    protocol::{
        answer::{self, Outcome, Refusal},
        dialect::Dialect,
        notice::Notice,
    },
    state::{
        member::{Status, Target},
        resource::{Class, Policy},
        version::Version,
        view::{self, View},
    },
    transport::{
        http::{self, Failure, Outgoing},
        identity::{self, Identity},
        keyed::{self, Keys},
        relay::{
            body::Body,
            pool::{self, Pool, Settings},
        },
        targets::Targets,
    },
    unit::Span,
};

/// The reason of the refusal if this node's view does not allow a request here.
pub const MISPLACED: &str = "not allowed here";

/// The time after which an idle connection to a target is closed. It is shorter
/// than the usual idle timeout of targets, so that no request is written just as
/// the target closes the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The interval at which connections that were idle for too long are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Settings of the connections to targets without HTTP/2.
const POOL: Settings = Settings {
    connect_timeout: http::CONNECT_TIMEOUT,
    idle_timeout: IDLE_TIMEOUT,
    max_idle_per_address: 64,
    max_idle: 256,
};

/// The inbound proxy of a node.
pub struct Inbound {
    /// The node it belongs to.
    pub node: Arc<Node>,
    /// The idempotency keys issued by this incarnation of the node.
    pub keys: Keys,
    targets: Arc<Targets>,
    dialect: Dialect,
    /// Checks the heads of responses strictly, which a client of reqwest doesn't.
    http1: Arc<Pool>,
    http2: reqwest::Client,
}

/// A request that is allowed here, with its target, policy and deadline.
pub struct Visit {
    /// The target.
    pub target: Target,
    /// The service's policy.
    pub policy: Policy,
    /// The request's class.
    pub class: Class,
    /// The time by which the answer must have begun.
    pub deadline: Instant,
    /// Whether the request is a repeat, which another target may have run already.
    pub is_again: bool,
}

impl Inbound {
    /// Returns the inbound proxy of `node`, with the targets on its host.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP client can't be built.
    pub fn new(node: Arc<Node>, targets: Arc<Targets>) -> Result<Arc<Self>, super::Error> {
        let http2 = http::client()
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http2_prior_knowledge()
            .build()?;
        let keys = Keys::new(&node.settings.requests);
        Ok(Arc::new(Self {
            node,
            keys,
            targets,
            dialect: Dialect::default(),
            http1: Arc::new(Pool::new(POOL)),
            http2,
        }))
    }

    /// Returns the target, policy and deadline of a request that may run here.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the view does not allow the request here or no target
    /// can take it. The request has not run.
    pub fn receive(&self, sender: &Identity, headers: &HeaderMap) -> Result<Visit, Refusal> {
        let view = self.node.require_view()?;
        let service: Name = http::parse(headers, answer::SERVICE)
            .ok_or_else(|| Refusal::rejected(400, "only nodes of the mesh may send here"))?;
        self.check_place(&view, &service, sender, headers)?;
        let target = self.target(&service)?;
        let policy = view
            .resources
            .service(&service)
            .and_then(|s| view.resources.policy(&s.policy))
            .cloned();
        let policy = policy
            .ok_or_else(|| Refusal::not_run("service is not known here", Span::from_secs(1)))?;
        let class = http::parse(headers, answer::CLASS).unwrap_or(policy.class);
        let left = http::parse(headers, answer::DEADLINE).map_or(policy.timeout, Span::from_millis);
        let deadline = Instant::now() + left.min(policy.timeout).duration();
        Ok(Visit {
            target,
            policy,
            class,
            deadline,
            is_again: headers.contains_key(answer::REPEAT),
        })
    }

    /// Refuses a request that this node's own view does not allow.
    ///
    /// The sender may have an older or a newer view. A request must be allowed by
    /// both.
    fn check_place(
        &self,
        view: &View,
        service: &Name,
        sender: &Identity,
        headers: &HeaderMap,
    ) -> Result<(), Refusal> {
        let member = self.node.table.read().get(&sender.node).cloned();
        let labels = member.as_ref().map(|member| &member.labels);
        let allowed = view::allowed_domains(&view.resources, service, &sender.domain, labels);
        let here = &self.node.settings.domain;
        if allowed.contains(here) {
            return Ok(());
        }
        let theirs: Option<Version> = http::parse(headers, answer::VERSION);
        let details = format_args!(
            "service={service} sender={} sender_version={} version={}",
            sender.node,
            theirs.unwrap_or_default(),
            view.version
        );
        self.node.journal.write(Event::Misplaced, details);
        Err(Refusal::not_run(MISPLACED, Span::from_secs(1)))
    }

    /// Returns the target of `service` on this host if it accepts requests.
    fn target(&self, service: &Name) -> Result<Target, Refusal> {
        let me = self.node.me();
        let found = me.target(service);
        let leaving = me.status == Status::Leaving || self.node.is_stopping();
        match found {
            Some(target) if !target.draining && !leaving => Ok(target.clone()),
            Some(_) => Err(Refusal::not_run(LEAVING, Span::from_secs(1))),
            None => Err(Refusal::not_run("target is not here", Span::from_secs(1))),
        }
    }

    /// Waits for a slot of the target until the deadline and returns its permit.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no slot becomes free in time or the target is leaving.
    /// The request has not run.
    pub async fn admit(&self, visit: &Visit) -> Result<Permit, Refusal> {
        let limiter = self.node.limiters.get(&visit.target.service, &visit.policy);
        let permit = limiter.acquire(visit.class, visit.deadline).await;
        // The target may have started to drain while the request waited.
        let permit = permit.and_then(|mut permit| {
            self.target(&visit.target.service)?;
            permit.begin(visit.is_again);
            Ok(permit)
        });
        let service = &visit.target.service;
        match &permit {
            Ok(_) => {
                self.node
                    .metrics
                    .running
                    .set(i64::from(limiter.running_count()));
                let details = format_args!(
                    "service={service} class={:?} load={}",
                    visit.class,
                    limiter.load()
                );
                self.node.journal.write(Event::Admitted, details);
            }
            Err(refusal) => {
                self.node.metrics.shed.inc();
                let details = format_args!(
                    "service={service} class={:?} reason={}",
                    visit.class, refusal.reason
                );
                self.node.journal.write(Event::Shed, details);
            }
        }
        permit
    }

    /// Sends a request to the target and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns the reason why no answer arrived.
    pub async fn run(
        &self,
        visit: &Visit,
        req: Onward,
        body: reqwest::Body,
    ) -> Result<reqwest::Response, Failure> {
        let response = match visit.target.http2 {
            true => self.run_http2(visit, req, body).await?,
            false => self.run_http1(visit, req, body).await?,
        };
        let notice = Notice::of(response.headers(), &self.dialect);
        self.receive_notice(visit, notice);
        Ok(response)
    }

    async fn run_http2(
        &self,
        visit: &Visit,
        req: Onward,
        body: reqwest::Body,
    ) -> Result<reqwest::Response, Failure> {
        let outgoing = Outgoing {
            method: req.method,
            url: format!("http://{}{}", visit.target.address, req.path),
            headers: req.headers,
            body,
            deadline: visit.deadline,
        };
        http::forward(&self.http2, outgoing).await
    }

    async fn run_http1(
        &self,
        visit: &Visit,
        req: Onward,
        body: reqwest::Body,
    ) -> Result<reqwest::Response, Failure> {
        let mut request = ::http::Request::new(Body::other(body));
        *request.method_mut() = req.method;
        // A path that was received is valid.
        *request.uri_mut() = req.path.parse().map_err(|_| Failure::NotSent)?;
        *request.headers_mut() = req.headers;
        if !request.headers().contains_key(HOST) {
            http::set(request.headers_mut(), "host", visit.target.address);
        }
        let sent = self
            .http1
            .send(visit.target.address, request, visit.deadline);
        let exchange = sent.await.map_err(|failure| match failure {
            pool::Failure::NotSent(_) => Failure::NotSent,
            pool::Failure::Broken(_) | pool::Failure::Invalid(_) => Failure::Broken,
            pool::Failure::TimedOut | pool::Failure::NotAccepted => Failure::TimedOut,
        })?;
        let response = exchange.into_response(&self.http1);
        Ok(response.map(reqwest::Body::wrap).into())
    }

    /// Closes connections to targets that were idle for too long; never returns.
    pub async fn prune(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            self.http1.prune();
        }
    }

    /// Keeps from now on to what the target stated in a response about the requests that it
    /// takes.
    fn receive_notice(&self, visit: &Visit, notice: Notice) {
        let service = &visit.target.service;
        let limiter = self.node.limiters.get(service, &visit.policy);
        if limiter.set_limit(notice.limit) {
            let limit = notice
                .limit
                .map_or("none".into(), |limit| limit.to_string());
            let details = format_args!("service={service} limit={limit}");
            self.node.journal.write(Event::TargetNotice, details);
        }
        if notice.is_leaving {
            self.targets.note_leaving(&visit.target);
        }
    }

    /// Sets the system's headers on an answer.
    pub fn mark(&self, headers: &mut HeaderMap, outcome: Outcome) {
        http::set(headers, answer::OUTCOME, outcome);
        http::set(headers, answer::NODE, &self.node.settings.node);
        http::set(headers, answer::VERSION, self.node.version());
        http::set(headers, answer::LOAD, self.node.limiters.load());
    }

    async fn serve(
        &self,
        sender: &Identity,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Refusal> {
        let visit = self.receive(sender, req.headers())?;
        let declared: Option<u64> = http::parse(req.headers(), "content-length");
        if declared.is_some_and(|length| length > visit.policy.max_body.as_bytes()) {
            return Err(Refusal::rejected(
                413,
                format!("request body is larger than {}", visit.policy.max_body),
            ));
        }
        let permit = self.admit(&visit).await?;
        let idle = self.node.settings.requests.idle_timeout;
        let body = http::request_pieces(req.take_body(), visit.policy.max_body, idle);
        let body = if declared.is_none() && !req.headers().contains_key("transfer-encoding") {
            reqwest::Body::default()
        } else {
            reqwest::Body::wrap_stream(body)
        };
        let answered = self.run(&visit, Onward::of(req), body).await;
        let response = answered.map_err(|failure| failure.refusal("target"))?;
        self.stream_response(response, permit, &visit, res);
        Ok(())
    }

    /// Streams the target's answer. The slot is released at the end of its body.
    fn stream_response(
        &self,
        response: reqwest::Response,
        permit: Permit,
        visit: &Visit,
        res: &mut Response,
    ) {
        res.status_code(response.status());
        *res.headers_mut() = http::passed_on(response.headers());
        self.mark(res.headers_mut(), Outcome::Answered);
        let node = self.node.clone();
        let service = visit.target.service.clone();
        let pieces = http::response_pieces(response, node.settings.requests.idle_timeout);
        let watched = pieces.inspect(move |piece| {
            let _held = &permit;
            if let Err(error) = piece {
                node.journal.write(
                    Event::CutShort,
                    format_args!("service={service} error={error}"),
                );
            }
        });
        http::stream(res, watched.boxed());
    }
}

/// The parts of a request that are forwarded unchanged.
pub struct Onward {
    /// The method.
    pub method: ::http::Method,
    /// The path and query.
    pub path: String,
    /// The headers, without hop-by-hop headers and those of the system.
    pub headers: HeaderMap,
}

impl Onward {
    /// Returns the forwarded parts of `req`.
    pub fn of(req: &Request) -> Self {
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        Self {
            method: req.method().clone(),
            path: path.into(),
            headers: http::passed_on(req.headers()),
        }
    }
}

/// The HTTP handler of the inbound proxy.
pub struct InboundHandler(pub Arc<Inbound>);

#[salvo::async_trait]
impl Handler for InboundHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let inbound = &self.0;
        let security = &inbound.node.settings.security;
        let result = match identity::of(req, security) {
            Err(error) => Err(Refusal::rejected(403, error.to_string())),
            Ok(sender) if req.uri().path() == keyed::PATH => {
                keyed::issue(inbound, &sender, req, res)
            }
            Ok(sender) if req.headers().contains_key(answer::KEYED) => {
                keyed::serve(inbound, &sender, req, res).await
            }
            Ok(sender) => inbound.serve(&sender, req, res).await,
        };
        if let Err(refusal) = result {
            http::refuse(res, &refusal);
            inbound.mark(res.headers_mut(), refusal.outcome);
        }
    }
}
