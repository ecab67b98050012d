//! The event queue of a replay.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use rilltrack::{
    coordination::decision::{
        attempts::{self, AttemptEnd, Attempts},
        balance::{AttemptResult, Criteria, Report, is_large},
        link_share,
        queue::{Admission, Arrival, Place},
    },
    id::Name,
    protocol::answer::{Outcome, Refusal},
    state::member::Member,
    unit::Span,
};

use super::{
    Crossing, Figures, Harm, Load,
    fleet::{Fleet, origin},
};

/// The reason of a refusal at a gate.
const FULL: &str = "target is full";

/// When a target that sheds asks to come back.
const SHED_AGAIN: Span = Span::from_millis(200);

/// Targets that may see a request.
const ATTEMPTS: u32 = 2;

/// A replay under way.
pub struct Model<'a> {
    load: &'a Load,
    fleet: Fleet,
    routes: Vec<Name>,
    rng: fastrand::Rng,
    origin: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    scheduled: usize,
    requests: Vec<Request>,
    figures: Figures,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller sends a request of this kind, and the next one is planned.
    Send(usize),
    /// A request comes to its node, for the first time or again.
    Begin(usize),
    /// Its head comes to the host that was chosen.
    Reach(usize),
    /// Its body has crossed that host's link.
    Crossed(usize),
    /// It has waited as long as it may.
    GiveUp(usize, u32),
    /// Its run ends.
    Done(usize),
    /// Its node hears how the try ended.
    Return(usize),
}

struct Request {
    kind: usize,
    /// The host that its caller asked.
    home: usize,
    /// When its caller first tried.
    first: Duration,
    begun: Duration,
    due: Instant,
    deadline: Duration,
    /// An answer is whether it tells of a fault.
    attempts: Attempts<bool>,
    /// Tries of the caller that are left.
    retries: u32,
    parent: Option<usize>,
    /// Whether it is a call of a run that is itself a repeat.
    is_call_of_repeat: bool,
    /// How likely that is, as far as its node can tell.
    carried: f64,
    /// The host that was chosen last.
    at: usize,
    /// The try that is under way, counted over all returns.
    count: u32,
    sent: Duration,
    place: Option<Place>,
    entered: Duration,
    calls: u32,
    has_failed_call: bool,
    outcome: Option<(AttemptEnd<bool>, Report)>,
}

impl Request {
    /// Returns whether its run at the host that was chosen last is a repeat.
    fn is_repeat(&self) -> bool {
        self.is_call_of_repeat || self.attempts.arrivals > 0
    }
}

