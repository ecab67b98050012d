//! The worst loads that were found, replayed on the decisions: each case asserts what
//! its callers get, and that it is the same each time.

use std::{ops::Range, time::Duration};

use rilltrack::{document::Document, state::routing};
use rilltrack_standins::load::{
    self, Calls, Crossing, Experiment, Figures, Harm, Kind, Load, Service, Trouble,
};

/// Names each case: a test that replays a load.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

const SEED: u64 = 7;

/// Seeds of loads that are compared; twenty gave the same verdicts.
const SEEDS: u64 = 3;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Lookups whose runs make calls, and requests that run once at the callee: many senders,
/// each of which seldom meets the same target. `load` is over what half of all slots
/// carry.
fn many_senders(load: f64) -> Load {
    let speeds = vec![0.5, 1.0, 1.0, 1.5];
    Load {
        domains: 5,
        services: vec![
            Service {
                targets: 80,
                slots: 11,
                speeds: speeds.clone(),
                ..Service::default()
            },
            Service {
                targets: 50,
                slots: 11,
                speeds,
                ..Service::default()
            },
        ],
        kinds: vec![
            Kind {
                per_s: 1_300.0 * load,
                work: ms(310),
                spread: 0.8,
                objective: ms(1_000),
                deadline: ms(6_000),
                calls: Some(Calls {
                    kind: 2,
                    times: 2,
                    share: 0.7,
                }),
                ..Kind::default()
            },
            Kind {
                service: 1,
                per_s: 450.0 * load,
                kind: routing::Kind::Once,
                work: ms(410),
                spread: 0.3,
                objective: ms(1_500),
                deadline: ms(10_000),
                worth: 2.0,
                late: 0.2,
                ..Kind::default()
            },
            Kind {
                service: 1,
                work: ms(78),
                objective: ms(300),
                deadline: ms(1_000),
                worth: 0.0,
                retries: 0,
                ..Kind::default()
            },
        ],
        length: ms(6_000),
        warm_up: ms(3_000),
        resend_slack: 300.0,
        ..Load::default()
    }
}

/// Uploads of 60 KB to ten targets behind links of 7 Mbit/s, and calls to the same targets
/// amid the runs of another service, without which those fail. At a `load` of 1 the uploads
/// take eight tenths of the links, and runs less than six tenths of the slots.
fn uploads_beside_calls(load: f64, crossing: Crossing) -> Load {
    let journal = Service {
        targets: 10,
        slots: 9,
        speeds: vec![0.7, 0.7, 1.6],
        bandwidth: 7,
        ..Service::default()
    };
    let ledger = Service {
        targets: 46,
        bandwidth: 0,
        ..journal.clone()
    };
    let topups = Kind {
        per_s: 1_090.0 * load,
        kind: routing::Kind::Once,
        work: ms(200),
        spread: 0.3,
        objective: ms(800),
        deadline: ms(2_500),
        worth: 2.0,
        calls: Some(Calls {
            kind: 2,
            times: 1,
            share: 0.7,
        }),
        ..Kind::default()
    };
    let uploads = Kind {
        service: 1,
        per_s: 116.0 * load,
        kind: routing::Kind::Once,
        work: ms(190),
        objective: ms(800),
        deadline: ms(2_500),
        worth: 2.0,
        body: 60_000,
        ..Kind::default()
    };
    let calls = Kind {
        service: 1,
        priority: 2,
        work: ms(39),
        objective: ms(150),
        deadline: ms(500),
        worth: 0.0,
        retries: 0,
        ..Kind::default()
    };
    Load {
        services: vec![ledger, journal],
        kinds: vec![topups, uploads, calls],
        length: ms(4_000),
        warm_up: ms(1_500),
        crossing,
        ..Load::default()
    }
}

