//! Consumers whose requests have large heads, within `maxHeaderBytes`, move away from the machine
//! beside the backend.

#[path = "../rig.rs"]
mod rig;

use std::{path::Path, thread};

use rig::*;

/// The size of the heads; the operator's `maxHeaderBytes` is 16,384.
const HEAD: usize = 16_300;

fn main() {
    let record = Record::create(Path::new("review/7"));
    limit(&record, ms(110_000));
    let folder = temporary_folder();
    let store = Store::start(&record);
    let routes = [("order", "/order/", "non_idempotent", "ricarica"), ("read", "/read/", "safe", "saldo")];
    store.publish(&version(5, &routes, &["ricarica", "saldo"], 64 << 20));
    let mut nodes = [
        Node::new(&folder, &store, "n1", "za", "ricarica"),
        Node::new(&folder, &store, "n2", "zb", "saldo"),
    ];
    nodes.iter_mut().for_each(|node| node.start(&record));
    let backend = Backend::start(&record, &nodes[0].settings, "i-1");
    let _other = Backend::start(&record, &nodes[1].settings, "i-2");
    nodes.iter().for_each(|node| node.until_ready(&record));
    thread::sleep(ms(5000));

    // What `send` writes besides the padding is 150 bytes long or less.
    let padding = format!("Cookie: {}\r\n", "c".repeat(HEAD - 160));
    let (mut sent, mut denied, mut served) = (0, 0, 0);
    for turn in 0..60 {
        let has_moved = trouble() && turn >= 20 && turn % 2 == 0;
        if turn == 20 && trouble() {
            record.note("half of the consumers move to the zone of n2");
        }
        let node = if has_moved { &nodes[1] } else { &nodes[0] };
        let answer = send(&record, &node.settings, "POST", "/order/x", &new_id(), &padding, b"one door");
        sent += 1;
        let status = answer.map_or(0, |answer| answer.status());
        served += u32::from(status == 200);
        denied += u32::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        thread::sleep(ms(50));
    }
    let ran = backend.runs.lock().unwrap().len();
    let _ = std::fs::remove_dir_all(&folder);
    record.note(&format!(
        "{sent} requests: {served} served, {denied} ended with a 3xx or 4xx of the system; the backend ran {ran}"
    ));
    if served == 0 {
        finish(2);
    }
    // More than 5 + one in 500 of all requests.
    finish(i32::from(denied > 5 + sent / 500));
}
