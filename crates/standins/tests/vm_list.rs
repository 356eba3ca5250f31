//! List of VMs that is published with a lag.

mod support;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use apricotdale_standins::vm_list::Options;
use apricotdale_standins::vm_list::VmListStandin;

const HOUR_MS: u64 = 3_600_000;

fn entry(name: &str, state: &str) -> Value {
    json!({
        "name": name, "role": "engine", "group": "planner-lm", "zone": "hall-a",
        "address": "127.0.0.1:9", "peer_address": null, "state": state,
    })
}

#[test]
fn changed_entries() {
    let list = support::start(VmListStandin::new(Options::default()));
    assert_eq!(list.get("/vms").body["entries"], json!([]));
    list.post(
        "/standin/vms",
        &json!([entry("a", "live"), entry("b", "live")]),
    );
    let change = json!({"name": "b", "state": "leaving"});
    assert_eq!(list.post("/standin/state", &change).status, 200);
    let entries = &list.get("/vms").body["entries"];
    assert_eq!(*entries, json!([entry("a", "live"), entry("b", "leaving")]));
    let unknown = json!({"name": "c", "state": "gone"});
    assert_eq!(list.post("/standin/state", &unknown).status, 404);
}

/// The list is published with a lag, so that a reader does not see a change at once and may send
/// work to a VM that has already left.
#[rstest]
#[case::at_once(0, 1)]
#[case::late(HOUR_MS, 0)]
fn published_after_lag(#[case] lag_ms: u64, #[case] shown: usize) {
    let list = support::start(VmListStandin::new(Options { lag_ms }));
    list.post("/standin/vms", &json!([entry("a", "live")]));
    let listing = list.get("/vms").body;
    assert_eq!(listing["entries"].as_array().unwrap().len(), shown);
}

#[test]
fn list_outage() {
    let list = support::start(VmListStandin::new(Options::default()));
    list.fault(&json!({"mode": "down"}));
    assert_eq!(list.get("/vms").status, 503);
    list.fault(&json!({"mode": "up"}));
    assert_eq!(list.get("/vms").status, 200);
}

/// Guards against sending the complete list to every VM each second although it rarely changes: a
/// reader that names the version it has gets status 304 until the list changes.
#[test]
fn unchanged_list() {
    let list = support::start(VmListStandin::new(Options::default()));
    list.post("/standin/vms", &json!([entry("a", "live")]));
    let read = |tag: &str| {
        let url = format!("http://{}/vms", list.address());
        let answer = ureq::get(url).header("If-None-Match", tag).call();
        let answer = answer.expect("an answer");
        let tag = answer.headers()["ETag"].to_str().expect("a text");
        assert!(answer.headers().contains_key("X-As-Of-Ms"));
        (answer.status().as_u16(), tag.to_owned())
    };
    let (status, tag) = read("none");
    assert_eq!(status, 200);
    assert_eq!(read(&tag), (304, tag.clone()));
    list.post("/standin/state", &json!({"name": "a", "state": "leaving"}));
    assert_eq!(read(&tag).0, 200);
}
