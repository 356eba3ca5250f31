//! Settings of an entry VM: what is taken over and what is refused.

use std::io::Write;

use apricotdale_entry::Error;
use apricotdale_entry::Settings;
use rstest::rstest;
use tempfile::NamedTempFile;

const GOOD: &str = "[vm]\nname = vm-a\navailability_zone = zone-a\n\
    [callers]\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    [peers]\nlisten = 127.0.0.1:3\n[metrics]\nlisten = 127.0.0.1:4\n\
    [store]\naddress = 127.0.0.1:5\n\
    [bounds]\nstop_ms = 8000\nengines_check_fences = true\norder_pause_ms = 3000\nrepeats_per_request = 0.2\n\
    spare_repeats = 58\nrepeats_window_ms = 10000\n[log]\nlevel = info\n";

fn read(text: &str) -> apricotdale_entry::Result<Settings> {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes())
        .expect("the file can be written");
    Settings::read(file.path())
}

#[test]
fn good_settings() {
    let settings = read(GOOD).expect("good settings");
    assert_eq!(settings.vm.as_str(), "vm-a");
    assert_eq!(settings.stop_ms, 8_000);
    assert_eq!(settings.spare_repeats, 58.0);
}

#[test]
fn unknown_keys_are_left_alone() {
    assert!(read(&format!("{GOOD}[later]\nkey = value\n")).is_ok());
}

#[rstest]
#[case::no_name("name = vm-a\n", "")]
#[case::empty_name("name = vm-a", "name =")]
#[case::no_store("address = 127.0.0.1:5\n", "")]
fn missing_setting(#[case] from: &str, #[case] to: &str) {
    let error = read(&GOOD.replace(from, to));
    assert!(
        matches!(error, Err(Error::MissingSetting { .. })),
        "{error:?}"
    );
}

#[rstest]
#[case::host_name("127.0.0.1:5", "store.example:5")]
#[case::no_port("127.0.0.1:1", "127.0.0.1")]
#[case::not_a_number("stop_ms = 8000", "stop_ms = soon")]
#[case::too_short("stop_ms = 8000", "stop_ms = 10")]
#[case::share_above_one("repeats_per_request = 0.2", "repeats_per_request = 1.5")]
#[case::negative_share("repeats_per_request = 0.2", "repeats_per_request = -0.1")]
#[case::not_a_truth("engines_check_fences = true", "engines_check_fences = maybe")]
#[case::not_a_level("level = info", "level = loud")]
fn bad_setting(#[case] from: &str, #[case] to: &str) {
    let error = read(&GOOD.replace(from, to));
    assert!(matches!(error, Err(Error::BadSetting { .. })), "{error:?}");
    let text = error.expect_err("it is refused").to_string();
    assert!(text.contains("which is not"), "{text}");
}

#[test]
fn file_that_is_not_there() {
    let error = Settings::read(std::path::Path::new("nowhere/entry.ini"));
    assert!(matches!(error, Err(Error::SettingsFile { .. })));
}
