//! Which node a request goes to, by what this one has seen of each.
//!
//! A few targets are drawn, near ones and some further away, and the one counts
//! at which an answer is expected soonest. Drawing keeps all nodes from rushing to
//! the same target. The longer way costs its time, and since it is paid for by
//! the byte, a time for each kilobyte: an upload stays near where a lookup goes to
//! a faster target elsewhere. A node that can't be reached, or owes answers for
//! long, gets nothing until it is heard of again.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    coordination::decision::reach::{Loss, Reach},
    id::{Incarnation, Instance, Name, Node},
    protocol::dialect::{Load, Pace},
    state::member::{Member, Status, Table},
};

/// Near targets that are drawn for one request. Two spread load well; a third
/// finds a fast one more often where speeds differ by three times.
const NEAR: usize = 3;

/// Targets of other failure domains that are drawn.
const FAR: usize = 2;

/// Members that are looked at before all of a service are: with half of them out, three
/// that are not are found among so many in 998 of 1,000 draws.
const LOOKS: usize = 16;

/// What the way to another failure domain and back counts as, in seconds: 3 ms
/// that it takes, and the bytes of an ordinary answer. At 3 ms alone lookups went
/// far for gains of a few milliseconds and cost more than they brought
/// (docs/MEASURES.md).
const FAR_WAY: f64 = 0.04;

/// What a kilobyte of a request or its answer to or from another failure domain counts
/// as, in seconds: an upload of 60 KB, or a download of as much, goes there only if it
/// would fail here.
const FAR_KILOBYTE: f64 = 0.007;

/// How much slower a target gets on the way to its last slot, as a share.
const NEARLY_FULL: f64 = 0.3;

/// The use of slots from which a target is taken for crowded: what is known of it is
/// up to 0.5 s old, and others send there too.
const CROWDED: f64 = 0.75;

/// What each further turn of all slots beyond that counts as, over the work itself.
/// At 1 beyond the last slot, all rushed to the fast targets, and had to wait or were
/// refused while slow ones had room (docs/MEASURES.md).
const CROWD: f64 = 3.0;

/// What an answer takes on a route of which nothing is known, in seconds.
const FIRST_MEAN: f64 = 0.15;

/// The weight of the newest request in what is known of a target's speed.
const NEWEST: f64 = 0.1;

/// How long it takes until two thirds of what is known of a target's pace are
/// forgotten: longer than troubles of a target last in part, shorter than minutes.
const PACE_LIFE: Duration = Duration::from_secs(10);

/// The weight of a report in what is known of a target's pace. The target's node saw
/// all its requests, where this one saw a few.
const REPORTED: f64 = 0.7;

/// How long a reported load is believed; the mean request lasts about as long.
const LOAD_LIFE: Duration = Duration::from_millis(500);

/// How long a node may owe an answer, and give no other, before it is passed
/// over: several times the mean work of the slowest service of both meshes.
const SILENCE: Duration = Duration::from_millis(700);

/// How long a node whose target left or fails is passed over the first time. It
/// doubles with each further failure, up to [`MAX_ABSENCE`].
const ABSENCE: Duration = Duration::from_millis(200);

/// The longest that it is passed over before one request tries it again.
const MAX_ABSENCE: Duration = Duration::from_secs(3);

/// How long a node is passed over at whose address another one answers: its host
/// was replaced, and whoever takes its name again has another incarnation or writes
/// itself down anew.
const REPLACED: Duration = Duration::from_secs(30);

/// Failures of the target itself, in a row, after which it is passed over.
const FAILURES: u32 = 4;

/// What is known of the other nodes, and of the own target.
#[derive(Debug, Default)]
pub struct Balance {
    peers: HashMap<Node, Peer>,
    /// The mean time that targets run a request of each route, in seconds.
    routes: HashMap<Name, f64>,
    /// The mean size of an answer on each route, in bytes.
    sizes: HashMap<Name, f64>,
    /// The mean time of an answer to a large body on each route, in seconds.
    hauls: HashMap<Name, f64>,
    /// Which nodes can't be reached.
    pub reach: Reach,
}

#[derive(Debug)]
struct Peer {
    life: Life,
    outstanding: u32,
    /// When it last gave any sign of life, or was first sent to.
    heard: Instant,
    report: Option<(Load, Instant)>,
    /// Requests sent since the report.
    since_report: u32,
    /// How long its target takes, as its node tells, and since when that is known.
    pace: Pace,
    paced: Instant,
    /// How long large bodies took there, with the way, as this node saw it.
    haul: Pace,
    failures: u32,
    absences: u32,
    absent_until: Option<Instant>,
}

