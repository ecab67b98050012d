//! The result of a request for its caller: it is logged, counted and made a response.

use std::time::Instant;

use hyper::Response;

use crate::{
    coordination::{decision::attempts, host::Host},
    event::Event,
    host::metrics,
    id::Node,
    journal::note,
    protocol::answer::{Outcome, Refusal},
    transport::relay::{body::Body, call::Call, refusal_response},
};

/// The attempts made for a request so far.
pub type Attempts = attempts::Attempts<Response<Body>>;

/// Logs and counts the result of a request, and returns the response for its caller. `version`
/// is that of the route.
pub fn finish(
    host: &Host,
    call: &Call,
    version: u64,
    attempts: &Attempts,
    result: Result<Response<Body>, Refusal>,
) -> Response<Body> {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let took = call.arrived.elapsed().as_millis();
    let id = call.id(host);
    let (route, service) = (&call.route.name, &call.service);
    let priority = call.priority;
    let nodes = NodeList(&attempts.nodes);
    count(host, call, &result);
    if let (Some(team), Err(refusal)) = (&call.team, &result)
        && refusal.outcome == Outcome::NotRun
    {
        host.rate_limits.refund(&team.name);
    }
    match result {
        Ok(response) => {
            let status = response.status().as_u16();
            note!(
                host.journal,
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
                host.journal,
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
fn count(host: &Host, call: &Call, result: &Result<Response<Body>, Refusal>) {
    let (outcome, reason) = match result {
        Ok(_) => (Outcome::Answered, ""),
        Err(refusal) => (refusal.outcome, refusal.reason.as_str()),
    };
    let metrics = &host.metrics;
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
