//! Orders whose answer does not come.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;

use support::engine::OrderFault;
use support::wait_until;
use support::world::Cluster;

/// How long a load may take to be told, in milliseconds, with something over.
const SETTLING_MS: u64 = 10_000;

fn take_overs(cluster: &Cluster) -> usize {
    let decided = cluster.world.decided();
    let records = decided.iter().filter(|one| one.is_accepted());
    let take_overs = records.filter(|one| matches!(one.record, ControlRecord::TakeOver(_)));
    take_overs.count()
}

/// Symptom: a model is loaded twice. Sequence: the engine loads it, and its answer is lost. Cause:
/// the sender takes a lost answer for a lost order.
#[rstest]
fn a_load_whose_answer_is_lost_is_read_from_the_engine(#[values(true, false)] checks_fence: bool) {
    let cluster = Cluster::start(1, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(OrderFault::LoseAnswer);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    cluster.wait_looked(0);
    assert_eq!(take_overs(&cluster), 1);
    assert_eq!(world.accepted_loads(&model).len(), 1);
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Symptom: a request waits for a load that nobody carries out. Sequence: the order, or the engine
/// with it, is lost. Cause: the intent stays open, or counts as a replica that is on its way.
///
/// An engine that obeys every order could still get a lost one, so its memory stays reserved and
/// the model is loaded elsewhere.
#[rstest]
fn a_load_that_is_lost_is_decided_anew(
    #[values(OrderFault::LoseOrder, OrderFault::Die)] fault: OrderFault,
    #[values(true, false)] checks_fence: bool,
) {
    let cluster = Cluster::start(1, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(fault);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    wait_until("the load to settle", || world.loaded(&model) == 1);
    let loads = world.accepted_loads(&model);
    assert_eq!(loads.len(), 2);
    assert!(loads[0].offset < loads[1].offset);
    assert_eq!(world.holders(&model), 1);
}

/// Symptom: an engine holds more than its memory, or a model that no decision put there stays. Sequence:
/// the answer to an order does not come in time, and the engine acts on the order only after the model
/// was loaded elsewhere. Cause: an order that was not seen to take effect is taken for one that never
/// will.
#[rstest]
#[case(true, 1)]
#[case(false, 2)]
fn an_order_that_takes_effect_late_is_refused_or_counted(
    #[case] checks_fence: bool,
    #[case] replicas: usize,
) {
    let cluster = Cluster::start(2, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(OrderFault::Delay);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    world.engines.release_late();
    world.time.advance(SETTLING_MS);
    wait_until("the late effect to be counted", || {
        world.loaded(&model) == replicas
    });
    for node in &cluster.nodes {
        node.caller.complete(&model).expect_whole();
    }
    assert_eq!(world.holders(&model), replicas);
    assert_eq!(world.accepted_loads(&model).len(), 2);
    assert!(world.memory_held());
}
