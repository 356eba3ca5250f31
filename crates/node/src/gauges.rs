//! Updates the gauges, which are set from the present state.

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

/// Interval of the updates.
const INTERVAL: Duration = Duration::from_secs(1);

/// Thread that updates the gauges.
pub struct Gauges {
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Directory, with the replayed state and the membership.
    pub directory: Arc<NodeDirectory>,
    /// Last load report of each engine.
    pub reports: Arc<ReportTable>,
    /// Counts of the messages exchanged with peers.
    pub peers: Arc<PeerCounters>,
    /// Outcomes of recent appends and reads, from which the log counts as up or down.
    pub health: Arc<LogHealth>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
    /// Rejected peer messages that were added to the metrics, in the order of `Rejection::ALL`.
    pub rejected: [u64; Rejection::ALL.len()],
}

impl Gauges {
    /// Updates the gauges until the daemon stops.
    pub fn run(mut self) {
        self.register_rejections();
        let mut last_ms = self.clock.monotonic_ms();
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(INTERVAL);
            let now_ms = self.clock.monotonic_ms();
            self.update(now_ms, now_ms.saturating_sub(last_ms));
            last_ms = now_ms;
        }
    }

    fn register_rejections(&self) {
        let reasons = Rejection::ALL.iter().map(|reason| reason.as_str());
        self.metrics.node().set_peer_rejections(reasons);
    }

    fn update(&mut self, now_ms: u64, passed_ms: u64) {
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

    /// Returns the number of engines that hold a model and serve no request, of those that this VM
    /// reads.
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
