//! Cold starts and idle memory, from the models that engines hold over a run.

use std::time::Duration;

use rstest::rstest;

use apricotdale_load_tool::load::timeline::HeldModel;
use apricotdale_load_tool::load::timeline::Occupancy;
use apricotdale_load_tool::load::timeline::Timeline;

const CAPACITY: u64 = 40;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn held(model: &str, loaded: bool) -> HeldModel {
    HeldModel {
        model: model.to_owned(),
        loaded,
        bytes: 10,
    }
}

/// Engine e1 loads m1 from 10 s on and can serve it from 20 s to 60 s; e2 can from 40 s to 80 s.
fn timeline() -> Timeline {
    let mut timeline = Timeline::default();
    timeline.record(at(0), "e1", Vec::new());
    timeline.record(at(10), "e1", vec![held("m1", false)]);
    timeline.record(at(20), "e1", vec![held("m1", true)]);
    timeline.record(at(30), "e1", vec![held("m1", true)]);
    timeline.record(at(60), "e1", Vec::new());
    timeline.record(at(0), "e2", Vec::new());
    timeline.record(at(40), "e2", vec![held("m1", true)]);
    timeline.record(at(80), "e2", vec![held("m1", true)]);
    timeline
}

fn used(engine: &str, models: &[&str], from: u64, to: u64) -> Occupancy {
    Occupancy {
        engine: engine.to_owned(),
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        from: at(from),
        to: at(to),
    }
}

#[rstest]
#[case::before_the_load("m1", 5, Some(20))]
#[case::while_it_loads("m1", 15, Some(20))]
#[case::while_it_is_held("m1", 25, Some(25))]
#[case::on_another_engine("m1", 70, Some(70))]
#[case::after_the_end("m1", 80, None)]
#[case::another_model("m2", 5, None)]
fn cold_start_end(#[case] model: &str, #[case] from: u64, #[case] expected: Option<u64>) {
    assert_eq!(timeline().first_loaded(model, at(from)), expected.map(at));
}

/// m1 occupies a quarter of an accelerator for 50 s on e1, its load included, and 40 s on e2.
#[rstest]
#[case::never_used(&[], 90)]
#[case::used_for_a_while(&[used("e1", &["m1"], 20, 30)], 80)]
#[case::two_requests_at_once(&[used("e1", &["m1"], 20, 30), used("e1", &["m1"], 25, 35)], 75)]
#[case::one_request_within_another(&[used("e1", &["m1"], 20, 40), used("e1", &["m1"], 25, 35)], 70)]
#[case::longer_than_it_is_held(&[used("e1", &["m1"], 50, 70)], 80)]
#[case::by_an_adapter(&[used("e1", &["a1", "m1"], 20, 30)], 80)]
#[case::another_model(&[used("e1", &["m2"], 20, 30)], 90)]
#[case::on_another_engine(&[used("e3", &["m1"], 20, 30)], 90)]
fn unused_memory_idle(#[case] occupancies: &[Occupancy], #[case] held_s: u64) {
    let idle = timeline().idle(occupancies, CAPACITY, at(0), at(80));
    assert_eq!(idle, at(held_s) / 4);
}

#[test]
fn idle_within_interval() {
    let idle = timeline().idle(&[], CAPACITY, at(50), at(70));
    assert_eq!(idle, (at(10) + at(20)) / 4);
}
