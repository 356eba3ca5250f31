//! Output of `launcher up`, and the end of its children on a signal.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use rstest::rstest;

const VMS: usize = 2;

struct Up {
    child: Child,
    ready_lines: Vec<String>,
}

impl Drop for Up {
    fn drop(&mut self) {
        // Ends the program if the test failed before it did so itself.
        let _ = kill(self.pid(), Signal::SIGTERM);
        let _ = self.child.wait();
    }
}

impl Up {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_launcher"))
            .args(["up", "--vms", &VMS.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the launcher starts");
        let stdout = child.stdout.take().expect("the output is piped");
        let lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let ready_lines: Vec<String> = lines.take(VMS).collect();
        Self { child, ready_lines }
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
    }

    /// Returns the process IDs of the launcher's children.
    fn children(&self) -> Vec<u32> {
        let id = self.child.id();
        let tasks = fs::read_dir(format!("/proc/{id}/task")).expect("the launcher runs");
        let lists = tasks.filter_map(|task| {
            let path = task.ok()?.path().join("children");
            fs::read_to_string(path).ok()
        });
        lists
            .flat_map(|list| {
                let numbers: Vec<u32> = list.split(' ').filter_map(|id| id.parse().ok()).collect();
                numbers
            })
            .collect()
    }
}

/// Guards against children that keep ports and memory after a signal has ended the launcher,
/// because it exits without ending them.
#[rstest]
#[case::terminated(Signal::SIGTERM)]
#[case::interrupted(Signal::SIGINT)]
fn signal_ends_children(#[case] signal: Signal) {
    let mut up = Up::start();
    assert_eq!(up.ready_lines.len(), VMS, "run `make build` first");
    for line in &up.ready_lines {
        assert!(line.starts_with("ready http://127.0.0.1:"), "{line}");
    }
    let children = up.children();
    assert!(children.len() > VMS, "{children:?}");
    kill(up.pid(), signal).expect("the launcher runs");
    let status = up.child.wait().expect("the launcher is our child");
    assert_eq!(status.code(), Some(0));
    for child in children {
        let is_left = fs::metadata(format!("/proc/{child}")).is_ok();
        assert!(!is_left, "{child} is left behind");
    }
}
