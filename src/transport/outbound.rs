//! Requests from callers.

use std::{collections::HashMap, sync::Arc, time::Instant};

use ::http::HeaderMap;
use bytes::Bytes;
use futures_util::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};

use crate::{
    coordination::{
        budget::{Budget, MAX_RETRIES},
        door::LEAVING,
        health::{End, Health},
        node::Node,
        once::Key,
        pick::{self, Candidate, Reason},
    },
    event::Event,
    id::{self, Name},
    metrics::Fate,
    protocol::answer::{self, Outcome, Refusal},
    state::{
        member::{Member, Status},
        resource::Class,
        version::Version,
        view::{self, Distance},
    },
    transport::{
        http::{self, Outgoing, Pieces},
        inbound::{MISPLACED, Onward},
        keyed, tls,
    },
    unit::{Size, Span},
};

/// The largest body that is kept to be sent again.
const KEPT_BODY: u64 = 64 << 10;

/// The outbound proxy.
pub struct Outbound {
    node: Arc<Node>,
    client: reqwest::Client,
    health: Mutex<Health>,
    budgets: Mutex<HashMap<Name, Budget>>,
}

/// A request and what the view says about it.
struct Plan {
    version: Version,
    route: Name,
    service: Arc<view::Service>,
    class: Class,
    onward: Onward,
    deadline: Instant,
    repeatable: bool,
}

impl Plan {
    fn distance(&self, domain: &Name) -> Distance {
        self.service
            .allowed
            .get(domain)
            .copied()
            .unwrap_or(Distance::Beyond)
    }
}

/// A request body: kept whole, or passed on once.
enum Body {
    Whole(Bytes),
    Once(Option<Pieces>),
}

/// The target chosen for an attempt.
struct Choice {
    member: Arc<Member>,
    reason: Reason,
    cost: u32,
    candidates: usize,
}

/// An attempt that brought no answer.
struct Failed {
    refusal: Refusal,
    node: id::Node,
}

impl Outbound {
    /// Returns the outbound proxy of `node`.
    ///
    /// # Errors
    ///
    /// If keys or certificates can't be used.
    pub fn new(node: Arc<Node>) -> Result<Arc<Self>, super::Error> {
        let client = tls::client(&node.settings)?;
        let health = Mutex::new(Health::default());
        Ok(Arc::new(Self {
            node,
            client,
            health,
            budgets: Mutex::new(HashMap::new()),
        }))
    }

