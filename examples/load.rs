//! Open-loop load on real daemons. Measures the latency that they add to a call,
//! and goodput under overload and faults, compared with naive callers in the same
//! run.
//!
//!     cargo build --release
//!     cargo run --release --example load -- added
//!     cargo run --release --example load -- overload
//!     cargo run --release --example load -- large
//!
//! Latency is measured from the scheduled time of a request, not from the time at
//! which it is sent.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::{Value, json};
use support::{
    log::Log,
    mesh::{Process, attach, ops, processes, publish, wait_for_version},
    target::Target,
};

const DOMAINS: [&str; 3] = ["palermo", "catania", "messina"];
/// Number of requests that a target runs at a time in `overload`.
const SLOTS: usize = 12;
/// Run time of each request in `overload`, in milliseconds.
const RUN_TIME_MS: u64 = 60;
/// A later answer is useless to the caller and isn't counted.
const DEADLINE: Duration = Duration::from_millis(500);

/// Measures real daemons under open-loop load.
#[derive(FromArgs)]
struct Args {
    /// measurement: added, overload or large
    #[argh(positional)]
    what: String,
    /// seconds for each measurement
    #[argh(option, default = "10")]
    seconds: u64,
    /// file for the results, one JSON line each
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Results of one run. A useful answer is complete, successful and in time.
#[derive(Clone, Debug, Serialize)]
struct Measurement {
    what: String,
    rate: f64,
    sent: u64,
    /// Useful answers per second.
    goodput: f64,
    /// Share of requests with a useful answer, by class: critical, normal, bulk.
    useful: [f64; 3],
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    /// 99th percentile of the latency of useful answers, by class.
    class_p99_us: [u64; 3],
    /// Attempts that reached targets, per request sent.
    attempts: f64,
    /// Processor time of the daemons per request, in microseconds.
    cpu_us: f64,
    /// 50th and 99th percentile of the latency in each second of the run, in
    /// microseconds.
    seconds: Vec<(u64, u64)>,
}

/// How long before the scheduled time of a request the pacer starts to spin.
const SPIN_TIME: Duration = Duration::from_micros(150);

/// Sends one request, given its serial number and class, and returns whether a
/// complete successful answer arrived.
type SendFn = Arc<
    dyn Fn(usize, usize) -> futures_util::future::BoxFuture<'static, bool>
        + std::marker::Send
        + Sync,
>;

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Returns the 50th and 99th percentile.
fn percentiles(histogram: &Mutex<Histogram<u64>>) -> (u64, u64) {
    let histogram = histogram.lock();
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

/// Returns by how much the 50th and 99th percentile of `through` exceed those of
/// `direct`: the median over the seconds of two simultaneous runs. Stalls of the
/// host affect few seconds, and both runs.
fn median_added(direct: &Measurement, through: &Measurement) -> (i64, i64) {
    let both = || direct.seconds.iter().zip(&through.seconds);
    let mut p50: Vec<i64> = both().map(|(d, t)| t.0 as i64 - d.0 as i64).collect();
    let mut p99: Vec<i64> = both().map(|(d, t)| t.1 as i64 - d.1 as i64).collect();
    p50.sort_unstable();
    p99.sort_unstable();
    (p50[p50.len() / 2], p99[p99.len() / 2])
}

/// Sends requests at a constant `rate` for `seconds` and measures the answers.
async fn run_load(what: &str, rate: f64, seconds: u64, send: SendFn) -> Measurement {
    let latencies: Arc<Vec<Mutex<Histogram<u64>>>> = Arc::new(
        (0..3)
            .map(|_| Mutex::new(Histogram::new(3).expect("three digits are allowed")))
            .collect(),
    );
    let by_second: Arc<Vec<Mutex<Histogram<u64>>>> =
        Arc::new((0..seconds).map(|_| Mutex::new(new_histogram())).collect());
    let useful: Arc<[AtomicU64; 3]> = Arc::default();
    let completed = Arc::new(AtomicUsize::new(0));
    let count = (rate * seconds as f64) as usize;
    let runtime = tokio::runtime::Handle::current();
    let pacer = {
        let (latencies, useful, completed) = (latencies.clone(), useful.clone(), completed.clone());
        let by_second = by_second.clone();
        // A thread that spins, because timers of the runtime have a resolution of 1 ms.
        std::thread::spawn(move || {
            let start = Instant::now();
            for i in 0..count {
                let scheduled = start + Duration::from_secs_f64(i as f64 / rate);
                // Sleeps most of the time: a core that only spins is not available to the
                // processes under measurement.
                let remaining = scheduled.saturating_duration_since(Instant::now());
                std::thread::sleep(remaining.saturating_sub(SPIN_TIME));
                while Instant::now() < scheduled {
                    std::hint::spin_loop();
                }
                let (latencies, useful, completed, send) = (
                    latencies.clone(),
                    useful.clone(),
                    completed.clone(),
                    send.clone(),
                );
                let by_second = by_second.clone();
                // Of ten requests, two are critical, six normal and two bulk.
                let class = [0, 1, 1, 2, 1, 0, 1, 1, 2, 1][i % 10];
                runtime.spawn(async move {
                    let answered = tokio::time::timeout(DEADLINE * 2, send(i, class)).await;
                    let latency = scheduled.elapsed();
                    if answered == Ok(true) && latency <= DEADLINE {
                        useful[class].fetch_add(1, Ordering::Relaxed);
                        latencies[class]
                            .lock()
                            .record(latency.as_micros() as u64)
                            .expect("in range");
                        let second = (i as f64 / rate) as usize;
                        let mut second = by_second[second].lock();
                        second.record(latency.as_micros() as u64).expect("in range");
                    }
                    completed.fetch_add(1, Ordering::Relaxed);
                });
            }
        })
    };
    while !pacer.is_finished() || completed.load(Ordering::Relaxed) < count {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut all = Histogram::<u64>::new(3).expect("three digits are allowed");
    latencies.iter().for_each(|part| {
        all.add(&*part.lock())
            .expect("histograms of the same precision")
    });
    let useful_by_class = |i: usize| useful[i].load(Ordering::Relaxed) as f64;
    let sent_by_class = [0.2, 0.6, 0.2].map(|share| share * count as f64);
    Measurement {
        what: what.into(),
        rate,
        sent: count as u64,
        goodput: (0..3).map(useful_by_class).sum::<f64>() / seconds as f64,
        useful: std::array::from_fn(|i| useful_by_class(i) / sent_by_class[i]),
        p50_us: all.value_at_quantile(0.5),
        p99_us: all.value_at_quantile(0.99),
        p999_us: all.value_at_quantile(0.999),
        class_p99_us: std::array::from_fn(|i| latencies[i].lock().value_at_quantile(0.99)),
        attempts: 0.0,
        cpu_us: 0.0,
        seconds: by_second.iter().map(percentiles).collect(),
    }
}

/// Returns a sender of GET requests to the URL for a serial number and class.
fn get_sender(
    client: reqwest::Client,
    url: impl Fn(usize, usize) -> String + std::marker::Send + Sync + 'static,
) -> SendFn {
    Arc::new(move |i, class| {
        let request = client
            .get(url(i, class))
            .header("rilltrack-deadline-ms", DEADLINE.as_millis() as u64);
        Box::pin(async move {
            let Ok(response) = request.send().await else {
                return false;
            };
            response.status().is_success() && response.bytes().await.is_ok()
        })
    })
}

/// Returns a sender that acts as a naive caller: round robin over targets, with two
/// immediate retries.
fn naive_sender(client: reqwest::Client, targets: Vec<SocketAddr>) -> SendFn {
    let next = Arc::new(AtomicUsize::new(0));
    Arc::new(move |_, _| {
        let (client, targets, next) = (client.clone(), targets.clone(), next.clone());
        Box::pin(async move {
            for _ in 0..3 {
                let target = targets[next.fetch_add(1, Ordering::Relaxed) % targets.len()];
                let sent = client
                    .get(format!("http://{target}/s"))
                    .timeout(DEADLINE)
                    .send()
                    .await;
                let Ok(response) = sent else { continue };
                if response.status().is_success() && response.bytes().await.is_ok() {
                    return true;
                }
            }
            false
        })
    })
}

/// Running daemons, each with a target.
struct Mesh {
    log: Log,
    nodes: Vec<Process>,
    targets: Vec<Target>,
}

/// Returns the resources of a mesh with one service and a route for each class.
fn resources(slots: usize, timeout: &str) -> Vec<Value> {
    let mut all: Vec<Value> = DOMAINS
        .iter()
        .map(|d| json!({"kind": "domain", "name": d, "labels": {"region": "south"}}))
        .collect();
    all.extend([
        json!({"kind": "policy", "name": "p", "timeout": timeout, "slots": slots, "queue": 2 * slots,
               "class": "normal", "repeat": "by-method", "max_body": "2GiB"}),
        json!({"kind": "service", "name": "s", "policy": "p"}),
        json!({"kind": "boundary", "name": "b", "services": {"all": true}, "to": {"all": true}}),
        json!({"kind": "route", "name": "normal", "path": "/s", "service": "s"}),
        json!({"kind": "route", "name": "critical", "path": "/s/0", "service": "s", "class": "critical"}),
        json!({"kind": "route", "name": "bulk", "path": "/s/2", "service": "s", "class": "bulk"}),
    ]);
    all
}

impl Mesh {
    /// Starts `per_domain` nodes in each domain, each with a target.
    async fn start(
        program: &std::path::Path,
        per_domain: usize,
        slots: usize,
        run_time_ms: u64,
        timeout: &str,
    ) -> Self {
        let log = Log::start();
        let names: Vec<(String, &str)> = (0..per_domain * DOMAINS.len())
            .map(|i| (format!("n{i}"), DOMAINS[i % DOMAINS.len()]))
            .collect();
        let names: Vec<(&str, &str)> = names
            .iter()
            .map(|(name, domain)| (name.as_str(), *domain))
            .collect();
        let nodes = processes(program, &log, &names).await;
        let version = publish(
            nodes[0].listen.operators,
            "load",
            ops(&resources(slots, timeout)),
        )
        .await;
        let listens: Vec<_> = nodes.iter().map(|node| &node.listen).collect();
        let mut targets = Vec::new();
        for node in &nodes {
            wait_for_version(&node.listen, version).await;
            let target = Target::start(&node.name, "s");
            target.delay_ms.store(run_time_ms, Ordering::SeqCst);
            target.slots.store(slots as u64, Ordering::SeqCst);
            attach(&target, &node.listen, &listens).await;
            target.reset_slots();
            targets.push(target);
        }
        Self {
            log,
            nodes,
            targets,
        }
    }

    /// Returns the callers addresses of all daemons.
    fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.listen.callers).collect()
    }

    /// Returns the processor time of all daemons so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.nodes
            .iter()
            .map(|node| support::cpu_seconds(node.id()))
            .sum()
    }

