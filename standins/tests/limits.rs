//! The limits on what a caller may send, over the whole path.

use rilltrack::{
    id::{Generation, Incarnation},
    state::member::{Member, Status, Target},
    transport::relay::MAX_BUFFERED_BODY,
};
use rilltrack_standins::{
    fleet::{Host, version},
    raw,
    store::Store,
    until,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The largest head that callers may send, in bytes.
const MAX_HEAD: usize = 16_384;

/// The largest body that callers may send, in bytes.
const MAX_BODY: usize = 1 << 20;

/// The largest body that a node holds whole, in bytes.
const MAX_BUFFERED: usize = MAX_BUFFERED_BODY;

/// Where the target of a request is.
#[derive(Clone, Copy, Debug)]
enum Place {
    /// On the host at which the request comes in.
    Beside,
    /// On another host of the failure domain.
    Near,
    /// In a failure domain of another region.
    Far,
}

/// Returns a version whose limit on heads is `max_head`.
fn version_with(number: u64, max_head: usize) -> Value {
    version_with_limit(number, "maxHeaderBytes", max_head)
}

fn version_with_limit(number: u64, limit: &str, max: usize) -> Value {
    let mut version = version(number, &["a", "b"]);
    version["resources"][0]["spec"][limit] = json!(max);
    version
}

/// A host at which requests come in, and the one with the target of service b, which may be the same.
struct Path {
    store: Store,
    hosts: Vec<Host>,
}

impl Path {
    async fn start(place: Place, version: &Value) -> Self {
        let store = Store::start().await;
        store.publish(version);
        let hosts = match place {
            Place::Beside => vec![Host::start(&store, "n1", "here", "b").await],
            Place::Near => vec![
                Host::start(&store, "n1", "here", "a").await,
                Host::start(&store, "n2", "here", "b").await,
            ],
            Place::Far => vec![
                Host::start(&store, "n1", "here", "a").await,
                Host::start(&store, "n2", "there", "b").await,
            ],
        };
        let target = hosts.last().unwrap().name.clone();
        until("the target is known", async || hosts[0].knows(&target)).await;
        Self { store, hosts }
    }

    /// Sends a request to the first host; returns the status of the answer.
    async fn send(&self, request: &str) -> String {
        let callers = self.hosts[0].callers();
        let answer = raw::exchange_until_closed(callers, request.as_bytes()).await;
        answer.get(9..12).unwrap_or_default().to_owned()
    }

    fn target(&self) -> &rilltrack_standins::target::Target {
        &self.hosts.last().unwrap().target
    }
}

/// Returns the start of a POST with a body of one byte.
fn start_of_head(id: &str) -> String {
    format!(
        "POST /post/b/x HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
         Rilltrack-Deadline-Ms: 20000\r\nContent-Length: 1\r\nConnection: close\r\n"
    )
}

/// Returns a request whose head has `size` bytes.
fn with_head_of(size: usize) -> String {
    let start = start_of_head("c1");
    let padding = size - start.len() - "Cookie: \r\n\r\n".len();
    let request = format!("{start}Cookie: {}\r\n\r\n", "c".repeat(padding));
    assert_eq!(request.len(), size);
    request + "x"
}

/// Returns a request with `count` headers.
fn with_headers(count: usize) -> String {
    let start = start_of_head("c1");
    let further = count + 1 - start.lines().count();
    let headers: String = (0..further).map(|i| format!("X-{i}: {i}\r\n")).collect();
    format!("{start}{headers}\r\nx")
}

macro_rules! heads {
    ($($name:ident: $place:ident, $request:expr => $status:literal;)*) => {$(
        // Guards against a request within the limits that is refused on its way to the target, and
        // one beyond them that reaches it.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let path = Path::start(Place::$place, &version_with(5, MAX_HEAD)).await;
            let request: String = $request;
            assert_eq!(path.send(&request).await, $status);
            let seen = path.target().seen();
            assert_eq!(seen.len(), usize::from($status == "200"));
            let sent = request.lines().filter_map(|line| line.split_once(": "));
            let forwarded = sent.filter(|(name, _)| name.starts_with("X-") || *name == "Cookie");
            for (name, value) in forwarded.filter(|_| $status == "200") {
                assert_eq!(seen[0].header(&name.to_lowercase()), value, "{name}");
            }
        }
    )*};
}

