//! Measures, in one process, how the work of a node grows with the mesh: changes,
//! views, snapshots, the member table, ranks and routing decisions. Fits a line to
//! each and extrapolates it to the size that the project is designed for.
//!
//!     cargo run --release --example capacity -- --out docs/data/capacity.json --plots docs/plots

use std::{
    alloc::System,
    collections::BTreeMap,
    hint::black_box,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Instant,
};

use argh::FromArgs;
use plotters::prelude::*;
use rilltrack::{
    coordination::{
        health::Health,
        pick::{Candidate, pick},
        rank,
    },
    id::{Incarnation, Name, Node},
    protocol::wire,
    state::{
        change::{Change, Entry, Op},
        machine::Machine,
        member::{Member, Status, Table, Target},
        region::Distance,
        resource::{Boundary, Class, Domain, Policy, Repeat, Resource, Route, Service},
        selector::{Labels, Selector},
        view::{Proxy, View},
    },
    unit::{Percent, Size, Span},
};
use serde::Serialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Number of targets that the project is designed for.
const TARGETS: usize = 13_000;
/// Number of services that the project is designed for.
const SERVICES: usize = 730;
/// Number of failure domains in all meshes.
const DOMAINS: usize = 13;
/// Number of regions that the failure domains are spread over.
const REGIONS: usize = 6;

/// Measures how a node's work grows with the mesh.
#[derive(FromArgs)]
struct Args {
    /// file for the results, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
    /// directory for the plots, as SVG
    #[argh(option)]
    plots: Option<PathBuf>,
}

/// One quantity measured at several sizes, and the line fitted to it.
#[derive(Debug, Serialize)]
struct LinearFit {
    what: &'static str,
    unit: &'static str,
    against: &'static str,
    points: Vec<(f64, f64)>,
    intercept: f64,
    slope: f64,
    /// The largest deviation of a point from the line, as a share of the largest
    /// value.
    residual: f64,
    /// Value of the line at the size that the project is designed for.
    at_target: f64,
}

impl LinearFit {
    /// Fits a line by least squares and evaluates it at size `target`.
    fn new(
        what: &'static str,
        unit: &'static str,
        against: &'static str,
        points: Vec<(f64, f64)>,
        target: usize,
    ) -> Self {
        let n = points.len() as f64;
        let (mx, my) = (
            points.iter().map(|p| p.0).sum::<f64>() / n,
            points.iter().map(|p| p.1).sum::<f64>() / n,
        );
        let cov: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
        let var: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let slope = cov / var;
        let intercept = my - slope * mx;
        let largest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
        let deviation = points
            .iter()
            .map(|p| (p.1 - intercept - slope * p.0).abs())
            .fold(0.0, f64::max);
        let at_target = intercept + slope * target as f64;
        Self {
            what,
            unit,
            against,
            points,
            intercept,
            slope,
            residual: deviation / largest,
            at_target,
        }
    }
}

fn name(text: String) -> Name {
    text.parse().expect("a valid name")
}

fn labels(pairs: &[(&str, String)]) -> Labels {
    pairs
        .iter()
        .map(|(key, value)| ((*key).to_owned(), value.clone()))
        .collect()
}

/// Returns a selector of the objects with this label.
fn select(key: &str, value: String) -> Selector {
    Selector {
        match_labels: labels(&[(key, value)]),
        ..Selector::default()
    }
}

