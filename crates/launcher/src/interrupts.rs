//! Ending on SIGINT and SIGTERM.

use std::process;
use std::thread;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::errors::Result;
use crate::processes::Processes;

/// What a shell adds to a signal's number in the code of a program that the signal ended.
const SIGNAL_CODE_BASE: i32 = 128;

/// Waits for SIGINT or SIGTERM in a thread of its own, and then ends the processes and this
/// program.
///
/// # Errors
///
/// `Error::Io` if the signals can't be handled.
pub fn end_on_signal(processes: Processes) -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        let signal = signals.forever().next().unwrap_or(SIGTERM);
        processes.close();
        process::exit(SIGNAL_CODE_BASE + signal);
    });
    Ok(())
}

/// Blocks until SIGINT or SIGTERM comes.
///
/// # Errors
///
/// `Error::Io` if the signals can't be handled.
pub fn wait_for_signal() -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    Ok(())
}
