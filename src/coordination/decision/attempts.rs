//! The attempts of one request: how many there are, how long the request may wait at each
//! node, and which result its caller gets.
//!
//! It handles overloaded nodes that refuse requests, targets that shed or fail part of their
//! requests, and broken network paths. A request that was refused before a target saw it goes
//! to another node at no cost. A request that a target has already seen is a repeat: sending it
//! takes from the retry budget of the fleet
//! ([`retry_budget`](crate::coordination::decision::retry_budget)).

use std::time::{Duration, Instant};

use crate::{
    coordination::decision::{
        nested_call,
        queue::Arrival,
        retry_budget::{Retry, RetryBudget},
    },
    id::{Name, Node},
    protocol::answer::{Outcome, Refusal},
    state::{priority::Priority, routing::Kind},
    unit::Span,
};

/// Nodes that may be asked to run one request. A refusal takes a round trip and costs the
/// target nothing, but each further node has less time left.
const MAX_ASKED_NODES: usize = 4;

/// Divisor of the time left: a request may wait at one node for half of it, so that another
/// node can still be asked if the first one doesn't answer.
const WAIT_DIVISOR: u32 = 2;

/// The longest time that a request past its due time may wait at one node. It is a little more
/// than 410 ms, the mean run time of the slowest service, after which all slots of a target of
/// that service have turned over.
const MAX_LATE_WAIT: Duration = Duration::from_millis(500);

/// The time that a request may wait until a node accepts its body, in usual run times. The
/// queue of a target is as long: two requests for each slot. A node that has not answered by
/// then is unlikely to answer at all.
const OFFER_WAIT_RUNS: u32 = 2;

/// The shortest run time that counts for [`OFFER_WAIT_RUNS`], so that short requests, too, can
/// wait for a slot to turn over. Calls that a target makes during a request run for a fraction
/// of this time, other requests for several times as long.
const MIN_OFFER_RUN: Duration = Duration::from_millis(100);

/// The `retry-after` that callers get if no target was available.
const NO_TARGET_RETRY_AFTER: Span = Span::from_millis(200);

/// The attempts of one request so far; `A` is a response of a target.
#[derive(Debug)]
pub struct Attempts<A> {
    /// The nodes that were asked.
    pub nodes: Vec<Node>,
    /// The number of targets that have seen the request.
    pub arrivals: u32,
    /// The node that redirected the request because its target is slow, if one did.
    redirected_by: Option<Node>,
    /// The result for the caller unless a later attempt gives a better one.
    fallback: Option<Fallback<A>>,
}

/// The request that is sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service that it goes to.
    pub service: &'a Name,
    /// Whether it may run more than once.
    pub kind: Kind,
    /// Its priority under overload.
    pub priority: Priority,
    /// Whether it is a call that a target makes during a run.
    pub is_nested: bool,
    /// The number of targets that may see it.
    pub attempts: u32,
    /// The probability that it is a call made by a run that is a repeat.
    pub repeat_chance: f64,
    /// The due time of its objective, counted from its caller's first attempt.
    pub due: Instant,
    /// When its caller stops waiting for a response.
    pub deadline: Instant,
}

/// The result of one attempt.
#[derive(Debug)]
pub enum AttemptEnd<A> {
    /// The target answered, perhaps with an error.
    Answered {
        /// The response.
        answer: A,
        /// Whether the response reports a failure of the target.
        is_fault: bool,
    },
    /// There is no response of a target.
    Refused {
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// Whether the target has seen the request.
        arrived: bool,
    },
    /// The target's process terminated while it ran the request.
    TargetCrashed(Refusal),
    /// The node refused the request because its target is slow now. Another node is asked, so
    /// this is no result for the caller.
    Redirected,
}

#[derive(Debug)]
enum Fallback<A> {
    Refused(Refusal),
    Answered(A),
}

impl<A> Default for Attempts<A> {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            arrivals: 0,
            redirected_by: None,
            fallback: None,
        }
    }
}

impl<A> Attempts<A> {
    /// Returns whether one more node may be asked.
    pub fn may_ask(&self, request: &Request<'_>, now: Instant) -> bool {
        self.nodes.len() < MAX_ASKED_NODES && (self.nodes.is_empty() || now < request.deadline)
    }

    /// Returns whether the node that is asked now may redirect the request because its target is
    /// slow. A request is redirected once, and only while another node may be asked at no cost.
    /// The last node is the one that redirected it, so at least one more must be left before that.
    fn may_redirect(&self) -> bool {
        self.redirected_by.is_none()
            && self.arrivals == 0
            && self.nodes.len() + 2 <= MAX_ASKED_NODES
    }

    /// Returns the node that redirected the request, unless it was asked again since. It had a
    /// free slot or a place in its queue, so the request goes back to it if no other node is
    /// left to be asked.
    pub fn redirecting_node(&self) -> Option<&Node> {
        let node = self.redirected_by.as_ref()?;
        let asked = self.nodes.iter().filter(|asked| *asked == node).count();
        (asked < 2).then_some(node)
    }

    /// Returns whether the request goes back to the node that redirected it, because it is the
    /// last one that may be asked.
    pub fn is_going_back(&self) -> bool {
        self.redirecting_node().is_some() && self.nodes.len() + 1 == MAX_ASKED_NODES
    }

    /// Returns whether the next attempt may go to a node: it was not asked yet. A request that
    /// goes back goes to the node that redirected it, and to no other.
    pub fn may_go_to(&self, node: &Node, goes_back: bool) -> bool {
        match goes_back {
            true => self.redirecting_node() == Some(node),
            false => !self.nodes.contains(node),
        }
    }

