//! What a node knows of the loads of targets from reports, and what they imply for a request.
//!
//! It handles services whose targets are all full: a node sends to a given target about every
//! two seconds, so without reports it asks several full targets for each request, because the
//! loads that it knows from responses have expired. Each report has an age. After
//! [`MAX_AGE`] the load is unknown, which is never treated as empty or as full.
//!
//! A request is rejected before any target is asked only if no eligible target would admit it
//! even if no request had arrived there since the report ([`Board::room`] with
//! [`Drain::SinceReport`]). Further attempts go by the reports as they are ([`Drain::None`]).

use std::{
    collections::{HashMap, hash_map},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::decision::queue::{self, Arrival},
    id::{Name, Node},
    protocol::{
        dialect::Load,
        load_report::{DUE_UNIT_MILLIS, Entry, Id, MAX_DUE_UNITS, MAX_ENTRIES, MAX_WANTED, State},
    },
    state::member::Member,
    unit::Span,
};

/// How long a report counts: three periods of reports, so that two may be lost. It also bounds
/// how long a wrong report can cause rejections.
pub const MAX_AGE: Duration = Duration::from_millis(600);

/// How long a node asks for the loads of a service after its last request to it. A service that
/// gets a request every few seconds has reports when the next one arrives.
const WANTED_TIME: Duration = Duration::from_secs(10);

/// The loads of targets that a node knows.
#[derive(Debug, Default)]
pub struct Board {
    targets: HashMap<Node, Known>,
    /// When the node last had a request for each service.
    sent_at: HashMap<Name, Instant>,
}

/// The load of one target.
#[derive(Debug)]
struct Known {
    /// The member at the time of the report.
    member: Arc<Member>,
    service: Name,
    id: Id,
    sequence: u64,
    state: State,
    /// When the load was taken, in a report or a response.
    at: Instant,
    /// When the last report was taken.
    reported_at: Instant,
}

/// Whether the release of slots since a report counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drain {
    /// It doesn't: requests have arrived, too.
    None,
    /// It does, as if no request had arrived since.
    SinceReport,
}

/// Whether a target has room for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// Its load is unknown.
    Unknown,
    /// It is expected to admit the request.
    Expected,
    /// It isn't.
    Full {
        /// The time until it would, if no other request arrived.
        wait: Duration,
        /// The age of the report.
        age: Duration,
    },
}

/// What is known of the targets of a service that has no room for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom {
    /// The number of eligible targets, all of which are full.
    pub full: usize,
    /// The age of the oldest report.
    pub oldest: Duration,
    /// The shortest time until a target would admit the request.
    pub wait: Duration,
}

/// What a node knows of a target's load, for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reported {
    /// The node beside the target.
    pub node: Node,
    /// The service of the target.
    pub service: Name,
    /// The milliseconds since the load was taken.
    pub age_ms: u64,
    /// Whether the report still counts.
    pub is_fresh: bool,
    /// The load.
    pub state: State,
}