impl<'a> Model<'a> {
    pub fn new(load: &'a Load, seed: u64) -> Self {
        // The decisions draw from the generator of their thread.
        fastrand::seed(seed);
        let mut figures = Figures::default();
        figures
            .kinds
            .resize_with(load.kinds.len(), Default::default);
        figures.runs = load.services.iter().map(|s| vec![0; s.targets]).collect();
        figures.repeats = vec![0; load.services.len()];
        figures
            .arrivals
            .resize_with(load.services.len(), Default::default);
        let route = |number| format!("r{number}").parse().expect("a letter and a number");
        Self {
            load,
            fleet: Fleet::new(load),
            routes: (0..load.kinds.len()).map(route).collect(),
            rng: fastrand::Rng::with_seed(seed),
            origin: origin(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            requests: Vec::new(),
            figures,
        }
    }

    pub fn run(mut self) -> Figures {
        for kind in 0..self.load.kinds.len() {
            if self.load.kinds[kind].per_s > 0.0 {
                self.plan(kind);
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(kind) => self.send(kind),
            Event::Begin(request) => self.begin(request),
            Event::Reach(request) => self.reach(request),
            Event::Crossed(request) => self.crossed(request),
            Event::GiveUp(request, count) => self.give_up(request, count),
            Event::Done(request) => self.done(request),
            Event::Return(request) => self.hear(request),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let key = (self.now + after, self.scheduled, event);
        self.events.push(Reverse(key));
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    /// Plans the next request of callers: they come by chance, at a fixed rate.
    fn plan(&mut self, kind: usize) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.load.kinds[kind].per_s;
        let gap = Duration::from_secs_f64(gap);
        if self.now + gap < self.load.length {
            self.schedule(gap, Event::Send(kind));
        }
    }

    fn send(&mut self, kind: usize) {
        let home = self.rng.usize(..self.fleet.hosts.len());
        self.request(kind, home, None);
        self.plan(kind);
    }

    fn request(&mut self, kind: usize, home: usize, parent: Option<usize>) {
        let of = &self.load.kinds[kind];
        let left = parent.map(|parent| self.requests[parent].deadline.saturating_sub(self.now));
        let whole = left.map_or(of.deadline, |left| left.min(of.deadline));
        self.requests.push(Request {
            kind,
            home,
            first: self.now,
            begun: self.now,
            due: self.instant(),
            deadline: self.now + whole,
            attempts: Attempts::default(),
            retries: if parent.is_some() { 0 } else { of.retries },
            parent,
            is_call_of_repeat: parent.is_some_and(|parent| self.requests[parent].is_repeat()),
            carried: 0.0,
            at: home,
            count: 0,
            sent: self.now,
            place: None,
            entered: self.now,
            calls: 0,
            has_failed_call: false,
            outcome: None,
        });
        if self.now >= self.load.warm_up {
            let count = &mut self.figures.kinds[kind];
            count.asked += 1;
            count.owed += of.worth;
        }
        let request = self.requests.len() - 1;
        self.begin(request);
    }

    /// Takes a request in at its node, as `Egress` does.
    fn begin(&mut self, request: usize) {
        let now = self.instant();
        let held = &mut self.requests[request];
        let of = &self.load.kinds[held.kind];
        let left = held.deadline.saturating_sub(self.now);
        let ages = &mut self.fleet.hosts[held.home].ages;
        let age = ages.note(&self.routes[held.kind], left);
        held.due = (now + of.objective).checked_sub(age).unwrap_or(now);
        held.begun = self.now;
        held.carried = self.fleet.hosts[held.home].runs.repeat_share();
        held.attempts = Attempts::default();
        self.figures.arrivals[of.service].requests.push(self.now);
        self.ask(request);
    }

    /// Asks the next node, or ends the request.
    fn ask(&mut self, request: usize) {
        let now = self.instant();
        let kind = self.requests[request].kind;
        let of = &self.load.kinds[kind];
        let service = &self.fleet.services[of.service].clone();
        let asked = self.asked(request, service);
        let held = &mut self.requests[request];
        let nodes = self.fleet.hosts.len();
        let home = &mut self.fleet.hosts[held.home];
        let criteria = Criteria {
            node: &home.member.node,
            route: &self.routes[kind],
            service,
            domain: &home.member.domain,
            bytes: of.body,
            own_load: home.queue.load(),
        };
        let may_ask = held.attempts.may_ask(&asked, now);
        let tried = &held.attempts.nodes;
        let may = |member: &Member| !tried.contains(&member.node);
        let table = &self.fleet.table;
        let choice = may_ask
            .then(|| home.balancer.choose(table, criteria, may, now))
            .flatten();
        let choice = choice.filter(|_| {
            held.attempts
                .may_send(&asked, &mut home.retry_budget, nodes, now)
        });
        let Some(choice) = choice else {
            let result = held.attempts.final_result();
            return self.end(request, result);
        };
        if held.attempts.arrivals > 0 {
            self.figures.repeats[of.service] += 1;
        }
        held.attempts.nodes.push(choice.member.node.clone());
        held.at = self.fleet.number(&choice.member);
        held.count += 1;
        held.sent = self.now;
        held.outcome = None;
        self.fleet.hosts[held.home]
            .balancer
            .start(&choice.member, now);
        self.figures.kinds[kind].offers += 1;
        let way = self.way(request);
        self.schedule(way, Event::Reach(request));
    }

    /// Returns what the node of a request tries for it.
    fn asked<'b>(&self, request: usize, service: &'b Name) -> attempts::Request<'b> {
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        attempts::Request {
            service,
            kind: of.kind,
            priority: of.priority,
            attempts: ATTEMPTS,
            repeat_chance: held.carried,
            due: held.due,
            deadline: self.origin + held.deadline,
        }
    }

    /// Returns what a request brings to the gate now.
    fn arrival(&self, request: usize) -> Arrival {
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        let asked = self.asked(request, &self.fleet.services[of.service]);
        held.attempts
            .queue_arrival(&asked, self.usual(request), self.instant())
    }

    /// Returns the time of a message between the node of a request and the target's.
    fn way(&self, request: usize) -> Duration {
        let Request { home, at, .. } = self.requests[request];
        let domain = |host: usize| self.fleet.hosts[host].domain;
        match () {
            () if home == at => Duration::ZERO,
            () if domain(home) == domain(at) => self.load.near,
            () => self.load.far,
        }
    }

    /// Takes the head in at the host that was chosen, as `Ingress` does.
    fn reach(&mut self, request: usize) {
        if !self.carries(request) {
            let refusal = Refusal::not_run("no allowance for its calls", SHED_AGAIN);
            let arrived = false;
            return self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
        }
        let is_first = self.load.crossing == Crossing::First;
        if !is_first || !self.has_large_body(request) {
            return self.enter_gate(request);
        }
        let (now, arrival) = (self.instant(), self.arrival(request));
        let body = self.load.kinds[self.requests[request].kind].body;
        let host = &mut self.fleet.hosts[self.requests[request].at];
        if !host.queue.may_admit(&arrival, now) {
            return self.refuse(request);
        }
        match host
            .link_share
            .reserve(body, link_share::body_slack(&arrival, now))
        {
            Ok(()) => self.cross(request),
            Err(wait) => {
                let refusal = Refusal::not_run("the link has no room", Span::of(wait));
                let arrived = false;
                self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
            }
        }
    }

    /// Returns whether the target may run a request that was sent before.
    fn carries(&mut self, request: usize) -> bool {
        let now = self.instant();
        let held = &self.requests[request];
        let nodes = self.fleet.hosts.len();
        let host = &mut self.fleet.hosts[held.at];
        held.attempts.arrivals == 0 || host.retry_budget.has_room_for_calls(nodes, now)
    }

    fn has_large_body(&self, request: usize) -> bool {
        let held = &self.requests[request];
        let body = self.load.kinds[held.kind].body;
        is_large(body) && self.fleet.hosts[held.at].link_share.is_known()
    }

    /// Lets the body cross the link, behind those that do already.
    fn cross(&mut self, request: usize) {
        let held = &self.requests[request];
        let body = self.load.kinds[held.kind].body;
        let host = &mut self.fleet.hosts[held.at];
        host.free = host.free.max(self.now) + host.link_share.transfer_time(body);
        let takes = host.free - self.now;
        self.schedule(takes, Event::Crossed(request));
    }

    fn crossed(&mut self, request: usize) {
        match self.load.crossing {
            Crossing::InSlot => self.run_on(request),
            Crossing::First => {
                let held = &self.requests[request];
                let body = self.load.kinds[held.kind].body;
                self.fleet.hosts[held.at].link_share.release(body);
                self.enter_gate(request);
            }
        }
    }

    /// Asks the gate for room.
    fn enter_gate(&mut self, request: usize) {
        let now = self.instant();
        let held = &self.requests[request];
        let arrival = self.arrival(request);
        let count = held.count;
        let host = &mut self.fleet.hosts[held.at];
        match host.queue.admit(&arrival, request, now) {
            Admission::Admitted => self.enter(request),
            Admission::Rejected => self.refuse(request),
            Admission::Queued {
                place,
                max_wait,
                displaced,
            } => {
                self.requests[request].place = Some(place);
                self.schedule(max_wait, Event::GiveUp(request, count));
                if let Some(displaced) = displaced {
                    self.requests[displaced].place = None;
                    self.refuse(displaced);
                }
            }
        }
    }

    fn usual(&self, request: usize) -> Option<Duration> {
        let held = &self.requests[request];
        self.fleet.hosts[held.home]
            .balancer
            .mean_run_time(&self.routes[held.kind])
    }

    fn give_up(&mut self, request: usize, count: u32) {
        let held = &mut self.requests[request];
        if held.count != count {
            return;
        }
        let Some(place) = held.place.take() else {
            return;
        };
        if self.fleet.hosts[held.at].queue.cancel(&place) {
            self.refuse(request);
        }
    }

    /// Turns a request away at the gate.
    fn refuse(&mut self, request: usize) {
        let now = self.instant();
        let arrival = self.arrival(request);
        let spread = self.rng.f64();
        let queue = &self.fleet.hosts[self.requests[request].at].queue;
        let refusal = Refusal::not_run(FULL, queue.retry_after(&arrival, spread, now));
        let arrived = false;
        self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
    }

    /// Gives a request a slot.
    fn enter(&mut self, request: usize) {
        self.requests[request].place = None;
        self.requests[request].entered = self.now;
        match self.load.crossing {
            Crossing::InSlot if self.has_large_body(request) => self.cross(request),
            _ => self.run_on(request),
        }
    }

    /// Gives a request to the target.
    fn run_on(&mut self, request: usize) {
        let held = &self.requests[request];
        let host = held.at;
        if held.is_repeat() {
            let service = self.load.kinds[held.kind].service;
            self.figures.arrivals[service].further.push(self.now);
        }
        let chance = self.rng.f64();
        let harms: Vec<_> = self.fleet.hosts[host].harms(self.load, self.now).collect();
        let sheds = harms
            .iter()
            .any(|harm| matches!(harm, Harm::Sheds(part) if chance < *part));
        if sheds {
            self.fleet.hosts[host].queue.release(Some(Duration::ZERO));
            let refusal = Refusal::not_run("target shed the request", SHED_AGAIN);
            let arrived = true;
            self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
            return self.grant(host);
        }
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        self.fleet.hosts[host]
            .runs
            .start(held.attempts.arrivals > 0);
        self.figures.runs[of.service][self.fleet.hosts[host].index] += 1;
        match of.calls.filter(|calls| self.rng.f64() < calls.share) {
            None => self.work(request),
            Some(calls) => {
                self.requests[request].calls = calls.times;
                self.requests[request].has_failed_call = false;
                for _ in 0..calls.times {
                    self.request(calls.kind, host, Some(request));
                }
            }
        }
    }

    fn work(&mut self, request: usize) {
        let host = self.requests[request].at;
        let of = &self.load.kinds[self.requests[request].kind];
        // A lognormal time with the mean and the spread that are asked for.
        let sigma2 = (1.0 + of.spread * of.spread).ln();
        let normal = self.normal();
        let factor = (sigma2.sqrt() * normal - sigma2 / 2.0).exp();
        let work = of.work.mul_f64(factor);
        let takes = self.fleet.hosts[host].runs(self.load, work, self.now);
        self.schedule(takes, Event::Done(request));
    }

    /// Returns a number of the standard normal distribution.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.f64()).cos()
    }

