//! The records of the snapshot stream, and what a reader makes of them.
//!
//! The snapshot stream carries the sections of all streams in parts, and the fresh starts after a
//! loss. It is replayed like every other stream, so all readers agree on which fresh start counts:
//! the first one that was decided on in knowledge of all before it.

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

/// `SnapshotRecord` is one record of the snapshot stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The format of the record and of the state in it.
    pub format: u32,
    /// The stream whose state it is about.
    pub stream: StreamName,
    /// What it says.
    pub body: SnapshotBody,
}

/// `SnapshotBody` is what a record of the snapshot stream says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotBody {
    /// One part of a section.
    Part(SectionPart),
    /// A proposal to start afresh, since all state was lost.
    Fresh(FreshStart),
}

/// `SectionPart` is one part of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionPart {
    /// The history that the state belongs to.
    pub lineage: Lineage,
    /// The offset up to which the state has replayed, exclusive.
    pub next: Offset,
    /// The part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The checksum of the whole section.
    pub checksum: u64,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// `FreshStart` proposes a state to go on from after a loss. Its offset becomes the new lineage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshStart {
    /// The end of the snapshot stream as its proposer had read it. The proposal is accepted only if
    /// no fresh start of the same stream was accepted since; so of two VMs that start afresh at the
    /// same time, one gives in.
    pub after: Offset,
    /// The offset from which records count.
    pub next: Offset,
    /// The encoded state to start from.
    pub bytes: Vec<u8>,
}

impl SnapshotRecord {
    /// Returns the records that carry a section, with parts of at most `part_bytes`.
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

    /// Returns the record that proposes a fresh start.
    pub fn of_fresh_start(stream: &StreamName, fresh: FreshStart) -> Self {
        Self {
            format: FORMAT,
            stream: stream.clone(),
            body: SnapshotBody::Fresh(fresh),
        }
    }

    /// Returns the record as it is appended to the stream.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Returns the record that was appended.
    ///
    /// # Errors
    ///
    /// `Error::UnsupportedFormat` for another format, `Error::Malformed` if it can't be read.
    pub fn decode(payload: &[u8]) -> Result<Self> {
        check_format(payload)?;
        decode(payload)
    }
}

/// `Collected` are the parts of one section that have been read.
#[derive(Clone, Debug, Default)]
struct Collected {
    parts: BTreeMap<u32, Vec<u8>>,
    bytes: usize,
}

/// `SnapshotCatalog` is what a reader knows from the snapshot stream: the newest whole section of each
/// stream.
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
    collecting: BTreeMap<(Offset, u64, u32), Collected>,
}

impl SnapshotCatalog {
    /// Returns the catalog of a reader that begins at the first offset which the stream still keeps.
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

    /// Returns the newest whole section of a stream.
    pub fn newest(&self, stream: &StreamName) -> Option<&Section> {
        self.streams.get(stream)?.newest.as_ref()
    }

    /// Returns a stream's unbroken history.
    pub fn lineage(&self, stream: &StreamName) -> Lineage {
        self.streams
            .get(stream)
            .map(|known| known.lineage)
            .unwrap_or_default()
    }

    /// Takes in one record. Records must come in order; one that was read before is ignored.
    ///
    /// # Errors
    ///
    /// As for [`SnapshotRecord::decode`]; the record is then passed over.
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
                stream.add_fresh(offset, fresh);
                Ok(())
            }
            // The fresh start that it may have lost against is no longer kept. Whether it counts is
            // seen from the parts that its lineage brings.
            SnapshotBody::Fresh(_) => Ok(()),
        }
    }
}

impl StreamCatalog {
    fn add_fresh(&mut self, offset: Offset, fresh: FreshStart) {
        if self.lineage.0 >= fresh.after && self.lineage != Lineage::default() {
            return;
        }
        let lineage = Lineage(offset);
        self.begin(lineage);
        self.newest = Some(Section {
            lineage,
            next: fresh.next,
            bytes: fresh.bytes,
        });
    }

    fn begin(&mut self, lineage: Lineage) {
        self.lineage = lineage;
        self.newest = None;
        self.collecting.clear();
    }

    fn add_part(&mut self, part: SectionPart) -> Result<()> {
        if part.lineage < self.lineage {
            return Ok(());
        }
        if part.lineage > self.lineage {
            self.begin(part.lineage);
        }
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.next >= part.next)
        {
            return Ok(());
        }
        let key = (part.next, part.checksum, part.parts);
        let collected = self.collecting.entry(key).or_default();
        collected.bytes += part.bytes.len();
        if collected.bytes > MAX_SNAPSHOT_BYTES || part.part >= part.parts {
            self.collecting.remove(&key);
            return Err(Error::malformed("the section is larger than the limit"));
        }
        if let Some(again) = collected.parts.insert(part.part, part.bytes) {
            collected.bytes -= again.len();
        }
        match collected.parts.len() == part.parts as usize {
            true => self.complete(key),
            false => Ok(()),
        }
    }

    fn complete(&mut self, key: (Offset, u64, u32)) -> Result<()> {
        let (next, checksum, _) = key;
        let collected = self.collecting.remove(&key).unwrap_or_default();
        let bytes: Vec<u8> = collected.parts.into_values().flatten().collect();
        if xxh3_64(&bytes) != checksum {
            return Err(Error::malformed("the checksum differs"));
        }
        self.newest = Some(Section {
            lineage: self.lineage,
            next,
            bytes,
        });
        self.collecting.retain(|(other, _, _), _| *other > next);
        Ok(())
    }
}
