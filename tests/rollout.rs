//! Roll-outs: the merge of received stages, the requests that a release on trial gets, the
//! verdict from its answers, and the next stage of an order.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rilltrack::{
    coordination::{
        decision::rollout::{
            canary::{self, Budget},
            judge::{self, Input, TargetCounts},
            trial::{self, Trial},
        },
        rollout::{Answer, Rollouts, Subset},
    },
    id::{Incarnation, Name, Release},
    state::{
        member::{Member, Status, Table, Target, Verdict},
        rollout::{Latest, Role, Rollout, Stage},
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

fn member(node: &str, version: &str, sequence: u64) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member {
        node: node.parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
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
            slots: 9,
            instance: format!("i-{node}").into(),
            release: Some(release(version)),
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    }
}

/// Returns a table with `old` targets of release v1 and `new` targets of v2.
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

/// All stages of an order.
const STAGES: [Stage; 5] = [
    Stage::Ordered,
    Stage::Trial,
    Stage::Moving,
    Stage::Completed,
    Stage::RolledBack,
];

/// Returns the facts about an order of 16 s at an age in milliseconds, with these numbers of
/// passing and failing targets.
fn input(stage: Stage, age_ms: u64, passing: usize, failing: usize) -> Input {
    Input {
        stage,
        age: Duration::from_millis(age_ms),
        in_stage: Duration::from_secs(2),
        duration: Duration::from_secs(16),
        targets: TargetCounts {
            new: 32,
            passing,
            failing,
            new_slots: 288,
            old_slots: 288,
        },
    }
}

/// Simulates answers on a route until the verdict is that the target is failing, at most
/// `max_answers`. The share `baseline` of them is bad with any release; of the others, the
/// release spoils the share `spoiled_share`.
///
/// Returns the numbers of answers and of spoiled ones among them, or `None` if there is no
/// such verdict.
fn until_failing(
    seed: u64,
    max_answers: u32,
    baseline: f64,
    spoiled_share: f64,
) -> Option<(u32, u32)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trial = Trial::default();
    let mut spoiled = 0;
    for answers in 1..=max_answers {
        let fails_anyway = rng.f64() < baseline;
        let is_spoiled = !fails_anyway && rng.f64() < spoiled_share;
        spoiled += u32::from(is_spoiled);
        trial.record(&name("r"), baseline, fails_anyway || is_spoiled);
        if trial.verdict() == Some(true) {
            return Some((answers, spoiled));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(37), ..ProptestConfig::default() })]

    /// Stages may be received in any order and repeatedly: an order has one final stage, no
    /// stage goes back, and a later order replaces an earlier one.
    #[test]
    fn stages_go_forward_however_they_are_received(
        received in prop::collection::vec((1u64..4, 0usize..5), 1..40),
    ) {
        let mut latest = Latest::default();
        let (service, mut before) = (name("a"), None::<Rollout>);
        for (order, stage) in received {
            latest.merge(rollout(order, STAGES[stage]));
            let after = latest.get(&service).unwrap().clone();
            if let Some(before) = before {
                prop_assert!(after.order >= before.order);
                if after.order == before.order {
                    prop_assert!(after.stage >= before.stage);
                    prop_assert!(!before.stage.is_final() || after.stage == before.stage);
                }
            }
            before = Some(after);
        }
    }

    /// Targets get no requests if no order names their release, or if it was rolled back or
    /// replaced.
    #[test]
    fn release_without_an_order_gets_no_requests(stage in 0usize..5, version in "v[1-4]") {
        let mut latest = Latest::default();
        latest.merge(rollout(1, STAGES[stage]));
        let role = latest.role(&name("a"), &release(&version)).unwrap();
        let expected = match (version.as_str(), STAGES[stage]) {
            ("v1", Stage::Completed) => Role::Excluded,
            ("v1", _) => Role::Serving,
            ("v2", Stage::Ordered | Stage::RolledBack) => Role::Excluded,
            ("v2", Stage::Trial) => Role::Canary,
            ("v2", _) => Role::Serving,
            // While the serving release is unknown, all releases but the new one serve.
            (_, Stage::Ordered) => Role::Serving,
            _ => Role::Excluded,
        };
        prop_assert_eq!(role, expected);
    }

    /// The release on trial gets its share of all arrivals, plus what a node can save up,
    /// whatever part of the requests is refused.
    #[test]
    fn trial_gets_its_share_of_arrivals(
        share in 0.01f64..0.3,
        refused in 0.0f64..0.9,
        seed in any::<u64>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut budget, service) = (Budget::default(), name("a"));
        let (mut arrived, mut tried) = (0.0, 0.0);
        for _ in 0..3_000 {
            let is_tried = budget.spend(&service);
            match (is_tried, rng.f64() < refused) {
                (true, true) => budget.refund(&service),
                (_, true) => continue,
                (is_tried, false) => {
                    tried += f64::from(u8::from(is_tried));
                    arrived += 1.0;
                    budget.add(&service, share);
                }
            }
        }
        prop_assert!(tried <= share * arrived + 2.0, "{} of {}", tried, arrived);
        prop_assert!(tried >= share * arrived - 3.0, "{} of {}", tried, arrived);
    }
}

