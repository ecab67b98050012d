//! A change of the configuration reaches the nodes of a zone one after the other, seconds late:
//! the reader of the zone ends, and the node that reads in its place, or the reader itself after
//! its restart, has the change from a node of another zone, and so sends it to nobody.
//!
//! `TROUBLE=0` plays the same without the end of the reader.

#[path = "../harness.rs"]
mod harness;

use std::{
    panic::{self, AssertUnwindSafe},
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use harness::{Host, METRICS, Record, Sent, Store, Target, ask, exchange, fresh_ip, millis};

/// The bounds of the site fw-konfig.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const HEARTBEAT: Duration = Duration::from_millis(870);

const ZONES: [&str; 3] = ["halle-a", "halle-b", "halle-c"];

/// The machines of the site, by zone: the service of each one's target.
const MACHINES: [&[&str]; 3] = [
    &["katalog", "katalog", "katalog", "bestellung", "bestellung", "dokumente"],
    &["katalog", "katalog", "bestellung", "dokumente"],
    &["katalog", "bestellung", "dokumente"],
];

/// The machines of the first zone.
const NEAR: usize = MACHINES[0].len();

/// How often the reader of the first zone ends and a version comes.
const ROUNDS: u32 = 14;

/// The time from one such end to the next.
const ROUND: Duration = Duration::from_millis(6500);

fn version(number: u32, orders: &str) -> String {
    let service = |name: &str| {
        format!(
            "{{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":\
             {{\"healthPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false}}}}"
        )
    };
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":\
             {{\"host\":\"fares.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout\":\"1000ms\",\"targetLatency\":\"500ms\",\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2}}}}"
        )
    };
    let limits = "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
                  \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
    format!(
        "{{\"version\":{number},\"resources\":[{},{},{},{},{},{limits}]}}",
        service("katalog"),
        service("bestellung"),
        service("dokumente"),
        route("preisabfrage", "/preisabfrage/", "safe", "katalog"),
        route("auftrag", "/auftrag/", "non_idempotent", orders),
    )
}

/// Returns whether a node reads the platform's store for its zone, by its metrics.
fn reads(host: &Host) -> bool {
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = exchange((host.ip, METRICS).into(), request.as_bytes(), millis(1000));
    answer.is_ok_and(|answer| {
        String::from_utf8_lossy(&answer.body).lines().any(|line| line == "rilltrack_reading 1")
    })
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let record = Record::new();
    let result = panic::catch_unwind(AssertUnwindSafe(|| play(&record, trouble != "0")))
        .unwrap_or_else(|_| Err("a stand-in failed".into()));
    record.write(Path::new("review/2/record.txt"));
    match result {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(why) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule held.
fn play(record: &Record, kills: bool) -> Result<bool, String> {
    let folder = harness::temporary_folder("2");
    let store = Store::start((fresh_ip(200), 7100).into(), record);
    store.publish(&version(7, "bestellung"));
    let mut hosts: Vec<Host> = Vec::new();
    for (zone, services) in ZONES.iter().zip(MACHINES) {
        for (i, service) in services.iter().enumerate() {
            hosts.push(Host::new(
                &format!("sidecar-{zone}-{}", i + 1),
                zone,
                service,
                fresh_ip(hosts.len() as u8 + 1),
                HEARTBEAT,
                store.address,
                &ZONES,
                &folder,
            ));
        }
    }
    for host in &mut hosts {
        host.start(record);
    }
    let targets: Vec<Target> = hosts
        .iter()
        .enumerate()
        .map(|(i, host)| {
            Target::start(
                &format!("i-{}", i + 1),
                &host.service,
                &host.zone,
                host.ip,
                millis(30),
                HEARTBEAT,
                record,
            )
        })
        .collect();
    if !hosts.iter().all(|host| host.until_ready(millis(20_000))) {
        return Err("a node doesn't get ready".into());
    }
    thread::sleep(millis(8000));

    let (mut asked, mut old, mut rounds) = (0, 0, 0);
    for round in 0..ROUNDS {
        let (before, after) = match round % 2 {
            0 => ("bestellung", "dokumente"),
            _ => ("dokumente", "bestellung"),
        };
        let reader = (0..NEAR).find(|i| reads(&hosts[*i])).ok_or("no node reads")?;
        if kills {
            record.note(format!("{} reads the store for its zone", hosts[reader].name));
            hosts[reader].kill(record);
        }
        let number = 9 + 2 * round;
        store.publish(&version(number, after));
        let acked = Instant::now();
        record.note_at(
            acked,
            format!("the store acknowledges version {number}: orders go to {after}"),
        );
        if kills {
            thread::sleep(millis(300));
            hosts[reader].start(record);
        }
        // A few requests are sent directly to each node, and show which configuration is in force.
        thread::sleep((acked + CONFIG_APPLY + millis(50)).saturating_duration_since(Instant::now()));
        let looks: Vec<_> = (0..hosts.len())
            .filter(|i| !kills || *i != reader)
            .map(|i| {
                let to = hosts[i].callers();
                thread::spawn(move || {
                    let id = format!("o{number}-{:02}", i + 1);
                    let path = format!("/auftrag/{id}");
                    ask(to, "POST", &path, &id, "amount=5", millis(2000))
                })
            })
            .collect();
        let sent: Vec<Sent> = looks.into_iter().filter_map(|look| look.join().ok()).collect();
        asked += sent.len();
        let mut is_broken = false;
        for sent in &sent {
            record.note_at(sent.at, format!("caller sends {} {}", sent.method, sent.id));
            record.note_at(
                sent.ended,
                format!("caller gets {} for {}: {}", sent.status, sent.id, sent.body.trim()),
            );
            for (i, target) in targets.iter().enumerate() {
                for seen in target.seen().iter().filter(|seen| seen.id == sent.id && seen.ran) {
                    // What runs on the machine that was restarted doesn't count.
                    let is_old = target.service == before && !(kills && i == reader);
                    is_broken |= is_old;
                    old += u32::from(is_old);
                    let late = (sent.at - acked).as_secs_f64();
                    let note = match is_old {
                        true => format!(", sent {late:.3} s after the acknowledgement, by the old route"),
                        false => String::new(),
                    };
                    record.note_at(
                        seen.at,
                        format!("target {} of {} runs {}{note}", target.instance, target.service, sent.id),
                    );
                }
            }
        }
        rounds += u32::from(is_broken);
        thread::sleep((acked + ROUND).saturating_duration_since(Instant::now()));
    }
    let verdict = format!(
        "{old} of {asked} orders sent more than {} s after the acknowledgement were run by the old \
         service, in {rounds} of {ROUNDS} rounds",
        CONFIG_APPLY.as_secs_f64()
    );
    record.note(verdict.clone());
    println!("{verdict}");
    for target in &targets {
        target.end();
    }
    drop(hosts);
    let _ = std::fs::remove_dir_all(&folder);
    match asked {
        0 => Err("no order was sent".into()),
        _ => Ok(old == 0),
    }
}
