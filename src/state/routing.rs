//! A whole version of routes, as a source outside the mesh publishes it.
//!
//! A [`Table`] is built once from a list of routes and never changed: a request
//! takes one table when it arrives and keeps it to its end. A table that can't
//! be used as a whole is not built at all.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::Name,
    unit::{Size, Span},
};

/// One version of all routes.
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
    /// The version; a later one is greater.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    routes: BTreeMap<Name, Arc<Route>>,
    hosts: HashMap<String, Prefixes>,
    services: Vec<Name>,
}

/// What one version changes about another, or a whole version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it changes; 0 if it stands for itself.
    pub base: u64,
    /// The version that comes of it.
    pub version: u64,
    /// The limits.
    pub limits: Limits,
    /// All services.
    pub services: Vec<Name>,
    /// Routes that are new or changed.
    pub put: Vec<Arc<Route>>,
    /// Routes that are gone.
    pub gone: Vec<Name>,
}

/// The routes of one host by prefix.
type Prefixes = BTreeMap<String, Arc<Route>>;

/// Which requests go to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: Name,
    /// The `Host` of its requests, without port.
    pub host: String,
    /// The start of their paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// The longest that a caller waits for an answer.
    pub timeout: Span,
    /// The time within which an answer is worth most. It may be beyond the timeout:
    /// operators shorten timeouts alone, and a version must not be refused for it.
    pub objective: Span,
    /// Its rank where room is short; 0 goes first.
    pub priority: u8,
    /// Targets that may be sent one request, the first included.
    pub attempts: u32,
    /// The services that share its requests; never empty.
    pub parts: Vec<Part>,
}

/// One service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other parts; 0 gets nothing.
    pub weight: u32,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Any number of times, with the same effect.
    Idempotent,
    /// Once at most.
    Once,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest head of a request.
    pub head: Size,
    /// The longest body of a request.
    pub body: Size,
    /// The longest time for a request's head.
    pub head_timeout: Span,
    /// How long an unused connection, or a body midway, may stand still.
    pub idle_timeout: Span,
}

/// Why routes make no table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route leads to a service that is not listed.
    #[error("route {route}: no service {service}")]
    Service {
        /// The route.
        route: Name,
        /// What it leads to.
        service: Name,
    },
    /// A value is out of bounds.
    #[error("route {route}: {what}")]
    Bounds {
        /// The route.
        route: Name,
        /// What is wrong.
        what: &'static str,
    },
    /// Two routes have the same name.
    #[error("two routes are named {0}")]
    Name(Name),
    /// A change is of another version than the one held.
    #[error("a change of version {base} does not fit version {held}")]
    Base {
        /// The version that it changes.
        base: u64,
        /// The version held.
        held: u64,
    },
    /// Two routes answer to the same host and prefix.
    #[error("routes {one} and {other} have the same host and prefix")]
    Twice {
        /// The one that came first.
        one: Name,
        /// The one that came second.
        other: Name,
    },
}

impl Default for Limits {
    /// What a process holds callers to while it knows no version.
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
    /// Returns the table of `routes`, which may lead to `services` alone.
    ///
    /// # Errors
    ///
    /// The first route that can't be used; the others are then not used either.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Name>,
        limits: Limits,
    ) -> Result<Self, Error> {
        let mut named = BTreeMap::new();
        for route in routes {
            if let Some(twin) = named.insert(route.name.clone(), Arc::new(route)) {
                return Err(Error::Name(twin.name.clone()));
            }
        }
        Self::of(version, named, services, limits)
    }

    fn of(
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
                return Err(Error::Twice {
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

    /// Returns what this version changes about `base`; about nothing, the whole.
    ///
    /// A version of hundreds of routes mostly repeats the one before, and thin
    /// links can't carry it whole several times a second.
    pub fn since(&self, base: Option<&Self>) -> Delta {
        let before = |name: &Name| base.and_then(|base| base.routes.get(name));
        let put = self
            .routes
            .values()
            .filter(|route| before(&route.name) != Some(route));
        let gone = base.iter().flat_map(|base| base.routes.keys());
        let gone = gone.filter(|name| !self.routes.contains_key(*name));
        Delta {
            base: base.map_or(0, |base| base.version),
            version: self.version,
            limits: self.limits,
            services: self.services.clone(),
            put: put.cloned().collect(),
            gone: gone.cloned().collect(),
        }
    }

    /// Returns the version that comes of a change of `held`.
    ///
    /// # Errors
    ///
    /// If the change is of another version, or what comes of it can't be used.
    pub fn after(held: Option<&Self>, delta: Delta) -> Result<Self, Error> {
        let mut routes = match held {
            _ if delta.base == 0 => BTreeMap::new(),
            Some(held) if held.version == delta.base => held.routes.clone(),
            _ => {
                return Err(Error::Base {
                    base: delta.base,
                    held: held.map_or(0, |held| held.version),
                });
            }
        };
        for name in &delta.gone {
            routes.remove(name);
        }
        for route in delta.put {
            routes.insert(route.name.clone(), route);
        }
        Self::of(delta.version, routes, delta.services, delta.limits)
    }

    /// Returns the route with the longest prefix of `path` at `host`.
    ///
    /// Prefixes end with a slash, so only the cuts of `path` behind a slash are
    /// looked up: the cost grows with the depth of the path, not with the
    /// number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let cuts = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        cuts.into_iter().find_map(|cut| prefixes.get(cut))
    }

    /// Returns whether `service` is part of this version.
    pub fn has_service(&self, service: &Name) -> bool {
        self.services.contains(service)
    }

    /// Returns whether there is a route of this name.
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
            return Err(Error::Service {
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
            Some((_, what)) => Err(Error::Bounds {
                route: self.name.clone(),
                what,
            }),
        }
    }
}
