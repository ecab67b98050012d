//! Prometheus metrics of one daemon.

use std::sync::atomic::{AtomicI64, AtomicU64};

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

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<RequestLabels, Counter<u64, AtomicU64>>,
    /// Seconds from the arrival of a request to the start of its answer.
    pub latency: Histogram,
    /// Attempts after the first one of a request.
    pub retries: Counter<u64, AtomicU64>,
    /// Requests shed by the inbound proxy.
    pub shed: Counter<u64, AtomicU64>,
    /// Requests in progress at the target on this host.
    pub running: Gauge<i64, AtomicI64>,
    /// Bytes of frames sent to and received from other nodes.
    pub control_bytes: Family<Direction, Counter<u64, AtomicU64>>,
    /// Frames sent to other nodes.
    pub frames: Counter<u64, AtomicU64>,
    /// Reads of the platform's log.
    pub log_reads: Counter<u64, AtomicU64>,
    /// Appends to the platform's log.
    pub log_appends: Counter<u64, AtomicU64>,
    /// The log offset of the version in force.
    pub version: Gauge<i64, AtomicI64>,
    /// Number of members that this node knows.
    pub members: Gauge<i64, AtomicI64>,
    /// Number of log lines dropped.
    pub dropped_lines: Gauge<i64, AtomicI64>,
}

/// The label of a request's metric.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The outcome, as reported to the caller.
    pub outcome: String,
}

/// The label for the direction of traffic between nodes.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Direction {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// The label of bytes sent by this node.
pub const SENT: Direction = Direction { direction: "sent" };
/// The label of bytes received by this node.
pub const RECEIVED: Direction = Direction {
    direction: "received",
};

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns metrics that are all zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("rilltrack"),
            requests: Family::default(),
            latency: Histogram::new(exponential_buckets(0.0001, 2.0, 18)),
            retries: Counter::default(),
            shed: Counter::default(),
            running: Gauge::default(),
            control_bytes: Family::default(),
            frames: Counter::default(),
            log_reads: Counter::default(),
            log_appends: Counter::default(),
            version: Gauge::default(),
            members: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by what became of them",
            self.requests.clone(),
        );
        registry.register(
            "latency_seconds",
            "Arrival to start of answer",
            self.latency.clone(),
        );
        registry.register(
            "retries",
            "Attempts after a first one",
            self.retries.clone(),
        );
        registry.register(
            "shed",
            "Requests shed by the inbound proxy",
            self.shed.clone(),
        );
        registry.register(
            "running",
            "Requests in flight at the targets here",
            self.running.clone(),
        );
        registry.register(
            "control_bytes",
            "Frame bytes between nodes",
            self.control_bytes.clone(),
        );
        registry.register("frames", "Frames sent to other nodes", self.frames.clone());
        registry.register(
            "log_reads",
            "Reads of the platform's log",
            self.log_reads.clone(),
        );
        registry.register(
            "log_appends",
            "Appends to the platform's log",
            self.log_appends.clone(),
        );
        registry.register(
            "version_offset",
            "Log offset in force",
            self.version.clone(),
        );
        registry.register("members", "Members known", self.members.clone());
        registry.register(
            "log_lines_lost",
            "Log lines lost",
            self.dropped_lines.clone(),
        );
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a String does not fail");
        text
    }
}
