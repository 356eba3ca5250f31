//! The metrics of a daemon as a whole.

use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::node_metrics::NodeMetrics;
use crate::process_metrics::ProcessMetrics;
use crate::serving_metrics::ServingMetrics;

/// The prefix of each metric's name.
const METRIC_NAME_PREFIX: &str = "apricotdale";

/// `Metrics` is all that a daemon counts and measures.
pub struct Metrics {
    registry: Registry,
    serving: ServingMetrics,
    node: NodeMetrics,
}

impl Metrics {
    /// Returns the metrics at zero.
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

    /// Makes the configured classes known. Refusals of any other class are counted as `other`.
    pub fn set_classes<'a>(&self, classes: impl IntoIterator<Item = &'a ClassName>) {
        for class in classes {
            self.serving.add_class(class);
        }
    }

    /// Makes the groups of upstreams known. Retries at any other group are counted as `other`.
    pub fn set_groups<'a>(&self, groups: impl IntoIterator<Item = &'a GroupName>) {
        for group in groups {
            self.serving.add_group(group);
        }
    }

    /// Returns what is counted and measured of the daemon itself.
    pub fn node(&self) -> &NodeMetrics {
        &self.node
    }

    /// Returns the metrics in the OpenMetrics text format.
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
