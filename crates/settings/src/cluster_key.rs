//! Secret key that the daemons of one deployment share.

use std::fmt;
use std::sync::Arc;

/// Shortest key that is accepted, in bytes.
pub(crate) const MIN_KEY_BYTES: usize = 32;

/// Key with which the daemons of a deployment authenticate their messages to each other.
///
/// `Debug` hides the bytes, so that the key does not reach a log.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey(Arc<[u8]>);

impl ClusterKey {
    /// Parses a key of hexadecimal digits.
    ///
    /// Returns `None` if the text has any other character, an odd number of digits or fewer than
    /// 64, or if the key is one byte repeated, as a placeholder would be.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits: Vec<u8> = text
            .chars()
            .map(|digit| digit.to_digit(16).map(|value| value as u8))
            .collect::<Option<_>>()?;
        if !digits.len().is_multiple_of(2) || digits.len() < 2 * MIN_KEY_BYTES {
            return None;
        }
        let bytes: Vec<u8> = digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect();
        if bytes.iter().all(|byte| *byte == bytes[0]) {
            return None;
        }
        Some(Self(Arc::from(bytes)))
    }

    /// Returns the secret bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}
