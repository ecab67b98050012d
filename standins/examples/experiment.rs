//! Replays loads on rilltrack's decisions and prints the results for callers.
//!
//!     cargo run --release -p rilltrack-standins --example experiment -- \
//!         standins/examples/loads/many-senders.jsonc --json before.json
//!
//! To evaluate a change, run it before the change with `--json before.json` and after it with
//! `--against before.json`: the difference is computed for each seed.

use std::{collections::BTreeMap, path::PathBuf, process::ExitCode, thread};

use argh::FromArgs;
use indicatif::ProgressBar;
use rilltrack::document::Document;
use rilltrack_standins::load::{self, Experiment, Figures, Load};

/// Replays loads on the decisions.
#[derive(FromArgs)]
struct Args {
    /// the experiment, JSON with comments
    #[argh(positional)]
    file: PathBuf,
    /// only check the file
    #[argh(switch)]
    check: bool,
    /// write the worth of each seed here
    #[argh(option)]
    json: Option<PathBuf>,
    /// what an earlier run wrote, to be compared with
    #[argh(option)]
    against: Option<PathBuf>,
}

/// The worth of each seed's replay, by variant.
type Worths = BTreeMap<String, Vec<f64>>;

/// Student's t for a 95% interval: about this value from 8 seeds on, larger for fewer.
const T95: f64 = 2.3;

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let experiment = Experiment::from_document(&Document::read(&args.file)?)?;
    if args.check {
        println!("{} is usable", args.file.display());
        return Ok(());
    }
    let before: Option<Worths> = match &args.against {
        Some(path) => Some(serde_json::from_slice(&std::fs::read(path)?)?),
        None => None,
    };
    let mut worths = Worths::new();
    let bar = ProgressBar::new(experiment.variants.len() as u64 * experiment.seeds);
    for (name, load) in &experiment.variants {
        let figures = replay(load, experiment.seeds, &bar);
        let worth: Vec<f64> = figures.iter().map(Figures::worth).collect();
        let former = before.as_ref().and_then(|before| before.get(name));
        bar.suspend(|| show(name, &figures, &worth, former));
        worths.insert(name.clone(), worth);
    }
    bar.finish_and_clear();
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&worths)?)?;
    }
    Ok(())
}

/// Replays a load with each seed, on all processors; returns the results in seed order.
fn replay(load: &Load, seeds: u64, bar: &ProgressBar) -> Vec<Figures> {
    let parallelism = thread::available_parallelism().map_or(1, usize::from);
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut figures = Vec::with_capacity(seeds.len());
    for batch in seeds.chunks(parallelism) {
        figures.extend(thread::scope(|scope| {
            let replay = |seed| {
                scope.spawn(move || {
                    let figures = load::run(load, seed);
                    bar.inc(1);
                    figures
                })
            };
            let threads: Vec<_> = batch.iter().copied().map(replay).collect();
            let join = |thread: thread::ScopedJoinHandle<'_, _>| {
                thread.join().expect("a replay does not panic")
            };
            threads.into_iter().map(join).collect::<Vec<_>>()
        }));
    }
    figures
}

/// Prints the worth of a variant and the results of each kind of request.
fn show(name: &str, figures: &[Figures], worth: &[f64], former: Option<&Vec<f64>>) {
    let mut sorted = worth.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (least, most) = (sorted[0], sorted[sorted.len() - 1]);
    let median = sorted[sorted.len() / 2];
    print!("{name}: worth {median:.4} ({least:.4} to {most:.4})");
    if let Some(former) = former {
        let (mean, half) = difference(former, worth);
        print!(", {mean:+.4} ± {half:.4} over before");
    }
    println!();
    let kinds = figures[0].kinds.len();
    println!("  kind   in time    late refused  failed  broken  asked of nodes  p99 ms");
    for kind in 0..kinds {
        let counts: Vec<_> = figures.iter().map(|f| &f.kinds[kind]).collect();
        let mean = |of: &dyn Fn(&load::Count) -> f64| {
            counts.iter().map(|count| of(count)).sum::<f64>() / counts.len() as f64
        };
        println!(
            "  {kind:>4} {:>9.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>15.2} {:>7.0}",
            mean(&|c| c.share(c.in_time)),
            mean(&|c| c.share(c.late)),
            mean(&|c| c.share(c.refused)),
            mean(&|c| c.share(c.failed)),
            mean(&|c| f64::from(c.runs_failed_by_refused_call) / f64::from(c.runs.max(1))),
            mean(&|c| c.share(c.offers)),
            mean(&|c| c.took.quantile(0.99).as_secs_f64() * 1e3),
        );
    }
}

/// Returns the mean of the paired differences, and half the width of its 95% interval.
fn difference(before: &[f64], after: &[f64]) -> (f64, f64) {
    let differences: Vec<f64> = before.iter().zip(after).map(|(b, a)| a - b).collect();
    let count = differences.len().max(1) as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
    let error = (squares / (count - 1.0).max(1.0) / count).sqrt();
    (mean, T95 * error)
}
