//! One attempt of a request: choosing a target, sending the request and
//! classifying the result.

use std::{sync::Arc, time::Instant};

use ::http::HeaderMap;
use futures_util::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;

use crate::{
    coordination::{
        health::{AttemptResult, Health},
        limiter::LEAVING,
        node::Node,
        pick::{self, Candidate, Reason},
    },
    event::Event,
    id::{self, Name},
    protocol::answer::{self, Outcome, Refusal},
    state::{
        member::{Member, Status},
        view,
    },
    transport::{
        http::{self, Outgoing},
        inbound::MISPLACED,
        plan::Plan,
        tls,
    },
    unit::Span,
};

/// Sends requests to the inbound proxies of other nodes and records the health
/// of their targets.
pub struct Sender {
    node: Arc<Node>,
    client: reqwest::Client,
    health: Mutex<Health>,
}

/// The target chosen for an attempt.
pub struct Choice {
    /// The member record of the target's node.
    pub member: Arc<Member>,
    /// The reason for the choice.
    pub reason: Reason,
    /// The target's cost, as a percentage of its slots.
    pub cost: u32,
    /// The number of candidates.
    pub candidates: usize,
}

/// An attempt that got no answer from a target.
pub struct Failed {
    /// The refusal that the caller gets if there is no further attempt.
    pub refusal: Refusal,
    /// The node that was tried.
    pub node: id::Node,
    /// Whether any part of the request may have been sent to the node.
    pub was_sent: bool,
}

impl Failed {
    /// Returns the failure of two parallel attempts to report: one after which
    /// the request may have run, if any. "Not run" is thus reported only if it
    /// holds for both.
    pub fn or(self, other: Self) -> Self {
        if self.refusal.outcome == Outcome::NotRun {
            other
        } else {
            self
        }
    }
}

impl Sender {
    /// Returns the sender of `node`.
    ///
    /// # Errors
    ///
    /// Returns an error if a key or certificate is invalid.
    pub fn new(node: Arc<Node>) -> Result<Self, super::Error> {
        let client = tls::client(&node.settings)?;
        Ok(Self {
            node,
            client,
            health: Mutex::new(Health::default()),
        })
    }

    /// Removes the health records of targets that have left.
    pub fn tidy(&self) {
        let table = self.node.table.read();
        self.health
            .lock()
            .retain(|node| table.get(node).is_some_and(|m| m.is_present()));
    }

    /// Makes one attempt at the chosen target. `is_again` states whether an earlier
    /// attempt may have run the request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the target gave no answer, and whether the request may
    /// have run.
    pub fn attempt<'a>(
        &'a self,
        plan: &'a Plan,
        choice: Choice,
        body: reqwest::Body,
        is_again: bool,
    ) -> BoxFuture<'a, Result<reqwest::Response, Failed>> {
        let mut headers = self.headers(plan);
        if is_again {
            http::set(&mut headers, answer::REPEAT, 1);
        }
        self.attempt_with(plan, choice, headers, body)
    }

    /// Makes one attempt at the chosen target with the given headers.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Sender::attempt`].
    pub fn attempt_with<'a>(
        &'a self,
        plan: &'a Plan,
        choice: Choice,
        headers: HeaderMap,
        body: reqwest::Body,
    ) -> BoxFuture<'a, Result<reqwest::Response, Failed>> {
        let out = Outgoing {
            method: plan.onward.method.clone(),
            url: self.url(&choice.member, &plan.onward.path),
            headers,
            body,
            deadline: plan.deadline,
        };
        let node = choice.member.node.clone();
        async move {
            let watch = OutstandingGuard::start(self, &choice.member);
            let result = http::forward(&self.client, out).await;
            let (end, result) = classify(result, node);
            watch.finish(end);
            result
        }
        .boxed()
    }

    fn url(&self, member: &Member, path: &str) -> String {
        format!(
            "{}://{}{path}",
            tls::scheme(&self.node.settings.security),
            member.inbound
        )
    }

    /// Returns the headers to forward a request with.
    pub fn headers(&self, plan: &Plan) -> HeaderMap {
        let mut headers = plan.onward.headers.clone();
        let left = plan.deadline.saturating_duration_since(Instant::now());
        http::set(&mut headers, answer::DEADLINE, left.as_millis());
        http::set(&mut headers, answer::CLASS, plan.class);
        self.sign(&mut headers, &plan.service.name);
        headers
    }

    /// Sets the headers that name the service and this node's version. The HTTP
    /// client sets those that name the sending node.
    fn sign(&self, headers: &mut HeaderMap, service: &Name) {
        http::set(headers, answer::SERVICE, service);
        http::set(headers, answer::VERSION, self.node.version());
    }

    /// Chooses a target among the allowed ones that are not in `tried`.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is no such target.
    pub fn choose(&self, plan: &Plan, tried: &[id::Node]) -> Result<Choice, Refusal> {
        let service = &plan.service;
        let offers = offers(&self.node, service, tried);
        let slots = service.policy.slots;
        let now = Instant::now();
        let candidates: Vec<Candidate> = {
            let mut health = self.health.lock();
            let candidate = |member: &Arc<Member>| {
                let (cost, ejected) = health.assess(&member.node, member.incarnation, slots, now);
                Candidate {
                    distance: plan.distance(&member.domain),
                    cost,
                    is_ejected: ejected,
                }
            };
            offers.iter().map(candidate).collect()
        };
        let picked = pick::pick(&candidates, &mut fastrand::Rng::new());
        let Some((index, reason)) = picked else {
            let details = format_args!(
                "service={} tried={} version={}",
                service.name,
                tried.len(),
                plan.version
            );
            self.node.journal.write(Event::NoTarget, details);
            return Err(Refusal::not_run(
                "no allowed target is there",
                Span::from_secs(1),
            ));
        };
        let (cost, candidates) = (candidates[index].cost, candidates.len());
        Ok(Choice {
            member: offers[index].clone(),
            reason,
            cost,
            candidates,
        })
    }

    /// Logs the choice of a target.
    pub fn log_choice(&self, plan: &Plan, choice: &Choice, attempt: u32) {
        let Choice {
            member,
            reason,
            cost,
            candidates,
        } = choice;
        let (node, domain) = (&member.node, &member.domain);
        let (route, service, version) = (&plan.route, &plan.service.name, plan.version);
        let details = format_args!(
            "route={route} service={service} to={node} domain={domain} reason={reason:?} cost={cost} \
             candidates={candidates} attempt={attempt} version={version}"
        );
        self.node.journal.write(Event::Routed, details);
    }
}

