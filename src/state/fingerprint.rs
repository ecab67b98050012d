//! Fingerprints of requests, by which nodes recognise requests with the same content.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The length of a fingerprint in bytes. At this length nobody can construct two requests
/// with the same fingerprint, because that takes about 2^64 attempts.
const LENGTH_BYTES: usize = 16;

/// The hash of a request's method, host, path and body.
///
/// The caller is left out. A request that arrives through nodes beside different services
/// has different callers, and would otherwise crash targets again for each of them.
///
/// # Example
///
/// ```
/// use rilltrack::state::fingerprint::Fingerprint;
///
/// let lookup = |path: &str| Fingerprint::of(&[b"GET", path.as_bytes()]);
/// assert_eq!(lookup("/card/7"), lookup("/card/7"));
/// assert_ne!(lookup("/card/7"), lookup("/card/8"));
/// // The boundaries between the parts matter.
/// assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
/// assert_eq!(lookup("/card/7").to_string().parse(), Ok(lookup("/card/7")));
/// ```
///
/// Human-readable formats represent it as text; records and messages of nodes represent it
/// as bytes.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u128);

/// Why a text can't be parsed as a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a fingerprint: 32 hexadecimal digits")]
pub struct Error(String);

impl Fingerprint {
    /// Returns the fingerprint of a request with these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LENGTH_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl Fingerprint {
    /// Returns the upper half of the bits, which [`Fingerprint::index`] does not use.
    pub fn high_bits(&self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Returns its index in a table with `places` entries.
    pub fn index(&self, places: usize) -> usize {
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
            Ok(bits) if text.len() == 2 * LENGTH_BYTES => Ok(Self(bits)),
            _ => Err(Error(text.into())),
        }
    }
}
