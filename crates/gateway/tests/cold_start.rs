//! Requests for a model that is not loaded.

mod support;

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::ServingEvent;
use support::Fixture;
use support::MODEL;

fn is_arrival(event: &DemandEvent) -> bool {
    matches!(event, DemandEvent::Arrived { .. })
}

#[test]
fn cold_start_demand() {
    let fixture = Fixture::cold();
    let mut caller = fixture.caller();
    caller.send_completion(&[]);
    fixture.demand.0.wait_for(is_arrival);
    fixture.load("engine-1", 1);
    assert_eq!(caller.answer().status, 200);
    fixture.wait_idle();
    let kinds: Vec<&str> = fixture
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
    fixture.observer.0.wait_for(cold);
}

/// Guards against callers that wait until their deadline although the load of their model has
/// already failed.
#[test]
fn failed_load_refuses() {
    let fixture = Fixture::cold();
    let mut callers: Vec<_> = (0..3).map(|_| fixture.caller()).collect();
    for caller in &mut callers {
        caller.send_completion(&[]);
    }
    fixture.demand.0.wait_for_nth(3, is_arrival);
    let refusal = Refusal::not_run(RefusalReason::LoadFailed, "the weights are gone");
    let mut refused = 0;
    while refused < 3 {
        refused += fixture.gateway.refuse_waiting(&MODEL.into(), &refusal);
    }
    for caller in &mut callers {
        let received = caller.answer().refusal();
        assert_eq!(
            received,
            (503, "load_failed".to_owned(), "not_run".to_owned())
        );
    }
    fixture.wait_idle();
    fixture.load("engine-1", 1);
    assert_eq!(fixture.caller().complete(&[]).status, 200);
}
