//! The state that the tasks of one node share, on a platform with its own store.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;

use crate::{
    coordination::{
        Error,
        decision::{
            age::Ages,
            balance::{self, Balancer},
            pace::Bound,
            retry_budget::{RetryBudget, Rule},
            split::Split,
        },
        delivered::Delivered,
        drain::SharedDrains,
        flow::Flow,
        gate::{self, Gate},
        hint::Hint,
        interface::{Decoders, Stream},
        load_report::LoadReports,
        local::{Change, Local},
        quarantine::SharedQuarantine,
        rate_limit::RateLimits,
        record_keys::RecordKeys,
        rollout::Rollouts,
        shared_answer::Answers,
        streams::Streams,
        versions::Versions,
    },
    event::{Event, Journal},
    host::{
        Settings,
        metrics::{self, Metrics},
    },
    id::{Instance, Name, Node},
    journal::note,
    protocol::update::Progress,
    state::{
        drain::Drain,
        fingerprint::Fingerprint,
        member::{Member, Table},
        routing::{self, Delta},
    },
    unit::Span,
};

/// Members in one batch up to which each member has its own log line; a larger batch has one
/// line. With hundreds of lines of members, a starting node of a large fleet dropped the log
/// lines of its first requests.
const MAX_LOGGED_MEMBERS: usize = 16;

/// The shared state of a node.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// Decoders for the platform's encoding, and its header names.
    pub decoders: Decoders,
    /// The log.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Admission to the target on this host.
    pub gate: Gate,
    /// The state of the target on this host.
    pub local: Mutex<Local>,
    /// The known members.
    pub members: RwLock<Table>,
    /// Load, slowdown and failures of other nodes' targets, for target selection.
    pub balancer: Mutex<Balancer>,
    /// The retry budget.
    pub retry_budget: Mutex<RetryBudget>,
    /// Estimates of how long callers have been retrying.
    pub request_ages: Mutex<Ages>,
    /// Which requests are quarantined because targets crash under them.
    pub quarantine: SharedQuarantine,
    /// Limits large responses to the rate of the host's network link.
    pub response_flow: Flow,
    /// Weighted distribution of requests on split routes.
    pub split: Mutex<Split>,
    /// How far it has come along the store's streams.
    pub streams: Streams,
    /// What the nodes of its failure domain have been sent.
    pub delivered: Delivered,
    /// What it answers to peers that lack routes or members.
    pub answers: Answers,
    /// Which failure domains are drained.
    pub drains: SharedDrains,
    /// The limits on teams' requests.
    pub rate_limits: Arc<RateLimits>,
    /// The loads of other nodes' targets, as reported.
    pub load_reports: Arc<LoadReports>,
    /// Is notified when a version comes into force.
    pub version_changed: Arc<Notify>,
    /// Which release of a service receives its requests.
    pub rollouts: Rollouts,
    /// The keys of this node's records in the store.
    pub record_keys: Mutex<RecordKeys>,
    /// Wakes the task that writes this node's record to the store.
    pub own_record_changed: Notify,
    /// Wakes the task that probes unreachable nodes.
    pub node_unreachable: Notify,
    /// Wakes the task that asks the target whether it warms up.
    pub warmup_unknown: Notify,
    grace: Mutex<Span>,
    is_leaving: AtomicBool,
    versions: Versions,
    /// The nodes that did not answer, each with the time until which it counts as unreachable.
    unreachable: Mutex<HashMap<Node, Instant>>,
    hint: Hint,
}

/// A record that could not be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unusable;

impl Host {
    /// Applies the settings that can change while the process runs. Logs the names of the
    /// changed settings that need a restart.
    pub fn reload(&self, new: &Settings) {
        self.retry_budget.lock().set_rule(retry_rule(new));
        self.local.lock().set_heartbeat(new.heartbeat);
        *self.grace.lock() = new.grace;
        let differs = |name: &'static str, is_same: bool| (!is_same).then_some(name);
        let current = &self.settings;
        let needs_restart: Vec<&str> = [
            differs("node", current.node == new.node),
            differs("domain", current.domain == new.domain),
            differs("regions", current.regions == new.regions),
            differs("service", current.service == new.service),
            differs("labels", current.labels == new.labels),
            differs("listen", current.listen == new.listen),
            differs("advertise", current.advertise == new.advertise),
            differs("store", current.store == new.store),
            differs("descriptors", current.descriptors == new.descriptors),
            differs("memory", current.memory == new.memory),
            differs("load_reports", current.load_reports == new.load_reports),
            differs("bandwidth", current.bandwidth() == new.bandwidth()),
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
            needs_restart = needs_restart.join(","),
        );
    }

