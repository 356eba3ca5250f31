//! Timing of store reads that keeps many VMs from reading at the same moment.
//!
//! One event can make all VMs read at once: a common start, a missed heartbeat, a new version, the
//! end of an outage. All reads share the store's send rate, so simultaneous reads are answered one
//! after the other. A VM that times out after a fixed time asks again, the store serves both reads,
//! and the more VMs wait, the smaller the useful share of the store's answers. Such a metastable
//! failure outlasts its cause. So the timeout grows with what the other VMs may be reading, reads
//! caused by one event are spread by jitter, and the retries of all VMs together are bounded.

use xxhash_rust::xxh3::xxh3_64;

/// Contribution of each VM to the time over which reads caused by one event are spread.
const SPREAD_US_PER_VM: u64 = 1_500;

/// Maximum spread of reads caused by one event. Half a second more would use up the time that a VM
/// needs for its own read before a change has to be in force.
const MAX_SPREAD_MS: u64 = 400;

/// Maximum spread of reads of the list snapshot.
const MAX_SNAPSHOT_SPREAD_MS: u64 = 5_000;

/// Delay after a failed read, doubled with each further failure.
const MIN_RETRY_DELAY_MS: u64 = 100;

/// Maximum retry delay of a small fleet. The store must be read again soon after it comes back.
const MAX_RETRY_DELAY_MS: u64 = 400;

/// Contribution of each VM to the maximum retry delay, which bounds the retries of all VMs together
/// to 250 a second.
const MAX_RETRY_DELAY_MS_PER_VM: u64 = 4;

/// Time since the last answered read of the upstream list after which the next read times out. With
/// the retry delay and the following read it stays below the time in which entries can lapse, so a
/// VM that lost a single call need not take a removal for a lapse.
const MAX_LIST_READ_AGE_MS: u64 = 1_700;

/// Minimum timeout of a read of the upstream list.
const MIN_LIST_TIMEOUT_MS: u64 = 500;

/// Maximum timeout, in multiples of the time that reads of all VMs take.
const MAX_TIMEOUT_ROUNDS: u64 = 3;

/// Share of the store's send rate that reads of the upstreams' entries may take, over all VMs.
const LIST_RATE_SHARE: f64 = 0.25;

/// Number of VMs that read the upstreams' entries at once while the entries' rate is not known.
const DEFAULT_READERS: f64 = 30.0;

/// Minimum number of VMs that read the upstreams' entries, since one may be partitioned off.
const MIN_READERS: f64 = 3.0;

/// Time after which twice as many VMs read, if the previous readers have announced nothing.
const READER_DOUBLING_MS: u64 = 600;

/// Number of VMs assumed while it is not known, high enough that a VM that starts together with all
/// the others is not the first to time out.
const DEFAULT_VMS: u32 = 300;

/// Decides when a VM reads from the store and when its reads time out.
///
/// No method reads a clock or waits.
#[derive(Clone, Debug)]
pub struct ReadPacing {
    read_bytes_per_s: f64,
    vms: Option<u32>,
    /// Rate at which entries of the upstream list arrive at one VM that reads all of them.
    list_bytes_per_s: Option<u64>,
    seed: u64,
    draws: u64,
}

impl ReadPacing {
    /// Returns the pacing of a VM that reads from a store with this send rate. VMs must have
    /// different seeds, or they read at the same moments.
    pub fn new(read_bytes_per_s: f64, seed: u64) -> Self {
        Self {
            read_bytes_per_s,
            vms: None,
            list_bytes_per_s: None,
            seed,
            draws: 0,
        }
    }

