//! Tests of the state machine, selectors, views and snapshots. Some compare them with the
//! naive implementation, over random changes with a fixed seed.

mod naive;

use std::sync::Arc;

use bytes::Bytes;
use proptest::{
    collection::{btree_map, btree_set, vec},
    option,
    prelude::*,
    test_runner::RngSeed,
};
use rilltrack::{
    coordination::idempotency,
    document::Document,
    files::Files,
    id::Name,
    protocol::{
        log::Part,
        wire::{self, Frame, Reply},
    },
    state::{
        change::{Change, Entry, Op, Restore},
        machine::{Machine, Verdict, WINDOW},
        region::Distance,
        resource::{Boundary, Class, Domain, Key, Kind, Policy, Repeat, Resource, Route, Service},
        selector::{Expression, Labels, Operator, Selector},
        version::Version,
        view::{self, Proxy, View},
    },
    unit::{Percent, Size, Span},
};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name(prefix: &'static str, count: usize) -> impl Strategy<Value = Name> {
    (0..count).prop_map(move |i| format!("{prefix}{i}").parse().unwrap())
}

fn labels() -> impl Strategy<Value = Labels> {
    btree_map("[ab]", "[xy]", 0..3)
}

fn expression() -> impl Strategy<Value = Expression> {
    let operator = prop_oneof![
        Just(Operator::In),
        Just(Operator::NotIn),
        Just(Operator::Exists),
        Just(Operator::DoesNotExist)
    ];
    ("[ab]", operator, btree_set("[xy]", 0..3)).prop_map(|(key, operator, values)| Expression {
        key,
        operator,
        values,
    })
}

fn selector() -> impl Strategy<Value = Selector> {
    prop_oneof![
        2 => Just(Selector::everything()),
        3 => (labels(), vec(expression(), 0..2)).prop_map(|(match_labels, match_expressions)| Selector {
            all: false,
            match_labels,
            match_expressions
        }),
    ]
}

fn resource() -> impl Strategy<Value = Resource> {
    prop_oneof![
        2 => (name("d", 3), labels()).prop_map(|(name, labels)| Resource::Domain(Domain { name, labels })),
        1 => (name("p", 2), 0..3u32, option::of(0..3u64)).prop_map(|(name, slots, hedge)| Resource::Policy(Policy {
            name,
            timeout: Span::from_millis(2),
            slots,
            queue: 4,
            class: Class::Normal,
            repeat: Repeat::ByMethod,
            retry: Percent::new(10),
            hedge_after: hedge.map(Span::from_millis),
            max_body: Size::from_bytes(1 << 20),
        })),
        3 => (name("s", 3), labels(), name("p", 2))
            .prop_map(|(name, labels, policy)| Resource::Service(Service { name, labels, policy })),
        3 => (name("b", 3), selector(), selector(), selector(), selector()).prop_map(
            |(name, services, from, proxies, to)| Resource::Boundary(Boundary { name, services, from, proxies, to })
        ),
        3 => (name("r", 4), "(/[mn]?){1,2}", vec("[A-Z]{0,3}", 0..2), name("s", 3), selector()).prop_map(
            |(name, path, methods, service, proxies)| Resource::Route(Route {
                name, host: None, path, methods, service, class: None, proxies
            })
        ),
    ]
}

fn key() -> impl Strategy<Value = Key> {
    resource().prop_map(|r| r.key())
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => resource().prop_map(Op::Put),
        1 => key().prop_map(Op::Delete),
        2 => (key(), labels(), vec("[ab]", 0..2)).prop_map(|(key, set, remove)| Op::Label { key, set, remove }),
    ]
}

