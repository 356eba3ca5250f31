//! Child processes: ready lines, signals and ends.

use std::fs;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use apricotdale_launcher::Error;
use apricotdale_launcher::process::Exit;
use apricotdale_launcher::processes::Processes;
use apricotdale_launcher::programs::Program;

/// A limit for failures only.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    processes: Processes,
    _directory: TempDir,
}

fn with_service() -> Fixture {
    let directory = TempDir::new().expect("a directory can be made");
    let processes = Processes::new(directory.path());
    processes
        .start("service1", Program::Service, Vec::new())
        .expect("the stand-in is built; run `make build`");
    processes
        .wait_ready("service1", READY_TIMEOUT)
        .expect("the stand-in gets ready");
    Fixture {
        processes,
        _directory: directory,
    }
}

fn exists(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn state(id: u32) -> String {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    stat.rsplit(") ").next().unwrap_or_default()[..1].to_owned()
}

/// Symptom: stand-ins keep running after a failed test, and hold ports and memory. Sequence: a
/// test ends by a panic. Cause: nobody waits for the children's end.
#[test]
fn closing_ends_children() {
    let fixture = with_service();
    let id = fixture.processes.id("service1").expect("it was started");
    assert!(exists(id));
    fixture.processes.close();
    assert!(!exists(id));
}

/// Symptom: one child outlives the launcher. Sequence: a signal's thread ends all children while
/// another thread starts one more. Cause: the newcomer is not in the table yet.
#[test]
fn start_after_closing() {
    let fixture = with_service();
    fixture.processes.close();
    let started = fixture
        .processes
        .start("service2", Program::Service, Vec::new());
    assert!(matches!(started, Err(Error::Failed { .. })));
}

#[test]
fn frozen_process_killed() {
    let fixture = with_service();
    let id = fixture.processes.id("service1").expect("it was started");
    fixture.processes.freeze("service1").expect("it runs");
    assert_eq!(state(id), "T");
    fixture.processes.kill("service1").expect("it runs");
    let exit = fixture.processes.poll_exit("service1");
    assert_eq!(exit.expect("it was started"), Some(Exit::Killed(9)));
}

/// Symptom: a stranger's process gets a signal. Sequence: a child ends, and the system gives its
/// number to another process. Cause: the number of an ended child is used.
#[test]
fn ended_process_signalled() {
    let fixture = with_service();
    fixture.processes.kill("service1").expect("it runs");
    let sent = fixture.processes.signal("service1", Signal::SIGTERM);
    assert!(matches!(sent, Err(Error::NotRunning(_))));
}

#[test]
fn early_exit_log() {
    let directory = TempDir::new().expect("a directory can be made");
    let processes = Processes::new(directory.path());
    let flags = vec!["--no-such-flag".into()];
    processes
        .start("log", Program::Log, flags)
        .expect("the stand-in is built; run `make build`");
    let ready = processes.wait_ready("log", READY_TIMEOUT);
    let Err(Error::NotReady { log, .. }) = ready else {
        panic!("it can't get ready with a flag that it does not know");
    };
    assert!(log.contains("no-such-flag"), "{log}");
}
