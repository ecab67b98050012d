//! A stand-in for a target: an HTTP server that announces itself.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::StreamExt;
use http_body_util::{BodyDataStream, BodyExt};
use rilltrack::protocol::announce::Announcement;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service,
    catcher::Catcher,
    conn::tcp::TcpAcceptor,
    http::{ResBody, StatusCode},
};

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    /// Whether it wants to be spoken to in HTTP/2.
    pub http2: bool,
    /// Requests that reached it.
    pub hits: Arc<AtomicU64>,
    /// Milliseconds each request takes.
    pub delay_ms: Arc<AtomicU64>,
    /// Requests it runs at a time, 0 for any number; more wait in line.
    pub slots: Arc<AtomicU64>,
    line: Arc<parking_lot::Mutex<Arc<tokio::sync::Semaphore>>>,
    /// Bodies digested that arrived whole, and that broke off.
    pub whole: Arc<AtomicU64>,
    pub broken: Arc<AtomicU64>,
    /// The status it answers with, 0 for what the path asks for.
    pub status: Arc<AtomicU64>,
}

impl Target {
    /// Starts a target of `service`, in a thread of its own.
    pub fn start(name: &str, service: &str) -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let target = Self {
            name: name.into(),
            service: service.into(),
            address: socket.local_addr().unwrap(),
            http2: false,
            hits: Arc::default(),
            delay_ms: Arc::default(),
            slots: Arc::default(),
            line: Arc::new(parking_lot::Mutex::new(Arc::new(
                tokio::sync::Semaphore::new(0),
            ))),
            whole: Arc::default(),
            broken: Arc::default(),
            status: Arc::default(),
        };
        let served = target.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let socket = tokio::net::TcpListener::from_std(socket).unwrap();
                let router = Router::with_path("{**rest}").goal(served);
                let service = Service::new(router).catcher(Catcher::new(Quiet));
                Server::new(TcpAcceptor::try_from(socket).unwrap())
                    .serve(service)
                    .await;
            });
        });
        target
    }

    pub fn hits(&self) -> u64 {
        self.hits.load(Ordering::SeqCst)
    }

    /// Forgets requests that wait in line, as after a restart.
    pub fn forget_waiting(&self) {
        let slots = self.slots.load(Ordering::SeqCst) as usize;
        *self.line.lock() = Arc::new(tokio::sync::Semaphore::new(slots));
    }

    /// Waits for a slot and takes the time of a request. A target goes on with
    /// what it began, whether or not the caller still waits.
    async fn work(&self) {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if delay.is_zero() {
            // Even an empty sleep lasts until the next millisecond.
            return;
        }
        if self.slots.load(Ordering::SeqCst) == 0 {
            return tokio::time::sleep(delay).await;
        }
        let line = self.line.lock().clone();
        let work = tokio::spawn(async move {
            let _slot = line.acquire_owned().await;
            tokio::time::sleep(delay).await;
        });
        // It can't panic and nobody cancels it.
        let _ = work.await;
    }

    /// Bodies digested that ended, one way or another.
    pub fn ended(&self) -> u64 {
        self.whole.load(Ordering::SeqCst) + self.broken.load(Ordering::SeqCst)
    }

    /// Announces the target to the node at `to` once.
    pub async fn announce(&self, to: SocketAddr) -> bool {
        announce(to, &self.service, self.address, self.http2).await
    }
}

/// Announces a target once; returns whether the node took it.
pub async fn announce(to: SocketAddr, service: &str, address: SocketAddr, http2: bool) -> bool {
    let announcement = Announcement {
        service: service.parse().unwrap(),
        address,
        http2,
        draining: false,
    };
    let body = serde_json::to_vec(&announcement).unwrap();
    let sent = super::client()
        .post(format!("http://{to}/targets"))
        .body(body)
        .send()
        .await;
    sent.is_ok_and(|response| response.status().is_success())
}

struct Quiet;

#[salvo::async_trait]
impl Handler for Quiet {
    async fn handle(&self, _: &mut Request, _: &mut Depot, _: &mut Response, _: &mut FlowCtrl) {}
}

#[salvo::async_trait]
impl Handler for Target {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.hits.fetch_add(1, Ordering::SeqCst);
        self.work().await;
        let status = self.status.load(Ordering::SeqCst) as u16;
        if status != 0 {
            res.status_code(StatusCode::from_u16(status).unwrap());
        }
        let path = req.uri().path().to_owned();
        if path.ends_with("/echo") {
            let pieces = BodyDataStream::new(req.take_body())
                .map(|piece| piece.map_err(std::io::Error::other));
            res.stream(pieces);
            return;
        }
        if path.ends_with("/digest") {
            let mut body = BodyDataStream::new(req.take_body());
            let mut hasher = blake3::Hasher::new();
            let mut counter = self.whole.clone();
            while let Some(piece) = body.next().await {
                match piece {
                    Ok(piece) => {
                        hasher.update(&piece);
                    }
                    Err(_) => counter = self.broken.clone(),
                }
            }
            counter.fetch_add(1, Ordering::SeqCst);
            res.replace_body(ResBody::Once(hasher.finalize().to_hex().to_string().into()));
            return;
        }
        let body = BodyExt::collect(req.take_body())
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let version = format!("{:?}", req.version());
        res.headers_mut()
            .insert("x-version", version.parse().unwrap());
        res.headers_mut()
            .insert("x-target", self.name.parse().unwrap());
        let text = format!("{} {} {}", self.name, path, String::from_utf8_lossy(&body));
        res.replace_body(ResBody::Once(text.into()));
    }
}
