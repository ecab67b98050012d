//! Connections of callers, with several requests under way on each.
//!
//! Callers send further requests before the first is answered. hyper takes them
//! one after the other, so the second waits for the first one's target although
//! its own is free; here they run beside each other and only the answers keep
//! the order (docs/DESIGN.md has the figures). A request with a body has its
//! connection for itself.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesOrdered};
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, Version};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
};

use crate::{
    state::routing::Limits,
    transport::relay::{
        body::Body,
        codec::{self, Decoder, Ending, Framing, Head, Piece},
        plain,
        serve::{Handler, LimitsNow, Phase},
    },
};

/// Requests under way on one connection; more wait in its buffer.
const AT_ONCE: usize = 16;

/// Bytes read ahead of what is under way. Beyond it the caller is made to wait.
const AHEAD: usize = 64 << 10;

/// Bytes read at a time: several heads, or a tenth of an upload.
const READ: usize = 4 << 10;

/// Pieces of a body that wait to be taken on.
const PIECES: usize = 4;

/// How long bytes that come after a last answer are still taken: closing a
/// connection with unread bytes resets it, and the answer would be lost.
const LINGER: Duration = Duration::from_millis(500);

/// How long a caller may leave an answer unread.
const UNREAD: Duration = Duration::from_secs(10);

/// What a connection needs of its server.
#[derive(Clone)]
pub struct Front {
    /// Answers requests.
    pub handler: Handler,
    /// The limits.
    pub limits: LimitsNow,
    /// How far the process has come with its end.
    pub phase: watch::Receiver<Phase>,
}

/// An answer, with what its writing depends on.
struct Answer {
    response: Response<Body>,
    method: Method,
    version: Version,
    keeps: bool,
}

type Answers = FuturesOrdered<BoxFuture<'static, Answer>>;

/// A body that is being read.
struct Feeding {
    decoder: Decoder,
    /// Nothing once nobody reads on; what comes is then passed over.
    pieces: Option<mpsc::Sender<Bytes>>,
    next: Option<Bytes>,
}

/// What a connection waits for, and what it has.
struct Connection {
    front: Front,
    bytes: BytesMut,
    answers: Answers,
    /// The head of a request with a body, until all before it are answered.
    held: Option<Head>,
    feeding: Option<Feeding>,
    /// The request under way has a body: nothing else is taken up beside it.
    exclusive: bool,
    /// No further request is taken.
    closing: bool,
    /// When the head that is being read began, or the connection fell idle.
    since: Instant,
}

/// Why a connection ends before its time.
enum End {
    /// The caller left, or the connection broke.
    Gone,
    /// All is done.
    Done,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        Self::Gone
    }
}

impl Front {
    /// Serves a connection to its end.
    pub async fn serve(&self, stream: TcpStream) {
        let (mut reader, mut writer) = stream.into_split();
        let mut connection = Connection {
            front: self.clone(),
            bytes: BytesMut::new(),
            answers: Answers::new(),
            held: None,
            feeding: None,
            exclusive: false,
            closing: false,
            since: Instant::now(),
        };
        // Whatever is under way when the caller leaves ends with `connection`.
        if let Err(End::Done) = connection.run(&mut reader, &mut writer).await {
            linger(&mut reader, &mut writer).await;
        }
    }
}

