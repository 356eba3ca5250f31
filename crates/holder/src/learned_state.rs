//! What the lease holder has learned from reports, as it is kept in the store for the next holder.
//!
//! After a restart of all VMs nobody knows which models were in demand. The record tells the next
//! holder, as a hint: it is ignored if it is old, of another era of the store or damaged, and it
//! never hides what VMs report.
//!
//! The encoding is one byte for the format, a byte that no VM entry has at this place, a checksum
//! and the postcard encoding of the content.

use std::cmp::Reverse;
use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::WantedModel;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::demand::RATE_WINDOW_MS;
use crate::demand_detail::EngineKey;

/// Maximum size of an encoded record. The bound is 16 KB, in either meaning of the unit.
const MAX_BYTES: usize = 16_000;

/// Format that this release writes and reads.
const FORMAT: u8 = 1;

/// Second byte of a record. Releases that do not know the record decode it as the entry of a VM,
/// whose name has the first byte as its length. The name then begins with this byte, which is never
/// part of UTF-8, so that they can't take the record for an entry.
const NO_VM_ENTRY: u8 = 0xff;

/// Bytes before the content: format, mark and checksum.
const HEAD_BYTES: usize = 10;

/// Upper bound of the encoded size of a content without rates and speeds.
const EMPTY_CONTENT_BYTES: usize = 32;

/// Maximum number of engine speeds. They take at most 8 bytes each, which leaves two thirds of the
/// record to the rates.
const MAX_SPEEDS: usize = 640;

/// Rate from which a model is recorded. The rate of a single request falls below it after 10 s.
const MIN_REQUESTS_PER_S: f64 = 0.02;

/// Age from which a record is ignored.
const MAX_AGE_MS: u64 = 60_000;

/// Tolerated lead of the writer's clock. VMs keep their clocks within a second; more than this is a
/// wrong clock, by which the age can't be told.
const MAX_AHEAD_MS: u64 = 5_000;

/// Pause between two writes while demand shifts beyond what random arrivals explain.
const SHIFT_PAUSE_MS: u64 = 2_000;

/// Pause between two writes in a steady state, in which rates change only at random.
const STEADY_PAUSE_MS: u64 = 5_000;

/// Pause between two writes of an unchanged state, well below [`MAX_AGE_MS`].
const REFRESH_PAUSE_MS: u64 = 20_000;

/// Share of the sum of rates by which rates must change, beyond chance, to count as a shift.
const SHIFT_SHARE: f64 = 0.25;

/// Share of the sum of rates up to which a change is not worth a call to the store.
const UNCHANGED_SHARE: f64 = 0.05;

/// Change of an engine's speed, in percent of the mean, that is not worth a call to the store.
const UNCHANGED_SPEED_PERCENT: u16 = 10;

/// Speed of an engine that is not listed.
const USUAL_SPEED_PERCENT: u16 = 100;

/// Demand rate of one model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RateRow {
    model: ModelName,
    adapter: Option<ModelName>,
    /// Requests in 1,000 s.
    requests_per_1000_s: u32,
}

/// What the lease holder has learned from reports, at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedState {
    written_unix_ms: u64,
    era: u64,
    rates: Vec<RateRow>,
    speeds: Vec<(EngineKey, u16)>,
}

/// Reason why a record is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IgnoredRecord {
    /// Another release wrote the record.
    #[error("unknown format {0}")]
    UnknownFormat(u8),
    /// The record is damaged, or something else stands under its key.
    #[error("malformed")]
    Malformed,
    /// The record was written in another era of the store.
    #[error("written in era {0} of the store")]
    OtherEra(u64),
    /// The record is too old.
    #[error("written {0} ms ago")]
    TooOld(u64),
    /// By the clock of this VM, the record will be written later.
    #[error("written {0} ms ahead of this VM's clock")]
    FromFuture(u64),
}

impl IgnoredRecord {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownFormat(_) => "unknown_format",
            Self::Malformed => "malformed",
            Self::OtherEra(_) => "other_era",
            Self::TooOld(_) => "too_old",
            Self::FromFuture(_) => "from_future",
        }
    }
}

impl LearnedState {
    /// Returns the state to record. Where not everything fits, the highest rates and the speeds
    /// that differ most from the mean remain.
    ///
    /// `written_unix_ms` is the time of this VM's clock, `era` the era of the store, and `speeds`
    /// the lasting speed of engines in percent of the mean.
    pub fn new(
        written_unix_ms: u64,
        era: u64,
        rates: impl IntoIterator<Item = (WantedModel, f64)>,
        mut speeds: Vec<(EngineKey, u16)>,
    ) -> Self {
        speeds.retain(|(_, percent)| *percent != USUAL_SPEED_PERCENT);
        speeds.sort_unstable_by_key(|(engine, percent)| {
            (Reverse(percent.abs_diff(USUAL_SPEED_PERCENT)), *engine)
        });
        speeds.truncate(MAX_SPEEDS);
        let mut rows: Vec<RateRow> = rates
            .into_iter()
            .filter(|(_, requests_per_s)| *requests_per_s >= MIN_REQUESTS_PER_S)
            .map(|(wanted, requests_per_s)| RateRow {
                model: wanted.model,
                adapter: wanted.adapter,
                requests_per_1000_s: (requests_per_s * 1_000.0).round() as u32,
            })
            .collect();
        rows.sort_unstable_by(|left, right| {
            let by_rate = right.requests_per_1000_s.cmp(&left.requests_per_1000_s);
            by_rate
                .then_with(|| left.model.cmp(&right.model))
                .then_with(|| left.adapter.cmp(&right.adapter))
        });
        let taken_bytes = HEAD_BYTES + EMPTY_CONTENT_BYTES + encoded(&speeds).len();
        let mut left_bytes = MAX_BYTES.saturating_sub(taken_bytes);
        rows.retain(|row| {
            let row_bytes = encoded(row).len();
            let fits = row_bytes <= left_bytes;
            if fits {
                left_bytes -= row_bytes;
            }
            fits
        });
        Self {
            written_unix_ms,
            era,
            rates: rows,
            speeds,
        }
    }