    /// Sets the number of VMs in the fleet.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = Some(vms);
    }

    /// Sets the rate at which entries of the upstream list arrive at one VM that reads all of them.
    pub fn set_list_rate(&mut self, bytes_per_s: u64) {
        self.list_bytes_per_s = Some(bytes_per_s);
    }

    /// Returns the rate at which entries of the upstream list arrive at one VM that reads all of
    /// them, if it is known.
    pub fn list_rate(&self) -> Option<u64> {
        self.list_bytes_per_s
    }

    /// Returns the delay after which this VM reads the upstreams' entries itself unless another VM
    /// announces them, drawn anew with each call.
    ///
    /// If the reads of all VMs together would exceed the store's send rate, only some VMs start and
    /// announce their results; twice as many start after each interval without an announcement. If
    /// all started, none might get an answer in time to spare the others their reads.
    pub fn scheduled_read_ms(&mut self) -> u64 {
        let readers = match self.list_bytes_per_s {
            None => DEFAULT_READERS,
            Some(rate) => self.read_bytes_per_s * LIST_RATE_SHARE / rate.max(1) as f64,
        };
        let readers = readers.max(MIN_READERS);
        let vms = f64::from(self.vms.unwrap_or(1));
        let fraction = self.random_up_to_ms(1_000) as f64 / 1_000.0;
        let doublings = (fraction * vms / readers).max(1.0).log2().ceil();
        doublings as u64 * READER_DOUBLING_MS
    }

    /// Returns the time over which the reads of all VMs caused by one event are spread.
    pub fn spread_ms(&self) -> u64 {
        (u64::from(self.vms.unwrap_or(1)) * SPREAD_US_PER_VM / 1_000).min(MAX_SPREAD_MS)
    }

    /// Returns this VM's random delay within [`Self::spread_ms`], drawn anew with each call.
    pub fn jitter_ms(&mut self) -> u64 {
        let spread_ms = self.spread_ms();
        self.random_up_to_ms(spread_ms)
    }

    /// Returns this VM's random delay within the time in which all VMs can read an answer of this
    /// size at half of the store's send rate.
    pub fn jitter_for_answer_ms(&mut self, answer_bytes: usize) -> u64 {
        let bytes = f64::from(self.vms.unwrap_or(1)) * answer_bytes as f64;
        let round_ms = (2_000.0 * bytes / self.read_bytes_per_s) as u64;
        let spread_ms = self.spread_ms().max(round_ms).min(MAX_SNAPSHOT_SPREAD_MS);
        self.random_up_to_ms(spread_ms)
    }

    /// Returns a random time from 0 to `max_ms` inclusive, drawn anew with each call.
    pub fn random_up_to_ms(&mut self, max_ms: u64) -> u64 {
        self.draws += 1;
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&self.draws.to_le_bytes());
        xxh3_64(&bytes) % (max_ms + 1)
    }

    /// Returns the timeout of a read whose answer has this size, if a single VM would have it
    /// within `alone_ms`.
    ///
    /// The first read of a series waits for as long as reads of all VMs take. After failures the
    /// timeout is drawn at random, from up to a few times as long: if the store lost the call, some
    /// VM has to ask again soon, and announces the result to the others.
    pub fn answer_timeout_ms(&mut self, alone_ms: u64, answer_bytes: usize, failures: u32) -> u64 {
        let vms = self.vms.unwrap_or(DEFAULT_VMS);
        let round_s = f64::from(vms) * answer_bytes as f64 / self.read_bytes_per_s;
        let round_ms = (round_s * 1_000.0) as u64;
        match failures {
            0 => alone_ms + round_ms,
            _ => {
                let rounds = u64::from(failures + 1).min(MAX_TIMEOUT_ROUNDS);
                alone_ms + self.random_up_to_ms(round_ms * rounds)
            }
        }
    }

    /// Returns the timeout of a read of the upstream list that continues a read answered `age_ms`
    /// ago. Few VMs have read so lately, since the others receive announcements, and their answers
    /// are small, so the timeout does not allow for reads of all VMs.
    pub fn list_answer_timeout_ms(
        &mut self,
        alone_ms: u64,
        answer_bytes: usize,
        failures: u32,
        age_ms: Option<u64>,
    ) -> u64 {
        let answer_timeout_ms = self.answer_timeout_ms(alone_ms, answer_bytes, failures);
        let remaining_ms = age_ms.and_then(|age_ms| MAX_LIST_READ_AGE_MS.checked_sub(age_ms));
        match remaining_ms {
            Some(remaining_ms) if remaining_ms >= MIN_LIST_TIMEOUT_MS => {
                answer_timeout_ms.min(remaining_ms)
            }
            _ => answer_timeout_ms,
        }
    }

    /// Returns the delay before the next read after this number of consecutive failures.
    pub fn retry_delay_ms(&mut self, failures: u32) -> u64 {
        let vms = u64::from(self.vms.unwrap_or(1));
        let max_ms = MAX_RETRY_DELAY_MS.max(vms * MAX_RETRY_DELAY_MS_PER_VM);
        let retry_delay_ms = (MIN_RETRY_DELAY_MS << failures.saturating_sub(1).min(6)).min(max_ms);
        // The delay is partly random if other VMs may retry at the same moment.
        let random_ms = self.random_up_to_ms(retry_delay_ms / 2);
        match vms {
            0 | 1 => retry_delay_ms,
            _ => retry_delay_ms - retry_delay_ms / 4 + random_ms,
        }
    }
}
