//! Stand-ins for the scripts of the review: the platform's store, targets beside the nodes,
//! callers, and the start and end of node processes. Only the standard library is used.
//!
//! They follow the users' pages (PROTOCOL, DEPLOY). Each connection has its own thread.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs::File,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const CALLERS: u16 = 7101;
pub const INBOUND: u16 = 7102;
pub const CONTROL: u16 = 7103;
pub const READY: u16 = 7104;
pub const INTERNAL: u16 = 7105;
pub const METRICS: u16 = 9464;
pub const TARGET: u16 = 7106;

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------------------------------------
// The record of a run

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((Instant::now(), line.into()));
    }

    pub fn note_at(&self, at: Instant, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} s  {line}", self.seconds(at));
        }
        File::create(path)
            .and_then(|mut file| file.write_all(text.as_bytes()))
            .expect("the record can be written");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1 with lengths

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The names are in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method and the path with the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a message; fails if the connection ends before its end.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
        if head.len() > 64 << 10 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or("").into(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().into());
        }
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                stream.read_exact(&mut byte)?;
                line.push(byte[0]);
            }
            let text = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&text, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut piece = vec![0; size + 2];
            stream.read_exact(&mut piece)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, millis(1000).min(wait))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(bytes)?;
    read_message(&mut stream)
}

/// Accepts connections until `stop`, each served on a thread of its own.
pub fn serve(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    connection: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    listener.set_nonblocking(true).expect("a listener");
    let connection = Arc::new(connection);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let connection = connection.clone();
                    thread::spawn(move || connection(stream));
                }
                Err(_) => thread::sleep(millis(2)),
            }
        }
    });
}

// ---------------------------------------------------------------------------------------------
// The platform's store

/// What happens to one append whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub struct Late {
    /// How long after its call it is done.
    pub after: Duration,
}

