//! The exchange of load reports between the nodes of a replay.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use rilltrack::protocol::dialect::Load;

use super::fleet::Fleet;

/// The load reports that the other nodes have not received yet, by host, oldest first.
#[derive(Default)]
pub struct Exchange {
    sent: HashMap<usize, VecDeque<(Instant, Load)>>,
}

impl Exchange {
    /// Sends a report of the target's load at a host.
    pub fn report(&mut self, fleet: &Fleet, host: usize, now: Instant) {
        let load = fleet.hosts[host].queue.load(now);
        self.sent.entry(host).or_default().push_back((now, load));
    }

    /// Passes the oldest report of a host to the balancers of all other nodes.
    pub fn deliver(&mut self, fleet: &mut Fleet, reporter: usize, now: Instant) {
        let sent = self.sent.get_mut(&reporter);
        let Some((at, load)) = sent.and_then(VecDeque::pop_front) else {
            return;
        };
        let member = fleet.hosts[reporter].member.clone();
        for (number, host) in fleet.hosts.iter_mut().enumerate() {
            if number != reporter {
                host.balancer.record_load(&member, load, at, now);
            }
        }
    }
}
