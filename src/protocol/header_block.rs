//! The headers of a request with many of them, in one header between two nodes.
//!
//! What a caller may send is bounded in bytes, not in headers. HTTP libraries bound their number, to
//! 100 by default, and reserve memory for the largest one with each message. So a node sends a
//! request with more than [`MAX_SEPARATE`] headers with all of them in one.
//!
//! ```
//! use http::{HeaderMap, HeaderValue};
//! use rilltrack::protocol::header_block;
//!
//! let mut headers = HeaderMap::new();
//! headers.append("cookie", HeaderValue::from_static("a: 1"));
//! headers.append("cookie", HeaderValue::from_static("b"));
//! let block = header_block::encode(&headers);
//! assert_eq!(block, "cookie:4:a: 1cookie:1:b");
//! assert_eq!(header_block::decode(&block)?, headers);
//! # Ok::<(), header_block::Error>(())
//! ```

use http::{HeaderMap, HeaderName, HeaderValue};

/// The name of the header.
pub const HEADER: &str = "rilltrack-hop-headers";

/// The most headers that are sent as they are. The nodes' own headers and the framing of the body
/// come on top.
pub const MAX_SEPARATE: usize = 90;

/// A block that can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a block of headers is not valid")]
pub struct Error;

/// Returns the headers in one value: for each its name, the length of its value and the value,
/// separated by colons.
pub fn encode(headers: &HeaderMap) -> HeaderValue {
    let mut block = Vec::new();
    for (name, value) in headers {
        block.extend_from_slice(format!("{name}:{}:", value.len()).as_bytes());
        block.extend_from_slice(value.as_bytes());
    }
    HeaderValue::from_bytes(&block).expect("names and values of headers are valid in a value")
}

/// Returns the headers in a block.
///
/// # Errors
///
/// If the value isn't a block that [`encode`] returned.
pub fn decode(block: &HeaderValue) -> Result<HeaderMap, Error> {
    let mut headers = HeaderMap::new();
    let mut rest = block.as_bytes();
    while !rest.is_empty() {
        let (name, after) = split(rest)?;
        let (length, after) = split(after)?;
        let length = std::str::from_utf8(length).map_err(|_| Error)?;
        let length = length.parse().map_err(|_| Error)?;
        let (value, after) = after.split_at_checked(length).ok_or(Error)?;
        let name = HeaderName::from_bytes(name).map_err(|_| Error)?;
        let value = HeaderValue::from_bytes(value).map_err(|_| Error)?;
        headers.try_append(name, value).map_err(|_| Error)?;
        rest = after;
    }
    Ok(headers)
}

/// Splits at the first colon.
fn split(bytes: &[u8]) -> Result<(&[u8], &[u8]), Error> {
    let at = bytes.iter().position(|byte| *byte == b':').ok_or(Error)?;
    Ok((&bytes[..at], &bytes[at + 1..]))
}
