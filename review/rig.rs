//! What the cases of the second review share: stand-ins of the platform's store, of backends and
//! of consumers, and the processes of the nodes. Standard library only, loopback only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Returns whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a run: what was sent, answered and run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let record = Self {
            file: Arc::new(Mutex::new(file)),
            begin: Instant::now(),
        };
        record.note(if trouble() {
            "with the disruption"
        } else {
            "without the disruption"
        });
        record
    }

    pub fn seconds(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

/// A message as read from a connection.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a request or response; `None` at the end of the connection before one begins.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim_end(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Serves each connection of `listener` on a thread of its own until `handler` returns false.
fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if !handler(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends bytes on a new connection and returns the response.
pub fn ask(address: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, timeout.min(ms(1000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    // A refusal may come before all is sent.
    let sent = writer.write_all(bytes);
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader) {
        Ok(Some(response)) => Ok(response),
        Ok(None) => sent.and(Err(io::ErrorKind::UnexpectedEof.into())),
        Err(error) => Err(error),
    }
}

// ---------------------------------------------------------------- the store

/// The platform's store: topics of one partition, as far as the nodes use them.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

#[derive(Default)]
struct Topics {
    topics: HashMap<String, Topic>,
    /// Appends that contain this text get no answer and are done late.
    late: Option<(Vec<u8>, u32)>,
    held: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The newest record of each key: value and offset.
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, bytes: &[u8]) -> (u64, u64) {
        let first = self.records.len() as u64;
        let mut rest = bytes;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = rest[4..4 + length].to_vec();
            rest = &rest[4 + length..];
            let key_length = record[0] as usize;
            let key = record[1..1 + key_length].to_vec();
            let value = record[1 + key_length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, self.records.len() as u64));
            }
            self.records.push(record);
        }
        (first, self.records.len() as u64)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, b| word << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    out
}

pub fn record_bytes(key: &str, value: &[u8]) -> Vec<u8> {
    let mut out = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    out.push(key.len() as u8);
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(value);
    out
}

