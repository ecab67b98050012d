//! A strict check of the head of an HTTP/1 response, byte by byte.
//!
//! HTTP libraries repair heads: they take a line feed alone for the end of a line, so that one in a
//! damaged head ends a field, or the head, too early, and the rest passes for the body. This check
//! goes by the grammar of RFC 9112 and repairs nothing. It holds no bytes, so that a head may come
//! in any pieces.
//!
//! ```
//! use rilltrack::protocol::response_head::Scanner;
//!
//! let mut scanner = Scanner::default();
//! assert!(!scanner.scan(b"HTTP/1.1 200 OK\r\nContent-Le")?);
//! assert!(scanner.scan(b"ngth: 5\r\n\r\nhello")?);
//! assert!(Scanner::default().scan(b"HTTP/1.1 200 OK\r\nX: y\n\r\n").is_err());
//! # Ok::<(), rilltrack::protocol::response_head::Error>(())
//! ```

/// What a response begins with; the minor version follows.
const PROTOCOL: &[u8] = b"HTTP/1.";

/// Bytes that are not the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Error(&'static str);

/// Where in a head the next byte is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// The first byte of the status line.
    #[default]
    Start,
    /// At this index of [`PROTOCOL`].
    Protocol(usize),
    /// The minor version.
    Minor,
    /// The blank before the status.
    Blank,
    /// After this many digits of the status.
    Status(u8),
    /// The reason phrase.
    Reason,
    /// The first byte of a line after the status line.
    Line,
    Name,
    Value,
    /// A carriage return was read, at the end of a line.
    LineEnd,
    /// A carriage return was read, on an empty line.
    HeadEnd,
    /// The head of a final response has ended.
    Ended,
}

/// Checks the bytes of a response up to the end of its head, with the informational responses before
/// it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    state: State,
    status: u16,
}

impl Scanner {
    /// Checks the next bytes; returns whether the head of the final response has ended. What comes
    /// after it isn't checked.
    ///
    /// # Errors
    ///
    /// At the first byte that doesn't fit the grammar.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<bool, Error> {
        for byte in bytes {
            if self.state == State::Ended {
                break;
            }
            self.state = self.next(*byte)?;
        }
        Ok(self.state == State::Ended)
    }

    fn next(&mut self, byte: u8) -> Result<State, Error> {
        match (self.state, byte) {
            (State::Start, b'H') => Ok(State::Protocol(1)),
            (State::Protocol(index), _) if byte == PROTOCOL[index] => {
                match index + 1 < PROTOCOL.len() {
                    true => Ok(State::Protocol(index + 1)),
                    false => Ok(State::Minor),
                }
            }
            (State::Minor, b'0' | b'1') => Ok(State::Blank),
            (State::Start | State::Protocol(_) | State::Minor, _) => {
                Err(Error("the version is not HTTP/1.0 or HTTP/1.1"))
            }
            (State::Blank, b' ') => {
                self.status = 0;
                Ok(State::Status(0))
            }
            (State::Status(digits @ 0..=2), b'0'..=b'9') => {
                self.status = self.status * 10 + u16::from(byte - b'0');
                Ok(State::Status(digits + 1))
            }
            (State::Status(3), _) if !(100..600).contains(&self.status) => {
                Err(Error("the status is not one of HTTP"))
            }
            (State::Status(3), b' ') => Ok(State::Reason),
            (State::Status(3) | State::Reason | State::Value, b'\r') => Ok(State::LineEnd),
            (State::Blank | State::Status(_), _) => Err(Error("the status is not a number")),
            (State::Reason, _) if is_text(byte) => Ok(State::Reason),
            (State::Reason, _) => Err(Error("the reason phrase has a control byte")),
            (State::Line, b'\r') => Ok(State::HeadEnd),
            (State::Line | State::Name, _) if is_token(byte) => Ok(State::Name),
            (State::Name, b':') => Ok(State::Value),
            (State::Line | State::Name, _) => Err(Error("a line is not a field")),
            (State::Value, _) if is_text(byte) => Ok(State::Value),
            (State::Value, _) => Err(Error("the value of a field has a control byte")),
            (State::LineEnd, b'\n') => Ok(State::Line),
            (State::HeadEnd, b'\n') => Ok(self.end()),
            (State::LineEnd | State::HeadEnd, _) => {
                Err(Error("a carriage return is not at the end of a line"))
            }
            (State::Ended, _) => Ok(State::Ended),
        }
    }

    /// Returns the state after the end of a head: another response follows an informational one.
    /// Status 101 is final, since the connection has another protocol after it.
    fn end(&self) -> State {
        match self.status {
            100 | 102..200 => State::Start,
            _ => State::Ended,
        }
    }
}

/// Returns whether a byte may stand in the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may stand in the value of a field or in a reason phrase.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 0x7f
}
