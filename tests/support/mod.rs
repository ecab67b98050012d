//! Small stand-ins and helpers for tests and examples.
#![allow(dead_code, reason = "every test file uses its own part of this")]

pub mod link;
pub mod local;
pub mod log;
pub mod mesh;
pub mod raw;
pub mod scenario;
pub mod target;

use std::time::{Duration, Instant};

/// Waits until `check` holds. The limit only ends a test that hangs: it is far
/// beyond what any step takes, so no verdict depends on timing.
pub async fn until<F, T>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let since = Instant::now();
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(
            since.elapsed() < Duration::from_secs(60),
            "never came: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns an HTTP client that does nothing behind the test's back.
pub fn client() -> reqwest::Client {
    rilltrack::transport::http::client().build().unwrap()
}

/// Processor seconds of a process so far.
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
    // User and system time, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

/// Largest resident memory of a process so far, in bytes.
pub fn peak_memory(id: u32) -> f64 {
    status_bytes(id, "VmHWM:")
}

/// Resident memory of a process, in bytes.
pub fn resident(id: u32) -> f64 {
    status_bytes(id, "VmRSS:")
}

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