/// The lives of a node and of the target beside it, of which something is known.
#[derive(Debug)]
struct Life {
    node: Incarnation,
    target: Option<Instance>,
}

impl Life {
    fn of(member: &Member) -> Self {
        Self {
            node: member.incarnation,
            target: member.targets.first().map(|target| target.instance.clone()),
        }
    }

    fn is_of(&self, member: &Member) -> bool {
        let target = member.targets.first().map(|target| &target.instance);
        self.node == member.incarnation && self.target.as_ref() == target
    }
}

/// How a request to a node ended.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// The target answered after this time.
    Answered(Duration),
    /// The node refused, the target is unharmed.
    Refused,
    /// The node says that its target leaves or is gone.
    Leaving,
    /// Another node answers at its address.
    Replaced,
    /// The target failed: it broke off, answered wrongly or with a fault.
    Failed,
    /// No answer came in time.
    Late,
    /// The node could not be reached.
    Lost(Loss),
    /// The caller went away, which says nothing.
    Abandoned,
}

impl End {
    /// Returns the word for it in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::Replaced => "replaced",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Lost(Loss::Silent) => "silent",
            Self::Lost(Loss::Closed) => "closed",
            Self::Abandoned => "abandoned",
        }
    }
}

/// What there is of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Targets that are known.
    pub known: usize,
    /// Those that drain.
    pub draining: usize,
    /// Others that are passed over: out of reach, or owing answers for long.
    pub passed_over: usize,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The node that chooses. Its own target needs no way to it.
    pub node: &'a Node,
    /// The route of the request.
    pub route: &'a Name,
    /// The service that is to run it.
    pub service: &'a Name,
    /// The failure domain that it comes from.
    pub domain: &'a Name,
    /// The bytes of its body.
    pub bytes: usize,
    /// How full the target beside the node is.
    pub own: Load,
}

/// What a node reports of its target with an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// How full it is.
    pub load: Option<Load>,
    /// How long it takes.
    pub pace: Option<Pace>,
    /// How long it ran the request. Without it the way and the wait for room count
    /// too, and a target that gets many uploads seems slower than it is.
    pub ran: Option<Duration>,
    /// Whether the request's body was large.
    pub is_large: bool,
}

/// The node that was chosen, and on what grounds.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The node.
    pub member: Arc<Member>,
    /// Its expected use of slots, 1 being full.
    pub usage: f64,
    /// How long an answer is expected to take, in seconds; the shortest won.
    pub cost: f64,
    /// How many targets of the service are known.
    pub candidates: usize,
}

impl Peer {
    fn new(life: Life, now: Instant) -> Self {
        Self {
            life,
            outstanding: 0,
            heard: now,
            report: None,
            since_report: 0,
            pace: Pace::default(),
            paced: now,
            haul: Pace::default(),
            failures: 0,
            absences: 0,
            absent_until: None,
        }
    }

    fn is_out(&self, now: Instant) -> bool {
        let is_absent = self.absent_until.is_some_and(|until| now < until);
        let is_silent = self.outstanding > 0 && self.has_fallen_silent(now);
        is_absent || is_silent
    }

    /// Returns the requests that the target is thought to hold.
    fn held(&self, now: Instant) -> u32 {
        match self.report {
            Some((load, at)) if now - at < LOAD_LIFE => {
                (load.running + load.waiting + self.since_report).max(self.outstanding)
            }
            _ => self.outstanding,
        }
    }

    /// Returns how long the target is thought to take. What is known of it fades, so
    /// that one that was slow is tried again.
    fn pace(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.paced);
        let known = (-age.as_secs_f64() / PACE_LIFE.as_secs_f64()).exp();
        Pace::default().towards(self.pace, known).factor()
    }

    fn be_absent(&mut self, now: Instant) {
        let span = ABSENCE * 2u32.saturating_pow(self.absences.min(8));
        self.absences += 1;
        self.absent_until = Some(now + span.min(MAX_ABSENCE));
    }

    fn has_fallen_silent(&self, now: Instant) -> bool {
        now - self.heard > SILENCE
    }
}

impl Balance {
    fn peer(&mut self, member: &Member, now: Instant) -> &mut Peer {
        let peer = self
            .peers
            .entry(member.node.clone())
            .or_insert_with(|| Peer::new(Life::of(member), now));
        if !peer.life.is_of(member) {
            // Another life of the node or of its target: what was held against the old
            // one is forgiven.
            *peer = Peer {
                outstanding: peer.outstanding,
                ..Peer::new(Life::of(member), now)
            };
        }
        peer
    }

