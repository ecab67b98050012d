//! Bodies of requests and answers: whole, or in pieces as they come.

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

use bytes::{Bytes, BytesMut};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::{mpsc, oneshot},
    time::Sleep,
};

/// The error of a body that ends early. It ends the connection too, so that
/// nobody takes what came for the whole.
pub type Fault = Box<dyn Error + Send + Sync>;

/// A body.
pub struct Body {
    first: Option<Bytes>,
    rest: Option<Rest>,
    deadline: Option<Pin<Box<Sleep>>>,
    /// Nothing is given before this has come.
    leave: Option<oneshot::Receiver<()>>,
    limit: Option<Limit>,
    /// Kept until the body has ended.
    _held: Option<Box<dyn Any + Send + Sync>>,
}

/// How much more may come of a body.
struct Limit {
    left: u64,
    /// Set once more than that came.
    passed: Arc<AtomicBool>,
}

/// What is still to come of a body.
enum Rest {
    Incoming(Incoming),
    Fed(Feed),
}

/// Pieces that a caller's connection feeds in. An empty one is the end; without
/// it the body broke off.
struct Feed {
    pieces: mpsc::Receiver<Bytes>,
    /// Bytes that are missing, if the length was told.
    left: Option<u64>,
    ended: bool,
}

/// What was read of a body.
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// Its start, and the rest.
    Start(Bytes, Body),
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It stood still for too long.
    #[error("body stood still")]
    Still,
    /// It broke off.
    #[error("body broke off")]
    Broken(#[source] Fault),
}

impl Body {
    /// Returns a body that is all there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            deadline: None,
            leave: None,
            limit: None,
            _held: None,
        }
    }

    /// Returns the body of a message that hyper reads.
    pub fn incoming(incoming: Incoming) -> Self {
        Self {
            rest: Some(Rest::Incoming(incoming)).filter(|rest| !rest.is_end()),
            ..Self::whole("")
        }
    }

    /// Returns a body of `length`, if it is told, whose pieces come through a
    /// channel; an empty piece ends it.
    pub fn fed(pieces: mpsc::Receiver<Bytes>, length: Option<u64>) -> Self {
        let feed = Feed {
            pieces,
            left: length,
            ended: false,
        };
        Self {
            rest: Some(Rest::Fed(feed)),
            ..Self::whole("")
        }
    }

    /// Returns a body whose start is there; the `rest` must come by `deadline`.
    pub fn streamed(first: Bytes, rest: Self, deadline: Instant) -> Self {
        Self {
            first: Some(first).filter(|first| !first.is_empty()),
            deadline: Some(Box::pin(tokio::time::sleep_until(deadline.into()))),
            ..rest
        }
    }

    /// Returns how many bytes there are in all, if that is known.
    pub fn length(&self) -> Option<usize> {
        let exact = http_body::Body::size_hint(self).exact();
        exact.and_then(|length| usize::try_from(length).ok())
    }

    /// Returns the bytes of a body that is all there.
    pub fn known(&self) -> Option<&[u8]> {
        let bytes = self.first.as_deref().unwrap_or_default();
        self.is_whole().then_some(bytes)
    }

    /// Returns whether nothing of it is still to come.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Gives nothing until `leave` has come. Without it nobody takes the body, and
    /// the connection ends.
    pub fn after(self, leave: oneshot::Receiver<()>) -> Self {
        Self {
            leave: Some(leave),
            ..self
        }
    }

    /// Breaks off and sets `passed` once more than `most` bytes come.
    pub fn limited(self, most: u64, passed: Arc<AtomicBool>) -> Self {
        Self {
            limit: Some(Limit { left: most, passed }),
            ..self
        }
    }

    /// Keeps `held` until the body has ended.
    pub fn holding(self, held: impl Any + Send + Sync) -> Self {
        Self {
            _held: Some(Box::new(held)),
            ..self
        }
    }
}

impl Body {
    fn count(&mut self, data: Bytes) -> Result<Frame<Bytes>, Fault> {
        if let Some(limit) = &mut self.limit {
            let Some(left) = limit.left.checked_sub(data.len() as u64) else {
                limit.passed.store(true, Ordering::Relaxed);
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
        if let Some(leave) = &mut self.leave {
            match Pin::new(leave).poll(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) => self.leave = None,
                Poll::Ready(Err(_)) => {
                    return Poll::Ready(Some(Err("the other node takes no body".into())));
                }
            }
        }
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(self.count(first)));
        }
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(cx).is_ready()
        {
            self.rest = None;
            return Poll::Ready(Some(Err("the deadline passed amid the body".into())));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let frame = std::task::ready!(rest.poll(cx));
        Poll::Ready(frame.map(|frame| match frame?.into_data() {
            Ok(data) => self.count(data),
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
            Self::Fed(feed) => feed.poll(cx),
        }
    }

    fn is_end(&self) -> bool {
        match self {
            Self::Incoming(incoming) => incoming.is_end_stream(),
            Self::Fed(feed) => feed.ended,
        }
    }

    fn exact(&self) -> Option<u64> {
        match self {
            Self::Incoming(incoming) => incoming.size_hint().exact(),
            Self::Fed(feed) => feed.left,
        }
    }
}

impl Feed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(piece) if piece.is_empty() => {
                self.ended = true;
                None
            }
            Some(piece) => {
                let len = piece.len() as u64;
                self.left = self.left.map(|left| left.saturating_sub(len));
                Some(Ok(Frame::data(piece)))
            }
            None => Some(Err("the caller left amid the body".into())),
        })
    }
}

/// Reads a body up to `max` bytes, each piece within `idle`.
///
/// # Errors
///
/// If it stands still or breaks off.
pub async fn read(mut body: Body, max: usize, idle: Duration) -> Result<Read, ReadError> {
    if body.is_end_stream() {
        return Ok(Read::Whole(Bytes::new()));
    }
    let mut pieces = Pieces::default();
    loop {
        let frame = tokio::time::timeout(idle, body.frame()).await;
        match frame.map_err(|_| ReadError::Still)? {
            None => return Ok(Read::Whole(pieces.join())),
            Some(frame) => {
                let frame = frame.map_err(ReadError::Broken)?;
                if let Ok(data) = frame.into_data() {
                    pieces.add(data);
                }
            }
        }
        if pieces.len > max {
            return Ok(Read::Start(pieces.join(), body));
        }
    }
}

/// Pieces of a body; a single one is never copied.
#[derive(Default)]
struct Pieces {
    pieces: Vec<Bytes>,
    len: usize,
}

impl Pieces {
    fn add(&mut self, piece: Bytes) {
        self.len += piece.len();
        self.pieces.push(piece);
    }

    fn join(&mut self) -> Bytes {
        if self.pieces.len() <= 1 {
            return self.pieces.pop().unwrap_or_default();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        self.pieces
            .drain(..)
            .for_each(|piece| whole.extend_from_slice(&piece));
        whole.freeze()
    }
}
