//! Fencing tokens of orders.

mod support;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use apricotdale_standins::engine::EngineStandin;
use apricotdale_standins::engine::Options;
use apricotdale_standins::engine::OrderGate;

use support::Standin;
use support::load;
use support::unload;

fn engine(checks_fence: bool) -> Standin {
    support::start(EngineStandin::new(Options {
        checks_fence,
        ..Options::default()
    }))
}

/// Guards against a delayed order that undoes a later decision: an order with token 5 is carried
/// out, then one with another token arrives. A lower token shows that the order is older.
#[rstest]
#[case::lower_load("/orders/load", load("b", 4), 409)]
#[case::lower_unload("/orders/unload", unload("a", 4), 409)]
#[case::lower_fence("/orders/fence", json!({"fence": 4}), 409)]
#[case::equal("/orders/load", load("b", 5), 200)]
#[case::higher("/orders/load", load("b", 6), 200)]
fn lower_token_refused(#[case] path: &str, #[case] order: Value, #[case] status: u16) {
    let engine = engine(true);
    engine.post("/orders/load", &load("a", 5));
    let before = engine.get("/status").body;
    let answer = engine.post(path, &order);
    assert_eq!(answer.status, status);
    if status == 409 {
        assert_eq!(answer.body, json!({"reason": "stale_fence", "highest": 5}));
        assert_eq!(engine.get("/status").body, before);
        assert_eq!(engine.effects()["refused_orders"], 1);
    }
}

#[test]
fn raised_token() {
    let engine = engine(true);
    let raised = engine.post("/orders/fence", &json!({"fence": 9}));
    assert_eq!(
        (raised.status, &raised.body["highest_fence"]),
        (200, &json!(9))
    );
    assert_eq!(engine.post("/orders/load", &load("a", 8)).status, 409);
}

#[test]
fn unchecked_tokens() {
    let engine = engine(false);
    engine.post("/orders/load", &load("a", 5));
    assert_eq!(
        engine.post("/orders/fence", &json!({"fence": 9})).status,
        200
    );
    assert_eq!(engine.post("/orders/unload", &unload("a", 1)).status, 200);
    assert_eq!(engine.get("/status").body["checks_fence"], false);
}

/// Guards against a delayed load that takes effect after another VM has replaced it: a load with
/// token 3 is received and delayed, another VM raises the token to 4, and the load proceeds. An
/// engine that checks tokens refuses it.
#[rstest]
#[case::checks(true, Some(409))]
#[case::does_not_check(false, Some(200))]
fn token_raised_meanwhile(#[case] checks_fence: bool, #[case] status: Option<u16>) {
    let engine = engine(checks_fence);
    engine.fault(&json!({"hold_orders": true}));
    let held = engine.post_in_background("/orders/load", &load("a", 3));
    support::wait_until(|| engine.effects()["load_orders"] == 1);
    let raised = engine.post("/orders/fence", &json!({"fence": 4}));
    assert_eq!(
        (raised.status, &raised.body["residents"]),
        (200, &json!([]))
    );
    engine.fault(&json!({"hold_orders": false}));
    assert_eq!(held.join().unwrap().map(|answer| answer.status), status);
}

#[test]
fn arrival_order() {
    let mut gate = OrderGate::default();
    gate.set_closed(true);
    let [first, second] = [gate.enqueue(), gate.enqueue()];
    assert!(!gate.try_pass(first));
    gate.set_closed(false);
    assert!(!gate.try_pass(second), "the first order has not passed");
    assert!(gate.try_pass(first));
    assert!(gate.try_pass(second));
}

#[test]
fn queued_order_refused() {
    let engine = engine(true);
    engine.fault(&json!({"hold_orders": true}));
    let load = engine.post_in_background("/orders/load", &load("a", 2));
    support::wait_until(|| engine.effects()["load_orders"] == 1);
    let unload = engine.post_in_background("/orders/unload", &unload("a", 1));
    support::wait_until(|| engine.effects()["unload_orders"] == 1);
    engine.fault(&json!({"hold_orders": false}));
    assert_eq!(load.join().unwrap().unwrap().status, 200);
    assert_eq!(
        unload.join().unwrap().unwrap().status,
        409,
        "the load has raised the token"
    );
}
