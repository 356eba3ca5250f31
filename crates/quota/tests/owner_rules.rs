//! Grants of a quota owner and admissions of a quota client, step by step.

use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::AccountRoom;
use apricotdale_quota::AccountRule;
use apricotdale_quota::AccountUsage;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;
use apricotdale_quota::ReportExtra;
use rstest::rstest;

const START_MS: u64 = 100_000;
const RATE_PER_S: f64 = 1_000.0;
const OWNER_INCARNATION: u64 = 7;

/// With these bounds 9,900 units may be used in excess of the rate, half of them in every window.
const BOUNDS: Bounds = Bounds {
    window_ms: 8_000,
    over: 0.1,
    slack: 8_000.0,
    sustained_share: 0.5,
};

/// More than the bucket, which is 0.35 of the remaining excess, and less than may be overdrawn.
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

/// Guards against a VM that wakes every millisecond for a report that it does not send.
#[test]
fn idle_without_limits() {
    let mut client = QuotaClient::new(1, BOUNDS);
    assert_eq!(client.next_ms(), u64::MAX);
    client.set_limits(START_MS, limits());
    assert!(client.next_ms() < START_MS + 1_000);
    client.set_limits(START_MS, []);
    assert_eq!(client.next_ms(), u64::MAX);
}

fn owner(vms: usize) -> QuotaOwner {
    let mut owner = QuotaOwner::new(OWNER_INCARNATION, BOUNDS);
    owner.set_vms(vms);
    owner.set_limits(START_MS, limits());
    owner
}

fn report(vm: u64, number: u64, ceded_ms: u64, wanted: u64) -> Report {
    Report {
        vm,
        number,
        owner: Some(OWNER_INCARNATION),
        ceded_ms,
        usages: vec![AccountUsage {
            account: account(),
            units: 0,
            wanted,
            oldest: wanted,
        }],
        extra: ReportExtra::default(),
    }
}

fn granted(answer: &Answer) -> u64 {
    answer.allowances.iter().map(|it| it.granted).sum()
}

/// Fills the bucket with the ceded time of one VM, and returns the number of its last report.
fn fill(owner: &mut QuotaOwner, vm: u64) -> u64 {
    for number in 1..=20 {
        owner.handle(START_MS + number, &report(vm, number, number * 1_000, 0));
    }
    20
}

/// Guards against an owner that grants again what a former owner has granted already.
#[test]
fn new_owner_grants_nothing() {
    let answer = owner(1).handle(START_MS, &report(1, 1, 0, 1));
    let answer = answer.expect("an answer");
    assert_eq!(granted(&answer), 0);
    assert_eq!(answer.near_limit, [account()]);
}

/// Guards against admission without a grant while the bucket does not cover it.
#[test]
fn headroom_needs_level() {
    let mut owner = owner(1);
    let near_limit = |answer: Option<Answer>| !answer.expect("an answer").near_limit.is_empty();
    assert!(near_limit(owner.handle(START_MS, &report(1, 1, 100, 0))));
    let last = 1 + fill(&mut owner, 1);
    assert!(!near_limit(
        owner.handle(START_MS, &report(1, last, 21_000, 0))
    ));
}

/// Guards against headroom being stated to a VM that only asks whether there is an owner, before
/// any units have accrued.
#[test]
fn empty_owner() {
    let probe = Report {
        owner: None,
        ..report(9, 1, 0, 0)
    };
    let answer = owner(2).handle(START_MS, &probe).expect("an answer");
    assert_eq!(answer.near_limit, [account()]);
}

/// Guards against a duplicated datagram that counts twice.
#[test]
fn duplicate_report() {
    let mut owner = owner(1);
    let last = 1 + fill(&mut owner, 1);
    let want = report(1, last, 20_000, 500);
    assert_eq!(
        granted(&owner.handle(START_MS, &want).expect("an answer")),
        500
    );
    assert_eq!(owner.handle(START_MS, &want), None);
}

/// Guards against consecutive large requests that each overdraw the bucket.
#[test]
fn one_overdraft() {
    let mut owner = owner(1);
    let mut number = fill(&mut owner, 1);
    let mut grants = 0;
    for second in 0..16 {
        number += 1;
        let now_ms = START_MS + 10_000 + second * 1_000;
        let want = report(1, number, 20_000 + second * 1_000, LARGE);
        let answer = owner.handle(now_ms, &want).expect("an answer");
        grants += usize::from(granted(&answer) > 0);
    }
    assert_eq!(grants, 2);
}

