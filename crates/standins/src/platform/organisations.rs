//! Organisations, their keys and their limits.

use serde_json::Value;
use serde_json::json;

use crate::platform::calling::Ask;
use crate::platform::serving::RunSeen;

/// The header that carries a caller's key.
const KEY: &str = "Authorization";

/// The header that tells upstreams whose request it is.
const ORGANISATION: &str = "Apricotdale-Tenant";

/// `Organisation` is an organisation as the operators configure it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Requests a second over all VMs, which is also the burst; none without a limit.
    pub rate_per_s: Option<u32>,
}

impl Organisation {
    /// Returns organisations as a configuration lists them.
    pub fn list(organisations: &[Self]) -> Value {
        organisations.iter().map(Self::to_value).collect()
    }

    fn to_value(&self) -> Value {
        let mut value = json!({"name": self.name, "api_keys": self.keys});
        if let Some(rate_per_s) = self.rate_per_s {
            value["rate_per_s"] = json!(rate_per_s);
            value["burst"] = json!(rate_per_s);
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
