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

/// The shortest latency that is told apart, in seconds; each bucket doubles it.
const SHORTEST: f64 = 0.001;

/// Buckets: up to 16 s, beyond every deadline of both meshes.
const BUCKETS: u16 = 15;

/// The metrics of one host process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests by route, outcome and reason.
    pub requests: Family<Request, Counter<u64, AtomicU64>>,
    /// Seconds from a request's arrival to its answer, by outcome.
    pub latency: Family<Outcome, Histogram, fn() -> Histogram>,
    /// Tries at a target by how they ended.
    pub tries: Family<Try, Counter<u64, AtomicU64>>,
    /// Further sends that were refused for want of allowance, by service.
    pub unallowed: Family<Service, Counter<u64, AtomicU64>>,
    /// Calls to the store by kind and result.
    pub store: Family<Call, Counter<u64, AtomicU64>>,
    /// Seconds that calls to the store took, without their wait.
    pub store_latency: Histogram,
    /// What came from outside and can't be used, by what it was to be.
    pub unusable: Family<Unusable, Counter<u64, AtomicU64>>,
    /// Members known, by whether they answered when last checked.
    pub members: Family<State, Gauge<i64, AtomicI64>>,
    gauges: Gauges,
}

/// What is read when metrics are asked for.
#[derive(Clone, Debug, Default)]
struct Gauges {
    version: Gauge<i64, AtomicI64>,
    version_age: Gauge<i64, AtomicI64>,
    running: Gauge<i64, AtomicI64>,
    waiting: Gauge<i64, AtomicI64>,
    slots: Gauge<i64, AtomicI64>,
    reading: Gauge<i64, AtomicI64>,
    held: Gauge<i64, AtomicI64>,
    lines_lost: Gauge<i64, AtomicI64>,
}

/// The state of a process at the moment that metrics are asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// The version of the routes in force.
    pub version: u64,
    /// How long it has been in force.
    pub version_age: Duration,
    /// How full the target here is.
    pub load: crate::protocol::dialect::Load,
    /// Whether the node reads the store for its failure domain.
    pub reading: bool,
    /// Log lines passed over.
    pub lines_lost: u64,
    /// Members that answer, and those that did not when last checked.
    pub members: (usize, usize),
    /// Requests that are held back because targets ended under them.
    pub held: usize,
}

/// A request by what became of it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Request {
    /// The route; empty if none matched.
    pub route: String,
    /// Whether it ran.
    pub outcome: String,
    /// Why it was refused; empty if it was not.
    pub reason: String,
}

/// What became of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Outcome {
    /// Whether it ran.
    pub outcome: String,
}

/// How a try at a target ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Try {
    /// The service.
    pub service: String,
    /// How it ended.
    pub end: &'static str,
}

/// A service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Service {
    /// Its name.
    pub service: String,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Call {
    /// `newest`, `tail` or `put`.
    pub call: &'static str,
    /// `ok` or `failed`.
    pub result: &'static str,
}

/// What came from outside and can't be used.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Unusable {
    /// `version`, `member`, `heartbeat` or `news`.
    pub what: &'static str,
}

/// Whether members answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct State {
    /// `present` or `silent`.
    pub state: &'static str,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SHORTEST, 2.0, BUCKETS))
}

impl Metrics {
    /// Returns metrics that all stand at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("rilltrack")),
            requests: Family::default(),
            latency: Family::new_with_constructor(histogram),
            tries: Family::default(),
            unallowed: Family::default(),
            store: Family::default(),
            store_latency: histogram(),
            unusable: Family::default(),
            members: Family::default(),
            gauges: Gauges::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        let r = &mut *registry;
        r.register(
            "requests",
            "Requests by what became of them",
            self.requests.clone(),
        );
        r.register("latency_seconds", "Arrival to answer", self.latency.clone());
        r.register(
            "tries",
            "Tries at a target by how they ended",
            self.tries.clone(),
        );
        r.register(
            "unallowed",
            "Further sends refused for want of allowance",
            self.unallowed.clone(),
        );
        r.register("store_calls", "Calls to the store", self.store.clone());
        r.register(
            "store_seconds",
            "Time of calls to the store, without their wait",
            self.store_latency.clone(),
        );
        r.register(
            "unusable",
            "Records, heartbeats and news that can't be used",
            self.unusable.clone(),
        );
        r.register("members", "Members known", self.members.clone());
        let g = &self.gauges;
        r.register(
            "version",
            "Version of the routes in force",
            g.version.clone(),
        );
        r.register(
            "version_age_seconds",
            "How long it has been in force",
            g.version_age.clone(),
        );
        r.register(
            "gate_running",
            "Requests at the target here",
            g.running.clone(),
        );
        r.register(
            "gate_waiting",
            "Requests that wait for the target here",
            g.waiting.clone(),
        );
        r.register(
            "gate_slots",
            "Requests that the target here runs at a time",
            g.slots.clone(),
        );
        r.register(
            "reading",
            "Whether the node reads the store for its failure domain",
            g.reading.clone(),
        );
        r.register(
            "held_back",
            "Requests that are held back because targets ended under them",
            g.held.clone(),
        );
        r.register(
            "log_lines_lost",
            "Log lines passed over",
            g.lines_lost.clone(),
        );
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self, now: &Now) -> String {
        let g = &self.gauges;
        g.version.set(now.version as i64);
        g.version_age.set(now.version_age.as_secs() as i64);
        g.running.set(i64::from(now.load.running));
        g.waiting.set(i64::from(now.load.waiting));
        g.slots.set(i64::from(now.load.slots));
        g.reading.set(i64::from(now.reading));
        g.held.set(now.held as i64);
        g.lines_lost.set(now.lines_lost as i64);
        let (present, silent) = now.members;
        for (state, count) in [("present", present), ("silent", silent)] {
            self.members
                .get_or_create(&State { state })
                .set(count as i64);
        }
        let mut text = String::new();
        encode(&mut text, &self.registry.lock()).expect("a String takes all text");
        text
    }
}
