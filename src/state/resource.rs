//! What operators publish: failure domains, services, policies, boundaries
//! and routes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    id::{self, Name},
    state::selector::{Labels, Selector},
    unit::{Percent, Size, Span},
    words::words,
};

/// One published resource.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// A failure domain and its labels.
    Domain(Domain),
    /// A service and its labels.
    Service(Service),
    /// How requests of services are limited, timed and repeated.
    Policy(Policy),
    /// Where traffic of services may go.
    Boundary(Boundary),
    /// Which requests lead to which service.
    Route(Route),
}

/// The kinds of [`Resource`], in the order in which they may refer back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// See [`Domain`].
    Domain,
    /// See [`Policy`].
    Policy,
    /// See [`Service`].
    Service,
    /// See [`Boundary`].
    Boundary,
    /// See [`Route`].
    Route,
}

/// The identity of a resource, written `kind/name`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within its kind.
    pub name: Name,
}

/// A failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name that nodes give in their settings.
    pub name: Name,
    /// Labels that boundaries select by, such as a region or jurisdiction.
    #[serde(default)]
    pub labels: Labels,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that targets announce.
    pub name: Name,
    /// Labels that boundaries select by.
    #[serde(default)]
    pub labels: Labels,
    /// The policy its requests follow.
    pub policy: Name,
}

/// How requests are limited, timed and repeated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The name services refer to.
    pub name: Name,
    /// The longest a request may take, from its arrival at the first proxy
    /// to the start of its answer.
    pub timeout: Span,
    /// Requests that one target runs at a time.
    pub slots: u32,
    /// Requests that wait for a slot, per target. Unless it is 0, a class of
    /// which none waits has one more place of its own.
    pub queue: u32,
    /// Who goes first when slots are short.
    pub class: Class,
    /// Which requests may run more than once.
    pub repeat: Repeat,
    /// Retries and hedges, as a share of first attempts.
    #[serde(default = "default_retry")]
    pub retry: Percent,
    /// Sends a second copy of a repeatable request after this wait.
    #[serde(default)]
    pub hedge_after: Option<Span>,
    /// The largest request body.
    #[serde(default = "default_body")]
    pub max_body: Size,
}

fn default_retry() -> Percent {
    Percent::new(10)
}

fn default_body() -> Size {
    Size::from_bytes(64 << 20)
}

/// The order in which waiting requests get slots.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Someone stands and waits: fare rules, revoked cards, quotes.
    Critical,
    /// Ordinary calls.
    Normal,
    /// Uploads and reports: last, but never starved.
    Bulk,
}

words! {
    Class, Error = Error::Class,
    Critical: "critical",
    Normal: "normal",
    Bulk: "bulk",
}

/// Which requests may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Requests whose method HTTP calls idempotent.
    ByMethod,
    /// Every request.
    Always,
    /// No request.
    Never,
}

/// Where traffic of the selected services may go.
///
/// A request may go to a failure domain only if at least one boundary applies
/// to it and every boundary that applies has the failure domain in `to`.
/// Without a boundary it may go nowhere: deleting one must never widen where
/// regulated data travels.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Boundary {
    /// The name.
    pub name: Name,
    /// The services it applies to.
    pub services: Selector,
    /// The sending failure domains it applies to.
    #[serde(default = "Selector::everything")]
    pub from: Selector,
    /// The sending proxies it applies to.
    #[serde(default = "Selector::everything")]
    pub proxies: Selector,
    /// The failure domains that may be sent to.
    pub to: Selector,
}

/// Which requests lead to which service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The `Host` this route answers to, without port; all if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The path this route answers below; whole segments count.
    pub path: String,
    /// The methods this route answers to; all if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service it leads to.
    pub service: Name,
    /// The class of its requests, in place of the policy's.
    #[serde(default)]
    pub class: Option<Class>,
    /// The proxies that carry this route.
    #[serde(default = "Selector::everything")]
    pub proxies: Selector,
}

impl Resource {
    /// Returns the identity of the resource.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Domain(r) => (Kind::Domain, &r.name),
            Self::Service(r) => (Kind::Service, &r.name),
            Self::Policy(r) => (Kind::Policy, &r.name),
            Self::Boundary(r) => (Kind::Boundary, &r.name),
            Self::Route(r) => (Kind::Route, &r.name),
        };
        Key {
            kind,
            name: name.clone(),
        }
    }

    /// Returns the labels, for the kinds that have them.
    pub fn labels_mut(&mut self) -> Option<&mut Labels> {
        match self {
            Self::Domain(r) => Some(&mut r.labels),
            Self::Service(r) => Some(&mut r.labels),
            Self::Policy(_) | Self::Boundary(_) | Self::Route(_) => None,
        }
    }
}

impl Repeat {
    /// Returns whether a request with `method` may run more than once.
    pub fn allows(self, method: &str) -> bool {
        match self {
            Self::Always => true,
            Self::Never => false,
            Self::ByMethod => matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
            ),
        }
    }
}

words! {
    Kind, Error = Error::Kind,
    Domain: "domain",
    Policy: "policy",
    Service: "service",
    Boundary: "boundary",
    Route: "route",
}

/// A text that is not a kind, class or key of resources.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The kind is unknown.
    #[error("`{0}` is not a kind: use domain, policy, service, boundary or route")]
    Kind(String),
    /// The class is unknown.
    #[error("`{0}` is not a class: use critical, normal or bulk")]
    Class(String),
    /// The `/` is missing.
    #[error("`{0}` is not a key, for example `service/balance`")]
    Key(String),
    /// The name is not a name.
    #[error(transparent)]
    Name(#[from] id::Error),
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| Error::Key(text.into()))?;
        Ok(Self {
            kind: kind.parse()?,
            name: name.parse()?,
        })
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
