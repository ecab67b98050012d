//! Roll-outs: what is known of an order, what a release on trial gets, what is concluded
//! from its answers, and what becomes of the order.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rilltrack::{
    coordination::{
        decision::rollout::{
            deal::{self, Deal},
            judge::{self, Case, Count},
            trial::{self, Trial},
        },
        rollout::{Answer, Lane, Rollouts},
    },
    id::{Incarnation, Name, Release},
    state::{
        member::{Member, Status, Table, Target, Verdict},
        rollout::{Book, Rollout, Stage, Standing},
    },
    unit::Span,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn release(text: &str) -> Release {
    text.parse().unwrap()
}

fn rollout(order: u64, stage: Stage) -> Rollout {
    Rollout {
        service: name("a"),
        order,
        from: (stage > Stage::Ordered).then(|| release("v1")),
        to: release("v2"),
        duration: Span::from_secs(16),
        stage,
        began: 0,
    }
}

fn member(node: &str, of: &str, sequence: u64) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member {
        node: node.parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
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
            slots: 9,
            instance: format!("i-{node}").into(),
            release: Some(release(of)),
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}

/// A table of so many targets of release v1 and of v2.
fn table(old: usize, new: usize) -> Table {
    let mut table = Table::default();
    for i in 0..old {
        table.merge(member(&format!("old{i}"), "v1", 1));
    }
    for i in 0..new {
        table.merge(member(&format!("new{i}"), "v2", 1));
    }
    table
}

/// The stages of an order, as they are told.
const TOLD: [Stage; 5] = [
    Stage::Ordered,
    Stage::Trial,
    Stage::Moving,
    Stage::Completed,
    Stage::RolledBack,
];

/// How an order stands amid its trial, with so many good and bad targets.
fn case(stage: Stage, age: u64, passing: usize, failing: usize) -> Case {
    Case {
        stage,
        age: Duration::from_millis(age),
        in_stage: Duration::from_secs(2),
        duration: Duration::from_secs(16),
        count: Count {
            new: 32,
            passing,
            failing,
            new_slots: 288,
            old_slots: 288,
        },
    }
}

/// Answers on a route until the verdict is that the target fails, at most so many. A share
/// of them is bad as usual; of the others the release spoils a share. Returns how many
/// answers were needed and how many the release spoiled.
fn until_failing(seed: u64, most: u32, usual: f64, spoils: f64) -> Option<(u32, u32)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trial = Trial::default();
    let mut spoiled = 0;
    for answers in 1..=most {
        let fails_anyway = rng.f64() < usual;
        let is_spoiled = !fails_anyway && rng.f64() < spoils;
        spoiled += u32::from(is_spoiled);
        trial.note(&name("r"), usual, fails_anyway || is_spoiled);
        if trial.verdict() == Some(true) {
            return Some((answers, spoiled));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Whatever order tellings come in and however often, one order has one final stage,
    /// nothing goes back, and a later order counts.
    #[test]
    fn stages_go_forward_in_any_order_of_tellings(
        told in prop::collection::vec((1u64..4, 0usize..5), 1..40),
    ) {
        let mut book = Book::default();
        let (service, mut before) = (name("a"), None::<Rollout>);
        for (order, stage) in told {
            book.merge(rollout(order, TOLD[stage]));
            let held = book.get(&service).unwrap().clone();
            if let Some(before) = before {
                prop_assert!(held.order >= before.order);
                if held.order == before.order {
                    prop_assert!(held.stage >= before.stage);
                    prop_assert!(!before.stage.is_final() || held.stage == before.stage);
                }
            }
            before = Some(held);
        }
    }

    /// Targets of a release that no order names get nothing, those of one that was taken
    /// back or left behind neither.
    #[test]
    fn nothing_unasked(stage in 0usize..5, of in "v[1-4]") {
        let mut book = Book::default();
        book.merge(rollout(1, TOLD[stage]));
        let standing = book.standing(&name("a"), &release(&of)).unwrap();
        let expected = match (of.as_str(), TOLD[stage]) {
            ("v1", Stage::Completed) => Standing::Barred,
            ("v1", _) => Standing::Serves,
            ("v2", Stage::Ordered | Stage::RolledBack) => Standing::Barred,
            ("v2", Stage::Trial) => Standing::Trial,
            ("v2", _) => Standing::Serves,
            // Before the first node has said which release serves, all others do.
            (_, Stage::Ordered) => Standing::Serves,
            _ => Standing::Barred,
        };
        prop_assert_eq!(standing, expected);
    }

    /// What reaches the release on trial is its part of the share of all that arrives, plus
    /// what a node may be behind with, however arrivals and refusals mix.
    #[test]
    fn trial_gets_its_share_of_arrivals(
        share in 0.01f64..0.3,
        refused in 0.0f64..0.9,
        seed in any::<u64>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut deal, service) = (Deal::default(), name("a"));
        let (mut arrived, mut tried) = (0.0, 0.0);
        for _ in 0..3_000 {
            let is_tried = deal.take(&service);
            match (is_tried, rng.f64() < refused) {
                (true, true) => deal.give_back(&service),
                (_, true) => continue,
                (is_tried, false) => {
                    tried += f64::from(u8::from(is_tried));
                    arrived += 1.0;
                    deal.arrive(&service, share);
                }
            }
        }
        prop_assert!(tried <= share * arrived + 2.0, "{} of {}", tried, arrived);
        prop_assert!(tried >= share * arrived - 3.0, "{} of {}", tried, arrived);
    }
}

