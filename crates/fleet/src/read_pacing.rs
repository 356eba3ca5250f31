//! How many VMs share the store's reads without falling into step.
//!
//! What one VM does at a moment, all may do at that moment: start, miss a beat, hear of a new
//! version, come back from an outage. The store's reads share a rate, so the answers to reads in
//! step come one behind the other. A VM that gives an answer up after a fixed time asks for it
//! again, the store serves both, and the more VMs wait, the less of what the store sends is of use
//! to anybody; such a collapse outlives its cause. So the time allowed for an answer grows with
//! what the others may be reading, reads that are caused by one event are spread, and the retries
//! of all VMs together are bounded.

use xxhash_rust::xxh3::xxh3_64;

/// What each VM adds to the time over which VMs spread a read that one event causes.
const SPREAD_US_A_VM: u64 = 1_500;

/// The longest such time. Half a second more would take what a VM's own read needs of the time in
/// which a change has to be in force.
const MAX_SPREAD_MS: u64 = 400;

/// The longest time over which reads of the copy are spread.
const MOST_COPY_SPREAD_MS: u64 = 5_000;

/// The pause after a read that failed, doubled with each further one.
const PAUSE_MS: u64 = 100;

/// The longest such pause of a small fleet. The store must be read again soon after it comes back.
const MAX_PAUSE_MS: u64 = 400;

/// What each VM adds to the longest pause, so that all VMs together retry 250 times a second at
/// most.
const MAX_PAUSE_MS_A_VM: u64 = 4;

/// How long after the last answered read of the list the next one is given up. With the pause and
/// the read after it that is less than the time in which entries can lapse, so a VM that lost a
/// single call need not take a removal for a lapse.
const LIST_GIVEN_UP_MS: u64 = 1_700;

/// The least time for which an answer of the list is awaited.
const LEAST_LIST_PATIENCE_MS: u64 = 500;

/// How many times as long as reads of all VMs take an answer is awaited at the most.
const MOST_ROUNDS: u64 = 3;

/// The share of the store's rate that the upstreams' entries may take, over all VMs that read them.
const LIST_SHARE: f64 = 0.25;

/// VMs that read the upstreams' entries at once as long as it is not known how much they are.
const UNKNOWN_READERS: f64 = 30.0;

/// The fewest VMs that read them. One might be cut off from the others.
const FEWEST_READERS: f64 = 3.0;

/// The time after which twice as many VMs read, if those before have told nothing.
const TURN_MS: u64 = 600;

/// How many VMs there may be as long as that is not known: a VM that starts with all the others
/// must not be the first to give up.
const UNKNOWN_VMS: u32 = 300;

/// `ReadPacing` tells when a VM reads and how long it waits for the answer.
///
/// Times go in with each call; nothing here reads a clock.
#[derive(Clone, Debug)]
pub struct ReadPacing {
    read_bytes_per_s: f64,
    vms: Option<u32>,
    /// What the upstreams' entries take if one VM reads them all; none before that is known.
    list_bytes_per_s: Option<u64>,
    seed: u64,
    draws: u64,
}

impl ReadPacing {
    /// Returns the pacing of a VM. VMs must have different seeds, or they fall into step.
    pub fn new(read_bytes_per_s: f64, seed: u64) -> Self {
        Self {
            read_bytes_per_s,
            vms: None,
            list_bytes_per_s: None,
            seed,
            draws: 0,
        }
    }

