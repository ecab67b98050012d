//! Finds the requests that explain crashes of targets.

use std::collections::{HashMap, HashSet};

use crate::state::fingerprint::Fingerprint;

/// Crashes that have a request in common before it is a culprit, if no other request is in as
/// many. At 1, every request that the crashed target was running would be common to all
/// crashes.
pub const MIN_CRASHES: usize = 2;

/// Crashes that have several requests in common before all of them are culprits. Waiting for
/// further crashes to distinguish the requests would cost more than refusing one too many.
const MIN_AMBIGUOUS_CRASHES: usize = 3;

/// Returns a small set of requests that explain crashes, chosen greedily: each step takes the
/// request that is in most of the crashes not explained yet. Crashes without a clear culprit
/// stay unexplained.
pub fn culprits(crashes: &[&HashSet<Fingerprint>]) -> HashSet<Fingerprint> {
    let mut culprits = HashSet::new();
    loop {
        let unexplained = crashes.iter().filter(|crash| crash.is_disjoint(&culprits));
        let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
        for content in unexplained.flat_map(|crash| crash.iter()) {
            *counts.entry(*content).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or(0);
        counts.retain(|_, count| *count == most);
        let is_clear = most >= MIN_AMBIGUOUS_CRASHES || (most >= MIN_CRASHES && counts.len() == 1);
        if !is_clear {
            return culprits;
        }
        culprits.extend(counts.into_keys());
    }
}
