//! Runs of a replay: what a target does with a request that has a slot, and the calls that it
//! makes meanwhile.

use std::time::Duration;

use rilltrack::{coordination::decision::attempts::AttemptEnd, protocol::answer::Refusal};

use super::{
    Harm,
    model::{Event, Model, SHED_AGAIN},
};

/// How a call of a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It was answered in time for the run.
    Served,
    /// It was refused.
    Refused,
    /// It failed, or was answered too late.
    Failed,
}

impl Model<'_> {
    /// Passes a request to the target, which sheds it, runs it, or first sends calls.
    pub(super) fn run_on(&mut self, request: usize) {
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
        self.count(request, |count| count.runs += 1);
        let of = &self.load.kinds[self.requests[request].kind];
        match of.calls.filter(|calls| self.rng.f64() < calls.share) {
            None => self.work(request),
            Some(calls) => {
                let held = &mut self.requests[request];
                held.calls = calls.times;
                held.has_failed_call = false;
                held.has_refused_call = false;
                let at_once = if calls.is_sequential { 1 } else { calls.times };
                for _ in 0..at_once {
                    self.request(calls.kind, host, Some(request));
                }
            }
        }
    }

    pub(super) fn work(&mut self, request: usize) {
        let host = self.requests[request].at;
        let of = &self.load.kinds[self.requests[request].kind];
        // A lognormal run time with the mean and the coefficient of variation of the kind.
        let sigma2 = (1.0 + of.spread * of.spread).ln();
        let normal = self.normal();
        let factor = (sigma2.sqrt() * normal - sigma2 / 2.0).exp();
        let work = of.work.mul_f64(factor);
        let takes = self.fleet.hosts[host].runs(self.load, work, self.now);
        self.schedule(takes, Event::Done(request));
    }

    /// Returns a sample of the standard normal distribution.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rng.f64()).cos()
    }

    /// Ends a run, answers the request and admits queued ones.
    pub(super) fn done(&mut self, request: usize) {
        let held = &self.requests[request];
        let host = held.at;
        let ran = self.now - held.entered;
        let usual = self.usual(request);
        let chance = self.rng.f64();
        let fails = self.fleet.hosts[host]
            .harms(self.load, self.now)
            .any(|harm| matches!(harm, Harm::Fails(part) if chance < part));
        let is_fault = fails || held.has_failed_call;
        self.receive_limit(host);
        let now = self.instant();
        if let Some(slowness) = self.fleet.hosts[host].slowness(self.load, self.now) {
            self.fleet.hosts[host].queue.slowness.record(slowness, now);
        }
        if self.load.kinds[self.requests[request].kind].is_nested {
            self.fleet.hosts[host].reserve.end(ran);
        }
        if self.requests[request].has_refused_call {
            self.count(request, |count| count.runs_failed_by_refused_call += 1);
        }
        let held = &self.requests[request];
        self.fleet.hosts[host].runs.end(held.attempts.arrivals > 0);
        let queue = &mut self.fleet.hosts[host].queue;
        queue.release(Some(ran));
        if let Some(usual) = usual.filter(|_| !is_fault) {
            queue.record_run(ran, usual, now);
        }
        let answer = AttemptEnd::Answered {
            answer: is_fault,
            is_fault,
        };
        self.answer(request, answer, Some(ran));
        self.grant(host);
    }

    /// Reports the end of a call to the run that sent it. The run sends the next of sequential
    /// calls, and continues after its last call or, if they are sequential, after a failed one.
    pub(super) fn report_to_parent(&mut self, request: usize, ended: CallEnd) {
        let Some(parent) = self.requests[request].parent else {
            return;
        };
        let held = &mut self.requests[parent];
        held.calls -= 1;
        held.has_failed_call |= ended != CallEnd::Served;
        held.has_refused_call |= ended == CallEnd::Refused;
        let (remaining, has_failed, host) = (held.calls, held.has_failed_call, held.at);
        let calls = self.load.kinds[held.kind].calls;
        let next = calls.filter(|calls| calls.is_sequential && remaining > 0);
        match next {
            Some(calls) if !has_failed => self.request(calls.kind, host, Some(parent)),
            None if remaining > 0 => {}
            _ if has_failed => self.schedule(Duration::ZERO, Event::Done(parent)),
            _ => self.work(parent),
        }
    }
}
