//! Requests for a model that is not loaded.

mod support;

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::ServingEvent;
use support::Bench;
use support::MODEL;

fn is_arrival(event: &DemandEvent) -> bool {
    matches!(event, DemandEvent::Arrived { .. })
}

#[test]
fn a_request_waits_for_its_model_and_tells_the_demand() {
    let bench = Bench::cold();
    let mut caller = bench.caller();
    caller.send_completion(&[]);
    bench.demand.0.wait_for(is_arrival);
    bench.load("engine-1", 1);
    assert_eq!(caller.answer().status, 200);
    bench.settle();
    let kinds: Vec<&str> = bench
        .demand
        .0
        .all()
        .iter()
        .map(|event| match event {
            DemandEvent::Arrived { model, .. } if model.as_str() == MODEL => "arrived",
            DemandEvent::Started { .. } => "started",
            DemandEvent::Ended { .. } => "ended",
            _ => "other",
        })
        .collect();
    assert_eq!(kinds, ["arrived", "started", "ended"]);
    let cold = |event: &ServingEvent| matches!(event, ServingEvent::ColdStart { .. });
    bench.observer.0.wait_for(cold);
}

/// Guards against callers that wait until their deadline although the load of their model has
/// already failed.
#[test]
fn all_requests_that_wait_for_a_hopeless_model_are_refused() {
    let bench = Bench::cold();
    let mut callers: Vec<_> = (0..3).map(|_| bench.caller()).collect();
    for caller in &mut callers {
        caller.send_completion(&[]);
    }
    bench.demand.0.wait_for_nth(3, is_arrival);
    let refusal = Refusal::not_run(RefusalReason::LoadFailed, "the weights are gone");
    let mut refused = 0;
    while refused < 3 {
        refused += bench.gateway.refuse_waiting(&MODEL.into(), &refusal);
    }
    for caller in &mut callers {
        let told = caller.answer().refusal();
        assert_eq!(told, (503, "load_failed".to_owned(), "not_run".to_owned()));
    }
    bench.settle();
    bench.load("engine-1", 1);
    assert_eq!(bench.caller().complete(&[]).status, 200);
}
