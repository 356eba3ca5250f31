//! Cost of routing decisions by candidates, and of admission by waiting requests.

use std::net::SocketAddr;

use apricotdale_admission::ADMISSION_POLICIES;
use apricotdale_admission::admission_policy;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::Ticket;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_routing::ROUTING_POLICIES;
use apricotdale_routing::routing_policy;

use crate::errors::Error;
use crate::errors::Result;
use crate::fleet::engine_name;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const CANDIDATES: &[usize] = &[18, 75, 150, 300, 600];
const WAITING: &[usize] = &[100, 500, 1_000, 2_000, 4_000];
const DECISIONS: u64 = 1_000;
const SLOTS: u32 = 32;
const MODEL: &str = "planner-lm";

/// Measures the default policy of each kind, which is the first one registered.
///
/// # Errors
///
/// [`Error::Policy`] if a policy can't be created.
pub fn policies() -> Result<Vec<Slope>> {
    Ok(vec![
        Slope::measure(
            "route",
            Unit::CpuMicroseconds,
            "candidate",
            CANDIDATES,
            route_us,
        )?,
        Slope::measure(
            "admit",
            Unit::CpuMicroseconds,
            "waiting_request",
            WAITING,
            admit_us,
        )?,
    ])
}

/// Returns the time of one routing decision among `count` candidates, including the events that
/// report the request as sent and ended.
fn route_us(count: usize) -> Result<f64> {
    let options = apricotdale_routing::Options {
        own_zone: Some(ZoneName::new("zone-0")),
        ..apricotdale_routing::Options::default()
    };
    let mut policy = routing_policy(ROUTING_POLICIES[0], options).map_err(Error::policy)?;
    let candidates: Vec<Candidate> = (0..count).map(candidate).collect();
    let mut now_ms = 0;
    let all_us = thread_us(|| {
        for round in 0..DECISIONS {
            now_ms += 1;
            let request = RouteRequest {
                prefix_hash: Some(round % 500),
                tried: Vec::new(),
            };
            let Some(chosen) = policy.choose(now_ms, &request, &candidates) else {
                continue;
            };
            let upstream = candidates[chosen].upstream.clone();
            let sent = RoutingEvent::Sent {
                upstream: upstream.clone(),
                prefix_hash: request.prefix_hash,
            };
            policy.learn(now_ms, sent);
            let ended = RoutingEvent::Ended {
                upstream,
                outcome: UpstreamOutcome::Answered,
                first_byte_ms: Some(100),
            };
            policy.learn(now_ms, ended);
        }
    });
    Ok(all_us / DECISIONS as f64)
}

/// Returns the time to handle one arrival and one ended request while `waiting` requests wait.
fn admit_us(waiting: usize) -> Result<f64> {
    let options = apricotdale_admission::Options {
        max_waiting: 20_000,
        max_waiting_per_target: 20_000,
        ..apricotdale_admission::Options::default()
    };
    let mut policy = admission_policy(ADMISSION_POLICIES[0], options).map_err(Error::policy)?;
    let capacity = AdmissionEvent::Capacity {
        target: ModelName::new(MODEL),
        slots: SLOTS,
        ready_at_ms: None,
    };
    policy.handle(0, capacity);
    let mut next = 0;
    while next < waiting as u64 + u64::from(SLOTS) {
        policy.handle(0, AdmissionEvent::Arrived(arrival(next)));
        next += 1;
    }
    let mut ended = 0;
    let all_us = thread_us(|| {
        for _ in 0..DECISIONS {
            policy.handle(ended, AdmissionEvent::Arrived(arrival(next)));
            let end = AdmissionEvent::Ended {
                ticket: Ticket(ended),
                ran_ms: 500,
            };
            policy.handle(ended, end);
            next += 1;
            ended += 1;
        }
    });
    Ok(all_us / DECISIONS as f64)
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        upstream: engine_name(number),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        zone: ZoneName::new(format!("zone-{}", number % 3)),
    }
}

fn arrival(ticket: u64) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        target: ModelName::new(MODEL),
        class: "review".into(),
        caller: "fyn".into(),
        deadline_ms: 100_000_000,
        expected_run_ms: 500,
    }
}
