//! Regions: groups of failure domains that are close to each other.
//!
//! ```
//! use rilltrack::state::region::{Distance, Regions};
//!
//! let regions: Regions = serde_json::from_str(r#"{"pa": "sicily", "me": "sicily", "rm": "lazio"}"#)?;
//! let distance = |from: &str, to: &str| regions.distance(&from.parse().unwrap(), &to.parse().unwrap());
//! assert_eq!(distance("pa", "pa"), Distance::Domain);
//! assert_eq!(distance("pa", "me"), Distance::Region);
//! assert_eq!(distance("pa", "rm"), Distance::OtherRegion);
//! assert_eq!(distance("pa", "unknown"), Distance::OtherRegion);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::Name;

/// The distance between two failure domains.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// They are the same one.
    Domain,
    /// They are in the same region.
    Region,
    /// They are in different regions.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two failure domains, given their regions. Those without a
    /// region are close to each other.
    pub fn between<R: PartialEq>(one: (&Name, Option<R>), other: (&Name, Option<R>)) -> Self {
        if one.0 == other.0 {
            Self::Domain
        } else if one.1 == other.1 {
            Self::Region
        } else {
            Self::OtherRegion
        }
    }
}

/// The region of each failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(BTreeMap<Name, Name>);

impl Regions {
    /// Returns the region of a failure domain; `None` if it isn't known.
    pub fn of(&self, domain: &Name) -> Option<&Name> {
        self.0.get(domain)
    }

    /// Returns the distance between two failure domains.
    pub fn distance(&self, from: &Name, to: &Name) -> Distance {
        Distance::between((from, self.of(from)), (to, self.of(to)))
    }
}
