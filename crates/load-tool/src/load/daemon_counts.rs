//! What the daemons of a run count themselves.

use std::ops::AddAssign;

use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::metrics::metric_value;

use crate::errors::Result;

const RETRIES: &str = "apricotdale_retry_decisions_total{decision=\"retry\"";
const IDLE: &str = "apricotdale_idle_accelerator_seconds_total";

/// `DaemonCounts` is what daemons have counted, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    /// Tries at upstreams that were repeated.
    pub retries: u64,
    /// Seconds during which an engine held a model and served nobody.
    pub idle_engine_s: u64,
}

impl DaemonCounts {
    /// Reads the counts of one VM.
    ///
    /// # Errors
    ///
    /// If the VM can't be reached.
    pub fn read(cluster: &Cluster, vm: &str) -> Result<Self> {
        let admin = cluster.vm(vm)?.addresses.admin;
        Ok(Self {
            retries: metric_value(admin, RETRIES)?,
            idle_engine_s: metric_value(admin, IDLE)?,
        })
    }

    /// Reads the counts of all VMs.
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
