//! Random draws from the distributions of the traces.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Standard deviation of the logarithm of request times.
const TIME_SPREAD: f64 = 0.5;

/// Returns a draw from the standard normal distribution.
pub fn normal(source: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = 1.0 - source.random::<f64>();
    let angle: f64 = source.random::<f64>() * std::f64::consts::TAU;
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// Returns a draw from the exponential distribution with the given mean.
pub fn exponential(source: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - source.random::<f64>()).ln()
}

/// Returns a draw from the log-normal distribution with the given mean, at least 1.
pub fn log_normal(source: &mut ChaCha8Rng, mean: u64) -> u64 {
    let shift = TIME_SPREAD * TIME_SPREAD / 2.0;
    let drawn = mean as f64 * (TIME_SPREAD * normal(source) - shift).exp();
    (drawn as u64).max(1)
}
