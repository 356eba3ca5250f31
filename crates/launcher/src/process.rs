//! One child process: its start, its ready line, its signals and its end.

use std::ffi::OsString;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::os::unix::process::CommandExt;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use crossbeam_channel::bounded;
use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::errors::Error;
use crate::errors::Result;
use crate::programs::Program;
use crate::ready::ReadyLine;

/// How much of a process's log an error shows.
const LOG_TAIL_LINES: usize = 20;

/// `LaunchOptions` is what a process is started with.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// The name under which the process is spoken of.
    pub name: String,
    /// The program.
    pub program: Program,
    /// Its arguments.
    pub arguments: Vec<OsString>,
    /// The directory into which its output is written.
    pub log_dir: PathBuf,
    /// Whether its output follows that of an earlier process of the name, or else replaces it.
    pub appends_log: bool,
}

/// `Process` is a running child process. Dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    ready: Receiver<ReadyLine>,
    exit_status: Option<ExitStatus>,
}

/// `Exit` is how a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It ended by itself with this code.
    Code(i32),
    /// A signal ended it.
    Killed(i32),
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the program has not been built, `Error::Io` if it can't be
    /// started.
    pub fn start(launch: &LaunchOptions) -> Result<Self> {
        let path = launch.program.path()?;
        let log_path = launch.log_dir.join(format!("{}.log", launch.name));
        if !launch.appends_log {
            File::create(&log_path)?;
        }
        let log = File::options().create(true).append(true).open(&log_path)?;
        let mut child = Command::new(path)
            .args(&launch.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            // A terminal sends Ctrl-C to its whole process group. In that group the children would
            // end at once, beside the launcher's own order of ending them.
            .process_group(0)
            .spawn()?;
        let stdout = child.stdout.take().expect("the standard output is piped");
        let (sender, ready) = bounded(1);
        thread::spawn(move || follow_output(stdout, log, &sender));
        Ok(Self {
            name: launch.name.clone(),
            child,
            log_path,
            ready,
            exit_status: None,
        })
    }

    /// Returns the process's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operating system's number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what waits for the process's ready line without holding the process.
    pub fn ready_waiter(&self) -> ReadyWaiter {
        ReadyWaiter {
            name: self.name.clone(),
            log_path: self.log_path.clone(),
            ready: self.ready.clone(),
        }
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended, `Error::Signal` if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // A number whose process has been waited for may belong to a stranger by now, which would
        // be signalled in its place.
        if self.poll_exit()?.is_some() {
            return Err(Error::NotRunning(self.name.clone()));
        }
        signal::kill(self.pid(), signal)?;
        Ok(())
    }

    /// Kills the process, frozen or not, and waits for its end.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the process can't be waited for.
    pub fn kill(&mut self) -> Result<()> {
        if self.exit_status.is_some() {
            return Ok(());
        }
        self.child.kill()?;
        self.exit_status = Some(self.child.wait()?);
        Ok(())
    }

    /// Returns how the process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the process can't be waited for.
    pub fn poll_exit(&mut self) -> Result<Option<Exit>> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait()?;
        }
        Ok(self.exit_status.map(exit_of))
    }

    /// Returns the end of the process's log.
    pub fn log_tail(&self) -> String {
        tail(&self.log_path)
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
    }
}

/// `ReadyWaiter` waits for a process's ready line.
#[derive(Clone, Debug)]
pub struct ReadyWaiter {
    name: String,
    log_path: PathBuf,
    ready: Receiver<ReadyLine>,
}

impl ReadyWaiter {
    /// Waits for the ready line, at most for `limit`.
    ///
    /// # Errors
    ///
    /// `Error::NotReady` if the process ended before or the limit passed.
    pub fn wait(&self, limit: Duration) -> Result<ReadyLine> {
        let detail = match self.ready.recv_timeout(limit) {
            Ok(line) => return Ok(line),
            Err(RecvTimeoutError::Timeout) => format!("no ready line within {limit:?}"),
            Err(RecvTimeoutError::Disconnected) => "it ended before its ready line".to_owned(),
        };
        Err(Error::NotReady {
            name: self.name.clone(),
            detail,
            log: tail(&self.log_path),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A child that outlives the launcher keeps its port and its memory, and the next run finds
        // a busy machine; so the end is waited for. Nothing can be done about a failure here.
        let _ = self.kill();
    }
}

/// Passes on the ready line and writes all lines to the log, until the process closes its output.
fn follow_output(stdout: ChildStdout, mut log: File, ready: &Sender<ReadyLine>) {
    for line in BufReader::new(stdout).lines() {
        let Ok(line) = line else {
            return;
        };
        if let Some(ready_line) = ReadyLine::parse(&line) {
            // Only the first ready line counts; a full channel means that it has been passed on.
            let _ = ready.try_send(ready_line);
        }
        // The log only helps a person to find a fault. The pipe must be emptied all the same, or
        // the process would block on a full pipe.
        let _ = writeln!(log, "{line}");
    }
}

fn exit_of(status: ExitStatus) -> Exit {
    match (status.code(), status.signal()) {
        (Some(code), _) => Exit::Code(code),
        (None, Some(signal)) => Exit::Killed(signal),
        (None, None) => unreachable!("a process ends by a code or by a signal"),
    }
}

fn tail(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let start = lines.len().saturating_sub(LOG_TAIL_LINES);
    lines[start..].join("\n")
}
