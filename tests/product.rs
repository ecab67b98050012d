//! Tests of settings, configuration files, the journal, units, the event
//! catalogue, the command-line tool and its exit codes, and TLS between nodes.

mod support;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rilltrack::{
    document::Document,
    event::Event,
    files::Files,
    settings::Settings,
    transport::{http, tls},
    unit::{Percent, Size, Span},
};
use serde_json::json;
use support::{
    client,
    log::{Log, Mode},
    mesh::{
        self, Process, attach, basic_ops, processes, publish, settings, wait_for_members,
        wait_for_version, wait_until_ready,
    },
    target::Target,
};
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_rilltrackd");
const TOOL: &str = env!("CARGO_BIN_EXE_rilltrack");

/// Defines tests by name and body.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

/// Returns the faults of daemon settings, one per line.
fn faults_of_settings(text: &str) -> String {
    let document = Document::parse("s.jsonc", text).unwrap();
    let faults = Settings::from_document(&document).unwrap_err();
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// Returns the faults of a configuration file, one per line.
fn faults_of_files(text: &str) -> String {
    let document = match Document::parse("f.jsonc", text) {
        Ok(document) => document,
        Err(fault) => return format!("{fault}\n"),
    };
    let faults = Files::from_documents(vec![document], Vec::new()).unwrap_err();
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// Returns the path of an example in `examples/config`.
fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples/config")
        .join(name)
}

/// Stores the bytes written, with a delay of 1 ms per write.
#[derive(Clone, Default)]
struct SlowBuffer(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for SlowBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(std::time::Duration::from_millis(1));
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

cases! {
    example_files_have_no_faults => {
        for name in ["obliteratori-trinacria.jsonc", "fensterwerk.jsonc"] {
            let files = Files::read(&[example_path(name)]).unwrap_or_else(|faults| panic!("{faults:?}"));
            assert_eq!(files.warnings(), []);
        }
        Settings::read(&example_path("rilltrackd.jsonc")).unwrap();
    }

    all_settings_faults_are_reported_together_with_their_lines => {
        let text = fs::read_to_string(example_path("rilltrackd.jsonc")).unwrap();
        let text = text
            .replace("\"period\": \"1s\"", "\"period\": \"100ms\"")
            .replace("127.0.0.1:7001", "127.0.0.1:7000")
            .replace("127.0.0.1:7003", "10.0.0.1:7003")
            .replace("http://", "ftp://");
        insta::assert_snapshot!(faults_of_settings(&text), @r"
        s.jsonc:29: `membership.timeout`: must be below `period`, or pings overlap
        s.jsonc:17: `log.url`: must start with http:// or https://
        s.jsonc:8: `listen.callers`: is used twice
        s.jsonc:9: `listen.inbound`: is used twice
        s.jsonc:11: `listen.targets`: must be a loopback address: only targets on this host may announce
        ");
    }

    unknown_setting_is_rejected => {
        let text = fs::read_to_string(example_path("rilltrackd.jsonc")).unwrap();
        let text = text.replace("\"drain\": \"30s\"", "\"drian\": \"30s\"");
        let faults = faults_of_settings(&text);
        assert!(faults.starts_with("s.jsonc:30: `requests.drian`: unknown field `drian`"), "{faults}");
    }

    all_faults_of_files_come_at_once_with_their_lines => {
        let text = r#"[
  {"kind": "policy", "name": "p", "timeout": "5 seconds", "slots": 1, "queue": 1, "class": "normal", "repeat": "never"},
  {"kind": "servise", "name": "s", "policy": "p"},
  {"kind": "service", "name": "t", "policy": "none"},
  {"kind": "boundary", "name": "b", "services": {}, "to": {"match_label": {"a": "b"}}},
  {"kind": "boundary", "name": "c", "services": {}, "to": {"all": true}},
  {"kind": "route", "name": "r", "path": "x", "methods": ["get"], "service": "t"}
]"#;
        insta::assert_snapshot!(faults_of_files(text));
    }

    unused_resources_and_selectors_without_match_are_warned_about => {
        let text = r#"[
  {"kind": "domain", "name": "d", "labels": {"region": "south"}},
  {"kind": "policy", "name": "p", "timeout": "5s", "slots": 1, "queue": 1, "class": "normal", "repeat": "never"},
  {"kind": "boundary", "name": "b", "services": {"match_labels": {"data": "none"}},
   "from": {"match_labels": {"region": "nroth"}}, "to": {"all": true}}
]"#;
        let document = Document::parse("f.jsonc", text).unwrap();
        let files = Files::from_documents(vec![document], Vec::new()).unwrap();
        let warnings: Vec<String> = files.warnings().iter().map(ToString::to_string).collect();
        assert_eq!(warnings, [
            "f.jsonc:3: `1`: policy/p: nothing uses it",
            "f.jsonc:4: `2`: boundary/b: nothing uses it",
            "f.jsonc:5: `2.from`: boundary/b: selects no failure domain",
        ]);
    }

    invalid_json_is_reported_with_its_line => {
        let faults = faults_of_files("[\n  {\"kind\": \"domain\",, }\n]");
        assert!(faults.starts_with("f.jsonc:2: is not JSON"), "{faults}");
    }

    all_host_settings_faults_are_reported_together => {
        let text = r#"{ "node": "n1", "domain": "x", "service": "A B",
  "listen": {"callers": "127.0.0.1:1"},
  "store": "10.200.1.7", "heartbeat": "1500ms",
  "resend": {"ratio": 0.2, "slack": 62, "window": "10s"}, "descriptors": 4100 }"#;
        let document = Document::parse("host.json", text).unwrap();
        let faults = rilltrack::host::Settings::from_document(&document).unwrap_err();
        let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
        assert_eq!(fields, ["service", "listen", "store", "grace"]);
        let good = text
            .replace("A B", "a")
            .replace("10.200.1.7", "10.200.1.7:80")
            .replace(r#""resend""#, r#""grace": "10ms", "resend""#)
            .replace("0.2", "1.2")
            .replace(
                r#"{"callers": "127.0.0.1:1"}"#,
                r#"{"callers": "127.0.0.1:1", "inbound": "127.0.0.1:2", "peers": "127.0.0.1:3",
                    "targets": "127.0.0.1:4", "ready": "127.0.0.1:5", "metrics": "127.0.0.1:6"}"#,
            );
        let document = Document::parse("host.json", &good).unwrap();
        let faults = rilltrack::host::Settings::from_document(&document).unwrap_err();
        let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
        assert_eq!(fields, ["grace", "resend.ratio"]);
    }

    request_is_traced_across_the_lines_of_several_nodes => {
        let mut trace = rilltrack::tool::trace::Trace::default();
        let lines: [&[u8]; 7] = [
            br#"{"ms":12,"code":410,"event":"Admitted","level":"INFO","node":"n2","id":"a1"}"#,
            br#"{"ms":10,"code":403,"event":"Retried","level":"INFO","node":"n1","id":"a1","to":"n3"}"#,
            br#"collector: {"ms":14,"code":400,"event":"Routed","level":"INFO","node":"n1","id":"a1","tries":"n3,n2"}"#,
            br#"{"ms":13,"code":400,"event":"Routed","level":"INFO","node":"n2","id":"a1.b2"}"#,
            br#"{"ms":13,"code":400,"event":"Routed","level":"INFO","node":"n2","id":"a12"}"#,
            br#"{"ms":13,"code":400,"event":"Rou"#,
            b"another program's line",
        ];
        for line in lines {
            trace.add_line(line, "a1");
        }
        trace.sort();
        assert_eq!((trace.lines_read, trace.skipped), (7, 2));
        assert_eq!(trace.text(), [
            "+0 ms n1 E403 Retried: id=a1 to=n3",
            "+2 ms n2 E410 Admitted: id=a1",
            "+3 ms n2 E400 Routed: id=a1.b2",
            "+4 ms n1 E400 Routed: id=a1 tries=n3,n2",
            "gap: no line of n3, where the request was sent",
        ]);
    }

    journal_drops_lines_instead_of_blocking_on_a_stuck_output => {
        // An output that takes no bytes: the writer thread hangs in its first write.
        struct StuckOutput(std::sync::mpsc::Receiver<()>);
        impl std::io::Write for StuckOutput {
            fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
                let _ = self.0.recv();
                Err(std::io::ErrorKind::BrokenPipe.into())
            }
            fn flush(&mut self) -> std::io::Result<()> {
                Ok(())
            }
        }
        let (release, released) = std::sync::mpsc::channel();
        let journal = rilltrack::journal::Journal::start_json("n1", Box::new(StuckOutput(released)));
        for i in 0..100_000 {
            journal.record(Event::Routed, &[("id", &i)]);
        }
        // No call blocked, and nearly all lines were dropped and counted.
        assert!(journal.dropped() > 90_000, "{}", journal.dropped());
        drop(release);
    }

    // `stop` once returned while the writer thread held a line that it had taken out of the
    // ring but not yet written. The process could end without it: the output was empty.
    stopped_journal_has_written_every_line => {
        for i in 0..300 {
            let buffer = SlowBuffer::default();
            let journal = rilltrack::journal::Journal::start_json("n1", Box::new(buffer.clone()));
            journal.record(Event::Stopped, &[("id", &i)]);
            // Varies the delay, so that in some rounds the writer holds the line at the stop.
            std::thread::sleep(std::time::Duration::from_micros(i));
            journal.stop();
            assert!(!buffer.0.lock().unwrap().is_empty(), "line {i} is not written when `stop` returns");
        }
    }

    json_lines_hold_their_fields => {
        let buffer = SlowBuffer::default();
        let journal = rilltrack::journal::Journal::start_json("n1", Box::new(buffer.clone()));
        journal.record(Event::Refused, &[("id", &"a\"b\n"), ("status", &503), ("version", &7)]);
        journal.stop();
        let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
        let line: serde_json::Value = serde_json::from_str(text.trim_end()).unwrap();
        assert_eq!(line["id"], "a\"b\n");
        assert_eq!((line["status"].as_u64(), line["code"].as_u64()), (Some(503), Some(404)));
        assert_eq!(line["event"], "Refused");
    }

    // An id of digits with a leading zero was written without quotes, which isn't JSON.
    json_lines_quote_all_but_whole_numbers => {
        let buffer = SlowBuffer::default();
        let journal = rilltrack::journal::Journal::start_json("n1", Box::new(buffer.clone()));
        for text in ["0123", "+5", "", "1234567890123456", "2.5", "a\\b", "0", "87"] {
            journal.record(Event::Refused, &[("id", &text)]);
        }
        journal.stop();
        let output = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
        let ids = output.lines().map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            line["id"].to_string()
        });
        let expected = ["\"0123\"", "\"+5\"", "\"\"", "\"1234567890123456\"", "\"2.5\"", "\"a\\\\b\"", "0", "87"];
        assert_eq!(ids.collect::<Vec<_>>(), expected);
    }

    quantities_round_trip_through_text => {
        for text in ["0ms", "250ms", "17s", "10min", "3h", "2d"] {
            assert_eq!(text.parse::<Span>().unwrap().to_string(), text);
        }
        for text in ["1B", "64KiB", "3MiB", "2GiB"] {
            assert_eq!(text.parse::<Size>().unwrap().to_string(), text);
        }
        for (text, millis) in [("2.5s", 2500), ("0.25s", 250), ("1.5min", 90_000), ("0.4ms", 0)] {
            assert_eq!(text.parse::<Span>().unwrap().as_millis(), millis, "{text}");
        }
        for text in [".5s", "2.s", "2.5", "-2.5s", "2.5.1s", "2.99999999999999999999999s"] {
            assert!(text.parse::<Span>().is_err(), "{text}");
        }
        assert_eq!("10%".parse::<Percent>().unwrap().to_string(), "10%");
        for text in ["", "5", "5 s", "s", "-1s", "99999999999999999999d"] {
            assert!(text.parse::<Span>().is_err(), "{text}");
        }
        assert!("101%".parse::<Percent>().is_err());
    }

    catalogue_and_code_list_the_same_events => {
        let catalogue = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md")).unwrap();
        let listed: Vec<&str> = catalogue.lines().filter(|line| line.starts_with("| E")).collect();
        let known: Vec<String> = Event::ALL
            .iter()
            .map(|e| format!("| E{} | {} | {} | {} |", e.code(), e.level(), e.name(), e.meaning()))
            .collect();
        assert_eq!(listed, known);
    }
}

