//! A change of the configuration reaches the nodes of a zone one after the other, seconds late:
//! the reader of the zone ends, and the node that reads in its place, or the reader itself after
//! its restart, has the change from a node of another zone, and so sends it to nobody.
//!
//! `TROUBLE=0` plays the same without the end of the reader.

#[path = "../harness.rs"]
mod harness;

use std::{
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use harness::{Host, METRICS, Record, Sent, Store, Target, ask, exchange, fresh_ip, millis};

/// The bound of the site obl-palermo.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Machines of the site: 13. Most are in one zone.
const NEAR: usize = 11;
const FAR: usize = 2;

const ZONES: [&str; 2] = ["pa-brancaccio", "ct-zia-lisa"];

fn version(number: u32, topup: &str) -> String {
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
        "{{\"version\":{number},\"resources\":[{},{},{},{},{limits}]}}",
        service("ricarica"),
        service("saldo"),
        route("topup", "/topup/", "non_idempotent", topup),
        route("balance", "/balance/", "safe", "saldo"),
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
    let result = play(&record, trouble != "0");
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
    store.publish(&version(7, "ricarica"));
    let mut hosts: Vec<Host> = (0..NEAR + FAR)
        .map(|i| {
            let (zone, number, service) = match i < NEAR {
                true => (ZONES[0], i + 1, "ricarica"),
                false => (ZONES[1], i + 1 - NEAR, "saldo"),
            };
            Host::new(
                &format!("sidecar-{zone}-{number}"),
                zone,
                service,
                fresh_ip(i as u8 + 1),
                HEARTBEAT,
                store.address,
                &ZONES,
                &folder,
            )
        })
        .collect();
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

    let reader = (0..NEAR).find(|i| reads(&hosts[*i])).ok_or("no node reads")?;
    record.note(format!("{} reads the store for its zone", hosts[reader].name));
    thread::sleep(millis(4000));

    if kills {
        hosts[reader].kill(record);
    }
    store.publish(&version(9, "saldo"));
    let acked = Instant::now();
    record.note_at(acked, "the store acknowledges version 9: /topup/ goes to saldo");
    if kills {
        thread::sleep(millis(300));
        hosts[reader].start(record);
    }
    // A few requests are sent directly to each node, and show which configuration is in force.
    let mut sent: Vec<Sent> = Vec::new();
    for round in 0..8 {
        let at = acked + CONFIG_APPLY + millis(100 + 500 * round);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let looks: Vec<_> = (0..NEAR + FAR)
            .filter(|i| !kills || *i != reader)
            .map(|i| {
                let to = hosts[i].callers();
                thread::spawn(move || {
                    let id = format!("t{round}-{:02}", i + 1);
                    let path = format!("/topup/{id}");
                    ask(to, "POST", &path, &id, "amount=5", millis(3000))
                })
            })
            .collect();
        sent.extend(looks.into_iter().filter_map(|look| look.join().ok()));
    }

    let mut old = 0;
    for sent in &sent {
        record.note_at(sent.at, format!("caller sends {} {}", sent.method, sent.id));
        record.note_at(
            sent.ended,
            format!("caller gets {} for {}: {}", sent.status, sent.id, sent.body.trim()),
        );
        for (i, target) in targets.iter().enumerate() {
            for seen in target.seen().iter().filter(|seen| seen.id == sent.id && seen.ran) {
                // What runs on the machine that was restarted doesn't count.
                let is_old = target.service == "ricarica" && !(kills && i == reader);
                old += u32::from(is_old);
                let late = (sent.at - acked).as_secs_f64();
                record.note_at(
                    seen.at,
                    format!(
                        "target {} of {} runs {}{}",
                        target.instance,
                        target.service,
                        sent.id,
                        if is_old {
                            format!(", sent {late:.3} s after the acknowledgement, by the old route")
                        } else {
                            String::new()
                        }
                    ),
                );
            }
        }
    }
    let verdict = format!(
        "{old} of {} orders sent more than {} s after the acknowledgement were run by the old service",
        sent.len(),
        CONFIG_APPLY.as_secs_f64()
    );
    record.note(verdict.clone());
    println!("{verdict}");
    for target in &targets {
        target.end();
    }
    drop(hosts);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(old == 0)
}