heads! {
    head_below_the_limit_reaches_the_own_target: Beside, with_head_of(MAX_HEAD - 1) => "200";
    head_at_the_limit_reaches_the_own_target: Beside, with_head_of(MAX_HEAD) => "200";
    head_beyond_the_limit_is_refused_beside_the_target: Beside, with_head_of(MAX_HEAD + 1) => "431";
    head_below_the_limit_reaches_another_host: Near, with_head_of(MAX_HEAD - 1) => "200";
    head_at_the_limit_reaches_another_host: Near, with_head_of(MAX_HEAD) => "200";
    head_beyond_the_limit_is_refused_where_it_comes_in: Near, with_head_of(MAX_HEAD + 1) => "431";
    head_at_the_limit_reaches_another_region: Far, with_head_of(MAX_HEAD) => "200";
    usual_headers_reach_another_host: Near, with_headers(12) => "200";
    headers_of_which_most_are_sent_separately_reach_another_host: Near, with_headers(92) => "200";
    hundred_headers_reach_the_own_target: Beside, with_headers(100) => "200";
    hundred_headers_reach_another_host: Near, with_headers(100) => "200";
    more_headers_than_the_library_takes_reach_the_own_target: Beside, with_headers(101) => "200";
    more_headers_than_the_library_takes_reach_another_host: Near, with_headers(101) => "200";
    a_thousand_headers_reach_another_region: Far, with_headers(1000) => "200";
    headers_beyond_the_limit_in_bytes_are_refused: Near, with_headers(1600) => "431";
}

// Guards against connections between nodes that keep the limits that were in force when they began.
#[tokio::test(flavor = "multi_thread")]
async fn raised_limit_holds_on_kept_connections_between_nodes() {
    let path = Path::start(Place::Near, &version_with(5, 1024)).await;
    assert_eq!(path.send(&with_head_of(1024)).await, "200");
    assert_eq!(path.send(&with_head_of(1025)).await, "431");
    path.store.publish(&version_with(6, MAX_HEAD));
    for host in &path.hosts {
        until("the new limit is in force", async || host.version() == 6).await;
    }
    assert_eq!(path.send(&with_head_of(MAX_HEAD)).await, "200");
}

/// Starts a program that answers each request with `answer`, and makes it known to a node as the
/// node beside a target of service b.
async fn introduce_program(host: &Host, answer: String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                drop(stream.read(&mut bytes).await);
                drop(stream.write_all(answer.as_bytes()).await);
            });
        }
    });
    host.introduce(Member {
        node: "n9".parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Generation::default(),
        status: Status::Alive,
        domain: "here".parse().unwrap(),
        peers: address,
        inbound: address,
        labels: Default::default(),
        targets: vec![Target {
            service: "b".parse().unwrap(),
            address,
            http2: false,
            draining: false,
            slots: 4,
            instance: "i9".into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    });
}

macro_rules! unreported {
    ($($name:ident: $answer:literal => $get:literal, $post:literal;)*) => {$(
        // Guards against an answer of a peer's HTTP library that passes for one of the target.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let store = Store::start().await;
            store.publish(&version(5, &["a", "b"]));
            let host = Host::start(&store, "n1", "here", "a").await;
            let answer = format!("HTTP/1.1 {}\r\nContent-Length: 0\r\n\r\n", $answer);
            introduce_program(&host, answer).await;
            let get = host.ask_within("GET", "/get/b/x", "c1", "", 2000).await;
            assert!(get.starts_with(concat!("HTTP/1.1 ", $get)), "{get}");
            // Its body was never asked for, so the request has certainly not run.
            let post = host.ask_within("POST", "/post/b/x", "c2", "one", 2000).await;
            assert!(post.starts_with(concat!("HTTP/1.1 ", $post)), "{post}");
        }
    )*};
}

unreported! {
    peers_400_is_no_answer_of_the_target: "400 Bad Request" => "502", "503";
    peers_408_is_no_answer_of_the_target: "408 Request Timeout" => "502", "503";
    peers_413_is_no_answer_of_the_target: "413 Content Too Large" => "502", "503";
    peers_431_is_no_answer_of_the_target: "431 Request Header Fields Too Large" => "502", "503";
    other_programs_200_is_no_answer_of_the_target: "200 OK" => "502", "503";
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunked,
}

/// An upload of which a caller has sent the head.
struct Upload {
    stream: TcpStream,
    framing: Framing,
}