/// Runs the command-line tool against `daemon`; returns its exit code and output.
fn run_tool(daemon: &Process, args: &[&str]) -> (i32, String) {
    let address = daemon.listen.operators.to_string();
    exit_code_and_text(
        Command::new(TOOL)
            .args(["--daemon", &address])
            .args(args)
            .output()
            .unwrap(),
    )
}

/// Returns the exit code, and standard output followed by standard error.
fn exit_code_and_text(output: Output) -> (i32, String) {
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap(), text)
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_reports_outcomes_by_exit_code() {
    let log = Log::start();
    let mesh = processes(
        Path::new(DAEMON),
        &log,
        &[("a1", "palermo"), ("b1", "catania")],
    )
    .await;
    let file = example_path("obliteratori-trinacria.jsonc");
    let file = file.to_str().unwrap();
    let dir = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };

    assert_eq!(
        exit_code_and_text(Command::new(TOOL).args(["check", file]).output().unwrap()).0,
        0
    );
    let (exit_code, text) = run_tool(&mesh[0], &["publish", file, "--wait", "20s"]);
    assert_eq!(exit_code, 0, "{text}");
    assert!(text.contains("is in force on all 2 nodes"), "{text}");
    assert!(
        run_tool(&mesh[1], &["diff", file])
            .1
            .contains("no difference")
    );

    // A part of the configuration may refer to resources in force that it does not contain.
    let part = write(
        "part.jsonc",
        r#"[{"kind": "service", "name": "receipts", "labels": {"data": "cards"}, "policy": "lookup"}]"#,
    );
    assert_eq!(run_tool(&mesh[1], &["publish", &part]).0, 0);

    let broken = write(
        "broken.jsonc",
        r#"[{"kind": "service", "name": "x", "policy": "none"}]"#,
    );
    assert_eq!(run_tool(&mesh[0], &["publish", &broken]).0, 3);
    let policy_only = write(
        "policy.jsonc",
        r#"[{"kind": "policy", "name": "ledger", "timeout": "1s", "slots": 1,
        "queue": 1, "class": "normal", "repeat": "never"}]"#,
    );
    assert_eq!(
        run_tool(&mesh[1], &["publish", &policy_only, "--prune"]).0,
        0
    );
    let rolled_back = run_tool(&mesh[0], &["rollback", "0.1", "--wait", "20s"]);
    assert_eq!(rolled_back.0, 0, "{}", rolled_back.1);
    assert!(
        run_tool(&mesh[1], &["diff", file])
            .1
            .contains("no difference")
    );
    let conflict = run_tool(
        &mesh[1],
        &["label", "domain/palermo", "a=b", "--expect", "0.1"],
    );
    assert_eq!(conflict.0, 4, "{}", conflict.1);
    assert_eq!(
        run_tool(&mesh[1], &["label", "domain/palermo", "jurisdiction=fr"]).0,
        0
    );
    let explained = run_tool(&mesh[0], &["explain", "/balance/fare-rules"]);
    assert!(
        explained
            .1
            .contains("route/fare-rules leads to service/balance"),
        "{}",
        explained.1
    );
    assert!(run_tool(&mesh[0], &["history"]).1.contains("back to 0.1"));
    assert!(
        run_tool(&mesh[0], &["--json", "status"])
            .1
            .contains("\"ready\":true")
    );

    log.set_mode(Mode::Unavailable);
    assert_eq!(run_tool(&mesh[0], &["label", "domain/palermo", "a=b"]).0, 6);
    log.set_mode(Mode::Hanging);
    assert_eq!(run_tool(&mesh[0], &["label", "domain/palermo", "a=b"]).0, 5);
    log.set_mode(Mode::Normal);
    let address = mesh[1].listen.operators.to_string();
    drop(mesh);
    assert_eq!(
        exit_code_and_text(
            Command::new(TOOL)
                .args(["--daemon", &address, "status"])
                .output()
                .unwrap()
        )
        .0,
        6
    );
}

