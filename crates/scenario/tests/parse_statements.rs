//! Parsing of valid statements.

use rstest::rstest;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_scenario::ast::Comparison;
use apricotdale_scenario::ast::Condition;
use apricotdale_scenario::ast::Ending;
use apricotdale_scenario::ast::Measure;
use apricotdale_scenario::ast::ModelMeasure;
use apricotdale_scenario::ast::ProcessVerb;
use apricotdale_scenario::ast::RefusalPattern;
use apricotdale_scenario::ast::SendRequests;
use apricotdale_scenario::ast::Statement;
use apricotdale_scenario::ast::VmSelector;
use apricotdale_scenario::ast::Work;
use apricotdale_scenario::fault::fault_body;
use apricotdale_scenario::parser::parse;

fn statement(text: &str) -> Statement {
    let file = format!("scenario \"t\"\n# A comment.\n\n{text} # another\n");
    let mut scenario = parse(&file).expect("the statement is valid");
    assert_eq!(scenario.steps.len(), 1);
    scenario.steps.remove(0).statement
}

fn refused(reason: &str, ran: &str) -> Ending {
    Ending::Refused(RefusalPattern {
        reason: Some(reason.to_owned()),
        ran: Some(ran.to_owned()),
    })
}

#[test]
fn request_options() {
    let text = "request c1 at not vm2 call booking-app POST /book class quick timeout-ms 900 \
                key k1 body \"{\\u007d\"";
    let expected = SendRequests {
        name: "c1".to_owned(),
        count: 1,
        selector: VmSelector::Not("vm2".to_owned()),
        work: Work::Call {
            service: "booking-app".to_owned(),
            method: "POST".to_owned(),
            path: "/book".to_owned(),
        },
        class: Some("quick".to_owned()),
        timeout_ms: Some(900),
        key: Some("k1".to_owned()),
        body: Some("{\\u007d".to_owned()),
    };
    assert_eq!(statement(text), Statement::SendRequests(expected));
}

#[rstest]
#[case("await r1 whole", Ending::Whole(None))]
#[case("await r1 whole status 404", Ending::Whole(Some(404)))]
#[case("await r1 refused", Ending::Refused(RefusalPattern::default()))]
#[case(
    "await r1 refused reason log_unavailable ran not_run",
    refused("log_unavailable", "not_run")
)]
#[case("await r1 lost", Ending::Lost)]
fn ending_patterns(#[case] text: &str, #[case] ending: Ending) {
    assert_eq!(
        statement(text),
        Statement::AwaitEnd("r1".to_owned(), ending)
    );
}

#[rstest]
#[case("expect loads m1 1", Comparison::Exactly(1))]
#[case("expect loads m1 at most 1", Comparison::AtMost(1))]
#[case("expect loads m1 at least 1", Comparison::AtLeast(1))]
#[case("expect loads m1 everywhere", Comparison::Everywhere)]
fn condition_comparisons(#[case] text: &str, #[case] comparison: Comparison) {
    let measure = Measure::Model(ModelMeasure::Loads, "m1".to_owned(), None);
    let condition = Condition {
        measure,
        comparison,
    };
    assert_eq!(statement(text), Statement::Expect(condition));
}

#[test]
fn race_statement() {
    let text = "race class quick answer-within-ms 1 at vm1 against remove class quick at vm2";
    let Statement::Race(left, right) = statement(text) else {
        panic!("it is a race");
    };
    let class = ClassTarget {
        class: "quick".into(),
        answer_within_ms: 1,
    };
    assert_eq!(left.edit, ConfigEdit::PutClass(class));
    assert_eq!(left.selector, VmSelector::Vm("vm1".to_owned()));
    assert_eq!(right.edit, ConfigEdit::RemoveClass("quick".into()));
    assert_eq!(right.selector, VmSelector::Vm("vm2".to_owned()));
}

#[test]
fn process_verb_boundary() {
    let verb = Statement::Process(ProcessVerb::Kill, "vm1".to_owned());
    assert_eq!(statement("kill vm1"), verb);
    assert!(parse("scenario \"t\"\nkillvm1\n").is_err());
}

#[rstest]
#[case("fault log lost-answer count 1", r#"{"count":1,"mode":"lost_answer"}"#)]
#[case("fault engine1 hold-orders true", r#"{"hold_orders":true}"#)]
#[case("fault engine1 cut-stream-after 3", r#"{"cut_stream_after":3}"#)]
#[case("fault engine1 answer-lost load", r#"{"answer_lost":"load"}"#)]
fn fault_json(#[case] text: &str, #[case] json: &str) {
    let Statement::Fault(target, words) = statement(text) else {
        panic!("it is a fault");
    };
    let kind = match target.as_str() {
        "log" => apricotdale_scenario::ast::StandinKind::Log,
        _ => apricotdale_scenario::ast::StandinKind::Engine,
    };
    let body = fault_body(kind, &words).expect("the stand-in knows the fault");
    assert_eq!(body.to_string(), json);
}
