//! Metrics of requests: counts of their outcomes, and latency histograms.

use std::sync::Arc;

use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ServingEvent;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::known_names::KnownNames;
use crate::labels::AnsweredLabels;
use crate::labels::ClassLabels;
use crate::labels::RETRY_DECISION_LABELS;
use crate::labels::RefusalLabels;
use crate::labels::RetryLabels;
use crate::labels::retry_decision_label;

/// Label value of a request that was refused before its class was known.
const UNKNOWN_CLASS_LABEL: &str = "none";

/// Maximum number of classes that get series of their own. No configuration has more.
const MAX_CLASSES: usize = 64;

/// Maximum number of upstream groups that get series of their own.
const MAX_GROUPS: usize = 64;

/// Upper bounds of the buckets for durations of requests, in seconds. The latency target for the
/// first token, 1.3 s, is a bound, so that the histogram shows exactly how many requests meet it.
const REQUEST_BOUNDS_S: [f64; 16] = [
    0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.3, 2.0, 3.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0,
];

/// Upper bounds of the buckets for the time between two tokens, in seconds. The target of 62 ms is
/// a bound for the same reason.
const INTER_TOKEN_BOUNDS_S: [f64; 13] = [
    0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.062, 0.08, 0.12, 0.25, 0.5, 1.0, 2.0,
];

const MS_PER_S: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;

type ClassHistograms = Family<ClassLabels, Histogram>;

/// Counters and histograms of requests, by class or by upstream group.
pub(crate) struct ServingMetrics {
    classes: KnownNames,
    groups: KnownNames,
    refusals: Family<RefusalLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    answered: Family<AnsweredLabels, Counter>,
    first_answer: ClassHistograms,
    total: ClassHistograms,
    queue_wait: ClassHistograms,
    cold_start: ClassHistograms,
    inter_token: Histogram,
}

fn request_histogram() -> Histogram {
    Histogram::new(REQUEST_BOUNDS_S)
}