    /// Returns the node to send a request to, if there is one that `may` have it and is not
    /// passed over.
    pub fn choose(
        &mut self,
        table: &Table,
        wish: Wish<'_>,
        may: impl Fn(&Member) -> bool,
        now: Instant,
    ) -> Option<Choice> {
        let serves = |member: &Arc<Member>| {
            let mut targets = member.targets.iter();
            let offered = targets.any(|t| t.service == *wish.service && !t.draining);
            offered && member.status == Status::Alive && may(member)
        };
        let [before, near, after] = table.offers_around(wish.service, wish.domain);
        let candidates = before.len() + near.len() + after.len();
        let mut may_have =
            |member: &Arc<Member>| serves(member) && !self.is_out(member, wish.node, now);
        let mut drawn = draw([near, &[]], NEAR, &mut may_have);
        drawn.extend(draw([before, after], FAR, &mut may_have));
        // Among equals the first one counts, and must not be the same for all.
        fastrand::shuffle(&mut drawn);
        let weighed = drawn.into_iter().map(|member| {
            let (usage, cost) = self.weigh(member, &wish, now);
            (member, usage, cost)
        });
        let best = weighed.min_by(|(_, _, one), (_, _, other)| one.total_cmp(other));
        best.map(|(member, usage, cost)| Choice {
            member: member.clone(),
            usage,
            cost,
            candidates,
        })
    }

    fn is_out(&mut self, member: &Member, me: &Node, now: Instant) -> bool {
        let is_lost = member.node != *me && self.reach.is_lost(member);
        is_lost || self.peer(member, now).is_out(now)
    }

    /// Returns what there is of a service, as `me` sees it.
    pub fn count(&mut self, table: &Table, service: &Name, me: &Node, now: Instant) -> Count {
        let mut count = Count::default();
        for member in table.offers(service) {
            let mut targets = member.targets.iter();
            let is_draining = targets.any(|t| t.service == *service && t.draining);
            count.known += 1;
            count.draining += usize::from(is_draining);
            let is_out = self.is_out(member, me, now);
            count.passed_over += usize::from(!is_draining && is_out);
        }
        count
    }

    /// Returns a target's use of slots with one more request, 1 being full, and the
    /// time in which an answer is expected, in seconds.
    fn weigh(&mut self, member: &Member, wish: &Wish<'_>, now: Instant) -> (f64, f64) {
        let answer = self.answer_size(wish.route);
        let is_large = is_large(wish.bytes) || is_large(answer);
        let means = if is_large { &self.hauls } else { &self.routes };
        let mean = means.get(wish.route).copied().unwrap_or(FIRST_MEAN);
        let target = member.target(wish.service);
        let slots = f64::from(target.map_or(1, |target| target.slots.max(1)));
        let peer = self.peer(member, now);
        let held = if member.node == *wish.node {
            wish.own.running + wish.own.waiting
        } else {
            peer.held(now)
        };
        let usage = f64::from(held + 1) / slots;
        // What a large body or answer takes depends on the links on its way as much as on
        // the target: sent by the target's pace alone, all uploads of a failure domain met
        // on the thin link of its fastest target.
        let pace = if is_large {
            peer.haul.factor()
        } else {
            peer.pace(now)
        };
        let work = mean * pace * f64::from(1 + peer.failures);
        let crowd = CROWD * (usage - CROWDED).max(0.0);
        let time = work * (1.0 + NEARLY_FULL * usage + crowd);
        let way = if member.domain == *wish.domain {
            0.0
        } else {
            // What every answer has counts as part of the way.
            let bytes = wish.bytes + answer.saturating_sub(LARGE);
            FAR_WAY + FAR_KILOBYTE * bytes as f64 / 1024.0
        };
        (usage, time + way)
    }

    /// Returns the mean size of an answer on a route, in bytes; 0 if none is known.
    fn answer_size(&self, route: &Name) -> usize {
        self.sizes.get(route).map_or(0, |mean| *mean as usize)
    }

    /// Returns the mean size of an answer on a route of large ones, in bytes; else 0.
    pub fn large_answer(&self, route: &Name) -> usize {
        let size = self.answer_size(route);
        if is_large(size) { size } else { 0 }
    }

    /// Notes the size of an answer on a route, in bytes.
    pub fn note_size(&mut self, route: &Name, bytes: usize) {
        learn(&mut self.sizes, route, bytes as f64);
    }

    /// Notes that a request is sent.
    pub fn start(&mut self, member: &Member, now: Instant) {
        let peer = self.peer(member, now);
        if peer.outstanding == 0 {
            peer.heard = now;
        }
        peer.outstanding += 1;
        peer.since_report += 1;
    }

