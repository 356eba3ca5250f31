//! Exit codes and output of the command, as scripts use them.

#[path = "../../admin/tests/fake_source/mod.rs"]
mod fake_source;

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::Ordering;
use std::thread;

use apricotdale_admin::AdminSource;
use apricotdale_admin::PublishOutcome;
use rstest::rstest;

use fake_source::FakeSource;
use fake_source::KNOWN_REQUEST;
use fake_source::class;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_apricotctl"))
        .args(arguments)
        .env_remove("APRICOTDALE_VM")
        .env_remove("APRICOTDALE_OPERATOR")
        .output()
        .expect("the command runs")
}

/// Runs a command that calls the daemon at `vm`.
fn run_at(vm: SocketAddr, arguments: &[&str]) -> Output {
    let vm = vm.to_string();
    run(&[arguments, &["--vm", &vm]].concat())
}

/// Runs a command that publishes through the daemon at `vm`.
fn publish(vm: SocketAddr, arguments: &[&str]) -> Output {
    run_at(vm, &[arguments, &["--operator", "lise"]].concat())
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the command exits by itself")
}

fn printed(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is text")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["steer"])]
#[case::no_vm(&["status"])]
#[case::host_name(&["status", "--vm", "localhost:80"])]
#[case::format(&["status", "--vm", "127.0.0.1:1", "--format", "xml"])]
#[case::no_operator(&["set-class", "quick", "--vm", "127.0.0.1:1", "--answer-within-ms", "5"])]
#[case::zero_target(&["set-class", "quick", "--vm", "127.0.0.1:1", "--answer-within-ms", "0",
    "--operator", "lise"])]
#[case::weight(&["set-class", "quick", "--vm", "127.0.0.1:1", "--answer-within-ms", "5",
    "--operator", "lise", "--weight", "3"])]
fn invalid_command_line(#[case] arguments: &[&str]) {
    let output = run(arguments);
    assert_eq!(code(&output), 2);
    assert!(!output.stderr.is_empty());
}

#[test]
fn help_lists_exit_codes() {
    let output = run(&["--help"]);
    assert_eq!(code(&output), 0);
    let help = printed(&output);
    for number in 0..=6 {
        assert!(
            help.contains(&format!("{number} ")),
            "{number} is missing in {help}"
        );
    }
}

#[rstest]
#[case::config("config", "quick")]
#[case::status("status", "entry-1")]
#[case::models("models", "planner-lm-3")]
#[case::upstreams("upstreams", "leaving")]
#[case::members("members", "suspected")]
fn view_formats(#[case] command: &str, #[case] word: &str) {
    let server = FakeSource::new().serve();
    let text = run_at(server.address(), &[command]);
    assert_eq!(code(&text), 0);
    assert!(printed(&text).contains(word), "{}", printed(&text));
    let json = run_at(server.address(), &[command, "--format", "json"]);
    assert_eq!(code(&json), 0);
    let value: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON is printed");
    assert!(value.to_string().contains(word), "{value}");
}

#[test]
fn explain_request() {
    let server = FakeSource::new().serve();
    let known = run_at(server.address(), &["explain", KNOWN_REQUEST]);
    assert_eq!(code(&known), 0);
    assert!(printed(&known).contains("overloaded: 9 requests wait"));
    assert_eq!(
        code(&run_at(server.address(), &["explain", "entry-1.43"])),
        3
    );
    assert_eq!(
        code(&run_at(server.address(), &["explain", "../config"])),
        3
    );
}

#[test]
fn unreachable_daemon() {
    let vm = free_address();
    assert_eq!(code(&run_at(vm, &["status"])), 4);
    assert_eq!(
        code(&publish(
            vm,
            &["set-class", "quick", "--answer-within-ms", "5"]
        )),
        4
    );
    assert_eq!(code(&run_at(vm, &["drain"])), 4);
}

#[test]
fn daemon_not_ready() {
    let source = FakeSource::new();
    source.ready.store(false, Ordering::SeqCst);
    let server = source.serve();
    assert_eq!(code(&run_at(server.address(), &["config"])), 4);
    assert_eq!(code(&run_at(server.address(), &["status"])), 0);
}

#[test]
fn accepted_change() {
    let source = FakeSource::new();
    let server = source.serve();
    let output = publish(
        server.address(),
        &["set-class", "quick", "--answer-within-ms", "900"],
    );
    assert_eq!(code(&output), 0, "{output:?}");
    assert_eq!(printed(&output), "accepted: version 8 is in force\n");
    assert!(
        source
            .config()
            .unwrap()
            .classes
            .contains(&class("quick", 900))
    );
}

#[test]
fn change_already_in_force() {
    let source = FakeSource::new();
    let server = source.serve();
    let output = publish(
        server.address(),
        &["set-class", "quick", "--answer-within-ms", "1300"],
    );
    assert_eq!(code(&output), 0);
    assert!(source.published.lock().unwrap().is_empty());
}

