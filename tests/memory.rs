//! The memory for messages that are not whole: what is given up, what is refused, and that nothing is
//! lost or given back twice.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use parking_lot::Mutex;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rilltrack::{
    coordination::{
        decision::memory::{Account, Id, Verdict},
        memory::{Change, Memory},
    },
    unit::Size,
};

const MIB: u64 = 1 << 20;

/// A crowd that fills an account in virtual time.
struct Crowd {
    account: Account,
    now: Instant,
}

impl Crowd {
    fn new(limit: u64) -> Self {
        Self {
            account: Account::new(Size::from_bytes(limit)),
            now: Instant::now(),
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Adds a message of which `bytes` were received.
    fn add(&mut self, bytes: u64) -> (Id, Verdict) {
        let id = self.account.open(true, self.now);
        (id, self.account.grow(id, bytes, self.now))
    }

    /// Adds messages of `bytes` until one is refused; returns them.
    fn fill(&mut self, bytes: u64) -> Vec<Id> {
        let mut ids = Vec::new();
        loop {
            match self.add(bytes) {
                (id, Verdict::Store(_)) => ids.push(id),
                (id, Verdict::Refuse) => {
                    self.account.close(id);
                    return ids;
                }
            }
        }
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against large bodies that keep ordinary requests out.
    short_message_finds_memory_beside_large_ones_that_advance => {
        let mut crowd = Crowd::new(16 * MIB);
        crowd.fill(500_000);
        for _ in 0..200 {
            assert_eq!(crowd.add(300).1, Verdict::Store(vec![]));
        }
    }

    // Guards against a client that never ends its body and holds the memory as long as it stays.
    message_that_stands_still_longest_makes_room => {
        let mut crowd = Crowd::new(16 * MIB);
        let (first, _) = crowd.add(500_000);
        crowd.wait(1);
        crowd.fill(500_000);
        assert_eq!(crowd.add(500_000).1, Verdict::Refuse, "none stands still yet");
        crowd.wait(600);
        let held = crowd.account.held();
        assert_eq!(crowd.add(500_000).1, Verdict::Store(vec![first]));
        assert_eq!(crowd.account.held(), held);
    }

    message_that_advances_is_kept => {
        let mut crowd = Crowd::new(16 * MIB);
        let ids = crowd.fill(400_000);
        for _ in 0..6 {
            crowd.wait(300);
            assert_eq!(crowd.account.grow(ids[0], 2000, crowd.now), Verdict::Store(vec![]));
        }
        let (_, verdict) = crowd.add(400_000);
        assert_eq!(verdict, Verdict::Store(vec![ids[1]]));
    }

    // Guards against a client that sends a byte now and then.
    message_that_grows_by_single_bytes_stands_still => {
        let mut crowd = Crowd::new(16 * MIB);
        let ids = crowd.fill(400_000);
        for _ in 0..6 {
            crowd.wait(100);
            assert_eq!(crowd.account.grow(ids[0], 1, crowd.now), Verdict::Store(vec![]));
        }
        assert_eq!(crowd.add(400_000).1, Verdict::Store(vec![ids[0]]));
    }

    whole_message_is_not_given_up => {
        let mut crowd = Crowd::new(16 * MIB);
        let ids = crowd.fill(500_000);
        ids.iter().for_each(|id| crowd.account.complete(*id));
        crowd.wait(60_000);
        assert_eq!(crowd.add(500_000).1, Verdict::Refuse);
        crowd.account.close(ids[0]);
        assert_eq!(crowd.add(500_000).1, Verdict::Store(vec![]));
    }

    message_that_was_given_up_gets_no_more => {
        let mut crowd = Crowd::new(16 * MIB);
        let ids = crowd.fill(500_000);
        crowd.wait(600);
        let given_up = crowd.add(500_000).1;
        assert_eq!(given_up, Verdict::Store(vec![ids[0]]));
        let held = crowd.account.held();
        assert_eq!(crowd.account.grow(ids[0], 1, crowd.now), Verdict::Refuse);
        crowd.account.close(ids[0]);
        assert_eq!(crowd.account.held(), held, "it is not given back twice");
    }

    // Guards against a log line for each message of a crowd.
    shortage_is_reported_once_until_it_has_ended => {
        let changes = Arc::new(Mutex::new(Vec::new()));
        let noted = changes.clone();
        let memory = Memory::new(Size::from_bytes(MIB), move |change| noted.lock().push(change));
        let holds: Vec<_> = (0..3).map(|_| memory.open()).collect();
        holds[0].grow(700_000).unwrap();
        assert!(holds[1].grow(700_000).is_err() && holds[2].grow(700_000).is_err());
        drop(holds);
        let expected = [Change::Filled, Change::Refused, Change::Refused, Change::Freed];
        assert_eq!(changes.lock()[..], expected);
        assert!(memory.is_peak_over() && !memory.is_peak_over());
    }
}

#[tokio::test]
async fn task_is_told_that_its_message_was_given_up() {
    let memory = Memory::new(Size::from_bytes(MIB), |_| {});
    let (first, second) = (memory.open(), memory.open());
    first.grow(700_000).unwrap();
    assert!(first.given_up().now_or_never().is_none());
    tokio::time::sleep(Duration::from_millis(600)).await;
    second.grow(700_000).unwrap();
    first.given_up().await;
    assert!(first.grow(1).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(usize, u64),
    Complete(usize),
    Close(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Open),
        6 => (0..40usize, 0..300_000u64).prop_map(|(i, bytes)| Step::Grow(i, bytes)),
        1 => (0..40usize).prop_map(Step::Complete),
        2 => (0..40usize).prop_map(Step::Close),
        2 => (0..900u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against bytes that are given back twice, or never.
    #[test]
    fn held_is_the_sum_of_the_messages(steps in vec(step(), 1..200)) {
        let mut crowd = Crowd::new(MIB);
        let mut ids = Vec::new();
        let mut expected: BTreeMap<Id, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Open => ids.push(crowd.account.open(true, crowd.now)),
                Step::Grow(i, bytes) if i < ids.len() => {
                    if let Verdict::Store(gone) = crowd.account.grow(ids[i], bytes, crowd.now) {
                        prop_assert!(!gone.contains(&ids[i]));
                        gone.iter().for_each(|id| { expected.remove(id); });
                        *expected.entry(ids[i]).or_default() += bytes;
                    }
                }
                Step::Complete(i) if i < ids.len() => crowd.account.complete(ids[i]),
                Step::Close(i) if i < ids.len() => {
                    crowd.account.close(ids[i]);
                    expected.remove(&ids[i]);
                }
                Step::Wait(millis) => crowd.wait(millis),
                Step::Grow(..) | Step::Complete(_) | Step::Close(_) => {}
            }
            prop_assert_eq!(crowd.account.held().as_bytes(), expected.values().sum::<u64>());
            prop_assert!(crowd.account.held() <= crowd.account.limit());
        }
    }
}
