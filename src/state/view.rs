//! What one proxy needs of the whole configuration.
//!
//! A view is built for one proxy: its routes, the services they lead to, and
//! for each service its policy and the failure domains this proxy may send it
//! to. A route is never in a view without everything it refers to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    id::Name,
    state::{
        check::{Set, Touched},
        resource::{Boundary, Key, Kind, Policy, Resource, Route},
        selector::Labels,
        version::Version,
    },
};

/// Who a view is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proxy {
    /// The failure domain the proxy is in.
    pub domain: Name,
    /// The proxy's own labels.
    pub labels: Labels,
}

/// One proxy's view of one version. Never changed; a new version is a new
/// view that shares what stayed.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The version.
    pub version: Version,
    /// The proxy it was built for.
    pub proxy: Proxy,
    /// All resources, for what is asked about other proxies.
    pub set: Arc<Set>,
    routes: BTreeMap<Name, Arc<Route>>,
    order: Vec<Arc<Route>>,
    services: BTreeMap<Name, Arc<Service>>,
}

/// A service as one proxy may use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Its policy.
    pub policy: Policy,
    /// The failure domains this proxy may send to, and how far they are.
    pub allowed: BTreeMap<Name, Distance>,
}

/// How far a failure domain is from the proxy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The proxy is in it.
    Domain,
    /// It has the same `region` label.
    Region,
    /// It is elsewhere.
    Beyond,
}

/// The label of failure domains that says which are close to each other.
pub const REGION: &str = "region";

impl View {
    /// Returns the view of `proxy`, built from nothing.
    pub fn new(version: Version, set: Arc<Set>, proxy: Proxy) -> Self {
        let touched = Touched {
            keys: set.iter().map(|held| held.resource.key()).collect(),
            services: set.services().map(|s| s.name.clone()).collect(),
        };
        let empty = Self {
            version: Version::default(),
            proxy,
            set: Arc::default(),
            routes: BTreeMap::new(),
            order: Vec::new(),
            services: BTreeMap::new(),
        };
        empty.next(version, set, &touched)
    }

    /// Returns the view after changes that `touched` some resources.
    pub fn next(&self, version: Version, set: Arc<Set>, touched: &Touched) -> Self {
        let mut next = Self {
            version,
            set,
            ..self.clone()
        };
        let mut reordered = false;
        for key in touched.keys.iter().filter(|key| key.kind == Kind::Route) {
            reordered |= next.project_route(key);
        }
        let refers = |route: &Arc<Route>| touched.services.contains(&route.service);
        let services: BTreeSet<Name> = next
            .routes
            .values()
            .filter(|r| refers(r))
            .map(|r| r.service.clone())
            .collect();
        for name in &touched.services {
            next.project_service(name, services.contains(name));
        }
        if reordered {
            next.sort();
        }
        next
    }

    fn project_route(&mut self, key: &Key) -> bool {
        let found = match self.set.get(key).map(|held| &held.resource) {
            Some(Resource::Route(route)) if route.proxies.matches(&self.proxy.labels) => {
                Some(route.clone())
            }
            _ => None,
        };
        match found {
            Some(route) => {
                self.routes.insert(key.name.clone(), Arc::new(route));
                true
            }
            None => self.routes.remove(&key.name).is_some(),
        }
    }

    fn project_service(&mut self, name: &Name, routed: bool) {
        let projected = if routed { self.service_of(name) } else { None };
        match projected {
            Some(service) => self.services.insert(name.clone(), Arc::new(service)),
            None => self.services.remove(name),
        };
    }

    fn service_of(&self, name: &Name) -> Option<Service> {
        let policy = self.set.policy(&self.set.service(name)?.policy)?.clone();
        let allowed = allowed(
            &self.set,
            name,
            &self.proxy.domain,
            Some(&self.proxy.labels),
        );
        let distanced = |domain: Name| (domain.clone(), self.distance(&domain));
        let allowed = allowed.into_iter().map(distanced).collect();
        Some(Service {
            name: name.clone(),
            policy,
            allowed,
        })
    }

    fn distance(&self, to: &Name) -> Distance {
        let region = |name: &Name| self.set.domain(name)?.labels.get(REGION);
        let here = region(&self.proxy.domain);
        match *to == self.proxy.domain {
            true => Distance::Domain,
            false if here.is_some() && here == region(to) => Distance::Region,
            false => Distance::Beyond,
        }
    }

    /// Sorts the routes so that the first that matches is the most specific.
    fn sort(&mut self) {
        self.order = self.routes.values().cloned().collect();
        self.order.sort_by(|a, b| {
            let weight = |r: &Route| (r.host.is_some(), r.path.len(), !r.methods.is_empty());
            weight(b).cmp(&weight(a)).then_with(|| a.name.cmp(&b.name))
        });
    }

    /// Returns the most specific route for a request.
    pub fn route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&Arc<Route>> {
        self.order.iter().find(|route| {
            let host_fits = route
                .host
                .as_deref()
                .is_none_or(|wanted| Some(wanted) == host);
            let method_fits = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
            host_fits && method_fits && is_below(path, &route.path)
        })
    }

    /// Returns the routes, most specific first.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.order
    }

    /// Returns a service that a route of this view leads to.
    pub fn service(&self, name: &Name) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Returns whether `path` is `prefix` or lies below it, by whole segments:
/// `/fare` must not catch `/farewell`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Returns the failure domains to which a proxy in `from` with `labels` may
/// send requests of `service`.
///
/// Without `labels` (the proxy is not known here yet) every boundary counts
/// that might apply, so that ignorance can only make the answer stricter.
pub fn allowed(set: &Set, service: &Name, from: &Name, labels: Option<&Labels>) -> BTreeSet<Name> {
    let (Some(service), Some(sender)) = (set.service(service), set.domain(from)) else {
        return BTreeSet::new();
    };
    let applies = |boundary: &&Boundary| {
        boundary.services.matches(&service.labels)
            && boundary.from.matches(&sender.labels)
            && labels.is_none_or(|labels| boundary.proxies.matches(labels))
    };
    let applying: Vec<&Boundary> = set.boundaries().filter(applies).collect();
    if applying.is_empty() {
        return BTreeSet::new();
    }
    let open = set
        .domains()
        .filter(|domain| applying.iter().all(|b| b.to.matches(&domain.labels)));
    open.map(|domain| domain.name.clone()).collect()
}
