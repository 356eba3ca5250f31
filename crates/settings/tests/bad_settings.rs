//! Rejection of invalid settings, with all problems in one report.

use apricotdale_admission::ADMISSION_POLICIES;
use apricotdale_placement::PLACEMENT_POLICIES;
use apricotdale_routing::RETRY_POLICIES;
use apricotdale_routing::ROUTING_POLICIES;
use apricotdale_settings::Settings;
use rstest::rstest;

const VALID_SETTINGS: &str = "\
[vm]
name = entry-1
region = dk-east
availability_zone = hall-a
[listen]
callers = 10.0.0.1:8080
peers = 10.0.0.1:7080
admin = 10.0.0.1:9080
[platform]
log = 10.0.9.1:80
weights = 10.0.9.2:80
vm_list = 10.0.9.3:80
[peers]
cluster_key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[callers]
default_class = quick
";

const ONE_BYTE_KEY: &str =
    "cluster_key = abababababababababababababababababababababababababababababababab";

const ODD_KEY: &str =
    "cluster_key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f2";

/// Returns the problems of a text in the form printed for the operator.
fn problems(text: &str) -> Vec<String> {
    let problems = Settings::from_text(text).expect_err("the settings are invalid");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn minimal_settings() {
    let settings = Settings::from_text(VALID_SETTINGS).expect("the settings are valid");
    assert_eq!(settings.vm.name.as_str(), "entry-1");
    assert_eq!(settings.platform.claim_streams.len(), 4);
    assert_eq!(settings.platform.claim_streams[3].as_str(), "claims-3");
    assert_eq!(settings.policies.seed, None);
}

/// Guards against a check that stops at the first fault: an operator who corrects one setting would
/// learn of the next fault only at the next start.
#[test]
fn all_problems_reported() {
    let text = "\
[vm]
name = entry 1
availability_zone = hall-a
[listen]
callers = localhost:8080
peers = 10.0.0.1:9080
admin = 10.0.0.1:9080
nonsense
[platform]
log = 10.0.9.1:80
weights = 10.0.9.2:0
control_stream = claims-2
[peers]
cluster_key = 0001
heartbeat_interval_s = 1
[callers]
default_class = quick
head_timeout_ms = 10s
max_connections = 0
max_connections = 5
[routing]
weight = 3
";
    let expected = [
        "line 2: [vm] name = \"entry 1\": allowed is a name",
        "line 5: [listen] callers = \"localhost:8080\": allowed is an IP number",
        "line 7: [listen] admin = \"10.0.0.1:9080\": is the same socket as peers",
        "line 8: [listen]: \"nonsense\" is neither a comment, a [section] nor key = value",
        "line 11: [platform] weights = \"10.0.9.2:0\": allowed is an IP number",
        "line 12: [platform] control_stream = \"claims-2\": must not be the name of a claim stream",
        "line 14: [peers] cluster_key = \"(hidden)\": allowed is at least 64 hexadecimal",
        "line 15: [peers] heartbeat_interval_s: unknown key; allowed are cluster_key,",
        "line 18: [callers] head_timeout_ms = \"10s\": allowed is a whole number of milliseconds",
        "line 19: [callers] max_connections = \"0\": allowed is a whole number from 1",
        "line 20: [callers] max_connections = \"5\": duplicate key; it is set first at line 19",
        "line 21: [routing]: unknown section; allowed are vm, listen,",
        "[vm] region: missing; allowed is a name",
        "[platform] vm_list: missing; allowed is an IP number",
    ];
    let reported = problems(text);
    assert_eq!(reported.len(), expected.len(), "{reported:#?}");
    for (reported, expected) in reported.iter().zip(expected) {
        assert!(
            reported.starts_with(expected),
            "{reported:?} is not {expected:?}"
        );
    }
}

#[rstest]
#[case::host_name(
    "listen",
    "callers = entry-1.example:8080",
    "callers",
    "not a host name"
)]
#[case::no_port("platform", "log = 10.0.9.1", "log", "and a port")]
#[case::any_address("platform", "log = 0.0.0.0:80", "log", "other than 0.0.0.0")]
#[case::unit_in_value(
    "upstreams",
    "load_timeout_ms = 30s",
    "load_timeout_ms",
    "without a unit"
)]
#[case::signed(
    "upstreams",
    "load_timeout_ms = +5000",
    "load_timeout_ms",
    "milliseconds"
)]
#[case::fraction(
    "upstreams",
    "load_timeout_ms = 1e5",
    "load_timeout_ms",
    "milliseconds"
)]
#[case::unit_in_key("upstreams", "load_timeout_s = 30", "load_timeout_s", "unknown key")]
#[case::comment_behind("drain", "grace_ms = 700000 ; slow", "grace_ms", "milliseconds")]
#[case::zero_limit("callers", "max_headers = 0", "max_headers", "from 8 to 1024")]
#[case::level("log", "level = loud", "level", "one of error, warn")]
#[case::empty_path("log", "file =", "file", "a path")]
#[case::short_key("peers", "cluster_key = 00ff", "cluster_key", "at least 64")]
#[case::one_byte_key("peers", ONE_BYTE_KEY, "cluster_key", "not one byte repeated")]
#[case::odd_key("peers", ODD_KEY, "cluster_key", "an even number")]
#[case::own_address(
    "platform",
    "log = 10.0.0.1:7080",
    "log",
    "this daemon itself listens (peers)"
)]
#[case::one_heartbeat("peers", "suspect_after_missed = 1", "suspect_after_missed", "from 2")]
#[case::weight("policies", "weight = 3", "weight", "unknown key")]
fn invalid_value(
    #[case] section: &str,
    #[case] line: &str,
    #[case] key: &str,
    #[case] allowed: &str,
) {
    let reported = problems(&with_line(section, line));
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(
        reported[0].contains(&format!("[{section}] {key}")),
        "{reported:?}"
    );
    assert!(reported[0].contains(allowed), "{reported:?}");
}

