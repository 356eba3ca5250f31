//! Software versions of upstreams, sent behind the messages that hold their entries.
//!
//! Releases that do not know the versions read the entries and ignore what follows them. If the
//! versions were part of the entries, VMs of two releases could not read each other's lists.

use apricotdale_core::names::SoftwareVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::upstream::Upstream;

/// Appends the versions of the entries of a message to the encoded message.
///
/// # Errors
///
/// Those of the encoder, if the versions can't be encoded.
pub fn append_versions(bytes: Vec<u8>, entries: &[Upstream]) -> postcard::Result<Vec<u8>> {
    let versions: Vec<&Option<SoftwareVersion>> = entries.iter().map(|it| &it.version).collect();
    postcard::to_extend(&versions, bytes)
}

/// Sets the versions of the entries of a message from the bytes behind it. There are none behind a
/// message of an earlier release, whose entries then have unknown versions.
pub fn set_versions(entries: &mut [Upstream], rest: &[u8]) {
    let versions: Vec<Option<SoftwareVersion>> = postcard::from_bytes(rest).unwrap_or_default();
    if versions.len() == entries.len() {
        for (entry, version) in entries.iter_mut().zip(versions) {
            entry.version = version;
        }
    }
}

/// Encodes a message with the versions of its entries behind it.
///
/// # Errors
///
/// Those of the encoder, if the message can't be encoded.
pub(crate) fn encode_with_versions(
    message: &impl Serialize,
    entries: &[Upstream],
) -> postcard::Result<Vec<u8>> {
    append_versions(postcard::to_stdvec(message)?, entries)
}

/// Decodes a message and returns it with the bytes behind it.
///
/// # Errors
///
/// Those of the decoder, if the bytes are not such a message.
pub(crate) fn decode_with_rest<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(T, &[u8])> {
    postcard::take_from_bytes(bytes)
}
