//! A complete version of routes, as a source outside the mesh publishes it.
//!
//! A [`Table`] is built from a list of routes and is immutable: a request uses
//! the table that is current at its arrival until it ends. If any route is
//! invalid, no table is built.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::Name,
    unit::{Size, Span},
};

/// All routes of one version.
///
/// # Example
///
/// ```
/// use rilltrack::{
///     state::routing::{Kind, Limits, Part, Route, Table},
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
/// };
/// let table = Table::new(7, vec![route], vec!["ledger".parse()?], Limits::default())?;
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
    routes: BTreeMap<Name, Arc<Route>>,
    hosts: HashMap<String, Prefixes>,
    services: Vec<Name>,
}

/// The changes from one version to another, or a complete version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it changes; 0 for a complete version.
    pub base: u64,
    /// The resulting version.
    pub version: u64,
    /// The limits.
    pub limits: Limits,
    /// All services.
    pub services: Vec<Name>,
    /// New and changed routes.
    pub put: Vec<Arc<Route>>,
    /// The names of removed routes.
    pub gone: Vec<Name>,
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
        services: Vec<Name>,
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

    fn from_named(
        version: u64,
        routes: BTreeMap<Name, Arc<Route>>,
        services: Vec<Name>,
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
        Delta {
            base: base.map_or(0, |base| base.version),
            version: self.version,
            limits: self.limits,
            services: self.services.clone(),
            put: put.cloned().collect(),
            gone: removed.cloned().collect(),
        }
    }

    /// Returns the version that results from applying `delta` to `current`.
    ///
    /// # Errors
    ///
    /// If the change applies to another version, or the resulting routes are
    /// invalid.
    pub fn apply_delta(current: Option<&Self>, delta: Delta) -> Result<Self, Error> {
        let mut routes = match current {
            _ if delta.base == 0 => BTreeMap::new(),
            Some(current) if current.version == delta.base => current.routes.clone(),
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
        Self::from_named(delta.version, routes, delta.services, delta.limits)
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

    /// Returns whether `service` is listed in this version.
    pub fn has_service(&self, service: &Name) -> bool {
        self.services.contains(service)
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
    fn check(&self, services: &[Name]) -> Result<(), Error> {
        let unknown = self.parts.iter().find(|p| !services.contains(&p.service));
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
