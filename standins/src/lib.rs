//! Stand-ins of the platform: its store, targets, a small fleet on loopback, and a model
//! of load over a virtual clock.

pub mod fleet;
pub mod load;
pub mod proxy;
pub mod store;
pub mod target;

#[path = "../../tests/support/raw.rs"]
pub mod raw;

use std::time::{Duration, Instant};

/// Waits until `check` holds. The limit only ends a test that hangs: it is far
/// beyond what any step takes, so no verdict depends on timing.
pub async fn until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !check().await {
        assert!(
            since.elapsed() < Duration::from_secs(60),
            "never came: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Names each case: a test over processes, on several threads.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() $body)*
    };
}
