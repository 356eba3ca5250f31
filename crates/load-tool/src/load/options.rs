//! Options of a load run, with their defaults.

use std::path::PathBuf;
use std::time::Duration;

/// Size, duration and time scale of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Seed of the trace, the schedule and the policies.
    pub seed: u64,
    /// Number of entry VMs.
    pub vms: usize,
    /// Factor by which run times, load times and class targets are shorter than in the deployment.
    pub speed: f64,
    /// Factor by which requests arrive and models become active more often, on top of `speed`.
    pub compression: f64,
    /// Time for which requests are sent before the measurement.
    pub warm_up: Duration,
    /// Time for which requests are sent and measured.
    pub measured: Duration,
    /// Maximum number of requests in progress at once, each in a thread of its own.
    pub client_threads: usize,
    /// Directory for the output of the processes, with a directory for each run; none for a
    /// temporary one that is deleted after the run.
    pub log_dir: Option<PathBuf>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 6,
            speed: 4.0,
            compression: 4.0,
            warm_up: Duration::from_secs(10),
            measured: Duration::from_secs(50),
            client_threads: 1_200,
            log_dir: None,
        }
    }
}
