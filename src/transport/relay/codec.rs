//! Parsing of callers' HTTP/1.1 requests and writing of response heads.
//!
//! Heads are parsed by httparse, as in hyper. This module delimits bodies, and
//! does so strictly: it rejects a message whose end two programs could place
//! differently, since such a body could smuggle a second request.

use bytes::{Buf, Bytes, BytesMut};
use hyper::{
    HeaderMap, Method, Request, Response, Uri, Version,
    header::{self, HeaderName, HeaderValue},
};

use crate::{
    protocol::framing::{self, Framing, may_have_body},
    transport::relay::body::Body,
    unit::Size,
};

/// The headers of a request for which there is room on the stack. Callers send about ten.
const USUAL_HEADERS: usize = 100;

/// The size of the smallest header, in bytes: a name, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// The longest line of a chunk's size and extensions (which are ignored), and
/// the longest trailer line, in bytes.
const MAX_LINE: usize = 1 << 10;

/// The head of a request and the framing of its body.
pub struct Head {
    /// The request, without its body.
    pub request: Request<()>,
    /// How its body is delimited.
    pub framing: Framing,
    /// Whether the caller allows further requests on the connection.
    pub is_persistent: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The bytes are not an acceptable request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// They are not a valid request.
    #[error("{0}")]
    Invalid(&'static str),
    /// The head is larger than allowed.
    #[error("the request head is too large")]
    TooLarge,
}

/// The next piece of a body in the received bytes.
#[derive(Debug, Eq, PartialEq)]
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes must be received first.
    Incomplete,
    /// The end of the body.
    End,
}

/// Extracts a body from received bytes.
#[derive(Clone, Copy, Debug)]
pub enum Decoder {
    /// This many bytes of the body are left.
    Length(u64),
    /// The line with a chunk's size comes next.
    ChunkLine,
    /// This many bytes of a chunk are left.
    Chunk(u64),
    /// The line break after a chunk's data comes next.
    ChunkEnd,
    /// Trailers after the last chunk come next.
    Trailers,
    /// The body has ended.
    Done,
}

/// Removes the head of a request from the start of `bytes` and returns it;
/// returns `None` if it is not complete.
///
/// # Errors
///
/// If the bytes are not a request, its head is larger than `max`, or its body could be delimited in
/// two ways.
pub fn head(bytes: &mut BytesMut, max: Size) -> Result<Option<Head>, Error> {
    // Empty lines before a request are allowed.
    while bytes.starts_with(b"\r\n") {
        bytes.advance(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; USUAL_HEADERS];
    let parsed = match parse(bytes, &mut headers, max) {
        Err(httparse::Error::TooManyHeaders) => {
            let most = bytes.len() / MIN_HEADER_BYTES;
            parse(bytes, &mut vec![httparse::EMPTY_HEADER; most], max)
        }
        parsed => parsed,
    };
    let parsed = parsed.map_err(|_| Error::Invalid("the request head is not HTTP/1"))?;
    let Some((head, length)) = parsed? else {
        return Ok(None);
    };
    bytes.advance(length);
    Ok(Some(head))
}

/// Parses a head, with room for as many headers as `headers` has; returns it with its length, or
/// `None` if it is not complete.
fn parse<'a>(
    bytes: &'a [u8],
    headers: &mut [httparse::Header<'a>],
    max: Size,
) -> Result<Result<Option<(Head, usize)>, Error>, httparse::Error> {
    let mut parsed = httparse::Request::new(headers);
    let (length, is_complete) = match parsed.parse(bytes)? {
        httparse::Status::Partial => (bytes.len(), false),
        httparse::Status::Complete(length) => (length, true),
    };
    if length as u64 > max.as_bytes() {
        return Ok(Err(Error::TooLarge));
    }
    Ok(match is_complete {
        true => decode(&parsed).map(|head| Some((head, length))),
        false => Ok(None),
    })
}

fn decode(parsed: &httparse::Request<'_, '_>) -> Result<Head, Error> {
    let version = match parsed.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|_| Error::Invalid("the method is not valid"))?;
    let uri: Uri = parsed
        .path
        .unwrap_or_default()
        .parse()
        .map_err(|_| Error::Invalid("the request target is not valid"))?;
    let mut headers = HeaderMap::new();
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let appended = headers.try_append(
            name.map_err(|_| Error::Invalid("a header name is not valid"))?,
            value.map_err(|_| Error::Invalid("a header value is not valid"))?,
        );
        appended.map_err(|_| Error::TooLarge)?;
    }
    let framing = framing::of(&headers, version);
    let framing = framing.map_err(|error| Error::Invalid(error.reason()))?;
    let framing = framing.unwrap_or(Framing::Length(0));
    let is_persistent = is_keep_alive(&headers, version);
    let expects_continue = headers
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
        is_persistent,
        expects_continue,
    })
}

