//! Selection of the target for the next attempt at a request.

use std::time::Instant;

use crate::{
    coordination::{
        decision::balance::{Choice, Criteria},
        host::Host,
        interface::Stream,
        rollout::Subset,
    },
    event::Event,
    id::Node,
    journal::note,
    state::{fingerprint::Fingerprint, member::Member},
    transport::relay::call::Call,
};

/// Returns the target for the next attempt at a request with a body of `bytes`, other than
/// those beside the nodes in `asked`. During a roll-out, the subsets of targets are searched in
/// order of preference.
pub fn choose(host: &Host, call: &Call, bytes: usize, asked: &[Node]) -> Option<Choice> {
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
    let subsets = host.rollouts.subsets(service, &members, asked.is_empty());
    let drains = host.drains.current();
    let regions = &host.settings.regions;
    let mut balancer = host.balancer.lock();
    for subset in subsets.into_iter().flatten() {
        let is_eligible = |member: &Member| {
            !drains.is_drained(&member.domain)
                && call.may_run_in(regions.of(&member.domain))
                && !asked.contains(&member.node)
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
