//! A stand-in for a target, with faults to inject.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Runs them and answers correctly.
    Serves,
    /// Rejects them with 503 and reports that they didn't run.
    Sheds,
    /// Runs them and closes the connection without an answer.
    Breaks,
    /// Runs them and answers 500.
    Fails,
    /// Runs them and answers with the id of another request.
    Mixes,
    /// Runs them and answers without the signature header.
    Unproved,
    /// Runs them, sends the answer without its last two bytes and closes the connection.
    Halves,
    /// Runs them and answers without a length; the end of the connection ends the answer.
    Unframed,
    /// Runs them and sends the answer twice.
    Twice,
    /// Runs them and never answers.
    Hangs,
    /// Rejects them with 421, as an instance other than the expected one does.
    Other,
    /// Runs them and sends bytes without end.
    Endless(Endless),
    /// Runs them and sends an answer with a damaged head.
    Damaged(Damage),
}

/// What is damaged in the head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Damage {
    /// The value of the field for the coding, before a body in chunks.
    Coding,
    /// The name of that field.
    Name,
    /// A line before the length, by two line feeds.
    Line,
    /// The status.
    Status,
}

/// What comes without end, until the client closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Bytes that are no response.
    Junk,
    /// Empty lines.
    EmptyLines,
    /// The status line.
    StatusLine,
    /// One header.
    Header,
    /// Headers.
    Headers,
    /// Informational responses.
    Interim,
    /// Chunks of the body.
    Chunks,
    /// A body without a length.
    Unframed,
    /// The body, one byte after the other with pauses.
    Drip,
    /// Trailers after the body.
    Trailers,
    /// Bytes after a complete response.
    Excess,
    /// The body of a refusal.
    Refusal,
}

impl Endless {
    /// Returns what comes first, given the headers of a response, and what is repeated.
    fn parts(self, headers: &str) -> (String, &'static str) {
        let ok = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{ok}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::Junk => (String::new(), "\u{1}junk"),
            Self::EmptyLines => (String::new(), "\r\n"),
            Self::StatusLine => ("HTTP/1.1 200 ".into(), "OK"),
            Self::Header => (format!("{ok}X: "), "value"),
            Self::Headers => (ok, "X: value\r\n"),
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::Chunks | Self::Drip => (chunked, "1\r\nx\r\n"),
            Self::Unframed => (format!("{ok}\r\n"), "x"),
            Self::Trailers => (format!("{chunked}0\r\n"), "X: value\r\n"),
            Self::Excess => (format!("{ok}Content-Length: 2\r\n\r\nok"), "x"),
            Self::Refusal => (
                "HTTP/1.1 503 Full\r\nRilltrack-Not-Executed: 1\r\n\r\n".into(),
                "x",
            ),
        }
    }
}

impl Damage {
    /// Returns an answer with these headers and this body.
    fn answer(self, headers: &str, body: &str) -> String {
        let length = body.len();
        let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
        let (status, framing, body) = match self {
            Self::Coding => ("200", "Transfer-Encoding: chunkd\r\n".into(), chunks),
            Self::Name => ("200", "Transfer-Encodin: chunked\r\n".into(), chunks),
            Self::Line => (
                "200",
                format!("X: y\n\nContent-Length: {length}\r\n"),
                body.into(),
            ),
            Self::Status => ("000", format!("Content-Length: {length}\r\n"), body.into()),
        };
        format!("HTTP/1.1 {status} OK\r\n{headers}{framing}\r\n{body}")
    }
}

/// An answer of given bytes, as a target in trouble sends it.
#[derive(Clone, Debug)]
pub struct Script {
    /// The bytes, in which `{id}` stands for the attempt id.
    pub answer: String,
    /// Whether it comes before the body of the request is read.
    pub is_early: bool,
    /// What the target does with the connection afterwards.
    pub end: End,
}

/// What a target does with a connection after a [`Script`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Closes it orderly, and reads what the client still sends.
    Close,
    /// Resets it.
    Reset,
}

/// A request as a target received it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The request line.
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its head was read.
    pub at: Option<std::time::Instant>,
    /// Whether the target ran it.
    pub ran: bool,
}

impl Seen {
    /// Returns the value of a header, by its name in lower case; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    /// A part of a request line; requests that contain it crash the target, after this time.
    fatal: Arc<Mutex<Option<(String, Duration)>>>,
    process: Arc<Mutex<ProcessState>>,
    /// What its health answers tell, while it is cold.
    cold: Arc<Mutex<Option<Cold>>>,
    /// Header lines that it adds to its answers.
    notice: Arc<Mutex<String>>,
    pace: Arc<Mutex<Pace>>,
    /// Connections on which it sends bytes without end.
    endless: Arc<AtomicUsize>,
    script: Arc<Mutex<Option<Script>>>,
}