/// Returns the resources of a mesh of `services` with two routes each, and one
/// boundary for each of 20 kinds of data.
fn resources(services: usize) -> Vec<Resource> {
    let mut all = Vec::new();
    for i in 0..DOMAINS {
        let labels = labels(&[
            ("region", format!("r{}", i % REGIONS)),
            ("country", format!("c{}", i % 3)),
        ]);
        all.push(Resource::Domain(Domain {
            name: name(format!("d{i}")),
            labels,
        }));
    }
    for i in 0..10 {
        all.push(Resource::Policy(Policy {
            name: name(format!("p{i}")),
            timeout: Span::from_secs(1),
            slots: 12,
            queue: 24,
            class: Class::Normal,
            repeat: Repeat::ByMethod,
            retry: Percent::new(10),
            hedge_after: None,
            max_body: Size::from_bytes(1 << 20),
        }));
    }
    for i in 0..20 {
        all.push(Resource::Boundary(Boundary {
            name: name(format!("b{i}")),
            services: select("data", format!("k{i}")),
            from: Selector::everything(),
            proxies: Selector::everything(),
            to: select("country", format!("c{}", i % 3)),
        }));
    }
    for i in 0..services {
        let labels = labels(&[
            ("data", format!("k{}", i % 20)),
            ("team", format!("t{}", i % 50)),
        ]);
        all.push(Resource::Service(Service {
            name: name(format!("s{i}")),
            labels,
            policy: name(format!("p{}", i % 10)),
        }));
        for j in 0..2 {
            all.push(Resource::Route(Route {
                name: name(format!("s{i}-{j}")),
                host: None,
                path: format!("/s{i}/v{j}"),
                methods: Vec::new(),
                service: name(format!("s{i}")),
                class: None,
                proxies: Selector::everything(),
            }));
        }
    }
    all
}

/// Returns the log record of a change based on the state of `machine`.
fn record(machine: &Machine, id: String, ops: Vec<Op>) -> bytes::Bytes {
    let change = Change {
        id: id.parse().expect("a valid id"),
        base: machine.anchor(),
        expect: None,
        author: "operator".into(),
        note: "a label moves".into(),
        ops,
    };
    Entry::Change(change).encode()
}

/// Returns operations that set a label of a service.
fn label(service: usize, value: usize) -> Vec<Op> {
    let key = format!("service/s{service}").parse().expect("a valid key");
    let set = BTreeMap::from([("serial".to_owned(), value.to_string())]);
    vec![Op::Label {
        key,
        set,
        remove: Vec::new(),
    }]
}

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the bytes allocated and not freed.
fn allocated_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64 + stats.bytes_reallocated as f64
}

/// Returns the mean time of each of `times` runs since `since`, in microseconds.
fn mean_micros(since: Instant, times: usize) -> f64 {
    since.elapsed().as_secs_f64() * 1e6 / times as f64
}