impl Board {
    /// Takes in an entry about a member's target of `service` whose state was taken at `at`.
    /// Returns whether it is fresh and newer than what was known.
    ///
    /// An entry that repeats figures, from a node that has frozen or that sends again what it
    /// received, isn't newer, whatever age it states. A lower sequence number counts again once
    /// the last report has expired, so that a wrong high one doesn't block reports for longer.
    pub fn record(
        &mut self,
        member: &Arc<Member>,
        service: &Name,
        entry: Entry,
        at: Instant,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(at) > MAX_AGE {
            return false;
        }
        let known = Known {
            member: member.clone(),
            service: service.clone(),
            id: entry.id,
            sequence: entry.sequence,
            state: entry.state,
            at,
            reported_at: at,
        };
        match self.targets.entry(member.node.clone()) {
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(known);
                true
            }
            hash_map::Entry::Occupied(mut occupied) => {
                let before = occupied.get_mut();
                let is_newer = before.at < known.at;
                if before.id == known.id {
                    let is_expired = now.saturating_duration_since(before.reported_at) > MAX_AGE;
                    if before.sequence == known.sequence
                        || (before.sequence > known.sequence && !is_expired)
                    {
                        return false;
                    }
                    before.sequence = known.sequence;
                }
                if is_newer {
                    *before = known;
                }
                is_newer
            }
        }
    }

    /// Takes in the load that a target's node stated with a response. It counts like a report of
    /// that moment, with the slot turnover and the priorities of the last report, until that has
    /// reached [`MAX_AGE`]. Without a fresh report the target stays unknown.
    pub fn observe(&mut self, member: &Member, load: Load, now: Instant) {
        let Some(known) = self.targets.get_mut(&member.node) else {
            return;
        };
        if !known.is_about(member) || !known.is_fresh(now) || load.slots == 0 {
            return;
        }
        let state = &mut known.state;
        (state.running, state.waiting, state.slots) = (load.running, load.waiting, load.slots);
        // If fewer wait than were reported, those of higher priority are taken to be gone: they are
        // admitted first, so this never counts too many ahead of a request.
        let mut left = load.waiting;
        for queued in state.queue.iter_mut().rev() {
            queued.waiting = queued.waiting.min(left);
            queued.late = queued.late.min(queued.waiting);
            left -= queued.waiting;
        }
        known.at = now;
    }

    /// Returns whether a member's target has room for a request that arrives now.
    pub fn room(&self, member: &Member, arrival: &Arrival, drain: Drain, now: Instant) -> Room {
        let known = self.targets.get(&member.node);
        let Some(known) = known.filter(|known| known.is_about(member)) else {
            return Room::Unknown;
        };
        let age = known.age(now);
        if !known.is_fresh(now) {
            return Room::Unknown;
        }
        match wait(&known.state, arrival, age, drain, now) {
            None => Room::Expected,
            Some(wait) => Room::Full { wait, age },
        }
    }

    /// Records that a request for a service arrived here.
    pub fn note_sent(&mut self, service: &Name, now: Instant) {
        match self.sent_at.get_mut(service) {
            Some(at) => *at = now,
            None => {
                self.sent_at.insert(service.clone(), now);
            }
        }
    }

    /// Returns the services whose loads this node needs, those of the latest requests first.
    pub fn wanted(&self, now: Instant) -> Vec<Name> {
        let mut wanted: Vec<(&Instant, &Name)> = self
            .sent_at
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) <= WANTED_TIME)
            .map(|(service, at)| (at, service))
            .collect();
        wanted.sort_unstable_by(|one, other| other.cmp(one));
        wanted.truncate(MAX_WANTED);
        wanted.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the fresh entries that `is_included` accepts, given a member and its target's
    /// service, with their ages; the freshest [`MAX_ENTRIES`] of them.
    pub fn entries(
        &self,
        is_included: impl Fn(&Member, &Name) -> bool,
        now: Instant,
    ) -> Vec<Entry> {
        let mut fresh: Vec<(Duration, &Known)> = self
            .targets
            .values()
            .map(|known| (known.age(now), known))
            .filter(|(_, known)| known.is_fresh(now) && is_included(&known.member, &known.service))
            .collect();
        if fresh.len() > MAX_ENTRIES {
            fresh.select_nth_unstable_by_key(MAX_ENTRIES, |(age, _)| *age);
            fresh.truncate(MAX_ENTRIES);
        }
        let entries = fresh.into_iter().map(|(age, known)| Entry {
            id: known.id,
            sequence: known.sequence,
            age: age.as_millis() as i64,
            state: known.state.clone(),
        });
        entries.collect()
    }

    /// Returns whether the load of a member's target is known.
    pub fn is_known(&self, member: &Member, now: Instant) -> bool {
        let known = self.targets.get(&member.node);
        known.is_some_and(|known| known.is_about(member) && known.is_fresh(now))
    }

    /// Returns whether there is a fresh entry about a member that `is_included` accepts.
    pub fn has_fresh(&self, is_included: impl Fn(&Member) -> bool, now: Instant) -> bool {
        let mut known = self.targets.values();
        known.any(|known| known.is_fresh(now) && is_included(&known.member))
    }

    /// Returns all that is known, ordered by service and node.
    pub fn reported(&self, now: Instant) -> Vec<Reported> {
        let reported = self.targets.values().map(|known| Reported {
            node: known.member.node.clone(),
            service: known.service.clone(),
            age_ms: known.age(now).as_millis() as u64,
            is_fresh: known.is_fresh(now),
            state: known.state.clone(),
        });
        let mut reported: Vec<Reported> = reported.collect();
        reported
            .sort_by(|one, other| (&one.service, &one.node).cmp(&(&other.service, &other.node)));
        reported
    }

    /// Forgets the nodes that `is_known` rejects, and services without requests for long.
    pub fn retain(&mut self, is_known: impl Fn(&Node) -> bool, now: Instant) {
        self.targets.retain(|node, _| is_known(node));
        self.sent_at
            .retain(|_, at| now.saturating_duration_since(*at) <= WANTED_TIME);
    }
}

impl Known {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns whether the load and the report that it completes both still count.
    fn is_fresh(&self, now: Instant) -> bool {
        self.age(now) <= MAX_AGE && now.saturating_duration_since(self.reported_at) <= MAX_AGE
    }

    /// Returns whether this is about the target that `member` has now.
    fn is_about(&self, member: &Member) -> bool {
        if std::ptr::eq(Arc::as_ptr(&self.member), member) {
            return true;
        }
        let reported = self.member.target(&self.service);
        let current = member.target(&self.service);
        self.member.incarnation == member.incarnation
            && reported.map(|target| &target.instance) == current.map(|target| &target.instance)
    }
}

