//! Requests to the node beside a target.
//!
//! Whatever happens on the way, two things are known of a request afterwards: whether
//! its target may have seen it, and whether the node or the target is to blame.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{Request, Response};

use crate::{
    coordination::{
        decision::{
            balance::{self, End, Report},
            reach::Loss,
        },
        host::Host,
    },
    protocol::{
        answer::Refusal,
        hop::{self, Ask, Told},
    },
    state::{member::Member, routing::Kind},
    transport::{
        http,
        relay::{
            KEPT_BODY,
            body::{self, Body, Read},
            egress::Call,
            ingress::{self, Refused, Visit},
            offer, onward,
            outstanding::{Tried, Watch},
            pool::{Exchange, Failure, Pool, Settings},
        },
    },
    unit::Span,
};

/// How connections to other nodes are made and kept. A connection within a
/// region takes a few milliseconds; one that takes longer goes nowhere. Each one
/// that is kept holds some 20 KB at both ends, and a new one costs a round trip.
///
/// A node of hundreds meets another one again after many seconds, when the connection
/// that was kept for it has been closed: nearly all that are kept are closed unused. So
/// only the latest few are kept; requests that follow each other closely find them.
const POOL: Settings = Settings {
    connect: Duration::from_millis(250),
    keep: Duration::from_secs(5),
    kept: 8,
    total: 32,
};

/// How long a node may take to give leave for a body, besides the time for which the
/// request may wait for room there: as long as a connection may take.
const LEAVE: Duration = Duration::from_millis(250);

/// When callers are asked to come back when a node could not be reached.
const UNREACHED_AGAIN: Span = Span::from_millis(200);

/// The way to the nodes beside other targets.
pub struct Next {
    host: Arc<Host>,
    pool: Pool,
}

impl Next {
    /// Returns the way from `host`, with no connections yet.
    pub fn new(host: Arc<Host>) -> Self {
        Self {
            host,
            pool: Pool::new(POOL),
        }
    }

    /// Closes connections that were unused for long.
    pub fn tidy(&self) {
        self.pool.tidy();
    }

    /// Sends a request to the node beside the target.
    pub async fn send(
        &self,
        call: &Call,
        member: &Member,
        visit: &Visit,
        body: Body,
        watch: &mut Watch<'_>,
    ) -> Tried {
        let is_large = body.length().is_none_or(balance::is_large);
        let is_offered = is_offered(call, &body);
        let request = self.request(call, member, visit, body);
        let sent = if is_offered {
            self.send_offer(member, visit, request).await
        } else {
            let sent = self.pool.send(member.inbound, request, visit.deadline);
            sent.await
        };
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(failure) => {
                watch.fault = Some(fault(&failure));
                if matches!(watch.fault, Some(End::Lost(_))) {
                    self.pool.forget(member.inbound);
                }
                return Tried::Refused(failed(&failure));
            }
        };
        let Exchange {
            response,
            connection,
        } = exchange;
        let told = http::parse::<Told>(response.headers(), hop::HEADER);
        let refused = told.and_then(|told| {
            watch.report = Report {
                load: Some(told.load),
                pace: Some(told.pace),
                ran: told.ran.map(Span::duration),
                is_large,
            };
            self.host.hear_of(told.version, told.members, member.peers);
            ingress::refusal_of_node(response.status(), told)
        });
        let (head, incoming) = response.into_parts();
        let left = call.deadline.saturating_duration_since(Instant::now());
        let read = body::read(incoming, KEPT_BODY, left).await;
        let body = match (read, refused) {
            (Ok(Read::Whole(_)), Some(refused)) if !is_offered => {
                self.pool.put_back(connection);
                return Tried::Refused(refused);
            }
            // A refused offer ends its connection: the body that was told of is
            // still due on it.
            (_, Some(refused)) => return Tried::Refused(refused),
            (Ok(Read::Whole(bytes)), None) => {
                self.pool.put_back(connection);
                Body::whole(bytes)
            }
            (Ok(Read::Start(first, rest)), None) => {
                Body::streamed(first, rest, call.deadline).holding(connection)
            }
            (Err(_), None) => {
                let refusal = Refusal::unknown(502, "the answer broke off between nodes");
                return Tried::Refused(Refused {
                    refusal,
                    arrived: true,
                });
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = onward(&head.headers);
        Tried::Answered(response)
    }

    /// Sends a request whose body waits for the other node's leave. Without it
    /// nothing has left, whatever the failure.
    async fn send_offer(
        &self,
        member: &Member,
        visit: &Visit,
        request: Request<Body>,
    ) -> Result<Exchange, Failure> {
        let (request, offer) = offer::offer(request);
        let leave_by = Instant::now() + visit.arrival.patience + LEAVE;
        let sent = self.pool.send(member.inbound, request, visit.deadline);
        let mut sent = std::pin::pin!(sent);
        let early = tokio::time::timeout_at(leave_by.into(), sent.as_mut()).await;
        let sent = match early {
            Ok(sent) => sent,
            Err(_) if offer.take_back() => return Err(Failure::Untaken),
            Err(_) => sent.await,
        };
        sent.map_err(|failure| match failure {
            Failure::Broken(error) if offer.take_back() => {
                let silence = Failure::Broken(error).is_silence();
                let kind = if silence {
                    std::io::ErrorKind::TimedOut
                } else {
                    std::io::ErrorKind::ConnectionReset
                };
                Failure::NotSent(kind.into())
            }
            Failure::TimedOut if offer.take_back() => Failure::Untaken,
            failure => failure,
        })
    }

    fn request(&self, call: &Call, member: &Member, visit: &Visit, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = ingress::origin_form(&call.head.uri);
        *request.headers_mut() = onward(&call.head.headers);
        let now = Instant::now();
        let left = |until: Instant| Span::of(until.saturating_duration_since(now));
        let ask = Ask {
            to: member.node.clone(),
            service: visit.service.clone(),
            priority: visit.arrival.priority,
            patience: Span::of(visit.arrival.patience),
            due: left(visit.arrival.due),
            deadline: left(visit.deadline),
            usual: visit.arrival.usual.map(Span::of),
            answer: visit.answer,
            faults: visit.faults,
            is_again: visit.is_again,
        };
        http::set(request.headers_mut(), hop::HEADER, ask);
        request
    }
}

/// Returns whether a request's body waits for the other node's leave: it is large, or the
/// request may run only once.
pub fn is_offered(call: &Call, body: &Body) -> bool {
    let is_large = body.length().is_none_or(balance::is_large);
    is_large || (call.route.kind == Kind::Once && body.length() != Some(0))
}

fn failed(failure: &Failure) -> Refused {
    let (refusal, arrived) = match failure {
        Failure::Untaken => (
            Refusal::not_run("node does not take it", UNREACHED_AGAIN),
            false,
        ),
        Failure::NotSent(_) => (
            Refusal::not_run("node can't be reached", UNREACHED_AGAIN),
            false,
        ),
        Failure::Broken(_) => (Refusal::unknown(502, "node broke off"), true),
        Failure::TimedOut => (Refusal::unknown(504, "no answer in time"), true),
    };
    Refused { refusal, arrived }
}

/// Returns what a failure says of the node.
fn fault(failure: &Failure) -> End {
    match failure {
        Failure::TimedOut | Failure::Untaken => End::Late,
        // The body was ours to give, and its caller left or sent too much.
        Failure::Broken(error) if error.is_user() => End::Abandoned,
        failure if failure.is_silence() => End::Lost(Loss::Silent),
        _ => End::Lost(Loss::Closed),
    }
}
