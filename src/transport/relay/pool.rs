//! Connections to other nodes, to the target and to the store, kept for reuse.
//!
//! What matters here is the one question that an ordinary client leaves open:
//! whether any byte of a request went out. A request that certainly did not
//! leave may be sent anywhere else; of any other it isn't known whether it ran.

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

use crate::transport::relay::{
    body::Body,
    io::{self, Idle, Io},
};

/// How long the system takes to close all that a process had open, with a margin: short
/// against the wait of a request that broke off.
const ENDING: Duration = Duration::from_millis(5);

/// Connections to some addresses.
pub struct Pool {
    settings: Settings,
    idle: Mutex<Unused>,
}

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a connection may take to come about.
    pub connect: Duration,
    /// How long an unused connection is kept.
    pub keep: Duration,
    /// Unused connections kept for each address.
    pub kept: usize,
    /// Unused connections kept in all; the one that was unused for longest makes room.
    pub total: usize,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent: no connection came about.
    #[error("cannot connect")]
    NotSent(#[source] std::io::Error),
    /// The connection broke after something may have been sent.
    #[error("connection broke")]
    Broken(#[source] hyper::Error),
    /// The other end gave no leave for the body, of which nothing was sent.
    #[error("no leave in time")]
    Untaken,
    /// The deadline passed after something may have been sent.
    #[error("no answer in time")]
    TimedOut,
}

impl Failure {
    /// Returns whether the other host said nothing at all, not even that it takes no
    /// connection.
    pub fn is_silence(&self) -> bool {
        match self {
            Self::NotSent(error) => error.kind() == std::io::ErrorKind::TimedOut,
            Self::Broken(error) => {
                let source = std::error::Error::source(error);
                let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
                source.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
            }
            Self::TimedOut | Self::Untaken => true,
        }
    }
}

/// An answer's head, and the connection it comes from.
pub struct Exchange {
    /// The head, with the body to come.
    pub response: Response<Body>,
    /// The connection.
    pub connection: Connection,
}

/// A connection in use. Dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Body>,
    stream: Arc<TcpStream>,
    /// Until when its other end said it keeps it, unused.
    keep: Duration,
}

struct Kept {
    connection: Connection,
    since: Instant,
}

/// The unused connections, those of an address from the oldest on.
#[derive(Default)]
struct Unused {
    addresses: HashMap<SocketAddr, Vec<Kept>>,
    count: usize,
}

impl Unused {
    fn put(&mut self, kept: Kept) {
        let address = kept.connection.address;
        self.addresses.entry(address).or_default().push(kept);
        self.count += 1;
    }

    fn take(&mut self, address: SocketAddr) -> Option<Kept> {
        let held = self.addresses.get_mut(&address)?;
        let kept = held.pop();
        if held.is_empty() {
            self.addresses.remove(&address);
        }
        self.count -= usize::from(kept.is_some());
        kept
    }

    fn count_of(&self, address: SocketAddr) -> usize {
        self.addresses.get(&address).map_or(0, Vec::len)
    }

