//! A complete version of routes, as a source outside the mesh publishes it.
//!
//! A [`Table`] is built from a list of routes and is immutable: a request uses
//! the table that is current at its arrival until it ends. If any route is
//! invalid, no table is built.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::Name,
    state::team::{self, Team, Teams},
    unit::{Rate, Size, Span},
};

/// All routes of one version.
///
/// # Example
///
/// ```
/// use rilltrack::{
///     id::Name,
///     state::routing::{Kind, Limits, Part, Route, Service, Table},
///     unit::Span,
/// };
///
/// let route = Route {
///     name: "balance".parse()?,
///     host: "fares.example".into(),
///     prefix: "/balance/".into(),
///     kind: Kind::Idempotent,
///     timeout: Span::from_millis(1200),
///     objective: Span::from_millis(400),
///     priority: 2,
///     attempts: 2,
///     parts: vec![Part { service: "ledger".parse()?, weight: 1 }],
///     is_anonymous: false,
///     regions: None,
///     unsupported: vec![],
/// };
/// let ledger = Service::from("ledger".parse::<Name>()?);
/// let table = Table::new(7, vec![route], vec![ledger], Limits::default())?;
/// assert!(table.find("fares.example", "/balance/7").is_some());
/// assert!(table.find("fares.example", "/balance").is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    /// The version. A later version is greater.
    pub version: u64,
    /// The limits on callers' requests.
    pub limits: Limits,
    /// The teams whose callers may send requests. If there are none, callers need no key.
    pub teams: Teams,
    routes: BTreeMap<Name, Arc<Route>>,
    hosts: HashMap<String, Prefixes>,
    services: Vec<Service>,
}

/// The changes from one version to another, or a complete version.
///
/// All fields are required when a delta is decoded: a node of a release that knows no teams
/// sends none, and its delta must not open the routes to callers without a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it changes; 0 for a complete version.
    pub base: u64,
    /// The resulting version.
    pub version: u64,
    /// The limits.
    pub limits: Limits,
    /// All services.
    pub services: Vec<Service>,
    /// New and changed routes.
    pub put: Vec<Arc<Route>>,
    /// The names of removed routes.
    pub gone: Vec<Name>,
    /// New and changed teams.
    pub put_teams: Vec<Arc<Team>>,
    /// The names of removed teams.
    pub gone_teams: Vec<Name>,
}

/// The routes of one `Host` by path prefix.
type Prefixes = BTreeMap<String, Arc<Route>>;

/// Which requests are sent to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: Name,
    /// The `Host` of its requests, without port.
    pub host: String,
    /// The prefix of their paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// The longest time that a caller waits for an answer.
    pub timeout: Span,
    /// The time within which an answer has its full value. It may be longer than the
    /// timeout: operators shorten a timeout without the objective, and a version must not
    /// be rejected for that.
    pub objective: Span,
    /// The priority of its requests when capacity is short; 0 is the highest.
    pub priority: u8,
    /// The number of targets that one request may be sent to, including the first.
    pub attempts: u32,
    /// The services among which its requests are divided; never empty.
    pub parts: Vec<Part>,
    /// Whether it also serves callers without a key.
    pub is_anonymous: bool,
    /// The regions in which its requests may run, and to which their bodies may be sent;
    /// anywhere if `None`.
    pub regions: Option<BTreeSet<Name>>,
    /// Settings of the route that this release doesn't know. They may restrict who may send
    /// requests or where they may go, so its requests are refused.
    pub unsupported: Vec<String>,
}

/// A service that routes refer to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The path at which its targets tell their health.
    pub health_path: String,
    /// The requests per second that a target of the service tolerates while it warms up; `None`
    /// if it tolerates as many as later.
    pub warmup_rate: Option<Rate>,
}

impl From<Name> for Service {
    /// Returns a service whose targets need no warm-up.
    fn from(name: Name) -> Self {
        Self {
            name,
            health_path: "/".into(),
            warmup_rate: None,
        }
    }
}

/// One service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: Name,
    /// Its weight relative to the other parts; 0 gets no requests.
    pub weight: u32,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Any number of times, with the same effect as once.
    Idempotent,
    /// At most once.
    Once,
}

/// The limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub head: Size,
    /// The maximum size of a request's body.
    pub body: Size,
    /// The maximum time to receive a request's head.
    pub head_timeout: Span,
    /// The maximum time without data on an unused connection or within a body.
    pub idle_timeout: Span,
}

