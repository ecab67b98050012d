//! An admitted request at the target on this host: it is sent, and the target's response is
//! checked before any of it goes to the caller.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode,
    header::{CONTENT_ENCODING, HeaderValue},
    http::request,
};

use crate::{
    coordination::{
        gate::{NO_TARGET, Permit},
        host::Host,
        memory::Memory,
        quarantine::SharedQuarantine,
    },
    event::Event,
    id::Instance,
    journal::note,
    protocol::{answer::Refusal, framing, notice::Notice},
    state::fingerprint::Fingerprint,
    transport::{
        http,
        relay::{
            body::{self, Body, ReadResult},
            delivery::{self as reasons, Delivery, Refused},
            forwarded_headers,
            pool::{Exchange, Failure, Pool, Settings},
        },
    },
    unit::Span,
};

/// Settings of the connections to the target. The target is on this host, where connecting
/// takes less than a millisecond. Targets keep idle connections for 10 s; one with another
/// timeout announces it in a `Keep-Alive` header.
const POOL: Settings = Settings {
    connect_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(8),
    max_idle_per_address: 64,
    max_idle: 64,
};

/// A request that the target on this host is running.
pub struct Run<'a> {
    /// Its head.
    pub head: &'a request::Parts,
    /// The fingerprint by which quarantine identifies the request.
    pub content: Fingerprint,
    /// When it was sent.
    pub since: Instant,
    /// When the caller has no more use for an answer.
    pub deadline: Instant,
}

/// A run that the target has not ended yet. If it is dropped before, because its caller left or its
/// deadline passed, the target may still be working on it.
struct OngoingRun<'a> {
    quarantine: &'a SharedQuarantine,
    instance: Instance,
    content: Fingerprint,
    deadline: Instant,
    has_ended: bool,
}

impl Drop for OngoingRun<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let (instance, content) = (&self.instance, self.content);
            self.quarantine
                .note_cancelled(instance, content, self.deadline);
        }
    }
}

/// Runs requests at the target on this host.
pub struct Runner {
    host: Arc<Host>,
    memory: Arc<Memory>,
    pool: Pool,
}

impl Runner {
    /// Returns a runner for the target on `host`, with no connections yet. Bodies of answers are held
    /// in `memory`.
    pub fn new(host: Arc<Host>, memory: Arc<Memory>) -> Self {
        Self {
            host,
            memory,
            pool: Pool::new(POOL),
        }
    }

    /// Closes idle connections to the target.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Sends a request to the target and returns its checked response.
    pub async fn run(
        &self,
        delivery: &Delivery,
        permit: Permit,
        run: &Run<'_>,
        body: Body,
    ) -> Result<Response<Body>, Refused> {
        let request = self.target_request(delivery, &permit, run.head, body);
        let address = permit.target.address;
        let mut ongoing = OngoingRun {
            quarantine: &self.host.quarantine,
            instance: permit.target.instance.clone(),
            content: run.content,
            deadline: run.deadline,
            has_ended: false,
        };
        let exchange = match self.pool.send(address, request, delivery.deadline).await {
            Ok(exchange) => exchange,
            Err(failure) => {
                let refused = self.refuse_failure(&permit, run, &failure).await;
                ongoing.has_ended = !failure.is_cancellation();
                return Err(refused);
            }
        };
        let id = run.head.headers.get(&self.host.decoders.dialect.attempt_id);
        ongoing.has_ended = self.answers(id, &exchange.response);
        if exchange.response.status() == StatusCode::MISDIRECTED_REQUEST {
            self.mark_unreachable(&permit, "another instance answers");
        } else if self.answers(id, &exchange.response) {
            self.receive_notice(&permit, &exchange.response);
        }
        self.check_response(id, &exchange.response)?;
        let result = self.relay_response(delivery, permit, run, exchange).await;
        ongoing.has_ended = !matches!(&result, Err(refused) if refused.refusal.status == 504);
        result
    }

