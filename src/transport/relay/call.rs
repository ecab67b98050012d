//! A caller's request with what a version of the routes says about it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    StatusCode,
    header::{AUTHORIZATION, HeaderValue},
    http::request,
};

use crate::{
    coordination::{
        decision::{access, attempts, nested_call::is_nested_call, rate_limit::Exceeded},
        host::Host,
    },
    event::Event,
    id::Name,
    journal::note,
    protocol::answer::Refusal,
    state::{
        priority::Priority,
        routing::{Route, Table},
        team::Team,
    },
    transport::{http, relay::host_of},
    unit::Span,
};

/// The `Retry-After` of refusals while no version is in force.
const NO_VERSION_RETRY_AFTER: Span = Span::from_millis(300);

/// The reason of a refusal because the team's limit is used up.
const RATE_LIMITED: &str = "the team has used up its limit";

/// A caller's request with its route and its time limits.
pub struct Call {
    /// The head of the request, as it is sent to the target.
    pub head: request::Parts,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The service whose target is to run the request.
    pub service: Name,
    /// The team on whose behalf the request is sent, if there is one.
    pub team: Option<Arc<Team>>,
    /// The priority under overload, by the team and the route.
    pub priority: Priority,
    /// Whether it is a call that a target makes during a run.
    pub is_nested: bool,
    /// When the request arrived.
    pub arrived: Instant,
    /// The probability that the request was made by a run of the target on this host that is
    /// itself a repeat.
    pub repeat_chance: f64,
    /// The due time of the route's objective, counted from the caller's first attempt.
    pub due: Instant,
    /// The earlier of the caller's deadline and the end of the route's timeout.
    pub deadline: Instant,
}

/// A request that is refused before it is sent to any target.
pub struct Denied {
    /// The refusal.
    pub refusal: Refusal,
    /// The time left until the request's deadline.
    pub remaining: Duration,
}

impl Call {
    /// Returns the request with its route, and the version in force that the route is from.
    ///
    /// # Errors
    ///
    /// If no version is in force, no route matches, or the caller may not send the request.
    pub fn new(host: &Host, head: request::Parts, arrived: Instant) -> Result<(Self, u64), Denied> {
        let dialect = &host.decoders.dialect;
        let deadline = http::parse(&head.headers, dialect.deadline.as_str());
        let deadline = deadline.map(Duration::from_millis);
        let denied = |refusal| Denied {
            refusal,
            // Without a deadline, `Retry-After` is not limited.
            remaining: deadline.unwrap_or(Duration::MAX),
        };
        let Some(table) = host.routes() else {
            let refusal = Refusal::not_run("no version is in force", NO_VERSION_RETRY_AFTER);
            return Err(denied(refusal));
        };
        let route = find_route(host, &table, &head).map_err(denied)?;
        let team = identify(host, &table, &route, &head).map_err(denied)?;
        if let Some(team) = &team {
            let admitted = host.rate_limits.admit(team, host.nodes(), arrived);
            admitted.map_err(|exceeded| denied(limit(host, &head, team, exceeded)))?;
        }
        let age = deadline.map_or(Duration::ZERO, |remaining| {
            host.request_ages.lock().note(&route.name, remaining)
        });
        let timeout = route.timeout.duration();
        let remaining = deadline.map_or(timeout, |remaining| remaining.min(timeout));
        let due = (arrived + route.objective.duration()).checked_sub(age);
        let service = host.split.lock().next(&route);
        let priority = Priority::of_request(
            table.teams.has_priorities(),
            team.as_ref().and_then(|team| team.priority),
            route.priority,
        );
        let has_key = head.headers.contains_key(AUTHORIZATION);
        let is_nested = is_nested_call(!table.teams.is_empty(), has_key, route.is_anonymous);
        let mut call = Self {
            head,
            team,
            priority,
            is_nested,
            route,
            service,
            arrived,
            repeat_chance: host.gate.repeat_share(),
            // `None` means that the due time lies before the start of the clock. The
            // request is late in that case, too.
            due: due.unwrap_or(arrived),
            deadline: arrived + remaining,
        };
        call.set_origin(host, &table);
        Ok((call, table.version))
    }

    /// Sets the headers that tell a target where the request began, whatever the caller sent,
    /// and removes the key, which stays on this host.
    fn set_origin(&mut self, host: &Host, table: &Table) {
        let dialect = &host.decoders.dialect;
        let headers = &mut self.head.headers;
        let value =
            |name: &Name| HeaderValue::from_str(name.as_str()).expect("names are valid in headers");
        headers.insert(dialect.caller_service.clone(), value(host.service()));
        headers.remove(&dialect.team);
        if let Some(team) = &self.team {
            headers.insert(dialect.team.clone(), value(&team.name));
        }
        if !table.teams.is_empty() {
            headers.remove(AUTHORIZATION);
        }
    }

    /// Returns the id that the caller gave the request, or `-`.
    pub fn id(&self, host: &Host) -> &str {
        request_id(host, &self.head)
    }

    /// Returns whether the request may run in a region; `None` is one that isn't known.
    pub fn may_run_in(&self, region: Option<&Name>) -> bool {
        access::may_run_in(&self.route, self.team.as_deref(), region)
    }

    /// Returns what the decisions on attempts need to know of the request.
    pub fn request(&self) -> attempts::Request<'_> {
        attempts::Request {
            service: &self.service,
            kind: self.route.kind,
            priority: self.priority,
            is_nested: self.is_nested,
            attempts: self.route.attempts,
            repeat_chance: self.repeat_chance,
            due: self.due,
            deadline: self.deadline,
        }
    }
}

fn find_route(host: &Host, table: &Table, head: &request::Parts) -> Result<Arc<Route>, Refusal> {
    let (authority, path) = (host_of(head), head.uri.path());
    let route = table.find(&authority, path).cloned();
    route.ok_or_else(|| {
        note!(
            host.journal,
            Event::NoRoute,
            id = request_id(host, head),
            host = authority,
            path = path,
            version = table.version
        );
        Refusal::rejected(404, "no route matches")
    })
}

/// Returns the team on whose behalf a request is sent.
fn identify(
    host: &Host,
    table: &Table,
    route: &Route,
    head: &request::Parts,
) -> Result<Option<Arc<Team>>, Refusal> {
    let authorization = head.headers.get(AUTHORIZATION);
    let team = access::team(table, route, authorization.map(HeaderValue::as_bytes));
    team.inspect_err(|refusal| {
        note!(
            host.journal,
            Event::Denied,
            id = request_id(host, head),
            route = route.name,
            status = refusal.status,
            reason = refusal.reason,
            version = table.version
        );
    })
}

/// Returns the refusal of a request that exceeds its team's limit.
fn limit(host: &Host, head: &request::Parts, team: &Team, exceeded: Exceeded) -> Refusal {
    note!(
        host.journal,
        Event::Denied,
        id = request_id(host, head),
        team = team.name,
        status = StatusCode::TOO_MANY_REQUESTS.as_u16(),
        reason = RATE_LIMITED,
    );
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS.as_u16(),
        ..Refusal::not_run(RATE_LIMITED, Span::from_duration(exceeded.retry_after))
    }
}

/// Returns the id that the caller gave the request, or `-`.
fn request_id<'a>(host: &Host, head: &'a request::Parts) -> &'a str {
    http::get(&head.headers, host.decoders.dialect.attempt_id.as_str()).unwrap_or("-")
}
