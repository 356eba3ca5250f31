//! Rate limit and shared bandwidth of the simulated weight store.

use apricotdale_policy_replay::store::Store;

#[test]
fn full_speed_loads() {
    let mut store = Store::new(15, 4);
    for load in 0..4 {
        assert!(store.start(0, load, 10_000.0));
    }
    assert_eq!(store.next_end_ms(), Some(10_000));
    assert_eq!(store.take_ended(10_000), [0, 1, 2, 3]);
}

#[test]
fn shared_bandwidth() {
    let mut store = Store::new(15, 4);
    for load in 0..8 {
        assert!(store.start(0, load, 10_000.0));
    }
    assert_eq!(store.next_end_ms(), Some(20_000));
}

#[test]
fn start_rate_limit() {
    let mut store = Store::new(2, 4);
    assert!(store.start(0, 0, 10_000.0));
    assert!(store.start(500, 1, 10_000.0));
    assert!(!store.start(999, 2, 10_000.0));
    assert!(store.start(1_000, 2, 10_000.0));
}

#[test]
fn slow_store_remainder() {
    let mut store = Store::new(15, 4);
    assert!(store.start(0, 0, 10_000.0));
    store.slow_down(5_000, 5.0);
    assert_eq!(store.next_end_ms(), Some(30_000));
}
