//! Which service of a split route gets the next request.

use std::collections::HashMap;

use crate::{
    id::Name,
    state::routing::{Part, Route},
};

/// Deals the requests of each route to its parts by weight, evenly in any
/// stretch of requests: smooth weighted round robin.
///
/// Drawing by chance would miss the weights in short windows.
#[derive(Debug, Default)]
pub struct Split {
    routes: HashMap<Name, Deal>,
}

#[derive(Debug)]
struct Deal {
    parts: Vec<Part>,
    credits: Vec<i64>,
}

impl Split {
    /// Returns the service that gets the next request of `route`.
    pub fn next(&mut self, route: &Route) -> Name {
        if let [only] = &route.parts[..] {
            return only.service.clone();
        }
        let deal = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| Deal::new(&route.parts));
        if deal.parts != route.parts {
            *deal = Deal::new(&route.parts);
        }
        deal.next()
    }
}

impl Deal {
    fn new(parts: &[Part]) -> Self {
        let all: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        // Nodes start at different places, or all would deal alike.
        let credits = parts.iter().map(|_| fastrand::i64(0..all.max(1)));
        Self {
            parts: parts.to_vec(),
            credits: credits.collect(),
        }
    }

    fn next(&mut self) -> Name {
        let mut all = 0;
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
            all += i64::from(part.weight);
        }
        let weighted = (0..self.parts.len()).filter(|i| self.parts[*i].weight > 0);
        let next = weighted
            .max_by_key(|i| self.credits[*i])
            .expect("a route has a part with a weight");
        self.credits[next] -= all;
        self.parts[next].service.clone()
    }
}
