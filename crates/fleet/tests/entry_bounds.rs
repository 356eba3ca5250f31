//! Entries that another writer left among the upstreams': what no upstream can state.

mod support;

use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_fleet::InvalidEntry;
use apricotdale_fleet::Upstream;
use rstest::rstest;

use support::directory;
use support::entry;

const NOW_UNIX_MS: u64 = 1_800_000_000_000;

const HOUR_MS: u64 = 3_600_000;

#[test]
fn usual_entry() {
    assert_eq!(entry("e", 1).check(NOW_UNIX_MS), Ok(()));
}

/// Guards against an entry under an upstream's key that hides the upstream's own for good, since it
/// states a later start.
#[rstest]
#[case::at_type_limit(u64::MAX, false)]
#[case::in_microseconds(NOW_UNIX_MS * 1_000, false)]
#[case::two_days_ahead(NOW_UNIX_MS + 48 * HOUR_MS, false)]
#[case::clock_ahead(NOW_UNIX_MS + HOUR_MS, true)]
fn start_bounded(#[case] born_ms: u64, #[case] is_valid: bool) {
    let entry = Upstream {
        born_ms,
        ..entry("e", 1)
    };
    let expected = match is_valid {
        true => Ok(()),
        false => Err(InvalidEntry::Start(born_ms)),
    };
    assert_eq!(entry.check(NOW_UNIX_MS), expected);
}

/// Guards against one entry that counts for more than all engines of its service.
#[rstest]
#[case::at_type_limit(u32::MAX, false)]
#[case::thousand_million(1_000_000_000, false)]
#[case::a_connection_each(65_535, true)]
fn slots_bounded(#[case] slots: u32, #[case] is_valid: bool) {
    let entry = Upstream {
        slots,
        ..entry("e", 1)
    };
    let expected = match is_valid {
        true => Ok(()),
        false => Err(InvalidEntry::Slots(slots)),
    };
    assert_eq!(entry.check(NOW_UNIX_MS), expected);
}

/// Guards against requests that wait for a connection to an address at which nobody can listen, or
/// that a VM sends to itself.
#[rstest]
#[case::no_port("10.0.0.1:0", false)]
#[case::unspecified("0.0.0.0:80", false)]
#[case::unspecified_v6("[::]:80", false)]
#[case::broadcast("255.255.255.255:9", false)]
#[case::multicast("224.0.0.1:9", false)]
#[case::multicast_v6("[ff02::1]:9", false)]
#[case::mapped_multicast("[::ffff:224.0.0.1]:9", false)]
#[case::host("10.0.0.1:80", true)]
#[case::host_v6("[fd00::1]:80", true)]
fn address_bounded(#[case] address: &str, #[case] is_valid: bool) {
    let address: SocketAddr = address.parse().expect("an address");
    let entry = Upstream {
        address,
        ..entry("e", 1)
    };
    let expected = match is_valid {
        true => Ok(()),
        false => Err(InvalidEntry::Address(address)),
    };
    assert_eq!(entry.check(NOW_UNIX_MS), expected);
}

/// Guards against a sum of slots that overflows, and against an entry that states more slots than
/// its service's engines are configured with.
#[rstest]
#[case::entry_above_configuration(24, 8, 12)]
#[case::overflow(u32::MAX, u32::MAX, u32::MAX)]
fn capacity_bounded(#[case] slots: u32, #[case] configured_slots: u32, #[case] expected: u32) {
    let mut directory = directory();
    directory.record_entry(entry("usual", 1));
    directory.record_entry(Upstream {
        slots,
        ..entry("odd", 1)
    });
    let capacity = directory.capacity(&GroupName::from("s"), configured_slots);
    assert_eq!(capacity, expected);
}