/// Returns the members that requests to `service` may be sent to, without those in
/// `tried`.
pub fn offers(node: &Node, service: &view::Service, tried: &[id::Node]) -> Vec<Arc<Member>> {
    let table = node.table.read();
    let serves = |member: &Member| {
        let present = matches!(member.status, Status::Alive | Status::Suspect);
        let offered = member
            .targets
            .iter()
            .any(|t| t.service == service.name && !t.draining);
        present && offered && service.allowed.contains_key(&member.domain)
    };
    let offers = table.providers(&service.name).iter();
    offers
        .filter(|m| serves(m) && !tried.contains(&m.node))
        .cloned()
        .collect()
}

/// Classifies the result of an attempt: the first part is for the target's health, the
/// second for the request.
fn classify(
    result: Result<reqwest::Response, http::Failure>,
    node: id::Node,
) -> (AttemptResult, Result<reqwest::Response, Failed>) {
    let response = match result {
        Ok(response) => response,
        Err(failure) => {
            let refusal = failure.refusal("the target's node");
            let was_sent = failure != http::Failure::NotSent;
            return (
                AttemptResult::Failed,
                Err(Failed {
                    refusal,
                    node,
                    was_sent,
                }),
            );
        }
    };
    if !http::has_outcome(response.headers()) {
        // The HTTP library of the node refused the bytes, or another program has its address.
        // Neither is an answer of the target; the former says nothing about the node.
        let status = response.status();
        let reason = format!("{} without an outcome", status.as_u16());
        let failed = Failed {
            refusal: Refusal::unknown(502, reason),
            node,
            was_sent: true,
        };
        let end = match status.is_client_error() {
            true => AttemptResult::Abandoned,
            false => AttemptResult::Failed,
        };
        return (end, Err(failed));
    }
    let load = http::parse(response.headers(), answer::LOAD);
    let Some(refusal) = http::refusal(&response) else {
        let is_server_error = response.status().is_server_error();
        let end = if is_server_error {
            AttemptResult::Failed
        } else {
            AttemptResult::Answered(load)
        };
        return (end, Ok(response));
    };
    let end = match refusal.reason.as_str() {
        LEAVING => AttemptResult::Leaving,
        MISPLACED => AttemptResult::Abandoned,
        _ if refusal.outcome == Outcome::NotRun => AttemptResult::Shed(load),
        _ => AttemptResult::Failed,
    };
    (
        end,
        Err(Failed {
            refusal,
            node,
            was_sent: true,
        }),
    )
}

/// Counts an attempt as outstanding until it ends or is dropped.
struct OutstandingGuard<'a> {
    sender: &'a Sender,
    node: id::Node,
    done: bool,
}

impl<'a> OutstandingGuard<'a> {
    fn start(sender: &'a Sender, member: &Member) -> Self {
        sender
            .health
            .lock()
            .start(&member.node, member.incarnation, Instant::now());
        Self {
            sender,
            node: member.node.clone(),
            done: false,
        }
    }

    fn finish(mut self, end: AttemptResult) {
        self.done = true;
        let ejected = self
            .sender
            .health
            .lock()
            .finish(&self.node, end, Instant::now());
        if ejected {
            self.sender
                .node
                .journal
                .write(Event::Ejected, format_args!("target={}", self.node));
        }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.sender
                .health
                .lock()
                .finish(&self.node, AttemptResult::Abandoned, Instant::now());
        }
    }
}
