//! Prints the figures of docs/design/admission.md: simulations of one target's queue, and the time
//! that one decision takes on this machine.

use std::collections::BTreeSet;
use std::time::Instant;

use apricotdale_admission::ADMISSION_POLICIES;
use apricotdale_admission::Options;
use apricotdale_admission::admission_policy;
use apricotdale_core::names::CallerName;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;

#[path = "../tests/support/mod.rs"]
mod support;

use support::Counts;
use support::Offer;
use support::Simulation;
use support::Source;
use support::arrival;
use support::capacity;
use support::offers;

const SLOTS: u32 = 8;

fn main() {
    for load in [0.5, 0.8, 1.0, 1.5, 2.0, 4.0] {
        overload(load);
    }
    for factor in [0.3, 3.0] {
        wrong_estimates(factor);
    }
    mix("quick flood", 40.0, 0.1);
    mix("re-plan flood", 2.0, 4.0);
    mix("all classes moderate", 4.0, 0.15);
    callers();
    for waiting in [100, 1_000, 4_000] {
        decision_time(waiting);
    }
}

fn source(class: &'static str, caller: &'static str, per_s: f64) -> Source {
    let (run_ms, target_ms) = match class {
        "quick" => (500, 1_300),
        "re-plan" => (8_000, 60_000),
        _ => (40_000, 600_000),
    };
    Source {
        class,
        caller,
        per_s,
        run_ms,
        expected_ms: run_ms,
        target_ms,
        from_ms: 0,
        to_ms: 600_000,
    }
}

/// Returns the policies to compare: the registered ones, and the earliest deadline without
/// forecasts and limits.
fn policies() -> Vec<(&'static str, Box<dyn AdmissionPolicy>)> {
    let unchecked = Options {
        fill: f64::INFINITY,
        overfill: f64::INFINITY,
        forecast_starts: 0,
        ..Options::default()
    };
    let build = |name, options| admission_policy(name, options).expect("a known policy");
    let named = ADMISSION_POLICIES.iter();
    let mut policies: Vec<_> = named
        .map(|name| (*name, build(name, Options::default())))
        .collect();
    policies.push((
        "unchecked deadline order",
        build("earliest_deadline", unchecked),
    ));
    policies
}

fn compare(title: &str, offers: &[Offer], name_of: fn(&Arrival) -> &str) {
    let names: BTreeSet<&str> = offers.iter().map(|offer| name_of(&offer.arrival)).collect();
    for (policy_name, mut policy) in policies() {
        let outcome = Simulation::run(policy.as_mut(), &[(0, SLOTS, None)], offers);
        for name in &names {
            let counts = outcome.counts(offers, |arrival| name_of(arrival) == *name);
            print_line(&format!("{title} | {policy_name} | {name}"), counts);
        }
    }
}

fn print_line(title: &str, mut counts: Counts) {
    counts.waits_to_start_ms.sort_unstable();
    let waits = &counts.waits_to_start_ms;
    let at = |part: usize| waits.get(waits.len() * part / 100).copied().unwrap_or(0);
    println!(
        "{title} | offered {} | in time {} | late {} | refused {}, {} of them after the deadline, \
         after {} ms in the mean and {} ms at most | waits p50 {} p95 {} p99 {} ms | {:?}",
        counts.offered,
        counts.in_time,
        counts.late,
        counts.refused,
        counts.refused_after_deadline,
        counts.waits_for_refusal_ms / u64::from(counts.refused.max(1)),
        counts.longest_wait_for_refusal_ms,
        at(50),
        at(95),
        at(99),
        counts.by_reason,
    );
}

fn class_of(arrival: &Arrival) -> &str {
    arrival.class.as_str()
}

fn caller_of(arrival: &Arrival) -> &str {
    arrival.caller.as_str()
}

fn overload(load: f64) {
    let per_s = load * f64::from(SLOTS) / 0.5;
    let offers = offers(1, &[source("quick", "fyn", per_s)]);
    compare(&format!("load {load}"), &offers, class_of);
}

fn wrong_estimates(factor: f64) {
    let mut source = source("quick", "fyn", 24.0);
    source.expected_ms = (source.run_ms as f64 * factor) as u64;
    compare(
        &format!("expected times {factor}"),
        &offers(4, &[source]),
        class_of,
    );
}

fn mix(title: &str, quick_per_s: f64, replan_per_s: f64) {
    let sources = [
        source("quick", "fyn", quick_per_s),
        source("re-plan", "fyn", replan_per_s),
        source("review", "fyn", 0.02),
    ];
    compare(title, &offers(2, &sources), class_of);
}

fn callers() {
    let sources = [
        source("quick", "flood", 60.0),
        source("quick", "small", 1.0),
        source("quick", "other", 2.0),
    ];
    compare("callers", &offers(3, &sources), caller_of);
}

/// Measures one arrival, one start and one end with many requests waiting.
fn decision_time(waiting: u64) {
    const ROUNDS: u64 = 2_000;
    let options = Options {
        max_waiting: 10_000,
        max_waiting_per_target: 10_000,
        ..Options::default()
    };
    for name in ADMISSION_POLICIES {
        let mut policy = admission_policy(name, options).expect("a known policy");
        policy.handle(0, capacity(32, None));
        for ticket in 0..waiting + 32 {
            policy.handle(0, AdmissionEvent::Arrived(long_deadline_arrival(ticket)));
        }
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let ticket = Ticket(round);
            policy.handle(
                round,
                AdmissionEvent::Arrived(long_deadline_arrival(waiting + 32 + round)),
            );
            policy.handle(
                round,
                AdmissionEvent::Ended {
                    ticket,
                    ran_ms: 500,
                },
            );
        }
        let per_round_us = begun.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        println!("{name}, {waiting} waiting: {per_round_us:.1} us for one arrival, start and end");
    }
}

fn long_deadline_arrival(ticket: u64) -> Arrival {
    let mut arrival = arrival(ticket, 10_000_000 + ticket, 500);
    arrival.caller = CallerName::new(format!("caller-{}", ticket % 50));
    arrival
}
