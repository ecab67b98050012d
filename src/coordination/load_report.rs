//! The exchange of the loads of targets.
//!
//! Each node reports the load of its target to the first-ranked node of its failure domain, which
//! answers with the loads of the services that the node uses. The first-ranked nodes of different
//! domains report the loads of their domains to each other. The reports are sent at a fixed
//! pace, whether or not there are requests. What they imply for a request is decided in
//! [`load_report`](crate::coordination::decision::load_report).
//!
//! A node that receives no reports knows nothing after
//! [`MAX_AGE`](crate::coordination::decision::load_report::MAX_AGE) and goes by its own
//! observations. Nothing is sent while neither the version in force, the target here nor the
//! setting calls for it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    coordination::{
        Error,
        decision::{
            load_report::{Board, Drain, NoRoom, Reported, Room},
            queue::Arrival,
        },
        interface::{CallPeer, PeerRequest},
    },
    id::{Name, Node},
    protocol::{
        dialect::{Load, Slowness},
        load_report::{Entry, Id, MAX_ENTRIES, MAX_WANTED, Message, Reply, State},
    },
    state::{member::Member, routing},
};

/// The pause between two reports of a node. With the way over two first-ranked nodes, the loads
/// of other failure domains are then known with an age of 0.4 s at most.
const REPORT_PAUSE: Duration = Duration::from_millis(200);

/// The shortest pause between two searches of all members for unknown targets. An entry may
/// arrive before the record of its member.
const INDEX_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two log lines about entries out of bounds.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// The reports after which nodes that have left are forgotten: about ten seconds.
const PRUNE_ROUNDS: u64 = 50;

/// The loads that this node knows. Shared by the tasks that exchange them and those that send
/// requests.
#[derive(Debug, Default)]
pub struct LoadReports {
    board: Mutex<Board>,
    index: Mutex<Index>,
    unusable: Mutex<Unusable>,
    is_enabled: AtomicBool,
    /// Whether the setting disables the exchange whatever calls for it.
    is_disabled: AtomicBool,
    /// Wakes the exchange: a version came into force, the target here states its slowness, or
    /// another node reported to this one.
    pub changed: Notify,
}

/// The members by the ids of their targets.
#[derive(Debug, Default)]
struct Index {
    members: HashMap<Id, (Arc<Member>, Name)>,
    built_at: Option<Instant>,
}

/// Entries out of bounds since the last log line about them.
#[derive(Debug, Default)]
struct Unusable {
    count: usize,
    logged_at: Option<Instant>,
}

/// Loads that were taken in, for target selection.
pub type Loads = Vec<Taken>;

/// The load of a target that was taken in.
#[derive(Clone, Debug)]
pub struct Taken {
    /// The node beside the target.
    pub member: Arc<Member>,
    /// The load of the target.
    pub load: Load,
    /// The slowness that the target states, if it states one.
    pub slowness: Option<Slowness>,
    /// When both were taken.
    pub at: Instant,
}

/// What the exchange needs to know of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// The version of the routes in force, if there is one.
    pub routes: Option<Arc<routing::Table>>,
    /// The first-ranked node of this node's failure domain; `None` if this node is it.
    pub first: Option<(Node, SocketAddr)>,
    /// The first-ranked nodes of the other failure domains.
    pub others: Vec<(Node, SocketAddr)>,
}

/// What the exchange is handed.
pub struct Exchange {
    /// The name of this node.
    pub node: Node,
    /// The failure domain of this node.
    pub domain: Name,
    /// The setting `load_reports`.
    pub setting: Option<bool>,
    /// Takes in the loads that other nodes report.
    pub intake: Arc<Intake>,
    /// Returns the current view of the fleet.
    pub view: Arc<dyn Fn() -> View + Send + Sync>,
    /// Returns this node's record and the load of its target, if the gate has one.
    pub own: Arc<dyn Fn() -> Option<(Arc<Member>, State)> + Send + Sync>,
    /// Returns whether the target here or one that this node sent to states its slowness.
    pub states_slowness: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Sends a request to a peer.
    pub call_peer: CallPeer,
    /// Is called with a first-ranked node that did not answer, so that a later view names
    /// another one.
    pub on_silent: Arc<dyn Fn(&Node) + Send + Sync>,
}

