//! Requests that enter the system at this host. Their callers include the host's own target.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{Request, Response};

use crate::{
    coordination::{
        decision::{
            attempts,
            balance::{self, Choice, Criteria, Report},
            quarantine::QUARANTINED,
        },
        host::Host,
        interface::Stream,
        rollout::{Answer, Subset},
    },
    event::Event,
    host::metrics,
    id::Node,
    journal::note,
    protocol::{
        answer::{Outcome, Refusal},
        notice::Notice,
    },
    state::{fingerprint::Fingerprint, member::Member},
    transport::{
        http,
        relay::{
            MAX_BUFFERED_BODY,
            attempt::{AttemptGuard, AttemptOutcome},
            body::{self, Body, ReadError, ReadResult},
            call::Call,
            delivery::Delivery,
            ingress::{Ingress, RunTime},
            peer_client::{self, PeerClient},
            refusal_response, request_fingerprint,
            serve::Handler,
        },
    },
    unit::Size,
};

/// Routes requests of callers and sends them to targets here or on other hosts.
pub struct Egress {
    host: Arc<Host>,
    ingress: Arc<Ingress>,
    peers: PeerClient,
}

/// The attempts made for a request so far.
type Attempts = attempts::Attempts<Response<Body>>;

impl Egress {
    /// Returns the egress side of `host`. Requests for the host's own target are passed
    /// directly to `ingress`.
    pub fn new(host: Arc<Host>, ingress: Arc<Ingress>) -> Arc<Self> {
        Arc::new(Self {
            peers: PeerClient::new(host.clone()),
            host,
            ingress,
        })
    }

