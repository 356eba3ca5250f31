//! Limits that upstreams state on how many requests they reject per second.

mod support;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::RejectionLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use support::rejecting_fleet::BINDING_MS;
use support::rejecting_fleet::Event;
use support::rejecting_fleet::Fleet;
use support::rejecting_fleet::Options;
use support::rejecting_fleet::Planted;
use support::rejecting_fleet::RATE_BOUNDS;
use support::rejecting_fleet::RUN_MS;
use support::rejecting_fleet::SLOTS;

fn service() -> GroupName {
    GroupName::from("llm")
}

fn upstream(index: usize) -> UpstreamName {
    UpstreamName::from(format!("i-{index}").as_str())
}

fn limit(per_s: f64) -> RateLimit {
    RateLimit::from_per_s(per_s).expect("a rate")
}

/// Guards against many VMs that together have an upstream reject more than it bears, and against VMs
/// that leave its room unused.
#[rstest]
fn limit_kept(#[values(3, 9, 30)] vms: usize, #[values(5.0, 10.0, 30.0)] per_s: f64) {
    for seed in 0..6 {
        let options = Options {
            seed,
            vms,
            upstreams: 1,
            per_s,
            lost_one_in: 10,
            rate_per_s: None,
            planted: Planted::Nothing,
        };
        let mut fleet = Fleet::new(options, 0);
        fleet.run_until(20_000, 10);
        let (most, ran) = (fleet.most_rejected(), fleet.ran);
        assert!(
            most as f64 <= per_s,
            "seed {seed}: {most} of {per_s} rejected in a second"
        );
        let could_run = 20_000 / RUN_MS as usize * SLOTS;
        assert!(ran * 3 > could_run, "seed {seed}: {ran} of {could_run} ran");
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..64_usize).prop_map(|vm| Event::RestartVm { vm }),
        1 => Just(Event::RestartAllVms),
        2 => (0..64_usize, 50..3_000_u64).prop_map(|(vm, for_ms)| Event::PauseVm { vm, for_ms }),
        2 => (0..64_usize, 50..5_000_u64)
            .prop_map(|(vm, for_ms)| Event::PartitionVm { vm, for_ms }),
        4 => (0..8_usize, 500..3_000_u64)
            .prop_map(|(upstream, down_ms)| Event::RestartUpstream { upstream, down_ms }),
        1 => Just(Event::Join),
        4 => (0..8_usize, 0..=SLOTS)
            .prop_map(|(upstream, slots)| Event::Room { upstream, slots }),
        2 => (0..8_usize, 200..3_000_u64)
            .prop_map(|(upstream, for_ms)| Event::LateRejections { upstream, for_ms }),
        1 => (50..2_000_u64).prop_map(|for_ms| Event::Unstated { for_ms }),
        4 => (0..8_usize, 300..3_000_u64)
            .prop_map(|(upstream, for_ms)| Event::Silence { upstream, for_ms }),
        2 => (300..3_000_u64).prop_map(|for_ms| Event::AllSilent { for_ms }),
        2 => (0..8_usize, 300..3_000_u64)
            .prop_map(|(upstream, for_ms)| Event::Rest { upstream, for_ms }),
        2 => (50..3_000_u64).prop_map(|for_ms| Event::PauseOwner { for_ms }),
    ]
}

/// Plays a course of events and returns the most rejections of an upstream in a second.
fn play(options: Options, course: &[(u64, Event)], one_in_ms: u32) -> usize {
    play_fleet(options, course, one_in_ms).most_rejected()
}

fn play_fleet(options: Options, course: &[(u64, Event)], one_in_ms: u32) -> Fleet {
    let mut fleet = Fleet::new(options, 500);
    let mut at_ms = BINDING_MS;
    fleet.run_until(at_ms, one_in_ms);
    for (pause_ms, event) in course {
        at_ms += pause_ms;
        fleet.run_until(at_ms, one_in_ms);
        fleet.apply(*event);
    }
    fleet.run_until(at_ms + 3_000, one_in_ms);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(63),
        failure_persistence: None,
        ..ProptestConfig::with_cases(48)
    })]

    /// Guards against VMs that restart, are cut off or stand still, and upstreams that restart, join,
    /// lose room or fall silent, by which an upstream has to reject more than it states.
    #[test]
    fn limit_holds(
        vms in prop_oneof![2..10_usize, 10..64_usize, 64..101_usize],
        upstreams in 1..5_usize,
        per_s in prop_oneof![Just(1.0), Just(3.0), Just(4.0), Just(6.0), 2.0..40.0],
        seed in any::<u64>(),
        lost_one_in in 8..200_u32,
        one_in_ms in 5..200_u32,
        rate_per_s in prop::option::weighted(0.3, 0.5..40.0),
        course in prop::collection::vec((1..900_u64, event()), 4..16),
    ) {
        let options = Options {
            seed,
            vms,
            upstreams,
            per_s,
            rate_per_s,
            lost_one_in,
            planted: Planted::Nothing,
        };
        let fleet = play_fleet(options, &course, one_in_ms);
        let most = fleet.most_rejected();
        prop_assert!(most as f64 <= per_s, "{most} of {per_s} rejected in a second");
        let most = fleet.most_arrived();
        let window_s = RATE_BOUNDS.window_ms as f64 / 1_000.0;
        if let Some(rate_per_s) = rate_per_s {
            let allowed = rate_per_s * window_s * (1.0 + RATE_BOUNDS.over) + RATE_BOUNDS.slack;
            prop_assert!(most as f64 <= allowed, "{most} at {rate_per_s} a second in 4 s");
        }
    }
}

