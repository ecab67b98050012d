//! The outbound proxy: routes requests from callers to targets.

use std::{collections::HashMap, sync::Arc, time::Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};

use crate::{
    coordination::{
        budget::{Budget, MAX_RETRIES},
        idempotency::Key,
        node::Node,
        pick::Reason,
    },
    event::Event,
    id::{self, Name},
    metrics::RequestLabels,
    protocol::answer::{self, Outcome, Refusal},
    transport::{
        attempt::{Choice, Failed, Sender},
        http,
        inbound::Onward,
        keyed,
        plan::{Body, Plan},
    },
    unit::Span,
};

/// The outbound proxy of a node.
pub struct Outbound {
    node: Arc<Node>,
    sender: Sender,
    budgets: Mutex<HashMap<Name, Budget>>,
}

impl Outbound {
    /// Returns the outbound proxy of `node`.
    ///
    /// # Errors
    ///
    /// Returns an error if a key or certificate is invalid.
    pub fn new(node: Arc<Node>) -> Result<Arc<Self>, super::Error> {
        let sender = Sender::new(node.clone())?;
        Ok(Arc::new(Self {
            node,
            sender,
            budgets: Mutex::new(HashMap::new()),
        }))
    }

    /// Removes the health records of targets that have left, once a minute.
    /// Never returns.
    pub async fn tidy(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Span::from_secs(60).duration()).await;
            self.sender.tidy();
        }
    }

    async fn serve(&self, req: &mut Request) -> Result<reqwest::Response, Refusal> {
        if self.node.is_stopping() {
            return Err(Refusal::not_run("this node is leaving", Span::from_secs(1)));
        }
        if req.uri().path() == keyed::PATH {
            return self.issue(req).await;
        }
        let plan = Plan::new(&self.node, req)?;
        let idle = self.node.settings.requests.idle_timeout;
        let body = Body::of(req, &plan, idle, &self.node.bodies).await?;
        match http::parse::<Key>(&plan.onward.headers, answer::KEY) {
            Some(key) => self.keyed(&plan, key, body).await,
            None if plan.onward.headers.contains_key(answer::KEY) && !plan.repeatable => {
                let reason = format!("not a key of this system; get keys by POST {}", keyed::PATH);
                Err(Refusal::rejected(400, reason))
            }
            None => self.attempts(&plan, body).await,
        }
    }

    /// Tries targets until one answers or no further attempt is allowed: the
    /// retry budget is spent, the deadline has passed, the body can't be sent
    /// a second time, or a retry might run a request twice that may run only once.
    async fn attempts(&self, plan: &Plan, mut body: Body) -> Result<reqwest::Response, Refusal> {
        let service = &plan.service.name;
        self.note_first_send(plan);
        let mut tried = Vec::new();
        let mut uncertain = None;
        for attempt in 0..=MAX_RETRIES {
            let choice = match self.sender.choose(plan, &tried) {
                Ok(choice) => choice,
                Err(refusal) => return Err(uncertain.unwrap_or(refusal)),
            };
            self.sender.log_choice(plan, &choice, attempt);
            let Some(sent) = body.take() else {
                break;
            };
            tried.push(choice.member.node.clone());
            let failed = match self
                .hedged(
                    plan,
                    choice,
                    sent,
                    body.kept(),
                    uncertain.is_some(),
                    &mut tried,
                )
                .await
            {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let may_have_run = failed.refusal.outcome != Outcome::NotRun;
            if may_have_run {
                uncertain = Some(failed.refusal.clone());
            }
            let stop = (may_have_run && !plan.repeatable)
                || body.kept().is_none()
                || attempt == MAX_RETRIES
                || Instant::now() >= plan.deadline
                || !self.try_spend(service);
            if stop {
                // Reports "not run" only if no attempt may have run the request.
                return Err(uncertain.unwrap_or(failed.refusal));
            }
            self.node.metrics.retries.inc();
            let details = format_args!(
                "service={service} node={} reason={}",
                failed.node, failed.refusal.reason
            );
            self.node.journal.write(Event::Retried, details);
        }
        Err(uncertain.unwrap_or_else(|| Refusal::not_run("no attempt is left", Span::from_secs(1))))
    }

    /// Makes an attempt and, if it takes longer than the policy's hedging
    /// delay and the request may run twice, a second one in parallel.
    ///
    /// `is_again` states whether an earlier attempt may have run the request.
    async fn hedged(
        &self,
        plan: &Plan,
        choice: Choice,
        sent: reqwest::Body,
        retry_body: Option<Bytes>,
        is_again: bool,
        tried: &mut Vec<id::Node>,
    ) -> Result<reqwest::Response, Failed> {
        let mut first = self.sender.attempt(plan, choice, sent, is_again);
        let (Some(after), true, Some(bytes)) =
            (plan.service.policy.hedge_after, plan.repeatable, retry_body)
        else {
            return first.await;
        };
        if let Ok(done) = tokio::time::timeout(after.duration(), &mut first).await {
            return done;
        }
        let service = &plan.service.name;
        let Ok(choice) = self.sender.choose(plan, tried) else {
            return first.await;
        };
        if !self.try_spend(service) {
            return first.await;
        }
        self.node.journal.write(
            Event::Hedged,
            format_args!("service={service} node={}", choice.member.node),
        );
        tried.push(choice.member.node.clone());
        let second = self.sender.attempt(plan, choice, bytes.into(), true);
        match futures_util::future::select(first, second)
            .await
            .factor_first()
        {
            (Ok(response), _) => Ok(response),
            (Err(one), other) => other.await.map_err(|two| one.or(two)),
        }
    }

    /// Adds the tokens of a first attempt to the service's retry budget.
    fn note_first_send(&self, plan: &Plan) {
        let carried = self.node.limiters.repeat_share();
        let mut budgets = self.budgets.lock();
        budgets
            .entry(plan.service.name.clone())
            .or_default()
            .note_first_send(plan.service.policy.retry, carried);
    }

    /// Takes a token from the retry budget of `service`. Returns false if none
    /// is left.
    fn try_spend(&self, service: &Name) -> bool {
        self.budgets
            .lock()
            .entry(service.clone())
            .or_default()
            .try_spend()
    }

    /// Sends a keyed request to the node that issued the key, the only one that
    /// may run it.
    async fn keyed(
        &self,
        plan: &Plan,
        key: Key,
        mut body: Body,
    ) -> Result<reqwest::Response, Refusal> {
        let member = self.node.table.read().get(&key.node).cloned();
        let key_lost = || {
            Refusal::unknown(
                410,
                "the process that held the key is gone; what became of its request is not known",
            )
        };
        let member = member
            .filter(|m| m.incarnation <= key.incarnation)
            .ok_or_else(key_lost)?;
        if !plan.service.allowed.contains_key(&member.domain) {
            return Err(Refusal::unknown(
                409,
                "the key's node may not be sent to any more",
            ));
        }
        self.note_first_send(plan);
        let mut attempt = 0;
        loop {
            let choice = Choice {
                member: member.clone(),
                reason: Reason::Room(plan.distance(&member.domain)),
                cost: 0,
                candidates: 1,
            };
            self.sender.log_choice(plan, &choice, attempt);
            let mut headers = self.sender.headers(plan);
            http::set(&mut headers, answer::KEYED, 1);
            let Some(sent) = body.take() else {
                return Err(key_lost());
            };
            let result = self.sender.attempt_with(plan, choice, headers, sent).await;
            let failed = match result {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            // A repeat is safe: the node runs a request at most once per key.
            attempt += 1;
            let broke_off = failed.refusal.status == 502;
            if !broke_off || attempt > MAX_RETRIES || !self.try_spend(&plan.service.name) {
                return Err(key_refusal(failed));
            }
        }
    }

    /// Requests keys from a node that has a target of the service.
    async fn issue(&self, req: &mut Request) -> Result<reqwest::Response, Refusal> {
        let view = self.node.require_view()?;
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
        self.attempts(&plan, Body::Whole(Bytes::new(), None)).await
    }

    /// Updates the metrics for a request that arrived at `since`.
    fn count(&self, outcome: Outcome, since: Instant) {
        let labels = RequestLabels {
            outcome: outcome.to_string(),
        };
        self.node.metrics.requests.get_or_create(&labels).inc();
        self.node
            .metrics
            .latency
            .observe(since.elapsed().as_secs_f64());
    }
}

/// Returns the refusal for a keyed request whose attempt failed. If the node is
/// unreachable, the outcome is unknown: an earlier request with the same key may
/// have run.
fn key_refusal(failed: Failed) -> Refusal {
    if failed.was_sent {
        return failed.refusal;
    }
    let reason = "the key's node can't be reached; ask again with the same key";
    Refusal {
        retry_after: Some(Span::from_secs(1)),
        ..Refusal::unknown(503, reason)
    }
}

/// The HTTP handler of the outbound proxy.
pub struct OutboundHandler(pub Arc<Outbound>);

#[salvo::async_trait]
impl Handler for OutboundHandler {
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