/// Measured points (size, value) by the name of the quantity.
#[derive(Default)]
struct Series(BTreeMap<&'static str, Vec<(f64, f64)>>);

impl Series {
    fn add(&mut self, what: &'static str, x: usize, y: f64) {
        self.0.entry(what).or_default().push((x as f64, y));
    }
}

/// Measures configuration with this number of services.
fn measure_configuration(series: &mut Series, services: usize, changes: usize) {
    let before = allocated_bytes();
    let mut machine = Machine::new();
    let ops = resources(services).into_iter().map(Op::Put).collect();
    let base = record(&machine, "base".into(), ops);
    assert!(
        machine
            .apply(0, base)
            .expect("applies")
            .verdict
            .is_accepted()
    );
    let proxy = Proxy {
        domain: name("d0".into()),
        labels: Labels::new(),
    };
    let since = Instant::now();
    let mut view = View::new(
        machine.version(),
        machine.resources().clone(),
        proxy.clone(),
    );
    series.add("view_whole", services, mean_micros(since, 1));
    series.add(
        "machine_and_view_memory",
        services,
        allocated_bytes() - before,
    );

    let (mut apply, mut project, mut bytes) = (0.0, 0.0, 0);
    for i in 0..changes {
        let record = record(&machine, format!("c{i}"), label(i * 7 % services, i));
        bytes += record.len();
        let since = Instant::now();
        let applied = machine
            .apply(machine.version().offset, record)
            .expect("applies");
        apply += mean_micros(since, 1);
        assert!(applied.verdict.is_accepted());
        let since = Instant::now();
        view = view.updated(
            machine.version(),
            machine.resources().clone(),
            &applied.touched,
        );
        project += mean_micros(since, 1);
    }
    series.add("apply", services, apply / changes as f64);
    series.add("view_next", services, project / changes as f64);
    series.add("record", services, bytes as f64 / changes as f64);
    let since = Instant::now();
    let snapshot = machine.snapshot();
    series.add("snapshot_make", services, mean_micros(since, 1));
    series.add("snapshot_bytes", services, snapshot.len() as f64);
    let since = Instant::now();
    black_box(Machine::from_snapshot(&snapshot).expect("complete"));
    series.add("snapshot_take", services, mean_micros(since, 1));
    let since = Instant::now();
    for i in 0..1000 {
        black_box(view.route(None, &format!("/s{}/v1/x", i % services), "GET"));
    }
    series.add("route_lookup", services, mean_micros(since, 1000));
}

/// Returns member `i`, with one target.
fn member(i: usize, services: usize) -> Member {
    let address = SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7001));
    Member {
        node: format!("node-{i}").parse::<Node>().expect("a valid name"),
        incarnation: Incarnation(1_700_000_000_000_000_000 + i as u64),
        sequence: 3,
        generation: Default::default(),
        status: Status::Alive,
        domain: name(format!("d{}", i % DOMAINS)),
        peers: address,
        inbound: address,
        labels: labels(&[("tier", "a".into())]),
        targets: vec![Target {
            service: name(format!("s{}", i % services)),
            address,
            http2: false,
            draining: false,
            slots: 0,
            instance: Default::default(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}

/// Measures membership and routing with this number of targets.
fn measure_membership(series: &mut Series, targets: usize) {
    let services = (SERVICES * targets / TARGETS).max(1);
    let before = allocated_bytes();
    let mut table = Table::default();
    let since = Instant::now();
    for i in 0..targets {
        table.merge(member(i, services));
    }
    series.add("member_merge", targets, mean_micros(since, targets));
    series.add("table_memory", targets, allocated_bytes() - before);
    series.add(
        "member_bytes",
        targets,
        wire::encode(&member(targets - 1, services)).len() as f64,
    );
    let all: Vec<Member> = table.iter().map(|m| m.as_ref().clone()).collect();
    series.add("table_bytes", targets, wire::encode(&all).len() as f64);
    series.add(
        "marks_bytes",
        targets,
        wire::encode(&table.bucket_hashes()).len() as f64,
    );
    let since = Instant::now();
    let encoded = wire::encode(&all);
    series.add("table_encode", targets, mean_micros(since, 1));
    let since = Instant::now();
    let decoded: Vec<Member> = wire::decode(&encoded).expect("complete");
    let mut other = Table::default();
    for member in decoded {
        other.merge(member);
    }
    series.add("table_take", targets, mean_micros(since, 1));
    let (domain, node) = (
        name("d0".into()),
        "node-0".parse::<Node>().expect("a valid name"),
    );
    let since = Instant::now();
    for _ in 0..20 {
        black_box(rank::reader_rank(&table, &domain, &node));
    }
    series.add("rank_reader", targets, mean_micros(since, 20));
    let since = Instant::now();
    for _ in 0..20 {
        black_box(rank::writer_rank(&table, &node));
    }
    series.add("rank_writer", targets, mean_micros(since, 20));
    let since = Instant::now();
    for _ in 0..20 {
        black_box(rank::neighbours(&table, &domain, &node).len());
    }
    series.add("neighbours", targets, mean_micros(since, 20));

    let since = Instant::now();
    for _ in 0..20 {
        black_box(rank::probe_peers(&table, &domain, &node).len());
    }
    series.add("partners", targets, mean_micros(since, 20));
    let since = Instant::now();
    for _ in 0..20 {
        black_box(rank::remote_probe_peers(&table, &domain, &node).len());
    }
    series.add("far_partners", targets, mean_micros(since, 20));
    let since = Instant::now();
    for _ in 0..20 {
        let members: Vec<Arc<Member>> = table.iter().cloned().collect();
        black_box(members.len());
    }
    series.add("look_through", targets, mean_micros(since, 20));

    let mut health = Health::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let now = Instant::now();
    let since = Instant::now();
    const DECISIONS: usize = 2000;
    for i in 0..DECISIONS {
        let offers: Vec<Arc<Member>> = table
            .providers(&name(format!("s{}", i % services)))
            .to_vec();
        let candidates: Vec<Candidate> = offers
            .iter()
            .map(|m| {
                let (cost, ejected) = health.assess(&m.node, m.incarnation, 12, now);
                Candidate {
                    distance: if m.domain == domain {
                        Distance::Domain
                    } else {
                        Distance::OtherRegion
                    },
                    cost,
                    is_ejected: ejected,
                }
            })
            .collect();
        black_box(pick(&candidates, &mut rng));
    }
    series.add("decision", targets, mean_micros(since, DECISIONS));
}

/// Fits a line to each series.
fn fit_lines(mut series: Series) -> Vec<LinearFit> {
    let mut fit = |what, unit, against, target| {
        let points = series.0.remove(what).unwrap_or_default();
        LinearFit::new(what, unit, against, points, target)
    };
    vec![
        fit("apply", "us", "services", SERVICES),
        fit("view_next", "us", "services", SERVICES),
        fit("view_whole", "us", "services", SERVICES),
        fit("record", "B", "services", SERVICES),
        fit("machine_and_view_memory", "B", "services", SERVICES),
        fit("snapshot_bytes", "B", "services", SERVICES),
        fit("snapshot_make", "us", "services", SERVICES),
        fit("snapshot_take", "us", "services", SERVICES),
        fit("route_lookup", "us", "services", SERVICES),
        fit("member_merge", "us", "targets", TARGETS),
        fit("member_bytes", "B", "targets", TARGETS),
        fit("table_bytes", "B", "targets", TARGETS),
        fit("table_memory", "B", "targets", TARGETS),
        fit("marks_bytes", "B", "targets", TARGETS),
        fit("rank_reader", "us", "targets", TARGETS),
        fit("rank_writer", "us", "targets", TARGETS),
        fit("neighbours", "us", "targets", TARGETS),
        fit("partners", "us", "targets", TARGETS),
        fit("far_partners", "us", "targets", TARGETS),
        fit("look_through", "us", "targets", TARGETS),
        fit("table_encode", "us", "targets", TARGETS),
        fit("table_take", "us", "targets", TARGETS),
        fit("decision", "us", "targets", TARGETS),
    ]
}

/// Writes a plot of the points and the line to `dir`.
fn plot(fit: &LinearFit, dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let path = dir.join(format!("{}.svg", fit.what));
    let root = SVGBackend::new(&path, (480, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let xmax = fit.points.iter().map(|p| p.0).fold(0.0, f64::max) * 1.05;
    let ymax = fit.points.iter().map(|p| p.1).fold(1e-9, f64::max) * 1.15;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} [{}]", fit.what, fit.unit), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..xmax, 0.0..ymax)?;
    chart
        .configure_mesh()
        .x_desc(fit.against)
        .max_light_lines(0)
        .draw()?;
    let line = |x: f64| (x, (fit.intercept + fit.slope * x).max(0.0));
    chart.draw_series(LineSeries::new([line(0.0), line(xmax)], &BLUE))?;
    chart.draw_series(fit.points.iter().map(|p| Circle::new(*p, 4, RED.filled())))?;
    root.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Args = argh::from_env();
    let mut series = Series::default();
    // The first run warms the allocator up; its results are discarded.
    measure_configuration(&mut Series::default(), 100, 50);
    for services in [91, 182, 365, 730] {
        // A tenth of the 13,000 changes of a day at each size.
        measure_configuration(&mut series, services, 1300);
    }
    for targets in [1625, 3250, 6500, 13_000] {
        measure_membership(&mut series, targets);
    }
    let fits = fit_lines(series);
    println!(
        "{:<24} {:>4} {:>12} {:>12} {:>9} {:>14}",
        "what", "unit", "intercept", "slope", "residual", "at target"
    );
    for fit in &fits {
        println!(
            "{:<24} {:>4} {:>12.2} {:>12.5} {:>8.1}% {:>14.1}",
            fit.what,
            fit.unit,
            fit.intercept,
            fit.slope,
            100.0 * fit.residual,
            fit.at_target
        );
    }
    if let Some(path) = &args.out {
        std::fs::write(path, serde_json::to_string_pretty(&fits)?)?;
    }
    if let Some(dir) = &args.plots {
        std::fs::create_dir_all(dir)?;
        for fit in &fits {
            plot(fit, dir)?;
        }
    }
    Ok(())
}
