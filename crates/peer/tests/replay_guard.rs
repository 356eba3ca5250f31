//! Which sequence numbers count as new.

use rstest::rstest;

use apricotdale_core::names::VmName;
use apricotdale_peer::replay::ReplayGuard;
use apricotdale_peer::replay::WINDOW;

#[rstest]
#[case::in_order(&[1, 2, 3], &[true, true, true])]
#[case::repeated(&[1, 1, 2, 1, 2], &[true, false, true, false, false])]
#[case::reordered(&[5, 3, 4, 3, 5], &[true, true, true, false, false])]
#[case::zero(&[0, 0, 1], &[true, false, true])]
#[case::window_edge(&[WINDOW, 1, 0, 1], &[true, true, false, false])]
#[case::far_ahead(&[1, 1_000_000, 1, 1_000_000, 999_999], &[true, true, false, false, true])]
#[case::just_ahead(&[1, WINDOW, 1, WINDOW + 1, 1], &[true, true, false, true, false])]
#[case::last(&[u64::MAX, u64::MAX, u64::MAX - 1], &[true, false, true])]
fn sequence_new_once(#[case] sequences: &[u64], #[case] expected: &[bool]) {
    let mut guard = ReplayGuard::new(10);
    let sender = VmName::new("vm-1");
    let new: Vec<bool> = sequences
        .iter()
        .map(|sequence| guard.accept(&sender, 7, *sequence))
        .collect();
    assert_eq!(new, expected);
}

#[test]
fn processes_distinguished() {
    let mut guard = ReplayGuard::new(10);
    assert!(guard.accept(&VmName::new("vm-1"), 7, 1));
    assert!(guard.accept(&VmName::new("vm-1"), 8, 1));
    assert!(guard.accept(&VmName::new("vm-2"), 7, 1));
    assert!(!guard.accept(&VmName::new("vm-1"), 7, 1));
}

#[test]
fn oldest_sender_evicted() {
    let mut guard = ReplayGuard::new(2);
    let vm = VmName::new("vm-1");
    for process_id in [1, 2, 1, 3] {
        guard.accept(&vm, process_id, 1);
    }
    assert_eq!(guard.senders(), 2);
    assert!(!guard.accept(&vm, 1, 1), "used again since");
    assert!(guard.accept(&vm, 2, 1), "evicted");
}
