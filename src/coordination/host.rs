//! What the duties of one host process share.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::{
    coordination::{
        Error,
        decision::{
            age::Ages,
            allowance::{Allowance, Rule},
            balance::{self, Balance},
            split::Split,
        },
        flow::Flow,
        gate::Gate,
        link::{Stream, Words},
        local::Local,
        review::Reviews,
        rollout::Rollouts,
        watch::Silent,
    },
    event::{Event, Journal},
    host::{
        Settings,
        metrics::{self, Metrics},
    },
    id::{Name, Node},
    journal::note,
    protocol::news::Seen,
    state::{
        member::{Member, Table},
        routing::{self, Delta},
    },
    unit::Span,
};

/// How long after a hint another one from anywhere is passed over: about the
/// time that asking a peer takes.
const HINT_PAUSE: Duration = Duration::from_millis(50);

/// Versions of the routes that are held, to tell peers what changed since. A storm
/// brings five a second; a node that is further behind is told the whole.
const PAST: usize = 8;

/// Members that are taken in at once and have a log line each; more have one together. A
/// starting node of a large fleet lost log lines of its first requests to hundreds of
/// lines of members.
const NAMED: usize = 16;

/// What the duties share.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The outside's terms.
    pub words: Words,
    /// Log lines.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
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
    /// How long callers have been trying.
    pub ages: Mutex<Ages>,
    /// Which requests are held back because targets end under them.
    pub reviews: Reviews,
    /// When large answers leave.
    pub outflow: Flow,
    /// How split routes are dealt.
    pub split: Mutex<Split>,
    /// Which release of a service gets its requests.
    pub rollouts: Rollouts,
    /// Wakes the duty that writes what this node says of itself.
    pub changed: Notify,
    /// Wakes the duty that asks nodes which can't be reached.
    pub lost: Notify,
    grace: Mutex<Span>,
    leaving: AtomicBool,
    routes: ArcSwapOption<routing::Table>,
    past: Mutex<VecDeque<Arc<routing::Table>>>,
    in_force_at: Mutex<Option<Instant>>,
    at: [watch::Sender<Option<u64>>; 2],
    settled: watch::Sender<bool>,
    reading: watch::Sender<bool>,
    /// Nodes in a row that can't read the store: how many this one stands in for,
    /// and whether it can't either.
    stands_in_for: AtomicU8,
    blind: AtomicBool,
    store_up: watch::Sender<bool>,
    doubted: Notify,
    silent: Mutex<Silent>,
    hint: Mutex<Hint>,
    hinted: Notify,
}

/// A record that can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unusable;

#[derive(Default)]
struct Hint {
    from: Option<SocketAddr>,
    at: Option<Instant>,
}

impl Host {
    /// Takes over what can change while the process runs, and names what differs.
    pub fn reload(&self, new: &Settings) {
        self.allowance.lock().set_rule(rule(new));
        self.local.lock().set_heartbeat(new.heartbeat);
        *self.grace.lock() = new.grace;
        let differs = |name: &'static str, is_same: bool| (!is_same).then_some(name);
        let held = &self.settings;
        let kept: Vec<&str> = [
            differs("node", held.node == new.node),
            differs("domain", held.domain == new.domain),
            differs("service", held.service == new.service),
            differs("labels", held.labels == new.labels),
            differs("listen", held.listen == new.listen),
            differs("advertise", held.advertise == new.advertise),
            differs("store", held.store == new.store),
            differs("descriptors", held.descriptors == new.descriptors),
            differs("bandwidth", held.bandwidth() == new.bandwidth()),
        ]
        .into_iter()
        .flatten()
        .collect();
        note!(
            self.journal,
            Event::Reloaded,
            heartbeat = new.heartbeat,
            grace = new.grace,
            resend_ratio = new.resend.ratio,
            resend_slack = new.resend.slack,
            needs_restart = kept.join(","),
        );
    }

