//! All child processes of one launcher.

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
use crate::process::Launch;
use crate::process::Process;
use crate::programs::Program;
use crate::ready::ReadyLine;

/// What the operating system shows as the state of a thread that a signal stopped.
const STOPPED_STATE: char = 'T';

/// `Processes` is the child processes of one launcher, by name. Clones share the same processes, so
/// that a signal's thread can end them while another thread starts more.
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
    /// Returns an empty set whose processes write their output into a directory.
    pub fn new(log_dir: impl Into<PathBuf>) -> Self {
        Self {
            log_dir: log_dir.into(),
            table: Arc::default(),
        }
    }

    /// Starts a process under a name. An earlier process of the name must have ended.
    ///
    /// # Errors
    ///
    /// As for [`Process::start`]; `Error::Failed` if the name is in use or the set is closed.
    pub fn start(&self, name: &str, program: Program, arguments: Vec<OsString>) -> Result<()> {
        // The table stays locked over the start. A process started while another thread closes the
        // set would not be seen by it and would outlive the launcher.
        let mut table = self.table();
        if table.closed {
            return Err(Error::failed(format!("starting {name}"), "all is stopping"));
        }
        if let Some(earlier) = table.processes.get(name)
            && lock(earlier).poll_exit()?.is_none()
        {
            return Err(Error::failed(format!("starting {name}"), "it runs already"));
        }
        let launch = Launch {
            name: name.to_owned(),
            program,
            arguments,
            log_dir: self.log_dir.clone(),
            keeps_log: table.processes.contains_key(name),
        };
        let process = Arc::new(Mutex::new(Process::start(&launch)?));
        table.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Waits for a process's ready line.
    ///
    /// # Errors
    ///
    /// As for [`Process::wait_ready`].
    pub fn wait_ready(&self, name: &str, limit: Duration) -> Result<ReadyLine> {
        let waiter = lock(&*self.find(name)?).ready_waiter();
        waiter.wait(limit)
    }

    /// Sends a process a signal.
    ///
    /// # Errors
    ///
    /// As for [`Process::signal`].
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        lock(&*self.find(name)?).signal(signal)
    }

    /// Stops the time of a process and waits until it stands still.
    ///
    /// # Errors
    ///
    /// As for [`Process::signal`]; `Error::GaveUp` if the process does not stop.
    pub fn freeze(&self, name: &str) -> Result<()> {
        let id = {
            let process = self.find(name)?;
            let mut process = lock(&process);
            process.signal(Signal::SIGSTOP)?;
            process.id()
        };
        // The signal is delivered later than it is sent. What the process does in between would
        // look as if it had been done by a frozen process.
        poll_until(&format!("{name} stands still"), MAX_POLLS, || {
            Ok(stands_still(id)?.then_some(()))
        })
    }

    /// Kills a process, frozen or not, and waits for its end.
    ///
    /// # Errors
    ///
    /// As for [`Process::kill`].
    pub fn kill(&self, name: &str) -> Result<()> {
        lock(&*self.find(name)?).kill()
    }

    /// Returns how a process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn poll_exit(&self, name: &str) -> Result<Option<Exit>> {
        lock(&*self.find(name)?).poll_exit()
    }

    /// Returns the operating system's number of a process.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn id(&self, name: &str) -> Result<u32> {
        Ok(lock(&*self.find(name)?).id())
    }

    /// Returns the end of a process's log.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if no process was started under the name.
    pub fn log_tail(&self, name: &str) -> Result<String> {
        Ok(lock(&*self.find(name)?).log_tail())
    }

    /// Returns the names of the processes, in order.
    pub fn names(&self) -> Vec<String> {
        self.table().processes.keys().cloned().collect()
    }

    /// Kills all processes, waits for their ends, and lets no more be started.
    pub fn close(&self) {
        let mut table = self.table();
        table.closed = true;
        for process in table.processes.values() {
            // Nothing can be done about a process that can't be killed; the others still are.
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

/// Returns whether the operating system shows every thread of a process as stopped.
fn stands_still(id: u32) -> Result<bool> {
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        // The state follows the program's name, which is in brackets and may hold any character.
        let state = stat
            .rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next());
        if state != Some(STOPPED_STATE) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Locks a mutex, also after a thread panicked while it held it: the processes must be ended then,
/// too.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
