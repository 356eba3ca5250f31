//! `apricotctl story`: log lines of several VMs about one request.

use std::io::Write;
use std::process::Command;
use std::process::Output;

use tempfile::NamedTempFile;

fn log(lines: &[&str]) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a temporary file");
    for line in lines {
        writeln!(file, "{line}").expect("the file can be written");
    }
    file
}

fn story(request: &str, files: &[&NamedTempFile]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_apricotctl"))
        .arg("story")
        .arg(request)
        .args(files.iter().map(|file| file.path()))
        .output()
        .expect("the command runs")
}

const LOST: &str = r#"{"time":"2026-10-27T10:52:16.06Z","level":"INFO","vm":"vm-a","availability_zone":"a","request_id":"r1","reason":"lost","message":"send without an answer","module":"m","fields":{"tries":1,"upstream":"i-1"}}"#;
const ENDED: &str = r#"{"time":"2026-10-27T10:52:16.09Z","level":"INFO","vm":"vm-a","availability_zone":"a","request_id":"r1","reason":"answered","message":"request ended","module":"m","fields":{"tries":2}}"#;
const OTHER: &str = r#"{"time":"2026-10-27T10:52:16.07Z","level":"INFO","vm":"vm-b","availability_zone":"a","request_id":"r11","reason":"answered","message":"request ended","module":"m","fields":{"near":"r1"}}"#;

#[test]
fn lines_in_order_of_time() {
    let first = log(&[ENDED, OTHER, "no JSON at all r1"]);
    let second = log(&[&format!("  16.0 vm-a {LOST}")]);
    let output = story("r1", &[&first, &second]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].contains("send without an answer: lost  tries=1 upstream=i-1"),
        "{text}"
    );
    assert!(
        lines[1].contains("request ended: answered  tries=2"),
        "{text}"
    );
}

#[test]
fn unknown_request() {
    let output = story("r9", &[&log(&[LOST])]);
    assert_eq!(output.status.code(), Some(3));
    assert!(output.stdout.is_empty());
}

#[test]
fn missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_apricotctl"))
        .args(["story", "r1", "nowhere.log"])
        .output()
        .expect("the command runs");
    assert_ne!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("nowhere.log can't be read"), "{text}");
}
