//! Names and identifiers of nodes, targets, resources and changes.
//!
//! A name is 1 to 63 bytes of `a-z`, `0-9`, `-` and `.`, and starts with a
//! letter or digit. The rule is strict because names are part of HTTP headers,
//! log lines and URLs, where none may need escaping.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// The error for a text that is not a valid name, change id or release.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a {kind}: use {rule}")]
pub struct Error {
    kind: &'static str,
    text: String,
    rule: &'static str,
}

/// The rule for names, as error messages state it.
const NAME_RULE: &str = "1 to 63 of a-z, 0-9, `-`, `.`, starting with a letter or digit";

fn is_name(text: &str) -> bool {
    let has_valid_start = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let has_valid_bytes = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.');
    has_valid_start && has_valid_bytes && text.len() <= MAX_NAME_LEN
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
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
                    Err(Error { kind: $kind, text: text.into(), rule: NAME_RULE })
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
    /// The name of a node: one process of this system, on one target host.
    Node,
    "node name"
);
name!(
    /// The name of a resource of the configuration, such as a failure domain,
    /// a service or a route.
    Name,
    "resource name"
);
name!(
    /// The id of one change of the configuration. It is never reused, so that a
    /// repeated publish of the change is recognised.
    Change,
    "change id"
);

/// Maximum length of a release, in bytes.
const MAX_RELEASE_LEN: usize = 64;

/// The release of a target's program, as its developers name it. It is unrelated to the
/// versions of the configuration, which are numbers.
///
/// A release is any text of 1 to 64 visible ASCII characters:
///
/// ```
/// use rilltrack::id::Release;
///
/// assert_eq!("v2.1+rc1".parse::<Release>()?.to_string(), "v2.1+rc1");
/// assert!("".parse::<Release>().is_err());
/// # Ok::<(), rilltrack::id::Error>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Release(Arc<str>);

impl FromStr for Release {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
        if is_visible && (1..=MAX_RELEASE_LEN).contains(&text.len()) {
            Ok(Self(text.into()))
        } else {
            Err(Error {
                kind: "release",
                text: text.into(),
                rule: "1 to 64 visible ASCII characters",
            })
        }
    }
}

impl TryFrom<String> for Release {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Release> for String {
    fn from(release: Release) -> Self {
        release.0.as_ref().into()
    }
}

impl fmt::Display for Release {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One incarnation of a node, that is, one run of its process.
///
/// The number is taken from the system clock at the start, so that a later
/// incarnation has a larger one. Safety relies on equality only. The order only
/// breaks ties between announcements.
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

/// Distinguishes the keys of the store under which one node's records are written.
///
/// Generations of a node only grow. The text form is a decimal number:
///
/// ```
/// use rilltrack::id::Generation;
///
/// let generation: Generation = "1791758000000".parse()?;
/// assert!(generation > Generation::default());
/// assert_eq!(generation.to_string(), "1791758000000");
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns whether this is the generation of records that state none.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One instance of a target: the id under which its process announces itself, and the
/// process's start time, if known.
///
/// The id alone does not identify an instance. A target may restart under the same id and
/// then has none of its earlier state: the drain, load and slowdown of the earlier instance
/// do not apply to the new one.
///
/// The text form is `ID@BORN`, or the id alone if the start time is unknown. `BORN` is the
/// start time in milliseconds since 1970:
///
/// ```
/// use rilltrack::id::Instance;
///
/// let first = Instance::new("i-7", Some(1_791_758_000_000));
/// let restarted = Instance::new("i-7", Some(1_791_758_009_000));
/// assert_ne!(first, restarted);
/// assert!(first.is_before(&restarted));
/// assert_eq!(Instance::from(first.to_string()), first);
/// assert_eq!(Instance::from("i-7").born(), None);
/// ```
#[derive(Clone, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Instance {
    id: Arc<str>,
    born: Option<u64>,
}

impl Instance {
    /// Returns the instance of `id` that started `born` milliseconds after 1970, if known.
    pub fn new(id: &str, born: Option<u64>) -> Self {
        Self {
            id: id.into(),
            born,
        }
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the start time in milliseconds since 1970, if known.
    pub fn born(&self) -> Option<u64> {
        self.born
    }

    /// Returns whether this instance started before `other`; `false` if either start time
    /// is unknown.
    pub fn is_before(&self, other: &Self) -> bool {
        matches!((self.born, other.born), (Some(start), Some(other_start)) if start < other_start)
    }

    /// Returns whether both may be the same instance: the ids are equal, and so are the
    /// start times if both are known.
    pub fn may_match(&self, other: &Self) -> bool {
        let may_have_same_start = match (self.born, other.born) {
            (Some(start), Some(other_start)) => start == other_start,
            _ => true,
        };
        self.id == other.id && may_have_same_start
    }
}

impl Default for Instance {
    /// Returns the instance of a target that reports neither id nor start time.
    fn default() -> Self {
        Self::new("", None)
    }
}

impl From<&str> for Instance {
    fn from(text: &str) -> Self {
        match text.rsplit_once('@') {
            Some((id, "")) => Self::new(id, None),
            Some((id, born)) if born.parse::<u64>().is_ok() => Self::new(id, born.parse().ok()),
            _ => Self::new(text, None),
        }
    }
}

impl From<String> for Instance {
    fn from(text: String) -> Self {
        text.as_str().into()
    }
}

impl From<Instance> for String {
    fn from(instance: Instance) -> Self {
        instance.to_string()
    }
}

impl fmt::Debug for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.to_string(), f)
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)?;
        match self.born {
            Some(born) => write!(f, "@{born}"),
            // Without a final `@`, parsing could take the end of the id for a start time.
            None if self.id.contains('@') => f.write_str("@"),
            None => Ok(()),
        }
    }
}
