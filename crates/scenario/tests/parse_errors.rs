//! Messages of the parser and the check about invalid files.

use rstest::rstest;

use apricotdale_scenario::Error;
use apricotdale_scenario::check::check;
use apricotdale_scenario::parser::parse;

const HEAD: &str = "scenario \"t\"\nvms 2\nengines planner-lm 1\nservice booking-app 1\nstart\n";

fn error_of(statement: &str) -> String {
    let text = format!("{HEAD}{statement}\n");
    let checked = parse(&text).and_then(|scenario| check(&scenario));
    match checked {
        Ok(()) => "no error".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[rstest]
#[case::unknown_statement("pause vm1", 6, 1)]
#[case::missing_word("request r1 at vm1", 6, 18)]
#[case::missing_number("always overcommitted 0 for-polls soon", 6, 34)]
#[case::open_text("expect calls \"POST /book 1", 6, 14)]
#[case::words_left_over("kill vm1 now", 6, 10)]
fn syntax_error_position(#[case] statement: &str, #[case] line: usize, #[case] column: usize) {
    let message = error_of(statement);
    assert!(message.contains(&format!("{line}:{column}")), "{message}");
}

#[rstest]
#[case::unknown_vm("kill vm3", "there is no process vm3")]
#[case::engine_as_vm("terminate engine1", "there is no VM engine1")]
#[case::unknown_engine("expect loads m1 on engine2 1", "there is no engine engine2")]
#[case::unknown_request("await r1 whole", "there is no request r1 before this line")]
#[case::unknown_fault("fault engine1 explode true", "engines know no fault explode true")]
#[case::fault_of_other_kind("fault weights lost-answer", "the fault must be one of up, down, slow")]
#[case::fault_without_number("fault log slow delay-ms soon", "delay-ms needs a number, not soon")]
#[case::setup_after_start("vms 3", "the cluster is started already")]
#[case::alias_of_known_name("let vm1 be proposer of m1", "vm1 is a name of the cluster")]
#[case::result_without_race("expect race accepted 1", "there was no race")]
fn meaning_error_position(#[case] statement: &str, #[case] detail: &str) {
    assert_eq!(error_of(statement), format!("line 6, column 1: {detail}"));
}

#[test]
fn oversized_number_position() {
    let message = error_of("expect overcommitted 99999999999999999999");
    assert_eq!(
        message,
        "line 6, column 22: 99999999999999999999 is too large"
    );
}

#[test]
fn statement_before_start() {
    let scenario = parse("scenario \"t\"\nvms 1\nkill vm1\n").expect("the syntax is valid");
    assert!(matches!(check(&scenario), Err(Error::Meaning { .. })));
}
