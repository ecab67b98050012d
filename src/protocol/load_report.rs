//! Messages in which nodes tell each other the loads of their targets.
//!
//! They are encoded as arrays without field names, and an [`Entry`] names its target by a hash:
//! a node receives the loads of all targets of the services that it uses five times a second.
//! With names, an entry takes 75 bytes instead of about 30.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    id::{Name, Node},
    state::{
        member::{Member, Target},
        priority::Priority,
    },
};

/// The most entries in a message. A service of 13,000 targets in 730 services has 18 of them.
pub const MAX_ENTRIES: usize = 256;

/// The most priorities whose waiting requests a report lists. Teams and routes together use few.
pub const MAX_PRIORITIES: usize = 8;

/// The most services whose loads a node asks for. A node that uses more gets those that it
/// sent to last.
pub const MAX_WANTED: usize = 32;

/// The most slots of a target. Larger numbers are faults: a node couldn't have as many requests
/// open.
pub const MAX_SLOTS: u32 = 10_000;

/// The longest slot turnover time: a run of ten minutes on a single slot.
const MAX_TURNOVER_MICROS: u32 = 600_000_000;

/// The bounds of a slowdown in hundredths; those of
/// [`Slowdown`](crate::protocol::dialect::Slowdown).
const SLOWDOWN_BOUNDS: std::ops::RangeInclusive<u16> = 20..=800;

/// The unit of due times in a [`Queued`], in milliseconds. With it, those of up to 1.27 s take
/// one byte.
pub const DUE_UNIT_MILLIS: u16 = 10;

/// The longest time until a due time that a [`Queued`] states, in units of [`DUE_UNIT_MILLIS`]:
/// a minute. Callers' deadlines are shorter.
pub const MAX_DUE_UNITS: u16 = 6_000;

/// The hash that names a target in an [`Entry`]: of its node, the node's incarnation, its service
/// and its instance with its start time, so that a target that starts again under the same id
/// gets another one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Id(pub u32);

impl Id {
    /// Returns the id of a member's target.
    pub fn of(member: &Member, target: &Target) -> Self {
        let mut hash = Xxh3::new();
        for part in [
            member.node.as_str().as_bytes(),
            &member.incarnation.0.to_le_bytes(),
            target.service.as_str().as_bytes(),
            target.instance.id().as_bytes(),
            &target.instance.born().unwrap_or_default().to_le_bytes(),
        ] {
            hash.update(part);
            // Separates the parts: none of the names contains a zero byte.
            hash.update(&[0]);
        }
        Self(hash.digest() as u32)
    }
}

/// The load of a target, as the gate beside it knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Running requests.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the target runs at a time.
    pub slots: u32,
    /// The slot turnover time, in microseconds.
    pub turnover_micros: u32,
    /// The ratio of run times to usual run times, in hundredths.
    pub slowdown: u16,
    /// The waiting requests by priority, the highest first.
    pub queue: Vec<Queued>,
    /// The slowness that the target states, in hundredths of the usual time; `None` if it states
    /// none.
    pub slowness: Option<u16>,
}

/// The waiting requests of one priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Queued {
    /// The priority; 0 goes first.
    pub priority: Priority,
    /// The waiting requests of this priority.
    pub waiting: u32,
    /// Those of them that are expected to miss their due time. They go after the others.
    pub late: u32,
    /// The time until the earliest due time of the others, in units of [`DUE_UNIT_MILLIS`].
    pub first_due: u16,
    /// The time until their latest due time, in the same unit.
    pub last_due: u16,
}

/// The load of a target with its age.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The target.
    pub id: Id,
    /// Counts the states that its node has taken since the node's process started. An entry with
    /// a number that isn't higher than the last one is a repetition.
    pub sequence: u64,
    /// The milliseconds since the state was taken, as far as the sender knows.
    pub age: i64,
    /// The load.
    pub state: State,
}

/// Loads that a node reports.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The reporting node.
    pub from: Node,
    /// Whether it is the first-ranked node of another failure domain, which needs no answer.
    pub is_domain: bool,
    /// The services whose loads it asks for.
    pub wanted: Vec<Name>,
    /// The loads: of its own target, or of its failure domain's.
    pub entries: Vec<Entry>,
}

/// The answer to a [`Message`]: the freshest known loads of the wanted services.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The loads.
    pub entries: Vec<Entry>,
}

/// An entry that is out of bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0} is out of bounds")]
pub struct OutOfBounds(&'static str);

impl Entry {
    /// Checks that all figures are within their bounds. An old entry is within them; it is for
    /// the receiver to ignore it.
    ///
    /// # Errors
    ///
    /// The first figure that isn't.
    pub fn check(&self) -> Result<(), OutOfBounds> {
        let state = &self.state;
        // A gate lets two requests wait for each slot.
        let listed = state.queue.iter().try_fold(0u32, |sum, queued| {
            let is_ordered = queued.late <= queued.waiting
                && queued.first_due <= queued.last_due
                && queued.last_due <= MAX_DUE_UNITS;
            sum.checked_add(queued.waiting).filter(|_| is_ordered)
        });
        let checks = [
            ("age", self.age >= 0),
            ("slots", (1..=MAX_SLOTS).contains(&state.slots)),
            ("running", state.running <= MAX_SLOTS),
            ("waiting", state.waiting <= 2 * MAX_SLOTS),
            ("queue", state.queue.len() <= MAX_PRIORITIES),
            ("queue", listed.is_some_and(|sum| sum <= state.waiting)),
            (
                "turnover",
                (1..=MAX_TURNOVER_MICROS).contains(&state.turnover_micros),
            ),
            ("slowdown", SLOWDOWN_BOUNDS.contains(&state.slowdown)),
            (
                "slowness",
                state.slowness.is_none_or(|s| SLOWDOWN_BOUNDS.contains(&s)),
            ),
        ];
        match checks.iter().find(|(_, is_within)| !is_within) {
            Some((what, _)) => Err(OutOfBounds(what)),
            None => Ok(()),
        }
    }
}
