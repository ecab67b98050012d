//! Counters, gauges and histograms of one host process.

use std::{
    sync::atomic::{AtomicI64, AtomicU64},
    time::Duration,
};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{protocol::dialect::Slowness, unit::Rate};

/// The upper bound of the first bucket, in seconds; each further bucket doubles it.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// The number of buckets. The last ends at 16 s, which is longer than every deadline.
const BUCKET_COUNT: u16 = 15;

/// The value of the limit of a target that states none.
const NO_LIMIT: f64 = -1.0;

/// The value of the slowness of a target that stated none lately.
const NO_SLOWNESS: f64 = -1.0;

/// The metrics of one host process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests by route, outcome and reason.
    pub requests: Family<Request, Counter<u64, AtomicU64>>,
    /// Seconds from a request's arrival to its response, by outcome.
    pub latency: Family<Outcome, Histogram, fn() -> Histogram>,
    /// Attempts at targets, by service and result.
    pub attempts: Family<Attempt, Counter<u64, AtomicU64>>,
    /// Retries that were refused because the retry budget was used up, by service.
    pub rejected_retries: Family<Service, Counter<u64, AtomicU64>>,
    /// Requests that were rejected because no target has room, by service.
    pub no_room: Family<Service, Counter<u64, AtomicU64>>,
    /// Calls to the store by kind and result.
    pub store_calls: Family<Call, Counter<u64, AtomicU64>>,
    /// Seconds that calls to the store took, without calls that may wait at the store for new
    /// records.
    pub store_latency: Histogram,
    /// Invalid input from outside, by kind.
    pub unusable: Family<Unusable, Counter<u64, AtomicU64>>,
    /// Requests that were passed to the target on this host.
    pub admitted: Counter<u64, AtomicU64>,
    /// Bytes of messages that are held, by kind of message.
    pub held_bytes: Family<Memory, Gauge<i64, AtomicI64>>,
    /// Messages that got no memory, by kind and by what happened to them.
    pub no_memory: Family<NoMemory, Counter<u64, AtomicU64>>,
    /// Known members, by whether they answered the last check.
    pub members: Family<State, Gauge<i64, AtomicI64>>,
    /// Targets of the services that this node uses, by whether their load is known.
    pub load_reports: Family<State, Gauge<i64, AtomicI64>>,
    gauges: Gauges,
}

/// Gauges that are set when metrics are collected.
#[derive(Clone, Debug, Default)]
struct Gauges {
    version: Gauge<i64, AtomicI64>,
    version_age: Gauge<i64, AtomicI64>,
    running: Gauge<i64, AtomicI64>,
    waiting: Gauge<i64, AtomicI64>,
    slots: Gauge<i64, AtomicI64>,
    limit: Gauge<f64, AtomicU64>,
    slowness: Gauge<f64, AtomicU64>,
    is_reader: Gauge<i64, AtomicI64>,
    quarantined: Gauge<i64, AtomicI64>,
    dropped_lines: Gauge<i64, AtomicI64>,
}

/// The state of a process when metrics are collected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readings {
    /// The version of the routes in force.
    pub version: u64,
    /// How long that version has been in force.
    pub version_age: Duration,
    /// The utilization of the target on this host.
    pub load: crate::protocol::dialect::Load,
    /// The limit that the target on this host states, if it states one.
    pub limit: Option<Rate>,
    /// The slowness that the target on this host stated lately, if it stated one.
    pub slowness: Option<Slowness>,
    /// Whether the node reads the store for its failure domain.
    pub is_reader: bool,
    /// Log lines that were dropped.
    pub dropped_lines: u64,
    /// The numbers of members that answered the last check, and that did not.
    pub members: (usize, usize),
    /// Quarantined requests, under which targets crashed.
    pub quarantined: usize,
    /// The numbers of targets with a fresh load report, and without.
    pub load_reports: (usize, usize),
}

/// The labels of [`Metrics::requests`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Request {
    /// The route; empty if none matched.
    pub route: String,
    /// The outcome: whether the request ran.
    pub outcome: String,
    /// The reason of a refusal; empty for any other response.
    pub reason: String,
}

/// The labels of [`Metrics::latency`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Outcome {
    /// The outcome: whether the request ran.
    pub outcome: String,
}

/// The labels of [`Metrics::attempts`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Attempt {
    /// The service.
    pub service: String,
    /// The result of the attempt.
    pub end: &'static str,
}

/// The labels of [`Metrics::rejected_retries`] and [`Metrics::no_room`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Service {
    /// The service.
    pub service: String,
}

/// The labels of [`Metrics::store_calls`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Call {
    /// `newest`, `tail` or `put`.
    pub call: &'static str,
    /// `ok` or `failed`.
    pub result: &'static str,
}

/// The labels of [`Metrics::held_bytes`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Memory {
    /// `bodies` or `messages`.
    pub kind: &'static str,
}

