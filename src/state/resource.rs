//! The resources that operators publish: failure domains, services, policies,
//! boundaries and routes.

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
    /// The limits, timeouts and retries of services' requests.
    Policy(Policy),
    /// The failure domains to which traffic of services may be sent.
    Boundary(Boundary),
    /// Which requests are sent to which service.
    Route(Route),
}

/// The kinds of [`Resource`].
///
/// A resource refers by name only to resources of kinds that come before its own.
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

/// The identifier of a resource, written `kind/name`.
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
    /// The name by which the settings of nodes refer to it.
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

/// The limits, timeouts and retries of requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The name by which services refer to it.
    pub name: Name,
    /// The longest time from a request's arrival at the first proxy to the start
    /// of its answer.
    pub timeout: Span,
    /// The number of requests that one target runs at a time.
    pub slots: u32,
    /// The number of requests that may wait for a slot of one target. Unless it is
    /// 0, one request of a class that has none waiting may wait beyond it.
    pub queue: u32,
    /// The class of its requests, which decides their order when slots are short.
    pub class: Class,
    /// Which requests may run more than once.
    pub repeat: Repeat,
    /// The limit on retries and hedged requests, as a share of first attempts.
    #[serde(default = "default_retry")]
    pub retry: Percent,
    /// The wait after which a second copy of a repeatable request is sent; no copy if
    /// absent.
    #[serde(default)]
    pub hedge_after: Option<Span>,
    /// The maximum size of a request body.
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
    /// Requests of people who wait for the answer: fare rules, revoked cards, quotes.
    Critical,
    /// Ordinary calls.
    Normal,
    /// Uploads and reports. Served last, but never starved.
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
    /// Requests whose method is idempotent according to HTTP.
    ByMethod,
    /// Every request.
    Always,
    /// No request.
    Never,
}

/// The failure domains to which traffic of the selected services may be sent.
///
/// A request may be sent to a failure domain only if at least one boundary
/// applies to the request and `to` of every boundary that applies selects the
/// failure domain. Without a boundary it may not be sent at all, so that deleting
/// the last one never allows regulated data to reach more failure domains.
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
    /// The failure domains to which requests may be sent.
    pub to: Selector,
}

/// Which requests are sent to which service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The `Host` of its requests, without port; any if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The path prefix of its requests, compared by whole segments.
    pub path: String,
    /// The methods of its requests; any if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service to which its requests are sent.
    pub service: Name,
    /// The class of its requests; the policy's if absent.
    #[serde(default)]
    pub class: Option<Class>,
    /// The proxies that use this route.
    #[serde(default = "Selector::everything")]
    pub proxies: Selector,
}

impl Resource {
    /// Returns the key of the resource.
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

    /// Returns the labels of the resource, or `None` if its kind has no labels.
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

/// Why a text can't be parsed as a kind, class or key.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The text is not a kind.
    #[error("`{0}` is not a kind: use domain, policy, service, boundary or route")]
    Kind(String),
    /// The text is not a class.
    #[error("`{0}` is not a class: use critical, normal or bulk")]
    Class(String),
    /// The key has no `/`.
    #[error("`{0}` is not a key, for example `service/balance`")]
    Key(String),
    /// The name in the key is invalid.
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
