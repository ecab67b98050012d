//! The platform's log as rilltrack uses it; see docs/LOG.md.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::version::Version;

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset that the log still keeps.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records from the offset asked for on.
    pub records: Vec<Bytes>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

/// One part of a snapshot in the snapshot stream.
///
/// A snapshot is complete once all parts of one writer and version are there,
/// in order; anything else is passed over. Two writers at once therefore do no
/// harm, nor does one that dies midway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Tells one writing from any other.
    pub writing: u64,
    /// The version of the snapshot.
    pub version: Version,
    /// The number of this part, from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The bytes.
    pub bytes: Bytes,
}

/// Splits a snapshot into parts of at most `max` bytes each.
pub fn split(snapshot: &Bytes, version: Version, writing: u64, max: usize) -> Vec<Part> {
    let count = snapshot.len().div_ceil(max).max(1) as u32;
    let part = |index: u32| {
        let start = index as usize * max;
        let end = snapshot.len().min(start + max);
        Part {
            writing,
            version,
            index,
            count,
            bytes: snapshot.slice(start..end),
        }
    };
    (0..count).map(part).collect()
}

/// Puts snapshots together from parts as they are read.
#[derive(Debug, Default)]
pub struct Assembly {
    open: std::collections::HashMap<u64, Vec<Part>>,
    newest: Option<(Version, Bytes)>,
}

impl Assembly {
    /// Takes the next part of the stream.
    pub fn add(&mut self, part: Part) {
        let writing = part.writing;
        let parts = self.open.entry(writing).or_default();
        if part.index as usize != parts.len() {
            // A part is missing (expired, or never written): never complete.
            self.open.remove(&writing);
            return;
        }
        let count = part.count as usize;
        parts.push(part);
        if parts.len() == count {
            self.complete(writing);
        }
    }

    fn complete(&mut self, writing: u64) {
        let Some(parts) = self.open.remove(&writing) else {
            return;
        };
        let version = parts[0].version;
        if self.newest.as_ref().is_none_or(|(held, _)| *held < version) {
            let bytes: Vec<u8> = parts
                .iter()
                .flat_map(|part| part.bytes.iter().copied())
                .collect();
            self.newest = Some((version, bytes.into()));
        }
    }

    /// Returns the newest complete snapshot seen.
    pub fn into_newest(self) -> Option<(Version, Bytes)> {
        self.newest
    }
}
