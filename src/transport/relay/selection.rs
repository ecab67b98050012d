//! Selection of the target for the next attempt at a request.

use std::time::Instant;

use crate::{
    coordination::{
        decision::balance::{Balancer, Choice, Criteria},
        host::Host,
        interface::Stream,
        rollout::Subset,
    },
    event::Event,
    id::Node,
    journal::note,
    state::{
        fingerprint::Fingerprint,
        member::{Member, Table},
    },
    transport::relay::{call::Call, completion::Attempts},
};

/// Returns the target for the next attempt at a request with a body of `bytes`, other than
/// those beside the nodes that were asked. A request that was redirected goes back to the node
/// that did it if no other one is left.
pub fn choose(host: &Host, call: &Call, bytes: usize, attempts: &Attempts) -> Option<Choice> {
    let choose = |goes_back| choose_among(host, call, bytes, attempts, goes_back);
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
        let choice = balancer.choose(&members, criteria, is_eligible, Instant::now());
        if choice.is_some() {
            return choice;
        }
        if matches!(subset, Subset::Trial(_)) {
            host.rollouts.refund(service);
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
        balancer.record_slowness(member, slowness, at);
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
