//! Measures a fleet of real daemons on loopback: convergence, control bytes,
//! processor time and memory, compared with a naive fleet in the same run.
//!
//! Build the daemon first, then pass the fleet sizes:
//!
//!     cargo build --release
//!     cargo run --release --example fleet -- 8 32 96 200
//!
//! Prints a table and writes one JSON line for each size to the file named by
//! `--out`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    collections::{BTreeMap, HashMap},
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use argh::FromArgs;
use hdrhistogram::Histogram;
use rilltrack::{
    coordination::rank,
    id::{Name, Node},
    state::{change::Op, member, version::Version},
};
use serde::Serialize;
use serde_json::{Value, json};
use support::{
    log::Log,
    mesh::{self, Process, wait_until_ready},
};

/// Measures fleets of daemons.
#[derive(FromArgs)]
struct Args {
    /// fleet sizes: numbers of daemons
    #[argh(positional)]
    sizes: Vec<usize>,
    /// number of failure domains
    #[argh(option, default = "4")]
    domains: usize,
    /// number of changes published in each part
    #[argh(option, default = "30")]
    changes: usize,
    /// seconds for which the idle fleet is measured
    #[argh(option, default = "10")]
    idle: u64,
    /// seconds for which membership updates may spread before the idle fleet is measured
    #[argh(option, default = "30")]
    settle: u64,
    /// file for the results, one JSON line for each size
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Measurements of a fleet of one size.
#[derive(Debug, Serialize)]
struct Measurement {
    nodes: usize,
    domains: usize,
    ready_ms: u64,
    idle_bytes_per_node_s: f64,
    idle_frame_bytes_per_node_s: f64,
    idle_cpu_percent: f64,
    rss_mb: f64,
    log_reads_per_s: f64,
    convergence_ms: Quantiles,
    change_bytes_per_node: f64,
    killed_ms: Quantiles,
    herd_nodes: usize,
    herd_ready_ms: u64,
    herd_bytes_per_node: f64,
    naive_convergence_ms: Quantiles,
    naive_change_bytes_per_node: f64,
    naive_reads_per_s: f64,
    misses: usize,
}

#[derive(Debug, Serialize)]
struct Quantiles {
    p50: u64,
    p99: u64,
    max: u64,
}

/// Returns the bytes sent on loopback so far.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/sys/class/net/lo/statistics/tx_bytes");
    text.ok()
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default()
        .as_millis() as u64
}

/// Running daemons and their log.
struct Fleet {
    program: PathBuf,
    log: Log,
    domains: usize,
    processes: Vec<Process>,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Returns the failure domain of daemon `i`.
    fn domain(&self, i: usize) -> String {
        format!("domain-{}", i % self.domains)
    }

    /// Returns the settings of daemon `i`: the defaults for membership and requests,
    /// except for a single thread, and a wait of 15 s at the log.
    fn settings(&self, i: usize) -> Value {
        let domain = self.domain(i);
        let mut settings =
            mesh::settings(&format!("node-{i}"), &domain, &self.log.url(), &self.seeds);
        let requests = json!({"threads": 1});
        settings["membership"] = json!({});
        settings["requests"] = requests;
        settings["log"]["wait"] = json!("15s");
        settings
    }

    /// Starts daemon `i`; the first three are the seeds of later ones.
    fn start_one(&mut self, i: usize) {
        let process = Process::start(&self.program, &self.settings(i));
        if self.seeds.len() < 3 {
            self.seeds.push(process.listen.peers);
        }
        self.processes.push(process);
    }

    /// Waits until all daemons hold a complete view.
    async fn wait_until_ready(&self) {
        for process in &self.processes {
            wait_until_ready(&process.listen).await;
        }
    }

    /// Waits until all daemons know each other.
    async fn wait_for_members(&self) {
        for process in &self.processes {
            mesh::wait_for_members(&process.listen, self.processes.len()).await;
        }
    }

