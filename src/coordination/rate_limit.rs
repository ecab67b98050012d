//! The exchange of counts behind the limits on teams' requests.
//!
//! The first-ranked node of each failure domain is its pool. Each node reports its counts to
//! the pool of its domain, and the pool answers with the shares to admit; the pools of
//! different domains report to each other. A node that takes another one for the pool does no
//! harm: a pool distributes only the fractions of the nodes that report to it. The decisions
//! are made in [`rate_limit`](crate::coordination::decision::rate_limit).
//!
//! Nothing is sent while no team of the version in force has a limit.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::{
        Error,
        decision::rate_limit::{Counter, Exceeded, Pool, Report, Shares},
        interface::{CallPeer, PeerRequest},
    },
    id::{Incarnation, Name, Node},
    state::{routing, team::Team},
};

/// The pause between two reports of a node. A team that sends many times its limit is admitted
/// for about this long before its share falls.
const REPORT_PAUSE: Duration = Duration::from_millis(250);

/// The counts of this node, and the pool if other nodes report to this one.
#[derive(Debug, Default)]
pub struct RateLimits {
    counter: Mutex<Counter>,
    pool: Mutex<Pool>,
}

/// What the exchange needs to know of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// The version of the routes in force, if there is one.
    pub routes: Option<Arc<routing::Table>>,
    /// The number of nodes that share each limit.
    pub nodes: usize,
    /// The pool of this node's failure domain; `None` if this node is the pool.
    pub pool: Option<(Node, SocketAddr)>,
    /// The pools of the other failure domains.
    pub others: Vec<(Node, SocketAddr)>,
}

/// What the exchange is handed.
pub struct Exchange {
    /// The name of this node.
    pub node: Node,
    /// The counts and the pool.
    pub limits: Arc<RateLimits>,
    /// Returns the current view of the fleet.
    pub view: Arc<dyn Fn() -> View + Send + Sync>,
    /// Sends a request to a peer.
    pub call_peer: CallPeer,
    /// Is called with a pool that did not answer, so that a later view names another one.
    pub on_silent: Arc<dyn Fn(&Node) + Send + Sync>,
    /// Is notified when a version comes into force.
    pub version_changed: Arc<Notify>,
}

impl RateLimits {
    /// Counts a request of a team, and decides whether it is admitted. `nodes` is the number of
    /// nodes that share the limit.
    ///
    /// # Errors
    ///
    /// If the request exceeds the team's limit.
    pub fn admit(&self, team: &Team, nodes: usize, now: Instant) -> Result<(), Exceeded> {
        let Some(limit) = team.limit else {
            return Ok(());
        };
        let mut counter = self.counter.lock();
        counter.admit(&team.name, limit, nodes, fastrand::f64(), now)
    }

    /// Records that an admitted request of a team certainly did not run.
    pub fn refund(&self, team: &Name) {
        self.counter.lock().refund(team);
    }

    /// Takes in a report of another node, and returns the shares that apply to it.
    ///
    /// `nodes` is the number of nodes that share each limit of `routes`.
    pub fn receive(
        &self,
        report: Report,
        routes: &routing::Table,
        nodes: usize,
        now: Instant,
    ) -> Shares {
        let limit = |team: &Name| routes.teams.get(team)?.limit;
        let mut pool = self.pool.lock();
        pool.record(report, limit, nodes, now);
        pool.shares(limit, nodes, now)
    }

    fn retain(&self, routes: &routing::Table, now: Instant) {
        let has_limit = |team: &Name| routes.teams.get(team).is_some_and(|t| t.limit.is_some());
        self.counter.lock().retain(has_limit);
        self.pool.lock().retain(has_limit, now);
    }
}

/// Reports the counts of this node periodically, and as a pool those of its failure domain;
/// never returns.
pub async fn run(exchange: Exchange) {
    // Tells the counts of this process from those of an earlier one.
    let incarnation = Incarnation(fastrand::u64(..));
    loop {
        let view = (exchange.view)();
        let routes = view.routes.as_ref();
        match routes.filter(|routes| routes.teams.has_limits()) {
            Some(routes) => {
                exchange.limits.retain(routes, Instant::now());
                exchange.report(&view, routes, incarnation).await;
                tokio::time::sleep(REPORT_PAUSE.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
            }
            None => exchange.version_changed.notified().await,
        }
    }
}

impl Exchange {
    async fn report(&self, view: &View, routes: &routing::Table, incarnation: Incarnation) {
        let report = Report {
            from: self.node.clone(),
            incarnation,
            nodes: 1,
            is_pool: false,
            counts: self.limits.counter.lock().counts(),
        };
        let shares = match &view.pool {
            Some((node, address)) => self.send(node, *address, report).await,
            None => {
                let limits = &self.limits;
                Some(limits.receive(report, routes, view.nodes, Instant::now()))
            }
        };
        if let Some(shares) = shares {
            let mut counter = self.limits.counter.lock();
            counter.set_shares(shares, Instant::now());
        }
        if view.pool.is_some() {
            return;
        }
        let (nodes, counts) = self.limits.pool.lock().own(Instant::now());
        let report = Report {
            from: self.node.clone(),
            incarnation,
            nodes,
            is_pool: true,
            counts,
        };
        let sent = view
            .others
            .iter()
            .map(|(node, address)| self.send(node, *address, report.clone()));
        // The other pools' shares apply to their own nodes; this pool decides for its own.
        join_all(sent).await;
    }

    /// Sends a report; returns the shares in the answer.
    async fn send(&self, node: &Node, address: SocketAddr, report: Report) -> Option<Shares> {
        match (self.call_peer)(address, PeerRequest::Counts(report)).await {
            Ok(answer) => rmp_serde::from_slice(&answer).ok(),
            // It has no version yet, or is of an earlier release. This node stays out of touch
            // until it answers.
            Err(Error::Unexpected(_)) => None,
            Err(_) => {
                (self.on_silent)(node);
                None
            }
        }
    }
}