cases! {
    targets_of_an_unknown_release_wait_for_their_order => {
        // The target is there before the order is known here.
        let rollouts = Rollouts::new(Some(0.1));
        let table = table(3, 2);
        let [Some(Lane::Release(serving)), None] = rollouts.lanes(&name("a"), &table, true) else {
            panic!("one release serves");
        };
        assert_eq!(serving, release("v1"));
        let standing = |node: &str| {
            let member = table.get(&node.parse().unwrap()).unwrap();
            rollouts.standing(&member.targets[0], &table)
        };
        assert_eq!((standing("new0"), standing("old0")), (Standing::Barred, Standing::Serves));
        // Where there are no roll-outs, releases are not told apart.
        let without = Rollouts::new(None);
        assert_eq!(without.lanes(&name("a"), &table, true), [Some(Lane::All), None]);
    }

    release_that_was_completed_serves_when_the_next_order_comes => {
        let mut book = Book::default();
        book.merge(rollout(1, Stage::Completed));
        book.merge(Rollout { to: release("v3"), ..rollout(2, Stage::Ordered) });
        let standing = |of| book.standing(&name("a"), &release(of)).unwrap();
        assert_eq!([standing("v1"), standing("v2"), standing("v3")],
            [Standing::Barred, Standing::Serves, Standing::Barred]);
        // And after one that was taken back, the one before.
        book.merge(Rollout { to: release("v3"), from: None, ..rollout(2, Stage::RolledBack) });
        book.merge(Rollout { to: release("v4"), ..rollout(3, Stage::Ordered) });
        let standing = |of| book.standing(&name("a"), &release(of)).unwrap();
        assert_eq!([standing("v2"), standing("v3"), standing("v4")],
            [Standing::Serves, Standing::Barred, Standing::Barred]);
    }

    new_release_is_tried_at_its_usual_load => {
        // 32 targets serve; at a twentieth of the requests two have a target's usual load.
        let table = table(32, 32);
        let tried = deal::tried(&table, &rollout(1, Stage::Trial), 0.05);
        assert_eq!(tried.len(), 2);
        assert!(tried.iter().all(|node| node.as_str().starts_with("new")));
        assert_eq!(tried, deal::tried(&table, &rollout(1, Stage::Trial), 0.05));
    }

    failing_target_is_tried_no_more => {
        let mut table = table(32, 4);
        let order = rollout(1, Stage::Trial);
        let first = deal::tried(&table, &order, 0.05)[0].clone();
        let mut failing = member(first.as_str(), "v2", 2);
        failing.targets[0].verdict = Some(Verdict { order: 1, is_failing: true });
        table.merge(failing);
        let tried = deal::tried(&table, &order, 0.05);
        assert!(tried.len() == 2 && !tried.contains(&first));
        let rollouts = Rollouts::new(Some(0.1));
        rollouts.take(order, Duration::ZERO, Instant::now());
        let target = &table.get(&first).unwrap().targets[0];
        assert_eq!(rollouts.standing(target, &table), Standing::Barred);
        // It did so in the trial of that order, not of the next.
        rollouts.take(rollout(2, Stage::Trial), Duration::ZERO, Instant::now());
        assert_eq!(rollouts.standing(target, &table), Standing::Trial);
    }

    bad_release_is_found_by_fewer_than_fifty_bad_answers => {
        // Two failing targets take it back, so each has less than half of fifty. Usual are
        // none, some, and the share in which calls fail elsewhere under overload.
        for (usual, spoils) in [(0.0, 0.5), (0.05, 0.5), (0.25, 0.6), (0.0, 0.3)] {
            for seed in 0..20 {
                let found = until_failing(seed, 1_000, usual, spoils);
                let (answers, bad) = found.expect("it is found");
                assert!(bad < 25, "{bad} of {answers} at {usual} and {spoils}, seed {seed}");
            }
        }
    }

    good_release_is_not_taken_for_a_bad_one => {
        // A trial of 16 s at 35 answers a second.
        for usual in [0.0, 0.02, 0.06, 0.25, 0.5] {
            let found: Vec<u64> = (0..20).filter(|seed| until_failing(*seed, 560, usual, 0.0).is_some()).collect();
            assert!(found.is_empty(), "at {usual}: seeds {found:?}");
        }
    }

    release_that_is_bad_on_one_route_or_late_is_found => {
        let mut trial = Trial::default();
        // One answer of ten is on the route that it spoils, after a good start.
        for i in 0..4_000 {
            let is_spoiled = i % 10 == 0 && i > 3_000;
            let route = name(if i % 10 == 0 { "spoiled" } else { "fine" });
            trial.note(&route, 0.01, is_spoiled);
            if trial.verdict() == Some(true) {
                let (answers, bad) = trial.answers();
                assert!(bad < 10, "{bad} of {answers}");
                return;
            }
        }
        panic!("it is not found");
    }

    slow_answers_are_bad_and_cold_ones_are_not => {
        let usual = Some(Duration::from_millis(160));
        let is_bad = |millis| trial::is_bad(false, Duration::from_millis(millis), usual);
        assert_eq!([is_bad(160), is_bad(480), is_bad(1280)], [false, false, true]);
        assert!(trial::is_bad(true, Duration::ZERO, None));
        // What takes no time is told in whole milliseconds.
        assert!(!trial::is_bad(false, Duration::from_millis(7), Some(Duration::ZERO)));
    }

    order_waits_for_evidence_and_for_its_time => {
        let next = |case: Case| judge::next(&case).map(|(stage, _)| stage);
        assert_eq!(next(case(Stage::Ordered, 0, 0, 0)), Some(Stage::Trial));
        for age in [0, 5_000, 12_900] {
            assert_eq!(next(case(Stage::Trial, age, 2, 0)), None, "{age}");
            assert_eq!(next(case(Stage::Trial, age, 5, 2)), Some(Stage::RolledBack), "{age}");
            // One may fail for a reason of its own.
            assert_eq!(next(case(Stage::Trial, age, 0, 1)), None, "{age}");
        }
        assert_eq!(next(case(Stage::Trial, 13_000, 2, 0)), Some(Stage::Moving));
        assert_eq!(next(case(Stage::Trial, 13_000, 2, 1)), Some(Stage::Moving));
        assert_eq!(next(case(Stage::Trial, 13_000, 1, 1)), None);
        // Without evidence, or without room, it is taken back and not completed.
        assert_eq!(next(case(Stage::Trial, 15_200, 0, 0)), Some(Stage::RolledBack));
        let mut narrow = case(Stage::Trial, 13_000, 2, 0);
        narrow.count.new_slots = 90;
        assert_eq!(next(narrow), None);
        narrow.age = Duration::from_millis(15_200);
        assert_eq!(next(narrow), Some(Stage::RolledBack));
    }

    order_is_completed_when_nothing_runs_at_the_old_targets => {
        let next = |case: Case| judge::next(&case).map(|(stage, _)| stage);
        assert_eq!(next(case(Stage::Moving, 14_900, 32, 0)), None);
        assert_eq!(next(case(Stage::Moving, 15_200, 32, 0)), Some(Stage::Completed));
        let hasty = Case { in_stage: Duration::from_millis(300), ..case(Stage::Moving, 15_900, 32, 0) };
        assert_eq!(next(hasty), None);
        assert_eq!(next(case(Stage::Moving, 14_000, 28, 4)), Some(Stage::RolledBack));
        for stage in [Stage::Completed, Stage::RolledBack] {
            assert_eq!(next(case(stage, 15_900, 0, 9)), None);
        }
    }

    end_is_told_again_where_an_earlier_stage_is_told_late => {
        let rollouts = Rollouts::new(Some(0.1));
        let take = |order, stage| rollouts.take(rollout(order, stage), Duration::ZERO, Instant::now());
        assert!(take(1, Stage::Moving) && !take(1, Stage::Trial) && rollouts.overtaken().is_empty());
        assert!(take(1, Stage::RolledBack));
        assert!(!take(1, Stage::RolledBack) && rollouts.overtaken().is_empty());
        // Whoever starts anew would take this for the latest.
        assert!(!take(1, Stage::Moving));
        let stages: Vec<Stage> = rollouts.overtaken().iter().map(|r| r.stage).collect();
        assert_eq!(stages, [Stage::RolledBack]);
        assert!(rollouts.overtaken().is_empty(), "once");
    }

    lanes_follow_the_stage => {
        let rollouts = Rollouts::new(Some(0.1));
        let (table, service, now) = (table(8, 8), name("a"), Instant::now());
        let only = |of: &str| Some(Lane::Release(release(of)));
        rollouts.take(rollout(1, Stage::Ordered), Duration::ZERO, now);
        assert_eq!(rollouts.lanes(&service, &table, true), [only("v1"), None]);
        rollouts.take(rollout(1, Stage::Trial), Duration::ZERO, now);
        assert_eq!(rollouts.lanes(&service, &table, true), [only("v1"), None], "nothing has arrived");
        let old = &table.get(&"old0".parse().unwrap()).unwrap().targets[0];
        for _ in 0..40 {
            rollouts.note_try(Some(old), &service, true, None);
        }
        assert_eq!(rollouts.lanes(&service, &table, false)[0], only("v1"), "no second try");
        let [Some(Lane::Trial(nodes)), fallback] = rollouts.lanes(&service, &table, true) else {
            panic!("two of forty are for the trial");
        };
        assert_eq!((nodes.len(), fallback), (2, only("v1")));
        rollouts.take(rollout(1, Stage::Moving), Duration::ZERO, now);
        assert_eq!(rollouts.lanes(&service, &table, true), [only("v2"), only("v1")]);
        rollouts.take(rollout(1, Stage::Completed), Duration::ZERO, now);
        assert_eq!(rollouts.lanes(&service, &table, true), [only("v2"), None]);
    }

    target_here_is_weighed_only_while_its_release_is_tried => {
        let rollouts = Rollouts::new(Some(0.1));
        let table = table(1, 1);
        let target = &table.get(&"new0".parse().unwrap()).unwrap().targets[0];
        let route = name("r");
        let answer = Answer { route: &route, is_fault: true, ran: Duration::ZERO, usual: None };
        let weigh = || (0..30).find_map(|_| rollouts.weigh(target, &answer, 0.0));
        assert!(weigh().is_none());
        rollouts.take(rollout(1, Stage::Trial), Duration::ZERO, Instant::now());
        let (verdict, (answers, bad)) = weigh().expect("it fails");
        assert!(verdict.is_failing && verdict.order == 1);
        assert!(answers == bad && bad < 10, "{bad} of {answers}");
    }

    release_of_most_targets_is_told_by_those_that_are_there => {
        let mut table = table(3, 2);
        let service = name("a");
        assert_eq!(table.main_release(&service, None), Some(&release("v1")));
        assert_eq!(table.main_release(&service, Some(&release("v1"))), Some(&release("v2")));
        for i in 0..2 {
            table.merge(Member { status: Status::Gone, ..member(&format!("old{i}"), "v1", 2) });
        }
        assert_eq!(table.main_release(&service, None), Some(&release("v2")));
        table.forget(&"old2".parse().unwrap());
        assert!(!table.has_releases(&service));
    }
}
