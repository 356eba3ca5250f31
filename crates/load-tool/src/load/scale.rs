//! Conversion of times and rates from the deployment and its trace to those of a run.

use std::time::Duration;

use crate::load::options::LoadOptions;

const MS_PER_S: f64 = 1_000.0;

/// Time of the trace at which the measured part of a run begins: 14 h, when the policy replay
/// injects its faults.
const MEASURED_FROM_MS: f64 = 14.0 * 3_600.0 * MS_PER_S;

/// Conversion of times and rates between the deployment and a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    speed: f64,
    compression: f64,
    warm_up: Duration,
    measured: Duration,
}

impl Scale {
    /// Returns the conversion for a run with the given options.
    pub fn new(options: &LoadOptions) -> Self {
        Self {
            speed: options.speed,
            compression: options.compression,
            warm_up: options.warm_up,
            measured: options.measured,
        }
    }

    /// Converts a duration of the deployment to one of the run, in milliseconds and at least 1.
    pub fn time_ms(&self, deployment_ms: u64) -> u64 {
        ((deployment_ms as f64 / self.speed) as u64).max(1)
    }

    /// Converts a rate of the deployment, such as bytes per second, to one of the run.
    pub fn rate(&self, deployment_rate: f64) -> f64 {
        deployment_rate * self.speed
    }

    /// Returns the factor by which requests arrive more often in the run than in the trace.
    pub fn pace(&self) -> f64 {
        self.speed * self.compression
    }

    /// Returns the factor by which requests arrive more often than `speed` alone would make them.
    pub fn compression(&self) -> f64 {
        self.compression
    }

    /// Returns the time of the trace at which the run begins, in milliseconds.
    pub fn trace_from_ms(&self) -> f64 {
        MEASURED_FROM_MS - self.warm_up.as_secs_f64() * MS_PER_S * self.pace()
    }

    /// Returns the time of the trace at a share of the run's measured time, in milliseconds.
    pub fn trace_at_ms(&self, share: f64) -> f64 {
        MEASURED_FROM_MS + share * self.measured.as_secs_f64() * MS_PER_S * self.pace()
    }

    /// Returns when a request of the trace arrives, since the start of the run; none if it arrives
    /// before or after the run.
    pub fn arrival(&self, trace_ms: u64) -> Option<Duration> {
        let trace_ms = trace_ms as f64;
        if trace_ms < self.trace_from_ms() || trace_ms >= self.trace_at_ms(1.0) {
            return None;
        }
        let since_ms = (trace_ms - self.trace_from_ms()) / self.pace();
        Some(Duration::from_secs_f64(since_ms / MS_PER_S))
    }

    /// Returns the time at a share of the measured time, since the start of the run.
    pub fn moment(&self, share: f64) -> Duration {
        self.warm_up + self.measured.mul_f64(share)
    }
}