/// The labels of [`Metrics::no_memory`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct NoMemory {
    /// `bodies` or `messages`.
    pub kind: &'static str,
    /// `given-up` or `refused`.
    pub end: &'static str,
}

/// The labels of [`Metrics::unusable`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Unusable {
    /// `version`, `member`, `heartbeat`, `news` or `loads`.
    pub what: &'static str,
}

/// The labels of [`Metrics::members`] and [`Metrics::load_reports`].
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct State {
    /// `present` or `silent`; `fresh` or `unknown`.
    pub state: &'static str,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Metrics {
    /// Returns metrics with all values at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("rilltrack")),
            requests: Family::default(),
            latency: Family::new_with_constructor(histogram),
            attempts: Family::default(),
            rejected_retries: Family::default(),
            no_room: Family::default(),
            load_reports: Family::default(),
            store_calls: Family::default(),
            store_latency: histogram(),
            unusable: Family::default(),
            admitted: Counter::default(),
            held_bytes: Family::default(),
            no_memory: Family::default(),
            members: Family::default(),
            gauges: Gauges::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut guard = self.registry.lock();
        let registry = &mut *guard;
        registry.register(
            "requests",
            "Requests by what became of them",
            self.requests.clone(),
        );
        registry.register("latency_seconds", "Arrival to answer", self.latency.clone());
        registry.register(
            "tries",
            "Tries at a target by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "unallowed",
            "Further sends refused for want of allowance",
            self.rejected_retries.clone(),
        );
        registry.register(
            "no_room",
            "Requests refused because no target has room, without asking one",
            self.no_room.clone(),
        );
        registry.register(
            "load_reports",
            "Targets of the services used here, by whether their load is known",
            self.load_reports.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "store_seconds",
            "Time of calls to the store, without their wait",
            self.store_latency.clone(),
        );
        registry.register(
            "unusable",
            "Records, heartbeats and news that can't be used",
            self.unusable.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes of messages that are not whole or not handled yet",
            self.held_bytes.clone(),
        );
        registry.register(
            "no_memory",
            "Messages that were given up or refused for want of memory",
            self.no_memory.clone(),
        );
        registry.register("members", "Members known", self.members.clone());
        let gauges = &self.gauges;
        registry.register(
            "version",
            "Version of the routes in force",
            gauges.version.clone(),
        );
        registry.register(
            "version_age_seconds",
            "How long it has been in force",
            gauges.version_age.clone(),
        );
        registry.register(
            "gate_running",
            "Requests at the target here",
            gauges.running.clone(),
        );
        registry.register(
            "gate_waiting",
            "Requests that wait for the target here",
            gauges.waiting.clone(),
        );
        registry.register(
            "gate_slots",
            "Requests that the target here runs at a time",
            gauges.slots.clone(),
        );
        registry.register(
            "gate_limit",
            "Requests per second that the target here takes by its own statement, -1 without one",
            gauges.limit.clone(),
        );
        registry.register(
            "gate_slowness",
            "How many times the usual time work takes at the target here, by its own statement, -1 without a fresh one",
            gauges.slowness.clone(),
        );
        registry.register(
            "gate_admitted",
            "Requests passed to the target here",
            self.admitted.clone(),
        );
        registry.register(
            "reading",
            "Whether the node reads the store for its failure domain",
            gauges.is_reader.clone(),
        );
        registry.register(
            "held_back",
            "Requests that are held back because targets ended under them",
            gauges.quarantined.clone(),
        );
        registry.register(
            "log_lines_lost",
            "Log lines passed over",
            gauges.dropped_lines.clone(),
        );
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self, now: &Readings) -> String {
        let gauges = &self.gauges;
        gauges.version.set(now.version as i64);
        gauges.version_age.set(now.version_age.as_secs() as i64);
        gauges.running.set(i64::from(now.load.running));
        gauges.waiting.set(i64::from(now.load.waiting));
        gauges.slots.set(i64::from(now.load.slots));
        gauges
            .limit
            .set(now.limit.map_or(NO_LIMIT, Rate::per_second));
        gauges
            .slowness
            .set(now.slowness.map_or(NO_SLOWNESS, Slowness::factor));
        gauges.is_reader.set(i64::from(now.is_reader));
        gauges.quarantined.set(now.quarantined as i64);
        gauges.dropped_lines.set(now.dropped_lines as i64);
        let (present, silent) = now.members;
        for (state, count) in [("present", present), ("silent", silent)] {
            self.members
                .get_or_create(&State { state })
                .set(count as i64);
        }
        let (fresh, unknown) = now.load_reports;
        for (state, count) in [("fresh", fresh), ("unknown", unknown)] {
            self.load_reports
                .get_or_create(&State { state })
                .set(count as i64);
        }
        let mut text = String::new();
        encode(&mut text, &self.registry.lock()).expect("writing to a String can't fail");
        text
    }
}
