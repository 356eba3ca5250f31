//! Requests that are blocked, and the crashes after which they are.

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Quarantine;
use apricotdale_quarantine::Scope;
use apricotdale_quarantine::Suspect;

/// Time between two unrelated crashes.
const APART_MS: u64 = 1_000;

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(None, "POST", &["site.example"], &number.to_le_bytes())
}

fn suspect(number: u32) -> Suspect {
    Suspect::new(request(number), CallerHash::of(b"caller"))
}

/// Quarantine that receives the report of every crash at once.
struct Fleet {
    quarantine: Quarantine,
    now_ms: u64,
    crashes: u32,
    scope: Scope,
}

impl Fleet {
    fn new() -> Self {
        Self {
            quarantine: Quarantine::new(Options::default()),
            now_ms: 1_000_000,
            crashes: 0,
            scope: Scope::Fleet,
        }
    }

    /// Simulates upstreams that crash at the same time, each under some requests.
    fn crash_together(&mut self, upstreams: &[&[u32]]) {
        self.now_ms += APART_MS;
        for requests in upstreams {
            self.crashes += 1;
            let report = CrashReport {
                upstream: UpstreamName::from(format!("i-{}", self.crashes)),
                ago_ms: 0,
                reporter: 1,
                suspects: requests.iter().copied().map(suspect).collect(),
            };
            self.quarantine.record_crash(self.now_ms, &report);
        }
        self.settle();
    }

    fn crash(&mut self, requests: &[u32]) {
        self.crash_together(&[requests]);
    }

    fn settle(&mut self) {
        self.now_ms += Options::default().settle_ms;
        self.quarantine.judge(self.now_ms, self.scope);
    }

    fn is_blocked(&self, number: u32) -> bool {
        let left_ms = self
            .quarantine
            .block(self.now_ms, &request(number).into())
            .map(|it| it.left_ms);
        left_ms.is_some()
    }
}

/// Guards against sending a request that has proven to crash upstreams.
#[test]
fn third_crash_blocks() {
    let mut fleet = Fleet::new();
    for round in 0..3 {
        assert!(!fleet.is_blocked(1));
        fleet.crash(&[1, 10 + round, 20 + round]);
    }
    assert!(fleet.is_blocked(1));
    assert!((10..13).chain(20..23).all(|it| !fleet.is_blocked(it)));
}

/// Guards against blocking a request for crashes that another one explains.
#[test]
fn bystander() {
    let mut fleet = Fleet::new();
    fleet.crash(&[1, 2]);
    fleet.crash(&[1, 2]);
    fleet.crash(&[1]);
    assert!(!fleet.is_blocked(1));
    fleet.crash(&[1]);
    assert!(fleet.is_blocked(1));
    fleet.crash(&[2]);
    assert!(!fleet.is_blocked(2));
}

/// Guards against blocking a request that was in progress beside two others, each of which crashes
/// upstreams.
#[test]
fn beside_two_crashers() {
    let mut fleet = Fleet::new();
    fleet.crash(&[1, 3]);
    fleet.crash(&[2, 3]);
    fleet.crash(&[1, 3]);
    assert!(!fleet.is_blocked(3));
    fleet.crash(&[2]);
    fleet.crash(&[1]);
    fleet.crash(&[2]);
    assert!(!fleet.is_blocked(3));
    fleet.crash(&[1]);
    fleet.crash(&[2]);
    assert!(fleet.is_blocked(1) && fleet.is_blocked(2) && !fleet.is_blocked(3));
}

/// Guards against blocking one of two requests that were at the same three upstreams.
#[test]
fn fourth_crash_of_rivals() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[1, 2]);
    }
    assert!(!fleet.is_blocked(1) && !fleet.is_blocked(2));
    fleet.crash(&[1]);
    assert!(fleet.is_blocked(1));
    assert!(!fleet.is_blocked(2));
}

