//! The part of the configuration that one proxy needs.
//!
//! A view contains the proxy's routes, their services and, for each service, its
//! policy and the failure domains to which the proxy may send its requests. A
//! view that contains a route also contains everything the route refers to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    id::Name,
    state::{
        check::{ResourceSet, Touched},
        region::Distance,
        resource::{Boundary, Key, Kind, Policy, Resource, Route},
        selector::Labels,
        version::Version,
    },
};

/// The proxy for which a view is built.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proxy {
    /// The failure domain the proxy is in.
    pub domain: Name,
    /// The proxy's own labels.
    pub labels: Labels,
}

/// One proxy's view of one version.
///
/// A view is immutable. The view of a new version shares the routes and services
/// that did not change.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The version.
    pub version: Version,
    /// The proxy for which it was built.
    pub proxy: Proxy,
    /// All resources, for questions about other proxies.
    pub resources: Arc<ResourceSet>,
    routes: BTreeMap<Name, Arc<Route>>,
    /// The routes, most specific first.
    by_specificity: Vec<Arc<Route>>,
    services: BTreeMap<Name, Arc<Service>>,
}

/// A service as one proxy may use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Its policy.
    pub policy: Policy,
    /// The failure domains to which this proxy may send its requests, with their
    /// distance.
    pub allowed: BTreeMap<Name, Distance>,
}

/// The label key of the region of a failure domain. Failure domains of the same
/// region are close to each other.
pub const REGION: &str = "region";

impl View {
    /// Returns the view of `proxy`, built from all resources.
    pub fn new(version: Version, set: Arc<ResourceSet>, proxy: Proxy) -> Self {
        let touched = Touched {
            keys: set.iter().map(|stored| stored.resource.key()).collect(),
            services: set.services().map(|s| s.name.clone()).collect(),
        };
        let empty = Self {
            version: Version::default(),
            proxy,
            resources: Arc::default(),
            routes: BTreeMap::new(),
            by_specificity: Vec::new(),
            services: BTreeMap::new(),
        };
        empty.updated(version, set, &touched)
    }

    /// Returns the view of a later version, which differs in what `touched` names.
    pub fn updated(&self, version: Version, set: Arc<ResourceSet>, touched: &Touched) -> Self {
        let mut next = Self {
            version,
            resources: set,
            ..self.clone()
        };
        let mut has_route_changes = false;
        for key in touched.keys.iter().filter(|key| key.kind == Kind::Route) {
            has_route_changes |= next.project_route(key);
        }
        let is_touched = |route: &Arc<Route>| touched.services.contains(&route.service);
        let routed_services: BTreeSet<Name> = next
            .routes
            .values()
            .filter(|r| is_touched(r))
            .map(|r| r.service.clone())
            .collect();
        for name in &touched.services {
            next.project_service(name, routed_services.contains(name));
        }
        if has_route_changes {
            next.sort();
        }
        next
    }

    /// Updates the route `key`. Returns whether the routes may have changed.
    fn project_route(&mut self, key: &Key) -> bool {
        let found = match self.resources.get(key).map(|stored| &stored.resource) {
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

    /// Updates the service `name`. `is_routed` is whether a route of the view refers
    /// to it.
    fn project_service(&mut self, name: &Name, is_routed: bool) {
        let projected = if is_routed {
            self.build_service(name)
        } else {
            None
        };
        match projected {
            Some(service) => self.services.insert(name.clone(), Arc::new(service)),
            None => self.services.remove(name),
        };
    }

    fn build_service(&self, name: &Name) -> Option<Service> {
        let policy = self
            .resources
            .policy(&self.resources.service(name)?.policy)?
            .clone();
        let allowed = allowed_domains(
            &self.resources,
            name,
            &self.proxy.domain,
            Some(&self.proxy.labels),
        );
        let with_distance = |domain: Name| (domain.clone(), self.distance(&domain));
        let allowed = allowed.into_iter().map(with_distance).collect();
        Some(Service {
            name: name.clone(),
            policy,
            allowed,
        })
    }

    fn distance(&self, to: &Name) -> Distance {
        let region = |name: &Name| self.resources.domain(name)?.labels.get(REGION);
        let own = &self.proxy.domain;
        Distance::between((own, region(own)), (to, region(to)))
    }

    /// Sorts the routes so that the first match for a request is the most specific.
    fn sort(&mut self) {
        self.by_specificity = self.routes.values().cloned().collect();
        self.by_specificity.sort_by(|a, b| {
            let specificity = |r: &Route| (r.host.is_some(), r.path.len(), !r.methods.is_empty());
            specificity(b)
                .cmp(&specificity(a))
                .then_with(|| a.name.cmp(&b.name))
        });
    }

    /// Returns the most specific route for a request.
    pub fn route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&Arc<Route>> {
        self.by_specificity.iter().find(|route| {
            let host_fits = route
                .host
                .as_deref()
                .is_none_or(|required| Some(required) == host);
            let method_fits = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
            host_fits && method_fits && is_below(path, &route.path)
        })
    }

    /// Returns the routes, most specific first.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.by_specificity
    }

    /// Returns the service of a route of this view by name.
    pub fn service(&self, name: &Name) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Returns whether `path` is `prefix` or lies below it. Only whole segments match:
/// `/fare` must not match `/farewell`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Returns the failure domains to which a proxy in `from` with `labels` may
/// send requests of `service`.
///
/// Without `labels`, because the proxy is not known yet, every boundary that might
/// apply is taken to apply, so that missing labels can only make the result
/// stricter.
pub fn allowed_domains(
    set: &ResourceSet,
    service: &Name,
    from: &Name,
    labels: Option<&Labels>,
) -> BTreeSet<Name> {
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
    let allowed = set
        .domains()
        .filter(|domain| applying.iter().all(|b| b.to.matches(&domain.labels)));
    allowed.map(|domain| domain.name.clone()).collect()
}
