//! The loads that nodes report to each other, and what they imply for a request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use parking_lot::Mutex;
use rilltrack::{
    coordination::{
        self,
        decision::{
            balance::Balancer,
            load_report::{Board, Drain, MAX_AGE, NoRoom, Room},
            queue::{Arrival, MIN_RETRY_AFTER, Queue},
        },
        interface::PeerRequest,
        load_report::{self, Exchange, Intake, View},
        memory::Memory,
    },
    id::{Incarnation, Name, Node},
    protocol::{
        dialect::{Load, Slowness},
        load_report::{Entry, Id, Message, Queued, Reply, State},
    },
    state::{
        member::{Member, Status, Target},
        priority::Priority,
        routing::{self, Limits},
        selector::Labels,
        team::{Team, Teams},
    },
    unit::Size,
};
use tokio::io::AsyncReadExt;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a member in failure domain `d-0`, `d-1` or `d-2` with a target of service `a`.
fn member(number: usize) -> Arc<Member> {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Arc::new(Member {
        node: format!("host-{number:03}").parse().unwrap(),
        incarnation: Incarnation(1_791_758_000_000_000 + number as u64),
        sequence: 1,
        generation: Default::default(),
        status: Status::Alive,
        domain: format!("d-{}", number % 3).parse().unwrap(),
        peers: address,
        inbound: address,
        labels: Labels::new(),
        targets: vec![Target {
            service: service(),
            address,
            http2: false,
            draining: false,
            slots: 6,
            instance: format!("i-{number}@1791758000000").as_str().into(),
            release: None,
            verdict: None,
        }],
        bandwidth: 0,
        evidence: Default::default(),
    })
}

fn service() -> Name {
    "a".parse().unwrap()
}

/// Returns a full target's state: 6 slots of 120 ms, a free one each 20 ms, and `waiting`
/// requests of priority 1 that are due within 400 ms.
fn full(waiting: u32) -> State {
    State {
        running: 6,
        waiting,
        slots: 6,
        turnover_micros: 20_000,
        slowdown: 100,
        queue: vec![Queued {
            priority: Priority::of_route(1),
            waiting,
            late: 0,
            first_due: 10,
            last_due: 39,
        }],
        slowness: None,
    }
}

fn entry(member: &Member, sequence: u64, state: State) -> Entry {
    Entry {
        id: Id::of(member, &member.targets[0]),
        sequence,
        age: 0,
        state,
    }
}

/// Returns a request of priority 1 that usually runs 120 ms and is due in 400 ms.
fn arrival(now: Instant) -> Arrival {
    Arrival {
        priority: Priority::of_route(1),
        due: now + millis(400),
        max_wait: millis(500),
        usual_run_time: Some(millis(120)),
        may_redirect: false,
    }
}

/// Returns a board on which `count` targets are full at `now`.
fn full_board(count: usize, now: Instant) -> (Board, Vec<Arc<Member>>) {
    let members: Vec<_> = (0..count).map(member).collect();
    let mut board = Board::default();
    for member in &members {
        assert!(board.record(member, &service(), entry(member, 1, full(12)), now, now));
    }
    (board, members)
}

fn no_room(board: &Board, members: &[Arc<Member>], now: Instant) -> Option<NoRoom> {
    let arrival = arrival(now);
    let rooms = members.iter();
    NoRoom::of(rooms.map(|member| board.room(member, &arrival, Drain::SinceReport, now)))
}

