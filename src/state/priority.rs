//! Who goes first when slots are short: the order of teams, then of their routes.
//!
//! It handles a target whose slots are all in use, with requests of one team on routes of
//! different urgency. If a team's priority replaced its routes', a payment that is due in 250 ms
//! would queue as an equal of the same team's confirmations, which hold a slot for twice as long
//! and have 800 ms.
//!
//! ```
//! use rilltrack::state::priority::Priority;
//!
//! let payment = Priority::of_team_and_route(1, 0);
//! let confirmation = Priority::of_team_and_route(1, 2);
//! assert!(payment < confirmation);
//! assert!(Priority::of_team_and_route(0, 2) < payment);
//! assert_eq!(confirmation.to_string().parse(), Ok(confirmation));
//! ```

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The number of priorities of routes that are told apart within one of a team. Both parts take
/// half of the byte that nodes of earlier releases read from the header between nodes.
const ROUTES_PER_TEAM: u8 = 16;

/// The lowest priority of a team, and of a route of a team, that is told apart from others.
const LOWEST: u8 = ROUTES_PER_TEAM - 1;

/// The priority of a request under overload. A lower value goes first, and 0 is the highest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Priority(u8);

/// A text that is not a [`Priority`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a priority: expected a number from 0 to 255")]
pub struct Error(String);

impl Priority {
    /// Returns the priority of requests that only their route's priority orders.
    pub const fn of_route(route: u8) -> Self {
        Self(route)
    }

    /// Returns the priority of a team's requests on a route: teams are compared first, then
    /// routes.
    pub fn of_team_and_route(team: u8, route: u8) -> Self {
        Self(team.min(LOWEST) * ROUTES_PER_TEAM + route.min(LOWEST))
    }

    /// Returns the priority of a request, whose team may have none itself.
    ///
    /// `has_team_priorities` tells whether any team of the version in force has a priority. If
    /// not, the route's decides. Otherwise, a request without a priority of a team is compared
    /// with teams by its route's, so that it goes neither before nor after all of them.
    pub fn of_request(has_team_priorities: bool, team: Option<u8>, route: u8) -> Self {
        match has_team_priorities {
            true => Self::of_team_and_route(team.unwrap_or(route), route),
            false => Self::of_route(route),
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Priority {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse().map(Self).map_err(|_| Error(text.into()))
    }
}
