//! Prints the figures of docs/design/routing.md and docs/design/retries.md: simulations of many VMs
//! that send to a group of engines, and the time that one decision takes on this machine.

use std::time::Instant;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_routing::Options;
use apricotdale_routing::RETRY_POLICIES;
use apricotdale_routing::ROUTING_POLICIES;
use apricotdale_routing::RetryOptions;
use apricotdale_routing::retry_policy;
use apricotdale_routing::routing_policy;

#[path = "../tests/support/mod.rs"]
mod support;

use support::Fault;
use support::Fleet;
use support::Results;
use support::candidates;
use support::simulate;

fn main() {
    for vms in [1, 7, 50] {
        for load in [0.5, 0.8, 0.95] {
            compare(
                &format!("{vms} VMs, load {load}"),
                &Fleet {
                    vms,
                    load,
                    ..Fleet::default()
                },
            );
        }
    }
    for lag_ms in [0, 500, 2_000, 5_000, 20_000] {
        let fleet = Fleet {
            report_lag_ms: lag_ms,
            ..Fleet::default()
        };
        compare(&format!("lag {lag_ms} ms"), &fleet);
    }
    tunings();
    let zones = Fleet {
        vms: 9,
        zones: 3,
        ..Fleet::default()
    };
    compare("three zones", &zones);
    prefixes();
    faults();
    outage();
    for count in [18, 600] {
        decision_time(count);
    }
}

fn compare(title: &str, fleet: &Fleet) {
    for policy in ROUTING_POLICIES {
        let results = simulate(&Fleet {
            policy,
            ..fleet.clone()
        });
        print_line(&format!("{title} | {policy}"), &results);
    }
}

fn print_line(title: &str, results: &Results) {
    let requests = results.requests().max(1);
    let percent = |count: u32| 100.0 * f64::from(count) / f64::from(requests);
    println!(
        "{title} | {requests} requests | wait p50 {} p95 {} p99 {} ms | longest queue {} | failed \
         {:.2} % | own zone {:.0} % | prefix hits {:.0} %",
        results.wait_ms(50),
        results.wait_ms(95),
        results.wait_ms(99),
        results.longest_queue,
        percent(results.failed),
        percent(results.own_zone),
        percent(results.prefix_hits),
    );
}

/// Compares tunings, for engines that serve only the simulated VMs and for engines of which a third
/// is busy with requests of other systems.
fn tunings() {
    let background_load: Vec<(usize, f64)> = (0..6).map(|engine| (engine, 0.6)).collect();
    for (kind, load, background) in [("even", 0.9, Vec::new()), ("uneven", 0.7, background_load)] {
        for (vms, lag_ms) in [(7, 0), (7, 2_000), (7, 5_000), (50, 0), (50, 2_000)] {
            let fleet = Fleet {
                vms,
                load,
                background: background.clone(),
                report_lag_ms: lag_ms,
                ..Fleet::default()
            };
            tune(&format!("{kind}, {vms} VMs, lag {lag_ms} ms"), &fleet);
        }
    }
}

fn tune(title: &str, fleet: &Fleet) {
    for choices in [1, 2, 6, 18] {
        for (weight_gain, fresh_gain) in [(0.0, 0.0), (0.3, 0.0), (0.3, 1.0), (1.0, 3.0)] {
            let options = Options {
                choices,
                weight_gain,
                fresh_gain,
                ..Options::default()
            };
            let fleet = Fleet {
                options,
                ..fleet.clone()
            };
            let title = format!("{title}, choices {choices}, gains {weight_gain} {fresh_gain}");
            print_line(&title, &simulate(&fleet));
        }
    }
}

/// Compares limits of the extra load for a cached prefix: with many prefixes, and with one that
/// half of all requests share.
fn prefixes() {
    for (kind, prefixes) in [("many prefixes", 2_000), ("one hot prefix", 10)] {
        for affinity_pressure in [-10.0, 0.0, 0.25, 0.5, 1.0, 10.0] {
            let options = Options {
                affinity_pressure,
                ..Options::default()
            };
            let fleet = Fleet {
                options,
                prefixes,
                load: 1.0,
                ..Fleet::default()
            };
            print_line(
                &format!("{kind}, cap {affinity_pressure}"),
                &simulate(&fleet),
            );
        }
    }
}

fn faults() {
    let faults = [
        ("slow by ten", Fault::Slow(10.0)),
        ("refuses at once", Fault::Refuses),
        ("loses half", Fault::Loses(0.5)),
    ];
    for (title, fault) in faults {
        let fleet = Fleet {
            faults: vec![(3, fault)],
            load: 0.6,
            ..Fleet::default()
        };
        compare(title, &fleet);
    }
    let all = (0..18).map(|engine| (engine, Fault::Loses(0.5))).collect();
    compare(
        "all lose half",
        &Fleet {
            faults: all,
            load: 0.6,
            ..Fleet::default()
        },
    );
}

/// Counts the attempts that reach a group that fails every request, for 10,000 first attempts.
fn outage() {
    for name in RETRY_POLICIES {
        let mut policy = retry_policy(name, RetryOptions::default()).expect("a known policy");
        let group = GroupName::new("planner-lm");
        let mut tries = 0;
        for first in 0..10_000_u64 {
            let now_ms = first * 10;
            policy.record_first_attempt(now_ms, &group);
            tries += 1 + retries_of_one(policy.as_mut(), now_ms, &group);
        }
        println!("outage | {name} | {tries} tries for 10000 requests");
    }
}

fn retries_of_one(
    policy: &mut dyn apricotdale_core::policy::RetryPolicy,
    now_ms: u64,
    group: &GroupName,
) -> u32 {
    let mut request = RetryRequest {
        group: group.clone(),
        idempotent: true,
        certainly_not_run: false,
        answer_begun: false,
        tries: 1,
        left_ms: 10_000,
    };
    while let RetryDecision::RetryAfterMs(_) = policy.decide(now_ms, &request) {
        request.tries += 1;
    }
    request.tries - 1
}

fn decision_time(count: usize) {
    const ROUNDS: u64 = 20_000;
    let candidates = candidates(count, 3);
    for name in ROUTING_POLICIES {
        let options = Options {
            own_zone: Some(ZoneName::new("zone-0")),
            ..Options::default()
        };
        let mut policy = routing_policy(name, options).expect("a known policy");
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let request = RouteRequest {
                prefix_hash: Some(round % 500),
                tried: Vec::new(),
            };
            let chosen = policy
                .choose(round, &request, &candidates)
                .expect("a candidate");
            let upstream = candidates[chosen].upstream.clone();
            let sent = RoutingEvent::Sent {
                upstream: upstream.clone(),
                prefix_hash: request.prefix_hash,
            };
            policy.learn(round, sent);
            let ended = RoutingEvent::Ended {
                upstream,
                outcome: UpstreamOutcome::Answered,
                first_byte_ms: Some(100),
            };
            policy.learn(round, ended);
        }
        let each_us = begun.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        println!("{count} candidates | {name} | {each_us:.1} us for one choice, sending and end");
    }
}
