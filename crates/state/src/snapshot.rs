//! Snapshots of replayed states, in parts of bounded size.
//!
//! A snapshot holds one section for each stream: the encoded state and its offset. The bytes are
//! canonical: two VMs that take a snapshot at the same offsets write the same bytes, so parts from
//! different writers fit together.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;

use crate::claim_table::ClaimTable;
use crate::control_state::ControlState;
use crate::control_state::StateDigest;
use crate::errors::Error;
use crate::errors::Result;

/// The format that this program writes and reads. It grows with each change of an encoded type.
pub const FORMAT: u32 = 1;
/// The default size of a part, in bytes.
pub const PART_BYTES: usize = 64 * 1024;
/// The largest snapshot that is read, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// `Section` is the encoded state of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The offset up to which the state has replayed, exclusive.
    pub next: Offset,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// `Snapshot` is the encoded state of several streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The states by stream.
    pub sections: BTreeMap<StreamName, Section>,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    format: u32,
    checksum: u64,
    body: Vec<u8>,
}

impl Snapshot {
    /// Adds the state of the control stream.
    pub fn add_control(&mut self, stream: &StreamName, state: &ControlState) {
        let digests: Vec<StateDigest> = state.digests.iter().copied().collect();
        let bytes = postcard::to_allocvec(&(state, digests));
        let bytes = bytes.expect("the state holds only strings, numbers and lists");
        self.sections.insert(
            stream.clone(),
            Section {
                next: state.next,
                bytes,
            },
        );
    }

    /// Adds the state of a claim stream.
    pub fn add_claims(&mut self, stream: &StreamName, table: &ClaimTable) {
        let section = Section {
            next: table.next_offset(),
            bytes: table.canonical(),
        };
        self.sections.insert(stream.clone(), section);
    }

    /// Returns the state of the control stream, or none if the snapshot does not hold it.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the section can't be read.
    pub fn control(&self, stream: &StreamName) -> Result<Option<ControlState>> {
        let Some(section) = self.sections.get(stream) else {
            return Ok(None);
        };
        let (mut state, digests): (ControlState, Vec<StateDigest>) = read(&section.bytes)?;
        state.digests = digests.into();
        state.replicas.rebuild_indexes();
        check_offset(section, state.next)?;
        Ok(Some(state))
    }

    /// Returns the state of a claim stream, or none if the snapshot does not hold it.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the section can't be read.
    pub fn claims(&self, stream: &StreamName) -> Result<Option<ClaimTable>> {
        let Some(section) = self.sections.get(stream) else {
            return Ok(None);
        };
        let table: ClaimTable = read(&section.bytes)?;
        check_offset(section, table.next_offset())?;
        Ok(Some(table))
    }

    /// Returns the snapshot's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).expect("a snapshot holds only names and bytes");
        let envelope = Envelope {
            format: FORMAT,
            checksum: xxh3_64(&body),
            body,
        };
        postcard::to_allocvec(&envelope).expect("an envelope holds only numbers and bytes")
    }

    /// Returns the snapshot of some bytes.
    ///
    /// # Errors
    ///
    /// `Error::UnsupportedFormat` for another format, `Error::Malformed` if the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (format, _): (u32, _) = postcard::take_from_bytes(bytes)
            .map_err(|error| Error::malformed(error.to_string()))?;
        if format != FORMAT {
            return Err(Error::UnsupportedFormat { found: format });
        }
        let envelope: Envelope = read(bytes)?;
        if xxh3_64(&envelope.body) != envelope.checksum {
            return Err(Error::malformed("the checksum differs"));
        }
        read(&envelope.body)
    }
}

fn check_offset(section: &Section, next: Offset) -> Result<()> {
    match section.next == next {
        true => Ok(()),
        false => Err(Error::malformed(
            "the section's offset is not that of its state",
        )),
    }
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error::malformed(error.to_string()))
}