impl NoRoom {
    /// Returns what is known of targets of which none has room, or `None` if one may have. Takes
    /// no more of `rooms` than up to the first target that may have room.
    pub fn of(rooms: impl IntoIterator<Item = Room>) -> Option<Self> {
        let mut found: Option<Self> = None;
        for room in rooms {
            let Room::Full { wait, age } = room else {
                return None;
            };
            let before = found.unwrap_or(Self {
                full: 0,
                oldest: age,
                wait,
            });
            found = Some(Self {
                full: before.full + 1,
                oldest: before.oldest.max(age),
                wait: before.wait.min(wait),
            });
        }
        found
    }

    /// Returns the time after which the caller should retry.
    pub fn retry_after(&self) -> Span {
        Span::from_duration(self.wait).max(queue::MIN_RETRY_AFTER)
    }
}

/// Returns how long it takes until a target with a report of this age would admit a request, if
/// no other request arrived; `None` if it would admit it now.
///
/// The bounds on its wait are those of the gate ([`queue::bounds`]).
fn wait(
    state: &State,
    arrival: &Arrival,
    age: Duration,
    drain: Drain,
    now: Instant,
) -> Option<Duration> {
    let turnover = Duration::from_micros(state.turnover_micros.into());
    let mean_run = turnover * state.slots;
    let mut free = f64::from(state.slots.saturating_sub(state.running));
    if drain == Drain::SinceReport {
        free += age.as_secs_f64() / turnover.as_secs_f64();
    }
    let (ahead, late_ahead) = ahead(state, arrival, drain, now.checked_sub(age).unwrap_or(now));
    let wait_behind = |ahead: f64| turnover.mul_f64((ahead + 1.0 - free).max(0.0));
    let stated = f64::from(state.slowness.unwrap_or(100)) / 100.0;
    let slowness = match drain {
        Drain::None => stated,
        // The target may no longer be slow.
        Drain::SinceReport => stated.min(1.0),
    };
    let run = match arrival.usual_run_time {
        Some(usual) => usual.mul_f64(f64::from(state.slowdown) / 100.0 * slowness),
        None => mean_run,
    };
    let slack = arrival.due.saturating_duration_since(now + run);
    let bounds = queue::bounds(arrival, state.slots, mean_run, slack);
    let wait = wait_behind(ahead);
    let late_wait = wait_behind(late_ahead);
    let late_left = (late_ahead - free).max(0.0);
    let is_late_admitted =
        late_left < bounds.late_places as f64 && late_wait <= bounds.late_max_wait;
    if wait <= bounds.max_wait || is_late_admitted {
        return None;
    }
    // The slack, half of which bounds the wait, shrinks while the caller waits to retry.
    let until_on_time = (wait - bounds.max_wait) * 2;
    let surplus = (late_left - (bounds.late_places as f64 - 1.0)).max(0.0);
    let until_late = late_wait
        .saturating_sub(bounds.late_max_wait)
        .max(turnover.mul_f64(surplus));
    match until_on_time < slack {
        true => Some(until_on_time.min(until_late)),
        false => Some(until_late),
    }
}

/// Returns how many of the requests that waited at `at` go before one that isn't late, and
/// before one that is. With [`Drain::SinceReport`], these are lower bounds.
fn ahead(state: &State, arrival: &Arrival, drain: Drain, at: Instant) -> (f64, f64) {
    let own = arrival.priority;
    let (mut ahead, mut late_ahead) = (0.0, 0.0);
    for queued in state.queue.iter().filter(|q| q.priority <= own) {
        if queued.priority < own {
            ahead += f64::from(queued.waiting);
            late_ahead += f64::from(queued.waiting);
            continue;
        }
        let on_time = queued.waiting - queued.late;
        // Of equal priority, the earliest due time goes first. Between the first and the last,
        // they are taken to be evenly distributed.
        let due_of = |units: u16| at + Duration::from_millis((units * DUE_UNIT_MILLIS).into());
        let first = due_of(queued.first_due);
        let end = due_of(queued.last_due + 1);
        if drain == Drain::SinceReport {
            // Where the due times lie in between isn't known, nor are those of late requests.
            // Due times are rounded down, and those above the maximum are reduced to it.
            let is_last = queued.last_due < MAX_DUE_UNITS && end <= arrival.due;
            ahead += if is_last { f64::from(on_time) } else { 0.0 };
            late_ahead += f64::from(on_time);
            continue;
        }
        late_ahead += f64::from(queued.waiting);
        let spread = end - first;
        let position = arrival.due.saturating_duration_since(first).as_secs_f64();
        let share = (position / spread.as_secs_f64()).min(1.0);
        ahead += (f64::from(on_time) * share).floor();
    }
    (ahead, late_ahead)
}
