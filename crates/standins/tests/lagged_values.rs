//! Values that are published with a lag.

use rstest::rstest;

use apricotdale_standins::lagged::Lagged;

#[rstest]
#[case::before_the_first(99, 'a')]
#[case::first(110, 'b')]
#[case::between(149, 'b')]
#[case::second(150, 'c')]
#[case::long_after(9_000, 'c')]
fn published_after_lag(#[case] now_ms: u64, #[case] published: char) {
    let mut value = Lagged::new(100, 'a');
    value.record(10, 'b');
    value.record(50, 'c');
    assert_eq!(*value.newest(), 'c');
    assert_eq!(*value.published(now_ms), published);
}
