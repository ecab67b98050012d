//! Messages between the command-line tool and a daemon, as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{self, Incarnation, Name, Node},
    protocol::wire::Census,
    state::{
        change::{Anchor, Change},
        check::{Held, Problem},
        fingerprint::Fingerprint,
        machine::{Outcome, Verdict},
        member::{Status, Target},
        rollout::Rollout,
        selector::Labels,
        version::Version,
    },
};

/// A request that is held back: the answer to `GET /held` of a node on the users' platform
/// has one for each.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Quarantined {
    /// What the request is.
    pub content: Fingerprint,
    /// Targets that ended under it, as far as the node knows.
    pub ends: u8,
    /// Since when the node holds it back, in milliseconds.
    pub since_ms: u64,
}

/// The latest roll-out of a service: the answer to `GET /rollouts` of a node on the users'
/// platform has one for each.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// What became of the order.
    pub rollout: Rollout,
    /// How long ago it was given, in milliseconds, as far as the node knows.
    pub age_ms: u64,
    /// What it waits for.
    pub waits_for: String,
    /// Whether the node that answers may carry it on: it reads the store for its failure
    /// domain.
    pub decides: bool,
    /// The nodes beside targets of the new release.
    pub targets: Vec<Tried>,
}

/// A target of a release that is to take over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Tried {
    /// The node beside it.
    pub node: Node,
    /// Whether it is failing; nothing if that is not known yet.
    pub is_failing: Option<bool>,
}

/// The answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The node that answers.
    pub node: Node,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Whether it holds a complete view.
    pub ready: bool,
    /// What it holds.
    pub anchor: Anchor,
    /// The last accepted change.
    pub accepted: Version,
    /// Milliseconds since the view was last known to be current.
    pub age_ms: u64,
    /// What keeps it from following the log, if anything.
    pub trouble: Option<String>,
    /// All members it knows.
    pub members: Vec<Row>,
}

/// One member in a [`Report`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The node.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
    /// Whether it is there.
    pub status: Status,
    /// Where it takes frames.
    pub peers: SocketAddr,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// The answer to `POST /changes`, whose body is a [`Change`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Published {
    /// The log has it and this was decided.
    Decided(Outcome),
    /// Refused before it reached the log, so it will never be in force.
    Refused(Verdict),
    /// The log could not be reached; the change did not get there.
    NotAccepted(String),
    /// The append was sent and no answer came back: publishing the same
    /// change again is safe and settles it.
    Unknown(String),
}

/// The answer to `GET /census?version=…`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Convergence {
    /// The version asked about.
    pub version: Version,
    /// Who has it in force.
    pub census: Census,
    /// Some of the nodes that have not, by name.
    pub lagging: Vec<Node>,
}

/// The answer to `GET /resources`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Resources {
    /// The state they are of.
    pub anchor: Anchor,
    /// The resources.
    pub held: Vec<Held>,
}

/// The answer to `GET /history`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// Outcomes still remembered, newest first.
    pub outcomes: Vec<Outcome>,
}

/// The body of `POST /explain`: a request that is not sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// The `Host`, if any.
    pub host: Option<String>,
    /// The path.
    pub path: String,
    /// The method.
    pub method: String,
}

/// The answer to [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// The version that was asked.
    pub version: Version,
    /// The route and service that match, if any.
    pub route: Option<(Name, Name)>,
    /// Why each target of the service would or would not be used.
    pub targets: Vec<Judgement>,
}

/// One target in an [`Explanation`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Judgement {
    /// The node beside the target.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
    /// Whether a request may go there now.
    pub allowed: bool,
    /// Why, or why not.
    pub why: String,
}

/// The body of `POST /drain`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The service whose target on this host is to leave; all if absent.
    pub service: Option<Name>,
}

/// The labels and problems of a dry run, for `POST /check`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Checked {
    /// What is wrong; empty if the change would be accepted now.
    pub problems: Vec<Problem>,
}

/// A change as the tool makes it, before it is sent.
pub fn change(
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

/// Labels written on a command line as `key=value`.
pub fn label(text: &str) -> Option<(String, String)> {
    let (key, value) = text.split_once('=')?;
    (!key.is_empty()).then(|| (key.to_owned(), value.to_owned()))
}

/// Returns the labels in `texts`.
///
/// # Errors
///
/// The first text that is not `key=value`.
pub fn labels(texts: &[String]) -> Result<Labels, String> {
    texts
        .iter()
        .map(|text| label(text).ok_or_else(|| text.clone()))
        .collect()
}
