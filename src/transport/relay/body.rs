//! Bodies of requests and responses, buffered or streamed.

use std::{
    any::Any,
    error::Error,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::body::Incoming;
use tokio::{
    sync::{mpsc, oneshot},
    time::Sleep,
};

use crate::{
    coordination::memory::{Full, Hold},
    transport::relay::MAX_BUFFERED_BODY,
};

/// The error of a body that ends early. It also closes the connection, so that
/// a partial body is not mistaken for the whole.
pub type Fault = Box<dyn Error + Send + Sync>;

/// The body of a request or response.
pub struct Body {
    first: Option<Bytes>,
    rest: Option<Rest>,
    deadline: Option<Pin<Box<Sleep>>>,
    /// Nothing is sent before this signal.
    permission: Option<oneshot::Receiver<()>>,
    limit: Option<Limit>,
    /// Dropped with the body.
    guard: Option<Box<dyn Any + Send + Sync>>,
}

/// The limit on what is still to be received of a body.
struct Limit {
    /// Bytes that may still be received.
    left: u64,
    /// Set once the body exceeds the limit.
    is_exceeded: Arc<AtomicBool>,
}

/// The part of a body that is still to be received.
enum Rest {
    Incoming(Incoming),
    Channel(Channel),
    Other(BoxBody<Bytes, Fault>),
}

/// Pieces that the reader of a caller's connection sends. An empty piece is the
/// end; if the channel closes without one, the body was interrupted.
struct Channel {
    pieces: mpsc::Receiver<Bytes>,
    /// Bytes still to be received, if the length is known.
    left: Option<u64>,
    has_ended: bool,
}

/// The result of reading a body.
pub enum ReadResult {
    /// The whole body.
    Whole(Bytes),
    /// The start of a body that is not buffered whole, and the rest.
    Partial(Bytes, Body),
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// Nothing was received for too long.
    #[error("body stood still")]
    Stalled,
    /// The body ended early.
    #[error("body broke off")]
    Interrupted(#[source] Fault),
    /// There is no memory for more of it, or it was given up for one that advances.
    #[error("{0}")]
    NoMemory(#[from] Full),
}

impl Body {
    /// Returns a body of `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            deadline: None,
            permission: None,
            limit: None,
            guard: None,
        }
    }

    /// Returns the body of a message that hyper receives.
    pub fn incoming(incoming: Incoming) -> Self {
        Self {
            rest: Some(Rest::Incoming(incoming)).filter(|rest| !rest.is_end()),
            ..Self::whole("")
        }
    }

    /// Returns a body of another library.
    pub fn other<B>(body: B) -> Self
    where
        B: http_body::Body<Data = Bytes, Error: Into<Fault>> + Send + Sync + 'static,
    {
        let body = body.map_err(Into::into).boxed();
        Self {
            rest: Some(Rest::Other(body)).filter(|rest| !rest.is_end()),
            ..Self::whole("")
        }
    }

    /// Returns a body whose pieces come from a channel; an empty piece ends it.
    /// `length` is its length, if known.
    pub fn from_channel(pieces: mpsc::Receiver<Bytes>, length: Option<u64>) -> Self {
        let channel = Channel {
            pieces,
            left: length,
            has_ended: false,
        };
        Self {
            rest: Some(Rest::Channel(channel)),
            ..Self::whole("")
        }
    }

    /// Returns a body of `first` and `rest`; the rest must be received by `deadline`.
    pub fn streamed(first: Bytes, rest: Self, deadline: Instant) -> Self {
        Self {
            first: Some(first).filter(|first| !first.is_empty()),
            deadline: Some(Box::pin(tokio::time::sleep_until(deadline.into()))),
            ..rest
        }
    }

    /// Returns the length in bytes, if known.
    pub fn length(&self) -> Option<usize> {
        let exact = http_body::Body::size_hint(self).exact();
        exact.and_then(|length| usize::try_from(length).ok())
    }

    /// Returns the bytes of a body that is wholly buffered.
    pub fn buffered(&self) -> Option<&[u8]> {
        let bytes = self.first.as_deref().unwrap_or_default();
        self.is_whole().then_some(bytes)
    }

    /// Returns whether the body is wholly buffered.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns the body, which sends nothing before `permission`. If the sender of
    /// `permission` is dropped, the body fails and the connection closes.
    pub fn gated_by(self, permission: oneshot::Receiver<()>) -> Self {
        Self {
            permission: Some(permission),
            ..self
        }
    }

    /// Returns the body with a limit of `max` bytes, among them those that were received already.
    /// Beyond it the body fails and sets `is_exceeded`.
    ///
    /// Bytes count when they are received, so a start that is read and put back with
    /// [`streamed`](Self::streamed) counts once.
    pub fn limited(self, max: u64, is_exceeded: Arc<AtomicBool>) -> Self {
        let received = self.first.as_ref().map_or(0, |first| first.len() as u64);
        Self {
            limit: Some(Limit {
                left: max.saturating_sub(received),
                is_exceeded,
            }),
            ..self
        }
    }

    /// Returns the body, which drops `guard` when it is dropped itself, beside what it holds already.
    pub fn holding(mut self, guard: impl Any + Send + Sync) -> Self {
        let before = self.guard.take();
        Self {
            guard: Some(Box::new((before, guard))),
            ..self
        }
    }
}

impl Body {
    fn check_limit(&mut self, data: Bytes) -> Result<Frame<Bytes>, Fault> {
        if let Some(limit) = &mut self.limit {
            let Some(left) = limit.left.checked_sub(data.len() as u64) else {
                limit.is_exceeded.store(true, Ordering::Relaxed);
                return Err("the body is larger than the limit".into());
            };
            limit.left = left;
        }
        Ok(Frame::data(data))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(permission) = &mut self.permission {
            match Pin::new(permission).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) => self.permission = None,
                Poll::Ready(Err(_)) => {
                    return Poll::Ready(Some(
                        Err("the other node does not accept the body".into()),
                    ));
                }
            }
        }
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(cx).is_ready()
        {
            self.rest = None;
            return Poll::Ready(Some(Err(
                "the deadline passed before the end of the body".into()
            )));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let frame = std::task::ready!(rest.poll(cx));
        Poll::Ready(frame.map(|frame| match frame?.into_data() {
            Ok(data) => self.check_limit(data),
            Err(other) => Ok(other),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Rest::is_end)
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        match &self.rest {
            None => SizeHint::with_exact(first),
            Some(rest) => match rest.exact() {
                Some(exact) => SizeHint::with_exact(first + exact),
                None => SizeHint::default(),
            },
        }
    }
}

impl Rest {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self {
            Self::Incoming(incoming) => {
                let frame = Pin::new(incoming).poll_frame(cx);
                frame.map(|frame| frame.map(|frame| frame.map_err(Into::into)))
            }
            Self::Channel(channel) => channel.poll(cx),
            Self::Other(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end(&self) -> bool {
        match self {
            Self::Incoming(incoming) => incoming.is_end_stream(),
            Self::Channel(channel) => channel.has_ended,
            Self::Other(body) => body.is_end_stream(),
        }
    }

    fn exact(&self) -> Option<u64> {
        match self {
            Self::Incoming(incoming) => incoming.size_hint().exact(),
            Self::Channel(channel) => channel.left,
            Self::Other(body) => body.size_hint().exact(),
        }
    }
}

impl Channel {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(piece) if piece.is_empty() => {
                self.has_ended = true;
                None
            }
            Some(piece) => {
                let len = piece.len() as u64;
                self.left = self.left.map(|left| left.saturating_sub(len));
                Some(Ok(Frame::data(piece)))
            }
            None => Some(Err(
                "the caller closed the connection before the end of the body".into(),
            )),
        })
    }
}

/// Reads bodies into the memory of a [`Hold`].
#[derive(Clone, Copy)]
pub struct Reader<'a> {
    hold: &'a Hold,
    max: usize,
    idle: Duration,
    deadline: Option<Instant>,
    when_full: WhenFull,
}

