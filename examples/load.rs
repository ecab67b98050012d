//! Open-loop load on real daemons: the time they add to a call, and goodput
//! under overload and faults, against naive callers in the same run.
//!
//!     cargo build --release
//!     cargo run --release --example load -- added
//!     cargo run --release --example load -- overload
//!     cargo run --release --example load -- large
//!
//! Latency is measured from when a request was due, not from when it was sent.

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
    mesh::{Process, attach, ops, processes, publish, reached},
    target::Target,
};

const DOMAINS: [&str; 3] = ["palermo", "catania", "messina"];
/// Requests that a target of the overload runs at a time, and how long each
/// takes.
const SLOTS: usize = 12;
const SERVICE_MS: u64 = 60;
/// An answer that comes later is of no use to the caller.
const DEADLINE: Duration = Duration::from_millis(500);

/// Loads real daemons, open-loop.
#[derive(FromArgs)]
struct Args {
    /// added, overload or large
    #[argh(positional)]
    what: String,
    /// seconds for each measurement
    #[argh(option, default = "10")]
    seconds: u64,
    /// file for the results, one JSON line each
    #[argh(option)]
    out: Option<PathBuf>,
}

/// What one run of load gave.
#[derive(Clone, Debug, Serialize)]
struct Row {
    what: String,
    rate: f64,
    sent: u64,
    /// Useful answers a second.
    goodput: f64,
    /// Useful answers by class: critical, normal, bulk; as shares.
    useful: [f64; 3],
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    /// 99th percentile of useful answers by class.
    class_p99_us: [u64; 3],
    /// Attempts that reached targets, over requests sent.
    attempts: f64,
    /// Processor time of the daemons, in microseconds for each request.
    cpu_us: f64,
    /// For each second of the run: 50th and 99th percentile, in microseconds.
    seconds: Vec<(u64, u64)>,
}

/// How long before a request is due the pacer begins to spin.
const SPIN: Duration = Duration::from_micros(150);

type Send = Arc<
    dyn Fn(usize, usize) -> futures_util::future::BoxFuture<'static, bool>
        + std::marker::Send
        + Sync,
>;

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn percentiles(histogram: &Mutex<Histogram<u64>>) -> (u64, u64) {
    let histogram = histogram.lock();
    (
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    )
}

/// Returns the median over the seconds of two runs at the same time of how much
/// larger the one's percentiles are. Stalls of the machine fall into few
/// seconds, and into both runs.
fn median_added(direct: &Row, through: &Row) -> (i64, i64) {
    let both = || direct.seconds.iter().zip(&through.seconds);
    let mut p50: Vec<i64> = both().map(|(d, t)| t.0 as i64 - d.0 as i64).collect();
    let mut p99: Vec<i64> = both().map(|(d, t)| t.1 as i64 - d.1 as i64).collect();
    p50.sort_unstable();
    p99.sort_unstable();
    (p50[p50.len() / 2], p99[p99.len() / 2])
}

