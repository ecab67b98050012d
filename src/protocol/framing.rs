//! Where the body of an HTTP/1 message ends, as its head tells.
//!
//! | Head | Request | Response |
//! |---|---|---|
//! | one `content-length` of digits alone | so many bytes | so many bytes |
//! | one `transfer-encoding`, `chunked` alone, in HTTP/1.1 | the last chunk | the last chunk |
//! | neither | no body | the end of the connection, unless a field [resembles](self#damaged-names) one of the two |
//! | anything else | invalid | invalid |
//!
//! A message that two programs could delimit differently is invalid, and so is never repaired:
//! a request could smuggle another one, and a response could pass for one that its sender did not
//! send.
//!
//! # Damaged names
//!
//! A response may have no length and end with its connection. One whose field for the length was
//! damaged looks the same if its name is still valid, and the body would contain the framing. So a
//! response without either field is invalid if the name of another field has the length of theirs
//! and differs in a few bytes, or lacks or has one byte more. A field that was damaged into an empty
//! line ends the head, so that the body begins with the rest of it ([`is_rest_of_head`]).
//!
//! ```
//! use http::{HeaderMap, HeaderValue, Version};
//! use rilltrack::protocol::framing::{self, Framing};
//!
//! let mut headers = HeaderMap::new();
//! headers.insert("content-length", HeaderValue::from_static("5"));
//! assert_eq!(framing::of(&headers, Version::HTTP_11)?, Some(Framing::Length(5)));
//! headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
//! assert!(framing::of(&headers, Version::HTTP_11).is_err());
//! # Ok::<(), framing::Error>(())
//! ```

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// The most bytes in which a damaged name differs from that of a field for the length. Names of
/// other fields differ in more.
const MAX_DAMAGED_BYTES: usize = 4;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length in bytes; 0 if there is no body.
    Length(u64),
    /// By the chunked transfer encoding.
    Chunked,
}

/// The end of a message can't be told from its head, or the head is no response's.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Error(&'static str);

impl Error {
    /// Returns the reason.
    pub const fn reason(self) -> &'static str {
        self.0
    }
}

/// Returns how the fields of a head delimit the body; `None` if there are no such fields.
///
/// # Errors
///
/// If the fields contradict each other, or one of them is not valid.
pub fn of(headers: &HeaderMap, version: Version) -> Result<Option<Framing>, Error> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Error("both content-length and transfer-encoding")),
        (Some(coding), None) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked && codings.next().is_none() && version == Version::HTTP_11 {
                Ok(Some(Framing::Chunked))
            } else {
                Err(Error("transfer-encoding other than chunked"))
            }
        }
        (None, Some(length)) => match (length_of(length), lengths.next()) {
            (Some(length), None) => Ok(Some(Framing::Length(length))),
            _ => Err(Error("content-length is not one number")),
        },
    }
}

fn length_of(value: &HeaderValue) -> Option<u64> {
    let digits = value.to_str().ok()?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| digits.parse().ok()).flatten()
}

/// Checks the head of the response to a request of `method`: whether its status is that of a
/// final response, and whether it tells where its body ends.
///
/// # Errors
///
/// If it isn't a response, or its body could be delimited in two ways.
pub fn check_response(
    method: &Method,
    status: StatusCode,
    version: Version,
    headers: &HeaderMap,
) -> Result<(), Error> {
    if !(200..600).contains(&status.as_u16()) {
        return Err(Error("the status is not that of a final response"));
    }
    if version == Version::HTTP_2 {
        // Frames delimit the body.
        return Ok(());
    }
    let framing = of(headers, version)?;
    let has_body = *method != Method::HEAD && may_have_body(status);
    if framing.is_none() && has_body && headers.keys().any(|name| is_damaged(name.as_str())) {
        return Err(Error("no length, and a field whose name is close to it"));
    }
    Ok(())
}

/// Returns whether the start of a body shows that the head before it ended too early, at a field
/// that was damaged into an empty line.
///
/// Only a response without a length can have such a body. One that announces the end of its
/// connection is sound.
pub fn is_rest_of_head(version: Version, headers: &HeaderMap, body: &[u8]) -> bool {
    let is_announced = headers.get_all(CONNECTION).iter().any(|value| {
        let options = value.as_bytes().split(|byte| *byte == b',');
        options
            .map(<[u8]>::trim_ascii)
            .any(|option| option.eq_ignore_ascii_case(b"close"))
    });
    let is_unframed = version == Version::HTTP_11 && of(headers, version) == Ok(None);
    is_unframed && !is_announced && begins_with_field(body)
}

/// Returns whether bytes begin with an empty line, or with a line that is a field.
fn begins_with_field(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
        return false;
    };
    let line = &bytes[..end];
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    line.is_empty() || name.len() < end && HeaderName::from_bytes(name).is_ok()
}

/// Returns whether a response with this status may have a body.
pub fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Returns whether a name may be that of a field for the length, with a few bytes damaged.
fn is_damaged(name: &str) -> bool {
    let names = [CONTENT_LENGTH, TRANSFER_ENCODING];
    names
        .iter()
        .any(|original| is_close(name.as_bytes(), original.as_str().as_bytes()))
}

fn is_close(one: &[u8], other: &[u8]) -> bool {
    if one.len() == other.len() {
        let differing = one.iter().zip(other).filter(|(a, b)| a != b);
        return differing.count() <= MAX_DAMAGED_BYTES;
    }
    let (short, long) = match one.len() < other.len() {
        true => (one, other),
        false => (other, one),
    };
    // One byte lacks, and the rest is the same.
    let same = short.iter().zip(long).take_while(|(a, b)| a == b).count();
    short.len() + 1 == long.len() && short[same..] == long[same + 1..]
}
