//! Remembers which requests were answered recently.

use std::time::Instant;

use crate::state::fingerprint::Fingerprint;

/// Slots of the table: as many as the requests that a node sends and runs in 15 seconds, in
/// 32 KB. A request whose entry is overwritten within [`RECENT_SECONDS`] no longer counts as
/// answered recently.
const SLOTS: usize = 2048;

/// How long a response counts as recent, in seconds. A request that is running at two crashes
/// by chance arrives far more often than once in that time.
const RECENT_SECONDS: u32 = 60;

/// A fixed-size table of the requests that were answered recently.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    /// Half of a request's fingerprint, and the second of its response. The fingerprint selects
    /// the slot; a later request with the same slot overwrites it.
    slots: Vec<(u64, u32)>,
    since: Option<Instant>,
}

impl RecentAnswers {
    /// Records that a target answered a request.
    pub fn note(&mut self, content: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        self.slots.resize(SLOTS, (0, 0));
        self.slots[content.index(SLOTS)] = (content.high_bits(), seconds(now, since));
    }

    /// Returns whether a target answered the request recently.
    pub fn contains(&self, content: &Fingerprint, now: Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let (stored, at) = self.slots[content.index(SLOTS)];
        stored == content.high_bits() && seconds(now, since) - at < RECENT_SECONDS
    }
}

/// Returns the seconds from `since` to `now`, counted from 1.
fn seconds(now: Instant, since: Instant) -> u32 {
    (now - since).as_secs() as u32 + 1
}