/// What happens to a body for which there is no more memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WhenFull {
    /// It fails with [`ReadError::NoMemory`].
    Fail,
    /// What was received is returned, as if the body were larger than the maximum.
    Stream,
}

impl<'a> Reader<'a> {
    /// Returns a reader that holds bodies of up to `max` bytes whole. Each piece must be received
    /// within `idle`. A body for which there is no memory fails.
    pub fn new(hold: &'a Hold, max: usize, idle: Duration) -> Self {
        Self {
            hold,
            max,
            idle,
            deadline: None,
            when_full: WhenFull::Fail,
        }
    }

    /// Sets when the whole body must have been received: one that comes in small pieces could take
    /// for ever otherwise.
    pub fn until(self, deadline: Instant) -> Self {
        Self {
            deadline: Some(deadline),
            ..self
        }
    }

    /// Makes a body for which there is no memory be returned as one that is larger than the maximum.
    pub fn or_stream(self) -> Self {
        Self {
            when_full: WhenFull::Stream,
            ..self
        }
    }

    /// Reads a body until its end, or until more than the maximum is received.
    ///
    /// # Errors
    ///
    /// If nothing is received for too long, the deadline passes, the body ends early, or there is
    /// no memory for it.
    pub async fn read(&self, body: Body) -> Result<ReadResult, ReadError> {
        let reading = self.read_held(body);
        let Some(deadline) = self.deadline else {
            return reading.await;
        };
        let read = tokio::time::timeout_at(deadline.into(), reading).await;
        read.unwrap_or(Err(ReadError::Stalled))
    }

