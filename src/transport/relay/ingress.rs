//! Requests for the target on this host.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use hyper::{Request, Response, StatusCode, header::HeaderValue, http::request};

use crate::{
    coordination::{
        decision::{balance, line, quarantine::HELD_BACK},
        flow::Counted,
        gate::{self, Arrival, LEAVING, NO_TARGET, Permit},
        host::Host,
        rollout::{Answer, here},
    },
    event::Event,
    id::Name,
    journal::note,
    protocol::{
        answer::{Outcome, Refusal},
        hop::{self, Ask, Told},
    },
    state::{fingerprint::Fingerprint, rollout::Standing},
    transport::{
        http,
        relay::{
            KEPT_BODY,
            body::{self, Body, Read},
            content, host_of,
            offer::Inflow,
            onward, plain,
            pool::{Exchange, Failure, Pool, Settings},
            serve::Handler,
        },
    },
    unit::Span,
};

/// How the target's connections are made and kept. It is on this host, where a
/// connection takes less than a millisecond; targets keep unused ones for 10 s,
/// and say so where they differ.
const POOL: Settings = Settings {
    connect: Duration::from_millis(300),
    keep: Duration::from_secs(8),
    kept: 64,
    total: 64,
};

/// The reason of a refusal where the host's link carries too many large answers.
pub const LINK_BUSY: &str = "the link has no room for the answer";

/// The reason of a refusal where the host's link can't carry the body in time.
pub const LINK_FULL: &str = "the link has no room for the body";

/// The reason of a refusal by a node that is not the one that was meant.
pub const OTHER_NODE: &str = "another node has this address";

/// The reason of a refusal where the target broke off and is there.
const BROKE_OFF: &str = "target broke off";

/// The reason of a refusal where the body did, which is no fault of the target.
const BODY_BROKE_OFF: &str = "request body broke off";

/// The reason of a refusal where the target ended.
pub const TARGET_ENDED: &str = "target ended";

/// The reason of a refusal where the calls of one more repeat may not be made.
pub const CALLS_SPENT: &str = "no allowance is left for the calls of a repeat";

/// When callers are asked to come back then: their next try is a first send, so it needs no
/// allowance.
const CALLS_AGAIN: Span = Span::from_millis(200);

/// What is asked for the target here.
pub struct Visit {
    /// The service that is meant.
    pub service: Name,
    /// What it brings to the gate.
    pub arrival: Arrival,
    /// How large its answer usually is, in bytes, if it is a large one; else 0.
    pub answer: usize,
    /// When an answer is of no more use.
    pub deadline: Instant,
    /// Whether it is held back and tried again.
    pub is_trial: bool,
    /// How many of 1,000 answers on its route its sender sees to be bad.
    pub faults: u16,
    /// Whether a target has seen it before.
    pub is_again: bool,
}

/// Why there is no answer of the target.
pub struct Refused {
    /// What became of the request.
    pub refusal: Refusal,
    /// Whether the target itself has seen the request.
    pub arrived: bool,
}

/// How long the target ran a request, on its answer. What the way took and the wait for
/// room are no part of it.
#[derive(Clone, Copy, Debug)]
pub struct Ran(pub Duration);

/// A request that the target here runs.
struct Run<'a> {
    head: &'a request::Parts,
    content: Fingerprint,
    since: Instant,
    deadline: Instant,
}

/// The way to the target on this host.
pub struct Ingress {
    host: Arc<Host>,
    inflow: Inflow,
    pool: Pool,
}

impl Refused {
    fn before(refusal: Refusal) -> Self {
        Self {
            refusal,
            arrived: false,
        }
    }

    fn after(refusal: Refusal) -> Self {
        Self {
            refusal,
            arrived: true,
        }
    }

    /// Returns whether the target, or the way to it, broke off what may have run, or its
    /// answer was none to this request.
    pub fn is_fault(&self) -> bool {
        let Refusal {
            outcome,
            status,
            reason,
            ..
        } = &self.refusal;
        self.arrived && *outcome == Outcome::Unknown && *status == 502 && reason != BODY_BROKE_OFF
    }
}

impl Ingress {
    /// Returns the way to the target of `host`.
    pub fn new(host: Arc<Host>) -> Arc<Self> {
        Arc::new(Self {
            inflow: Inflow::new(host.settings.bandwidth()),
            host,
            pool: Pool::new(POOL),
        })
    }

