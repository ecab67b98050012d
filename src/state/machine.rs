//! The replicated state machine over the configuration stream.
//!
//! Every node applies the same records in the same order with this same
//! function, so all accept and reject alike and no coordinator is needed: the
//! log's order is the only thing that has to be agreed, and the platform
//! keeps it.

use std::{
    collections::VecDeque,
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id,
    state::{
        Error,
        change::{Anchor, Change, Entry, RULES, Restore},
        check::{Problem, Set, Touched},
        resource::Key,
        version::Version,
    },
};

/// How many records back a change's base may lie, and how many change ids are
/// remembered. One number for both makes repeats safe: a change too old to be
/// recognised as a repeat is also too old to be applied.
pub const WINDOW: usize = 1024;

/// Records kept to be handed on to nodes that are behind.
const TAIL_RECORDS: usize = 4096;

/// Bytes of records kept to be handed on.
const TAIL_BYTES: usize = 4 << 20;

/// The state machine.
///
/// # Example
///
/// ```
/// use rilltrack::state::machine::Machine;
///
/// let mut machine = Machine::new();
/// // A record that is none of ours is passed over, by every node alike.
/// let outcome = machine.apply(0, b"noise".as_slice().into())?;
/// assert!(!outcome.verdict.is_accepted());
/// assert_eq!(machine.version().offset, 1);
/// # Ok::<(), rilltrack::state::Error>(())
/// ```
#[derive(Debug)]
pub struct Machine {
    core: Core,
    set: Arc<Set>,
    tail: VecDeque<Bytes>,
    tail_bytes: usize,
    /// The snapshot of just this version: a herd of nodes asks for the same.
    encoded: OnceLock<Bytes>,
}

/// The part of a [`Machine`] that snapshots carry beside the resources.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Core {
    now: Anchor,
    accepted: Version,
    seen: VecDeque<Outcome>,
    anchors: VecDeque<Anchor>,
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The change, where the record held one.
    pub id: Option<id::Change>,
    /// The version after the record.
    pub version: Version,
    /// Who published it.
    pub author: String,
    /// The publisher's note.
    pub note: String,
    /// The resources it names.
    pub keys: Vec<Key>,
    /// Accepted or why not.
    pub verdict: Verdict,
}

/// Whether a record was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// In force from this version on.
    Accepted,
    /// The same change was decided before, at this version.
    Repeated(Version),
    /// Another change came first to a resource that this one touches.
    Conflict(Vec<Key>),
    /// Wrong in itself or in its references.
    Invalid(Vec<Problem>),
    /// Its base is too far back, or of another history of the log.
    Foreign,
    /// No record of this system.
    Unreadable,
}

impl Verdict {
    /// Returns whether the change is in force.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// What [`Machine::apply`] returns.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The decision, as every node makes it.
    pub verdict: Verdict,
    /// The change's id, where there is one.
    pub id: Option<id::Change>,
    /// What has to be projected anew; empty unless accepted.
    pub touched: Touched,
}

impl Default for Machine {
    fn default() -> Self {
        Self::new()
    }
}

impl Machine {
    /// Returns a machine before the first record.
    pub fn new() -> Self {
        Self {
            core: Core::default(),
            set: Arc::default(),
            tail: VecDeque::new(),
            tail_bytes: 0,
            encoded: OnceLock::new(),
        }
    }

    /// Returns the version held.
    pub fn version(&self) -> Version {
        self.core.now.version
    }

    /// Returns the version held and the digest of the history behind it.
    pub fn anchor(&self) -> Anchor {
        self.core.now
    }

    /// Returns the version of the last accepted change.
    pub fn accepted(&self) -> Version {
        self.core.accepted
    }

    /// Returns the resources in force.
    pub fn set(&self) -> &Arc<Set> {
        &self.set
    }

