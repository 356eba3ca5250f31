//! Settings of an entry VM: which values are accepted and which are rejected.

use std::io::Write;

use apricotdale_entry::Error;
use apricotdale_entry::Settings;
use rstest::rstest;
use tempfile::NamedTempFile;

const VALID_SETTINGS: &str = "[vm]\nname = vm-a\navailability_zone = zone-a\n\
    [callers]\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    [peers]\nlisten = 127.0.0.1:3\n[metrics]\nlisten = 127.0.0.1:4\n\
    [store]\naddress = 127.0.0.1:5\nread_mb_per_s = 80\n\
    [bounds]\nstop_s = 8\nengines_check_fences = true\norder_pause_ms = 3000\nrepeats_per_request = 0.2\n\
    spare_repeats = 58\nrepeats_window_s = 10\n[log]\nlevel = info\n";

fn read(text: &str) -> apricotdale_entry::Result<Settings> {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes())
        .expect("the file can be written");
    Settings::read(file.path())
}

#[test]
fn valid_settings() {
    let settings = read(VALID_SETTINGS).expect("valid settings");
    assert_eq!(settings.vm.as_str(), "vm-a");
    assert_eq!(settings.stop_ms, 8_000);
    assert_eq!(settings.spare_repeats, 58.0);
}

#[test]
fn unknown_keys_ignored() {
    assert!(read(&format!("{VALID_SETTINGS}[later]\nkey = value\n")).is_ok());
}

#[rstest]
#[case::no_name("name = vm-a\n", "")]
#[case::empty_name("name = vm-a", "name =")]
#[case::no_store("address = 127.0.0.1:5\n", "")]
fn missing_setting(#[case] from: &str, #[case] to: &str) {
    let error = read(&VALID_SETTINGS.replace(from, to));
    assert!(
        matches!(error, Err(Error::MissingSetting { .. })),
        "{error:?}"
    );
}

#[rstest]
#[case::host_name("127.0.0.1:5", "store.example:5")]
#[case::no_port("127.0.0.1:1", "127.0.0.1")]
#[case::not_a_number("stop_s = 8", "stop_s = soon")]
#[case::too_short("stop_s = 8", "stop_s = 0.01")]
#[case::share_above_one("repeats_per_request = 0.2", "repeats_per_request = 1.5")]
#[case::no_reads("read_mb_per_s = 80", "read_mb_per_s = 0")]
#[case::too_many_repeats("spare_repeats = 58", "spare_repeats = 100001")]
#[case::no_number("spare_repeats = 58", "spare_repeats = nan")]
#[case::negative_share("repeats_per_request = 0.2", "repeats_per_request = -0.1")]
#[case::not_a_bool("engines_check_fences = true", "engines_check_fences = maybe")]
#[case::not_a_level("level = info", "level = loud")]
fn invalid_setting(#[case] from: &str, #[case] to: &str) {
    let error = read(&VALID_SETTINGS.replace(from, to));
    assert!(matches!(error, Err(Error::BadSetting { .. })), "{error:?}");
    let text = error.expect_err("it is refused").to_string();
    assert!(text.contains("which is not"), "{text}");
}

#[test]
fn missing_file() {
    let error = Settings::read(std::path::Path::new("nowhere/entry.ini"));
    assert!(matches!(error, Err(Error::SettingsFile { .. })));
}

/// Guards against a deployment in which no VM starts, because the platform fills a fraction into
/// the template, such as `spare_repeats` in a scaled fleet. Settings were once read as whole
/// numbers, and bounds in seconds were turned into milliseconds by appending zeros.
#[rstest]
#[case::spare_repeats("spare_repeats = 58", "spare_repeats = 33.157894736842106")]
#[case::whole_written_as_fraction("spare_repeats = 58", "spare_repeats = 58.0")]
#[case::stop("stop_s = 8", "stop_s = 8.5")]
#[case::window("repeats_window_s = 10", "repeats_window_s = 10.0")]
#[case::pause("order_pause_ms = 3000", "order_pause_ms = 3000.5")]
#[case::store("read_mb_per_s = 80", "read_mb_per_s = 4.21")]
#[case::share("repeats_per_request = 0.2", "repeats_per_request = 0")]
fn fractional_bounds(#[case] from: &str, #[case] to: &str) {
    assert!(VALID_SETTINGS.contains(from));
    assert!(read(&VALID_SETTINGS.replace(from, to)).is_ok());
}

/// Checks every bound of the template that the platform fills in, with each number as a fraction.
#[test]
fn fractional_template() {
    let template = include_str!("../../../deploy/entry.ini");
    let mut filled = template
        .replace("{{node_name}}", "vm-a")
        .replace("{{zone}}", "zone-a")
        .replace("{{listen.front}}", "127.0.0.1:1")
        .replace("{{listen.ready}}", "127.0.0.1:2")
        .replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:3")
        .replace("{{ip}}:9464", "127.0.0.1:4")
        .replace("{{platform.address}}", "127.0.0.1:5")
        .replace("{{platform.read_mb_per_s}}", "4.21")
        .replace("{{bounds.fence_required}}", "true")
        .replace("{{bounds.fail_closed}}", "false")
        .replace("{{bounds.quota_over}}", "0.125")
        .replace("{{bounds.budget_ratio}}", "0.25");
    let mut bounds = 0;
    while let Some(begin) = filled.find("{{bounds.") {
        let end = begin + filled[begin..].find("}}").expect("a closed placeholder") + 2;
        let value = if filled[begin..end].ends_with("_ms}}") {
            "2500.5"
        } else {
            "12.5"
        };
        filled.replace_range(begin..end, value);
        bounds += 1;
    }
    assert_eq!(bounds, 7, "the template names the bounds");
    // Comments contain placeholders too, but no value may still contain one.
    let values = filled.lines().filter(|line| !line.starts_with(';'));
    assert!(values.into_iter().all(|line| !line.contains("{{")));
    let settings = read(&filled).expect("valid settings");
    assert_eq!(settings.stop_ms, 12_500);
    assert_eq!(settings.repeats_window_ms, 12_500);
}

/// Guards against a deployment without organisations, whose platform leaves these settings empty.
#[test]
fn empty_organisations() {
    let empty = "[organisations]\nlimit_window_s =\nlimit_over =\nlimit_slack =\nfail_closed =\n\
                 revoke_ms =\n";
    let settings = read(&format!("{VALID_SETTINGS}{empty}")).expect("valid settings");
    assert!(!settings.fail_closed);
    assert_eq!(settings.limit_bounds.window_ms, 8_000);
}

/// Guards against invalid bounds of organisations that are silently read as something else.
#[rstest]
#[case::window("limit_window_s = 0")]
#[case::over("limit_over = -1")]
#[case::slack("limit_slack = many")]
#[case::closed("fail_closed = maybe")]
#[case::revoke("revoke_ms = -5")]
fn invalid_organisation_bounds(#[case] line: &str) {
    let error =
        read(&format!("{VALID_SETTINGS}[organisations]\n{line}\n")).expect_err("a bad setting");
    let key = line.split(' ').next().expect("a key");
    assert!(error.to_string().contains(key), "{error}");
}