    /// Ends a run, and lets in who waits.
    fn done(&mut self, request: usize) {
        let held = &self.requests[request];
        let host = held.at;
        let ran = self.now - held.entered;
        let usual = self.usual(request);
        let chance = self.rng.f64();
        let fails = self.fleet.hosts[host]
            .harms(self.load, self.now)
            .any(|harm| matches!(harm, Harm::Fails(part) if chance < part));
        let is_fault = fails || held.has_failed_call;
        self.fleet.hosts[host].runs.end(held.attempts.arrivals > 0);
        let queue = &mut self.fleet.hosts[host].queue;
        queue.release(Some(ran));
        if let Some(usual) = usual.filter(|_| !is_fault) {
            queue.record_run(ran, usual);
        }
        let answer = AttemptEnd::Answered {
            answer: is_fault,
            is_fault,
        };
        self.answer(request, answer, Some(ran));
        self.grant(host);
    }

    fn grant(&mut self, host: usize) {
        while let Some(request) = self.fleet.hosts[host].queue.admit_next() {
            self.enter(request);
        }
    }

    /// Sends the outcome of a try back, with what the node tells of its target.
    fn answer(&mut self, request: usize, ended: AttemptEnd<bool>, ran: Option<Duration>) {
        let held = &self.requests[request];
        let body = self.load.kinds[held.kind].body;
        let queue = &self.fleet.hosts[held.at].queue;
        let report = Report {
            load: Some(queue.load()),
            slowdown: Some(queue.slowdown()),
            run_time: ran,
            is_large: is_large(body),
        };
        self.requests[request].outcome = Some((ended, report));
        let way = self.way(request);
        self.schedule(way, Event::Return(request));
    }

