//! A whole version of routes, as a source outside the mesh publishes it.
//!
//! A [`Table`] is built once from a list of routes and never changed: a request
//! takes one table when it arrives and keeps it to its end. A table that can't
//! be used as a whole is not built at all.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

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
    hosts: HashMap<String, Prefixes>,
    services: Vec<Name>,
}

/// The routes of one host by prefix.
type Prefixes = BTreeMap<String, Arc<Route>>;

/// Which requests go to which services, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
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
    /// The time within which an answer is worth most.
    pub objective: Span,
    /// Its rank where room is short; 0 goes first.
    pub priority: u8,
    /// Targets that may be sent one request, the first included.
    pub attempts: u32,
    /// The services that share its requests; never empty.
    pub parts: Vec<Part>,
}

/// One service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other parts; 0 gets nothing.
    pub weight: u32,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Any number of times, with the same effect.
    Idempotent,
    /// Once at most.
    Once,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
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
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for route in routes {
            route.check(&services)?;
            let prefixes = hosts.entry(route.host.clone()).or_default();
            if let Some(one) = prefixes.get(&route.prefix) {
                return Err(Error::Twice {
                    one: one.name.clone(),
                    other: route.name,
                });
            }
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Ok(Self {
            version,
            limits,
            hosts,
            services,
        })
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

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
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
