//! Versions of the configuration.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// How far a state has come along the log.
///
/// `offset` is the log offset that comes next, so 0 is "nothing applied".
/// `epoch` counts recoveries after the log lost its end: within one epoch
/// offsets only grow, and a later epoch is newer whatever its offset.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Version {
    /// Recoveries so far. First, because it decides the order.
    pub epoch: u32,
    /// The log offset that comes next.
    pub offset: u64,
}

impl Version {
    /// Returns the version that follows once the record at `offset` is applied.
    pub const fn after(self, offset: u64) -> Self {
        Self {
            epoch: self.epoch,
            offset: offset + 1,
        }
    }

    /// Returns whether anything has been applied at all.
    pub const fn is_empty(self) -> bool {
        self.epoch == 0 && self.offset == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.offset)
    }
}

/// A text that is not a version.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a version, for example `0.42`")]
pub struct Error(String);

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            let (epoch, offset) = text.split_once('.')?;
            Some(Self {
                epoch: epoch.parse().ok()?,
                offset: offset.parse().ok()?,
            })
        };
        parse().ok_or_else(|| Error(text.into()))
    }
}