#[rstest]
#[case("routing", ROUTING_POLICIES)]
#[case("retry", RETRY_POLICIES)]
#[case("admission", ADMISSION_POLICIES)]
#[case("placement", PLACEMENT_POLICIES)]
fn unknown_policy_name(#[case] key: &str, #[case] known: &[&str]) {
    let reported = problems(&with_line("policies", &format!("{key} = by-weight")));
    let expected = format!(
        "[policies] {key} = \"by-weight\": allowed is one of {}",
        known.join(", ")
    );
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(reported[0].ends_with(&expected), "{reported:?}");
}

#[rstest]
#[case::keep_alive("callers", "idle_timeout_ms = 9000", "head_timeout_ms = 10000")]
#[case::body("callers", "body_timeout_ms = 9000", "head_timeout_ms = 10000")]
#[case::sizes("callers", "max_body_bytes = 8192", "max_head_bytes = 16384")]
#[case::heartbeat("peers", "timeout_ms = 501", "timeout_ms = 501")]
#[case::order(
    "upstreams",
    "report_interval_ms = 60000\nload_timeout_ms = 1000",
    "60000"
)]
#[case::drain("drain", "grace_ms = 599999", "max_timeout_ms = 600000")]
fn invalid_combination(#[case] section: &str, #[case] lines: &str, #[case] low: &str) {
    let reported = problems(&with_line(section, lines));
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(reported[0].contains("must be at least"), "{reported:?}");
    assert!(reported[0].contains(low), "{reported:?}");
}

#[rstest]
#[case::same("10.0.0.1:8080", false)]
#[case::any_address("0.0.0.0:8080", false)]
#[case::other_port("10.0.0.1:8081", true)]
#[case::other_address("10.0.0.2:8080", true)]
fn listener_conflict(#[case] peers: &str, #[case] accepted: bool) {
    let text = VALID_SETTINGS.replace("10.0.0.1:7080", peers);
    assert_eq!(Settings::from_text(&text).is_ok(), accepted);
}

#[test]
fn several_zero_ports() {
    let text = VALID_SETTINGS
        .replace("10.0.0.1:8080", "127.0.0.1:0")
        .replace("10.0.0.1:7080", "127.0.0.1:0")
        .replace("10.0.0.1:9080", "127.0.0.1:0");
    assert!(Settings::from_text(&text).is_ok());
}

/// Guards against the cluster key in a log or on a terminal: a key with a digit missing, or behind
/// a misspelt name, is a problem whose message could show the value.
#[rstest]
#[case::bad_value("cluster_key = c0ffee", "c0ffee")]
#[case::bad_name("cluster-key = c0ffee", "c0ffee")]
fn secret_not_printed(#[case] line: &str, #[case] secret: &str) {
    let reported = problems(&with_line("peers", line)).join("\n");
    assert!(!reported.contains(secret), "{reported}");
}

#[test]
fn duplicate_section() {
    let reported = problems(&format!("{VALID_SETTINGS}[vm]\n"));
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(reported[0].starts_with("line 17: [vm]: duplicate section; it begins first at line 1"));
}

#[test]
fn missing_file() {
    let path = std::path::Path::new("no-such-folder/daemon.ini");
    let reported = Settings::from_file(path).expect_err("the file does not exist");
    assert_eq!(reported.len(), 1);
    assert!(reported[0].to_string().contains("can't be read"));
}

/// Returns valid settings with `line` inserted as the first line of its section, without the
/// section's former line of the same key.
fn with_line(section: &str, line: &str) -> String {
    let key = line.split('=').next().unwrap_or_default().trim();
    let head = format!("[{section}]");
    let kept = VALID_SETTINGS
        .lines()
        .scan(String::new(), |current, text| {
            if text.starts_with('[') {
                *current = text.to_owned();
            }
            let replaced = *current == head && text.split('=').next().unwrap().trim() == key;
            Some((!replaced).then_some(text))
        })
        .flatten();
    let text: String = kept.map(|text| format!("{text}\n")).collect();
    match text.contains(&head) {
        true => text.replace(&head, &format!("{head}\n{line}")),
        false => format!("{text}{head}\n{line}\n"),
    }
}
