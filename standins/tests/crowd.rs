//! Many clients that stop just short of the end of what they send, and stay.
//!
//! A process must live, stay within the memory and the descriptors of its settings, answer an
//! ordinary request meanwhile and afterwards, and give the memory back. The tests run one at a time,
//! since each has a crowd of its own.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rilltrack::unit::Size;
use rilltrack_standins::{
    fleet::{self, version},
    process::{Limits, Process},
    store::Store,
    until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
};

/// The limits of each process.
const LIMITS: Limits = Limits {
    memory: Size::from_bytes(64 << 20),
    descriptors: 1024,
};

/// What a process may have once the crowd has left: half of its limit.
const MAX_MEMORY_AFTERWARDS: Size = Size::from_bytes(32 << 20);

/// The number of clients.
const CROWD: usize = 200;

/// How long the clients may take to send what they send. The checks begin then, whatever was sent.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// A body of legal size that a node could hold whole, in bytes.
const WHOLE: usize = 500_000;

/// A body of nearly the size that the version allows, in bytes.
const LARGE: usize = 1_900_000;

/// Serializes the tests.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// What a client sends, and in which pieces.
#[derive(Clone)]
struct Script {
    head: String,
    /// What is sent repeatedly.
    piece: Arc<[u8]>,
    count: usize,
    pause: Duration,
}

impl Script {
    fn new(head: String, piece: impl Into<Vec<u8>>, count: usize) -> Self {
        Self {
            head,
            piece: piece.into().into(),
            count,
            pause: Duration::ZERO,
        }
    }

    /// Sends it all; returns the connection, which the client keeps open.
    async fn send(self, to: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(self.head.as_bytes()).await.ok()?;
        for _ in 0..self.count {
            stream.write_all(&self.piece).await.ok()?;
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
        }
        Some(stream)
    }
}

/// Returns the head of a caller's upload with a field that tells the length.
fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: crowd\r\n\
         Rilltrack-Deadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
}

/// Returns a body of a stated length, less its last byte.
fn stated(path: &str, size: usize) -> Script {
    let head = head(path, &format!("Content-Length: {size}"));
    Script::new(head, vec![b'x'; size - 1], 1)
}

/// Returns a body of a stated length in pieces, less its last byte.
fn in_pieces(path: &str, size: usize) -> Script {
    const PIECE: usize = 16 << 10;
    let head = head(path, &format!("Content-Length: {size}"));
    Script {
        pause: Duration::from_millis(20),
        ..Script::new(head, vec![b'x'; PIECE], (size - 1) / PIECE)
    }
}

/// Returns a body in one chunk, less its last byte.
fn one_chunk(path: &str, size: usize) -> Script {
    let head = head(path, "Transfer-Encoding: chunked") + &format!("{size:x}\r\n");
    Script::new(head, vec![b'x'; size - 1], 1)
}

/// Returns a body of 40,000 chunks of one byte, without the last chunk.
fn small_chunks(path: &str) -> Script {
    let head = head(path, "Transfer-Encoding: chunked");
    Script::new(head, "1\r\nx\r\n".repeat(1000), 40)
}

/// Returns a message to the listener for peers, less its last byte.
fn peer_message(path: &str, size: usize) -> Script {
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n");
    Script::new(head, vec![b'x'; size - 1], 1)
}

/// Returns a message in chunks of one byte, without the last chunk.
fn chunked_message(path: &str) -> Script {
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    Script::new(head, "1\r\nx\r\n".repeat(1000), 15)
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

async fn assert_serves(node: &Process, when: &str) {
    for (method, path) in [
        ("GET", "/get/a/x"),
        ("POST", "/post/a/x"),
        ("GET", "/get/b/x"),
        ("POST", "/post/b/x"),
    ] {
        let body = if method == "POST" { "abc" } else { "" };
        let answer = node
            .ask(method, path, &format!("ordinary-{when}"), body)
            .await;
        assert_eq!(status(&answer), "200", "{method} {path} {when}: {answer}");
    }
}

/// Starts two nodes, of which the first one knows the target on the other one's host. Callers may be
/// idle for `timeout`, and take as long for a head.
async fn start(store: &Store, limits: Limits, timeout: &str) -> [Process; 2] {
    let mut version = version(5, &["a", "b"]);
    for limit in ["idleTimeout", "headerTimeout"] {
        version["resources"][0]["spec"][limit] = timeout.into();
    }
    store.publish(&version);
    let nodes = [
        Process::start(store, "n1", "a", limits).await,
        Process::start(store, "n2", "b", limits).await,
    ];
    until("the target on the other host is known", async || {
        status(&nodes[0].ask("GET", "/get/b/x", "first", "").await) == "200"
    })
    .await;
    nodes
}

/// Sends `script` to a listener of a node from many clients that stay, and checks both nodes.
async fn check(script: Script, listener: fn(&Process) -> SocketAddr) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let store = Store::start().await;
    let mut nodes = start(&store, LIMITS, "15000ms").await;
    let address = listener(&nodes[0]);
    let mut sending = JoinSet::new();
    for _ in 0..CROWD {
        sending.spawn(script.clone().send(address));
    }
    let mut crowd = Vec::new();
    let all_sent = async {
        while let Some(sent) = sending.join_next().await {
            crowd.extend(sent.unwrap());
        }
    };
    // Those that can't send any more stay, too.
    let _ = tokio::time::timeout(SENDING_TIME, all_sent).await;
    assert_serves(&nodes[0], "meanwhile").await;
    for node in &mut nodes {
        assert!(node.is_running(), "{} has ended", node.name);
        let (peak, open) = (node.peak_memory(), node.open_descriptors());
        println!("{}: at most {peak}, {open} descriptors", node.name);
        assert!(peak <= LIMITS.memory, "{}: {peak}", node.name);
        assert!(open <= LIMITS.descriptors, "{}: {open}", node.name);
    }
    drop((sending, crowd));
    until("the connections are closed", async || {
        nodes[0].open_descriptors() < CROWD
    })
    .await;
    assert_serves(&nodes[0], "afterwards").await;
    for node in &mut nodes {
        assert!(node.is_running(), "{} has ended", node.name);
        until("memory is given back", async || {
            node.current_memory() <= MAX_MEMORY_AFTERWARDS
        })
        .await;
        println!("{}: {} afterwards", node.name, node.current_memory());
    }
}