/// A certificate authority, with the certificates that it has issued for 127.0.0.1.
struct Authority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    dir: TempDir,
}

impl Authority {
    fn new() -> Self {
        let mut params = rcgen::CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let key = rcgen::KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        let dir = TempDir::new().unwrap();
        fs::write(dir.path().join("authority.pem"), certificate.pem()).unwrap();
        Self {
            issuer: rcgen::Issuer::new(params, key),
            dir,
        }
    }

    /// Issues a certificate for `name` in `domain`; returns the setting `security`
    /// with it.
    fn issue(&self, name: &str, domain: &str) -> serde_json::Value {
        let key = rcgen::KeyPair::generate().unwrap();
        let names = vec!["127.0.0.1".to_owned(), format!("{name}.{domain}")];
        let params = rcgen::CertificateParams::new(names).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |extension: &str| self.dir.path().join(format!("{name}.{extension}"));
        fs::write(path("pem"), certificate.pem()).unwrap();
        fs::write(path("key"), key.serialize_pem()).unwrap();
        json!({"tls": {"certificate": path("pem"), "key": path("key"),
            "authority": self.dir.path().join("authority.pem")}})
    }

    /// Returns an HTTP client with a certificate for `name` in `domain`.
    fn client(&self, name: &str, domain: &str) -> reqwest::Client {
        let security = serde_json::from_value(self.issue(name, domain)).unwrap();
        tls::proven(http::client(), &security).unwrap()
    }

