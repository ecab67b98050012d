//! Counters and gauges of one daemon, for Prometheus.

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
    /// Requests by what became of them.
    pub requests: Family<Fate, Counter<u64, AtomicU64>>,
    /// Seconds from a request's arrival to the start of its answer.
    pub latency: Histogram,
    /// Further attempts after a first one.
    pub retries: Counter<u64, AtomicU64>,
    /// Requests shed by the inbound proxy.
    pub shed: Counter<u64, AtomicU64>,
    /// Requests in flight at the target on this host.
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
    /// Members known.
    pub members: Gauge<i64, AtomicI64>,
    /// Log lines lost.
    pub lines_lost: Gauge<i64, AtomicI64>,
}

/// What became of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Fate {
    /// An outcome as callers see it.
    pub outcome: String,
}

/// Which way bytes went.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct Direction {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Bytes that left this node.
pub const SENT: Direction = Direction { direction: "sent" };
/// Bytes that came to this node.
pub const RECEIVED: Direction = Direction {
    direction: "received",
};

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns metrics that all stand at zero.
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
            lines_lost: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by what became of them",
            self.requests.clone(),
        );
        r.register(
            "latency_seconds",
            "Arrival to start of answer",
            self.latency.clone(),
        );
        r.register(
            "retries",
            "Attempts after a first one",
            self.retries.clone(),
        );
        r.register(
            "shed",
            "Requests shed by the inbound proxy",
            self.shed.clone(),
        );
        r.register(
            "running",
            "Requests in flight at the targets here",
            self.running.clone(),
        );
        r.register(
            "control_bytes",
            "Frame bytes between nodes",
            self.control_bytes.clone(),
        );
        r.register("frames", "Frames sent to other nodes", self.frames.clone());
        r.register(
            "log_reads",
            "Reads of the platform's log",
            self.log_reads.clone(),
        );
        r.register(
            "log_appends",
            "Appends to the platform's log",
            self.log_appends.clone(),
        );
        r.register(
            "version_offset",
            "Log offset in force",
            self.version.clone(),
        );
        r.register("members", "Members known", self.members.clone());
        r.register("log_lines_lost", "Log lines lost", self.lines_lost.clone());
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a String takes all text");
        text
    }
}
