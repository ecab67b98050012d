//! Chooses the service that gets the next request of a split route.

use std::collections::HashMap;

use crate::{
    id::Name,
    state::routing::{Part, Route},
};

/// Smooth weighted round robin over the parts of each route.
///
/// It follows the weights closely in any run of consecutive requests. Random draws would miss
/// them in short windows.
#[derive(Debug, Default)]
pub struct Split {
    routes: HashMap<Name, RoundRobin>,
}

#[derive(Debug)]
struct RoundRobin {
    parts: Vec<Part>,
    /// The credit of each part: it grows by the part's weight with each request, and falls by
    /// the total weight when the part is chosen.
    credits: Vec<i64>,
}

impl Split {
    /// Returns the service that gets the next request of `route`.
    pub fn next(&mut self, route: &Route) -> Name {
        if let [only] = &route.parts[..] {
            return only.service.clone();
        }
        let round_robin = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| RoundRobin::new(&route.parts));
        if round_robin.parts != route.parts {
            *round_robin = RoundRobin::new(&route.parts);
        }
        round_robin.next()
    }
}

impl RoundRobin {
    fn new(parts: &[Part]) -> Self {
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        // Random initial credits keep the nodes from choosing in the same order.
        let credits = parts.iter().map(|_| fastrand::i64(0..total.max(1)));
        Self {
            parts: parts.to_vec(),
            credits: credits.collect(),
        }
    }

    fn next(&mut self) -> Name {
        let mut total = 0;
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
            total += i64::from(part.weight);
        }
        let weighted = (0..self.parts.len()).filter(|i| self.parts[*i].weight > 0);
        let next = weighted
            .max_by_key(|i| self.credits[*i])
            .expect("a route has a part with a weight above 0");
        self.credits[next] -= total;
        self.parts[next].service.clone()
    }
}
