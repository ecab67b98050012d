//! A stand-in for a target: an HTTP server that can announce itself to a node.

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

/// A running target; clones share its counters and behaviour.
#[derive(Clone)]
pub struct Target {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    /// Whether it asks for requests over HTTP/2.
    pub http2: bool,
    /// Number of requests that reached it.
    pub hits: Arc<AtomicU64>,
    /// Run time of each request, in milliseconds.
    pub delay_ms: Arc<AtomicU64>,
    /// Number of requests it runs at a time, 0 for no limit; others are queued. A
    /// change takes effect at `reset_slots`.
    pub slots: Arc<AtomicU64>,
    /// The slots; replaced to discard the queue.
    permits: Arc<parking_lot::Mutex<Arc<tokio::sync::Semaphore>>>,
    /// Number of request bodies to `/digest` that arrived complete.
    pub complete_bodies: Arc<AtomicU64>,
    /// Number of request bodies to `/digest` that were interrupted.
    pub interrupted_bodies: Arc<AtomicU64>,
    /// Status of its answers, 0 for 200.
    pub status: Arc<AtomicU64>,
}

impl Target {
    /// Starts a target of `service` on a free loopback port, in a separate thread.
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
            permits: Arc::new(parking_lot::Mutex::new(Arc::new(
                tokio::sync::Semaphore::new(0),
            ))),
            complete_bodies: Arc::default(),
            interrupted_bodies: Arc::default(),
            status: Arc::default(),
        };
        let handler = target.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let socket = tokio::net::TcpListener::from_std(socket).unwrap();
                let router = Router::with_path("{**rest}").goal(handler);
                let service = Service::new(router).catcher(Catcher::new(NoErrorPage));
                Server::new(TcpAcceptor::try_from(socket).unwrap())
                    .serve(service)
                    .await;
            });
        });
        target
    }

    /// Returns the number of requests that reached it.
    pub fn hits(&self) -> u64 {
        self.hits.load(Ordering::SeqCst)
    }

    /// Gives new requests a fresh set of `slots` slots, as after a restart: they
    /// don't wait for requests queued or running before.
    pub fn reset_slots(&self) {
        let slots = self.slots.load(Ordering::SeqCst) as usize;
        *self.permits.lock() = Arc::new(tokio::sync::Semaphore::new(slots));
    }

    /// Waits for a slot and sleeps for the run time. With limited slots, a request
    /// goes on after its caller has given up, as at a real target.
    async fn run(&self) {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if delay.is_zero() {
            // A sleep of zero lasts until the next millisecond.
            return;
        }
        if self.slots.load(Ordering::SeqCst) == 0 {
            return tokio::time::sleep(delay).await;
        }
        let permits = self.permits.lock().clone();
        let run = tokio::spawn(async move {
            let _slot = permits.acquire_owned().await;
            tokio::time::sleep(delay).await;
        });
        // The task can't panic and is never aborted.
        let _ = run.await;
    }

    /// Returns the number of request bodies to `/digest` that have ended, complete or
    /// interrupted.
    pub fn ended_bodies(&self) -> u64 {
        self.complete_bodies.load(Ordering::SeqCst) + self.interrupted_bodies.load(Ordering::SeqCst)
    }

    /// Announces the target once to the node at `to`; returns whether it accepted.
    pub async fn announce(&self, to: SocketAddr) -> bool {
        announce(to, &self.service, self.address, self.http2).await
    }
}

/// Announces a target once to the node at `to`; returns whether it accepted.
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

/// Leaves error answers without salvo's error page.
struct NoErrorPage;

#[salvo::async_trait]
impl Handler for NoErrorPage {
    async fn handle(&self, _: &mut Request, _: &mut Depot, _: &mut Response, _: &mut FlowCtrl) {}
}

#[salvo::async_trait]
impl Handler for Target {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.hits.fetch_add(1, Ordering::SeqCst);
        self.run().await;
        let status = self.status.load(Ordering::SeqCst) as u16;
        if status != 0 {
            res.status_code(StatusCode::from_u16(status).unwrap());
        }
        let path = req.uri().path().to_owned();
        if path.ends_with("/echo") {
            let chunks = BodyDataStream::new(req.take_body())
                .map(|chunk| chunk.map_err(std::io::Error::other));
            res.stream(chunks);
            return;
        }
        if path.ends_with("/digest") {
            let mut body = BodyDataStream::new(req.take_body());
            let mut hasher = blake3::Hasher::new();
            let mut counter = self.complete_bodies.clone();
            while let Some(chunk) = body.next().await {
                match chunk {
                    Ok(chunk) => {
                        hasher.update(&chunk);
                    }
                    Err(_) => counter = self.interrupted_bodies.clone(),
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
