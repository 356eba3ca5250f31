//! One child process: start, ready line, signals and exit.

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

/// Number of lines from the end of a process's log that an error shows.
const LOG_TAIL_LINES: usize = 20;

/// Options with which a process is started.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// Name of the process in logs and errors.
    pub name: String,
    /// Program to run.
    pub program: Program,
    /// Command line arguments.
    pub arguments: Vec<OsString>,
    /// Directory of the process's log file, which is named after the process.
    pub log_dir: PathBuf,
    /// Whether the output is appended to the log of an earlier process with the same name. If not,
    /// it replaces that log.
    pub appends_log: bool,
}

/// Child process. Dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    ready: Receiver<ReadyLine>,
    exit_status: Option<ExitStatus>,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The process exited with this code.
    Code(i32),
    /// The signal with this number ended the process.
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
            // A terminal sends SIGINT on Ctrl-C to every process of its process group. In that
            // group the children would end at once instead of in the launcher's order.
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

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns a waiter for the process's ready line that does not borrow the process.
    pub fn ready_waiter(&self) -> ReadyWaiter {
        ReadyWaiter {
            name: self.name.clone(),
            log_path: self.log_path.clone(),
            ready: self.ready.clone(),
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended, `Error::Signal` if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // The ID of a process that has been waited for may belong to an unrelated process by now,
        // which would get the signal instead.
        if self.poll_exit()?.is_some() {
            return Err(Error::NotRunning(self.name.clone()));
        }
        signal::kill(self.pid(), signal)?;
        Ok(())
    }

    /// Kills the process, stopped or not, and waits for its end. Does nothing if it has ended.
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

    /// Returns how the process ended; none while it runs.
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

    /// Returns the last lines of the process's log.
    pub fn log_tail(&self) -> String {
        tail(&self.log_path)
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
    }
}

/// Waiter for the ready line of a process.
#[derive(Clone, Debug)]
pub struct ReadyWaiter {
    name: String,
    log_path: PathBuf,
    ready: Receiver<ReadyLine>,
}

impl ReadyWaiter {
    /// Waits for the ready line, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// `Error::NotReady` if the process ends before its ready line or the timeout expires.
    pub fn wait(&self, timeout: Duration) -> Result<ReadyLine> {
        let detail = match self.ready.recv_timeout(timeout) {
            Ok(line) => return Ok(line),
            Err(RecvTimeoutError::Timeout) => format!("no ready line within {timeout:?}"),
            Err(RecvTimeoutError::Disconnected) => "it exited before its ready line".to_owned(),
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
        // A child that outlives the launcher would keep its port and its memory from the next run,
        // so its end is awaited. A failure can't be handled here.
        let _ = self.kill();
    }
}

/// Sends the ready line to the channel and writes all lines to the log, until the process closes
/// its output.
fn follow_output(stdout: ChildStdout, mut log: File, ready: &Sender<ReadyLine>) {
    for line in BufReader::new(stdout).lines() {
        let Ok(line) = line else {
            return;
        };
        if let Some(ready_line) = ReadyLine::parse(&line) {
            // Only the first ready line counts; if the channel is full, that line has been sent.
            let _ = ready.try_send(ready_line);
        }
        // The log only helps to diagnose failures, so a failed write is ignored. The pipe must
        // still be read, or the process would block on a full pipe.
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
