//! HTTP/1.1 connections of callers, with pipelined requests.
//!
//! Callers send further requests before the first is answered. hyper handles pipelined
//! requests one after another, so the second waits for the target of the first although its
//! own is free. Here they run concurrently, and only the responses are put in order
//! (docs/DESIGN.md has the figures). A request with a body runs alone on its connection.

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
    protocol::framing::{Framing, may_have_body},
    state::routing::Limits,
    transport::relay::{
        body::Body,
        codec::{self, Decoded, Decoder, Head, ResponseFraming},
        connections::Guard,
        empty_response,
        serve::{CurrentLimits, Handler, OnRefused, Phase},
    },
};

/// The maximum number of requests running on one connection; more wait in its buffer.
const MAX_PIPELINED: usize = 16;

/// The maximum number of bytes read ahead of the running requests. Beyond it, nothing more is
/// read, so that the caller must wait.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// The size of one read in bytes: several heads, or a tenth of an upload.
const READ_BYTES: usize = 4 << 10;

/// The size from which a piece of a body is passed on as it is, in bytes: a quarter of a read.
const MIN_PIECE_BYTES: usize = READ_BYTES / 4;

/// The capacity of the channel that passes a request body to its reader, in pieces.
const QUEUED_PIECES: usize = 4;

/// How long bytes are still read after the last response. Closing a connection with unread
/// bytes resets it, and the caller would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum time to write a response to a caller that reads slowly or not at all.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves connections of callers with one handler.
#[derive(Clone)]
pub struct Http1Server {
    /// The handler that answers the requests.
    pub handler: Handler,
    /// Returns the limits of the version in force.
    pub limits: CurrentLimits,
    /// Is called for each refusal of bytes that are no acceptable request.
    pub on_refused: OnRefused,
    /// The phase of the process's shutdown.
    pub phase: watch::Receiver<Phase>,
}

/// A response and the properties of its request that determine how it is written.
struct Answer {
    response: Response<Body>,
    method: Method,
    version: Version,
    /// Whether the connection stays open after the response.
    is_persistent: bool,
}

type Answers = FuturesOrdered<BoxFuture<'static, Answer>>;

/// A request body that is being decoded and passed to the handler.
struct IncomingBody {
    decoder: Decoder,
    /// `None` once the handler reads no further; later pieces are discarded.
    pieces: Option<mpsc::Sender<Bytes>>,
    /// The decoded piece to pass on next. An empty one marks the end of the body.
    next: Option<Bytes>,
}

/// The state of one connection.
struct Connection {
    front: Http1Server,
    /// Bytes that were read but not decoded yet.
    bytes: BytesMut,
    /// The running requests, in the order of their arrival.
    answers: Answers,
    /// The head of a request with a body that waits until all requests before it are answered.
    waiting_head: Option<Head>,
    incoming_body: Option<IncomingBody>,
    /// Whether the running request has a body; no other request starts beside it.
    is_exclusive: bool,
    /// Whether further requests are ignored, and the connection closes after the last response.
    is_closing: bool,
    /// When the first byte of the current head arrived, or the connection became idle.
    since: Instant,
}