    /// Returns the maximum duration of a shutdown.
    pub fn grace(&self) -> Duration {
        self.grace.lock().duration()
    }

    /// Returns the state of a starting process, without routes and members.
    pub fn new(settings: Settings, decoders: Decoders, journal: Journal) -> Self {
        Self {
            decoders,
            journal,
            metrics: Metrics::new(),
            gate: Gate::new(),
            local: Mutex::new(Local::new(settings.heartbeat)),
            members: RwLock::default(),
            balancer: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(retry_rule(&settings))),
            grace: Mutex::new(settings.grace),
            request_ages: Mutex::default(),
            quarantine: SharedQuarantine::default(),
            response_flow: Flow::new(settings.bandwidth()),
            split: Mutex::default(),
            streams: Streams::default(),
            delivered: Delivered::default(),
            answers: Answers::default(),
            drains: SharedDrains::default(),
            rate_limits: Arc::default(),
            load_reports: Arc::default(),
            version_changed: Arc::default(),
            rollouts: Rollouts::new(settings.exposure.map(|exposure| exposure.share)),
            record_keys: Mutex::default(),
            own_record_changed: Notify::new(),
            node_unreachable: Notify::new(),
            warmup_unknown: Notify::new(),
            is_leaving: AtomicBool::new(false),
            versions: Versions::default(),
            unreachable: Mutex::default(),
            hint: Hint::default(),
            settings,
        }
    }

    /// Returns the version of the routes in force, if there is one.
    pub fn routes(&self) -> Option<Arc<routing::Table>> {
        self.versions.current()
    }

    /// Returns the number of the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.versions.number()
    }

    /// Returns the limits on requests of callers, from the version in force.
    pub fn limits(&self) -> routing::Limits {
        self.versions.limits()
    }

    /// Returns the delta from version `base` to the version in force, or the whole version
    /// if `base` is no longer kept. Returns nothing if no version is in force.
    pub fn routes_since(&self, base: u64) -> Option<Delta> {
        self.versions.since(base)
    }

    /// Puts the version in `record` in force if it is newer than the current one.
    ///
    /// Returns the delta from the current version, or nothing if the current version is
    /// the same or newer.
    ///
    /// # Errors
    ///
    /// If the record can't be decoded. It is then rejected as a whole, and the log has the
    /// reason.
    pub fn apply_record(&self, record: &[u8], from: &str) -> Result<Option<Delta>, Unusable> {
        let table = (self.decoders.routes)(record).map_err(|error| {
            self.reject_routes(&error, from);
            Unusable
        })?;
        let current = self.routes();
        if current
            .as_ref()
            .is_some_and(|current| table.version <= current.version)
        {
            return Ok(None);
        }
        let delta = table.delta_since(current.as_deref());
        self.apply_routes(delta.clone(), from);
        Ok(Some(delta))
    }

    /// Applies a delta, and puts the resulting version in force if it is newer than the
    /// current one. Returns false if the delta's base version is missing here.
    pub fn apply_routes(&self, delta: Delta, from: &str) -> bool {
        let current = self.routes();
        let before = current.as_ref().map_or(0, |current| current.version);
        if delta.version <= before {
            return true;
        }
        let changed = delta.put.len() + delta.gone.len();
        // Versions share the routes that did not change.
        let table = match routing::Table::apply_delta(current.as_deref(), delta) {
            Ok(table) => table,
            Err(routing::Error::Base { .. }) => return false,
            Err(error) => {
                self.reject_routes(&error, from);
                return true;
            }
        };
        let (version, routes) = (table.version, table.len());
        // Only the task that follows the store and peers puts versions in force, so no newer
        // one can have come into force since the check above.
        self.versions.put(table);
        self.version_changed.notify_one();
        self.load_reports.changed.notify_one();
        self.set_gate();
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

    /// Logs the requests that a crashed target may have been running after their runs were
    /// cancelled.
    pub fn log_cancelled(&self, instance: &Instance, contents: &[Fingerprint]) {
        for content in contents {
            note!(
                self.journal,
                Event::TargetEnded,
                instance = instance,
                content = content,
                cancelled = true
            );
        }
    }

    /// Counts input from outside that can't be used; `what` is its kind.
    pub fn count_unusable(&self, what: &'static str) {
        self.add_unusable(what, 1);
    }

    /// Counts this much input from outside that can't be used; `what` is its kind.
    pub fn add_unusable(&self, what: &'static str, count: usize) {
        let unusable = metrics::Unusable { what };
        let counter = self.metrics.unusable.get_or_create(&unusable);
        counter.inc_by(count as u64);
    }

    fn reject_routes(&self, error: &dyn std::error::Error, from: &str) {
        self.count_unusable("version");
        let why = crate::logging::chain(error);
        let current = self.version();
        note!(
            self.journal,
            Event::ChangeRejected,
            from = from,
            held = current,
            why = why
        );
    }

    /// Merges records of members into the table.
    pub fn merge_members(&self, members: Vec<Member>, from: &str) {
        self.merge_members_by(Table::merge, members, from);
    }

    /// Merges records of members with a function that merges one into the table.
    pub fn merge_members_by(
        &self,
        merge: fn(&mut Table, Member) -> bool,
        members: Vec<Member>,
        from: &str,
    ) {
        if members.len() <= MAX_LOGGED_MEMBERS {
            for member in members {
                self.merge_member_by(merge, member, from);
            }
            return;
        }
        let count = members.len();
        let has_evidence = members.iter().any(|member| !member.evidence.is_empty());
        let mut table = self.members.write();
        let updated = members
            .into_iter()
            .map(|member| usize::from(merge(&mut table, member)))
            .sum::<usize>();
        let known = table.len();
        drop(table);
        self.quarantine.on_member_update(has_evidence);
        note!(
            self.journal,
            Event::MembersTaken,
            count = count,
            news = updated,
            known = known,
            from = from
        );
    }

    /// Merges the record of a member into the table. Returns whether it changed the table.
    pub fn merge_member(&self, member: Member, from: &str) -> bool {
        self.merge_member_by(Table::merge, member, from)
    }

    fn merge_member_by(
        &self,
        merge: fn(&mut Table, Member) -> bool,
        member: Member,
        from: &str,
    ) -> bool {
        let (node, domain) = (member.node.clone(), member.domain.clone());
        let (status, targets) = (member.status, targets_text(&member));
        let has_evidence = !member.evidence.is_empty();
        let has_changed = merge(&mut self.members.write(), member);
        if has_changed {
            self.quarantine.on_member_update(has_evidence);
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
        has_changed
    }

    /// Sets whether this node reads the store for its failure domain, after `failed_readers` that
    /// can't.
    pub fn set_reading(&self, reads: bool, failed_readers: u8) {
        if self.streams.set_reading(reads, failed_readers) {
            note!(self.journal, Event::ReaderChanged, reads = reads);
        }
    }

    /// Takes in orders about drains of failure domains; `from` names their source in the log.
    /// Returns whether any was new.
    pub fn receive_drains(&self, drains: Vec<Drain>, from: &str) -> bool {
        let changed = self.drains.receive(drains, from, &self.journal);
        let own = changed
            .iter()
            .find(|drain| drain.domain == self.settings.domain);
        if own.is_some_and(|drain| !drain.is_active) {
            // The targets here had no requests for a while and may be cold.
            self.local.lock().forget_warmup();
            self.set_gate();
        }
        !changed.is_empty()
    }

    /// Records that the target of `instance` leaves: the gate closes, and the record of this node
    /// in the store is to say so.
    pub fn note_leaving(&self, instance: &Instance) {
        let change = self.local.lock().leave(instance);
        if change == Change::Publish {
            self.own_record_changed.notify_one();
            self.set_gate();
        }
    }

    /// Returns the target on this host and the path of its health checks, if it isn't known
    /// whether it warms up.
    pub fn unknown_warmup(&self) -> Option<(gate::Target, String)> {
        let routes = self.routes()?;
        let service = routes.service(self.service())?;
        service.warmup_rate?;
        let local = self.local.lock();
        let target = local.open().filter(|_| local.warm_at().is_none())?;
        Some((target, service.health_path.clone()))
    }

    /// Returns the version and the offsets that this node has reached.
    pub fn progress(&self) -> Progress {
        Progress {
            version: self.version(),
            members: self.streams.offset(Stream::Members).unwrap_or(0),
            is_settled: self.streams.is_membership_settled(),
            knows_members: self.streams.offset(Stream::Members).is_some(),
            routes: self.streams.offset(Stream::Routes).unwrap_or(0),
            blind: self.streams.consecutive_failed_readers(),
            drains: self.drains.latest(),
            sent_version: self.delivered.version(),
            sent_members: self.delivered.members(),
        }
    }

    /// Records that a node did not answer. It counts as unreachable until the given time.
    pub fn note_unreachable(&self, node: &Node, until: Instant) {
        self.unreachable.lock().insert(node.clone(), until);
    }

    /// Returns whether a node counts as unreachable.
    pub fn is_unreachable(&self, node: &Node, now: Instant) -> bool {
        self.unreachable
            .lock()
            .get(node)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether the process can serve requests: routes and members are loaded, and
    /// the evidence about quarantined requests was reviewed once.
    pub fn is_ready(&self) -> bool {
        self.routes().is_some()
            && self.streams.offset(Stream::Members).is_some()
            && self.quarantine.is_reviewed()
    }

    /// Records a hint if a peer's version or its offset of the members is newer than this
    /// node's.
    pub fn note_newer(&self, version: u64, members: u64, peer: SocketAddr) {
        let is_behind =
            version > self.version() || Some(members) > self.streams.offset(Stream::Members);
        if is_behind {
            self.hint.record(peer);
        }
    }

    /// Waits for a hint, and returns the address of the peer that has something newer.
    pub async fn next_hint(&self) -> SocketAddr {
        self.hint.next().await
    }

    /// Opens or closes the gate, according to the state of the target on this host.
    ///
    /// The gate stays closed while it isn't known whether the target warms up and no version
    /// tells how many requests it then tolerates.
    pub fn set_gate(&self) {
        let routes = self.routes();
        let service = routes
            .as_ref()
            .and_then(|routes| routes.service(self.service()));
        let rate = service.and_then(|service| service.warmup_rate);
        let local = self.local.lock();
        let until = local.warm_at();
        let is_warm = until.is_some_and(|until| until <= Instant::now());
        self.gate
            .set_warmup(rate.map(|rate| Bound::warmup(rate, until)));
        match local.open() {
            Some(_) if routes.is_none() && !is_warm => self.gate.remove_target(),
            Some(target) => {
                self.gate.set_target(target);
                if rate.is_some() && until.is_none() {
                    self.warmup_unknown.notify_one();
                }
            }
            None if local.is_leaving() => self.gate.close(),
            None => self.gate.remove_target(),
        }
    }

    /// Records the result of a call to the store, and its duration. `took` is None if the
    /// call may have waited at the store for new records.
    pub fn note_store<T>(
        &self,
        call: &'static str,
        result: &Result<T, Error>,
        took: Option<Duration>,
    ) {
        let is_up = matches!(result, Ok(_) | Err(Error::Expired(_)));
        self.streams.set_store_up(is_up);
        let result = if result.is_ok() { "ok" } else { "failed" };
        let call = metrics::Call { call, result };
        self.metrics.store_calls.get_or_create(&call).inc();
        if let Some(took) = took {
            self.metrics.store_latency.observe(took.as_secs_f64());
        }
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        let now = Instant::now();
        let members = self.members.read();
        let unreachable = members
            .iter()
            .filter(|m| self.is_unreachable(&m.node, now))
            .count();
        let present = (members.len() - unreachable, unreachable);
        drop(members);
        let providers = |service: &Name| self.members.read().providers(service).to_vec();
        let load_reports = self.load_reports.counts(providers, now);
        self.metrics.text(&metrics::Readings {
            version: self.version(),
            version_age: self
                .versions
                .in_force_since()
                .map_or(Duration::ZERO, |since| now - since),
            load: self.gate.load(),
            limit: self.gate.limit(),
            slowness: self.gate.slowness(),
            is_reader: self.streams.is_reading(),
            dropped_lines: self.journal.dropped(),
            members: present,
            quarantined: self.quarantine.quarantined(now).len(),
            load_reports,
        })
    }

    /// Waits until the network link has capacity for a response of `bytes`. Small responses
    /// and those of unknown size don't wait.
    pub async fn until_bandwidth_free(&self, bytes: Option<usize>) {
        if let Some(bytes) = bytes.filter(|bytes| balance::is_large(*bytes)) {
            self.response_flow.wait_for_link(bytes).await;
        }
    }

    /// Marks this process as leaving: requests of other nodes are refused from now on.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of nodes that share the retry budget.
    pub fn nodes(&self) -> usize {
        self.members.read().len().max(1)
    }

    /// Returns the service of the target on this host.
    pub fn service(&self) -> &Name {
        &self.settings.service
    }
}

fn retry_rule(settings: &Settings) -> Rule {
    Rule {
        ratio: settings.resend.ratio,
        slack: settings.resend.slack,
        window: settings.resend.window.duration(),
    }
}

/// Returns a member's targets as text for a log line.
pub fn targets_text(member: &Member) -> String {
    let targets = member.targets.iter().map(|target| {
        let state = if target.draining { "draining" } else { "ready" };
        format!("{}/{}/{state}", target.service, target.instance)
    });
    targets.collect::<Vec<_>>().join(",")
}
