//! The resources of one version and the validation of changes to them.
//!
//! Validation covers only what a change touches, because a mesh has thousands
//! of resources and thousands of changes a day. The tests compare it with a
//! naive implementation that checks every resource.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::Name,
    state::{
        change::Op,
        resource::{Boundary, Key, Kind, Policy, Resource, Route, Service},
        version::Version,
    },
};

/// The resources of one version.
///
/// A clone copies one pointer for each resource; the resources are shared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceSet {
    held: BTreeMap<Key, Arc<StoredResource>>,
}

/// A resource and the version that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The resource.
    pub resource: Resource,
    /// The version of the last change to the resource.
    pub modified: Version,
}

/// One reason why a change is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, Ord, PartialOrd)]
pub struct Problem {
    /// The resource at fault.
    pub key: Key,
    /// The field at fault; empty if the problem concerns the whole resource.
    pub field: String,
    /// What is wrong, and how to correct it where that is known.
    pub what: String,
}

impl Problem {
    /// Returns a problem with a field of the resource `key`.
    pub fn new(key: &Key, field: &str, what: impl Into<String>) -> Self {
        Self {
            key: key.clone(),
            field: field.into(),
            what: what.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.key)?;
        if !self.field.is_empty() {
            write!(f, " field `{}`", self.field)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl ResourceSet {
    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns a resource and the version that last changed it.
    pub fn get(&self, key: &Key) -> Option<&StoredResource> {
        self.held.get(key).map(AsRef::as_ref)
    }

    /// Returns all resources in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &StoredResource> {
        self.held.values().map(AsRef::as_ref)
    }

    /// Returns the failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &crate::state::resource::Domain> {
        self.iter().filter_map(|stored| match &stored.resource {
            Resource::Domain(domain) => Some(domain),
            _ => None,
        })
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.iter().filter_map(|stored| match &stored.resource {
            Resource::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns the boundaries.
    pub fn boundaries(&self) -> impl Iterator<Item = &Boundary> {
        self.iter().filter_map(|stored| match &stored.resource {
            Resource::Boundary(boundary) => Some(boundary),
            _ => None,
        })
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.iter().filter_map(|stored| match &stored.resource {
            Resource::Route(route) => Some(route),
            _ => None,
        })
    }

    /// Returns a service by name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match &self
            .get(&Key {
                kind: Kind::Service,
                name: name.clone(),
            })?
            .resource
        {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns a policy by name.
    pub fn policy(&self, name: &Name) -> Option<&Policy> {
        match &self
            .get(&Key {
                kind: Kind::Policy,
                name: name.clone(),
            })?
            .resource
        {
            Resource::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// Returns a failure domain by name.
    pub fn domain(&self, name: &Name) -> Option<&crate::state::resource::Domain> {
        match &self
            .get(&Key {
                kind: Kind::Domain,
                name: name.clone(),
            })?
            .resource
        {
            Resource::Domain(domain) => Some(domain),
            _ => None,
        }
    }

    /// Applies all of `ops`, as the change that leads to `version`, or none of
    /// them.
    ///
    /// Returns what a view has to recompute after the change.
    ///
    /// # Errors
    ///
    /// All problems of the change. `self` is then unchanged.
    pub fn apply(&mut self, ops: &[Op], version: Version) -> Result<Touched, Vec<Problem>> {
        let mut next = self.clone();
        let mut problems = Vec::new();
        for op in ops {
            if let Err(problem) = next.apply_op(op, version) {
                problems.push(problem);
            }
        }
        let touched = Touched::between(self, &next, ops);
        next.check(&touched, &mut problems);
        if !problems.is_empty() {
            problems.sort();
            problems.dedup();
            return Err(problems);
        }
        *self = next;
        Ok(touched)
    }

    fn apply_op(&mut self, op: &Op, modified: Version) -> Result<(), Problem> {
        let key = op.key();
        let resource = match op {
            Op::Put(resource) => resource.clone(),
            Op::Delete(_) => {
                return match self.held.remove(&key) {
                    Some(_) => Ok(()),
                    None => Err(Problem::new(&key, "", "is not there to be deleted")),
                };
            }
            Op::Label { set, remove, .. } => {
                let Some(stored) = self.get(&key) else {
                    return Err(Problem::new(&key, "", "is not there to be labelled"));
                };
                let mut resource = stored.resource.clone();
                let Some(labels) = resource.labels_mut() else {
                    return Err(Problem::new(&key, "labels", "this kind has no labels"));
                };
                labels.extend(set.clone());
                labels.retain(|label, _| !remove.contains(label));
                resource
            }
        };
        self.held
            .insert(key, Arc::new(StoredResource { resource, modified }));
        Ok(())
    }

    fn check(&self, touched: &Touched, problems: &mut Vec<Problem>) {
        for key in &touched.keys {
            match self.get(key).map(|stored| &stored.resource) {
                Some(resource) => self.check_resource(resource, problems),
                None => self.check_deleted(key, problems),
            }
        }
        for service in &touched.services {
            self.check_destinations(service, problems);
        }
    }

    /// Checks the fields and references of a resource.
    fn check_resource(&self, resource: &Resource, problems: &mut Vec<Problem>) {
        let key = resource.key();
        let mut add = |field: &str, what: String| problems.push(Problem::new(&key, field, what));
        match resource {
            Resource::Domain(_) => {}
            Resource::Service(service) => {
                if self.policy(&service.policy).is_none() {
                    add("policy", format!("no policy `{}`", service.policy));
                }
            }
            Resource::Policy(policy) => {
                if policy.slots == 0 {
                    add("slots", "a target needs at least one slot".into());
                }
                if policy.timeout.as_millis() == 0 {
                    add("timeout", "must be more than nothing".into());
                }
                if policy
                    .hedge_after
                    .is_some_and(|after| after >= policy.timeout)
                {
                    add("hedge_after", "must be below `timeout`".into());
                }
                if policy.hedge_after.is_some()
                    && policy.repeat == crate::state::resource::Repeat::Never
                {
                    add("hedge_after", "contradicts `repeat`: never".into());
                }
            }
            Resource::Boundary(boundary) => {
                let selectors = [
                    ("services", &boundary.services),
                    ("from", &boundary.from),
                    ("proxies", &boundary.proxies),
                    ("to", &boundary.to),
                ];
                for (field, selector) in selectors {
                    if let Some(what) = selector.fault() {
                        add(field, what.into());
                    }
                }
            }
            Resource::Route(route) => {
                if !route.path.starts_with('/') {
                    add("path", "must start with `/`".into());
                }
                if route
                    .methods
                    .iter()
                    .any(|m| m.is_empty() || m.bytes().any(|b| !b.is_ascii_uppercase()))
                {
                    add(
                        "methods",
                        "must be written in capitals, for example `GET`".into(),
                    );
                }
                if let Some(what) = route.proxies.fault() {
                    add("proxies", what.into());
                }
                if self.service(&route.service).is_none() {
                    add("service", format!("no service `{}`", route.service));
                }
                if let Some(duplicate) = self.duplicate(route) {
                    add(
                        "path",
                        format!("is also matched by route/{}", duplicate.name),
                    );
                }
            }
        }
    }

    /// Returns another route that matches exactly the same requests.
    fn duplicate(&self, route: &Route) -> Option<&Route> {
        self.routes().find(|other| {
            other.name != route.name
                && other.host == route.host
                && other.path == route.path
                && other.methods == route.methods
                && other.proxies == route.proxies
        })
    }

    /// Checks that no resource refers to the deleted resource `key`.
    fn check_deleted(&self, key: &Key, problems: &mut Vec<Problem>) {
        let mut add_reference = |from: Key, field: &str| {
            problems.push(Problem::new(
                &from,
                field,
                format!("refers to {key}, which the change deletes"),
            ));
        };
        match key.kind {
            Kind::Policy => {
                for service in self.services().filter(|s| s.policy == key.name) {
                    add_reference(
                        Key {
                            kind: Kind::Service,
                            name: service.name.clone(),
                        },
                        "policy",
                    );
                }
            }
            Kind::Service => {
                for route in self.routes().filter(|r| r.service == key.name) {
                    add_reference(
                        Key {
                            kind: Kind::Route,
                            name: route.name.clone(),
                        },
                        "service",
                    );
                }
            }
            // A boundary selects failure domains by label, not by name;
            // `check_destinations` covers it.
            Kind::Domain | Kind::Boundary | Kind::Route => {}
        }
    }

    /// Checks that requests of a routed service may be sent to at least one
    /// failure domain from each failure domain to which boundaries of the
    /// service apply. A change of labels alone can break this.
    fn check_destinations(&self, name: &Name, problems: &mut Vec<Problem>) {
        let Some(service) = self.service(name) else {
            return;
        };
        if !self.routes().any(|route| route.service == *name) {
            return;
        }
        let key = Key {
            kind: Kind::Service,
            name: name.clone(),
        };
        let covering: Vec<&Boundary> = self
            .boundaries()
            .filter(|b| b.services.matches(&service.labels))
            .collect();
        if covering.is_empty() {
            problems.push(Problem::new(
                &key,
                "",
                "is routed but no boundary says where it may go",
            ));
            return;
        }
        for domain in self.domains() {
            let applying: Vec<&&Boundary> = covering
                .iter()
                .filter(|b| b.from.matches(&domain.labels))
                .collect();
            let has_destination = self
                .domains()
                .any(|to| applying.iter().all(|b| b.to.matches(&to.labels)));
            if !has_destination {
                let names: BTreeSet<&str> = applying.iter().map(|b| b.name.as_str()).collect();
                let names: Vec<&str> = names.into_iter().collect();
                let what = format!(
                    "may go nowhere from domain/{}: {} leave no failure domain",
                    domain.name,
                    names.join(" and ")
                );
                problems.push(Problem::new(&key, "labels", what));
            }
        }
    }
}

/// What has to be checked and recomputed after a change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Touched {
    /// The resources that the change names.
    pub keys: BTreeSet<Key>,
    /// The services whose policy, boundaries or routes may have changed.
    pub services: BTreeSet<Name>,
}

impl Touched {
    fn between(old: &ResourceSet, new: &ResourceSet, ops: &[Op]) -> Self {
        let keys: BTreeSet<Key> = ops.iter().map(Op::key).collect();
        let mut services = BTreeSet::new();
        let has_domain = keys.iter().any(|key| key.kind == Kind::Domain);
        for set in [old, new] {
            // A failure domain can affect every service.
            if has_domain {
                services.extend(set.services().map(|s| s.name.clone()));
                continue;
            }
            for key in &keys {
                set.add_affected_services(key, &mut services);
            }
        }
        Self { keys, services }
    }
}

impl ResourceSet {
    /// Adds the services that the resource `key` affects.
    fn add_affected_services(&self, key: &Key, services: &mut BTreeSet<Name>) {
        let Some(stored) = self.get(key) else { return };
        match &stored.resource {
            Resource::Domain(_) => {}
            Resource::Service(service) => {
                services.insert(service.name.clone());
            }
            Resource::Policy(policy) => {
                let using = self.services().filter(|s| s.policy == policy.name);
                services.extend(using.map(|s| s.name.clone()));
            }
            Resource::Boundary(boundary) => {
                let covered = self
                    .services()
                    .filter(|s| boundary.services.matches(&s.labels));
                services.extend(covered.map(|s| s.name.clone()));
            }
            Resource::Route(route) => {
                services.insert(route.service.clone());
            }
        }
    }
}
