//! The client for requests to the nodes beside targets on other hosts.
//!
//! However an attempt ends, two things are known afterwards: whether the target may have seen
//! the request, and whether a failure is due to the node or to the target.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Request, Response, StatusCode, header::CONTENT_LENGTH};

use crate::{
    coordination::{
        decision::{
            balance::{self, AttemptResult, Report},
            reach,
        },
        host::Host,
        memory::Memory,
    },
    protocol::{answer::Refusal, header_block, hop},
    state::{member::Member, routing::Kind},
    transport::{
        http,
        relay::{
            attempt::{AttemptGuard, AttemptOutcome},
            body::{self, Body, ReadError, ReadResult},
            call::Call,
            delivery::{self, Delivery, Refused},
            forwarded_headers, offer,
            pool::{Exchange, Failure, Pool, Settings},
            run,
        },
    },
    unit::Span,
};

/// Settings of the connections to peers. Connecting within a region takes a few milliseconds;
/// one that takes much longer will not succeed. An idle connection holds about 20 KB at both
/// ends, and a new one costs a round trip.
///
/// Among hundreds of nodes, many seconds pass between two requests of a node to the same
/// peer, and idle connections are closed before that: nearly all are never reused. So only the
/// few latest are kept, for requests in close succession.
const POOL: Settings = Settings {
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(5),
    max_idle_per_address: 8,
    max_idle: 32,
};

/// How long a peer may take to accept an offered body, in addition to the maximum wait of the
/// request at its gate: as long as connecting may take.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// The `Retry-After` of refusals because a peer could not be reached.
const UNREACHABLE_RETRY_AFTER: Span = Span::from_millis(200);

/// Sends requests to the nodes beside targets on other hosts.
pub struct PeerClient {
    host: Arc<Host>,
    memory: Arc<Memory>,
    pool: Pool,
}

impl PeerClient {
    /// Returns a client for `host`, with no connections yet. Bodies of answers are held in `memory`.
    pub fn new(host: Arc<Host>, memory: Arc<Memory>) -> Self {
        Self {
            host,
            memory,
            pool: Pool::new(POOL),
        }
    }

    /// Closes idle connections.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Sends a request to the node beside the target, and returns how the attempt ended. Puts
    /// the peer's report, or the failure of the peer, into `guard`.
    pub async fn send(
        &self,
        call: &Call,
        member: &Member,
        delivery: &Delivery,
        body: Body,
        guard: &mut AttemptGuard<'_>,
    ) -> AttemptOutcome {
        let is_large = body.length().is_none_or(balance::is_large);
        let is_offered = is_offered(call, &body);
        let request = self.peer_request(call, member, delivery, body);
        let result = if is_offered {
            self.send_offer(member, delivery, request).await
        } else {
            let sending = self.pool.send(member.inbound, request, delivery.deadline);
            sending.await.map(|exchange| (exchange, true))
        };
        let (exchange, is_body_sent) = match result {
            Ok(sent) => sent,
            Err(failure) => {
                guard.node_failure = Some(node_failure(&failure));
                if matches!(guard.node_failure, Some(AttemptResult::Lost(_))) {
                    self.pool.close_idle(member.inbound);
                }
                return AttemptOutcome::Refused(refuse_failure(&failure));
            }
        };
        let Exchange {
            response,
            connection,
        } = exchange;
        let Some(report) = http::parse::<hop::Reply>(response.headers(), hop::HEADER) else {
            // The HTTP library of the peer refused the bytes, or another program has its address.
            // Neither is an answer of the target; the former says nothing about the peer.
            let status = response.status();
            guard.node_failure = Some(match status.is_client_error() {
                true => AttemptResult::Abandoned,
                false => AttemptResult::Failed,
            });
            return AttemptOutcome::Refused(unreported(status, is_body_sent));
        };
        let slowness = http::parse(response.headers(), hop::SLOWNESS_HEADER);
        if slowness.is_some() {
            self.host.load_reports.enable_soon();
        }
        guard.report = Report {
            load: Some(report.load),
            slowdown: Some(report.slowdown),
            run_time: report.run_time.map(Span::duration),
            is_large,
            notice: None,
            slowness,
        };
        self.host
            .note_newer(report.version, report.members_offset, member.peers);
        let refused = delivery::peer_refusal(response.status(), report);
        let (head, incoming) = response.into_parts();
        let hold = self.memory.open_lasting();
        let read = body::answer_reader(&hold, call.deadline)
            .read(incoming)
            .await;
        let body = match (read, refused) {
            (Ok(ReadResult::Whole(_)), Some(refused)) if !is_offered => {
                self.pool.put_back(connection);
                return AttemptOutcome::Refused(refused);
            }
            // The connection of a refused offer can't be reused: the peer still expects the
            // announced body on it.
            (_, Some(refused)) => return AttemptOutcome::Refused(refused),
            (Ok(ReadResult::Whole(bytes)), None) => {
                self.pool.put_back(connection);
                Body::whole(bytes).holding(hold)
            }
            (Ok(ReadResult::Partial(first, rest)), None) => {
                Body::streamed(first, rest, call.deadline).holding((connection, hold))
            }
            (Err(error), None) => {
                let refusal = match error {
                    ReadError::Stalled => Refusal::unknown(504, "no whole answer in time"),
                    ReadError::Interrupted(_) | ReadError::NoMemory(_) => {
                        Refusal::unknown(502, "the answer broke off between nodes")
                    }
                };
                return AttemptOutcome::Refused(Refused {
                    refusal,
                    has_arrived: true,
                });
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(&head.headers);
        AttemptOutcome::Answered(response)
    }

    /// Sends a request whose body is sent only once the peer accepts it. Until then, any
    /// failure means that nothing of the body was sent. Returns the response, and whether the peer
    /// accepted the body before.
    async fn send_offer(
        &self,
        member: &Member,
        delivery: &Delivery,
        request: Request<Body>,
    ) -> Result<(Exchange, bool), Failure> {
        let (request, offer) = offer::offer(request);
        let offer_deadline = Instant::now() + delivery.arrival.max_wait + OFFER_TIMEOUT;
        let sending = self.pool.send(member.inbound, request, delivery.deadline);
        let mut sending = std::pin::pin!(sending);
        let early = tokio::time::timeout_at(offer_deadline.into(), sending.as_mut()).await;
        let result = match early {
            Ok(result) => result,
            Err(_) if offer.withdraw() => return Err(Failure::NotAccepted),
            Err(_) => sending.await,
        };
        let result = result.map(|exchange| (exchange, !offer.withdraw()));
        result.map_err(|failure| match failure {
            Failure::Broken(error) if offer.withdraw() => {
                let is_timeout = Failure::Broken(error).is_timeout();
                let kind = if is_timeout {
                    std::io::ErrorKind::TimedOut
                } else {
                    std::io::ErrorKind::ConnectionReset
                };
                Failure::NotSent(kind.into())
            }
            Failure::Invalid(_) if offer.withdraw() => {
                Failure::NotSent(std::io::ErrorKind::InvalidData.into())
            }
            Failure::TimedOut if offer.withdraw() => Failure::NotAccepted,
            failure => failure,
        })
    }

    /// Returns the request as it is sent to a peer.
    fn peer_request(
        &self,
        call: &Call,
        member: &Member,
        delivery: &Delivery,
        body: Body,
    ) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = run::origin_form(&call.head.uri);
        *request.headers_mut() = peer_headers(&call.head.headers);
        let now = Instant::now();
        let remaining = |until: Instant| Span::from_duration(until.saturating_duration_since(now));
        let ask = hop::Request {
            to: member.node.clone(),
            service: delivery.service.clone(),
            priority: delivery.arrival.priority,
            max_wait: Span::from_duration(delivery.arrival.max_wait),
            due_in: remaining(delivery.arrival.due),
            deadline: remaining(delivery.deadline),
            usual_run_time: delivery.arrival.usual_run_time.map(Span::from_duration),
            usual_answer_size: delivery.answer_size,
            fault_permille: delivery.fault_permille,
            is_repeat: delivery.is_repeat,
        };
        http::set(request.headers_mut(), hop::HEADER, ask);
        if let Some(limit) = &delivery.known_limit {
            http::set(request.headers_mut(), hop::LIMIT_HEADER, limit);
        }
        if delivery.arrival.may_redirect {
            http::set(request.headers_mut(), hop::SLOW_HEADER, hop::SLOW);
        }
        request
    }
}

/// Returns the headers of a caller's request as they are sent to a peer: in one block if they are
/// many. The framing of the body stays outside, since it belongs to the connection.
fn peer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = forwarded_headers(headers);
    if forwarded.len() <= header_block::MAX_SEPARATE {
        return forwarded;
    }
    let length = forwarded.remove(CONTENT_LENGTH);
    let block = header_block::encode(&forwarded);
    forwarded.clear();
    forwarded.insert(header_block::HEADER, block);
    forwarded.extend(length.map(|length| (CONTENT_LENGTH, length)));
    forwarded
}

