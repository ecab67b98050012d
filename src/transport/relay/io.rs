//! A TCP stream for hyper that its owner can still inspect.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The most bytes taken by one read. Ordinary requests and responses have 0.4 to
/// 9 KB; uploads take several reads.
const READ_SIZE: usize = 16 << 10;

/// How long sent bytes may stay unacknowledged before the connection is closed:
/// hundreds of round trips within a region, but less than the deadlines of
/// requests, which are 1.5 s or more.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a connection may be idle before the first TCP keepalive probe, and
/// the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// The kind of the error of a read beyond the [`ReadBudget`].
pub const TOO_MANY_BYTES: io::ErrorKind = io::ErrorKind::InvalidData;

/// A TCP stream as hyper reads and writes it.
pub struct Io {
    stream: Arc<TcpStream>,
    budget: ReadBudget,
}

/// How many bytes may still be read from a stream; without a limit at first.
///
/// hyper bounds the head of one response. It reads any number of informational responses before
/// that, which a faulty server may send without end.
#[derive(Clone, Debug)]
pub struct ReadBudget(Arc<AtomicU64>);

impl Default for ReadBudget {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }
}

impl ReadBudget {
    /// Allows `bytes` from now on; beyond it, reads fail.
    pub fn limit(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub fn lift(&self) {
        self.limit(u64::MAX);
    }

    /// Takes `count` bytes from the budget; returns whether it has as many.
    fn take(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return true;
        }
        self.0
            .store(left.saturating_sub(count as u64), Ordering::Relaxed);
        left >= count as u64
    }
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idle {
    /// No unread bytes: it can be reused.
    Clean,
    /// Unread bytes that belong to no request.
    Bytes,
    /// Closed by the other end, or failed.
    Ended,
}

impl Io {
    /// Returns `stream` for hyper, and a handle to inspect it.
    pub fn new(stream: TcpStream) -> (Self, Arc<TcpStream>) {
        let stream = Arc::new(stream);
        let handle = stream.clone();
        let budget = ReadBudget::default();
        (Self { stream, budget }, handle)
    }

    /// Returns the budget of reads from this stream.
    pub fn budget(&self) -> ReadBudget {
        self.budget.clone()
    }
}

/// Sets the options of every connection: small writes are sent without delay,
/// and the connection ends once the other host no longer responds.
///
/// # Errors
///
/// If the system rejects an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Returns the state of an idle connection without reading from it.
pub fn look(stream: &TcpStream) -> Idle {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => Idle::Ended,
        Ok(_) => Idle::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Idle::Clean,
        Err(_) => Idle::Ended,
    }
}

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_SIZE];
        let len = buf.remaining().min(READ_SIZE);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut bytes[..len]) {
                Ok(count) if !self.budget.take(count) => {
                    return Poll::Ready(Err(TOO_MANY_BYTES.into()));
                }
                Ok(count) => {
                    buf.put_slice(&bytes[..count]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
