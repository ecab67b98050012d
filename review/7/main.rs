//! The node that reads the store for its zone freezes just before a configuration is acknowledged.
//! The others of its zone are in touch and have to keep to it after `configApply`.

#[path = "../rig.rs"]
mod rig;

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rig::*;

const ROUNDS: u64 = 7;

fn main() {
    let record = Record::create(Path::new("review/7"));
    limit(&record, ms(118_000));
    let frozen: usize = std::env::var("FROZEN").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let folder = temporary_folder();
    let store = Store::start(&record);
    let services = ["saldo", "ricarica", "giornale"];
    let publish = |number: u64, to: &str| {
        let routes = [("read", "/read/", "safe", to), ("post", "/post/", "non_idempotent", "giornale")];
        store.publish(&version(number, &routes, &services, 64 << 20));
    };
    publish(5, "saldo");
    let places = [
        ("za", "saldo"), ("za", "saldo"), ("za", "ricarica"), ("za", "ricarica"), ("za", "giornale"),
        ("zb", "saldo"), ("zb", "saldo"), ("zb", "ricarica"), ("zb", "giornale"),
        ("zc", "saldo"), ("zc", "saldo"), ("zc", "ricarica"), ("zc", "giornale"),
    ];
    let mut nodes: Vec<Node> = places
        .iter()
        .enumerate()
        .map(|(i, (zone, service))| Node::new(&folder, &store, &format!("sidecar-{zone}-{}", i + 1), zone, service))
        .collect();
    nodes.iter_mut().for_each(|node| node.start(&record));
    let backends: Vec<Backend> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| Backend::start(&record, &node.settings, &format!("i-{i}")))
        .collect();
    nodes.iter().for_each(|node| node.until_ready(&record));
    thread::sleep(ms(6000));

    let mut broken = 0;
    for round in 0..ROUNDS {
        // The readers of zone za are those that said so last.
        let reads = |node: &Node| {
            let log = node.log();
            let last = log.lines().rev().find(|line| line.contains("\"ReaderChanged\""));
            last.is_some_and(|line| line.contains("\"reads\":\"true\""))
        };
        let mut chosen: Vec<usize> = (0..5).filter(|i| reads(&nodes[*i])).collect();
        record.note(&format!("round {round}: readers of za {chosen:?}"));
        // Those that have read before come next in the ranking.
        let has_read = |i: &usize| nodes[*i].log().contains("\"reads\":\"true\"");
        for i in (0..5).filter(has_read).chain(0..5) {
            if chosen.len() < frozen && !chosen.contains(&i) {
                chosen.push(i);
            }
        }
        chosen.truncate(frozen);
        if trouble() {
            for i in &chosen {
                nodes[*i].signal(STOP);
                record.note(&format!("{} freezes", nodes[*i].settings.name));
            }
        }
        thread::sleep(ms(20));
        let to = if round % 2 == 0 { "ricarica" } else { "saldo" };
        publish(6 + round, to);
        let acked = Instant::now();
        record.note(&format!("version {} acknowledged: /read/ goes to {to}", 6 + round));
        // Each node is asked over and over.
        let late = Arc::new(Mutex::new((Duration::ZERO, 0)));
        let askers: Vec<_> = (0..nodes.len())
            .filter(|i| !trouble() || !chosen.contains(i))
            .map(|i| {
                let (settings, record, late) = (nodes[i].settings.clone(), record.clone(), late.clone());
                thread::spawn(move || {
                    while acked.elapsed() < ms(3500) {
                        let sent = acked.elapsed();
                        let answer = send(&record, &settings, "GET", "/read/x", &new_id(), "", b"");
                        if let Ok(answer) = answer
                            && answer.status() == 200
                            && answer.body != to.as_bytes()
                        {
                            let mut late = late.lock().unwrap();
                            late.0 = late.0.max(sent);
                            if sent > ms(2000) {
                                late.1 += 1;
                                record.note(&format!("BROKEN: {} sent a request {:.3} s after the ack by the old version", settings.name, sent.as_secs_f64()));
                            }
                        }
                        thread::sleep(ms(25));
                    }
                })
            })
            .collect();
        askers.into_iter().for_each(|asker| asker.join().unwrap());
        let (last, count) = *late.lock().unwrap();
        broken += count;
        record.note(&format!("round {round}: the last request by the old version was sent {:.3} s after the ack", last.as_secs_f64()));
        if trouble() {
            chosen.iter().for_each(|i| nodes[*i].signal(CONT));
        }
        thread::sleep(ms(8000));
    }
    drop(backends);
    let _ = std::fs::remove_dir_all(&folder);
    finish(i32::from(broken > 0));
}