/// Guards against two operators who change the same class from the same version and are both told
/// that their change is in force: a change on an old version must be rejected.
#[test]
fn stale_base_version() {
    let source = FakeSource::new();
    let server = source.serve();
    let arguments = [
        "set-class",
        "quick",
        "--answer-within-ms",
        "900",
        "--base-version",
        "6",
    ];
    let output = publish(server.address(), &arguments);
    assert_eq!(code(&output), 3);
    assert!(printed(&output).starts_with("rejected: version_conflict"));
    assert!(
        source
            .config()
            .unwrap()
            .classes
            .contains(&class("quick", 1_300))
    );
}

#[test]
fn unknown_outcome() {
    let source = FakeSource::new();
    *source.next_outcome.lock().unwrap() = Some(PublishOutcome::Unknown {
        change_id: 5,
        detail: "the append's answer was lost".to_owned(),
    });
    let server = source.serve();
    let arguments = ["set-class", "quick", "--answer-within-ms", "900"];
    let first = publish(server.address(), &arguments);
    assert_eq!(code(&first), 5);
    assert!(printed(&first).contains("Run the same command again"));
    assert_eq!(code(&publish(server.address(), &arguments)), 0);
    let published = source.published.lock().unwrap();
    assert_ne!(published[0].change_id, published[1].change_id);
}

/// Guards against a script that treats a change as failed although it is in force: if the daemon
/// dies after the append, the lost answer must have an exit code of its own.
#[test]
fn lost_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = listener.local_addr().unwrap();
    let daemon = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let read = connection.read(&mut [0; 1024]).unwrap();
        assert!(read > 0);
    });
    assert_eq!(code(&run_at(vm, &["drain"])), 5);
    daemon.join().unwrap();
}

#[test]
fn drain_in_progress() {
    let source = FakeSource::new();
    let server = source.serve();
    let output = run_at(server.address(), &["drain"]);
    assert_eq!(code(&output), 0);
    assert!(printed(&output).contains("drains now: 3 requests in progress"));
    assert!(source.draining.load(Ordering::SeqCst));
}

#[test]
fn publish_file_twice() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(
        folder.path(),
        "[class quick]\nanswer_within_ms = 900\n[service cutter]\n",
    );
    let source = FakeSource::new();
    let server = source.serve();

    let dry = publish(server.address(), &["publish", &path, "--dry-run"]);
    assert_eq!(code(&dry), 0);
    assert!(printed(&dry).starts_with("base version 7, 2 edits\nput class quick"));
    assert!(source.published.lock().unwrap().is_empty());

    assert_eq!(code(&publish(server.address(), &["publish", &path])), 0);
    assert_eq!(code(&publish(server.address(), &["publish", &path])), 0);
    assert_eq!(source.published.lock().unwrap().len(), 1);
    assert_eq!(
        source.config().unwrap().models.len(),
        2,
        "entries missing from the file are kept"
    );

    let removing = publish(server.address(), &["publish", &path, "--remove-missing"]);
    assert_eq!(code(&removing), 0);
    assert!(source.config().unwrap().models.is_empty());
}

#[test]
fn invalid_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(
        folder.path(),
        "[class quick]\nanswer_within = 5 s\n[vm a]\nweight = 3\n",
    );
    let source = FakeSource::new();
    let server = source.serve();
    let output = publish(server.address(), &["publish", &path]);
    assert_eq!(code(&output), 6);
    let reported = String::from_utf8(output.stderr).unwrap();
    assert_eq!(reported.lines().count(), 3, "{reported}");
    assert!(source.published.lock().unwrap().is_empty());
    assert_eq!(
        code(&publish(server.address(), &["publish", "no-such-file"])),
        6
    );
    assert_eq!(code(&run(&["check-settings", &path])), 6);
}

#[test]
fn several_files() {
    let folder = tempfile::tempdir().unwrap();
    let one = write_as(
        folder.path(),
        "one.ini",
        "[class quick]\nanswer_within_ms = 900\n",
    );
    let two = write_as(folder.path(), "two.ini", "[service cutter]\n");
    let source = FakeSource::new();
    let server = source.serve();
    assert_eq!(
        code(&publish(server.address(), &["publish", &one, &two])),
        0
    );
    assert_eq!(source.published.lock().unwrap().len(), 1);

    let twice = publish(server.address(), &["publish", &one, &two, &one]);
    assert_eq!(code(&twice), 6);
    let reported = String::from_utf8(twice.stderr).unwrap();
    assert!(
        reported.contains("one.ini: line 1: [class quick]: duplicate section"),
        "{reported}"
    );
}

fn write(folder: &Path, text: &str) -> String {
    write_as(folder, "config.ini", text)
}

fn write_as(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().expect("the path is text").to_owned()
}