/// Guards against upstreams that get nothing for long when they state a limit anew, because permits of
/// the earlier statement count against them.
#[test]
fn limit_stated_again() {
    let options = Options {
        seed: 7,
        vms: 9,
        upstreams: 1,
        per_s: 6.0,
        lost_one_in: 100,
        rate_per_s: None,
        planted: Planted::Nothing,
    };
    let mut fleet = Fleet::new(options, 500);
    fleet.run_until(5_000, 20);
    fleet.apply(Event::Unstated { for_ms: 300 });
    fleet.run_until(7_000, 20);
    let before = fleet.ran;
    fleet.run_until(12_000, 20);
    let could_run = 5_000 / RUN_MS as usize * SLOTS;
    let ran = fleet.ran - before;
    assert!(ran * 3 > could_run, "{ran} of {could_run} ran");
}

/// Guards against a search that does not find the faults that it is there for.
#[rstest]
#[case::nothing_told(Planted::NothingTold, 3_000)]
#[case::no_wait_at_start(Planted::NoWaitAtStart, 5)]
#[case::not_inherited(Planted::NotInherited, 20)]
#[case::rejections_refunded(Planted::RejectionsRefunded, 20)]
fn planted_faults_found(#[case] planted: Planted, #[case] one_in_ms: u32) {
    let full = Event::Room {
        upstream: 0,
        slots: 0,
    };
    let restart = Event::RestartUpstream {
        upstream: 0,
        down_ms: 1_000,
    };
    let mut course = vec![(1, full), (2_000, restart), (2_000, restart)];
    course.extend((0..25).map(|vm| (1, Event::RestartVm { vm })));
    // The upstream is back, and full.
    course.push((2_000, Event::RestartVm { vm: 25 }));
    course.extend((26..50).map(|vm| (1, Event::RestartVm { vm })));
    let most = |planted| {
        let options = Options {
            seed: 7,
            vms: 60,
            upstreams: 1,
            per_s: 4.0,
            lost_one_in: 50,
            rate_per_s: None,
            planted,
        };
        play(options, &course, one_in_ms)
    };
    assert!(most(Planted::Nothing) <= 4);
    assert!(most(planted) > 4, "{planted:?} is not found");
}

/// Guards against a search that does not find checks that no permit counts, and abandoned requests
/// that an upstream rejects once it is no longer silent.
#[rstest]
#[case::each_vm_checks(Planted::EachVmChecks)]
#[case::checks_uncounted(Planted::ChecksUncounted)]
#[case::abandoned_refunded(Planted::AbandonedRefunded)]
fn silence_faults_found(#[case] planted: Planted) {
    const LIMIT: usize = 6;
    let full = Event::Room {
        upstream: 0,
        slots: 0,
    };
    let silence = Event::AllSilent { for_ms: 3_500 };
    let course = [(1, full), (2_000, silence), (6_000, silence)];
    let most = |planted| {
        let of_seed = |seed| {
            let options = Options {
                seed,
                vms: 60,
                upstreams: 2,
                per_s: LIMIT as f64,
                lost_one_in: 50,
                rate_per_s: None,
                planted,
            };
            play(options, &course, 100)
        };
        (0..4).map(of_seed).max().unwrap_or(0)
    };
    assert!(most(Planted::Nothing) <= LIMIT);
    assert!(most(planted) > LIMIT, "{planted:?} is not found");
}

/// Guards against a rest that does not end, and against one that ends at once.
#[test]
fn rest_after_rejection() {
    let mut table = RejectionLimits::new(1);
    table.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    table.record_rejection(1_000, &upstream(0));
    assert!(table.is_held_back(1_001, &upstream(0)));
    let end_ms = table.next_available_ms(1_001).expect("a rest");
    assert!(!table.is_held_back(end_ms, &upstream(0)));
}

/// Guards against a limit that outlasts its statement, and against one that an older answer ends.
#[test]
fn limit_ends() {
    let (service, of) = (service(), upstream(0));
    let mut table = RejectionLimits::new(1);
    assert!(table.record_answer(0, 0, &service, &of, Some(limit(10.0))));
    assert!(!table.record_answer(500, 500, &service, &of, Some(limit(10.0))));
    assert!(!table.record_answer(600, 400, &service, &of, None));
    assert!(table.limit(&service, &of).is_some());
    assert!(table.record_answer(700, 600, &service, &of, None));
    assert!(table.limit(&service, &of).is_none());
    assert!(table.limit(&service, &upstream(1)).is_none());
}

