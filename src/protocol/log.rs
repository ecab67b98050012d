//! Records of the platform's log, and snapshots in it; see docs/LOG.md.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::version::Version;

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset that the log still has.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records from the requested offset on.
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
/// A snapshot is complete once all parts of one write have been read in order. Readers
/// ignore incomplete snapshots, so concurrent writers and a writer that dies midway do
/// no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The id of the write, which all parts of one snapshot share.
    pub writing: u64,
    /// The version of the snapshot.
    pub version: Version,
    /// The index of this part, from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The bytes of this part.
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

/// Assembles snapshots from parts in the order of reading.
#[derive(Debug, Default)]
pub struct Assembly {
    incomplete: std::collections::HashMap<u64, Vec<Part>>,
    newest: Option<(Version, Bytes)>,
}

impl Assembly {
    /// Adds the next part of the stream.
    pub fn add(&mut self, part: Part) {
        let writing = part.writing;
        let parts = self.incomplete.entry(writing).or_default();
        if part.index as usize != parts.len() {
            // An earlier part has expired or was never written, so the snapshot can't
            // become complete.
            self.incomplete.remove(&writing);
            return;
        }
        let count = part.count as usize;
        parts.push(part);
        if parts.len() == count {
            self.complete(writing);
        }
    }

    fn complete(&mut self, writing: u64) {
        let Some(parts) = self.incomplete.remove(&writing) else {
            return;
        };
        let version = parts[0].version;
        if self
            .newest
            .as_ref()
            .is_none_or(|(newest, _)| *newest < version)
        {
            let bytes: Vec<u8> = parts
                .iter()
                .flat_map(|part| part.bytes.iter().copied())
                .collect();
            self.newest = Some((version, bytes.into()));
        }
    }

    /// Returns the complete snapshot of the highest version.
    pub fn into_newest(self) -> Option<(Version, Bytes)> {
        self.newest
    }
}