/// Lookups of `load` times what a service carries, and a few short requests of the first
/// rank beside them.
fn short_beside_long(load: f64) -> Load {
    let lookups = Kind {
        per_s: 600.0 * load,
        priority: 2,
        work: ms(63),
        objective: ms(200),
        deadline: ms(1_200),
        ..Kind::default()
    };
    let short = Kind {
        per_s: 20.0,
        priority: 0,
        work: ms(1),
        objective: ms(1_000),
        deadline: ms(1_000),
        retries: 0,
        ..Kind::default()
    };
    Load {
        services: vec![Service {
            targets: 3,
            slots: 13,
            ..Service::default()
        }],
        kinds: vec![lookups, short],
        ..Load::default()
    }
}

/// Kinds of any rank, run, objective and time left at one service, which together ask for
/// more than it carries.
fn any_kinds(rng: &mut fastrand::Rng) -> Load {
    let service = Service {
        targets: rng.usize(2..8),
        slots: rng.u32(2..16),
        ..Service::default()
    };
    let room = service.targets as f64 * f64::from(service.slots);
    let over = 1.3 + 1.7 * rng.f64();
    let count = rng.usize(2..5);
    let kinds = (0..count).map(|_| {
        // From 1 to 400 ms, and an objective of half the run to thirty runs.
        let work = (400f64).powf(rng.f64());
        let objective = work * (0.5 * 60f64.powf(rng.f64())) + 2.0;
        let deadline = objective * (1.0 + 4.0 * rng.f64()) + 3.0 * work;
        let part = over / count as f64;
        Kind {
            per_s: (room * part * 1_000.0 / work).min(1_500.0),
            priority: rng.u8(0..3),
            work: Duration::from_secs_f64(work / 1_000.0),
            objective: Duration::from_secs_f64(objective / 1_000.0),
            deadline: Duration::from_secs_f64(deadline / 1_000.0),
            // Callers that come back would add their own persistence to their share.
            retries: 0,
            ..Kind::default()
        }
    });
    Load {
        kinds: kinds.collect(),
        services: vec![service],
        length: ms(4_000),
        warm_up: ms(1_000),
        ..Load::default()
    }
}

/// Lookups at one service whose runs call another, which runs orders of its own besides. Each
/// sheds a part of what it gets for a while: two of six targets of the first, and all of the
/// second.
fn calls_between_two_that_shed(first: Range<u64>, second: Range<u64>) -> Load {
    let catalogue = Service {
        targets: 6,
        slots: 18,
        speeds: vec![0.5, 1.0, 1.0, 1.5],
        ..Service::default()
    };
    let orders = Service {
        targets: 4,
        speeds: vec![0.7, 0.7, 1.6],
        ..catalogue.clone()
    };
    let lookups = Kind {
        per_s: 700.0,
        priority: 2,
        deadline: ms(1_500),
        retries: 1,
        calls: Some(Calls {
            kind: 2,
            times: 2,
            share: 0.7,
        }),
        ..Kind::default()
    };
    let placed = Kind {
        service: 1,
        per_s: 250.0,
        kind: routing::Kind::Once,
        work: ms(100),
        objective: ms(500),
        deadline: ms(2_000),
        worth: 2.0,
        retries: 1,
        ..Kind::default()
    };
    let calls = Kind {
        service: 1,
        work: ms(30),
        objective: ms(120),
        deadline: ms(400),
        worth: 0.0,
        retries: 0,
        ..Kind::default()
    };
    let sheds = |service, share, during: Range<u64>| Trouble {
        service,
        share,
        during: ms(during.start)..ms(during.end),
        what: Harm::Sheds(0.55),
    };
    Load {
        services: vec![catalogue, orders],
        kinds: vec![lookups, placed, calls],
        troubles: vec![sheds(0, 0.33, first), sheds(1, 1.0, second)],
        length: ms(22_000),
        ..Load::default()
    }
}

/// Returns the part of a kind's requests that were answered, in time or late.
fn served(count: &load::Count) -> f64 {
    count.share(count.in_time + count.late)
}

fn replay(load: &Load) -> Figures {
    load::run(load, SEED)
}

