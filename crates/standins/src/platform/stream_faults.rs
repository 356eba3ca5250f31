//! Streams that are spoiled by what they hold, not by how their connection ends.

use crate::http::Raw;
use crate::platform::serving::ID;
use crate::platform::serving::NOT_RUN;
use crate::platform::serving::SIGNATURE;
use crate::platform::serving::VERSION;
use crate::platform::serving::event_text;

/// The version of the weights of which [`StreamFault::OtherVersion`] tells.
const OTHER_VERSION: u64 = 2;

/// Longer than any program holds back of one event.
const OVERSIZE_BYTES: usize = 300 * 1024;

/// `StreamFault` is how a stream is spoiled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamFault {
    /// It leaves out its first event.
    Skips,
    /// It begins one event too early.
    Repeats,
    /// It begins with the first event of all, whatever the client has.
    BeginsAnew,
    /// Its numbers go back in the middle.
    GoesBack,
    /// It leaves out an event in the middle.
    SkipsLater,
    /// Its events have no numbers.
    Unnumbered,
    /// It ends at once.
    Empty,
    /// It is no stream but a JSON text.
    OtherContent,
    /// It is a failure of the engine's own.
    Failed,
    /// It is a refusal that says that nothing ran.
    TurnedAway,
    /// It is 204, without a body.
    NoContent,
    /// It is 302, to another place.
    Redirect,
    /// An interim answer, and the connection ends.
    InterimOnly,
    /// It was made by other weights.
    OtherVersion,
    /// It has no length, and its connection is closed in the middle of an event.
    ClosedInside,
    /// It is whole by its length, and ends in the middle of an event.
    EndsInside,
    /// An event that is too large to be held back is broken off by the close of the connection.
    OversizeClosedInside,
}

/// How the end of a body is told.
enum Framing {
    Length,
    Close,
}

impl StreamFault {
    /// Ways in which an engine may spoil what it sends behind another's events.
    pub const RESTS: [Self; 16] = [
        Self::Skips,
        Self::Repeats,
        Self::BeginsAnew,
        Self::GoesBack,
        Self::SkipsLater,
        Self::Unnumbered,
        Self::Empty,
        Self::OtherContent,
        Self::Failed,
        Self::NoContent,
        Self::Redirect,
        Self::InterimOnly,
        Self::OtherVersion,
        Self::ClosedInside,
        Self::EndsInside,
        Self::OversizeClosedInside,
    ];

    /// Returns the answer to a request for the events from `first` to `last`.
    pub(crate) fn answer(self, id: &str, instance: &str, first: u64, last: u64) -> Raw {
        let events =
            |events: std::ops::RangeInclusive<u64>| -> String { events.map(event_text).collect() };
        let begun = format!("{}id: {}\ndata: pie", event_text(first), first + 1);
        let (status, body, framing) = match self {
            Self::Skips => (200, events(first + 1..=last), Framing::Length),
            Self::Repeats => (200, events(first - 1..=last), Framing::Length),
            Self::BeginsAnew => (200, events(1..=last), Framing::Length),
            Self::GoesBack => (
                200,
                events(first..=first + 1) + &events(first..=last),
                Framing::Length,
            ),
            Self::SkipsLater => (
                200,
                events(first..=first) + &events(first + 2..=last),
                Framing::Length,
            ),
            Self::Unnumbered => {
                let event = |event| format!("data: piece {event}\n\n");
                (200, (first..=last).map(event).collect(), Framing::Length)
            }
            Self::Empty => (200, String::new(), Framing::Length),
            Self::OtherContent => (200, "{\"text\":\"whole\"}".to_owned(), Framing::Length),
            Self::Failed => (500, "{\"error\":\"failed\"}".to_owned(), Framing::Length),
            Self::TurnedAway => (503, "{}".to_owned(), Framing::Length),
            Self::NoContent => (204, String::new(), Framing::Length),
            Self::Redirect => (302, String::new(), Framing::Length),
            Self::InterimOnly => {
                return Raw {
                    bytes: b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(),
                    keeps: false,
                };
            }
            Self::OtherVersion => {
                let event = |event| format!("id: {event}\ndata: other piece {event}\n\n");
                (200, (first..=last).map(event).collect(), Framing::Length)
            }
            Self::ClosedInside => (200, begun, Framing::Close),
            Self::EndsInside => (200, begun, Framing::Length),
            Self::OversizeClosedInside => {
                let filler = "x".repeat(OVERSIZE_BYTES);
                (200, format!("id: {first}\ndata: {filler}"), Framing::Close)
            }
        };
        let content_type = match self {
            Self::OtherContent | Self::Failed | Self::TurnedAway => "application/json",
            _ => "text/event-stream",
        };
        let version = match self {
            Self::OtherVersion => OTHER_VERSION,
            _ => 1,
        };
        let mut head = format!(
            "HTTP/1.1 {status} Status\r\n{ID}: {id}\r\n{SIGNATURE}: s.{instance}\r\n\
             {VERSION}: {version}\r\nContent-Type: {content_type}\r\n"
        );
        if self == Self::TurnedAway {
            head.push_str(&format!("{NOT_RUN}: 1\r\n"));
        }
        let keeps = match framing {
            Framing::Length if status == 204 => true,
            Framing::Length => {
                head.push_str(&format!("Content-Length: {}\r\n", body.len()));
                true
            }
            Framing::Close => false,
        };
        Raw {
            bytes: format!("{head}\r\n{body}").into_bytes(),
            keeps,
        }
    }
}
