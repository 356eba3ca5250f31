//! Load test of a deployment of real processes, open-loop and measured from the callers' side.
//!
//! Models, requests and arrival times come from the policy replay's trace. Requests are sent at
//! their scheduled times whether or not earlier ones have been answered, and every latency counts
//! from the scheduled arrival. A closed-loop client, which sends its next request only after an
//! answer, would send least while the system is slowest and would understate the latencies.

pub mod answer_check;
pub mod balancer;
pub mod caller_retries;
pub mod case;
pub mod client;
pub mod clock;
pub mod cluster_options;
pub mod daemon_counts;
pub mod driver;
pub mod effects;
pub mod host_caches;
pub mod measures;
pub mod monitor;
pub mod options;
pub mod record;
pub mod report;
pub mod run;
pub mod scale;
pub mod schedule;
pub mod timeline;
