//! A drain that was acknowledged is forgotten: an older record of the node, whose write the
//! store did late, lies behind the newer one, and the node reads it at its next start.
//!
//! `TROUBLE=0` plays the same without the disruption; `TROUBLE=late` and `TROUBLE=kill` play
//! one half of it.

#[path = "../harness.rs"]
mod harness;

use std::{
    panic::{self, AssertUnwindSafe},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use harness::{Host, Late, Record, Sent, Store, Target, ask, fresh_ip, millis};

/// The bounds of the site obl-palermo.
const DRAIN: Duration = Duration::from_millis(2000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3000);
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How long after its call the unanswered write is done; the pages say 1 to 6 s.
const LATE: Duration = Duration::from_millis(4500);

/// How long the store loses answers.
const LOSING: Duration = Duration::from_millis(4500);

/// How long the target serves after its acknowledged leave: `drain` and a little longer, "at
/// times many seconds".
const STAYS: Duration = Duration::from_millis(8500);

const ZONES: [&str; 3] = ["pa-brancaccio", "ct-zia-lisa", "me-gazzi"];

/// The machines of the site obl-palermo, by zone: the service of each one's target.
const MACHINES: [&[&str]; 3] = [
    &["saldo", "saldo", "ricarica", "ricarica", "giornale"],
    &["saldo", "saldo", "ricarica", "giornale"],
    &["saldo", "saldo", "ricarica", "giornale"],
];

fn version() -> String {
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
        "{{\"version\":7,\"resources\":[{},{},{},{},{},{limits}]}}",
        service("ricarica"),
        service("saldo"),
        service("giornale"),
        route("topup", "/topup/", "non_idempotent", "ricarica"),
        route("balance", "/balance/", "safe", "saldo"),
    )
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let (loses, kills) = (
        ["1", "late"].contains(&trouble.as_str()),
        ["1", "kill"].contains(&trouble.as_str()),
    );
    let record = Record::new();
    let result = panic::catch_unwind(AssertUnwindSafe(|| play(&record, loses, kills)))
        .unwrap_or_else(|_| Err("a stand-in failed".into()));
    record.write(Path::new("review/1/record.txt"));
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

/// Callers beside a node. They pause while the platform's readiness checks miss twice.
struct Callers {
    ends: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn start(host: &Host, tag: &str) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let misses = Arc::new(AtomicU32::new(0));
        let mut threads = Vec::new();
        let probe = Host::new(
            &host.name,
            &host.zone,
            &host.service,
            host.ip,
            HEARTBEAT,
            host.callers(),
            &ZONES,
            Path::new("."),
        );
        let (ending, missed) = (ends.clone(), misses.clone());
        threads.push(thread::spawn(move || {
            while !ending.load(Ordering::Relaxed) {
                match probe.is_ready() {
                    true => missed.store(0, Ordering::Relaxed),
                    false => drop(missed.fetch_add(1, Ordering::Relaxed)),
                }
                thread::sleep(millis(1000));
            }
        }));
        for caller in 0..3 {
            let (ending, missed, sent) = (ends.clone(), misses.clone(), sent.clone());
            let (to, tag) = (host.callers(), tag.to_owned());
            threads.push(thread::spawn(move || {
                let mut count = 0;
                while !ending.load(Ordering::Relaxed) {
                    thread::sleep(millis(60));
                    if missed.load(Ordering::Relaxed) >= 2 {
                        continue;
                    }
                    count += 1;
                    let id = format!("{tag}{caller}-{count:05}");
                    let path = format!("/topup/{id}");
                    let end = ask(to, "POST", &path, &id, "amount=5", millis(3000));
                    sent.lock().unwrap().push(end);
                }
            }));
        }
        Self {
            ends,
            sent,
            threads,
        }
    }

    fn end(self) -> Vec<Sent> {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

/// Returns whether the rule held.
fn play(record: &Record, loses: bool, kills: bool) -> Result<bool, String> {
    let folder = harness::temporary_folder("1");
    let store = Store::start((fresh_ip(200), 7100).into(), record);
    store.publish(&version());
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
    let start_target = |host: &Host, instance: &str| {
        Target::start(
            instance,
            &host.service,
            &host.zone,
            host.ip,
            millis(60),
            HEARTBEAT,
            record,
        )
    };
    for host in &mut hosts {
        host.start(record);
    }
    let mut targets: Vec<Target> = (0..hosts.len())
        .map(|i| start_target(&hosts[i], &format!("i-{:02}a", i + 1)))
        .collect();
    if !hosts.iter().all(|host| host.until_ready(millis(20_000))) {
        return Err("a node doesn't get ready".into());
    }
    // Traffic starts 8 s after the machines do.
    thread::sleep(millis(8000));
    // A machine of `ricarica` whose node is among those that starting nodes ask first.
    let contacts = store.newest_values("keyed.rilltrack-contacts");
    let is_contact = |host: &Host| {
        let name = host.name.as_bytes();
        contacts.iter().any(|contact| contact.windows(name.len()).any(|bytes| bytes == name))
    };
    let one = (0..hosts.len()).find(|i| hosts[*i].service == "ricarica" && is_contact(&hosts[*i]));
    let one = one.ok_or("no node beside a target of ricarica is a contact")?;
    let other = (one + 1) % hosts.len();
    let near = Callers::start(&hosts[one], "n");
    let far = Callers::start(&hosts[other], "f");
    thread::sleep(millis(2000));

    // The store loses answers of writes for a while. Of those in that time, one is lost: the
    // first one that tells of the new boot of the target that leaves later.
    if loses {
        record.note("disruption begins: the store loses answers of writes, and does them late");
        let is_lost = AtomicBool::new(false);
        let boot = format!("i-{:02}b", one + 1);
        store.set_loses(Some(Arc::new(move |_, record| {
            let tells = record.windows(boot.len()).any(|bytes| bytes == boot.as_bytes());
            let lose = tells && !is_lost.swap(true, Ordering::Relaxed);
            lose.then_some(Late { after: LATE })
        })));
    }
    let writes_before = store.writes();
    let began = Instant::now();
    // The target of that machine ends, and starts again as a new boot.
    targets[one].end();
    thread::sleep(millis(100));
    targets[one] = start_target(&hosts[one], &format!("i-{:02}b", one + 1));
    // It is taken away: it deregisters first, and serves on.
    thread::sleep((began + millis(3000)).saturating_duration_since(Instant::now()));
    let leaving = targets[one].clone();
    let acked = leaving.deregister();
    record.note_at(acked, format!("the leave of {} is acknowledged", leaving.instance));
    thread::sleep((began + LOSING).saturating_duration_since(Instant::now()));
    store.set_loses(None);
    let writes = store.writes() - writes_before;
    if loses {
        record.note(format!(
            "disruption ends: the store loses no more answers; 1 of {writes} was lost"
        ));
    }
    // The node is restarted after the late write.
    thread::sleep((began + LATE + millis(700)).saturating_duration_since(Instant::now()));
    let disturbed = Instant::now();
    if kills {
        hosts[one].kill(record);
        thread::sleep(millis(300));
        hosts[one].start(record);
        if !hosts[one].until_ready(millis(5000)) {
            return Err("the node doesn't get ready again".into());
        }
        record.note("the node is ready again");
    }
    let calm = match kills || loses {
        true => Instant::now().max(disturbed) + STABILITY_WINDOW,
        false => acked,
    };
    record.note_at(calm, "all machines are in touch from here on");
    thread::sleep((acked + STAYS).saturating_duration_since(Instant::now()));
    leaving.end();
    thread::sleep(millis(1500));
    let sent: Vec<Sent> = [near.end(), far.end()].concat();

    let mut late = 0;
    let from = calm.max(acked + DRAIN);
    for seen in leaving.seen() {
        let caller = sent.iter().find(|sent| sent.id == seen.id);
        let is_late = seen.ran
            && seen.at > acked + DRAIN
            && caller.is_some_and(|sent| sent.at > from);
        late += u32::from(is_late);
        record.note_at(
            seen.at,
            format!(
                "target {} gets {} {}{}{}",
                leaving.instance,
                seen.method,
                seen.id,
                if seen.ran { "" } else { ", answers 421" },
                if is_late {
                    format!(
                        ", {:.3} s after its acknowledged leave",
                        (seen.at - acked).as_secs_f64()
                    )
                } else {
                    String::new()
                }
            ),
        );
    }
    let mut lost = 0;
    for sent in &sent {
        record.note_at(sent.at, format!("caller sends {} {}", sent.method, sent.id));
        record.note_at(
            sent.ended,
            format!("caller gets {} for {}: {}", sent.status, sent.id, sent.body.trim()),
        );
        let ran = leaving.seen().iter().any(|seen| seen.id == sent.id && seen.ran && !seen.answered);
        lost += u32::from(ran && sent.at > from && sent.status != 200);
    }
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    let verdict = format!(
        "{served} of {} requests served; {late} reached the target over {} s after its acknowledged \
         leave, sent while all machines were in touch; {lost} of these were at work at its end and \
         got no success",
        sent.len(),
        DRAIN.as_secs_f64()
    );
    record.note(verdict.clone());
    println!("{verdict}");
    for target in &targets {
        target.end();
    }
    drop(hosts);
    let _ = std::fs::remove_dir_all(&folder);
    match sent.len() {
        0 => Err("no request was sent".into()),
        _ => Ok(late == 0),
    }
}