cases! {
    new_targets_get_no_requests_before_their_order => {
        // The targets of v2 are known before the order is.
        let rollouts = Rollouts::new(Some(0.1));
        let table = table(3, 2);
        let [Some(Subset::Release(serving)), None] = rollouts.subsets(&name("a"), &table, true) else {
            panic!("one release serves");
        };
        assert_eq!(serving, release("v1"));
        let role = |node: &str| {
            let member = table.get(&node.parse().unwrap()).unwrap();
            rollouts.role(&member.targets[0], &table)
        };
        assert_eq!((role("new0"), role("old0")), (Role::Excluded, Role::Serving));
        // If roll-outs are disabled, all releases are treated alike.
        let disabled = Rollouts::new(None);
        assert_eq!(disabled.subsets(&name("a"), &table, true), [Some(Subset::All), None]);
    }

    completed_release_serves_until_the_next_order_is_completed => {
        let mut latest = Latest::default();
        latest.merge(rollout(1, Stage::Completed));
        latest.merge(Rollout { to: release("v3"), ..rollout(2, Stage::Ordered) });
        let role = |version| latest.role(&name("a"), &release(version)).unwrap();
        assert_eq!([role("v1"), role("v2"), role("v3")],
            [Role::Excluded, Role::Serving, Role::Excluded]);
        // After a rollback, the release before that one serves.
        latest.merge(Rollout { to: release("v3"), from: None, ..rollout(2, Stage::RolledBack) });
        latest.merge(Rollout { to: release("v4"), ..rollout(3, Stage::Ordered) });
        let role = |version| latest.role(&name("a"), &release(version)).unwrap();
        assert_eq!([role("v2"), role("v3"), role("v4")],
            [Role::Serving, Role::Excluded, Role::Excluded]);
    }

    targets_on_trial_get_the_load_of_serving_targets => {
        // 32 targets serve. With a twentieth of the requests, two targets have the usual load.
        let table = table(32, 32);
        let nodes = canary::nodes(&table, &rollout(1, Stage::Trial), 0.05);
        assert_eq!(nodes.len(), 2);
        assert!(nodes.iter().all(|node| node.as_str().starts_with("new")));
        assert_eq!(nodes, canary::nodes(&table, &rollout(1, Stage::Trial), 0.05));
    }

    failing_target_is_no_longer_on_trial => {
        let mut table = table(32, 4);
        let order = rollout(1, Stage::Trial);
        let first = canary::nodes(&table, &order, 0.05)[0].clone();
        let mut failing = member(first.as_str(), "v2", 2);
        failing.targets[0].verdict = Some(Verdict { order: 1, is_failing: true });
        table.merge(failing);
        let nodes = canary::nodes(&table, &order, 0.05);
        assert!(nodes.len() == 2 && !nodes.contains(&first));
        let rollouts = Rollouts::new(Some(0.1));
        rollouts.merge(order, Duration::ZERO, Instant::now());
        let target = &table.get(&first).unwrap().targets[0];
        assert_eq!(rollouts.role(target, &table), Role::Excluded);
        // The verdict is on the trial of the first order; it does not count for the next one.
        rollouts.merge(rollout(2, Stage::Trial), Duration::ZERO, Instant::now());
        assert_eq!(rollouts.role(target, &table), Role::Canary);
    }

    bad_release_is_detected_within_fifty_bad_answers => {
        // Two failing targets cause a rollback, so each may spoil fewer than 25 answers. The
        // baselines are none, a few, and as many as when calls to other services fail under
        // overload.
        for (baseline, spoiled_share) in [(0.0, 0.5), (0.05, 0.5), (0.25, 0.6), (0.0, 0.3)] {
            for seed in 0..20 {
                let detected = until_failing(seed, 1_000, baseline, spoiled_share);
                let (answers, spoiled) = detected.expect("the bad release is detected");
                assert!(spoiled < 25, "{spoiled} of {answers} at {baseline} and {spoiled_share}, seed {seed}");
            }
        }
    }

    good_release_is_not_judged_bad => {
        // 560 answers: a trial of 16 s at 35 answers a second.
        for baseline in [0.0, 0.02, 0.06, 0.25, 0.5] {
            let judged_bad: Vec<u64> = (0..20).filter(|seed| until_failing(*seed, 560, baseline, 0.0).is_some()).collect();
            assert!(judged_bad.is_empty(), "at {baseline}: seeds {judged_bad:?}");
        }
    }

    release_that_turns_bad_late_on_one_route_is_detected => {
        let mut trial = Trial::default();
        // One answer in ten is on the spoiled route; the release spoils it after 3,000 answers.
        for i in 0..4_000 {
            let is_spoiled = i % 10 == 0 && i > 3_000;
            let route = name(if i % 10 == 0 { "spoiled" } else { "fine" });
            trial.record(&route, 0.01, is_spoiled);
            if trial.verdict() == Some(true) {
                let (answers, bad) = trial.counts();
                assert!(bad < 10, "{bad} of {answers}");
                return;
            }
        }
        panic!("the bad release is not detected");
    }

    answer_is_bad_if_slow_but_not_if_its_target_just_started => {
        let usual = Some(Duration::from_millis(160));
        let is_bad = |millis| trial::is_bad(false, Duration::from_millis(millis), usual);
        assert_eq!([is_bad(160), is_bad(480), is_bad(1280)], [false, false, true]);
        assert!(trial::is_bad(true, Duration::ZERO, None));
        // Run times are in whole milliseconds, so the usual one may be 0.
        assert!(!trial::is_bad(false, Duration::from_millis(7), Some(Duration::ZERO)));
    }

    trial_lasts_until_there_is_a_verdict_and_the_deadline_is_near => {
        let next = |input: Input| judge::next_stage(&input).map(|(stage, _)| stage);
        assert_eq!(next(input(Stage::Ordered, 0, 0, 0)), Some(Stage::Trial));
        for age in [0, 5_000, 12_900] {
            assert_eq!(next(input(Stage::Trial, age, 2, 0)), None, "{age}");
            assert_eq!(next(input(Stage::Trial, age, 5, 2)), Some(Stage::RolledBack), "{age}");
            // One target may fail for a reason other than its release.
            assert_eq!(next(input(Stage::Trial, age, 0, 1)), None, "{age}");
        }
        assert_eq!(next(input(Stage::Trial, 13_000, 2, 0)), Some(Stage::Moving));
        assert_eq!(next(input(Stage::Trial, 13_000, 2, 1)), Some(Stage::Moving));
        assert_eq!(next(input(Stage::Trial, 13_000, 1, 1)), None);
        // Without evidence or enough slots, the release is rolled back at the deadline.
        assert_eq!(next(input(Stage::Trial, 15_200, 0, 0)), Some(Stage::RolledBack));
        let mut few_slots = input(Stage::Trial, 13_000, 2, 0);
        few_slots.targets.new_slots = 90;
        assert_eq!(next(few_slots), None);
        few_slots.age = Duration::from_millis(15_200);
        assert_eq!(next(few_slots), Some(Stage::RolledBack));
    }

    order_is_completed_when_nothing_runs_at_the_old_targets => {
        let next = |input: Input| judge::next_stage(&input).map(|(stage, _)| stage);
        assert_eq!(next(input(Stage::Moving, 14_900, 32, 0)), None);
        assert_eq!(next(input(Stage::Moving, 15_200, 32, 0)), Some(Stage::Completed));
        let just_moved = Input { in_stage: Duration::from_millis(300), ..input(Stage::Moving, 15_900, 32, 0) };
        assert_eq!(next(just_moved), None);
        assert_eq!(next(input(Stage::Moving, 14_000, 28, 4)), Some(Stage::RolledBack));
        for stage in [Stage::Completed, Stage::RolledBack] {
            assert_eq!(next(input(stage, 15_900, 0, 9)), None);
        }
    }

    final_stage_is_published_again_after_a_late_earlier_stage => {
        let rollouts = Rollouts::new(Some(0.1));
        let merge = |order, stage| rollouts.merge(rollout(order, stage), Duration::ZERO, Instant::now());
        assert!(merge(1, Stage::Moving) && !merge(1, Stage::Trial) && rollouts.due_for_republish().is_empty());
        assert!(merge(1, Stage::RolledBack));
        assert!(!merge(1, Stage::RolledBack) && rollouts.due_for_republish().is_empty());
        // A node that starts would read this last and take it for the latest stage.
        assert!(!merge(1, Stage::Moving));
        let stages: Vec<Stage> = rollouts.due_for_republish().iter().map(|r| r.stage).collect();
        assert_eq!(stages, [Stage::RolledBack]);
        assert!(rollouts.due_for_republish().is_empty(), "the list was cleared");
    }

    // Guards against a node that starts and takes an earlier stage for the latest one, because the
    // store executed the write of that stage after the one of a later stage.
    stage_that_the_store_has_replaced_by_an_earlier_one_is_published_again => {
        let rollouts = Rollouts::new(Some(0.1));
        rollouts.merge(rollout(2, Stage::Moving), Duration::ZERO, Instant::now());
        for stored in [rollout(2, Stage::Moving), rollout(2, Stage::Completed), rollout(3, Stage::Ordered)] {
            rollouts.note_stored(&stored);
        }
        assert!(rollouts.due_for_republish().is_empty(), "the store is up to date");
        for stored in [rollout(2, Stage::Trial), rollout(1, Stage::Completed)] {
            rollouts.note_stored(&stored);
            let stages: Vec<Stage> = rollouts.due_for_republish().iter().map(|r| r.stage).collect();
            assert_eq!(stages, [Stage::Moving]);
        }
    }

    subsets_depend_on_the_stage => {
        let rollouts = Rollouts::new(Some(0.1));
        let (table, service, now) = (table(8, 8), name("a"), Instant::now());
        let only = |version: &str| Some(Subset::Release(release(version)));
        rollouts.merge(rollout(1, Stage::Ordered), Duration::ZERO, now);
        assert_eq!(rollouts.subsets(&service, &table, true), [only("v1"), None]);
        rollouts.merge(rollout(1, Stage::Trial), Duration::ZERO, now);
        assert_eq!(rollouts.subsets(&service, &table, true), [only("v1"), None], "no arrivals yet");
        let old = &table.get(&"old0".parse().unwrap()).unwrap().targets[0];
        for _ in 0..40 {
            rollouts.record_attempt(Some(old), &service, true, None);
        }
        assert_eq!(rollouts.subsets(&service, &table, false)[0], only("v1"), "no retry at a target on trial");
        let [Some(Subset::Trial(nodes)), fallback] = rollouts.subsets(&service, &table, true) else {
            panic!("two of forty requests are for the trial");
        };
        assert_eq!((nodes.len(), fallback), (2, only("v1")));
        rollouts.merge(rollout(1, Stage::Moving), Duration::ZERO, now);
        assert_eq!(rollouts.subsets(&service, &table, true), [only("v2"), only("v1")]);
        rollouts.merge(rollout(1, Stage::Completed), Duration::ZERO, now);
        assert_eq!(rollouts.subsets(&service, &table, true), [only("v2"), None]);
    }

    answers_count_only_while_the_release_is_on_trial => {
        let rollouts = Rollouts::new(Some(0.1));
        let table = table(1, 1);
        let target = &table.get(&"new0".parse().unwrap()).unwrap().targets[0];
        let route = name("r");
        let answer = Answer { route: &route, is_fault: true, run_time: Duration::ZERO, usual_run_time: None };
        let assess = || (0..30).find_map(|_| rollouts.assess(target, &answer, 0.0));
        assert!(assess().is_none());
        rollouts.merge(rollout(1, Stage::Trial), Duration::ZERO, Instant::now());
        let (verdict, (answers, bad)) = assess().expect("the target is failing");
        assert!(verdict.is_failing && verdict.order == 1);
        assert!(answers == bad && bad < 10, "{bad} of {answers}");
    }

    main_release_is_that_of_most_present_targets => {
        let mut table = table(3, 2);
        let service = name("a");
        assert_eq!(table.most_common_release(&service, None), Some(&release("v1")));
        assert_eq!(table.most_common_release(&service, Some(&release("v1"))), Some(&release("v2")));
        for i in 0..2 {
            table.merge(Member { status: Status::Gone, ..member(&format!("old{i}"), "v1", 2) });
        }
        assert_eq!(table.most_common_release(&service, None), Some(&release("v2")));
        table.forget(&"old2".parse().unwrap());
        assert!(!table.has_several_releases(&service));
    }
}