    /// Returns the number of requests that have reached targets.
    fn hits(&self) -> u64 {
        self.targets.iter().map(Target::hits).sum()
    }

    /// Returns a sender of requests to all daemons in turn.
    fn mesh_sender(&self, client: reqwest::Client) -> SendFn {
        let callers = self.callers();
        get_sender(client, move |i, class| {
            format!("http://{}/s/{class}", callers[i % callers.len()])
        })
    }
}

/// Prints a measurement and appends it to the file `out`.
fn report(result: &Measurement, out: &Option<PathBuf>) {
    println!(
        "{:<28} {:>6.0}/s goodput {:>6.0}/s useful {:>3.0}% {:>3.0}% {:>3.0}%  p50 {:>6} p99 {:>6} p99.9 {:>6} us  \
         class p99 {:>6} {:>6} {:>6}  attempts {:.2}",
        result.what,
        result.rate,
        result.goodput,
        100.0 * result.useful[0],
        100.0 * result.useful[1],
        100.0 * result.useful[2],
        result.p50_us,
        result.p99_us,
        result.p999_us,
        result.class_p99_us[0],
        result.class_p99_us[1],
        result.class_p99_us[2],
        result.attempts
    );
    if let Some(path) = out {
        let mut file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("can be written");
        writeln!(
            file,
            "{}",
            serde_json::to_string(result).expect("plain data always encodes")
        )
        .expect("can be written");
    }
}

