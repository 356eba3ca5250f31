//! Organisations as a site's configuration tells them.

use serde_json::Value;
use serde_json::json;

/// `SiteOrganisation` is an organisation with its keys and its limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteOrganisation {
    /// Its name.
    pub name: String,
    /// Its keys in clear.
    pub keys: Vec<String>,
    /// Tokens that it may use a second; 0 if it has no limit.
    pub tokens_per_s: f64,
    /// Tokens that it may use at once beyond that.
    pub burst_tokens: f64,
}

impl SiteOrganisation {
    /// Returns the list of organisations for [`crate::platform::SiteOptions::tenants`].
    pub fn list(organisations: &[Self]) -> Value {
        let one = |it: &Self| {
            json!({
                "name": it.name, "api_keys": it.keys, "unit": "tokens",
                "rate_per_s": it.tokens_per_s, "burst": it.burst_tokens, "plain_tokens": 1.0,
            })
        };
        organisations.iter().map(one).collect()
    }
}
