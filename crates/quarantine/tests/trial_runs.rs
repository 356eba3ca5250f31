//! Requests on probation and their trial runs.

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Due;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Permit;
use apricotdale_quarantine::Role;
use apricotdale_quarantine::TrialQuery;

const START_MS: u64 = 100_000;

/// Time from which a judge that started at `START_MS` decides.
const DECIDES_MS: u64 = START_MS + 2_000;

const LEFT_MS: u64 = 5_000;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(None, "POST", &["site.example"], name.as_bytes())
}

fn upstream(name: &str) -> UpstreamName {
    UpstreamName::from(name.to_owned())
}

fn trial(name: &str, number: u64) -> Permit {
    Permit::Trial {
        upstream: upstream(name),
        number,
    }
}

fn judge_of(vms: usize) -> Role {
    Role {
        judge: Some(0),
        judges: 1,
        vms,
        is_lease_holder: true,
    }
}

fn member() -> Role {
    Role {
        judge: None,
        judges: 2,
        vms: 9,
        is_lease_holder: false,
    }
}

/// Simulates the crash of an upstream under copies of a request at one VM.
fn lose(watch: &mut CrashWatch, now_ms: u64, name: &str, fingerprint: Fingerprint, copies: u32) {
    for _ in 0..copies {
        let lost = LostRequest {
            features: fingerprint.into(),
            caller: CallerHash::of(b"caller"),
            is_trial: false,
        };
        watch.record_lost(now_ms, &upstream(name), true, lost);
    }
    watch.record_ended(now_ms, &upstream(name));
    watch.due(now_ms + 10, judge_of(1));
}

/// Returns the only judge of some VMs, past the pause after its start.
fn judge(vms: usize) -> CrashWatch {
    let mut watch = CrashWatch::new(1, Options::default());
    watch.due(START_MS, judge_of(vms));
    watch
}

fn query(fingerprint: Fingerprint, at: &str, number: u64) -> TrialQuery {
    TrialQuery {
        features: vec![fingerprint],
        upstream: upstream(at),
        number,
        left_ms: LEFT_MS,
    }
}

/// Guards against sending several copies at once after upstreams crashed under three of them.
#[test]
fn third_lost_copy() {
    let mut watch = judge(1);
    let bad = request("bad");
    lose(&mut watch, DECIDES_MS, "i-1", bad, 2);
    assert_eq!(
        watch.permit(DECIDES_MS, &bad.into(), &upstream("i-2"), LEFT_MS),
        Permit::Free
    );
    lose(&mut watch, DECIDES_MS, "i-2", bad, 1);
    let now_ms = DECIDES_MS + 20;
    assert_eq!(
        watch.permit(now_ms, &bad.into(), &upstream("i-3"), LEFT_MS),
        Permit::Wait
    );
    assert!(watch.due(now_ms, judge_of(1)).may_continue);
    assert!(!watch.must_wait(now_ms, &bad.into()));
    let trial = trial("i-3", 1);
    assert_eq!(
        watch.permit(now_ms, &bad.into(), &upstream("i-4"), LEFT_MS),
        trial
    );
    assert!(watch.must_wait(now_ms, &bad.into()));
    assert_eq!(
        watch.permit(now_ms, &bad.into(), &upstream("i-4"), LEFT_MS),
        Permit::Wait
    );
}

/// Guards against holding a request back although it was answered.
#[test]
fn answer_ends_probation() {
    let mut watch = judge(1);
    let popular = request("popular");
    lose(&mut watch, DECIDES_MS, "i-1", popular, 5);
    let now_ms = DECIDES_MS + 20;
    assert_eq!(
        watch.permit(now_ms, &popular.into(), &upstream("i-2"), LEFT_MS),
        Permit::Wait
    );
    assert!(watch.record_answered(now_ms, &popular.into()).is_change());
    assert!(!watch.must_wait(now_ms, &popular.into()));
    assert_eq!(
        watch.permit(now_ms, &popular.into(), &upstream("i-2"), LEFT_MS),
        Permit::Free
    );
    assert!(watch.probations(DECIDES_MS).is_empty());
}

/// Guards against two trial runs at a time, of one request or at one upstream.
#[test]
fn one_trial() {
    let mut judge = judge(9);
    let (first, second) = (request("first"), request("second"));
    let now_ms = DECIDES_MS;
    let answer = judge.decide_trial(now_ms, 7, &query(first, "i-1", 1), 9);
    assert_eq!(answer.after_ms, None);
    let again = judge.decide_trial(now_ms, 7, &query(first, "i-1", 1), 9);
    assert_eq!(again.after_ms, None);
    for other in [query(first, "i-2", 1), query(second, "i-1", 1)] {
        let denied = judge.decide_trial(now_ms, 8, &other, 9);
        assert!(denied.after_ms.is_some());
    }
    let elsewhere = judge.decide_trial(now_ms, 8, &query(second, "i-2", 2), 9);
    assert_eq!(elsewhere.after_ms, None);
}

