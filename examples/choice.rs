//! Measures the time to choose a target, by the number of targets of the service:
//!
//!     cargo run --release --example choice

use std::{hint::black_box, net::SocketAddr, time::Instant};

use rilltrack::{
    coordination::decision::balance::{Balancer, Criteria},
    id::{Incarnation, Name, Node},
    protocol::dialect::Load,
    state::{
        member::{Member, Status, Table, Target},
        region::Regions,
        selector::Labels,
    },
};

/// Choices that are timed for each number of targets.
const CHOICES: u32 = 20_000;

/// Number of failure domains over which the targets are spread.
const DOMAINS: usize = 5;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("{:>8} {:>12}", "targets", "us a choice");
    for targets in [20, 164, 1_000, 13_000] {
        println!("{targets:>8} {:>12.2}", choice_micros(targets)?);
    }
    Ok(())
}

/// Returns the mean time of a choice among so many targets, in microseconds.
fn choice_micros(targets: usize) -> Result<f64, Box<dyn std::error::Error>> {
    let mut table = Table::default();
    for number in 0..targets {
        table.merge(member(number)?);
    }
    let (node, route) = ("me".parse::<Node>()?, "r".parse::<Name>()?);
    let (service, domain) = ("s".parse::<Name>()?, "d0".parse::<Name>()?);
    let criteria = Criteria {
        node: &node,
        route: &route,
        service: &service,
        domain: &domain,
        regions: &Regions::default(),
        bytes: 0,
        own_load: Load::default(),
    };
    let mut balancer = Balancer::default();
    let started = Instant::now();
    for _ in 0..CHOICES {
        black_box(balancer.choose(&table, criteria, |_| true, Instant::now()));
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES))
}

fn member(number: usize) -> Result<Member, Box<dyn std::error::Error>> {
    let address: SocketAddr = "127.0.0.1:1".parse()?;
    Ok(Member {
        node: format!("n{number}").parse()?,
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: format!("d{}", number % DOMAINS).parse()?,
        peers: address,
        inbound: address,
        labels: Labels::new(),
        targets: vec![Target {
            service: "s".parse()?,
            address,
            http2: false,
            draining: false,
            slots: 11,
            instance: format!("i{number}").into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    })
}
