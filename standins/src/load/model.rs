//! The event loop of a replay.

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
    state::{member::Member, region::Regions},
    unit::{Rate, Span},
};

use super::{
    Crossing, Figures, Harm, Load, Waits,
    exchange::Exchange,
    fleet::{Fleet, origin},
};

/// The reason of a refusal by a target's queue.
const FULL: &str = "target is full";

/// The reason of a refusal because a target got all requests that it takes.
const AT_LIMIT: &str = "target is at its limit";

/// The retry delay that a target asks for when it sheds a request.
pub(super) const SHED_AGAIN: Span = Span::from_millis(200);

/// The maximum number of targets that may receive a request.
const ATTEMPTS: u32 = 2;

/// The state of a replay.
pub struct Model<'a> {
    pub(super) load: &'a Load,
    pub(super) fleet: Fleet,
    pub(super) routes: Vec<Name>,
    pub(super) rng: fastrand::Rng,
    pub(super) origin: Instant,
    pub(super) now: Duration,
    pub(super) events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    pub(super) scheduled: usize,
    pub(super) requests: Vec<Request>,
    pub(super) figures: Figures,
    pub(super) exchange: Exchange,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A caller sends a request of this kind; the next one is scheduled.
    Send(usize),
    /// A request arrives at its caller's node, for the first time or as the caller's retry.
    Begin(usize),
    /// The head of a request arrives at the chosen host.
    Reach(usize),
    /// The body of a request has crossed the chosen host's link.
    Crossed(usize),
    /// The maximum wait in the queue is over, for a request and its attempt's number.
    GiveUp(usize, u32),
    /// The run of a request ends.
    Done(usize),
    /// The result of an attempt arrives at the caller's node.
    Return(usize),
    /// A host's node reports its target's load.
    Report(usize),
    /// The other nodes receive the oldest report of that host that is on its way.
    ReportDelivered(usize),
}

pub(super) struct Request {
    pub(super) kind: usize,
    /// The host of the node that its caller sent it to.
    pub(super) home: usize,
    /// When its caller sent it first.
    pub(super) first: Duration,
    pub(super) begun: Duration,
    pub(super) due: Instant,
    pub(super) deadline: Duration,
    /// Its attempts; an answer is represented by whether it is a fault.
    pub(super) attempts: Attempts<bool>,
    /// The caller's remaining retries.
    pub(super) retries: u32,
    /// The request whose run sent this one.
    pub(super) parent: Option<usize>,
    /// Whether it is a call of a run that is itself a repeat.
    pub(super) is_call_of_repeat: bool,
    /// The probability of that, as estimated by its node.
    pub(super) carried: f64,
    /// The host of the latest attempt.
    pub(super) at: usize,
    /// The number of attempts so far, over all retries of the caller.
    pub(super) count: u32,
    pub(super) sent: Duration,
    /// The targets that were asked or can be, as of the latest choice.
    pub(super) askable: usize,
    pub(super) place: Option<Place>,
    pub(super) entered: Duration,
    pub(super) calls: u32,
    pub(super) has_failed_call: bool,
    pub(super) has_refused_call: bool,
    pub(super) outcome: Option<(AttemptEnd<bool>, Report)>,
}

impl Request {
    /// Returns whether its run at the host of the latest attempt is a repeat.
    pub(super) fn is_repeat(&self) -> bool {
        self.is_call_of_repeat || self.attempts.arrivals > 0
    }
}

impl<'a> Model<'a> {
    pub fn new(load: &'a Load, seed: u64) -> Self {
        // The decisions draw from the thread-local generator.
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
            fleet: Fleet::new(load, seed),
            routes: (0..load.kinds.len()).map(route).collect(),
            rng: fastrand::Rng::with_seed(seed),
            origin: origin(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            requests: Vec::new(),
            figures,
            exchange: Exchange::default(),
        }
    }

