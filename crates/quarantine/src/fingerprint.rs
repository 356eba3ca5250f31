//! Telling whether two requests are the same one.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// `CallerHash` stands for the caller of a request: its address, or its organisation where callers
/// say who they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerHash(u64);

impl CallerHash {
    /// Returns the hash of a caller's name or address.
    pub fn of(caller: &[u8]) -> Self {
        Self(xxh3_64(caller))
    }
}

/// `Fingerprint` is the same for two requests with the same method, path and body, whatever their
/// ids. Other headers don't count, so that a stream that is resumed is the same request.
///
/// Where callers say who they are, the caller counts too. An address alone is none of that: one
/// caller comes from several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request. `target` is the host with the path and query.
    pub fn of(caller: Option<CallerHash>, method: &str, target: &[&str], body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let mut part = |bytes: &[u8]| {
            // The length keeps bytes from moving from one part into the next.
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
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// `ParseFingerprintError` says that a text is no fingerprint as it is displayed.
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