    /// Returns the processor time of all daemons so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.processes
            .iter()
            .map(|process| support::cpu_seconds(process.id()))
            .sum()
    }

    /// Returns the mean resident memory of a daemon, in MB.
    fn mean_rss_mb(&self) -> f64 {
        let total: f64 = self
            .processes
            .iter()
            .map(|process| support::resident(process.id()))
            .sum();
        total / self.processes.len() as f64 / 1e6
    }

    /// Returns the control bytes that all daemons have counted in their metrics.
    async fn frame_bytes(&self) -> f64 {
        let mut total = 0.0;
        for process in &self.processes {
            let url = format!("http://{}/metrics", process.listen.operators);
            let Ok(response) = support::client().get(url).send().await else {
                continue;
            };
            let text = response.text().await.unwrap_or_default();
            let values = text
                .lines()
                .filter(|l| l.starts_with("rilltrack_control_bytes_total"));
            total += values
                .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
                .sum::<f64>();
        }
        total
    }

    /// Publishes one change through daemon `through`; returns its version and the Unix
    /// time of the publish in milliseconds.
    async fn publish(&self, serial: usize, through: usize) -> (Version, u64) {
        let at = self.processes[through].listen.operators;
        let label = Op::Label {
            key: "service/balance".parse().unwrap(),
            set: BTreeMap::from([("serial".to_owned(), serial.to_string())]),
            remove: Vec::new(),
        };
        let id = format!("change-{}-{serial}", unix_ms());
        let published_at = unix_ms();
        let version = mesh::publish(at, &id, vec![label]).await;
        (version, published_at)
    }

    /// Returns for each daemon when it put each version in force, by its log file.
    fn in_force(&self) -> Vec<HashMap<Version, u64>> {
        self.processes
            .iter()
            .map(|process| versions(&process.log_text()))
            .collect()
    }
}

/// Returns the Unix time in milliseconds at which each version came into force.
fn versions(log_text: &str) -> HashMap<Version, u64> {
    let mut versions = HashMap::new();
    for line in log_text.lines().filter(|line| line.contains(" E200 ")) {
        let mut words = line.split_whitespace().skip(2);
        let at = words.next().and_then(|word| word.parse().ok());
        let version = line
            .rsplit("version=")
            .next()
            .and_then(|word| word.trim().parse().ok());
        if let (Some(at), Some(version)) = (at, version) {
            versions.entry(version).or_insert(at);
        }
    }
    versions
}