/// Defines each case as a test.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against asking one full target after the other.
    full_targets_have_no_room_and_the_shortest_wait_is_stated => {
        let now = Instant::now();
        let (board, members) = full_board(26, now);
        let found = no_room(&board, &members, now).unwrap();
        assert_eq!((found.full, found.oldest), (26, Duration::ZERO));
        // All 12 are due earlier. Behind them it waits 260 ms, and the slack of 280 ms allows half
        // of it. In 240 ms it would wait 20 ms, half of the slack that is left then.
        assert_eq!(found.wait, millis(240));
        assert_eq!(found.retry_after().duration(), millis(240));
        let soon = NoRoom { wait: millis(1), ..found };
        assert_eq!(soon.retry_after(), MIN_RETRY_AFTER);
    }

    // Guards against an unknown load being taken for a full or an empty target.
    unknown_load_is_neither_full_nor_empty => {
        let now = Instant::now();
        let (board, mut members) = full_board(25, now);
        members.push(member(25));
        assert_eq!(no_room(&board, &members, now), None, "one target is unknown");
        assert_eq!(no_room(&board, &[], now), None, "there is no target");
        let mut board = Board::default();
        board.observe(&members[0], Load { running: 6, waiting: 12, slots: 6 }, now);
        let room = board.room(&members[0], &arrival(now), Drain::None, now);
        assert_eq!(room, Room::Unknown, "a load without turnover was taken for a report");
    }

    // Guards against rejections that go on after the reports have stopped, also if a frozen
    // node or a first-ranked node that gets nothing new repeats its last figures.
    wrong_report_ends_within_600_ms_although_it_is_repeated => {
        let start = Instant::now();
        let (mut board, members) = full_board(3, start);
        let mut last_full = start;
        for step in 0..100 {
            let now = start + millis(10) * step;
            for member in &members {
                assert!(step == 0 || !board.record(member, &service(), entry(member, 1, full(12)), now, now));
            }
            let arrival = Arrival { max_wait: Duration::ZERO, ..arrival(now) };
            if matches!(board.room(&members[0], &arrival, Drain::None, now), Room::Full { .. }) {
                last_full = now;
            }
        }
        assert_eq!(last_full - start, MAX_AGE);
    }

    // Guards against a late message that replaces what is newer, and one that counts again.
    older_report_is_ignored => {
        let now = Instant::now();
        let (mut board, members) = full_board(1, now);
        let free = State { running: 0, waiting: 0, queue: vec![], ..full(0) };
        let newer = entry(&members[0], 2, free.clone());
        assert!(!board.record(&members[0], &service(), newer, now - millis(100), now));
        assert!(no_room(&board, &members, now).is_some());
        let newest = entry(&members[0], 3, free.clone());
        let now = now + millis(1);
        assert!(board.record(&members[0], &service(), newest, now, now));
        assert_eq!(no_room(&board, &members, now), None);
        let old = entry(&member(7), 1, full(12));
        assert!(!board.record(&member(7), &service(), old, now - millis(601), now));
    }

    // Guards against figures of an earlier process: the node or its target started again.
    report_of_an_earlier_process_is_unknown => {
        let now = Instant::now();
        let (board, members) = full_board(1, now);
        let restarted = Member { incarnation: Incarnation(2), ..Member::clone(&members[0]) };
        let mut replaced = Member::clone(&members[0]);
        replaced.targets[0].instance = "i-0@1791758000001".into();
        let moved = Member { sequence: 9, ..Member::clone(&members[0]) };
        for (member, is_known) in [(restarted, false), (replaced, false), (moved, true)] {
            assert_eq!(board.is_known(&member, now), is_known, "{member:?}");
        }
    }

    // Guards against a rejection although the queue may have been drained since the report, and
    // against further attempts that count on it.
    drain_since_the_report_counts_only_for_early_rejection => {
        let now = Instant::now();
        let (board, members) = full_board(1, now);
        let later = now + millis(130);
        let room = |drain| board.room(&members[0], &arrival(later), drain, later);
        assert_eq!(room(Drain::SinceReport), Room::Expected);
        assert!(matches!(room(Drain::None), Room::Full { age, .. } if age == millis(130)));
    }

    // Guards against rejecting calls made by runs behind requests that go after them.
    earlier_due_and_higher_priority_go_before_what_waits => {
        let now = Instant::now();
        let (board, members) = full_board(1, now);
        let room = |arrival: Arrival| board.room(&members[0], &arrival, Drain::None, now);
        let call = Arrival { due: now + millis(90), usual_run_time: Some(millis(30)), ..arrival(now) };
        assert_eq!(room(call), Room::Expected);
        assert_eq!(room(Arrival { priority: Priority::of_route(0), ..arrival(now) }), Room::Expected);
        assert!(matches!(room(arrival(now)), Room::Full { .. }));
        assert!(matches!(room(Arrival { priority: Priority::of_route(2), ..arrival(now) }), Room::Full { .. }));
    }

    // Guards against waiting 200 ms for a report of what a response has already told.
    load_in_a_response_counts_like_a_report => {
        let now = Instant::now();
        let (mut board, members) = full_board(1, now);
        board.observe(&members[0], Load { running: 5, waiting: 0, slots: 6 }, now);
        assert_eq!(no_room(&board, &members, now), None, "a slot is free");
        board.record(&members[0], &service(), entry(&members[0], 2, full(12)), now + millis(1), now + millis(1));
        let later = now + millis(500);
        board.observe(&members[0], Load { running: 6, waiting: 12, slots: 6 }, later);
        assert!(no_room(&board, &members, later + millis(1)).is_some());
        // The report of 1 ms counts until 601 ms, whatever responses say of the load since.
        assert!(board.is_known(&members[0], now + millis(601)));
        board.observe(&members[0], Load { running: 6, waiting: 12, slots: 6 }, now + millis(601));
        let expired = now + millis(602);
        assert!(!board.is_known(&members[0], expired));
        assert!(board.entries(|_, _| true, expired).is_empty());
        let room = board.room(&members[0], &arrival(expired), Drain::None, expired);
        assert_eq!(room, Room::Unknown);
        board.observe(&members[0], Load { running: 6, waiting: 12, slots: 6 }, expired);
        assert!(!board.is_known(&members[0], expired), "a response renewed an expired report");
    }

    // Guards against a late message of a node's earlier process that replaces what is known of
    // the current one.
    older_report_of_another_process_is_ignored => {
        let now = Instant::now();
        let (mut board, members) = full_board(1, now);
        let before = Arc::new(Member { incarnation: Incarnation(2), ..Member::clone(&members[0]) });
        let old = entry(&before, 9, full(0));
        assert!(!board.record(&before, &service(), old.clone(), now - millis(1), now));
        assert!(board.is_known(&members[0], now));
        assert!(board.record(&before, &service(), old, now + millis(1), now + millis(1)));
        assert!(board.is_known(&before, now + millis(1)));
    }

    // Guards against a wrong high sequence number that makes a target unknown for ever, also
    // while responses tell its load.
    wrong_sequence_blocks_reports_until_its_entry_has_expired => {
        let now = Instant::now();
        let (mut board, members) = full_board(1, now);
        let record = |board: &mut Board, sequence, at| {
            board.record(&members[0], &service(), entry(&members[0], sequence, full(12)), at, at)
        };
        assert!(record(&mut board, u64::MAX, now + millis(1)));
        board.observe(&members[0], Load { running: 6, waiting: 12, slots: 6 }, now + millis(500));
        assert!(!record(&mut board, 2, now + millis(601)));
        assert!(record(&mut board, 3, now + millis(602)));
        assert!(board.is_known(&members[0], now + millis(602)));
        assert!(!record(&mut board, 3, now + millis(1_300)), "a repetition counted");
    }

    // Guards against a target that starts again under its id and is taken for the earlier one.
    target_that_starts_again_has_another_id => {
        let before = member(0);
        let mut after = Member::clone(&before);
        after.targets[0].instance = "i-0@1791758000001".into();
        let id = |member: &Member| Id::of(member, &member.targets[0]);
        assert_ne!(id(&before), id(&after));
        assert_eq!(id(&before), id(&member(0)));
    }

    // Guards against asking targets that state that they are too slow, and against an early
    // rejection by a statement that no longer holds.
    stated_slowness_counts_for_further_attempts_and_never_for_early_rejection => {
        let now = Instant::now();
        let member = member(0);
        // Behind 3, it waits 80 ms; after a run of 120 ms of 400 ms, 140 ms are allowed.
        let queued = Queued { waiting: 3, ..full(12).queue[0] };
        let is_full = |slowness: u16, slowdown: u16, drain| {
            let state = State { slowness: Some(slowness), slowdown, queue: vec![queued], ..full(3) };
            let mut board = Board::default();
            board.record(&member, &service(), entry(&member, 1, state), now, now);
            let arrival = Arrival { max_wait: millis(80), ..arrival(now) };
            matches!(board.room(&member, &arrival, drain, now), Room::Full { .. })
        };
        assert!(!is_full(100, 100, Drain::None) && !is_full(100, 100, Drain::SinceReport));
        // A run of 300 ms leaves 100 ms, half of which is less than 80 ms.
        assert!(is_full(250, 100, Drain::None) && !is_full(250, 100, Drain::SinceReport));
        // By the learned slowdown it is full, and by a machine of twice the speed it isn't.
        assert!(is_full(100, 250, Drain::None) && is_full(100, 250, Drain::SinceReport));
        assert!(!is_full(50, 250, Drain::None) && !is_full(50, 250, Drain::SinceReport));
    }

    // Guards against an early rejection behind requests that may go after the rejected one.
    early_rejection_counts_only_what_certainly_goes_first => {
        let now = Instant::now();
        let member = member(0);
        let is_full = |late, due, drain| {
            let mut state = full(12);
            state.queue[0].late = late;
            let mut board = Board::default();
            board.record(&member, &service(), entry(&member, 1, state), now, now);
            let arrival = Arrival { due: now + millis(due), ..arrival(now) };
            matches!(board.room(&member, &arrival, drain, now), Room::Full { .. })
        };
        assert!(is_full(0, 400, Drain::SinceReport) && is_full(0, 400, Drain::None));
        // One of those that wait may be due at 399 ms.
        assert!(!is_full(0, 399, Drain::SinceReport) && is_full(0, 399, Drain::None));
        // Late requests go after it, or may if it is late, too.
        assert!(!is_full(12, 400, Drain::SinceReport));
        assert!(!is_full(12, 50, Drain::SinceReport) && is_full(12, 50, Drain::None));
        assert!(is_full(0, 50, Drain::SinceReport), "late behind 12 that aren't");
    }

    // Guards against an answer whose size the asking node decides.
    services_beyond_the_most_are_left_out_and_logged => {
        let now = Instant::now();
        let (intake, taken) = intake(2);
        intake.receive(message(vec![entry(&member(0), 1, full(3))]), now);
        let services = |count: usize| {
            let others = (0..count).map(|number| format!("s-{number}").parse().unwrap());
            Message { wanted: others.chain([service()]).collect(), ..message(vec![]) }
        };
        assert_eq!(intake.receive(services(31), now).entries.len(), 1);
        assert!(taken.unusable.lock().is_empty());
        assert!(intake.receive(services(32), now).entries.is_empty());
        assert_eq!(*taken.unusable.lock(), [(1, "the number of services".to_owned())]);
    }

    // Guards against a prediction that is stricter than the gate.
    what_the_gate_would_admit_is_never_reported_full => {
        let mut random = fastrand::Rng::with_seed(11);
        let start = Instant::now();
        let (mut refused, mut full) = (0, 0);
        for _ in 0..2_000 {
            let mut queue = Queue::default();
            queue.set_slots(random.u32(1..10));
            let mut draw = |due: u64| Arrival {
                priority: Priority::of_route(random.u8(0..4)),
                due: start + millis(due),
                max_wait: millis(random.u64(0..600)),
                usual_run_time: random.bool().then(|| millis(random.u64(1..300))),
                may_redirect: false,
            };
            for number in 0..30 {
                // All of one due time, so that the order among them is known.
                let arrival = draw(350);
                let _ = queue.admit(&arrival, number, start);
            }
            let member = member(1);
            let mut board = Board::default();
            board.record(&member, &service(), entry(&member, 1, queue.state(start)), start, start);
            for due in [0, 100, 340, 370, 500, 2_000] {
                let arrival = draw(due);
                let is_full = matches!(board.room(&member, &arrival, Drain::None, start), Room::Full { .. });
                let is_refused = !queue.may_admit(&arrival, start);
                assert!(!is_full || is_refused, "{arrival:?} {:?}", queue.state(start));
                refused += u32::from(is_refused);
                full += u32::from(is_full);
            }
        }
        assert!(full * 10 >= refused * 9, "{full} of {refused} refused requests are foreseen");
    }

    // Guards against messages that cost more than docs/CAPACITY.md says.
    report_and_reply_for_26_targets_have_the_stated_size => {
        let now = Instant::now();
        let (board, members) = full_board(26, now);
        let later = now + millis(150);
        let report = Message {
            from: members[0].node.clone(),
            is_domain: false,
            wanted: vec!["listings".parse().unwrap(), "payments".parse().unwrap()],
            entries: board.entries(|of, _| of.node == members[0].node, later),
        };
        let reply = Reply { entries: board.entries(|_, _| true, later) };
        let sizes = [rmp_serde::to_vec(&report).unwrap().len(), rmp_serde::to_vec(&reply).unwrap().len()];
        println!("report {} bytes, reply for 26 targets {} bytes", sizes[0], sizes[1]);
        assert!(sizes[0] <= 64 && sizes[1] <= 26 * 30, "{sizes:?}");
        let decoded: Reply = rmp_serde::from_slice(&rmp_serde::to_vec(&reply).unwrap()).unwrap();
        assert_eq!(decoded, reply);
        assert_eq!(reply.entries[0].age, 150);
    }

    // Guards against an answer that grows with the fleet.
    reply_has_the_256_freshest_of_the_wanted_services => {
        let now = Instant::now();
        let (mut board, members) = full_board(300, now);
        for member in &members[..100] {
            let at = now + millis(100);
            board.record(member, &service(), entry(member, 2, full(12)), at, at);
        }
        let entries = board.entries(|_, of| *of == service(), now + millis(200));
        assert_eq!(entries.len(), 256);
        assert_eq!(entries.iter().filter(|entry| entry.age == 100).count(), 100);
        assert!(board.entries(|_, of| of.as_str() == "b", now).is_empty());
        board.note_sent(&service(), now);
        assert_eq!(board.wanted(now + Duration::from_secs(10)), [service()]);
        assert!(board.wanted(now + Duration::from_secs(11)).is_empty());
    }
}