/// Returns operations that create a valid mesh, so that many of the random changes to it
/// are accepted.
fn initial_ops() -> Vec<Op> {
    let n = |text: &str| text.parse::<Name>().unwrap();
    let policy = Policy {
        name: n("p0"),
        timeout: Span::from_secs(1),
        slots: 1,
        queue: 1,
        class: Class::Normal,
        repeat: Repeat::Never,
        retry: Percent::new(10),
        hedge_after: None,
        max_body: Size::from_bytes(1),
    };
    let everything = Selector::everything;
    vec![
        Op::Put(Resource::Domain(Domain {
            name: n("d0"),
            labels: Labels::new(),
        })),
        Op::Put(Resource::Policy(policy)),
        Op::Put(Resource::Service(Service {
            name: n("s0"),
            labels: Labels::new(),
            policy: n("p0"),
        })),
        Op::Put(Resource::Boundary(Boundary {
            name: n("b0"),
            services: everything(),
            from: everything(),
            proxies: everything(),
            to: everything(),
        })),
    ]
}

fn record(machine: &Machine, id: &str, expect: Option<Version>, ops: Vec<Op>) -> Bytes {
    Entry::Change(Change {
        id: id.parse().unwrap(),
        base: machine.anchor(),
        expect,
        author: String::new(),
        note: String::new(),
        ops,
    })
    .encode()
}

fn apply(machine: &mut Machine, record: Bytes) -> Verdict {
    machine
        .apply(machine.version().offset, record)
        .unwrap()
        .verdict
}

fn resources(machine: &Machine) -> Vec<Resource> {
    machine
        .resources()
        .iter()
        .map(|held| held.resource.clone())
        .collect()
}

