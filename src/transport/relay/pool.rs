//! A pool of connections to other nodes, to the target and to the store.
//!
//! Unlike an ordinary client, it reports whether any byte of a failed request
//! may have been sent. If none was, the request can be sent elsewhere;
//! otherwise it isn't known whether it ran.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::{
    protocol::framing,
    transport::relay::{
        body::Body,
        io::{self, Idle, Io, NO_RESPONSE, ResponseCheck},
    },
};

/// How long the system takes to close all sockets of a process that ended, with a margin.
/// Short compared with the wait of a request whose connection broke.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(5);

/// The most bytes that are read before the head of a response is complete: that head, and
/// informational responses before it. hyper takes heads of 400 KiB.
const MAX_BYTES_BEFORE_RESPONSE: usize = 512 << 10;

/// A pool of connections, by address.
pub struct Pool {
    settings: Settings,
    idle: Mutex<IdleConnections>,
}

/// The timeouts and limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The most idle connections to each address.
    pub max_idle_per_address: usize,
    /// The most idle connections in all; beyond it, the one that was idle longest is closed.
    pub max_idle: usize,
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent: no connection was established.
    #[error("cannot connect")]
    NotSent(#[source] std::io::Error),
    /// The connection broke after something may have been sent.
    #[error("connection broke")]
    Broken(#[source] hyper::Error),
    /// The other end did not send `100 Continue` in time; nothing of the body was sent.
    #[error("no 100 Continue in time")]
    NotAccepted,
    /// The other end sent a response whose head doesn't tell where its body ends.
    #[error("no valid response")]
    Invalid(#[source] framing::Error),
    /// The deadline passed after something may have been sent.
    #[error("no answer in time")]
    TimedOut,
}

impl Failure {
    /// Returns whether the other host did not respond at all, not even by refusing the
    /// connection.
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::NotSent(error) => error.kind() == std::io::ErrorKind::TimedOut,
            Self::Broken(error) => {
                let source = std::error::Error::source(error);
                let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
                source.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
            }
            Self::TimedOut | Self::NotAccepted => true,
            Self::Invalid(_) => false,
        }
    }

    /// Returns whether this side ended the exchange, so that the other end may still be working on
    /// the request: the deadline passed, or the body of the request ended with an error.
    pub fn is_cancellation(&self) -> bool {
        match self {
            Self::TimedOut => true,
            Self::Broken(error) => error.is_user(),
            Self::NotSent(_) | Self::NotAccepted | Self::Invalid(_) => false,
        }
    }

    /// Returns whether the other end sent bytes that are no response, or too many before one.
    pub fn is_no_response(&self) -> bool {
        let error = match self {
            Self::Invalid(_) => return true,
            Self::Broken(error) => error,
            Self::NotSent(_) | Self::NotAccepted | Self::TimedOut => return false,
        };
        let source = std::error::Error::source(error);
        let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
        error.is_parse() || source.is_some_and(|error| error.kind() == NO_RESPONSE)
    }
}

/// A response whose body is not yet read, and its connection.
pub struct Exchange {
    /// The response.
    pub response: Response<Body>,
    /// The connection that the response comes from.
    pub connection: Connection,
}

impl Exchange {
    /// Returns the response; once its body is dropped, the connection goes back to `pool`, which
    /// reuses it if the body was read to its end.
    pub fn into_response(self, pool: &Arc<Pool>) -> Response<Body> {
        let Self {
            response,
            connection,
        } = self;
        let borrowed = Borrowed {
            pool: pool.clone(),
            connection: Some(connection),
        };
        response.map(|body| body.holding(borrowed))
    }
}

/// A connection that goes back to its pool when it is dropped.
struct Borrowed {
    pool: Arc<Pool>,
    connection: Option<Connection>,
}

impl Drop for Borrowed {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}

/// A connection in use. Dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Body>,
    stream: Arc<TcpStream>,
    check: ResponseCheck,
    /// How long it may be idle: the pool's setting, or four fifths of the `timeout` that
    /// the other end announced.
    idle_timeout: Duration,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The idle connections, ordered from the oldest on for each address.
#[derive(Default)]
struct IdleConnections {
    addresses: HashMap<SocketAddr, Vec<IdleConnection>>,
    count: usize,
}

impl IdleConnections {
    fn put(&mut self, idle: IdleConnection) {
        let address = idle.connection.address;
        self.addresses.entry(address).or_default().push(idle);
        self.count += 1;
    }

    fn take(&mut self, address: SocketAddr) -> Option<IdleConnection> {
        let connections = self.addresses.get_mut(&address)?;
        let newest = connections.pop();
        if connections.is_empty() {
            self.addresses.remove(&address);
        }
        self.count -= usize::from(newest.is_some());
        newest
    }

    fn count_of(&self, address: SocketAddr) -> usize {
        self.addresses.get(&address).map_or(0, Vec::len)
    }