/// What an intake handed on.
#[derive(Default)]
struct Taken {
    loads: Mutex<Vec<(Node, Load)>>,
    slowness: Mutex<Vec<(Option<Slowness>, Instant)>>,
    unusable: Mutex<Vec<(usize, String)>>,
}

/// Returns an intake for a node that knows `count` members.
fn intake(count: usize) -> (Arc<Intake>, Arc<Taken>) {
    let taken = Arc::new(Taken::default());
    let (loading, noting) = (taken.clone(), taken.clone());
    let intake = Intake {
        reports: Arc::default(),
        members: Arc::new(move || (0..count).map(member).collect()),
        on_loads: Arc::new(move |loads| {
            let slowness = loads.iter().map(|taken| (taken.slowness, taken.at));
            loading.slowness.lock().extend(slowness);
            let loads = loads
                .into_iter()
                .map(|taken| (taken.member.node.clone(), taken.load));
            loading.loads.lock().extend(loads);
        }),
        on_unusable: Arc::new(move |_, count, why| {
            noting.unusable.lock().push((count, why.into()))
        }),
    };
    (Arc::new(intake), taken)
}

fn message(entries: Vec<Entry>) -> Message {
    Message {
        from: "host-001".parse().unwrap(),
        is_domain: false,
        wanted: vec![service()],
        entries,
    }
}

