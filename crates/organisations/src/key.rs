//! API keys as presented by callers, and their hashes.

use std::fmt;
use std::sync::OnceLock;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use hmac::digest::CtOutput;
use sha2::Sha256;

/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 256;

/// Reason for which a text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyFault {
    /// The key is empty.
    Empty,
    /// The key is longer than 256 bytes.
    TooLong,
    /// The key contains other than visible ASCII characters.
    BadCharacter,
    /// The request uses an authentication scheme other than `Token`.
    OtherScheme,
    /// The request has more than one key.
    Several,
}

impl KeyFault {
    /// Returns the reason as a text for the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "the key is empty",
            Self::TooLong => "the key is longer than 256 bytes",
            Self::BadCharacter => "the key holds other than visible ASCII characters",
            Self::OtherScheme => "the authentication scheme is not Token",
            Self::Several => "the request has several keys",
        }
    }
}

impl fmt::Display for KeyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// API key in plain text. Its `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey(String);

impl SecretKey {
    /// Returns the key with this text.
    ///
    /// # Errors
    ///
    /// [`KeyFault::Empty`], [`KeyFault::TooLong`] or [`KeyFault::BadCharacter`].
    pub fn parse(text: &str) -> Result<Self, KeyFault> {
        match text {
            "" => Err(KeyFault::Empty),
            _ if text.len() > MAX_KEY_BYTES => Err(KeyFault::TooLong),
            _ if !text.bytes().all(|byte| byte.is_ascii_graphic()) => Err(KeyFault::BadCharacter),
            _ => Ok(Self(text.to_owned())),
        }
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(..)")
    }
}

/// Key of a request, as far as the caller presents one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    #[default]
    Missing,
    /// The request has an invalid key, or several.
    Faulty(KeyFault),
    /// The request has a well-formed key, which need not be known.
    Given(SecretKey),
}

/// Keyed hash of an API key. Two hashes are compared in constant time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyHash(CtOutput<Hmac<Sha256>>);

impl KeyHash {
    pub fn of(key: &SecretKey) -> Self {
        let mut mac = process_mac().clone();
        mac.update(key.0.as_bytes());
        Self(mac.finalize())
    }

    /// Returns the first bytes of the hash, as the key of a hash table. The time of a lookup
    /// reveals nothing about the API key, since the hash depends on a secret of this process.
    pub fn index(&self) -> u64 {
        let bytes = self.0.as_bytes();
        let mut first = [0; 8];
        first.copy_from_slice(&bytes[..8]);
        u64::from_le_bytes(first)
    }
}

/// Returns the hash function, keyed with a random secret that is drawn once per process.
fn process_mac() -> &'static Hmac<Sha256> {
    static MAC: OnceLock<Hmac<Sha256>> = OnceLock::new();
    MAC.get_or_init(|| {
        let secret: [u8; 32] = rand::random();
        Hmac::new_from_slice(&secret).expect("any length will do")
    })
}
