//! Changes that operators make to a site's configuration while it runs.

use serde_json::Value;
use serde_json::json;

/// Service of the additional instances, which gets calls only if the split says so.
pub(crate) const SPARE_SERVICE: &str = "spare";

/// Differences of a site's next configurations from those of its options.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SiteAdjustments {
    /// Timeout of every route, in milliseconds; absent to keep that of the options.
    pub timeout_ms: Option<u64>,
    /// Attempts of the routes whose requests may run again; absent to keep their own.
    pub attempts: Option<u32>,
    /// Time after which an idle connection of a caller is closed, in milliseconds; absent to keep
    /// the usual one.
    pub idle_timeout_ms: Option<u64>,
    /// Percentage of the calls that the first plain service gets, the additional instances get the
    /// rest; absent if it gets all.
    pub plain_percent: Option<u32>,
}

impl SiteAdjustments {
    pub(crate) fn apply(self, configuration: &mut Value) {
        if let Some(idle_timeout_ms) = self.idle_timeout_ms {
            configuration["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
        }
        let routes = configuration["routes"].as_array_mut();
        for route in routes.into_iter().flatten() {
            if let Some(timeout_ms) = self.timeout_ms {
                route["timeout_ms"] = json!(timeout_ms);
            }
            if let Some(attempts) = self.attempts.filter(|_| route["attempts"] != json!(1)) {
                route["attempts"] = json!(attempts);
            }
            if let Some(percent) = self.plain_percent.filter(|_| route["service"] == "plain") {
                route["traffic_split"] = json!([
                    {"service": "plain", "weight": percent},
                    {"service": SPARE_SERVICE, "weight": 100_u32.saturating_sub(percent)},
                ]);
            }
        }
    }
}
