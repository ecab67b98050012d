//! Which requests explain ends of targets.

use std::collections::{HashMap, HashSet};

use crate::state::fingerprint::Fingerprint;

/// Ends that one request alone must be in. One is chance: with it, all that a target ran is
/// common.
pub const ENDS: usize = 2;

/// Ends after which all requests that are in that many are taken, if they can't be told
/// apart: further ends would cost more than to refuse one too many.
const ALIKE: usize = 3;

/// Returns the fewest requests that explain the ends, found step by step: the one that is
/// in most of those that are left.
pub fn culprits(ends: &[&HashSet<Fingerprint>]) -> HashSet<Fingerprint> {
    let mut culprits = HashSet::new();
    loop {
        let left = ends.iter().filter(|end| end.is_disjoint(&culprits));
        let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
        for content in left.flat_map(|end| end.iter()) {
            *counts.entry(*content).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or(0);
        counts.retain(|_, count| *count == most);
        let is_clear = most >= ALIKE || (most >= ENDS && counts.len() == 1);
        if !is_clear {
            return culprits;
        }
        culprits.extend(counts.into_keys());
    }
}
