//! What a daemon does while another that it would ask is silent.

mod support;

use apricotdale_core::config::ConfigEdit;

use support::wait_until;
use support::world::Cluster;
use support::world::model_spec;

/// Symptom: nothing is decided on some models, or no configuration comes into force, while one VM
/// stands still. Sequence: a VM freezes, and is still listed as live; models that it decides on first
/// are called elsewhere. Cause: the others wait for it.
#[test]
fn a_silent_daemon_holds_up_no_decision() {
    let cluster = Cluster::start(3, 2, true);
    let model = cluster.model_preferring(0);
    cluster.nodes[0].switch.freeze();
    let [one, other] = [1, 2].map(|node| &cluster.nodes[node]);
    one.caller.complete(&model).expect_whole();
    other.caller.complete(&model).expect_whole();
    one.caller.book("key").expect_whole();
    wait_until("the booking to be known", || {
        other.caller.book("key").replayed
    });
    let version = one.publish_again(cluster.version);
    other.wait_version(version);
    assert_eq!(cluster.world.load_orders(&model), 1);
    assert_eq!(cluster.world.service.effects_of("key"), 1);
}

/// Symptom: a VM that stood still serves an old configuration after it wakes up. Sequence: a model is
/// added while the VM is frozen. Cause: it takes requests before it has replayed what it missed.
#[test]
fn a_daemon_that_wakes_learns_what_it_missed() {
    let cluster = Cluster::start(2, 1, true);
    let woken = &cluster.nodes[1];
    woken.switch.freeze();
    let edit = ConfigEdit::PutModel(model_spec("new-model"));
    cluster.nodes[0].publish(cluster.version, vec![edit]);
    cluster.nodes[0].caller.complete("new-model").expect_whole();
    woken.switch.thaw();
    wait_until("the new model to be served", || {
        woken.caller.complete("new-model").status == 200
    });
    assert_eq!(cluster.world.load_orders("new-model"), 1);
}
