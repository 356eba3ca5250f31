//! The plain service and its faults.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::service::ServiceStandin;

const KEY_AND_REQUEST: &[(&str, &str)] = &[("Idempotency-Key", "k"), ("X-Request-Id", "r")];

#[test]
fn calls_are_counted_by_path_key_and_request() {
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

/// Symptom: a caller can't tell whether its booking was made.
/// Sequence: the service is faulty for one call, the call is made, its effect is looked for.
/// Cause: a refused call has no effect; one whose answer was lost has.
#[rstest]
#[case::refuse("refuse", Some(503), 0)]
#[case::lost_answer("lost_answer", None, 1)]
#[case::slow("slow", Some(200), 1)]
fn each_fault_leaves_what_it_says(
    #[case] mode: &str,
    #[case] status: Option<u16>,
    #[case] effect: u64,
) {
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

/// Symptom: a call's effect shows up although its caller has long gone away.
/// Sequence: the service holds the call, the caller waits, the service works again.
/// Cause: a slow service takes effect after the delay, a hanging one before it answers.
#[rstest]
#[case::slow("slow", 0)]
#[case::hang("hang", 1)]
fn a_held_call_goes_on_later(#[case] mode: &str, #[case] effect_while_held: u64) {
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
