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
            balance::{self, Choice, Report},
            quarantine::QUARANTINED,
            queue::Arrival,
        },
        gate,
        host::Host,
        memory::{self, Hold, Memory},
        rollout::Answer,
    },
    event::Event,
    host::metrics,
    journal::note,
    protocol::{answer::Refusal, notice::Notice},
    state::{member::Member, routing::Limits},
    transport::{
        http,
        relay::{
            MAX_BUFFERED_BODY,
            attempt::{AttemptGuard, AttemptOutcome},
            body::{Body, ReadError, ReadResult, Reader},
            call::Call,
            completion::{Attempts, finish},
            delivery::Delivery,
            ingress::{Ingress, RunTime},
            peer_client::{self, PeerClient},
            refusal_response, request_fingerprint, selection,
            serve::Handler,
        },
    },
    unit::Size,
};

/// The reason of a refusal because, by the load reports, no target has room for a request.
pub const NO_ROOM: &str = "no target has room";

/// Routes requests of callers and sends them to targets here or on other hosts.
pub struct Egress {
    host: Arc<Host>,
    memory: Arc<Memory>,
    ingress: Arc<Ingress>,
    peers: PeerClient,
}

impl Egress {
    /// Returns the egress side of `host`. Requests for the host's own target are passed
    /// directly to `ingress`. Bodies are held in `memory`.
    pub fn new(host: Arc<Host>, ingress: Arc<Ingress>, memory: Arc<Memory>) -> Arc<Self> {
        Arc::new(Self {
            peers: PeerClient::new(host.clone(), memory.clone()),
            host,
            memory,
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
        // One version's limits hold for the whole request.
        let limits = self.host.limits();
        // Held until the request has its answer, as it may be sent again.
        let hold = self.memory.open();
        let body = match self.read_body(incoming, &call, &limits, &hold).await {
            Ok(body) => body,
            Err(refusal) => {
                return finish(
                    &self.host,
                    &call,
                    version,
                    &Attempts::default(),
                    Err(refusal),
                );
            }
        };
        let mut attempts = Attempts::default();
        let result = self
            .run_attempts(&call, body, limits.body, &mut attempts)
            .await;
        if let Ok(response) = &result {
            self.host
                .until_bandwidth_free(response.body().length())
                .await;
        }
        finish(&self.host, &call, version, &attempts, result)
    }

    /// Reads a body whole if the node may hold one of its size, and the start of a larger one. No
    /// target has a slot taken until a body is whole, which may be never.
    async fn read_body(
        &self,
        incoming: Body,
        call: &Call,
        limits: &Limits,
        hold: &Hold,
    ) -> Result<ReadResult, Refusal> {
        let max_bytes = limits.body.as_bytes();
        let max_whole = self.memory.max_whole().max(MAX_BUFFERED_BODY);
        let too_large = || Refusal::rejected(413, too_large_reason(limits.body));
        let length: Option<u64> = http::parse(&call.head.headers, "content-length");
        if length.is_some_and(|length| length > max_bytes) {
            return Err(too_large());
        }
        if length.is_some_and(|length| length > max_whole as u64) {
            return Ok(ReadResult::Partial(Bytes::new(), incoming));
        }
        let max = usize::try_from(max_bytes).map_or(max_whole, |max| max.min(max_whole));
        let reader = Reader::new(hold, max, limits.idle_timeout.duration()).until(call.deadline);
        match reader.read(incoming).await {
            Ok(ReadResult::Partial(first, _)) if first.len() as u64 > max_bytes => Err(too_large()),
            Ok(read) => Ok(read),
            Err(ReadError::Stalled) => Err(Refusal::rejected(408, "request body stood still")),
            Err(error @ ReadError::Interrupted(_)) => {
                Err(Refusal::rejected(400, error.to_string()))
            }
            Err(error @ ReadError::NoMemory(_)) => {
                Err(Refusal::not_run(error.to_string(), memory::RETRY_AFTER))
            }
        }
    }

    /// Tries one target after another until one answers or no further attempt is allowed.
    async fn run_attempts(
        &self,
        call: &Call,
        body: ReadResult,
        max_body: Size,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refusal> {
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
        self.host
            .load_reports
            .note_sent(&call.service, call.arrived);
        if !self.host.quarantine.is_quarantined(&content) {
            self.check_room(call, attempts)?;
        }
        // The request as a target last refused it for lack of capacity.
        let mut refused: Option<Arrival> = None;
        while attempts.may_ask(&call.request(), Instant::now()) {
            let is_quarantined = self.host.quarantine.is_quarantined(&content);
            let choice = match is_quarantined {
                true => selection::choose_for_trial(&self.host, call, &content, &attempts.nodes),
                false => selection::choose(&self.host, call, bytes, attempts, refused.as_ref()),
            };
            let Some(choice) = choice else {
                match is_quarantined {
                    true => attempts.keep_refusal(Refusal::rejected(503, QUARANTINED)),
                    false if refused.is_some() => {}
                    false => selection::log_no_target(&self.host, call, attempts.nodes.len()),
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
            if let AttemptOutcome::Refused(refusal) = &outcome
                && refusal.refusal.reason == gate::FULL
                && self.host.load_reports.is_enabled()
            {
                refused = Some(self.last_arrival(call, attempts));
            }
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

    /// Returns the queue entry of a request for the last target that it may ask.
    fn last_arrival(&self, call: &Call, attempts: &Attempts) -> Arrival {
        let usual = self.host.balancer.lock().mean_run_time(&call.route.name);
        attempts.last_arrival(&call.request(), usual, Instant::now())
    }

    /// Refuses a request for which no target has room by the load reports, before any is asked.
    fn check_room(&self, call: &Call, attempts: &Attempts) -> Result<(), Refusal> {
        if !self.host.load_reports.is_enabled() {
            return Ok(());
        }
        let arrival = self.last_arrival(call, attempts);
        let Some(no_room) = selection::no_room(&self.host, call, &arrival) else {
            return Ok(());
        };
        let service = metrics::Service {
            service: call.service.to_string(),
        };
        self.host.metrics.no_room.get_or_create(&service).inc();
        let known = self.host.members.read().providers(&call.service).len();
        note!(
            self.host.journal,
            Event::NoRoom,
            id = call.id(&self.host),
            route = call.route.name,
            service = call.service,
            priority = call.priority,
            known = known,
            fresh = no_room.full,
            oldest = no_room.oldest.as_millis(),
            wait = no_room.wait.as_millis(),
        );
        Err(Refusal::not_run(NO_ROOM, no_room.retry_after()))
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
        let is_own = member.node == self.host.settings.node;
        let (usual_run_time, answer_size, known_limit, knows_slowness) = {
            let balancer = self.host.balancer.lock();
            let route = &call.route.name;
            (
                balancer.mean_run_time(route),
                balancer.large_answer_size(route),
                balancer.stated_limit(member),
                balancer.knows_slowness(&call.service, since),
            )
        };
        // The chosen node is already among those asked.
        let targets = attempts.nodes.len() - 1 + choice.eligible;
        let mut arrival = attempts.queue_arrival(&call.request(), usual_run_time, targets, since);
        // A redirected request needs another target and its whole body.
        arrival.may_redirect &= knows_slowness && choice.eligible > 1 && body.is_whole();
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
        let outcome = if is_own {
            let delivered = self.ingress.deliver(&delivery, &call.head, body).await;
            let run_time = delivered.as_ref().ok().and_then(|r| r.extensions().get());
            guard.report = Report {
                load: Some(self.host.gate.load()),
                slowdown: Some(self.host.gate.slowdown()),
                run_time: run_time.map(|RunTime(run_time)| *run_time),
                is_large,
                notice: None,
                // The balancer has it from the gate, with its age.
                slowness: None,
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
                id = call.id(&self.host),
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
}

fn too_large_reason(max: Size) -> String {
    format!("request body is larger than {max}")
}
