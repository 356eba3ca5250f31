//! The key that all daemons of one deployment share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::errors::Error;
use crate::errors::Result;

/// The fewest bytes of a key.
pub const KEY_BYTES_MIN: usize = 16;

/// The bytes of a tag on the wire: HMAC-SHA256 truncated to half, as in RFC 4868.
pub const TAG_BYTES: usize = 16;

/// `Tag` is the part of a message that only a holder of the key can make.
pub type Tag = [u8; TAG_BYTES];

/// `ClusterKey` is the key that all daemons of one deployment share, from their settings. It is
/// never printed.
#[derive(Clone)]
pub struct ClusterKey {
    keyed: Hmac<Sha256>,
}

impl ClusterKey {
    /// Returns the key of the given bytes.
    ///
    /// # Errors
    ///
    /// [`Error::ShortKey`] for fewer bytes than [`KEY_BYTES_MIN`].
    pub fn new(bytes: &[u8]) -> Result<Self> {
        let keyed = match Hmac::new_from_slice(bytes) {
            Ok(keyed) if bytes.len() >= KEY_BYTES_MIN => keyed,
            _ => {
                return Err(Error::ShortKey {
                    length: bytes.len(),
                    required: KEY_BYTES_MIN,
                });
            }
        };
        Ok(Self { keyed })
    }

    /// Returns the tag of the given parts, one after the other.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let whole = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Returns whether the tag is that of the given parts. The comparison takes the same time
    /// wherever the first difference is.
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