/// Each case: a change that brings an entry out of its bounds, and whether that is logged.
macro_rules! dropped {
    ($($name:ident: $change:expr => $is_logged:expr;)*) => {
        $(#[test] fn $name() {
            let now = Instant::now() + Duration::from_secs(100);
            let (intake, taken) = intake(2);
            let mut bad = entry(&member(0), 1, full(12));
            let change: fn(&mut Entry) = $change;
            change(&mut bad);
            let good = entry(&member(1), 1, full(3));
            for _ in 0..3 {
                intake.receive(message(vec![bad.clone(), good.clone()]), now);
            }
            assert!(taken.loads.lock().iter().all(|(node, _)| node.as_str() == "host-001"));
            assert_eq!(taken.loads.lock().len(), 1, "the other entry counts, and once");
            assert_eq!(taken.unusable.lock().len(), usize::from($is_logged), "log lines in a second");
        })*
    };
}

// Guard against figures that would make a target look empty or full for long.
dropped! {
    entry_with_a_billion_slots_is_dropped: |bad| bad.state.slots = 1_000_000_000 => true;
    entry_without_slots_is_dropped: |bad| bad.state.slots = 0 => true;
    entry_with_too_many_running_is_dropped: |bad| bad.state.running = 10_001 => true;
    entry_with_too_many_waiting_is_dropped: |bad| bad.state.waiting = 20_001 => true;
    entry_whose_queue_is_longer_than_it_says_is_dropped: |bad| bad.state.queue[0].waiting = 13 => true;
    entry_whose_queue_overflows_is_dropped: |bad| {
        bad.state.queue = vec![Queued { waiting: u32::MAX, ..bad.state.queue[0] }; 2];
    } => true;
    entry_with_nine_priorities_is_dropped: |bad| {
        bad.state.queue = vec![Queued { waiting: 1, ..bad.state.queue[0] }; 9];
    } => true;
    entry_without_turnover_is_dropped: |bad| bad.state.turnover_micros = 0 => true;
    entry_with_a_turnover_of_an_hour_is_dropped: |bad| bad.state.turnover_micros = 3_600_000_000 => true;
    entry_with_an_extreme_slowdown_is_dropped: |bad| bad.state.slowdown = 1_000 => true;
    entry_with_an_extreme_slowness_is_dropped: |bad| bad.state.slowness = Some(10) => true;
    entry_from_the_future_is_dropped: |bad| bad.age = -1 => true;
    entry_that_is_far_too_old_is_dropped: |bad| bad.age = 3_600_000 => false;
    entry_of_the_first_age_is_dropped: |bad| bad.age = i64::MAX => false;
    entry_of_an_unknown_target_is_dropped: |bad| bad.id = Id(7) => false;
}

