//! Messages between the command-line tool and a node, as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{self, Incarnation, Name, Node},
    protocol::wire::VersionCount,
    state::{
        change::{Anchor, Change},
        check::{Problem, StoredResource},
        fingerprint::Fingerprint,
        machine::{Outcome, Verdict},
        member::{Status, Target},
        rollout::Rollout,
        selector::Labels,
        version::Version,
    },
};

/// A quarantined request. On a platform with its own store, the response to `GET /held` of a
/// node lists them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// Targets that crashed under the request, as far as the node knows.
    pub ends: u8,
    /// How long the node has quarantined the request, in milliseconds.
    pub since_ms: u64,
}

/// The progress of a service's latest roll-out. On a platform with its own store, the response
/// to `GET /rollouts` of a node lists one per service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The roll-out and its stage.
    pub rollout: Rollout,
    /// The age of the order in milliseconds, as far as the node knows.
    pub age_ms: u64,
    /// The condition that the roll-out waits for.
    pub waits_for: String,
    /// Whether the answering node may advance the roll-out, as it reads the store for its
    /// failure domain.
    pub decides: bool,
    /// The targets of the new release.
    pub targets: Vec<TrialTarget>,
}

/// A target of the new release in a roll-out.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrialTarget {
    /// The node on the target's host.
    pub node: Node,
    /// Whether the target is failing; `None` if not known yet.
    pub is_failing: Option<bool>,
}

/// The answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The node that answers.
    pub node: Node,
    /// The current incarnation of the node.
    pub incarnation: Incarnation,
    /// The failure domain of the node.
    pub domain: Name,
    /// Whether the node has a complete view.
    pub ready: bool,
    /// The state that the node has in force.
    pub anchor: Anchor,
    /// The version of the last accepted change.
    pub accepted: Version,
    /// Milliseconds since the view was last known to be current.
    pub age_ms: u64,
    /// The fault that keeps the node from reading the log, if any.
    pub trouble: Option<String>,
    /// All members that the node knows.
    pub members: Vec<MemberStatus>,
}

/// One member in a [`Report`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
    /// The status of the node.
    pub status: Status,
    /// The address at which the node receives frames.
    pub peers: SocketAddr,
    /// The targets on the node's host.
    pub targets: Vec<Target>,
}

/// The answer to `POST /changes`, whose body is a [`Change`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Published {
    /// The change is in the log, with this outcome.
    Decided(Outcome),
    /// The change was refused before it reached the log, so it will never be in force.
    Refused(Verdict),
    /// The log could not be reached, and the change was not appended.
    NotAccepted(String),
    /// The append was sent but not answered. Publishing the same change again is safe and
    /// returns its outcome.
    Unknown(String),
}

/// The answer to `GET /census?version=…`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Convergence {
    /// The requested version.
    pub version: Version,
    /// The number of nodes that have the version in force.
    pub census: VersionCount,
    /// The names of some nodes that don't have the version in force.
    pub lagging: Vec<Node>,
}

/// The answer to `GET /resources`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Resources {
    /// The state that the resources belong to.
    pub anchor: Anchor,
    /// The resources.
    pub held: Vec<StoredResource>,
}

/// The answer to `GET /history`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// The outcomes that the node still keeps, newest first.
    pub outcomes: Vec<Outcome>,
}

/// The body of `POST /explain`: a hypothetical request, which is not sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// The `Host` header, if any.
    pub host: Option<String>,
    /// The path.
    pub path: String,
    /// The method.
    pub method: String,
}

/// The answer to [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// The configuration version used.
    pub version: Version,
    /// The matching route and its service, if any.
    pub route: Option<(Name, Name)>,
    /// The targets of the service, each with the reason why it would be used or not.
    pub targets: Vec<TargetExplanation>,
}

/// One target in an [`Explanation`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetExplanation {
    /// The node on the target's host.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
    /// Whether the target may get the request now.
    pub allowed: bool,
    /// The reason.
    pub why: String,
}

/// The body of `POST /drain`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The service whose target on this host is drained; all targets if absent.
    pub service: Option<Name>,
}

/// The answer to `POST /check`, a dry run of a change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Checked {
    /// The problems of the change; empty if it would be accepted now.
    pub problems: Vec<Problem>,
}

/// Returns a change of the command-line tool, ready to be sent.
pub fn new_change(
    id: id::Change,
    base: Anchor,
    expect: Option<Version>,
    author: &str,
    note: &str,
    ops: Vec<crate::state::change::Op>,
) -> Change {
    Change {
        id,
        base,
        expect,
        author: author.into(),
        note: note.into(),
        ops,
    }
}

/// Parses a label of the form `key=value`; returns `None` if the key is missing.
pub fn parse_label(text: &str) -> Option<(String, String)> {
    let (key, value) = text.split_once('=')?;
    (!key.is_empty()).then(|| (key.to_owned(), value.to_owned()))
}

/// Parses labels of the form `key=value`.
///
/// # Errors
///
/// The first text that is not `key=value`.
pub fn parse_labels(texts: &[String]) -> Result<Labels, String> {
    texts
        .iter()
        .map(|text| parse_label(text).ok_or_else(|| text.clone()))
        .collect()
}
