//! Counters read from the metrics of a run's daemons.

use std::ops::AddAssign;

use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::metrics::metric_value;

use crate::errors::Result;

const RETRIES_METRIC: &str = "apricotdale_retry_decisions_total{decision=\"retry\"";
const IDLE_SECONDS_METRIC: &str = "apricotdale_idle_accelerator_seconds_total";

/// Sums of counters over daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    /// Number of decisions to retry a failed attempt at an upstream.
    pub retries: u64,
    /// Seconds during which an engine held a model and served no request.
    pub idle_engine_s: u64,
}

impl DaemonCounts {
    /// Reads the counters of one VM's daemon.
    ///
    /// # Errors
    ///
    /// If the VM can't be reached.
    pub fn read(cluster: &Cluster, vm: &str) -> Result<Self> {
        let admin = cluster.vm(vm)?.addresses.admin;
        Ok(Self {
            retries: metric_value(admin, RETRIES_METRIC)?,
            idle_engine_s: metric_value(admin, IDLE_SECONDS_METRIC)?,
        })
    }

    /// Reads the counters of all VMs' daemons and adds them up.
    ///
    /// # Errors
    ///
    /// If a VM can't be reached.
    pub fn read_all(cluster: &Cluster) -> Result<Self> {
        let mut all = Self::default();
        for vm in cluster.vm_names() {
            all += Self::read(cluster, &vm)?;
        }
        Ok(all)
    }
}

impl AddAssign for DaemonCounts {
    fn add_assign(&mut self, other: Self) {
        self.retries += other.retries;
        self.idle_engine_s += other.idle_engine_s;
    }
}