cases! {
    replay_gives_the_same_figures_to_the_last_digit => {
        let load = Load { length: ms(2_000), warm_up: ms(500), ..many_senders(0.5) };
        assert_eq!(replay(&load), replay(&load));
        assert_ne!(replay(&load), load::run(&load, SEED + 1));
    }

    every_request_is_counted_once => {
        let figures = replay(&many_senders(1.8));
        for kind in &figures.kinds {
            assert_eq!(kind.asked, kind.in_time + kind.late + kind.refused + kind.failed, "{kind:?}");
        }
    }

    quiet_load_is_served => {
        let figures = replay(&many_senders(1.0));
        assert!(figures.worth() > 0.96, "{}", figures.worth());
        assert!(figures.kinds.iter().all(|kind| kind.refused == 0));
    }

    calls_find_room_while_uploads_fill_thin_links => {
        // At ten targets behind links of 7 Mbit/s bodies of 60 KB held 45 to 54 of 90 slots
        // as they waited for the link and crossed it, where their runs took 22. In a second
        // of 116 uploads 1,100 calls were turned away, and a quarter of the runs that made
        // them failed. The gate and the link said:
        //
        //   BodyTaken bytes 60211 waited 348 took 464
        //   Shed load 9,0,9 patience 75 due 121 usual 39 turn 19 "target is full"
        //
        // At 1.4 times the usual load the slots have room for all calls and the links carry
        // four in five uploads; at 2.5 two in five, and the slots nine in ten calls.
        for seed in 0..SEEDS {
            for (load, uploads) in [(1.4, 0.7), (2.5, 0.35)] {
                let figures = load::run(&uploads_beside_calls(load, Crossing::First), seed);
                let [topup, upload, call] = &figures.kinds[..] else { panic!("three kinds") };
                assert!(topup.share(topup.failed) < 0.05, "{load}, seed {seed}: {topup:?}");
                assert!(served(call) > 0.9, "{load}, seed {seed}: {call:?}");
                assert!(served(upload) > uploads, "{load}, seed {seed}: {upload:?}");
            }
        }
    }

    bodies_that_cross_before_a_slot_are_worth_more_than_in_it => {
        for load in [1.0, 1.4, 2.5] {
            let gains = (0..SEEDS).map(|seed| {
                let worth = |crossing| load::run(&uploads_beside_calls(load, crossing), seed).worth();
                worth(Crossing::First) - worth(Crossing::InSlot)
            });
            let gains: Vec<f64> = gains.collect();
            let mean = gains.iter().sum::<f64>() / SEEDS as f64;
            // Nothing to gain while all fits, more than noise once slots run out.
            let least = if load > 1.0 { 0.03 } else { -0.03 };
            assert!(mean > least, "{load}: {mean} of {gains:?}");
        }
    }

    overload_is_turned_away_and_the_rest_ends_in_time => {
        let figures = replay(&many_senders(2.4));
        let lookups = &figures.kinds[0];
        assert!(lookups.refused > 0);
        assert!(lookups.in_time > 2 * lookups.late, "{lookups:?}");
    }

    short_requests_of_the_first_rank_are_served_while_slots_are_full => {
        // A service had lost targets until three of seven carried its lookups of 63 ms, so
        // its slots were always taken. Then routes were added to it, of the first rank, whose
        // few requests run for about a millisecond and may take a second. Of 56 of them 12
        // were served, of the lookups that go behind them 94 in 100. The gate said:
        //
        //   Shed priority 0 load 13,12,13 patience 0 due 998 usual 0 turn 5 "target is full"
        //
        // A request might wait for twice the time that it runs itself; but it waits for the
        // runs of others, and a slot was free only after 5 ms. So the longer runs took all
        // slots, and the shorter ones no place in the queue however high their rank.
        for scale in [1.5, 2.5] {
            let load = short_beside_long(scale);
            let figures = replay(&load);
            let [lookups, short] = &figures.kinds[..] else { unreachable!("two kinds") };
            assert!(served(lookups) < 0.9, "slots are full: {lookups:?}");
            assert!(served(short) > 0.95, "{short:?} beside {lookups:?}");
        }
    }

    no_rank_is_served_less_than_one_behind_it => {
        let mut rng = fastrand::Rng::with_seed(SEED);
        let mut faults = Vec::new();
        for round in 0..60 {
            let load = any_kinds(&mut rng);
            let figures = load::run(&load, round);
            // A caller with less time than a run may leave before any slot is free.
            let longest = load.kinds.iter().map(|kind| kind.work).max().unwrap();
            for (one, of) in load.kinds.iter().zip(&figures.kinds) {
                for (other, behind) in load.kinds.iter().zip(&figures.kinds) {
                    let is_before = one.priority < other.priority && one.deadline > longest;
                    if is_before && of.asked > 50 && served(of) < served(behind) - 0.1 {
                        faults.push(format!(
                            "{round}: rank {} run {:?} due {:?} of {:?} served {:.2}; rank {} run {:?} due {:?} served {:.2}; slots {}",
                            one.priority, one.work, one.objective, one.deadline, served(of),
                            other.priority, other.work, other.objective, served(behind), load.services[0].slots,
                        ));
                    }
                }
            }
        }
        assert!(faults.is_empty(), "{} faults\n{}", faults.len(), faults.join("\n"));
    }

    bad_file_is_refused_by_key_and_line => {
        let good = include_str!("../examples/loads/many-senders.jsonc");
        let read = |text: &str| Experiment::from_document(&Document::parse("loads", text).unwrap());
        assert_eq!(read(good).unwrap().variants.len(), 6);
        for (from, to, place) in [
            ("\"seeds\": 8", "\"seeds\": 0", "loads:8: `seeds`"),
            ("\"share\": 0.4,", "\"share\": 1.4,", "`variants.5.troubles.0`"),
            ("\"kind\": 3,", "\"kind\": 9,", "`kinds.0.calls`"),
            ("\"slots\": 11,", "\"slot\": 11,", "unknown field `slot`"),
        ] {
            let fault = read(&good.replacen(from, to, 1)).unwrap_err().to_string();
            assert!(fault.contains(place), "{fault}");
        }
    }

    calls_of_repeats_stay_within_the_allowance_of_the_service_they_call => {
        // The targets of a service that is called got 2,804 further arrivals in 10 s, where 2,803
        // were allowed. Two of six targets of the service that calls it had shed 55 in 100 of
        // their requests for 7 s; then all targets of the called one did for two. What the first
        // two shed ran at the others, and its runs made their calls: first sends to the nodes
        // that sent them, further arrivals to the targets that got them. Nodes kept to seven
        // tenths of their part with what they sent again themselves, and the calls came on top.
        // Beside a target of the calling service 552 of 295 that were allowed:
        //
        //   SentAgain service b first 1451 arrived 1391 again 156 repeated 0 carried 396.2 allowed 295.0
        //
        // Nearly all those repeats had not run before (`repeated`), and only the calls of such
        // as had were reckoned with.
        for (first, second) in [(3_000..10_000, 10_000..20_000), (9_000..20_000, 3_000..9_000), (3_000..20_000, 3_000..20_000)] {
            let load = calls_between_two_that_shed(first.clone(), second.clone());
            for seed in 0..SEEDS {
                let figures = load::run(&load, seed);
                for (service, arrivals) in figures.arrivals.iter().enumerate() {
                    let (further, allowed) = arrivals.worst(load.rule());
                    assert!(further as f64 <= allowed, "{first:?} {second:?} seed {seed}: service {service}: {further} of {allowed:.0}");
                }
            }
        }
    }

    sends_beyond_the_first_stay_within_the_allowance => {
        let sheds = Trouble {
            service: 1,
            share: 1.0,
            during: ms(1_000)..ms(6_000),
            what: Harm::Sheds(0.5),
        };
        let load = Load { troubles: vec![sheds], ..many_senders(1.0) };
        let figures = replay(&load);
        let calls = 1_300.0 * 0.7 * 2.0;
        let sent = (450.0 + calls) * load.length.as_secs_f64();
        let most = load.resend_ratio * sent + load.resend_slack;
        assert!(f64::from(figures.repeats[1]) < most, "{:?} of {most}", figures.repeats);
        assert!(figures.repeats[1] > 500, "what is allowed is used: {:?}", figures.repeats);
    }
}