    /// Returns the handler of requests from other nodes.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let ingress = self.clone();
        Arc::new(move |request| {
            let ingress = ingress.clone();
            async move { ingress.answer(request).await }.boxed()
        })
    }

    /// Closes connections to the target that were unused for long.
    pub fn tidy(&self) {
        self.pool.tidy();
    }

    /// Gives a request to the target, once the gate has room. What of the body has
    /// not come yet is asked for only then.
    ///
    /// # Errors
    ///
    /// Why there is no answer of the target, and whether it saw the request.
    pub async fn deliver(
        &self,
        visit: &Visit,
        head: &request::Parts,
        body: Body,
    ) -> Result<Response<Body>, Refused> {
        if visit.service != *self.host.service() {
            let refusal = Refusal::not_run(OTHER_NODE, Span::from_millis(0));
            return Err(Refused::before(refusal));
        }
        if here::standing(&self.host) == Standing::Barred {
            // Its release is not ordered, or was taken back, or it fails on trial.
            return Err(Refused::before(gate::no_target()));
        }
        let id = head.headers.get(&self.host.words.dialect.id);
        let since = Instant::now();
        self.carries(visit).map_err(Refused::before)?;
        let leave = self.leave(visit).map_err(Refused::before)?;
        let body = self.body_first(visit, head, body).await?;
        let entered = self.host.gate.enter(visit.arrival).await;
        self.note(id, visit, since, &entered);
        let mut permit = entered.map_err(Refused::before)?;
        let body = self.body(visit, head, body).await?;
        let run = Run {
            head,
            content: content::fingerprint(head, body.known()),
            since: Instant::now(),
            deadline: visit.deadline,
        };
        // Whoever sent it may not have heard yet that targets end under it.
        if !visit.is_trial && self.host.reviews.is_held(&run.content) {
            return Err(Refused::before(Refusal::rejected(503, HELD_BACK)));
        }
        permit.begin(visit.is_again);
        let ended = self.run(visit, permit, &run, body).await;
        let ran = run.since.elapsed();
        if let Some(is_fault) = is_fault(&ended) {
            self.weigh(visit, head, is_fault, ran);
        }
        let mut response = ended?;
        if response.status().is_success() {
            if let Some(usual) = visit.arrival.usual {
                self.host.gate.note_run(ran, usual);
            }
            response.extensions_mut().insert(Ran(ran));
            if let Some(leave) = leave {
                response.extensions_mut().insert(leave);
            }
        }
        Ok(response)
    }

    /// Lets the target run a request.
    async fn run(
        &self,
        visit: &Visit,
        permit: Permit,
        run: &Run<'_>,
        body: Body,
    ) -> Result<Response<Body>, Refused> {
        let request = self.request(visit, &permit, run.head, body);
        let address = permit.target.address;
        let exchange = match self.pool.send(address, request, visit.deadline).await {
            Ok(exchange) => exchange,
            Err(failure) => return Err(self.failed(&permit, run, &failure).await),
        };
        if exchange.response.status() == StatusCode::MISDIRECTED_REQUEST {
            self.doubt(&permit, "another instance answers");
        }
        let id = run.head.headers.get(&self.host.words.dialect.id);
        self.check(id, &exchange.response)?;
        self.pass(visit, permit, run, exchange).await
    }

    /// Refuses a repeat whose calls would go beyond what may come again to the services that
    /// its run calls.
    fn carries(&self, visit: &Visit) -> Result<(), Refusal> {
        let nodes = self.host.nodes();
        let may = || self.host.allowance.lock().carries(nodes, Instant::now());
        match !visit.is_again || may() {
            true => Ok(()),
            false => Err(Refusal::not_run(CALLS_SPENT, CALLS_AGAIN)),
        }
    }

    /// Weighs an answer of the target, where its release is on trial.
    fn weigh(&self, visit: &Visit, head: &request::Parts, is_fault: bool, ran: Duration) {
        if !self.host.rollouts.is_trying(&visit.service) {
            return;
        }
        let routes = self.host.routes();
        let found = routes
            .as_ref()
            .and_then(|routes| routes.find(&host_of(head), head.uri.path()));
        let Some(route) = found else { return };
        let answer = Answer {
            route: &route.name,
            is_fault,
            ran,
            usual: visit.arrival.usual,
        };
        here::weigh(&self.host, &answer, f64::from(visit.faults) / 1000.0);
    }

    /// Counts a large answer in, if the link can carry it in time behind those that are
    /// under way. The target would run in vain otherwise.
    fn leave(&self, visit: &Visit) -> Result<Option<Arc<Counted>>, Refusal> {
        if visit.answer == 0 {
            return Ok(None);
        }
        let spare = visit.arrival.due.saturating_duration_since(Instant::now());
        // Of a late one as much as its run takes: with more, links of 10 Mbit/s fill with
        // answers that nobody waits for any more.
        let run = visit.arrival.usual.unwrap_or_default();
        let outflow = &self.host.outflow;
        let leave = outflow.count_in(visit.answer, spare.max(run));
        let refused = |wait| Refusal::not_run(LINK_BUSY, Span::of(wait));
        leave.map(|leave| Some(Arc::new(leave))).map_err(refused)
    }

    /// Writes down what the gate decided.
    fn note(
        &self,
        id: Option<&HeaderValue>,
        visit: &Visit,
        since: Instant,
        entered: &Result<Permit, Refusal>,
    ) {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let load = self.host.gate.load();
        let waited = since.elapsed().as_millis();
        let priority = visit.arrival.priority;
        match entered {
            Ok(permit) => note!(
                self.host.journal,
                Event::Admitted,
                id = id,
                service = visit.service,
                priority = priority,
                instance = permit.target.instance,
                load = load,
                waited = waited,
            ),
            Err(refusal) => note!(
                self.host.journal,
                Event::Shed,
                id = id,
                service = visit.service,
                priority = priority,
                load = load,
                waited = waited,
                patience = visit.arrival.patience.as_millis(),
                due = visit
                    .arrival
                    .due
                    .saturating_duration_since(since)
                    .as_millis(),
                usual = visit.arrival.usual.unwrap_or_default().as_millis(),
                turn = self.host.gate.turn().as_millis(),
                reason = refusal.reason,
            ),
        }
    }

    fn request(
        &self,
        visit: &Visit,
        permit: &Permit,
        head: &request::Parts,
        body: Body,
    ) -> Request<Body> {
        let dialect = &self.host.words.dialect;
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = onward(&head.headers);
        let headers = request.headers_mut();
        let left = visit.deadline.saturating_duration_since(Instant::now());
        headers.insert(
            dialect.deadline.clone(),
            HeaderValue::from(left.as_millis() as u64),
        );
        // An instance is a word of a header's own alphabet in every heartbeat
        // that was taken; without one the target can't be told from another.
        if let Ok(instance) = HeaderValue::from_str(permit.target.instance.id()) {
            headers.insert(dialect.expect.clone(), instance);
        }
        request
    }

    async fn failed(&self, permit: &Permit, run: &Run<'_>, failure: &Failure) -> Refused {
        match failure {
            Failure::NotSent(_) => {
                self.doubt(permit, failure);
                Refused::before(Refusal::not_run(NO_TARGET, Span::from_millis(100)))
            }
            // The body was its caller's to give.
            Failure::Broken(error) if error.is_user() => {
                Refused::after(Refusal::unknown(502, BODY_BROKE_OFF))
            }
            Failure::Broken(_) => {
                Refused::after(Refusal::unknown(502, self.broken(permit, run).await))
            }
            Failure::TimedOut | Failure::Untaken => {
                Refused::after(Refusal::unknown(504, "target did not answer in time"))
            }
        }
    }

    /// Finds out why a connection broke under a request; returns that.
    ///
    /// A target that ends breaks off all that it runs at once, and nothing listens at its
    /// address any more; one that is there may break off a single answer.
    async fn broken(&self, permit: &Permit, run: &Run<'_>) -> &'static str {
        let target = &permit.target;
        if !self.pool.is_closed(target.address, run.deadline).await {
            return BROKE_OFF;
        }
        let dialect = &self.host.words.dialect;
        self.host.reviews.note_end(&target.instance, run.content);
        note!(
            self.host.journal,
            Event::TargetEnded,
            id = http::get(&run.head.headers, dialect.id.as_str()).unwrap_or("-"),
            instance = target.instance,
            content = run.content,
            ran = run.since.elapsed().as_millis(),
        );
        self.doubt(permit, TARGET_ENDED);
        TARGET_ENDED
    }

    /// Closes the gate until the target is heard of again.
    fn doubt(&self, permit: &Permit, reason: impl std::fmt::Display) {
        let instance = &permit.target.instance;
        if self.host.local.lock().doubt(instance) {
            self.host.set_gate();
            note!(
                self.host.journal,
                Event::TargetChanged,
                instance = instance,
                reason = reason
            );
        }
    }

    /// Refuses an answer that is not the target's own to this request.
    fn check(&self, id: Option<&HeaderValue>, response: &Response<Body>) -> Result<(), Refused> {
        let dialect = &self.host.words.dialect;
        let headers = response.headers();
        let echoed = headers.get(&dialect.id);
        let is_not_run =
            headers.contains_key(&dialect.not_run) || response.status().as_u16() == 421;
        let is_ours = match (id, echoed) {
            (Some(id), Some(echoed)) => id == echoed,
            (Some(_), None) => is_not_run,
            (None, _) => true,
        };
        let unknown = |why| Err(Refused::after(Refusal::unknown(502, why)));
        if !is_ours {
            return unknown("target answered another request");
        }
        if is_not_run {
            let refusal = Refusal::not_run("target shed the request", Span::from_millis(200));
            return Err(Refused::after(refusal));
        }
        let is_success = response.status().is_success();
        if is_success && !headers.contains_key(&dialect.proof) {
            return unknown("target's answer bears no proof");
        }
        if headers.contains_key(hyper::header::CONTENT_ENCODING) {
            return unknown("target's answer is encoded");
        }
        Ok(())
    }

    /// Passes the answer on: whole if it is small, so that one that ends early
    /// is never begun.
    async fn pass(
        &self,
        visit: &Visit,
        permit: Permit,
        run: &Run<'_>,
        exchange: Exchange,
    ) -> Result<Response<Body>, Refused> {
        let Exchange {
            response,
            connection,
        } = exchange;
        let (head, incoming) = response.into_parts();
        let left = visit.deadline.saturating_duration_since(Instant::now());
        let read = body::read(incoming, KEPT_BODY, left).await;
        let read = match read {
            Ok(read) => read,
            Err(error @ body::ReadError::Still) => {
                return Err(Refused::after(Refusal::unknown(504, error.to_string())));
            }
            Err(body::ReadError::Broken(_)) => {
                let why = self.broken(&permit, run).await;
                return Err(Refused::after(Refusal::unknown(502, why)));
            }
        };
        let body = match read {
            Read::Whole(bytes) => {
                self.pool.put_back(connection);
                self.host.reviews.note_answer(run.content);
                Body::whole(bytes)
            }
            Read::Start(first, rest) => {
                Body::streamed(first, rest, visit.deadline).holding((permit, connection))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = onward(&head.headers);
        Ok(response)
    }

    /// Answers a request of another node.
    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let (head, incoming) = request.into_parts();
        let result = match self.visit(&head) {
            Ok(visit) => self.deliver(&visit, &head, incoming).await,
            Err(refusal) => Err(Refused::before(refusal)),
        };
        let (mut response, told) = match result {
            Ok(response) => {
                self.host.until_room(response.body().length()).await;
                let ran = response.extensions().get().map(|Ran(ran)| Span::of(*ran));
                let told = Told {
                    ran,
                    ..self.told(None)
                };
                (response, told)
            }
            Err(refused) => (bare(refused.refusal.status), self.told(Some(refused))),
        };
        http::set(response.headers_mut(), hop::HEADER, told);
        response
    }

    /// Returns what another node is told, with a refusal if there is one.
    fn told(&self, refused: Option<Refused>) -> Told {
        let seen = self.host.seen();
        let gate = &self.host.gate;
        let answered = Told {
            outcome: Outcome::Answered,
            arrived: true,
            version: seen.version,
            members: seen.members,
            load: gate.load(),
            pace: gate.pace(),
            ran: None,
            retry_after: None,
            reason: String::new(),
        };
        match refused {
            None => answered,
            Some(Refused { refusal, arrived }) => Told {
                outcome: refusal.outcome,
                arrived,
                retry_after: refusal.retry_after,
                reason: refusal.reason,
                ..answered
            },
        }
    }

    /// Takes a large body in before the request has a slot, if the link can carry it in time
    /// and the gate has a place for the request now; other bodies are left as they are.
    ///
    /// The load that this answers: uploads that fill a thin link. With the slot taken first,
    /// it was held as long as the body waited for the link and crossed it, several times its
    /// run, and calls that needed the slot for a few milliseconds were turned away: 45 to 54
    /// of 90 slots where runs take 22, and worth 0.44 where it is 0.68 since, in the mean of
    /// five days with trouble.
    async fn body_first(
        &self,
        visit: &Visit,
        head: &request::Parts,
        body: Body,
    ) -> Result<Body, Refused> {
        let length = http::parse::<usize>(&head.headers, "content-length");
        let is_large = length.is_none_or(balance::is_large);
        let is_offered = head.headers.contains_key(hyper::header::EXPECT);
        if body.is_whole() || !is_large || !is_offered {
            return Ok(body);
        }
        let arrival = &visit.arrival;
        self.host.gate.check(arrival).map_err(Refused::before)?;
        let spare = line::spare(arrival, Instant::now());
        let counted = self.inflow.count_in(length, spare);
        let refused = |wait| Refused::before(Refusal::not_run(LINK_FULL, Span::of(wait)));
        let _counted = counted.map_err(refused)?;
        self.body(visit, head, body).await
    }

    /// Reads a body that is not large, as far as the link has room for it.
    async fn body(
        &self,
        visit: &Visit,
        head: &request::Parts,
        body: Body,
    ) -> Result<Body, Refused> {
        if body.is_whole() {
            return Ok(body);
        }
        let length = http::parse::<usize>(&head.headers, "content-length");
        if length.is_some_and(|length| length > KEPT_BODY) {
            return Ok(Body::streamed(Default::default(), body, visit.deadline));
        }
        let is_offered = head.headers.contains_key(hyper::header::EXPECT);
        let since = Instant::now();
        let mut waited = Duration::ZERO;
        let read = async {
            let _room = match is_offered {
                true => self.inflow.enter(length).await,
                false => None,
            };
            waited = since.elapsed();
            let left = visit.deadline.saturating_duration_since(Instant::now());
            body::read(body, KEPT_BODY, left).await
        };
        let refuse = |why: String| Refused::before(Refusal::not_run(why, Span::from_millis(100)));
        let read = tokio::time::timeout_at(visit.deadline.into(), read).await;
        if length.is_some_and(balance::is_large) {
            note!(
                self.host.journal,
                Event::BodyTaken,
                id = http::get(&head.headers, self.host.words.dialect.id.as_str()).unwrap_or("-"),
                service = visit.service,
                bytes = length.unwrap_or_default(),
                waited = waited.as_millis(),
                took = since.elapsed().as_millis(),
                is_whole = matches!(read, Ok(Ok(Read::Whole(_)))),
            );
        }
        match read {
            Ok(Ok(Read::Whole(bytes))) => Ok(Body::whole(bytes)),
            Ok(Ok(Read::Start(first, rest))) => Ok(Body::streamed(first, rest, visit.deadline)),
            Ok(Err(error)) => Err(refuse(error.to_string())),
            Err(_) => Err(refuse(LINK_FULL.into())),
        }
    }

    fn visit(&self, head: &request::Parts) -> Result<Visit, Refusal> {
        let ask: Ask = http::parse(&head.headers, hop::HEADER)
            .ok_or_else(|| Refusal::rejected(400, "a node says what it asks for"))?;
        let now = Instant::now();
        if ask.to != self.host.settings.node {
            return Err(Refusal::not_run(OTHER_NODE, Span::from_millis(0)));
        }
        if self.host.is_leaving() {
            return Err(Refusal::not_run(LEAVING, Span::from_millis(0)));
        }
        Ok(Visit {
            service: ask.service,
            arrival: Arrival {
                priority: ask.priority,
                patience: ask.patience.duration(),
                due: now + ask.due.duration(),
                usual: ask.usual.map(Span::duration),
            },
            answer: ask.answer,
            deadline: now + ask.deadline.duration(),
            is_trial: false,
            faults: ask.faults,
            is_again: ask.is_again,
        })
    }
}

/// Returns whether a refusal says that the target can't be had at this node.
pub fn is_leaving(reason: &str) -> bool {
    [LEAVING, NO_TARGET].contains(&reason)
}

/// Returns whether a run that has ended was a fault of the target; nothing if it did not run.
///
/// One whose time is over is none by itself: how long it took is weighed.
fn is_fault(ended: &Result<Response<Body>, Refused>) -> Option<bool> {
    match ended {
        Ok(response) => Some(response.status().is_server_error()),
        Err(refused) if refused.is_fault() => Some(true),
        Err(refused) => (refused.arrived && refused.refusal.status == 504).then_some(false),
    }
}

fn bare(status: u16) -> Response<Body> {
    plain(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
}

/// Returns the refusal that another node answered with, if it is one.
pub fn refusal_of_node(status: StatusCode, told: Told) -> Option<Refused> {
    if told.outcome == Outcome::Answered {
        return None;
    }
    Some(Refused {
        refusal: Refusal {
            outcome: told.outcome,
            status: status.as_u16(),
            reason: told.reason,
            retry_after: told.retry_after,
        },
        arrived: told.arrived,
    })
}

/// Returns the path and query alone, as requests to a server have them.
pub fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse()
        .unwrap_or_else(|_| hyper::Uri::from_static("/"))
}
