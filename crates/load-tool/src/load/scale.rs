//! From the deployment's times to those of a run.

use std::time::Duration;

use crate::load::options::LoadOptions;

const MS_PER_S: f64 = 1_000.0;

/// Where in the trace a run's measured part begins: at the hour at which the replay's faults come.
const MEASURED_FROM_MS: f64 = 14.0 * 3_600.0 * MS_PER_S;

/// `Scale` turns the deployment's times into those of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    speed: f64,
    compression: f64,
    warm_up: Duration,
    measured: Duration,
}

impl Scale {
    /// Returns the scale of a run.
    pub fn new(options: &LoadOptions) -> Self {
        Self {
            speed: options.speed,
            compression: options.compression,
            warm_up: options.warm_up,
            measured: options.measured,
        }
    }

    /// Returns how long something takes in the run, at least a millisecond.
    pub fn time_ms(&self, deployment_ms: u64) -> u64 {
        ((deployment_ms as f64 / self.speed) as u64).max(1)
    }

    /// Returns a speed of the run, such as bytes a second.
    pub fn rate(&self, deployment_rate: f64) -> f64 {
        deployment_rate * self.speed
    }

    /// Returns by how much the trace's requests follow each other more closely in the run.
    pub fn pace(&self) -> f64 {
        self.speed * self.compression
    }

    /// Returns the compression.
    pub fn compression(&self) -> f64 {
        self.compression
    }

    /// Returns the time of the trace at which the run begins.
    pub fn trace_from_ms(&self) -> f64 {
        MEASURED_FROM_MS - self.warm_up.as_secs_f64() * MS_PER_S * self.pace()
    }

    /// Returns the time of the trace that is at a share of the run's measured part.
    pub fn trace_at_ms(&self, share: f64) -> f64 {
        MEASURED_FROM_MS + share * self.measured.as_secs_f64() * MS_PER_S * self.pace()
    }

    /// Returns when in the run a request of the trace arrives, or none if it is not in the run.
    pub fn arrival(&self, trace_ms: u64) -> Option<Duration> {
        let trace_ms = trace_ms as f64;
        if trace_ms < self.trace_from_ms() || trace_ms >= self.trace_at_ms(1.0) {
            return None;
        }
        let since_ms = (trace_ms - self.trace_from_ms()) / self.pace();
        Some(Duration::from_secs_f64(since_ms / MS_PER_S))
    }

    /// Returns the moment of the run that is at a share of its measured part.
    pub fn moment(&self, share: f64) -> Duration {
        self.warm_up + self.measured.mul_f64(share)
    }
}