    /// Forgets what was seen of targets that have left, now and then; never
    /// returns.
    pub async fn tidy(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Span::from_secs(60).duration()).await;
            let table = self.node.table.read();
            self.health
                .lock()
                .retain(|node| table.get(node).is_some_and(|m| m.is_present()));
        }
    }

    async fn serve(&self, req: &mut Request) -> Result<reqwest::Response, Refusal> {
        if self.node.is_stopping() {
            return Err(Refusal::not_run("this node is leaving", Span::from_secs(1)));
        }
        if req.uri().path() == keyed::PATH {
            return self.issue(req).await;
        }
        let plan = self.plan(req)?;
        let body = self.body(req, &plan).await?;
        match http::parse::<Key>(&plan.onward.headers, answer::KEY) {
            Some(key) => self.keyed(&plan, key, body).await,
            None if plan.onward.headers.contains_key(answer::KEY) && !plan.repeatable => {
                let reason = format!("not a key of this system; get keys by POST {}", keyed::PATH);
                Err(Refusal::rejected(400, reason))
            }
            None => self.attempts(&plan, body).await,
        }
    }

    /// Finds the route and what its service demands.
    fn plan(&self, req: &Request) -> Result<Plan, Refusal> {
        let view = self.node.view.load_full();
        let view =
            view.ok_or_else(|| Refusal::not_run("no complete view yet", Span::from_secs(1)))?;
        let onward = Onward::of(req);
        let host = host(req);
        let (path, method) = (req.uri().path(), onward.method.as_str());
        let Some(route) = view.route(host.as_deref(), path, method) else {
            let details = format_args!(
                "host={host:?} path={path} method={method} version={}",
                view.version
            );
            self.node.journal.write(Event::NoRoute, details);
            return Err(Refusal::rejected(404, "no route matches"));
        };
        let Some(service) = view.service(&route.service).cloned() else {
            // The view guarantees it; were it broken, no request must pass.
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
        Ok(Plan {
            version: view.version,
            route: route.name.clone(),
            service,
            class,
            onward,
            deadline,
            repeatable,
        })
    }

    /// Takes the body: small ones whole, so that they can be sent again.
    async fn body(&self, req: &mut Request, plan: &Plan) -> Result<Body, Refusal> {
        let max = plan.service.policy.max_body;
        let length: Option<u64> = http::parse(req.headers(), "content-length");
        let chunked = req.headers().contains_key("transfer-encoding");
        if length.is_some_and(|length| length > max.as_bytes()) {
            return Err(Refusal::rejected(
                413,
                format!("request body is larger than {max}"),
            ));
        }
        let idle = self.node.settings.requests.idle_timeout;
        // HTTP/2 need not say a length; the end of the stream does.
        let is_h2 = req.version() == ::http::Version::HTTP_2;
        if length.is_none() && !chunked && !is_h2 {
            return Ok(Body::Whole(Bytes::new()));
        }
        let keyed = plan.onward.headers.contains_key(answer::KEY);
        let kept = if keyed {
            keyed::MAX_BODY as u64
        } else {
            KEPT_BODY
        };
        if keyed && length.is_none_or(|length| length > kept) {
            return Err(Refusal::rejected(
                413,
                format!("a keyed request needs a content-length up to {kept}"),
            ));
        }
        if length.is_some_and(|length| length <= kept) {
            let pieces = http::request_pieces(req.take_body(), Size::from_bytes(kept), idle);
            let whole = http::whole(pieces, kept as usize).await;
            let whole = whole
                .map_err(|_| Refusal::rejected(400, "the request body did not arrive whole"))?;
            return Ok(Body::Whole(whole));
        }
        Ok(Body::Once(Some(http::request_pieces(
            req.take_body(),
            max,
            idle,
        ))))
    }

    /// Tries targets until one answers, the budget is spent, or nothing more
    /// may be tried without the risk of running the request twice.
    async fn attempts(&self, plan: &Plan, mut body: Body) -> Result<reqwest::Response, Refusal> {
        let service = &plan.service.name;
        self.earn(plan);
        let mut tried = Vec::new();
        let mut doubt = None;
        for attempt in 0..=MAX_RETRIES {
            let choice = match self.choose(plan, &tried) {
                Ok(choice) => choice,
                Err(refusal) => return Err(doubt.unwrap_or(refusal)),
            };
            self.log_choice(plan, &choice, attempt);
            let Some(sent) = body.take() else { break };
            tried.push(choice.member.node.clone());
            let failed = match self
                .hedged(plan, choice, sent, body.kept(), &mut tried)
                .await
            {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let may_have_run = failed.refusal.outcome != Outcome::NotRun;
            if may_have_run {
                doubt = Some(failed.refusal.clone());
            }
            let stop = (may_have_run && !plan.repeatable)
                || body.kept().is_none()
                || attempt == MAX_RETRIES
                || Instant::now() >= plan.deadline
                || !self.spend(service);
            if stop {
                // "Not run" is said only if it holds for every attempt.
                return Err(doubt.unwrap_or(failed.refusal));
            }
            self.node.metrics.retries.inc();
            let details = format_args!(
                "service={service} node={} reason={}",
                failed.node, failed.refusal.reason
            );
            self.node.journal.write(Event::Retried, details);
        }
        Err(doubt.unwrap_or_else(|| Refusal::not_run("no attempt is left", Span::from_secs(1))))
    }

    /// Makes one attempt, and a second one beside it if the first is slow and
    /// the request may run twice.
    async fn hedged(
        &self,
        plan: &Plan,
        choice: Choice,
        sent: reqwest::Body,
        again: Option<Bytes>,
        tried: &mut Vec<id::Node>,
    ) -> Result<reqwest::Response, Failed> {
        let mut first = self.attempt(plan, choice, sent);
        let (Some(after), true, Some(bytes)) =
            (plan.service.policy.hedge_after, plan.repeatable, again)
        else {
            return first.await;
        };
        if let Ok(done) = tokio::time::timeout(after.duration(), &mut first).await {
            return done;
        }
        let service = &plan.service.name;
        let Ok(choice) = self.choose(plan, tried) else {
            return first.await;
        };
        if !self.spend(service) {
            return first.await;
        }
        self.node.journal.write(
            Event::Hedged,
            format_args!("service={service} node={}", choice.member.node),
        );
        tried.push(choice.member.node.clone());
        let second = self.attempt(plan, choice, bytes.into());
        match futures_util::future::select(first, second)
            .await
            .factor_first()
        {
            (Ok(response), _) => Ok(response),
            (Err(_), other) => other.await,
        }
    }

    fn attempt<'a>(
        &'a self,
        plan: &'a Plan,
        choice: Choice,
        body: reqwest::Body,
    ) -> BoxFuture<'a, Result<reqwest::Response, Failed>> {
        let out = Outgoing {
            method: plan.onward.method.clone(),
            url: self.url(&choice.member, &plan.onward.path),
            headers: self.headers(plan),
            body,
            deadline: plan.deadline,
        };
        let node = choice.member.node.clone();
        async move {
            let watch = Watch::start(self, &choice.member);
            let result = http::forward(&self.client, out).await;
            let (end, result) = judge(result, node);
            watch.finish(end);
            result
        }
        .boxed()
    }

    fn url(&self, member: &Member, path: &str) -> String {
        format!(
            "{}://{}{path}",
            tls::scheme(&self.node.settings.security),
            member.inbound
        )
    }

    fn headers(&self, plan: &Plan) -> HeaderMap {
        let mut headers = plan.onward.headers.clone();
        let left = plan.deadline.saturating_duration_since(Instant::now());
        let class = match plan.class {
            Class::Critical => "critical",
            Class::Normal => "normal",
            Class::Bulk => "bulk",
        };
        http::set(&mut headers, answer::DEADLINE, left.as_millis());
        http::set(&mut headers, answer::CLASS, class);
        self.sign(&mut headers, &plan.service.name);
        headers
    }

    /// Says who sends a request, and for which service.
    fn sign(&self, headers: &mut HeaderMap, service: &Name) {
        http::set(headers, answer::SERVICE, service);
        http::set(headers, answer::NODE, &self.node.settings.node);
        http::set(headers, answer::DOMAIN, &self.node.settings.domain);
        http::set(headers, answer::VERSION, self.node.version());
    }

    /// Chooses a target among those allowed and not `tried` yet.
    fn choose(&self, plan: &Plan, tried: &[id::Node]) -> Result<Choice, Refusal> {
        let service = &plan.service;
        let offers = offers(&self.node, service, tried);
        let slots = service.policy.slots;
        let now = Instant::now();
        let candidates: Vec<Candidate> = {
            let mut health = self.health.lock();
            let candidate = |member: &Arc<Member>| {
                let (cost, ejected) = health.look(&member.node, member.incarnation, slots, now);
                Candidate {
                    distance: plan.distance(&member.domain),
                    cost,
                    ejected,
                }
            };
            offers.iter().map(candidate).collect()
        };
        let picked = pick::pick(&candidates, &mut fastrand::Rng::new());
        let Some((index, reason)) = picked else {
            let details = format_args!(
                "service={} tried={} version={}",
                service.name,
                tried.len(),
                plan.version
            );
            self.node.journal.write(Event::NoTarget, details);
            return Err(Refusal::not_run(
                "no allowed target is there",
                Span::from_secs(1),
            ));
        };
        let (cost, candidates) = (candidates[index].cost, candidates.len());
        Ok(Choice {
            member: offers[index].clone(),
            reason,
            cost,
            candidates,
        })
    }

    fn log_choice(&self, plan: &Plan, choice: &Choice, attempt: u32) {
        let Choice {
            member,
            reason,
            cost,
            candidates,
        } = choice;
        let (node, domain) = (&member.node, &member.domain);
        let (route, service, version) = (&plan.route, &plan.service.name, plan.version);
        let details = format_args!(
            "route={route} service={service} to={node} domain={domain} reason={reason:?} cost={cost} \
             candidates={candidates} attempt={attempt} version={version}"
        );
        self.node.journal.write(Event::Routed, details);
    }

    fn earn(&self, plan: &Plan) {
        let mut budgets = self.budgets.lock();
        budgets
            .entry(plan.service.name.clone())
            .or_default()
            .earn(plan.service.policy.retry);
    }

    fn spend(&self, service: &Name) -> bool {
        self.budgets
            .lock()
            .entry(service.clone())
            .or_default()
            .spend()
    }

    /// Sends a keyed request to the one node that may run it.
    async fn keyed(
        &self,
        plan: &Plan,
        key: Key,
        mut body: Body,
    ) -> Result<reqwest::Response, Refusal> {
        let member = self.node.table.read().get(&key.node).cloned();
        let gone = || {
            Refusal::unknown(
                410,
                "the process that held the key is gone; what became of its request is not known",
            )
        };
        let member = member
            .filter(|m| m.incarnation <= key.incarnation)
            .ok_or_else(gone)?;
        if !plan.service.allowed.contains_key(&member.domain) {
            return Err(Refusal::unknown(
                409,
                "the key's node may not be sent to any more",
            ));
        }
        self.earn(plan);
        loop {
            let Some(sent) = body.take() else {
                return Err(gone());
            };
            let choice = Choice {
                member: member.clone(),
                reason: Reason::Room(Distance::Domain),
                cost: 0,
                candidates: 1,
            };
            self.log_choice(plan, &choice, 0);
            let mut headers = self.headers(plan);
            http::set(&mut headers, answer::KEYED, 1);
            let out = Outgoing {
                method: plan.onward.method.clone(),
                url: self.url(&member, &plan.onward.path),
                headers,
                body: sent,
                deadline: plan.deadline,
            };
            let result = http::forward(&self.client, out).await;
            let sent_at_all = !matches!(result, Err(http::Failure::NotSent));
            let (_, result) = judge(result, member.node.clone());
            let Err(failed) = result else {
                return result.map_err(|failed| failed.refusal);
            };
            // The same key at the same node is safe to repeat.
            let again =
                failed.refusal.status == 502 && sent_at_all && self.spend(&plan.service.name);
            if !again {
                // An earlier request under the key may have run, so a node
                // that can't be reached leaves the key's outcome unknown.
                let lost = Refusal::unknown(
                    503,
                    "the key's node can't be reached; ask again with the same key",
                );
                let lost = Refusal {
                    retry_after: Some(Span::from_secs(1)),
                    ..lost
                };
                return Err(if sent_at_all { failed.refusal } else { lost });
            }
        }
    }

    /// Gets keys from a node that may run requests of a service.
    async fn issue(&self, req: &mut Request) -> Result<reqwest::Response, Refusal> {
        let view = self.node.view.load_full();
        let view =
            view.ok_or_else(|| Refusal::not_run("no complete view yet", Span::from_secs(1)))?;
        let name = req
            .query::<String>("service")
            .and_then(|name| name.parse::<Name>().ok());
        let service = name.and_then(|name| view.service(&name).cloned());
        let service =
            service.ok_or_else(|| Refusal::rejected(404, "no route leads to such a service"))?;
        let mut onward = Onward::of(req);
        onward.method = ::http::Method::POST;
        let deadline = Instant::now() + service.policy.timeout.duration();
        let class = service.policy.class;
        let route = "keys".parse().expect("a valid name");
        let plan = Plan {
            version: view.version,
            route,
            service,
            class,
            onward,
            deadline,
            repeatable: true,
        };
        self.attempts(&plan, Body::Whole(Bytes::new())).await
    }

    fn count(&self, outcome: Outcome, since: Instant) {
        let fate = Fate {
            outcome: outcome.to_string(),
        };
        self.node.metrics.requests.get_or_create(&fate).inc();
        self.node
            .metrics
            .latency
            .observe(since.elapsed().as_secs_f64());
    }
}

