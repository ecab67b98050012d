//! The ends of requests in a replay: a retry of the caller, or the result that counts.

use rilltrack::protocol::answer::{Outcome, Refusal};

use super::{
    model::{Event, Model, SHED_AGAIN},
    run::CallEnd,
};

impl Model<'_> {
    /// Ends a request with its final result; after a refusal, the caller may retry.
    pub(super) fn end(&mut self, request: usize, result: Result<bool, Refusal>) {
        let held = &self.requests[request];
        match result {
            Ok(false) => self.serve(request),
            Ok(true) => self.fail(request),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                let again = refusal.retry_after.unwrap_or(SHED_AGAIN).duration();
                let left = held.deadline.saturating_sub(self.now);
                let within = self.load.kinds[held.kind].retry_within;
                let returns = held.retries > 0 && again < left.mul_f64(within);
                if returns {
                    self.requests[request].retries -= 1;
                    self.schedule(again, Event::Begin(request));
                } else {
                    self.count(request, |count| count.refused += 1);
                    self.report_to_parent(request, CallEnd::Refused);
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
        let ended = match is_there {
            true => CallEnd::Served,
            false => CallEnd::Failed,
        };
        self.report_to_parent(request, ended);
    }

    fn fail(&mut self, request: usize) {
        self.count(request, |count| count.failed += 1);
        self.report_to_parent(request, CallEnd::Failed);
    }

    pub(super) fn count(&mut self, request: usize, note: impl FnOnce(&mut super::Count)) {
        let held = &self.requests[request];
        if held.first >= self.load.warm_up {
            note(&mut self.figures.kinds[held.kind]);
        }
    }
}