/// Decides on an append of a record to a topic: `Some` if its answer is lost and it is done late.
pub type Loses = Arc<dyn Fn(&str, &[u8]) -> Option<Late> + Send + Sync>;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, record: &[u8]) {
        let offset = self.records.len() as u64;
        self.records.push(record.to_vec());
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*length)) else {
            return;
        };
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_vec(), (value.to_vec(), offset));
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
    loses: Arc<Mutex<Option<Loses>>>,
    writes: Arc<AtomicU64>,
    record: Record,
    stop: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> Self {
        let store = Self {
            address,
            topics: Arc::default(),
            loses: Arc::default(),
            writes: Arc::default(),
            record: record.clone(),
            stop: Arc::default(),
        };
        let listener = TcpListener::bind(address).expect("a free address for the store");
        let served = store.clone();
        serve(listener, store.stop.clone(), move |stream| {
            served.connection(stream);
        });
        store
    }

    pub fn set_loses(&self, loses: Option<Loses>) {
        *self.loses.lock().unwrap() = loses;
    }

    /// The number of appends of nodes so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the newest records of a topic, without their keys.
    pub fn newest_values(&self, topic: &str) -> Vec<Vec<u8>> {
        let topics = self.topics.0.lock().unwrap();
        let newest = topics.get(topic).map(|topic| topic.newest.values());
        newest.into_iter().flatten().map(|(value, _)| value.clone()).collect()
    }

    /// Writes the operator's configuration.
    pub fn publish(&self, version: &str) {
        let mut record = vec![6];
        record.extend_from_slice(b"config");
        record.extend_from_slice(version.as_bytes());
        self.append("keyed.op", &[record]);
    }

    fn append(&self, topic: &str, records: &[Vec<u8>]) -> u64 {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        for record in records {
            topic.append(record);
        }
        changed.notify_all();
        topic.records.len() as u64
    }

    fn connection(&self, mut stream: TcpStream) {
        while let Ok(request) = read_message(&mut stream) {
            // The store answers in 4 ms.
            thread::sleep(millis(4));
            let Some((status, kind, body)) = self.answer(&request) else {
                // The answer is lost: nothing more comes on this connection.
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest), Ok(1..)) {}
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, &'static str, Vec<u8>)> {
        const JSON: &str = "application/json";
        const RAW: &str = "application/octet-stream";
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect();
        let of = |name: &str| query.get(name).cloned().unwrap_or_default();
        let topic = of("topic");
        match (method, path) {
            ("POST", "/api/log-append") => {
                let records = split_records(&request.body)?;
                self.writes.fetch_add(1, Ordering::Relaxed);
                let key = records.first().map(|record| key_of(record)).unwrap_or_default();
                let loses = self.loses.lock().unwrap().clone();
                let first = records.first().map(Vec::as_slice).unwrap_or_default();
                if let Some(late) = loses.and_then(|loses| loses(&topic, first)) {
                    self.record.note(format!(
                        "store: append to {topic}, key {key}: the answer is lost, it is done {} ms later",
                        late.after.as_millis()
                    ));
                    let store = self.clone();
                    thread::spawn(move || {
                        thread::sleep(late.after);
                        let end = store.append(&topic, &records);
                        store.record.note(format!(
                            "store: the late append to {topic}, key {key}, is done at offset {}",
                            end - 1
                        ));
                    });
                    return None;
                }
                let expected: Option<u64> = of("expectedOffset").parse().ok();
                let held = self.end(&topic);
                if expected.is_some_and(|expected| expected != held) {
                    return Some((412, JSON, format!("{{\"endOffset\":{held}}}").into_bytes()));
                }
                let end = self.append(&topic, &records);
                let first = end - records.len() as u64;
                self.record.note(format!(
                    "store: append to {topic}, key {key}: 200, offset {first}"
                ));
                let body = format!("{{\"offset\":{first},\"endOffset\":{end}}}");
                Some((200, JSON, body.into_bytes()))
            }
            ("GET", "/api/log-read") => {
                let from: usize = of("from").parse().unwrap_or(0);
                let wait: u64 = of("waitMs").parse().unwrap_or(0);
                Some((200, RAW, self.read(&topic, from, millis(wait))))
            }
            ("GET", "/api/log-newest") => Some((200, JSON, self.newest(&topic, &of("after")))),
            _ => Some((404, JSON, b"{}".to_vec())),
        }
    }

    fn end(&self, topic: &str) -> u64 {
        let topics = self.topics.0.lock().unwrap();
        topics.get(topic).map_or(0, |topic| topic.records.len() as u64)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let held = &topics.entry(topic.into()).or_default().records;
            let left = until.saturating_duration_since(Instant::now());
            if held.len() > from || left.is_zero() {
                let mut out = Vec::new();
                out.extend_from_slice(&(held.len() as u64).to_be_bytes());
                out.extend_from_slice(&0u64.to_be_bytes());
                for record in held.iter().skip(from) {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        let items = topic
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_slice() > after.as_bytes());
        let items: Vec<String> = items
            .map(|(key, (value, offset))| {
                format!(
                    "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    String::from_utf8_lossy(key),
                    base64(value)
                )
            })
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}",
            items.join(","),
            topic.records.len()
        )
        .into_bytes()
    }
}

fn key_of(record: &[u8]) -> String {
    let split = record.split_first();
    let key = split.and_then(|(length, rest)| rest.get(..usize::from(*length)));
    String::from_utf8_lossy(key.unwrap_or_default()).into_owned()
}

fn split_records(mut bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_at_checked(4) {
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        bytes = rest;
    }
    Some(records)
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..group.len()].copy_from_slice(group);
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for place in 0..4 {
            if place <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// Targets

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub id: String,
    pub method: String,
    pub path: String,
    /// Whether the target ran it, that is, it expected this instance.
    pub ran: bool,
    /// Whether its answer was written.
    pub answered: bool,
}

/// One boot of a target beside a node.
#[derive(Clone)]
pub struct Target {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub work: Duration,
    seen: Arc<Mutex<Vec<Seen>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stop: Arc<AtomicBool>,
    beats: Arc<AtomicBool>,
    record: Record,
}

