//! Unloads whose order gets no answer.

mod support;

use rstest::rstest;

use support::engine::OrderFault;
use support::wait_until;
use support::world::Cluster;
use support::world::engine_address;

/// How long a replica must have been idle to be unloaded, in milliseconds, with something over.
const IDLE_MS: u64 = 700_000;

/// Symptom: a replica that nobody uses stays for ever, or counts as loaded where it is gone. Sequence:
/// the order to unload it, its answer, or the engine with it, is lost. Cause: the unload stays open, or
/// is taken for done or for failed without a look at the engine.
#[rstest]
fn an_unload_without_an_answer_comes_to_its_end(
    #[values(OrderFault::LoseOrder, OrderFault::LoseAnswer, OrderFault::Die)] fault: OrderFault,
    #[values(true, false)] checks_fence: bool,
) {
    let cluster = Cluster::start(2, 1, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    (0..2).for_each(|node| cluster.wait_replayed(node));
    world.engines.fault(fault);
    world.time.advance(IDLE_MS);
    wait_until("the replica to be gone", || {
        world.loaded(&model) == 0 && world.holders(&model) == 0
    });
    wait_until("its memory to be free", || {
        let memory = world.state().memory(&"engine-0".into());
        memory.is_some_and(|memory| memory.free_bytes() == memory.capacity_bytes)
    });
    cluster.nodes[1].caller.complete(&model).expect_whole();
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
    assert_eq!(world.load_orders(&model), 2);
}

/// Symptom: a replica that is used again is unloaded under its callers, or requests are refused.
/// Sequence: requests come while the order to unload waits at the engine. Cause: the replica is still
/// routed to, or the request does not wait for the load after it.
#[test]
fn a_request_during_an_unload_waits_for_the_next_load() {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_whole();
    (0..2).for_each(|node| cluster.wait_replayed(node));
    world.engines.hold_orders(engine_address(0), true);
    world.time.advance(IDLE_MS);
    wait_until("the unload to be decided", || world.loaded(&model) == 0);
    (0..2).for_each(|node| cluster.wait_replayed(node));
    let calls = [0, 1].map(|node| cluster.nodes[node].caller.begin_complete(&model));
    wait_until("the requests to wait", || {
        cluster.nodes[0].waiting_for(&model) == 2
    });
    world.engines.hold_orders(engine_address(0), false);
    for call in calls {
        call.reply().expect_whole();
    }
    assert_eq!((world.holders(&model), world.load_orders(&model)), (1, 2));
}