/// Returns the first messages that an exchange sends, each with the addressee's port, and the nodes
/// that it found silent. If it sends nothing, it is given half a second: it sends its first
/// message at once.
async fn sent(
    most: usize,
    setting: Option<bool>,
    routes: routing::Table,
    view: impl Fn() -> (Option<u16>, Vec<u16>) + Send + Sync + 'static,
    answers: impl Fn(u16) -> bool + Send + Sync + 'static,
) -> (Vec<(u16, Message)>, Vec<Node>) {
    sent_after(vec![], most, setting, routes, view, answers).await
}

/// The port of a node that never answers, not even with an error.
const HANGING: u16 = 9;

/// As [`sent`], for a node that received a report with `entries` before.
async fn sent_after(
    entries: Vec<Entry>,
    most: usize,
    setting: Option<bool>,
    routes: routing::Table,
    view: impl Fn() -> (Option<u16>, Vec<u16>) + Send + Sync + 'static,
    answers: impl Fn(u16) -> bool + Send + Sync + 'static,
) -> (Vec<(u16, Message)>, Vec<Node>) {
    let address = |port: u16| {
        let node: Node = format!("host-{port:03}").parse().unwrap();
        (node, SocketAddr::from(([127, 0, 0, 1], port)))
    };
    let routes = Arc::new(routes);
    let (intake, _) = intake(4);
    intake.receive(message(entries), Instant::now());
    let sent: Arc<Mutex<Vec<(u16, Message)>>> = Arc::default();
    let silent: Arc<Mutex<Vec<Node>>> = Arc::default();
    let (sending, noting) = (sent.clone(), silent.clone());
    let exchange = Exchange {
        node: "host-000".parse().unwrap(),
        domain: "d-0".parse().unwrap(),
        setting,
        intake,
        view: Arc::new(move || {
            let (first, others) = view();
            View {
                routes: Some(routes.clone()),
                first: first.map(address),
                others: others.into_iter().map(address).collect(),
            }
        }),
        own: Arc::new(|| Some((member(0), full(3)))),
        states_slowness: Arc::new(|| false),
        call_peer: Arc::new(move |to, request| {
            let PeerRequest::Loads(message) = request else {
                unreachable!("only loads are reported");
            };
            sending.lock().push((to.port(), message));
            let reply = rmp_serde::to_vec(&Reply::default()).unwrap();
            let result = match answers(to.port()) {
                true => Ok(reply.into()),
                false => Err(coordination::Error::NoAnswer(to.to_string())),
            };
            async move {
                if to.port() == HANGING {
                    std::future::pending::<()>().await;
                }
                result
            }
            .boxed()
        }),
        on_silent: Arc::new(move |node| noting.lock().push(node.clone())),
    };
    let (reports, counted) = (exchange.intake.reports.clone(), sent.clone());
    let end = async {
        let start = Instant::now();
        let is_over = || match counted.lock().len() {
            0 => start.elapsed() > millis(500),
            count => count >= most || start.elapsed() > Duration::from_secs(60),
        };
        while !is_over() {
            tokio::time::sleep(millis(10)).await;
            reports.changed.notify_one();
        }
    };
    tokio::select! {
        _ = load_report::run(exchange) => {}
        _ = end => {}
    }
    (Mutex::lock(&sent).clone(), Mutex::lock(&silent).clone())
}

