//! What a node makes of a caller's request by the version in force.

mod support;

use std::time::{Duration, Instant};

use rilltrack::{
    coordination::host::Host,
    id::Name,
    state::{
        routing::{Kind, Limits, Part, Route, Table},
        team::{Digest, Team},
    },
    transport::relay::call::Call,
    unit::Span,
};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

const SETTINGS: &str = r#"{"node": "me", "domain": "here", "service": "a", "listen": {
    "callers": "127.0.0.1:1", "inbound": "127.0.0.1:1", "peers": "127.0.0.1:1",
    "targets": "127.0.0.1:1", "ready": "127.0.0.1:1", "metrics": "127.0.0.1:1"},
    "store": "127.0.0.1:1", "heartbeat": "1500ms", "grace": "6s",
    "resend": {"ratio": 0.2, "slack": 62, "window": "10s"}, "descriptors": 1024}"#;

fn route(text: &str, priority: u8, is_anonymous: bool) -> Route {
    let service: Name = "a".parse().unwrap();
    Route {
        name: text.parse().unwrap(),
        host: "shop.example".into(),
        prefix: format!("/{text}/"),
        kind: Kind::Idempotent,
        timeout: Span::from_millis(1000),
        objective: Span::from_millis(400),
        priority,
        attempts: 2,
        parts: vec![Part { service, weight: 1 }],
        is_anonymous,
        regions: None,
        unsupported: vec![],
    }
}

fn team(name: &str, priority: Option<u8>) -> Team {
    Team {
        name: name.parse().unwrap(),
        keys: vec![Digest::of(name.as_bytes())],
        priority,
        limit: None,
        regions: None,
        unsupported: vec![],
    }
}

/// Returns the state of a node with a payment, a confirmation and an anonymous stock route.
fn host(teams: Vec<Team>) -> Host {
    let routes = vec![
        route("pay", 0, false),
        route("confirm", 2, false),
        route("stock", 1, true),
    ];
    let service: Name = "a".parse().unwrap();
    let table = Table::new(1, routes, vec![service.into()], Limits::default());
    let table = table.unwrap().with_teams(teams).unwrap();
    let host = support::host::starting(SETTINGS);
    assert!(host.apply_routes(table.delta_since(None), "store"));
    host
}

/// Returns the priority of a request in decimal, and whether it counts as a nested call.
fn call(host: &Host, route: &str, key: Option<&str>) -> (String, bool) {
    let mut request = hyper::Request::get(format!("/{route}/x")).header("host", "shop.example");
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let (head, ()) = request.body(()).unwrap().into_parts();
    let (call, _) = Call::new(host, head, Instant::now())
        .ok()
        .expect("the request is permitted");
    let request = call.request();
    assert_eq!(
        (request.priority, request.is_nested),
        (call.priority, call.is_nested)
    );
    assert!(request.deadline > request.due + Duration::from_millis(500));
    (call.priority.to_string(), call.is_nested)
}

cases! {
    team_and_route_decide_on_the_priority_if_some_team_has_one => {
        let host = host(vec![team("gold", Some(0)), team("usual", Some(1)), team("new", None)]);
        for (route, key, priority) in [
            ("pay", Some("usual"), "16"),
            ("confirm", Some("usual"), "18"),
            ("confirm", Some("gold"), "2"),
            ("confirm", Some("new"), "34"),
            ("stock", None, "17"),
        ] {
            assert_eq!(call(&host, route, key).0, priority, "{route} {key:?}");
        }
    }

    route_decides_on_the_priority_if_no_team_has_one => {
        for host in [host(vec![team("usual", None)]), host(vec![])] {
            assert_eq!(call(&host, "pay", Some("usual")).0, "0");
            assert_eq!(call(&host, "confirm", Some("usual")).0, "2");
            assert_eq!(call(&host, "stock", None).0, "1");
        }
    }

    request_without_a_key_is_a_nested_call_in_a_version_with_teams => {
        let with_teams = host(vec![team("usual", None)]);
        assert!(call(&with_teams, "stock", None).1);
        assert!(!call(&with_teams, "stock", Some("usual")).1);
        // A caller with a key that was taken away is served here, but makes no nested call.
        assert!(!call(&with_teams, "stock", Some("guess")).1);
        assert!(!call(&with_teams, "pay", Some("usual")).1);
        assert!(!call(&host(vec![]), "stock", None).1, "without teams, no caller has a key");
    }
}
