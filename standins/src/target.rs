//! A stand-in for a target, with its faults.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// How a target treats the requests that reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Runs them and answers.
    Serves,
    /// Refuses them, and says that they have not run.
    Sheds,
    /// Runs them and breaks off.
    Breaks,
    /// Runs them and fails.
    Fails,
    /// Runs them and answers as if to another request.
    Mixes,
    /// Runs them and answers without its proof.
    Unproved,
    /// Runs them and sends half of the answer.
    Halves,
    /// Runs them and answers without a length, up to its end.
    Unframed,
    /// Runs them, answers, and answers once more.
    Twice,
    /// Takes them and never answers.
    Hangs,
    /// Says that it is another instance than the one that is meant.
    Other,
}

/// A request as it reached a target.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its head had come.
    pub at: Option<std::time::Instant>,
    /// Whether the target ran it.
    pub ran: bool,
}

impl Seen {
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
    /// A part of the request line under which it ends.
    fatal: Arc<Mutex<Option<String>>>,
    life: Arc<Mutex<Life>>,
}

/// One life after the other of a target's process.
#[derive(Default)]
struct Life {
    /// Dropped when it ends, which ends all that it has open.
    current: Option<watch::Sender<()>>,
    ended: usize,
}

impl Target {
    /// Starts a target that serves.
    pub async fn start() -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: socket.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Serves)),
            seen: Arc::default(),
            fatal: Arc::default(),
            life: Arc::default(),
        };
        target.live(socket);
        target
    }

    /// Starts it again at its address, if it has ended.
    pub async fn restart(&self) {
        if self.is_there() {
            return;
        }
        let socket = loop {
            match TcpListener::bind(self.address).await {
                Ok(socket) => break socket,
                // The former life's listener is about to close.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
            }
        };
        self.live(socket);
    }

    /// Ends as a process that crashes: all that it has open is closed at once.
    pub fn end(&self) {
        let mut life = self.life.lock();
        life.ended += usize::from(life.current.take().is_some());
    }

    /// Ends whenever it begins to run a request with `part` in its first line.
    pub fn end_under(&self, part: &str) {
        *self.fatal.lock() = Some(part.into());
    }

    /// Returns whether it runs.
    pub fn is_there(&self) -> bool {
        self.life.lock().current.is_some()
    }

    /// Returns how often it has ended.
    pub fn ended(&self) -> usize {
        self.life.lock().ended
    }

    fn live(&self, socket: TcpListener) {
        let (sender, mut ends) = watch::channel(());
        self.life.lock().current = Some(sender);
        // Its listener closes before its connections do.
        let (closing, closed) = watch::channel(());
        let target = self.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = socket.accept() => accepted,
                    _ = ends.changed() => break,
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

    pub fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    /// Returns the requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// Returns the ids of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        let seen = self.seen.lock();
        let ran = seen.iter().filter(|seen| seen.ran);
        ran.map(|seen| seen.header("rilltrack-attempt-id").into())
            .collect()
    }

    /// Returns how many requests meant for an instance came after a moment.
    pub fn seen_since(&self, at: std::time::Instant, instance: &str) -> usize {
        let seen = self.seen.lock();
        let late = seen
            .iter()
            .filter(|seen| seen.at.is_some_and(|came| came > at));
        late.filter(|seen| seen.header("rilltrack-expect-instance") == instance)
            .count()
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut seen = read(&mut stream).await?;
            let mode = *self.mode.lock();
            seen.ran = !matches!(mode, Mode::Sheds | Mode::Other);
            self.seen.lock().push(seen.clone());
            let fatal = self.fatal.lock().clone();
            if fatal.is_some_and(|part| seen.line.contains(&part)) {
                self.end();
                // Its connection closes with all others.
                std::future::pending::<()>().await;
            }
            if mode == Mode::Hangs {
                // Ends when its caller does.
                drop(stream.read_u8().await);
                return None;
            }
            let (bytes, closes) = answer(mode, &seen)?;
            stream.write_all(&bytes).await.ok()?;
            if closes {
                return None;
            }
        }
    }
}

fn answer(mode: Mode, seen: &Seen) -> Option<(Vec<u8>, bool)> {
    let id = seen.header("rilltrack-attempt-id");
    let proof = "Rilltrack-Response-Signature: 1.2.3\r\n";
    let echo = format!("Rilltrack-Attempt-Id: {id}\r\n");
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
            "HTTP/1.1 503 Full\r\nRilltrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into(),
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
        Mode::Hangs => unreachable!("never answers"),
    };
    Some((text.into_bytes(), closes))
}

async fn read(stream: &mut TcpStream) -> Option<Seen> {
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
    let body = if headers.contains_key("transfer-encoding") {
        read_chunks(stream).await?
    } else {
        let length = headers.get("content-length").and_then(|l| l.parse().ok());
        read_exact(stream, length.unwrap_or(0)).await?
    };
    Some(Seen {
        line,
        headers,
        body,
        at: Some(std::time::Instant::now()),
        ran: false,
    })
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
