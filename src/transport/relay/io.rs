//! A TCP stream that hyper drives and its owner can still look at.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Bytes read at a time. Requests and answers of both meshes are 0.4 to 9 KB;
/// uploads take several reads.
const READ: usize = 16 << 10;

/// How long sent bytes may stay unacknowledged before the connection is given
/// up: hundreds of round trips within a region, and short against deadlines of
/// 1.5 s and more.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);

/// How long a connection may be silent before the other host is asked whether it
/// is still there.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered questions after which it is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// One end of a connection.
pub struct Io {
    stream: Arc<TcpStream>,
}

/// What an unused connection holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idle {
    /// Nothing: it can be used.
    Clean,
    /// Bytes that belong to no request.
    Bytes,
    /// Its end, or an error.
    Ended,
}

impl Io {
    /// Returns an end of `stream`, with a handle to look at it.
    pub fn new(stream: TcpStream) -> (Self, Arc<TcpStream>) {
        let stream = Arc::new(stream);
        let held = stream.clone();
        (Self { stream }, held)
    }
}

/// Sets what every connection of ours has: no delay of small writes, and an end
/// once the other host is gone without a word.
///
/// # Errors
///
/// Those of the system.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Looks at an unused connection without taking anything from it.
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
        let mut bytes = [0; READ];
        let room = buf.remaining().min(READ);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut bytes[..room]) {
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
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(pieces) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }
}
