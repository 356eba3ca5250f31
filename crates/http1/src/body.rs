//! Incremental decoding of message bodies.

use crate::errors::Error;
use crate::errors::Result;
use crate::head::BodyLength;

/// Maximum length of a chunk-size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Maximum number of trailer lines, which are read and dropped.
const MAX_TRAILERS: u32 = 32;

/// Result of one call of [`BodyDecoder::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyProgress {
    /// Number of input bytes that were consumed, framing included. Bytes behind the body are not.
    pub consumed: usize,
    /// Whether the body is complete.
    pub is_complete: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Bytes(u64),
    ChunkLength,
    ChunkBytes(u64),
    ChunkEnd,
    Trailers(u32),
    UntilClose,
    Complete,
}

/// Decoder of one body, which keeps its state between calls.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Returns a decoder for a body with this framing.
    pub fn new(length: BodyLength) -> Self {
        let state = match length {
            BodyLength::Bytes(0) => State::Complete,
            BodyLength::Bytes(bytes) => State::Bytes(bytes),
            BodyLength::Chunked => State::ChunkLength,
            BodyLength::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns whether the body is complete if the connection is closed now in an orderly way.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::UntilClose)
    }

    /// Consumes bytes of the input and appends the decoded bytes of the body to `output`.
    ///
    /// # Errors
    ///
    /// [`Error::MalformedChunk`] if the chunked framing is invalid.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<BodyProgress> {
        let mut consumed = 0;
        while let Some(step) = self.step(&input[consumed..], output)? {
            consumed += step;
            if self.is_complete() {
                break;
            }
        }
        Ok(BodyProgress {
            consumed,
            is_complete: self.is_complete(),
        })
    }

    /// Decodes one element of the framing and returns how many bytes it consumed; none if more
    /// bytes are needed.
    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<Option<usize>> {
        if input.is_empty() && self.state != State::Complete {
            return Ok(None);
        }
        match self.state {
            State::Complete => Ok(None),
            State::UntilClose => {
                output.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            State::Bytes(remaining) => {
                let taken = consume(remaining, input, output);
                self.state = match remaining - taken as u64 {
                    0 => State::Complete,
                    remaining => State::Bytes(remaining),
                };
                Ok(Some(taken))
            }
            State::ChunkBytes(remaining) => {
                let taken = consume(remaining, input, output);
                self.state = match remaining - taken as u64 {
                    0 => State::ChunkEnd,
                    remaining => State::ChunkBytes(remaining),
                };
                Ok(Some(taken))
            }
            State::ChunkLength => self.decode_chunk_size(input),
            State::ChunkEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.state = State::ChunkLength;
                    Ok(Some(2))
                }
                [b'\r'] => Ok(None),
                _ => Err(Error::MalformedChunk),
            },
            State::Trailers(count) => self.drop_trailer(input, count),
        }
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<Option<usize>> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((length, bytes))) => {
                self.state = match bytes {
                    0 => State::Trailers(0),
                    bytes => State::ChunkBytes(bytes),
                };
                Ok(Some(length))
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => Ok(None),
            _ => Err(Error::MalformedChunk),
        }
    }

    /// Drops one trailer line. An empty line ends the body.
    fn drop_trailer(&mut self, input: &[u8], count: u32) -> Result<Option<usize>> {
        let end = input.windows(2).position(|pair| pair == b"\r\n");
        match end {
            Some(0) => {
                self.state = State::Complete;
                Ok(Some(2))
            }
            Some(end) if end <= MAX_LINE_BYTES && count < MAX_TRAILERS => {
                self.state = State::Trailers(count + 1);
                Ok(Some(end + 2))
            }
            None if input.len() <= MAX_LINE_BYTES => Ok(None),
            _ => Err(Error::MalformedChunk),
        }
    }
}

fn consume(remaining: u64, input: &[u8], output: &mut Vec<u8>) -> usize {
    let taken = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(input.len());
    output.extend_from_slice(&input[..taken]);
    taken
}
