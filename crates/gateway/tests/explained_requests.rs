//! Traces of past requests.

mod support;

use apricotdale_core::Error;
use apricotdale_gateway::Options;
use apricotdale_gateway::Step;
use support::Bench;
use support::caller::Answer;
use support::engine::Act;

fn id(answer: &Answer) -> apricotdale_core::names::RequestId {
    answer.header("x-request-id").expect("an identity").into()
}

#[test]
fn the_steps_of_a_retried_request_are_told_in_order() {
    let bench = Bench::warm();
    bench.load("engine-2", 2);
    bench
        .engine
        .script(vec![Act::Fail(Error::unknown("reset"))]);
    let answer = bench.caller().complete(&[("X-Request-Id", "order-77")]);
    bench.settle();
    let trace = bench.gateway.explain(&id(&answer)).expect("a trace");
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
fn only_the_last_requests_are_remembered() {
    let options = Options {
        max_traces: 2,
        max_trace_steps: 3,
        ..Options::default()
    };
    let bench = Bench::with(options, apricotdale_http::Options::default());
    bench.load("engine-1", 1);
    let mut caller = bench.caller();
    let ids: Vec<_> = (0..3).map(|_| id(&caller.complete(&[]))).collect();
    let probe = id(&caller.call("GET", "/health/live", &[], ""));
    bench.settle();
    assert!(bench.gateway.explain(&ids[0]).is_none());
    assert!(bench.gateway.explain(&probe).is_none());
    let trace = bench.gateway.explain(&ids[1]).expect("a trace");
    assert_eq!((trace.steps.len(), trace.left_out), (3, 3));
    assert!(matches!(trace.steps[0].step, Step::Arrived { .. }));
}
