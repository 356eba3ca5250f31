//! Life cycle of a replica without failures.

mod common;

use apricotdale_core::control::SettledAs;

use apricotdale_state::replicas::Stage;

use common::Stream;

#[test]
fn replica_life_cycle() {
    let (mut stream, a, _) = Stream::ready(true);
    let (load, verdict) = stream.load(a, "m1", "e1");
    assert!(verdict.is_accepted(), "{verdict:?}");
    assert_eq!(stream.stage(load), Some(Stage::Reserved));
    assert_eq!(stream.held_bytes("e1"), 60);

    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((1, 2)));
    assert!(verdict.is_accepted(), "{verdict:?}");
    assert_eq!(stream.stage(load), Some(Stage::Loaded));

    let verdict = stream.unload(a, "m1", "e1", load);
    assert!(verdict.is_accepted(), "{verdict:?}");
    assert_eq!(stream.stage(load), Some(Stage::Unloading));
    assert_eq!(stream.held_bytes("e1"), 60);

    let unload = stream.last_offset();
    let verdict = stream.settle_unload(a, unload, SettledAs::Done, Some((1, 4)));
    assert!(verdict.is_accepted(), "{verdict:?}");
    assert_eq!(stream.stage(load), None);
    assert_eq!(stream.held_bytes("e1"), 0);
}
