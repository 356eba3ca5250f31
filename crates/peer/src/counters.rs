//! Counters of exchanged and rejected messages.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Reason for which a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    /// The message is shorter than the head of every message.
    TooShort,
    /// The message exceeds the configured limit.
    TooLong,
    /// The message has another format version.
    WrongVersion,
    /// The message was not created with the cluster key, or was altered.
    BadTag,
    /// The body can't be decoded.
    Malformed,
    /// The request in the body names another sender than the envelope.
    SenderMismatch,
    /// The message is addressed to another VM.
    WrongRecipient,
    /// The message was received before, or its sequence number lies below the replay window.
    Replayed,
}

impl Rejection {
    /// All reasons, in the order of their counters.
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

    /// Returns the name used in logs and metrics.
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

const REASON_COUNT: usize = Rejection::ALL.len();

/// Counters of messages. The link and the server of one daemon may share them.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Number of received requests that were answered.
    pub answered: AtomicU64,
    /// Number of sent requests that got an authentic reply.
    pub replied: AtomicU64,
    /// Number of requests that were not sent because the peer could not be reached in time.
    pub unreachable: AtomicU64,
    /// Number of sent requests without any reply in time.
    pub unanswered: AtomicU64,
    /// Number of connections to peers that were evicted from the pool.
    pub evicted: AtomicU64,
    /// Number of connections from peers that were closed because there were too many.
    pub rejected_connections: AtomicU64,
    /// Number of connections from peers that were closed for any reason.
    pub closed: AtomicU64,
    /// Number of received requests whose handler panicked.
    pub failed: AtomicU64,
    /// Number of bytes of sent messages.
    pub sent_bytes: AtomicU64,
    /// Number of bytes of received messages.
    pub received_bytes: AtomicU64,
    rejected: [AtomicU64; REASON_COUNT],
}

impl PeerCounters {
    /// Returns the number of messages rejected for a reason.
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of messages rejected for any reason.
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

pub(crate) fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}
