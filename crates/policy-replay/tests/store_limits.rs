//! Rate limit and shared bandwidth of the simulated weight store.

use apricotdale_policy_replay::store::Store;

#[test]
fn loads_up_to_the_limit_run_at_full_speed() {
    let mut store = Store::new(15, 4);
    for load in 0..4 {
        assert!(store.start(0, load, 10_000.0));
    }
    assert_eq!(store.next_end_ms(), Some(10_000));
    assert_eq!(store.take_ended(10_000), [0, 1, 2, 3]);
}

#[test]
fn loads_beyond_the_limit_share_the_speed() {
    let mut store = Store::new(15, 4);
    for load in 0..8 {
        assert!(store.start(0, load, 10_000.0));
    }
    assert_eq!(store.next_end_ms(), Some(20_000));
}

#[test]
fn starts_above_the_rate_are_refused() {
    let mut store = Store::new(2, 4);
    assert!(store.start(0, 0, 10_000.0));
    assert!(store.start(500, 1, 10_000.0));
    assert!(!store.start(999, 2, 10_000.0));
    assert!(store.start(1_000, 2, 10_000.0));
}

#[test]
fn slow_store_takes_longer_for_what_is_left() {
    let mut store = Store::new(15, 4);
    assert!(store.start(0, 0, 10_000.0));
    store.slow_down(5_000, 5.0);
    assert_eq!(store.next_end_ms(), Some(30_000));
}