/// Returns the members that may be sent requests of `service`.
pub fn offers(node: &Node, service: &view::Service, tried: &[id::Node]) -> Vec<Arc<Member>> {
    let table = node.table.read();
    let serves = |member: &Member| {
        let present = matches!(member.status, Status::Alive | Status::Suspect);
        let offered = member
            .targets
            .iter()
            .any(|t| t.service == service.name && !t.draining);
        present && offered && service.allowed.contains_key(&member.domain)
    };
    let offers = table.offers(&service.name).iter();
    offers
        .filter(|m| serves(m) && !tried.contains(&m.node))
        .cloned()
        .collect()
}

/// Returns the `Host` of a request, without its port.
fn host(req: &Request) -> Option<String> {
    let host = http::get(req.headers(), "host").or_else(|| req.uri().host())?;
    let end = host
        .rfind(':')
        .filter(|_| !host.ends_with(']'))
        .unwrap_or(host.len());
    Some(host[..end].to_ascii_lowercase())
}

/// Sorts the end of an attempt: what it says of the target, and of the
/// request.
fn judge(
    result: Result<reqwest::Response, http::Failure>,
    node: id::Node,
) -> (End, Result<reqwest::Response, Failed>) {
    let response = match result {
        Ok(response) => response,
        Err(failure) => {
            return (
                End::Failed,
                Err(Failed {
                    refusal: failure.refusal("the target's node"),
                    node,
                }),
            );
        }
    };
    let load = http::parse(response.headers(), answer::LOAD);
    let Some(refusal) = http::refusal(&response) else {
        let end = if response.status().is_server_error() {
            End::Failed
        } else {
            End::Answered(load)
        };
        return (end, Ok(response));
    };
    let end = match refusal.reason.as_str() {
        LEAVING => End::Leaving,
        MISPLACED => End::Abandoned,
        _ if refusal.outcome == Outcome::NotRun => End::Shed(load),
        _ => End::Failed,
    };
    (end, Err(Failed { refusal, node }))
}

