//! Types of setting values: which texts each type allows, and how they are parsed.

use std::net::SocketAddr;

use crate::cluster_key::ClusterKey;
use crate::cluster_key::MIN_KEY_BYTES;

/// Longest name that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Type of a key's value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// Name of letters, digits, `-`, `_` and `.`.
    Name,
    /// IP address and port on which the daemon listens. Port 0 means any free port.
    ListenAddress,
    /// IP address and port of a service that the daemon connects to.
    RemoteAddress,
    /// Duration in milliseconds, within inclusive bounds.
    Milliseconds { min: u64, max: u64 },
    /// Size in bytes, within inclusive bounds.
    Bytes { min: u64, max: u64 },
    /// Number of things, within inclusive bounds.
    Count { min: u64, max: u64 },
    /// One of the listed words.
    Word(&'static [&'static str]),
    /// Path of a file.
    Path,
    /// Secret key that the daemons of the deployment share, in hexadecimal digits.
    ClusterKey,
    /// Seed of the policies' random choices.
    Seed,
}

/// Parsed value of a key.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    /// Name, word or path.
    Text(String),
    /// Listen address or remote address.
    Address(SocketAddr),
    /// Duration, size, count or seed.
    Number(u64),
    /// Secret key that the daemons of the deployment share.
    Key(ClusterKey),
}

impl Kind {
    /// Describes the allowed values, for messages and for the rows of `docs/SETTINGS.md`.
    pub(crate) fn allowed(self) -> String {
        match self {
            Self::Name => format!("a name of 1 to {MAX_NAME_BYTES} letters, digits, - _ and ."),
            Self::ListenAddress => "an IP number and a port, not a host name".to_owned(),
            Self::RemoteAddress => {
                "an IP number other than 0.0.0.0 or [::] and a port other than 0, not a host name"
                    .to_owned()
            }
            Self::Milliseconds { min, max } => {
                format!("a whole number of milliseconds from {min} to {max}, without a unit")
            }
            Self::Bytes { min, max } => {
                format!("a whole number of bytes from {min} to {max}, without a unit")
            }
            Self::Count { min, max } => format!("a whole number from {min} to {max}"),
            Self::Word(words) => format!("one of {}", words.join(", ")),
            Self::Path => "a path of a file".to_owned(),
            Self::ClusterKey => format!(
                "at least {} hexadecimal digits, an even number, not one byte repeated",
                2 * MIN_KEY_BYTES
            ),
            Self::Seed => "a whole number from 0 to 18446744073709551615".to_owned(),
        }
    }

    /// Returns whether messages must hide the value.
    pub(crate) fn is_secret(self) -> bool {
        matches!(self, Self::ClusterKey)
    }

    /// Parses a value, or returns `None` if the text is not allowed.
    pub(crate) fn read(self, text: &str) -> Option<Value> {
        match self {
            Self::Name => is_name(text).then(|| Value::Text(text.to_owned())),
            Self::ListenAddress => text.parse().ok().map(Value::Address),
            Self::RemoteAddress => {
                let address: SocketAddr = text.parse().ok()?;
                let is_usable = address.port() != 0 && !address.ip().is_unspecified();
                is_usable.then_some(Value::Address(address))
            }
            Self::Milliseconds { min, max }
            | Self::Bytes { min, max }
            | Self::Count { min, max } => {
                let number = parse_digits(text)?;
                (min..=max)
                    .contains(&number)
                    .then_some(Value::Number(number))
            }
            Self::Word(words) => words.contains(&text).then(|| Value::Text(text.to_owned())),
            Self::Path => (!text.is_empty()).then(|| Value::Text(text.to_owned())),
            Self::ClusterKey => ClusterKey::from_hex(text).map(Value::Key),
            Self::Seed => parse_digits(text).map(Value::Number),
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Parses decimal digits. Unlike `u64::from_str`, it rejects a leading `+`.
fn parse_digits(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
