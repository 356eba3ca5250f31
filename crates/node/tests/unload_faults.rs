//! Unload orders without an answer.

mod support;

use rstest::rstest;

use support::engine::OrderFault;
use support::wait_until;
use support::world::Cluster;
use support::world::engine_address;

/// Idle time after which a replica is unloaded, with a margin, in milliseconds.
const IDLE_MS: u64 = 700_000;

/// Guards against an unused replica that stays for ever, or that counts as loaded after it is gone.
/// The unload order, its answer, or the engine with it, is lost; the unload must be settled by the
/// engine's status.
#[rstest]
fn unanswered_unload_settles(
    #[values(OrderFault::LoseOrder, OrderFault::LoseAnswer, OrderFault::Die)] fault: OrderFault,
    #[values(true, false)] checks_fence: bool,
) {
    let cluster = Cluster::start(2, 1, checks_fence);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_complete();
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
    cluster.nodes[1].caller.complete(&model).expect_complete();
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
    assert_eq!(world.load_orders(&model), 2);
}

/// Guards against a replica that is unloaded while requests use it, and against refused requests.
/// The requests come while the unload order waits at the engine; they must wait for the next load.
#[test]
fn request_during_unload() {
    let cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    (0..2).for_each(|node| cluster.wait_replayed(node));
    world.engines.hold_orders(engine_address(0), true);
    world.time.advance(IDLE_MS);
    wait_until("the unload to be decided", || world.loaded(&model) == 0);
    (0..2).for_each(|node| cluster.wait_replayed(node));
    let calls = [0, 1].map(|node| cluster.nodes[node].caller.begin_completion(&model));
    wait_until("the requests to wait", || {
        cluster.nodes[0].waiting_for(&model) == 2
    });
    world.engines.hold_orders(engine_address(0), false);
    for call in calls {
        call.reply().expect_complete();
    }
    assert_eq!((world.holders(&model), world.load_orders(&model)), (1, 2));
}
