//! What engines hold and should not, and what they lack and should hold.

mod support;

use rstest::rstest;

use apricotdale_core::engine::LoadOrder;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::FencingToken;

use support::wait_until;
use support::world::Cluster;
use support::world::MODEL_BYTES;
use support::world::engine_address;

/// How long a load may take to be told, in milliseconds, with something over.
const SETTLING_MS: u64 = 10_000;

/// Symptom: an engine's memory is taken by a model that nobody routes to. Sequence: an order takes
/// effect long after its intent was settled as failed. Cause: nobody notices what no decision put
/// there.
#[rstest]
fn the_late_effect_of_an_order_is_unloaded(#[values(true, false)] checks_fence: bool) {
    let cluster = Cluster::start(3, 2, checks_fence);
    let world = &cluster.world;
    let (model, other) = (cluster.model_preferring(0), cluster.model_preferring(1));
    cluster.nodes[0].caller.complete(&other).expect_whole();
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
    cluster.nodes[2].caller.complete(&model).expect_whole();
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// How an engine comes to lack a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Restart,
    Model,
}

/// Symptom: requests are refused although the model could be loaded, or wait for ever. Sequence: an
/// engine restarts, or loses a model, which the control stream shows as loaded there; a request comes
/// before anyone has read the engine's status. Cause: the engine's word that it lacks the model is
/// taken for an answer, or the replica still counts.
#[rstest]
fn a_request_waits_for_a_model_that_its_engine_lost(
    #[values(Loss::Restart, Loss::Model)] loss: Loss,
    #[values(0, 1)] node: usize,
) {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    cluster.wait_replayed(1);
    world.time.advance(SETTLING_MS);
    match loss {
        Loss::Restart => world.engines.restart(engine_address(0)),
        Loss::Model => world.engines.lose_model(engine_address(0), &model),
    }
    cluster.nodes[node].caller.complete(&model).expect_whole();
    assert_eq!(world.load_orders(&model), 2);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}