/// Counts an attempt as outstanding until it ends, however it ends.
struct Watch<'a> {
    outbound: &'a Outbound,
    node: id::Node,
    done: bool,
}

impl<'a> Watch<'a> {
    fn start(outbound: &'a Outbound, member: &Member) -> Self {
        outbound
            .health
            .lock()
            .start(&member.node, member.incarnation, Instant::now());
        Self {
            outbound,
            node: member.node.clone(),
            done: false,
        }
    }

    fn finish(mut self, end: End) {
        self.done = true;
        let ejected = self
            .outbound
            .health
            .lock()
            .finish(&self.node, end, Instant::now());
        if ejected {
            self.outbound
                .node
                .journal
                .write(Event::Ejected, format_args!("target={}", self.node));
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.outbound
                .health
                .lock()
                .finish(&self.node, End::Abandoned, Instant::now());
        }
    }
}

impl Body {
    /// Returns the body to send, if there is still one.
    fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone().into()),
            Self::Once(pieces) => pieces.take().map(reqwest::Body::wrap_stream),
        }
    }

    /// Returns the whole body, if it can be sent again.
    fn kept(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone()),
            Self::Once(_) => None,
        }
    }
}

/// The route of the outbound proxy.
pub struct Take(pub Arc<Outbound>);

#[salvo::async_trait]
impl Handler for Take {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let outbound = &self.0;
        match outbound.serve(req).await {
            Ok(response) => {
                let outcome =
                    http::parse(response.headers(), answer::OUTCOME).unwrap_or(Outcome::Answered);
                res.status_code(response.status());
                *res.headers_mut() = http::passed_on(response.headers());
                http::set(res.headers_mut(), answer::OUTCOME, outcome);
                let idle = outbound.node.settings.requests.idle_timeout;
                http::stream(res, http::response_pieces(response, idle));
                outbound.count(outcome, since);
            }
            Err(refusal) => {
                let details = format_args!(
                    "outcome={} status={} reason={}",
                    refusal.outcome, refusal.status, refusal.reason
                );
                outbound.node.journal.write(Event::Refused, details);
                outbound.count(refusal.outcome, since);
                http::refuse(res, &refusal);
            }
        }
    }
}
