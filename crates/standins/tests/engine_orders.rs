//! Orders to an engine and their effects.

mod support;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use apricotdale_standins::engine::EngineStandin;
use apricotdale_standins::engine::Options;

use support::Standin;
use support::load;
use support::unload;

fn residents(engine: &Standin) -> Value {
    engine.get("/status").body["residents"].clone()
}

fn small_engine(checks_fence: bool) -> Standin {
    support::start(EngineStandin::new(Options {
        capacity_bytes: 25,
        checks_fence,
        boot: Some(7),
        ..Options::default()
    }))
}

fn adapter(model: &str, base: &str) -> Value {
    json!({"model": model, "base": base, "bytes": 10, "fence": 1})
}

#[test]
fn load_and_unload() {
    let engine = small_engine(true);
    let loaded = engine.post("/orders/load", &load("m", 3));
    let resident = json!({"model": "m", "residency": "loaded", "bytes": 10, "fence": 3});
    assert_eq!(
        (loaded.status, &loaded.body["residents"]),
        (200, &json!([resident]))
    );
    assert_eq!(loaded.body, engine.get("/status").body);
    assert_eq!(
        (&loaded.body["boot"], &loaded.body["highest_fence"]),
        (&json!(7), &json!(3))
    );
    let unloaded = engine.post("/orders/unload", &unload("m", 4));
    assert_eq!(
        (unloaded.status, &unloaded.body["residents"]),
        (200, &json!([]))
    );
    assert!(unloaded.body["sequence"].as_u64() > loaded.body["sequence"].as_u64());
}

#[test]
fn duplicate_orders() {
    let engine = small_engine(true);
    for _ in 0..2 {
        assert_eq!(engine.post("/orders/load", &load("m", 3)).status, 200);
    }
    assert_eq!(engine.effects()["loads"], json!({"m": 1}));
    assert_eq!(engine.effects()["load_orders"], 2);
    for _ in 0..2 {
        assert_eq!(engine.post("/orders/unload", &unload("m", 3)).status, 200);
    }
    assert_eq!(engine.effects()["unload_orders"], 2);
}

/// Two models take up the memory, and an order arrives whose requirements are not met. The engine
/// must refuse it without a change.
#[rstest]
#[case::memory_full("load", load("c", 1), "no_memory")]
#[case::base_not_there("load", adapter("a", "x"), "base_missing")]
#[case::base_of_an_adapter("unload", unload("m", 1), "unknown")]
fn impossible_order(#[case] kind: &str, #[case] order: Value, #[case] reason: &str) {
    let engine = small_engine(true);
    engine.post("/orders/load", &load("m", 1));
    assert_eq!(
        engine.post("/orders/load", &adapter("a-of-m", "m")).status,
        200
    );
    let before = residents(&engine);
    let refused = engine.post(&format!("/orders/{kind}"), &order);
    assert_eq!(
        (refused.status, &refused.body["reason"]),
        (422, &json!(reason))
    );
    assert_eq!(residents(&engine), before);
    let effects = engine.effects();
    assert_eq!(
        (&effects["refused_orders"], &effects["most_bytes_held"]),
        (&json!(1), &json!(20))
    );
}

/// Three loads of ten bytes reach an engine with 25 bytes that carries out every order. Such an
/// engine leaves the check to the sender and only counts the overcommitment.
#[test]
fn overcommitment_counted() {
    let engine = small_engine(false);
    for model in ["a", "b", "c"] {
        assert_eq!(engine.post("/orders/load", &load(model, 1)).status, 200);
    }
    let effects = engine.effects();
    assert_eq!(
        (&effects["overcommitted"], &effects["most_bytes_held"]),
        (&json!(1), &json!(30))
    );
}

#[test]
fn unload_waits() {
    let options = Options {
        tokens_per_s: 1,
        ..Options::default()
    };
    let engine = support::engine_with(options, &["m"]);
    let mut events = engine.stream("r", "m", 1_000_000);
    events.next().unwrap();
    let order = engine.post_in_background("/orders/unload", &unload("m", 1));
    support::wait_until(|| residents(&engine)[0]["residency"] == "unloading");
    let refused = engine.post("/v1/completions", &support::completion("m", 1, false));
    assert_eq!(
        (refused.status, &refused.body["error"]["code"]),
        (404, &json!("model_not_loaded"))
    );
    assert!(!order.is_finished());
    engine.post("/v1/cancel/r", &json!({}));
    assert_eq!(order.join().unwrap().unwrap().body["residents"], json!([]));
}
