//! Organisations, their keys and their limits.

use serde_json::Value;
use serde_json::json;

use crate::platform::calling::Ask;
use crate::platform::serving::RunSeen;

/// The header that carries a caller's key.
const KEY: &str = "Authorization";

/// The header that tells upstreams whose request it is.
const ORGANISATION: &str = "Apricotdale-Tenant";

/// `SiteOrganisation` is an organisation as the operators configure it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteOrganisation {
    /// Its name.
    pub name: String,
    /// Its keys in clear.
    pub keys: Vec<String>,
    /// What it may use; none without a limit.
    pub limit: Option<SiteLimit>,
}

/// `SiteLimit` is what an organisation may use over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteLimit {
    /// What is counted, as the configuration names it.
    pub unit: &'static str,
    /// How much a second.
    pub per_s: f64,
    /// How much at once beyond that.
    pub burst: f64,
}

impl SiteLimit {
    /// Returns a limit of requests.
    pub fn requests(per_s: f64, burst: f64) -> Self {
        Self {
            unit: "requests",
            per_s,
            burst,
        }
    }

    /// Returns a limit of tokens.
    pub fn tokens(per_s: f64, burst: f64) -> Self {
        Self {
            unit: "tokens",
            per_s,
            burst,
        }
    }
}

impl SiteOrganisation {
    /// Returns the list of organisations for [`crate::platform::SiteOptions::tenants`].
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

impl Ask {
    /// Returns the request with one more key.
    pub fn with_key(self, key: &str) -> Self {
        self.with(KEY, &format!("Token {key}"))
    }

    /// Returns the request with the name of an organisation that its caller claims to be.
    pub fn claiming(self, organisation: &str) -> Self {
        self.with(ORGANISATION, organisation)
    }

    /// Returns the request without keys and claims.
    pub fn without_keys(mut self) -> Self {
        self.headers
            .retain(|(name, _)| name != KEY && name != ORGANISATION);
        self
    }
}

impl RunSeen {
    /// Returns the organisations that the upstream was told.
    pub fn organisations(&self) -> Vec<String> {
        let told = self.headers.iter();
        told.filter(|(name, _)| name.eq_ignore_ascii_case(ORGANISATION))
            .map(|(_, value)| value.clone())
            .collect()
    }

    /// Returns whether any header or the body holds a text.
    pub fn holds(&self, text: &str) -> bool {
        let mut headers = self.headers.iter();
        headers.any(|(_, value)| value.contains(text))
            || String::from_utf8_lossy(&self.body).contains(text)
    }
}
