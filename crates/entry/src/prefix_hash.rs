//! Hash of the prompt's prefix, by which requests with a common prefix reach the same engine.

use apricotdale_fleet::ServingRequest;

/// Maximum number of prompt parts that select the engine which probably has the prefix cached.
const MAX_PREFIX_PARTS: usize = 2;

/// Minimum length of a shared prompt prefix for prefix affinity. A shorter prefix is computed
/// faster than the queue at a preferred engine moves.
const MIN_PREFIX_TOKENS: u32 = 1_000;

/// Returns the hash of the prefix of a request's prompt; none if the prefix is too short to matter.
pub(crate) fn prefix_hash(serving: &ServingRequest) -> Option<u64> {
    let wanted = serving.model.as_ref()?;
    let shared = &serving.parts[..serving.parts.len().saturating_sub(1).min(MAX_PREFIX_PARTS)];
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    if tokens < MIN_PREFIX_TOKENS {
        return None;
    }
    let mut bytes = wanted.model.as_str().as_bytes().to_vec();
    bytes.extend(
        wanted
            .adapter
            .iter()
            .flat_map(|adapter| adapter.as_str().bytes()),
    );
    bytes.extend(shared.iter().flat_map(|part| part.id.to_le_bytes()));
    Some(xxhash_rust::xxh3::xxh3_64(&bytes))
}
