//! Models that engines hold without an accepted load, or lack in spite of one.

mod support;

use rstest::rstest;

use apricotdale_core::engine::LoadOrder;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::FencingToken;

use support::wait_until;
use support::world::Cluster;
use support::world::MODEL_BYTES;
use support::world::engine_address;

/// Time within which a load's outcome is appended, with a margin, in milliseconds.
const SETTLING_MS: u64 = 10_000;

/// Guards against memory that is used by a model to which no request is routed. An order takes
/// effect long after its intent was settled as failed.
#[rstest]
fn late_effect_unloaded(#[values(true, false)] checks_fence: bool) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let (model, other) = (cluster.model_preferring(0), cluster.model_preferring(1));
    cluster.nodes[0].caller.complete(&other).expect_complete();
    let engine = engine_address(0);
    let late = LoadOrder {
        model: ModelName::new(&model),
        base: None,
        bytes: MODEL_BYTES,
        fence: FencingToken(1),
    };
    world.engines.with(engine, |engine| engine.put(&late));
    wait_until("the model to be unloaded", || world.holders(&model) == 0);
    assert_eq!(world.holders(&other), 1);
    cluster.nodes[2].caller.complete(&model).expect_complete();
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// How an engine loses a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Restart,
    Model,
}

/// Guards against requests that are refused although the model could be loaded, or that wait for
/// ever. An engine restarts, or loses a model that the control stream shows as loaded there, and a
/// request comes before a VM has read the engine's status.
#[rstest]
fn lost_model_reloaded(
    #[values(Loss::Restart, Loss::Model)] loss: Loss,
    #[values(0, 1)] node: usize,
) {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    cluster.wait_replayed(1);
    world.time.advance(SETTLING_MS);
    match loss {
        Loss::Restart => world.engines.restart(engine_address(0)),
        Loss::Model => world.engines.lose_model(engine_address(0), &model),
    }
    cluster.nodes[node]
        .caller
        .complete(&model)
        .expect_complete();
    assert_eq!(world.load_orders(&model), 2);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}
