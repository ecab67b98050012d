//! State shared by the background tasks and the request path of one daemon.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use parking_lot::{Mutex, RwLock};
use tokio::sync::Semaphore;

use crate::{
    coordination::{
        apply::Applier,
        gossip::UpdateQueue,
        limiter::Limiters,
        memory::{Change, Memory},
    },
    event::{Event, Journal},
    id::Incarnation,
    metrics::Metrics,
    protocol::answer::Refusal,
    settings::Settings,
    state::{
        member::{Member, Status, Table, Target},
        version::Version,
        view::View,
    },
    unit::{Size, Span},
};

/// The most member records in a message whose new records are always relayed; those of
/// a larger message only if it has at most half as many records as the member table.
const MAX_ALWAYS_RELAYED: usize = 16;

/// Maximum number of large replies (snapshots, whole tables) sent concurrently.
/// When a whole failure domain restarts, its nodes request hundreds at once.
/// Without this limit the replies would take many times the memory that a node
/// may use.
const LARGE_REPLIES: usize = 8;

/// State of one daemon.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Address at which peers reach this node's control listener.
    pub peers: SocketAddr,
    /// Writer of log lines.
    pub journal: Journal,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// The view in force; `None` until the node holds a complete one.
    pub view: ArcSwapOption<View>,
    /// All known members, including this node.
    pub table: RwLock<Table>,
    /// Member records that still have to be sent to peers.
    pub updates: Mutex<UpdateQueue>,
    /// Admission to the targets on this host.
    pub limiters: Limiters,
    /// Handle to the thread that applies records.
    pub applier: Applier,
    /// The fault that keeps this node from following the log, if any.
    pub log_fault: Mutex<Option<LogFault>>,
    /// The memory for bodies of requests and answers that are not whole or not handled yet.
    pub bodies: Arc<Memory>,
    /// The memory for messages of peers, targets and operators.
    pub messages: Arc<Memory>,
    /// Permits for large replies to peers.
    pub large_replies: Arc<Semaphore>,
    /// Set once the daemon accepts no new work.
    pub stopping: AtomicBool,
    /// Set once peers have been asked for a view; the log may be read only then.
    pub joined: AtomicBool,
    /// The newest version whose records a log reader has scattered to this node.
    pub newest_received: Mutex<Version>,
    me: Mutex<Member>,
    started_at: Instant,
    /// Uptime in milliseconds at which the view was last known to be the newest.
    current_at_ms: AtomicU64,
}

/// A fault that keeps a node from following the log.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LogFault {
    /// Reading the log failed; holds the error message.
    #[error("{0}")]
    LogDown(String),
    /// The log ends before the version in force: its last records were lost, or it
    /// is a different log.
    #[error("the log ends at {next} but {held} is in force; see `rilltrack recover`")]
    LogWentBack {
        /// The version in force when the fault was detected.
        held: Version,
        /// The offset at which the log ends.
        next: u64,
    },
}

/// Returns memory of at most `limit` for messages of a kind, whose shortage is logged.
fn logged_memory(journal: &Journal, kind: &'static str, limit: Size) -> Arc<Memory> {
    let journal = journal.clone();
    Memory::new(limit, move |change| {
        let event = match change {
            Change::Filled => Event::MemoryFull,
            Change::Freed => Event::MemoryFree,
            Change::GivenUp(_) | Change::Refused => return,
        };
        journal.write(event, format_args!("kind={kind} limit={limit}"));
    })
}

