//! Replays of teams' rate limits: the bound over all nodes, and what is refused within it.

use rilltrack_standins::rate_limit::{Way, loads, replay};

/// Seeds of a load. One of hundreds of requests a second varies less from seed to seed.
fn seeds(name: &str) -> std::ops::Range<u64> {
    0..if name.starts_with("large") { 5 } else { 20 }
}

/// By how much the requests of a window may exceed the limit, as a share of it and in requests.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The share of requests within the limit that may be refused.
const MAX_REFUSED_WITHIN: f64 = 0.01;

#[test]
fn no_window_exceeds_the_limit_whatever_is_cut_off_or_restarted() {
    for (name, load) in loads() {
        for seed in seeds(&name) {
            let figures = replay(&load, Way::Pools, seed);
            let most = figures.allowed * (1.0 + OVERSHOOT) + SLACK;
            assert!(
                figures.fullest_window <= most,
                "{name}, seed {seed}: {figures:?}"
            );
        }
    }
}

#[test]
fn team_within_its_limit_is_hardly_ever_refused() {
    for (name, load) in loads()
        .into_iter()
        .filter(|(_, load)| load.demand.0 == load.demand.1)
    {
        let refused = seeds(&name).map(|seed| replay(&load, Way::Pools, seed).refused_within);
        let mean = refused.sum::<f64>() / seeds(&name).count() as f64;
        assert!(mean <= MAX_REFUSED_WITHIN, "{name}: {mean}");
    }
}

#[test]
fn team_beyond_its_limit_gets_nearly_all_of_it() {
    for (name, load) in loads()
        .into_iter()
        .filter(|(_, load)| load.demand.0 != load.demand.1)
    {
        for seed in seeds(&name) {
            let [ours, ideal] =
                [Way::Pools, Way::Owner].map(|way| replay(&load, way, seed).admitted);
            assert!(
                ours >= 0.9 * ideal,
                "{name}, seed {seed}: {ours} of {ideal}"
            );
        }
    }
}
