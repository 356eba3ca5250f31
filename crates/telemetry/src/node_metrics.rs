//! Metrics of the daemon itself: its state, and its work with the log, engines and peers.

use std::sync::atomic::AtomicU64;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Offset;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::labels::AppendLabels;
use crate::labels::AppendOutcome;
use crate::labels::OrderKind;
use crate::labels::OrderLabels;
use crate::labels::OrderOutcome;
use crate::labels::ReasonLabels;
use crate::labels::ReplicaGauge;
use crate::labels::StateLabels;
use crate::labels::StreamKind;
use crate::labels::TierLabels;
use crate::labels::VerdictLabels;
use crate::labels::tier_label;

/// Upper bounds of the buckets for durations of model loads, in seconds.
const LOAD_BOUNDS_S: [f64; 14] = [
    0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 12.0, 20.0, 30.0, 60.0, 120.0, 300.0, 600.0,
];

const MS_PER_S: f64 = 1_000.0;

type FloatGauge = Gauge<f64, AtomicU64>;
type FloatCounter = Counter<f64, AtomicU64>;

fn load_histogram() -> Histogram {
    Histogram::new(LOAD_BOUNDS_S)
}

/// Gauges and counters of the daemon itself.
pub struct NodeMetrics {
    replayed_offset: Gauge,
    config_version: Gauge,
    log_read_age: FloatGauge,
    in_progress: Gauge,
    ready: Gauge,
    draining: Gauge,
    replicas: Family<StateLabels, Gauge>,
    idle_accelerator: FloatCounter,
    records: Family<VerdictLabels, Counter>,
    appends: Family<AppendLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    loads: Family<TierLabels, Histogram>,
    peer_rejections: Family<ReasonLabels, Counter>,
    log_lines_dropped: Counter,
}

