//! Faults of the answers of the platform's upstreams.

use crate::http::EarlyEnd;
#[cfg(doc)]
use crate::platform::answers::LARGE_BYTES;
use crate::platform::endless::EndlessPart;
use crate::platform::silence::SilencePoint;
use crate::platform::stream_faults::StreamFault;

/// What a wrong status stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StatusPlace {
    /// The usual answer.
    Answer,
    /// An answer whose body is the usual answer, with its head.
    AroundAnswer,
    /// A head without fields. Nothing follows, and the connection stays open.
    Alone,
    /// A head without fields, behind which the usual answer follows.
    BeforeAnswer,
}

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AnswerFault {
    /// The request is rejected before it runs.
    TurnedAway,
    /// The request runs and fails.
    Failed,
    /// The request runs, and the answer has the status of a rejection without saying that it is one.
    FailedWith {
        /// Status of the answer.
        status: u16,
    },
    /// The request runs, and its answer is lost.
    LostAnswer,
    /// The request runs, and no answer is ever sent.
    Mute,
    /// The stream sends nothing more after some events, and its connection stays open.
    MuteAfter {
        /// Number of events before the silence.
        events: u64,
    },
    /// The stream breaks after some events, in the middle of the next one.
    CutAfter {
        /// Number of complete events before the break.
        events: u64,
    },
    /// The stream has a fault in its contents.
    Stream(StreamFault),
    /// A request for all events is cut after some. A request for a remainder of three or more
    /// events gets a stream with a fault.
    CutThen {
        /// Number of complete events before the break.
        events: u64,
        /// Fault of the remainder's stream.
        then: StreamFault,
    },
    /// The upstream sends nothing for a time at one point of the answer, and then completes it.
    Silent {
        /// Point of the answer.
        at: SilencePoint,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// The body has [`LARGE_BYTES`] bytes.
    Large,
    /// The body is cut after [`LARGE_BYTES`] bytes.
    LargeCut,
    /// Nothing follows [`LARGE_BYTES`] bytes of the body, and the connection stays open.
    LargeStalled,
    /// The body never ends.
    Endless,
    /// Bytes come without end, of an answer or of none.
    EndlessPart {
        /// What comes again and again.
        part: EndlessPart,
        /// Time between two repetitions in milliseconds.
        gap_ms: u64,
    },
    /// The answer lacks its signature.
    Unsigned,
    /// The stream lacks its signature but is otherwise sent as usual.
    UnsignedStream,
    /// The request is rejected before it runs, and the body of the answer is never sent.
    TurnedAwayStalled,
    /// The request is rejected before it runs, and the body of the answer never ends.
    TurnedAwayEndless {
        /// Status of the rejection.
        status: u16,
    },
    /// A large number of interim answers precede the answer.
    ManyInterim,
    /// Another request's answer precedes the answer.
    CrossedFirst,
    /// A rejection without the ID of a request precedes the answer.
    UnidentifiedFirst {
        /// Status of the rejection.
        status: u16,
    },
    /// The answer states a load that no upstream can have.
    HugeLoad,
    /// Another request's answer, which states a load that no upstream can have, precedes the answer
    /// by a pause.
    HugeLoadFirst {
        /// Duration in milliseconds.
        pause_ms: u64,
    },
    /// Another answer follows the complete one.
    ExtraAfter,
    /// The answer has no length and ends with its connection.
    Unframed,
    /// The answer has no length and begins before the request's body has been read.
    EarlyUnframed {
        /// How the connection ends.
        end: EarlyEnd,
        /// Number of bytes that precede the usual body.
        filler_bytes: usize,
    },
    /// The answer names a length, and its connection is closed before that.
    UnframedCut,
    /// The connection is closed in the middle of the answer's head.
    CutHead {
        /// Header lines that state the length of the body.
        framing: &'static str,
        /// Number of bytes that are sent, less than those of the whole head.
        bytes: usize,
    },
    /// The bytes are not a valid HTTP answer.
    Garbage,
    /// A line of the answer's head is no field.
    MalformedField {
        /// The line.
        line: &'static str,
        /// Whether the line stands in an interim answer before the answer.
        is_interim: bool,
    },
    /// The answer's status is not that of a final answer.
    WrongStatus {
        /// The three digits of the status.
        code: &'static str,
        /// What the status stands in.
        place: StatusPlace,
    },
    /// The body has a content encoding.
    Encoded,
}
