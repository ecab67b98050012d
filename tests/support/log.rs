//! A stand-in for the platform's log, with offsets, retention and injected faults.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use rilltrack::protocol::log::Batch;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server,
    conn::tcp::TcpAcceptor,
    http::{ResBody, StatusCode},
};
use tokio::sync::Notify;

/// How the log answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Calls succeed.
    #[default]
    Normal,
    /// Every call fails at once with status 503.
    Unavailable,
    /// Every call hangs until the caller times out.
    Hanging,
    /// Appends take effect, but are answered with status 504.
    LosingAppendReplies,
}

#[derive(Default)]
struct Stream {
    /// Offset of the first retained record.
    first_offset: u64,
    records: Vec<Bytes>,
}

impl Stream {
    /// Returns the offset of the next record to be appended.
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    streams: HashMap<String, Stream>,
    mode: Mode,
    reads: u64,
    appends: u64,
    read_bytes: u64,
}

/// A running stand-in; clones share one log.
#[derive(Clone)]
pub struct Log {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Wakes waiting reads after an append or a change of mode.
    changed: Arc<Notify>,
}

impl Log {
    /// Starts a log on a free loopback port, in a separate thread.
    pub fn start() -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a log at `address`, in a separate thread.
    pub fn start_at(address: SocketAddr) -> Self {
        let socket = TcpListener::bind(address).unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let log = Self {
            address,
            state: Arc::default(),
            changed: Arc::default(),
        };
        let handler_log = log.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let socket = tokio::net::TcpListener::from_std(socket).unwrap();
                let router = Router::with_path("streams/{stream}/records")
                    .get(Read(handler_log.clone()))
                    .post(Append(handler_log));
                Server::new(TcpAcceptor::try_from(socket).unwrap())
                    .serve(router)
                    .await;
            });
        });
        log
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets how calls are answered, also those that wait for records.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Removes the records before `offset`, as retention does.
    pub fn expire(&self, stream: &str, offset: u64) {
        let mut state = self.state.lock();
        let stream = state.streams.entry(stream.into()).or_default();
        let expired =
            (offset.saturating_sub(stream.first_offset) as usize).min(stream.records.len());
        stream.records.drain(..expired);
        stream.first_offset = offset.max(stream.first_offset);
    }

    /// Removes the records from `offset` on, as a log that loses data does.
    pub fn truncate(&self, stream: &str, offset: u64) {
        let mut state = self.state.lock();
        let stream = state.streams.entry(stream.into()).or_default();
        stream.first_offset = stream.first_offset.min(offset);
        stream
            .records
            .truncate((offset - stream.first_offset) as usize);
    }

    /// Appends a record directly, whatever the mode, and returns its offset.
    pub fn append(&self, stream: &str, record: Bytes) -> u64 {
        let mut state = self.state.lock();
        state.appends += 1;
        let stream = state.streams.entry(stream.into()).or_default();
        let offset = stream.next_offset();
        stream.records.push(record);
        drop(state);
        self.changed.notify_waiters();
        offset
    }

    /// Returns the offset of the next record of `stream`.
    pub fn next_offset(&self, stream: &str) -> u64 {
        self.state
            .lock()
            .streams
            .get(stream)
            .map_or(0, Stream::next_offset)
    }

    /// Returns the retained records of `stream`.
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        self.state
            .lock()
            .streams
            .get(stream)
            .map_or_else(Vec::new, |s| s.records.clone())
    }

    /// Returns the number of read calls, failed ones included, and of records
    /// appended.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.reads, state.appends)
    }

    fn read(&self, stream: &str, from: u64, limit: usize) -> Batch {
        let mut state = self.state.lock();
        let stream = state.streams.entry(stream.into()).or_default();
        let (first, next) = (stream.first_offset, stream.next_offset());
        let skip = from.saturating_sub(first) as usize;
        let records = if from < first {
            Vec::new()
        } else {
            stream
                .records
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect()
        };
        Batch {
            first,
            next,
            records,
        }
    }

    /// Fails or delays a call as the mode says; returns whether it did.
    async fn inject_fault(&self, res: &mut Response) -> bool {
        let mode = self.state.lock().mode;
        match mode {
            Mode::Normal | Mode::LosingAppendReplies => return false,
            Mode::Unavailable => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
            Mode::Hanging => tokio::time::sleep(Duration::from_secs(3600)).await,
        }
        true
    }
}

/// Handler of reads, which wait for records as the request asks.
struct Read(Log);

#[salvo::async_trait]
impl Handler for Read {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let log = &self.0;
        log.state.lock().reads += 1;
        if log.inject_fault(res).await {
            return;
        }
        let stream = req.param::<String>("stream").unwrap_or_default();
        let from = req.query::<u64>("from").unwrap_or(0);
        let limit = req.query::<usize>("limit").unwrap_or(100);
        let wait = Duration::from_millis(req.query::<u64>("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let batch = loop {
            let changed = log.changed.notified();
            let batch = log.read(&stream, from, limit);
            let is_ready = !batch.records.is_empty() || batch.first > from || batch.next < from;
            if is_ready || tokio::time::timeout_at(deadline, changed).await.is_err() {
                break batch;
            }
            if log.inject_fault(res).await {
                return;
            }
        };
        if from < batch.first {
            res.status_code(StatusCode::GONE);
        }
        let body = rmp_serde::to_vec(&batch).unwrap();
        log.state.lock().read_bytes += body.len() as u64;
        res.replace_body(ResBody::Once(body.into()));
    }
}

/// Handler of appends.
struct Append(Log);

#[salvo::async_trait]
impl Handler for Append {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let log = &self.0;
        if log.inject_fault(res).await {
            return;
        }
        let stream = req.param::<String>("stream").unwrap_or_default();
        let record = req
            .take_body()
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let offset = log.append(&stream, record);
        if log.state.lock().mode == Mode::LosingAppendReplies {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        res.replace_body(ResBody::Once(format!("{{\"offset\":{offset}}}").into()));
    }
}
