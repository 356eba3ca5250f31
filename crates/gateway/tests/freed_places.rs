//! The slot of a request is released however the request ends.

mod support;

use apricotdale_core::Error;
use apricotdale_core::names::GroupName;
use apricotdale_gateway::service_target;
use rstest::rstest;
use support::Bench;
use support::SERVICE;
use support::engine::Act;
use support::engine::event;
use support::engine::not_loaded;
use support::engine::stream_head;

/// Guards against an end of a request that does not release its slot: a model would serve fewer and
/// fewer requests. Each case ends the request in the only slot.
#[rstest]
#[case::answered(vec![Act::Head(200, "text/plain", Some("{id}")), Act::Piece("x".to_owned())], 200)]
#[case::failed(vec![Act::Fail(Error::rejected("no"))], 200)]
#[case::gone(not_loaded(), 200)]
#[case::silent(vec![Act::Hold, Act::Cut], 504)]
#[case::panicked(vec![Act::Panic], 200)]
fn a_place_is_free_again(#[case] acts: Vec<Act>, #[case] status: u16) {
    let bench = Bench::cold();
    bench.load_with("engine-1", 1, 1);
    bench.engine.script(acts);
    let timeout = if status == 504 { "500" } else { "20000" };
    let first = bench
        .caller()
        .complete(&[("X-Request-Timeout-Ms", timeout)]);
    assert_eq!(first.status, status);
    assert_eq!(bench.caller().complete(&[]).status, 200);
}

#[test]
fn a_place_is_free_after_a_hang_up_and_after_a_cut_stream() {
    let bench = Bench::cold();
    bench.load_with("engine-1", 1, 1);
    bench
        .engine
        .script(vec![stream_head(), event("a"), Act::Hold]);
    bench
        .engine
        .script(vec![stream_head(), event("a"), Act::Cut]);
    let mut hanging = bench.caller();
    hanging.stream(&[]);
    bench.engine.wait_held();
    drop(hanging);
    let mut cut = bench.caller();
    cut.stream(&[]);
    cut.head();
    assert_eq!(bench.caller().complete(&[]).status, 200);
}

#[test]
fn a_service_gives_its_place_back_only_with_its_answer() {
    let bench = Bench::warm();
    bench
        .gateway
        .set_capacity(service_target(&GroupName::new(SERVICE)), 1, None);
    *bench.service.holds.lock() = true;
    let mut first = bench.caller();
    first.send(
        "GET",
        "/services/booking-app/stock",
        &[("X-Request-Timeout-Ms", "500")],
        "",
    );
    bench.service.wait_held();
    assert_eq!(first.answer().refusal().1, "deadline_passed");
    let mut second = bench.caller();
    second.send(
        "GET",
        "/services/booking-app/stock",
        &[("X-Request-Timeout-Ms", "500")],
        "",
    );
    let told = second.answer().refusal();
    assert_eq!(
        told,
        (504, "deadline_passed".to_owned(), "not_run".to_owned())
    );
    assert_eq!(
        bench.service.call_count(),
        1,
        "the only place was given twice"
    );
    *bench.service.holds.lock() = false;
    bench.service.release.0.send(()).expect("the service holds");
    let third = bench
        .caller()
        .call("GET", "/services/booking-app/stock", &[], "");
    assert_eq!(third.status, 200);
}
