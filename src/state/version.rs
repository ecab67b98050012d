//! Versions of the configuration.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The position of a state in the log.
///
/// `offset` is the offset of the next record, so 0 means that no record has been
/// applied. `epoch` counts recoveries after the log has lost its last records:
/// within one epoch offsets only grow, and a state of a later epoch is newer at any
/// offset.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Version {
    /// The number of recoveries. Must be the first field, because the derived order
    /// compares it first.
    pub epoch: u32,
    /// The log offset of the next record.
    pub offset: u64,
}

impl Version {
    /// Returns the version after the record at `offset` is applied.
    pub const fn after(self, offset: u64) -> Self {
        Self {
            epoch: self.epoch,
            offset: offset + 1,
        }
    }

    /// Returns whether no record has been applied.
    pub const fn is_empty(self) -> bool {
        self.epoch == 0 && self.offset == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.offset)
    }
}

/// Why a text can't be parsed as a version.
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