/// Why the loop of a connection ends.
enum ConnectionEnd {
    /// The caller disconnected, or the connection failed.
    Disconnected,
    /// All responses are written, or the connection was idle for too long.
    Done,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

impl Http1Server {
    /// Serves a connection until it is closed.
    pub async fn serve(&self, stream: TcpStream, guard: &Guard) {
        let (mut reader, mut writer) = stream.into_split();
        let mut connection = Connection {
            front: self.clone(),
            bytes: BytesMut::new(),
            answers: Answers::new(),
            waiting_head: None,
            incoming_body: None,
            is_exclusive: false,
            is_closing: false,
            since: Instant::now(),
        };
        // If the caller disconnects, the running requests are dropped with `connection`.
        let end = tokio::select! {
            end = connection.run(&mut reader, &mut writer, guard) => end,
            () = guard.until_closed() => return,
        };
        if let Err(ConnectionEnd::Done) = end {
            linger(&mut reader, &mut writer).await;
        }
    }
}

impl Connection {
    /// Reads requests, starts them and writes their responses until the connection ends.
    async fn run(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
        guard: &Guard,
    ) -> Result<(), ConnectionEnd> {
        let mut phase = self.front.phase.clone();
        loop {
            self.start_requests(writer).await?;
            self.decode_piece();
            if self.bytes.is_empty() {
                self.bytes = BytesMut::new();
            }
            if self.is_closing && self.answers.is_empty() {
                return Err(ConnectionEnd::Done);
            }
            let limits = (self.front.limits)();
            let (deadline, is_idle) = self.read_deadline(&limits);
            let has_answers = !self.answers.is_empty();
            guard.set_busy(has_answers && self.incoming_body.is_none());
            let max_bytes = READ_AHEAD_BYTES.max(limits.head.as_bytes() as usize);
            let has_room = self.bytes.len() < max_bytes && !self.has_piece();
            let was_empty = self.bytes.is_empty();
            let is_closing = self.is_closing;
            tokio::select! {
                Some(answer) = self.answers.next(), if has_answers => {
                    guard.set_busy(true);
                    self.write_answer(writer, answer).await?;
                }
                () = pass_piece(&mut self.incoming_body), if self.incoming_body.as_ref().is_some_and(|body| body.next.is_some()) => {}
                read = read(reader, &mut self.bytes), if has_room => {
                    if read? == 0 {
                        return Err(ConnectionEnd::Disconnected);
                    }
                    guard.note_read();
                    if was_empty {
                        self.since = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(deadline.into()), if !has_answers => {
                    if !is_idle {
                        self.refuse(StatusCode::REQUEST_TIMEOUT);
                        continue;
                    }
                    return Err(ConnectionEnd::Done);
                }
                () = until_closing(&mut phase), if !is_closing => {
                    self.is_closing = true;
                }
            }
        }
    }

    /// Starts the requests whose heads have been read, as far as they may run concurrently.
    async fn start_requests(&mut self, writer: &mut OwnedWriteHalf) -> Result<(), ConnectionEnd> {
        while !self.is_closing && !self.is_exclusive && self.answers.len() < MAX_PIPELINED {
            let Some(head) = self.next_head() else {
                return Ok(());
            };
            let has_body = head.framing != Framing::Length(0);
            if has_body && !self.answers.is_empty() {
                self.waiting_head = Some(head);
                return Ok(());
            }
            if has_body && head.expects_continue {
                writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            self.start_request(head, has_body);
        }
        Ok(())
    }

    /// Returns the next head once it is complete; refuses one that is invalid or too large.
    fn next_head(&mut self) -> Option<Head> {
        if let Some(head) = self.waiting_head.take() {
            return Some(head);
        }
        let max = (self.front.limits)().head;
        let status = match codec::head(&mut self.bytes, max) {
            Ok(head) => return head,
            Err(codec::Error::TooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Err(codec::Error::Invalid(_)) => StatusCode::BAD_REQUEST,
        };
        self.refuse(status);
        None
    }

    /// Calls the handler for a request and prepares to pass on its body, if it has one.
    fn start_request(&mut self, head: Head, has_body: bool) {
        let Head {
            request,
            framing,
            is_persistent,
            ..
        } = head;
        let (method, version) = (request.method().clone(), request.version());
        let body = if has_body {
            let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
            self.incoming_body = Some(IncomingBody {
                decoder: Decoder::new(framing),
                pieces: Some(sender),
                next: None,
            });
            self.is_exclusive = true;
            let length = match framing {
                Framing::Length(length) => Some(length),
                Framing::Chunked => None,
            };
            Body::from_channel(receiver, length)
        } else {
            Body::whole("")
        };
        self.is_closing |= !is_persistent;
        let answer = (self.front.handler)(request.map(|()| body));
        self.answers.push_back(Box::pin(async move {
            Answer {
                response: answer.await,
                method,
                version,
                is_persistent,
            }
        }));
    }

    /// Responds to invalid input with `status`, after the responses to all requests before it.
    fn refuse(&mut self, status: StatusCode) {
        (self.front.on_refused)(status);
        self.is_closing = true;
        self.answers.push_back(Box::pin(async move {
            Answer {
                response: empty_response(status),
                method: Method::GET,
                version: Version::HTTP_11,
                is_persistent: false,
            }
        }));
    }

    /// Decodes the next piece of the incoming body from the bytes read so far.
    fn decode_piece(&mut self) {
        let Some(body) = &mut self.incoming_body else {
            return;
        };
        if body.next.is_some() {
            return;
        }
        match body.decoder.next(&mut self.bytes) {
            Ok(Decoded::Data(bytes)) => {
                body.next = Some(join_small(bytes, &mut body.decoder, &mut self.bytes));
            }
            Ok(Decoded::Incomplete) => {}
            // An empty piece marks the end.
            Ok(Decoded::End) => body.next = Some(Bytes::new()),
            // The channel is closed without an empty piece, so the handler sees an aborted body.
            Err(_) => {
                self.incoming_body = None;
                self.is_closing = true;
            }
        }
    }

    /// Returns whether a decoded piece waits to be passed on.
    fn has_piece(&self) -> bool {
        self.incoming_body
            .as_ref()
            .is_some_and(|body| body.next.is_some())
    }

    /// Returns the instant by which the caller must send something while no request is running,
    /// and whether the connection is idle, with no head begun.
    fn read_deadline(&self, limits: &Limits) -> (Instant, bool) {
        let is_idle = self.bytes.is_empty();
        let timeout = if is_idle {
            limits.idle_timeout
        } else {
            limits.head_timeout
        };
        (self.since + timeout.duration(), is_idle)
    }

    /// Writes a response and closes the connection if no other request may follow.
    async fn write_answer(
        &mut self,
        writer: &mut OwnedWriteHalf,
        answer: Answer,
    ) -> Result<(), ConnectionEnd> {
        // After a response that precedes the end of its request's body, the connection can't be
        // reused.
        let is_early = self.incoming_body.is_some();
        self.is_closing |= is_early;
        self.incoming_body = None;
        self.is_exclusive = false;
        self.since = Instant::now();
        let is_last = self.is_closing && self.answers.is_empty();
        let is_persistent = answer.is_persistent && !is_last;
        let written =
            tokio::time::timeout(WRITE_TIMEOUT, write_response(writer, answer, is_persistent));
        match written.await {
            Ok(Ok(ResponseFraming::Close)) => Err(ConnectionEnd::Done),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(ConnectionEnd::Disconnected),
        }
    }
}

/// Returns a decoded piece, joined with those that follow it in the bytes read so far if it is small.
/// Small chunks would each keep the buffer of a whole read alive, and be passed on one by one.
fn join_small(first: Bytes, decoder: &mut Decoder, bytes: &mut BytesMut) -> Bytes {
    if first.len() >= MIN_PIECE_BYTES {
        return first;
    }
    let mut joined = BytesMut::from(&first[..]);
    // The end of the body, or an error, is met again by the next call of the decoder.
    while joined.len() < READ_BYTES
        && let Ok(Decoded::Data(next)) = decoder.next(bytes)
    {
        joined.extend_from_slice(&next);
    }
    joined.freeze()
}

/// Waits until the process closes its connections.
async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender was dropped at the end of the process.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}

/// Passes the next piece of a body to its reader.
///
/// Each call removes the piece, even if there is no reader any more. Otherwise the loop of the
/// connection would retry it forever without yielding its thread.
async fn pass_piece(incoming_body: &mut Option<IncomingBody>) {
    let Some(body) = incoming_body else { return };
    let has_reader = match (&body.pieces, &body.next) {
        (Some(pieces), Some(piece)) => send_piece(pieces, piece).await,
        _ => false,
    };
    if !has_reader {
        // The reader has dropped its end of the channel.
        body.pieces = None;
    }
    let is_end = body.next.take().is_some_and(|piece| piece.is_empty());
    if is_end {
        *incoming_body = None;
    }
}

/// Sends a piece once the channel has room; returns whether the channel still has a reader.
async fn send_piece(pieces: &mpsc::Sender<Bytes>, piece: &Bytes) -> bool {
    let Ok(permit) = pieces.reserve().await else {
        return false;
    };
    permit.send(piece.clone());
    true
}

/// Appends the bytes that have arrived to `bytes`. Memory is reserved only once the socket is
/// readable, because up to a thousand connections wait at a time and should hold no buffer.
async fn read(reader: &mut OwnedReadHalf, bytes: &mut BytesMut) -> io::Result<usize> {
    loop {
        reader.readable().await?;
        bytes.reserve(READ_BYTES);
        match reader.try_read_buf(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes a response; a small one takes a single system call.
async fn write_response(
    writer: &mut OwnedWriteHalf,
    answer: Answer,
    is_persistent: bool,
) -> Result<ResponseFraming, super::body::Fault> {
    let Answer {
        response,
        method,
        version,
        ..
    } = answer;
    let mut out = BytesMut::with_capacity(READ_BYTES);
    let framing = codec::write_head(&response, &method, version, is_persistent, &mut out);
    let has_body = method != Method::HEAD && may_have_body(response.status());
    let mut body = response.into_body();
    while has_body && let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if framing == ResponseFraming::Chunks {
            out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        if data.len() >= READ_BYTES {
            // Not copied: hundreds of nodes may be sent the same bytes at the same time.
            writer.write_all(&out).await?;
            out.clear();
            writer.write_all(&data).await?;
        } else {
            out.extend_from_slice(&data);
        }
        if framing == ResponseFraming::Chunks {
            out.extend_from_slice(b"\r\n");
        }
        if out.len() >= READ_BYTES {
            writer.write_all(&out).await?;
            out.clear();
        }
    }
    if framing == ResponseFraming::Chunks {
        out.extend_from_slice(b"0\r\n\r\n");
    }
    writer.write_all(&out).await?;
    Ok(framing)
}

/// Closes a connection so that the caller still receives the last response.
async fn linger(reader: &mut OwnedReadHalf, writer: &mut OwnedWriteHalf) {
    if writer.shutdown().await.is_err() {
        return;
    }
    let mut bytes = BytesMut::with_capacity(READ_BYTES);
    let drain = async {
        while matches!(read(reader, &mut bytes).await, Ok(count) if count > 0) {
            bytes.clear();
        }
    };
    // A caller that still sends after the timeout is disconnected.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}