fn assert_same(a: &Machine, b: &Machine) {
    assert_eq!(a.anchor(), b.anchor());
    assert_eq!(a.resources(), b.resources());
    assert!(a.history().eq(b.history()));
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn machine_and_view_agree_with_naive(changes in vec(vec(op(), 1..4), 1..40), proxy_labels in labels()) {
        let proxy = Proxy { domain: "d0".parse().unwrap(), labels: proxy_labels };
        let (mut machine, mut mesh) = (Machine::new(), naive::Mesh::default());
        let mut view = View::new(Version::default(), Arc::default(), proxy.clone());
        let all = std::iter::once(initial_ops()).chain(changes);
        for (i, ops) in all.enumerate() {
            let record = record(&machine, &format!("c{i}"), None, ops.clone());
            let applied = machine.apply(i as u64, record).unwrap();
            prop_assert_eq!(applied.verdict.is_accepted(), mesh.apply(&ops), "{:?} {:?}", applied.verdict, ops);
            prop_assert_eq!(resources(&machine), mesh.sorted());
            view = view.updated(machine.version(), machine.resources().clone(), &applied.touched);
            prop_assert_eq!(&view, &View::new(machine.version(), machine.resources().clone(), proxy.clone()));
            let routes: std::collections::BTreeSet<Name> = view.routes().iter().map(|r| r.name.clone()).collect();
            prop_assert_eq!(&routes, &mesh.routes_of(&proxy.labels));
            for route in view.routes() {
                // The view contains every resource that a route refers to.
                let service = view.service(&route.service).expect("view contains the service of the route");
                let allowed: std::collections::BTreeSet<Name> = service.allowed.keys().cloned().collect();
                prop_assert_eq!(allowed, mesh.allowed(&route.service, &proxy.domain, &proxy.labels));
            }
        }
    }

    #[test]
    fn selector_agrees_with_naive(selector in selector(), labels in labels()) {
        prop_assert_eq!(selector.matches(&labels), naive::matches(&selector, &labels));
        prop_assert_eq!(selector.fault().is_none(), naive::is_valid_selector(&selector));
    }

    #[test]
    fn unknown_sender_is_never_allowed_more(changes in vec(vec(op(), 1..4), 1..20), labels in labels()) {
        let mut machine = Machine::new();
        for (i, ops) in std::iter::once(initial_ops()).chain(changes).enumerate() {
            let record = record(&machine, &format!("c{i}"), None, ops);
            apply(&mut machine, record);
        }
        for service in machine.resources().services() {
            for domain in machine.resources().domains() {
                let known = view::allowed_domains(machine.resources(), &service.name, &domain.name, Some(&labels));
                let unknown = view::allowed_domains(machine.resources(), &service.name, &domain.name, None);
                prop_assert!(known.is_empty() || unknown.is_subset(&known));
            }
        }
    }

    #[test]
    fn snapshot_and_later_records_lead_to_the_same_state(
        changes in vec(vec(op(), 1..3), 2..20), cut in 0..20usize, overlap in 0..20usize
    ) {
        let mut whole = Machine::new();
        let mut snapshot_at_cut = None;
        for (i, ops) in std::iter::once(initial_ops()).chain(changes).enumerate() {
            if i == cut {
                snapshot_at_cut = Some(whole.snapshot());
            }
            let record = record(&whole, &format!("c{i}"), None, ops);
            apply(&mut whole, record);
        }
        let snapshot = snapshot_at_cut.unwrap_or_else(|| whole.snapshot());
        let mut joined = Machine::from_snapshot(&snapshot).unwrap();
        // The records may start before the snapshot's version. The machine rejects those that the
        // snapshot already contains.
        let from = Version { epoch: 0, offset: joined.version().offset.saturating_sub(overlap as u64) };
        let records = whole.records(from).expect("the machine keeps all records");
        for (offset, record) in (from.offset..).zip(records) {
            if offset == joined.version().offset {
                joined.apply(offset, record).unwrap();
            } else {
                prop_assert!(joined.apply(offset, record).is_err());
            }
        }
        assert_same(&whole, &joined);
    }

    #[test]
    fn noise_is_rejected_without_panics(noise in vec(any::<u8>(), 0..200), text in "\\PC{0,80}") {
        let records = [noise.clone(), [b"rt\0\0\0\x01".as_slice(), &noise].concat()];
        for record in records {
            let mut machine = initial_machine();
            let before = machine.resources().clone();
            let version = machine.version();
            let applied = machine.apply(version.offset, record.clone().into());
            prop_assert!(!applied.is_ok_and(|applied| applied.verdict.is_accepted()));
            prop_assert_eq!(machine.resources(), &before);
            prop_assert!(Machine::from_snapshot(&record).is_err());
        }
        // Decoding noise may succeed, but it must not panic.
        let _ = wire::decode::<Frame>(&noise);
        let _ = wire::decode::<Reply>(&noise);
        let _ = wire::decode::<Part>(&noise);
        prop_assert!(text.parse::<idempotency::Key>().is_err() || text.matches('.').count() >= 2);
        let _ = text.parse::<Key>();
        let _ = text.parse::<Version>();
        let _ = text.parse::<Span>();
        for text in [text.clone(), format!("[{{\"kind\": \"{text}\"}}]"), format!("[\n{text}")] {
            if let Ok(document) = Document::parse("noise", &text) {
                prop_assert!(Files::from_documents(vec![document], Vec::new()).is_err() || text.trim() == "[]");
            }
        }
    }

    #[test]
    fn damaged_snapshot_is_rejected(at in 0..10_000usize, bit in 0..8u8, cut in option::of(0..10_000usize)) {
        let mut machine = Machine::new();
        let first = record(&machine, "first", None, initial_ops());
        apply(&mut machine, first);
        let mut bytes = machine.snapshot().to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        if let Some(cut) = cut {
            bytes.truncate(cut % bytes.len());
        }
        prop_assert!(Machine::from_snapshot(&bytes).is_err());
    }
}

/// Declares each case as a test.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

/// Returns a machine with the initial mesh.
fn initial_machine() -> Machine {
    let mut machine = Machine::new();
    let first = record(&machine, "first", None, initial_ops());
    assert_eq!(apply(&mut machine, first), Verdict::Accepted);
    machine
}

/// Returns the operation that adds a route from `path` to the initial service `s0`.
fn route(name: &str, path: &str) -> Op {
    Op::Put(Resource::Route(Route {
        name: name.parse().unwrap(),
        host: None,
        path: path.into(),
        methods: Vec::new(),
        service: "s0".parse().unwrap(),
        class: None,
        proxies: Selector::everything(),
    }))
}

