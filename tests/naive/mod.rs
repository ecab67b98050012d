//! The naive implementation, simple enough to be checked by reading. It keeps a list of
//! resources, checks all of them after every change and computes every view from scratch.

use std::collections::{BTreeMap, BTreeSet};

use rilltrack::{
    id::Name,
    state::{
        change::Op,
        resource::{Boundary, Domain, Repeat, Resource, Route, Service},
        selector::{Expression, Labels, Operator, Selector},
    },
};

#[derive(Clone, Default)]
pub struct Mesh {
    pub resources: Vec<Resource>,
}

impl Mesh {
    /// Applies a change. Returns whether it is accepted.
    pub fn apply(&mut self, ops: &[Op]) -> bool {
        let mut next = self.clone();
        let is_applied = ops.iter().all(|op| next.apply_op(op));
        let is_accepted = is_applied && next.is_valid();
        if is_accepted {
            *self = next;
        }
        is_accepted
    }

    fn apply_op(&mut self, op: &Op) -> bool {
        let index = self.resources.iter().position(|r| r.key() == op.key());
        match (op, index) {
            (Op::Put(resource), None) => self.resources.push(resource.clone()),
            (Op::Put(resource), Some(index)) => self.resources[index] = resource.clone(),
            (Op::Delete(_), Some(index)) => drop(self.resources.remove(index)),
            (Op::Label { set, remove, .. }, Some(index)) => {
                let Some(labels) = self.resources[index].labels_mut() else {
                    return false;
                };
                labels.extend(set.clone());
                remove.iter().for_each(|key| drop(labels.remove(key)));
            }
            (_, None) => return false,
        }
        true
    }

    /// Returns the resources in the order of their keys.
    pub fn sorted(&self) -> Vec<Resource> {
        let by_key: BTreeMap<_, _> = self
            .resources
            .iter()
            .map(|r| (r.key(), r.clone()))
            .collect();
        by_key.into_values().collect()
    }

    fn domains(&self) -> Vec<&Domain> {
        self.resources
            .iter()
            .filter_map(|r| {
                if let Resource::Domain(d) = r {
                    Some(d)
                } else {
                    None
                }
            })
            .collect()
    }

    fn services(&self) -> Vec<&Service> {
        self.resources
            .iter()
            .filter_map(|r| {
                if let Resource::Service(s) = r {
                    Some(s)
                } else {
                    None
                }
            })
            .collect()
    }

    fn boundaries(&self) -> Vec<&Boundary> {
        self.resources
            .iter()
            .filter_map(|r| {
                if let Resource::Boundary(b) = r {
                    Some(b)
                } else {
                    None
                }
            })
            .collect()
    }

    fn routes(&self) -> Vec<&Route> {
        self.resources
            .iter()
            .filter_map(|r| {
                if let Resource::Route(r) = r {
                    Some(r)
                } else {
                    None
                }
            })
            .collect()
    }

    fn is_valid(&self) -> bool {
        self.resources.iter().all(|r| self.is_well_formed(r))
            && self.services().iter().all(|s| self.has_destinations(s))
    }

    fn is_well_formed(&self, resource: &Resource) -> bool {
        match resource {
            Resource::Domain(_) => true,
            Resource::Service(s) => self
                .resources
                .iter()
                .any(|r| matches!(r, Resource::Policy(p) if p.name == s.policy)),
            Resource::Policy(p) => {
                let has_valid_hedge = p
                    .hedge_after
                    .is_none_or(|after| after < p.timeout && p.repeat != Repeat::Never);
                p.slots > 0 && p.timeout.as_millis() > 0 && has_valid_hedge
            }
            Resource::Boundary(b) => [&b.services, &b.from, &b.proxies, &b.to]
                .iter()
                .all(|s| is_valid_selector(s)),
            Resource::Route(r) => {
                let has_same_match = |o: &&&Route| {
                    (&o.host, &o.path, &o.methods, &o.proxies)
                        == (&r.host, &r.path, &r.methods, &r.proxies)
                };
                let has_valid_methods = r
                    .methods
                    .iter()
                    .all(|m| !m.is_empty() && m.chars().all(|c| c.is_ascii_uppercase()));
                r.path.starts_with('/')
                    && has_valid_methods
                    && is_valid_selector(&r.proxies)
                    && self.services().iter().any(|s| s.name == r.service)
                    && self.routes().iter().filter(has_same_match).count() == 1
            }
        }
    }

    fn has_destinations(&self, service: &Service) -> bool {
        if !self.routes().iter().any(|r| r.service == service.name) {
            return true;
        }
        let covering: Vec<_> = self
            .boundaries()
            .into_iter()
            .filter(|b| matches(&b.services, &service.labels))
            .collect();
        !covering.is_empty()
            && self.domains().iter().all(|from| {
                self.domains().iter().any(|to| {
                    covering
                        .iter()
                        .filter(|b| matches(&b.from, &from.labels))
                        .all(|b| matches(&b.to, &to.labels))
                })
            })
    }

    /// Returns the failure domains to which a proxy may send requests of a service.
    pub fn allowed(&self, service: &Name, from: &Name, labels: &Labels) -> BTreeSet<Name> {
        let mut allowed = BTreeSet::new();
        let Some(service) = self.services().into_iter().find(|s| s.name == *service) else {
            return allowed;
        };
        let Some(from) = self.domains().into_iter().find(|d| d.name == *from) else {
            return allowed;
        };
        for to in self.domains() {
            let mut applying_count = 0;
            let mut is_selected = true;
            for b in self.boundaries() {
                if matches(&b.services, &service.labels)
                    && matches(&b.from, &from.labels)
                    && matches(&b.proxies, labels)
                {
                    applying_count += 1;
                    is_selected &= matches(&b.to, &to.labels);
                }
            }
            if applying_count > 0 && is_selected {
                allowed.insert(to.name.clone());
            }
        }
        allowed
    }

    /// Returns the names of the routes that a proxy with these labels uses.
    pub fn routes_of(&self, labels: &Labels) -> BTreeSet<Name> {
        self.routes()
            .iter()
            .filter(|r| matches(&r.proxies, labels))
            .map(|r| r.name.clone())
            .collect()
    }
}

/// Returns whether a selector has at least one part and all of its parts are valid.
pub fn is_valid_selector(selector: &Selector) -> bool {
    let parts = selector.match_labels.len() + selector.match_expressions.len();
    let has_valid_expressions = selector.match_expressions.iter().all(|e| match e.operator {
        Operator::In | Operator::NotIn => !e.values.is_empty(),
        Operator::Exists | Operator::DoesNotExist => e.values.is_empty(),
    });
    (selector.all && parts == 0) || (!selector.all && parts > 0 && has_valid_expressions)
}

/// Returns whether labels match a selector.
pub fn matches(selector: &Selector, labels: &Labels) -> bool {
    for (key, value) in &selector.match_labels {
        if !labels.iter().any(|(k, v)| k == key && v == value) {
            return false;
        }
    }
    selector
        .match_expressions
        .iter()
        .all(|e| matches_expression(e, labels))
}

fn matches_expression(expression: &Expression, labels: &Labels) -> bool {
    let values: Vec<&String> = labels
        .iter()
        .filter(|(k, _)| **k == expression.key)
        .map(|(_, v)| v)
        .collect();
    let is_listed = values
        .iter()
        .any(|v| expression.values.iter().any(|w| w == *v));
    match expression.operator {
        Operator::In => is_listed,
        Operator::NotIn => !is_listed,
        Operator::Exists => !values.is_empty(),
        Operator::DoesNotExist => values.is_empty(),
    }
}