    pub fn run(mut self) -> Figures {
        for kind in 0..self.load.kinds.len() {
            if self.load.kinds[kind].per_s > 0.0 {
                self.plan(kind);
            }
        }
        self.plan_reports();
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
            Event::Return(request) => self.handle_result(request),
            Event::Report(host) => self.report(host),
            Event::ReportDelivered(host) => {
                let now = self.instant();
                self.exchange.deliver(&mut self.fleet, host, now);
            }
        }
    }

    /// Schedules the first load report of each host, spread over a period.
    fn plan_reports(&mut self) {
        let Some(reports) = self.load.reports else {
            return;
        };
        let hosts = self.fleet.hosts.len();
        for host in 0..hosts {
            let phase = reports.period.mul_f64(host as f64 / hosts as f64);
            self.schedule(phase, Event::Report(host));
        }
    }

    fn report(&mut self, host: usize) {
        let Some(reports) = self.load.reports else {
            return;
        };
        self.exchange.report(&self.fleet, host, self.instant());
        self.schedule(reports.age, Event::ReportDelivered(host));
        if self.now < self.load.length {
            self.schedule(reports.period, Event::Report(host));
        }
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let key = (self.now + after, self.scheduled, event);
        self.events.push(Reverse(key));
    }

    pub(super) fn instant(&self) -> Instant {
        self.origin + self.now
    }

    /// Schedules the next request of a kind. Arrivals are a Poisson process.
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

    pub(super) fn request(&mut self, kind: usize, home: usize, parent: Option<usize>) {
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
            askable: 0,
            place: None,
            entered: self.now,
            calls: 0,
            has_failed_call: false,
            has_refused_call: false,
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

    /// Accepts a request at its caller's node, as `Egress` does.
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

    /// Starts the next attempt, or ends the request.
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
            regions: &Regions::default(),
            bytes: of.body,
            own_load: home.queue.load(now),
        };
        if let Some((slowness, at)) = home.queue.slowness.fresh_since(now) {
            home.balancer
                .record_slowness(&home.member, slowness, at, now);
        }
        let may_ask = held.attempts.may_ask(&asked, now);
        let table = &self.fleet.table;
        let tried = &held.attempts;
        let goes_back = tried.is_going_back();
        let choices = [goes_back, !goes_back].into_iter().filter_map(|goes_back| {
            let may = |member: &Member| tried.may_go_to(&member.node, goes_back);
            let may_choose = may_ask && (!goes_back || tried.redirecting_node().is_some());
            may_choose.then(|| home.balancer.choose(table, criteria, may, now))?
        });
        let choice = { choices }.next();
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
        held.askable = held.attempts.nodes.len() - 1 + choice.eligible;
        held.at = self.fleet.number(&choice.member);
        held.count += 1;
        held.sent = self.now;
        held.outcome = None;
        self.fleet.hosts[held.home]
            .balancer
            .start(&choice.member, now);
        self.figures.kinds[kind].offers += 1;
        let delay = self.one_way_delay(request);
        self.schedule(delay, Event::Reach(request));
    }

    /// Returns the description of a request by which its attempts are decided.
    fn asked<'b>(&self, request: usize, service: &'b Name) -> attempts::Request<'b> {
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        attempts::Request {
            service,
            kind: of.kind,
            priority: of.priority,
            is_nested: of.is_nested && self.load.waits == Waits::Run,
            attempts: ATTEMPTS,
            repeat_chance: held.carried,
            due: held.due,
            deadline: self.origin + held.deadline,
        }
    }

    /// Returns the data by which the target's queue admits a request.
    fn arrival(&self, request: usize) -> Arrival {
        let held = &self.requests[request];
        let of = &self.load.kinds[held.kind];
        let asked = self.asked(request, &self.fleet.services[of.service]);
        let now = self.instant();
        let mut arrival =
            held.attempts
                .queue_arrival(&asked, self.usual(request), held.askable, now);
        let home = &self.fleet.hosts[held.home].balancer;
        arrival.may_redirect &= home.knows_slowness(asked.service, now);
        arrival
    }

    /// Returns the one-way delay between the caller's node and the target's node.
    fn one_way_delay(&self, request: usize) -> Duration {
        let Request { home, at, .. } = self.requests[request];
        let domain = |host: usize| self.fleet.hosts[host].domain;
        match () {
            () if home == at => Duration::ZERO,
            () if domain(home) == domain(at) => self.load.near,
            () => self.load.far,
        }
    }

    /// Handles the head of a request at the chosen host, as `Ingress` does.
    fn reach(&mut self, request: usize) {
        if !self.may_run(request) {
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
        if host.queue.is_redirected(&arrival, now) {
            return self.answer(request, AttemptEnd::Redirected, None);
        }
        if !host.queue.may_admit(&arrival, now) {
            return self.refuse(request);
        }
        match host
            .link_share
            .reserve(body, link_share::body_slack(&arrival, now))
        {
            Ok(()) => self.cross(request),
            Err(wait) => {
                let refusal = Refusal::not_run("the link has no room", Span::from_duration(wait));
                let arrived = false;
                self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
            }
        }
    }

    /// Returns whether the target may run a request: a repeat needs a budget for its calls.
    fn may_run(&mut self, request: usize) -> bool {
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

    /// Transfers the body over the link, after all earlier bodies.
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

    /// Passes a request to the target's queue, which admits, queues or rejects it.
    fn enter_gate(&mut self, request: usize) {
        let now = self.instant();
        let held = &self.requests[request];
        let arrival = self.arrival(request);
        let (count, at) = (held.count, held.at);
        let is_nested = self.load.kinds[held.kind].is_nested;
        self.reserve_slots(at, is_nested);
        let host = &mut self.fleet.hosts[at];
        if is_nested {
            host.reserve.record_arrival(self.now);
        }
        let admission = host.queue.admit(&arrival, request, now);
        self.reserve_slots(at, true);
        match admission {
            Admission::Admitted => self.enter(request),
            Admission::Rejected => self.refuse(request),
            Admission::Redirected => self.answer(request, AttemptEnd::Redirected, None),
            Admission::Paced(wait, _) => self.refuse_paced(request, wait),
            Admission::Queued {
                place,
                max_wait,
                displaced,
            } => {
                self.set_place(request, Some(place));
                self.schedule(max_wait, Event::GiveUp(request, count));
                if let Some(displaced) = displaced {
                    self.set_place(displaced, None);
                    self.refuse(displaced);
                }
            }
        }
    }

    /// Returns the usual run time of the request's route, as measured by the caller's node.
    pub(super) fn usual(&self, request: usize) -> Option<Duration> {
        let held = &self.requests[request];
        self.fleet.hosts[held.home]
            .balancer
            .mean_run_time(&self.routes[held.kind])
    }

    fn give_up(&mut self, request: usize, count: u32) {
        let held = &self.requests[request];
        if held.count != count {
            return;
        }
        let Some(place) = held.place else {
            return;
        };
        let at = held.at;
        self.set_place(request, None);
        if self.fleet.hosts[at].queue.cancel(&place) {
            self.refuse(request);
        }
    }

    /// Rejects a request on behalf of the target's queue.
    fn refuse(&mut self, request: usize) {
        let now = self.instant();
        let arrival = self.arrival(request);
        let spread = self.rng.f64();
        let queue = &self.fleet.hosts[self.requests[request].at].queue;
        self.figures.kinds[self.requests[request].kind].rejections += 1;
        let refusal = Refusal::not_run(FULL, queue.retry_after(&arrival, spread, now));
        let arrived = false;
        self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
    }

    /// Rejects a request because the target takes none for a time.
    fn refuse_paced(&mut self, request: usize, wait: Duration) {
        let refusal = Refusal::not_run(AT_LIMIT, Span::from_duration(wait));
        let arrived = false;
        self.answer(request, AttemptEnd::Refused { refusal, arrived }, None);
    }

    /// Starts a request in its slot.
    fn enter(&mut self, request: usize) {
        self.set_place(request, None);
        let held = &mut self.requests[request];
        held.entered = self.now;
        let (at, kind) = (held.at, held.kind);
        if self.load.kinds[kind].is_nested {
            self.fleet.hosts[at].reserve.running += 1;
        }
        match self.load.crossing {
            Crossing::InSlot if self.has_large_body(request) => self.cross(request),
            _ => self.run_on(request),
        }
    }

    pub(super) fn grant(&mut self, host: usize) {
        let now = self.instant();
        loop {
            self.reserve_slots(host, self.fleet.hosts[host].reserve.waiting > 0);
            let Some(request) = self.fleet.hosts[host].queue.admit_next(now) else {
                break;
            };
            self.enter(request);
        }
        self.reserve_slots(host, true);
        let queue = &mut self.fleet.hosts[host].queue;
        let rejected = queue.reject_paced(now);
        let wait = queue.paces.wait(now).map(|(wait, _)| wait);
        for request in rejected {
            self.set_place(request, None);
            self.refuse_paced(request, wait.unwrap_or_default());
        }
    }

    /// Takes in the limit that a target states in an answer.
    pub(super) fn receive_limit(&mut self, host: usize) {
        let harms = self.fleet.hosts[host].harms(self.load, self.now);
        let limits = harms.filter_map(|harm| match harm {
            Harm::Limits(per_second) => Rate::from_per_second(per_second),
            _ => None,
        });
        let limit = limits.min();
        self.fleet.hosts[host].queue.paces.set_limit(limit);
    }

    /// Sends the result of an attempt back, with the node's report on its target.
    pub(super) fn answer(
        &mut self,
        request: usize,
        ended: AttemptEnd<bool>,
        ran: Option<Duration>,
    ) {
        let held = &self.requests[request];
        let body = self.load.kinds[held.kind].body;
        let queue = &self.fleet.hosts[held.at].queue;
        // A node has the slowness of its own target from the queue, with its age.
        let slowness = queue.slowness.fresh(self.instant());
        let slowness = slowness.filter(|_| held.home != held.at);
        let report = Report {
            load: Some(queue.load(self.instant())),
            slowdown: Some(queue.slowdown()),
            run_time: ran,
            is_large: is_large(body),
            notice: None,
            slowness,
        };
        self.requests[request].outcome = Some((ended, report));
        let delay = self.one_way_delay(request);
        self.schedule(delay, Event::Return(request));
    }

    /// Handles the result of an attempt at the caller's node.
    fn handle_result(&mut self, request: usize) {
        let now = self.instant();
        let held = &mut self.requests[request];
        let (ended, report) = held.outcome.take().expect("sent before it returns");
        let of = &self.load.kinds[held.kind];
        let took = self.now - held.sent;
        let (end, arrived) = match &ended {
            AttemptEnd::Answered { is_fault: true, .. } => (AttemptResult::Failed, true),
            AttemptEnd::Answered { .. } => (AttemptResult::Answered(took), true),
            AttemptEnd::Refused { refusal, arrived } if refusal.reason == AT_LIMIT => {
                (AttemptResult::AtLimit, *arrived)
            }
            AttemptEnd::Refused { refusal, arrived } if refusal.outcome == Outcome::NotRun => {
                (AttemptResult::Refused, *arrived)
            }
            AttemptEnd::Refused { arrived, .. } => (AttemptResult::Failed, *arrived),
            AttemptEnd::TargetCrashed(_) => (AttemptResult::Failed, true),
            AttemptEnd::Redirected => {
                self.figures.kinds[held.kind].redirects += 1;
                (AttemptResult::Slow, false)
            }
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
}
