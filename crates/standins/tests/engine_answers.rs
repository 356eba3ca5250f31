//! Complete answers of an engine.

mod support;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use apricotdale_standins::engine::Options;

use support::Standin;

fn engine() -> Standin {
    let options = Options {
        tokens_per_s: 0,
        ..Options::default()
    };
    support::engine_with(options, &["m"])
}

fn event(data: &str) -> Value {
    serde_json::from_str(data).unwrap()
}

#[rstest]
#[case::text("/v1/completions", "/choices/0/text", "cmpl-r")]
#[case::chat("/v1/chat/completions", "/choices/0/message/content", "chatcmpl-r")]
fn answer_names_request(#[case] path: &str, #[case] text: &str, #[case] id: &str) {
    let engine = engine();
    let body = json!({
        "model": "m", "prompt": "a b c", "max_tokens": 2,
        "messages": [{"role": "user", "content": "a b c"}],
    });
    let answer = engine
        .try_post_with(path, &body, &[("X-Request-Id", "r")])
        .unwrap();
    assert_eq!((answer.status, &answer.body["id"]), (200, &json!(id)));
    assert_eq!(answer.body.pointer(text), Some(&json!("tok-r-0 tok-r-1 ")));
    let usage = json!({"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5});
    assert_eq!(answer.body["usage"], usage);
    assert_eq!(
        engine.effects()["requests"]["r"],
        json!({"model": "m", "state": "whole", "runs": 1})
    );
}

#[test]
fn stream_events() {
    let engine = engine();
    let events: Vec<String> = engine.stream("r", "m", 3).collect();
    assert_eq!(events.len(), 4);
    for (number, data) in events[..3].iter().enumerate() {
        let event = event(data);
        assert_eq!(event["id"], "cmpl-r");
        assert_eq!(event["choices"][0]["text"], format!("tok-r-{number} "));
    }
    assert_eq!(event(&events[2])["choices"][0]["finish_reason"], "length");
    assert_eq!(events[3], "[DONE]");
    assert_eq!(engine.request_state("r"), "whole");
}

#[test]
fn tokens_sent_immediately() {
    let options = Options {
        tokens_per_s: 1,
        ..Options::default()
    };
    let engine = support::engine_with(options, &["m"]);
    let first = engine.stream("r", "m", 1_000_000).next();
    assert_eq!(event(&first.unwrap())["choices"][0]["text"], "tok-r-0 ");
}

#[rstest]
#[case::not_loaded(json!({"model": "x", "prompt": "a"}), 404, "model_not_loaded")]
#[case::no_model(json!({"prompt": "a"}), 400, "bad_request")]
fn refused_request(#[case] body: Value, #[case] status: u16, #[case] code: &str) {
    let engine = engine();
    let refused = engine.try_post_with("/v1/completions", &body, &[("X-Request-Id", "r")]);
    let refused = refused.unwrap();
    assert_eq!(
        (refused.status, &refused.body["error"]["code"]),
        (status, &json!(code))
    );
    assert_eq!(engine.effects()["requests"], json!({}));
}
