//! Changes of the configuration, as records of the platform's log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id,
    state::{
        Error,
        resource::{Key, Resource},
        selector::Labels,
        version::Version,
    },
};

/// The newest version of the rules by which this program applies records.
///
/// All nodes must make the same decisions, so a node that reads a record of newer
/// rules stops there and keeps serving its current version until it is upgraded.
pub const RULES_VERSION: u32 = 1;

/// The first two bytes of each record of this system, which distinguish it from other
/// records in the log.
const MAGIC: [u8; 2] = *b"rt";

/// A change of the configuration. Either all of its operations apply or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The idempotency key: a repeat of the change has the same id.
    pub id: id::Change,
    /// The state that the publisher saw. It ties the record to one history of the log.
    pub base: Anchor,
    /// If set, the change is rejected if a resource that it touches was changed after
    /// this version.
    pub expect: Option<Version>,
    /// The publisher, for the history.
    pub author: String,
    /// The publisher's note on the reason, for the history.
    pub note: String,
    /// The operations.
    pub ops: Vec<Op>,
}

/// One operation of a [`Change`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Op {
    /// Creates a resource or replaces all of it.
    Put(Resource),
    /// Deletes a resource.
    Delete(Key),
    /// Sets and removes labels of a resource.
    Label {
        /// The resource.
        key: Key,
        /// Labels to set.
        set: Labels,
        /// Label keys to remove.
        remove: Vec<String>,
    },
}

impl Op {
    /// Returns the key of the resource that the operation touches.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(resource) => resource.key(),
            Self::Delete(key) | Self::Label { key, .. } => key.clone(),
        }
    }
}

/// A point in one history of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Anchor {
    /// The version.
    pub version: Version,
    /// The digest of all records up to the version. Two histories with the same offset
    /// have different digests.
    pub digest: u64,
}

/// The start of a new epoch, which an operator publishes after the log has lost its
/// last records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restore {
    /// The state from which the epoch continues. Nodes that do not have it fetch it from
    /// others.
    pub base: Anchor,
    /// The epoch that begins with the next record.
    pub epoch: u32,
    /// The operator who started the recovery.
    pub author: String,
}

/// The content of a record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A change.
    Change(Change),
    /// A new epoch.
    Restore(Restore),
}

impl Entry {
    /// Returns the record that contains this entry.
    pub fn encode(&self) -> Bytes {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(RULES_VERSION.to_be_bytes());
        // Fields are written by name, so that a later version can add fields.
        let body = rmp_serde::to_vec_named(self);
        bytes.extend(body.expect("plain data always encodes"));
        bytes.into()
    }

    /// Returns the entry that `record` contains.
    ///
    /// # Errors
    ///
    /// [`Error::UnsupportedRules`] if the record needs a newer program; the node must stop before
    /// this record. [`Error::Decode`] if this system did not write the record; every
    /// node skips it.
    pub fn decode(record: &[u8]) -> Result<Self, Error> {
        let body = record
            .strip_prefix(&MAGIC)
            .and_then(<[u8]>::split_first_chunk::<4>);
        let Some((rules, body)) = body else {
            return Err(foreign_record());
        };
        let found = u32::from_be_bytes(*rules);
        if found > RULES_VERSION {
            return Err(Error::UnsupportedRules {
                found,
                known: RULES_VERSION,
            });
        }
        rmp_serde::from_slice(body).map_err(|source| Error::Decode {
            what: "record",
            source,
        })
    }
}

fn foreign_record() -> Error {
    let source = rmp_serde::decode::Error::Uncategorized("no record of this system".into());
    Error::Decode {
        what: "record",
        source,
    }
}
