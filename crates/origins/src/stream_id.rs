//! Identity of a stream across the VMs.

use apricotdale_core::names::RequestId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hash of the request that began a stream and of the organisation that sent it. An organisation
/// that names another one's request thus finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u128);

impl StreamId {
    /// Returns the identity of the stream that a request began. `organisation` is the name of the
    /// organisation that holds the caller's key; `None` if the request needs no key.
    pub fn new(request: &RequestId, organisation: Option<&str>) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(request.as_str().as_bytes());
        // No ID contains this byte, so that an ID and a name can't be split differently.
        hasher.update(&[0]);
        hasher.update(organisation.unwrap_or_default().as_bytes());
        Self(hasher.digest128())
    }
}
