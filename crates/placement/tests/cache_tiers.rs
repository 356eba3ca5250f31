//! Choice of the engine for a load.

mod support;

use rstest::rstest;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::engine;
use support::engine_with_checkpoint;
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
    engine_with_checkpoint("e1", "m", CacheTier::Disk),
    engine_with_checkpoint("e2", "m", CacheTier::Memory),
    "e2"
)]
#[case::disk_before_remote(engine_with_checkpoint("e1", "m", CacheTier::Disk), engine("e2"), "e1")]
#[case::empty_before_full(busy(engine("e1"), 8), engine("e2"), "e2")]
#[case::near_checkpoint_before_empty(
    busy(engine_with_checkpoint("e1", "m", CacheTier::Memory), 4),
    engine("e2"),
    "e1"
)]
fn best_engine_chosen(
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
fn leaving_engine_avoided() {
    let mut policy = learned();
    let mut leaving = engine_with_checkpoint("e1", "m", CacheTier::Memory);
    leaving.accepts = false;
    let view = fleet(
        vec![leaving, engine("e2")],
        vec![waiting("m", 1, 60_000)],
        Vec::new(),
    );
    assert_eq!(loads(&policy.plan(0, &view)), [pair("m", "e2")]);
}

/// Guards against evicting a frequently used model for a rarely used one. When both are idle, the
/// time of the last use says little about the time of the next.
#[test]
fn rarer_model_evicted() {
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
    // The rarely used model was used last.
    assert_eq!(
        unloads(&policy.plan(239 * 60_000 + 1_000, &view)),
        [pair("rarely", "e1")]
    );
}
