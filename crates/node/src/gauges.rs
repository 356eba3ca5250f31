//! Keeps the metrics that are read from the state rather than counted.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::Directory;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::Rejection;
use apricotdale_state::replicas::Stage;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::ReplicaGauge;

use crate::directory::NodeDirectory;
use crate::engine_reports::ReportTable;
use crate::log_health::LogHealth;

/// How often the gauges are set.
const INTERVAL: Duration = Duration::from_secs(1);

/// `Gauges` sets the gauges.
pub struct Gauges {
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The state and the membership.
    pub directory: Arc<NodeDirectory>,
    /// The last load reports.
    pub reports: Arc<ReportTable>,
    /// The peer messages that were rejected.
    pub peers: Arc<PeerCounters>,
    /// Whether the log works.
    pub health: Arc<LogHealth>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
    /// The peer messages that have been counted as rejected, by reason.
    pub rejected: [u64; Rejection::ALL.len()],
}

impl Gauges {
    /// Sets the gauges until the daemon stops.
    pub fn run(mut self) {
        self.announce();
        let mut last_ms = self.clock.monotonic_ms();
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(INTERVAL);
            let now_ms = self.clock.monotonic_ms();
            self.set(now_ms, now_ms.saturating_sub(last_ms));
            last_ms = now_ms;
        }
    }

    fn announce(&self) {
        let reasons = Rejection::ALL.iter().map(|reason| reason.as_str());
        self.metrics.node().set_peer_rejections(reasons);
    }

    fn set(&mut self, now_ms: u64, passed_ms: u64) {
        let node = self.metrics.node();
        let count = |stages: &[Stage]| {
            self.directory.replayed.read(|state| {
                state
                    .replicas()
                    .filter(|replica| stages.contains(&replica.stage()))
                    .count() as u64
            })
        };
        node.set_replicas(ReplicaGauge::Loaded, count(&[Stage::Loaded]));
        node.set_replicas(ReplicaGauge::Unloading, count(&[Stage::Unloading]));
        node.set_replicas(
            ReplicaGauge::Loading,
            count(&[Stage::Reserved, Stage::Loading]),
        );
        node.set_ready(self.directory.closed().is_none());
        if let Some(read_ms) = self.health.last_read_ms() {
            node.set_log_read_age_ms(now_ms.saturating_sub(read_ms));
        }
        node.add_idle_accelerator_ms(self.idle_engines() * passed_ms);
        self.count_rejections();
        let classes = self.directory.classes();
        self.metrics
            .set_classes(classes.iter().map(|class| &class.class));
        let view = self.directory.membership.view();
        self.metrics.set_groups(
            view.upstreams
                .values()
                .map(|upstream| &upstream.entry.group),
        );
    }

    fn count_rejections(&mut self) {
        for (reason, counted) in Rejection::ALL.iter().zip(&mut self.rejected) {
            let rejected = self.peers.rejected(*reason);
            for _ in *counted..rejected {
                self.metrics.node().record_peer_rejection(reason.as_str());
            }
            *counted = rejected;
        }
    }

    /// Returns the engines that hold a model and serve nobody, of those that this VM reads.
    fn idle_engines(&self) -> u64 {
        let view = self.directory.membership.view();
        let loaded: Vec<UpstreamName> = self.directory.replayed.read(|state| {
            let engines = state.engines().map(|(name, _)| name);
            let holds = |name: &&UpstreamName| {
                state
                    .replicas_on(name)
                    .any(|replica| replica.stage() == Stage::Loaded)
            };
            engines.filter(holds).cloned().collect()
        });
        let idle = loaded.iter().filter(|name| {
            let report = self.reports.report(name).map(|known| known.report);
            view.is_preferred(name.as_str())
                && report.is_some_and(|report| report.running + report.waiting == 0)
        });
        idle.count() as u64
    }
}
