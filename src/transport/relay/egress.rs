//! Requests of callers on this host, and of its target.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{Request, Response, header::HeaderValue, http::request};

use crate::{
    coordination::{
        decision::{
            balance::{self, Choice, Report, Wish},
            quarantine::HELD_BACK,
            tries,
        },
        host::Host,
        link::Stream,
        rollout::{Answer, Lane},
    },
    event::Event,
    host::metrics,
    id::{Name, Node},
    journal::note,
    protocol::answer::{Outcome, Refusal},
    state::{fingerprint::Fingerprint, member::Member, routing::Route},
    transport::{
        http,
        relay::{
            KEPT_BODY,
            body::{self, Body, Read, ReadError},
            content, host_of,
            ingress::{Ingress, Ran, Visit},
            next::{self, Next},
            outstanding::{Tried, Watch},
            refused,
            serve::Handler,
        },
    },
    unit::{Size, Span},
};

/// When callers are asked to come back while no version is in force.
const NO_VERSION_AGAIN: Span = Span::from_millis(300);

/// The way of requests out of this host.
pub struct Egress {
    host: Arc<Host>,
    ingress: Arc<Ingress>,
    next: Next,
}

/// A request and what the version in force says about it.
pub struct Call {
    /// The request's head, as its target gets it.
    pub head: request::Parts,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that is to run it.
    pub service: Name,
    /// When it came.
    pub arrived: Instant,
    /// How likely a run of the target here that is a repeat sent it.
    pub carried: f64,
    /// When it should be answered, counted from its caller's first try.
    pub due: Instant,
    /// When its caller, or its route, has no more use for an answer.
    pub deadline: Instant,
}

/// What was tried for a request so far.
type Tries = tries::Tries<Response<Body>>;

impl Call {
    fn request(&self) -> tries::Request<'_> {
        tries::Request {
            service: &self.service,
            kind: self.route.kind,
            priority: self.route.priority,
            attempts: self.route.attempts,
            carried: self.carried,
            due: self.due,
            deadline: self.deadline,
        }
    }
}

impl Egress {
    /// Returns the way out of `host`; requests for its own target go straight to
    /// `ingress`.
    pub fn new(host: Arc<Host>, ingress: Arc<Ingress>) -> Arc<Self> {
        Arc::new(Self {
            next: Next::new(host.clone()),
            host,
            ingress,
        })
    }