    /// Closes the one that was unused for longest.
    fn close_oldest(&mut self) {
        let since = |held: &Vec<Kept>| held.first().map(|kept| kept.since);
        let oldest = self.addresses.iter().min_by_key(|(_, held)| since(held));
        let Some(address) = oldest.map(|(address, _)| *address) else {
            return;
        };
        if let Some(held) = self.addresses.get_mut(&address) {
            held.remove(0);
            self.count -= 1;
            if held.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }

    fn forget(&mut self, address: SocketAddr) {
        let forgotten = self.addresses.remove(&address);
        self.count -= forgotten.map_or(0, |held| held.len());
    }
}

impl Pool {
    /// Returns a pool with no connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to `address` and returns the head of its answer.
    ///
    /// A kept connection that turns out closed before anything was written is
    /// replaced by another one, unseen by the caller.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and whether anything may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        loop {
            let (mut connection, is_fresh) = match self.take(address) {
                Some(kept) => (kept, false),
                None => (self.connect(address, deadline).await?, true),
            };
            let sent = connection.sender.try_send_request(request);
            match tokio::time::timeout_at(deadline.into(), sent).await {
                Err(_) => return Err(Failure::TimedOut),
                Ok(Ok(response)) => {
                    connection.note_keep(&response);
                    return Ok(Exchange {
                        response: response.map(Body::incoming),
                        connection,
                    });
                }
                Ok(Err(mut error)) => match error.take_message() {
                    Some(unsent) if !is_fresh => request = unsent,
                    Some(_) => {
                        let closed = std::io::ErrorKind::ConnectionReset.into();
                        return Err(Failure::NotSent(closed));
                    }
                    None => return Err(Failure::Broken(error.into_error())),
                },
            }
        }
    }

    /// Returns whether nothing listens at `address` any more. Else the connection that was
    /// made to find out is kept for the next request.
    ///
    /// A process that ends loses its connections and its listener one after the other, so
    /// one that still accepts is asked again if it closes the connection at once. Only a
    /// refusal tells: targets that are full accept and close, too.
    pub async fn is_closed(&self, address: SocketAddr, deadline: Instant) -> bool {
        let mut made = self.connect(address, deadline).await;
        if let Ok(connection) = made {
            tokio::time::sleep(ENDING).await;
            if io::look(&connection.stream) == Idle::Clean {
                self.put_back(connection);
                return false;
            }
            made = self.connect(address, deadline).await;
        }
        match made {
            Err(Failure::NotSent(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            Ok(_) | Err(_) => false,
        }
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.keep.is_zero() {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.count_of(connection.address) >= self.settings.kept {
            return;
        }
        if idle.count >= self.settings.total {
            idle.close_oldest();
        }
        idle.put(Kept {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes what was unused for too long, or has ended.
    pub fn tidy(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.addresses.retain(|_, kept| {
            kept.retain(|kept| kept.is_usable(self.settings.keep, now));
            !kept.is_empty()
        });
        idle.count = idle.addresses.values().map(Vec::len).sum();
    }

    /// Returns how many connections are unused.
    pub fn unused(&self) -> usize {
        self.idle.lock().count
    }

    /// Closes all unused connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().forget(address);
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        while let Some(candidate) = idle.take(address) {
            if candidate.is_usable(self.settings.keep, now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Connection, Failure> {
        let until = deadline.min(Instant::now() + self.settings.connect);
        let stream = tokio::time::timeout_at(until.into(), TcpStream::connect(address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(Failure::NotSent)?;
        io::prepare(&stream).map_err(Failure::NotSent)?;
        let (io, stream) = Io::new(stream);
        let made = http1::handshake::<_, Body>(io).await;
        let (sender, driver) =
            made.map_err(|error| Failure::NotSent(std::io::Error::other(error)))?;
        // How a connection ends, its sender is told as well.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection {
            address,
            sender,
            stream,
            keep: self.settings.keep,
        })
    }
}

impl Kept {
    fn is_usable(&self, keep: Duration, now: Instant) -> bool {
        let keep = keep.min(self.connection.keep);
        let is_young = now.saturating_duration_since(self.since) < keep;
        let sender = &self.connection.sender;
        // A connection that holds bytes already would give them to the next
        // request as its answer.
        is_young && sender.is_ready() && io::look(&self.connection.stream) == Idle::Clean
    }
}

impl Connection {
    /// Takes the time from a `Keep-Alive: timeout=N` of the answer, less a
    /// fifth: its other end counts from an earlier moment.
    fn note_keep(&mut self, response: &Response<Incoming>) {
        let header = response.headers().get("keep-alive");
        let seconds = header
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|p| p.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.trim().parse().ok());
        if let Some(seconds) = seconds {
            self.keep = Duration::from_secs(seconds) * 4 / 5;
        }
    }
}