    /// Returns the request as it is sent to the target.
    fn target_request(
        &self,
        delivery: &Delivery,
        permit: &Permit,
        head: &request::Parts,
        body: Body,
    ) -> Request<Body> {
        let dialect = &self.host.decoders.dialect;
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = origin_form(&head.uri);
        *request.headers_mut() = forwarded_headers(&head.headers);
        let headers = request.headers_mut();
        let remaining = delivery.deadline.saturating_duration_since(Instant::now());
        headers.insert(
            dialect.deadline.clone(),
            HeaderValue::from(remaining.as_millis() as u64),
        );
        // The instance id of every accepted heartbeat is a valid header value. Without this
        // header, another instance at the same address would not be noticed.
        if let Ok(instance) = HeaderValue::from_str(permit.target.instance.id()) {
            headers.insert(dialect.expected_instance.clone(), instance);
        }
        request
    }

    /// Returns the refusal for a request that the target did not answer.
    async fn refuse_failure(&self, permit: &Permit, run: &Run<'_>, failure: &Failure) -> Refused {
        match failure {
            Failure::NotSent(error) => {
                if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    let instance = &permit.target.instance;
                    let cancelled = self.host.quarantine.note_end(instance);
                    self.host.log_cancelled(instance, &cancelled);
                }
                self.mark_unreachable(permit, failure);
                Refused::before_arrival(Refusal::not_run(NO_TARGET, Span::from_millis(100)))
            }
            // The caller failed to send the whole body.
            Failure::Broken(error) if error.is_user() => {
                Refused::after_arrival(Refusal::unknown(502, reasons::BODY_BROKE_OFF))
            }
            Failure::Broken(_) | Failure::Invalid(_) => {
                let reason = match self.disconnect_reason(permit, run).await {
                    reasons::TARGET_BROKE_OFF if failure.is_no_response() => reasons::NO_RESPONSE,
                    reason => reason,
                };
                Refused::after_arrival(Refusal::unknown(502, reason))
            }
            Failure::TimedOut | Failure::NotAccepted => {
                Refused::after_arrival(Refusal::unknown(504, "target did not answer in time"))
            }
        }
    }

    /// Returns the reason why a connection broke during a request: the target crashed, or
    /// closed just this connection.
    ///
    /// When a target's process terminates, all of its connections break at once and nothing
    /// listens at its address any more. A running target may break off a single response.
    async fn disconnect_reason(&self, permit: &Permit, run: &Run<'_>) -> &'static str {
        let target = &permit.target;
        if !self.pool.is_refused(target.address, run.deadline).await {
            return reasons::TARGET_BROKE_OFF;
        }
        let dialect = &self.host.decoders.dialect;
        let cancelled = self
            .host
            .quarantine
            .note_crash(&target.instance, run.content);
        self.host.log_cancelled(&target.instance, &cancelled);
        note!(
            self.host.journal,
            Event::TargetEnded,
            id = http::get(&run.head.headers, dialect.attempt_id.as_str()).unwrap_or("-"),
            instance = target.instance,
            content = run.content,
            ran = run.since.elapsed().as_millis(),
        );
        self.mark_unreachable(permit, reasons::TARGET_CRASHED);
        reasons::TARGET_CRASHED
    }

    /// Marks the target as unreachable and closes the gate until its next heartbeat.
    fn mark_unreachable(&self, permit: &Permit, reason: impl std::fmt::Display) {
        let instance = &permit.target.instance;
        if self.host.local.lock().mark_unreachable(instance) {
            self.host.set_gate();
            note!(
                self.host.journal,
                Event::TargetChanged,
                instance = instance,
                reason = reason
            );
        }
    }

    /// Takes in what a response states about the requests that the target takes.
    fn receive_notice(&self, permit: &Permit, response: &Response<Body>) {
        let notice = Notice::of(response.headers(), &self.host.decoders.dialect);
        let instance = &permit.target.instance;
        if self.host.gate.record_notice(instance, notice) {
            note!(
                self.host.journal,
                Event::TargetNotice,
                instance = instance,
                limit = notice
                    .limit
                    .map_or("none".into(), |limit| limit.to_string()),
                leaving = notice.is_leaving,
            );
        }
        if notice.slowness.is_some() {
            self.host.load_reports.enable_soon();
        }
        if notice.is_leaving {
            self.host.note_leaving(instance);
        }
    }

    /// Returns whether a response belongs to the request with `id`. Another one may be late and
    /// tell nothing of the target as it is now.
    fn answers(&self, id: Option<&HeaderValue>, response: &Response<Body>) -> bool {
        let echoed = response
            .headers()
            .get(&self.host.decoders.dialect.attempt_id);
        match (id, echoed) {
            (Some(id), Some(echoed)) => id == echoed,
            (Some(_), None) => self.is_not_run(response),
            (None, _) => true,
        }
    }

    /// Returns whether a response reports that the request has not run.
    fn is_not_run(&self, response: &Response<Body>) -> bool {
        let not_run = &self.host.decoders.dialect.not_run;
        response.headers().contains_key(not_run)
            || response.status() == StatusCode::MISDIRECTED_REQUEST
    }

    /// Refuses a response that does not belong to this request, reports that the request has
    /// not run, lacks the proof of the target, or is encoded.
    fn check_response(
        &self,
        id: Option<&HeaderValue>,
        response: &Response<Body>,
    ) -> Result<(), Refused> {
        let dialect = &self.host.decoders.dialect;
        let headers = response.headers();
        let unknown = |reason| Err(Refused::after_arrival(Refusal::unknown(502, reason)));
        if !self.answers(id, response) {
            return unknown("target answered another request");
        }
        if self.is_not_run(response) {
            let refusal = Refusal::not_run("target shed the request", Span::from_millis(200));
            return Err(Refused::after_arrival(refusal));
        }
        let is_success = response.status().is_success();
        if is_success && !headers.contains_key(&dialect.proof) {
            return unknown("target's answer bears no proof");
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return unknown("target's answer is encoded");
        }
        Ok(())
    }

    /// Returns the response to send on. A small body is read whole first, so that a response
    /// that breaks off can still be refused.
    async fn relay_response(
        &self,
        delivery: &Delivery,
        permit: Permit,
        run: &Run<'_>,
        exchange: Exchange,
    ) -> Result<Response<Body>, Refused> {
        let Exchange {
            response,
            connection,
        } = exchange;
        let (head, incoming) = response.into_parts();
        let hold = self.memory.open_lasting();
        let reader = body::answer_reader(&hold, delivery.deadline);
        let read = match reader.read(incoming).await {
            Ok(read) => read,
            Err(error @ body::ReadError::Stalled) => {
                return Err(Refused::after_arrival(Refusal::unknown(
                    504,
                    error.to_string(),
                )));
            }
            Err(body::ReadError::Interrupted(_) | body::ReadError::NoMemory(_)) => {
                let reason = self.disconnect_reason(&permit, run).await;
                return Err(Refused::after_arrival(Refusal::unknown(502, reason)));
            }
        };
        let (ReadResult::Whole(start) | ReadResult::Partial(start, _)) = &read;
        if framing::is_rest_of_head(head.version, &head.headers, start) {
            return Err(Refused::after_arrival(Refusal::unknown(
                502,
                reasons::NO_RESPONSE,
            )));
        }
        let body = match read {
            ReadResult::Whole(bytes) => {
                self.pool.put_back(connection);
                self.host.quarantine.note_answer(run.content);
                Body::whole(bytes).holding(hold)
            }
            ReadResult::Partial(first, rest) => {
                Body::streamed(first, rest, delivery.deadline).holding((permit, connection, hold))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(&head.headers);
        Ok(response)
    }
}

/// Returns whether a completed run is a fault of the target, or `None` if the request did not
/// run.
///
/// A timeout is no fault by itself: its run time is assessed instead.
pub fn is_fault(result: &Result<Response<Body>, Refused>) -> Option<bool> {
    match result {
        Ok(response) => Some(response.status().is_server_error()),
        Err(refused) if refused.is_fault() => Some(true),
        Err(refused) => (refused.has_arrived && refused.refusal.status == 504).then_some(false),
    }
}

/// Returns the path and query of a URI, the form of the request target that origin servers
/// expect.
pub fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse()
        .unwrap_or_else(|_| hyper::Uri::from_static("/"))
}
