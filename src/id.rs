//! Names of the things a mesh is made of.
//!
//! Every name is 1 to 63 bytes of `a-z`, `0-9`, `-` and `.`, and starts with
//! a letter or digit. The rule is narrow on purpose: a name travels in HTTP
//! headers, log lines and URLs, and must never need escaping there.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// A text that is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "`{text}` is not a {what}: use 1 to 63 of a-z, 0-9, `-`, `.`, starting with a letter or digit"
)]
pub struct Error {
    what: &'static str,
    text: String,
}

fn is_name(text: &str) -> bool {
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let all_well = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.');
    starts_well && all_well && text.len() <= MAX_NAME_LEN
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(Error { what: $what, text: text.into() })
                }
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// One process of the system, on one target host.
    Node,
    "node name"
);
name!(
    /// A resource of the configuration: a failure domain, a service, a route.
    Name,
    "resource name"
);
name!(
    /// One change of configuration, unique for ever; the key under which a
    /// repeated publish is recognised.
    Change,
    "change id"
);

/// One life of a node's process.
///
/// Drawn from the operating system's clock at start so that a later life is
/// larger; equality is what safety rests on, order only breaks ties between
/// announcements.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
