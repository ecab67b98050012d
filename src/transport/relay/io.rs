//! A TCP stream for hyper that its owner can still inspect.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::protocol::response_head::Scanner;

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

/// The kind of the error of a read that the [`ResponseCheck`] rejects.
pub const NO_RESPONSE: io::ErrorKind = io::ErrorKind::InvalidData;

/// A TCP stream as hyper reads and writes it.
pub struct Io {
    stream: Arc<TcpStream>,
    check: ResponseCheck,
    side: Side,
}

/// Which end of a connection an [`Io`] is.
#[derive(Clone, Copy, Debug)]
enum Side {
    /// Sends responses.
    Server,
    /// Sends requests. The error of a write that failed is reported by the read that follows all
    /// bytes that came before: the other end may have answered before it closed the connection,
    /// and hyper reads nothing more after a write that failed. The system reports a reset once,
    /// so without that error a part of a response would seem to end orderly.
    Client { write_error: Option<io::ErrorKind> },
}

/// The check of what is read from a stream while a response is expected; none at first.
///
/// hyper repairs heads that differ from the grammar, and bounds the head of one response alone: it
/// reads any number of informational responses before that, which a faulty server may send
/// without end.
#[derive(Clone, Debug, Default)]
pub struct ResponseCheck(Arc<Mutex<Option<Expected>>>);

/// A response that is expected.
#[derive(Debug)]
struct Expected {
    /// The bytes that may still be read.
    left: usize,
    head: Scanner,
}

impl ResponseCheck {
    /// Expects a response whose head has ended within `max` bytes. Otherwise, or if the head is
    /// not valid, reads fail.
    pub fn expect_within(&self, max: usize) {
        let head = Scanner::default();
        *self.0.lock() = Some(Expected { left: max, head });
    }

    /// Ends the check.
    pub fn end(&self) {
        *self.0.lock() = None;
    }

    /// Checks bytes that were read.
    fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let mut expected = self.0.lock();
        let Some(response) = &mut *expected else {
            return Ok(());
        };
        let left = response.left.checked_sub(bytes.len());
        response.left = left.ok_or(NO_RESPONSE)?;
        let has_ended = response.head.scan(bytes);
        if has_ended.map_err(|error| io::Error::new(NO_RESPONSE, error))? {
            *expected = None;
        }
        Ok(())
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
    /// Returns `stream` for a server of hyper.
    pub fn server(stream: TcpStream) -> Self {
        Self::new(Arc::new(stream), Side::Server)
    }

    /// Returns `stream` for a client of hyper, and a handle to inspect it.
    pub fn client(stream: TcpStream) -> (Self, Arc<TcpStream>) {
        let stream = Arc::new(stream);
        let side = Side::Client { write_error: None };
        (Self::new(stream.clone(), side), stream)
    }

    fn new(stream: Arc<TcpStream>, side: Side) -> Self {
        Self {
            stream,
            check: ResponseCheck::default(),
            side,
        }
    }

    /// Returns the check of what is read from this stream.
    pub fn check(&self) -> ResponseCheck {
        self.check.clone()
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
                Ok(0)
                    if let Side::Client {
                        write_error: Some(error),
                    } = self.side =>
                {
                    return Poll::Ready(Err(error.into()));
                }
                Ok(count) => {
                    self.check.check(&bytes[..count])?;
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if let Side::Client { write_error } = &mut self.side => {
                    write_error.get_or_insert(error.kind());
                    return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
                }
                result => return Poll::Ready(result),
            }
        }
    }
}
