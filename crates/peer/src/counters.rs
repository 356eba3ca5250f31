//! Counters of what was exchanged and of what was rejected.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// `Rejection` is the reason why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    /// It is shorter than the part that every message has.
    TooShort,
    /// It is longer than the limit.
    TooLong,
    /// It is of another version.
    WrongVersion,
    /// It was not made with the cluster key, or was changed since.
    BadTag,
    /// Its body is no message.
    Malformed,
    /// Its body names another sender than its envelope.
    SenderMismatch,
    /// It was sent to another VM.
    WrongRecipient,
    /// It was received before.
    Replayed,
}

impl Rejection {
    /// Lists every reason.
    pub const ALL: &'static [Self] = &[
        Self::TooShort,
        Self::TooLong,
        Self::WrongVersion,
        Self::BadTag,
        Self::Malformed,
        Self::SenderMismatch,
        Self::WrongRecipient,
        Self::Replayed,
    ];

    /// Returns the word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooShort => "too_short",
            Self::TooLong => "too_long",
            Self::WrongVersion => "wrong_version",
            Self::BadTag => "bad_tag",
            Self::Malformed => "malformed",
            Self::SenderMismatch => "sender_mismatch",
            Self::WrongRecipient => "wrong_recipient",
            Self::Replayed => "replayed",
        }
    }
}

const REASONS: usize = Rejection::ALL.len();

/// `PeerCounters` counts messages. The link and the server of one daemon may share it.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Requests that were answered.
    pub answered: AtomicU64,
    /// Requests that were sent and got an authentic reply.
    pub asked: AtomicU64,
    /// Requests that were not sent, because the peer could not be reached in time.
    pub unreachable: AtomicU64,
    /// Requests that were sent and got no authentic reply in time.
    pub unanswered: AtomicU64,
    /// Connections to peers that were closed to make room for others.
    pub evicted: AtomicU64,
    /// Connections from peers that were closed because there were too many.
    pub turned_away: AtomicU64,
    /// Connections from peers that were closed, whatever the cause.
    pub closed: AtomicU64,
    /// Requests that this VM could not answer, because its handler panicked.
    pub failed: AtomicU64,
    /// Bytes of messages sent.
    pub sent_bytes: AtomicU64,
    /// Bytes of messages received.
    pub received_bytes: AtomicU64,
    rejected: [AtomicU64; REASONS],
}

impl PeerCounters {
    /// Returns how many messages were rejected for a reason.
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns how many messages were rejected.
    pub fn rejected_in_all(&self) -> u64 {
        Rejection::ALL
            .iter()
            .map(|reason| self.rejected(*reason))
            .sum()
    }

    /// Counts a rejected message.
    pub(crate) fn reject(&self, reason: Rejection) {
        add(&self.rejected[reason as usize], 1);
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