    /// Returns how long a shutdown may take.
    pub fn grace(&self) -> Duration {
        self.grace.lock().duration()
    }

    /// Returns a process that knows nothing yet.
    pub fn new(settings: Settings, words: Words, journal: Journal) -> Self {
        Self {
            words,
            journal,
            metrics: Metrics::new(),
            gate: Gate::new(),
            local: Mutex::new(Local::new(settings.heartbeat)),
            members: RwLock::default(),
            balance: Mutex::default(),
            allowance: Mutex::new(Allowance::new(rule(&settings))),
            grace: Mutex::new(settings.grace),
            ages: Mutex::default(),
            reviews: Reviews::default(),
            outflow: Flow::new(settings.bandwidth()),
            split: Mutex::default(),
            rollouts: Rollouts::new(settings.exposure.map(|exposure| exposure.share)),
            changed: Notify::new(),
            lost: Notify::new(),
            leaving: AtomicBool::new(false),
            routes: ArcSwapOption::empty(),
            past: Mutex::default(),
            in_force_at: Mutex::default(),
            at: [watch::Sender::new(None), watch::Sender::new(None)],
            settled: watch::Sender::new(false),
            reading: watch::Sender::new(false),
            stands_in_for: AtomicU8::new(0),
            blind: AtomicBool::new(false),
            store_up: watch::Sender::new(true),
            doubted: Notify::new(),
            silent: Mutex::default(),
            hint: Mutex::default(),
            hinted: Notify::new(),
            settings,
        }
    }

    /// Returns the version in force, if there is one.
    pub fn routes(&self) -> Option<Arc<routing::Table>> {
        self.routes.load_full()
    }

    /// Returns the number of the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |table| table.version)
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> routing::Limits {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or_else(Default::default, |table| table.limits)
    }

    /// Returns what the version in force changes about version `base`, or the
    /// whole if that is not held any more.
    pub fn routes_since(&self, base: u64) -> Option<Delta> {
        let table = self.routes()?;
        let past = self.past.lock();
        let base = past.iter().find(|past| past.version == base);
        Some(table.since(base.map(AsRef::as_ref)))
    }

    /// Puts the version in `record` in force, if it is newer than the one held.
    /// One that can't be used is refused whole.
    ///
    /// Returns what it changes, or nothing where the version held is as new.
    ///
    /// # Errors
    ///
    /// If it can't be used; the log has the reason.
    pub fn take_record(&self, record: &[u8], from: &str) -> Result<Option<Delta>, Unusable> {
        let table = (self.words.routes)(record).map_err(|error| {
            self.refuse_routes(&error, from);
            Unusable
        })?;
        let held = self.routes();
        if held
            .as_ref()
            .is_some_and(|held| table.version <= held.version)
        {
            return Ok(None);
        }
        let delta = table.since(held.as_deref());
        self.take_routes(delta.clone(), from);
        Ok(Some(delta))
    }

    /// Puts the version that comes of a change in force, if it is newer than the
    /// one held; returns whether nothing is missing.
    pub fn take_routes(&self, delta: Delta, from: &str) -> bool {
        let held = self.routes();
        let before = held.as_ref().map_or(0, |held| held.version);
        if delta.version <= before {
            return true;
        }
        let changed = delta.put.len() + delta.gone.len();
        // Routes that did not change are shared between versions.
        let table = match routing::Table::after(held.as_deref(), delta) {
            Ok(table) => table,
            Err(routing::Error::Base { .. }) => return false,
            Err(error) => {
                self.refuse_routes(&error, from);
                return true;
            }
        };
        let (version, routes) = (table.version, table.len());
        // Only the duty that follows the store and peers writes here, so
        // nothing newer can have come between.
        self.routes.store(Some(Arc::new(table)));
        *self.in_force_at.lock() = Some(Instant::now());
        let mut past = self.past.lock();
        past.extend(self.routes());
        if past.len() > PAST {
            past.pop_front();
        }
        note!(
            self.journal,
            Event::InForce,
            version = version,
            routes = routes,
            changed = changed,
            before = before,
            from = from
        );
        true
    }

