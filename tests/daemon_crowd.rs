//! Many clients of a daemon that stop just short of the end of what they send, and stay.

mod support;

use std::{net::SocketAddr, path::Path, time::Duration};

use rilltrack::{protocol::wire, unit::Size};
use serde_json::json;
use support::{
    client,
    local::resources,
    log::Log,
    mesh::{self, Process},
    raw, until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Mutex, task::JoinSet};

/// The setting `memory` of each daemon.
const MEMORY: Size = Size::from_bytes(64 << 20);

/// The number of clients.
const CROWD: usize = 200;

/// The size of what each of them sends, less the last byte.
const BODY: usize = 1_000_000;

/// How long the clients may take to send. The checks begin then, whatever was sent.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Serializes the tests.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Returns the most memory that a process had so far.
fn peak_memory(process: &Process) -> Size {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("the process is running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    Size::from_bytes(kib.unwrap().trim().parse::<u64>().unwrap() << 10)
}

async fn send(to: SocketAddr, head: String) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&vec![b'x'; BODY - 1]).await.ok()?;
    Some(stream)
}

/// Sends `head` and most of a body to a listener of a daemon from many clients that stay.
async fn check(head: &str, listener: impl Fn(&Process) -> SocketAddr) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let log = Log::start();
    let mut settings = mesh::settings("n0", "palermo", &log.url(), &[]);
    settings["requests"]["memory"] = json!(MEMORY);
    let daemon = Process::start(Path::new(env!("CARGO_BIN_EXE_rilltrackd")), &settings);
    mesh::wait_until_ready(&daemon.listen).await;
    let ops = mesh::ops(&resources(&["palermo"], "s", json!({})));
    let version = mesh::publish(daemon.listen.operators, "base", ops).await;
    mesh::wait_for_version(&daemon.listen, version).await;
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let (address, _) = raw::target(move |_| Some(answer.clone())).await;
    support::target::announce(daemon.listen.targets, "s", address, false).await;
    let ask = async || {
        let url = format!("http://{}/s", daemon.listen.callers);
        let sent = client().post(url).body("abc").send().await;
        sent.is_ok_and(|response| response.status() == 200)
            .then_some(())
    };
    until("the target is known", ask).await;
    let mut sending = JoinSet::new();
    for _ in 0..CROWD {
        let head = format!("{head}host: x\r\ncontent-length: {BODY}\r\n\r\n");
        sending.spawn(send(listener(&daemon), head));
    }
    let mut crowd = Vec::new();
    let all_sent = async {
        while let Some(sent) = sending.join_next().await {
            crowd.extend(sent.unwrap());
        }
    };
    let _ = tokio::time::timeout(SENDING_TIME, all_sent).await;
    // What the clients have sent waits in the buffers of sockets until the daemon has read it.
    let mut before = Size::default();
    while peak_memory(&daemon) > before {
        before = peak_memory(&daemon);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert!(
        ask().await.is_some(),
        "an ordinary request is answered meanwhile"
    );
    let peak = peak_memory(&daemon);
    println!("at most {peak}");
    assert!(peak <= MEMORY, "{peak}");
    drop((sending, crowd));
    until("an ordinary request is answered afterwards", ask).await;
}

macro_rules! crowds {
    ($($name:ident: $head:expr => $listener:ident;)*) => {$(
        // Guards against clients that take a daemon's memory by what they never send to the end.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            check(&$head, |daemon| daemon.listen.$listener).await;
        }
    )*};
}

crowds! {
    keyed_requests_of_callers: String::from("POST /s HTTP/1.1\r\nidempotency-key: k\r\n") => callers;
    frames_of_peers: format!(
        "POST {} HTTP/1.1\r\nrilltrack-node: n1\r\nrilltrack-domain: palermo\r\n",
        wire::PATH
    ) => peers;
}
