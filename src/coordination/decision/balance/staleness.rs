//! What the load that a target had some time ago implies for its load now.

use std::time::Duration;

/// Time in which about two thirds of a difference between the loads of targets are gone, as a
/// share of the mean run time. By then, half of the requests that made the difference have
/// ended, and new ones have gone to the targets with less load. Without the decay, all nodes
/// with the same reports send to the same targets: 17% of the attempts are rejected, and 4% with
/// it (docs/MEASURES.md).
const RELAXATION: f64 = 0.5;

/// Returns the requests that a target is expected to have now, if it had `known` some time ago
/// and targets of its size have `typical` on average. `run_time` is the mean in seconds.
pub(super) fn expected(known: f64, typical: f64, age: Duration, run_time: f64) -> f64 {
    let relaxation = RELAXATION * run_time.max(f64::MIN_POSITIVE);
    let weight = (-age.as_secs_f64() / relaxation).exp();
    typical + weight * (known - typical)
}
