//! Faults of loads and of orders.

mod support;

use apricotdale_core::names::ModelName;
use rstest::rstest;
use serde_json::json;

use apricotdale_standins::engine::EngineStandin;
use apricotdale_standins::engine::Options;
use apricotdale_standins::weights;
use apricotdale_standins::weights::ModelSizes;
use apricotdale_standins::weights::WeightsStandin;

use support::Standin;
use support::load;
use support::unload;

fn engine() -> Standin {
    support::start(EngineStandin::new(Options {
        boot: Some(1),
        ..Options::default()
    }))
}

fn residency(engine: &Standin) -> serde_json::Value {
    engine.get("/status").body["residents"][0]["residency"].clone()
}

/// Guards against memory that stays reserved: a load fails after it has begun, because the engine
/// could not load the weights. Its memory must be free again, so that the next load succeeds.
#[test]
fn failed_load_frees_memory() {
    let engine = engine();
    engine.fault(&json!({"load": "die"}));
    let failed = engine.post("/orders/load", &load("m", 1));
    assert_eq!(
        (failed.status, &failed.body["reason"]),
        (422, &json!("weights_failed"))
    );
    assert_eq!(engine.get("/status").body["residents"], json!([]));
    assert_eq!(engine.effects()["most_bytes_held"], 10);
    assert_eq!(engine.post("/orders/load", &load("m", 1)).status, 200);
    assert_eq!(engine.effects()["loads"], json!({"m": 1}));
}

#[test]
fn hanging_load() {
    let engine = engine();
    engine.fault(&json!({"load": "hang"}));
    let orders = [
        engine.post_in_background("/orders/load", &load("m", 1)),
        engine.post_in_background("/orders/load", &load("m", 1)),
    ];
    support::wait_until(|| engine.effects()["load_orders"] == 2);
    support::wait_until(|| residency(&engine) == "loading");
    assert!(orders.iter().all(|order| !order.is_finished()));
    engine.fault(&json!({"load": "finish"}));
    for order in orders {
        assert_eq!(order.join().unwrap().unwrap().status, 200);
    }
    assert_eq!(engine.effects()["loads"], json!({"m": 1}));
}

/// The sender of a load order disconnects while the load is in progress. The engine does not check
/// the connection while it loads, so that the model is loaded nevertheless.
#[test]
fn load_without_caller() {
    let engine = engine();
    engine.fault(&json!({"load": "hang"}));
    let caller = engine.send_only("/orders/load", "r", &load("m", 1));
    support::wait_until(|| residency(&engine) == "loading");
    drop(caller);
    engine.fault(&json!({"load": "finish"}));
    support::wait_until(|| residency(&engine) == "loaded");
}

/// An order takes effect, but its answer is lost, so that its sender does not know the outcome. A
/// retry finds the order already carried out.
#[rstest]
#[case::load("load", 1)]
#[case::unload("unload", 0)]
fn lost_answer(#[case] kind: &str, #[case] residents: usize) {
    let engine = engine();
    let order = match kind {
        "load" => load("m", 1),
        _ => unload("m", 1),
    };
    if kind == "unload" {
        engine.post("/orders/load", &load("m", 1));
    }
    engine.fault(&json!({"answer_lost": kind}));
    let path = format!("/orders/{kind}");
    assert_eq!(engine.try_post(&path, &order), None);
    let status = engine.get("/status").body;
    assert_eq!(status["residents"].as_array().unwrap().len(), residents);
    assert_eq!(engine.post(&path, &order).status, 200);
}

/// The engine process restarts while one model is loaded, one load hangs and one order is delayed.
/// Models and orders are lost, connections break, and the boot number shows the new process.
#[test]
fn engine_restart() {
    let engine = engine();
    engine.post("/orders/load", &load("m", 5));
    engine.fault(&json!({"load": "hang"}));
    let hanging = engine.post_in_background("/orders/load", &load("n", 5));
    support::wait_until(|| engine.get("/status").body["residents"][1] != json!(null));
    engine.fault(&json!({"hold_orders": true}));
    let held = engine.post_in_background("/orders/unload", &unload("m", 5));
    support::wait_until(|| engine.effects()["unload_orders"] == 1);
    engine.fault(&json!({"restart": true, "hold_orders": false}));
    assert_eq!(
        (hanging.join().unwrap(), held.join().unwrap()),
        (None, None)
    );
    let status = engine.get("/status").body;
    assert_eq!(
        (&status["boot"], &status["residents"]),
        (&json!(2), &json!([]))
    );
    assert_eq!(status["highest_fence"], 0);
    assert_eq!(engine.post("/orders/load", &load("n", 1)).status, 200);
    assert_eq!(engine.effects()["loads"], json!({"m": 1, "n": 1}));
}

/// A load fails on a healthy engine, because the weight store is down, above its rate, or does not
/// hold the model.
#[rstest]
#[case::down(10, "down", "m", "weights_failed")]
#[case::above_the_rate(0, "up", "m", "weights_failed")]
#[case::not_held(10, "up", "x", "unknown")]
fn weights_unavailable(
    #[case] loads_per_s: u32,
    #[case] mode: &str,
    #[case] model: &str,
    #[case] reason: &str,
) {
    let options = weights::Options {
        loads_per_s,
        ..weights::Options::default()
    };
    let sizes = ModelSizes::listed([(ModelName::new("m"), 10)]);
    let store = support::start(WeightsStandin::with_sizes(options, sizes));
    store.fault(&json!({"mode": mode}));
    let engine = support::start(EngineStandin::new(Options {
        weights: Some(store.address()),
        ..Options::default()
    }));
    let refused = engine.post("/orders/load", &load(model, 1));
    assert_eq!(
        (refused.status, &refused.body["reason"]),
        (422, &json!(reason))
    );
    assert_eq!(engine.get("/status").body["residents"], json!([]));
}

#[test]
fn cached_checkpoint() {
    let store = support::start(WeightsStandin::new(weights::Options::default()).unwrap());
    let engine = support::start(EngineStandin::new(Options {
        weights: Some(store.address()),
        disk_cache_bytes: 10,
        ..Options::default()
    }));
    for _ in 0..2 {
        assert_eq!(engine.post("/orders/load", &load("m", 1)).status, 200);
        assert_eq!(engine.post("/orders/unload", &unload("m", 1)).status, 200);
    }
    assert_eq!(store.effects()["loads"], 1);
    let held = json!([{"model": "m", "tier": "disk"}]);
    assert_eq!(engine.get("/load").body["checkpoints"], held);
}
