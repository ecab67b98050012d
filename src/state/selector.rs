//! Labels, and selectors that match them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The labels of a service, failure domain, proxy or target, by key.
pub type Labels = BTreeMap<String, String>;

/// A condition on labels.
///
/// All of its parts must match. [`Selector::fault`] reports a selector without
/// any part as invalid: in most systems an empty selector selects everything, and
/// an omitted line would then widen a boundary. To select everything, write
/// `"all": true`.
///
/// # Example
///
/// ```
/// use rilltrack::state::selector::{Labels, Selector};
///
/// let selector: Selector = serde_json::from_str(
///     r#"{"match_labels": {"region": "sicily"},
///         "match_expressions": [{"key": "tier", "operator": "NotIn", "values": ["test"]}]}"#,
/// )?;
/// let labels = Labels::from([("region".into(), "sicily".into())]);
/// assert!(selector.matches(&labels));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Selects everything. Must be the only part.
    #[serde(default)]
    pub all: bool,
    /// Labels that must be present with exactly these values.
    #[serde(default)]
    pub match_labels: Labels,
    /// Further conditions.
    #[serde(default)]
    pub match_expressions: Vec<Expression>,
}

/// One condition on one label.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expression {
    /// The label's key.
    pub key: String,
    /// The comparison with `values`.
    pub operator: Operator,
    /// The values to compare with; empty for `Exists` and `DoesNotExist`.
    #[serde(default)]
    pub values: BTreeSet<String>,
}

/// The comparison of an [`Expression`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Operator {
    /// The label is present and its value is listed.
    In,
    /// The label is absent or its value is not listed.
    NotIn,
    /// The label is present.
    Exists,
    /// The label is absent.
    DoesNotExist,
}

impl Selector {
    /// Returns a selector that selects everything.
    pub fn everything() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }

    /// Returns whether `labels` match every part of the selector.
    pub fn matches(&self, labels: &Labels) -> bool {
        let is_equal = |(key, value): (&String, &String)| labels.get(key) == Some(value);
        self.match_labels.iter().all(is_equal)
            && self.match_expressions.iter().all(|e| e.matches(labels))
    }

    /// Returns why the selector is invalid, or `None` if it is valid.
    pub fn fault(&self) -> Option<&'static str> {
        let parts = self.match_labels.len() + self.match_expressions.len();
        match (self.all, parts) {
            (false, 0) => Some("selects by nothing; write \"all\": true to select everything"),
            (true, 1..) => Some("\"all\": true stands alone"),
            _ => self.match_expressions.iter().find_map(Expression::problem),
        }
    }
}

impl Expression {
    fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        match self.operator {
            Operator::In => value.is_some_and(|v| self.values.contains(v)),
            Operator::NotIn => !value.is_some_and(|v| self.values.contains(v)),
            Operator::Exists => value.is_some(),
            Operator::DoesNotExist => value.is_none(),
        }
    }

    fn problem(&self) -> Option<&'static str> {
        let needs_values = matches!(self.operator, Operator::In | Operator::NotIn);
        match (needs_values, self.values.is_empty()) {
            (true, true) => Some("In and NotIn need values"),
            (false, false) => Some("Exists and DoesNotExist take no values"),
            _ => None,
        }
    }
}
