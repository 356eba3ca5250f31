//! Records of the snapshot stream, and the catalog that a reader builds from them.
//!
//! The snapshot stream contains the sections of all streams in parts, and the proposals of a fresh
//! start after state was lost. It is replayed like every other stream, so all readers agree on the
//! fresh start that is accepted: the first one whose proposer had read all earlier accepted ones.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;

use crate::errors::Error;
use crate::errors::Result;
use crate::snapshot::FORMAT;
use crate::snapshot::Lineage;
use crate::snapshot::MAX_SNAPSHOT_BYTES;
use crate::snapshot::Section;
use crate::snapshot::check_format;
use crate::snapshot::decode;
use crate::snapshot::encode;

/// One record of the snapshot stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Format of the record and of the state in it.
    pub format: u32,
    /// Stream whose state the record concerns.
    pub stream: StreamName,
    /// Content of the record.
    pub body: SnapshotBody,
}

/// Content of a [`SnapshotRecord`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotBody {
    /// One part of a section.
    Part(SectionPart),
    /// Proposal to continue from a new state because all earlier state was lost.
    Fresh(FreshStart),
}

/// One part of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPart {
    /// History that the state belongs to.
    pub lineage: Lineage,
    /// Offset up to which the state has replayed its stream, exclusive.
    pub next: Offset,
    /// Index of the part, starting at zero.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    /// Checksum of the complete section.
    pub checksum: u64,
    /// Bytes of this part.
    pub bytes: Vec<u8>,
}

/// Proposes a state to continue from after a loss. The offset of the record becomes the lineage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshStart {
    /// End of the snapshot stream as the proposer had read it. The proposal is accepted only if no
    /// fresh start of the same stream has been accepted since then. Of two proposals made at the
    /// same time, the first is accepted.
    pub after: Offset,
    /// Offset from which records of the stream are replayed onto the state.
    pub next: Offset,
    /// Encoded state to start from.
    pub bytes: Vec<u8>,
}

impl SnapshotRecord {
    /// Splits a section into records with at most `part_bytes` bytes of it each.
    pub fn of_section(stream: &StreamName, section: &Section, part_bytes: usize) -> Vec<Self> {
        let pieces: Vec<&[u8]> = section.bytes.chunks(part_bytes.max(1)).collect();
        let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let checksum = xxh3_64(&section.bytes);
        let record = |(part, piece): (u32, &&[u8])| {
            let body = SectionPart {
                lineage: section.lineage,
                next: section.next,
                part,
                parts,
                checksum,
                bytes: piece.to_vec(),
            };
            Self {
                format: FORMAT,
                stream: stream.clone(),
                body: SnapshotBody::Part(body),
            }
        };
        (0..parts).zip(&pieces).map(record).collect()
    }

    /// Creates the record that proposes a fresh start.
    pub fn of_fresh_start(stream: &StreamName, fresh: FreshStart) -> Self {
        Self {
            format: FORMAT,
            stream: stream.clone(),
            body: SnapshotBody::Fresh(fresh),
        }
    }

    /// Encodes the record as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the payload of a log record.
    ///
    /// # Errors
    ///
    /// `Error::UnsupportedFormat` for another format, `Error::Malformed` if it can't be decoded.
    pub fn decode(payload: &[u8]) -> Result<Self> {
        check_format(payload)?;
        decode(payload)
    }
}

/// Parts of one section that have been read so far.
#[derive(Clone, Debug, Default)]
struct PartialSection {
    parts: BTreeMap<u32, Vec<u8>>,
    bytes: usize,
}

/// Newest complete section of each stream, as read from the snapshot stream.
#[derive(Clone, Debug)]
pub struct SnapshotCatalog {
    first: Offset,
    next: Offset,
    streams: BTreeMap<StreamName, StreamCatalog>,
}

