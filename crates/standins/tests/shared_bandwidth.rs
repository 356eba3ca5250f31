//! Bandwidth of the weight store, shared by loads.

use rstest::rstest;

use apricotdale_standins::weights::Bandwidth;

const FULL_SPEED_LOADS: u32 = 4;
const BYTES_PER_S: u64 = 1_000;

#[rstest]
#[case::alone(1, 1.0, 1_000.0)]
#[case::as_many_as_at_full_speed(4, 1.0, 1_000.0)]
#[case::twice_as_many(8, 1.0, 2_000.0)]
#[case::slowed(4, 3.0, 3_000.0)]
fn shared_speed(#[case] loads: u32, #[case] factor: f64, #[case] left_ms: f64) {
    let mut bandwidth = Bandwidth::new(FULL_SPEED_LOADS, BYTES_PER_S);
    bandwidth.slow_by(0.0, factor);
    let ids: Vec<_> = (0..loads).map(|_| bandwidth.start(0.0, 1_000)).collect();
    for id in ids {
        assert_eq!(bandwidth.left_ms(0.0, id), Some(left_ms));
    }
}

#[test]
fn speed_up() {
    let mut bandwidth = Bandwidth::new(1, BYTES_PER_S);
    let first = bandwidth.start(0.0, 1_000);
    let second = bandwidth.start(0.0, 1_000);
    // Each has fetched 250 bytes of 1,000 by now, at half speed.
    assert_eq!(bandwidth.left_ms(500.0, first), Some(1_500.0));
    bandwidth.end(500.0, second);
    assert_eq!(bandwidth.left_ms(500.0, first), Some(750.0));
    assert_eq!(bandwidth.left_ms(1_250.0, first), None);
}