    /// Takes in how a try ended.
    fn hear(&mut self, request: usize) {
        let now = self.instant();
        let held = &mut self.requests[request];
        let (ended, report) = held.outcome.take().expect("sent before it returns");
        let of = &self.load.kinds[held.kind];
        let took = self.now - held.sent;
        let (end, arrived) = match &ended {
            AttemptEnd::Answered { is_fault: true, .. } => (AttemptResult::Failed, true),
            AttemptEnd::Answered { .. } => (AttemptResult::Answered(took), true),
            AttemptEnd::Refused { refusal, arrived } if refusal.outcome == Outcome::NotRun => {
                (AttemptResult::Refused, *arrived)
            }
            AttemptEnd::Refused { arrived, .. } => (AttemptResult::Failed, *arrived),
            AttemptEnd::TargetCrashed(_) => (AttemptResult::Failed, true),
        };
        let member: &Member = &self.fleet.hosts[held.at].member.clone();
        let home = &mut self.fleet.hosts[held.home];
        home.balancer
            .finish(member, &self.routes[held.kind], end, report, now);
        if held.attempts.arrivals == 0 && arrived {
            home.retry_budget
                .note_arrival(&self.fleet.services[of.service], now);
        }
        match held.attempts.record(of.kind, ended) {
            Some(result) => self.end(request, result),
            None => self.ask(request),
        }
    }

