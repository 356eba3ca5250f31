//! Bodies as callers read them, and what is wrong with them.

use std::collections::BTreeSet;

/// The versions of weights that the engines name, and the words of their events.
const TEXT_BY_VERSION: [(&str, &str); 2] = [("1", "piece"), ("2", "other piece")];

/// `Piece` is a whole event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// An event as engines send it.
    Event {
        /// Its number.
        id: u64,
        /// The version of the weights that made it.
        version: &'static str,
    },
    /// Anything else.
    Foreign,
}

/// `Tail` is what follows the last whole event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Nothing.
    Nothing,
    /// The beginning of the next event.
    Begun,
    /// Anything else.
    Foreign,
}

/// `StreamSeen` is the body of a stream as far as its caller got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamSeen {
    /// The first event that the caller did not have.
    pub first: u64,
    /// The last event of a whole stream.
    pub last: u64,
    /// The version of the weights that the head names.
    pub version: Option<String>,
    /// The whole events.
    pub pieces: Vec<Piece>,
    /// What follows them.
    pub tail: Tail,
}

/// `Flaw` is what is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It holds what no upstream sends for the request.
    Foreign,
    /// It was made by two versions of the weights, or by another than its head names.
    TwoVersions,
    /// Events are missing between others.
    Missing,
    /// The caller had an event already.
    Repeated,
    /// Its events are not in order.
    OutOfOrder,
    /// It goes on behind the last event.
    Beyond,
    /// It looks whole, and ends in the middle of an event.
    Unfinished,
    /// It looks whole, and its last events are missing.
    Short,
}

impl StreamSeen {
    /// Reads a body that should hold the events from `first` to `last`.
    pub fn read(body: &str, first: u64, last: u64, version: Option<String>) -> Self {
        let mut blocks: Vec<&str> = body.split("\n\n").collect();
        let rest = blocks.pop().unwrap_or_default();
        let pieces: Vec<Piece> = blocks.into_iter().map(piece).collect();
        let next = match pieces.last() {
            Some(Piece::Event { id, .. }) => id + 1,
            _ => first,
        };
        Self {
            first,
            last,
            version,
            pieces,
            tail: tail(rest, next),
        }
    }

    /// Returns the last event that the caller has now; none if it got no more.
    pub fn last_id(&self) -> Option<u64> {
        match self.pieces.last() {
            Some(Piece::Event { id, .. }) => Some(*id),
            _ => None,
        }
    }

    /// Returns what is wrong with the stream, given whether it looks whole.
    pub fn flaw(&self, whole: bool) -> Option<Flaw> {
        let mut ids = Vec::new();
        let mut versions: BTreeSet<&str> = BTreeSet::new();
        for piece in &self.pieces {
            let Piece::Event { id, version } = piece else {
                return Some(Flaw::Foreign);
            };
            ids.push(*id);
            versions.insert(version);
        }
        if !ids.is_empty() {
            versions.extend(self.version.as_deref());
        }
        let given: BTreeSet<u64> = ids.iter().copied().collect();
        let next = ids.last().map_or(self.first, |id| id + 1);
        let is_in_order = ids.is_sorted();
        let is_repeated = given.len() < ids.len() || ids.iter().any(|id| *id < self.first);
        match self.tail {
            _ if versions.len() > 1 => Some(Flaw::TwoVersions),
            _ if is_repeated => Some(Flaw::Repeated),
            _ if !is_in_order => Some(Flaw::OutOfOrder),
            _ if given.last() > Some(&self.last) => Some(Flaw::Beyond),
            _ if next - self.first > given.len() as u64 => Some(Flaw::Missing),
            Tail::Foreign => Some(Flaw::Foreign),
            Tail::Begun if whole => Some(Flaw::Unfinished),
            _ if whole && next <= self.last => Some(Flaw::Short),
            _ => None,
        }
    }
}

/// `BodySeen` is a body as far as its caller got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodySeen {
    /// That of a call.
    Plain {
        /// Whether it is what the upstream gives for the request.
        own: bool,
    },
    /// That of a stream.
    Stream(StreamSeen),
}

impl BodySeen {
    /// Returns what is wrong with the body, given whether it looks whole.
    pub fn flaw(&self, whole: bool) -> Option<Flaw> {
        match self {
            Self::Plain { own } => (!own).then_some(Flaw::Foreign),
            Self::Stream(stream) => stream.flaw(whole),
        }
    }
}

fn piece(block: &str) -> Piece {
    let event = |(version, words): (&'static str, &str)| {
        let (id, data) = block.strip_prefix("id: ")?.split_once('\n')?;
        let id: u64 = id.parse().ok()?;
        (data == format!("data: {words} {id}")).then_some(Piece::Event { id, version })
    };
    TEXT_BY_VERSION
        .into_iter()
        .find_map(event)
        .unwrap_or(Piece::Foreign)
}

/// Returns what the bytes behind the last whole event are, where a number is due.
fn tail(rest: &str, next: u64) -> Tail {
    let is_event = TEXT_BY_VERSION
        .iter()
        .any(|(_, words)| format!("id: {next}\ndata: {words} {next}\n").starts_with(rest));
    // Engines fill events that are too large to be held back with one letter.
    let is_oversize = rest
        .strip_prefix(&format!("id: {next}\ndata: "))
        .is_some_and(|data| data.bytes().all(|byte| byte == b'x'));
    match rest {
        "" => Tail::Nothing,
        _ if is_event || is_oversize => Tail::Begun,
        _ => Tail::Foreign,
    }
}
