//! Reading of a VM's metrics.

use std::net::SocketAddr;
use std::time::Duration;

use crate::errors::Error;
use crate::errors::Result;
use crate::http::agent;

/// Path of the metrics on the admin interface.
const METRICS_PATH: &str = "/metrics";

/// Timeout of one request for the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the sum of a VM's samples whose name and labels begin with `sample`, rounded down.
///
/// # Errors
///
/// `Error::Failed` if the VM can't be reached.
pub fn metric_value(admin: SocketAddr, sample: &str) -> Result<u64> {
    let url = format!("http://{admin}{METRICS_PATH}");
    let answer = agent(METRICS_TIMEOUT).get(&url).call();
    let text = answer.and_then(|mut answer| answer.body_mut().read_to_string());
    let text = text.map_err(|error| Error::failed(format!("GET {url}"), error))?;
    Ok(sum_of(&text, sample))
}

/// Returns the sum of the samples in a text of the Prometheus format whose name and labels begin
/// with `sample`, rounded down.
pub fn sum_of(text: &str, sample: &str) -> u64 {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let values = samples
        .filter(|line| line.starts_with(sample))
        .filter_map(|line| line.rsplit(' ').next())
        .filter_map(|value| value.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