/// Returns a version with one team.
fn version(priority: Option<u8>) -> routing::Table {
    let team = Team {
        name: "fares".parse().unwrap(),
        keys: vec![],
        priority,
        limit: None,
        regions: None,
        unsupported: vec![],
    };
    let mut table =
        routing::Table::new(3, vec![], vec![service().into()], Limits::default()).unwrap();
    table.teams = Teams::new([team]).unwrap();
    table
}

/// Each case: the setting, a team's priority, and whether loads are reported.
macro_rules! called_for {
    ($($name:ident: $setting:expr, $priority:expr => $is_sent:expr;)*) => {
        $(#[tokio::test] async fn $name() {
            let (sent, _) = sent(1, $setting, version($priority), || (Some(1), vec![]), |_| true).await;
            assert_eq!(!sent.is_empty(), $is_sent, "{} messages", sent.len());
            assert!(sent.iter().all(|(_, message)| message.entries.len() == 1));
        })*
    };
}

// Guard against traffic in deployments that don't call for the exchange, and against none in
// those that do.
called_for! {
    nothing_is_sent_where_nothing_calls_for_it: None, None => false;
    nothing_is_sent_where_the_setting_disables_it: Some(false), Some(1) => false;
    loads_are_sent_where_a_team_has_a_priority: None, Some(1) => true;
    loads_are_sent_where_the_setting_says_so: Some(true), None => true;
}