/// How long a target takes for requests, and what it states about that.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// The usual run time.
    run_time: std::time::Duration,
    /// In hundredths of the usual run time; `None` if it takes the usual time and states nothing.
    slowness: Option<u32>,
}

impl Pace {
    fn run_time(self) -> std::time::Duration {
        self.run_time * self.slowness.unwrap_or(100) / 100
    }

    /// Returns the load header; empty if nothing is stated.
    fn header(self) -> String {
        let header = |slowness| format!("Rilltrack-Backend-Load: 1,0,4,{slowness}\r\n");
        self.slowness.map_or_else(String::new, header)
    }
}

/// A target that is cold: it crashes if it gets twice the requests that it tolerates within
/// a second.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Requests per second that it tolerates.
    pub tolerated: usize,
    /// When it is warm.
    pub until: std::time::Instant,
}

/// The state of a target's simulated process.
#[derive(Default)]
struct ProcessState {
    /// Set while the process runs; dropping it closes the listener and all connections.
    running: Option<watch::Sender<()>>,
    crashes: usize,
}

impl Target {
    /// Starts a target in mode `Serves`.
    pub async fn start() -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: socket.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Serves)),
            seen: Arc::default(),
            fatal: Arc::default(),
            process: Arc::default(),
            cold: Arc::default(),
            notice: Arc::default(),
            pace: Arc::default(),
            endless: Arc::default(),
            script: Arc::default(),
        };
        target.run(socket);
        target
    }

    /// Restarts it at its address, if it has crashed.
    pub async fn restart(&self) {
        if self.is_there() {
            return;
        }
        let socket = loop {
            match TcpListener::bind(self.address).await {
                Ok(socket) => break socket,
                // The listener of the crashed process isn't closed yet.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
            }
        };
        self.run(socket);
    }

    /// Simulates a crash: closes the listener and all connections at once.
    pub fn end(&self) {
        let mut process = self.process.lock();
        process.crashes += usize::from(process.running.take().is_some());
    }

    /// Makes it crash whenever it starts a request whose request line contains `part`.
    pub fn end_under(&self, part: &str) {
        self.end_under_after(part, Duration::ZERO);
    }

    /// Makes it crash some time after it starts such a request, even if the client has closed the
    /// connection meanwhile.
    pub fn end_under_after(&self, part: &str, time: Duration) {
        *self.fatal.lock() = Some((part.into(), time));
    }

    /// Returns whether its process is running.
    pub fn is_there(&self) -> bool {
        self.process.lock().running.is_some()
    }

    /// Returns the number of its crashes.
    pub fn ended(&self) -> usize {
        self.process.lock().crashes
    }

    fn run(&self, socket: TcpListener) {
        let (sender, mut crashed) = watch::channel(());
        self.process.lock().running = Some(sender);
        // The listener closes before the connections do.
        let (closing, closed) = watch::channel(());
        let target = self.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = socket.accept() => accepted,
                    _ = crashed.changed() => break,
                };
                let Ok((stream, _)) = accepted else { break };
                let (target, mut closed) = (target.clone(), closed.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = target.serve(stream) => {}
                        _ = closed.changed() => {}
                    }
                });
            }
            drop(socket);
            drop(closing);
        });
    }

    /// Makes it cold, or warm.
    pub fn set_cold(&self, cold: Option<Cold>) {
        *self.cold.lock() = cold;
    }

    /// Sets header lines that it adds to its answers, each with its line end.
    pub fn set_notice(&self, lines: &str) {
        *self.notice.lock() = lines.into();
    }

    /// Sets how long it usually takes for a request. Requests whose line contains `quick` take no
    /// time.
    pub fn set_run_time(&self, run_time: std::time::Duration) {
        self.pace.lock().run_time = run_time;
    }

    /// Makes it take this many hundredths of the usual time, and state that.
    pub fn set_slowness(&self, slowness: Option<u32>) {
        self.pace.lock().slowness = slowness;
    }

    /// Returns what its answers state now.
    fn stated(&self) -> String {
        let notice = self.notice.lock().clone();
        notice + &self.pace.lock().header()
    }

    /// Returns the most requests, health checks aside, that it got within any second before
    /// `end`.
    pub fn busiest_second(&self, end: std::time::Instant) -> usize {
        self.busiest(std::time::Duration::from_secs(1), |at| at < end)
    }

    /// Returns the most requests, health checks aside, that it got within any `span`; counts
    /// those that arrived when `is_counted`.
    pub fn busiest(
        &self,
        span: std::time::Duration,
        is_counted: impl Fn(std::time::Instant) -> bool,
    ) -> usize {
        let seen = self.seen.lock();
        let mut times: Vec<_> = seen.iter().filter_map(|seen| seen.at).collect();
        times.retain(|at| is_counted(*at));
        times.sort_unstable();
        let within = |from: &std::time::Instant| {
            let until = *from + span;
            times
                .iter()
                .filter(|at| (*from..until).contains(at))
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    /// Returns the milliseconds for which it is still cold.
    pub fn cold_left(&self) -> u128 {
        let now = std::time::Instant::now();
        let cold = *self.cold.lock();
        cold.map_or(0, |cold| {
            cold.until.saturating_duration_since(now).as_millis()
        })
    }

    /// Crashes if it is cold and got far more requests than it tolerates.
    fn crash_if_overrun(&self) {
        let cold = *self.cold.lock();
        let now = std::time::Instant::now();
        if let Some(cold) = cold.filter(|cold| now < cold.until) {
            let from = now - std::time::Duration::from_secs(1);
            let seen = self.seen.lock();
            let recent = seen
                .iter()
                .filter(|seen| seen.at.is_some_and(|at| at > from));
            if recent.count() > cold.tolerated * 2 {
                drop(seen);
                self.end();
            }
        }
    }

    /// Sets the mode for later requests.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    /// Makes it answer later requests as scripted, instead of by its mode.
    pub fn play(&self, script: Option<Script>) {
        *self.script.lock() = script;
    }

    /// Returns all received requests.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// Returns the attempt ids of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        let seen = self.seen.lock();
        let ran = seen.iter().filter(|seen| seen.ran);
        ran.map(|seen| seen.header("rilltrack-attempt-id").into())
            .collect()
    }

    /// Returns the number of requests for an instance that arrived after `at`.
    pub fn seen_since(&self, at: std::time::Instant, instance: &str) -> usize {
        let seen = self.seen.lock();
        let late = seen
            .iter()
            .filter(|seen| seen.at.is_some_and(|received| received > at));
        late.filter(|seen| seen.header("rilltrack-expect-instance") == instance)
            .count()
    }

    /// Returns the number of connections with bytes without end that the client hasn't closed.
    pub fn endless_connections(&self) -> usize {
        self.endless.load(Ordering::Relaxed)
    }

    async fn send_endlessly(
        &self,
        endless: Endless,
        seen: &Seen,
        mut stream: TcpStream,
    ) -> Option<()> {
        self.endless.fetch_add(1, Ordering::Relaxed);
        let id = seen.header("rilltrack-attempt-id");
        let headers =
            format!("Rilltrack-Attempt-Id: {id}\r\nRilltrack-Response-Signature: 1.2.3\r\n");
        let (first, piece) = endless.parts(&headers);
        let (pieces, pause) = match endless {
            Endless::Drip => (1, Duration::from_millis(20)),
            _ => (1000, Duration::ZERO),
        };
        let pieces = piece.repeat(pieces);
        let mut sent = stream.write_all(first.as_bytes()).await;
        while sent.is_ok() {
            tokio::time::sleep(pause).await;
            sent = stream.write_all(pieces.as_bytes()).await;
        }
        self.endless.fetch_sub(1, Ordering::Relaxed);
        None
    }

    /// Answers a request with the bytes of a script, and ends the connection.
    async fn run_script(script: &Script, seen: &Seen, mut stream: TcpStream) -> Option<()> {
        let id = seen.header("rilltrack-attempt-id");
        let answer = script.answer.replace("{id}", id);
        stream.write_all(answer.as_bytes()).await.ok()?;
        match script.end {
            End::Reset => {
                // The client reads the answer before the reset overtakes it.
                tokio::time::sleep(Duration::from_millis(100)).await;
                stream.set_zero_linger().ok()
            }
            End::Close => {
                stream.shutdown().await.ok()?;
                while stream.read(&mut [0; 4096]).await.ok()? > 0 {}
                None
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut seen = read_head(&mut stream).await?;
            let script = self.script.lock().clone();
            let script = script.filter(|_| !seen.line.starts_with("GET /health "));
            if let Some(script) = script.as_ref().filter(|script| script.is_early) {
                self.seen.lock().push(seen.clone());
                return Self::run_script(script, &seen, stream).await;
            }
            seen.body = read_body(&mut stream, &seen.headers).await?;
            if let Some(script) = script {
                self.seen.lock().push(seen.clone());
                return Self::run_script(&script, &seen, stream).await;
            }
            let mode = *self.mode.lock();
            if seen.line.starts_with("GET /health ") {
                let left = self.cold_left();
                let notice = self.stated();
                let health = format!(
                    "HTTP/1.1 200 OK\r\nRilltrack-Instance-Id: i1\r\n\
                     Rilltrack-Warmup-Ms: {left}\r\n{notice}Content-Length: 0\r\n\r\n"
                );
                stream.write_all(health.as_bytes()).await.ok()?;
                continue;
            }
            seen.ran = !matches!(mode, Mode::Sheds | Mode::Other);
            self.seen.lock().push(seen.clone());
            self.crash_if_overrun();
            let fatal = self.fatal.lock().clone();
            if let Some((_, time)) = fatal.filter(|(part, _)| seen.line.contains(part)) {
                tokio::time::sleep(time).await;
                self.end();
                // The crash closes this connection with all others.
                std::future::pending::<()>().await;
            }
            if mode == Mode::Hangs {
                // Waits until the client closes the connection.
                drop(stream.read_u8().await);
                return None;
            }
            if let Mode::Endless(endless) = mode {
                return self.send_endlessly(endless, &seen, stream).await;
            }
            let run_time = self.pace.lock().run_time();
            if seen.ran && !run_time.is_zero() && !seen.line.contains("quick") {
                tokio::time::sleep(run_time).await;
            }
            let notice = self.stated();
            let (bytes, closes) = answer(mode, &seen, &notice)?;
            stream.write_all(&bytes).await.ok()?;
            if closes {
                return None;
            }
        }
    }
}

fn answer(mode: Mode, seen: &Seen, notice: &str) -> Option<(Vec<u8>, bool)> {
    let id = seen.header("rilltrack-attempt-id");
    let proof = "Rilltrack-Response-Signature: 1.2.3\r\n";
    let echo = format!("Rilltrack-Attempt-Id: {id}\r\n{notice}");
    let other = "other";
    let body = format!("ran {}", if mode == Mode::Mixes { other } else { id });
    let whole = |status: &str, headers: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let served = whole("200 OK", &format!("{echo}{proof}"));
    let (text, closes) = match mode {
        Mode::Serves => (served, false),
        Mode::Sheds => (
            format!(
                "HTTP/1.1 503 Full\r\nRilltrack-Not-Executed: 1\r\n{notice}Content-Length: 0\r\n\r\n"
            ),
            false,
        ),
        Mode::Other => (
            "HTTP/1.1 421 Misdirected\r\nRilltrack-Instance-Id: i9\r\nContent-Length: 0\r\n\r\n"
                .into(),
            false,
        ),
        Mode::Breaks => return None,
        Mode::Fails => (whole("500 Failed", &format!("{echo}{proof}")), false),
        Mode::Mixes => (
            whole(
                "200 OK",
                &format!("Rilltrack-Attempt-Id: {other}\r\n{proof}"),
            ),
            false,
        ),
        Mode::Unproved => (whole("200 OK", &echo), false),
        Mode::Halves => (served[..served.len() - 2].into(), true),
        Mode::Unframed => (format!("HTTP/1.1 200 OK\r\n{echo}{proof}\r\n{body}"), true),
        Mode::Twice => (format!("{served}{served}"), false),
        Mode::Damaged(damage) => (damage.answer(&format!("{echo}{proof}"), &body), true),
        Mode::Hangs | Mode::Endless(_) => unreachable!("has no whole answer"),
    };
    Some((text.into_bytes(), closes))
}

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) -> Option<Seen> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    Some(Seen {
        line,
        headers,
        body: Vec::new(),
        at: Some(std::time::Instant::now()),
        ran: false,
    })
}

async fn read_body(stream: &mut TcpStream, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    if headers.contains_key("transfer-encoding") {
        return read_chunks(stream).await;
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    read_exact(stream, length.unwrap_or(0)).await
}

async fn read_exact(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}

async fn read_chunks(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.ok()?);
        }
        let size = std::str::from_utf8(&line).ok()?.trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        let chunk = read_exact(stream, size + 2).await?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