/// Takes in the loads that other nodes report.
pub struct Intake {
    /// The loads that this node knows.
    pub reports: Arc<LoadReports>,
    /// Returns all members.
    pub members: Members,
    /// Is called with loads that were taken in, for target selection.
    pub on_loads: Arc<dyn Fn(Loads) + Send + Sync>,
    /// Is called at most once a second with a node whose entries were out of bounds,
    /// their number since the last call, from all nodes, and what was wrong with the first.
    pub on_unusable: OnUnusable,
}

/// Is called with a node, a number of entries and what is wrong with them.
pub type OnUnusable = Arc<dyn Fn(&Node, usize, &str) + Send + Sync>;

/// Returns all members of the table.
pub type Members = Arc<dyn Fn() -> Vec<Arc<Member>> + Send + Sync>;

/// Returns whether the loads are exchanged under a version: some team has a priority or a limit.
pub fn is_called_for(routes: &routing::Table) -> bool {
    let mut teams = routes.teams.iter();
    teams.any(|team| team.priority.is_some() || team.limit.is_some())
}

impl LoadReports {
    /// Returns whether this node takes part in the exchange now.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled.load(Ordering::Relaxed)
    }

    /// Wakes the exchange, unless it is enabled already, because a target states its slowness.
    pub fn enable_soon(&self) {
        if !self.is_disabled.load(Ordering::Relaxed) && !self.is_enabled() {
            self.changed.notify_one();
        }
    }

    /// Records that a request for a service arrived here, so that its loads are asked for.
    pub fn note_sent(&self, service: &Name, now: Instant) {
        if self.is_enabled() {
            self.board.lock().note_sent(service, now);
        }
    }

    /// Takes in the load that a target's node stated with a response.
    pub fn observe(&self, member: &Member, load: Load, now: Instant) {
        if self.is_enabled() {
            self.board.lock().observe(member, load, now);
        }
    }

    /// Returns what is known of `targets` if none of them has room for a request, or `None` if
    /// one may have. `own_wait` returns, for the target beside this node, how long it takes
    /// until it would admit the request, if it doesn't now.
    pub fn no_room<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<Member>>,
        own: &Node,
        own_wait: impl Fn() -> Option<Duration>,
        arrival: &Arrival,
        now: Instant,
    ) -> Option<NoRoom> {
        let board = self.board.lock();
        let rooms = targets.map(|member| match member.node == *own {
            true => own_wait().map_or(Room::Expected, |wait| Room::Full {
                wait,
                age: Duration::ZERO,
            }),
            false => board.room(member, arrival, Drain::SinceReport, now),
        });
        NoRoom::of(rooms)
    }

    /// Returns whether a target may be asked after another one refused the request for lack of
    /// capacity: by its latest report it is expected to admit the request, or it is unknown.
    pub fn may_ask(&self, member: &Member, arrival: &Arrival, now: Instant) -> bool {
        let room = self.board.lock().room(member, arrival, Drain::None, now);
        !matches!(room, Room::Full { .. })
    }

    /// Returns all loads that this node knows, for operators.
    pub fn reported(&self, now: Instant) -> Vec<Reported> {
        self.board.lock().reported(now)
    }

    /// Returns of the targets of the services that this node uses how many have a fresh report,
    /// and how many don't. `providers` returns the members with a target of a service.
    pub fn counts(
        &self,
        providers: impl Fn(&Name) -> Vec<Arc<Member>>,
        now: Instant,
    ) -> (usize, usize) {
        if !self.is_enabled() {
            return (0, 0);
        }
        let wanted = self.board.lock().wanted(now);
        let members: Vec<Arc<Member>> = wanted.iter().flat_map(providers).collect();
        let board = self.board.lock();
        let fresh = members.iter().filter(|member| board.is_known(member, now));
        let fresh = fresh.count();
        (fresh, members.len() - fresh)
    }
}

impl Intake {
    /// Takes in a message of another node; returns the answer.
    pub fn receive(&self, mut message: Message, now: Instant) -> Reply {
        if let Some(surplus @ 1..) = message.wanted.len().checked_sub(MAX_WANTED) {
            self.note_unusable(&message.from, surplus, "the number of services", now);
            message.wanted.truncate(MAX_WANTED);
        }
        self.take(&message.from, message.entries, now, now);
        self.reports.changed.notify_one();
        if message.is_domain {
            return Reply::default();
        }
        let is_included = |member: &Member, service: &Name| {
            member.node != message.from && message.wanted.contains(service)
        };
        Reply {
            entries: self.reports.board.lock().entries(is_included, now),
        }
    }

