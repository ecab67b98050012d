//! Bodies of requests and answers: whole, or in pieces as they come.

use std::{
    any::Any,
    error::Error,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Sleep;

/// The error of a body that ends early. It ends the connection too, so that
/// nobody takes what came for the whole.
pub type Fault = Box<dyn Error + Send + Sync>;

/// A body.
pub struct Body {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    deadline: Option<Pin<Box<Sleep>>>,
    /// Kept until the body has ended.
    _held: Option<Box<dyn Any + Send + Sync>>,
}

/// What was read of a body.
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// Its start, and the rest.
    Start(Bytes, Incoming),
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It stood still for too long.
    #[error("body stood still")]
    Still,
    /// It broke off.
    #[error("body broke off")]
    Broken(#[source] hyper::Error),
}

impl Body {
    /// Returns a body that is all there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            deadline: None,
            _held: None,
        }
    }

    /// Returns a body whose start is there; the rest must come by `deadline`.
    pub fn streamed(first: Bytes, rest: Incoming, deadline: Instant) -> Self {
        Self {
            rest: Some(rest),
            deadline: Some(Box::pin(tokio::time::sleep_until(deadline.into()))),
            ..Self::whole(first)
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

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
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
        let frame = Pin::new(rest).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        let rest_ended = self.rest.as_ref().is_none_or(|rest| rest.is_end_stream());
        self.first.is_none() && rest_ended
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(first);
        };
        match rest.size_hint().exact() {
            Some(exact) => SizeHint::with_exact(first + exact),
            None => SizeHint::default(),
        }
    }
}

/// Reads a body up to `max` bytes, each piece within `idle`.
///
/// # Errors
///
/// If it stands still or breaks off.
pub async fn read(mut body: Incoming, max: usize, idle: Duration) -> Result<Read, ReadError> {
    use http_body::Body as _;
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