/// Returns whether a request's body is offered before it is sent: it is large or of unknown
/// length, or the request may run only once.
pub fn is_offered(call: &Call, body: &Body) -> bool {
    let is_large = body.length().is_none_or(balance::is_large);
    is_large || (call.route.kind == Kind::Once && body.length() != Some(0))
}

/// Returns the refusal for a request whose response has no report of a peer.
fn unreported(status: StatusCode, is_body_sent: bool) -> Refused {
    let reason = format!("{} without a report of the node", status.as_u16());
    let refusal = match is_body_sent {
        true => Refusal::unknown(502, reason),
        false => Refusal::not_run(reason, UNREACHABLE_RETRY_AFTER),
    };
    Refused {
        refusal,
        has_arrived: is_body_sent,
    }
}

/// Returns the refusal for a request that got no response from a peer.
fn refuse_failure(failure: &Failure) -> Refused {
    let (refusal, has_arrived) = match failure {
        Failure::NotAccepted => (
            Refusal::not_run("node does not take it", UNREACHABLE_RETRY_AFTER),
            false,
        ),
        Failure::NotSent(_) => (
            Refusal::not_run("node can't be reached", UNREACHABLE_RETRY_AFTER),
            false,
        ),
        Failure::Broken(_) => (Refusal::unknown(502, "node broke off"), true),
        Failure::Invalid(_) => (
            Refusal::unknown(502, "node sent bytes that are no answer"),
            true,
        ),
        Failure::TimedOut => (Refusal::unknown(504, "no answer in time"), true),
    };
    Refused {
        refusal,
        has_arrived,
    }
}

/// Returns what a failure means for the reachability of the peer.
fn node_failure(failure: &Failure) -> AttemptResult {
    match failure {
        Failure::TimedOut | Failure::NotAccepted => AttemptResult::Late,
        // The body ended with an error on this side: the caller disconnected or sent too much.
        Failure::Broken(error) if error.is_user() => AttemptResult::Abandoned,
        failure if failure.is_timeout() => AttemptResult::Lost(reach::Failure::Silent),
        _ => AttemptResult::Lost(reach::Failure::Closed),
    }
}
