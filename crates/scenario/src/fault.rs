//! Conversion of the words of a `fault` statement into the JSON body that the stand-in expects.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::ast::StandinKind;

/// Returns the modes that a kind of stand-in has; none for engines, whose faults have keys instead.
fn modes(kind: StandinKind) -> &'static [&'static str] {
    match kind {
        StandinKind::Log => &["up", "down", "slow", "lost-answer"],
        StandinKind::Weights => &["up", "down", "slow"],
        StandinKind::VmList => &["up", "down"],
        StandinKind::Service => &["up", "refuse", "lost-answer", "hang", "slow"],
        StandinKind::Engine => &[],
    }
}

/// Returns the JSON body that sets a fault.
///
/// # Errors
///
/// A sentence about what is wrong, if the stand-in has no such fault.
pub fn fault_body(kind: StandinKind, words: &[String]) -> Result<Value, String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match (kind, words.as_slice()) {
        (StandinKind::Engine, [key, value]) => engine_fault(key, value),
        (StandinKind::Engine, _) => Err("an engine's fault is one key and one value".to_owned()),
        (kind, [mode, options @ ..]) if modes(kind).contains(mode) => mode_fault(mode, options),
        (kind, _) => Err(format!(
            "the fault must be one of {}",
            modes(kind).join(", ")
        )),
    }
}

fn engine_fault(key: &str, value: &str) -> Result<Value, String> {
    match (key, value) {
        ("load", "die" | "hang" | "finish") | ("answer-lost", "load" | "unload") => {
            Ok(json!({ json_key(key): value }))
        }
        ("hold-orders", "true" | "false") | ("crossed" | "restart", "true") => {
            Ok(json!({ json_key(key): value == "true" }))
        }
        ("cut-stream-after" | "slow-factor", number) => {
            let number: u64 = number.parse().map_err(|_| not_a_number(key, number))?;
            Ok(json!({ json_key(key): number }))
        }
        _ => Err(format!("engines know no fault {key} {value}")),
    }
}

fn mode_fault(mode: &str, options: &[&str]) -> Result<Value, String> {
    let mut body = Map::new();
    body.insert("mode".to_owned(), json!(json_key(mode)));
    for option in options.chunks(2) {
        match option {
            [key @ ("count" | "delay-ms" | "factor"), number] => {
                let number: u64 = number.parse().map_err(|_| not_a_number(key, number))?;
                body.insert(json_key(key), json!(number));
            }
            other => return Err(format!("{} is no option of a fault", other.join(" "))),
        }
    }
    Ok(Value::Object(body))
}

fn not_a_number(key: &str, value: &str) -> String {
    format!("{key} needs a number, not {value}")
}

fn json_key(word: &str) -> String {
    word.replace('-', "_")
}
