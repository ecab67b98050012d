//! What was answered not long ago.

use std::time::{Duration, Instant};

use crate::state::fingerprint::Fingerprint;

/// Places: what a node sends and runs in a quarter of a minute, in 96 KB.
const PLACES: usize = 2048;

/// How long an answer counts as recent. Requests that are under way by chance at two ends
/// come far more often than that.
const RECENT: Duration = Duration::from_secs(60);

/// Requests that were answered not long ago, as far as there is room for them.
#[derive(Debug, Default)]
pub struct Recent {
    /// A request has one place, which the next one that has the same takes from it.
    places: Vec<Option<(Fingerprint, Instant)>>,
}

impl Recent {
    /// Notes that a target answered a request.
    pub fn note(&mut self, content: Fingerprint, now: Instant) {
        self.places.resize(PLACES, None);
        self.places[content.place(PLACES)] = Some((content, now));
    }

    /// Returns whether a target answered it not long ago.
    pub fn has(&self, content: &Fingerprint, now: Instant) -> bool {
        let held = self.places.get(content.place(PLACES)).copied().flatten();
        held.is_some_and(|(held, at)| held == *content && now - at < RECENT)
    }
}
