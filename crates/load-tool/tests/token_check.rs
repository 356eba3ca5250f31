//! Detection of answers that are incomplete or belong to another request.

use rstest::rstest;
use serde_json::json;

use apricotdale_load_tool::load::answer_check::TokenCheck;
use apricotdale_load_tool::load::answer_check::check_call;

const IDENTITY: &str = "req-7";

fn event(text: &str) -> String {
    json!({"id": "cmpl-req-7", "system_fingerprint": "e1", "choices": [{"text": text}]}).to_string()
}

/// Returns whether the texts are accepted as the answer to a request for three tokens.
fn accepted(texts: &[&str]) -> bool {
    let mut check = TokenCheck::new(IDENTITY);
    let taken = texts.iter().all(|text| check.verify(&event(text)).is_ok());
    taken && check.verify_end(3).is_ok()
}

#[rstest]
#[case::one_by_one(&["tok-req-7-0 ", "tok-req-7-1 ", "tok-req-7-2 "], true)]
#[case::all_at_once(&["tok-req-7-0 tok-req-7-1 tok-req-7-2 "], true)]
#[case::last_one_missing(&["tok-req-7-0 ", "tok-req-7-1 "], false)]
#[case::one_left_out(&["tok-req-7-0 ", "tok-req-7-2 "], false)]
#[case::one_twice(&["tok-req-7-0 ", "tok-req-7-0 ", "tok-req-7-1 "], false)]
#[case::one_too_many(&["tok-req-7-0 tok-req-7-1 tok-req-7-2 tok-req-7-3 "], false)]
#[case::of_another_request(&["tok-req-7-0 ", "tok-req-8-1 ", "tok-req-7-2 "], false)]
#[case::cut_within_a_token(&["tok-req-7-0 ", "tok-req-7-1 ", "tok-req-"], false)]
#[case::nothing(&[], false)]
fn tokens_complete_ordered(#[case] texts: &[&str], #[case] expected: bool) {
    assert_eq!(accepted(texts), expected);
}

#[test]
fn answer_names_engine() {
    let mut check = TokenCheck::new(IDENTITY);
    assert_eq!(check.engine(), None);
    check.verify(&event("tok-req-7-0 ")).expect("its own token");
    assert_eq!(check.engine(), Some("e1"));
}

#[rstest]
#[case::its_own(r#"{"call":"POST /cut-orders/1","count":1}"#, true)]
#[case::of_another_call(r#"{"call":"POST /cut-orders/2","count":1}"#, false)]
#[case::no_answer_of_a_service("{}", false)]
#[case::cut(r#"{"call":"POST /cut-ord"#, false)]
fn service_call_matches(#[case] body: &str, #[case] expected: bool) {
    assert_eq!(check_call("POST /cut-orders/1", body).is_ok(), expected);
}
