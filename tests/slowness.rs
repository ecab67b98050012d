//! What the gate, the sender and the attempts of a request decide by a target's stated slowness.

use std::time::{Duration, Instant};

use rilltrack::{
    coordination::decision::{
        attempts::{self, AttemptEnd, Attempts},
        balance::{AttemptResult, Balancer, Criteria, Report},
        load_report::{NoRoom, Room},
        queue::{Admission, Arrival, Queue},
        slowness::MAX_AGE,
    },
    id::{Incarnation, Name, Node},
    protocol::{
        answer::{Outcome, Refusal},
        dialect::Load,
    },
    state::{
        member::{Member, Status, Table, Target},
        priority::Priority,
        region::Regions,
        routing::Kind,
    },
    transport::relay::{attempt::AttemptOutcome, delivery::Refused},
    unit::Span,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A target with this many slots that has stated a slowness, in hundredths.
fn queue(slots: u32, slowness: &str, now: Instant) -> Queue<u32> {
    let mut queue = Queue::default();
    queue.set_slots(slots);
    queue.slowness.record(slowness.parse().unwrap(), now);
    queue
}

/// A request that usually takes 100 ms and is due in 200 ms; its sender asks another node.
fn arrival(now: Instant) -> Arrival {
    Arrival {
        priority: Priority::of_route(1),
        due: now + ms(200),
        max_wait: ms(500),
        usual_run_time: Some(ms(100)),
        may_redirect: true,
    }
}

/// Each case: what becomes of the request at a target with a free slot that states a slowness of
/// 2.5, where the case may change the request, the target and the time.
macro_rules! cases {
    ($($name:ident: |$arrival:ident, $queue:ident, $now:ident| $change:block => $admission:ident;)*) => {
        $(#[test] fn $name() {
            #[allow(unused_mut)]
            let mut $now = Instant::now();
            let mut $queue = queue(1, "250", $now);
            #[allow(unused_mut)]
            let mut $arrival = arrival($now);
            $change
            let admission = $queue.admit(&$arrival, 1, $now);
            assert!(matches!(admission, Admission::$admission { .. }), "{admission:?}");
        })*
    };
}

cases! {
    request_that_only_a_slow_target_makes_late_is_redirected: |arrival, queue, now| {} => Redirected;
    request_is_kept_if_its_sender_cannot_ask_elsewhere: |arrival, queue, now| {
        arrival.may_redirect = false;
    } => Admitted;
    request_that_ends_in_time_at_the_slow_target_is_kept: |arrival, queue, now| {
        arrival.due = now + ms(251);
    } => Admitted;
    request_that_would_be_late_at_usual_slowness_is_kept: |arrival, queue, now| {
        arrival.due = now + ms(99);
    } => Admitted;
    request_of_unknown_run_time_is_kept: |arrival, queue, now| {
        arrival.usual_run_time = None;
    } => Admitted;
    slowness_of_half_as_long_again_does_not_redirect: |arrival, queue, now| {
        queue.slowness.record("150".parse().unwrap(), now);
        arrival.due = now + ms(120);
    } => Admitted;
    slowness_just_above_redirects: |arrival, queue, now| {
        queue.slowness.record("151".parse().unwrap(), now);
        arrival.due = now + ms(120);
    } => Redirected;
    stated_slowness_older_than_300_ms_counts_as_usual: |arrival, queue, now| {
        now += ms(300);
        arrival.due = now + ms(200);
    } => Admitted;
    stated_slowness_younger_than_300_ms_counts: |arrival, queue, now| {
        now += ms(299);
        arrival.due = now + ms(200);
    } => Redirected;
    earlier_statement_does_not_replace_a_later_one: |arrival, queue, now| {
        queue.slowness.record("100".parse().unwrap(), now - ms(1));
    } => Redirected;
    slowness_of_an_earlier_instance_does_not_count: |arrival, queue, now| {
        queue.reset_run_times();
    } => Admitted;
    request_that_is_rejected_for_lack_of_a_slot_is_not_redirected: |arrival, queue, now| {
        queue.admit(&Arrival { may_redirect: false, ..arrival }, 0, now);
        arrival.max_wait = ms(1);
    } => Rejected;
    request_that_would_be_queued_is_redirected: |arrival, queue, now| {
        queue.set_slots(20);
        for i in 0..20 {
            queue.admit(&Arrival { may_redirect: false, ..arrival }, i, now);
        }
    } => Redirected;
}

