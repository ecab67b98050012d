//! A stand-in for the platform's store, with faults to inject. It is written from the
//! published protocol alone, independently of the client.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::FutureExt;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use rilltrack::{
    state::{member::Member, routing::Limits},
    transport::relay::{
        body::{self, Body, ReadResult},
        empty_response,
        serve::{self, ClientKind, Handler, Phase, Server},
    },
};
use serde_json::{Value, json};
use tokio::sync::watch;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Answers calls.
    Up,
    /// Answers 503 without an effect.
    Refusing,
    /// Accepts connections and never answers.
    Silent,
    /// Applies appends and never answers them.
    LosingAnswers,
    /// Applies appends 1 to 6 s later, if their condition still holds, and never answers them.
    ExecutingLate,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    log: Arc<Mutex<Log>>,
    /// A count of changes; each change wakes waiting reads.
    changes: watch::Sender<u64>,
    /// The mode for all calls.
    mode: watch::Sender<Mode>,
    /// The mode for calls to this handle's address; takes precedence unless `Up`.
    own: watch::Sender<Mode>,
    _phase: Arc<watch::Sender<Phase>>,
}

#[derive(Default)]
struct Log {
    topics: HashMap<String, Topic>,
    /// The number of calls by path and topic.
    calls: BTreeMap<(String, String), u64>,
    /// Bytes returned by reads of the tail.
    given: u64,
    /// The text that marks the next append to hold back, if any.
    hold: Option<String>,
    /// Appends that were held back and not answered, each with its topic.
    held: Vec<(String, Bytes)>,
}

impl Log {
    /// Appends encoded records to a topic, and returns the offset of the first one and that after
    /// the last one.
    fn append(&mut self, topic: &str, mut records: Bytes) -> (u64, u64) {
        let topic = self.topics.entry(topic.into()).or_default();
        let offset = topic.end();
        while records.has_remaining() {
            let length = records.get_u32() as usize;
            topic.append(records.split_to(length));
        }
        (offset, topic.end())
    }
}

#[derive(Default)]
struct Topic {
    /// The retained records; the first one has offset `first`.
    records: Vec<Bytes>,
    first: u64,
    newest: BTreeMap<Vec<u8>, (Bytes, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let offset = self.end();
        self.records.push(record.clone());
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        // A record without a complete key counts for no key.
        let Some((key, value)) = rest.split_at_checked(usize::from(*length)) else {
            return;
        };
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            let value = (record.slice_ref(value), offset);
            self.newest.insert(key.to_vec(), value);
        }
    }
}

impl Store {
    /// Starts an empty store on a free port.
    pub async fn start() -> Self {
        Self::serve(
            Arc::default(),
            watch::Sender::new(0),
            watch::Sender::new(Mode::Up),
        )
    }

    /// Returns a handle to the same store at another address, for one node, so that faults
    /// can be injected for that node alone.
    pub fn door(&self) -> Self {
        Self::serve(self.log.clone(), self.changes.clone(), self.mode.clone())
    }

