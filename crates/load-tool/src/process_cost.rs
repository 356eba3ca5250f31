//! Resources used by processes and the loopback interface, as read from `/proc`.

use procfs::Current;
use procfs::LoadAverage;
use procfs::process::Process;

use crate::errors::Result;

const LOOPBACK: &str = "lo";

/// Resources used by one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessCost {
    /// Processor time in user and kernel mode since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory now, in bytes.
    pub resident_bytes: u64,
    /// Number of threads now.
    pub threads: i64,
}

/// Returns the resources used by the process with the given ID.
///
/// # Errors
///
/// If the process has ended or its statistics can't be read.
pub fn process_cost(id: u32) -> Result<ProcessCost> {
    let stat = Process::new(id as i32)?.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(ProcessCost {
        cpu_s: ticks / procfs::ticks_per_second() as f64,
        resident_bytes: stat.rss * procfs::page_size(),
        threads: stat.num_threads,
    })
}

/// Returns the bytes received on the loopback interface since boot, headers included, or 0 without
/// such an interface. The traffic of all processes counts, so the machine must be otherwise idle.
///
/// # Errors
///
/// If the statistics of the network interfaces can't be read.
pub fn loopback_bytes() -> Result<u64> {
    let devices = procfs::net::dev_status()?;
    Ok(devices.get(LOOPBACK).map_or(0, |device| device.recv_bytes))
}

/// Returns the machine's load average over one minute, printed beside the figures because a busy
/// machine distorts them.
///
/// # Errors
///
/// If the load average can't be read.
pub fn load_average() -> Result<f32> {
    Ok(LoadAverage::current()?.one)
}
