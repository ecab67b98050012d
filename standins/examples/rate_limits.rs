//! Compares ways to share a team's rate limit, over loads and seeds.
//!
//!     cargo run --release -p rilltrack-standins --example rate_limits

use rilltrack_standins::rate_limit::{Figures, Way, loads, replay};

const SEEDS: u64 = 20;

fn main() {
    println!(
        "| load | way | fullest window, % of the limit | refused within it, % | admitted, % | messages/s, node |"
    );
    println!("|---|---|---|---|---|---|");
    for (name, load) in loads() {
        for way in [Way::Pools, Way::Fractions, Way::Owner] {
            let all: Vec<_> = (0..SEEDS).map(|seed| replay(&load, way, seed)).collect();
            let mean = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
            let fullest = all
                .iter()
                .map(|f| f.fullest_window / f.allowed)
                .fold(0.0, f64::max);
            println!(
                "| {name} | {way:?} | {:.0} | {:.2} | {:.1} | {:.2} |",
                fullest * 100.0,
                mean(|f| f.refused_within) * 100.0,
                mean(|f| f.admitted) * 100.0,
                mean(|f| f.messages),
            );
        }
    }
}
