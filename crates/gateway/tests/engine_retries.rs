//! A model call is retried only as long as its caller has received nothing.

mod support;

use apricotdale_core::Error;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::ServingEvent;
use apricotdale_gateway::Options;
use rstest::rstest;
use support::Fixture;
use support::engine::ScriptStep;
use support::engine::not_loaded;

fn head(status: u16) -> Vec<ScriptStep> {
    let body = ScriptStep::Piece("{}".to_owned());
    vec![
        ScriptStep::Head(status, "application/json", Some("{id}")),
        body,
    ]
}

#[rstest]
#[case::unavailable(vec![ScriptStep::Fail(Error::unavailable("refused"))])]
#[case::lost(vec![ScriptStep::Fail(Error::unknown("reset"))])]
#[case::not_loaded(not_loaded())]
#[case::busy(head(503))]
#[case::fault(head(500))]
#[case::body_lost(vec![ScriptStep::Head(200, "application/json", Some("{id}")), ScriptStep::Cut])]
#[case::no_body(vec![ScriptStep::Head(200, "application/json", Some("{id}"))])]
fn failed_attempt_retried(#[case] steps: Vec<ScriptStep>) {
    let fixture = Fixture::warm();
    fixture.load("engine-2", 2);
    fixture.engine.script(steps);
    let answer = fixture.caller().complete(&[]);
    assert_eq!(answer.status, 200, "{answer:?}");
    let served = fixture.engine.served.lock().clone();
    let ports: Vec<u16> = served.iter().map(|(address, _)| address.port()).collect();
    assert_eq!(ports, [1, 2]);
    assert_eq!(served[0].1.id, served[1].1.id);
    let again = RetryDecision::RetryAfterMs(0);
    fixture.observer.0.wait_for(
        |event| matches!(event, ServingEvent::Retry { decision, .. } if *decision == again),
    );
}

/// Guards against a retry on every status but 200: the engine answers that the request itself is
/// wrong, and it would be wrong at every other engine too.
#[rstest]
#[case::wrong(400)]
#[case::unknown_option(422)]
#[case::other_404(404)]
fn client_error_relayed(#[case] status: u16) {
    let fixture = Fixture::warm();
    fixture.engine.script(head(status));
    let answer = fixture.caller().complete(&[]);
    assert_eq!((answer.status, answer.body.as_str()), (status, "{}"));
    assert_eq!(fixture.engine.served_count(), 1);
}

/// Guards against a retry that only considers other engines: the only engine has unloaded the
/// model, which the directory does not show yet, and the request must wait for a load.
#[test]
fn unloaded_model_waits() {
    let fixture = Fixture::warm();
    fixture.gateway.set_capacity(support::MODEL.into(), 1, None);
    fixture.engine.script(vec![
        ScriptStep::Hold,
        not_loaded()[0].clone(),
        not_loaded()[1].clone(),
    ]);
    let mut caller = fixture.caller();
    caller.send_completion(&[]);
    fixture.engine.wait_held();
    fixture.directory.replicas.lock().clear();
    fixture.gateway.set_capacity(support::MODEL.into(), 0, None);
    fixture.engine.release.0.send(()).expect("the engine holds");
    let missing = |event: &DemandEvent| matches!(event, DemandEvent::Missing { .. });
    let DemandEvent::Missing { upstream, .. } = fixture.demand.0.wait_for(missing) else {
        panic!("no other event was asked for");
    };
    assert_eq!(upstream.as_str(), "engine-1");
    let arrived = |event: &DemandEvent| matches!(event, DemandEvent::Arrived { .. });
    fixture.demand.0.wait_for_nth(2, arrived);
    fixture.load("engine-2", 2);
    assert_eq!(caller.answer().status, 200);
    assert_eq!(fixture.engine.served.lock()[1].0.port(), 2);
}

/// Guards against waits for a load that count as attempts: the directory is stale and sends the
/// request again and again to an engine that has unloaded the model.
#[rstest]
#[case::loaded_again(5, 200)]
#[case::never_loaded(1_000, 504)]
fn stale_directory(#[case] missing: usize, #[case] status: u16) {
    let options = Options {
        reload_pause_ms: 1,
        ..Options::default()
    };
    let fixture = Fixture::with(options, apricotdale_http::Options::default());
    fixture.load("engine-1", 1);
    for _ in 0..missing {
        fixture.engine.script(not_loaded());
    }
    let timeout = if status == 504 { "500" } else { "20000" };
    let answer = fixture
        .caller()
        .complete(&[("X-Request-Timeout-Ms", timeout)]);
    assert_eq!(answer.status, status, "{answer:?}");
    let retried = |event: &ServingEvent| matches!(event, ServingEvent::Retry { .. });
    assert!(!fixture.observer.0.all().iter().any(retried));
    if status == 504 {
        let refusal = (504, "deadline_passed".to_owned(), "not_run".to_owned());
        assert_eq!(answer.refusal(), refusal);
    }
}
