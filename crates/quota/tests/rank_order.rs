//! Division of a limit among requests of several ranks.

mod support;

use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::WantedUnits;
use rstest::rstest;

use support::Event;
use support::Fleet;
use support::Outcome;
use support::rules::TOKENS;

const VMS: usize = 20;
const RATE: f64 = 30_000.0;

/// Sizes of usual requests and of those with long prompts.
const SHORT: u64 = 700;
const LONG: u64 = 9_190;

const FOR_MS: u64 = 40_000;

/// Returns an event with a load that is this share of the limit.
fn load(rank: u32, units: u64, share: f64) -> Event {
    Event::Load {
        from: 0,
        vms: VMS,
        per_s: (RATE * share / units as f64).ceil() as u64,
        rank,
        units,
        for_ms: FOR_MS,
    }
}

fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(TOKENS, VMS, seed, 1, RATE);
    fleet.run_until(fleet.now_ms + 4_000);
    fleet
}

fn play(mut fleet: Fleet, loads: &[Event]) -> Fleet {
    loads.iter().for_each(|load| fleet.apply(*load));
    fleet.run_until(fleet.now_ms + FOR_MS + 4_000);
    let worst = fleet.worst_window();
    assert!(worst <= 1.0, "{worst:.3} of what is allowed");
    for (kind, outcome) in &fleet.outcomes {
        println!("{kind:?} {outcome:?}");
    }
    fleet
}

fn outcome(fleet: &Fleet, rank: u32, units: u64) -> Outcome {
    fleet.outcomes[&(rank, units)]
}

fn admitted_share(fleet: &Fleet, rank: u32, units: u64) -> f64 {
    let outcome = outcome(fleet, rank, units);
    outcome.admitted as f64 / outcome.arrived as f64
}

/// Guards against urgent requests that are refused while less urgent ones use up the limit, and against
/// less urgent ones that get nothing.
#[rstest]
fn urgent_first(#[values(1, 3, 5)] seed: u64) {
    let fleet = play(
        fleet(seed),
        &[load(0, SHORT, 0.8), load(1, 800, 1.0), load(2, 900, 2.0)],
    );
    assert!(admitted_share(&fleet, 0, SHORT) > 0.95);
    assert!(admitted_share(&fleet, 1, 800) > 0.1);
    assert!(admitted_share(&fleet, 1, 800) > admitted_share(&fleet, 2, 900));
}

/// Guards against a less urgent rank that starves behind an urgent one beyond the whole limit.
#[rstest]
fn floor_kept(#[values(1, 3, 5)] seed: u64) {
    let fleet = play(fleet(seed), &[load(0, SHORT, 3.0), load(2, 900, 1.0)]);
    let share = outcome(&fleet, 2, 900).admitted as f64 * 900.0 / (RATE * FOR_MS as f64 / 1_000.0);
    assert!((0.07..0.25).contains(&share), "{share:.3} of the limit");
}

/// Guards against requests with long prompts that never find enough units, because shorter ones take
/// them one by one.
#[rstest]
#[case::same_rank(1)]
#[case::shorter_less_urgent(2)]
fn long_requests(#[case] rank_of_short: u32) {
    let mut fleet = fleet(5);
    fleet.do_callers_return = true;
    let fleet = play(
        fleet,
        &[
            load(0, SHORT, 0.2),
            load(1, LONG, 0.4),
            load(rank_of_short, 800, 3.0),
        ],
    );
    let (long, short) = (
        admitted_share(&fleet, 1, LONG),
        admitted_share(&fleet, rank_of_short, 800),
    );
    println!("{long:.3} of the long ones, {short:.3} of the short ones");
    assert!(long >= 0.6 * short && long > 0.2);
}

/// Guards against callers that come back when they are told to and are refused again.
#[rstest]
fn returns_let_in(#[values(1, 3, 5)] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.do_callers_return = true;
    let fleet = play(fleet, &[load(0, SHORT, 0.3), load(1, 800, 2.0)]);
    let Outcome {
        returned, let_in, ..
    } = outcome(&fleet, 1, 800);
    assert!(returned > 100, "{returned} returned");
    let share = let_in as f64 / returned as f64;
    assert!(share > 0.9, "{let_in} of {returned}");
}

/// Guards against units that stay unused because callers do not come back for them.
#[rstest]
fn nothing_unused(#[values(false, true)] do_callers_return: bool) {
    let mut fleet = fleet(4);
    fleet.do_callers_return = do_callers_return;
    let fleet = play(fleet, &[load(0, SHORT, 0.3), load(1, 800, 2.0)]);
    let admitted: u64 = fleet.admitted.values().sum();
    let used = admitted as f64 / (RATE * FOR_MS as f64 / 1_000.0);
    assert!(used > 0.95, "{used:.3} of the limit used");
}