/// Sends at a constant `rate` for `seconds`; `send` gets the serial number and
/// the class of each request and says whether a whole answer came.
async fn load(what: &str, rate: f64, seconds: u64, send: Send) -> Row {
    let results: Arc<Vec<Mutex<Histogram<u64>>>> = Arc::new(
        (0..3)
            .map(|_| Mutex::new(Histogram::new(3).expect("three digits are allowed")))
            .collect(),
    );
    let by_second: Arc<Vec<Mutex<Histogram<u64>>>> =
        Arc::new((0..seconds).map(|_| Mutex::new(new_histogram())).collect());
    let useful: Arc<[AtomicU64; 3]> = Arc::default();
    let due = Arc::new(AtomicUsize::new(0));
    let count = (rate * seconds as f64) as usize;
    let runtime = tokio::runtime::Handle::current();
    let pacer = {
        let (results, useful, due) = (results.clone(), useful.clone(), due.clone());
        let by_second = by_second.clone();
        // A thread that spins: timers of the runtime are a millisecond coarse.
        std::thread::spawn(move || {
            let start = Instant::now();
            for i in 0..count {
                let at = start + Duration::from_secs_f64(i as f64 / rate);
                // Sleeps most of the way: a core that only spins is a core less
                // for what is measured.
                let left = at.saturating_duration_since(Instant::now());
                std::thread::sleep(left.saturating_sub(SPIN));
                while Instant::now() < at {
                    std::hint::spin_loop();
                }
                let (results, useful, due, send) =
                    (results.clone(), useful.clone(), due.clone(), send.clone());
                let by_second = by_second.clone();
                // Of ten: two critical, six normal, two bulk.
                let class = [0, 1, 1, 2, 1, 0, 1, 1, 2, 1][i % 10];
                runtime.spawn(async move {
                    let answered = tokio::time::timeout(DEADLINE * 2, send(i, class)).await;
                    let took = at.elapsed();
                    if answered == Ok(true) && took <= DEADLINE {
                        useful[class].fetch_add(1, Ordering::Relaxed);
                        results[class]
                            .lock()
                            .record(took.as_micros() as u64)
                            .expect("in range");
                        let second = (i as f64 / rate) as usize;
                        let mut second = by_second[second].lock();
                        second.record(took.as_micros() as u64).expect("in range");
                    }
                    due.fetch_add(1, Ordering::Relaxed);
                });
            }
        })
    };
    while !pacer.is_finished() || due.load(Ordering::Relaxed) < count {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut all = Histogram::<u64>::new(3).expect("three digits are allowed");
    results
        .iter()
        .for_each(|part| all.add(&*part.lock()).expect("alike"));
    let by_class = |i: usize| useful[i].load(Ordering::Relaxed) as f64;
    let of_class = [0.2, 0.6, 0.2].map(|share| share * count as f64);
    Row {
        what: what.into(),
        rate,
        sent: count as u64,
        goodput: (0..3).map(by_class).sum::<f64>() / seconds as f64,
        useful: std::array::from_fn(|i| by_class(i) / of_class[i]),
        p50_us: all.value_at_quantile(0.5),
        p99_us: all.value_at_quantile(0.99),
        p999_us: all.value_at_quantile(0.999),
        class_p99_us: std::array::from_fn(|i| results[i].lock().value_at_quantile(0.99)),
        attempts: 0.0,
        cpu_us: 0.0,
        seconds: by_second.iter().map(percentiles).collect(),
    }
}

/// Sends a GET to a URL chosen by serial number and class.
fn get(
    client: reqwest::Client,
    url: impl Fn(usize, usize) -> String + std::marker::Send + Sync + 'static,
) -> Send {
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

/// Round robin over targets with two plain retries: the naive caller.
fn naive(client: reqwest::Client, targets: Vec<SocketAddr>) -> Send {
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

struct Mesh {
    log: Log,
    nodes: Vec<Process>,
    targets: Vec<Target>,
}

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
    /// Starts `per_domain` nodes in each domain, each with its target.
    async fn start(
        program: &std::path::Path,
        per_domain: usize,
        slots: usize,
        service_ms: u64,
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
            reached(&node.listen, version).await;
            let target = Target::start(&node.name, "s");
            target.delay_ms.store(service_ms, Ordering::SeqCst);
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

    fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.listen.callers).collect()
    }

    /// Processor seconds of all daemons so far.
    fn cpu(&self) -> f64 {
        self.nodes
            .iter()
            .map(|node| support::cpu_seconds(node.id()))
            .sum()
    }

    fn hits(&self) -> u64 {
        self.targets.iter().map(Target::hits).sum()
    }

    fn mesh_calls(&self, client: reqwest::Client) -> Send {
        let callers = self.callers();
        get(client, move |i, class| {
            format!("http://{}/s/{class}", callers[i % callers.len()])
        })
    }
}

fn show(row: &Row, out: &Option<PathBuf>) {
    println!(
        "{:<28} {:>6.0}/s goodput {:>6.0}/s useful {:>3.0}% {:>3.0}% {:>3.0}%  p50 {:>6} p99 {:>6} p99.9 {:>6} us  \
         class p99 {:>6} {:>6} {:>6}  attempts {:.2}",
        row.what,
        row.rate,
        row.goodput,
        100.0 * row.useful[0],
        100.0 * row.useful[1],
        100.0 * row.useful[2],
        row.p50_us,
        row.p99_us,
        row.p999_us,
        row.class_p99_us[0],
        row.class_p99_us[1],
        row.class_p99_us[2],
        row.attempts
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
            serde_json::to_string(row).expect("plain data always encodes")
        )
        .expect("can be written");
    }
}