fn contains(bytes: &[u8], text: &[u8]) -> bool {
    bytes.windows(text.len()).any(|window| window == text)
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let (served, record) = (store.clone(), record.clone());
        serve(listener, move |request, stream| served.answer(request, stream, &record));
        store
    }

    /// Appends a version of the configuration, as the operator does.
    pub fn publish(&self, version: &str) {
        let bytes = record_bytes("config", version.as_bytes());
        self.append("keyed.op", &bytes);
    }

    fn append(&self, topic: &str, bytes: &[u8]) -> (u64, u64) {
        let mut topics = self.state.0.lock().unwrap();
        let ends = topics.topics.entry(topic.into()).or_default().append(bytes);
        self.state.1.notify_all();
        ends
    }

    /// Leaves the next `count` appends of nodes that contain `text` unanswered, and holds them
    /// back until [`Store::do_late`].
    pub fn lose(&self, text: &str, count: u32) {
        self.state.0.lock().unwrap().late = Some((text.as_bytes().to_vec(), count));
    }

    /// Returns how many appends are held back.
    pub fn held(&self) -> usize {
        self.state.0.lock().unwrap().held.len()
    }

    /// Does the appends that were held back.
    pub fn do_late(&self) {
        let held = std::mem::take(&mut self.state.0.lock().unwrap().held);
        for (topic, bytes) in held {
            self.append(&topic, &bytes);
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, record: &Record) -> bool {
        let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("").to_owned();
        match path {
            "/api/log-append" => {
                {
                    let mut topics = self.state.0.lock().unwrap();
                    let is_late = match &mut topics.late {
                        Some((text, count)) if *count > 0 && contains(&request.body, text) => {
                            *count -= 1;
                            true
                        }
                        _ => false,
                    };
                    if is_late {
                        topics.held.push((topic.clone(), request.body.clone()));
                        drop(topics);
                        record.note(&format!("store: an append to {topic} gets no answer and is done late"));
                        // Such a connection returns nothing further.
                        thread::sleep(ms(60_000));
                        return false;
                    }
                }
                let expected = query.get("expectedOffset").and_then(|at| at.parse::<u64>().ok());
                let mut topics = self.state.0.lock().unwrap();
                let log = topics.topics.entry(topic.clone()).or_default();
                let end = log.records.len() as u64;
                if expected.is_some_and(|expected| expected != end) {
                    let body = format!("{{\"endOffset\":{end}}}");
                    drop(topics);
                    return respond(stream, "412 Precondition Failed", "", body.as_bytes()).is_ok();
                }
                let (offset, end) = log.append(&request.body);
                drop(topics);
                self.state.1.notify_all();
                let body = format!("{{\"offset\":{offset},\"endOffset\":{end}}}");
                record.note(&format!("store: append to {topic} done, end {end}"));
                respond(stream, "200 OK", "content-type: application/json\r\n", body.as_bytes()).is_ok()
            }
            "/api/log-read" => {
                let from: usize = query["from"].parse().unwrap_or(0);
                let wait = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(wait);
                let mut topics = self.state.0.lock().unwrap();
                let body = loop {
                    let log = topics.topics.entry(topic.clone()).or_default();
                    let now = Instant::now();
                    if log.records.len() > from || now >= until {
                        let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0u64.to_be_bytes());
                        for record in log.records.iter().skip(from) {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        break body;
                    }
                    topics = self.state.1.wait_timeout(topics, until - now).unwrap().0;
                };
                drop(topics);
                respond(stream, "200 OK", "", &body).is_ok()
            }
            "/api/log-newest" => {
                let after = query.get("after").map(|after| percent_decoded(after));
                let mut topics = self.state.0.lock().unwrap();
                let log = topics.topics.entry(topic).or_default();
                let left: Vec<_> = log
                    .newest
                    .iter()
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .collect();
                let items: Vec<String> = left
                    .iter()
                    .take(500)
                    .map(|(key, (value, offset))| {
                        format!(
                            "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            String::from_utf8_lossy(key),
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":{},\"endOffset\":{}}}",
                    items.join(","),
                    left.len() > 500,
                    log.records.len()
                );
                drop(topics);
                respond(stream, "200 OK", "content-type: application/json\r\n", body.as_bytes()).is_ok()
            }
            _ => respond(stream, "404 Not Found", "", b"").is_ok(),
        }
    }
}

// ---------------------------------------------------------------- backends

/// A request that a backend ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub service: String,
    pub body: usize,
    pub at: Instant,
}

/// A backend beside a node. It sends status reports until it leaves.
#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    pub instance: String,
    pub service: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    is_beating: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    /// How long it works on a request, in milliseconds.
    pub work: Arc<AtomicU64>,
}

impl Backend {
    pub fn start(record: &Record, node: &Settings, instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            instance: instance.into(),
            service: node.service.clone(),
            runs: Arc::default(),
            is_beating: Arc::new(AtomicBool::new(true)),
            sequence: Arc::default(),
            work: Arc::new(AtomicU64::new(5)),
        };
        let (served, noted) = (backend.clone(), record.clone());
        serve(listener, move |request, stream| served.answer(request, stream, &noted));
        let (beating, node, record) = (backend.clone(), node.clone(), record.clone());
        thread::spawn(move || {
            while beating.is_beating.load(Ordering::Relaxed) {
                let began = Instant::now();
                let status = beating.report(&node, "ready");
                if status != 200 && !node.is_down.load(Ordering::Relaxed) {
                    record.note(&format!("{}: report answered {status}", beating.instance));
                }
                let period = ms(if status == 200 { 1500 } else { 300 });
                thread::sleep(period.saturating_sub(began.elapsed()));
            }
        });
        backend
    }

    /// Sends a status report; returns the status of the answer, 0 if there is none in time.
    pub fn report(&self, node: &Settings, state: &str) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":12}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"warmupLeft\":\"0ms\"}}}}",
            self.address, self.service, node.zone
        );
        self.call(node, "heartbeat", &body)
    }

    /// Stops the status reports and says that the backend leaves; returns the answer's status.
    pub fn deregister(&self, node: &Settings) -> u16 {
        self.is_beating.store(false, Ordering::Relaxed);
        self.call(node, "deregister", "")
    }

    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::Relaxed);
    }

    fn call(&self, node: &Settings, call: &str, body: &str) -> u16 {
        let request = format!(
            "POST /api/instances/{}/{call} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance,
            node.targets,
            body.len()
        );
        ask(node.targets, request.as_bytes(), ms(1000)).map_or(0, |answer| answer.status())
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, record: &Record) -> bool {
        let id = request.header("rilltrack-attempt-id").to_owned();
        let expected = request.header("rilltrack-expect-instance");
        if !expected.is_empty() && expected != self.instance {
            let headers = format!("rilltrack-instance-id: {}\r\nrilltrack-attempt-id: {id}\r\n", self.instance);
            return respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        if request.first.contains(" /health") {
            let headers = format!("rilltrack-instance-id: {}\r\n", self.instance);
            return respond(stream, "200 OK", &headers, b"").is_ok();
        }
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            instance: self.instance.clone(),
            service: self.service.clone(),
            body: request.body.len(),
            at: Instant::now(),
        });
        record.note(&format!(
            "{} of {} runs {id}, body of {} bytes",
            self.instance,
            self.service,
            request.body.len()
        ));
        thread::sleep(ms(self.work.load(Ordering::Relaxed)));
        let headers = format!("rilltrack-attempt-id: {id}\r\nrilltrack-response-signature: s.{}.{id}\r\n", self.instance);
        respond(stream, "200 OK", &headers, self.service.as_bytes()).is_ok()
    }
}

