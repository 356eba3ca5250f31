//! Cases of the replay: their faults and load surges, and when.

use crate::deployment::Deployment;
use crate::fleet::max_work_rate;
use crate::trace::LoadSurge;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Time at which faults and load surges begin: noon, so that policies have learned since midnight.
const FAULT_BEGIN_MS: u64 = 12 * HOUR_MS;

/// Factor by which the weight store is slower in the case `slow-store`.
pub const SLOW_STORE_FACTOR: f64 = 5.0;

/// Work requested additionally in the case `overload`, as a multiple of what all engines can do.
pub const OVERLOAD_FACTOR: f64 = 2.0;

/// Scenario of the replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// No fault and no load surge.
    Usual,
    /// For half an hour, callers request twice the work that all engines can do, in addition to
    /// the usual requests.
    Overload,
    /// For two hours, the weight store is five times slower.
    SlowStore,
    /// One availability zone is lost, and is back without models and caches after an hour.
    ZoneLost,
    /// For ten minutes, no record can be appended to the log.
    LogOutage,
    /// All VMs restart at once, with policies that have learned nothing.
    Restart,
}

/// Change of the simulated environment: a fault or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The weight store becomes slow.
    StoreSlow,
    /// The weight store is back at its usual speed.
    StoreUsual,
    /// The engines and service instances of the first zone fail.
    ZoneGone,
    /// The VM list no longer shows the failed engines and instances.
    ZoneUnlisted,
    /// The failed engines and instances are back, without models and caches.
    ZoneBack,
    /// Appends to the log fail from now on.
    LogDown,
    /// Appends to the log succeed again.
    LogUp,
    /// All VMs restart.
    Restart,
}

impl Case {
    /// All cases, in the order in which they run.
    pub const ALL: [Self; 6] = [
        Self::Usual,
        Self::Overload,
        Self::SlowStore,
        Self::ZoneLost,
        Self::LogOutage,
        Self::Restart,
    ];

    /// Returns the name on the command line and in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Overload => "overload",
            Self::SlowStore => "slow-store",
            Self::ZoneLost => "zone-lost",
            Self::LogOutage => "log-outage",
            Self::Restart => "restart",
        }
    }

    /// Returns the time at which the measurement starts, since midnight of the first day. The
    /// policies learn before that.
    pub fn measured_from_ms(self) -> u64 {
        match self {
            Self::Usual => 12 * HOUR_MS,
            _ => FAULT_BEGIN_MS - HOUR_MS,
        }
    }

    /// Returns the time at which the case ends, since midnight of the first day.
    pub fn until_ms(self) -> u64 {
        match self {
            Self::Usual => 36 * HOUR_MS,
            _ => FAULT_BEGIN_MS + 3 * HOUR_MS,
        }
    }

    /// Returns the load surge of the case, or none.
    pub fn surge(self, deployment: &Deployment) -> Option<LoadSurge> {
        match self {
            Self::Overload => Some(LoadSurge {
                from_ms: FAULT_BEGIN_MS,
                to_ms: FAULT_BEGIN_MS + 30 * MINUTE_MS,
                work_rate: OVERLOAD_FACTOR * max_work_rate(&deployment.engines),
            }),
            _ => None,
        }
    }

    /// Returns the faults of the case with their times, since midnight of the first day.
    pub fn faults(self) -> Vec<(u64, Fault)> {
        let start_ms = FAULT_BEGIN_MS;
        match self {
            Self::Usual | Self::Overload => Vec::new(),
            Self::SlowStore => vec![
                (start_ms, Fault::StoreSlow),
                (start_ms + 2 * HOUR_MS, Fault::StoreUsual),
            ],
            Self::ZoneLost => vec![
                (start_ms, Fault::ZoneGone),
                (start_ms + 10_000, Fault::ZoneUnlisted),
                (start_ms + HOUR_MS, Fault::ZoneBack),
            ],
            Self::LogOutage => vec![
                (start_ms, Fault::LogDown),
                (start_ms + 10 * MINUTE_MS, Fault::LogUp),
            ],
            Self::Restart => vec![(start_ms, Fault::Restart)],
        }
    }
}
