//! Stand-ins and helpers for tests and examples.
#![allow(
    dead_code,
    reason = "each test file uses a different subset of these helpers"
)]

pub mod host;
pub mod link;
pub mod local;
pub mod log;
pub mod mesh;
pub mod raw;
pub mod scenario;
pub mod target;

use std::time::{Duration, Instant};

/// Polls `check` until it returns a value, and returns that value. The limit of
/// 60 s only stops a hanging test: no step takes nearly as long, so no result
/// depends on timing.
pub async fn until<F, T>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns an HTTP/1.1 client that follows no redirects, retries nothing and uses
/// no proxy.
pub fn client() -> reqwest::Client {
    rilltrack::transport::http::client().build().unwrap()
}

/// Returns the processor time that a process has used so far, in seconds.
pub fn cpu_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // Fields 11 and 12 after the command name are user and system time, in
    // hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

/// Returns the largest resident memory of a process so far, in bytes.
pub fn peak_memory(id: u32) -> f64 {
    status_bytes(id, "VmHWM:")
}

/// Returns the resident memory of a process, in bytes.
pub fn resident(id: u32) -> f64 {
    status_bytes(id, "VmRSS:")
}

/// Returns a field of `/proc/{id}/status` in bytes, or 0 if it can't be read.
fn status_bytes(id: u32, field: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with(field))
        .unwrap_or("");
    let kib: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    kib * 1024.0
}