    /// Returns the handler of callers' requests.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let egress = self.clone();
        Arc::new(move |request| {
            let egress = egress.clone();
            async move { egress.answer(request).await }.boxed()
        })
    }

    /// Writes down what was sent again for each service.
    pub fn note_sent_again(&self) {
        let nodes = self.host.nodes();
        let allowance = self.host.allowance.lock();
        let all = allowance.all(nodes, Instant::now());
        for (service, used) in all.filter(|(_, used)| used.further() > 0.0) {
            note!(
                self.host.journal,
                Event::SentAgain,
                service = service,
                first = used.first,
                arrived = used.arrived,
                again = used.again,
                repeated = used.repeated,
                carried = format_args!("{:.1}", used.carried),
                allowed = format_args!("{:.1}", used.allowed),
            );
        }
    }

    /// Closes connections that were unused for long, and forgets nodes that have left
    /// and routes that are gone.
    pub fn tidy(&self) {
        self.next.tidy();
        if let Some(table) = self.host.routes() {
            let mut ages = self.host.ages.lock();
            ages.retain(|route| table.has_route(route));
            self.host.rollouts.retain(|route| table.has_route(route));
        }
        let members = self.host.members.read();
        self.host
            .balance
            .lock()
            .retain(|node| members.get(node).is_some());
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let arrived = Instant::now();
        let (head, incoming) = request.into_parts();
        let (call, version) = match self.call(head, arrived) {
            Ok(found) => found,
            Err(refusal) => return refused(&refusal, NO_VERSION_AGAIN.duration() * 3),
        };
        let body = match self.body(incoming, &call).await {
            Ok(body) => body,
            Err(refusal) => return self.end(&call, version, &Tries::default(), Err(refusal)),
        };
        let mut tries = Tries::default();
        let result = self.tries(&call, body, &mut tries).await;
        if let Ok(response) = &result {
            self.host.until_room(response.body().length()).await;
        }
        self.end(&call, version, &tries, result)
    }

    /// Finds the route of a request, in the version that is in force now.
    fn call(&self, head: request::Parts, arrived: Instant) -> Result<(Call, u64), Refusal> {
        let Some(table) = self.host.routes() else {
            return Err(Refusal::not_run("no version is in force", NO_VERSION_AGAIN));
        };
        let host = host_of(&head);
        let Some(route) = table.find(&host, head.uri.path()).cloned() else {
            let path = head.uri.path();
            let version = table.version;
            let id = http::get(&head.headers, self.host.words.dialect.id.as_str()).unwrap_or("-");
            note!(
                self.host.journal,
                Event::NoRoute,
                id = id,
                host = host,
                path = path,
                version = version
            );
            return Err(Refusal::rejected(404, "no route matches"));
        };
        let dialect = &self.host.words.dialect;
        let left = http::parse(&head.headers, dialect.deadline.as_str());
        let age = left.map_or(Duration::ZERO, |left| {
            let left = Duration::from_millis(left);
            self.host.ages.lock().note(&route.name, left)
        });
        let left = left.map_or(route.timeout, |left| {
            Span::from_millis(left).min(route.timeout)
        });
        let due = (arrived + route.objective.duration()).checked_sub(age);
        let service = self.host.split.lock().next(&route);
        let mut call = Call {
            head,
            route,
            service,
            arrived,
            carried: self.host.gate.repeats(),
            // A clock that began later than that: it is late all the same.
            due: due.unwrap_or(arrived),
            deadline: arrived + left.duration(),
        };
        // What a caller says of itself is not asked for.
        let caller = HeaderValue::from_str(self.host.service().as_str());
        let caller = caller.expect("names are valid in headers");
        call.head.headers.insert(dialect.caller.clone(), caller);
        Ok((call, table.version))
    }

    async fn body(&self, incoming: Body, call: &Call) -> Result<Read, Refusal> {
        let limits = self.host.limits();
        let most = limits.body.as_bytes();
        let too_large = || Refusal::rejected(413, too_large(limits.body));
        let length: Option<u64> = http::parse(&call.head.headers, "content-length");
        if length.is_some_and(|length| length > most) {
            return Err(too_large());
        }
        if length.is_some_and(|length| length > KEPT_BODY as u64) {
            return Ok(Read::Start(Bytes::new(), incoming));
        }
        let idle = limits.idle_timeout.duration();
        let left = call.deadline.saturating_duration_since(Instant::now());
        let kept = usize::try_from(most).unwrap_or(KEPT_BODY).min(KEPT_BODY);
        match body::read(incoming, kept, idle.min(left)).await {
            Ok(Read::Start(first, _)) if first.len() as u64 > most => Err(too_large()),
            Ok(read) => Ok(read),
            Err(ReadError::Still) => Err(Refusal::rejected(408, "request body stood still")),
            Err(error @ ReadError::Broken(_)) => Err(Refusal::rejected(400, error.to_string())),
        }
    }

    /// Tries targets until one answers, or nothing more may be tried.
    async fn tries(
        &self,
        call: &Call,
        body: Read,
        tries: &mut Tries,
    ) -> Result<Response<Body>, Refusal> {
        let most = self.host.limits().body;
        let passed = Arc::new(AtomicBool::new(false));
        let (mut streamed, whole) = match body {
            Read::Whole(bytes) => (None, Some(bytes)),
            Read::Start(first, rest) => {
                let body = Body::streamed(first, rest, call.deadline);
                (Some(body.limited(most.as_bytes(), passed.clone())), None)
            }
        };
        // A longer body is as long as what is kept at the least.
        let bytes = whole.as_ref().map_or(KEPT_BODY, Bytes::len);
        let content = content::fingerprint(&call.head, whole.as_deref());
        while tries.may_ask(&call.request(), Instant::now()) {
            let is_held = self.host.reviews.is_held(&content);
            let choice = match is_held {
                true => self.trial(call, &content, tries),
                false => self.choose(call, bytes, tries),
            };
            let Some(choice) = choice else {
                match is_held {
                    true => tries.note(Refusal::rejected(503, HELD_BACK)),
                    false => self.note_no_target(call, tries),
                }
                break;
            };
            if !self.may_send(call, tries) {
                break;
            }
            let body = match &whole {
                Some(bytes) => Body::whole(bytes.clone()),
                None => match streamed.take() {
                    Some(body) => body,
                    None => break,
                },
            };
            tries.nodes.push(choice.member.node.clone());
            let tried = self.try_one(call, &choice, body, tries, is_held).await;
            if tries.arrivals == 0 && tried.has_arrived() {
                let mut allowance = self.host.allowance.lock();
                allowance.arrive(&call.service, Instant::now());
            }
            if matches!(tried, Tried::Refused(_)) && passed.load(Ordering::Relaxed) {
                // Its target has seen a part, so nothing is said of its run.
                return Err(Refusal::unknown(413, too_large(most)));
            }
            if let Tried::Answered(response) = &tried
                && response.body().is_whole()
            {
                self.host.reviews.note_answer(content);
            }
            if let Tried::Answered(response) = &tried
                && let Some(bytes) = response.body().length()
            {
                let mut balance = self.host.balance.lock();
                balance.note_size(&call.route.name, bytes);
            }
            if let Some(result) = tries.take(call.route.kind, tried.into()) {
                return result;
            }
        }
        tries.end()
    }

    fn choose(&self, call: &Call, bytes: usize, tries: &Tries) -> Option<Choice> {
        let wish = Wish {
            node: &self.host.settings.node,
            route: &call.route.name,
            service: &call.service,
            domain: &self.host.settings.domain,
            bytes,
            own: self.host.gate.load(),
        };
        let members = self.host.members.read();
        let service = &call.service;
        let lanes = self
            .host
            .rollouts
            .lanes(service, &members, tries.nodes.is_empty());
        let mut balance = self.host.balance.lock();
        for lane in lanes.into_iter().flatten() {
            let may = |member: &Member| {
                !tries.nodes.contains(&member.node) && lane.admits(member, service)
            };
            let choice = balance.choose(&members, wish, may, Instant::now());
            if choice.is_some() {
                return choice;
            }
            if matches!(lane, Lane::Trial(_)) {
                self.host.rollouts.give_back(service);
            }
        }
        None
    }

    /// Notes how a try ended, for the trials of releases.
    fn note_try(
        &self,
        call: &Call,
        member: &Member,
        tried: &Tried,
        usual: Option<Duration>,
        ran: Option<Duration>,
    ) {
        let target = member.target(&call.service);
        let answer = match tried {
            Tried::Answered(response) => Some(Answer {
                route: &call.route.name,
                is_fault: response.status().is_server_error(),
                ran: ran.unwrap_or_default(),
                usual,
            }),
            // What the serving release breaks off is held against the new one no more than
            // what it answers badly.
            Tried::Refused(refused) => refused.is_fault().then(|| Answer {
                route: &call.route.name,
                is_fault: true,
                ran: ran.unwrap_or_default(),
                usual,
            }),
        };
        let rollouts = &self.host.rollouts;
        rollouts.note_try(target, &call.service, tried.has_arrived(), answer.as_ref());
    }

    /// Writes down why there was nobody to choose.
    fn note_no_target(&self, call: &Call, tries: &Tries) {
        let members = self.host.members.read();
        let count = self.host.balance.lock().count(
            &members,
            &call.service,
            &self.host.settings.node,
            Instant::now(),
        );
        note!(
            self.host.journal,
            Event::NoTarget,
            id = self.id(call),
            service = call.service,
            known = count.known,
            draining = count.draining,
            passed_over = count.passed_over,
            tried = tries.nodes.len(),
            members_at = self.host.at(Stream::Members).unwrap_or(0),
        );
    }

    /// Returns whether a request may be sent to one more target. What a node
    /// refused before its target saw it costs nothing.
    fn may_send(&self, call: &Call, tries: &Tries) -> bool {
        let is_allowed = {
            let mut allowance = self.host.allowance.lock();
            let nodes = self.host.nodes();
            tries.may_send(&call.request(), &mut allowance, nodes, Instant::now())
        };
        let is_repeat = tries.arrivals > 0 && tries.arrivals < call.route.attempts;
        if !is_allowed && is_repeat {
            let service = metrics::Service {
                service: call.service.to_string(),
            };
            self.host.metrics.unallowed.get_or_create(&service).inc();
        }
        is_allowed
    }

    /// Returns the target here, if a request that is held back is tried again at it now.
    fn trial(&self, call: &Call, content: &Fingerprint, tries: &Tries) -> Option<Choice> {
        let may = tries.nodes.is_empty() && call.service == *self.host.service();
        let members = self.host.members.read();
        let member = members.get(&self.host.settings.node).filter(|_| may)?;
        if !self.host.reviews.try_again(content) {
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

    async fn try_one(
        &self,
        call: &Call,
        choice: &Choice,
        body: Body,
        tries: &Tries,
        is_trial: bool,
    ) -> Tried {
        let member = &choice.member;
        let since = Instant::now();
        let mut watch = Watch::start(&self.host, member, &call.route.name, &call.service);
        let (usual, answer) = {
            let balance = self.host.balance.lock();
            let route = &call.route.name;
            (balance.usual(route), balance.large_answer(route))
        };
        let arrival = tries.arrival(&call.request(), usual, since);
        let arrival = match next::is_offered(call, &body) {
            true => tries::offered(arrival),
            false => arrival,
        };
        let visit = Visit {
            service: call.service.clone(),
            arrival,
            answer,
            deadline: call.deadline,
            is_trial,
            is_again: tries.arrivals > 0,
            faults: (self.host.rollouts.usual(&call.route.name) * 1000.0) as u16,
        };
        let is_large = body.length().is_none_or(balance::is_large);
        let tried = if member.node == self.host.settings.node {
            let delivered = self.ingress.deliver(&visit, &call.head, body).await;
            let ran = delivered.as_ref().ok().and_then(|r| r.extensions().get());
            watch.report = Report {
                load: Some(self.host.gate.load()),
                pace: Some(self.host.gate.pace()),
                ran: ran.map(|Ran(ran)| *ran),
                is_large,
            };
            match delivered {
                Ok(response) => Tried::Answered(response),
                Err(refused) => Tried::Refused(refused),
            }
        } else {
            self.next.send(call, member, &visit, body, &mut watch).await
        };
        self.note_try(call, member, &tried, usual, watch.report.ran);
        watch.finish(&tried, since.elapsed());
        if let Tried::Refused(refused) = &tried {
            note!(
                self.host.journal,
                Event::Retried,
                id = self.id(call),
                route = call.route.name,
                service = call.service,
                to = member.node,
                tried = tries.nodes.len(),
                usage = format_args!("{:.2}", choice.usage),
                candidates = choice.candidates,
                outcome = refused.refusal.outcome,
                arrived = refused.arrived,
                reason = refused.refusal.reason,
                took = since.elapsed().as_millis(),
            );
        }
        tried
    }

    /// Ends a request: with the answer, or with what the caller is told instead.
    fn end(
        &self,
        call: &Call,
        version: u64,
        tries: &Tries,
        result: Result<Response<Body>, Refusal>,
    ) -> Response<Body> {
        let left = call.deadline.saturating_duration_since(Instant::now());
        let took = call.arrived.elapsed().as_millis();
        let id = self.id(call);
        let (route, service) = (&call.route.name, &call.service);
        let priority = call.route.priority;
        let nodes = Nodes(&tries.nodes);
        self.count(call, &result);
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
                    arrivals = tries.arrivals,
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
                    arrivals = tries.arrivals,
                    outcome = outcome,
                    status = status,
                    reason = reason,
                    left = left.as_millis(),
                    took = took,
                );
                refused(&refusal, left)
            }
        }
    }

    fn count(&self, call: &Call, result: &Result<Response<Body>, Refusal>) {
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

    fn id<'a>(&self, call: &'a Call) -> &'a str {
        http::get(&call.head.headers, self.host.words.dialect.id.as_str()).unwrap_or("-")
    }
}

/// The nodes that were tried, with commas between.
struct Nodes<'a>(&'a [Node]);

impl std::fmt::Display for Nodes<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, node) in self.0.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{node}")?;
        }
        Ok(())
    }
}

fn too_large(most: Size) -> String {
    format!("request body is larger than {most}")
}
