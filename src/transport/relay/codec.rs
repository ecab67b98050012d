//! HTTP/1.1 messages of callers, cut from and put into bytes.
//!
//! The heads are parsed by httparse, as hyper does it. What is here is how a
//! body is delimited, strictly: a message that two programs could cut in two
//! ways is refused, or a second request could be smuggled in the body of the
//! first.

use bytes::{Buf, Bytes, BytesMut};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    header::{self, HeaderName, HeaderValue},
};

use crate::transport::relay::body::Body;

/// Headers that a request may have. Callers of both meshes send about ten.
const HEADERS: usize = 100;

/// The longest line that begins a chunk: a size, and extensions that nobody
/// reads.
const CHUNK_LINE: usize = 1 << 10;

/// The head of a request, and how its body is delimited.
pub struct Head {
    /// The request, without its body.
    pub request: Request<()>,
    /// Its body.
    pub framing: Framing,
    /// Whether the caller lets the connection be used again.
    pub keeps: bool,
    /// Whether the caller waits for leave to send the body.
    pub expects: bool,
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// By chunks.
    Chunked,
}

/// Bytes that are no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Error(&'static str);

/// What of a body the bytes at hand hold.
#[derive(Debug, Eq, PartialEq)]
pub enum Piece {
    /// Some of it.
    Data(Bytes),
    /// Nothing yet.
    Nothing,
    /// Its end.
    End,
}

/// Cuts a body out of a stream of bytes.
#[derive(Clone, Copy, Debug)]
pub enum Decoder {
    /// So many bytes are missing.
    Length(u64),
    /// The line that begins a chunk comes next.
    ChunkLine,
    /// So many bytes of a chunk are missing.
    Chunk(u64),
    /// The end of a chunk's line comes next.
    ChunkEnd,
    /// Headers behind the last chunk come next.
    Trailers,
    /// Nothing is missing.
    Done,
}

/// Takes the head of a request from the start of `bytes`; returns nothing if it
/// is not all there.
///
/// # Errors
///
/// If it is no request, or its body could be delimited in two ways.
pub fn head(bytes: &mut BytesMut) -> Result<Option<Head>, Error> {
    // Empty lines before a request are allowed, and so is their absence.
    while bytes.starts_with(b"\r\n") {
        bytes.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes);
    let length = match status.map_err(|_| Error("not HTTP"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let head = decode(&parsed)?;
    bytes.advance(length);
    Ok(Some(head))
}

fn decode(parsed: &httparse::Request<'_, '_>) -> Result<Head, Error> {
    let version = match parsed.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| Error("no such method"))?;
    let uri: Uri = parsed
        .path
        .unwrap_or_default()
        .parse()
        .map_err(|_| Error("not a path"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        headers.append(
            name.map_err(|_| Error("not a header's name"))?,
            value.map_err(|_| Error("not a header's value"))?,
        );
    }
    let framing = framing(&headers, version)?;
    let keeps = keeps(&headers, version);
    let expects = headers
        .get(header::EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = version;
    *request.headers_mut() = headers;
    Ok(Head {
        request,
        framing,
        keeps,
        expects,
    })
}

fn framing(headers: &HeaderMap, version: Version) -> Result<Framing, Error> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => Err(Error("a length and a transfer encoding")),
        (Some(coding), None) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked && codings.next().is_none() && version == Version::HTTP_11 {
                Ok(Framing::Chunked)
            } else {
                Err(Error("a transfer encoding other than chunked"))
            }
        }
        (None, Some(length)) => {
            let digits = length.to_str().unwrap_or_default();
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            match digits.parse() {
                Ok(length) if is_number && lengths.next().is_none() => Ok(Framing::Length(length)),
                _ => Err(Error("not a length")),
            }
        }
    }
}

fn keeps(headers: &HeaderMap, version: Version) -> bool {
    let says = |word: &str| {
        let values = headers.get_all(header::CONNECTION).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts
            .flat_map(|text| text.split(','))
            .any(|said| said.trim().eq_ignore_ascii_case(word))
    };
    match version {
        Version::HTTP_11 => !says("close"),
        _ => says("keep-alive"),
    }
}

impl Decoder {
    /// Returns a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::ChunkLine,
        }
    }

    /// Takes the next piece of the body from the start of `bytes`.
    ///
    /// # Errors
    ///
    /// If the chunks are none.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Piece, Error> {
        loop {
            match self {
                Self::Done => return Ok(Piece::End),
                Self::Length(left) | Self::Chunk(left) => {
                    if bytes.is_empty() {
                        return Ok(Piece::Nothing);
                    }
                    let count = (*left).min(bytes.len() as u64);
                    *left -= count;
                    if *left == 0 {
                        *self = self.after();
                    }
                    return Ok(Piece::Data(bytes.split_to(count as usize).freeze()));
                }
                Self::ChunkLine => {
                    let Some(size) = chunk_size(bytes)? else {
                        return Ok(Piece::Nothing);
                    };
                    *self = match size {
                        0 => Self::Trailers,
                        size => Self::Chunk(size),
                    };
                }
                Self::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(Piece::Nothing);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(Error("a chunk does not end where it should"));
                    }
                    bytes.advance(2);
                    *self = Self::ChunkLine;
                }
                Self::Trailers => {
                    let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
                        return check_line(bytes).map(|()| Piece::Nothing);
                    };
                    bytes.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
            }
        }
    }

    fn after(self) -> Self {
        match self {
            Self::Chunk(_) => Self::ChunkEnd,
            _ => Self::Done,
        }
    }
}

fn chunk_size(bytes: &mut BytesMut) -> Result<Option<u64>, Error> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((length, size))) => {
            bytes.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) => check_line(bytes).map(|()| None),
        Err(_) => Err(Error("not a chunk")),
    }
}

fn check_line(bytes: &BytesMut) -> Result<(), Error> {
    if bytes.len() > CHUNK_LINE {
        return Err(Error("a line between chunks is too long"));
    }
    Ok(())
}

/// How the body of an answer is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// There is none, or its length is told.
    Told,
    /// By chunks.
    Chunks,
    /// By the end of the connection.
    Close,
}

/// Writes the head of an answer to a request of `method` and `version` into
/// `out`; returns how its body ends.
pub fn write_head(
    response: &Response<Body>,
    method: &Method,
    version: Version,
    keeps: bool,
    out: &mut BytesMut,
) -> Ending {
    use http_body::Body as _;
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("");
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    let has_body = *method != Method::HEAD && may_have_body(status);
    for (name, value) in response.headers() {
        // A HEAD's answer tells the length of a body that does not come.
        let is_length = name == header::CONTENT_LENGTH;
        if name == header::TRANSFER_ENCODING || (is_length && has_body) {
            continue;
        }
        write_header(out, name.as_str(), value.as_bytes());
    }
    let ending = match response.body().size_hint().exact() {
        _ if !has_body => Ending::Told,
        Some(length) => {
            write_header(out, "content-length", length.to_string().as_bytes());
            Ending::Told
        }
        None if version == Version::HTTP_11 => {
            write_header(out, "transfer-encoding", b"chunked");
            Ending::Chunks
        }
        None => Ending::Close,
    };
    if !keeps || ending == Ending::Close {
        write_header(out, "connection", b"close");
    } else if version == Version::HTTP_10 {
        write_header(out, "connection", b"keep-alive");
    }
    out.extend_from_slice(b"\r\n");
    ending
}

/// Returns whether an answer of this status may have a body.
pub fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn write_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