    /// Returns the handler for requests of callers.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let egress = self.clone();
        Arc::new(move |request| {
            let egress = egress.clone();
            async move { egress.handle(request).await }.boxed()
        })
    }

    /// Logs the retries of each service that had any, with its retry budget.
    pub fn log_retries(&self) {
        let nodes = self.host.nodes();
        let budget = self.host.retry_budget.lock();
        let services = budget.usage(nodes, Instant::now());
        for (service, usage) in services.filter(|(_, usage)| usage.extra_arrivals() > 0.0) {
            note!(
                self.host.journal,
                Event::SentAgain,
                service = service,
                first = usage.first_sends,
                arrived = usage.arrived,
                again = usage.retries,
                repeated = usage.repeated,
                carried = format_args!("{:.1}", usage.repeat_calls),
                allowed = format_args!("{:.1}", usage.allowed),
            );
        }
    }

    /// Closes idle connections and drops the state of nodes that have left and of routes
    /// that no longer exist.
    pub fn prune(&self) {
        self.peers.prune();
        if let Some(table) = self.host.routes() {
            let mut ages = self.host.request_ages.lock();
            ages.retain(|route| table.has_route(route));
            self.host
                .rollouts
                .retain_routes(|route| table.has_route(route));
        }
        let members = self.host.members.read();
        self.host
            .balancer
            .lock()
            .retain(|node| members.get(node).is_some());
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let arrived = Instant::now();
        let (head, incoming) = request.into_parts();
        let (call, version) = match Call::new(&self.host, head, arrived) {
            Ok(found) => found,
            Err(denied) => return refusal_response(&denied.refusal, denied.remaining),
        };
        let body = match self.read_body(incoming, &call).await {
            Ok(body) => body,
            Err(refusal) => return self.finish(&call, version, &Attempts::default(), Err(refusal)),
        };
        let mut attempts = Attempts::default();
        let result = self.run_attempts(&call, body, &mut attempts).await;
        if let Ok(response) = &result {
            self.host
                .until_bandwidth_free(response.body().length())
                .await;
        }
        self.finish(&call, version, &attempts, result)
    }

    /// Reads a small body whole, and the start of a larger one.
    async fn read_body(&self, incoming: Body, call: &Call) -> Result<ReadResult, Refusal> {
        let limits = self.host.limits();
        let max_bytes = limits.body.as_bytes();
        let too_large = || Refusal::rejected(413, too_large_reason(limits.body));
        let length: Option<u64> = http::parse(&call.head.headers, "content-length");
        if length.is_some_and(|length| length > max_bytes) {
            return Err(too_large());
        }
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64) {
            return Ok(ReadResult::Partial(Bytes::new(), incoming));
        }
        let idle_timeout = limits.idle_timeout.duration();
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let buffered = usize::try_from(max_bytes)
            .unwrap_or(MAX_BUFFERED_BODY)
            .min(MAX_BUFFERED_BODY);
        match body::read(incoming, buffered, idle_timeout.min(remaining)).await {
            Ok(ReadResult::Partial(first, _)) if first.len() as u64 > max_bytes => Err(too_large()),
            Ok(read) => Ok(read),
            Err(ReadError::Stalled) => Err(Refusal::rejected(408, "request body stood still")),
            Err(error @ ReadError::Interrupted(_)) => {
                Err(Refusal::rejected(400, error.to_string()))
            }
        }
    }

    /// Tries one target after another until one answers or no further attempt is allowed.
    async fn run_attempts(
        &self,
        call: &Call,
        body: ReadResult,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refusal> {
        let max_body = self.host.limits().body;
        let is_exceeded = Arc::new(AtomicBool::new(false));
        let (mut streamed, whole) = match body {
            ReadResult::Whole(bytes) => (None, Some(bytes)),
            ReadResult::Partial(first, rest) => {
                let body = Body::streamed(first, rest, call.deadline);
                (
                    Some(body.limited(max_body.as_bytes(), is_exceeded.clone())),
                    None,
                )
            }
        };
        // A body that isn't buffered whole has at least the size of the buffer.
        let bytes = whole.as_ref().map_or(MAX_BUFFERED_BODY, Bytes::len);
        let content = request_fingerprint::fingerprint(&call.head, whole.as_deref());
        while attempts.may_ask(&call.request(), Instant::now()) {
            let is_quarantined = self.host.quarantine.is_quarantined(&content);
            let choice = match is_quarantined {
                true => self.trial_target(call, &content, attempts),
                false => self.choose_target(call, bytes, attempts),
            };
            let Some(choice) = choice else {
                match is_quarantined {
                    true => attempts.keep_refusal(Refusal::rejected(503, QUARANTINED)),
                    false => self.log_no_target(call, attempts),
                }
                break;
            };
            if !self.may_send(call, attempts) {
                break;
            }
            let body = match &whole {
                Some(bytes) => Body::whole(bytes.clone()),
                None => match streamed.take() {
                    Some(body) => body,
                    None => break,
                },
            };
            attempts.nodes.push(choice.member.node.clone());
            let outcome = self
                .attempt(call, &choice, body, attempts, is_quarantined)
                .await;
            if attempts.arrivals == 0 && outcome.has_arrived() {
                let mut budget = self.host.retry_budget.lock();
                budget.note_arrival(&call.service, Instant::now());
            }
            if matches!(outcome, AttemptOutcome::Refused(_)) && is_exceeded.load(Ordering::Relaxed)
            {
                // The target has received a part of the body, so whether the request ran is
                // unknown.
                return Err(Refusal::unknown(413, too_large_reason(max_body)));
            }
            if let AttemptOutcome::Answered(response) = &outcome
                && response.body().is_whole()
            {
                self.host.quarantine.note_answer(content);
            }
            if let AttemptOutcome::Answered(response) = &outcome
                && let Some(bytes) = response.body().length()
            {
                let mut balancer = self.host.balancer.lock();
                balancer.record_answer_size(&call.route.name, bytes);
            }
            if let Some(result) = attempts.record(call.route.kind, outcome.into()) {
                return result;
            }
        }
        attempts.final_result()
    }

    /// Returns the target for the next attempt. During a roll-out, the subsets of targets are
    /// searched in order of preference.
    fn choose_target(&self, call: &Call, bytes: usize, attempts: &Attempts) -> Option<Choice> {
        let criteria = Criteria {
            node: &self.host.settings.node,
            route: &call.route.name,
            service: &call.service,
            domain: &self.host.settings.domain,
            regions: &self.host.settings.regions,
            bytes,
            own_load: self.host.gate.load(),
        };
        let members = self.host.members.read();
        let service = &call.service;
        let subsets = self
            .host
            .rollouts
            .subsets(service, &members, attempts.nodes.is_empty());
        let drains = self.host.drains.current();
        let regions = &self.host.settings.regions;
        let mut balancer = self.host.balancer.lock();
        for subset in subsets.into_iter().flatten() {
            let is_eligible = |member: &Member| {
                !drains.is_drained(&member.domain)
                    && call.may_run_in(regions.of(&member.domain))
                    && !attempts.nodes.contains(&member.node)
                    && subset.admits(member, service)
            };
            let choice = balancer.choose(&members, criteria, is_eligible, Instant::now());
            if choice.is_some() {
                return choice;
            }
            if matches!(subset, Subset::Trial(_)) {
                self.host.rollouts.refund(service);
            }
        }
        None
    }

    /// Records the outcome of an attempt as evidence for release roll-outs.
    fn record_attempt(
        &self,
        call: &Call,
        member: &Member,
        outcome: &AttemptOutcome,
        usual_run_time: Option<Duration>,
        run_time: Option<Duration>,
    ) {
        let target = member.target(&call.service);
        let answer = match outcome {
            AttemptOutcome::Answered(response) => Some(Answer {
                route: &call.route.name,
                is_fault: response.status().is_server_error(),
                run_time: run_time.unwrap_or_default(),
                usual_run_time,
            }),
            // An aborted run counts as a bad answer of any release. The baseline of the serving
            // release must include its aborted runs, or the new one would be judged more
            // strictly.
            AttemptOutcome::Refused(refused) => refused.is_fault().then(|| Answer {
                route: &call.route.name,
                is_fault: true,
                run_time: run_time.unwrap_or_default(),
                usual_run_time,
            }),
        };
        let rollouts = &self.host.rollouts;
        rollouts.record_attempt(
            target,
            &call.service,
            outcome.has_arrived(),
            answer.as_ref(),
        );
    }

    /// Logs the numbers of known, draining and excluded targets when none can be chosen.
    fn log_no_target(&self, call: &Call, attempts: &Attempts) {
        let members = self.host.members.read();
        let count = self.host.balancer.lock().count_targets(
            &members,
            &call.service,
            &self.host.settings.node,
            Instant::now(),
        );
        note!(
            self.host.journal,
            Event::NoTarget,
            id = self.request_id(call),
            service = call.service,
            known = count.known,
            draining = count.draining,
            passed_over = count.excluded,
            tried = attempts.nodes.len(),
            members_at = self.host.streams.offset(Stream::Members).unwrap_or(0),
        );
    }

    /// Returns whether a request may be sent to one more target, and takes the cost of a
    /// retry from the retry budget. A retry is free if no target has seen the request yet.
    fn may_send(&self, call: &Call, attempts: &Attempts) -> bool {
        let is_allowed = {
            let mut budget = self.host.retry_budget.lock();
            let nodes = self.host.nodes();
            attempts.may_send(&call.request(), &mut budget, nodes, Instant::now())
        };
        let is_repeat = attempts.arrivals > 0 && attempts.arrivals < call.route.attempts;
        if !is_allowed && is_repeat {
            let service = metrics::Service {
                service: call.service.to_string(),
            };
            self.host
                .metrics
                .rejected_retries
                .get_or_create(&service)
                .inc();
        }
        is_allowed
    }

    /// Returns the target on this host, if a trial of a quarantined request may start at it
    /// now.
    fn trial_target(
        &self,
        call: &Call,
        content: &Fingerprint,
        attempts: &Attempts,
    ) -> Option<Choice> {
        let is_eligible = attempts.nodes.is_empty() && call.service == *self.host.service();
        let members = self.host.members.read();
        let member = members
            .get(&self.host.settings.node)
            .filter(|_| is_eligible)?;
        if !self.host.quarantine.start_trial(content) {
            return None;
        }
        note!(self.host.journal, Event::TriedAgain, content = content);
        Some(Choice {
            member: member.clone(),
            usage: 0.0,
            candidates: 1,
            cost: 0.0,
        })
    }

    /// Sends a request to the chosen node and returns how the attempt ended.
    async fn attempt(
        &self,
        call: &Call,
        choice: &Choice,
        body: Body,
        attempts: &Attempts,
        is_trial: bool,
    ) -> AttemptOutcome {
        let member = &choice.member;
        let since = Instant::now();
        let mut guard = AttemptGuard::start(&self.host, member, &call.route.name, &call.service);
        let (usual_run_time, answer_size, known_limit) = {
            let balancer = self.host.balancer.lock();
            let route = &call.route.name;
            (
                balancer.mean_run_time(route),
                balancer.large_answer_size(route),
                balancer.stated_limit(member),
            )
        };
        let arrival = attempts.queue_arrival(&call.request(), usual_run_time, since);
        let arrival = match peer_client::is_offered(call, &body) {
            true => attempts::limit_offer_wait(arrival),
            false => arrival,
        };
        let delivery = Delivery {
            service: call.service.clone(),
            arrival,
            answer_size,
            deadline: call.deadline,
            is_trial,
            is_repeat: attempts.arrivals > 0,
            known_limit,
            fault_permille: (self.host.rollouts.baseline(&call.route.name) * 1000.0) as u16,
        };
        let is_large = body.length().is_none_or(balance::is_large);
        let outcome = if member.node == self.host.settings.node {
            let delivered = self.ingress.deliver(&delivery, &call.head, body).await;
            let run_time = delivered.as_ref().ok().and_then(|r| r.extensions().get());
            guard.report = Report {
                load: Some(self.host.gate.load()),
                slowdown: Some(self.host.gate.slowdown()),
                run_time: run_time.map(|RunTime(run_time)| *run_time),
                is_large,
                notice: None,
            };
            match delivered {
                Ok(response) => AttemptOutcome::Answered(response),
                Err(refused) => AttemptOutcome::Refused(refused),
            }
        } else {
            self.peers
                .send(call, member, &delivery, body, &mut guard)
                .await
        };
        if let AttemptOutcome::Answered(response) = &outcome {
            let dialect = &self.host.decoders.dialect;
            guard.report.notice = Some(Notice::of(response.headers(), dialect));
        }
        self.record_attempt(
            call,
            member,
            &outcome,
            usual_run_time,
            guard.report.run_time,
        );
        guard.finish(&outcome, since.elapsed());
        if let AttemptOutcome::Refused(refused) = &outcome {
            note!(
                self.host.journal,
                Event::Retried,
                id = self.request_id(call),
                route = call.route.name,
                service = call.service,
                to = member.node,
                tried = attempts.nodes.len(),
                usage = format_args!("{:.2}", choice.usage),
                candidates = choice.candidates,
                outcome = refused.refusal.outcome,
                arrived = refused.has_arrived,
                reason = refused.refusal.reason,
                took = since.elapsed().as_millis(),
            );
        }
        outcome
    }

    /// Logs and counts the result of a request, and returns the response for its caller.
    fn finish(
        &self,
        call: &Call,
        version: u64,
        attempts: &Attempts,
        result: Result<Response<Body>, Refusal>,
    ) -> Response<Body> {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let took = call.arrived.elapsed().as_millis();
        let id = self.request_id(call);
        let (route, service) = (&call.route.name, &call.service);
        let priority = call.priority;
        let nodes = NodeList(&attempts.nodes);
        self.count_result(call, &result);
        if let (Some(team), Err(refusal)) = (&call.team, &result)
            && refusal.outcome == Outcome::NotRun
        {
            self.host.rate_limits.refund(&team.name);
        }
        match result {
            Ok(response) => {
                let status = response.status().as_u16();
                note!(
                    self.host.journal,
                    Event::Routed,
                    id = id,
                    route = route,
                    service = service,
                    priority = priority,
                    version = version,
                    tries = nodes,
                    arrivals = attempts.arrivals,
                    outcome = Outcome::Answered,
                    status = status,
                    took = took,
                );
                response
            }
            Err(refusal) => {
                let Refusal {
                    outcome,
                    status,
                    reason,
                    ..
                } = &refusal;
                note!(
                    self.host.journal,
                    Event::Refused,
                    id = id,
                    route = route,
                    service = service,
                    priority = priority,
                    version = version,
                    tries = nodes,
                    arrivals = attempts.arrivals,
                    outcome = outcome,
                    status = status,
                    reason = reason,
                    left = remaining.as_millis(),
                    took = took,
                );
                refusal_response(&refusal, remaining)
            }
        }
    }

    /// Counts the result of a request in the metrics.
    fn count_result(&self, call: &Call, result: &Result<Response<Body>, Refusal>) {
        let (outcome, reason) = match result {
            Ok(_) => (Outcome::Answered, ""),
            Err(refusal) => (refusal.outcome, refusal.reason.as_str()),
        };
        let metrics = &self.host.metrics;
        let request = metrics::Request {
            route: call.route.name.to_string(),
            outcome: outcome.to_string(),
            reason: reason.into(),
        };
        metrics.requests.get_or_create(&request).inc();
        let outcome = metrics::Outcome {
            outcome: outcome.to_string(),
        };
        let took = call.arrived.elapsed().as_secs_f64();
        metrics.latency.get_or_create(&outcome).observe(took);
    }

    /// Returns the id that the caller gave the request, or `-`.
    fn request_id<'a>(&self, call: &'a Call) -> &'a str {
        http::get(
            &call.head.headers,
            self.host.decoders.dialect.attempt_id.as_str(),
        )
        .unwrap_or("-")
    }
}

/// Displays node names, separated by commas.
struct NodeList<'a>(&'a [Node]);

impl std::fmt::Display for NodeList<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, node) in self.0.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{node}")?;
        }
        Ok(())
    }
}

fn too_large_reason(max: Size) -> String {
    format!("request body is larger than {max}")
}