    /// Takes in how many VMs there are.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = Some(vms);
    }

    /// Takes in what the upstreams' entries take if one VM reads them all.
    pub fn set_list_rate(&mut self, bytes_per_s: u64) {
        self.list_bytes_per_s = Some(bytes_per_s);
    }

    /// Returns what the upstreams' entries take if one VM reads them all, if that is known.
    pub fn list_rate(&self) -> Option<u64> {
        self.list_bytes_per_s
    }

    /// Returns after how long without word of another VM this one reads the upstreams' entries
    /// itself, drawn anew with each call.
    ///
    /// Of a fleet whose reads together would be more than the store sends only some VMs begin, and
    /// tell the others; twice as many after each turn in which nobody has told anything. If all
    /// began, none might get an answer in time to be of use to another, and all would go on to
    /// read.
    pub fn turn_ms(&mut self) -> u64 {
        let readers = match self.list_bytes_per_s {
            None => UNKNOWN_READERS,
            Some(rate) => self.read_bytes_per_s * LIST_SHARE / rate.max(1) as f64,
        };
        let readers = readers.max(FEWEST_READERS);
        let vms = f64::from(self.vms.unwrap_or(1));
        let drawn = self.random_up_to_ms(1_000) as f64 / 1_000.0;
        let turns = (drawn * vms / readers).max(1.0).log2().ceil();
        turns as u64 * TURN_MS
    }

    /// Returns the time over which all VMs spread a read that one event causes.
    pub fn spread_ms(&self) -> u64 {
        (u64::from(self.vms.unwrap_or(1)) * SPREAD_US_A_VM / 1_000).min(MAX_SPREAD_MS)
    }

    /// Returns this VM's share of that time, drawn anew with each call.
    pub fn jitter_ms(&mut self) -> u64 {
        let spread_ms = self.spread_ms();
        self.random_up_to_ms(spread_ms)
    }

    /// Returns this VM's share of a time over which all VMs can read an answer of this size, with
    /// half of what the store sends.
    pub fn jitter_for_answer_ms(&mut self, answer_bytes: usize) -> u64 {
        let bytes = f64::from(self.vms.unwrap_or(1)) * answer_bytes as f64;
        let round_ms = (2_000.0 * bytes / self.read_bytes_per_s) as u64;
        let spread_ms = self.spread_ms().max(round_ms).min(MOST_COPY_SPREAD_MS);
        self.random_up_to_ms(spread_ms)
    }

    /// Returns a time from none to this one, drawn anew with each call.
    pub fn random_up_to_ms(&mut self, most_ms: u64) -> u64 {
        self.draws += 1;
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&self.draws.to_le_bytes());
        xxh3_64(&bytes) % (most_ms + 1)
    }

    /// Returns how long an answer of this size is awaited, which one VM alone would have within
    /// `alone_ms`.
    ///
    /// The first time it is as long as reads of all VMs take. Later it is drawn from up to some
    /// times as long: if the store swallowed the call, somebody has to ask again soon, and tells
    /// the others.
    pub fn answer_timeout_ms(&mut self, alone_ms: u64, answer_bytes: usize, failures: u32) -> u64 {
        let vms = self.vms.unwrap_or(UNKNOWN_VMS);
        let round_s = f64::from(vms) * answer_bytes as f64 / self.read_bytes_per_s;
        let round_ms = (round_s * 1_000.0) as u64;
        match failures {
            0 => alone_ms + round_ms,
            _ => {
                let rounds = u64::from(failures + 1).min(MOST_ROUNDS);
                alone_ms + self.random_up_to_ms(round_ms * rounds)
            }
        }
    }

    /// Returns how long the answer to a read of the list is awaited that goes on where one ended
    /// which was answered `age_ms` ago. Of VMs that have read so lately there are few, since the
    /// others are told, and what they ask for is small; so the reads of all VMs are not waited for.
    pub fn list_answer_timeout_ms(
        &mut self,
        alone_ms: u64,
        answer_bytes: usize,
        failures: u32,
        age_ms: Option<u64>,
    ) -> u64 {
        let answer_timeout_ms = self.answer_timeout_ms(alone_ms, answer_bytes, failures);
        let left_ms = age_ms.and_then(|age_ms| LIST_GIVEN_UP_MS.checked_sub(age_ms));
        match left_ms {
            Some(left_ms) if left_ms >= LEAST_LIST_PATIENCE_MS => answer_timeout_ms.min(left_ms),
            _ => answer_timeout_ms,
        }
    }

    /// Returns the pause before the next read, after some failures in a row.
    pub fn retry_delay_ms(&mut self, failures: u32) -> u64 {
        let vms = u64::from(self.vms.unwrap_or(1));
        let most_ms = MAX_PAUSE_MS.max(vms * MAX_PAUSE_MS_A_VM);
        let retry_delay_ms = (PAUSE_MS << failures.saturating_sub(1).min(6)).min(most_ms);
        // Half of it is drawn, where there are others to fall into step with.
        let drawn_ms = self.random_up_to_ms(retry_delay_ms / 2);
        match vms {
            0 | 1 => retry_delay_ms,
            _ => retry_delay_ms - retry_delay_ms / 4 + drawn_ms,
        }
    }
}