// Guards against a domain without reports after its first-ranked node has died.
#[tokio::test]
async fn silent_first_ranked_node_is_replaced_by_the_next() {
    let is_dead = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let asked = is_dead.clone();
    let view = move || match asked.load(std::sync::atomic::Ordering::SeqCst) {
        true => (Some(2), vec![]),
        false => (Some(1), vec![]),
    };
    // The view of the host leaves out the node that `on_silent` was called with. Here it does
    // once the first message has gone unanswered.
    let answers = move |port| {
        is_dead.store(true, std::sync::atomic::Ordering::SeqCst);
        port == 2
    };
    let (sent, silent) = sent(4, Some(true), version(None), view, answers).await;
    assert_eq!(silent.len(), 1);
    assert_eq!(silent[0].as_str(), "host-001");
    let later = sent.iter().filter(|(port, _)| *port == 2).count();
    assert_eq!((sent[0].0, later), (1, sent.len() - 1));
    assert!(later >= 3, "{later} reports to the next node");
}

// Guards against a partition that stops the reports of a domain, or of domains that are left.
#[tokio::test]
async fn first_ranked_node_reports_on_to_the_domains_that_it_reaches() {
    let (sent, silent) = sent(
        10,
        Some(true),
        version(None),
        || (None, vec![1, 2]),
        |port| port == 2,
    )
    .await;
    let to = |port| sent.iter().filter(|(to, _)| *to == port).count();
    assert!(to(2) >= 5, "{} messages", to(2));
    assert_eq!(silent.len(), to(1));
    for (_, message) in &sent {
        assert!(message.is_domain && message.entries.len() == 1);
    }
}

// Guards against message heads that cost more than docs/CAPACITY.md says.
#[tokio::test]
async fn request_of_a_report_has_the_stated_size() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let report = message(vec![entry(&member(1), 1, full(12))]);
    let body = rmp_serde::to_vec(&report).unwrap().len();
    let call = rilltrack::transport::relay::control::call_peer(Memory::new(
        Size::from_bytes(1 << 20),
        |_| {},
    ));
    let sending = tokio::spawn(call(address, PeerRequest::Loads(report)));
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
        stream.read_buf(&mut bytes).await.unwrap();
    }
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 4;
    println!(
        "head {head} bytes, body {body} bytes: {}",
        String::from_utf8_lossy(&bytes[..head])
    );
    assert!(head <= 80, "{head}");
    sending.abort();
}

