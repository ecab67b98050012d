//! Changes of configuration, as records of the platform's log.

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

/// The newest rules by which this version of the program applies records.
///
/// All nodes must decide alike, so a node that meets a record of newer rules
/// stops there and keeps serving what it holds until it is upgraded.
pub const RULES: u32 = 1;

/// What tells our records from a stranger's.
const MAGIC: [u8; 2] = *b"rt";

/// One change of configuration: all of its operations, or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The key under which a repeat is recognised.
    pub id: id::Change,
    /// The state the publisher saw; ties the record to one history.
    pub base: Anchor,
    /// If set, every resource touched must be unchanged since this version.
    pub expect: Option<Version>,
    /// Who published it, for the history.
    pub author: String,
    /// Why, for the history.
    pub note: String,
    /// The operations.
    pub ops: Vec<Op>,
}

/// One operation of a [`Change`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Op {
    /// Creates a resource or replaces it whole.
    Put(Resource),
    /// Deletes a resource.
    Delete(Key),
    /// Sets labels of a resource.
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
    /// Returns the resource that the operation touches.
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
    /// The digest over all records up to it; two histories that share an
    /// offset differ here.
    pub digest: u64,
}

/// A new epoch, begun by an operator after the log lost its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restore {
    /// The state that goes on, which nodes hold or fetch from each other.
    pub base: Anchor,
    /// The epoch that begins with the next record.
    pub epoch: u32,
    /// Who began it.
    pub author: String,
}

/// What a record of the configuration stream holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A change.
    Change(Change),
    /// A new epoch.
    Restore(Restore),
}

impl Entry {
    /// Returns the record that holds this entry.
    pub fn encode(&self) -> Bytes {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(RULES.to_be_bytes());
        // Field names are written out, so that a later version may add fields.
        let body = rmp_serde::to_vec_named(self);
        bytes.extend(body.expect("plain data always encodes"));
        bytes.into()
    }

    /// Returns the entry that `record` holds.
    ///
    /// # Errors
    ///
    /// [`Error::Rules`] if the record needs a newer program, which must stop
    /// here; [`Error::Decode`] if it is no record of ours, which every node
    /// finds alike and passes over.
    pub fn decode(record: &[u8]) -> Result<Self, Error> {
        let body = record
            .strip_prefix(&MAGIC)
            .and_then(<[u8]>::split_first_chunk::<4>);
        let Some((rules, body)) = body else {
            return Err(foreign());
        };
        let found = u32::from_be_bytes(*rules);
        if found > RULES {
            return Err(Error::Rules {
                found,
                known: RULES,
            });
        }
        rmp_serde::from_slice(body).map_err(|source| Error::Decode {
            what: "record",
            source,
        })
    }
}

fn foreign() -> Error {
    let source = rmp_serde::decode::Error::Uncategorized("no record of this system".into());
    Error::Decode {
        what: "record",
        source,
    }
}