    /// Counts what came from outside and can't be used.
    pub fn count_unusable(&self, what: &'static str) {
        let unusable = metrics::Unusable { what };
        self.metrics.unusable.get_or_create(&unusable).inc();
    }

    fn refuse_routes(&self, error: &dyn std::error::Error, from: &str) {
        self.count_unusable("version");
        let why = crate::logging::chain(error);
        let held = self.version();
        note!(
            self.journal,
            Event::ChangeRejected,
            from = from,
            held = held,
            why = why
        );
    }

    /// Takes in what is known of members.
    pub fn take_members(&self, members: Vec<Member>, from: &str) {
        if members.len() <= NAMED {
            for member in members {
                self.take_member(member, from);
            }
            return;
        }
        let count = members.len();
        let tells = members.iter().any(|member| !member.evidence.is_empty());
        let mut table = self.members.write();
        let news = members
            .into_iter()
            .map(|member| usize::from(table.merge(member)))
            .sum::<usize>();
        let known = table.len();
        drop(table);
        self.reviews.hear(tells);
        note!(
            self.journal,
            Event::MembersTaken,
            count = count,
            news = news,
            known = known,
            from = from
        );
    }

    /// Takes in what is known of a member; returns whether that is news.
    pub fn take_member(&self, member: Member, from: &str) -> bool {
        let (node, domain) = (member.node.clone(), member.domain.clone());
        let (status, targets) = (member.status, told(&member));
        let tells = !member.evidence.is_empty();
        let is_news = self.members.write().merge(member);
        if is_news {
            self.reviews.hear(tells);
            note!(
                self.journal,
                Event::MemberChanged,
                member = node,
                status = format_args!("{status:?}"),
                domain = domain,
                targets = targets,
                from = from
            );
        }
        is_news
    }

    /// Notes that a stream is known up to an offset.
    pub fn known_to(&self, stream: Stream, offset: u64) {
        self.at[stream as usize].send_if_modified(|at| {
            let is_later = at.is_none_or(|at| at < offset);
            if is_later {
                *at = Some(offset);
            }
            is_later
        });
    }

    /// Returns the offset up to which a stream is known, if it was ever read.
    pub fn at(&self, stream: Stream) -> Option<u64> {
        *self.at[stream as usize].borrow()
    }

    /// Waits until the members are known.
    pub async fn until_members_known(&self) {
        let mut at = self.at[Stream::Members as usize].subscribe();
        // The sender lives as long as `self`.
        let _ = at.wait_for(Option::is_some).await;
    }

    /// Notes that the fleet has had time to write down who is there.
    pub fn settle(&self) {
        self.settled.send_replace(true);
    }

    /// Returns whether it had.
    pub fn is_settled(&self) -> bool {
        *self.settled.borrow()
    }

    /// Waits until then.
    pub async fn until_settled(&self) {
        // As above.
        let _ = self.settled.subscribe().wait_for(|settled| *settled).await;
    }

    /// Notes whether this node reads the store for its failure domain, and how many
    /// in a row before it can't.
    pub fn set_reading(&self, reads: bool, stands_in_for: u8) {
        self.stands_in_for.store(stands_in_for, Ordering::Relaxed);
        let changed = self
            .reading
            .send_if_modified(|held| std::mem::replace(held, reads) != reads);
        if changed {
            self.set_blind(false);
            note!(self.journal, Event::ReaderChanged, reads = reads);
        }
    }

    /// Returns whether this node reads the store for its failure domain, to be
    /// watched.
    pub fn reading(&self) -> watch::Receiver<bool> {
        self.reading.subscribe()
    }

    /// Notes whether the store can't be read.
    pub fn set_blind(&self, is_blind: bool) {
        self.blind.store(is_blind, Ordering::Relaxed);
    }

