//! Random sequences of load, messages, failures and changes of limits over many VMs.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use support::Event;
use support::Fleet;
use support::rules::TOKENS;
use support::rules::UPSTREAM_REQUESTS;

fn event(units: impl Strategy<Value = u64>) -> impl Strategy<Value = Event> {
    let load = (0..64_usize, prop_oneof![Just(1), 2..64_usize], 1..400_u64);
    let load = (load, 0..4_u32, units, 200..9_000_u64);
    prop_oneof![
        8 => load.prop_map(|((from, vms, per_s), rank, units, for_ms)| Event::Load {
            from, vms, per_s, rank, units, for_ms
        }),
        2 => (0..64_usize).prop_map(|vm| Event::Restart { vm }),
        1 => Just(Event::RestartAll),
        2 => (0..64_usize, 50..5_000_u64).prop_map(|(vm, for_ms)| Event::Pause { vm, for_ms }),
        2 => (0..64_usize, 50..9_000_u64).prop_map(|(vm, for_ms)| Event::Partition { vm, for_ms }),
        1 => (10..300_u64).prop_map(|percent| Event::Limit { percent }),
    ]
}

fn tokens() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 200..1_500_u64, 1 => 1_500..40_000_u64]
}

/// Plays a sequence of events. Returns the maximum of what was admitted in a window, as a share of
/// what the limit allows.
fn play(mut fleet: Fleet, course: Vec<(u64, Event)>) -> f64 {
    fleet.run_until(fleet.now_ms + 3_000);
    for (pause_ms, event) in course {
        fleet.run_until(fleet.now_ms + pause_ms);
        fleet.apply(event);
    }
    fleet.run_until(fleet.now_ms + 5_000);
    fleet.worst_window()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::with_cases(96)
    })]

    /// Guards against more admitted units than a limit allows in a window, over all VMs together: with
    /// requests of several ranks, callers that come back when they are told to, and VMs of a release
    /// that knows no ranks.
    #[test]
    fn limit_holds(
        vms in prop_oneof![1..10_usize, 10..70_usize],
        seed in any::<u64>(),
        lost_in_256 in 0..40_u64,
        rate in prop_oneof![2_000.0..20_000.0, 20_000.0..400_000.0],
        old_vms in prop_oneof![3 => Just(0..0), 1 => (0..3_usize).prop_map(|end| 0..end),
            1 => (0..70_usize).prop_map(|start| start..70)],
        do_callers_return in any::<bool>(),
        course in prop::collection::vec((1..1_500_u64, event(tokens())), 5..25),
    ) {
        let mut fleet = Fleet::new(TOKENS, vms, seed, lost_in_256, rate);
        fleet.old_vms = old_vms;
        fleet.do_callers_return = do_callers_return;
        let worst = play(fleet, course);
        prop_assert!(worst <= 1.0, "{worst:.3} of what is allowed");
    }

    /// Guards against more requests from all VMs together to an upstream than its stated limit
    /// tolerates in a window.
    #[test]
    fn upstream_limit_holds(
        vms in prop_oneof![1..10_usize, 10..70_usize],
        seed in any::<u64>(),
        lost_in_256 in 0..40_u64,
        rate in prop_oneof![0.1..2.0, 2.0..40.0],
        course in prop::collection::vec((1..1_500_u64, event(Just(1))), 5..25),
    ) {
        let worst = play(Fleet::new(UPSTREAM_REQUESTS, vms, seed, lost_in_256, rate), course);
        prop_assert!(worst <= 1.0, "{worst:.3} of what is allowed");
    }
}

/// Returns the shares of the arriving units that are refused and that await the owner's answer.
fn refused(vms: usize, at: usize, rate: f64, share: f64, units: u64) -> (f64, f64) {
    let mut fleet = Fleet::new(TOKENS, vms, 7, 1, rate);
    fleet.run_until(fleet.now_ms + 4_000);
    fleet.apply(Event::Load {
        from: 0,
        vms: at,
        per_s: (rate * share / units as f64) as u64,
        rank: 0,
        units,
        for_ms: 20_000,
    });
    fleet.run_until(fleet.now_ms + 20_000);
    let share_of_arrived = |units: u64| units as f64 / fleet.arrived as f64;
    (
        share_of_arrived(fleet.refused),
        share_of_arrived(fleet.pending),
    )
}

/// Guards against an upstream's limit that is hardly used, because no VM gets a permit for a whole
/// request.
#[test]
fn upstream_limit_used() {
    for vms in [3, 9, 65] {
        for rate in [0.5, 1.0, 4.2, 20.0] {
            let mut fleet = Fleet::new(UPSTREAM_REQUESTS, vms, 7, 1, rate);
            fleet.run_until(fleet.now_ms + 4_000);
            fleet.apply(Event::Load {
                from: 0,
                vms,
                per_s: 60,
                rank: 0,
                units: 1,
                for_ms: 40_000,
            });
            fleet.run_until(fleet.now_ms + 40_000);
            let admitted: u64 = fleet.admitted.values().sum();
            let used = admitted as f64 / (rate * 40.0);
            println!("{vms} VMs, {rate} a second: {used:.3} used");
            assert!(
                used >= 0.5,
                "{used:.3} of the limit used by {vms} VMs at {rate}"
            );
        }
    }
}

/// Guards against refusals below the limit, also if an organisation uses a single VM.
#[test]
fn admitted_below_limit() {
    for vms in [9, 65, 295] {
        for (name, at) in [("one VM", 1), ("all VMs", vms)] {
            for rate in [29_000.0, 200_000.0] {
                let (refused, pending) = refused(vms, at, rate, 0.9, 716);
                println!(
                    "{vms} VMs, {rate} a second, at {name}: {:.4} refused, {:.3} pending",
                    refused, pending
                );
                assert!(refused <= 0.01, "{refused}");
            }
        }
    }
}
