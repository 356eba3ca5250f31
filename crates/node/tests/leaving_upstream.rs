//! Upstreams that are removed.

mod support;

use apricotdale_core::vm_list::VmState;

use support::wait_until;
use support::world::Cluster;
use support::world::engine_address;
use support::world::engine_name;
use support::world::instance_address;

/// Number of calls that show that an upstream receives none.
const CALLS: usize = 12;

fn served_at(cluster: &Cluster, engine: usize) -> usize {
    let address = engine_address(engine);
    cluster.world.engines.with(address, |one| one.served.len())
}

/// Guards against requests that fail when an engine's VM is removed. The list shows it as leaving
/// while requests for its model continue: new ones must go elsewhere, and answers in progress must
/// not be cut off.
#[test]
fn leaving_engine_drains() {
    let cluster = Cluster::start(2, 2, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    let leaving = world.holder(&model);
    world.streams.close();
    let stream = cluster.nodes[1].caller.stream(&model);
    world
        .vm_list
        .set_state(&engine_name(leaving), VmState::Leaving);
    for node in &cluster.nodes {
        node.wait_listed(&engine_name(leaving), VmState::Leaving);
    }
    let before = served_at(&cluster, leaving);
    for node in &cluster.nodes {
        for _ in 0..CALLS {
            node.caller.complete(&model).expect_complete();
        }
    }
    assert_eq!(served_at(&cluster, leaving), before);
    world.streams.open();
    assert!(stream.ends_complete());
    assert_eq!(world.load_orders(&model), 2);
}

/// Guards against the same fault at a plain service, whose calls may not be retried.
#[test]
fn leaving_instance_drains() {
    let cluster = Cluster::start(1, 0, true);
    let (world, node) = (&cluster.world, &cluster.nodes[0]);
    let [leaving, staying] = [1, 2].map(instance_address);
    world.add_instance("booking-2", staying);
    node.wait_listed("booking-2", VmState::Live);
    wait_until("both instances to be called", || {
        node.caller.book_once().expect_complete();
        [leaving, staying].map(|one| world.service.effects_at(one) > 0) == [true, true]
    });
    world.vm_list.set_state("booking-1", VmState::Leaving);
    node.wait_listed("booking-1", VmState::Leaving);
    let before = world.service.effects_at(leaving);
    (0..CALLS).for_each(|_| node.caller.book_once().expect_complete());
    assert_eq!(world.service.effects_at(leaving), before);
}

/// Guards against a model that is never served again after its engine's VM was removed. When the
/// list shows the engine as gone, neither its replica nor its memory may count.
#[test]
fn removed_replica_replaced() {
    let cluster = Cluster::start(2, 2, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    cluster.nodes[0].caller.complete(&model).expect_complete();
    let gone = world.holder(&model);
    world.engines.set_reachable(engine_address(gone), false);
    world.vm_list.set_state(&engine_name(gone), VmState::Gone);
    world.time.advance(60_000);
    for node in &cluster.nodes {
        wait_until("the model to be loaded elsewhere", || {
            node.caller.complete(&model).status == 200
        });
    }
    wait_until("the lost replica to be forgotten", || {
        world.loaded(&model) == 1
    });
    assert_eq!(world.load_orders(&model), 2);
}
