//! The replicated state machine that applies the configuration stream.
//!
//! Every node applies the same records in the same order with the same
//! deterministic function, so all nodes accept and reject the same changes
//! without a coordinator. They only have to agree on the order of the records,
//! which the platform's log provides.

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
        change::{Anchor, Change, Entry, RULES_VERSION, Restore},
        check::{Problem, ResourceSet, Touched},
        resource::Key,
        version::Version,
    },
};

/// The number of records by which a change's base may be behind, and the number
/// of outcomes remembered by change id.
///
/// Both use the same number so that a repeat is never applied twice: a change
/// too old to be recognised as a repeat is also too old to be applied.
pub const WINDOW: usize = 1024;

/// The maximum number of recent records kept for nodes that are behind.
const MAX_RECENT_RECORDS: usize = 4096;

/// The maximum total size, in bytes, of these records.
const MAX_RECENT_BYTES: usize = 4 << 20;

/// The configuration that results from the records applied so far.
///
/// # Example
///
/// ```
/// use rilltrack::state::machine::Machine;
///
/// let mut machine = Machine::new();
/// // Every node skips a record that this system did not write.
/// let outcome = machine.apply(0, b"noise".as_slice().into())?;
/// assert!(!outcome.verdict.is_accepted());
/// assert_eq!(machine.version().offset, 1);
/// # Ok::<(), rilltrack::state::Error>(())
/// ```
#[derive(Debug)]
pub struct Machine {
    core: Core,
    resources: Arc<ResourceSet>,
    /// The most recent records, oldest first.
    recent: VecDeque<Bytes>,
    /// The total size of `recent`.
    recent_bytes: usize,
    /// The encoded snapshot of the current version, cached because many nodes may
    /// ask for it at the same time.
    cached_snapshot: OnceLock<Bytes>,
}

/// The part of a [`Machine`], besides the resources, that a snapshot contains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Core {
    /// The current version and its digest.
    now: Anchor,
    /// The version of the last accepted change.
    accepted: Version,
    /// The outcomes of the last [`WINDOW`] changes, oldest first.
    seen: VecDeque<Outcome>,
    /// The last [`WINDOW`] anchors, oldest first.
    anchors: VecDeque<Anchor>,
}

/// The decision on one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The id of the change, if the record contains one.
    pub id: Option<id::Change>,
    /// The version after the record.
    pub version: Version,
    /// Who published it.
    pub author: String,
    /// The publisher's note.
    pub note: String,
    /// The resources that the change names.
    pub keys: Vec<Key>,
    /// Whether the change was accepted, and if not, why.
    pub verdict: Verdict,
}

/// Whether a record was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from this version on.
    Accepted,
    /// The change was already decided on, at this version.
    Repeated(Version),
    /// Another change modified or deleted these resources, which this change
    /// touches, after the version that it expects.
    Conflict(Vec<Key>),
    /// The change or a reference to or from its resources is invalid.
    Invalid(Vec<Problem>),
    /// The base of the change is too old or belongs to another history of the
    /// log.
    Foreign,
    /// The record was not written by this system or can't be decoded.
    Unreadable,
}

impl Verdict {
    /// Returns whether the change is in force.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// The result of [`Machine::apply`].
#[derive(Clone, Debug)]
pub struct Applied {
    /// The decision, the same on every node.
    pub verdict: Verdict,
    /// The id of the change, if the record contains one.
    pub id: Option<id::Change>,
    /// What a view has to recompute; empty unless the change was accepted.
    pub touched: Touched,
}

impl Default for Machine {
    fn default() -> Self {
        Self::new()
    }
}

impl Machine {
    /// Returns a machine that has applied no record.
    pub fn new() -> Self {
        Self {
            core: Core::default(),
            resources: Arc::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            cached_snapshot: OnceLock::new(),
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> Version {
        self.core.now.version
    }

    /// Returns the current version and the digest of the records up to it.
    pub fn anchor(&self) -> Anchor {
        self.core.now
    }

    /// Returns the version of the last accepted change.
    pub fn last_accepted(&self) -> Version {
        self.core.accepted
    }

    /// Returns the resources in force.
    pub fn resources(&self) -> &Arc<ResourceSet> {
        &self.resources
    }

    /// Returns the outcomes still remembered, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Outcome> {
        self.core.seen.iter()
    }

    /// Returns the outcome of a change, if it is still remembered.
    pub fn outcome(&self, id: &id::Change) -> Option<&Outcome> {
        self.core
            .seen
            .iter()
            .find(|outcome| outcome.id.as_ref() == Some(id))
    }

    /// Returns the records from `from` on, or `None` if `from` is of another
    /// epoch or later than the current version, or some records are no longer
    /// kept.
    pub fn records(&self, from: Version) -> Option<Vec<Bytes>> {
        let current = self.version();
        if from.epoch != current.epoch || from.offset > current.offset {
            return None;
        }
        let missing = (current.offset - from.offset) as usize;
        let start = self.recent.len().checked_sub(missing)?;
        Some(self.recent.range(start..).cloned().collect())
    }

    /// Applies the record at `offset` of the configuration stream.
    ///
    /// A rejected record advances the version as well, because all nodes have
    /// decided on it.
    ///
    /// # Errors
    ///
    /// [`Error::OffsetGap`] if the record is not the next one and [`Error::UnsupportedRules`]
    /// if it needs a newer program. The state is unchanged in both cases.
    pub fn apply(&mut self, offset: u64, record: Bytes) -> Result<Applied, Error> {
        let current = self.version();
        if offset != current.offset {
            return Err(Error::OffsetGap {
                found: offset,
                held: current,
            });
        }
        let entry = match Entry::decode(&record) {
            Err(error @ Error::UnsupportedRules { .. }) => return Err(error),
            other => other.ok(),
        };
        let version = current.after(offset);
        let applied = match entry {
            Some(Entry::Change(change)) => self.apply_change(change, version),
            // Within an epoch there is nothing to restore; `Machine::restore`
            // starts a new one.
            Some(Entry::Restore(_)) => skipped(Verdict::Foreign),
            None => skipped(Verdict::Unreadable),
        };
        self.advance(version, &record);
        self.keep_recent(record);
        Ok(applied)
    }

    /// Starts the epoch that the record `restore` at `offset` announces.
    ///
    /// Returns whether the new epoch continues from the current state. If not,
    /// nothing changes and a snapshot of the new epoch has to be fetched.
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
            self.cached_snapshot = OnceLock::new();
            self.recent.clear();
            self.recent_bytes = 0;
        }
        continues
    }

