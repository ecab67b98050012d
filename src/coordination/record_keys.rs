//! Under which keys of the store a node writes its records.
//!
//! The store keeps the newest record of each key, in the order in which it executes the writes. A
//! write that got no answer may be executed later than newer ones, and would replace a newer record
//! of the same key. So no key gets another record after a write to it failed: the next record has
//! a new [`Generation`], and whoever reads both compares their numbers (docs/design/record-order.md).

use std::collections::BTreeSet;

use crate::{id::Generation, state::member::Member};

/// Which generation a node's next record has, and which earlier ones are to be deleted.
#[derive(Debug, Default)]
pub struct RecordKeys {
    /// The generation that may get another record, if there is one: all writes of other records
    /// to it were answered.
    current: Option<Generation>,
    /// The record of the latest write, if that failed.
    unanswered: Option<Member>,
    /// The generations that the store has, or may get from a write that is executed late.
    known: BTreeSet<Generation>,
}

impl RecordKeys {
    /// Records that the store has a record of this generation.
    pub fn note(&mut self, generation: Generation) {
        self.known.insert(generation);
    }

    /// Returns the record to write so that the store has the content of `wanted`, whose number is
    /// greater than all before it. The generation of `wanted` is ignored.
    ///
    /// The content of a write that failed is written again as it was: it doesn't matter when and
    /// how often the store executes that.
    pub fn next_record(&mut self, wanted: Member) -> Member {
        let has_same_content = |earlier: &Member| {
            let numbered = Member {
                sequence: earlier.sequence,
                generation: earlier.generation,
                ..wanted.clone()
            };
            numbered == *earlier
        };
        if let Some(earlier) = self.unanswered.take().filter(has_same_content) {
            return earlier;
        }
        let generation = *self.current.get_or_insert(Generation(wanted.sequence));
        Member {
            generation,
            ..wanted
        }
    }

    /// Returns the generations that become obsolete with a record of `generation`.
    pub fn obsolete(&self, generation: Generation) -> Vec<Generation> {
        let others = self.known.iter().filter(|known| **known != generation);
        others.copied().collect()
    }

    /// Records that the store has a record of `generation` and no longer has the `deleted` ones.
    pub fn on_written(&mut self, generation: Generation, deleted: &[Generation]) {
        self.known.retain(|known| !deleted.contains(known));
        self.known.insert(generation);
    }

    /// Records that the write of `record` failed.
    pub fn on_failed(&mut self, record: Member) {
        self.known.insert(record.generation);
        self.current = None;
        self.unanswered = Some(record);
    }
}
