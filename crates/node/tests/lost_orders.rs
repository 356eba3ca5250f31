//! Orders without an answer.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;

use support::engine::OrderFault;
use support::wait_until;
use support::world::Cluster;

/// Time within which a load's outcome is appended, with a margin, in milliseconds.
const SETTLING_MS: u64 = 10_000;

fn accepted_takeovers(cluster: &Cluster) -> usize {
    let decided = cluster.world.decided();
    let records = decided.iter().filter(|one| one.is_accepted());
    let accepted_takeovers = records.filter(|one| matches!(one.record, ControlRecord::TakeOver(_)));
    accepted_takeovers.count()
}

/// Guards against a model that is loaded twice because the engine's answer to the order is lost. A
/// lost answer must not count as a lost order.
#[rstest]
fn lost_load_answer(#[values(true, false)] checks_fence: bool) {
    let cluster = Cluster::start(1, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(OrderFault::LoseAnswer);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    cluster.wait_handled(0);
    assert_eq!(accepted_takeovers(&cluster), 1);
    assert_eq!(world.accepted_loads(&model).len(), 1);
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
}

/// Guards against a request that waits for a load that is never carried out. The order, or the
/// engine with it, is lost; the intent must not stay open, nor count as a replica that will load.
///
/// An engine that doesn't check fencing tokens could still receive a lost order, so its memory
/// stays reserved and the model is loaded elsewhere.
#[rstest]
fn lost_load_repeated(
    #[values(OrderFault::LoseOrder, OrderFault::Die)] fault: OrderFault,
    #[values(true, false)] checks_fence: bool,
) {
    let cluster = Cluster::start(1, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(fault);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    wait_until("the load to settle", || world.loaded(&model) == 1);
    let loads = world.accepted_loads(&model);
    assert_eq!(loads.len(), 2);
    assert!(loads[0].offset < loads[1].offset);
    assert_eq!(world.holders(&model), 1);
}

/// Guards against an engine that holds more than its memory, and a model that stays without an
/// accepted load. An order gets no answer in time, and the engine carries it out only after the
/// model was loaded elsewhere.
#[rstest]
#[case(true, 1)]
#[case(false, 2)]
fn late_order_effect(#[case] checks_fence: bool, #[case] replicas: usize) {
    let cluster = Cluster::start(2, 2, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    world.engines.fault(OrderFault::Delay);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    world.engines.release_late();
    world.time.advance(SETTLING_MS);
    wait_until("the late effect to be counted", || {
        world.loaded(&model) == replicas
    });
    for node in &cluster.nodes {
        node.caller.complete(&model).expect_complete();
    }
    assert_eq!(world.holders(&model), replicas);
    assert_eq!(world.accepted_loads(&model).len(), 2);
    assert!(world.memory_held());
}
