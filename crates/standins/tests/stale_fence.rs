//! Fencing numbers.

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

/// Symptom: an order that was decided long ago undoes a later decision.
/// Sequence: an order with number 5 is obeyed, then one with another number arrives.
/// Cause: the older order was held up on its way. The number shows it, and the engine refuses.
#[rstest]
#[case::lower_load("/orders/load", load("b", 4), 409)]
#[case::lower_unload("/orders/unload", unload("a", 4), 409)]
#[case::lower_fence("/orders/fence", json!({"fence": 4}), 409)]
#[case::equal("/orders/load", load("b", 5), 200)]
#[case::higher("/orders/load", load("b", 6), 200)]
fn only_lower_numbers_are_refused(#[case] path: &str, #[case] order: Value, #[case] status: u16) {
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
fn a_raised_fence_refuses_older_orders() {
    let engine = engine(true);
    let raised = engine.post("/orders/fence", &json!({"fence": 9}));
    assert_eq!(
        (raised.status, &raised.body["highest_fence"]),
        (200, &json!(9))
    );
    assert_eq!(engine.post("/orders/load", &load("a", 8)).status, 409);
}

#[test]
fn an_engine_that_does_not_check_obeys_every_order() {
    let engine = engine(false);
    engine.post("/orders/load", &load("a", 5));
    assert_eq!(
        engine.post("/orders/fence", &json!({"fence": 9})).status,
        200
    );
    assert_eq!(engine.post("/orders/unload", &unload("a", 1)).status, 200);
    assert_eq!(engine.get("/status").body["checks_fence"], false);
}

/// Symptom: a load takes effect that its proposer believed lost, and that another VM has replaced.
/// Sequence: a load with number 3 is received and held up, another VM raises the fence to 4, the
/// load goes on.
/// Cause: the order was on its way all the time. The raised fence is what keeps it from acting.
#[rstest]
#[case::checks(true, Some(409))]
#[case::does_not_check(false, Some(200))]
fn a_held_order_meets_the_fence_raised_meanwhile(
    #[case] checks_fence: bool,
    #[case] status: Option<u16>,
) {
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
fn held_orders_act_in_the_sequence_of_their_arrival() {
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
fn a_held_order_of_a_row_meets_the_fence_of_the_one_before() {
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
        "the load had raised the fence"
    );
}
