//! Choice among upstreams of several software versions, for new streams and for continuations.

mod support;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::Directory;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;
use rstest::rstest;

use support::call;
use support::directory;
use support::dispatcher;
use support::entry;
use support::stream;

const NOW_MS: u64 = 1_000;

/// Slots of an engine at which shares of the room differ by whole requests.
const MANY_SLOTS: u32 = 20;

/// Returns a directory of engines `(name, version, models)`.
fn fleet(engines: &[(&str, Option<&str>, &[&str])]) -> Directory {
    let mut directory = directory(&[]);
    for (name, version, models) in engines {
        directory.record_entry(Upstream {
            version: version.map(SoftwareVersion::from),
            slots: MANY_SLOTS,
            ..entry(name, "llm", "a", models)
        });
    }
    directory
}

fn origin(version: Option<&str>, upstream: Option<&str>) -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: version.map(SoftwareVersion::from),
        upstream: upstream.map(UpstreamName::from),
    }
}

fn continuation(version: Option<&str>, upstream: Option<&str>) -> Job {
    Job {
        origin: Some(origin(version, upstream)),
        ..stream("m0", true)
    }
}

fn send_to(name: &str) -> DispatchDecision {
    DispatchDecision::Send(UpstreamName::from(name))
}

/// Returns the upstreams chosen by many requests, each of which has ended before the next.
fn chosen(dispatcher: &mut Dispatcher, directory: &Directory, job: &Job) -> Vec<String> {
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..100 {
        match dispatcher.decide(NOW_MS, directory, job) {
            DispatchDecision::Send(upstream) => chosen.insert(upstream.to_string()),
            other => panic!("{other:?}"),
        };
    }
    chosen.into_iter().collect()
}

/// Sends requests until none is sent any more, and returns their number at each upstream named.
fn fill(dispatcher: &mut Dispatcher, directory: &Directory, job: &Job) -> Vec<UpstreamName> {
    let mut sent = Vec::new();
    while let DispatchDecision::Send(upstream) = dispatcher.decide(NOW_MS, directory, job) {
        dispatcher.sent(NOW_MS, job, &upstream);
        sent.push(upstream);
    }
    sent
}

fn count(sent: &[UpstreamName], name: &str) -> usize {
    sent.iter().filter(|it| it.as_str() == name).count()
}

#[test]
fn new_stream_anywhere() {
    let directory = fleet(&[
        ("e0", Some("v1"), &["m0"]),
        ("e1", Some("v2"), &["m0"]),
        ("e2", None, &["m0"]),
    ]);
    let mut dispatcher = dispatcher();
    let mut names = Vec::new();
    for upstream in fill(&mut dispatcher, &directory, &stream("m0", true)) {
        names.push(upstream.to_string());
    }
    names.sort();
    names.dedup();
    assert_eq!(names, ["e0", "e1", "e2"]);
}

/// Guards against a stream that goes on at another software version, or at one that is only
/// unknown as well.
#[rstest]
#[case::known_version(Some("v1"), None, &["e0", "e1"])]
#[case::known_version_of_left_upstream(Some("v2"), Some("left"), &["e2"])]
#[case::unknown_version(None, Some("e3"), &["e3"])]
fn continuation_at_its_version(
    #[case] version: Option<&str>,
    #[case] upstream: Option<&str>,
    #[case] expected: &[&str],
) {
    let directory = fleet(&[
        ("e0", Some("v1"), &["m0"]),
        ("e1", Some("v1"), &["m0"]),
        ("e2", Some("v2"), &["m0"]),
        ("e3", None, &["m0"]),
        ("e4", None, &["m0"]),
    ]);
    let job = continuation(version, upstream);
    let mut dispatcher = dispatcher();
    for name in chosen(&mut dispatcher, &directory, &job) {
        assert!(expected.contains(&name.as_str()), "{name}");
    }
    let mut sent = fill(&mut dispatcher, &directory, &job);
    sent.sort();
    sent.dedup();
    let sent: Vec<&str> = sent.iter().map(UpstreamName::as_str).collect();
    assert_eq!(sent, expected);
}

/// Guards against a plain service, whose instances are tried even while unreachable, being chosen
/// regardless of its version.
#[test]
fn plain_service_at_its_version() {
    let mut directory = directory(&[]);
    for (name, version) in [("p0", "v1"), ("p1", "v2")] {
        directory.record_entry(Upstream {
            version: Some(SoftwareVersion::from(version)),
            revision: 2,
            ..entry(name, "plain", "a", &[])
        });
    }
    let mut dispatcher = dispatcher();
    let job = Job {
        origin: Some(Origin {
            service: GroupName::from("plain"),
            ..origin(Some("v2"), None)
        }),
        ..call(RouteKind::Stream { resumable: true })
    };
    assert_eq!(chosen(&mut dispatcher, &directory, &job), ["p1"]);
    dispatcher.record_unreachable(NOW_MS, &UpstreamName::from("p1"));
    assert_eq!(chosen(&mut dispatcher, &directory, &job), ["p1"]);
}

