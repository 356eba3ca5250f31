//! What crashes of upstreams may be attributed to: a request as a whole, and parts of its prompt.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;

/// Maximum number of a request's prompt parts that are considered, the first ones.
const MAX_PARTS: usize = 16;

/// Fingerprints against which a crash under a request counts: that of the request itself, and those
/// of the prompt parts that it shares with other requests.
///
/// A part has two fingerprints, for all models of its service and for the request's model alone, as
/// it may crash upstreams with a single model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFeatures {
    /// Fingerprint of the request itself.
    pub request: Fingerprint,
    /// Fingerprints of its shared parts, sorted.
    pub parts: Arc<[Fingerprint]>,
}

impl RequestFeatures {
    /// Returns the features of a request for a model of a service. `parts` are the IDs of all parts
    /// of its prompt in order. The last one is not shared with other requests and does not count.
    pub fn new(request: Fingerprint, service: &str, model: &str, parts: &[u64]) -> Self {
        let shared = &parts[..parts.len().saturating_sub(1).min(MAX_PARTS)];
        let parts = shared.iter().flat_map(|id| {
            [None, Some(model)].map(|model| Fingerprint::of_part(service, model, *id))
        });
        let mut parts: Vec<Fingerprint> = parts.collect();
        parts.sort_unstable();
        parts.dedup();
        Self {
            request,
            parts: parts.into(),
        }
    }

    /// Returns whether a fingerprint is that of the request or of one of its parts.
    pub fn contains(&self, feature: &Fingerprint) -> bool {
        self.request == *feature || self.parts.binary_search(feature).is_ok()
    }

    /// Returns the fingerprints of the request and of its parts.
    pub fn all(&self) -> impl Iterator<Item = &Fingerprint> {
        std::iter::once(&self.request).chain(self.parts.iter())
    }
}

impl From<Fingerprint> for RequestFeatures {
    /// Returns the features of a request without a prompt.
    fn from(request: Fingerprint) -> Self {
        Self {
            request,
            parts: Arc::default(),
        }
    }
}