    /// Notes that a read of the store failed: others that wait there may wait for
    /// nothing.
    pub fn doubt(&self) {
        self.doubted.notify_waiters();
    }

    /// Waits until a read of the store fails.
    pub async fn until_doubted(&self) {
        self.doubted.notified().await;
    }

    /// Returns how far this node is.
    pub fn seen(&self) -> Seen {
        Seen {
            version: self.version(),
            members: self.at(Stream::Members).unwrap_or(0),
            routes: self.at(Stream::Routes).unwrap_or(0),
            blind: self.blind_in_a_row(),
        }
    }

    fn blind_in_a_row(&self) -> u8 {
        let is_blind = *self.reading.borrow() && self.blind.load(Ordering::Relaxed);
        let before = self.stands_in_for.load(Ordering::Relaxed);
        if is_blind {
            before.saturating_add(1)
        } else {
            0
        }
    }

    /// Notes that a node did not answer; until then it is left out.
    pub fn note_silent(&self, node: &Node, until: Instant) {
        self.silent.lock().insert(node.clone(), until);
    }

    /// Returns whether a node is left out.
    pub fn is_silent(&self, node: &Node, now: Instant) -> bool {
        self.silent
            .lock()
            .get(node)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether the process can serve callers.
    pub fn is_ready(&self) -> bool {
        self.routes.load().is_some()
            && self.at(Stream::Members).is_some()
            && self.reviews.are_done()
    }

    /// Notes that another node names a newer version or later members than are
    /// held here.
    pub fn hear_of(&self, version: u64, members: u64, peer: SocketAddr) {
        let is_behind = version > self.version() || Some(members) > self.at(Stream::Members);
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

    /// Notes how a call to the store ended, and its time where it did not wait there.
    pub fn note_store<T>(
        &self,
        call: &'static str,
        result: &Result<T, Error>,
        took: Option<Duration>,
    ) {
        let is_up = matches!(result, Ok(_) | Err(Error::Expired(_)));
        self.store_up
            .send_if_modified(|held| std::mem::replace(held, is_up) != is_up);
        let result = if result.is_ok() { "ok" } else { "failed" };
        let call = metrics::Call { call, result };
        self.metrics.store.get_or_create(&call).inc();
        if let Some(took) = took {
            self.metrics.store_latency.observe(took.as_secs_f64());
        }
    }

    /// Waits until a call to the store succeeds, or for `most`.
    pub async fn until_store_answers(&self, most: Duration) {
        let mut up = self.store_up.subscribe();
        // Either way the caller tries again.
        let _ = tokio::time::timeout(most, up.wait_for(|up| *up)).await;
    }

    /// Returns whether another duty asks the store again and again while it fails.
    pub fn is_watching_store(&self) -> bool {
        *self.reading.borrow() || self.at(Stream::Members).is_none()
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        let now = Instant::now();
        let members = self.members.read();
        let silent = members
            .iter()
            .filter(|m| self.is_silent(&m.node, now))
            .count();
        self.metrics.text(&metrics::Now {
            version: self.version(),
            version_age: self
                .routes_since_when()
                .map_or(Duration::ZERO, |at| now - at),
            load: self.gate.load(),
            reading: *self.reading.borrow(),
            lines_lost: self.journal.lost(),
            members: (members.len() - silent, silent),
            held: self.reviews.held(now).len(),
        })
    }

    /// Returns when the version in force was put there.
    fn routes_since_when(&self) -> Option<Instant> {
        *self.in_force_at.lock()
    }

    /// Waits until the link has room for an answer of `bytes`, if it is a large one.
    pub async fn until_room(&self, bytes: Option<usize>) {
        if let Some(bytes) = bytes.filter(|bytes| balance::is_large(*bytes)) {
            self.outflow.enter(bytes).await;
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

fn rule(settings: &Settings) -> Rule {
    Rule {
        ratio: settings.resend.ratio,
        slack: f64::from(settings.resend.slack),
        window: settings.resend.window.duration(),
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
