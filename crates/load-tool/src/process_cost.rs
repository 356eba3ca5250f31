//! What the system says that processes and the loopback interface have used.

use procfs::Current;
use procfs::LoadAverage;
use procfs::process::Process;

use crate::errors::Result;

/// The loopback interface.
const LOOPBACK: &str = "lo";

/// `ProcessCost` is what one process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessCost {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: i64,
}

/// Returns what a process has used so far.
///
/// # Errors
///
/// If the process has ended.
pub fn process_cost(id: u32) -> Result<ProcessCost> {
    let stat = Process::new(id as i32)?.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(ProcessCost {
        cpu_s: ticks / procfs::ticks_per_second() as f64,
        resident_bytes: stat.rss * procfs::page_size(),
        threads: stat.num_threads,
    })
}

/// Returns the bytes that have crossed the loopback interface, headers included. All processes of
/// the machine count, so a measurement needs a quiet machine.
///
/// # Errors
///
/// If the system's accounts can't be read.
pub fn loopback_bytes() -> Result<u64> {
    let devices = procfs::net::dev_status()?;
    Ok(devices.get(LOOPBACK).map_or(0, |device| device.recv_bytes))
}

/// Returns the machine's load average over one minute, which belongs beside each figure.
///
/// # Errors
///
/// If the system's accounts can't be read.
pub fn load_average() -> Result<f32> {
    Ok(LoadAverage::current()?.one)
}
