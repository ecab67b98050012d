//! How often one request is tried, how long it waits at each node, and what its caller
//! is told in the end.
//!
//! The load that it answers: nodes that refuse for want of room, targets that shed or
//! fail part of what they get, and ways that break. What was refused before a target saw
//! it goes on to another node for nothing; what a target has seen is a repeat, which the
//! fleet's [`allowance`](crate::coordination::decision::allowance) must have room for.

use std::time::{Duration, Instant};

use crate::{
    coordination::decision::{
        allowance::{Again, Allowance},
        queue::Arrival,
    },
    id::{Name, Node},
    protocol::answer::{Outcome, Refusal},
    state::routing::Kind,
    unit::Span,
};

/// Nodes that are asked for room for one request. A refusal takes a round trip
/// and costs the target nothing, but each further one finds less time.
const ASKED: usize = 4;

/// The part of the time left that a request may wait at one node: one over this. So
/// another one can still be asked when a node says nothing.
const WAITED: u32 = 2;

/// The longest that a late request may wait at one node: a little over the mean run of
/// the slowest service of both meshes, 410 ms, in which all of its slots turn over.
const LATE_WAIT: Duration = Duration::from_millis(500);

/// Runs that a request waits for a node's leave to send its body: as many as a gate's queue
/// is long. A node that gives none by then says nothing any more.
const OFFERED_RUNS: u32 = 2;

/// How long such a request runs at the least for that, so that short ones wait for the
/// turn of a slot too: calls amid requests take a part of it, whole ones several times.
const OFFERED_RUN: Duration = Duration::from_millis(100);

/// When callers are asked to come back when no target could be had.
const NO_TARGET_AGAIN: Span = Span::from_millis(200);

/// What was tried for one request so far; `A` is an answer of a target.
#[derive(Debug)]
pub struct Tries<A> {
    /// The nodes that were asked.
    pub nodes: Vec<Node>,
    /// Targets that have seen the request.
    pub arrivals: u32,
    /// What the caller is told if nothing better comes.
    last: Option<Last<A>>,
}

/// What is tried.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service that is to run it.
    pub service: &'a Name,
    /// Whether it may run more than once.
    pub kind: Kind,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Targets that may see it.
    pub attempts: u32,
    /// How likely it is a call of a run that is a repeat.
    pub carried: f64,
    /// When it should be answered, counted from its caller's first try.
    pub due: Instant,
    /// When its caller has no more use for an answer.
    pub deadline: Instant,
}

/// How one try ended.
#[derive(Debug)]
pub enum Ended<A> {
    /// With the target's answer, which may tell of a fault of its own.
    Answered {
        /// The answer.
        answer: A,
        /// Whether it is a fault.
        is_fault: bool,
    },
    /// Without one.
    Refused {
        /// What became of the request.
        refusal: Refusal,
        /// Whether the target itself has seen the request.
        arrived: bool,
    },
    /// The target ended while it ran the request.
    TargetEnded(Refusal),
}

#[derive(Debug)]
enum Last<A> {
    Refused(Refusal),
    Answered(A),
}

impl<A> Default for Tries<A> {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            arrivals: 0,
            last: None,
        }
    }
}

impl<A> Tries<A> {
    /// Returns whether one more node may be asked.
    pub fn may_ask(&self, request: &Request<'_>, now: Instant) -> bool {
        self.nodes.len() < ASKED && (self.nodes.is_empty() || now < request.deadline)
    }

    /// Returns whether the request may be sent to one more target, and takes what that
    /// costs from the `allowance` of a fleet of `nodes`. What a node refused before its
    /// target saw it costs nothing.
    pub fn may_send(
        &self,
        request: &Request<'_>,
        allowance: &mut Allowance,
        nodes: usize,
        now: Instant,
    ) -> bool {
        if self.arrivals == 0 {
            if self.nodes.is_empty() {
                allowance.earn(request.service, request.carried, now);
            }
            return true;
        }
        if self.arrivals >= request.attempts {
            return false;
        }
        let again = match &self.last {
            Some(Last::Refused(refusal)) if refusal.outcome == Outcome::NotRun => Again::NotRun,
            _ => Again::Repeated,
        };
        allowance.spend(request.service, again, nodes, now)
    }

    /// Takes in how the try at the last node ended; returns what the caller is told, if
    /// nothing more may be tried.
    ///
    /// # Errors
    ///
    /// The refusal that the caller is told.
    pub fn take(&mut self, kind: Kind, ended: Ended<A>) -> Option<Result<A, Refusal>> {
        match ended {
            Ended::Answered { answer, is_fault } => {
                self.arrivals += 1;
                if !is_fault || kind == Kind::Once {
                    return Some(Ok(answer));
                }
                self.last = Some(Last::Answered(answer));
            }
            // It may be why the target ended. Sent on by the node, one such request took
            // three targets in 3 ms; by its caller it comes again soon enough, and by then
            // all know.
            Ended::TargetEnded(refusal) => {
                self.arrivals += 1;
                self.note(refusal);
                return Some(self.end());
            }
            Ended::Refused { refusal, arrived } => {
                self.arrivals += u32::from(arrived);
                if refusal.outcome != Outcome::NotRun && kind == Kind::Once {
                    return Some(Err(refusal));
                }
                let is_final = refusal.is_final();
                self.note(refusal);
                if is_final {
                    return Some(self.end());
                }
            }
        }
        None
    }

    /// Returns what the caller is told when nothing more is tried.
    ///
    /// # Errors
    ///
    /// The refusal that the caller is told.
    pub fn end(&mut self) -> Result<A, Refusal> {
        match self.last.take() {
            Some(Last::Answered(answer)) => Ok(answer),
            Some(Last::Refused(refusal)) => Err(refusal),
            None => Err(Refusal::not_run("no target can be had", NO_TARGET_AGAIN)),
        }
    }

    /// Returns what the request brings to the gate of the next node; `usual` is how long
    /// such requests run.
    ///
    /// How long it may wait is a matter of its caller's time alone: it waits for the runs
    /// of others, which only the gate knows. Bounded by its own runs, requests of a
    /// millisecond found no place beside lookups of 63: none of 149 was served where two
    /// in three lookups were (replayed load of `standins/tests/load.rs`).
    pub fn arrival(&self, request: &Request<'_>, usual: Option<Duration>, now: Instant) -> Arrival {
        let half = |until: Instant| until.saturating_duration_since(now) / WAITED;
        Arrival {
            priority: request.priority,
            patience: half(request.due).max(half(request.deadline).min(LATE_WAIT)),
            due: request.due,
            usual,
        }
    }

    /// Keeps the refusal that leaves most in doubt: "not run" is said only if it
    /// holds for every try.
    pub fn note(&mut self, refusal: Refusal) {
        let keeps = match &self.last {
            Some(Last::Answered(_)) => true,
            Some(Last::Refused(held)) => {
                held.outcome != Outcome::NotRun && refusal.outcome == Outcome::NotRun
            }
            None => false,
        };
        if !keeps {
            self.last = Some(Last::Refused(refusal));
        }
    }
}

/// Returns what a request brings whose body is offered first: a silent node must not
/// keep it for half of an objective of many seconds, since nothing has been sent.
pub fn offered(arrival: Arrival) -> Arrival {
    let run = arrival.usual.unwrap_or_default().max(OFFERED_RUN);
    Arrival {
        patience: arrival.patience.min(run * OFFERED_RUNS),
        ..arrival
    }
}
