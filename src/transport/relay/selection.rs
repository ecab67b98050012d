//! Selection of the target for the next attempt at a request.

use std::{sync::Arc, time::Instant};

use crate::{
    coordination::{
        decision::{
            balance::{Balancer, Choice, Criteria},
            load_report::NoRoom,
            queue::Arrival,
        },
        gate,
        host::Host,
        interface::Stream,
        rollout::Subset,
    },
    event::Event,
    id::Node,
    journal::note,
    state::{
        fingerprint::Fingerprint,
        member::{Member, Status, Table},
    },
    transport::relay::{call::Call, completion::Attempts},
    unit::Span,
};

/// Returns the target for the next attempt at a request with a body of `bytes`, other than
/// those beside the nodes that were asked. A request that was redirected goes back to the node
/// that did it if no other one is left.
///
/// With `refused`, the request as it was refused for lack of capacity, only targets are asked
/// that are expected to admit it, or whose load is unknown.
pub fn choose(
    host: &Host,
    call: &Call,
    bytes: usize,
    attempts: &Attempts,
    refused: Option<&Arrival>,
) -> Option<Choice> {
    let choose = |goes_back| choose_among(host, call, bytes, attempts, refused, goes_back);
    let goes_back = attempts.is_going_back();
    let choice = choose(goes_back);
    if choice.is_none() && attempts.redirecting_node().is_some() {
        return choose(!goes_back);
    }
    choice
}

/// Returns the target for the next attempt; only the one that redirected the request if it
/// `goes_back`. During a roll-out, the subsets of targets are searched in order of preference.
fn choose_among(
    host: &Host,
    call: &Call,
    bytes: usize,
    attempts: &Attempts,
    refused: Option<&Arrival>,
    goes_back: bool,
) -> Option<Choice> {
    let criteria = Criteria {
        node: &host.settings.node,
        route: &call.route.name,
        service: &call.service,
        domain: &host.settings.domain,
        regions: &host.settings.regions,
        bytes,
        own_load: host.gate.load(),
    };
    let members = host.members.read();
    let service = &call.service;
    let subsets = host
        .rollouts
        .subsets(service, &members, attempts.nodes.is_empty());
    let drains = host.drains.current();
    let regions = &host.settings.regions;
    let mut balancer = host.balancer.lock();
    record_own_slowness(host, &members, &mut balancer);
    for subset in subsets.into_iter().flatten() {
        let is_eligible = |member: &Member| {
            !drains.is_drained(&member.domain)
                && call.may_run_in(regions.of(&member.domain))
                && attempts.may_go_to(&member.node, goes_back)
                && subset.admits(member, service)
        };
        let now = Instant::now();
        let has_room = |member: &Member| match refused {
            Some(arrival) if member.node == host.settings.node => host.gate.check(arrival).is_ok(),
            Some(arrival) => host.load_reports.may_ask(member, arrival, now),
            None => true,
        };
        let may_be_asked = |member: &Member| is_eligible(member) && has_room(member);
        let choice = balancer.choose(&members, criteria, may_be_asked, now);
        if choice.is_some() {
            return choice;
        }
        // A full subset doesn't move requests to the next one.
        let is_full = refused.is_some()
            && balancer
                .choose(&members, criteria, is_eligible, now)
                .is_some();
        if is_full {
            return None;
        }
        if matches!(subset, Subset::Trial(_)) {
            host.rollouts.refund(service);
        }
    }
    None
}

/// Returns what is known of the targets of a service if no target that the request could be sent
/// to has room for it.
///
/// Targets are eligible as in [`choose`]; those on trial of a new release don't count, because
/// few requests may go to them.
pub fn no_room(host: &Host, call: &Call, arrival: &Arrival) -> Option<NoRoom> {
    let now = Instant::now();
    let (me, service) = (&host.settings.node, &call.service);
    let members = host.members.read();
    let subsets = host.rollouts.subsets(service, &members, false);
    let drains = host.drains.current();
    let regions = &host.settings.regions;
    let mut balancer = host.balancer.lock();
    let own_wait = || {
        let refusal = host.gate.check(arrival).err()?;
        // Without a target or while it leaves, nothing is known of when it would admit a request.
        let has_target = ![gate::NO_TARGET, gate::LEAVING].contains(&refusal.reason.as_str());
        refusal
            .retry_after
            .filter(|_| has_target)
            .map(Span::duration)
    };
    for subset in subsets.into_iter().flatten() {
        let is_eligible = |member: &&Arc<Member>| {
            member.status == Status::Alive
                && member
                    .target(service)
                    .is_some_and(|target| !target.draining)
                && !drains.is_drained(&member.domain)
                && call.may_run_in(regions.of(&member.domain))
                && subset.admits(member, service)
                && !balancer.is_excluded(member, me, now)
        };
        let targets = members.providers(service).iter().filter(is_eligible);
        let mut targets = targets.peekable();
        if targets.peek().is_some() {
            return host
                .load_reports
                .no_room(targets, me, own_wait, arrival, now);
        }
    }
    None
}

/// Passes what the target on this host states to the balancer. The gate hears it from all
/// responses of the target, the balancer from those to requests of this node.
fn record_own_slowness(host: &Host, members: &Table, balancer: &mut Balancer) {
    let stated = host.gate.stated_slowness();
    if let Some((slowness, at)) = stated
        && let Some(member) = members.get(&host.settings.node)
    {
        balancer.record_slowness(member, slowness, at, Instant::now());
    }
}

/// Returns the target on this host, if a trial of a quarantined request may start at it now.
pub fn choose_for_trial(
    host: &Host,
    call: &Call,
    content: &Fingerprint,
    asked: &[Node],
) -> Option<Choice> {
    let is_eligible = asked.is_empty() && call.service == *host.service();
    let members = host.members.read();
    let member = members.get(&host.settings.node).filter(|_| is_eligible)?;
    if !host.quarantine.start_trial(content) {
        return None;
    }
    note!(host.journal, Event::TriedAgain, content = content);
    Some(Choice {
        member: member.clone(),
        usage: 0.0,
        candidates: 1,
        eligible: 1,
        cost: 0.0,
    })
}

/// Logs the numbers of known, draining and excluded targets when none can be chosen, after
/// `asked` nodes.
pub fn log_no_target(host: &Host, call: &Call, asked: usize) {
    let members = host.members.read();
    let count = host.balancer.lock().count_targets(
        &members,
        &call.service,
        &host.settings.node,
        Instant::now(),
    );
    note!(
        host.journal,
        Event::NoTarget,
        id = call.id(host),
        service = call.service,
        known = count.known,
        draining = count.draining,
        passed_over = count.excluded,
        tried = asked,
        members_at = host.streams.offset(Stream::Members).unwrap_or(0),
    );
}
