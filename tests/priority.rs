//! The order in which requests get slots: by team, then by route.

use std::time::{Duration, Instant};

use rilltrack::{
    coordination::decision::queue::{Admission, Arrival, Queue},
    state::{
        priority::Priority,
        team::{Team, Teams},
    },
};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn team(name: &str, priority: Option<u8>) -> Team {
    Team {
        name: name.parse().unwrap(),
        keys: vec![],
        priority,
        limit: None,
        regions: None,
        unsupported: vec![],
    }
}

cases! {
    payments_go_before_confirmations_of_the_same_team => {
        // The team's priority replaced the routes', so the earlier due time decided: a
        // confirmation that had waited for most of its 800 ms went before a payment.
        let now = Instant::now();
        let mut queue = Queue::default();
        queue.set_slots(1);
        let arrival = |route, due| Arrival {
            priority: Priority::of_request(true, Some(1), route),
            due: now + due,
            max_wait: ms(500),
            usual_run_time: Some(ms(1)),
            may_redirect: false,
        };
        assert!(matches!(queue.admit(&arrival(0, ms(900)), "running", now), Admission::Admitted));
        let confirmation = queue.admit(&arrival(2, ms(600)), "confirmation", now);
        let payment = queue.admit(&arrival(0, ms(900)), "payment", now);
        assert!(matches!(confirmation, Admission::Queued { .. }), "{confirmation:?}");
        assert!(matches!(payment, Admission::Queued { .. }), "{payment:?}");
        queue.release(None);
        assert_eq!(queue.admit_next(now), Some("payment"));
        queue.release(None);
        assert_eq!(queue.admit_next(now), Some("confirmation"));
    }

    teams_are_compared_before_routes_in_the_whole_range => {
        for [team, other_team, route, other_route] in [[0, 1, 15, 0], [1, 2, 255, 0], [14, 255, 9, 0]] {
            let one = Priority::of_request(true, Some(team), route);
            let other = Priority::of_request(true, Some(other_team), other_route);
            assert!(one < other, "{one} {other}");
        }
        for (low, high) in [(0, 1), (3, 4), (14, 15), (14, 255)] {
            for team in [0, 1, 15, 255] {
                let one = Priority::of_request(true, Some(team), low);
                assert!(one < Priority::of_request(true, Some(team), high), "team {team}: {low} {high}");
            }
        }
    }

    without_priorities_of_teams_the_routes_decide_alone => {
        // A version without them keeps its numbers, which nodes of earlier releases compare with.
        for route in [0, 1, 2, 40, 255] {
            assert_eq!(Priority::of_request(false, None, route).to_string(), route.to_string());
        }
        let teams = |all: &[Option<u8>]| {
            let named = all.iter().enumerate().map(|(i, of)| team(&format!("t{i}"), *of));
            Teams::new(named).unwrap().has_priorities()
        };
        assert!(!teams(&[]) && !teams(&[None, None]));
        assert!(teams(&[None, Some(0)]));
    }

    requests_without_a_priority_of_a_team_are_compared_by_their_route => {
        // With 0 instead, requests without a key would go before all teams; with 15, after them.
        assert_eq!(Priority::of_request(true, None, 1), Priority::of_request(true, Some(1), 1));
        assert!(Priority::of_request(true, None, 1) < Priority::of_request(true, Some(1), 2));
        assert!(Priority::of_request(true, Some(1), 0) < Priority::of_request(true, None, 1));
    }

    text_of_a_priority_is_one_decimal_byte => {
        assert_eq!(Priority::of_team_and_route(1, 2).to_string(), "18");
        assert_eq!("18".parse(), Ok(Priority::of_team_and_route(1, 2)));
        for text in ["", "256", "-1", "1.2"] {
            assert!(text.parse::<Priority>().is_err(), "{text}");
        }
    }
}