    fn apply_change(&mut self, change: Change, version: Version) -> Applied {
        let mut touched = Touched::default();
        let verdict = match self.check_preconditions(&change) {
            Some(verdict) => verdict,
            None => match Arc::make_mut(&mut self.resources).apply(&change.ops, version) {
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
        // Only the first decision on an id is remembered.
        if !matches!(verdict, Verdict::Repeated(_)) {
            self.record_outcome(change, version, verdict);
        }
        applied
    }

    /// Returns why a change is rejected before its operations are applied, or
    /// `None` if they may be applied.
    fn check_preconditions(&self, change: &Change) -> Option<Verdict> {
        if let Some(first) = self.outcome(&change.id) {
            return Some(Verdict::Repeated(first.version));
        }
        if !self.is_known_anchor(change.base) {
            return Some(Verdict::Foreign);
        }
        let expect = change.expect?;
        let changed_since = |key: &Key| {
            self.resources
                .get(key)
                .is_some_and(|stored| stored.modified > expect)
        };
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

    /// Returns the resources that `change` touches and that another accepted change
    /// deleted after `expect`.
    fn deleted_since<'a>(
        &'a self,
        expect: Version,
        change: &'a Change,
    ) -> impl Iterator<Item = Key> + 'a {
        let later = self
            .history()
            .filter(move |o| o.version > expect && o.verdict.is_accepted());
        let deleted = later
            .flat_map(|o| &o.keys)
            .filter(|key| self.resources.get(key).is_none());
        deleted
            .filter(|key| change.ops.iter().any(|op| op.key() == **key))
            .cloned()
    }

    /// Returns whether `base` is a recent anchor of this machine's history. The
    /// anchor before the first record counts while it is recent.
    fn is_known_anchor(&self, base: Anchor) -> bool {
        let is_start = base == Anchor::default() && self.version().offset as usize <= WINDOW;
        is_start || base == self.core.now || self.core.anchors.contains(&base)
    }

    fn record_outcome(&mut self, change: Change, version: Version, verdict: Verdict) {
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
        let digest = first_u64(hasher.finalize().as_bytes());
        self.core.now = Anchor { version, digest };
        self.cached_snapshot = OnceLock::new();
        self.core.anchors.push_back(self.core.now);
        while self.core.anchors.len() > WINDOW {
            self.core.anchors.pop_front();
        }
    }

    fn keep_recent(&mut self, record: Bytes) {
        self.recent_bytes += record.len();
        self.recent.push_back(record);
        while self.recent.len() > MAX_RECENT_RECORDS || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= oldest.len();
        }
    }

    /// Returns a snapshot of the whole state, preceded by a checksum.
    pub fn snapshot(&self) -> Bytes {
        self.cached_snapshot.get_or_init(|| self.encode()).clone()
    }

    fn encode(&self) -> Bytes {
        let body = rmp_serde::to_vec_named(&Snapshot {
            rules: RULES_VERSION,
            core: self.core.clone(),
            set: self.resources.as_ref().clone(),
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
    /// [`Error::Checksum`], [`Error::Decode`] or [`Error::UnsupportedRules`] if the
    /// snapshot is damaged or needs a newer program. A damaged snapshot is never
    /// used in part.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, Error> {
        let (checksum, body) = bytes.split_first_chunk::<32>().ok_or(Error::Checksum)?;
        if blake3::hash(body) != blake3::Hash::from_bytes(*checksum) {
            return Err(Error::Checksum);
        }
        let snapshot: Snapshot = rmp_serde::from_slice(body).map_err(|source| Error::Decode {
            what: "snapshot",
            source,
        })?;
        if snapshot.rules > RULES_VERSION {
            return Err(Error::UnsupportedRules {
                found: snapshot.rules,
                known: RULES_VERSION,
            });
        }
        let mut machine = Self::new();
        machine.core = snapshot.core;
        machine.resources = Arc::new(snapshot.set);
        Ok(machine)
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    rules: u32,
    core: Core,
    set: ResourceSet,
}

fn skipped(verdict: Verdict) -> Applied {
    Applied {
        verdict,
        id: None,
        touched: Touched::default(),
    }
}

fn first_u64(hash: &[u8; 32]) -> u64 {
    let (word, _) = hash.split_first_chunk::<8>().expect("a hash is 32 bytes");
    u64::from_be_bytes(*word)
}