fn is_keep_alive(headers: &HeaderMap, version: Version) -> bool {
    let has_option = |name: &str| {
        let values = headers.get_all(header::CONNECTION).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts
            .flat_map(|text| text.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case(name))
    };
    match version {
        Version::HTTP_11 => !has_option("close"),
        _ => has_option("keep-alive"),
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

    /// Removes the next piece of the body from the start of `bytes` and returns it.
    ///
    /// # Errors
    ///
    /// If the chunked encoding is not valid.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Decoded, Error> {
        loop {
            match self {
                Self::Done => return Ok(Decoded::End),
                Self::Length(left) | Self::Chunk(left) => {
                    if bytes.is_empty() {
                        return Ok(Decoded::Incomplete);
                    }
                    let count = (*left).min(bytes.len() as u64);
                    *left -= count;
                    if *left == 0 {
                        *self = self.next_state();
                    }
                    return Ok(Decoded::Data(bytes.split_to(count as usize).freeze()));
                }
                Self::ChunkLine => {
                    let Some(size) = chunk_size(bytes)? else {
                        return Ok(Decoded::Incomplete);
                    };
                    *self = match size {
                        0 => Self::Trailers,
                        size => Self::Chunk(size),
                    };
                }
                Self::ChunkEnd => {
                    if bytes.len() < 2 {
                        return Ok(Decoded::Incomplete);
                    }
                    if !bytes.starts_with(b"\r\n") {
                        return Err(Error::Invalid("no line break after the data of a chunk"));
                    }
                    bytes.advance(2);
                    *self = Self::ChunkLine;
                }
                Self::Trailers => {
                    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
                        return check_line_length(bytes).map(|()| Decoded::Incomplete);
                    };
                    bytes.advance(end + 2);
                    if end == 0 {
                        *self = Self::Done;
                    }
                }
            }
        }
    }

    fn next_state(self) -> Self {
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
        Ok(httparse::Status::Partial) => check_line_length(bytes).map(|()| None),
        Err(_) => Err(Error::Invalid("the size of a chunk is not valid")),
    }
}

fn check_line_length(bytes: &BytesMut) -> Result<(), Error> {
    if bytes.len() > MAX_LINE {
        return Err(Error::Invalid("a chunk size line or a trailer is too long"));
    }
    Ok(())
}

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFraming {
    /// By its length, or there is no body.
    Length,
    /// By the chunked transfer encoding.
    Chunks,
    /// By the end of the connection.
    Close,
}

/// Writes the head of the response to a request of `method` and `version` to
/// `out` and returns how its body is delimited.
pub fn write_head(
    response: &Response<Body>,
    method: &Method,
    version: Version,
    is_persistent: bool,
    out: &mut BytesMut,
) -> ResponseFraming {
    use http_body::Body as _;
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("");
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    let has_body = *method != Method::HEAD && may_have_body(status);
    for (name, value) in response.headers() {
        // The response to HEAD keeps its content-length but has no body.
        let is_length = name == header::CONTENT_LENGTH;
        if name == header::TRANSFER_ENCODING || (is_length && has_body) {
            continue;
        }
        write_header(out, name.as_str(), value.as_bytes());
    }
    let framing = match response.body().size_hint().exact() {
        _ if !has_body => ResponseFraming::Length,
        Some(length) => {
            write_header(out, "content-length", length.to_string().as_bytes());
            ResponseFraming::Length
        }
        None if version == Version::HTTP_11 => {
            write_header(out, "transfer-encoding", b"chunked");
            ResponseFraming::Chunks
        }
        None => ResponseFraming::Close,
    };
    if !is_persistent || framing == ResponseFraming::Close {
        write_header(out, "connection", b"close");
    } else if version == Version::HTTP_10 {
        write_header(out, "connection", b"keep-alive");
    }
    out.extend_from_slice(b"\r\n");
    framing
}

fn write_header(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
