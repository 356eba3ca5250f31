//! Load on a whole deployment of real processes, driven open-loop and measured from the outside.
//!
//! Models, requests and their times are those of the policy replay's trace. The requests leave by
//! schedule, whatever became of earlier ones, and every wait is counted from the scheduled arrival.
//! A client that sends its next request only after an answer would send least while the system is
//! slowest, and its latencies would look good.

pub mod answer_check;
pub mod balancer;
pub mod case;
pub mod client;
pub mod clock;
pub mod cluster_options;
pub mod daemon_counts;
pub mod drive;
pub mod effects;
pub mod host_caches;
pub mod measures;
pub mod options;
pub mod record;
pub mod report;
pub mod returning;
pub mod run;
pub mod scale;
pub mod schedule;
pub mod timeline;
pub mod watch;
