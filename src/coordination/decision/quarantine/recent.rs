//! What was answered not long ago.

use std::time::Instant;

use crate::state::fingerprint::Fingerprint;

/// Places: what a node sends and runs in a quarter of a minute, in 32 KB.
const PLACES: usize = 2048;

/// How long an answer counts as recent, in seconds. Requests that are under way by chance
/// at two ends come far more often than that.
const RECENT: u32 = 60;

/// Requests that were answered not long ago, as far as there is room for them.
#[derive(Debug, Default)]
pub struct Recent {
    /// A request has one place, which the next one that has the same takes from it. Each
    /// has a part of a fingerprint and the second of its answer.
    places: Vec<(u64, u32)>,
    since: Option<Instant>,
}

impl Recent {
    /// Notes that a target answered a request.
    pub fn note(&mut self, content: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        self.places.resize(PLACES, (0, 0));
        self.places[content.place(PLACES)] = (content.short(), seconds(now, since));
    }

    /// Returns whether a target answered it not long ago.
    pub fn has(&self, content: &Fingerprint, now: Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let (held, at) = self.places[content.place(PLACES)];
        held == content.short() && seconds(now, since) - at < RECENT
    }
}

/// Returns the seconds from `since` to `now`, the first being 1.
fn seconds(now: Instant, since: Instant) -> u32 {
    (now - since).as_secs() as u32 + 1
}
