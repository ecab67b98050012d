//! The pace of requests to a target that takes only so many a second.

use std::time::{Duration, Instant};

use rilltrack::{
    coordination::decision::pace::{Bound, Pace},
    unit::Rate,
};

/// The time between two arrivals.
const STEP: Duration = Duration::from_millis(1);

fn limit(per_second: f64) -> Bound {
    Bound::limit(Rate::from_per_second(per_second).unwrap())
}

/// Offers a request every millisecond for `seconds`; returns when requests were passed on, in
/// milliseconds.
fn passed(pace: &mut Pace, start: Instant, seconds: u32) -> Vec<u32> {
    let steps = (0..seconds * 1_000).filter(|step| {
        let now = start + STEP * *step;
        let is_free = pace.wait(now).is_none();
        if is_free {
            pace.record(now);
        }
        is_free
    });
    steps.collect()
}

/// Returns the most requests within any span of `millis`.
fn busiest(times: &[u32], millis: u32) -> usize {
    let before = |end: u32| times.partition_point(|at| *at < end);
    let within = |from: &u32| before(from + millis) - before(*from);
    times.iter().map(within).max().unwrap_or(0)
}

/// Each case: a limit in requests per second, and how many of constant demand are passed on
/// within 20 s.
macro_rules! cases {
    ($($name:ident: $limit:expr => $passed:expr;)*) => {
        $(#[test] fn $name() {
            let mut pace = Pace::default();
            pace.set(Some(limit($limit)));
            let times = passed(&mut pace, Instant::now(), 20);
            assert!($passed.contains(&times.len()), "{} passed", times.len());
            // What the platform allows a target within 4 s: half more than its limit, and five.
            let allowed = (($limit * 1.5 * 4.0) as usize).saturating_add(5);
            let busiest = busiest(&times, 4_000);
            assert!(busiest <= allowed, "{busiest} within 4 s, {allowed} allowed");
        })*
    };
}

cases! {
    whole_limit_is_used_up: 40.0 => 800..=840;
    fraction_of_a_limit_is_used_up: 45.9 => 900..=964;
    limit_of_one_and_a_half_is_used_up: 1.5 => 29..=31;
    limit_below_one_is_used_up: 0.25 => 5..=5;
    limit_near_zero_lets_a_request_through_every_five_seconds: 0.01 => 4..=4;
    limit_of_zero_lets_a_request_through_every_five_seconds: 0.0 => 4..=4;
    limit_beyond_all_demand_passes_all: 1e9 => 20_000..=20_000;
    largest_limit_passes_all: f64::MAX => 20_000..=20_000;
}

#[test]
fn lowered_limit_counts_what_has_been_passed_on() {
    let (mut pace, start) = (Pace::default(), Instant::now());
    pace.set(Some(limit(20.0)));
    assert_eq!(passed(&mut pace, start, 1).len(), 20);
    pace.set(Some(limit(5.0)));
    let next = start + Duration::from_secs(1);
    assert_eq!(passed(&mut pace, next, 1).len(), 5);
}

#[test]
fn withdrawn_limit_holds_nothing_back() {
    let (mut pace, start) = (Pace::default(), Instant::now());
    pace.set(Some(limit(1.0)));
    assert_eq!(passed(&mut pace, start, 1).len(), 1);
    pace.set(None);
    assert_eq!(passed(&mut pace, start, 1).len(), 1_000);
}

#[test]
fn raised_limit_is_free_at_once() {
    let (mut pace, start) = (Pace::default(), Instant::now());
    pace.set(Some(limit(0.0)));
    pace.record(start);
    assert_eq!(pace.wait(start), Some(Duration::from_secs(5)));
    pace.set(Some(limit(10.0)));
    assert_eq!(pace.wait(start), None);
}