/// Why a list of routes or a change of them is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that is not listed.
    #[error("route {route}: no service {service}")]
    UnknownService {
        /// The route.
        route: Name,
        /// The unlisted service.
        service: Name,
    },
    /// A value is out of bounds.
    #[error("route {route}: {what}")]
    InvalidValue {
        /// The route.
        route: Name,
        /// What is wrong.
        what: &'static str,
    },
    /// Two routes have the same name.
    #[error("two routes are named {0}")]
    Name(Name),
    /// A delta applies to a version other than the current one.
    #[error("a change of version {base} does not fit version {held}")]
    Base {
        /// The version to which the delta applies.
        base: u64,
        /// The current version, 0 if there is none.
        held: u64,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {one} and {other} have the same host and prefix")]
    DuplicateMatch {
        /// The name of the first route.
        one: Name,
        /// The name of the second route.
        other: Name,
    },
    /// Two teams have the same key.
    #[error(transparent)]
    SharedKey(#[from] team::SharedKey),
}

impl Default for Limits {
    /// Returns the limits that a process applies until it has received a version.
    fn default() -> Self {
        Self {
            head: Size::from_bytes(16 << 10),
            body: Size::from_bytes(64 << 20),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl Table {
    /// Returns the table of `routes`, which may refer only to `services`.
    ///
    /// # Errors
    ///
    /// The first invalid route. No route is then used.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, Error> {
        let mut named = BTreeMap::new();
        for route in routes {
            if let Some(duplicate) = named.insert(route.name.clone(), Arc::new(route)) {
                return Err(Error::Name(duplicate.name.clone()));
            }
        }
        Self::from_named(version, named, services, limits)
    }

    /// Returns the table with these teams, in place of none.
    ///
    /// # Errors
    ///
    /// If two teams have a key in common.
    pub fn with_teams(
        self,
        teams: impl IntoIterator<Item = impl Into<Arc<Team>>>,
    ) -> Result<Self, Error> {
        let teams = Teams::new(teams)?;
        Ok(Self { teams, ..self })
    }

    fn from_named(
        version: u64,
        routes: BTreeMap<Name, Arc<Route>>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, Error> {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for route in routes.values() {
            route.check(&services)?;
            let prefixes = hosts.entry(route.host.clone()).or_default();
            if let Some(one) = prefixes.insert(route.prefix.clone(), route.clone()) {
                return Err(Error::DuplicateMatch {
                    one: one.name.clone(),
                    other: route.name.clone(),
                });
            }
        }
        Ok(Self {
            version,
            limits,
            teams: Teams::default(),
            routes,
            hosts,
            services,
        })
    }

    /// Returns the changes from `base` to this version, or the complete version if
    /// `base` is `None`.
    ///
    /// A version of hundreds of routes mostly repeats the previous one, and slow
    /// links can't carry complete versions several times a second.
    pub fn delta_since(&self, base: Option<&Self>) -> Delta {
        let in_base = |name: &Name| base.and_then(|base| base.routes.get(name));
        let put = self
            .routes
            .values()
            .filter(|route| in_base(&route.name) != Some(route));
        let removed = base.iter().flat_map(|base| base.routes.keys());
        let removed = removed.filter(|name| !self.routes.contains_key(*name));
        let team_in_base = |name: &Name| base.and_then(|base| base.teams.get(name));
        let put_teams = self.teams.iter();
        let put_teams = put_teams.filter(|team| team_in_base(&team.name) != Some(team));
        let removed_teams = base.iter().flat_map(|base| base.teams.iter());
        let removed_teams = removed_teams
            .map(|team| &team.name)
            .filter(|name| self.teams.get(name).is_none());
        Delta {
            base: base.map_or(0, |base| base.version),
            version: self.version,
            limits: self.limits,
            services: self.services.clone(),
            put: put.cloned().collect(),
            gone: removed.cloned().collect(),
            put_teams: put_teams.cloned().collect(),
            gone_teams: removed_teams.cloned().collect(),
        }
    }

    /// Returns the version that results from applying `delta` to `current`.
    ///
    /// # Errors
    ///
    /// If the change applies to another version, or the resulting routes are
    /// invalid.
    pub fn apply_delta(current: Option<&Self>, delta: Delta) -> Result<Self, Error> {
        let (mut routes, mut teams) = match current {
            _ if delta.base == 0 => (BTreeMap::new(), BTreeMap::new()),
            Some(current) if current.version == delta.base => {
                let teams = current.teams.iter();
                let teams = teams.map(|team| (team.name.clone(), team.clone()));
                (current.routes.clone(), teams.collect())
            }
            _ => {
                return Err(Error::Base {
                    base: delta.base,
                    held: current.map_or(0, |current| current.version),
                });
            }
        };
        for name in &delta.gone {
            routes.remove(name);
        }
        for route in delta.put {
            routes.insert(route.name.clone(), route);
        }
        for name in &delta.gone_teams {
            teams.remove(name);
        }
        for team in delta.put_teams {
            teams.insert(team.name.clone(), team);
        }
        Self::from_named(delta.version, routes, delta.services, delta.limits)?
            .with_teams(teams.into_values())
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so only the prefixes of `path` that end with one
    /// are looked up: the cost grows with the number of segments of the path, not
    /// with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let candidates = path.rmatch_indices('/').map(|(end, _)| &path[..=end]);
        candidates
            .into_iter()
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns a service that is listed in this version.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns whether this version has a route named `name`.
    pub fn has_route(&self, name: &Name) -> bool {
        self.routes.contains_key(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Route {
    fn check(&self, services: &[Service]) -> Result<(), Error> {
        let is_listed = |name: &Name| services.iter().any(|service| service.name == *name);
        let unknown = self.parts.iter().find(|part| !is_listed(&part.service));
        if let Some(part) = unknown {
            return Err(Error::UnknownService {
                route: self.name.clone(),
                service: part.service.clone(),
            });
        }
        let weight: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let faults = [
            (weight == 0, "no part has a weight"),
            (self.attempts == 0, "no attempt is allowed"),
            (self.timeout.as_millis() == 0, "the timeout is nothing"),
            (self.objective.as_millis() == 0, "the objective is nothing"),
            (self.host.is_empty(), "the host is empty"),
            (
                !self.prefix.starts_with('/') || !self.prefix.ends_with('/'),
                "the prefix does not begin and end with a slash",
            ),
        ];
        match faults.into_iter().find(|(is_fault, _)| *is_fault) {
            None => Ok(()),
            Some((_, what)) => Err(Error::InvalidValue {
                route: self.name.clone(),
                what,
            }),
        }
    }
}
