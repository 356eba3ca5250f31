//! Weight store: sizes, loads, and its limit on loads.

mod support;

use apricotdale_core::names::ModelName;
use rstest::rstest;
use serde_json::json;

use apricotdale_standins::weights::ModelSizes;
use apricotdale_standins::weights::Options;
use apricotdale_standins::weights::WeightsStandin;

use support::Standin;

fn store(loads_per_s: u32, bytes_per_s: u64) -> Standin {
    let options = Options {
        loads_per_s,
        bytes_per_s,
        ..Options::default()
    };
    let sizes = ModelSizes::listed([(ModelName::new("org/m"), 1_000)]);
    support::start(WeightsStandin::with_sizes(options, sizes))
}

#[rstest]
#[case::held("/models/org%2Fm", 200)]
#[case::held_unencoded("/models/org/m", 200)]
#[case::unknown("/models/x", 404)]
fn model_sizes(#[case] path: &str, #[case] status: u16) {
    let answer = store(10, 1_000).get(path);
    assert_eq!(answer.status, status);
    assert!(status != 200 || answer.body == json!({"bytes": 1_000}));
}

#[rstest]
#[case::held(10, "org/m", 200, 1, 0)]
#[case::unknown(10, "x", 404, 0, 0)]
#[case::above_the_rate(0, "org/m", 429, 0, 1)]
fn loads_and_refusals(
    #[case] loads_per_s: u32,
    #[case] model: &str,
    #[case] status: u16,
    #[case] loads: u64,
    #[case] refused: u64,
) {
    let store = store(loads_per_s, 1_000_000);
    assert_eq!(
        store
            .post("/loads", &json!({"model": model, "bytes": 1}))
            .status,
        status
    );
    let effects = store.effects();
    assert_eq!(
        (&effects["loads"], &effects["refused"]),
        (&json!(loads), &json!(refused))
    );
}

#[test]
fn size_from_load() {
    let store = support::start(WeightsStandin::new(Options::default()).unwrap());
    assert_eq!(store.get("/models/m").status, 404);
    assert_eq!(
        store
            .post("/loads", &json!({"model": "m", "bytes": 7}))
            .status,
        200
    );
    assert_eq!(store.get("/models/m").body, json!({"bytes": 7}));
}

/// The store goes down while two loads are in progress. The outage ends them and refuses new ones.
#[test]
fn outage_ends_loads() {
    let store = store(10, 1);
    let body = json!({"model": "org/m"});
    let loads = [
        store.post_in_background("/loads", &body),
        store.post_in_background("/loads", &body),
    ];
    support::wait_until(|| store.get("/status").body["active_loads"] == 2);
    store.fault(&json!({"mode": "down"}));
    for load in loads {
        assert_eq!(load.join().unwrap().unwrap().status, 503);
    }
    assert_eq!(store.get("/status").status, 503);
    assert_eq!(store.post("/loads", &body).status, 503);
    store.fault(&json!({"mode": "up"}));
    assert_eq!(store.get("/status").body["active_loads"], 0);
    assert_eq!(
        store.effects(),
        json!({"loads": 2, "refused": 1, "most_at_once": 2})
    );
}
