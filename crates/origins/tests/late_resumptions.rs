//! Streams that are resumed after their record has expired.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_origins::KnownVersions;
use apricotdale_origins::VersionHistory;
use rstest::rstest;

const LIFETIME_MS: u64 = 10_000;
const BEGIN_MS: u64 = 100_000;

/// Returns the origin of an upstream of a version.
fn listed(version: &str) -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: Some(SoftwareVersion::from(version)),
        upstream: Some(UpstreamName::from(version)),
    }
}

/// Returns the history of a VM that has seen `v1` up to a time, and `v2` since.
fn history(followed_since_ms: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.record_followed(followed_since_ms);
    history.record(BEGIN_MS, &listed("v1"));
    for age_ms in (250..=40_000).step_by(250) {
        let now_ms = BEGIN_MS + age_ms;
        history.record(now_ms, &listed("v2"));
    }
    history
}

/// Guards against a stream that goes on at another version because its record and the memory of
/// the version that began it expired at the same time. A third attempt may come that late, if the
/// second one brought no event.
#[rstest]
#[case::record_valid(9_000, false)]
#[case::record_expired(11_000, false)]
#[case::two_long_attempts(25_000, false)]
#[case::no_caller_any_more(35_000, true)]
fn version_remembered(#[case] age_ms: u64, #[case] is_one: bool) {
    let service = GroupName::from("llm");
    let mut history = history(BEGIN_MS - 60_000);
    let now_ms = BEGIN_MS + age_ms;
    history.drop_older(now_ms, LIFETIME_MS);
    let expected = match is_one {
        true => KnownVersions::One(SoftwareVersion::from("v2")),
        false => KnownVersions::Several,
    };
    assert_eq!(history.versions(now_ms, &service, LIFETIME_MS), expected);
}

/// Guards against a VM that trusts a history which does not reach back to the beginning of a
/// stream whose record has expired.
#[test]
fn young_history() {
    let service = GroupName::from("llm");
    let version = SoftwareVersion::from("v2");
    let mut history = VersionHistory::default();
    history.record_followed(BEGIN_MS);
    for (age_ms, expected) in [
        (11_000, KnownVersions::Unknown),
        (29_000, KnownVersions::Unknown),
        (31_000, KnownVersions::One(version.clone())),
    ] {
        let now_ms = BEGIN_MS + age_ms;
        history.record(now_ms, &listed("v2"));
        assert_eq!(history.versions(now_ms, &service, LIFETIME_MS), expected);
    }
    history.record_gap();
    let versions = history.versions(BEGIN_MS + 31_000, &service, LIFETIME_MS);
    assert_eq!(versions, KnownVersions::Unknown);
}

/// What a VM that has taken over versions learns of the changes since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Changes {
    Unread,
    Read,
    Skipped,
    Lost,
}

/// Guards against a VM that takes the versions of another one for all that there were, although some
/// may have come and gone since.
#[rstest]
#[case::unread(Changes::Unread, false)]
#[case::read(Changes::Read, true)]
#[case::skipped(Changes::Skipped, false)]
#[case::lost(Changes::Lost, false)]
fn restored_versions(#[case] changes: Changes, #[case] is_one: bool) {
    let service = GroupName::from("llm");
    let version = SoftwareVersion::from("v1");
    let mut history = VersionHistory::default();
    history.restore(BEGIN_MS, [(&service, Some(&version))]);
    history.record_not_followed();
    match changes {
        Changes::Unread => {}
        Changes::Read => history.record_changes_read(BEGIN_MS),
        Changes::Skipped => history.record_changes_skipped(),
        Changes::Lost => history.record_gap(),
    }
    history.record_followed(BEGIN_MS);
    if changes != Changes::Unread {
        history.record_changes_read(BEGIN_MS);
    }
    let expected = match is_one {
        true => KnownVersions::One(version.clone()),
        false => KnownVersions::Unknown,
    };
    let versions = history.versions(BEGIN_MS, &service, LIFETIME_MS);
    assert_eq!(versions, expected);
}
