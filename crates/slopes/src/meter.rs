//! Processor time and memory used by this process.

use cpu_time::ProcessTime;
use cpu_time::ThreadTime;
use procfs::process::Process;

use crate::errors::Result;

/// Number of times that each point is measured; the minimum counts.
const ROUNDS: usize = 5;

/// Returns the minimum processor time of this thread over several runs of `work`, in microseconds.
pub fn thread_us(mut work: impl FnMut()) -> f64 {
    min_over_rounds(|| {
        let begun = ThreadTime::now();
        work();
        begun.elapsed().as_secs_f64()
    })
}

/// Returns the processor time of this thread for one run of `work`, in microseconds; for work that
/// changes its own input and can't be repeated.
pub fn thread_once_us(work: impl FnOnce()) -> f64 {
    let begun = ThreadTime::now();
    work();
    begun.elapsed().as_secs_f64() * 1e6
}

/// Returns the minimum processor time of all threads of the process over several runs of `work`, in
/// microseconds.
///
/// # Errors
///
/// The last error of `work`.
pub fn process_us(mut work: impl FnMut() -> Result<()>) -> Result<f64> {
    let mut outcome = Ok(());
    let us = min_over_rounds(|| {
        let begun = ProcessTime::now();
        let worked = work();
        if worked.is_err() {
            outcome = worked;
        }
        begun.elapsed().as_secs_f64()
    });
    outcome.map(|()| us)
}

/// Returns the resident memory of the process, in bytes.
///
/// # Errors
///
/// [`Error::Memory`](crate::Error::Memory) if it can't be read from `/proc`.
pub fn resident_bytes() -> Result<f64> {
    let pages = Process::myself()?.statm()?.resident;
    Ok((pages * procfs::page_size()) as f64)
}

fn min_over_rounds(mut seconds: impl FnMut() -> f64) -> f64 {
    let rounds = (0..ROUNDS).map(|_| seconds() * 1e6);
    rounds.fold(f64::INFINITY, f64::min)
}