impl Connection {
    async fn run(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
    ) -> Result<(), End> {
        let mut phase = self.front.phase.clone();
        loop {
            self.take_requests(writer).await?;
            self.cut_piece();
            if self.bytes.is_empty() {
                self.bytes = BytesMut::new();
            }
            if self.closing && self.answers.is_empty() {
                return Err(End::Done);
            }
            let limits = (self.front.limits)();
            let (deadline, is_idle) = self.deadline(&limits);
            let has_answers = !self.answers.is_empty();
            let most = AHEAD.max(limits.head.as_bytes() as usize);
            let has_room = self.bytes.len() < most && !self.has_piece();
            let was_empty = self.bytes.is_empty();
            let is_closing = self.closing;
            tokio::select! {
                Some(answer) = self.answers.next(), if has_answers => {
                    self.write(writer, answer).await?;
                }
                () = feed(&mut self.feeding), if self.feeding.as_ref().is_some_and(|f| f.next.is_some()) => {}
                read = read(reader, &mut self.bytes), if has_room => {
                    if read? == 0 {
                        return Err(End::Gone);
                    }
                    if was_empty {
                        self.since = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(deadline.into()), if !has_answers => {
                    if !is_idle {
                        self.refuse(StatusCode::REQUEST_TIMEOUT);
                        continue;
                    }
                    return Err(End::Done);
                }
                () = until_closing(&mut phase), if !is_closing => {
                    self.closing = true;
                }
            }
        }
    }

    /// Starts the requests that are all there, as far as they may run beside
    /// each other.
    async fn take_requests(&mut self, writer: &mut OwnedWriteHalf) -> Result<(), End> {
        while !self.closing && !self.exclusive && self.answers.len() < AT_ONCE {
            let Some(head) = self.next_head() else {
                return Ok(());
            };
            let has_body = head.framing != Framing::Length(0);
            if has_body && !self.answers.is_empty() {
                self.held = Some(head);
                return Ok(());
            }
            if has_body && head.expects {
                writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            self.start(head, has_body);
        }
        Ok(())
    }

    /// Returns the next head, if there is one; refuses what can't be one.
    fn next_head(&mut self) -> Option<Head> {
        if let Some(head) = self.held.take() {
            return Some(head);
        }
        match codec::head(&mut self.bytes) {
            Ok(Some(head)) => Some(head),
            Ok(None) => {
                let limits = (self.front.limits)();
                if self.bytes.len() as u64 > limits.head.as_bytes() {
                    self.refuse(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                }
                None
            }
            Err(_) => {
                self.refuse(StatusCode::BAD_REQUEST);
                None
            }
        }
    }

    fn start(&mut self, head: Head, has_body: bool) {
        let Head {
            request,
            framing,
            keeps,
            ..
        } = head;
        let (method, version) = (request.method().clone(), request.version());
        let body = if has_body {
            let (pieces, taken) = mpsc::channel(PIECES);
            self.feeding = Some(Feeding {
                decoder: Decoder::new(framing),
                pieces: Some(pieces),
                next: None,
            });
            self.exclusive = true;
            let length = match framing {
                Framing::Length(length) => Some(length),
                Framing::Chunked => None,
            };
            Body::fed(taken, length)
        } else {
            Body::whole("")
        };
        self.closing |= !keeps;
        let answer = (self.front.handler)(request.map(|()| body));
        self.answers.push_back(Box::pin(async move {
            Answer {
                response: answer.await,
                method,
                version,
                keeps,
            }
        }));
    }

    /// Answers what can't be a request, after all that came before it.
    fn refuse(&mut self, status: StatusCode) {
        self.closing = true;
        self.answers.push_back(Box::pin(async move {
            Answer {
                response: plain(status),
                method: Method::GET,
                version: Version::HTTP_11,
                keeps: false,
            }
        }));
    }

    /// Cuts the next piece of the body that is being read from the bytes.
    fn cut_piece(&mut self) {
        let Some(feeding) = &mut self.feeding else {
            return;
        };
        if feeding.next.is_some() {
            return;
        }
        match feeding.decoder.next(&mut self.bytes) {
            Ok(Piece::Data(bytes)) => feeding.next = Some(bytes),
            Ok(Piece::Nothing) => {}
            // An empty piece is the end.
            Ok(Piece::End) => feeding.next = Some(Bytes::new()),
            // Without its end the body counts as broken off.
            Err(_) => {
                self.feeding = None;
                self.closing = true;
            }
        }
    }

    fn has_piece(&self) -> bool {
        self.feeding.as_ref().is_some_and(|f| f.next.is_some())
    }

    /// Returns until when something must come while nothing is under way, and
    /// whether the connection is merely idle.
    fn deadline(&self, limits: &Limits) -> (Instant, bool) {
        let is_idle = self.bytes.is_empty();
        let span = if is_idle {
            limits.idle_timeout
        } else {
            limits.head_timeout
        };
        (self.since + span.duration(), is_idle)
    }

    async fn write(&mut self, writer: &mut OwnedWriteHalf, answer: Answer) -> Result<(), End> {
        // An answer before the end of its request's body: nothing can follow it.
        let is_early = self.feeding.is_some();
        self.closing |= is_early;
        self.feeding = None;
        self.exclusive = false;
        self.since = Instant::now();
        let is_last = self.closing && self.answers.is_empty();
        let keeps = answer.keeps && !is_last;
        let written = tokio::time::timeout(UNREAD, write(writer, answer, keeps));
        match written.await {
            Ok(Ok(Ending::Close)) => Err(End::Done),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(End::Gone),
        }
    }
}

async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the process is gone, which is a close too.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}

/// Gives the next piece to whoever reads the body.
///
/// Each call takes the piece away, read or not: were it offered again to nobody,
/// the connection would turn in place without ever yielding its thread.
async fn feed(feeding: &mut Option<Feeding>) {
    let Some(held) = feeding else { return };
    let is_read_on = match (&held.pieces, &held.next) {
        (Some(pieces), Some(piece)) => send(pieces, piece).await,
        _ => false,
    };
    if !is_read_on {
        // The body's reader needs no more, or has given up.
        held.pieces = None;
    }
    let is_end = held.next.take().is_some_and(|piece| piece.is_empty());
    if is_end {
        *feeding = None;
    }
}

/// Sends a piece once there is room; returns whether anybody is there to read it.
async fn send(pieces: &mpsc::Sender<Bytes>, piece: &Bytes) -> bool {
    let Ok(room) = pieces.reserve().await else {
        return false;
    };
    room.send(piece.clone());
    true
}

/// Reads what has come. Room for it is made only then: a connection that waits,
/// of which there are a thousand at times, holds no buffer.
async fn read(reader: &mut OwnedReadHalf, bytes: &mut BytesMut) -> io::Result<usize> {
    loop {
        reader.readable().await?;
        bytes.reserve(READ);
        match reader.try_read_buf(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Writes an answer: small ones with one call to the system.
async fn write(
    writer: &mut OwnedWriteHalf,
    answer: Answer,
    keeps: bool,
) -> Result<Ending, super::body::Fault> {
    let Answer {
        response,
        method,
        version,
        ..
    } = answer;
    let mut out = BytesMut::with_capacity(READ);
    let ending = codec::write_head(&response, &method, version, keeps, &mut out);
    let has_body = method != Method::HEAD && codec::may_have_body(response.status());
    let mut body = response.into_body();
    while has_body && let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if ending == Ending::Chunks {
            out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        out.extend_from_slice(&data);
        if ending == Ending::Chunks {
            out.extend_from_slice(b"\r\n");
        }
        if out.len() >= READ {
            writer.write_all(&out).await?;
            out.clear();
        }
    }
    if ending == Ending::Chunks {
        out.extend_from_slice(b"0\r\n\r\n");
    }
    writer.write_all(&out).await?;
    Ok(ending)
}

/// Closes a connection so that its last answer is not lost.
async fn linger(reader: &mut OwnedReadHalf, writer: &mut OwnedWriteHalf) {
    if writer.shutdown().await.is_err() {
        return;
    }
    let mut bytes = BytesMut::with_capacity(READ);
    let drain = async {
        while matches!(read(reader, &mut bytes).await, Ok(count) if count > 0) {
            bytes.clear();
        }
    };
    // Whoever goes on sending is cut off.
    let _ = tokio::time::timeout(LINGER, drain).await;
}