/// Guards against a change for organisations whose requests are all of one rank.
#[rstest]
fn one_rank_as_before(#[values(0, 3)] rank: u32, #[values(0.5, 3.0)] share: f64) {
    let mut old = fleet(6);
    old.old_vms = 0..VMS;
    let old = play(old, &[load(rank, SHORT, share), load(rank, LONG, 0.2)]);
    let new = play(fleet(6), &[load(rank, SHORT, share), load(rank, LONG, 0.2)]);
    assert_eq!(old.admitted, new.admitted);
}

/// Guards against limits that are not used where the owner or some clients run a release that knows no
/// ranks, and against requests of earlier clients that go before urgent ones.
#[rstest]
#[case::owner(0..4, 0.3)]
#[case::clients(10..VMS, 0.45)]
fn earlier_release(#[case] old_vms: std::ops::Range<usize>, #[case] least_urgent: f64) {
    let mut fleet = fleet(7);
    fleet.old_vms = old_vms;
    let fleet = play(fleet, &[load(0, 800, 0.3), load(1, 800, 3.0)]);
    let admitted: u64 = fleet.admitted.values().sum();
    let used = admitted as f64 / (RATE * FOR_MS as f64 / 1_000.0);
    assert!(used > 0.9, "{used:.3} of the limit used");
    let (urgent, other) = (
        admitted_share(&fleet, 0, 800),
        admitted_share(&fleet, 1, 800),
    );
    println!("{urgent:.3} of the urgent ones, {other:.3} of the others");
    assert!(urgent > least_urgent);
}

/// Guards against accounts without ranks, as those of upstreams, that are divided between VMs of this
/// release and of earlier ones.
#[test]
fn no_ranks_listed() {
    let account = AccountId::of("upstream");
    let limit = Limit {
        rate_per_s: 10.0,
        burst: 0.0,
    };
    let mut client = QuotaClient::new(1, Bounds::default());
    let mut owner = QuotaOwner::new(2, Bounds::default());
    client.set_limits(0, [(account, limit)]);
    owner.set_limits(0, [(account, limit)]);
    let hello = client.due_report(1_000, 1).expect("a first report");
    let answer = owner.handle(1_000, &hello).expect("an answer");
    client.handle(1_000, &answer);
    assert_eq!(client.admit(1_000, account, 1, 1), Admission::Pending);
    let report = client.due_report(1_020, 1).expect("a report that asks");
    assert_eq!(report.usages[0].wanted, 1);
    assert!(report.extra.wants.is_empty());
}

/// Guards against ranks that are forgotten for good when their owner is lost.
#[test]
fn owner_lost() {
    let mut fleet = fleet(8);
    for load in [load(0, SHORT, 0.5), load(1, 800, 1.5)] {
        fleet.apply(load);
    }
    fleet.run_until(fleet.now_ms + 10_000);
    fleet.apply(Event::Restart { vm: 0 });
    fleet.apply(Event::Pause {
        vm: 0,
        for_ms: 60_000,
    });
    fleet.run_until(fleet.now_ms + 4_000);
    fleet.outcomes.clear();
    fleet.run_until(fleet.now_ms + 20_000);
    assert!(admitted_share(&fleet, 0, SHORT) > 0.9);
    assert!(fleet.worst_window() <= 1.0);
}

/// Guards against a VM without an owner that lives off its own share in order of arrival.
#[test]
fn own_share_by_rank() {
    const STEP_MS: u64 = 10;
    const UNITS: u64 = 20;
    let account = AccountId::of("north");
    let limit = Limit {
        rate_per_s: RATE,
        burst: RATE,
    };
    let mut client = QuotaClient::new(1, Bounds::default());
    client.set_vms(2);
    client.set_limits(0, [(account, limit)]);
    let mut admitted = [0_u64; 3];
    let mut key = 0;
    for step in 1..2_000 {
        let now_ms = step * STEP_MS;
        client.due_report(now_ms, 1);
        // The least urgent ones come first, and are four times what the VM may use.
        for (rank, count) in [(2, 32), (0, 5)] {
            for _ in 0..count {
                key += 1;
                let wanted = WantedUnits {
                    rank,
                    units: UNITS,
                    tag: 0,
                };
                match client.admit_by_rank(now_ms, account, key, wanted) {
                    Admission::Admitted => admitted[rank as usize] += UNITS,
                    _ => client.withdraw(account, key),
                }
            }
        }
    }
    let urgent = admitted[0] as f64 / (1_999 * 5 * UNITS) as f64;
    println!("{admitted:?}, {urgent:.3} of the urgent ones");
    assert!(urgent > 0.95, "{urgent:.3} of the urgent ones");
    assert!(admitted[2] > admitted[0] / 20);
}
