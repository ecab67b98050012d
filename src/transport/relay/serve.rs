//! The servers of the relay: accepting, limiting and closing connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    state::routing::Limits,
    transport::relay::{
        body::Body,
        connections::{Connections, Guard},
        http1_server::Http1Server,
        io::{Io, prepare},
    },
};

/// Responds to a request.
pub type Handler = Arc<dyn Fn(Request<Body>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Returns the limits of callers' requests.
pub type CurrentLimits = Arc<dyn Fn() -> Limits + Send + Sync>;

/// Is called with the status of a refusal of bytes that are no acceptable request.
pub type OnRefused = Arc<dyn Fn(StatusCode) + Send + Sync>;

/// The largest head on an internal connection, in bytes. The limits of callers' requests don't
/// apply there: the node that took a request in has judged it, by the version in force there,
/// and has added headers. This one only bounds the memory of a connection.
const MAX_INTERNAL_HEAD: usize = 1 << 20;

/// How long an internal connection may be idle. It is longer than clients keep theirs, so that they
/// close them.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The pause of the server when it can accept no connection (at its limit, or
/// the process has no file descriptors left), and the interval at which a
/// closing server counts its connections. Long compared with the time to accept a
/// connection, short compared with a deadline.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The phases of a process, up to its shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves requests.
    Serving,
    /// It still serves requests, but reports that it is not ready.
    Leaving,
    /// It accepts no new connections and closes idle ones.
    Closing,
}

/// Whose connections a server accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientKind {
    /// Those of callers, with several requests at a time on each.
    Callers,
    /// Those of nodes, targets and the platform, with one request at a time on each.
    Internal,
}

/// A server and the state of its connections.
#[derive(Clone)]
pub struct Server {
    /// Whose connections it accepts.
    pub client: ClientKind,
    /// Responds to requests.
    pub handler: Handler,
    /// The limits of callers' requests.
    pub limits: CurrentLimits,
    /// Is called for each refusal of a caller's bytes that are no acceptable request.
    pub on_refused: OnRefused,
    /// The phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// The most open connections. For a further one, the one that was of no use longest is closed; if
    /// all are in use, it waits.
    pub max_connections: usize,
    /// The open connections.
    pub connections: Arc<Connections>,
}

/// Returns a listener on `address`.
///
/// # Errors
///
/// If the address is in use or does not belong to this host.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, crate::transport::Error> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| crate::transport::Error::Listen { address, source })
}

impl Server {
    /// Serves until the phase is [`Phase::Closing`] and every connection has ended.
    ///
    /// # Errors
    ///
    /// If the listener can't be used on this thread.
    pub async fn run(self, listener: std::net::TcpListener) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::select! {
                        () = self.make_room() => self.spawn(stream),
                        _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        drop(listener);
        while self.connections.count() > 0 {
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
        Ok(())
    }

    /// Waits until there is room for a connection, for which idle ones are closed.
    async fn make_room(&self) {
        while self.connections.count() >= self.max_connections {
            self.connections.close_idlest();
            // Without an idle one, or if it takes long to close, another one may be by then.
            let ended = self.connections.until_ended();
            let _ = tokio::time::timeout(ACCEPT_PAUSE, ended).await;
        }
    }

    fn spawn(&self, stream: TcpStream) {
        let guard = self.connections.open();
        let server = self.clone();
        tokio::spawn(async move { server.serve_connection(stream, guard).await });
    }

    async fn serve_connection(&self, stream: TcpStream, guard: Guard) {
        if prepare(&stream).is_err() {
            // The other end closed the connection already.
            return;
        }
        if self.client == ClientKind::Callers {
            let front = Http1Server {
                handler: self.handler.clone(),
                limits: self.limits.clone(),
                on_refused: self.on_refused.clone(),
                phase: self.phase.clone(),
            };
            return front.serve(stream, &guard).await;
        }
        let io = Io::server(stream);
        let handler = self.handler.clone();
        let service = service_fn(|request: Request<Incoming>| {
            let running = guard.run();
            let response = handler(request.map(Body::incoming));
            async move {
                let response = response.await.map(|body| body.holding(running));
                Ok::<_, std::convert::Infallible>(response)
            }
        });
        let connection = Builder::new()
            .timer(TokioTimer::new())
            // hyper includes the time before the first byte, so this is the idle timeout.
            .header_read_timeout(INTERNAL_IDLE_TIMEOUT)
            .max_buf_size(MAX_INTERNAL_HEAD)
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.clone();
        // An error of the connection is ignored: its client notices it, and the
        // handler of a request under way has been dropped.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = guard.until_closed() => return,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}