impl Upload {
    async fn start(path: &Path, id: &str, framing: Framing, size: usize) -> Self {
        let mut stream = TcpStream::connect(path.hosts[0].callers()).await.unwrap();
        let framed = match framing {
            Framing::Length => format!("Content-Length: {size}"),
            Framing::Chunked => "Transfer-Encoding: chunked".into(),
        };
        let head = format!(
            "POST /post/b/x HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
             Rilltrack-Deadline-Ms: 20000\r\nConnection: close\r\n{framed}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        Self { stream, framing }
    }

    /// Sends a part of the body. The node may have refused it already, so a failure is no error.
    async fn send(&mut self, part: &[u8]) {
        let sent = match self.framing {
            Framing::Length => self.stream.write_all(part).await,
            Framing::Chunked => {
                let line = format!("{:x}\r\n", part.len());
                let chunk = [line.as_bytes(), part, b"\r\n"].concat();
                self.stream.write_all(&chunk).await
            }
        };
        drop(sent);
    }

    /// Ends the body; returns the status of the answer.
    async fn finish(mut self) -> String {
        if self.framing == Framing::Chunked {
            drop(self.stream.write_all(b"0\r\n\r\n").await);
        }
        let mut answer = Vec::new();
        drop(self.stream.read_to_end(&mut answer).await);
        let status = answer.get(9..12).unwrap_or_default();
        String::from_utf8_lossy(status).into()
    }
}

/// Returns a body in which each part differs from the others.
fn body(size: usize) -> Vec<u8> {
    (0..size as u32).map(|i| (i % 251) as u8).collect()
}

macro_rules! bodies {
    ($($name:ident: $place:ident, $framing:ident, $piece:expr;)*) => {$(
        // Guards against an upload within the limit that is refused for its size, or doesn't reach the
        // target byte for byte, and against a target that passes for broken after one beyond it.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let path = Path::start(Place::$place, &version_with_limit(5, "maxBodyBytes", MAX_BODY)).await;
            let sizes = [
                1, MAX_BUFFERED - 1, MAX_BUFFERED, MAX_BUFFERED + 1, 700_000, MAX_BODY - 1, MAX_BODY,
                MAX_BODY + 1, MAX_BODY + 1, MAX_BODY + 1, MAX_BODY + 1, MAX_BODY + 1, MAX_BODY,
            ];
            for (i, size) in sizes.into_iter().enumerate() {
                let id = format!("u{i}");
                let body = body(size);
                let mut upload = Upload::start(&path, &id, Framing::$framing, size).await;
                for part in body.chunks($piece) {
                    upload.send(part).await;
                }
                let expected = if size <= MAX_BODY { "200" } else { "413" };
                assert_eq!(upload.finish().await, expected, "{size} bytes, {id}");
                let seen = path.target().seen();
                let arrived = seen.iter().find(|seen| seen.header("rilltrack-attempt-id") == id);
                assert_eq!(arrived.is_some(), size <= MAX_BODY, "{size} bytes");
                assert!(arrived.is_none_or(|arrived| arrived.body == body), "{size} bytes");
            }
        }
    )*};
}

bodies! {
    body_with_a_length_in_one_write_beside_the_target: Beside, Length, usize::MAX;
    body_with_a_length_in_many_writes_beside_the_target: Beside, Length, 5000;
    chunked_body_in_one_write_beside_the_target: Beside, Chunked, usize::MAX;
    chunked_body_in_many_writes_beside_the_target: Beside, Chunked, 5000;
    body_with_a_length_in_one_write_on_another_host: Near, Length, usize::MAX;
    body_with_a_length_in_many_writes_on_another_host: Near, Length, 5000;
    chunked_body_in_one_write_on_another_host: Near, Chunked, usize::MAX;
    chunked_body_in_many_writes_on_another_host: Near, Chunked, 5000;
    chunked_body_in_one_write_in_another_region: Far, Chunked, usize::MAX;
    chunked_body_in_many_writes_in_another_region: Far, Chunked, 5000;
}

macro_rules! changed_limits {
    ($($name:ident: $before:expr => $after:expr, $size:expr, $status:literal;)*) => {$(
        // Guards against an upload that is judged by two versions.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            for place in [Place::Beside, Place::Near] {
                let path = Path::start(place, &version_with_limit(5, "maxBodyBytes", $before)).await;
                let body = body($size);
                let (first, rest) = body.split_at(600_000);
                let mut upload = Upload::start(&path, "u1", Framing::Chunked, $size).await;
                upload.send(first).await;
                // The part may wait in the buffers of sockets. The request has begun once the node holds
                // some of its body.
                until("the request has begun", async || {
                    let metrics = path.hosts[0].metrics().await;
                    let held = "rilltrack_held_bytes{kind=\"bodies\"} ";
                    let held = metrics.lines().find_map(|line| line.strip_prefix(held));
                    held.is_some_and(|held| held != "0")
                })
                .await;
                path.store.publish(&version_with_limit(6, "maxBodyBytes", $after));
                for host in &path.hosts {
                    until("the new limit is in force", async || host.version() == 6).await;
                }
                upload.send(rest).await;
                assert_eq!(upload.finish().await, $status, "{place:?}");
            }
        }
    )*};
}

changed_limits! {
    limit_lowered_amid_an_upload: MAX_BODY => 650_000, 700_000, "200";
    limit_raised_amid_an_upload: 650_000 => MAX_BODY, 700_000, "413";
}