    /// Notes how a request ended, and what the node reported of its target.
    ///
    /// Returns whether the node is passed over from now on.
    pub fn finish(
        &mut self,
        member: &Member,
        route: &Name,
        end: End,
        report: Report,
        now: Instant,
    ) -> bool {
        let (pace, haul) = match end {
            End::Answered(took) => {
                let ran = report.ran.unwrap_or(took);
                let is_large = report.is_large || is_large(self.answer_size(route));
                let haul = is_large.then(|| relate(&mut self.hauls, route, took));
                (relate(&mut self.routes, route, ran), haul)
            }
            _ => (Pace::default(), None),
        };
        let peer = self.peer(member, now);
        peer.outstanding = peer.outstanding.saturating_sub(1);
        if let Some(load) = report.load {
            peer.report = Some((load, now));
            peer.since_report = 0;
        }
        if !matches!(end, End::Lost(_) | End::Late | End::Abandoned) {
            peer.heard = now;
            peer.absences = 0;
            peer.absent_until = None;
            self.reach.hear(member);
        }
        let peer = self.peer(member, now);
        match end {
            End::Answered(_) => {
                let (seen, weight) = match report.pace {
                    Some(pace) => (pace, REPORTED),
                    None => (pace, NEWEST),
                };
                if let Some(haul) = haul {
                    peer.haul = peer.haul.towards(haul, NEWEST);
                }
                peer.pace = peer.pace.towards(seen, weight);
                peer.paced = now;
                peer.failures = peer.failures.saturating_sub(1);
                false
            }
            End::Refused | End::Abandoned => false,
            End::Leaving => {
                peer.be_absent(now);
                true
            }
            End::Replaced => {
                peer.absent_until = Some(now + REPLACED);
                true
            }
            // One that has answered others meanwhile has but a slow target.
            End::Late => peer.has_fallen_silent(now) && self.reach.lose(member, Loss::Silent, now),
            End::Lost(loss) => self.reach.lose(member, loss, now),
            End::Failed => {
                peer.failures = (peer.failures + 1).min(FAILURES);
                let is_out = peer.failures == FAILURES;
                if is_out {
                    peer.be_absent(now);
                }
                is_out
            }
        }
    }

    /// Forgets nodes that `known` does not know any more.
    pub fn retain(&mut self, known: impl Fn(&Node) -> bool) {
        self.peers
            .retain(|node, peer| peer.outstanding > 0 || known(node));
        self.reach.retain(known);
    }

    /// Returns how long targets usually run a request of a route, if any did.
    pub fn usual(&self, route: &Name) -> Option<Duration> {
        self.routes
            .get(route)
            .map(|mean| Duration::from_secs_f64(*mean))
    }
}

/// Draws up to `most` members of two lists by chance, each only if `may_have`.
///
/// They are drawn first and looked at afterwards: a choice takes 0.8 µs among 164 targets
/// and 1.9 among 13,000, where looking at all took 8.3 and 967 (`--example choice`).
fn draw(
    lists: [&[Arc<Member>]; 2],
    most: usize,
    mut may_have: impl FnMut(&Arc<Member>) -> bool,
) -> Vec<&Arc<Member>> {
    let [first, second] = lists;
    let count = first.len() + second.len();
    let mut drawn = Vec::with_capacity(most);
    let mut looked_at = Vec::with_capacity(LOOKS);
    while count > LOOKS && looked_at.len() < LOOKS {
        let at = fastrand::usize(..count);
        if looked_at.contains(&at) {
            continue;
        }
        looked_at.push(at);
        let member = first.get(at).unwrap_or_else(|| &second[at - first.len()]);
        if may_have(member) {
            drawn.push(member);
        }
        if drawn.len() == most {
            return drawn;
        }
    }
    // Few, or most of them out.
    let all = first.iter().chain(second);
    fastrand::choose_multiple(all.filter(|member| may_have(member)), most)
}

/// Returns the pace of a request that took so long, and takes it into the mean of its
/// route.
fn relate(means: &mut HashMap<Name, f64>, route: &Name, took: Duration) -> Pace {
    let before = learn(means, route, took.as_secs_f64());
    Pace::of(took, Duration::from_secs_f64(before))
}

/// Takes a value into the mean of its route; returns the mean before, which is the value
/// itself where it is the first.
fn learn(means: &mut HashMap<Name, f64>, route: &Name, value: f64) -> f64 {
    let mean = means.entry(route.clone()).or_insert(value);
    let before = *mean;
    *mean += NEWEST * (value - before);
    before
}

/// The smallest body, in bytes, whose way counts: it fills a good part of a
/// millisecond of an ordinary link, and 11 of a thin one of 10 Mbit/s.
const LARGE: usize = 14 << 10;

/// Returns whether a body of this many bytes is a large one.
pub fn is_large(bytes: usize) -> bool {
    bytes >= LARGE
}
