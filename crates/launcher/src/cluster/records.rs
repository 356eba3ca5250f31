//! Reading of the streams that the stand-in of the log keeps.

use std::collections::BTreeSet;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::standin::StandinClient;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::Accepted;
use apricotdale_state::ControlState;
use apricotdale_state::Verdict;
use apricotdale_state::parts::SnapshotCatalog;

/// Name of the stream of decisions and configuration changes.
pub const CONTROL_STREAM: &str = "control";

/// Name of the stream of snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// Maximum number of records that one read requests.
const READ_RECORDS: usize = 500;

/// Record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time when the log appended it, in milliseconds of Unix time.
    pub appended_ms: u64,
    /// Encoded record.
    pub payload: Vec<u8>,
}

#[derive(Deserialize)]
struct ReadAnswer {
    end: u64,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    appended_ms: u64,
    payload: String,
}

/// Returns all records that the log still keeps of a stream, and the offset of the next append.
///
/// # Errors
///
/// `Error::Failed` if the stand-in can't be reached or refuses, as during an injected outage.
pub fn read_stream(log: &StandinClient, stream: &str) -> Result<(Vec<StoredRecord>, u64)> {
    let mut records = Vec::new();
    let mut from = first_offset(log, stream)?;
    loop {
        let path = format!("/streams/{stream}/records?from={from}&max={READ_RECORDS}&wait_ms=0");
        let answer: ReadAnswer = log.get(&path)?;
        for record in answer.records {
            from = record.offset + 1;
            records.push(StoredRecord::decode(record)?);
        }
        if from >= answer.end {
            return Ok((records, answer.end));
        }
    }
}

/// Returns the load intents on the control stream, in order, with their offsets.
///
/// # Errors
///
/// As for [`read_stream`].
pub fn load_intents(log: &StandinClient) -> Result<Vec<(u64, LoadIntent)>> {
    let (records, _) = read_stream(log, CONTROL_STREAM)?;
    let intents =
        records
            .into_iter()
            .filter_map(|record| match ControlRecord::decode(&record.payload) {
                Some(ControlRecord::Load(intent)) => Some((record.offset, intent)),
                _ => None,
            });
    Ok(intents.collect())
}

/// Replays the control stream and returns the verdict on each record, in order, with its offset.
///
/// # Errors
///
/// As for [`read_stream`]; `Error::Failed` once the stream was trimmed, because replay needs all
/// records from the first one on.
pub fn verdicts(log: &StandinClient) -> Result<Vec<(u64, Verdict)>> {
    let (records, _) = read_stream(log, CONTROL_STREAM)?;
    if records.first().is_some_and(|record| record.offset > 0) {
        return Err(Error::failed("replaying", "the stream was trimmed"));
    }
    let mut state = ControlState::new();
    let verdicts = records.into_iter().map(|record| {
        let verdict = state.apply(Offset(record.offset), record.appended_ms, &record.payload);
        (record.offset, verdict)
    });
    Ok(verdicts.collect())
}

/// Returns the offsets of the load intents that replay accepted, in order.
///
/// # Errors
///
/// As for [`verdicts`].
pub fn decided_loads(log: &StandinClient) -> Result<BTreeSet<u64>> {
    let reserved = Verdict::Accepted(Accepted::LoadReserved);
    let verdicts = verdicts(log)?.into_iter();
    let decided = verdicts.filter(|(_, verdict)| *verdict == reserved);
    Ok(decided.map(|(offset, _)| offset).collect())
}

/// Returns how many records at the end of a stream no complete snapshot on the log covers.
///
/// # Errors
///
/// As for [`read_stream`].
pub fn unsnapshotted(log: &StandinClient, stream: &str) -> Result<u64> {
    let (records, _) = read_stream(log, SNAPSHOT_STREAM)?;
    let first = records.first().map_or(0, |record| record.offset);
    let mut catalog = SnapshotCatalog::new(Offset(first));
    for record in &records {
        // A record that is no part of a snapshot does not change the catalog.
        let _ = catalog.apply(Offset(record.offset), &record.payload);
    }
    let (_, end) = read_stream(log, stream)?;
    let section = catalog.newest(&StreamName::new(stream));
    Ok(end.saturating_sub(section.map_or(0, |section| section.next.0)))
}

/// Returns the first offset that the log still keeps of a stream.
fn first_offset(log: &StandinClient, stream: &str) -> Result<u64> {
    #[derive(Deserialize)]
    struct First {
        first: u64,
    }
    let path = format!("/streams/{stream}/records?from=0&max=1&wait_ms=0");
    let first: First = log.get_any_status(&path)?;
    Ok(first.first)
}

impl StoredRecord {
    fn decode(record: ReadRecord) -> Result<Self> {
        let payload = STANDARD
            .decode(record.payload)
            .map_err(|error| Error::failed("reading a record", error))?;
        Ok(Self {
            offset: record.offset,
            appended_ms: record.appended_ms,
            payload,
        })
    }
}
