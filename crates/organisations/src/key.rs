//! API keys: what callers present, and how they are kept.

use std::fmt;
use std::sync::OnceLock;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use hmac::digest::CtOutput;
use sha2::Sha256;

/// The longest key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// `KeyFault` is why a text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyFault {
    /// It is empty.
    Empty,
    /// It is longer than 256 bytes.
    TooLong,
    /// It holds other than visible ASCII characters.
    BadCharacter,
    /// It is given under another authentication scheme.
    OtherScheme,
    /// There are several.
    Several,
}

impl KeyFault {
    /// Returns a sentence for the caller.
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

/// `SecretKey` is a key in clear. Its debug output does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretKey(String);

impl SecretKey {
    /// Returns the key that a text is.
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

/// `PresentedKey` is what a caller presents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    #[default]
    Missing,
    /// Something that is no key.
    Faulty(KeyFault),
    /// A key.
    Given(SecretKey),
}

/// `KeyHash` is the keyed hash of a key. Two are compared in constant time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyHash(CtOutput<Hmac<Sha256>>);

impl KeyHash {
    pub fn of(key: &SecretKey) -> Self {
        let mut mac = process_mac().clone();
        mac.update(key.0.as_bytes());
        Self(mac.finalize())
    }

    /// Returns a part of the hash by which it is found in a table. Nobody outside of the process can
    /// tell from the time that takes which key it stands for.
    pub fn index(&self) -> u64 {
        let bytes = self.0.as_bytes();
        let mut first = [0; 8];
        first.copy_from_slice(&bytes[..8]);
        u64::from_le_bytes(first)
    }
}

/// Returns the hash function under a secret that this process drew at its start.
fn process_mac() -> &'static Hmac<Sha256> {
    static MAC: OnceLock<Hmac<Sha256>> = OnceLock::new();
    MAC.get_or_init(|| {
        let secret: [u8; 32] = rand::random();
        Hmac::new_from_slice(&secret).expect("any length will do")
    })
}
