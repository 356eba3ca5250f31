//! Cost of a daemon's control work in fleets of growing size.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::processes::Processes;
use apricotdale_launcher::sample;
use apricotdale_launcher::standin::LogEffects;

use crate::errors::Error;
use crate::errors::Result;
use crate::process_cost::ProcessCost;
use crate::process_cost::loopback_bytes;
use crate::process_cost::process_cost;

/// Time before the measurement begins, in which heartbeats and engine reports reach a steady rate.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// Figures measured of one fleet without callers, most of them means over its VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPoint {
    /// Number of VMs, each with one daemon.
    pub vms: usize,
    /// Mean processor time of a daemon, in percent of one core.
    pub cpu_percent: f64,
    /// Mean resident memory of a daemon at the end of the measurement, in MB.
    pub resident_mb: f64,
    /// Mean number of threads of a daemon at the end of the measurement.
    pub threads: f64,
    /// Bytes per second over the loopback interface, divided by the number of VMs.
    pub bytes_per_s: f64,
    /// Reads of the log per second, divided by the number of VMs.
    pub log_reads_per_s: f64,
    /// Appends to the log per second by all VMs together.
    pub log_appends_per_s: f64,
}

/// Counters of all daemons, the loopback interface and the log, read at one moment.
struct UsageReading {
    at: Instant,
    costs: Vec<ProcessCost>,
    loopback_bytes: u64,
    log: LogEffects,
}

/// Starts a fleet without callers, measures it for `duration`, and stops it. `prepare` receives
/// the handle of the processes before any of them starts.
///
/// # Errors
///
/// If the fleet can't be started or a daemon ends before the measurement does.
pub fn measure(
    vms: usize,
    duration: Duration,
    prepare: impl FnOnce(&Processes),
) -> Result<FleetPoint> {
    let options = ClusterOptions {
        vms,
        ..sample::options(vms)
    };
    let cluster = Cluster::start(options, prepare)?;
    let names = cluster.vm_names();
    let first = names
        .first()
        .ok_or_else(|| Error::failed("a fleet needs at least one VM"))?;
    cluster.publish(first, sample::edits())?;
    thread::sleep(SETTLING_TIME);
    let before = read_usage(&cluster, &names)?;
    thread::sleep(duration);
    let after = read_usage(&cluster, &names)?;
    cluster.stop();
    Ok(point(vms, &before, &after))
}

fn read_usage(cluster: &Cluster, names: &[String]) -> Result<UsageReading> {
    let mut costs = Vec::new();
    for name in names {
        costs.push(process_cost(cluster.processes().id(name)?)?);
    }
    Ok(UsageReading {
        at: Instant::now(),
        costs,
        loopback_bytes: loopback_bytes()?,
        log: cluster.standin("log")?.effects()?,
    })
}

fn point(vms: usize, before: &UsageReading, after: &UsageReading) -> FleetPoint {
    let passed_s = (after.at - before.at).as_secs_f64();
    let count = vms as f64;
    let cpu_s: f64 = after.costs.iter().map(|cost| cost.cpu_s).sum::<f64>()
        - before.costs.iter().map(|cost| cost.cpu_s).sum::<f64>();
    let resident: u64 = after.costs.iter().map(|cost| cost.resident_bytes).sum();
    let threads: i64 = after.costs.iter().map(|cost| cost.threads).sum();
    FleetPoint {
        vms,
        cpu_percent: cpu_s / passed_s / count * 100.0,
        resident_mb: resident as f64 / count / 1e6,
        threads: threads as f64 / count,
        bytes_per_s: (after.loopback_bytes - before.loopback_bytes) as f64 / passed_s / count,
        log_reads_per_s: (after.log.reads - before.log.reads) as f64 / passed_s / count,
        log_appends_per_s: (after.log.appends - before.log.appends) as f64 / passed_s,
    }
}
