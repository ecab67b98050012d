//! Choice of the target for a request.

use fastrand::Rng;

use crate::state::region::Distance;

/// The cost, as a percentage of a target's slots, from which requests go to targets
/// in farther failure domains although the round trip is longer.
const SPILLOVER_COST: u32 = 90;

/// A target that may receive the request, with the figures the choice is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The distance of its failure domain.
    pub distance: Distance,
    /// Running and waiting requests as a percentage of the slots, plus the extra cost
    /// of a target in slow start.
    pub cost: u32,
    /// Whether it is ejected, as an outlier or because it is draining.
    pub is_ejected: bool,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The target is the nearest of those drawn that are below the spillover cost.
    Room(Distance),
    /// No target that was drawn is below the spillover cost; this is the cheapest.
    Loaded,
    /// All targets are ejected; an ejected target is better than none.
    LastResort,
}

/// Returns the index of the chosen target in `candidates`, and why it was chosen.
///
/// At each distance, two targets are drawn at random and the cheaper one is considered
/// (power of two choices). This spreads load well with partial knowledge of it, and
/// keeps proxies from all choosing the same target at once. The nearest considered
/// target below the spillover cost is chosen.
pub fn pick(candidates: &[Candidate], rng: &mut Rng) -> Option<(usize, Reason)> {
    let mut cheapest: Option<usize> = None;
    for distance in [Distance::Domain, Distance::Region, Distance::OtherRegion] {
        let is_eligible = |c: &Candidate| c.distance == distance && !c.is_ejected;
        let tier: Vec<usize> = (0..candidates.len())
            .filter(|i| is_eligible(&candidates[*i]))
            .collect();
        let Some(drawn) = cheaper_of_two(candidates, &tier, rng) else {
            continue;
        };
        if candidates[drawn].cost < SPILLOVER_COST {
            return Some((drawn, Reason::Room(distance)));
        }
        if cheapest.is_none_or(|best| candidates[drawn].cost < candidates[best].cost) {
            cheapest = Some(drawn);
        }
    }
    if let Some(cheapest) = cheapest {
        return Some((cheapest, Reason::Loaded));
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    cheaper_of_two(candidates, &all, rng).map(|i| (i, Reason::LastResort))
}

/// Returns the cheaper of two different targets drawn from `tier`, which holds indices
/// of `candidates`, or the only target in it.
fn cheaper_of_two(candidates: &[Candidate], tier: &[usize], rng: &mut Rng) -> Option<usize> {
    match tier {
        [] => None,
        [only] => Some(*only),
        _ => {
            let first = rng.usize(..tier.len());
            let second = (first + 1 + rng.usize(..tier.len() - 1)) % tier.len();
            let (first, second) = (tier[first], tier[second]);
            Some(if candidates[second].cost < candidates[first].cost {
                second
            } else {
                first
            })
        }
    }
}
