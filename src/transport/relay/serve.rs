//! Servers of the relay: connections, their limits and their end.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::BoxFuture;
use hyper::{Request, Response, body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioTimer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    state::routing::Limits,
    transport::relay::{
        body::Body,
        front::Front,
        io::{Io, prepare},
    },
};

/// Answers a request.
pub type Handler = Arc<dyn Fn(Request<Body>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Returns the limits for a new connection.
pub type LimitsNow = Arc<dyn Fn() -> Limits + Send + Sync>;

/// The smallest buffer that hyper allows.
const MIN_BUFFER: usize = 8 << 10;

/// How long the server rests when the system gives it no connection (no
/// descriptors are left): long against an accept, short against a deadline.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a process has come with its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It still serves whoever comes, but says that it is not ready.
    Leaving,
    /// It takes no new connections and ends those that are unused.
    Closing,
}

/// Whose connections a server takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Whose {
    /// Callers', with several requests under way on each.
    Callers,
    /// Nodes', targets' and the platform's, one request at a time.
    Others,
}

/// A server, with what it has in hand.
#[derive(Clone)]
pub struct Server {
    /// Whose connections it takes.
    pub whose: Whose,
    /// Answers requests.
    pub handler: Handler,
    /// The limits of new connections.
    pub limits: LimitsNow,
    /// How far the process has come with its end.
    pub phase: watch::Receiver<Phase>,
    /// Connections at a time; more wait to be accepted.
    pub most: usize,
    /// Connections now.
    pub open: Arc<AtomicUsize>,
}

/// Returns a listener on `address`.
///
/// # Errors
///
/// If the address is taken or not this host's.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, crate::transport::Error> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| crate::transport::Error::Listen { address, source })
}

impl Server {
    /// Serves until the process closes and every connection has ended.
    ///
    /// # Errors
    ///
    /// If the listener can't be used on this thread.
    pub async fn run(self, listener: std::net::TcpListener) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept(), if self.open.load(Ordering::Relaxed) < self.most => accepted,
                () = tokio::time::sleep(ACCEPT_PAUSE), if self.open.load(Ordering::Relaxed) >= self.most => continue,
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn(stream),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        drop(listener);
        while self.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
        Ok(())
    }

    fn spawn(&self, stream: TcpStream) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let server = self.clone();
        tokio::spawn(async move {
            server.connection(stream).await;
            server.open.fetch_sub(1, Ordering::Relaxed);
        });
    }

    async fn connection(&self, stream: TcpStream) {
        if prepare(&stream).is_err() {
            // The caller has gone already.
            return;
        }
        if self.whose == Whose::Callers {
            let front = Front {
                handler: self.handler.clone(),
                limits: self.limits.clone(),
                phase: self.phase.clone(),
            };
            return front.serve(stream).await;
        }
        let limits = (self.limits)();
        let (io, _) = Io::new(stream);
        let handler = self.handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = handler(request.map(Body::incoming));
            async move { Ok::<_, std::convert::Infallible>(answer.await) }
        });
        let head = limits.head.as_bytes() as usize;
        let connection = Builder::new()
            .timer(TokioTimer::new())
            // hyper counts the time before the first byte as well.
            .header_read_timeout(limits.idle_timeout.duration())
            .max_buf_size(head.max(MIN_BUFFER))
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        // A connection that breaks is its caller's matter; the handler, if any,
        // has been dropped by then.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}
