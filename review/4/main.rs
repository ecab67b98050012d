//! A backend's leave is acknowledged; then all processes are killed at once, and the store does an
//! earlier append of the node, which it never answered, late. Does the leave hold?

#[path = "../rig.rs"]
mod rig;

use std::{path::Path, thread, time::Instant};

use rig::*;

fn main() {
    let record = Record::create(Path::new("review/4"));
    limit(&record, ms(110_000));
    let folder = temporary_folder();
    let store = Store::start(&record);
    let routes = [
        ("read", "/read/", "safe", "katalog"),
        ("order", "/order/", "non_idempotent", "katalog"),
        ("other", "/other/", "safe", "dokumente"),
    ];
    store.publish(&version(5, &routes, &["katalog", "dokumente"], 64 << 20));
    let mut nodes = [
        Node::new(&folder, &store, "n1", "za", "katalog"),
        Node::new(&folder, &store, "n2", "zb", "katalog"),
        Node::new(&folder, &store, "n3", "zc", "dokumente"),
    ];
    nodes[1..].iter_mut().for_each(|node| node.start(&record));
    let second = Backend::start(&record, &nodes[1].settings, "i-2");
    let third = Backend::start(&record, &nodes[2].settings, "i-3");
    nodes[1..].iter().for_each(|node| node.until_ready(&record));
    thread::sleep(ms(5000));

    // A machine is added, with a backend.
    nodes[0].is_bootstrap = false;
    if trouble() {
        store.lose("i-1", 1);
    }
    nodes[0].start(&record);
    let backend = Backend::start(&record, &nodes[0].settings, "i-1");
    let mut begin = Instant::now();
    if trouble() {
        until("an append is lost", ms(10_000), || store.held() == 1);
        begin = Instant::now();
    }
    nodes[0].until_ready(&record);
    until("the new backend serves", ms(10_000), || {
        let _ = send(&record, &nodes[1].settings, "GET", "/read/x", &new_id(), "", b"");
        let _ = send(&record, &nodes[0].settings, "GET", "/read/x", &new_id(), "", b"");
        !backend.runs.lock().unwrap().is_empty()
    });
    thread::sleep(ms(1500).saturating_sub(begin.elapsed()));

    // It leaves as planned, with a deregister alone, and goes on to serve.
    let mut status = 0;
    until("the leave is acknowledged", ms(10_000), || {
        status = backend.deregister(&nodes[0].settings);
        record.note(&format!("i-1 says that it leaves: {status}"));
        status == 200
    });
    let acked = Instant::now();
    thread::sleep(ms(500));

    if trouble() {
        nodes.iter_mut().for_each(|node| node.signal(KILL));
        record.note("all processes are killed");
        thread::sleep(ms(200));
        store.do_late();
        record.note(&format!(
            "the store does the append {:.1} s after it was sent",
            begin.elapsed().as_secs_f64()
        ));
        thread::sleep(ms(300));
        nodes.iter_mut().for_each(|node| node.start(&record));
        nodes.iter().for_each(|node| node.until_ready(&record));
    }

    // From `stabilityWindow` after the start on, all machines are in touch; `drain` is over, too.
    let from = nodes.iter().map(|node| node.started).max().unwrap().max(acked) + ms(3100);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    record.note("all machines are in touch, and `drain` is over");
    let before = backend.runs.lock().unwrap().len();
    let until = acked + ms(9000);
    while Instant::now() < until {
        for node in &nodes {
            let _ = send(&record, &node.settings, "GET", "/read/x", &new_id(), "", b"");
            let _ = send(&record, &node.settings, "POST", "/order/x", &new_id(), "", b"one door");
        }
        thread::sleep(ms(50));
    }
    // The backend exits now.
    let late = backend.runs.lock().unwrap()[before..].to_vec();
    let served = second.runs.lock().unwrap().len();
    drop(third);
    let _ = std::fs::remove_dir_all(&folder);
    record.note(&format!(
        "{} requests reached i-1 later than `drain` after its leave was acknowledged; the last one {:.1} s after; i-2 ran {served}",
        late.len(),
        late.last().map_or(0.0, |run| (run.at - acked).as_secs_f64())
    ));
    if served == 0 {
        record.note("nothing was served at all");
        finish(2);
    }
    finish(i32::from(!late.is_empty()));
}