/// Guards against a bucket that departed members leave behind, in addition to their new owner's.
#[test]
fn bucket_follows_members() {
    let mut owner = owner(2);
    let last = fill(&mut owner, 1);
    fill(&mut owner, 2);
    // The second VM has left, and its half of the bucket with it.
    let later_ms = START_MS + 5_000;
    let answer = owner.handle(later_ms, &report(1, last + 1, 20_000, 1_000));
    assert_eq!(granted(&answer.expect("an answer")), 0);
    let answer = owner.handle(later_ms, &report(1, last + 2, 20_000, 800));
    assert_eq!(granted(&answer.expect("an answer")), 800);
}

fn client(vms: usize) -> QuotaClient {
    let mut client = QuotaClient::new(1, BOUNDS);
    client.set_vms(vms);
    client.set_limits(START_MS, limits());
    client
}

/// Returns the answer of an owner that grants all wanted units.
fn grant(report: &Report) -> Answer {
    let allowances = report
        .usages
        .iter()
        .map(|usage| apricotdale_quota::Allowance {
            account: usage.account,
            acknowledged: usage.units,
            granted: usage.wanted,
            retry_after_ms: None,
        });
    Answer {
        owner: OWNER_INCARNATION,
        number: report.number,
        allowances: allowances.collect(),
        near_limit: vec![account()],
        turns: Vec::new(),
    }
}

/// Guards against a grant that is used in a later window than the one in which it was counted.
#[test]
fn grants_expire() {
    let mut client = client(1);
    let mut now_ms = START_MS + 1_000;
    let hello = client.due_report(now_ms, 1).expect("a first report");
    client.handle(now_ms, &grant(&hello));
    assert_eq!(client.admit(now_ms, account(), 1, 500), Admission::Pending);
    now_ms += 20;
    let want = client.due_report(now_ms, 1).expect("a report that asks");
    assert!(client.handle(now_ms, &grant(&want)));
    // The request is withdrawn, and another one arrives after the grant has expired.
    client.withdraw(account(), 1);
    let later_ms = now_ms + 2_500;
    let admission = client.admit(later_ms, account(), 2, 500);
    assert_ne!(admission, Admission::Admitted);
}

/// Guards against VMs without a live owner that use the complete limit each.
#[test]
fn local_share_only() {
    let mut client = client(10);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now_ms = START_MS + step * 10;
        client.due_report(now_ms, 1);
        if client.admit(now_ms, account(), step, 10) == Admission::Admitted {
            admitted += 10;
        }
    }
    let share = RATE_PER_S * 10.0 / 10.0;
    assert!(f64::from(admitted) <= 2.0 * share, "{admitted}");
    assert!(admitted > 0);
}

/// Guards against units that are counted back when a VM returns from another owner, as it counts its
/// usage from the beginning then.
#[test]
fn returning_vm() {
    let joined = |report: Report, joined: u64| Report {
        extra: ReportExtra {
            joined,
            ..ReportExtra::default()
        },
        ..report
    };
    let used = |number: u64, units: i64| {
        let mut report = report(1, number, 20_000, 0);
        report.usages[0].units = units;
        report
    };
    let mut owner = owner(1);
    let last = fill(&mut owner, 1);
    owner.handle(START_MS, &joined(used(last + 1, 0), 1));
    owner.handle(START_MS, &joined(used(last + 2, 3_000), 1));
    let returned = |report: Report| {
        joined(
            Report {
                ceded_ms: 0,
                ..report
            },
            last + 3,
        )
    };
    owner.handle(START_MS, &returned(used(last + 3, 0)));
    let want = returned(report(1, last + 4, 0, 1_000));
    let answer = owner.handle(START_MS, &want).expect("an answer");
    assert_eq!(granted(&answer), 0, "3,000 of 3,465 units are used");
}

/// Units at risk of which 4 fit into the bucket, of an account that is not new.
const AT_RISK: AccountRule = AccountRule::AtRisk {
    max_per_s: 6.0,
    since_ms: 0,
};

/// Returns an owner of units at risk with a full bucket, and the number of the VM's last report.
fn at_risk_owner() -> (QuotaOwner, u64) {
    let mut owner = QuotaOwner::new(OWNER_INCARNATION, BOUNDS);
    owner.set_accounts(START_MS, [(account(), AT_RISK)]);
    let last = fill(&mut owner, 1);
    (owner, last)
}

