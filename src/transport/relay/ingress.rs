//! Requests for the target on this host, from its own egress side and from peers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use hyper::{HeaderMap, Request, Response, StatusCode, header::HeaderValue, http::request};

use crate::{
    coordination::{
        decision::{balance, link_share, quarantine::QUARANTINED},
        flow::Reservation,
        gate::{self, LEAVING, Permit},
        host::Host,
        interface::Stream,
        memory::{self, Memory},
        rollout::{Answer, local},
    },
    event::Event,
    journal::{Field, note},
    protocol::{
        answer::{Outcome, Refusal},
        header_block, hop,
    },
    state::rollout::Role,
    transport::{
        http,
        relay::{
            MAX_BUFFERED_BODY,
            body::{Body, ReadError, ReadResult, Reader},
            delivery::{self as reasons, Delivery, Refused},
            empty_response, host_of,
            offer::UploadAdmission,
            request_fingerprint,
            run::{Run, Runner, is_fault},
            serve::Handler,
        },
    },
    unit::Span,
};

/// How long the target ran a request, as an extension of its response. Excludes the round trip
/// between nodes and the wait at the gate.
#[derive(Clone, Copy, Debug)]
pub struct RunTime(pub Duration);

/// Delivers requests to the target on this host.
pub struct Ingress {
    host: Arc<Host>,
    memory: Arc<Memory>,
    upload_admission: UploadAdmission,
    runner: Runner,
}

impl Ingress {
    /// Returns the ingress side of `host`, with no connections yet. Bodies are held in `memory`.
    pub fn new(host: Arc<Host>, memory: Arc<Memory>) -> Arc<Self> {
        Arc::new(Self {
            upload_admission: UploadAdmission::new(host.settings.bandwidth()),
            runner: Runner::new(host.clone(), memory.clone()),
            memory,
            host,
        })
    }

