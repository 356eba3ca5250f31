//! A delayed VM list.

mod support;

use apricotdale_core::vm_list::VmState;

use support::wait_until;
use support::world::Cluster;

/// Delay of the list, in milliseconds.
const DELAY_MS: u64 = 60_000;

/// Silence after which a VM that is listed as gone is departed, with a margin, in milliseconds.
const DEPARTURE_SILENCE_MS: u64 = 10_000;

/// Guards against a departure of a VM that has just started. A VM is removed and replaced under its
/// name; the list still shows the first one as gone while the new process is paused. A list that is
/// older than the process must not count against it.
#[test]
fn delayed_list_departure() {
    let mut cluster = Cluster::start(3, 1, true);
    let [replaced, dead] = [0, 2].map(|node| cluster.nodes[node].vm.clone());
    for node in [0, 2] {
        cluster.nodes[node].switch.pause();
    }
    cluster.world.vm_list.set_delay(DELAY_MS);
    cluster.world.time.advance(2 * DELAY_MS);
    let successor = cluster.add(replaced.as_str());
    successor.wait_ready();
    let epoch = successor.epoch();
    successor.switch.pause();
    let world = &cluster.world;
    world.vm_list.set_state(replaced.as_str(), VmState::Gone);
    world.time.advance(DEPARTURE_SILENCE_MS);
    world.vm_list.set_state(dead.as_str(), VmState::Gone);
    wait_until("the dead VM to be departed", || {
        !world.departed(&dead).is_empty()
    });
    assert!(!world.departed(&replaced).contains(&epoch));
}