    /// Returns whether the request may be sent to one more target, and takes the cost from
    /// the `budget` of a fleet of `nodes`. Until a target has seen the request, sending it
    /// costs nothing.
    pub fn may_send(
        &self,
        request: &Request<'_>,
        budget: &mut RetryBudget,
        nodes: usize,
        now: Instant,
    ) -> bool {
        if self.arrivals == 0 {
            if self.nodes.is_empty() {
                budget.note_first_send(request.service, request.repeat_chance, now);
            }
            return true;
        }
        if self.arrivals >= request.attempts {
            return false;
        }
        let retry = match &self.fallback {
            Some(Fallback::Refused(refusal)) if refusal.outcome == Outcome::NotRun => Retry::NotRun,
            _ => Retry::Repeated,
        };
        budget.spend(request.service, retry, nodes, now)
    }

    /// Records the result of the attempt at the last node. Returns the result for the caller
    /// if there may be no further attempt.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn record(&mut self, kind: Kind, ended: AttemptEnd<A>) -> Option<Result<A, Refusal>> {
        match ended {
            AttemptEnd::Answered { answer, is_fault } => {
                self.arrivals += 1;
                if !is_fault || kind == Kind::Once {
                    return Some(Ok(answer));
                }
                self.fallback = Some(Fallback::Answered(answer));
            }
            // The request may have crashed the target, so the node doesn't retry it. When nodes
            // retried such requests, one of them crashed three targets in 3 ms. Its caller
            // retries soon enough, and by then all nodes know of the crash.
            AttemptEnd::TargetCrashed(refusal) => {
                self.arrivals += 1;
                self.keep_refusal(refusal);
                return Some(self.final_result());
            }
            AttemptEnd::Redirected => self.redirected_by = self.nodes.last().cloned(),
            AttemptEnd::Refused { refusal, arrived } => {
                self.arrivals += u32::from(arrived);
                if refusal.outcome != Outcome::NotRun && kind == Kind::Once {
                    return Some(Err(refusal));
                }
                let is_final = refusal.is_final();
                self.keep_refusal(refusal);
                if is_final {
                    return Some(self.final_result());
                }
            }
        }
        None
    }

    /// Returns the result for the caller when there are no further attempts.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn final_result(&mut self) -> Result<A, Refusal> {
        match self.fallback.take() {
            Some(Fallback::Answered(answer)) => Ok(answer),
            Some(Fallback::Refused(refusal)) => Err(refusal),
            None => Err(Refusal::not_run(
                "no target can be had",
                NO_TARGET_RETRY_AFTER,
            )),
        }
    }

    /// Returns the queue entry of the request for the last of [`nodes`](Self::nodes), which is
    /// asked next. `usual` is the usual run time of such requests, `targets` the number of targets
    /// that were asked or can be, which includes neither draining nor excluded ones.
    ///
    /// Its maximum wait depends only on the time that its caller has left, not on its own run
    /// time: it waits for the runs of others, which only the node with the queue knows. When
    /// its own run time was the bound, requests of 1 ms got no place in the queue beside
    /// lookups of 63 ms: none of 149 was served while two in three lookups were (replayed in
    /// `standins/tests/load.rs`).
    ///
    /// A nested call waits by the remaining time of the run that made it
    /// ([`nested_call::wait`]), once its usual run time is known.
    pub fn queue_arrival(
        &self,
        request: &Request<'_>,
        usual: Option<Duration>,
        targets: usize,
        now: Instant,
    ) -> Arrival {
        let max_wait = |until: Instant| until.saturating_duration_since(now) / WAIT_DIVISOR;
        let by_objective = Arrival {
            priority: request.priority,
            max_wait: max_wait(request.due).max(max_wait(request.deadline).min(MAX_LATE_WAIT)),
            due: request.due,
            usual_run_time: usual,
            may_redirect: self.may_redirect(),
        };
        let Some(usual) = usual.filter(|_| request.is_nested) else {
            return by_objective;
        };
        let further_nodes = MAX_ASKED_NODES
            .min(targets)
            .saturating_sub(self.nodes.len());
        let nested_call::Wait { due, max_wait } = nested_call::wait(
            request.due,
            request.deadline,
            usual,
            further_nodes as u32,
            now,
        );
        Arrival {
            due,
            max_wait,
            ..by_objective
        }
    }

    /// Returns the queue entry of the request for the last target that it may ask, where it may
    /// wait the longest and isn't redirected. By it, no request is rejected that a later attempt
    /// could get a slot for.
    pub fn last_arrival(
        &self,
        request: &Request<'_>,
        usual: Option<Duration>,
        now: Instant,
    ) -> Arrival {
        Arrival {
            may_redirect: false,
            ..self.queue_arrival(request, usual, 0, now)
        }
    }

    /// Stores `refusal` as the result for the caller, unless a response is stored, or `refusal`
    /// is "not run" and the stored one isn't. So the caller gets "not run" only if that holds
    /// for every attempt.
    pub fn keep_refusal(&mut self, refusal: Refusal) {
        let is_kept = match &self.fallback {
            Some(Fallback::Answered(_)) => true,
            Some(Fallback::Refused(held)) => {
                held.outcome != Outcome::NotRun && refusal.outcome == Outcome::NotRun
            }
            None => false,
        };
        if !is_kept {
            self.fallback = Some(Fallback::Refused(refusal));
        }
    }
}

/// Returns `arrival` with a shorter maximum wait, for a request whose body is sent only once
/// the node accepts it. Nothing has been sent yet, so a node that doesn't answer must not
/// hold the request for half of an objective of many seconds.
pub fn limit_offer_wait(arrival: Arrival) -> Arrival {
    let run = arrival
        .usual_run_time
        .unwrap_or_default()
        .max(MIN_OFFER_RUN);
    Arrival {
        max_wait: arrival.max_wait.min(run * OFFER_WAIT_RUNS),
        ..arrival
    }
}
