//! The content of a request, in a form that nodes can compare.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes of a fingerprint: wide enough that nobody can make two requests that share one,
/// which takes some 2^64 tries.
const WIDTH: usize = 16;

/// What makes two requests alike for a target: the same method, host, path and body.
///
/// Who sends it is left out. A request that comes by nodes beside different services bears
/// different callers, and would end targets anew for each of them.
///
/// # Example
///
/// ```
/// use rilltrack::state::fingerprint::Fingerprint;
///
/// let lookup = |path: &str| Fingerprint::of(&[b"GET", path.as_bytes()]);
/// assert_eq!(lookup("/card/7"), lookup("/card/7"));
/// assert_ne!(lookup("/card/7"), lookup("/card/8"));
/// // Where one part ends and the next begins counts.
/// assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
/// assert_eq!(lookup("/card/7").to_string().parse(), Ok(lookup("/card/7")));
/// ```
///
/// Messages for people have it as text, records and messages of nodes as bytes.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u128);

/// A text that is not a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a fingerprint: 32 hexadecimal digits")]
pub struct Error(String);

impl Fingerprint {
    /// Returns the fingerprint of a content with these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; WIDTH];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl Fingerprint {
    /// Returns a half of it that its place does not depend on.
    pub fn short(&self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Returns its place among so many.
    pub fn place(&self, places: usize) -> usize {
        self.0 as u64 as usize % places.max(1)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(de::Error::custom);
        }
        u128::deserialize(deserializer).map(Self)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bits = u128::from_str_radix(text, 16);
        match bits {
            Ok(bits) if text.len() == 2 * WIDTH => Ok(Self(bits)),
            _ => Err(Error(text.into())),
        }
    }
}