impl ServingMetrics {
    /// Registers the metrics, with the refusals that no class is known for at zero.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            classes: KnownNames::new(MAX_CLASSES),
            groups: KnownNames::new(MAX_GROUPS),
            refusals: Family::default(),
            retries: Family::default(),
            answered: Family::default(),
            first_answer: Family::new_with_constructor(request_histogram),
            total: Family::new_with_constructor(request_histogram),
            queue_wait: Family::new_with_constructor(request_histogram),
            cold_start: Family::new_with_constructor(request_histogram),
            inter_token: Histogram::new(INTER_TOKEN_BOUNDS_S),
        };
        metrics.register(registry);
        metrics.init_refusals(&Arc::from(UNKNOWN_CLASS_LABEL));
        for reason in RefusalReason::ALL {
            metrics.refusal_counter(*reason, Ran::Ran, Arc::from(UNKNOWN_CLASS_LABEL));
            metrics.refusal_counter(*reason, Ran::Unknown, Arc::from(UNKNOWN_CLASS_LABEL));
        }
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "refusals",
            "Requests refused, by reason and by whether they ran",
            self.refusals.clone(),
        );
        registry.register(
            "retry_decisions",
            "Failed attempts at an upstream, by the retry decision and by whether the attempt ran",
            self.retries.clone(),
        );
        registry.register(
            "answered",
            "Requests answered completely, by whether the class's target was met",
            self.answered.clone(),
        );
        registry.register_with_unit(
            "first_answer",
            "Time from arrival to the first token, or to the complete answer if it is no stream",
            Unit::Seconds,
            self.first_answer.clone(),
        );
        registry.register_with_unit(
            "answer",
            "Time from arrival to the end of the answer",
            Unit::Seconds,
            self.total.clone(),
        );
        registry.register_with_unit(
            "queue_wait",
            "Time that a request waited for admission",
            Unit::Seconds,
            self.queue_wait.clone(),
        );
        registry.register_with_unit(
            "cold_start",
            "Time that a request waited for a load",
            Unit::Seconds,
            self.cold_start.clone(),
        );
        registry.register_with_unit(
            "inter_token",
            "Time between two events of a stream",
            Unit::Seconds,
            self.inter_token.clone(),
        );
    }

    /// Adds a class, and starts its counters at zero unless it was added before.
    pub(crate) fn add_class(&self, class: &ClassName) {
        let Some(label) = self.classes.add(class.as_str()) else {
            return;
        };
        self.init_refusals(&label);
        for target in ["met", "missed"] {
            drop(self.answered.get_or_create(&AnsweredLabels {
                class: Arc::clone(&label),
                target,
            }));
        }
    }

    /// Adds an upstream group, and starts its counters at zero unless it was added before.
    pub(crate) fn add_group(&self, group: &GroupName) {
        let Some(label) = self.groups.add(group.as_str()) else {
            return;
        };
        for decision in RETRY_DECISION_LABELS {
            for ran in [Ran::NotRun, Ran::Ran, Ran::Unknown] {
                drop(self.retries.get_or_create(&RetryLabels {
                    decision,
                    ran: ran.as_str(),
                    group: Arc::clone(&label),
                }));
            }
        }
    }

    /// Counts and measures what an event reports.
    pub(crate) fn observe(&self, event: &ServingEvent) {
        match event {
            ServingEvent::Refused { class, refusal } => self.count_refusal(class.as_ref(), refusal),
            ServingEvent::Retry {
                group,
                decision,
                ran,
            } => self.count_retry(group, *decision, *ran),
            ServingEvent::Answered {
                class,
                first_answer_ms,
                total_ms,
                met,
            } => self.record_answer(class, *first_answer_ms, *total_ms, *met),
            ServingEvent::QueueWait { class, wait_ms } => {
                self.observe_duration(&self.queue_wait, class, *wait_ms);
            }
            ServingEvent::ColdStart { class, wait_ms } => {
                self.observe_duration(&self.cold_start, class, *wait_ms);
            }
            ServingEvent::InterToken { gap_us } => {
                self.inter_token.observe(*gap_us as f64 / US_PER_S);
            }
        }
    }

    fn count_refusal(&self, class: Option<&ClassName>, refusal: &Refusal) {
        let label = match class {
            Some(class) => self.classes.label(class.as_str()),
            None => Arc::from(UNKNOWN_CLASS_LABEL),
        };
        self.refusal_counter(refusal.reason, refusal.ran, label)
            .inc();
    }

    fn count_retry(&self, group: &GroupName, decision: RetryDecision, ran: Ran) {
        let labels = RetryLabels {
            decision: retry_decision_label(decision),
            ran: ran.as_str(),
            group: self.groups.label(group.as_str()),
        };
        self.retries.get_or_create(&labels).inc();
    }

    fn record_answer(&self, class: &ClassName, first_answer_ms: u64, total_ms: u64, met: bool) {
        let labels = AnsweredLabels {
            class: self.classes.label(class.as_str()),
            target: if met { "met" } else { "missed" },
        };
        self.answered.get_or_create(&labels).inc();
        self.observe_duration(&self.first_answer, class, first_answer_ms);
        self.observe_duration(&self.total, class, total_ms);
    }

    fn observe_duration(&self, histograms: &ClassHistograms, class: &ClassName, duration_ms: u64) {
        let class = self.classes.label(class.as_str());
        histograms
            .get_or_create(&ClassLabels { class })
            .observe(duration_ms as f64 / MS_PER_S);
    }

    fn init_refusals(&self, class: &Arc<str>) {
        for reason in RefusalReason::ALL {
            self.refusal_counter(*reason, Ran::NotRun, Arc::clone(class));
        }
    }

    fn refusal_counter(&self, reason: RefusalReason, ran: Ran, class: Arc<str>) -> Counter {
        self.refusals.get_or_create_owned(&RefusalLabels {
            reason: reason.as_str(),
            ran: ran.as_str(),
            class,
        })
    }
}