macro_rules! crowds {
    ($($name:ident: $script:expr => $listener:ident;)*) => {$(
        // Guards against clients that take a process's memory, or the slots of a target, by what they
        // never send to the end.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            check($script, Process::$listener).await;
        }
    )*};
}

crowds! {
    stated_length_beside_the_target: stated("/post/a/x", WHOLE) => callers;
    stated_length_at_another_host: stated("/post/b/x", WHOLE) => callers;
    in_pieces_beside_the_target: in_pieces("/post/a/x", WHOLE) => callers;
    large_beside_the_target: stated("/post/a/x", LARGE) => callers;
    large_at_another_host: stated("/post/b/x", LARGE) => callers;
    large_in_pieces_at_another_host: in_pieces("/post/b/x", LARGE) => callers;
    one_chunk_beside_the_target: one_chunk("/post/a/x", WHOLE) => callers;
    one_chunk_at_another_host: one_chunk("/post/b/x", WHOLE) => callers;
    large_chunk_beside_the_target: one_chunk("/post/a/x", LARGE) => callers;
    large_chunk_at_another_host: one_chunk("/post/b/x", LARGE) => callers;
    small_chunks_beside_the_target: small_chunks("/post/a/x") => callers;
    small_chunks_at_another_host: small_chunks("/post/b/x") => callers;
    messages_of_peers: peer_message("/news", LARGE) => peers;
    messages_of_peers_in_small_chunks: chunked_message("/news") => peers;
    calls_of_targets_in_small_chunks: chunked_message("/api/instances/i1/heartbeat") => targets;
    requests_of_peers: peer_message("/post/a/x", WHOLE) => inbound;
}

/// The limits of a process that takes 28 connections at each listener.
const FEW_CONNECTIONS: Limits = Limits {
    memory: LIMITS.memory,
    descriptors: 256,
};

/// Clients that are more than the connections of a listener.
const OUTNUMBERING: usize = 60;

/// Sends a script, waits until the node closes the connection, and starts again; never returns.
async fn stay(script: Script, to: SocketAddr) {
    loop {
        if let Some(mut stream) = script.clone().send(to).await {
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Takes all connections of a listener with clients that come back, and checks an ordinary request
/// and a readiness check.
async fn check_outnumbered(script: Script, listener: fn(&Process) -> SocketAddr) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let store = Store::start().await;
    // The timeouts are longer than the test.
    let mut nodes = start(&store, FEW_CONNECTIONS, "120000ms").await;
    let address = listener(&nodes[0]);
    let mut crowd = JoinSet::new();
    for _ in 0..OUTNUMBERING {
        crowd.spawn(stay(script.clone(), address));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_serves(&nodes[0], "meanwhile").await;
    let ready = fleet::ready(nodes[0].ready()).await;
    assert_eq!(status(&ready), "200", "{ready}");
    let through_the_other = nodes[1].ask("GET", "/get/a/x", "other", "").await;
    assert_eq!(status(&through_the_other), "200", "{through_the_other}");
    for node in &mut nodes {
        assert!(node.is_running(), "{} has ended", node.name);
        let open = node.open_descriptors();
        assert!(open <= FEW_CONNECTIONS.descriptors, "{}: {open}", node.name);
    }
}

macro_rules! outnumbered {
    ($($name:ident: $head:expr => $listener:ident;)*) => {$(
        // Guards against clients that hold all connections of a listener and keep the others out.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let script = Script::new($head, "", 0);
            check_outnumbered(script, Process::$listener).await;
        }
    )*};
}

outnumbered! {
    callers_that_send_nothing: String::new() => callers;
    callers_that_send_half_a_head: "GET /get/a/x HTTP/1.1\r\nHost: fa".into() => callers;
    callers_that_send_no_body: head("/post/a/x", "Content-Length: 1000") => callers;
    nodes_that_send_nothing: String::new() => inbound;
    nodes_that_send_half_a_head: "GET /get/a/x HTTP/1.1\r\nHost: fa".into() => inbound;
    targets_that_send_nothing: String::new() => targets;
    peers_that_send_nothing: String::new() => peers;
    checks_that_send_nothing: String::new() => ready;
}