    /// Closes the connection that was idle longest.
    fn close_oldest(&mut self) {
        let since = |list: &Vec<IdleConnection>| list.first().map(|idle| idle.since);
        let oldest = self.addresses.iter().min_by_key(|(_, list)| since(list));
        let Some(address) = oldest.map(|(address, _)| *address) else {
            return;
        };
        if let Some(list) = self.addresses.get_mut(&address) {
            list.remove(0);
            self.count -= 1;
            if list.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    fn close_all(&mut self, address: SocketAddr) {
        let closed = self.addresses.remove(&address);
        self.count -= closed.map_or(0, |list| list.len());
    }
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to `address` and returns the response with its body
    /// still to read.
    ///
    /// If an idle connection turns out to be closed before anything was written,
    /// the request is sent over another one.
    ///
    /// # Errors
    ///
    /// Returns why there is no response and whether anything may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Exchange, Failure> {
        let method = request.method().clone();
        let mut request = request;
        loop {
            let (mut connection, is_new) = match self.take(address) {
                Some(idle) => (idle, false),
                None => (self.connect(address, deadline).await?, true),
            };
            connection.check.expect_within(MAX_BYTES_BEFORE_RESPONSE);
            let sent = connection.sender.try_send_request(request);
            match tokio::time::timeout_at(deadline.into(), sent).await {
                Err(_) => return Err(Failure::TimedOut),
                Ok(Ok(response)) => {
                    connection.check.end();
                    let (status, version) = (response.status(), response.version());
                    framing::check_response(&method, status, version, response.headers())
                        .map_err(Failure::Invalid)?;
                    connection.set_idle_timeout(&response);
                    return Ok(Exchange {
                        response: response.map(Body::incoming),
                        connection,
                    });
                }
                Ok(Err(mut error)) => match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        let closed = std::io::ErrorKind::ConnectionReset.into();
                        return Err(Failure::NotSent(closed));
                    }
                    None => return Err(Failure::Broken(error.into_error())),
                },
            }
        }
    }

    /// Returns whether nothing listens at `address` any more. Otherwise the connection that
    /// was made for the check is kept for the next request.
    ///
    /// The system closes the connections and the listener of a process that ended one after
    /// the other. So if a connection is accepted and closed at once, a second one is tried.
    /// Only a refused connection counts, since targets at their limit also accept and close.
    pub async fn is_refused(&self, address: SocketAddr, deadline: Instant) -> bool {
        let mut connected = self.connect(address, deadline).await;
        if let Ok(connection) = connected {
            tokio::time::sleep(SOCKET_CLOSE_TIME).await;
            if io::look(&connection.stream) == Idle::Clean {
                self.put_back(connection);
                return false;
            }
            connected = self.connect(address, deadline).await;
        }
        match connected {
            Err(Failure::NotSent(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            Ok(_) | Err(_) => false,
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.idle_timeout.is_zero() {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.count_of(connection.address) >= self.settings.max_idle_per_address {
            return;
        }
        if idle.count >= self.settings.max_idle {
            idle.close_oldest();
        }
        idle.put(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes the idle connections that expired or that the other end closed.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.addresses.retain(|_, list| {
            list.retain(|idle| idle.is_usable(self.settings.idle_timeout, now));
            !list.is_empty()
        });
        idle.count = idle.addresses.values().map(Vec::len).sum();
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().count
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().close_all(address);
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        while let Some(candidate) = idle.take(address) {
            if candidate.is_usable(self.settings.idle_timeout, now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Connection, Failure> {
        let until = deadline.min(Instant::now() + self.settings.connect_timeout);
        let stream = tokio::time::timeout_at(until.into(), TcpStream::connect(address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(Failure::NotSent)?;
        io::prepare(&stream).map_err(Failure::NotSent)?;
        let (io, stream) = Io::client(stream);
        let check = io.check();
        let connected = http1::handshake::<_, Body>(io).await;
        let (sender, driver) =
            connected.map_err(|error| Failure::NotSent(std::io::Error::other(error)))?;
        // The result is dropped: the sender reports how the connection ends.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection {
            address,
            sender,
            stream,
            check,
            idle_timeout: self.settings.idle_timeout,
        })
    }
}

impl IdleConnection {
    fn is_usable(&self, idle_timeout: Duration, now: Instant) -> bool {
        let idle_timeout = idle_timeout.min(self.connection.idle_timeout);
        let is_recent = now.saturating_duration_since(self.since) < idle_timeout;
        let sender = &self.connection.sender;
        // Unread bytes would be taken for the response to the next request.
        is_recent && sender.is_ready() && io::look(&self.connection.stream) == Idle::Clean
    }
}

impl Connection {
    /// Sets the idle timeout from `Keep-Alive: timeout=N` of the response, less a
    /// fifth since the other end starts counting earlier.
    fn set_idle_timeout(&mut self, response: &Response<Incoming>) {
        let header = response.headers().get("keep-alive");
        let seconds = header
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.trim().parse().ok());
        if let Some(seconds) = seconds {
            self.idle_timeout = Duration::from_secs(seconds) * 4 / 5;
        }
    }
}