    async fn read_held(&self, body: Body) -> Result<ReadResult, ReadError> {
        tokio::select! {
            read = collect(body, self.max, self.idle, |bytes| self.hold.grow(bytes), self.when_full) => {
                self.hold.complete();
                read
            }
            () = self.hold.given_up() => Err(ReadError::NoMemory(Full)),
        }
    }
}

/// Returns a reader of the body of an answer, whose caller waits until `deadline`. The body is
/// streamed if there is no memory for it.
pub fn answer_reader(hold: &Hold, deadline: Instant) -> Reader<'_> {
    let idle = deadline.saturating_duration_since(Instant::now());
    Reader::new(hold, MAX_BUFFERED_BODY, idle)
        .until(deadline)
        .or_stream()
}

/// Reads a body of which few are read at a time, until its end or until more than `max` bytes are
/// received. Each piece must be received within `idle`.
///
/// # Errors
///
/// If nothing is received for `idle`, or the body ends early.
pub async fn read(body: Body, max: usize, idle: Duration) -> Result<ReadResult, ReadError> {
    collect(body, max, idle, |_| Ok(()), WhenFull::Fail).await
}

/// Reads a body until its end, until more than `max` bytes are received, or until `grow`, which is
/// told how many bytes more are to be stored, has no memory.
async fn collect(
    mut body: Body,
    max: usize,
    idle: Duration,
    grow: impl Fn(usize) -> Result<(), Full>,
    when_full: WhenFull,
) -> Result<ReadResult, ReadError> {
    if body.is_end_stream() {
        return Ok(ReadResult::Whole(Bytes::new()));
    }
    let mut pieces = Pieces::new(body.length());
    loop {
        let frame = tokio::time::timeout(idle, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ReadError::Stalled)? else {
            return Ok(ReadResult::Whole(pieces.join()));
        };
        let Ok(data) = frame.map_err(ReadError::Interrupted)?.into_data() else {
            continue;
        };
        let room = grow(pieces.growth(data.len()));
        let is_full = room.is_err();
        if when_full == WhenFull::Fail {
            room?;
        }
        pieces.add(data);
        if is_full || pieces.len() > max {
            return Ok(ReadResult::Partial(pieces.join(), body));
        }
    }
}

/// The smallest buffer for a body in pieces, in bytes.
const MIN_BUFFER: usize = 1 << 10;

/// The pieces of a body. A single piece that is the whole body isn't copied. Others are joined, since
/// a piece keeps the buffer of a whole read alive, however small it is.
struct Pieces {
    /// The length of the body, if known.
    length: Option<usize>,
    whole: Option<Bytes>,
    joined: Vec<u8>,
}

impl Pieces {
    fn new(length: Option<usize>) -> Self {
        Self {
            length,
            whole: None,
            joined: Vec::new(),
        }
    }

    fn len(&self) -> usize {
        self.whole.as_ref().map_or(0, Bytes::len) + self.joined.len()
    }

    fn is_whole(&self, len: usize) -> bool {
        self.length == Some(len) && self.joined.is_empty()
    }

    /// Returns the capacity with `len` bytes more. It doubles, up to the length of the body.
    fn capacity_with(&self, len: usize) -> usize {
        let needed = self.joined.len() + len;
        let current = self.joined.capacity();
        if needed <= current {
            return current;
        }
        let doubled = needed.max(current * 2).max(MIN_BUFFER);
        self.length
            .map_or(doubled, |length| doubled.min(length.max(needed)))
    }

    /// Returns how much memory more the pieces take with one of `len` bytes.
    fn growth(&self, len: usize) -> usize {
        match self.is_whole(len) {
            true => len,
            false => self.capacity_with(len) - self.joined.capacity(),
        }
    }

    fn add(&mut self, piece: Bytes) {
        if self.is_whole(piece.len()) {
            self.whole = Some(piece);
            return;
        }
        let capacity = self.capacity_with(piece.len());
        self.joined.reserve_exact(capacity - self.joined.len());
        self.joined.extend_from_slice(&piece);
    }

    fn join(self) -> Bytes {
        self.whole.unwrap_or_else(|| self.joined.into())
    }
}
