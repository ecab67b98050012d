//! Which target a request goes to.

use fastrand::Rng;

use crate::state::view::Distance;

/// Cost, in hundredths of a target's slots, from which another failure
/// domain is worth its longer way.
const SPILL: u32 = 90;

/// What the choice looks at, for one target that is allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// How far it is.
    pub distance: Distance,
    /// Requests running and waiting over slots, in hundredths.
    pub cost: u32,
    /// Whether it is passed over for now.
    pub ejected: bool,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The cheaper of two, at the nearest distance with room.
    Room(Distance),
    /// No distance has room; the cheapest of those drawn.
    Loaded,
    /// All are ejected; any is better than none.
    LastResort,
}

/// Returns the index of the target to use among `candidates`, and why.
///
/// At each distance two are drawn and the cheaper one counts, which spreads
/// load well without knowing all of it and without all proxies rushing to one.
/// The nearest that has room wins.
pub fn pick(candidates: &[Candidate], rng: &mut Rng) -> Option<(usize, Reason)> {
    let mut cheapest: Option<usize> = None;
    for distance in [Distance::Domain, Distance::Region, Distance::Beyond] {
        let fits = |c: &Candidate| c.distance == distance && !c.ejected;
        let tier: Vec<usize> = (0..candidates.len())
            .filter(|i| fits(&candidates[*i]))
            .collect();
        let Some(drawn) = cheaper_of_two(candidates, &tier, rng) else {
            continue;
        };
        if candidates[drawn].cost < SPILL {
            return Some((drawn, Reason::Room(distance)));
        }
        if cheapest.is_none_or(|held| candidates[drawn].cost < candidates[held].cost) {
            cheapest = Some(drawn);
        }
    }
    if let Some(cheapest) = cheapest {
        return Some((cheapest, Reason::Loaded));
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    cheaper_of_two(candidates, &all, rng).map(|i| (i, Reason::LastResort))
}

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
