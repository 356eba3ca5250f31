//! The plain service and its faults.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::service::ServiceStandin;

const KEY_AND_REQUEST: &[(&str, &str)] = &[("Idempotency-Key", "k"), ("X-Request-Id", "r")];

#[test]
fn counted_calls() {
    let service = support::start(ServiceStandin::new());
    let first = service
        .try_post_with("/orders?x=1", &json!({}), KEY_AND_REQUEST)
        .unwrap();
    assert_eq!(first.body, json!({"call": "POST /orders", "count": 1}));
    let second = service
        .try_post_with("/orders", &json!({}), KEY_AND_REQUEST)
        .unwrap();
    assert_eq!(second.body["count"], 2);
    service.get("/stock");
    let effects = service.effects();
    assert_eq!(
        effects["calls"],
        json!({"GET /stock": 1, "POST /orders": 2})
    );
    assert_eq!(
        (&effects["keys"], &effects["requests"]),
        (&json!({"k": 2}), &json!({"r": 2}))
    );
}

/// A call is made during a fault, and its effect is read after it. A refused call has no effect,
/// while a call whose answer was lost has.
#[rstest]
#[case::refuse("refuse", Some(503), 0)]
#[case::lost_answer("lost_answer", None, 1)]
#[case::slow("slow", Some(200), 1)]
fn fault_outcomes(#[case] mode: &str, #[case] status: Option<u16>, #[case] effect: u64) {
    let service = support::start(ServiceStandin::new());
    service.fault(&json!({"mode": mode, "count": 1, "delay_ms": 1}));
    let answer = service.try_post_with("/book", &json!({}), KEY_AND_REQUEST);
    assert_eq!(answer.map(|answer| answer.status), status);
    assert_eq!(service.effects()["keys"]["k"].as_u64().unwrap_or(0), effect);
    assert_eq!(
        service.post("/book", &json!({})).status,
        200,
        "the fault was for one call"
    );
}

/// The service holds a call until its fault ends, so that the effect can come after the caller's
/// timeout: a slow service carries the call out after the delay, a hanging one before it answers.
#[rstest]
#[case::slow("slow", 0)]
#[case::hang("hang", 1)]
fn held_call(#[case] mode: &str, #[case] effect_while_held: u64) {
    let service = support::start(ServiceStandin::new());
    service.fault(&json!({"mode": mode, "delay_ms": 3_600_000}));
    let call = service.post_in_background("/book", &json!({}));
    support::wait_until(|| service.effects()["held"] == 1);
    let effect = service.effects()["calls"]["POST /book"]
        .as_u64()
        .unwrap_or(0);
    assert_eq!(effect, effect_while_held);
    service.fault(&json!({"mode": "up"}));
    assert_eq!(call.join().unwrap().unwrap().body["count"], 1);
}