    /// Returns the outcomes still remembered, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Outcome> {
        self.core.seen.iter()
    }

    /// Returns what was decided on a change, if it is still remembered.
    pub fn outcome(&self, id: &id::Change) -> Option<&Outcome> {
        self.core
            .seen
            .iter()
            .find(|outcome| outcome.id.as_ref() == Some(id))
    }

    /// Returns the records from `from` on, if they are all still held.
    pub fn records(&self, from: Version) -> Option<Vec<Bytes>> {
        let held = self.version();
        if from.epoch != held.epoch || from.offset > held.offset {
            return None;
        }
        let missing = (held.offset - from.offset) as usize;
        let start = self.tail.len().checked_sub(missing)?;
        Some(self.tail.range(start..).cloned().collect())
    }

    /// Applies the record at `offset` of the configuration stream.
    ///
    /// A record that is refused moves the version too: all nodes have decided
    /// on it.
    ///
    /// # Errors
    ///
    /// [`Error::Gap`] if the record is not the next one and [`Error::Rules`]
    /// if this program is too old for it. The state is then as before.
    pub fn apply(&mut self, offset: u64, record: Bytes) -> Result<Applied, Error> {
        let held = self.version();
        if offset != held.offset {
            return Err(Error::Gap {
                found: offset,
                held,
            });
        }
        let entry = match Entry::decode(&record) {
            Err(error @ Error::Rules { .. }) => return Err(error),
            other => other.ok(),
        };
        let version = held.after(offset);
        let applied = match entry {
            Some(Entry::Change(change)) => self.change(change, version),
            // A restore in the run of one history has nothing to restore.
            Some(Entry::Restore(_)) => passed_over(Verdict::Foreign),
            None => passed_over(Verdict::Unreadable),
        };
        self.advance(version, &record);
        self.keep(record);
        Ok(applied)
    }

    /// Continues with the epoch that `restore`, found at `offset`, begins.
    ///
    /// Returns whether the state held is the one that goes on; if not, a
    /// snapshot of the new epoch has to be fetched.
    pub fn restore(&mut self, offset: u64, restore: &Restore) -> bool {
        let continues = restore.base == self.core.now && restore.epoch == self.version().epoch + 1;
        if continues {
            let version = Version {
                epoch: restore.epoch,
                offset: offset + 1,
            };
            self.core.now = Anchor {
                version,
                digest: self.core.now.digest,
            };
            self.core.anchors.push_back(self.core.now);
            self.encoded = OnceLock::new();
            self.tail.clear();
            self.tail_bytes = 0;
        }
        continues
    }

    fn change(&mut self, change: Change, version: Version) -> Applied {
        let mut touched = Touched::default();
        let verdict = match self.judge(&change) {
            Some(verdict) => verdict,
            None => match Arc::make_mut(&mut self.set).apply(&change.ops, version) {
                Ok(result) => {
                    touched = result;
                    self.core.accepted = version;
                    Verdict::Accepted
                }
                Err(problems) => Verdict::Invalid(problems),
            },
        };
        let applied = Applied {
            verdict: verdict.clone(),
            id: Some(change.id.clone()),
            touched,
        };
        // The first decision on an id is the one that counts.
        if !matches!(verdict, Verdict::Repeated(_)) {
            self.remember(change, version, verdict);
        }
        applied
    }

    /// Returns the verdict on a change that does not get as far as its
    /// operations.
    fn judge(&self, change: &Change) -> Option<Verdict> {
        if let Some(first) = self.outcome(&change.id) {
            return Some(Verdict::Repeated(first.version));
        }
        if !self.is_of_this_history(change.base) {
            return Some(Verdict::Foreign);
        }
        let expect = change.expect?;
        let changed_since =
            |key: &Key| self.set.get(key).is_some_and(|held| held.modified > expect);
        let mut keys: Vec<Key> = change
            .ops
            .iter()
            .map(|op| op.key())
            .filter(|key| changed_since(key))
            .collect();
        keys.extend(self.deleted_since(expect, change));
        keys.sort();
        keys.dedup();
        (!keys.is_empty()).then_some(Verdict::Conflict(keys))
    }

    /// Returns the resources that `change` touches and that another change
    /// deleted after `expect`.
    fn deleted_since<'a>(
        &'a self,
        expect: Version,
        change: &'a Change,
    ) -> impl Iterator<Item = Key> + 'a {
        let later = self
            .history()
            .filter(move |o| o.version > expect && o.verdict.is_accepted());
        let gone = later
            .flat_map(|o| &o.keys)
            .filter(|key| self.set.get(key).is_none());
        gone.filter(|key| change.ops.iter().any(|op| op.key() == **key))
            .cloned()
    }

    fn is_of_this_history(&self, base: Anchor) -> bool {
        let is_start = base == Anchor::default() && self.version().offset as usize <= WINDOW;
        is_start || base == self.core.now || self.core.anchors.contains(&base)
    }

    fn remember(&mut self, change: Change, version: Version, verdict: Verdict) {
        let keys = change.ops.iter().map(|op| op.key()).collect();
        let Change {
            id, author, note, ..
        } = change;
        self.core.seen.push_back(Outcome {
            id: Some(id),
            version,
            author,
            note,
            keys,
            verdict,
        });
        while self.core.seen.len() > WINDOW {
            self.core.seen.pop_front();
        }
    }

    fn advance(&mut self, version: Version, record: &[u8]) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.core.now.digest.to_be_bytes());
        hasher.update(record);
        let digest = first_word(hasher.finalize().as_bytes());
        self.core.now = Anchor { version, digest };
        self.encoded = OnceLock::new();
        self.core.anchors.push_back(self.core.now);
        while self.core.anchors.len() > WINDOW {
            self.core.anchors.pop_front();
        }
    }

    fn keep(&mut self, record: Bytes) {
        self.tail_bytes += record.len();
        self.tail.push_back(record);
        while self.tail.len() > TAIL_RECORDS || self.tail_bytes > TAIL_BYTES {
            let Some(oldest) = self.tail.pop_front() else {
                break;
            };
            self.tail_bytes -= oldest.len();
        }
    }

    /// Returns a snapshot of the whole state, with a checksum.
    pub fn snapshot(&self) -> Bytes {
        self.encoded.get_or_init(|| self.encode()).clone()
    }

    fn encode(&self) -> Bytes {
        let body = rmp_serde::to_vec_named(&Snapshot {
            rules: RULES,
            core: self.core.clone(),
            set: self.set.as_ref().clone(),
        })
        .expect("plain data always encodes");
        let mut bytes = blake3::hash(&body).as_bytes().to_vec();
        bytes.extend(body);
        bytes.into()
    }

    /// Returns the machine that a snapshot describes.
    ///
    /// # Errors
    ///
    /// [`Error::Checksum`], [`Error::Decode`] or [`Error::Rules`] if the
    /// snapshot is damaged or too new. Nothing is ever taken from part of it.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, Error> {
        let (checksum, body) = bytes.split_first_chunk::<32>().ok_or(Error::Checksum)?;
        if blake3::hash(body) != blake3::Hash::from_bytes(*checksum) {
            return Err(Error::Checksum);
        }
        let snapshot: Snapshot = rmp_serde::from_slice(body).map_err(|source| Error::Decode {
            what: "snapshot",
            source,
        })?;
        if snapshot.rules > RULES {
            return Err(Error::Rules {
                found: snapshot.rules,
                known: RULES,
            });
        }
        let mut machine = Self::new();
        machine.core = snapshot.core;
        machine.set = Arc::new(snapshot.set);
        Ok(machine)
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    rules: u32,
    core: Core,
    set: Set,
}

fn passed_over(verdict: Verdict) -> Applied {
    Applied {
        verdict,
        id: None,
        touched: Touched::default(),
    }
}

fn first_word(hash: &[u8; 32]) -> u64 {
    let (word, _) = hash.split_first_chunk::<8>().expect("a hash is 32 bytes");
    u64::from_be_bytes(*word)
}
