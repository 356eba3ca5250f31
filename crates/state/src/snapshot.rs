//! Snapshots of replayed states.
//!
//! A [`Section`] is the encoded state of one stream; its parts go onto the snapshot stream (see
//! [`parts`](crate::parts)). A [`Snapshot`] holds the sections of all streams and goes to a peer
//! that starts. The bytes are canonical: two VMs that encode the state of the same offset write
//! the same bytes, so parts from different writers fit together.

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

/// The format that this program writes and reads. It grows with each change of an encoded type.
pub const FORMAT: u32 = 1;
/// The default size of a part, in bytes.
pub const PART_BYTES: usize = 64 * 1024;
/// The largest snapshot that is read, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// `Lineage` names an unbroken history of a stream's state. It is zero as long as nothing was lost,
/// and else the offset on the snapshot stream of the fresh start that was agreed upon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lineage(pub Offset);

/// `Section` is the encoded state of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// The history that the state belongs to.
    pub lineage: Lineage,
    /// The offset up to which the state has replayed, exclusive.
    pub next: Offset,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

impl Section {
    /// Returns the section of the control stream's state.
    pub fn of_control(lineage: Lineage, state: &ControlState) -> Self {
        let digests: Vec<StateDigest> = state.digests.iter().copied().collect();
        let bytes = encode(&(state, digests));
        Self {
            lineage,
            next: state.next,
            bytes,
        }
    }

    /// Returns the section of a claim stream's state.
    pub fn of_claims(lineage: Lineage, table: &ClaimTable) -> Self {
        Self {
            lineage,
            next: table.next_offset(),
            bytes: table.canonical(),
        }
    }

    /// Returns the control stream's state.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the bytes can't be read.
    pub fn control(&self) -> Result<ControlState> {
        let (mut state, digests): (ControlState, Vec<StateDigest>) = decode(&self.bytes)?;
        state.digests = digests.into();
        state.replicas.rebuild_indexes();
        self.check_offset(state.next)?;
        Ok(state)
    }

    /// Returns a claim stream's state.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if the bytes can't be read.
    pub fn claims(&self) -> Result<ClaimTable> {
        let table: ClaimTable = decode(&self.bytes)?;
        self.check_offset(table.next_offset())?;
        Ok(table)
    }

    fn check_offset(&self, next: Offset) -> Result<()> {
        match self.next == next {
            true => Ok(()),
            false => Err(Error::malformed(
                "the section's offset is not that of its state",
            )),
        }
    }
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
    /// Returns the snapshot's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = encode(self);
        let checksum = xxh3_64(&body);
        encode(&Envelope {
            format: FORMAT,
            checksum,
            body,
        })
    }

    /// Returns the snapshot of some bytes.
    ///
    /// # Errors
    ///
    /// `Error::UnsupportedFormat` for another format, `Error::Malformed` if the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        check_format(bytes)?;
        let envelope: Envelope = decode(bytes)?;
        if xxh3_64(&envelope.body) != envelope.checksum {
            return Err(Error::malformed("the checksum differs"));
        }
        decode(&envelope.body)
    }

    /// Returns the snapshot in parts for a peer. All parts carry the same offset, `at`.
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

    /// Returns the snapshot of all parts from a peer, in order.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if a part is missing or of another snapshot; else as for
    /// [`decode`](Self::decode).
    pub fn from_parts(parts: &[SnapshotPart]) -> Result<Self> {
        let first = parts.first().ok_or_else(|| Error::malformed("no part"))?;
        let size: usize = parts.iter().map(|part| part.bytes.len()).sum();
        let fits = |(index, part): (usize, &SnapshotPart)| {
            part.at == first.at && part.parts == first.parts && part.part as usize == index
        };
        if first.parts as usize != parts.len() || !parts.iter().enumerate().all(fits) {
            return Err(Error::malformed(
                "parts are missing or of several snapshots",
            ));
        }
        if size > MAX_SNAPSHOT_BYTES {
            return Err(Error::malformed("the snapshot is larger than the limit"));
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

/// Checks the format, which every encoded envelope begins with.
pub(crate) fn check_format(bytes: &[u8]) -> Result<()> {
    let (format, _) = postcard::take_from_bytes::<u32>(bytes)
        .map_err(|error| Error::malformed(error.to_string()))?;
    match format {
        FORMAT => Ok(()),
        found => Err(Error::UnsupportedFormat { found }),
    }
}
