//! Cluster key and message authentication.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::errors::Error;
use crate::errors::Result;

/// Minimum length of a cluster key.
pub const MIN_KEY_BYTES: usize = 16;

/// Length of a tag: that of HMAC-SHA256, truncated to half as in RFC 4868.
pub const TAG_BYTES: usize = 16;

/// Message authentication code, which only holders of the cluster key can create.
pub type Tag = [u8; TAG_BYTES];

/// Secret key that all daemons of one deployment share, from their settings. Its `Debug` output
/// does not contain it.
#[derive(Clone)]
pub struct ClusterKey {
    keyed: Hmac<Sha256>,
}

impl ClusterKey {
    /// Returns the key with the given bytes.
    ///
    /// # Errors
    ///
    /// [`Error::ShortKey`] if there are fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Self> {
        let keyed = match Hmac::new_from_slice(bytes) {
            Ok(keyed) if bytes.len() >= MIN_KEY_BYTES => keyed,
            _ => {
                return Err(Error::ShortKey {
                    length: bytes.len(),
                    required: MIN_KEY_BYTES,
                });
            }
        };
        Ok(Self { keyed })
    }

    /// Returns the tag of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let full_tag = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` authenticates the concatenated parts. The comparison takes constant
    /// time.
    pub fn verifies(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.keyed.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey")
    }
}
