//! Stand-ins for the platform: its store, targets, a fault-injecting proxy, a small fleet of
//! nodes on loopback, and a model of load over a virtual clock.

pub mod fleet;
pub mod load;
pub mod process;
pub mod proxy;
pub mod rate_limit;
pub mod store;
pub mod target;

#[path = "../../tests/support/raw.rs"]
pub mod raw;

use std::time::{Duration, Instant};

/// Waits until `check` returns true. The 60 s limit only ends a test that hangs: no step
/// takes nearly as long, so no test result depends on timing.
///
/// # Panics
///
/// If `check` is still false after 60 s.
pub async fn until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !check().await {
        assert!(
            since.elapsed() < Duration::from_secs(60),
            "timed out after 60 s waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Defines each case as an async test on a multi-threaded runtime.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)*
    };
}