impl NodeMetrics {
    /// Registers the metrics. Series with fixed labels start at zero.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            replayed_offset: Gauge::default(),
            config_version: Gauge::default(),
            log_read_age: FloatGauge::default(),
            in_progress: Gauge::default(),
            ready: Gauge::default(),
            draining: Gauge::default(),
            replicas: Family::default(),
            idle_accelerator: FloatCounter::default(),
            records: Family::default(),
            appends: Family::default(),
            orders: Family::default(),
            loads: Family::new_with_constructor(load_histogram),
            peer_rejections: Family::default(),
            log_lines_dropped: Counter::default(),
        };
        metrics.register_state(registry);
        metrics.register_work(registry);
        metrics.init_series();
        metrics
    }

    fn register_state(&self, registry: &mut Registry) {
        registry.register(
            "control_replayed_offset",
            "Offset up to which the control stream has been replayed, exclusive",
            self.replayed_offset.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register_with_unit(
            "log_read_age",
            "Time since the last successful read of the log",
            Unit::Seconds,
            self.log_read_age.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Requests of callers in progress",
            self.in_progress.clone(),
        );
        registry.register(
            "ready",
            "Whether the daemon accepts new requests",
            self.ready.clone(),
        );
        registry.register(
            "draining",
            "Whether the daemon is stopping",
            self.draining.clone(),
        );
        registry.register(
            "replicas",
            "Replicas by the replayed control stream, the same on every VM",
            self.replicas.clone(),
        );
    }

    fn register_work(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "idle_accelerator",
            "Time that accelerators held a loaded replica without a request, as counted by the \
             replica's preferred VM",
            Unit::Seconds,
            self.idle_accelerator.clone(),
        );
        registry.register(
            "control_records",
            "Replayed records of the control stream, by verdict",
            self.records.clone(),
        );
        registry.register(
            "log_appends",
            "Appends to the log, by outcome",
            self.appends.clone(),
        );
        registry.register(
            "engine_orders",
            "Orders to engines, by outcome",
            self.orders.clone(),
        );
        registry.register_with_unit(
            "model_load",
            "Duration of a model load, by the cache tier that held the checkpoint",
            Unit::Seconds,
            self.loads.clone(),
        );
        registry.register(
            "peer_messages_rejected",
            "Rejected messages of peers, by reason",
            self.peer_rejections.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the reader of the log stalled",
            self.log_lines_dropped.clone(),
        );
    }

    fn init_series(&self) {
        for state in ReplicaGauge::ALL {
            self.set_replicas(*state, 0);
        }
        for stream in StreamKind::ALL {
            for outcome in AppendOutcome::ALL {
                drop(self.append_counter(*stream, *outcome));
            }
        }
        for order in OrderKind::ALL {
            for outcome in OrderOutcome::ALL {
                drop(self.order_counter(*order, *outcome));
            }
        }
    }

    /// Starts a series at zero for each verdict that replay can give a control record.
    pub fn set_verdicts(&self, verdicts: impl IntoIterator<Item = &'static str>) {
        for verdict in verdicts {
            drop(self.records.get_or_create(&VerdictLabels { verdict }));
        }
    }

    /// Starts a series at zero for each reason for which a peer's message can be rejected.
    pub fn set_peer_rejections(&self, reasons: impl IntoIterator<Item = &'static str>) {
        for reason in reasons {
            drop(self.peer_rejections.get_or_create(&ReasonLabels { reason }));
        }
    }

    /// Sets the offset behind the last replayed record of the control stream.
    pub fn set_replayed(&self, offset: Offset) {
        self.replayed_offset.set(gauge_value(offset.0));
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.set(gauge_value(version.0));
    }

    /// Sets the time since the last successful read of the log service, in milliseconds.
    pub fn set_log_read_age_ms(&self, age_ms: u64) {
        self.log_read_age.set(age_ms as f64 / MS_PER_S);
    }

    /// Sets the number of callers' requests that are in progress.
    pub fn set_in_progress(&self, requests: u64) {
        self.in_progress.set(gauge_value(requests));
    }

    /// Sets whether the daemon accepts new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Sets whether the daemon drains, that is, finishes its requests before it stops.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(i64::from(draining));
    }

    /// Sets the number of replicas in a state, as the replayed control stream has them.
    pub fn set_replicas(&self, state: ReplicaGauge, replicas: u64) {
        let state = state.as_str();
        self.replicas
            .get_or_create(&StateLabels { state })
            .set(gauge_value(replicas));
    }

    /// Adds time during which an accelerator held a loaded replica without any request. Only the
    /// preferred VM of the replica may count it, so that the sum over all VMs is the fleet's idle
    /// time.
    pub fn add_idle_accelerator_ms(&self, idle_ms: u64) {
        self.idle_accelerator.inc_by(idle_ms as f64 / MS_PER_S);
    }

    /// Counts a replayed control record by the verdict that replay gave it.
    pub fn record_replayed(&self, verdict: &'static str) {
        self.records.get_or_create(&VerdictLabels { verdict }).inc();
    }

    /// Counts an append to the log service by its outcome.
    pub fn record_append(&self, stream: StreamKind, outcome: AppendOutcome) {
        self.append_counter(stream, outcome).inc();
    }

    /// Counts an order to an engine by its outcome.
    pub fn record_order(&self, order: OrderKind, outcome: OrderOutcome) {
        self.order_counter(order, outcome).inc();
    }

    /// Measures a model load by the cache tier that held the checkpoint.
    pub fn record_load(&self, tier: CacheTier, duration_ms: u64) {
        let tier = tier_label(tier);
        self.loads
            .get_or_create(&TierLabels { tier })
            .observe(duration_ms as f64 / MS_PER_S);
    }

    /// Counts a message of a peer that was rejected, by reason.
    pub fn record_peer_rejection(&self, reason: &'static str) {
        self.peer_rejections
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Sets the total number of dropped log lines. A value below the previous one is ignored.
    pub fn set_log_lines_dropped(&self, lines: u64) {
        let increase = lines.saturating_sub(self.log_lines_dropped.get());
        self.log_lines_dropped.inc_by(increase);
    }

    fn append_counter(&self, stream: StreamKind, outcome: AppendOutcome) -> Counter {
        self.appends.get_or_create_owned(&AppendLabels {
            stream: stream.as_str(),
            outcome: outcome.as_str(),
        })
    }

    fn order_counter(&self, order: OrderKind, outcome: OrderOutcome) -> Counter {
        self.orders.get_or_create_owned(&OrderLabels {
            order: order.as_str(),
            outcome: outcome.as_str(),
        })
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