// ---------------------------------------------------------------- nodes

/// The settings of one node, and its addresses.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub callers: SocketAddr,
    pub inbound: SocketAddr,
    pub peers: SocketAddr,
    pub targets: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    pub is_down: Arc<AtomicBool>,
}

/// A node's process.
pub struct Node {
    pub settings: Settings,
    folder: PathBuf,
    store: SocketAddr,
    process: Option<Child>,
    /// Whether the whole system starts for the first time.
    pub is_bootstrap: bool,
    pub started: Instant,
}

/// Processes that are ended with the case, whatever its result.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

/// Has a further process ended with the case.
pub fn note_process(pid: u32) {
    PROCESSES.lock().unwrap().push(pid);
}

/// The process has ended.
pub fn forget_process(pid: u32) {
    PROCESSES.lock().unwrap().retain(|other| *other != pid);
}

/// Ends all processes that the case started, and itself.
pub fn finish(code: i32) -> ! {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, KILL) };
    }
    exit(code)
}

/// Ends the case with 2 after `limit`, and if the test itself panics.
pub fn limit(record: &Record, limit: Duration) {
    let noted = record.clone();
    std::panic::set_hook(Box::new(move |info| {
        eprintln!("{info}");
        noted.note(&format!("the case could not run: {info}"));
        finish(2);
    }));
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        record.note("the case took too long");
        finish(2);
    });
}

/// Returns the addresses of a machine: a free loopback address of its own, so that no connection
/// takes one of its ports meanwhile.
fn machine_addresses() -> [SocketAddr; 6] {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = [127, (16 + pid / 200 % 200) as u8, (1 + pid % 200) as u8, (number % 250 + 1) as u8];
        let addresses = [8629, 8624, 7600, 8620, 8625, 9464].map(|port| SocketAddr::from((ip, port)));
        if addresses.iter().all(|address| TcpListener::bind(address).is_ok()) {
            return addresses;
        }
    }
}

impl Node {
    pub fn new(folder: &Path, store: &Store, name: &str, zone: &str, service: &str) -> Self {
        let [callers, inbound, peers, targets, ready, metrics] = machine_addresses();
        Self {
            settings: Settings {
                name: name.into(),
                zone: zone.into(),
                service: service.into(),
                callers,
                inbound,
                peers,
                targets,
                ready,
                metrics,
                is_down: Arc::new(AtomicBool::new(true)),
            },
            folder: folder.into(),
            store: store.address,
            process: None,
            is_bootstrap: true,
            started: Instant::now(),
        }
    }