/// Guards against two requests that explain each other's crashes, so that neither is blocked.
#[test]
fn fifth_crash_of_rivals() {
    let mut fleet = Fleet::new();
    for _ in 0..5 {
        fleet.crash(&[1, 2]);
    }
    assert!(fleet.is_blocked(1) && fleet.is_blocked(2));
}

/// Guards against blocking a request that was in three racks or zones when these were lost.
#[test]
fn lost_groups() {
    let mut fleet = Fleet::new();
    for round in 0..4 {
        fleet.crash_together(&[&[1], &[10 + round], &[20 + round]]);
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against blocking a request where two upstreams of one machine were lost, three times.
#[test]
fn lost_pairs() {
    let mut fleet = Fleet::new();
    for round in 0..4 {
        fleet.crash_together(&[&[1], &[10 + round]]);
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against requests that crash upstreams at the same times, and so look like lost racks.
#[test]
fn simultaneous_crashers() {
    let mut fleet = Fleet::new();
    for _ in 0..5 {
        fleet.crash_together(&[&[1], &[2], &[3]]);
    }
    assert!((1..4).all(|it| fleet.is_blocked(it)));
}

/// Guards against overlooking a second crashing request because a first one explains its crashes.
#[test]
fn second_crasher() {
    let mut fleet = Fleet::new();
    fleet.crash(&[1, 2]);
    fleet.crash(&[1, 2]);
    fleet.crash(&[1]);
    fleet.crash(&[1]);
    assert!(fleet.is_blocked(1));
    for _ in 0..3 {
        assert!(!fleet.is_blocked(2));
        fleet.crash(&[2]);
    }
    assert!(fleet.is_blocked(2));
}

/// Guards against counting a crash as often as it is reported.
#[test]
fn repeated_report() {
    let mut fleet = Fleet::new();
    let report = CrashReport {
        upstream: UpstreamName::from("i-1"),
        ago_ms: 0,
        reporter: 1,
        suspects: vec![suspect(1)],
    };
    for _ in 0..6 {
        fleet.quarantine.record_crash(fleet.now_ms, &report);
        fleet.settle();
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against judging a crash before the other VMs' reports of it have arrived.
#[test]
fn late_report() {
    let mut fleet = Fleet::new();
    fleet.crash(&[1, 2]);
    fleet.crash(&[1, 2]);
    fleet.now_ms += APART_MS;
    let report = |number: u32| CrashReport {
        upstream: UpstreamName::from("i-9"),
        ago_ms: 0,
        reporter: 1,
        suspects: vec![suspect(number)],
    };
    fleet.quarantine.record_crash(fleet.now_ms, &report(1));
    fleet.quarantine.judge(fleet.now_ms, Scope::Fleet);
    fleet.now_ms += 100;
    fleet.quarantine.record_crash(fleet.now_ms, &report(2));
    fleet.settle();
    assert!(!fleet.is_blocked(1) && !fleet.is_blocked(2));
}

/// Guards against a VM without reports of others that blocks a request by what it alone has seen.
#[test]
fn local_reports_only() {
    let mut fleet = Fleet::new();
    fleet.scope = Scope::LocalVm;
    for _ in 0..4 {
        fleet.crash(&[1]);
    }
    assert!(!fleet.is_blocked(1));
    fleet.crash(&[1]);
    assert!(fleet.is_blocked(1));
}

/// Guards against refusing a request forever though the upstreams have been fixed.
#[test]
fn block_expiry() {
    let options = Options::default();
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[1]);
    }
    for length_ms in [
        options.first_block_ms,
        options.block_ms,
        4 * options.block_ms,
        16 * options.block_ms,
    ] {
        let left_ms = fleet
            .quarantine
            .block(fleet.now_ms, &request(1).into())
            .map(|it| it.left_ms);
        assert_eq!(left_ms, Some(length_ms));
        fleet.now_ms += length_ms;
        fleet.quarantine.forget(fleet.now_ms);
        assert!(!fleet.is_blocked(1));
        fleet.crash(&[1]);
    }
    fleet.now_ms += 2 * options.max_block_ms + 1;
    fleet.quarantine.forget(fleet.now_ms);
    fleet.crash(&[1]);
    assert!(!fleet.is_blocked(1));
}

/// Guards against blocking a request again for one crash beside it, though it was answered after
/// its block.
#[test]
fn answered_after_block() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[1]);
    }
    fleet.now_ms += Options::default().first_block_ms;
    for number in 20..23 {
        fleet.now_ms += APART_MS;
        let report = CrashReport {
            upstream: UpstreamName::from(format!("i-{number}")),
            ago_ms: 0,
            reporter: 1,
            suspects: vec![Suspect {
                answered_ago_ms: Some(10),
                ..suspect(1)
            }],
        };
        fleet.quarantine.record_crash(fleet.now_ms, &report);
        fleet.settle();
        assert!(!fleet.is_blocked(1));
    }
}

#[test]
fn answered_block() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[1]);
    }
    assert!(
        !fleet
            .quarantine
            .clear(fleet.now_ms, &request(1))
            .ended
            .is_empty()
    );
    assert!(!fleet.is_blocked(1));
    fleet.crash(&[1]);
    fleet.crash(&[1]);
    assert!(!fleet.is_blocked(1));
}

