//! What the duties of one host process share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::{
    coordination::{
        allowance::{Allowance, Rule},
        balance::Balance,
        gate::Gate,
        link::Words,
        local::Local,
        split::Split,
    },
    event::{Event, Journal},
    host::Settings,
    id::Name,
    state::{
        member::{Member, Table},
        routing,
    },
};

/// How long after a hint another one from anywhere is passed over: about the
/// time that asking a peer takes.
const HINT_PAUSE: Duration = Duration::from_millis(50);

/// What the duties share.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The outside's terms.
    pub words: Words,
    /// Log lines.
    pub journal: Journal,
    /// The gate before the target here.
    pub gate: Gate,
    /// The target here.
    pub local: Mutex<Local>,
    /// The members known.
    pub members: RwLock<Table>,
    /// What was seen of other nodes.
    pub balance: Mutex<Balance>,
    /// What may be sent again.
    pub allowance: Mutex<Allowance>,
    /// How split routes are dealt.
    pub split: Mutex<Split>,
    /// Wakes the duty that writes what this node says of itself.
    pub changed: Notify,
    leaving: AtomicBool,
    routes: ArcSwapOption<Version>,
    members_at: watch::Sender<Option<u64>>,
    hint: Mutex<Hint>,
    hinted: Notify,
}

/// A version of the routes in force.
pub struct Version {
    /// The routes.
    pub table: routing::Table,
    /// The record they were decoded from, for peers that ask.
    pub record: Bytes,
}

#[derive(Default)]
struct Hint {
    from: Option<SocketAddr>,
    at: Option<Instant>,
}

impl Host {
    /// Returns a process that knows nothing yet.
    pub fn new(settings: Settings, words: Words, journal: Journal) -> Self {
        let rule = Rule {
            ratio: settings.resend.ratio,
            slack: f64::from(settings.resend.slack),
            window: settings.resend.window.duration(),
        };
        Self {
            words,
            journal,
            gate: Gate::new(),
            local: Mutex::new(Local::new(settings.heartbeat)),
            members: RwLock::default(),
            balance: Mutex::default(),
            allowance: Mutex::new(Allowance::new(rule)),
            split: Mutex::default(),
            changed: Notify::new(),
            leaving: AtomicBool::new(false),
            routes: ArcSwapOption::empty(),
            members_at: watch::Sender::new(None),
            hint: Mutex::default(),
            hinted: Notify::new(),
            settings,
        }
    }

    /// Returns the version in force, if there is one.
    pub fn routes(&self) -> Option<Arc<Version>> {
        self.routes.load_full()
    }

    /// Returns the number of the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |v| v.table.version)
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> routing::Limits {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or_else(Default::default, |v| v.table.limits)
    }

    /// Puts the version in `record` in force, if it is newer than the one held.
    /// One that can't be used is refused whole.
    pub fn take_routes(&self, record: Bytes, from: &str) {
        let table = match (self.words.routes)(&record) {
            Ok(table) => table,
            Err(error) => {
                let why = crate::logging::chain(&error);
                let held = self.version();
                self.journal.write(
                    Event::ChangeRejected,
                    format_args!("from={from} held={held} why={why:?}"),
                );
                return;
            }
        };
        let held = self.version();
        if table.version <= held {
            return;
        }
        let (version, routes) = (table.version, table.len());
        // Only the duty that follows the store and peers writes here, so
        // nothing newer can have come between.
        self.routes.store(Some(Arc::new(Version { table, record })));
        self.journal.write(
            Event::InForce,
            format_args!("version={version} routes={routes} before={held} from={from}"),
        );
    }

    /// Takes in what is known of a member; returns whether that is news.
    pub fn take_member(&self, member: Member, from: &str) -> bool {
        let details = format!(
            "member={} status={:?} domain={} targets={} from={from}",
            member.node,
            member.status,
            member.domain,
            told(&member)
        );
        let is_news = self.members.write().merge(member);
        if is_news {
            self.journal
                .write(Event::MemberChanged, format_args!("{details}"));
        }
        is_news
    }

    /// Notes that all members up to an offset of their stream are known.
    pub fn members_known_to(&self, offset: u64) {
        self.members_at.send_if_modified(|at| {
            at.is_none_or(|at| at < offset) && at.replace(offset) != Some(offset)
        });
    }

    /// Returns the offset up to which the members are known.
    pub fn members_at(&self) -> Option<u64> {
        *self.members_at.borrow()
    }

    /// Waits until the members are known.
    pub async fn until_members_known(&self) {
        // The sender lives as long as `self`.
        let _ = self.members_at.subscribe().wait_for(Option::is_some).await;
    }

    /// Returns whether the process can serve callers.
    pub fn is_ready(&self) -> bool {
        self.routes.load().is_some() && self.members_at().is_some()
    }

    /// Notes that another node names a newer version or later members than are
    /// held here.
    pub fn hear_of(&self, version: u64, members: u64, peer: SocketAddr) {
        let is_behind = version > self.version() || Some(members) > self.members_at();
        if !is_behind {
            return;
        }
        let now = Instant::now();
        let mut hint = self.hint.lock();
        if hint.at.is_none_or(|at| now - at > HINT_PAUSE) {
            hint.from = Some(peer);
            hint.at = Some(now);
            self.hinted.notify_one();
        }
    }

    /// Waits for a peer that knows more.
    pub async fn next_hint(&self) -> SocketAddr {
        loop {
            self.hinted.notified().await;
            if let Some(peer) = self.hint.lock().from.take() {
                return peer;
            }
        }
    }

    /// Opens or closes the gate by what is known of the target here.
    pub fn set_gate(&self) {
        let local = self.local.lock();
        match local.open() {
            Some(target) => self.gate.open(target),
            None if local.is_leaving() => self.gate.close(),
            None => self.gate.vacate(),
        }
    }

    /// Notes that the process leaves: other nodes are refused from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the nodes that share what may be sent again.
    pub fn nodes(&self) -> usize {
        self.members.read().len().max(1)
    }

    /// Returns the service of the target on this host.
    pub fn service(&self) -> &Name {
        &self.settings.service
    }
}

/// Returns a member's targets for a log line.
fn told(member: &Member) -> String {
    let targets = member.targets.iter().map(|target| {
        let state = if target.draining { "draining" } else { "ready" };
        format!("{}/{}/{state}", target.service, target.instance)
    });
    targets.collect::<Vec<_>>().join(",")
}