    /// Returns the state of the node.
    pub fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// Returns the handler for requests from peers.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let ingress = self.clone();
        Arc::new(move |request| {
            let ingress = ingress.clone();
            async move { ingress.handle(request).await }.boxed()
        })
    }

    /// Closes idle connections to the target.
    pub fn prune(&self) {
        self.runner.prune();
    }

    /// Sends a request to the target once the gate admits it, and returns the response. Except
    /// for a large offered body, the rest of the request body is read only after that.
    ///
    /// # Errors
    ///
    /// If the request is refused or fails; the error tells whether the target has seen it.
    pub async fn deliver(
        &self,
        delivery: &Delivery,
        head: &request::Parts,
        body: Body,
    ) -> Result<Response<Body>, Refused> {
        if delivery.service != *self.host.service() {
            let refusal = Refusal::not_run(reasons::OTHER_NODE, Span::from_millis(0));
            return Err(Refused::before_arrival(refusal));
        }
        if self
            .host
            .drains
            .current()
            .is_drained(&self.host.settings.domain)
        {
            let refusal = Refusal::not_run(reasons::DOMAIN_DRAINED, reasons::DRAINED_RETRY_AFTER);
            return Err(Refused::before_arrival(refusal));
        }
        if local::role(&self.host) == Role::Excluded {
            // The target's release was not ordered, was rolled back, or is failing on trial.
            return Err(Refused::before_arrival(gate::no_target()));
        }
        if let Some(limit) = &delivery.known_limit {
            self.host.gate.assume_limit(limit);
        }
        let id = head.headers.get(&self.host.decoders.dialect.attempt_id);
        let since = Instant::now();
        self.check_call_budget(delivery)
            .map_err(Refused::before_arrival)?;
        let reservation = self
            .reserve_answer(delivery)
            .map_err(Refused::before_arrival)?;
        let body = self.read_large_body(delivery, head, body).await?;
        let admission = self.host.gate.acquire(delivery.arrival).await;
        self.log_admission(id, delivery, since, &admission);
        let mut permit = admission.map_err(Refused::before_arrival)?;
        self.host.metrics.admitted.inc();
        let body = self.read_body(delivery, head, body).await?;
        let run = Run {
            head,
            content: request_fingerprint::fingerprint(head, body.buffered()),
            since: Instant::now(),
            deadline: delivery.deadline,
        };
        // The sender may not know yet that targets crash under this request.
        if !delivery.is_trial && self.host.quarantine.is_quarantined(&run.content) {
            return Err(Refused::before_arrival(Refusal::rejected(503, QUARANTINED)));
        }
        permit.start_run(delivery.is_repeat);
        let result = self.runner.run(delivery, permit, &run, body).await;
        let run_time = run.since.elapsed();
        if let Some(is_fault) = is_fault(&result) {
            self.assess_answer(delivery, head, is_fault, run_time);
        }
        let mut response = result?;
        if response.status().is_success() {
            if let Some(usual) = delivery.arrival.usual_run_time {
                self.host.gate.record_run(run_time, usual);
            }
            response.extensions_mut().insert(RunTime(run_time));
            if let Some(reservation) = reservation {
                response.extensions_mut().insert(reservation);
            }
        }
        Ok(response)
    }

    /// Refuses a repeat if its run would call a service whose retry budget does not cover the
    /// repeated calls.
    fn check_call_budget(&self, delivery: &Delivery) -> Result<(), Refusal> {
        let nodes = self.host.nodes();
        let has_budget = || {
            self.host
                .retry_budget
                .lock()
                .has_room_for_calls(nodes, Instant::now())
        };
        match !delivery.is_repeat || has_budget() {
            true => Ok(()),
            false => Err(Refusal::not_run(
                reasons::CALL_BUDGET_SPENT,
                reasons::CALLS_RETRY_AFTER,
            )),
        }
    }

    /// Assesses an answer of the target if a roll-out of its service is under evaluation.
    fn assess_answer(
        &self,
        delivery: &Delivery,
        head: &request::Parts,
        is_fault: bool,
        run_time: Duration,
    ) {
        if !self.host.rollouts.is_evaluating(&delivery.service) {
            return;
        }
        let routes = self.host.routes();
        let route = routes
            .as_ref()
            .and_then(|routes| routes.find(&host_of(head), head.uri.path()));
        let Some(route) = route else { return };
        let answer = Answer {
            route: &route.name,
            is_fault,
            run_time,
            usual_run_time: delivery.arrival.usual_run_time,
        };
        local::assess(
            &self.host,
            &answer,
            f64::from(delivery.fault_permille) / 1000.0,
        );
    }

    /// Reserves the link for a large answer, if the link can carry it in time after the
    /// answers reserved before. Without the reservation, the target could run a request
    /// whose answer arrives too late.
    fn reserve_answer(&self, delivery: &Delivery) -> Result<Option<Arc<Reservation>>, Refusal> {
        if delivery.answer_size == 0 {
            return Ok(None);
        }
        let slack = delivery
            .arrival
            .due
            .saturating_duration_since(Instant::now());
        // The answer to a late request may take as long as its run. With more, links of
        // 10 Mbit/s fill with answers that no caller waits for any more.
        let run_time = delivery.arrival.usual_run_time.unwrap_or_default();
        let outflow = &self.host.response_flow;
        let reservation = outflow.reserve(delivery.answer_size, slack.max(run_time));
        let refusal = |wait| Refusal::not_run(reasons::LINK_BUSY, Span::from_duration(wait));
        reservation
            .map(|reservation| Some(Arc::new(reservation)))
            .map_err(refusal)
    }

    /// Logs whether the gate admitted a request.
    fn log_admission(
        &self,
        id: Option<&HeaderValue>,
        delivery: &Delivery,
        since: Instant,
        admission: &Result<Permit, Refusal>,
    ) {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let (load, slowness, turnover) = self.host.gate.figures();
        let waited = since.elapsed().as_millis();
        let arrival = &delivery.arrival;
        // Lines of targets that state none don't have the field.
        let slowness = slowness.map(|slowness| format!("{:.2}", slowness.factor()));
        let (max_wait, due, usual, turn);
        let (event, mut fields): (_, Vec<Field<'_>>) = match admission {
            Ok(permit) => (
                Event::Admitted,
                vec![
                    ("id", &id),
                    ("service", &delivery.service),
                    ("priority", &arrival.priority),
                    ("instance", &permit.target.instance),
                    ("load", &load),
                    ("waited", &waited),
                ],
            ),
            Err(refusal) => {
                max_wait = arrival.max_wait.as_millis();
                due = arrival.due.saturating_duration_since(since).as_millis();
                usual = arrival.usual_run_time.unwrap_or_default().as_millis();
                turn = turnover.as_millis();
                (
                    Event::Shed,
                    vec![
                        ("id", &id),
                        ("service", &delivery.service),
                        ("priority", &arrival.priority),
                        ("load", &load),
                        ("waited", &waited),
                        ("patience", &max_wait),
                        ("due", &due),
                        ("usual", &usual),
                        ("turn", &turn),
                        ("reason", &refusal.reason),
                    ],
                )
            }
        };
        if let Some(slowness) = &slowness {
            fields.push(("slowness", slowness));
        }
        self.host.journal.record(event, &fields);
    }

    /// Answers a request of a peer.
    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let (mut head, incoming) = request.into_parts();
        let delivery = unfold_headers(&mut head.headers).and_then(|()| self.parse_delivery(&head));
        let result = match delivery {
            Ok(delivery) => self.deliver(&delivery, &head, incoming).await,
            Err(refusal) => Err(Refused::before_arrival(refusal)),
        };
        let (mut response, report) = match result {
            Ok(response) => {
                self.host
                    .until_bandwidth_free(response.body().length())
                    .await;
                let run_time = response
                    .extensions()
                    .get()
                    .map(|RunTime(run_time)| Span::from_duration(*run_time));
                let report = hop::Reply {
                    run_time,
                    ..self.report(None)
                };
                (response, report)
            }
            Err(refused) => (
                response_of_status(refused.refusal.status),
                self.report(Some(refused)),
            ),
        };
        http::set(response.headers_mut(), hop::HEADER, report);
        if let Some(slowness) = self.host.gate.slowness() {
            http::set(response.headers_mut(), hop::SLOWNESS_HEADER, slowness);
        }
        response
    }

    /// Returns the report for the header of a response to a peer, including the refusal if
    /// there is one.
    fn report(&self, refused: Option<Refused>) -> hop::Reply {
        let gate = &self.host.gate;
        let answered = hop::Reply {
            outcome: Outcome::Answered,
            has_arrived: true,
            version: self.host.version(),
            members_offset: self.host.streams.offset(Stream::Members).unwrap_or(0),
            load: gate.load(),
            slowdown: gate.slowdown(),
            run_time: None,
            retry_after: None,
            reason: String::new(),
        };
        match refused {
            None => answered,
            Some(Refused {
                refusal,
                has_arrived,
            }) => hop::Reply {
                outcome: refusal.outcome,
                has_arrived,
                retry_after: refusal.retry_after,
                reason: refusal.reason,
                ..answered
            },
        }
    }

    /// Reads a large offered body before the request takes a slot, if the link can carry it in
    /// time and the gate would admit the request now. Returns other bodies unread.
    ///
    /// This keeps uploads over a slow link from occupying the slots. A slot that was taken
    /// first stayed occupied while the body waited for the link and was transferred, several
    /// times as long as the run: 45 to 54 of 90 slots were occupied where the runs themselves
    /// need 22. Calls that needed a slot for a few milliseconds were rejected.
    async fn read_large_body(
        &self,
        delivery: &Delivery,
        head: &request::Parts,
        body: Body,
    ) -> Result<Body, Refused> {
        let length = http::parse::<usize>(&head.headers, "content-length");
        let is_large = length.is_none_or(balance::is_large);
        let is_offered = head.headers.contains_key(hyper::header::EXPECT);
        if body.is_whole() || !is_large || !is_offered {
            return Ok(body);
        }
        let arrival = &delivery.arrival;
        self.host
            .gate
            .check(arrival)
            .map_err(Refused::before_arrival)?;
        let slack = link_share::body_slack(arrival, Instant::now());
        let reservation = self.upload_admission.reserve(length, slack);
        let refused = |wait| {
            Refused::before_arrival(Refusal::not_run(
                reasons::LINK_FULL,
                Span::from_duration(wait),
            ))
        };
        let _reservation = reservation.map_err(refused)?;
        self.read_body(delivery, head, body).await
    }

    /// Reads a body whole if it is small enough to be buffered, once the link has room for it.
    /// Returns a larger one to be streamed.
    async fn read_body(
        &self,
        delivery: &Delivery,
        head: &request::Parts,
        body: Body,
    ) -> Result<Body, Refused> {
        if body.is_whole() {
            return Ok(body);
        }
        let length = http::parse::<usize>(&head.headers, "content-length");
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY) {
            return Ok(Body::streamed(Default::default(), body, delivery.deadline));
        }
        let is_offered = head.headers.contains_key(hyper::header::EXPECT);
        let since = Instant::now();
        let mut waited = Duration::ZERO;
        let hold = self.memory.open();
        let read = async {
            let _link_permit = match is_offered {
                true => self.upload_admission.wait_for_link(length).await,
                false => None,
            };
            waited = since.elapsed();
            let remaining = delivery.deadline.saturating_duration_since(Instant::now());
            let reader = Reader::new(&hold, MAX_BUFFERED_BODY, remaining);
            reader.read(body).await
        };
        let refuse = |reason: String| {
            Refused::before_arrival(Refusal::not_run(reason, Span::from_millis(100)))
        };
        let read = tokio::time::timeout_at(delivery.deadline.into(), read).await;
        if length.is_some_and(balance::is_large) {
            note!(
                self.host.journal,
                Event::BodyTaken,
                id = http::get(
                    &head.headers,
                    self.host.decoders.dialect.attempt_id.as_str()
                )
                .unwrap_or("-"),
                service = delivery.service,
                bytes = length.unwrap_or_default(),
                waited = waited.as_millis(),
                took = since.elapsed().as_millis(),
                is_whole = matches!(read, Ok(Ok(ReadResult::Whole(_)))),
            );
        }
        match read {
            Ok(Ok(ReadResult::Whole(bytes))) => Ok(Body::whole(bytes).holding(hold)),
            Ok(Ok(ReadResult::Partial(first, rest))) => {
                Ok(Body::streamed(first, rest, delivery.deadline).holding(hold))
            }
            Ok(Err(error @ ReadError::NoMemory(_))) => Err(Refused::before_arrival(
                Refusal::not_run(error.to_string(), memory::RETRY_AFTER),
            )),
            Ok(Err(error)) => Err(refuse(error.to_string())),
            Err(_) => Err(refuse(reasons::LINK_FULL.into())),
        }
    }

    /// Returns the delivery that a peer requests; refuses if this node can't accept it.
    fn parse_delivery(&self, head: &request::Parts) -> Result<Delivery, Refusal> {
        let ask: hop::Request =
            http::parse(&head.headers, hop::HEADER).ok_or_else(not_understood)?;
        if ask.to != self.host.settings.node {
            return Err(Refusal::not_run(reasons::OTHER_NODE, Span::from_millis(0)));
        }
        if self.host.is_leaving() {
            return Err(Refusal::not_run(LEAVING, Span::from_millis(0)));
        }
        let limit = head.headers.get(hop::LIMIT_HEADER);
        let known_limit = limit.map(|_| http::parse(&head.headers, hop::LIMIT_HEADER));
        let known_limit = known_limit.map(|limit| limit.ok_or_else(not_understood));
        let mut delivery = Delivery {
            known_limit: known_limit.transpose()?,
            ..Delivery::from_peer(ask, Instant::now())
        };
        delivery.arrival.may_redirect =
            http::get(&head.headers, hop::SLOW_HEADER) == Some(hop::SLOW);
        Ok(delivery)
    }
}

/// Returns the refusal of a request of a peer whose headers can't be understood.
fn not_understood() -> Refusal {
    Refusal::rejected(400, "a node says what it asks for")
}

/// Adds the headers that a peer sent in one block, if there is one.
fn unfold_headers(headers: &mut HeaderMap) -> Result<(), Refusal> {
    let Some(block) = headers.remove(header_block::HEADER) else {
        return Ok(());
    };
    let unfolded = header_block::decode(&block).map_err(|_| not_understood())?;
    // A header of several values comes with its name once.
    let mut last = None;
    for (name, value) in unfolded {
        last = name.or(last);
        let name = last.clone().ok_or_else(not_understood)?;
        headers
            .try_append(name, value)
            .map_err(|_| not_understood())?;
    }
    Ok(())
}

fn response_of_status(status: u16) -> Response<Body> {
    empty_response(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
}