/// Guards against counting crashes of long ago together with recent ones.
#[test]
fn old_crashes() {
    let mut fleet = Fleet::new();
    for _ in 0..6 {
        fleet.crash(&[1]);
        fleet.now_ms += Options::default().crash_ttl_ms / 2;
        fleet.quarantine.forget(fleet.now_ms);
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against blocking a request that many callers send alike and that upstreams keep
/// answering.
#[test]
fn answered_request() {
    let mut fleet = Fleet::new();
    for upstream in 0..8 {
        fleet.now_ms += APART_MS;
        let report = CrashReport {
            upstream: UpstreamName::from(format!("i-{upstream}")),
            ago_ms: 0,
            reporter: 1,
            suspects: vec![Suspect {
                answered_ago_ms: Some(APART_MS / 2),
                ..suspect(1)
            }],
        };
        fleet.quarantine.record_crash(fleet.now_ms, &report);
        fleet.settle();
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against a request that was answered once, and crashes upstreams since they changed.
#[test]
fn formerly_answered() {
    let mut fleet = Fleet::new();
    let began_ms = fleet.now_ms;
    for upstream in 0..3 {
        fleet.now_ms += APART_MS;
        let report = CrashReport {
            upstream: UpstreamName::from(format!("i-{upstream}")),
            ago_ms: 0,
            reporter: 1,
            suspects: vec![Suspect {
                answered_ago_ms: Some(fleet.now_ms - began_ms),
                ..suspect(1)
            }],
        };
        fleet.quarantine.record_crash(fleet.now_ms, &report);
        fleet.settle();
    }
    assert!(fleet.is_blocked(1));
}

#[test]
fn exempt_request() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[1]);
    }
    let rows = fleet.quarantine.rows(fleet.now_ms);
    fleet.quarantine.exempt([request(1)].into());
    assert!(!fleet.is_blocked(1));
    assert!(!fleet.quarantine.record_block(fleet.now_ms, &rows[0]));
    for _ in 0..6 {
        fleet.crash(&[1]);
    }
    assert!(!fleet.is_blocked(1));
}

/// Guards against taking crashes that follow each other closely for the loss of a rack.
#[test]
fn quick_crasher() {
    let mut fleet = Fleet::new();
    for upstream in 0..3 {
        fleet.now_ms += 100;
        let report = CrashReport {
            upstream: UpstreamName::from(format!("i-{upstream}")),
            ago_ms: 0,
            reporter: 1,
            suspects: vec![suspect(1)],
        };
        fleet.quarantine.record_crash(fleet.now_ms, &report);
    }
    fleet.settle();
    assert!(fleet.is_blocked(1));
}