impl Target {
    /// Starts a boot that listens and sends heartbeats.
    pub fn start(
        instance: &str,
        service: &str,
        zone: &str,
        ip: IpAddr,
        work: Duration,
        heartbeat: Duration,
        record: &Record,
    ) -> Self {
        let target = Self {
            instance: instance.into(),
            service: service.into(),
            zone: zone.into(),
            address: SocketAddr::new(ip, TARGET),
            control: SocketAddr::new(ip, CONTROL),
            work,
            seen: Arc::default(),
            open: Arc::default(),
            stop: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        let listener = loop {
            match TcpListener::bind(target.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(millis(5)),
            }
        };
        let served = target.clone();
        serve(listener, target.stop.clone(), move |stream| {
            served.connection(stream);
        });
        record.note(format!("target {instance} ({service}, {zone}) starts"));
        let beating = target.clone();
        thread::spawn(move || beating.beat(heartbeat));
        target
    }

    fn beat(&self, heartbeat: Duration) {
        let mut sequence = 1;
        while self.beats.load(Ordering::Relaxed) {
            let body = format!(
                "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
                 \"slots\":12}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmupLeft\":\"0ms\"}}}}",
                self.address, self.service, self.zone
            );
            // Without an acknowledgement the call is made again after a moment.
            let is_taken = matches!(self.call("heartbeat", &body), Ok(200..300));
            sequence += 1;
            thread::sleep(if is_taken { heartbeat } else { millis(200) });
        }
    }

    fn call(&self, what: &str, body: &str) -> io::Result<u16> {
        let request = format!(
            "POST /api/instances/{}/{what} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.instance,
            self.control,
            body.len()
        );
        exchange(self.control, request.as_bytes(), millis(1000)).map(|answer| answer.status())
    }

    /// Sends `deregister` without having reported `draining` before, until it is acknowledged;
    /// returns when it was. No heartbeat follows.
    pub fn deregister(&self) -> Instant {
        self.beats.store(false, Ordering::Relaxed);
        loop {
            let answer = self.call("deregister", "");
            let now = Instant::now();
            self.record.note_at(
                now,
                format!("target {} sends deregister: {answer:?}", self.instance),
            );
            if matches!(answer, Ok(200..300)) {
                return now;
            }
            thread::sleep(millis(200));
        }
    }

    /// Ends the process: the listener and all connections close.
    pub fn end(&self) {
        self.beats.store(false, Ordering::Relaxed);
        self.stop.store(true, Ordering::Relaxed);
        self.record.note(format!("target {} ends", self.instance));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener closes at its next turn.
        thread::sleep(millis(5));
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    fn connection(&self, mut stream: TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.open.lock().unwrap().push(stream);
        }
        while let Ok(request) = read_message(&mut stream) {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let id = request.header("rilltrack-attempt-id").to_owned();
            let (method, path) = request.target();
            if path == "/health" {
                let health = format!(
                    "HTTP/1.1 200 OK\r\nRilltrack-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.instance
                );
                if stream.write_all(health.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("rilltrack-expect-instance");
            let ran = expected.is_empty() || expected == self.instance;
            let place = {
                let mut seen = self.seen.lock().unwrap();
                seen.push(Seen {
                    at: Instant::now(),
                    id: id.clone(),
                    method: method.into(),
                    path: path.into(),
                    ran,
                    answered: false,
                });
                seen.len() - 1
            };
            let answer = if ran {
                thread::sleep(self.work);
                let body = format!("{} ran {id}", self.instance);
                format!(
                    "HTTP/1.1 200 OK\r\nRilltrack-Attempt-Id: {id}\r\n\
                     Rilltrack-Response-Signature: 1.2.3\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            } else {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRilltrack-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.instance
                )
            };
            if self.stop.load(Ordering::Relaxed) || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.seen.lock().unwrap()[place].answered = true;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Node processes

/// One host with its node process, of the role in the deploy file.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub ip: IpAddr,
    heartbeat: Duration,
    store: SocketAddr,
    zones: Vec<String>,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Host {
    pub fn new(
        name: &str,
        zone: &str,
        service: &str,
        ip: IpAddr,
        heartbeat: Duration,
        store: SocketAddr,
        zones: &[&str],
        folder: &Path,
    ) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            service: service.into(),
            ip,
            heartbeat,
            store,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            folder: folder.into(),
            child: None,
            starts: 0,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS)
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn settings(&self) -> String {
        let template = std::fs::read_to_string("deploy/node.jsonc").expect("the template");
        let at = |port| SocketAddr::new(self.ip, port).to_string();
        let regions: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"sicilia\""))
            .collect();
        let values = [
            ("nodeName", self.name.clone()),
            ("zone", self.zone.clone()),
            ("zones|json", format!("{{{}}}", regions.join(","))),
            ("service", self.service.clone()),
            ("listen.outbound", at(CALLERS)),
            ("listen.inbound", at(INBOUND)),
            ("ip", self.ip.to_string()),
            ("internalPortRange.0", INTERNAL.to_string()),
            ("listen.controlAddr", at(CONTROL)),
            ("listen.ready", at(READY)),
            ("platform.address", self.store.to_string()),
            ("bootstrap|json", (self.starts == 0).to_string()),
            ("heartbeat", format!("{}ms", self.heartbeat.as_millis())),
            ("bounds.grace", "6s".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.budgetSlack", "62".into()),
            ("bounds.budgetWindow", "10s".into()),
            ("limits.linkMbps|json", "1000.0".into()),
            ("limits.maxFds", "4100".into()),
        ];
        // The section is for deployments with roll-outs.
        let (before, rest) = template
            .split_once("{{#bounds.exposureShare}}")
            .expect("the section");
        let (_, after) = rest
            .split_once("{{/bounds.exposureShare}}")
            .expect("the end of the section");
        let mut settings = format!("{before}{after}");
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        settings
    }

    /// Starts the program of the deploy file.
    pub fn start(&mut self, record: &Record) {
        let path = self.folder.join(format!("{}.json", self.name));
        std::fs::write(&path, self.settings()).expect("settings can be written");
        let log = self.folder.join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log");
        let child = Command::new("target/release/rilltrack-node")
            .env("RILLTRACK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        record.note(format!("node {} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        self.starts += 1;
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.note(format!("node {} is killed", self.name));
        }
    }

    /// Sends a signal to the process, by the name that `kill` knows.
    pub fn signal(&self, name: &str, record: &Record) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &pid]).status();
            record.note(format!("node {} gets SIG{name}", self.name));
        }
    }