/// Guards against a trial run that counts as in progress forever because its VM ended.
#[test]
fn unended_trial() {
    let mut judge = judge(9);
    let bad = request("bad");
    judge.decide_trial(DECIDES_MS, 7, &query(bad, "i-1", 1), 9);
    let later_ms = DECIDES_MS + LEFT_MS;
    let denied = judge.decide_trial(later_ms, 8, &query(bad, "i-2", 1), 9);
    assert!(denied.after_ms.is_some());
    let answer = judge.decide_trial(later_ms + 1_000, 8, &query(bad, "i-2", 1), 9);
    assert_eq!(answer.after_ms, None);
}

/// Guards against a new judge that allows a trial run which its predecessor has allowed already.
#[test]
fn new_judge_waits() {
    let mut judge = judge(9);
    let denied = judge.decide_trial(START_MS + 100, 7, &query(request("bad"), "i-1", 1), 9);
    assert!(denied.after_ms.is_some());
}

/// Guards against a request that waits until its deadline because no judge answers.
#[test]
fn silent_judges() {
    let mut watch = CrashWatch::new(2, Options::default());
    let bad = request("bad");
    lose(&mut watch, DECIDES_MS, "i-1", bad, 3);
    let began_ms = DECIDES_MS + 20;
    assert_eq!(
        watch.permit(began_ms, &bad.into(), &upstream("i-2"), LEFT_MS),
        Permit::Wait
    );
    let mut asked_judges = Vec::new();
    let mut now_ms = began_ms;
    while watch.must_wait(now_ms, &bad.into()) {
        let Due {
            trial_queries,
            trial_judge,
            ..
        } = watch.due(now_ms, member());
        asked_judges.extend(trial_queries.iter().map(|_| trial_judge));
        now_ms += 5;
        assert!(now_ms < began_ms + 2_000);
    }
    assert!(asked_judges.contains(&0) && asked_judges.contains(&1));
    let trial = trial("i-2", 1);
    assert_eq!(
        watch.permit(now_ms, &bad.into(), &upstream("i-2"), LEFT_MS),
        trial
    );
}

/// Guards against further trial runs after two of them were lost in crashes.
#[test]
fn second_lost_trial() {
    let mut watch = judge(1);
    let bad = request("bad");
    lose(&mut watch, DECIDES_MS, "i-0", bad, 3);
    let mut now_ms = DECIDES_MS + 1_000;
    for (number, name) in ["i-1", "i-2"].into_iter().enumerate() {
        assert_eq!(
            watch.block(now_ms, &bad.into()),
            None,
            "after {number} trials"
        );
        let at = upstream(name);
        assert_eq!(
            watch.permit(now_ms, &bad.into(), &at, LEFT_MS),
            Permit::Wait
        );
        watch.due(now_ms, judge_of(1));
        assert_eq!(
            watch.permit(now_ms, &bad.into(), &at, LEFT_MS),
            trial(name, number as u64 + 1)
        );
        let lost = LostRequest {
            features: bad.into(),
            caller: CallerHash::of(b"caller"),
            is_trial: true,
        };
        watch.record_lost(now_ms, &at, true, lost);
        watch.record_trial_end(now_ms, number as u64 + 1, true);
        watch.record_ended(now_ms, &at);
        for _ in 0..200 {
            now_ms += 5;
            watch.due(now_ms, judge_of(1));
        }
    }
    assert!(watch.block(now_ms, &bad.into()).is_some());
}

/// Guards against counting the copies of one VM as often as they are reported.
#[test]
fn repeated_reports() {
    let mut judge = judge(9);
    let mut other = CrashWatch::new(2, Options::default());
    let twice = request("twice");
    lose(&mut other, DECIDES_MS, "i-1", twice, 2);
    for again_ms in [0, 10, 300] {
        let now_ms = DECIDES_MS + again_ms;
        judge.record_reports(now_ms, &other.local_reports(now_ms));
        judge.due(now_ms, judge_of(9));
    }
    assert!(judge.probations(DECIDES_MS).is_empty());
}

/// Guards against a report that carries only some of many copies.
#[test]
fn many_copies() {
    let mut watch = CrashWatch::new(2, Options::default());
    lose(&mut watch, DECIDES_MS, "i-1", request("many"), 25);
    let reports = watch.local_reports(DECIDES_MS);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].suspects.len(), 1);
    assert_eq!(reports[0].suspects[0].copies, 25);
}

/// Guards against holding crashes against a request that was answered after them, if a judge did
/// not receive the answer: the crash reports of the other VMs include it.
#[test]
fn forwarded_answer() {
    let mut watch = CrashWatch::new(2, Options::default());
    let popular = request("popular");
    watch.record_cleared(DECIDES_MS, &popular);
    lose(&mut watch, DECIDES_MS + 500, "i-1", popular, 1);
    let reports = watch.local_reports(DECIDES_MS + 500);
    assert_eq!(reports[0].suspects[0].answered_ago_ms, Some(500));
}