/// Guards against an upstream that has just started, of which nobody knows that it states the limit
/// of its service, and against one that goes on to count as limited once it answers without.
#[test]
fn limit_inherited() {
    let mut table = RejectionLimits::new(1);
    table.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    assert_eq!(table.limit(&service(), &upstream(1)), Some(limit(10.0)));
    table.forget(500, &upstream(0));
    assert_eq!(table.limit(&service(), &upstream(1)), Some(limit(10.0)));
    assert!(
        table
            .limit(&GroupName::from("plain"), &upstream(1))
            .is_none()
    );
    assert!(table.record_answer(900, 800, &service(), &upstream(1), None));
    assert!(table.limit(&service(), &upstream(1)).is_none());
    assert!(table.limit(&service(), &upstream(2)).is_none());
}

/// Guards against an answer that was sent before the first statement of a service and is taken for
/// one that shows that its upstream states none.
#[test]
fn overtaken_answer() {
    let mut table = RejectionLimits::new(1);
    table.record_answer(500, 480, &service(), &upstream(0), Some(limit(10.0)));
    assert!(!table.record_answer(520, 490, &service(), &upstream(1), None));
    assert!(table.limit(&service(), &upstream(1)).is_some());
}

/// Guards against an upstream that answered without a limit before its service stated one, and is
/// not taken for limited as long as it gets no request.
#[test]
fn earlier_unlimited_answer() {
    let mut table = RejectionLimits::new(1);
    table.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    table.record_answer(100, 90, &service(), &upstream(1), None);
    table.record_answer(200, 190, &service(), &upstream(0), None);
    table.record_answer(9_000, 8_990, &service(), &upstream(0), Some(limit(10.0)));
    assert!(table.limit(&service(), &upstream(1)).is_some());
}

/// Guards against a VM that has started and is told nothing of a service whose upstreams have all
/// ended, and against an ended limit that an older announcement puts back in force.
#[test]
fn limits_announced() {
    let mut told = RejectionLimits::new(1);
    told.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    told.forget(500, &upstream(0));
    let rows = told.announcements(2_000);
    let mut started = RejectionLimits::new(2);
    for row in &rows {
        assert!(started.apply(70_000, row, false));
    }
    assert_eq!(started.limit(&service(), &upstream(3)), Some(limit(10.0)));
    assert_eq!(started.stated_since_ms(&service()), Some(68_000));
    assert!(started.record_answer(71_000, 70_500, &service(), &upstream(3), None));
    for row in &rows {
        assert!(!started.apply(71_500, row, false));
    }
    assert!(started.limit(&service(), &upstream(4)).is_none());
}

/// Guards against a VM that goes on to take a service for limited after all its upstreams that are
/// known to state a limit have left, while others answer without one.
#[test]
fn last_stating_upstream_leaves() {
    let mut table = RejectionLimits::new(1);
    table.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    table.record_answer(900, 800, &service(), &upstream(1), None);
    assert!(table.limit(&service(), &upstream(2)).is_some());
    table.forget(1_000, &upstream(0));
    assert!(table.limit(&service(), &upstream(2)).is_none());
}

/// Guards against a VM that is not told that a limit has ended, since the upstream whose answer ended
/// it has left, and gets no permit from an owner that knows it.
#[test]
fn end_announced() {
    let mut told = RejectionLimits::new(1);
    let mut late = RejectionLimits::new(2);
    for table in [&mut told, &mut late] {
        table.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    }
    told.record_answer(900, 800, &service(), &upstream(0), None);
    told.forget(1_000, &upstream(0));
    late.forget(1_000, &upstream(0));
    assert!(late.limit(&service(), &upstream(1)).is_some());
    for row in told.announcements(2_000) {
        late.apply(2_000, &row, false);
    }
    assert!(late.limit(&service(), &upstream(1)).is_none());
    // Another statement begins a new limit.
    assert!(late.record_answer(3_000, 2_900, &service(), &upstream(1), Some(limit(4.0))));
    assert_eq!(late.stated_since_ms(&service()), Some(3_000));
}

/// Guards against VMs that each announce again what one of them has announced, as many messages as
/// there are pairs of VMs.
#[test]
fn told_limit_not_announced() {
    let mut answered = RejectionLimits::new(1);
    answered.record_answer(0, 0, &service(), &upstream(0), Some(limit(10.0)));
    assert!(answered.has_unannounced());
    let mut told = RejectionLimits::new(2);
    for row in answered.take_unannounced(5) {
        assert!(told.apply(5, &row, true));
    }
    assert!(told.limit(&service(), &upstream(0)).is_some());
    assert!(!told.has_unannounced());
}
