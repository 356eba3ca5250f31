//! Set of all child processes of one launcher.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::errors::Error;
use crate::errors::Result;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::process::Exit;
use crate::process::LaunchOptions;
use crate::process::Process;
use crate::programs::Program;
use crate::ready::ReadyLine;

/// State in `/proc` of a thread that a signal has stopped.
const STOPPED_STATE: char = 'T';

/// Child processes of one launcher, by name. Clones share the same processes, so that the thread of
/// a signal handler can end them while another thread starts more.
#[derive(Clone, Debug)]
pub struct Processes {
    log_dir: PathBuf,
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    closed: bool,
    processes: BTreeMap<String, Arc<Mutex<Process>>>,
}

impl Processes {
    /// Returns an empty set whose processes write their logs into a directory.
    pub fn new(log_dir: impl Into<PathBuf>) -> Self {
        Self {
            log_dir: log_dir.into(),
            table: Arc::default(),
        }
    }

    /// Starts a process under a name. An earlier process with the name must have ended.
    ///
    /// # Errors
    ///
    /// As for [`Process::start`]; `Error::Failed` if the name is in use or the set is closed.
    pub fn start(&self, name: &str, program: Program, arguments: Vec<OsString>) -> Result<()> {
        // The table stays locked during the start. Otherwise a process started while another thread
        // closes the set would be missed by it and would outlive the launcher.
        let mut table = self.table();
        if table.closed {
            return Err(Error::failed(
                format!("starting {name}"),
                "all processes are being stopped",
            ));
        }
        if let Some(earlier) = table.processes.get(name)
            && lock(earlier).poll_exit()?.is_none()
        {
            return Err(Error::failed(
                format!("starting {name}"),
                "it is already running",
            ));
        }
        let launch = LaunchOptions {
            name: name.to_owned(),
            program,
            arguments,
            log_dir: self.log_dir.clone(),
            appends_log: table.processes.contains_key(name),
        };
        let process = Arc::new(Mutex::new(Process::start(&launch)?));
        table.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Waits for a process's ready line.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name, and those of
    /// [`ReadyWaiter::wait`](crate::process::ReadyWaiter::wait).
    pub fn wait_ready(&self, name: &str, timeout: Duration) -> Result<ReadyLine> {
        let waiter = lock(&*self.find(name)?).ready_waiter();
        waiter.wait(timeout)
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// As for [`Process::signal`].
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        lock(&*self.find(name)?).signal(signal)
    }

    /// Stops a process with SIGSTOP and waits until all its threads have stopped.
    ///
    /// # Errors
    ///
    /// As for [`Process::signal`]; `Error::PollLimitReached` if the threads do not stop.
    pub fn freeze(&self, name: &str) -> Result<()> {
        let id = {
            let process = self.find(name)?;
            let mut process = lock(&process);
            process.signal(Signal::SIGSTOP)?;
            process.id()
        };
        // The signal is delivered some time after it was sent. What the process does in between
        // must not be taken for an action of a stopped process.
        poll_until(&format!("{name} has stopped"), MAX_POLLS, || {
            Ok(is_stopped(id)?.then_some(()))
        })
    }

    /// Kills a process, stopped or not, and waits for its end.
    ///
    /// # Errors
    ///
    /// As for [`Process::kill`].
    pub fn kill(&self, name: &str) -> Result<()> {
        lock(&*self.find(name)?).kill()
    }

    /// Returns how a process ended; none while it runs.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn poll_exit(&self, name: &str) -> Result<Option<Exit>> {
        lock(&*self.find(name)?).poll_exit()
    }

    /// Returns the process ID of a process.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn id(&self, name: &str) -> Result<u32> {
        Ok(lock(&*self.find(name)?).id())
    }

    /// Returns the last lines of a process's log.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn log_tail(&self, name: &str) -> Result<String> {
        Ok(lock(&*self.find(name)?).log_tail())
    }

    /// Returns the names of all processes that were started, in alphabetical order.
    pub fn names(&self) -> Vec<String> {
        self.table().processes.keys().cloned().collect()
    }

    /// Kills all processes, waits for their ends, and refuses to start more.
    pub fn close(&self) {
        let mut table = self.table();
        table.closed = true;
        for process in table.processes.values() {
            // A process that can't be killed must not keep the others from being killed.
            let _ = lock(process).kill();
        }
    }

    fn find(&self, name: &str) -> Result<Arc<Mutex<Process>>> {
        let table = self.table();
        let process = table.processes.get(name).cloned();
        process.ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }
}

/// Returns whether every thread of a process is stopped, according to `/proc`.
fn is_stopped(id: u32) -> Result<bool> {
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        // The state follows the program's name, which is in parentheses and may contain any
        // character.
        let state = stat
            .rsplit(") ")
            .next()
            .and_then(|remainder| remainder.chars().next());
        if state != Some(STOPPED_STATE) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Locks a mutex, even if a thread panicked while it held the lock: the processes must be ended in
/// that case, too.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
