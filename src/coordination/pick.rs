//! Which target a request goes to.

use fastrand::Rng;

/// Cost, in hundredths of a target's slots, from which another failure
/// domain is worth its longer way.
const SPILL: u32 = 90;

/// What the choice looks at, for one target that is allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Whether it is in the failure domain of the proxy.
    pub near: bool,
    /// Requests running and waiting over slots, in hundredths.
    pub cost: u32,
    /// Whether it is passed over for now.
    pub ejected: bool,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The cheaper of two in this failure domain.
    Near,
    /// Those near are loaded or gone; the cheaper of two elsewhere.
    Far,
    /// All are ejected; any is better than none.
    LastResort,
}

/// Returns the index of the target to use among `candidates`, and why.
///
/// Of each tier two are drawn and the cheaper one wins, which spreads load
/// well without knowing all of it and without all proxies rushing to one.
pub fn pick(candidates: &[Candidate], rng: &mut Rng) -> Option<(usize, Reason)> {
    let tier = |near: bool| -> Vec<usize> {
        let fits = |c: &Candidate| c.near == near && !c.ejected;
        (0..candidates.len())
            .filter(|i| fits(&candidates[*i]))
            .collect()
    };
    let near = cheaper_of_two(candidates, &tier(true), rng);
    let Some(near) = near.filter(|i| candidates[*i].cost < SPILL) else {
        let far = cheaper_of_two(candidates, &tier(false), rng);
        return beyond(candidates, near, far, rng);
    };
    Some((near, Reason::Near))
}

fn beyond(
    candidates: &[Candidate],
    near: Option<usize>,
    far: Option<usize>,
    rng: &mut Rng,
) -> Option<(usize, Reason)> {
    match (near, far) {
        (Some(near), Some(far)) if candidates[far].cost < candidates[near].cost => {
            Some((far, Reason::Far))
        }
        (Some(near), _) => Some((near, Reason::Near)),
        (None, Some(far)) => Some((far, Reason::Far)),
        (None, None) => {
            let all: Vec<usize> = (0..candidates.len()).collect();
            cheaper_of_two(candidates, &all, rng).map(|i| (i, Reason::LastResort))
        }
    }
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
