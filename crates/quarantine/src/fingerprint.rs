//! Fingerprints of requests and hashes of callers.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a request's caller: of its address, or of its organisation where callers identify
/// themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerHash(u64);

impl CallerHash {
    /// Returns the hash of a caller's address or organisation.
    pub fn of(caller: &[u8]) -> Self {
        Self(xxh3_64(caller))
    }
}

/// Hash of a request's method, target and body. Request IDs and other headers don't count, so that
/// a resumed stream is the same request.
///
/// Where callers identify themselves, the caller counts too. An address alone does not identify a
/// caller, since a caller may have several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request. `target` holds the host, and the path with the query.
    pub fn of(caller: Option<CallerHash>, method: &str, target: &[&str], body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let mut part = |bytes: &[u8]| {
            // The length separates the parts, so that no byte can move from one part into the next.
            hash.update(&(bytes.len() as u64).to_le_bytes());
            hash.update(bytes);
        };
        match caller {
            Some(caller) => part(&caller.0.to_le_bytes()),
            None => part(&[]),
        }
        part(method.as_bytes());
        target.iter().for_each(|text| part(text.as_bytes()));
        part(body);
        Self(hash.digest128())
    }

    /// Returns the fingerprint of a prompt part in requests to a service, for one of its models or
    /// for all. Its last 16 digits are the ID of the part, so that operators recognize it.
    pub(crate) fn of_part(service: &str, model: Option<&str>, part: u64) -> Self {
        let mut hash = Xxh3::new();
        hash.update(service.as_bytes());
        if let Some(model) = model {
            hash.update(&[0]);
            hash.update(model.as_bytes());
        }
        Self(u128::from(hash.digest()) << 64 | u128::from(part))
    }

    /// Returns what the fingerprint of a part has in common with those of other parts in requests to
    /// the same service or model.
    pub(crate) fn scope(self) -> u64 {
        (self.0 >> 64) as u64
    }

    /// Returns whether two fingerprints of parts are of the same part, for different models or for
    /// all.
    pub(crate) fn is_same_part(&self, other: &Self) -> bool {
        self.0 as u64 == other.0 as u64
    }

    /// Returns the fingerprint of requests that have all of some features.
    pub(crate) fn of_all(features: &[Self]) -> Self {
        match features {
            [feature] => *feature,
            _ => {
                let mut hash = Xxh3::new();
                for feature in features {
                    hash.update(&feature.0.to_le_bytes());
                }
                Self(hash.digest128())
            }
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Error for a text that is not a fingerprint as displayed: 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(content) if is_hex => Ok(Self(content)),
            _ => Err(ParseFingerprintError),
        }
    }
}