/// Measures the latency that the outbound and inbound proxies add to a direct call.
async fn measure_added_latency(args: &Args, program: &std::path::Path) {
    let mesh = Mesh::start(program, 1, 200, 0, "500ms").await;
    let client = support::client();
    let targets: Vec<SocketAddr> = mesh.targets.iter().map(|target| target.address).collect();
    for rate in [200.0, 1000.0, 3000.0] {
        let (direct_to, client) = (targets.clone(), client.clone());
        let direct = get_sender(client.clone(), move |i, _| {
            format!("http://{}/s", direct_to[i % direct_to.len()])
        });
        let through = mesh.mesh_sender(client);
        // A warm-up opens the connections of both paths.
        run_load("warm", rate, 1, direct.clone()).await;
        run_load("warm", rate, 1, through.clone()).await;
        let cpu = mesh.cpu_seconds();
        // Run at the same time, so that noise of the host affects both alike.
        let (direct, through) = tokio::join!(
            run_load("direct", rate, args.seconds, direct),
            run_load("through two proxies", rate, args.seconds, through)
        );
        let mut through = through;
        through.cpu_us = (mesh.cpu_seconds() - cpu) * 1e6 / through.sent as f64;
        report(&direct, &args.out);
        report(&through, &args.out);
        let (p50, p99) = median_added(&direct, &through);
        println!(
            "added                        {rate:>6.0}/s median over seconds: p50 {p50} us, p99 {p99} us; daemons {:.0} us of processor a call",
            through.cpu_us
        );
    }
}

