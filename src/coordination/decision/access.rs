//! Whether a caller may send a request over a route, and on whose behalf.
//!
//! It handles callers without a key, with a guessed one and with one that was taken away, and
//! the calls that targets make while they run a request, which carry no key. Where a call
//! comes from proves nothing: callers and the target send from the same host to the same
//! address. So only the route decides whether a request without a key is served, and nobody
//! gains by looking like a target.
//!
//! What can't be understood is treated as a restriction: a route or team with a setting that
//! this release doesn't know is refused until the node is upgraded.

use std::sync::Arc;

use crate::{
    id::Name,
    protocol::answer::Refusal,
    state::{
        routing::{Route, Table},
        team::Team,
    },
    unit::Span,
};

/// The scheme of the `Authorization` header with a key, in lower case.
const SCHEME: &str = "bearer";

/// The reason of a refusal because the caller has no key, or one that no team has.
pub const NO_TEAM: &str = "no team has this key";

/// The reason of a refusal because a setting of the route isn't known.
pub const ROUTE_UNSUPPORTED: &str = "the route has a setting that is not supported here";

/// The reason of a refusal because a setting of the team isn't known.
pub const TEAM_UNSUPPORTED: &str = "the team has a setting that is not supported here";

/// The `Retry-After` of refusals until a node is upgraded: another node may be of a later
/// release.
const UNSUPPORTED_RETRY_AFTER: Span = Span::from_secs(1);

/// Returns the team on whose behalf a request is sent; `None` if it is served without one.
///
/// `authorization` is the value of the request's `Authorization` header.
///
/// # Errors
///
/// The refusal, with status 401 if the route needs a key of a team, or 503 if a restriction
/// isn't known here.
pub fn team(
    table: &Table,
    route: &Route,
    authorization: Option<&[u8]>,
) -> Result<Option<Arc<Team>>, Refusal> {
    if !route.unsupported.is_empty() {
        return Err(Refusal::not_run(ROUTE_UNSUPPORTED, UNSUPPORTED_RETRY_AFTER));
    }
    if table.teams.is_empty() {
        return Ok(None);
    }
    let team = authorization
        .and_then(key)
        .and_then(|key| table.teams.of_key(key));
    match team {
        Some(team) if !team.unsupported.is_empty() => {
            Err(Refusal::not_run(TEAM_UNSUPPORTED, UNSUPPORTED_RETRY_AFTER))
        }
        Some(team) => Ok(Some(team.clone())),
        None if route.is_anonymous => Ok(None),
        None => Err(Refusal::rejected(401, NO_TEAM)),
    }
}

/// Returns whether a request may run in a region, and its body may be sent there. `None` is a
/// region that isn't known, which no restriction allows.
pub fn may_run_in(route: &Route, team: Option<&Team>, region: Option<&Name>) -> bool {
    let team = team.and_then(|team| team.regions.as_ref());
    let mut restrictions = route.regions.iter().chain(team);
    restrictions.all(|allowed| region.is_some_and(|region| allowed.contains(region)))
}

/// Returns the key in the value of an `Authorization` header.
fn key(authorization: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = authorization.split_at_checked(SCHEME.len())?;
    let is_key = scheme.eq_ignore_ascii_case(SCHEME.as_bytes());
    is_key
        .then_some(key)?
        .strip_prefix(b" ")
        .map(<[u8]>::trim_ascii)
}
