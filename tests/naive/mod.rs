//! The naive version: it keeps a plain list, looks at everything after every
//! change and computes every view from nothing. Slow, and plainly right.

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
    /// Applies a change; returns whether it is accepted.
    pub fn apply(&mut self, ops: &[Op]) -> bool {
        let mut next = self.clone();
        let done = ops.iter().all(|op| next.step(op));
        let accepted = done && next.is_sound();
        if accepted {
            *self = next;
        }
        accepted
    }

    fn step(&mut self, op: &Op) -> bool {
        let at = self.resources.iter().position(|r| r.key() == op.key());
        match (op, at) {
            (Op::Put(resource), None) => self.resources.push(resource.clone()),
            (Op::Put(resource), Some(at)) => self.resources[at] = resource.clone(),
            (Op::Delete(_), Some(at)) => drop(self.resources.remove(at)),
            (Op::Label { set, remove, .. }, Some(at)) => {
                let Some(labels) = self.resources[at].labels_mut() else {
                    return false;
                };
                labels.extend(set.clone());
                remove.iter().for_each(|key| drop(labels.remove(key)));
            }
            (_, None) => return false,
        }
        true
    }

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

    fn is_sound(&self) -> bool {
        self.resources.iter().all(|r| self.is_well_formed(r))
            && self.services().iter().all(|s| self.has_somewhere(s))
    }

    fn is_well_formed(&self, resource: &Resource) -> bool {
        match resource {
            Resource::Domain(_) => true,
            Resource::Service(s) => self
                .resources
                .iter()
                .any(|r| matches!(r, Resource::Policy(p) if p.name == s.policy)),
            Resource::Policy(p) => {
                let hedge = p
                    .hedge_after
                    .is_none_or(|after| after < p.timeout && p.repeat != Repeat::Never);
                p.slots > 0 && p.timeout.as_millis() > 0 && hedge
            }
            Resource::Boundary(b) => [&b.services, &b.from, &b.proxies, &b.to]
                .iter()
                .all(|s| is_selector(s)),
            Resource::Route(r) => {
                let same = |o: &&&Route| {
                    (&o.host, &o.path, &o.methods, &o.proxies)
                        == (&r.host, &r.path, &r.methods, &r.proxies)
                };
                let methods = r
                    .methods
                    .iter()
                    .all(|m| !m.is_empty() && m.chars().all(|c| c.is_ascii_uppercase()));
                r.path.starts_with('/')
                    && methods
                    && is_selector(&r.proxies)
                    && self.services().iter().any(|s| s.name == r.service)
                    && self.routes().iter().filter(same).count() == 1
            }
        }
    }

    fn has_somewhere(&self, service: &Service) -> bool {
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

    /// Where a proxy may send requests of a service.
    pub fn allowed(&self, service: &Name, from: &Name, labels: &Labels) -> BTreeSet<Name> {
        let mut allowed = BTreeSet::new();
        let Some(service) = self.services().into_iter().find(|s| s.name == *service) else {
            return allowed;
        };
        let Some(from) = self.domains().into_iter().find(|d| d.name == *from) else {
            return allowed;
        };
        for to in self.domains() {
            let mut applying = 0;
            let mut open = true;
            for b in self.boundaries() {
                if matches(&b.services, &service.labels)
                    && matches(&b.from, &from.labels)
                    && matches(&b.proxies, labels)
                {
                    applying += 1;
                    open &= matches(&b.to, &to.labels);
                }
            }
            if applying > 0 && open {
                allowed.insert(to.name.clone());
            }
        }
        allowed
    }

    /// The routes a proxy carries, by name.
    pub fn routes_of(&self, labels: &Labels) -> BTreeSet<Name> {
        self.routes()
            .iter()
            .filter(|r| matches(&r.proxies, labels))
            .map(|r| r.name.clone())
            .collect()
    }
}

/// Whether a selector selects by something and says so rightly.
pub fn is_selector(selector: &Selector) -> bool {
    let parts = selector.match_labels.len() + selector.match_expressions.len();
    let expressions = selector.match_expressions.iter().all(|e| match e.operator {
        Operator::In | Operator::NotIn => !e.values.is_empty(),
        Operator::Exists | Operator::DoesNotExist => e.values.is_empty(),
    });
    (selector.all && parts == 0) || (!selector.all && parts > 0 && expressions)
}

/// Whether labels meet a selector.
pub fn matches(selector: &Selector, labels: &Labels) -> bool {
    for (key, value) in &selector.match_labels {
        if !labels.iter().any(|(k, v)| k == key && v == value) {
            return false;
        }
    }
    selector.match_expressions.iter().all(|e| meets(e, labels))
}

fn meets(expression: &Expression, labels: &Labels) -> bool {
    let values: Vec<&String> = labels
        .iter()
        .filter(|(k, _)| **k == expression.key)
        .map(|(_, v)| v)
        .collect();
    let listed = values
        .iter()
        .any(|v| expression.values.iter().any(|w| w == *v));
    match expression.operator {
        Operator::In => listed,
        Operator::NotIn => !listed,
        Operator::Exists => !values.is_empty(),
        Operator::DoesNotExist => values.is_empty(),
    }
}