    /// Ends a request with what its caller is told.
    fn end(&mut self, request: usize, result: Result<bool, Refusal>) {
        let held = &self.requests[request];
        match result {
            Ok(false) => self.serve(request),
            Ok(true) => self.fail(request),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                let again = refusal.retry_after.unwrap_or(SHED_AGAIN).duration();
                let returns = held.retries > 0 && self.now + again < held.deadline;
                if returns {
                    self.requests[request].retries -= 1;
                    self.schedule(again, Event::Begin(request));
                } else {
                    self.count(request, |count| count.refused += 1);
                    self.tell_parent(request, false);
                }
            }
            Err(_) => self.fail(request),
        }
    }

    fn serve(&mut self, request: usize) {
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        let took = self.now - held.first;
        let is_there = self.now <= held.deadline;
        let part = match took <= of.objective {
            true => 1.0,
            false if is_there => of.late,
            false => 0.0,
        };
        let (in_time, late) = (took <= of.objective, took > of.objective && is_there);
        let worth = of.worth * part;
        self.count(request, |count| {
            count.in_time += u32::from(in_time);
            count.late += u32::from(late);
            count.failed += u32::from(!in_time && !late);
            count.earned += worth;
            count.took.note(took);
        });
        self.tell_parent(request, is_there);
    }

    fn fail(&mut self, request: usize) {
        self.count(request, |count| count.failed += 1);
        self.tell_parent(request, false);
    }

    fn count(&mut self, request: usize, note: impl FnOnce(&mut super::Count)) {
        let held = &self.requests[request];
        if held.first >= self.load.warm_up {
            note(&mut self.figures.kinds[held.kind]);
        }
    }

    /// Tells the run that made a call how it ended; the run goes on after its last one.
    fn tell_parent(&mut self, request: usize, is_served: bool) {
        let Some(parent) = self.requests[request].parent else {
            return;
        };
        let held = &mut self.requests[parent];
        held.calls -= 1;
        held.has_failed_call |= !is_served;
        if held.calls > 0 {
            return;
        }
        match held.has_failed_call {
            true => self.schedule(Duration::ZERO, Event::Done(parent)),
            false => self.work(parent),
        }
    }
}
