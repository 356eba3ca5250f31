//! Sharing of one VM's reads with the other VMs.
//!
//! If each VM read the configuration and the upstream list by itself, at some 1.6 calls a second,
//! hundreds of VMs and upstreams would need more than the store can send. The lease holder reads
//! both anyway. Its heartbeats say how fresh they are, which version is in force, which upstreams
//! serve and which have left. A VM that receives such heartbeats reads only what has changed.
//!
//! When the heartbeats stop, or the lease holder's state grows old, the VMs read for themselves
//! again, soon enough for the bounds on configuration changes and on leaving upstreams. Each VM
//! stops relying on the last heartbeat after a random delay. The first VMs to read announce their
//! results, so that the others need not read at all. Feedback in multicast groups is suppressed the
//! same way (Nonnenmacher and Biersack, Scalable Feedback for Large Groups, IEEE/ACM Transactions
//! on Networking, 1999).

use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

use crate::departure::Departure;

/// Maximum age of the lease holder's reads at which others may go without their own. The lease holder
/// reads the upstream list every 0.9 s, and its reads of the configuration wait as long for a change.
const MAX_FRESH_AGE_MS: u64 = 1_300;

/// Validity of a heartbeat. Heartbeats are sent every 0.4 s, so one may be lost.
const HEARTBEAT_TTL_MS: u64 = 900;

/// Age at which a VM reads for itself instead of relying on another VM's read. An upstream may leave,
/// or a configuration may be acknowledged, right after the lease holder's last read, and both must
/// take effect within 2 s. Separate bounds on the age of the read and on the validity of a heartbeat
/// would add up to more.
const MAX_RELIED_AGE_MS: u64 = 1_800;

/// Time for which a VM repeats the announcement of a departure.
const DEPARTURE_REPEAT_MS: u64 = 2_500;

/// State of the lease holder's reads, as sent in its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Version of the configuration in force; 0 if the sender does not know it.
    pub configuration: u64,
    /// Age of the configuration read in milliseconds; `None` if it was never read.
    pub configuration_age_ms: Option<u64>,
    /// Age of the upstream list read in milliseconds; `None` if it was never read.
    pub list_age_ms: Option<u64>,
    /// Whether certainly no live upstream was missing from the upstream list.
    pub list_complete: bool,
    /// Position up to which the upstream list was read.
    pub list_read_to: Position,
    /// Rate at which entries of the upstream list arrive at one VM that reads all of them; `None`
    /// if it is not known.
    pub list_bytes_per_s: Option<u64>,
    /// Digest of the upstreams that accept new work ([`serving_digest`](crate::serving_digest)).
    pub listed: u64,
    /// Size in bytes of the stored list snapshot; 0 if there is none with the same upstreams.
    pub snapshot_bytes: usize,
    /// Digests of what engines hold ([`residence_digests`](crate::residence_digests)).
    pub held: Vec<u32>,
    /// Upstreams that left within the last seconds.
    pub left: Vec<Departure>,
    /// Digest of the software versions of the upstreams that accept new work
    /// ([`versions_digest`](crate::versions_digest)); `None` from an earlier release. It follows
    /// behind the message.
    #[serde(skip)]
    pub versions: Option<u64>,
}

impl Freshness {
    /// Returns whether other VMs may rely on these reads.
    pub fn is_fresh(&self) -> bool {
        self.ttl_ms(0).is_some()
    }

    /// Returns for how long another VM may go without reading for itself, if the VMs spread their
    /// reads over `spread_ms`; `None` if the reads are too old to rely on.
    fn ttl_ms(&self, spread_ms: u64) -> Option<u64> {
        let age_ms = self.configuration_age_ms?.max(self.list_age_ms?);
        let is_fresh = age_ms <= MAX_FRESH_AGE_MS;
        is_fresh.then(|| (HEARTBEAT_TTL_MS + spread_ms).min(MAX_RELIED_AGE_MS - age_ms))
    }

    /// Returns the position up to which a complete upstream list was read; `None` while live
    /// upstreams may be missing. A VM with the same upstreams need not read earlier positions.
    /// While some are missing it must: an upstream kept for now would be dropped if the VM skipped
    /// the entry with which that upstream comes back.
    pub fn complete_list_read_to(&self) -> Option<Position> {
        self.list_complete.then_some(self.list_read_to)
    }

    /// Returns when the lease holder read a complete upstream list; `None` if live upstreams may be
    /// missing from it or it was never read.
    pub fn complete_list_read_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.list_age_ms.filter(|_| self.list_complete)?;
        Some(now_ms.saturating_sub(age_ms))
    }
}

/// Reads that this VM shares as the lease holder, or uses from the lease holder.
///
/// Callers pass the current time to each call.
#[derive(Debug, Default)]
pub struct ReadSharing {
    left: Vec<(Departure, u64)>,
    following_until_ms: u64,
    /// Newest configuration version announced by another VM.
    announced_version: u64,
}

impl ReadSharing {
    /// Records a departure to be announced for the next seconds.
    pub fn record_recent_departure(&mut self, now_ms: u64, departure: Departure) {
        self.left.push((departure, now_ms + DEPARTURE_REPEAT_MS));
    }

    /// Returns the departures still to be announced.
    pub fn left(&mut self, now_ms: u64) -> Vec<Departure> {
        self.left.retain(|(_, until_ms)| *until_ms > now_ms);
        self.left.iter().map(|(left, _)| left.clone()).collect()
    }

    /// Handles the state of another VM's reads. `jitter_ms`, at most `spread_ms`, is how much
    /// earlier than the latest VM this one reads for itself when it receives nothing more.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        fresh: &Freshness,
        spread_ms: u64,
        jitter_ms: u64,
    ) {
        self.record_announced_version(fresh.configuration);
        // An older heartbeat does not shorten the validity of a newer one from another VM.
        if let Some(ttl_ms) = fresh.ttl_ms(spread_ms) {
            let until_ms = now_ms + ttl_ms.saturating_sub(jitter_ms);
            self.following_until_ms = self.following_until_ms.max(until_ms);
        }
    }

    /// Stops relying on other VMs: this VM is the lease holder itself.
    pub fn lead(&mut self) {
        self.following_until_ms = 0;
    }

    /// Returns whether this VM uses the lease holder's reads in place of its own.
    pub fn is_following(&self, now_ms: u64) -> bool {
        now_ms < self.following_until_ms
    }

    /// Returns the time from which on this VM reads for itself.
    pub fn following_until_ms(&self) -> u64 {
        self.following_until_ms
    }

    /// Records a configuration version that is in force at another VM.
    pub fn record_announced_version(&mut self, version: u64) {
        self.announced_version = self.announced_version.max(version);
    }

    /// Returns the newest configuration version announced by another VM; 0 if there was none.
    pub fn announced_version(&self) -> u64 {
        self.announced_version
    }
}
