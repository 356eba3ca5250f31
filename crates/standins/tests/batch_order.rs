//! Order in which waiting sequences get a slot.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::engine::Admission;
use apricotdale_standins::engine::Batch;
use apricotdale_standins::engine::Options;
use apricotdale_standins::engine::SequenceId;

fn id(entry: Admission) -> SequenceId {
    match entry {
        Admission::Running(id) | Admission::Waiting(id) => id,
        Admission::Full => panic!("the batch is full"),
    }
}

#[rstest]
#[case::by_arrival(&[0, 0, 0], &[0, 1, 2])]
#[case::by_priority(&[2, 0, 1], &[1, 2, 0])]
#[case::priority_before_arrival(&[1, 0, 1], &[1, 0, 2])]
fn priority_order(#[case] priorities: &[u32], #[case] order: &[usize]) {
    let mut batch = Batch::new(1, 9);
    let mut running = id(batch.enter(9));
    let waiting: Vec<SequenceId> = priorities.iter().map(|it| id(batch.enter(*it))).collect();
    for next in order {
        running = batch.leave(running).unwrap();
        assert_eq!(running, waiting[*next]);
        assert_eq!(batch.running(), 1);
    }
    assert_eq!(batch.leave(running), None);
}

#[test]
fn leaving_queued_sequence() {
    let mut batch = Batch::new(1, 1);
    batch.enter(0);
    let waiting = id(batch.enter(0));
    assert_eq!(batch.enter(0), Admission::Full);
    assert_eq!(batch.leave(waiting), None);
    assert_eq!((batch.running(), batch.waiting()), (1, 0));
}

#[test]
fn full_queue_refuses() {
    let options = Options {
        slots: 1,
        queue: 2,
        ..Options::default()
    };
    let engine = support::engine_with(options, &["m"]);
    let mut events = engine.stream("r", "m", 1_000_000);
    events.next().unwrap();
    let later = engine.stream_in_background("later", "m", 1, 5);
    support::wait_until(|| engine.request_state("later") == "running");
    let sooner = engine.stream_in_background("sooner", "m", 1_000_000, 1);
    support::wait_until(|| engine.request_state("sooner") == "running");
    let report = engine.get("/load").body;
    assert_eq!(
        (&report["running"], &report["waiting"], &report["slots"]),
        (&json!(1), &json!(2), &json!(1)),
    );
    let refused = engine.post("/v1/completions", &support::completion("m", 1, false));
    assert_eq!(refused.status, 503);
    engine.post("/v1/cancel/r", &json!({}));
    assert!(sooner.recv().unwrap().contains("tok-sooner-0"));
    assert_eq!(
        engine.request_state("later"),
        "running",
        "a later priority still waits"
    );
    engine.post("/v1/cancel/sooner", &json!({}));
    assert_eq!(later.iter().last().unwrap(), "[DONE]");
}
