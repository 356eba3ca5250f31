//! Answers that go on without end and never become complete.

use std::time::Duration;

use crate::http::Endless;
use crate::http::Reply;

/// Number of bytes by which a line or a body grows at a time.
const GROWTH_BYTES: usize = 16;

/// Number of repetitions that are written at once if there is no time between them.
const FLOOD_REPETITIONS: usize = 2_000;

/// What an upstream sends again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EndlessPart {
    /// Bytes that are no head.
    Garbage,
    /// More of one header line.
    HeaderLine,
    /// Header lines.
    HeaderLines,
    /// Interim answers.
    InterimAnswers,
    /// More of a body that is no stream of events.
    PlainBody,
    /// Digits of the size of a chunk.
    ChunkSize,
    /// Comments of a stream of events.
    Comments,
    /// More of one event.
    Event,
}

impl EndlessPart {
    /// Returns the answer that begins with a head, given without the fields for its body and without
    /// the empty line behind it.
    pub(crate) fn reply(self, head: &str, gap_ms: u64) -> Reply {
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let events = format!("{head}Content-Type: text/event-stream\r\n{chunked}");
        let growth = "x".repeat(GROWTH_BYTES);
        let (before, repeated) = match self {
            Self::Garbage => (String::new(), "\u{1}\u{2}garbage\r\n".to_owned()),
            Self::HeaderLine => (format!("{head}Filler: "), growth),
            Self::HeaderLines => (head.to_owned(), format!("Filler: {growth}\r\n")),
            Self::InterimAnswers => (String::new(), "HTTP/1.1 103 Early\r\n\r\n".to_owned()),
            Self::PlainBody => (format!("{head}{chunked}"), chunk(&growth)),
            Self::ChunkSize => (events, "0".to_owned()),
            Self::Comments => (events, chunk(":zz\n")),
            Self::Event => (format!("{events}{}", chunk("data: ")), chunk(&growth)),
        };
        let repetitions = match gap_ms {
            0 => FLOOD_REPETITIONS,
            _ => 1,
        };
        Reply::Endless(Endless {
            before: before.into_bytes(),
            repeated: repeated.repeat(repetitions).into_bytes(),
            gap: Duration::from_millis(gap_ms),
        })
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