/// The time that the outbound and inbound proxies add, against a direct call.
async fn added(args: &Args, program: &std::path::Path) {
    let mesh = Mesh::start(program, 1, 200, 0, "500ms").await;
    let client = support::client();
    let targets: Vec<SocketAddr> = mesh.targets.iter().map(|target| target.address).collect();
    for rate in [200.0, 1000.0, 3000.0] {
        let (direct_to, client) = (targets.clone(), client.clone());
        let direct = get(client.clone(), move |i, _| {
            format!("http://{}/s", direct_to[i % direct_to.len()])
        });
        let through = mesh.mesh_calls(client);
        // Connections are made first; both ways are warm.
        load("warm", rate, 1, direct.clone()).await;
        load("warm", rate, 1, through.clone()).await;
        let cpu = mesh.cpu();
        // At the same time, so that both meet the same noise of the machine.
        let (direct, through) = tokio::join!(
            load("direct", rate, args.seconds, direct),
            load("through two proxies", rate, args.seconds, through)
        );
        let mut through = through;
        through.cpu_us = (mesh.cpu() - cpu) * 1e6 / through.sent as f64;
        show(&direct, &args.out);
        show(&through, &args.out);
        let (p50, p99) = median_added(&direct, &through);
        println!(
            "added                        {rate:>6.0}/s median over seconds: p50 {p50} us, p99 {p99} us; daemons {:.0} us of processor a call",
            through.cpu_us
        );
    }
}

/// Goodput by class under overload and faults.
async fn overload(args: &Args, program: &std::path::Path) {
    for fault in ["none", "one slow", "one failing", "one domain lost"] {
        let mut mesh = Mesh::start(program, 2, SLOTS, SERVICE_MS, "500ms").await;
        let client = support::client();
        let capacity = (mesh.targets.len() * SLOTS) as f64 * 1000.0 / SERVICE_MS as f64;
        let loads: &[f64] = if fault == "none" {
            &[0.5, 1.0, 2.0, 3.0]
        } else {
            &[0.5, 1.0]
        };
        match fault {
            "one slow" => mesh.targets[0]
                .delay_ms
                .store(10 * SERVICE_MS, Ordering::SeqCst),
            "one failing" => mesh.targets[0].status.store(500, Ordering::SeqCst),
            _ => {}
        }
        if fault == "one failing" {
            mesh.targets[0].delay_ms.store(0, Ordering::SeqCst);
        }
        for factor in loads {
            let rate = capacity * factor;
            if fault == "one domain lost" && *factor == 0.5 {
                let lost = |i: usize| i.is_multiple_of(DOMAINS.len());
                let mut i = 0;
                mesh.nodes.retain(|_| {
                    i += 1;
                    !lost(i - 1)
                });
                let mut i = 0;
                mesh.targets.iter().for_each(|target| {
                    if lost(i) {
                        target.status.store(503, Ordering::SeqCst);
                        target.delay_ms.store(0, Ordering::SeqCst);
                    }
                    i += 1;
                });
            }
            let targets: Vec<SocketAddr> =
                mesh.targets.iter().map(|target| target.address).collect();
            for (what, send) in [
                ("rilltrack", mesh.mesh_calls(client.clone())),
                ("naive", naive(client.clone(), targets)),
            ] {
                let before = mesh.hits();
                let mut row = load(
                    &format!("{what}, {factor}x, {fault}"),
                    rate,
                    args.seconds,
                    send,
                )
                .await;
                row.attempts = (mesh.hits() - before) as f64 / row.sent as f64;
                show(&row, &args.out);
                // What is left at the targets must not weigh on the next run.
                tokio::time::sleep(Duration::from_secs(3)).await;
                mesh.targets.iter().for_each(Target::reset_slots);
            }
        }
        println!("capacity {capacity:.0}/s, log calls {:?}", mesh.log.calls());
    }
}

/// Passes 1 GiB through two nodes: the digest at both ends, and the daemons'
/// largest resident memory before and after.
async fn large(program: &std::path::Path) {
    let mesh = Mesh::start(program, 1, 12, 0, "60s").await;
    let before: Vec<f64> = mesh
        .nodes
        .iter()
        .map(|node| support::peak_memory(node.id()))
        .collect();
    let piece = bytes::Bytes::from(vec![7u8; 1 << 20]);
    let mut hasher = blake3::Hasher::new();
    (0..1024).for_each(|_| {
        hasher.update(&piece);
    });
    let pieces =
        futures_util::stream::iter((0..1024).map(move |_| Ok::<_, std::io::Error>(piece.clone())));
    let url = format!("http://{}/s/digest", mesh.nodes[0].listen.callers);
    let since = Instant::now();
    let sent = support::client()
        .post(url)
        .body(reqwest::Body::wrap_stream(pieces))
        .send()
        .await;
    let digest = sent
        .expect("an answer")
        .text()
        .await
        .expect("a whole answer");
    println!(
        "1 GiB in {:.1} s, same digest at both ends: {}",
        since.elapsed().as_secs_f64(),
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
        "added" => runtime.block_on(added(&args, &program)),
        "large" => runtime.block_on(large(&program)),
        "overload" => runtime.block_on(overload(&args, &program)),
        other => return Err(format!("`{other}` is none of added, overload and large").into()),
    }
    Ok(())
}
