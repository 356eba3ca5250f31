//! The list of upstreams as one VM has read it, told to the others.
//!
//! Every upstream writes its entry anew about once a second, with all that it holds and has copies
//! of. Read by every VM, that grows with VMs times upstreams. So a few VMs read it, and the rest
//! take from them what they need of it: who serves, where, and what can run there.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Directory;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;

/// Groups of engines with a digest each.
const ENGINE_GROUPS: usize = 16;

/// Entries in one part: engines take some 170 bytes each, rarely over 400, and the store takes
/// records of up to 256 KiB.
const ENTRIES_A_PART: usize = 500;

/// `ListSnapshotPart` is a part of what one VM knows of the upstreams, for the store. An engine takes
/// some 170 bytes in it, where its own entry takes thousands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListSnapshotPart {
    /// How far the list had been read: the place of the next change.
    pub read_to: Position,
    /// The version of the configuration in force at the VM that wrote it.
    pub configuration: u64,
    /// How many parts there are.
    pub parts: u32,
    /// The upstreams.
    pub entries: Vec<Upstream>,
}

/// `ListSnapshot` is what one VM knows of the upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    /// How far the list had been read: the place of the next change.
    pub read_to: Position,
    /// The version of the configuration in force at the VM that wrote it.
    pub configuration: u64,
    /// The upstreams.
    pub entries: Vec<Upstream>,
}

impl ListSnapshot {
    /// Returns a copy of what the directory knows.
    pub fn new(read_to: Position, directory: &Directory) -> Self {
        Self {
            read_to,
            configuration: directory.version(),
            entries: directory.upstreams().cloned().collect(),
        }
    }

    /// Returns the parts in which it is stored.
    pub fn into_parts(self) -> Vec<ListSnapshotPart> {
        let part = |entries: &[Upstream]| ListSnapshotPart {
            read_to: self.read_to,
            configuration: self.configuration,
            parts: self.entries.len().div_ceil(ENTRIES_A_PART).max(1) as u32,
            entries: entries.to_vec(),
        };
        match self.entries.is_empty() {
            true => vec![part(&[])],
            false => self.entries.chunks(ENTRIES_A_PART).map(part).collect(),
        }
    }

    /// Returns the newest copy of which all parts are there. Parts of an older one stay in the
    /// store when the newer one has fewer, and a write between two pages of a read leaves parts of
    /// both.
    pub fn from_parts(parts: Vec<ListSnapshotPart>) -> Option<Self> {
        let read_to = parts.iter().map(|part| part.read_to).max()?;
        let newest: Vec<ListSnapshotPart> = parts
            .into_iter()
            .filter(|part| part.read_to == read_to)
            .collect();
        let first = newest.first()?;
        let configuration = first.configuration;
        let is_whole = first.parts as usize == newest.len();
        is_whole.then(|| Self {
            read_to,
            configuration,
            entries: newest.into_iter().flat_map(|part| part.entries).collect(),
        })
    }
}

/// Returns a number that two VMs share if the same upstreams take new work by what they know.
pub fn serving_digest(directory: &Directory) -> u64 {
    let serving = directory
        .upstreams()
        .filter(|upstream| upstream.phase == UpstreamPhase::Serving);
    sum(serving.map(|upstream| digest_of_name(&upstream.name)))
}

/// Returns numbers that two VMs share if engines hold the same models and adapters by what they
/// know, one for each group of engines. Orders change what engines hold all the time: of a few
/// engines two VMs know the same at most moments, of all they seldom do.
pub fn residence_digests(directory: &Directory) -> Vec<u32> {
    let mut digests = vec![0_u32; ENGINE_GROUPS];
    let mut bytes = Vec::new();
    let mut digest_of = |names: [&str; 3]| {
        bytes.clear();
        for name in names {
            bytes.extend_from_slice(name.as_bytes());
            bytes.push(0);
        }
        xxh3_64(&bytes)
    };
    for upstream in directory.upstreams() {
        let engine = upstream.name.as_str();
        let mut digest = 0_u64;
        for resident in &upstream.residence.models {
            let model = resident.model.as_str();
            digest = digest.wrapping_add(digest_of([engine, model, ""]));
            for adapter in &resident.adapters {
                digest = digest.wrapping_add(digest_of([engine, model, adapter.as_str()]));
            }
        }
        let group = digest_of_name(&upstream.name) as usize % ENGINE_GROUPS;
        digests[group] = digests[group].wrapping_add(digest as u32);
    }
    digests
}

fn digest_of_name(name: &UpstreamName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Adds digests up, so that their order does not count.
fn sum(digests: impl Iterator<Item = u64>) -> u64 {
    digests.fold(0, u64::wrapping_add)
}
