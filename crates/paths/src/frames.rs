//! Bytes of a relayed connection between two VMs.
//!
//! The VM without a path connects to the relay and names the upstream. Then it sends the bytes for
//! the upstream as they are, and the relay answers in frames: one says whether the upstream was
//! reached, data follow, and the last one says how the upstream ended the connection. A connection
//! without that last frame was lost between the VMs, whatever its own end looks like.

use apricotdale_core::names::UpstreamName;

/// First byte of the request for a relayed connection. It changes with the format of what follows.
const FORMAT: u8 = 0x71;

/// Largest number of data bytes in a frame.
const MAX_DATA_BYTES: usize = u16::MAX as usize;

/// Bytes of a data frame before its data: the kind and the length.
const DATA_HEAD_BYTES: usize = 3;

const OPENED: u8 = 1;
const NOT_REACHED: u8 = 2;
const DATA: u8 = 3;
const CLOSED: u8 = 4;
const BROKEN: u8 = 5;
const LEAVING: u8 = 6;

/// Frame other than data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayNotice {
    /// The upstream was reached: bytes are passed on from now on.
    Opened,
    /// The upstream was not reached, and nothing was passed on.
    NotReached,
    /// The upstream closed the connection in an orderly way.
    Closed,
    /// The connection to the upstream broke.
    Broken,
    /// The relay stops: the connection must not be used for another exchange.
    Leaving,
}

impl RelayNotice {
    /// Returns the frame.
    pub fn bytes(self) -> [u8; 1] {
        [match self {
            Self::Opened => OPENED,
            Self::NotReached => NOT_REACHED,
            Self::Closed => CLOSED,
            Self::Broken => BROKEN,
            Self::Leaving => LEAVING,
        }]
    }
}

/// Bytes that don't follow the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedRelayBytes;

/// Returns the bytes that ask for a connection to an upstream.
pub fn relay_request(upstream: &UpstreamName) -> Vec<u8> {
    let name = upstream.as_str().as_bytes();
    let length = name.len().min(usize::from(u8::MAX));
    let mut bytes = vec![FORMAT, length as u8];
    bytes.extend_from_slice(&name[..length]);
    bytes
}

/// Returns the upstream that a request names and the length of the request; none if more bytes are
/// needed.
///
/// # Errors
///
/// [`MalformedRelayBytes`] for another format or a name that is no text.
pub fn parse_relay_request(
    bytes: &[u8],
) -> Result<Option<(UpstreamName, usize)>, MalformedRelayBytes> {
    match bytes {
        [] => Ok(None),
        [FORMAT] => Ok(None),
        [FORMAT, length, rest @ ..] => {
            let length = usize::from(*length);
            let Some(name) = rest.get(..length) else {
                return Ok(None);
            };
            let name = std::str::from_utf8(name).map_err(|_| MalformedRelayBytes)?;
            Ok(Some((UpstreamName::from(name), 2 + length)))
        }
        _ => Err(MalformedRelayBytes),
    }
}

/// Appends data frames with the bytes.
pub fn append_relay_data(frames: &mut Vec<u8>, bytes: &[u8]) {
    for part in bytes.chunks(MAX_DATA_BYTES) {
        frames.push(DATA);
        frames.extend_from_slice(&(part.len() as u16).to_be_bytes());
        frames.extend_from_slice(part);
    }
}

/// Progress of a relayed connection, as its frames tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayPhase {
    /// The relay has not answered yet.
    #[default]
    Opening,
    /// Bytes are passed on.
    Open,
    /// The relay did not reach the upstream.
    NotReached,
    /// The upstream closed the connection in an orderly way.
    Closed,
    /// The connection to the upstream broke.
    Broken,
}

/// Decoder of the relay's frames.
#[derive(Clone, Debug, Default)]
pub struct RelayReader {
    /// Head of a frame that has arrived in part.
    head: Vec<u8>,
    /// Bytes of the current data frame that have yet to come.
    data_left: usize,
    phase: RelayPhase,
    is_leaving: bool,
}

impl RelayReader {
    /// Decodes bytes and appends the upstream's data.
    ///
    /// # Errors
    ///
    /// [`MalformedRelayBytes`] for an unknown frame or one that can't follow the earlier ones.
    pub fn read(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<(), MalformedRelayBytes> {
        let mut bytes = bytes;
        while let Some((first, rest)) = bytes.split_first() {
            if self.data_left > 0 {
                let part = &bytes[..self.data_left.min(bytes.len())];
                data.extend_from_slice(part);
                self.data_left -= part.len();
                bytes = &bytes[part.len()..];
                continue;
            }
            self.head.push(*first);
            bytes = rest;
            let length = match self.head.as_slice() {
                [DATA, high, low] => usize::from(u16::from_be_bytes([*high, *low])),
                [DATA, ..] if self.head.len() < DATA_HEAD_BYTES => continue,
                _ => 0,
            };
            let kind = self.head[0];
            self.head.clear();
            match (kind, self.phase) {
                (DATA, RelayPhase::Open) => self.data_left = length,
                (OPENED, RelayPhase::Opening) => self.phase = RelayPhase::Open,
                (NOT_REACHED, RelayPhase::Opening) => self.phase = RelayPhase::NotReached,
                (CLOSED, RelayPhase::Open) => self.phase = RelayPhase::Closed,
                (BROKEN, RelayPhase::Open) => self.phase = RelayPhase::Broken,
                (LEAVING, _) => self.is_leaving = true,
                _ => return Err(MalformedRelayBytes),
            }
        }
        Ok(())
    }

    /// Returns the progress of the connection.
    pub fn phase(&self) -> RelayPhase {
        self.phase
    }

    /// Returns whether the relay has said that it stops.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