/// Returns the operation that sets label `a` of the resource `key` to `value`.
fn set_label(key: &str, value: &str) -> Vec<Op> {
    let set = Labels::from([("a".into(), value.into())]);
    vec![Op::Label {
        key: key.parse().unwrap(),
        set,
        remove: Vec::new(),
    }]
}

cases! {
    repeated_change_applies_once => {
        let mut machine = initial_machine();
        let record = record(&machine, "once", None, set_label("service/s0", "x"));
        assert_eq!(apply(&mut machine, record.clone()), Verdict::Accepted);
        let version = machine.version();
        assert_eq!(apply(&mut machine, record), Verdict::Repeated(version));
        assert_eq!(machine.last_accepted(), version);
    }

    rejected_change_repeated_stays_rejected => {
        let mut machine = initial_machine();
        let record = record(&machine, "bad", None, set_label("service/none", "x"));
        assert!(matches!(apply(&mut machine, record.clone()), Verdict::Invalid(_)));
        assert!(matches!(apply(&mut machine, record), Verdict::Repeated(_)));
        assert!(matches!(machine.outcome(&"bad".parse().unwrap()).unwrap().verdict, Verdict::Invalid(_)));
    }

    second_of_two_concurrent_changes_to_a_resource_is_a_conflict => {
        let mut machine = initial_machine();
        let seen = Some(machine.version());
        let first = record(&machine, "one", seen, set_label("service/s0", "x"));
        let second = record(&machine, "two", seen, set_label("service/s0", "y"));
        let other = record(&machine, "three", seen, set_label("domain/d0", "y"));
        assert_eq!(apply(&mut machine, first), Verdict::Accepted);
        assert_eq!(apply(&mut machine, second), Verdict::Conflict(vec!["service/s0".parse().unwrap()]));
        assert_eq!(apply(&mut machine, other), Verdict::Accepted);
    }

    change_to_a_resource_deleted_meanwhile_is_a_conflict => {
        let mut machine = initial_machine();
        let add = record(&machine, "add", None, vec![Op::Put(Resource::Domain(Domain {
            name: "d1".parse().unwrap(), labels: Labels::new()
        }))]);
        apply(&mut machine, add);
        let seen = Some(machine.version());
        let delete = record(&machine, "delete", seen, vec![Op::Delete("domain/d1".parse().unwrap())]);
        let put = record(&machine, "put", seen, vec![Op::Put(Resource::Domain(Domain {
            name: "d1".parse().unwrap(), labels: Labels::new()
        }))]);
        assert_eq!(apply(&mut machine, delete), Verdict::Accepted);
        assert!(matches!(apply(&mut machine, put), Verdict::Conflict(_)));
    }

    invalid_change_changes_nothing_and_later_ones_apply => {
        let mut machine = initial_machine();
        let before = resources(&machine);
        let mut ops = set_label("service/s0", "x");
        ops.push(Op::Delete(Key { kind: Kind::Policy, name: "p0".parse().unwrap() }));
        let bad = record(&machine, "bad", None, ops);
        assert!(matches!(apply(&mut machine, bad), Verdict::Invalid(_)));
        assert_eq!(resources(&machine), before);
        let good = record(&machine, "good", None, set_label("service/s0", "x"));
        assert_eq!(apply(&mut machine, good), Verdict::Accepted);
    }

    label_change_that_leaves_no_destination_is_rejected => {
        let mut machine = initial_machine();
        let to = Selector { match_labels: Labels::from([("a".into(), "x".into())]), ..Selector::default() };
        let mut ops = set_label("domain/d0", "x");
        ops.push(Op::Put(Resource::Boundary(Boundary {
            name: "b0".parse().unwrap(),
            services: Selector::everything(),
            from: Selector::everything(),
            proxies: Selector::everything(),
            to,
        })));
        ops.push(route("r0", "/"));
        let setup = record(&machine, "setup", None, ops);
        assert_eq!(apply(&mut machine, setup), Verdict::Accepted);
        let moved = record(&machine, "moved", None, set_label("domain/d0", "y"));
        assert!(matches!(apply(&mut machine, moved), Verdict::Invalid(_)));
    }

    record_of_another_history_is_rejected => {
        let mut machine = initial_machine();
        let mut other = Machine::new();
        let noise = Bytes::from_static(b"another history");
        apply(&mut other, noise);
        let foreign = record(&other, "foreign", None, initial_ops());
        assert_eq!(apply(&mut machine, foreign), Verdict::Foreign);
    }

    change_too_old_to_be_recognised_is_too_old_to_apply => {
        let mut machine = initial_machine();
        let old = record(&machine, "old", None, set_label("service/s0", "x"));
        assert_eq!(apply(&mut machine, old.clone()), Verdict::Accepted);
        for i in 0..=WINDOW {
            let next = record(&machine, &format!("n{i}"), None, set_label("domain/d0", "x"));
            apply(&mut machine, next);
        }
        assert!(machine.outcome(&"old".parse().unwrap()).is_none());
        assert_eq!(apply(&mut machine, old), Verdict::Foreign);
    }

    record_of_newer_rules_stops_the_machine => {
        let mut machine = initial_machine();
        let mut newer = record(&machine, "newer", None, initial_ops()).to_vec();
        newer[2..6].copy_from_slice(&9u32.to_be_bytes());
        let version = machine.version();
        assert!(machine.apply(version.offset, newer.into()).is_err());
        assert_eq!(machine.version(), version);
    }

    restore_continues_only_from_the_current_state => {
        let mut machine = initial_machine();
        let base = machine.anchor();
        let restore = Restore { base, epoch: 1, author: String::new() };
        let mut other = Machine::new();
        assert!(!other.restore(0, &restore));
        assert!(machine.restore(0, &restore));
        assert_eq!(machine.version(), Version { epoch: 1, offset: 1 });
        assert!(machine.version() > base.version);
        let next = record(&machine, "next", None, set_label("service/s0", "x"));
        assert_eq!(apply(&mut machine, next), Verdict::Accepted);
    }

    distance_follows_the_region_label => {
        let mut machine = initial_machine();
        let mut ops = set_label("domain/d0", "x");
        for (name, region) in [("d0", "south"), ("d1", "south"), ("d2", "north")] {
            let labels = Labels::from([(view::REGION.into(), region.into())]);
            ops.push(Op::Put(Resource::Domain(Domain { name: name.parse().unwrap(), labels })));
        }
        ops.push(route("r0", "/"));
        let add = record(&machine, "regions", None, ops);
        assert_eq!(apply(&mut machine, add), Verdict::Accepted);
        let proxy = Proxy { domain: "d0".parse().unwrap(), labels: Labels::new() };
        let view = View::new(machine.version(), machine.resources().clone(), proxy);
        let service = view.service(&"s0".parse().unwrap()).unwrap();
        let distances: Vec<Distance> = service.allowed.values().copied().collect();
        assert_eq!(distances, [Distance::Domain, Distance::Region, Distance::OtherRegion]);
    }

    path_matches_whole_segments_only => {
        let mut machine = initial_machine();
        let ops = vec![route("fare", "/fare"), route("rules", "/fare/rules")];
        let add = record(&machine, "routes", None, ops);
        assert_eq!(apply(&mut machine, add), Verdict::Accepted);
        let proxy = Proxy { domain: "d0".parse().unwrap(), labels: Labels::new() };
        let view = View::new(machine.version(), machine.resources().clone(), proxy);
        let find = |path: &str| view.route(None, path, "GET").map(|r| r.name.to_string());
        assert_eq!(find("/fare"), Some("fare".into()));
        assert_eq!(find("/fare/7"), Some("fare".into()));
        assert_eq!(find("/fare/rules/1"), Some("rules".into()));
        assert_eq!(find("/farewell"), None);
    }
}
