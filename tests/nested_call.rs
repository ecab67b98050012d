//! How long the calls that targets make during a run may wait for a slot.

use std::time::{Duration, Instant};

use rilltrack::{
    coordination::decision::{
        attempts::{Attempts, Request},
        nested_call::is_nested_call,
        queue::{Admission, Arrival, Queue},
    },
    id::{Name, Node},
    state::{priority::Priority, routing::Kind},
};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

/// Targets of the called service; more than are asked for one request.
const TARGETS: usize = 26;

/// The usual run time of calls.
const USUAL: Option<Duration> = Some(ms(30));

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a request that is due in 120 ms and has 400 ms in all.
fn request(service: &Name, is_nested: bool, now: Instant) -> Request<'_> {
    Request {
        service,
        kind: Kind::Idempotent,
        priority: Priority::of_request(true, None, 1),
        is_nested,
        attempts: 2,
        repeat_chance: 0.0,
        due: now + ms(120),
        deadline: now + ms(400),
    }
}

/// Returns the queue entry of a request at the node that is asked as number `asked`.
fn arrival(
    request: &Request<'_>,
    asked: usize,
    targets: usize,
    usual: Option<Duration>,
    now: Instant,
) -> Arrival {
    let mut attempts = Attempts::<()>::default();
    let nodes = (0..asked).map(|i| format!("n-{i}").parse::<Node>().unwrap());
    attempts.nodes.extend(nodes);
    attempts.queue_arrival(request, usual, targets, now)
}

cases! {
    only_requests_without_a_key_on_anonymous_routes_of_a_version_with_teams_are_nested_calls => {
        assert!(is_nested_call(true, false, true));
        for (has_teams, has_key, is_anonymous) in
            [(false, false, true), (true, true, true), (true, false, false), (false, false, false)]
        {
            assert!(!is_nested_call(has_teams, has_key, is_anonymous), "{has_teams} {has_key} {is_anonymous}");
        }
    }

    call_waits_for_half_of_the_spare_time_of_its_run_at_the_last_node => {
        // By the objective it may wait for 45 ms at the gate, and it misses its due time then.
        let (now, service) = (Instant::now(), "orders".parse().unwrap());
        let nested = request(&service, true, now);
        for (asked, targets) in [(4, TARGETS), (2, 2), (1, 1)] {
            let last = arrival(&nested, asked, targets, USUAL, now);
            assert_eq!((last.max_wait, last.due), (ms(185), now + ms(200)), "{asked} of {targets}");
        }
        // An objective that is later than half of the remaining time is kept.
        let later = Request { due: now + ms(300), ..nested };
        assert_eq!(arrival(&later, 4, TARGETS, USUAL, now).due, now + ms(300));
        // A run that has no time left makes calls that can't wait.
        let ending = Request { deadline: now + ms(20), ..nested };
        assert_eq!(arrival(&ending, 4, TARGETS, USUAL, now).max_wait, ms(0));
    }

    call_waits_for_half_of_the_spare_time_if_no_other_target_can_be_asked => {
        // Of four known targets one is eligible. If the others counted, the call would wait for
        // an eighth of that time and be refused with three quarters of its time left.
        let (now, service) = (Instant::now(), "orders".parse().unwrap());
        let nested = request(&service, true, now);
        let eligible = 1;
        for asked in 1..=4 {
            let only = arrival(&nested, asked, asked - 1 + eligible, USUAL, now);
            assert_eq!(only.max_wait, ms(185), "{asked}");
        }
        assert_eq!(arrival(&nested, 1, 4, USUAL, now).max_wait, ms(185) / 8);
    }

    call_waits_less_while_further_nodes_can_be_asked => {
        // A call that waits at a full target while others have free slots holds the slot of its
        // run: listings answered in time fell from 92% to 84%.
        let (now, service) = (Instant::now(), "orders".parse().unwrap());
        let nested = request(&service, true, now);
        let waits: Vec<_> = (1..=4).map(|asked| arrival(&nested, asked, TARGETS, USUAL, now).max_wait).collect();
        assert!(waits.windows(2).all(|pair| pair[1] == pair[0] * 2), "{waits:?}");
        let spare = ms(370);
        assert!(waits.iter().sum::<Duration>() < spare, "{waits:?}");
    }

    objective_decides_for_other_requests_and_without_a_usual_run_time => {
        let (now, service) = (Instant::now(), "orders".parse().unwrap());
        for (is_nested, usual) in [(false, USUAL), (true, None)] {
            for asked in 1..=4 {
                let other = arrival(&request(&service, is_nested, now), asked, TARGETS, usual, now);
                assert_eq!((other.max_wait, other.due), (ms(200), now + ms(120)), "{is_nested} {asked}");
            }
        }
    }

    call_is_queued_past_its_objective_before_new_requests_of_lower_priority => {
        // The objective has passed while other nodes refused it, and its run has 280 ms left.
        // Late requests wait in one place of six slots, where two waited already.
        let (now, service) = (Instant::now(), "orders".parse().unwrap());
        let mut queue = Queue::default();
        queue.set_slots(6);
        let confirmation = Arrival {
            priority: Priority::of_request(true, Some(1), 2),
            due: now + ms(800),
            max_wait: ms(400),
            usual_run_time: Some(ms(160)),
            may_redirect: false,
        };
        for number in 0..8 {
            let admission = queue.admit(&confirmation, number, now);
            assert!(!matches!(admission, Admission::Rejected), "{number}");
        }
        let later = now + ms(120);
        let nested = arrival(&request(&service, true, now), 4, TARGETS, USUAL, later);
        for number in [20, 21] {
            let admission = queue.admit(&nested, number, later);
            assert!(matches!(admission, Admission::Queued { .. }), "{number}: {admission:?}");
        }
        queue.release(Some(ms(160)));
        assert_eq!(queue.admit_next(later), Some(20));
        queue.release(Some(ms(160)));
        assert_eq!(queue.admit_next(later), Some(21));
        queue.release(Some(ms(160)));
        assert_eq!(queue.admit_next(later), Some(6), "new requests get what calls leave");
    }
}