/// Returns the report of a VM with requests that are admitted one by one.
fn wants(number: u64, wanted: u64) -> Report {
    let mut report = report(1, number, 20_000, wanted);
    report.usages[0].oldest = 1;
    report
}

/// Returns a client of an owner that has answered, with an account of units at risk.
fn at_risk_client() -> QuotaClient {
    let mut client = QuotaClient::new(1, BOUNDS);
    client.set_accounts(START_MS, [(account(), AT_RISK)]);
    let hello = client.due_report(START_MS + 1_000, 1).expect("a report");
    client.handle(START_MS + 1_000, &grant(&hello));
    client
}

/// Guards against more units at risk than the bucket holds, and against a refund that does not allow
/// further ones.
#[test]
fn refund_allows_more() {
    let (mut owner, last) = at_risk_owner();
    let answer = owner.handle(START_MS, &wants(last + 1, 9));
    assert_eq!(granted(&answer.expect("an answer")), 4);
    let answer = owner.handle(START_MS, &wants(last + 2, 9));
    assert_eq!(
        granted(&answer.expect("an answer")),
        4,
        "no more than before"
    );
    let mut refund = wants(last + 3, 9);
    refund.usages[0].units = -2;
    let answer = owner.handle(START_MS, &refund);
    assert_eq!(granted(&answer.expect("an answer")), 6);
}

/// Guards against a lost answer whose grants are lost with it, and against grants that count twice.
#[test]
fn lost_grant_repeated() {
    let mut client = at_risk_client();
    let now_ms = START_MS + 1_100;
    assert_eq!(client.admit(now_ms, account(), 1, 1), Admission::Pending);
    let want = client.due_report(now_ms, 1).expect("a report");
    assert!(client.handle(now_ms, &grant(&want)));
    assert_eq!(client.admit(now_ms, account(), 1, 1), Admission::Admitted);
    assert_eq!(client.admit(now_ms, account(), 2, 1), Admission::Pending);
    let later_ms = now_ms + 100;
    let want = client.due_report(later_ms, 1).expect("a report");
    let mut answer = grant(&want);
    answer.allowances[0].granted = 1;
    client.handle(later_ms, &answer);
    assert_eq!(client.admit(later_ms, account(), 2, 1), Admission::Pending);
    let want = client.due_report(later_ms + 100, 1).expect("a report");
    let mut answer = grant(&want);
    answer.allowances[0].granted = 2;
    client.handle(later_ms + 100, &answer);
    let admission = client.admit(later_ms + 100, account(), 2, 1);
    assert_eq!(admission, Admission::Admitted);
}

/// Guards against grants for more requests than an upstream has room for, and against room that is
/// relied on for good.
#[test]
fn room_bounds_grants() {
    let (mut owner, last) = at_risk_owner();
    let mut full = wants(last + 1, 3);
    full.extra.rooms = vec![AccountRoom {
        account: account(),
        requests: 0,
        age_ms: 0,
    }];
    let answer = owner.handle(START_MS, &full);
    assert_eq!(granted(&answer.expect("an answer")), 0);
    let later_ms = START_MS + 500;
    let answer = owner.handle(later_ms, &wants(last + 2, 3));
    assert_eq!(granted(&answer.expect("an answer")), 1, "one finds out");
    let answer = owner.handle(later_ms, &wants(last + 3, 3));
    assert_eq!(granted(&answer.expect("an answer")), 1, "no further one");
}

/// Guards against units that were granted for a request that left, and never come back.
#[test]
fn unused_grant_refunded() {
    let mut client = at_risk_client();
    let now_ms = START_MS + 1_100;
    assert_eq!(client.admit(now_ms, account(), 1, 1), Admission::Pending);
    let want = client.due_report(now_ms, 1).expect("a report");
    client.withdraw(account(), 1);
    client.handle(now_ms, &grant(&want));
    let report = client.due_report(now_ms + 1_000, 1).expect("a report");
    assert_eq!(report.usages[0].units, -1);
}