/// Measures goodput by class under overload and faults.
async fn measure_overload(args: &Args, program: &std::path::Path) {
    for fault in ["none", "one slow", "one failing", "one domain lost"] {
        let mut mesh = Mesh::start(program, 2, SLOTS, RUN_TIME_MS, "500ms").await;
        let client = support::client();
        let capacity = (mesh.targets.len() * SLOTS) as f64 * 1000.0 / RUN_TIME_MS as f64;
        let loads: &[f64] = if fault == "none" {
            &[0.5, 1.0, 2.0, 3.0]
        } else {
            &[0.5, 1.0]
        };
        match fault {
            "one slow" => mesh.targets[0]
                .delay_ms
                .store(10 * RUN_TIME_MS, Ordering::SeqCst),
            "one failing" => mesh.targets[0].status.store(500, Ordering::SeqCst),
            _ => {}
        }
        if fault == "one failing" {
            mesh.targets[0].delay_ms.store(0, Ordering::SeqCst);
        }
        for factor in loads {
            let rate = capacity * factor;
            if fault == "one domain lost" && *factor == 0.5 {
                let is_in_lost_domain = |i: usize| i.is_multiple_of(DOMAINS.len());
                let mut i = 0;
                mesh.nodes.retain(|_| {
                    i += 1;
                    !is_in_lost_domain(i - 1)
                });
                let mut i = 0;
                mesh.targets.iter().for_each(|target| {
                    if is_in_lost_domain(i) {
                        target.status.store(503, Ordering::SeqCst);
                        target.delay_ms.store(0, Ordering::SeqCst);
                    }
                    i += 1;
                });
            }
            let targets: Vec<SocketAddr> =
                mesh.targets.iter().map(|target| target.address).collect();
            for (what, send) in [
                ("rilltrack", mesh.mesh_sender(client.clone())),
                ("naive", naive_sender(client.clone(), targets)),
            ] {
                let before = mesh.hits();
                let mut result = run_load(
                    &format!("{what}, {factor}x, {fault}"),
                    rate,
                    args.seconds,
                    send,
                )
                .await;
                result.attempts = (mesh.hits() - before) as f64 / result.sent as f64;
                report(&result, &args.out);
                // Requests left at the targets must not slow down the next run.
                tokio::time::sleep(Duration::from_secs(3)).await;
                mesh.targets.iter().for_each(Target::reset_slots);
            }
        }
        println!("capacity {capacity:.0}/s, log calls {:?}", mesh.log.calls());
    }
}

/// Sends a body of 1 GiB through two nodes. Compares its digest at both ends, and
/// prints the daemons' peak memory before and after.
async fn measure_large_body(program: &std::path::Path) {
    let mesh = Mesh::start(program, 1, 12, 0, "60s").await;
    let before: Vec<f64> = mesh
        .nodes
        .iter()
        .map(|node| support::peak_memory(node.id()))
        .collect();
    let chunk = bytes::Bytes::from(vec![7u8; 1 << 20]);
    let mut hasher = blake3::Hasher::new();
    (0..1024).for_each(|_| {
        hasher.update(&chunk);
    });
    let chunks =
        futures_util::stream::iter((0..1024).map(move |_| Ok::<_, std::io::Error>(chunk.clone())));
    let url = format!("http://{}/s/digest", mesh.nodes[0].listen.callers);
    let start = Instant::now();
    let sent = support::client()
        .post(url)
        .body(reqwest::Body::wrap_stream(chunks))
        .send()
        .await;
    let digest = sent
        .expect("an answer")
        .text()
        .await
        .expect("a complete answer");
    println!(
        "1 GiB in {:.1} s, same digest at both ends: {}",
        start.elapsed().as_secs_f64(),
        digest == hasher.finalize().to_hex().as_str()
    );
    for (node, before) in mesh.nodes.iter().zip(before) {
        println!(
            "{}: peak memory {:.1} MB before, {:.1} MB after",
            node.name,
            before / 1e6,
            support::peak_memory(node.id()) / 1e6
        );
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Args = argh::from_env();
    let program = std::env::current_exe()?.with_file_name("../rilltrackd");
    if !program.exists() {
        return Err("build the daemon first: cargo build --release".into());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    match args.what.as_str() {
        "added" => runtime.block_on(measure_added_latency(&args, &program)),
        "large" => runtime.block_on(measure_large_body(&program)),
        "overload" => runtime.block_on(measure_overload(&args, &program)),
        other => {
            return Err(
                format!("unknown measurement `{other}`: must be added, overload or large").into(),
            );
        }
    }
    Ok(())
}
