//! The state of a node and the pure functions over it.
//!
//! Nothing in this layer blocks, performs I/O or reads a clock, so every
//! decision here can be replayed and compared with a naive implementation.
//!
//! * [`resource`], [`selector`]: the resources that operators publish and the
//!   conditions on their labels;
//! * [`change`]: changes of resources, as records of the platform's log;
//! * [`machine`]: the replicated state machine that applies the records;
//! * [`check`]: the validation of a change;
//! * [`view`]: the part of the configuration that one proxy needs;
//! * [`member`]: the nodes and targets of the mesh;
//! * [`region`]: the regions of failure domains, and how far they are apart;
//! * [`evidence`], [`fingerprint`]: what nodes report about requests under which
//!   targets crashed;
//! * [`priority`]: who goes first when slots are short;
//! * [`routing`]: a complete version of routes from an external source;
//! * [`team`]: the teams whose callers may send requests, and their keys;
//! * [`drain`]: which failure domains an operator has drained;
//! * [`rollout`]: the progress of moving a service to another release;
//! * [`version`]: the position of a state in the log.

pub mod change;
pub mod check;
pub mod drain;
pub mod evidence;
pub mod fingerprint;
pub mod machine;
pub mod member;
pub mod priority;
pub mod region;
pub mod resource;
pub mod rollout;
pub mod routing;
pub mod selector;
pub mod team;
pub mod version;
pub mod view;

/// Why a record or snapshot could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A record or snapshot could not be decoded.
    #[error("cannot decode {what}")]
    Decode {
        /// What was being decoded.
        what: &'static str,
        /// The decoder's error.
        #[source]
        source: rmp_serde::decode::Error,
    },
    /// A snapshot's checksum does not match its content.
    #[error("checksum of snapshot does not match")]
    Checksum,
    /// A record or snapshot needs a newer rules version than this program
    /// supports.
    #[error("written under rules {found}, this version knows up to {known}")]
    UnsupportedRules {
        /// The rules version that it needs.
        found: u32,
        /// The newest rules version of this program.
        known: u32,
    },
    /// A record's offset is not the next one for this state.
    #[error("record at {found} does not continue version {held}")]
    OffsetGap {
        /// The offset of the record.
        found: u64,
        /// The version of the state.
        held: version::Version,
    },
}
