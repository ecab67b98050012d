//! Routes and teams that are confined to regions: where requests run, over the whole path.

use rilltrack_standins::{
    cases,
    fleet::{Host, version},
    raw,
    store::Store,
    until,
};
use serde_json::{Value, json};

/// Returns a version with service a whose routes are confined to `route` and its only team to
/// `team`; no restriction if `null`.
fn confined(number: u64, route: Value, team: Value) -> Value {
    let mut version = version(number, &["a"]);
    let resources = version["resources"].as_array_mut().unwrap();
    for resource in resources.iter_mut() {
        if resource["resourceType"] == "routes" && !route.is_null() {
            resource["spec"]["allowedRegions"] = route.clone();
        }
    }
    let mut spec = json!({"apiKeys": ["k-one"], "ratePerS": 0, "burst": 0});
    if !team.is_null() {
        spec["allowedRegions"] = team;
    }
    resources.push(json!({"resourceType": "tenants", "metadata": {"name": "fares"}, "spec": spec}));
    version
}

/// Returns hosts with a target of service a in each of these failure domains, which know each
/// other.
async fn hosts(store: &Store, domains: &[&str]) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (i, domain) in domains.iter().enumerate() {
        hosts.push(Host::start(store, &format!("n{i}"), domain, "a").await);
    }
    until("all hosts know each other's targets", async || {
        let knows_all = |host: &Host| hosts.iter().all(|other| host.knows(&other.name));
        hosts.iter().all(knows_all)
    })
    .await;
    hosts
}

/// Sends upload `id` with the team's key; returns the answer.
async fn upload(host: &Host, id: &str) -> String {
    let request = format!(
        "POST /post/a/x HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
         Authorization: Bearer k-one\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
    );
    raw::exchange_until_closed(host.callers(), request.as_bytes()).await
}

/// Sends eight uploads through each host, and returns how many each target got.
async fn arrivals(hosts: &[Host]) -> Vec<usize> {
    for host in hosts {
        for i in 0..8 {
            let answer = upload(host, &format!("{}-{i}", host.name)).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    }
    hosts.iter().map(|host| host.target.seen().len()).collect()
}

cases! {
    requests_of_a_confined_route_run_in_its_regions_only => {
        let store = Store::start().await;
        store.publish(&confined(5, json!(["north"]), Value::Null));
        let hosts = hosts(&store, &["here", "near", "there"]).await;
        assert_eq!(arrivals(&hosts).await, [0, 0, 24]);
    }

    requests_of_a_confined_team_run_in_its_regions_only => {
        let store = Store::start().await;
        store.publish(&confined(5, Value::Null, json!(["north"])));
        let hosts = hosts(&store, &["here", "there"]).await;
        assert_eq!(arrivals(&hosts).await, [0, 16]);
    }

    both_restrictions_bind => {
        let store = Store::start().await;
        store.publish(&confined(5, json!(["north", "south"]), json!(["south", "east"])));
        let hosts = hosts(&store, &["here", "there"]).await;
        assert_eq!(arrivals(&hosts).await, [16, 0]);
    }

    request_that_may_run_nowhere_is_refused_as_not_run => {
        let store = Store::start().await;
        // A failure domain whose region isn't known is in none of the allowed ones.
        store.publish(&confined(5, json!(["north"]), Value::Null));
        let hosts = hosts(&store, &["here", "beyond"]).await;
        for host in &hosts {
            let answer = upload(host, "id1").await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("\r\n\r\nnot-run: "), "{answer}");
            assert!(host.target.seen().is_empty());
        }
        // The next version lifts the restriction.
        store.publish(&confined(9, Value::Null, Value::Null));
        let is_current = |host: &Host| host.version() == 9;
        until("version 9 is in force", async || hosts.iter().all(is_current)).await;
        assert_eq!(arrivals(&hosts).await.iter().sum::<usize>(), 16);
    }

    removed_region_binds_at_the_next_version => {
        let store = Store::start().await;
        store.publish(&confined(5, json!(["north", "south"]), Value::Null));
        let hosts = hosts(&store, &["here", "there"]).await;
        store.publish(&confined(9, json!(["north"]), Value::Null));
        let is_current = |host: &Host| host.version() == 9;
        until("version 9 is in force", async || hosts.iter().all(is_current)).await;
        assert_eq!(arrivals(&hosts).await, [0, 16]);
    }
}