    /// Returns the encoded record.
    pub fn encode(&self) -> Vec<u8> {
        let content = encoded(self);
        let mut bytes = vec![FORMAT, NO_VM_ENTRY];
        bytes.extend_from_slice(&checksum(&content).to_le_bytes());
        bytes.extend_from_slice(&content);
        bytes
    }

    /// Decodes a record. `now_unix_ms` is the time of this VM's clock, `era` the era of the store.
    ///
    /// # Errors
    ///
    /// [`IgnoredRecord`] if the record must not be used.
    pub fn decode(bytes: &[u8], now_unix_ms: u64, era: u64) -> Result<Self, IgnoredRecord> {
        let (head, content) = bytes
            .split_at_checked(HEAD_BYTES)
            .ok_or(IgnoredRecord::Malformed)?;
        match head[0] {
            FORMAT => {}
            format => return Err(IgnoredRecord::UnknownFormat(format)),
        }
        if head[1] != NO_VM_ENTRY || head[2..] != checksum(content).to_le_bytes() {
            return Err(IgnoredRecord::Malformed);
        }
        // A later release may append fields, which this one skips.
        let state: Self = postcard::from_bytes(content).map_err(|_| IgnoredRecord::Malformed)?;
        if state.era != era {
            return Err(IgnoredRecord::OtherEra(state.era));
        }
        let ahead_ms = state.written_unix_ms.saturating_sub(now_unix_ms);
        if ahead_ms > MAX_AHEAD_MS {
            return Err(IgnoredRecord::FromFuture(ahead_ms));
        }
        match state.age_ms(now_unix_ms) {
            age_ms if age_ms > MAX_AGE_MS => Err(IgnoredRecord::TooOld(age_ms)),
            _ => Ok(state),
        }
    }

    /// Returns how long ago the record was written.
    pub fn age_ms(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(self.written_unix_ms)
    }

    /// Returns the era of the store in which the record was written.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns the number of models and adapters with a rate.
    pub fn models(&self) -> usize {
        self.rates.len()
    }

    /// Returns the models and adapters with their requests per second, the highest rate first.
    pub fn rates(&self) -> impl Iterator<Item = (WantedModel, f64)> {
        self.rates.iter().map(|row| {
            let wanted = WantedModel {
                model: row.model.clone(),
                adapter: row.adapter.clone(),
            };
            (wanted, f64::from(row.requests_per_1000_s) / 1_000.0)
        })
    }

    /// Returns the speeds of engines in percent of the mean. An engine that is not listed is of
    /// usual speed.
    pub fn speeds(&self) -> &[(EngineKey, u16)] {
        &self.speeds
    }

    /// Returns how long after the last write this state is due to be written, given what was
    /// written then; none if this holder has written nothing.
    pub fn write_pause_ms(&self, written: Option<&Self>) -> u64 {
        let Some(written) = written else {
            return SHIFT_PAUSE_MS;
        };
        let (change, beyond_chance) = self.rate_changes(written);
        match beyond_chance {
            share if share > SHIFT_SHARE => SHIFT_PAUSE_MS,
            _ if change > UNCHANGED_SHARE || self.has_other_speeds(written) => STEADY_PAUSE_MS,
            _ => REFRESH_PAUSE_MS,
        }
    }

    /// Returns the sum of the changes of rates since another state, and the part of it that random
    /// arrivals do not explain, both divided by the larger sum of rates.
    fn rate_changes(&self, other: &Self) -> (f64, f64) {
        let mut both: HashMap<WantedModel, (f64, f64)> = HashMap::new();
        for (wanted, requests_per_s) in self.rates() {
            both.entry(wanted).or_default().0 = requests_per_s;
        }
        for (wanted, requests_per_s) in other.rates() {
            both.entry(wanted).or_default().1 = requests_per_s;
        }
        let (mut sums, mut change, mut beyond_chance) = ((0.0_f64, 0.0_f64), 0.0, 0.0);
        for (now, before) in both.into_values() {
            let by = (now - before).abs();
            // The moving average of random arrivals has a variance of the rate by twice the window.
            let deviation = ((now + before) * 1_000.0 / (2.0 * RATE_WINDOW_MS)).sqrt();
            sums = (sums.0 + now, sums.1 + before);
            change += by;
            beyond_chance += (by - 2.0 * deviation).max(0.0);
        }
        let sum = sums.0.max(sums.1).max(MIN_REQUESTS_PER_S);
        (change / sum, beyond_chance / sum)
    }

    fn has_other_speeds(&self, other: &Self) -> bool {
        let before: HashMap<EngineKey, u16> = other.speeds.iter().copied().collect();
        let now: HashMap<EngineKey, u16> = self.speeds.iter().copied().collect();
        let speed =
            |speeds: &HashMap<_, _>, engine| *speeds.get(engine).unwrap_or(&USUAL_SPEED_PERCENT);
        before.keys().chain(now.keys()).any(|engine| {
            speed(&now, engine).abs_diff(speed(&before, engine)) > UNCHANGED_SPEED_PERCENT
        })
    }
}

fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a locally built record can be encoded")
}

fn checksum(content: &[u8]) -> u64 {
    xxh3_64_with_seed(content, u64::from(FORMAT))
}
