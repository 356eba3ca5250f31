//! Streams with faults in their contents, as opposed to the end of their connection.

use crate::http::Raw;
use crate::platform::answers::ID;
use crate::platform::answers::NOT_RUN;
use crate::platform::answers::SIGNATURE;
use crate::platform::answers::VERSION;
use crate::platform::event_texts::EventTexts;

/// Version of the weights that [`StreamFault::OtherVersion`] names.
const OTHER_VERSION: u64 = 2;

/// Size of an event that is larger than what any program buffers of one event.
const OVERSIZE_BYTES: usize = 300 * 1024;

/// Fault in the contents of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamFault {
    /// The first event is left out.
    Skips,
    /// The stream begins one event too early.
    Repeats,
    /// The stream begins with event 1, whichever events the client has.
    BeginsAnew,
    /// The event IDs go back in the middle.
    GoesBack,
    /// The second event is left out.
    SkipsLater,
    /// The events have no IDs.
    Unnumbered,
    /// The body is empty.
    Empty,
    /// The body is not a stream but JSON.
    OtherContent,
    /// The answer is a failure, with status 500.
    Failed,
    /// The answer is a refusal which says that nothing ran.
    TurnedAway,
    /// The answer has status 204 and no body.
    NoContent,
    /// The answer has status 302.
    Redirect,
    /// An interim answer is sent, and the connection ends.
    InterimOnly,
    /// The answer and its events come from another version of the weights.
    OtherVersion,
    /// The body has no length, and the connection is closed in the middle of an event.
    ClosedInside,
    /// The body is complete by its length but ends in the middle of an event.
    EndsInside,
    /// The connection is closed in the middle of an event that is too large to be buffered.
    OversizeClosedInside,
}

/// Framing by which the end of a body is marked.
enum Framing {
    Length,
    Close,
}

impl StreamFault {
    /// Faults of an answer that is to continue another engine's events.
    pub const CONTINUATION_FAULTS: [Self; 16] = [
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

    /// Returns the answer to a request for the events from `first` to `last`. `fields` are further
    /// header lines.
    pub(crate) fn answer(
        self,
        id: &str,
        instance: &str,
        fields: &str,
        texts: &EventTexts,
        first: u64,
        last: u64,
    ) -> Raw {
        let events = |events: std::ops::RangeInclusive<u64>| -> String {
            events.map(|event| texts.event(event)).collect()
        };
        let begun = format!("{}id: {}\ndata: pie", texts.event(first), first + 1);
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
                let event = |event| format!("data: {}\n\n", texts.words(event));
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
                    keep_alive: false,
                };
            }
            Self::OtherVersion => {
                let event = |event| format!("id: {event}\ndata: other {}\n\n", texts.words(event));
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
             {VERSION}: {version}\r\nContent-Type: {content_type}\r\n{fields}"
        );
        if self == Self::TurnedAway {
            head.push_str(&format!("{NOT_RUN}: 1\r\n"));
        }
        let keep_alive = match framing {
            Framing::Length if status == 204 => true,
            Framing::Length => {
                head.push_str(&format!("Content-Length: {}\r\n", body.len()));
                true
            }
            Framing::Close => false,
        };
        Raw {
            bytes: format!("{head}\r\n{body}").into_bytes(),
            keep_alive,
        }
    }
}
