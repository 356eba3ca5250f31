//! What the keeper grants, and what a VM admits, step by step.

use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;
use apricotdale_quota::Spent;

const START_MS: u64 = 100_000;
const RATE_PER_S: f64 = 1_000.0;
const KEEPER_RUN: u64 = 7;

/// With these bounds 9,900 may be used beyond the rate in a window, half of it in every window.
const BOUNDS: Bounds = Bounds {
    window_ms: 8_000,
    over: 0.1,
    slack: 8_000.0,
};

/// More than a bucket, which is 0.35 of what is beyond the rate, and less than may be overdrawn.
const LARGE: u64 = 2_200;

fn account() -> AccountId {
    AccountId::of("north")
}

fn limits() -> [(AccountId, Limit); 1] {
    let limit = Limit {
        rate_per_s: RATE_PER_S,
        burst: RATE_PER_S,
    };
    [(account(), limit)]
}

fn keeper(vms: usize) -> QuotaOwner {
    let mut keeper = QuotaOwner::new(KEEPER_RUN, BOUNDS);
    keeper.set_vms(vms);
    keeper.set_limits(START_MS, limits());
    keeper
}

fn report(vm: u64, number: u64, handed_ms: u64, wanted: u64) -> Report {
    Report {
        vm,
        number,
        keeper: Some(KEEPER_RUN),
        handed_ms,
        spent: vec![Spent {
            account: account(),
            units: 0,
            wanted,
            first: wanted,
        }],
    }
}

fn granted(answer: &Answer) -> u64 {
    answer.allowances.iter().map(|it| it.granted).sum()
}

/// Fills the bucket of a keeper by one VM's time.
fn fill(keeper: &mut QuotaOwner, vm: u64) -> u64 {
    for number in 1..=20 {
        keeper.handle(START_MS + number, &report(vm, number, number * 1_000, 0));
    }
    20
}

/// Guards against a keeper that grants what the one before it has granted already.
#[test]
fn new_keeper_has_nothing() {
    let answer = keeper(1).handle(START_MS, &report(1, 1, 0, 1));
    let answer = answer.expect("an answer");
    assert_eq!(granted(&answer), 0);
    assert_eq!(answer.scarce, [account()]);
}

/// Guards against admission without asking while the bucket does not cover it.
#[test]
fn calm_needs_a_level() {
    let mut keeper = keeper(1);
    let scarce = |answer: Option<Answer>| !answer.expect("an answer").scarce.is_empty();
    assert!(scarce(keeper.handle(START_MS, &report(1, 1, 100, 0))));
    let last = 1 + fill(&mut keeper, 1);
    assert!(!scarce(
        keeper.handle(START_MS, &report(1, last, 21_000, 0))
    ));
}

/// Guards against a calm word to a VM that only asks whether a keeper is there, before anything has
/// accrued.
#[test]
fn empty_keeper_is_not_calm() {
    let probe = Report {
        keeper: None,
        ..report(9, 1, 0, 0)
    };
    let answer = keeper(2).handle(START_MS, &probe).expect("an answer");
    assert_eq!(answer.scarce, [account()]);
}

/// Guards against a datagram that comes twice and counts twice.
#[test]
fn report_counts_once() {
    let mut keeper = keeper(1);
    let last = 1 + fill(&mut keeper, 1);
    let want = report(1, last, 20_000, 500);
    assert_eq!(
        granted(&keeper.handle(START_MS, &want).expect("an answer")),
        500
    );
    assert_eq!(keeper.handle(START_MS, &want), None);
}

/// Guards against large requests that overdraw the bucket one after the other.
#[test]
fn one_overdraft_a_window() {
    let mut keeper = keeper(1);
    let mut number = fill(&mut keeper, 1);
    let mut grants = 0;
    for second in 0..16 {
        number += 1;
        let now_ms = START_MS + 10_000 + second * 1_000;
        let want = report(1, number, 20_000 + second * 1_000, LARGE);
        let answer = keeper.handle(now_ms, &want).expect("an answer");
        grants += usize::from(granted(&answer) > 0);
    }
    assert_eq!(grants, 2);
}

/// Guards against a bucket that members leave behind, which another keeper's adds to.
#[test]
fn bucket_follows_the_members() {
    let mut keeper = keeper(2);
    let last = fill(&mut keeper, 1);
    fill(&mut keeper, 2);
    // The second has left; its half of the bucket has gone with it.
    let later_ms = START_MS + 5_000;
    let answer = keeper.handle(later_ms, &report(1, last + 1, 20_000, 1_000));
    assert_eq!(granted(&answer.expect("an answer")), 0);
    let answer = keeper.handle(later_ms, &report(1, last + 2, 20_000, 800));
    assert_eq!(granted(&answer.expect("an answer")), 800);
}

fn spender(vms: usize) -> QuotaClient {
    let mut spender = QuotaClient::new(1, BOUNDS);
    spender.set_vms(vms);
    spender.set_limits(START_MS, limits());
    spender
}

/// Returns the answer of a keeper that grants what is wanted.
fn grant(report: &Report) -> Answer {
    let allowances = report
        .spent
        .iter()
        .map(|spent| apricotdale_quota::Allowance {
            account: spent.account,
            known: spent.units,
            granted: spent.wanted,
            retry_after_ms: None,
        });
    Answer {
        keeper: KEEPER_RUN,
        number: report.number,
        allowances: allowances.collect(),
        scarce: vec![account()],
    }
}

/// Guards against a grant that is spent in a later window than it was counted in.
#[test]
fn grants_lapse() {
    let mut spender = spender(1);
    let mut now_ms = START_MS + 1_000;
    let hello = spender.due_report(now_ms, 1).expect("a first report");
    spender.handle(now_ms, &grant(&hello));
    assert_eq!(spender.admit(now_ms, account(), 1, 500), Admission::Pending);
    now_ms += 20;
    let want = spender.due_report(now_ms, 1).expect("a report that asks");
    assert!(spender.handle(now_ms, &grant(&want)));
    // The request has gone meanwhile; another comes after the grant has lapsed.
    spender.withdraw(account(), 1);
    let later_ms = now_ms + 2_500;
    let admission = spender.admit(later_ms, account(), 2, 500);
    assert_ne!(admission, Admission::Admitted);
}

/// Guards against VMs that hear no keeper and use the whole limit each.
#[test]
fn alone_has_its_part() {
    let mut spender = spender(10);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now_ms = START_MS + step * 10;
        spender.due_report(now_ms, 1);
        if spender.admit(now_ms, account(), step, 10) == Admission::Admitted {
            admitted += 10;
        }
    }
    let part = RATE_PER_S * 10.0 / 10.0;
    assert!(f64::from(admitted) <= 2.0 * part, "{admitted}");
    assert!(admitted > 0);
}