    /// Takes in entries whose ages are counted from `sent_at`.
    fn take(&self, from: &Node, mut entries: Vec<Entry>, sent_at: Instant, now: Instant) {
        if entries.len() > MAX_ENTRIES {
            self.note_unusable(
                from,
                entries.len() - MAX_ENTRIES,
                "the number of entries",
                now,
            );
            entries.truncate(MAX_ENTRIES);
        }
        let mut found = Vec::with_capacity(entries.len());
        // The members are looked up before the board is locked: those that send requests lock
        // the board while they read the members.
        let mut index = self.reports.index.lock();
        for entry in entries {
            if let Err(fault) = entry.check() {
                self.note_unusable(from, 1, &fault.to_string(), now);
                continue;
            }
            let age = Duration::from_millis(entry.age.unsigned_abs());
            let at = sent_at.checked_sub(age);
            let target = index.find(entry.id, &self.members, now);
            if let (Some(at), Some((member, service))) = (at, target) {
                found.push((member.clone(), service.clone(), at, entry));
            }
        }
        drop(index);
        let mut loads = Vec::with_capacity(found.len());
        let mut board = self.reports.board.lock();
        for (member, service, at, entry) in found {
            let load = Load {
                running: entry.state.running,
                waiting: entry.state.waiting,
                slots: entry.state.slots,
            };
            let slowness = entry.state.slowness.map(u32::from);
            if board.record(&member, &service, entry, at, now) {
                loads.push(Taken {
                    member,
                    load,
                    slowness: slowness.map(Slowness::from_hundredths),
                    at,
                });
            }
        }
        drop(board);
        if !loads.is_empty() {
            (self.on_loads)(loads);
        }
    }

    fn note_unusable(&self, from: &Node, count: usize, why: &str, now: Instant) {
        let mut unusable = self.reports.unusable.lock();
        unusable.count += count;
        let is_due = unusable
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_PAUSE);
        if is_due {
            (self.on_unusable)(from, unusable.count, why);
            *unusable = Unusable {
                count: 0,
                logged_at: Some(now),
            };
        }
    }
}

impl Index {
    /// Returns the member with the target of an id, and the target's service. All members are
    /// searched if it isn't known, but not more often than each [`INDEX_PAUSE`].
    fn find(&mut self, id: Id, members: &Members, now: Instant) -> Option<&(Arc<Member>, Name)> {
        let is_due = self
            .built_at
            .is_none_or(|at| now.saturating_duration_since(at) >= INDEX_PAUSE);
        if !self.members.contains_key(&id) && is_due {
            self.build(&members(), now);
        }
        self.members.get(&id)
    }

    fn build(&mut self, members: &[Arc<Member>], now: Instant) {
        self.built_at = Some(now);
        self.members.clear();
        let mut ambiguous = Vec::new();
        for member in members {
            for target in &member.targets {
                let id = Id::of(member, target);
                let found = (member.clone(), target.service.clone());
                if self.members.insert(id, found).is_some() {
                    ambiguous.push(id);
                }
            }
        }
        // Two targets with the same hash stay unknown.
        for id in ambiguous {
            self.members.remove(&id);
        }
    }
}

/// Messages to the first-ranked nodes of other failure domains that have no answer yet.
#[derive(Default)]
struct Unanswered<'a> {
    nodes: HashSet<Node>,
    /// Each returns the node when it has answered or failed to.
    sends: FuturesUnordered<BoxFuture<'a, Node>>,
}

impl Unanswered<'_> {
    /// Waits until all have answered, or until `end`.
    async fn wait(&mut self, end: Instant) {
        let all = async {
            while let Some(node) = self.sends.next().await {
                self.nodes.remove(&node);
            }
        };
        // What is left then is awaited in the next round.
        let _ = tokio::time::timeout_at(end.into(), all).await;
    }
}