    /// Starts the process as the deploy file says, with settings of its template.
    pub fn start(&mut self, record: &Record) {
        let s = &self.settings;
        let text = format!(
            r#"{{"node":"{}","domain":"{}","regions":{{"za":"r1","zb":"r1","zc":"r1"}},"service":"{}","listen":{{"callers":"{}","inbound":"{}","peers":"{}","targets":"{}","ready":"{}","metrics":"{}"}},"store":"{}","first_start":{},"heartbeat":"1500ms","grace":"6s","resend":{{"ratio":0.2,"slack":62,"window":"10s"}},"bandwidth":1000.0,"descriptors":4100}}"#,
            s.name, s.zone, s.service, s.callers, s.inbound, s.peers, s.targets, s.ready, s.metrics, self.store,
            self.is_bootstrap
        );
        let path = self.folder.join(format!("{}.json", s.name));
        fs::write(&path, text).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", s.name)))
            .unwrap();
        let process = Command::new("target/release/rilltrack-node")
            .env_clear()
            .env("RILLTRACK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/rilltrack-node can be started");
        PROCESSES.lock().unwrap().push(process.id());
        record.note(&format!("{} starts", s.name));
        self.process = Some(process);
        self.is_bootstrap = false;
        self.started = Instant::now();
        s.is_down.store(false, Ordering::Relaxed);
    }

    pub fn signal(&mut self, signal: i32) {
        let process = self.process.as_mut().expect("the node runs");
        unsafe { kill(process.id() as i32, signal) };
        if signal == KILL {
            self.settings.is_down.store(true, Ordering::Relaxed);
            let _ = process.wait();
            let pid = process.id();
            PROCESSES.lock().unwrap().retain(|other| *other != pid);
            self.process = None;
        }
    }

    pub fn is_running(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Waits until the node says that it is ready.
    pub fn until_ready(&self, record: &Record) {
        let s = &self.settings;
        until(&format!("{} is ready", s.name), ms(30_000), || {
            let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", s.ready);
            ask(s.ready, request.as_bytes(), ms(500)).is_ok_and(|answer| answer.status() == 200)
        });
        record.note(&format!("{} is ready", s.name));
    }

    /// Returns the node's log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.settings.name))).unwrap_or_default()
    }
}

/// Waits until `check` returns true.
pub fn until(what: &str, limit: Duration, mut check: impl FnMut() -> bool) {
    let since = Instant::now();
    while !check() {
        assert!(since.elapsed() < limit, "waited in vain until {what}");
        thread::sleep(ms(20));
    }
}

/// Returns a new temporary folder.
pub fn temporary_folder() -> PathBuf {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

// ---------------------------------------------------------------- consumers

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new attempt id.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request to a node and returns the answer. `headers` are further header lines.
pub fn send(
    record: &Record,
    node: &Settings,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<Message> {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRilltrack-Attempt-Id: {id}\r\nRilltrack-Deadline-Ms: 3000\r\n{headers}"
    );
    if !headers.to_ascii_lowercase().contains("transfer-encoding") && (method != "GET" || !body.is_empty()) {
        request += &format!("Content-Length: {}\r\n", body.len());
    }
    request += "\r\n";
    let head = request.len();
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    record.note(&format!("consumer at {}: {method} {path} {id}, head of {head} bytes", node.name));
    let answer = ask(node.callers, &bytes, ms(4000));
    record.note(&match &answer {
        Ok(answer) => format!(
            "consumer at {}: {id} answered {}, signature {:?}, body {:?}",
            node.name,
            answer.status(),
            answer.header("rilltrack-response-signature"),
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)]).trim_end()
        ),
        Err(error) => format!("consumer at {}: {id} not answered: {error}", node.name),
    });
    answer
}

/// Returns a version of the configuration; routes are (name, prefix, kind, service).
pub fn version(number: u64, routes: &[(&str, &str, &str, &str)], services: &[&str], max_body: u64) -> String {
    let mut items: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, service)| {
            format!(
                r#"{{"resourceType":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"shop.example","pathPrefix":"{prefix}","kind":"{kind}","timeout":"3000ms","targetLatency":"500ms","priority":1,"service":"{service}","maxAttempts":2}}}}"#
            )
        })
        .collect();
    items.extend(services.iter().map(|service| {
        format!(r#"{{"resourceType":"services","metadata":{{"name":"{service}"}},"spec":{{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}}}}"#)
    }));
    items.push(format!(
        r#"{{"resourceType":"limits","metadata":{{}},"spec":{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body},"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#
    ));
    format!(r#"{{"version":{number},"resources":[{}]}}"#, items.join(","))
}