#[derive(Clone, Debug, Default)]
struct StreamCatalog {
    lineage: Lineage,
    newest: Option<Section>,
    partial_sections: BTreeMap<(Offset, u64, u32), PartialSection>,
}

impl SnapshotCatalog {
    /// Creates the catalog of a reader that begins at the first offset that the stream still keeps.
    pub fn new(first: Offset) -> Self {
        Self {
            first,
            next: first,
            streams: BTreeMap::new(),
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the newest complete section of a stream; `None` if none has been read.
    pub fn newest(&self, stream: &StreamName) -> Option<&Section> {
        self.streams.get(stream)?.newest.as_ref()
    }

    /// Returns the present lineage of a stream; zero if no loss is known.
    pub fn lineage(&self, stream: &StreamName) -> Lineage {
        self.streams
            .get(stream)
            .map(|known| known.lineage)
            .unwrap_or_default()
    }

    /// Applies one record. Records must come in order; one that was applied before is ignored.
    ///
    /// # Errors
    ///
    /// As for [`SnapshotRecord::decode`], and `Error::Malformed` for a part that is out of range or
    /// completes a section whose checksum differs. The record is then skipped.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> Result<()> {
        if offset < self.next {
            return Ok(());
        }
        self.next = offset.next();
        let record = SnapshotRecord::decode(payload)?;
        let stream = self.streams.entry(record.stream).or_default();
        match record.body {
            SnapshotBody::Part(part) => stream.add_part(part),
            SnapshotBody::Fresh(fresh) if fresh.after >= self.first => {
                stream.apply_fresh_start(offset, fresh);
                Ok(())
            }
            // An earlier fresh start that this one may conflict with is no longer kept. The parts
            // that carry its lineage show whether this one was accepted.
            SnapshotBody::Fresh(_) => Ok(()),
        }
    }
}

impl StreamCatalog {
    fn apply_fresh_start(&mut self, offset: Offset, fresh: FreshStart) {
        if self.lineage.0 >= fresh.after && self.lineage != Lineage::default() {
            return;
        }
        let lineage = Lineage(offset);
        self.begin_lineage(lineage);
        self.newest = Some(Section {
            lineage,
            next: fresh.next,
            bytes: fresh.bytes,
        });
    }

    fn begin_lineage(&mut self, lineage: Lineage) {
        self.lineage = lineage;
        self.newest = None;
        self.partial_sections.clear();
    }

    fn add_part(&mut self, part: SectionPart) -> Result<()> {
        if part.lineage < self.lineage {
            return Ok(());
        }
        if part.lineage > self.lineage {
            self.begin_lineage(part.lineage);
        }
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.next >= part.next)
        {
            return Ok(());
        }
        let key = (part.next, part.checksum, part.parts);
        let collected = self.partial_sections.entry(key).or_default();
        collected.bytes += part.bytes.len();
        if collected.bytes > MAX_SNAPSHOT_BYTES || part.part >= part.parts {
            self.partial_sections.remove(&key);
            return Err(Error::malformed(
                "a part is out of range or its section exceeds the size limit",
            ));
        }
        if let Some(previous) = collected.parts.insert(part.part, part.bytes) {
            collected.bytes -= previous.len();
        }
        match collected.parts.len() == part.parts as usize {
            true => self.complete_section(key),
            false => Ok(()),
        }
    }

    fn complete_section(&mut self, key: (Offset, u64, u32)) -> Result<()> {
        let (next, checksum, _) = key;
        let collected = self.partial_sections.remove(&key).unwrap_or_default();
        let bytes: Vec<u8> = collected.parts.into_values().flatten().collect();
        if xxh3_64(&bytes) != checksum {
            return Err(Error::malformed(
                "the checksum of the section does not match",
            ));
        }
        self.newest = Some(Section {
            lineage: self.lineage,
            next,
            bytes,
        });
        self.partial_sections
            .retain(|(other, _, _), _| *other > next);
        Ok(())
    }
}
