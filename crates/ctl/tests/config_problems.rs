//! Rejection of invalid configuration files.

use apricotdale_ctl::ConfigFile;
use rstest::rstest;

fn problems(text: &str) -> Vec<String> {
    let problems = ConfigFile::from_text(text).expect_err("the file is invalid");
    problems.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::weight(
    "[class quick]\nanswer_within_ms = 5\nweight = 3",
    "unknown key; allowed are answer"
)]
#[case::unit("[class quick]\nanswer_within_ms = 5s", "a whole number above 0")]
#[case::zero("[class quick]\nanswer_within_ms = 0", "a whole number above 0")]
#[case::sign("[class quick]\nanswer_within_ms = +5", "a whole number above 0")]
#[case::no_target("[class quick]", "answer_within_ms: missing")]
#[case::no_name("[class]\nanswer_within_ms = 5", "allowed are [class NAME]")]
#[case::other_kind("[vm entry-1]", "allowed are [class NAME]")]
#[case::before_heads("bytes = 5", "allowed are [class NAME]")]
#[case::no_group("[model m]\nbytes = 5", "group: missing")]
#[case::address("[model m]\ngroup = g\nbytes = 5\nengine = 10.0.0.1:80", "unknown key")]
#[case::empty_base("[model m]\ngroup = g\nbytes = 5\nbase =", "must not be empty")]
#[case::path("[service s]\nidempotent_paths = /a, b", "paths that begin with /")]
#[case::key_twice(
    "[model m]\ngroup = g\ngroup = h\nbytes = 5",
    "duplicate key; it is set first at line 2"
)]
#[case::section_twice("[service s]\n[service s]", "duplicate section")]
#[case::no_ini("[service s]\nnonsense", "neither a comment")]
fn invalid_entry(#[case] text: &str, #[case] expected: &str) {
    let reported = problems(text);
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(reported[0].contains(expected), "{reported:?}");
}

#[test]
fn problems_in_line_order() {
    let text = "[class quick]\nanswer_within_ms = x\n[model m]\nsize = 5\n[service s]\nzzz\n";
    let reported = problems(text);
    let lines: Vec<&str> = reported
        .iter()
        .map(|line| line.split(':').next().unwrap())
        .collect();
    assert_eq!(lines, ["line 2", "line 3", "line 3", "line 4", "line 6"]);
}
