//! What all duties of one daemon share.

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
    coordination::{apply::Applier, door::Doors, gossip::Rumors},
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
    unit::Span,
};

/// Members in one message that are told on to others whatever else is known.
const TOLD_ON: usize = 16;

/// Large replies (snapshots, whole tables) that are under way at a time. A
/// failure domain that comes back at once asks for hundreds; they take turns,
/// or the memory for them would be many times what a node may use.
const LARGE_REPLIES: usize = 8;

/// One daemon, as its duties and its request path see it.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Where peers reach it for control.
    pub peers: SocketAddr,
    /// Log lines.
    pub journal: Journal,
    /// Counters.
    pub metrics: Metrics,
    /// The view in force; none until it is complete.
    pub view: ArcSwapOption<View>,
    /// All members known.
    pub table: RwLock<Table>,
    /// Members that are news to others.
    pub rumors: Mutex<Rumors>,
    /// The doors to the targets on this host.
    pub doors: Doors,
    /// The duty that applies records.
    pub applier: Applier,
    /// What keeps the node from following the log.
    pub trouble: Mutex<Option<Trouble>>,
    /// Leave to send a large reply to a peer.
    pub large_replies: Arc<Semaphore>,
    /// Set when the daemon takes no new work.
    pub stopping: AtomicBool,
    /// Set once peers were asked for a view, so that the log may be read.
    pub joined: AtomicBool,
    /// The newest version that a reader spread to this node.
    pub heard: Mutex<Version>,
    me: Mutex<Member>,
    started: Instant,
    current_at: AtomicU64,
}

/// What keeps a node from following the log.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Trouble {
    /// It does not answer, or not as it should.
    #[error("{0}")]
    LogDown(String),
    /// It lost its end, or is another log.
    #[error("the log ends at {next} but {held} is in force; see `rilltrack recover`")]
    LogWentBack {
        /// The version in force when it was found.
        held: Version,
        /// Where the log ends.
        next: u64,
    },
}

impl Node {
    /// Returns a node that knows only itself.
    pub fn new(settings: Settings, me: Member, journal: Journal, applier: Applier) -> Self {
        let mut table = Table::default();
        table.merge(me.clone());
        Self {
            peers: me.peers,
            journal,
            metrics: Metrics::new(),
            view: ArcSwapOption::empty(),
            table: RwLock::new(table),
            rumors: Mutex::new(Rumors::new(&me)),
            doors: Doors::default(),
            applier,
            trouble: Mutex::new(None),
            large_replies: Arc::new(Semaphore::new(LARGE_REPLIES)),
            stopping: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            heard: Mutex::new(Version::default()),
            me: Mutex::new(me),
            started: Instant::now(),
            current_at: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the version in force, or the empty one before there is any.
    pub fn version(&self) -> Version {
        self.view
            .load()
            .as_ref()
            .map(|view| view.version)
            .unwrap_or_default()
    }

    /// Returns the view in force, for a request that needs one.
    ///
    /// # Errors
    ///
    /// The refusal, before there is any; the request has not run.
    pub fn require_view(&self) -> Result<Arc<View>, Refusal> {
        let refuse = || Refusal::not_run("no complete view yet", Span::from_secs(1));
        self.view.load_full().ok_or_else(refuse)
    }

    /// Returns whether the node holds a complete view.
    pub fn is_ready(&self) -> bool {
        self.view.load().is_some() && !self.is_stopping()
    }

    /// Returns whether the daemon takes no new work.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns milliseconds since this life began. Never steps.
    pub fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Notes that the view in force was just seen to be the newest.
    pub fn touch(&self) {
        self.current_at.store(self.uptime_ms(), Ordering::Relaxed);
    }

    /// Returns milliseconds since the view was last seen to be the newest.
    pub fn age_ms(&self) -> u64 {
        self.uptime_ms() - self.current_at.load(Ordering::Relaxed)
    }

    /// Returns what this node says about itself.
    pub fn me(&self) -> Member {
        self.me.lock().clone()
    }

    /// Returns this life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.me.lock().incarnation
    }

    /// Changes what this node says about itself, and spreads it.
    pub fn update(&self, change: impl FnOnce(&mut Member)) {
        let mut me = self.me.lock();
        change(&mut me);
        me.sequence += 1;
        self.table.write().merge(me.clone());
        self.rumors.lock().add(me.clone());
    }

    /// Makes what this node says about itself newer than `claim`.
    pub fn refute(&self, claim: &Member) {
        self.update(|me| {
            if claim.incarnation > me.incarnation {
                me.incarnation = Incarnation(claim.incarnation.0 + 1);
            }
            me.sequence = me.sequence.max(claim.sequence);
        });
        let details = format_args!("claim={:?} sequence={}", claim.status, claim.sequence);
        self.journal.write(Event::Refuted, details);
    }

    /// Says that this node is leaving.
    pub fn leave(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.update(|me| {
            me.status = Status::Leaving;
            me.targets
                .iter_mut()
                .for_each(|target| target.draining = true);
        });
    }

    /// Replaces the targets on this host; returns whether that was news.
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
        self.update(|me| me.targets = targets);
        true
    }

    /// Takes in what another node said about members; returns how much of it
    /// was news here.
    ///
    /// News is told on, unless it is a whole table that comes to a node which
    /// knew little: the others know it, and telling it all on would keep every
    /// node busy for minutes after each join.
    pub fn absorb(&self, members: Vec<Member>) -> usize {
        let known = self.table.read().len();
        let told_on = members.len() <= TOLD_ON || members.len() * 2 <= known;
        let mut news = 0;
        for member in members {
            news += usize::from(self.absorb_one(member, told_on));
        }
        self.metrics.members.set(self.table.read().len() as i64);
        news
    }

    fn absorb_one(&self, member: Member, told_on: bool) -> bool {
        if member.node == self.settings.node {
            // Only this node speaks for itself. A claim that is newer is of a
            // doubt about this life, or of an earlier one if the clock was set
            // back between the two.
            if member.stamp() > self.me.lock().stamp() {
                self.refute(&member);
            }
            return false;
        }
        let old = self.table.read().get(&member.node).map(|held| held.status);
        if !self.table.write().merge(member.clone()) {
            return false;
        }
        if old != Some(member.status) {
            let (node, status, domain) = (&member.node, member.status, &member.domain);
            let details =
                format_args!("member={node} domain={domain} status={status:?} was={old:?}");
            self.journal.write(Event::MemberChanged, details);
        }
        if told_on {
            self.rumors.lock().add(member);
        }
        true
    }

    /// Says what keeps the node from following the log; returns whether that
    /// is a change.
    pub fn set_trouble(&self, trouble: Option<Trouble>) -> bool {
        let mut held = self.trouble.lock();
        let changed = held.is_some() != trouble.is_some();
        *held = trouble;
        changed
    }

    /// Returns what keeps the node from following the log, unless the mesh
    /// has moved on since.
    pub fn trouble(&self) -> Option<Trouble> {
        let trouble = self.trouble.lock().clone();
        trouble.filter(|trouble| match trouble {
            Trouble::LogDown(_) => true,
            Trouble::LogWentBack { held, .. } => held.epoch == self.version().epoch,
        })
    }

    /// Returns a handle that several duties can hold.
    pub fn shared(self) -> Arc<Self> {
        Arc::new(self)
    }
}
