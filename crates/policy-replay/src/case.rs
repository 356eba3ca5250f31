//! The cases: what goes wrong, and when.

use crate::deployment::Deployment;
use crate::fleet::full_rate;
use crate::trace::LoadSurge;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// When what a case is about begins: noon, the policies having learned since midnight.
const FAULT_MS: u64 = 12 * HOUR_MS;

/// How much slower the weight store is in the case of that name.
pub const SLOW_STORE_FACTOR: f64 = 5.0;

/// The work that callers ask for in the case of overload, as a multiple of what all engines can do.
pub const OVERLOAD_FACTOR: f64 = 2.0;

/// `Case` is one case of the replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Nothing goes wrong.
    Usual,
    /// For half an hour callers ask for twice the work that the engines can do.
    Overload,
    /// For two hours the weight store is five times slower.
    SlowStore,
    /// One availability zone is lost, and comes back empty after an hour.
    ZoneLost,
    /// For ten minutes nothing can be appended to the log.
    LogOutage,
    /// All VMs restart at once and have learned nothing.
    Restart,
}

/// `Fault` is a change of the surroundings at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The weight store becomes slower.
    StoreSlow,
    /// The weight store is as fast as usual again.
    StoreUsual,
    /// The engines of the first zone are gone.
    ZoneGone,
    /// The platform's list shows that they are gone.
    ZoneUnlisted,
    /// They are back, empty.
    ZoneBack,
    /// Nothing can be appended to the log.
    LogDown,
    /// The log works again.
    LogUp,
    /// All VMs restart.
    Restart,
}

impl Case {
    /// Lists the cases.
    pub const ALL: [Self; 6] = [
        Self::Usual,
        Self::Overload,
        Self::SlowStore,
        Self::ZoneLost,
        Self::LogOutage,
        Self::Restart,
    ];

    /// Returns the case's name.
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

    /// Returns when measuring starts. The time before lets the policies learn.
    pub fn measured_from_ms(self) -> u64 {
        match self {
            Self::Usual => 12 * HOUR_MS,
            _ => FAULT_MS - HOUR_MS,
        }
    }

    /// Returns when the case ends.
    pub fn until_ms(self) -> u64 {
        match self {
            Self::Usual => 36 * HOUR_MS,
            _ => FAULT_MS + 3 * HOUR_MS,
        }
    }

    /// Returns the crowd of the case.
    pub fn surge(self, deployment: &Deployment) -> Option<LoadSurge> {
        match self {
            Self::Overload => Some(LoadSurge {
                from_ms: FAULT_MS,
                to_ms: FAULT_MS + 30 * MINUTE_MS,
                work_rate: OVERLOAD_FACTOR * full_rate(&deployment.engines),
            }),
            _ => None,
        }
    }

    /// Returns the faults of the case and when they come.
    pub fn faults(self) -> Vec<(u64, Fault)> {
        let start_ms = FAULT_MS;
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
