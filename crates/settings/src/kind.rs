//! Kinds of values: what each allows and how it is read.

use std::net::SocketAddr;

use crate::cluster_key::ClusterKey;
use crate::cluster_key::MIN_KEY_BYTES;

/// The longest name.
const MAX_NAME_BYTES: usize = 64;

/// `Kind` is what a key's value must be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// An IP number and a port, where the daemon listens. Port 0 takes any free port.
    ListenAddress,
    /// An IP number and a port, where something else listens.
    RemoteAddress,
    /// A time in milliseconds.
    Milliseconds { min: u64, max: u64 },
    /// A size in bytes.
    Bytes { min: u64, max: u64 },
    /// A count.
    Count { min: u64, max: u64 },
    /// One of some words.
    Word(&'static [&'static str]),
    /// A path of a file.
    Path,
    /// The key that the daemons share.
    ClusterKey,
    /// The seed of the policies' random choices.
    Seed,
}

/// `Value` is a value that has been read.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    /// A name, a word or a path.
    Text(String),
    /// An address.
    Address(SocketAddr),
    /// A number.
    Number(u64),
    /// The key that the daemons share.
    Key(ClusterKey),
}

impl Kind {
    /// Returns what is allowed, in words.
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

    /// Returns whether a value must not be repeated in a message.
    pub(crate) fn is_secret(self) -> bool {
        matches!(self, Self::ClusterKey)
    }

    /// Returns the value that a text stands for, or none if it is not allowed.
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

/// Returns the number that decimal digits stand for. A sign is not allowed, which the standard
/// library's own reading would let pass.
fn parse_digits(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
