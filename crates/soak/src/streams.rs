//! Bodies of answers as callers read them, and the flaws found in them.

use std::collections::BTreeSet;

/// Versions of weights that the engines name, each with the text of its events.
const TEXT_BY_VERSION: [(&str, &str); 2] = [("1", "piece"), ("2", "other piece")];

/// Versions of their software that engines run, each with the end of the text of its events.
const SUFFIX_BY_SOFTWARE: [(&str, &str); 3] = [("v1", ""), ("v2", " of v2"), ("v3", " of v3")];

/// Returns the versions of their software that engines run.
pub(crate) fn software_versions() -> [&'static str; SUFFIX_BY_SOFTWARE.len()] {
    SUFFIX_BY_SOFTWARE.map(|(version, _)| version)
}

/// Complete event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Event as engines send it.
    Event {
        /// Event ID.
        id: u64,
        /// Version of the weights that produced the event, known by its text.
        version: &'static str,
        /// Version of the software that wrote the event, known by its text.
        software: &'static str,
    },
    /// Text that no engine sends as an event.
    Foreign,
}

/// Bytes after the last complete event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// No bytes.
    Nothing,
    /// Beginning of the next event.
    Begun,
    /// Bytes that do not begin the next event.
    Foreign,
}

/// Body of a stream as far as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamSeen {
    /// ID of the first event that the caller did not have yet.
    pub first: u64,
    /// ID of the last event of a complete stream.
    pub last: u64,
    /// Version of the weights that the head of the answer names.
    pub version: Option<String>,
    /// Complete events.
    pub pieces: Vec<Piece>,
    /// Bytes after the last complete event.
    pub tail: Tail,
}

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// The body contains bytes that no upstream sends for the request.
    Foreign,
    /// Events come from two versions of the weights, or from another than the head names.
    TwoVersions,
    /// An event is missing before another that came.
    Missing,
    /// An event came that the caller already had.
    Repeated,
    /// The event IDs are not in order.
    OutOfOrder,
    /// Events follow the last event of a complete stream.
    Beyond,
    /// The stream looks complete but ends in the middle of an event.
    Unfinished,
    /// The stream looks complete but lacks its last events.
    Short,
}

impl StreamSeen {
    /// Parses a body that should contain the events with IDs from `first` to `last`.
    pub fn read(body: &str, first: u64, last: u64, version: Option<String>) -> Self {
        let mut blocks: Vec<&str> = body.split("\n\n").collect();
        let remainder = blocks.pop().unwrap_or_default();
        let pieces: Vec<Piece> = blocks.into_iter().map(parse_piece).collect();
        let next = match pieces.last() {
            Some(Piece::Event { id, .. }) => id + 1,
            _ => first,
        };
        Self {
            first,
            last,
            version,
            pieces,
            tail: classify_tail(remainder, next),
        }
    }

    /// Returns the ID of the last event that the body contains; none if it contains no event.
    pub fn last_id(&self) -> Option<u64> {
        match self.pieces.last() {
            Some(Piece::Event { id, .. }) => Some(*id),
            _ => None,
        }
    }

    /// Returns the versions of the software that wrote the complete events.
    pub fn software_versions(&self) -> BTreeSet<&'static str> {
        let pieces = self.pieces.iter();
        pieces
            .filter_map(|piece| match piece {
                Piece::Event { software, .. } => Some(*software),
                Piece::Foreign => None,
            })
            .collect()
    }

    /// Returns the flaw of the stream, if any, given whether it looks complete to the caller.
    pub fn flaw(&self, whole: bool) -> Option<Flaw> {
        let mut ids = Vec::new();
        let mut versions: BTreeSet<&str> = BTreeSet::new();
        for piece in &self.pieces {
            let Piece::Event { id, version, .. } = piece else {
                return Some(Flaw::Foreign);
            };
            ids.push(*id);
            versions.insert(version);
        }
        if !ids.is_empty() {
            versions.extend(self.version.as_deref());
        }
        let distinct: BTreeSet<u64> = ids.iter().copied().collect();
        let next = ids.last().map_or(self.first, |id| id + 1);
        let is_in_order = ids.is_sorted();
        let is_repeated = distinct.len() < ids.len() || ids.iter().any(|id| *id < self.first);
        match self.tail {
            _ if versions.len() > 1 => Some(Flaw::TwoVersions),
            _ if is_repeated => Some(Flaw::Repeated),
            _ if !is_in_order => Some(Flaw::OutOfOrder),
            _ if distinct.last() > Some(&self.last) => Some(Flaw::Beyond),
            _ if next - self.first > distinct.len() as u64 => Some(Flaw::Missing),
            Tail::Foreign => Some(Flaw::Foreign),
            Tail::Begun if whole => Some(Flaw::Unfinished),
            _ if whole && next <= self.last => Some(Flaw::Short),
            _ => None,
        }
    }
}

/// Body of an answer as far as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodySeen {
    /// Body of a call.
    Plain {
        /// Whether the body is what the upstream sends for this request, or the beginning of it if
        /// the answer broke off.
        own: bool,
    },
    /// Body of a stream.
    Stream(StreamSeen),
}

impl BodySeen {
    /// Returns the flaw of the body, if any, given whether it looks complete to the caller.
    pub fn flaw(&self, whole: bool) -> Option<Flaw> {
        match self {
            Self::Plain { own } => (!own).then_some(Flaw::Foreign),
            Self::Stream(stream) => stream.flaw(whole),
        }
    }
}

/// Returns the data that engines write in an event, with the versions of the weights and of the
/// software.
fn data_of_event(id: u64) -> impl Iterator<Item = (&'static str, &'static str, String)> {
    TEXT_BY_VERSION
        .into_iter()
        .flat_map(move |(version, words)| {
            SUFFIX_BY_SOFTWARE
                .into_iter()
                .map(move |(software, suffix)| (version, software, format!("{words} {id}{suffix}")))
        })
}

fn parse_piece(block: &str) -> Piece {
    let event = || {
        let (id, data) = block.strip_prefix("id: ")?.split_once('\n')?;
        let (id, data) = (id.parse().ok()?, data.strip_prefix("data: ")?);
        let (version, software, _) = data_of_event(id).find(|(.., text)| text == data)?;
        Some(Piece::Event {
            id,
            version,
            software,
        })
    };
    event().unwrap_or(Piece::Foreign)
}

/// Classifies the bytes after the last complete event; `next` is the ID of the event that is due.
fn classify_tail(remainder: &str, next: u64) -> Tail {
    let is_event = data_of_event(next)
        .any(|(.., text)| format!("id: {next}\ndata: {text}\n").starts_with(remainder));
    // Engines fill an event that is too large to be buffered with one letter.
    let is_oversize = remainder
        .strip_prefix(&format!("id: {next}\ndata: "))
        .is_some_and(|data| data.bytes().all(|byte| byte == b'x'));
    match remainder {
        "" => Tail::Nothing,
        _ if is_event || is_oversize => Tail::Begun,
        _ => Tail::Foreign,
    }
}