/// A request at a slow target waits only as long as leaves time for the slow run.
#[test]
fn gate_expects_the_stated_slowness_of_a_run() {
    let now = Instant::now();
    let max_wait = |slowness| {
        let mut queue = queue(4, slowness, now);
        let arrival = Arrival {
            due: now + ms(400),
            may_redirect: false,
            ..arrival(now)
        };
        for i in 0..4 {
            queue.admit(&arrival, i, now);
        }
        match queue.admit(&arrival, 9, now) {
            Admission::Queued { max_wait, .. } => max_wait,
            other => panic!("{other:?}"),
        }
    };
    // Half of what is left of 400 ms after a run of 100 ms, and after one of 250 ms.
    assert_eq!(max_wait("100"), ms(150));
    assert_eq!(max_wait("250"), ms(75));
}

/// Otherwise a target whose machine was slow would be avoided for seconds afterwards.
#[test]
fn learned_slowdown_leaves_out_what_the_target_states() {
    let now = Instant::now();
    let mut stating = queue(1, "250", now);
    let mut silent = Queue::<u32>::default();
    for _ in 0..50 {
        stating.record_run(ms(250), ms(100), now);
        silent.record_run(ms(250), ms(100), now);
    }
    assert!((stating.slowdown().factor() - 1.0).abs() < 0.01);
    assert!((silent.slowdown().factor() - 2.5).abs() < 0.05);
    // A statement that has expired explains nothing.
    stating.record_run(ms(250), ms(100), now + MAX_AGE);
    assert!(stating.slowdown().factor() > 1.1);
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn member(node: &str) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member {
        node: node.parse().unwrap(),
        incarnation: Incarnation(1),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: name("here"),
        peers: address,
        inbound: address,
        labels: Default::default(),
        targets: vec![Target {
            service: name("a"),
            address,
            http2: false,
            draining: false,
            slots: 10,
            instance: format!("i-{node}").into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}

/// Returns how many of 100 requests would go to node `n1` of two.
fn chosen(balancer: &mut Balancer, now: Instant) -> usize {
    let (me, route, service, domain) = ("me".parse().unwrap(), name("r"), name("a"), name("here"));
    let mut table = Table::default();
    table.merge(member("n1"));
    table.merge(member("n2"));
    let criteria = Criteria {
        node: &me,
        route: &route,
        service: &service,
        domain: &domain,
        regions: &Regions::default(),
        bytes: 0,
        own_load: Load::default(),
    };
    let choices = (0..100).map(|_| balancer.choose(&table, criteria, |_| true, now).unwrap());
    choices
        .filter(|choice| choice.member.node.as_str() == "n1")
        .count()
}

/// Each case: the end of an attempt at `n1`, which reports a slowness of 2.5.
macro_rules! report_cases {
    ($($name:ident: $end:expr;)*) => {
        $(#[test] fn $name() {
            fastrand::seed(5);
            let (now, slow) = (Instant::now(), member("n1"));
            let mut balancer = Balancer::default();
            assert!(!balancer.knows_slowness(&name("a"), now));
            let report = Report { slowness: "250".parse().ok(), ..Report::default() };
            balancer.start(&slow, now);
            let is_ejected = balancer.finish(&slow, &name("r"), $end, report, now);
            assert!(!is_ejected);
            assert_eq!(chosen(&mut balancer, now + ms(299)), 0);
            let later = chosen(&mut balancer, now + MAX_AGE);
            assert!((20..80).contains(&later), "{later}: the figure has expired");
            assert!(balancer.knows_slowness(&name("a"), now + ms(59_000)));
            assert!(!balancer.knows_slowness(&name("a"), now + ms(60_000)));
            assert!(!balancer.knows_slowness(&name("b"), now));
        })*
    };
}

report_cases! {
    sender_avoids_a_target_for_300_ms_after_a_response: AttemptResult::Answered(ms(100));
    sender_avoids_a_target_for_300_ms_after_a_redirect: AttemptResult::Slow;
    sender_avoids_a_target_for_300_ms_after_a_refusal: AttemptResult::Refused;
}

/// A target that is 2.5 times slower than another and states so would otherwise be expected to
/// take 6.25 times as long, and be avoided for seconds after the statement has expired.
#[test]
fn observed_slowdown_leaves_out_what_the_target_states() {
    fastrand::seed(5);
    let now = Instant::now();
    let (n1, n2) = (member("n1"), member("n2"));
    let mut balancer = Balancer::default();
    let mut answer = |member: &Member, took, slowness: &str| {
        let slowness = slowness.parse().ok();
        let report = Report {
            slowness,
            ..Report::default()
        };
        let end = AttemptResult::Answered(ms(took));
        balancer.start(member, now);
        balancer.finish(member, &name("r"), end, report, now);
    };
    for _ in 0..50 {
        answer(&n2, 100, "100");
        answer(&n1, 250, "250");
    }
    assert_eq!(chosen(&mut balancer, now), 0);
    let later = chosen(&mut balancer, now + MAX_AGE);
    assert!((20..80).contains(&later), "{later}");
}

/// The observed time of a transfer includes the slowness of the target already.
#[test]
fn stated_slowness_does_not_multiply_the_time_of_a_transfer() {
    let now = Instant::now();
    let n1 = member("n1");
    let mut table = Table::default();
    table.merge(n1.clone());
    let mut balancer = Balancer::default();
    let report = Report {
        slowness: "250".parse().ok(),
        is_large: true,
        ..Report::default()
    };
    balancer.start(&n1, now);
    balancer.finish(
        &n1,
        &name("r"),
        AttemptResult::Answered(ms(1_000)),
        report,
        now,
    );
    let (me, route, service, domain) = ("me".parse().unwrap(), name("r"), name("a"), name("here"));
    let mut cost = |bytes, at| {
        let criteria = Criteria {
            node: &me,
            route: &route,
            service: &service,
            domain: &domain,
            regions: &Regions::default(),
            bytes,
            own_load: Load::default(),
        };
        balancer
            .choose(&table, criteria, |_| true, at)
            .unwrap()
            .cost
    };
    assert_eq!(cost(60_000, now), cost(60_000, now + MAX_AGE));
    assert!(cost(0, now) > 2.0 * cost(0, now + MAX_AGE));
}

/// A redirect is no result for the caller, costs no attempt, and happens once. The last node
/// that may be asked is the one that redirected the request, which can't do it again.
#[test]
fn redirect_never_ends_a_request() {
    let now = Instant::now();
    let service = name("a");
    let request = attempts::Request {
        is_nested: false,
        service: &service,
        kind: Kind::Once,
        priority: Priority::of_route(1),
        attempts: 1,
        repeat_chance: 0.0,
        due: now + ms(200),
        deadline: now + ms(1_000),
    };
    let node = |text: &str| text.parse::<Node>().unwrap();
    let may_redirect =
        |attempts: &Attempts<()>| attempts.queue_arrival(&request, None, 4, now).may_redirect;
    let full = || AttemptEnd::Refused {
        refusal: Refusal::not_run("target is full", Span::from_millis(10)),
        arrived: false,
    };
    let mut attempts = Attempts::<()>::default();
    attempts.nodes.push(node("n1"));
    assert!(may_redirect(&attempts));
    assert!(
        attempts
            .record(Kind::Once, AttemptEnd::Redirected)
            .is_none()
    );
    assert_eq!(attempts.arrivals, 0);
    assert_eq!(attempts.redirecting_node(), Some(&node("n1")));
    for asked in ["n2", "n3"] {
        assert!(attempts.may_ask(&request, now) && !attempts.is_going_back());
        assert!(attempts.may_go_to(&node(asked), false) && !attempts.may_go_to(&node("n1"), false));
        attempts.nodes.push(node(asked));
        assert!(!may_redirect(&attempts), "{asked}");
        assert!(attempts.record(Kind::Once, full()).is_none());
    }
    assert!(attempts.may_ask(&request, now) && attempts.is_going_back());
    assert!(attempts.may_go_to(&node("n1"), true) && !attempts.may_go_to(&node("n4"), true));
    attempts.nodes.push(node("n1"));
    assert!(!may_redirect(&attempts));
    assert_eq!(attempts.redirecting_node(), None);
    assert!(!attempts.may_ask(&request, now), "no more than four nodes");
    assert_eq!(
        attempts.final_result().unwrap_err().reason,
        "target is full"
    );
}

/// The last node that may be asked must keep the request, or it would end with a redirect.
#[test]
fn last_node_may_not_redirect() {
    let now = Instant::now();
    let service = name("a");
    let request = attempts::Request {
        is_nested: false,
        service: &service,
        kind: Kind::Idempotent,
        priority: Priority::of_route(1),
        attempts: 3,
        repeat_chance: 0.0,
        due: now + ms(200),
        deadline: now + ms(1_000),
    };
    let mut attempts = Attempts::<()>::default();
    let asked = ["n1", "n2", "n3", "n4"].map(|node| {
        attempts.nodes.push(node.parse().unwrap());
        attempts.queue_arrival(&request, None, 4, now).may_redirect
    });
    // At the third, the only node left would be one that has redirected the request already.
    assert_eq!(asked, [true, true, false, false]);
    // Another send of a request that a target has seen would cost a retry.
    attempts.nodes.truncate(1);
    attempts.arrivals = 1;
    assert!(!attempts.queue_arrival(&request, None, 4, now).may_redirect);
}

/// Otherwise a faulty peer could make a request that runs once be sent again after it ran.
#[test]
fn only_a_request_that_has_not_run_is_redirected() {
    let refusal = |outcome| Refusal {
        outcome,
        ..Refusal::not_run("target is slow now", Span::from_millis(10))
    };
    let end = |refused: Refused| AttemptEnd::from(AttemptOutcome::Refused(refused));
    let redirect = end(Refused::before_arrival(refusal(Outcome::NotRun)));
    assert!(matches!(redirect, AttemptEnd::Redirected));
    for (refused, has_arrived) in [
        (Refused::after_arrival(refusal(Outcome::NotRun)), true),
        (Refused::after_arrival(refusal(Outcome::Unknown)), true),
        (Refused::before_arrival(refusal(Outcome::Unknown)), false),
    ] {
        let outcome = refused.refusal.outcome;
        let ended = end(refused);
        let is_refused =
            matches!(&ended, AttemptEnd::Refused { arrived, .. } if *arrived == has_arrived);
        assert!(is_refused, "{outcome:?} {has_arrived}");
        let mut attempts = Attempts::default();
        attempts.nodes.push("n1".parse().unwrap());
        let result = attempts.record(Kind::Once, ended);
        assert_eq!(result.is_some(), outcome != Outcome::NotRun);
        assert_eq!(attempts.arrivals, u32::from(has_arrived));
    }
}

/// A request of service `a` by its objective of 200 ms and its deadline of 1 s.
fn request(service: &Name, is_nested: bool, now: Instant) -> attempts::Request<'_> {
    attempts::Request {
        is_nested,
        service,
        kind: Kind::Idempotent,
        priority: Priority::of_route(1),
        attempts: 3,
        repeat_chance: 0.0,
        due: now + ms(200),
        deadline: now + ms(1_000),
    }
}

/// Otherwise a request is rejected although the target beside the node has a free slot.
#[test]
fn slow_target_with_a_free_slot_has_room_while_all_others_are_full() {
    let now = Instant::now();
    let service = name("a");
    let attempts = Attempts::<()>::default();
    let request = request(&service, false, now);
    let own = queue(1, "250", now);
    let usual = Some(ms(100));
    let first = attempts.queue_arrival(&request, usual, 2, now);
    assert!(own.is_redirected(&first, now));
    let last = attempts.last_arrival(&request, usual, now);
    let own = match own.may_admit(&last, now) && !own.is_redirected(&last, now) {
        true => Room::Expected,
        false => Room::Full {
            wait: ms(100),
            age: ms(0),
        },
    };
    let other = Room::Full {
        wait: ms(200),
        age: ms(100),
    };
    assert_eq!(NoRoom::of([other, other, own]), None);
}

/// Otherwise a nested call is rejected early that a later target would let wait.
#[test]
fn nested_call_is_judged_by_its_longest_wait_before_any_node_is_asked() {
    let now = Instant::now();
    let service = name("a");
    let attempts = Attempts::<()>::default();
    let request = request(&service, true, now);
    // Half of the 970 ms that it has left apart from its own run.
    let last = attempts.last_arrival(&request, Some(ms(30)), now);
    assert_eq!(last.max_wait, ms(485));
    let first = attempts.queue_arrival(&request, Some(ms(30)), 1, now);
    assert!(first.max_wait < last.max_wait);
}
