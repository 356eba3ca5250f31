//! Child processes: ready lines, signals and exits.

use std::fs;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use tempfile::TempDir;

use apricotdale_launcher::Error;
use apricotdale_launcher::process::Exit;
use apricotdale_launcher::processes::Processes;
use apricotdale_launcher::programs::Program;

/// Timeout of the wait for a ready line, so that a failing test ends.
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
        .expect("the stand-in becomes ready");
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

/// Guards against stand-ins that keep running, with their ports and memory, after a test has ended
/// by a panic, because nothing waits until the children have ended.
#[test]
fn closing_ends_children() {
    let fixture = with_service();
    let id = fixture.processes.id("service1").expect("it was started");
    assert!(exists(id));
    fixture.processes.close();
    assert!(!exists(id));
}

/// Guards against a child that outlives the launcher: one thread starts it while the thread of a
/// signal handler ends all children, and it is not in the table yet.
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

/// Guards against a signal to an unrelated process: a child ends, and the operating system gives
/// its process ID to another process.
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
        panic!("it can't become ready with an unknown flag");
    };
    assert!(log.contains("no-such-flag"), "{log}");
}