/// Guards against units of an account that was taken away which count when it is back: for good, as
/// units that are missing, or as grants that were given before.
#[test]
fn account_returns() {
    let (mut owner, _) = at_risk_owner();
    let mut client = QuotaClient::new(2, BOUNDS);
    client.set_accounts(START_MS, [(account(), AT_RISK)]);
    let mut now_ms = START_MS + 1_000;
    let mut exchange = |client: &mut QuotaClient, now_ms: u64| {
        let report = client.due_report(now_ms, 1).expect("a report");
        let answer = owner.handle(now_ms, &report).expect("an answer");
        client.handle(now_ms, &answer);
    };
    exchange(&mut client, now_ms);
    for key in 0..20 {
        assert_eq!(client.admit(now_ms, account(), key, 1), Admission::Pending);
        now_ms += 20;
        exchange(&mut client, now_ms);
        let admission = client.admit(now_ms, account(), key, 1);
        assert_eq!(admission, Admission::Admitted, "{key}");
        client.refund(now_ms, account());
    }
    now_ms += 20;
    exchange(&mut client, now_ms);
    client.set_accounts(now_ms, []);
    client.set_accounts(now_ms, [(account(), AT_RISK)]);
    now_ms += 20;
    let mut admitted = 0;
    for key in 100..120 {
        let mut admission = client.admit(now_ms, account(), key, 1);
        if admission == Admission::Pending {
            now_ms += 20;
            exchange(&mut client, now_ms);
            admission = client.admit(now_ms, account(), key, 1);
        }
        admitted += usize::from(admission == Admission::Admitted);
    }
    assert_eq!(admitted, 4, "as many as the bucket holds");
}

/// Guards against units that accrue for requests which are still in flight, as at an upstream that is
/// silent: it may reject the old and the new ones at once.
#[rstest]
#[case::in_flight(None)]
#[case::rejected(Some(false))]
#[case::accepted(Some(true))]
fn in_flight_not_replaced(#[case] is_accepted: Option<bool>) {
    const BUCKET: usize = 4;
    let (mut owner, _) = at_risk_owner();
    let mut client = QuotaClient::new(2, BOUNDS);
    client.set_accounts(START_MS, [(account(), AT_RISK)]);
    let mut now_ms = START_MS + 1_000;
    let mut admit_all = |client: &mut QuotaClient, keys: std::ops::Range<u64>, from_ms: u64| {
        now_ms = now_ms.max(from_ms);
        let mut admitted = 0;
        for key in keys {
            let is_at_once = client.admit(now_ms, account(), key, 1) == Admission::Admitted;
            now_ms += 400;
            let report = client.due_report(now_ms, 1).expect("a report");
            let answer = owner.handle(now_ms, &report).expect("an answer");
            client.handle(now_ms, &answer);
            let is_admitted =
                is_at_once || client.admit(now_ms, account(), key, 1) == Admission::Admitted;
            admitted += usize::from(is_admitted);
            client.withdraw(account(), key);
        }
        admitted
    };
    admit_all(&mut client, 0..1, START_MS);
    assert_eq!(admit_all(&mut client, 1..8, START_MS), BUCKET);
    let later_ms = START_MS + 4_000;
    for _ in 0..BUCKET {
        match is_accepted {
            Some(true) => drop(client.refund(later_ms, account())),
            Some(false) => client.settle(account()),
            None => {}
        }
    }
    let admitted = admit_all(&mut client, 10..40, later_ms);
    match is_accepted {
        Some(_) => assert_eq!(admitted, BUCKET),
        None => assert_eq!(admitted, 0),
    }
}

/// Guards against units in flight that count for good because a VM no longer reports them, as one that
/// has been told that the limit has ended.
#[test]
fn unreported_in_flight_ends() {
    let (mut owner, last) = at_risk_owner();
    let reporting = |mut report: Report| {
        report.extra.in_flight = Some(Vec::new());
        report
    };
    owner.handle(START_MS, &reporting(wants(last + 1, 0)));
    let answer = owner.handle(START_MS, &reporting(wants(last + 2, 9)));
    assert_eq!(granted(&answer.expect("an answer")), 4);
    let mut number = last + 2;
    let mut handle_at = |at_ms: u64, wanted: u64| {
        number += 1;
        let mut report = reporting(wants(number, wanted));
        report.ceded_ms = 20_000 + at_ms - START_MS;
        let answer = owner.handle(at_ms, &report).expect("an answer");
        granted(&answer)
    };
    assert_eq!(handle_at(START_MS + 2_500, 9), 4, "no more than before");
    handle_at(START_MS + 4_000, 0);
    assert!(handle_at(START_MS + 6_000, 9) > 4);
}
