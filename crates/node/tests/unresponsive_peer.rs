//! A daemon while a peer that it would ask does not respond.

mod support;

use apricotdale_core::config::ConfigEdit;

use support::wait_until;
use support::world::Cluster;
use support::world::model_spec;

/// Guards against decisions and configuration changes that wait for a paused VM. The VM is still
/// listed as live, and models for which it is the preferred one are called at other VMs.
#[test]
fn decisions_despite_pause() {
    let cluster = Cluster::start(3, 2, true);
    let model = cluster.model_preferring(0);
    cluster.nodes[0].switch.pause();
    let [one, other] = [1, 2].map(|node| &cluster.nodes[node]);
    one.caller.complete(&model).expect_complete();
    other.caller.complete(&model).expect_complete();
    one.caller.book("key").expect_complete();
    wait_until("the booking to be replayed", || {
        other.caller.book("key").replayed
    });
    let version = one.publish_again(cluster.version);
    other.wait_version(version);
    assert_eq!(cluster.world.load_orders(&model), 1);
    assert_eq!(cluster.world.service.effects_of("key"), 1);
}

/// Guards against a VM that serves an old configuration after a pause, in which a model was added.
/// It must not accept requests before it has replayed what it missed.
#[test]
fn resumed_daemon_catches_up() {
    let cluster = Cluster::start(2, 1, true);
    let resumed = &cluster.nodes[1];
    resumed.switch.pause();
    let edit = ConfigEdit::PutModel(model_spec("new-model"));
    cluster.nodes[0].publish(cluster.version, vec![edit]);
    cluster.nodes[0]
        .caller
        .complete("new-model")
        .expect_complete();
    resumed.switch.resume();
    wait_until("the new model to be served", || {
        resumed.caller.complete("new-model").status == 200
    });
    assert_eq!(cluster.world.load_orders("new-model"), 1);
}
