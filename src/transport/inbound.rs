//! Requests from other nodes, for the targets on this host.
//!
//! The inbound proxy is the one who knows what its targets were given, so it
//! alone can say "not run" with certainty.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ::http::HeaderMap;
use futures_util::StreamExt;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};

use crate::{
    coordination::{
        door::{LEAVING, Permit},
        node::Node,
    },
    event::Event,
    id::Name,
    protocol::answer::{self, Outcome, Refusal},
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
    },
    unit::Span,
};

/// The reason given when this node's view does not allow a request here.
pub const MISPLACED: &str = "not allowed here";

/// How long an unused connection to a target is kept: below what targets
/// commonly allow, so that a request is not written just as the target closes.
const KEEP: Duration = Duration::from_secs(4);

/// The inbound proxy.
pub struct Inbound {
    /// The node it belongs to.
    pub node: Arc<Node>,
    /// The idempotency keys of this life.
    pub keys: Keys,
    http1: reqwest::Client,
    http2: reqwest::Client,
}

/// A request that is allowed here, with what it needs to run.
pub struct Visit {
    /// The target.
    pub target: Target,
    /// The service's policy.
    pub policy: Policy,
    /// The request's class.
    pub class: Class,
    /// When its answer must have begun.
    pub deadline: Instant,
    /// Whether another target may have run it.
    pub is_again: bool,
}

impl Inbound {
    /// Returns the inbound proxy of `node`.
    ///
    /// # Errors
    ///
    /// If the HTTP client can't be made.
    pub fn new(node: Arc<Node>) -> Result<Arc<Self>, super::Error> {
        let http1 = http::client().pool_idle_timeout(KEEP).build()?;
        let http2 = http::client()
            .pool_idle_timeout(KEEP)
            .http2_prior_knowledge()
            .build()?;
        let keys = Keys::new(&node.settings.requests);
        Ok(Arc::new(Self {
            node,
            keys,
            http1,
            http2,
        }))
    }

    /// Decides whether a request may run here at all.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run.
    pub fn receive(&self, sender: &Identity, headers: &HeaderMap) -> Result<Visit, Refusal> {
        let view = self.node.require_view()?;
        let service: Name = http::parse(headers, answer::SERVICE)
            .ok_or_else(|| Refusal::rejected(400, "only nodes of the mesh may send here"))?;
        self.check_place(&view, &service, sender, headers)?;
        let target = self.target(&service)?;
        let policy = view
            .set
            .service(&service)
            .and_then(|s| view.set.policy(&s.policy))
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

    /// Refuses a request that this node's own view does not allow. The sender
    /// may hold an older or a newer view; the stricter one wins.
    fn check_place(
        &self,
        view: &View,
        service: &Name,
        sender: &Identity,
        headers: &HeaderMap,
    ) -> Result<(), Refusal> {
        let member = self.node.table.read().get(&sender.node).cloned();
        let labels = member.as_ref().map(|member| &member.labels);
        let allowed = view::allowed(&view.set, service, &sender.domain, labels);
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

    /// Waits for a slot, within the visit's deadline.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run.
    pub async fn admit(&self, visit: &Visit) -> Result<Permit, Refusal> {
        let door = self.node.doors.get(&visit.target.service, &visit.policy);
        let permit = door.enter(visit.class, visit.deadline).await;
        // The target may have begun to leave while the request waited.
        let permit = permit.and_then(|mut permit| {
            self.target(&visit.target.service)?;
            permit.begin(visit.is_again);
            Ok(permit)
        });
        let service = &visit.target.service;
        match &permit {
            Ok(_) => {
                self.node.metrics.running.set(i64::from(door.running()));
                let details = format_args!(
                    "service={service} class={:?} load={}",
                    visit.class,
                    door.load()
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

    /// Gives a request to the target.
    ///
    /// # Errors
    ///
    /// Why no answer came.
    pub async fn run(
        &self,
        visit: &Visit,
        req: Onward,
        body: reqwest::Body,
    ) -> Result<reqwest::Response, Failure> {
        let url = format!("http://{}{}", visit.target.address, req.path);
        let client = if visit.target.http2 {
            &self.http2
        } else {
            &self.http1
        };
        let Onward {
            method, headers, ..
        } = req;
        http::forward(
            client,
            Outgoing {
                method,
                url,
                headers,
                body,
                deadline: visit.deadline,
            },
        )
        .await
    }

    /// Puts the system's headers on an answer.
    pub fn mark(&self, headers: &mut HeaderMap, outcome: Outcome) {
        http::set(headers, answer::OUTCOME, outcome);
        http::set(headers, answer::NODE, &self.node.settings.node);
        http::set(headers, answer::VERSION, self.node.version());
        http::set(headers, answer::LOAD, self.node.doors.load());
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
        self.pass(response, permit, &visit, res);
        Ok(())
    }

    /// Streams the target's answer; its slot is taken until the end.
    fn pass(&self, response: reqwest::Response, permit: Permit, visit: &Visit, res: &mut Response) {
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

/// The parts of a request that are passed on as they are.
pub struct Onward {
    /// The method.
    pub method: ::http::Method,
    /// Path and query.
    pub path: String,
    /// The headers, without those of one connection and of the system.
    pub headers: HeaderMap,
}

impl Onward {
    /// Returns what is passed on of `req`.
    pub fn of(req: &Request) -> Self {
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        Self {
            method: req.method().clone(),
            path: path.into(),
            headers: http::passed_on(req.headers()),
        }
    }
}

/// The route of the inbound proxy.
pub struct Take(pub Arc<Inbound>);

#[salvo::async_trait]
impl Handler for Take {
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
