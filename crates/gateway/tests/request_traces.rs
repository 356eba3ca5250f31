//! Traces of past requests.

mod support;

use apricotdale_core::Error;
use apricotdale_gateway::Options;
use apricotdale_gateway::Step;
use support::Fixture;
use support::caller::Answer;
use support::engine::ScriptStep;

fn id(answer: &Answer) -> apricotdale_core::names::RequestId {
    answer.header("x-request-id").expect("an identity").into()
}

#[test]
fn retried_request_steps() {
    let fixture = Fixture::warm();
    fixture.load("engine-2", 2);
    fixture
        .engine
        .script(vec![ScriptStep::Fail(Error::unknown("reset"))]);
    let answer = fixture.caller().complete(&[("X-Request-Id", "order-77")]);
    fixture.wait_idle();
    let trace = fixture.gateway.explain(&id(&answer)).expect("a trace");
    let json = serde_json::to_value(&trace).expect("JSON");
    let steps = json["steps"].as_array().expect("steps");
    let names: Vec<&str> = steps
        .iter()
        .filter_map(|step| step["step"].as_str())
        .collect();
    let expected = [
        "arrived",
        "classified",
        "queued",
        "admitted",
        "chosen",
        "try_failed",
        "retry",
        "chosen",
        "answered",
    ];
    assert_eq!(names, expected);
    assert_eq!(steps[0]["correlation"], "order-77");
    assert_eq!(steps[5]["reason"], "upstream_lost");
    assert_eq!(steps[7]["upstream"], "engine-2");
    assert_eq!(steps[7]["tried"][0], "engine-1");
}

#[test]
fn oldest_trace_dropped() {
    let options = Options {
        max_traces: 2,
        max_trace_steps: 3,
        ..Options::default()
    };
    let fixture = Fixture::with(options, apricotdale_http::Options::default());
    fixture.load("engine-1", 1);
    let mut caller = fixture.caller();
    let ids: Vec<_> = (0..3).map(|_| id(&caller.complete(&[]))).collect();
    let probe = id(&caller.call("GET", "/health/live", &[], ""));
    fixture.wait_idle();
    assert!(fixture.gateway.explain(&ids[0]).is_none());
    assert!(fixture.gateway.explain(&probe).is_none());
    let trace = fixture.gateway.explain(&ids[1]).expect("a trace");
    assert_eq!((trace.steps.len(), trace.left_out), (3, 3));
    assert!(matches!(trace.steps[0].step, Step::Arrived { .. }));
}