/// Guards against a continuation that waits until its deadline though no upstream of its version
/// can come back.
#[rstest]
#[case::other_version(Some("v3"), None)]
#[case::unknown_version_gone(None, Some("left"))]
#[case::unknown_everything(None, None)]
#[case::version_only_leaving(Some("v2"), None)]
fn version_gone_at_once(#[case] version: Option<&str>, #[case] upstream: Option<&str>) {
    let mut directory = fleet(&[
        ("e0", Some("v1"), &["m0"]),
        ("e1", Some("v2"), &["m0"]),
        ("e2", None, &["m0"]),
    ]);
    directory.record_entry(Upstream {
        version: Some(SoftwareVersion::from("v2")),
        phase: UpstreamPhase::Leaving,
        revision: 2,
        ..entry("e1", "llm", "a", &["m0"])
    });
    let job = continuation(version, upstream);
    for (runs, ran) in [(0, Ran::NotRun), (1, Ran::Unknown)] {
        let job = Job {
            runs,
            ..job.clone()
        };
        match dispatcher().decide(NOW_MS, &directory, &job) {
            DispatchDecision::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::VersionGone);
                assert_eq!((refusal.ran, refusal.retry_after_ms), (ran, None));
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a continuation that waits for a load which nobody orders: the model is held, but
/// only by upstreams of another version.
#[test]
fn model_at_other_version() {
    let directory = fleet(&[("e0", Some("v1"), &["m1"]), ("e1", Some("v2"), &["m0"])]);
    let job = continuation(Some("v1"), None);
    match dispatcher().decide(NOW_MS, &directory, &job) {
        DispatchDecision::Refuse(refusal) => assert_eq!(refusal.reason, RefusalReason::VersionGone),
        other => panic!("{other:?}"),
    }
    let new = stream("m0", true);
    assert_eq!(dispatcher().decide(NOW_MS, &directory, &new), send_to("e1"));
}

/// A model that no upstream holds is loaded, for a continuation as for a new stream.
#[test]
fn model_nowhere() {
    let directory = fleet(&[("e0", Some("v1"), &["m1"]), ("e1", Some("v2"), &["m1"])]);
    let job = continuation(Some("v1"), None);
    let missing = DispatchDecision::Wait(WaitReason::Missing);
    assert_eq!(dispatcher().decide(NOW_MS, &directory, &job), missing);
}

/// Guards against refusing a continuation, or sending it to another version, while the engine of
/// its version is only suspended.
#[test]
fn suspended_version_waits() {
    let directory = fleet(&[("e0", Some("v1"), &["m0"]), ("e1", Some("v2"), &["m0"])]);
    let mut dispatcher = dispatcher();
    let engine = UpstreamName::from("e0");
    dispatcher.suspend(NOW_MS, &engine, NOW_MS + 500);
    let job = continuation(Some("v1"), None);
    let decided = dispatcher.decide(NOW_MS + 1, &directory, &job);
    assert!(matches!(decided, DispatchDecision::Wait(_)), "{decided:?}");
    let decided = dispatcher.decide(NOW_MS + 501, &directory, &job);
    assert_eq!(decided, send_to("e0"));
}

/// Guards against a continuation that is sent to a free upstream of another version while those of
/// its own are full: it waits.
#[test]
fn full_version_waits() {
    let directory = fleet(&[("e0", Some("v1"), &["m0"]), ("e1", Some("v2"), &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = continuation(Some("v1"), None);
    let sent = fill(&mut dispatcher, &directory, &job);
    assert_eq!(count(&sent, "e0"), sent.len());
    let full = DispatchDecision::Wait(WaitReason::Full);
    assert_eq!(dispatcher.decide(NOW_MS, &directory, &job), full);
    let new = stream("m0", true);
    assert_eq!(dispatcher.decide(NOW_MS, &directory, &new), send_to("e1"));
}

/// Guards against new streams that take all slots of the few upstreams of a version, so that no
/// stream of this version can go on.
#[test]
fn minority_keeps_room() {
    let directory = fleet(&[
        ("old", Some("v1"), &["m0"]),
        ("e1", Some("v2"), &["m0"]),
        ("e2", Some("v2"), &["m0"]),
    ]);
    let mut dispatcher = dispatcher();
    let sent = fill(&mut dispatcher, &directory, &stream("m0", true));
    let slots = MANY_SLOTS as usize;
    assert!(count(&sent, "old") < slots, "{}", count(&sent, "old"));
    assert_eq!([count(&sent, "e1"), count(&sent, "e2")], [slots, slots]);
    let job = continuation(Some("v1"), None);
    assert_eq!(dispatcher.decide(NOW_MS, &directory, &job), send_to("old"));
    assert!(!fill(&mut dispatcher, &directory, &job).is_empty());
    let job = continuation(Some("v2"), None);
    assert!(!fill(&mut dispatcher, &directory, &job).is_empty());
}

/// A single version, or two halves, use all slots for new streams.
#[rstest]
#[case::single_version(&["v1", "v1", "v1"])]
#[case::halves(&["v1", "v2"])]
fn no_room_kept(#[case] versions: &[&str]) {
    let names: Vec<String> = (0..versions.len()).map(|it| format!("e{it}")).collect();
    let engines: Vec<(&str, Option<&str>, &[&str])> = names
        .iter()
        .zip(versions)
        .map(|(name, version)| (name.as_str(), Some(*version), &["m0"][..]))
        .collect();
    let directory = fleet(&engines);
    let sent = fill(&mut dispatcher(), &directory, &stream("m0", true));
    assert_eq!(sent.len(), versions.len() * MANY_SLOTS as usize);
}

/// Guards against a continuation that waits behind new requests, which more upstreams can serve.
#[rstest]
#[case::late_before_on_time(900, 1_500)]
#[case::later_target(1_600, 1_500)]
fn continuation_first(#[case] target_ms: u64, #[case] new_target_ms: u64) {
    let job = Job {
        target_ms,
        ..continuation(Some("v1"), None)
    };
    let new = Job {
        target_ms: new_target_ms,
        ..stream("m0", true)
    };
    assert!(job.urgency(NOW_MS) < new.urgency(NOW_MS));
    let of_lower_rank = Job { rank: 1, ..job };
    assert!(new.urgency(NOW_MS) < of_lower_rank.urgency(NOW_MS));
}
