//! Checks of values that depend on each other.
//!
//! Each value can be allowed by itself and still be unusable together with another one.

use std::net::SocketAddr;

use crate::problem::Problem;
use crate::values::Values;

type KeyPath = (&'static str, &'static str);

const LISTENERS: [KeyPath; 3] = [
    ("listen", "callers"),
    ("listen", "peers"),
    ("listen", "admin"),
];

const REMOTES: [KeyPath; 3] = [
    ("platform", "log"),
    ("platform", "weights"),
    ("platform", "vm_list"),
];

/// Lower bound that one number takes from another one.
struct MinimumRule {
    /// Section and key of the number that is checked.
    bounded: KeyPath,
    /// Section and key of the number that it must at least be equal to.
    minimum: KeyPath,
    /// Consequence of a value below the bound, as a phrase that ends the message to the operator.
    reason: &'static str,
}

const MINIMUM_RULES: &[MinimumRule] = &[
    MinimumRule {
        bounded: ("callers", "idle_timeout_ms"),
        minimum: ("callers", "head_timeout_ms"),
        reason: "otherwise an idle connection is closed while its next request arrives",
    },
    MinimumRule {
        bounded: ("callers", "body_timeout_ms"),
        minimum: ("callers", "head_timeout_ms"),
        reason: "otherwise a body has less time than its head",
    },
    MinimumRule {
        bounded: ("callers", "max_body_bytes"),
        minimum: ("callers", "max_head_bytes"),
        reason: "otherwise a head may be larger than a body",
    },
    MinimumRule {
        bounded: ("peers", "heartbeat_interval_ms"),
        minimum: ("peers", "timeout_ms"),
        reason: "otherwise heartbeats to an unresponsive peer accumulate",
    },
    MinimumRule {
        bounded: ("upstreams", "load_timeout_ms"),
        minimum: ("upstreams", "report_interval_ms"),
        reason: "otherwise an order times out before the next report of its engine",
    },
    MinimumRule {
        bounded: ("drain", "grace_ms"),
        minimum: ("callers", "max_timeout_ms"),
        reason: "otherwise a planned stop cuts off a request in progress",
    },
];

/// Returns a problem for each combination of values that can't work.
pub(crate) fn check(values: &Values) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_listeners(values, &mut problems);
    check_remotes(values, &mut problems);
    check_streams(values, &mut problems);
    for rule in MINIMUM_RULES {
        check_minimum(values, rule, &mut problems);
    }
    problems
}

fn check_listeners(values: &Values, problems: &mut Vec<Problem>) {
    for (index, key_path) in LISTENERS.iter().enumerate() {
        for earlier in &LISTENERS[..index] {
            let addresses = (address(values, *key_path), address(values, *earlier));
            match addresses {
                (Some(one), Some(other)) if sockets_conflict(one, other) => {
                    let allowed = format!("is the same socket as {}", earlier.1);
                    problems.push(address_problem(values, *key_path, one, allowed));
                }
                _ => {}
            }
        }
    }
}

fn check_remotes(values: &Values, problems: &mut Vec<Problem>) {
    for key_path in REMOTES {
        for listener in LISTENERS {
            let addresses = (address(values, key_path), address(values, listener));
            match addresses {
                (Some(remote), Some(own)) if remote == own => {
                    let allowed = format!(
                        "is an address where this daemon itself listens ({})",
                        listener.1
                    );
                    problems.push(address_problem(values, key_path, remote, allowed));
                }
                _ => {}
            }
        }
    }
}

/// Checks that the names of all streams differ. Otherwise records of one kind, such as claims,
/// would be replayed as another, such as decisions.
fn check_streams(values: &Values, problems: &mut Vec<Problem>) {
    let control = values.text("platform", "control_stream");
    let snapshots = values.text("platform", "snapshot_stream");
    if control.is_some() && control == snapshots {
        problems.push(stream_problem(
            values,
            "snapshot_stream",
            "must differ from control_stream",
        ));
    }
    let Some(prefix) = values.text("platform", "claim_stream_prefix") else {
        return;
    };
    for name in ["control_stream", "snapshot_stream"] {
        match values.text("platform", name) {
            Some(stream) if is_claim_stream(stream, prefix) => problems.push(stream_problem(
                values,
                name,
                "must not be the name of a claim stream (claim_stream_prefix and a number)",
            )),
            _ => {}
        }
    }
}

fn is_claim_stream(stream: &str, prefix: &str) -> bool {
    let number = stream
        .strip_prefix(prefix)
        .and_then(|rest| rest.strip_prefix('-'));
    number.is_some_and(|number| number.bytes().all(|byte| byte.is_ascii_digit()))
}

fn check_minimum(values: &Values, rule: &MinimumRule, problems: &mut Vec<Problem>) {
    let numbers = (
        values.number(rule.bounded.0, rule.bounded.1),
        values.number(rule.minimum.0, rule.minimum.1),
    );
    let (Some(bounded), Some(minimum)) = numbers else {
        return;
    };
    if bounded >= minimum {
        return;
    }
    let (section, name) = rule.minimum;
    problems.push(Problem::of_key(
        rule.bounded.0,
        rule.bounded.1,
        Some(&bounded.to_string()),
        // If the bounded value is a default, the operator wrote only the line of the minimum.
        values
            .line(rule.bounded.0, rule.bounded.1)
            .or_else(|| values.line(section, name)),
        format!(
            "must be at least [{section}] {name} = {minimum}, {}",
            rule.reason
        ),
    ));
}

fn address(values: &Values, key_path: KeyPath) -> Option<SocketAddr> {
    values.address(key_path.0, key_path.1)
}

/// Returns whether two listeners would bind the same socket. Port 0 means any free port and
/// conflicts with nothing.
fn sockets_conflict(one: SocketAddr, other: SocketAddr) -> bool {
    if one.port() == 0 || one.port() != other.port() {
        return false;
    }
    one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified()
}

fn address_problem(
    values: &Values,
    key_path: KeyPath,
    address: SocketAddr,
    allowed: String,
) -> Problem {
    Problem::of_key(
        key_path.0,
        key_path.1,
        Some(&address.to_string()),
        values.line(key_path.0, key_path.1),
        allowed,
    )
}

fn stream_problem(values: &Values, name: &'static str, allowed: &str) -> Problem {
    Problem::of_key(
        "platform",
        name,
        values.text("platform", name),
        values.line("platform", name),
        allowed,
    )
}