    fn serve(log: Arc<Mutex<Log>>, changes: watch::Sender<u64>, mode: watch::Sender<Mode>) -> Self {
        let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, seen) = watch::channel(Phase::Serving);
        let store = Self {
            address,
            log,
            changes,
            mode,
            own: watch::Sender::new(Mode::Up),
            _phase: Arc::new(phase),
        };
        let served = store.clone();
        let handler: Handler = Arc::new(move |request| {
            let store = served.clone();
            async move { store.answer(request).await }.boxed()
        });
        let server = Server {
            client: ClientKind::Internal,
            handler,
            limits: Arc::new(Limits::default),
            on_refused: Arc::new(|_| {}),
            phase: seen,
            max_connections: 1000,
            connections: Arc::default(),
        };
        tokio::spawn(async move { server.run(listener).await.unwrap() });
        store
    }

    /// Sets the mode for calls to this handle's address.
    pub fn set_own(&self, mode: Mode) {
        self.own.send_replace(mode);
    }

    fn current_mode(&self) -> Mode {
        match *self.own.borrow() {
            Mode::Up => *self.mode.borrow(),
            own => own,
        }
    }

    /// Sets the mode for all calls, at every address.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Appends a version, as the operator does.
    pub fn publish(&self, version: &Value) {
        self.write("keyed.op", b"config", version.to_string().as_bytes());
    }

    /// Appends an arbitrary record to the topic of the members, as another writer may.
    pub fn write_member(&self, key: &[u8], value: &[u8]) {
        self.write("keyed.rilltrack-members", key, value);
    }

    /// Appends a roll-out order for a service, as the operator does.
    pub fn order(&self, service: &str, release: &str, duration: &str) {
        let order = json!({"service": service, "targetVersion": release, "duration": duration});
        let key = format!("rollout/{service}");
        self.write("keyed.op", key.as_bytes(), order.to_string().as_bytes());
    }

    /// Orders a drain of a failure domain, as the operator does.
    pub fn drain(&self, domain: &str) {
        self.write("keyed.op", format!("evacuate/{domain}").as_bytes(), b"{}");
    }

    /// Takes a failure domain back, as the operator does.
    pub fn take_back(&self, domain: &str) {
        self.write("keyed.op", format!("evacuate/{domain}").as_bytes(), b"");
    }

    /// Returns the states that the status records of a service's orders report, the oldest
    /// first.
    pub fn words(&self, service: &str) -> Vec<String> {
        let log = self.log.lock();
        let Some(topic) = log.topics.get("keyed.status") else {
            return Vec::new();
        };
        let start = [
            &[8 + service.len() as u8][..],
            b"rollout/",
            service.as_bytes(),
        ]
        .concat();
        let words = topic
            .records
            .iter()
            .filter_map(|r| r.strip_prefix(&start[..]));
        let words = words.filter_map(|word| serde_json::from_slice::<Value>(word).ok());
        words
            .map(|word| word["state"].as_str().unwrap_or_default().into())
            .collect()
    }

    /// Appends arbitrary bytes under the key of versions.
    pub fn publish_bytes(&self, bytes: &[u8]) {
        self.write("keyed.op", b"config", bytes);
    }

    /// Deletes the history of all topics; the newest record of each key stays.
    pub fn forget_history(&self) {
        for topic in self.log.lock().topics.values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Leaves the next append whose records contain `text` without an answer, and holds it back
    /// until [`execute_held`](Self::execute_held).
    pub fn hold_next(&self, text: &str) {
        self.log.lock().hold = Some(text.into());
    }

    /// Returns whether an append was held back.
    pub fn has_held(&self) -> bool {
        !self.log.lock().held.is_empty()
    }

    /// Executes the appends that were held back.
    pub fn execute_held(&self) {
        let mut log = self.log.lock();
        for (topic, records) in std::mem::take(&mut log.held) {
            log.append(&topic, records);
        }
        drop(log);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Holds an append back if it is the one to hold; returns whether it is.
    fn hold_back(&self, topic: &str, records: &Bytes) -> bool {
        let mut log = self.log.lock();
        let is_marked = |text: &String| {
            let mut windows = records.windows(text.len());
            windows.any(|window| window == text.as_bytes())
        };
        let is_held = log.hold.as_ref().is_some_and(is_marked);
        if is_held {
            log.hold = None;
            log.held.push((topic.into(), records.clone()));
        }
        is_held
    }

    /// Takes the record of the append that was held back; it is not executed any more.
    pub fn take_held_member(&self) -> Option<Member> {
        let (_, records) = self.log.lock().held.pop()?;
        let (_, rest) = records.split_at_checked(4)?;
        let (key_length, rest) = rest.split_first()?;
        rmp_serde::from_slice(rest.get(usize::from(*key_length)..)?).ok()
    }

    /// Returns the latest record of a node in the topic of the members, whatever its key.
    pub fn member(&self, node: &str) -> Option<Member> {
        let members = self.members(node).into_iter();
        members.max_by_key(Member::precedence)
    }

    /// Returns the newest record of each key that has a record of a node.
    pub fn members(&self, node: &str) -> Vec<Member> {
        let log = self.log.lock();
        let topic = log.topics.get("keyed.rilltrack-members");
        let records = topic.into_iter().flat_map(|topic| topic.newest.values());
        let members =
            records.filter_map(|(record, _)| rmp_serde::from_slice::<Member>(record).ok());
        members
            .filter(|member| member.node.as_str() == node)
            .collect()
    }

    /// Returns the number of calls to a path, over all topics.
    pub fn calls(&self, call: &str) -> u64 {
        let log = self.log.lock();
        let calls = log.calls.iter().filter(|((path, _), _)| path == call);
        calls.map(|(_, count)| count).sum()
    }

    /// Returns the number of calls to a path for one topic.
    pub fn calls_on(&self, call: &str, topic: &str) -> u64 {
        let key = (call.to_owned(), topic.to_owned());
        self.log.lock().calls.get(&key).copied().unwrap_or(0)
    }

    /// Returns the number of bytes that reads of the tail returned.
    pub fn given(&self) -> u64 {
        self.log.lock().given
    }

    /// Appends raw bytes as a record of the members; they may have no complete key.
    pub fn write_torn(&self, record: &'static [u8]) {
        self.append_record("keyed.rilltrack-members", Bytes::from_static(record));
    }

    fn write(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key);
        record.put_slice(value);
        self.append_record(topic, record.freeze());
    }

    fn append_record(&self, topic: &str, record: Bytes) {
        let mut log = self.log.lock();
        log.topics.entry(topic.into()).or_default().append(record);
        drop(log);
        self.changes.send_modify(|count| *count += 1);
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let mode = self.current_mode();
        match mode {
            Mode::Refusing => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Silent => std::future::pending().await,
            Mode::Up | Mode::LosingAnswers | Mode::ExecutingLate => {}
        }
        let path = request.uri().path().to_owned();
        let query = query(request.uri().query().unwrap_or_default());
        let topic = query.get("topic").cloned().unwrap_or_default();
        *self
            .log
            .lock()
            .calls
            .entry((path.clone(), topic))
            .or_default() += 1;
        match path.as_str() {
            "/api/log-append" => {
                let read = body::read(request.into_body(), 2 << 20, Duration::from_secs(5)).await;
                let Ok(ReadResult::Whole(records)) = read else {
                    return empty_response(StatusCode::BAD_REQUEST);
                };
                if mode == Mode::ExecutingLate {
                    let (store, lateness) = (self.clone(), self.lateness());
                    tokio::spawn(async move {
                        tokio::time::sleep(lateness).await;
                        store.append(&query, records);
                    });
                    return std::future::pending().await;
                }
                if self.hold_back(&query["topic"], &records) {
                    return std::future::pending().await;
                }
                let answer = self.append(&query, records);
                if mode == Mode::LosingAnswers {
                    return std::future::pending().await;
                }
                answer
            }
            "/api/log-read" => self.read(&query).await,
            "/api/log-newest" => self.newest(&query),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Returns how late to execute the current append: from 1 to 6 s, another time for each call.
    fn lateness(&self) -> Duration {
        let calls = self.calls("/api/log-append");
        Duration::from_millis(1000 + calls * 1700 % 5000)
    }

    fn append(&self, query: &HashMap<String, String>, records: Bytes) -> Response<Body> {
        let mut log = self.log.lock();
        let offset = log.topics.entry(query["topic"].clone()).or_default().end();
        let expected = query.get("expectedOffset").and_then(|at| at.parse().ok());
        if expected.is_some_and(|expected: u64| expected != offset) {
            let mut refused = Response::new(Body::whole(json!({"endOffset": offset}).to_string()));
            *refused.status_mut() = StatusCode::PRECONDITION_FAILED;
            return refused;
        }
        let (offset, end) = log.append(&query["topic"], records);
        drop(log);
        self.changes.send_modify(|count| *count += 1);
        Response::new(Body::whole(
            json!({"offset": offset, "endOffset": end}).to_string(),
        ))
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<Body> {
        let from: u64 = query["from"].parse().unwrap();
        let wait = query.get("waitMs").map_or(0, |ms| ms.parse().unwrap());
        let mut changes = self.changes.subscribe();
        let (mut mode, mut own) = (self.mode.subscribe(), self.own.subscribe());
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            match self.current_mode() {
                Mode::Refusing => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
                Mode::Silent => std::future::pending().await,
                Mode::Up | Mode::LosingAnswers | Mode::ExecutingLate => {}
            }
            if let Some(answer) = self.read_now(&query["topic"], from) {
                return answer;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = mode.changed() => {}
                _ = own.changed() => {}
                () = tokio::time::sleep_until(until) => return self.empty(&query["topic"]),
            }
        }
    }

    fn read_now(&self, topic: &str, from: u64) -> Option<Response<Body>> {
        let mut log = self.log.lock();
        let log = &mut *log;
        let topic = log.topics.entry(topic.into()).or_default();
        if from < topic.first {
            let mut gone = Response::new(Body::whole(json!({"first": topic.first}).to_string()));
            *gone.status_mut() = StatusCode::GONE;
            return Some(gone);
        }
        if from >= topic.end() {
            return None;
        }
        let mut out = BytesMut::new();
        out.put_u64(topic.end());
        out.put_u64(topic.first);
        for record in &topic.records[(from - topic.first) as usize..] {
            out.put_u32(record.len() as u32);
            out.put_slice(record);
        }
        log.given += out.len() as u64;
        Some(Response::new(Body::whole(out.freeze())))
    }

    fn empty(&self, topic: &str) -> Response<Body> {
        let mut log = self.log.lock();
        let topic = log.topics.entry(topic.into()).or_default();
        let mut out = BytesMut::new();
        out.put_u64(topic.end());
        out.put_u64(topic.first);
        Response::new(Body::whole(out.freeze()))
    }

    fn newest(&self, query: &HashMap<String, String>) -> Response<Body> {
        /// Records of a page; few, so that tests need several pages.
        const PAGE: usize = 2;
        let mut log = self.log.lock();
        let topic = log.topics.entry(query["topic"].clone()).or_default();
        let after = query.get("after").map(|key| key.as_bytes().to_vec());
        let left: Vec<_> = topic
            .newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .collect();
        let items: Vec<Value> = left
            .iter()
            .take(PAGE)
            .map(|(key, (value, offset))| {
                json!({
                    "key": String::from_utf8_lossy(key),
                    "value": BASE64_STANDARD.encode(value),
                    "offset": offset,
                })
            })
            .collect();
        let has_more = left.len() > PAGE;
        let page = json!({"items": items, "hasMore": has_more, "endOffset": topic.end()});
        Response::new(Body::whole(page.to_string()))
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |text| percent_decode_str(text).decode_utf8_lossy().into_owned();
    pairs.map(|(k, v)| (k.into(), decode(v))).collect()
}