impl Node {
    /// Returns a node whose member table holds only itself.
    pub fn new(settings: Settings, me: Member, journal: Journal, applier: Applier) -> Self {
        let mut table = Table::default();
        table.merge(me.clone());
        let memory = settings.requests.memory;
        Self {
            bodies: logged_memory(&journal, "bodies", Memory::body_limit(memory)),
            messages: logged_memory(&journal, "messages", Memory::message_limit(memory)),
            peers: me.peers,
            journal,
            metrics: Metrics::new(),
            view: ArcSwapOption::empty(),
            table: RwLock::new(table),
            updates: Mutex::new(UpdateQueue::new(&me)),
            limiters: Limiters::default(),
            applier,
            log_fault: Mutex::new(None),
            large_replies: Arc::new(Semaphore::new(LARGE_REPLIES)),
            stopping: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            newest_received: Mutex::new(Version::default()),
            me: Mutex::new(me),
            started_at: Instant::now(),
            current_at_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the version in force, or the empty version if no view is in force yet.
    pub fn version(&self) -> Version {
        self.view
            .load()
            .as_ref()
            .map(|view| view.version)
            .unwrap_or_default()
    }

    /// Returns the view in force.
    ///
    /// # Errors
    ///
    /// If no view is in force yet: a refusal stating that the request has not run.
    pub fn require_view(&self) -> Result<Arc<View>, Refusal> {
        let refuse = || Refusal::not_run("no complete view yet", Span::from_secs(1));
        self.view.load_full().ok_or_else(refuse)
    }

    /// Returns whether the node holds a complete view and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.view.load().is_some() && !self.is_stopping()
    }

    /// Returns whether the daemon has stopped accepting new work.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the milliseconds since this incarnation started, by a monotonic clock.
    pub fn uptime_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Records that the view in force is the newest as of now.
    pub fn mark_current(&self) {
        self.current_at_ms
            .store(self.uptime_ms(), Ordering::Relaxed);
    }

    /// Returns the milliseconds since the view was last known to be the newest.
    pub fn view_age_ms(&self) -> u64 {
        self.uptime_ms() - self.current_at_ms.load(Ordering::Relaxed)
    }

    /// Returns this node's own member record.
    pub fn me(&self) -> Member {
        self.me.lock().clone()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.me.lock().incarnation
    }

    /// Applies `change` to this node's own member record and queues it for peers.
    pub fn update_own_record(&self, change: impl FnOnce(&mut Member)) {
        let mut me = self.me.lock();
        change(&mut me);
        me.sequence += 1;
        self.table.write().merge(me.clone());
        self.updates.lock().add(me.clone());
    }

    /// Makes this node's own member record newer than `claim`, a record about this
    /// node that came from a peer.
    pub fn refute(&self, claim: &Member) {
        self.update_own_record(|me| {
            if claim.incarnation > me.incarnation {
                me.incarnation = Incarnation(claim.incarnation.0 + 1);
            }
            me.sequence = me.sequence.max(claim.sequence);
        });
        let details = format_args!("claim={:?} sequence={}", claim.status, claim.sequence);
        self.journal.write(Event::Refuted, details);
    }

    /// Stops accepting new work and announces that this node is leaving and its
    /// targets are draining.
    pub fn announce_leaving(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update_own_record(|me| {
            me.status = Status::Leaving;
            me.targets
                .iter_mut()
                .for_each(|target| target.draining = true);
        });
    }

    /// Replaces the targets on this host; returns whether they changed.
    pub fn set_targets(&self, targets: Vec<Target>) -> bool {
        if self.me.lock().targets == targets {
            return false;
        }
        let details = targets
            .iter()
            .map(|t| format!("{}@{} draining={}", t.service, t.address, t.draining));
        let details = details.collect::<Vec<_>>().join(" ");
        self.journal
            .write(Event::TargetChanged, format_args!("targets=[{details}]"));
        self.update_own_record(|me| me.targets = targets);
        true
    }

    /// Merges member records from a peer into the table; returns how many of them
    /// were new or newer.
    ///
    /// The new records are relayed to other peers, unless the message is a whole table
    /// and this node knows few members. Then the other nodes know the records already,
    /// and relaying them would keep every node busy for minutes after each join.
    pub fn merge_members(&self, members: Vec<Member>) -> usize {
        let known = self.table.read().len();
        let is_relayed = members.len() <= MAX_ALWAYS_RELAYED || members.len() * 2 <= known;
        let mut updated = 0;
        for member in members {
            updated += usize::from(self.merge_member(member, is_relayed));
        }
        self.metrics.members.set(self.table.read().len() as i64);
        updated
    }

    fn merge_member(&self, member: Member, is_relayed: bool) -> bool {
        if member.node == self.settings.node {
            // Only this node decides about its own record. A newer record from a
            // peer is either a suspicion of this incarnation or, if the clock was
            // set back in between, a record of an earlier incarnation.
            if member.precedence() > self.me.lock().precedence() {
                self.refute(&member);
            }
            return false;
        }
        let old = self
            .table
            .read()
            .get(&member.node)
            .map(|known| known.status);
        if !self.table.write().merge(member.clone()) {
            return false;
        }
        if old != Some(member.status) {
            let (node, status, domain) = (&member.node, member.status, &member.domain);
            let details =
                format_args!("member={node} domain={domain} status={status:?} was={old:?}");
            self.journal.write(Event::MemberChanged, details);
        }
        if is_relayed {
            self.updates.lock().add(member);
        }
        true
    }

    /// Sets or clears the fault that keeps this node from following the log.
    ///
    /// Returns whether a fault appeared or disappeared; replacing one fault by
    /// another returns false.
    pub fn set_log_fault(&self, fault: Option<LogFault>) -> bool {
        let mut current = self.log_fault.lock();
        let has_changed = current.is_some() != fault.is_some();
        *current = fault;
        has_changed
    }

    /// Returns the fault that keeps this node from following the log.
    ///
    /// A [`LogFault::LogWentBack`] is no longer returned once a new epoch has begun.
    pub fn log_fault(&self) -> Option<LogFault> {
        let fault = self.log_fault.lock().clone();
        fault.filter(|fault| match fault {
            LogFault::LogDown(_) => true,
            LogFault::LogWentBack { held, .. } => held.epoch == self.version().epoch,
        })
    }

    /// Wraps the node in an `Arc`, so that several tasks can share it.
    pub fn shared(self) -> Arc<Self> {
        Arc::new(self)
    }
}
