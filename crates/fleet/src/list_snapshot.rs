//! Snapshots of the upstream list, written by one VM for the others.
//!
//! Every upstream rewrites its entry about once a second, with everything that it holds and caches.
//! If every VM read all entries, the bytes would grow with the product of VMs and upstreams. So a
//! few VMs read them, and the others take from snapshots what they need: which upstreams serve,
//! where, and what can run there.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::Directory;
use crate::entry_versions::RecentVersions;
use crate::entry_versions::append_versions;
use crate::entry_versions::set_versions;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;

/// Number of groups of engines that have a digest each.
const ENGINE_GROUPS: usize = 16;

/// Maximum number of entries in one part. An engine takes some 170 bytes, rarely over 400, and the
/// store accepts records of up to 256 KiB.
const ENTRIES_PER_PART: usize = 500;

/// Stored part of a [`ListSnapshot`]. An engine takes some 170 bytes in it, against thousands in
/// its own entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListSnapshotPart {
    /// Position up to which the upstream list had been read: that of the next change.
    pub read_to: Position,
    /// Version of the configuration in force; 0 if the VM that wrote the snapshot does not know it.
    pub configuration: u64,
    /// Number of parts of the snapshot, at least 1.
    pub parts: u32,
    /// Upstreams whose entries this part contains; each upstream is in one part only.
    pub entries: Vec<Upstream>,
    /// Versions that services ran lately. Like those of the entries, they follow behind the part.
    #[serde(skip)]
    pub recent_versions: RecentVersions,
}

impl ListSnapshotPart {
    /// Encodes the part as it is stored.
    ///
    /// # Errors
    ///
    /// Those of the encoder, if the part can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        let bytes = append_versions(postcard::to_stdvec(self)?, &self.entries)?;
        postcard::to_extend(&self.recent_versions, bytes)
    }

    /// Decodes a stored part.
    ///
    /// # Errors
    ///
    /// Those of the decoder, if the bytes are no such part.
    pub fn from_bytes(bytes: &[u8]) -> postcard::Result<Self> {
        let (mut part, rest): (Self, &[u8]) = postcard::take_from_bytes(bytes)?;
        let rest = set_versions(&mut part.entries, rest);
        part.recent_versions = postcard::from_bytes(rest).unwrap_or_default();
        Ok(part)
    }
}

/// One VM's state of all upstreams at a position of the upstream list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    /// Position up to which the upstream list had been read: that of the next change.
    pub read_to: Position,
    /// Version of the configuration in force; 0 if the VM that wrote the snapshot does not know it.
    pub configuration: u64,
    /// All upstreams known to that VM, including leaving ones.
    pub entries: Vec<Upstream>,
    /// Versions that services ran lately, as that VM knows them.
    pub recent_versions: RecentVersions,
}

impl ListSnapshot {
    /// Returns a snapshot of the directory's upstreams, with the directory's configuration in force.
    pub fn new(read_to: Position, directory: &Directory) -> Self {
        Self {
            read_to,
            configuration: directory.version(),
            entries: directory.upstreams().cloned().collect(),
            recent_versions: RecentVersions::default(),
        }
    }

    /// Returns the parts to be stored; a single empty one if there are no upstreams.
    pub fn into_parts(self) -> Vec<ListSnapshotPart> {
        let part = |entries: &[Upstream]| ListSnapshotPart {
            read_to: self.read_to,
            configuration: self.configuration,
            parts: self.entries.len().div_ceil(ENTRIES_PER_PART).max(1) as u32,
            entries: entries.to_vec(),
            recent_versions: self.recent_versions.clone(),
        };
        match self.entries.is_empty() {
            true => vec![part(&[])],
            false => self.entries.chunks(ENTRIES_PER_PART).map(part).collect(),
        }
    }

    /// Returns the newest snapshot, or `None` unless all its parts are there. Parts of an older
    /// snapshot stay in the store if the newer one has fewer, and a write between two pages of a
    /// read leads to parts of both.
    pub fn from_parts(parts: Vec<ListSnapshotPart>) -> Option<Self> {
        let read_to = parts.iter().map(|part| part.read_to).max()?;
        let newest: Vec<ListSnapshotPart> = parts
            .into_iter()
            .filter(|part| part.read_to == read_to)
            .collect();
        let first = newest.first()?;
        let configuration = first.configuration;
        let recent_versions = first.recent_versions.clone();
        let is_complete = first.parts as usize == newest.len();
        is_complete.then(|| Self {
            read_to,
            configuration,
            entries: newest.into_iter().flat_map(|part| part.entries).collect(),
            recent_versions,
        })
    }
}

/// Returns a digest of the upstreams that accept new work, which two VMs with the same set share.
pub fn serving_digest(directory: &Directory) -> u64 {
    let serving = directory
        .upstreams()
        .filter(|upstream| upstream.phase == UpstreamPhase::Serving);
    sum(serving.map(|upstream| name_digest(&upstream.name)))
}

/// Returns a digest of the software versions of the upstreams that accept new work, which two VMs
/// that know the same ones share.
pub fn versions_digest(directory: &Directory) -> u64 {
    let serving = directory
        .upstreams()
        .filter(|upstream| upstream.phase == UpstreamPhase::Serving);
    sum(serving.map(|upstream| {
        let version = upstream.version.as_ref().map_or("", |it| it.as_str());
        xxh3_64_with_seed(version.as_bytes(), name_digest(&upstream.name))
    }))
}

/// Returns digests of the models and adapters resident on engines, one for each group of engines,
/// which two VMs with the same state share. Orders change residences all the time: for a small
/// group two VMs agree at most moments, for all engines together they seldom do.
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
        let group = name_digest(&upstream.name) as usize % ENGINE_GROUPS;
        digests[group] = digests[group].wrapping_add(digest as u32);
    }
    digests
}

fn name_digest(name: &UpstreamName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Adds up digests, so that their order does not matter.
fn sum(digests: impl Iterator<Item = u64>) -> u64 {
    digests.fold(0, u64::wrapping_add)
}
