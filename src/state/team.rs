//! Teams: on whose behalf callers send requests, and the keys that prove it.
//!
//! A caller presents its team's key with each request. A node keeps only the digest of a key,
//! so no key can reach a log line, a metric, an error or another node.
//!
//! ```
//! use rilltrack::state::team::{Digest, Team, Teams};
//!
//! let fares = Team {
//!     name: "fares".parse()?,
//!     keys: vec![Digest::of(b"s3cret")],
//!     priority: None,
//!     limit: None,
//!     regions: None,
//!     unsupported: vec![],
//! };
//! let teams = Teams::new(vec![fares])?;
//! assert_eq!(teams.of_key(b"s3cret").unwrap().name.as_str(), "fares");
//! assert!(teams.of_key(b"guess").is_none());
//! assert!(!format!("{teams:?}").contains("s3cret"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{id::Name, unit::Rate};

/// The digest of a key.
///
/// Keys are looked up by digest. How long that takes depends on the digest of a guessed key,
/// and tells nothing about the keys themselves.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key).into())
    }
}

impl fmt::Debug for Digest {
    /// Writes a fixed text: a digest would let a reader of logs test guesses of short keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// A team whose callers may send requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The name, which targets are told.
    pub name: Name,
    /// The digests of its keys. A team without a key can send nothing.
    pub keys: Vec<Digest>,
    /// The priority of its requests. Its requests of different routes are ordered by the routes'
    /// priorities.
    pub priority: Option<u8>,
    /// The limit on its requests at all nodes together.
    pub limit: Option<RateLimit>,
    /// The regions in which its requests may run, in addition to what their routes allow;
    /// anywhere if `None`.
    pub regions: Option<BTreeSet<Name>>,
    /// Settings of the team that this release doesn't know. They may restrict the team, so its
    /// requests are refused.
    pub unsupported: Vec<String>,
}

/// A limit on the requests of a team: in any span of time, the rate times the span, and the
/// burst once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: Rate,
    /// Requests beyond the rate.
    pub burst: u64,
}

/// Two teams have the same key, so that its callers belong to neither.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("teams {one} and {other} have a key in common")]
pub struct SharedKey {
    one: Name,
    other: Name,
}

/// The teams of one version, by name and by key.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_name: BTreeMap<Name, Arc<Team>>,
    by_key: HashMap<Digest, Arc<Team>>,
    has_priorities: bool,
}

impl Teams {
    /// Returns a set of teams.
    ///
    /// # Errors
    ///
    /// If two of them have a key in common.
    pub fn new(teams: impl IntoIterator<Item = impl Into<Arc<Team>>>) -> Result<Self, SharedKey> {
        let mut all = Self::default();
        for team in teams {
            let team = team.into();
            for key in &team.keys {
                if let Some(other) = all.by_key.insert(*key, team.clone())
                    && other.name != team.name
                {
                    return Err(SharedKey {
                        one: other.name.clone(),
                        other: team.name.clone(),
                    });
                }
            }
            all.has_priorities |= team.priority.is_some();
            all.by_name.insert(team.name.clone(), team);
        }
        Ok(all)
    }

    /// Returns the team that a key belongs to, or `None` if it belongs to none.
    pub fn of_key(&self, key: &[u8]) -> Option<&Arc<Team>> {
        self.by_key.get(&Digest::of(key))
    }

    /// Returns a team by its name.
    pub fn get(&self, name: &Name) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Returns all teams, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Returns whether there are no teams, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns whether any team has a priority.
    pub fn has_priorities(&self) -> bool {
        self.has_priorities
    }

    /// Returns whether any team has a limit on its requests.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|team| team.limit.is_some())
    }
}
