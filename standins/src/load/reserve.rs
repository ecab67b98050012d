//! Slots reserved for nested calls by their observed demand: an alternative to the wait within
//! the remaining time of their run, for comparison in replays only.

use std::time::Duration;

use rilltrack::coordination::decision::queue::Place;

use super::{Waits, model::Model};

/// The time over which the rate of nested calls is averaged, in seconds. Demand follows the
/// calling service within a second.
const RATE_WINDOW: f64 = 1.0;

/// Weight of the newest run in the mean run time, as in the queue of a target.
const NEWEST_WEIGHT: f64 = 0.1;

/// The demand of nested calls at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reserve {
    /// Calls per second, admitted or not, as of `at`.
    rate: f64,
    at: Duration,
    /// The mean run time in seconds; zero before the first run.
    mean: f64,
    /// The calls that hold a slot.
    pub running: u32,
    /// The calls that wait for one.
    pub waiting: u32,
}

impl Reserve {
    /// Records that a call arrives at the target's queue.
    pub fn record_arrival(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.rate = self.rate * (-elapsed / RATE_WINDOW).exp() + 1.0 / RATE_WINDOW;
        self.at = now;
    }

    /// Records that the run of a call ends.
    pub fn end(&mut self, took: Duration) {
        self.running -= 1;
        let weight = if self.mean == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        self.mean += weight * (took.as_secs_f64() - self.mean);
    }

    /// Returns how many of `slots` new requests may use: all but those that calls need on
    /// average and don't hold now, and at least one.
    pub fn slots_for_others(&self, slots: u32) -> u32 {
        let needed = (self.rate * self.mean).round() as u32;
        slots
            .saturating_sub(needed.saturating_sub(self.running))
            .max(1)
    }
}

impl Model<'_> {
    /// Records whether a request waits in the queue of its latest attempt.
    pub(super) fn set_place(&mut self, request: usize, place: Option<Place>) {
        let held = &mut self.requests[request];
        let was_waiting = std::mem::replace(&mut held.place, place).is_some();
        if self.load.kinds[held.kind].is_nested {
            let waiting = &mut self.fleet.hosts[held.at].reserve.waiting;
            *waiting += u32::from(place.is_some());
            *waiting -= u32::from(was_waiting);
        }
    }

    /// Limits the slots of a target to those that new requests may use, or sets them all for a
    /// nested call, if slots are reserved in this load.
    pub(super) fn reserve_slots(&mut self, host: usize, for_nested: bool) {
        if self.load.waits != Waits::Reserved {
            return;
        }
        let host = &mut self.fleet.hosts[host];
        let slots = self.load.services[host.service].slots;
        host.queue.set_slots(match for_nested {
            true => slots,
            false => host.reserve.slots_for_others(slots),
        });
    }
}
