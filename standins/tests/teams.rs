//! Callers' keys over the whole path: who is served, and what targets and other nodes see.

use rilltrack_standins::{
    cases,
    fleet::{self, Host, version},
    raw,
    store::{Mode as StoreMode, Store},
    until,
};
use serde_json::{Value, json};

/// Returns a version with services a and b, and with these keys of team `fares`.
///
/// Only the idempotent route of b is open to callers without a key.
fn keyed_version(number: u64, keys: &[&str]) -> Value {
    let mut version = version(number, &["a", "b"]);
    let resources = version["resources"].as_array_mut().unwrap();
    for resource in resources.iter_mut() {
        if resource["resourceType"] == "routes" {
            resource["spec"]["allowAnonymous"] = (resource["metadata"]["name"] == "get-b").into();
        }
    }
    resources.push(
        json!({"resourceType": "tenants", "metadata": {"name": "fares"},
        "spec": {"apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}),
    );
    version
}

/// Starts two hosts of one failure domain that know each other, with targets of a and b.
async fn pair(keys: &[&str]) -> (Store, Host, Host) {
    pair_under(&keyed_version(5, keys)).await
}

/// Starts such hosts under a version.
async fn pair_under(version: &Value) -> (Store, Host, Host) {
    fleet::pair(version, "b").await
}

/// Sends a request with further headers, each ended by a line break; returns the status.
async fn status(host: &Host, path: &str, headers: &str) -> String {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: id1\r\n\
         Connection: close\r\n{headers}\r\n"
    );
    let answer = raw::exchange_until_closed(host.callers(), request.as_bytes()).await;
    answer.get(9..12).unwrap_or(&answer).to_owned()
}

const KEY: &str = "Authorization: Bearer k-one\r\n";

cases! {
    target_is_told_the_team_and_never_the_key => {
        let (_store, one, two) = pair(&["k-zero", "k-one"]).await;
        let forged = format!("{KEY}Rilltrack-Tenant: forged\r\n");
        assert_eq!(status(&one, "/get/a/x", &forged).await, "200");
        assert_eq!(status(&two, "/get/a/x", &forged).await, "200");
        let seen = one.target.seen();
        assert_eq!(seen.len(), 2, "from its own host and from the other");
        for request in seen {
            assert_eq!(request.header("rilltrack-tenant"), "fares");
            assert_eq!(request.header("authorization"), "");
        }
    }

    unknown_or_missing_key_gets_401_and_reaches_no_target => {
        let (_store, one, _two) = pair(&["k-one"]).await;
        for headers in [
            "", "Authorization: Bearer k-two\r\n", "Authorization: Bearer \r\n",
            "Authorization: Basic k-one\r\n", "Authorization: Bearerk-one\r\n",
            "Rilltrack-Tenant: fares\r\n", "Rilltrack-Caller-Service: b\r\n",
        ] {
            assert_eq!(status(&one, "/get/a/x", headers).await, "401", "{headers}");
        }
        assert!(one.target.seen().is_empty());
    }

    route_open_to_all_serves_without_a_key_and_names_no_team => {
        let (_store, one, two) = pair(&["k-one"]).await;
        assert_eq!(status(&one, "/get/b/x", "Rilltrack-Tenant: fares\r\n").await, "200");
        assert_eq!(status(&one, "/get/b/x", "Authorization: Bearer k-two\r\n").await, "200");
        for request in two.target.seen() {
            assert_eq!(request.header("rilltrack-tenant"), "");
            assert_eq!(request.header("authorization"), "");
        }
        assert_eq!(two.target.seen().len(), 2);
    }

    without_teams_the_header_is_the_applications_own => {
        let (_store, one, _two) = pair_under(&version(5, &["a", "b"])).await;
        assert_eq!(status(&one, "/get/a/x", KEY).await, "200");
        assert_eq!(one.target.seen()[0].header("authorization"), "Bearer k-one");
    }

    removed_key_stops_working_where_the_store_cannot_be_read => {
        let (store, one, two) = pair(&["k-one", "k-two"]).await;
        two.store.set_own(StoreMode::Refusing);
        store.publish(&keyed_version(9, &["k-two"]));
        until("version 9 is in force", async || one.version() == 9 && two.version() == 9).await;
        for host in [&one, &two] {
            assert_eq!(status(host, "/get/a/x", KEY).await, "401");
            assert_eq!(status(host, "/get/a/x", "Authorization: bearer k-two\r\n").await, "200");
        }
    }

    restarted_node_knows_the_keys_before_it_serves => {
        let (_store, one, mut two) = pair(&["k-one"]).await;
        two.stop().await;
        one.store.set_own(StoreMode::Refusing);
        two.run();
        until("the node listens", async || two.ready().await.starts_with("HTTP")).await;
        let before = status(&two, "/get/a/x", "").await;
        assert!(["401", "503"].contains(&before.as_str()), "{before}");
        two.until_ready().await;
        assert_eq!(status(&two, "/get/a/x", "").await, "401");
        assert_eq!(status(&two, "/get/a/x", KEY).await, "200");
    }

    route_with_an_unknown_setting_is_closed_and_the_others_serve => {
        let (store, one, _two) = pair(&["k-one"]).await;
        let mut version = keyed_version(9, &["k-one"]);
        for resource in version["resources"].as_array_mut().unwrap() {
            if resource["metadata"]["name"] == "get-a" {
                resource["spec"]["onlyFrom"] = json!(["here"]);
            }
        }
        store.publish(&version);
        until("version 9 is in force", async || one.version() == 9).await;
        assert_eq!(status(&one, "/get/a/x", KEY).await, "503");
        assert_eq!(status(&one, "/get/b/x", KEY).await, "200");
    }

    version_with_an_unknown_resource_is_rejected => {
        let (store, one, _two) = pair(&["k-one"]).await;
        let mut unknown = keyed_version(9, &["k-one", "k-two"]);
        let guard = json!({"resourceType": "guards", "metadata": {"name": "g"}, "spec": {}});
        unknown["resources"].as_array_mut().unwrap().push(guard);
        store.publish(&unknown);
        store.publish(&keyed_version(11, &["k-three"]));
        until("version 11 is in force", async || one.version() == 11).await;
        assert_eq!(status(&one, "/get/a/x", "Authorization: Bearer k-two\r\n").await, "401");
    }
}
