//! What one VM has read, shared with the others.
//!
//! Each VM could read the configuration and the list by itself, at some 1.6 calls a second; with
//! hundreds of VMs and upstreams that is more than the store sends. The giver of orders reads them
//! anyway, and tells in its beats how fresh they are, which version is in force, which upstreams
//! serve and which have left. A VM that hears such beats reads only what it is told has changed.
//!
//! When the beats stop, or what the giver knows grows old, the VMs read for themselves again, soon
//! enough for the bounds on configuration and on leaving upstreams. They do not begin at the same
//! moment: each draws when it ends to rely on the last beat, and the first ones tell what they have
//! read, so that the others need not read at all. Feedback in multicast groups is suppressed the
//! same way (Nonnenmacher and Biersack, Scalable Feedback for Large Groups, IEEE/ACM Transactions
//! on Networking, 1999).

use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::departure::Departure;

/// How old the giver's list may be for others to go without reading it. The giver reads it each
/// 0.9 s.
const FRESH_LIST_MS: u64 = 1_300;

/// How old the giver's configuration may be. Its reads wait up to 2 s for a change and end then.
const FRESH_CONFIGURATION_MS: u64 = 2_300;

/// How long a beat counts. Beats come each 0.4 s, so one may be lost.
const BEAT_GOOD_MS: u64 = 900;

/// How old the list that a VM relies on may grow before it reads for itself. An upstream may have
/// left right after the giver's last read, and must get nothing 2 s later. Bounding the age of the
/// giver's list and the time for which a beat counts, each by itself, let it grow to 2.2 s.
const RELIED_LIST_MS: u64 = 1_800;

/// How long a VM repeats that an upstream has left.
const LEFT_REPEATED_MS: u64 = 2_500;

/// `Freshness` is what a beat tells of the giver's reads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// How long ago the configuration was read; none if it was not.
    pub configuration_age_ms: Option<u64>,
    /// How long ago the list was read; none if it was not.
    pub list_age_ms: Option<u64>,
    /// Whether no live upstream was missing from it for certain.
    pub list_complete: bool,
    /// How far the list was read.
    pub list_read_to: Position,
    /// What the upstreams' entries take if one VM reads them all; none if it is not known.
    pub list_bytes_per_s: Option<u64>,
    /// Which upstreams take new work, as a digest.
    pub listed: u64,
    /// The size of the copy in the store, if it names the same; 0 if there is none that does.
    pub copy_bytes: usize,
    /// What engines hold, as digests.
    pub held: Vec<u32>,
    /// Upstreams that left within the last seconds.
    pub left: Vec<Departure>,
}

impl Freshness {
    /// Returns whether other VMs may rely on it.
    pub fn is_fresh(&self) -> bool {
        self.good_ms(0).is_some()
    }

    /// Returns for how long other VMs may go without reading for themselves, if they spread the
    /// time at which they do; none if not at all.
    fn good_ms(&self, spread_ms: u64) -> Option<u64> {
        let configuration_age_ms = self.configuration_age_ms?;
        let list_age_ms = self.list_age_ms?;
        let is_fresh =
            list_age_ms <= FRESH_LIST_MS && configuration_age_ms <= FRESH_CONFIGURATION_MS;
        is_fresh.then(|| (BEAT_GOOD_MS + spread_ms).min(RELIED_LIST_MS - list_age_ms))
    }

    /// Returns how far the list was read in which no live upstream was missing; none if any may be.
    /// A VM that knows the same upstreams need not read what comes before. While some are missing
    /// it must: an upstream that it keeps for a time would be dropped if it skipped the entry with
    /// which that one comes back.
    pub fn complete_list_read_to(&self) -> Option<Position> {
        self.list_complete.then_some(self.list_read_to)
    }

    /// Returns when the giver read a list in which no live upstream was missing; none if it did
    /// not.
    pub fn complete_list_read_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.list_age_ms.filter(|_| self.list_complete)?;
        Some(now_ms.saturating_sub(age_ms))
    }
}

/// `ReadSharing` is what this VM shares, as the giver, or takes from the giver.
///
/// Times go in with each call; nothing here reads a clock.
#[derive(Debug, Default)]
pub struct ReadSharing {
    left: Vec<(Departure, u64)>,
    following_until_ms: u64,
    /// The newest version that a giver told of.
    announced_version: u64,
}

impl ReadSharing {
    /// Notes that an upstream left.
    pub fn record_recent_departure(&mut self, now_ms: u64, departure: Departure) {
        self.left.push((departure, now_ms + LEFT_REPEATED_MS));
    }

    /// Returns the upstreams that left within the last seconds.
    pub fn left(&mut self, now_ms: u64) -> Vec<Departure> {
        self.left.retain(|(_, until_ms)| *until_ms > now_ms);
        self.left.iter().map(|(left, _)| left.clone()).collect()
    }

    /// Takes in what another VM has read. `jitter_ms` is how much sooner than the others, at the most
    /// `spread_ms`, this VM reads for itself when it hears no more.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        fresh: &Freshness,
        spread_ms: u64,
        jitter_ms: u64,
    ) {
        self.record_announced_version(fresh.configuration);
        // An old word does not take back a newer one of another VM.
        if let Some(good_ms) = fresh.good_ms(spread_ms) {
            let until_ms = now_ms + good_ms.saturating_sub(jitter_ms);
            self.following_until_ms = self.following_until_ms.max(until_ms);
        }
    }

    /// Ends following: this VM is the giver itself.
    pub fn lead(&mut self) {
        self.following_until_ms = 0;
    }

    /// Returns whether this VM takes what the giver tells in place of its own reads.
    pub fn is_following(&self, now_ms: u64) -> bool {
        now_ms < self.following_until_ms
    }

    /// Returns until when it does.
    pub fn following_until_ms(&self) -> u64 {
        self.following_until_ms
    }

    /// Takes in a version of the configuration that is in force at another VM.
    pub fn record_announced_version(&mut self, version: u64) {
        self.announced_version = self.announced_version.max(version);
    }

    /// Returns the newest version that a giver told of.
    pub fn announced_version(&self) -> u64 {
        self.announced_version
    }
}
