//! Snapshots of replayed states.
//!
//! A [`Section`] is the encoded state of one stream. Its parts are appended to the snapshot stream
//! (see [`parts`](crate::parts)). A [`Snapshot`] contains the sections of several streams and is
//! sent to a peer that starts. The encoding is canonical: VMs that encode the state of the same
//! offset produce the same bytes, so parts from different VMs can be combined.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::SnapshotPart;

use crate::claim_table::ClaimTable;
use crate::control_state::ControlState;
use crate::control_state::StateDigest;
use crate::errors::Error;
use crate::errors::Result;

/// Format that this program writes and reads, increased with each change of an encoded type.
pub const FORMAT: u32 = 1;
/// Default size of a part, in bytes.
pub const PART_BYTES: usize = 64 * 1024;
/// Maximum size of a snapshot that is decoded, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// Identifies an uninterrupted history of the state of a stream: zero until state is lost, then the
/// offset on the snapshot stream of the fresh start that was accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lineage(pub Offset);

/// Encoded state of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// History that the state belongs to.
    pub lineage: Lineage,
    /// Offset up to which the state has replayed the stream, exclusive.
    pub next: Offset,
    /// Encoded state.
    pub bytes: Vec<u8>,
}

impl Section {
    /// Encodes the state of the control stream.
    pub fn of_control(lineage: Lineage, state: &ControlState) -> Self {
        let digests: Vec<StateDigest> = state.digests.iter().copied().collect();
        let bytes = encode(&(state, digests));
        Self {
            lineage,
            next: state.next,
            bytes,
        }
    }

    /// Encodes the state of a claim stream.
    pub fn of_claims(lineage: Lineage, table: &ClaimTable) -> Self {
        Self {
            lineage,
            next: table.next_offset(),
            bytes: table.canonical(),
        }
    }

    /// Decodes the state of the control stream.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the bytes can't be decoded or their offset is not that of the section.
    pub fn control(&self) -> Result<ControlState> {
        let (mut state, digests): (ControlState, Vec<StateDigest>) = decode(&self.bytes)?;
        state.digests = digests.into();
        state.replicas.rebuild_indexes();
        self.check_offset(state.next)?;
        Ok(state)
    }

    /// Decodes the state of a claim stream.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the bytes can't be decoded or their offset is not that of the section.
    pub fn claims(&self) -> Result<ClaimTable> {
        let table: ClaimTable = decode(&self.bytes)?;
        self.check_offset(table.next_offset())?;
        Ok(table)
    }

    fn check_offset(&self, next: Offset) -> Result<()> {
        match self.next == next {
            true => Ok(()),
            false => Err(Error::malformed(
                "the offset of the section differs from that of its state",
            )),
        }
    }
}

/// Encoded states of several streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sections by stream.
    pub sections: BTreeMap<StreamName, Section>,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    format: u32,
    checksum: u64,
    body: Vec<u8>,
}

impl Snapshot {
    /// Encodes the snapshot with its format and checksum.
    pub fn encode(&self) -> Vec<u8> {
        let body = encode(self);
        let checksum = xxh3_64(&body);
        encode(&Envelope {
            format: FORMAT,
            checksum,
            body,
        })
    }

    /// Decodes a snapshot and verifies its checksum.
    ///
    /// # Errors
    ///
    /// `Error::UnsupportedFormat` for another format, `Error::Malformed` if the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        check_format(bytes)?;
        let envelope: Envelope = decode(bytes)?;
        if xxh3_64(&envelope.body) != envelope.checksum {
            return Err(Error::malformed(
                "the checksum of the snapshot does not match",
            ));
        }
        decode(&envelope.body)
    }

    /// Splits the encoded snapshot into parts for a peer. All parts carry the offset `at`.
    pub fn to_parts(&self, at: Offset, part_bytes: usize) -> Vec<SnapshotPart> {
        let bytes = self.encode();
        let pieces: Vec<&[u8]> = bytes.chunks(part_bytes.max(1)).collect();
        let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let part = |(part, piece): (u32, &&[u8])| SnapshotPart {
            at,
            part,
            parts,
            bytes: piece.to_vec(),
        };
        (0..parts).zip(&pieces).map(part).collect()
    }

    /// Joins and decodes all parts from a peer, which must be in order.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a part is missing or belongs to another snapshot; otherwise as for
    /// [`decode`](Self::decode).
    pub fn from_parts(parts: &[SnapshotPart]) -> Result<Self> {
        let first = parts
            .first()
            .ok_or_else(|| Error::malformed("the snapshot has no parts"))?;
        let size: usize = parts.iter().map(|part| part.bytes.len()).sum();
        let fits = |(index, part): (usize, &SnapshotPart)| {
            part.at == first.at && part.parts == first.parts && part.part as usize == index
        };
        if first.parts as usize != parts.len() || !parts.iter().enumerate().all(fits) {
            return Err(Error::malformed(
                "parts are missing or belong to different snapshots",
            ));
        }
        if size > MAX_SNAPSHOT_BYTES {
            return Err(Error::malformed("the snapshot exceeds the size limit"));
        }
        let bytes: Vec<u8> = parts
            .iter()
            .flat_map(|part| part.bytes.iter().copied())
            .collect();
        Self::decode(&bytes)
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("states hold only strings, numbers and lists")
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error::malformed(error.to_string()))
}

/// Checks the format, with which every encoded snapshot and record begins.
pub(crate) fn check_format(bytes: &[u8]) -> Result<()> {
    let (format, _) = postcard::take_from_bytes::<u32>(bytes)
        .map_err(|error| Error::malformed(error.to_string()))?;
    match format {
        FORMAT => Ok(()),
        found => Err(Error::UnsupportedFormat { found }),
    }
}