    /// Waits for the end of the process for at most `wait`; returns whether it has ended.
    pub fn wait(&mut self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(millis(10));
        }
        true
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let address = SocketAddr::new(self.ip, READY);
        exchange(address, request.as_bytes(), millis(500)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn until_ready(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(millis(20));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// An address range of this run alone.
pub fn fresh_ip(host: u8) -> IpAddr {
    let id = std::process::id();
    Ipv4Addr::new(127, 10 + (id / 250 % 200) as u8, 1 + (id % 250) as u8, host).into()
}

/// A folder for the settings and logs of a run.
pub fn temporary_folder(case: &str) -> PathBuf {
    let name = format!("rilltrack-review-{case}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

// ---------------------------------------------------------------------------------------------
// Callers

/// One request of a caller, and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    pub method: String,
    pub ended: Instant,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
    pub body: String,
}

/// Sends a request on a new connection, and records it.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    deadline: Duration,
) -> Sent {
    let at = Instant::now();
    let length = match body {
        "" => String::new(),
        body => format!("Content-Length: {}\r\n", body.len()),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
         Rilltrack-Deadline-Ms: {}\r\n{length}Connection: close\r\n\r\n{body}",
        deadline.as_millis()
    );
    let answer = exchange(to, request.as_bytes(), deadline);
    let (status, body) = match answer {
        Ok(answer) => (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        ),
        Err(error) => (0, error.to_string()),
    };
    Sent {
        at,
        id: id.into(),
        method: method.into(),
        ended: Instant::now(),
        status,
        body,
    }
}