// Guards against a balancer that takes the targets which it doesn't ask for empty.
#[test]
fn reports_feed_the_choice_of_targets() {
    let now = Instant::now();
    let (intake, taken) = intake(3);
    let entries = (0..3).map(|number| entry(&member(number), 1, full(2)));
    let reply = intake.receive(message(entries.collect()), now);
    assert_eq!(taken.loads.lock().len(), 3);
    assert_eq!(reply.entries.len(), 2, "all but the asking node's own");
    let mut domain = message(vec![]);
    domain.is_domain = true;
    assert!(intake.receive(domain, now).entries.is_empty());
    let mut balancer = Balancer::default();
    for (node, load) in taken.loads.lock().iter() {
        let number: usize = node.as_str()["host-".len()..].parse().unwrap();
        balancer.record_load(&member(number), *load, now, now);
    }
}

// Guards against a stated slowness that is lost on the way to target selection, or that counts
// from the arrival of its report instead of from when it was stated.
#[test]
fn stated_slowness_is_handed_on_with_its_time() {
    let now = Instant::now() + Duration::from_secs(100);
    let (intake, taken) = intake(2);
    let slow = State {
        slowness: Some(250),
        ..full(3)
    };
    let entries = vec![
        Entry {
            age: 120,
            ..entry(&member(0), 1, slow.clone())
        },
        entry(&member(1), 1, full(3)),
    ];
    intake.receive(message(entries), now);
    let expected = [
        (Some(Slowness::from_hundredths(250)), now - millis(120)),
        (None, now),
    ];
    assert_eq!(*taken.slowness.lock(), expected);
    let reply = Reply {
        entries: vec![entry(&member(0), 1, slow)],
    };
    let decoded: Reply = rmp_serde::from_slice(&rmp_serde::to_vec(&reply).unwrap()).unwrap();
    assert_eq!(decoded, reply);
}

// Guards against a silent domain that delays the reports to the others, whose entries expire.
#[tokio::test]
async fn domain_that_does_not_answer_delays_no_report_to_the_others() {
    let (sent, silent) = sent(
        6,
        Some(true),
        version(None),
        || (None, vec![HANGING, 2]),
        |_| true,
    )
    .await;
    let to = |port| sent.iter().filter(|(to, _)| *to == port).count();
    assert_eq!((to(HANGING), to(2)), (1, 5));
    assert!(silent.is_empty());
}

// Guards against nodes that keep each other enabled after the reason has ended: all but the
// first-ranked one receive the loads of others only as answers to their own reports.
#[tokio::test]
async fn only_the_first_ranked_node_goes_on_because_others_report() {
    let reported = || vec![entry(&member(3), 1, full(3))];
    let (as_member, _) = sent_after(
        reported(),
        1,
        None,
        version(None),
        || (Some(1), vec![]),
        |_| true,
    )
    .await;
    assert!(as_member.is_empty(), "{as_member:?}");
    let (as_first, _) = sent_after(
        reported(),
        1,
        None,
        version(None),
        || (None, vec![2]),
        |_| true,
    )
    .await;
    assert_eq!(as_first.len(), 1);
}

// Guards against responses that wake the exchange although the setting disables it.
#[tokio::test]
async fn disabled_exchange_ends_and_is_not_woken() {
    let (intake, _) = intake(1);
    let reports = intake.reports.clone();
    load_report::run(Exchange {
        node: "host-000".parse().unwrap(),
        domain: "d-0".parse().unwrap(),
        setting: Some(false),
        intake,
        view: Arc::new(|| unreachable!("nothing is reported")),
        own: Arc::new(|| None),
        states_slowness: Arc::new(|| true),
        call_peer: Arc::new(|_, _| unreachable!("nothing is sent")),
        on_silent: Arc::new(|_| {}),
    })
    .await;
    reports.enable_soon();
    assert!(reports.changed.notified().now_or_never().is_none());
}
