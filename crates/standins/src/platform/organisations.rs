//! Organisations, their API keys and their limits.

use serde_json::Value;
use serde_json::json;

use crate::platform::answers::RecordedRun;
use crate::platform::caller::SiteRequest;

/// Header with a caller's API key.
const KEY: &str = "Authorization";

/// Header by which entry VMs name a request's organisation to upstreams.
const ORGANISATION: &str = "Apricotdale-Tenant";

/// Organisation as operators configure it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// API keys in clear text.
    pub keys: Vec<String>,
    /// Limit over all VMs; absent without one.
    pub limit: Option<SiteLimit>,
}

/// Limit on what an organisation may use over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteLimit {
    /// Unit that is counted, by its name in the configuration.
    pub unit: &'static str,
    /// Units per second.
    pub per_s: f64,
    /// Burst: units that may be used at once beyond the rate.
    pub burst: f64,
}

impl SiteLimit {
    /// Returns a limit on requests.
    pub fn requests(per_s: f64, burst: f64) -> Self {
        Self {
            unit: "requests",
            per_s,
            burst,
        }
    }

    /// Returns a limit on tokens.
    pub fn tokens(per_s: f64, burst: f64) -> Self {
        Self {
            unit: "tokens",
            per_s,
            burst,
        }
    }
}

impl SiteOrganisation {
    /// Returns the value of [`crate::platform::SiteOptions::tenants`] for some organisations.
    pub fn list(organisations: &[Self]) -> Value {
        organisations.iter().map(Self::to_value).collect()
    }

    fn to_value(&self) -> Value {
        let mut value = json!({"name": self.name, "api_keys": self.keys});
        if let Some(limit) = self.limit {
            value["unit"] = json!(limit.unit);
            value["rate_per_s"] = json!(limit.per_s);
            value["burst"] = json!(limit.burst);
            value["plain_tokens"] = json!(1.0);
        }
        value
    }
}

impl SiteRequest {
    /// Returns the request with one more API key.
    pub fn with_key(self, key: &str) -> Self {
        self.with(KEY, &format!("Token {key}"))
    }

    /// Returns the request with a header in which its caller claims to be an organisation.
    pub fn claiming(self, organisation: &str) -> Self {
        self.with(ORGANISATION, organisation)
    }

    /// Returns the request without API keys and claims.
    pub fn without_keys(mut self) -> Self {
        self.headers
            .retain(|(name, _)| name != KEY && name != ORGANISATION);
        self
    }
}

impl RecordedRun {
    /// Returns the organisations that the upstream was sent in headers.
    pub fn organisations(&self) -> Vec<String> {
        let headers = self.headers.iter();
        headers
            .filter(|(name, _)| name.eq_ignore_ascii_case(ORGANISATION))
            .map(|(_, value)| value.clone())
            .collect()
    }

    /// Returns whether the value of a header or the body contains a text.
    pub fn holds(&self, text: &str) -> bool {
        let mut headers = self.headers.iter();
        headers.any(|(_, value)| value.contains(text))
            || String::from_utf8_lossy(&self.body).contains(text)
    }
}
