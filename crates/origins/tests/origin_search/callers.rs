//! Callers of streams, who resume them with new attempts.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::RequestId;

use crate::engines::Writer;

/// Largest number of attempts of one caller.
pub const MAX_ATTEMPTS: u64 = 3;

#[derive(Clone, Debug)]
pub struct Caller {
    pub organisation: String,
    pub service: GroupName,
    /// ID of its first attempt, if it is not its own.
    pub repeated_id: Option<RequestId>,
    /// Whether another caller of its organisation uses the same ID.
    pub shares_id: bool,
    /// Number of events of the whole stream.
    pub wanted: usize,
    /// What wrote each event that it has.
    pub writers: Vec<Writer>,
    /// Number of its attempts so far; what belongs to earlier ones is void.
    pub attempt: u64,
    pub attempt_id: RequestId,
    /// Attempt that brought the first event.
    pub first: Option<RequestId>,
    pub is_connected: bool,
    pub is_done: bool,
    /// Time of the last event or of the start of the attempt.
    pub last_ms: u64,
    /// When the origin of the stream was recorded last.
    pub recorded_ms: Option<u64>,
    /// Whether what it received can't be held against this release: a VM of the release before
    /// served a part.
    pub is_exempt: bool,
    /// Whether its attempt has to be able to resume the stream.
    pub is_expected: bool,
    /// What happened to its attempts, for reports of broken promises.
    pub trail: Vec<String>,
}

impl Caller {
    pub fn new(organisation: String, service: GroupName, wanted: usize) -> Self {
        Self {
            organisation,
            service,
            repeated_id: None,
            shares_id: false,
            wanted,
            writers: Vec::new(),
            attempt: 0,
            attempt_id: RequestId::from(""),
            first: None,
            is_connected: false,
            is_done: false,
            last_ms: 0,
            recorded_ms: None,
            is_exempt: false,
            is_expected: false,
            trail: Vec::new(),
        }
    }

    /// Begins the next attempt.
    pub fn begin(&mut self, now_ms: u64, number: usize) {
        self.attempt += 1;
        self.attempt_id = match &self.repeated_id {
            Some(id) if self.attempt == 1 => id.clone(),
            _ => RequestId::from(format!("r-{number}-{}", self.attempt)),
        };
        self.last_ms = now_ms;
        self.is_connected = true;
        self.is_expected = false;
    }
}
