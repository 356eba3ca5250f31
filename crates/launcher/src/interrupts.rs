//! Handling of SIGINT and SIGTERM.

use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::errors::Result;
use crate::processes::Processes;

/// Number that a shell adds to a signal's number in the exit code of a program that the signal
/// ended.
const SIGNAL_CODE_BASE: i32 = 128;

/// Signal handler that ends all watched processes and then this program on SIGINT or SIGTERM.
#[derive(Clone, Debug)]
pub struct Interrupts {
    watched: Arc<Mutex<Vec<Processes>>>,
}

impl Interrupts {
    /// Starts to handle the signals in a thread of its own. On a signal the program exits with
    /// `code` or, if none, with the code that a shell shows for the signal.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the signal handler can't be installed.
    pub fn install(code: Option<i32>) -> Result<Self> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let interrupts = Self {
            watched: Arc::default(),
        };
        let handler = interrupts.clone();
        thread::spawn(move || {
            let signal = signals.forever().next().unwrap_or(SIGTERM);
            for processes in handler.watched().iter() {
                processes.close();
            }
            process::exit(code.unwrap_or(SIGNAL_CODE_BASE + signal));
        });
        Ok(interrupts)
    }

    /// Adds processes to those that are ended on a signal.
    pub fn watch(&self, processes: &Processes) {
        self.watched().push(processes.clone());
    }

    fn watched(&self) -> MutexGuard<'_, Vec<Processes>> {
        self.watched
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