/// Returns the quantiles, over all daemons and versions, of the time from a publish
/// until the version or a newer one is in force, in milliseconds, and the number of
/// (daemon, version) pairs for which that never happened.
fn convergence(published: &[(Version, u64)], logs: &[HashMap<Version, u64>]) -> (Quantiles, usize) {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut misses = 0;
    for (version, published_at) in published {
        for log in logs {
            // A snapshot, or several records at once, skips versions.
            let at = log
                .iter()
                .filter(|(v, _)| *v >= version)
                .map(|(_, at)| *at)
                .min();
            match at {
                Some(at) => histogram
                    .record(at.saturating_sub(*published_at))
                    .expect("in range"),
                None => misses += 1,
            }
        }
    }
    (quantiles(&histogram), misses)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

/// Measures a naive fleet, where every node polls the log each second and fetches
/// all records. Returns the convergence times, the bytes per node and change, and the
/// reads of the log per second.
async fn measure_naive(nodes: usize, changes: usize, log: &Log) -> (Quantiles, f64, f64) {
    let stop = Arc::new(AtomicBool::new(false));
    let seen: Arc<Vec<AtomicU64>> = Arc::new((0..nodes).map(|_| AtomicU64::new(0)).collect());
    let times = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for i in 0..nodes {
        let (stop, seen, times, url) = (stop.clone(), seen.clone(), times.clone(), log.url());
        tasks.push(tokio::spawn(async move {
            let client = support::client();
            tokio::time::sleep(Duration::from_millis(fastrand::u64(0..1000))).await;
            while !stop.load(Ordering::Relaxed) {
                let url = format!("{url}/streams/config/records?from=0&limit=100000");
                if let Ok(response) = client.get(url).send().await
                    && let Ok(body) = response.bytes().await
                    && let Ok(batch) =
                        rmp_serde::from_slice::<rilltrack::protocol::log::Batch>(&body)
                    && batch.next > seen[i].swap(batch.next, Ordering::Relaxed)
                {
                    times.lock().push((batch.next, unix_ms()));
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (reads, _) = log.calls();
    let (bytes, start) = (loopback_bytes(), Instant::now());
    let mut published = Vec::new();
    for i in 0..changes {
        let record = log.records("config").last().cloned().unwrap_or_default();
        let published_at = unix_ms();
        let offset = log.append("config", record);
        published.push((offset + 1, published_at));
        tokio::time::sleep(Duration::from_millis(300)).await;
        if i + 1 == changes {
            tokio::time::sleep(Duration::from_millis(1500)).await;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let bytes = (loopback_bytes() - bytes) as f64;
    let reads = (log.calls().0 - reads) as f64 / seconds;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.await;
    }
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    let times = times.lock().clone();
    for (next, published_at) in &published {
        for (_, at) in times
            .iter()
            .filter(|(seen, at)| seen >= next && *at <= published_at + 2500)
            .take(nodes)
        {
            histogram
                .record(at.saturating_sub(*published_at))
                .expect("in range");
        }
    }
    (
        quantiles(&histogram),
        bytes / nodes as f64 / changes as f64,
        reads,
    )
}

/// Starts a fleet of `nodes` daemons and runs all measurements.
async fn measure(args: &Args, nodes: usize, program: PathBuf) -> Measurement {
    let log = Log::start();
    let mut fleet = Fleet {
        program,
        log,
        domains: args.domains.min(nodes),
        processes: Vec::new(),
        seeds: Vec::new(),
    };
    let start = Instant::now();
    (0..nodes).for_each(|i| fleet.start_one(i));
    fleet.wait_until_ready().await;
    fleet.wait_for_members().await;
    let ready_ms = start.elapsed().as_millis() as u64;

    let names: Vec<String> = (0..fleet.domains).map(|i| format!("domain-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let first = fleet.processes[0].listen.operators;
    let version = mesh::publish(
        first,
        &format!("base-{nodes}"),
        mesh::basic_ops(&names, "balance"),
    )
    .await;
    for process in &fleet.processes {
        mesh::wait_for_version(&process.listen, version).await;
    }
    // Membership updates of the start still spread for a while.
    tokio::time::sleep(Duration::from_secs(args.settle)).await;

    let (bytes, frames, cpu, (reads, _)) = (
        loopback_bytes(),
        fleet.frame_bytes().await,
        fleet.cpu_seconds(),
        fleet.log.calls(),
    );
    let bytes = loopback_bytes().max(bytes);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(args.idle)).await;
    let seconds = start.elapsed().as_secs_f64();
    let idle_bytes = (loopback_bytes() - bytes) as f64 / seconds;
    let idle_cpu = (fleet.cpu_seconds() - cpu) / seconds;
    let idle_reads = (fleet.log.calls().0 - reads) as f64 / seconds;
    let idle_frames = (fleet.frame_bytes().await - frames) / seconds;
    let rss_mb = fleet.mean_rss_mb();

    let (bytes, start) = (loopback_bytes(), Instant::now());
    let mut published = Vec::new();
    for serial in 0..args.changes {
        published.push(fleet.publish(serial, serial % nodes).await);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let excess_bytes =
        (loopback_bytes() - bytes) as f64 - idle_bytes * start.elapsed().as_secs_f64();
    let change_bytes = excess_bytes / nodes as f64 / args.changes as f64;
    let (undisturbed, misses) = convergence(&published, &fleet.in_force());

    let (killed, more_misses) = kill_reader(&mut fleet, args.changes / 2).await;
    let restarted = restart_domain(&mut fleet).await;
    let processes = std::mem::take(&mut fleet.processes);
    drop(processes);
    let (naive_times, naive_bytes, naive_reads) =
        measure_naive(nodes, args.changes, &fleet.log).await;
    Measurement {
        nodes,
        domains: fleet.domains,
        ready_ms,
        idle_bytes_per_node_s: idle_bytes / nodes as f64,
        idle_frame_bytes_per_node_s: idle_frames / nodes as f64,
        idle_cpu_percent: 100.0 * idle_cpu / nodes as f64,
        rss_mb,
        log_reads_per_s: idle_reads,
        convergence_ms: undisturbed,
        change_bytes_per_node: change_bytes,
        killed_ms: killed,
        herd_nodes: restarted.0,
        herd_ready_ms: restarted.1,
        herd_bytes_per_node: restarted.2,
        naive_convergence_ms: naive_times,
        naive_change_bytes_per_node: naive_bytes,
        naive_reads_per_s: naive_reads,
        misses: misses + more_misses,
    }
}

/// Publishes `changes` and kills the first reader of a failure domain halfway.
/// Returns the convergence times of the others and the misses.
async fn kill_reader(fleet: &mut Fleet, changes: usize) -> (Quantiles, usize) {
    let victim = first_reader(fleet);
    let mut published = Vec::new();
    for serial in 0..changes {
        if serial == changes / 2
            && let Some(victim) = victim
        {
            fleet.processes[victim].signal(libc::SIGKILL);
        }
        let through = if victim == Some(0) { 1 } else { 0 };
        published.push(
            fleet
                .publish(1000 + serial, through.min(fleet.processes.len() - 1))
                .await,
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    if let Some(victim) = victim {
        fleet.processes.remove(victim);
    }
    convergence(&published, &fleet.in_force())
}

/// Returns the first reader of the log in the failure domain of daemon 1, or `None` if
/// that domain has fewer than two daemons.
fn first_reader(fleet: &Fleet) -> Option<usize> {
    let domain = fleet.domain(1);
    let members: Vec<usize> = (0..fleet.processes.len())
        .filter(|i| fleet.domain(*i) == domain)
        .collect();
    if members.len() < 2 {
        return None;
    }
    let mut table = member::Table::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    let name: Name = domain.parse().ok()?;
    for i in &members {
        table.merge(member::Member {
            node: format!("node-{i}").parse().ok()?,
            incarnation: Default::default(),
            sequence: 1,
            generation: Default::default(),
            status: member::Status::Alive,
            domain: name.clone(),
            peers: any,
            inbound: any,
            labels: Default::default(),
            targets: Vec::new(),
            bandwidth: 0,
            evidence: Default::default(),
        });
    }
    members.into_iter().find(|i| {
        let node: Node = format!("node-{i}").parse().expect("a valid name");
        rank::reader_rank(&table, &name, &node) == 0
    })
}

/// Kills all daemons of a failure domain and restarts them at once. Returns their
/// number, the milliseconds until all are ready, and the bytes sent per daemon.
async fn restart_domain(fleet: &mut Fleet) -> (usize, u64, f64) {
    let domain = fleet.domain(2 % fleet.domains);
    let index_of = |process: &Process| {
        let i: usize = process
            .name
            .trim_start_matches("node-")
            .parse()
            .unwrap_or(0);
        i
    };
    let domains = fleet.domains;
    let (killed, remaining): (Vec<Process>, Vec<Process>) = fleet
        .processes
        .drain(..)
        .partition(|p| format!("domain-{}", index_of(p) % domains) == domain);
    fleet.processes = remaining;
    let indices: Vec<usize> = killed.iter().map(index_of).collect();
    killed
        .iter()
        .for_each(|process| process.signal(libc::SIGKILL));
    drop(killed);
    fleet.seeds = fleet
        .processes
        .iter()
        .take(3)
        .map(|process| process.listen.peers)
        .collect();
    let (bytes, start) = (loopback_bytes(), Instant::now());
    let settings: Vec<Value> = indices.iter().map(|i| fleet.settings(*i)).collect();
    let started: Vec<Process> = settings
        .iter()
        .map(|s| Process::start(&fleet.program, s))
        .collect();
    for process in &started {
        wait_until_ready(&process.listen).await;
    }
    let ready_ms = start.elapsed().as_millis() as u64;
    let bytes = (loopback_bytes() - bytes) as f64 / indices.len().max(1) as f64;
    fleet.processes.extend(started);
    (indices.len(), ready_ms, bytes)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Args = argh::from_env();
    let program = std::env::current_exe()?.with_file_name("../rilltrackd");
    if !program.exists() {
        return Err("build the daemon first: cargo build --release".into());
    }
    let runtime = tokio::runtime::Runtime::new()?;
    println!(
        "nodes ready_ms idle_B/s frames_B/s cpu% rss_MB reads/s | p50 p99 max ms  B/change | killed p50 p99 max | herd n ms B | naive p50 p99 max B/change reads/s | misses"
    );
    for nodes in &args.sizes {
        let result = runtime.block_on(measure(&args, *nodes, program.clone()));
        let (c, k, n) = (
            &result.convergence_ms,
            &result.killed_ms,
            &result.naive_convergence_ms,
        );
        println!(
            "{} {} {:.0} {:.0} {:.2} {:.1} {:.2} | {} {} {} {:.0} | {} {} {} | {} {} {:.0} | {} {} {} {:.0} {:.0} | {}",
            result.nodes,
            result.ready_ms,
            result.idle_bytes_per_node_s,
            result.idle_frame_bytes_per_node_s,
            result.idle_cpu_percent,
            result.rss_mb,
            result.log_reads_per_s,
            c.p50,
            c.p99,
            c.max,
            result.change_bytes_per_node,
            k.p50,
            k.p99,
            k.max,
            result.herd_nodes,
            result.herd_ready_ms,
            result.herd_bytes_per_node,
            n.p50,
            n.p99,
            n.max,
            result.naive_change_bytes_per_node,
            result.naive_reads_per_s,
            result.misses
        );
        if let Some(path) = &args.out {
            let mut file = std::fs::File::options()
                .create(true)
                .append(true)
                .open(path)?;
            writeln!(file, "{}", serde_json::to_string(&result)?)?;
        }
    }
    Ok(())
}
