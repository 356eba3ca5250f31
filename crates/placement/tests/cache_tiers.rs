//! Which engine takes a load.

mod support;

use rstest::rstest;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::caching;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::pair;
use support::replica;
use support::unloads;
use support::waiting;

fn busy(engine: EngineView, busy: u32) -> EngineView {
    EngineView { busy, ..engine }
}

#[rstest]
#[case::memory_before_disk(
    caching("e1", "m", CacheTier::Disk),
    caching("e2", "m", CacheTier::Memory),
    "e2"
)]
#[case::disk_before_remote(caching("e1", "m", CacheTier::Disk), engine("e2"), "e1")]
#[case::empty_before_full(busy(engine("e1"), 8), engine("e2"), "e2")]
#[case::near_checkpoint_before_empty(
    busy(caching("e1", "m", CacheTier::Memory), 4),
    engine("e2"),
    "e1"
)]
fn best_engine_takes_the_load(
    #[case] first: EngineView,
    #[case] second: EngineView,
    #[case] expected: &str,
) {
    let mut policy = learned();
    let view = fleet(
        vec![first, second],
        vec![waiting("m", 1, 60_000)],
        Vec::new(),
    );
    assert_eq!(loads(&policy.plan(0, &view)), [pair("m", expected)]);
}

#[test]
fn engine_that_leaves_gets_no_load() {
    let mut policy = learned();
    let mut leaving = caching("e1", "m", CacheTier::Memory);
    leaving.accepts = false;
    let view = fleet(
        vec![leaving, engine("e2")],
        vec![waiting("m", 1, 60_000)],
        Vec::new(),
    );
    assert_eq!(loads(&policy.plan(0, &view)), [pair("m", "e2")]);
}

/// Symptom: a model that is called all day is evicted for one that is loaded once. Sequence: both
/// are idle for a moment when room is needed. Cause: which was used last says little of which will
/// be used next.
#[test]
fn model_with_the_later_next_use_is_evicted() {
    let mut policy = learned();
    let replicas = || {
        let mut often = replica("often", "e1", true);
        often.bytes = 40 * GB;
        let mut rarely = replica("rarely", "e1", true);
        rarely.bytes = 40 * GB;
        vec![often, rarely]
    };
    let idle = || vec![model("often"), model("rarely")];
    let quiet = || fleet(vec![engine("e1")], idle(), replicas());
    for minute in 0..240 {
        let now_ms = minute * 60_000;
        policy.arrived(now_ms, &"often".into());
        if minute % 120 == 119 {
            policy.arrived(now_ms, &"rarely".into());
        }
        policy.plan(now_ms, &quiet());
    }
    let mut models = idle();
    models.push(waiting("m", 1, 60_000));
    let view = fleet(vec![engine("e1")], models, replicas());
    // The model called rarely was used last.
    assert_eq!(
        unloads(&policy.plan(239 * 60_000 + 1_000, &view)),
        [pair("rarely", "e1")]
    );
}