/// Reports the load of this node's target periodically, and as the first-ranked node those of its
/// failure domain. Returns at once if the setting disables the exchange, and else never.
pub async fn run(exchange: Exchange) {
    if exchange.setting == Some(false) {
        let is_disabled = &exchange.reports().is_disabled;
        is_disabled.store(true, Ordering::Relaxed);
        return;
    }
    let mut unanswered = Unanswered::default();
    let mut sequence = 0;
    loop {
        let view = (exchange.view)();
        if !exchange.is_called_for(&view) {
            exchange
                .reports()
                .is_enabled
                .store(false, Ordering::Relaxed);
            exchange.reports().changed.notified().await;
            continue;
        }
        exchange.reports().is_enabled.store(true, Ordering::Relaxed);
        sequence += 1;
        let next = Instant::now() + REPORT_PAUSE.mul_f64(0.9 + 0.2 * fastrand::f64());
        exchange.report(&view, sequence, &mut unanswered).await;
        unanswered.wait(next).await;
        tokio::time::sleep_until(next.into()).await;
    }
}

impl Exchange {
    fn reports(&self) -> &LoadReports {
        &self.intake.reports
    }

    /// Returns whether this node takes part: by the setting, or else the version in force, the
    /// target here, or reports of other nodes to this one as the first-ranked.
    fn is_called_for(&self, view: &View) -> bool {
        if let Some(is_enabled) = self.setting {
            return is_enabled;
        }
        let is_in_version = view.routes.as_deref().is_some_and(is_called_for);
        is_in_version || (self.states_slowness)()
            // The others receive reports, too, as answers to their own. If these counted, nodes
            // would keep each other enabled after the reason has ended.
            || (view.first.is_none() && self.has_reports())
    }

    /// Returns whether other nodes of the failure domain report to this one.
    fn has_reports(&self) -> bool {
        let is_reporter =
            |member: &Member| member.domain == self.domain && member.node != self.node;
        let board = self.reports().board.lock();
        board.has_fresh(is_reporter, Instant::now())
    }

    async fn report<'a>(&'a self, view: &View, sequence: u64, unanswered: &mut Unanswered<'a>) {
        let sampled = Instant::now();
        let own = (self.own)().and_then(|(member, state)| {
            let target = member.targets.first()?;
            let (service, id) = (target.service.clone(), Id::of(&member, target));
            let entry = Entry {
                id,
                sequence,
                age: 0,
                state,
            };
            // While the target has no slots, others know nothing of it.
            entry.check().is_ok().then_some((member, service, entry))
        });
        if sequence.is_multiple_of(PRUNE_ROUNDS) {
            let members = (self.intake.members)();
            // Entries of earlier processes lead to records that are no longer in the table.
            self.reports().index.lock().build(&members, sampled);
            let known: HashSet<&Node> = members.iter().map(|member| &member.node).collect();
            let mut board = self.reports().board.lock();
            board.retain(|node| known.contains(node), sampled);
        }
        let (own_entry, wanted) = {
            let mut board = self.reports().board.lock();
            let entry = own.map(|(member, service, entry)| {
                board.record(&member, &service, entry.clone(), sampled, sampled);
                entry
            });
            (entry, board.wanted(sampled))
        };
        if let Some((node, address)) = &view.first {
            let message = Message {
                from: self.node.clone(),
                is_domain: false,
                wanted,
                entries: own_entry.into_iter().collect(),
            };
            if let Some(reply) = self.send(node, *address, message).await {
                // The answer was composed at some time after the message was sent. Counted from
                // then, an age is too high by at most the round trip, and never too low.
                let intake = &self.intake;
                intake.take(node, reply.entries, sampled, Instant::now());
            }
            return;
        }
        let is_own_domain = |member: &Member, _: &Name| member.domain == self.domain;
        let entries = self.reports().board.lock().entries(is_own_domain, sampled);
        let message = Message {
            from: self.node.clone(),
            is_domain: true,
            wanted: Vec::new(),
            entries,
        };
        // A node that hasn't answered yet doesn't delay the messages to the others, whose entries
        // would expire.
        for (node, address) in &view.others {
            if !unanswered.nodes.insert(node.clone()) {
                continue;
            }
            let (node, address, message) = (node.clone(), *address, message.clone());
            let send = async move {
                self.send(&node, address, message).await;
                node
            };
            unanswered.sends.push(send.boxed());
        }
    }

    /// Sends a message; returns the answer.
    async fn send(&self, node: &Node, address: SocketAddr, message: Message) -> Option<Reply> {
        match (self.call_peer)(address, PeerRequest::Loads(message)).await {
            Ok(answer) => rmp_serde::from_slice(&answer).ok(),
            // It is of an earlier release, or its setting disables the exchange. What it would
            // tell stays unknown.
            Err(Error::Unexpected(_)) => None,
            Err(_) => {
                (self.on_silent)(node);
                None
            }
        }
    }
}
