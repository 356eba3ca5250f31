//! Registry of all metrics of a daemon.

use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::node_metrics::NodeMetrics;
use crate::process_metrics::ProcessMetrics;
use crate::serving_metrics::ServingMetrics;

/// First part of every metric name.
const METRIC_NAME_PREFIX: &str = "apricotdale";

/// All metrics of a daemon, with the registry that renders them.
pub struct Metrics {
    registry: Registry,
    serving: ServingMetrics,
    node: NodeMetrics,
}

impl Metrics {
    /// Returns metrics that have counted nothing yet.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(METRIC_NAME_PREFIX);
        let serving = ServingMetrics::new(&mut registry);
        let node = NodeMetrics::new(&mut registry);
        registry.register_collector(Box::new(ProcessMetrics));
        Self {
            registry,
            serving,
            node,
        }
    }

    /// Adds configured classes, each with its series at zero. Requests of any other class are
    /// counted as class `other`.
    pub fn set_classes<'a>(&self, classes: impl IntoIterator<Item = &'a ClassName>) {
        for class in classes {
            self.serving.add_class(class);
        }
    }

    /// Adds groups of upstreams, each with its series at zero. Retries at any other group are
    /// counted as group `other`.
    pub fn set_groups<'a>(&self, groups: impl IntoIterator<Item = &'a GroupName>) {
        for group in groups {
            self.serving.add_group(group);
        }
    }

    /// Returns the metrics of the daemon itself, as opposed to those of requests.
    pub fn node(&self) -> &NodeMetrics {
        &self.node
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl ServingObserver for Metrics {
    fn observe(&self, event: &ServingEvent) {
        self.serving.observe(event);
    }
}
