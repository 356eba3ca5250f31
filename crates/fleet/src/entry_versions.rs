//! Software versions of upstreams, sent behind the messages that hold their entries.
//!
//! Releases that do not know the versions read the entries and ignore what follows them. If the
//! versions were part of the entries, VMs of two releases could not read each other's lists.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::upstream::Upstream;

/// Software versions that services ran lately, also of upstreams that have left since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentVersions {
    /// Whether the VM that states them has seen all of them.
    pub is_complete: bool,
    /// Services with one of their versions each; `None` for upstreams of unknown version.
    pub rows: Vec<(GroupName, Option<SoftwareVersion>)>,
}

/// Appends the versions of the entries of a message to the encoded message.
///
/// # Errors
///
/// Those of the encoder, if the versions can't be encoded.
pub fn append_versions(bytes: Vec<u8>, entries: &[Upstream]) -> postcard::Result<Vec<u8>> {
    let versions: Vec<&Option<SoftwareVersion>> = entries.iter().map(|it| &it.version).collect();
    postcard::to_extend(&versions, bytes)
}

/// Sets the versions of the entries of a message from the bytes behind it, and returns the bytes
/// that follow the versions. There are none behind a message of an earlier release, whose entries
/// then have unknown versions.
pub fn set_versions<'a>(entries: &mut [Upstream], rest: &'a [u8]) -> &'a [u8] {
    let decoded: postcard::Result<(Vec<Option<SoftwareVersion>>, &[u8])> =
        postcard::take_from_bytes(rest);
    match decoded {
        Ok((versions, rest)) if versions.len() == entries.len() => {
            for (entry, version) in entries.iter_mut().zip(versions) {
                entry.version = version;
            }
            rest
        }
        _ => &[],
    }
}
