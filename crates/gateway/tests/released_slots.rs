//! The slot of a request is released however the request ends.

mod support;

use apricotdale_core::Error;
use apricotdale_core::names::GroupName;
use apricotdale_gateway::service_target;
use rstest::rstest;
use support::Fixture;
use support::SERVICE;
use support::engine::ScriptStep;
use support::engine::event;
use support::engine::not_loaded;
use support::engine::stream_head;

/// Guards against an end of a request that does not release its slot: a model would serve fewer and
/// fewer requests. Each case ends the request in the only slot.
#[rstest]
#[case::answered(vec![ScriptStep::Head(200, "text/plain", Some("{id}")), ScriptStep::Piece("x".to_owned())], 200)]
#[case::failed(vec![ScriptStep::Fail(Error::rejected("no"))], 200)]
#[case::not_loaded(not_loaded(), 200)]
#[case::silent(vec![ScriptStep::Hold, ScriptStep::Cut], 504)]
#[case::panicked(vec![ScriptStep::Panic], 200)]
fn slot_released(#[case] steps: Vec<ScriptStep>, #[case] status: u16) {
    let fixture = Fixture::cold();
    fixture.load_with("engine-1", 1, 1);
    fixture.engine.script(steps);
    let timeout = if status == 504 { "500" } else { "20000" };
    let first = fixture
        .caller()
        .complete(&[("X-Request-Timeout-Ms", timeout)]);
    assert_eq!(first.status, status);
    assert_eq!(fixture.caller().complete(&[]).status, 200);
}

#[test]
fn slot_after_hangup() {
    let fixture = Fixture::cold();
    fixture.load_with("engine-1", 1, 1);
    fixture
        .engine
        .script(vec![stream_head(), event("a"), ScriptStep::Hold]);
    fixture
        .engine
        .script(vec![stream_head(), event("a"), ScriptStep::Cut]);
    let mut hung_up_caller = fixture.caller();
    hung_up_caller.stream(&[]);
    fixture.engine.wait_held();
    drop(hung_up_caller);
    let mut cut = fixture.caller();
    cut.stream(&[]);
    cut.head();
    assert_eq!(fixture.caller().complete(&[]).status, 200);
}

#[test]
fn service_holds_slot() {
    let fixture = Fixture::warm();
    fixture
        .gateway
        .set_capacity(service_target(&GroupName::new(SERVICE)), 1, None);
    *fixture.service.holds.lock() = true;
    let mut first = fixture.caller();
    first.send(
        "GET",
        "/services/booking-app/stock",
        &[("X-Request-Timeout-Ms", "500")],
        "",
    );
    fixture.service.wait_held();
    assert_eq!(first.answer().refusal().1, "deadline_passed");
    let mut second = fixture.caller();
    second.send(
        "GET",
        "/services/booking-app/stock",
        &[("X-Request-Timeout-Ms", "500")],
        "",
    );
    let received = second.answer().refusal();
    assert_eq!(
        received,
        (504, "deadline_passed".to_owned(), "not_run".to_owned())
    );
    assert_eq!(
        fixture.service.call_count(),
        1,
        "the only slot was assigned twice"
    );
    *fixture.service.holds.lock() = false;
    fixture
        .service
        .release
        .0
        .send(())
        .expect("the service holds");
    let third = fixture
        .caller()
        .call("GET", "/services/booking-app/stock", &[], "");
    assert_eq!(third.status, 200);
}