    /// Starts a daemon, whose operator interface the test calls with a certificate
    /// of this authority.
    fn start(&self, settings: &serde_json::Value) -> Process {
        let process = Process::start(Path::new(DAEMON), settings);
        let operator = self.client("operator", "rilltrack.internal");
        mesh::use_operator_client(process.listen.operators, &operator);
        process
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_nodes_with_the_authoritys_certificate_are_peers() {
    let (log, authority, other_authority) = (Log::start(), Authority::new(), Authority::new());
    let start =
        |name: &str, domain: &str, authority: &Authority, seeds: &[std::net::SocketAddr]| {
            let mut settings = settings(name, domain, &log.url(), seeds);
            settings["security"] = authority.issue(name, domain);
            authority.start(&settings)
        };
    let a = start("a1", "palermo", &authority, &[]);
    let b = start("b1", "catania", &authority, &[a.listen.peers]);
    for node in [&a, &b] {
        wait_until_ready(&node.listen).await;
        wait_for_members(&node.listen, 2).await;
    }
    let version = publish(
        a.listen.operators,
        "base",
        basic_ops(&["palermo", "catania"], "s"),
    )
    .await;
    wait_for_version(&b.listen, version).await;
    let target = Target::start("t", "s");
    attach(&target, &b.listen, &[&a.listen, &b.listen]).await;
    let response = client()
        .get(format!("http://{}/s", a.listen.callers))
        .send()
        .await
        .unwrap();
    assert_eq!(response.text().await.unwrap(), "t /s ");

    // A certificate is valid for one node in one failure domain only.
    for (node, domain) in [("d1", "palermo"), ("a9", "catania")] {
        let mut settings = settings(node, domain, &log.url(), &[a.listen.peers]);
        settings["security"] = authority.issue("a9", "palermo");
        let impostor = authority.start(&settings);
        wait_until_ready(&impostor.listen).await;
        wait_for_members(&impostor.listen, 1).await;
        wait_for_members(&a.listen, 2).await;
    }

    // A node's certificate allows reading metrics but no publishing. An operator's allows
    // both, also through the tool.
    let change = mesh::new_change(a.listen.operators, "theirs", Vec::new()).await;
    let (address, node) = (a.listen.operators, authority.client("b1", "catania"));
    let metrics = node
        .get(format!("https://{address}/metrics"))
        .send()
        .await
        .unwrap();
    assert_eq!(metrics.status().as_u16(), 200);
    let body = serde_json::to_vec(&change).unwrap();
    let refused = node
        .post(format!("https://{address}/changes"))
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(refused.status().as_u16(), 403);
    let files = authority.issue("operator", "rilltrack.internal");
    let file = |name: &str| files["tls"][name].as_str().unwrap().to_owned();
    let address = address.to_string();
    let mut tool = Command::new(TOOL);
    tool.args([
        "--daemon",
        &address,
        "--certificate",
        &file("certificate"),
        "--key",
        &file("key"),
    ]);
    tool.args([
        "--authority",
        &file("authority"),
        "label",
        "domain/palermo",
        "a=b",
    ]);
    assert_eq!(exit_code_and_text(tool.output().unwrap()).0, 0);
    let without_certificate = Command::new(TOOL)
        .args(["--daemon", &address, "status"])
        .output()
        .unwrap();
    assert_ne!(exit_code_and_text(without_certificate).0, 0);

    // Nodes reject a node with a certificate of another authority, requests in plain HTTP and
    // TLS clients without a certificate.
    let c = start("c1", "palermo", &other_authority, &[a.listen.peers]);
    wait_until_ready(&c.listen).await;
    wait_for_members(&c.listen, 1).await;
    wait_for_members(&a.listen, 2).await;
    for address in [a.listen.peers, b.listen.inbound] {
        let plaintext = client()
            .get(format!("http://{address}/s"))
            .header("rilltrack-service", "s")
            .send()
            .await;
        assert!(plaintext.is_err() || !plaintext.unwrap().status().is_success());
        let anonymous = client_without_certificate()
            .get(format!("https://{address}/s"))
            .send()
            .await;
        assert!(anonymous.is_err());
    }
    assert_eq!(target.hits(), 1);
}

/// Returns an HTTP client that has no certificate and accepts any server's.
fn client_without_certificate() -> reqwest::Client {
    http::client()
        .tls_danger_accept_invalid_certs(true)
        .build()
        .unwrap()
}
