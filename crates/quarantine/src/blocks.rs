//! Requests and prompt parts that are refused because upstreams crash when they run them.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::features::RequestFeatures;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;

/// Time by which a block must end later than the known one to count as new. Clocks and message
/// delays of the VMs differ by less.
const MIN_EXTENSION_MS: u64 = 2_000;

/// Block as VMs send it to each other and as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRow {
    /// Identity of the block: the fingerprint of the blocked request or part, or a hash of several
    /// parts.
    pub fingerprint: Fingerprint,
    /// The request, or the prompt parts, that are blocked. Requests that have all of them are
    /// refused: one of these parts crashes upstreams, and it is not known yet which.
    pub features: Vec<Fingerprint>,
    /// Caller of a request under which upstreams crashed, for the limits per caller.
    pub caller: CallerHash,
    /// How many times the request or the parts have been blocked, this time included.
    pub times: u32,
    /// Time for which it is still refused.
    pub left_ms: u64,
    /// Last upstreams that crashed under it.
    pub upstreams: Vec<UpstreamName>,
}

/// Block with the time of its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Block {
    /// Features of the requests that are refused, sorted and not empty.
    pub features: Vec<Fingerprint>,
    pub caller: CallerHash,
    pub times: u32,
    pub until_ms: u64,
    pub upstreams: Vec<UpstreamName>,
}

impl Block {
    /// Returns the length of the `times`-th block of the same features.
    pub fn length_ms(times: u32, options: &Options) -> u64 {
        let factor = 4_u64.saturating_pow(times.saturating_sub(2));
        match times {
            0 | 1 => options.first_block_ms,
            _ => options.block_ms.saturating_mul(factor),
        }
        .min(options.max_block_ms)
    }

    /// Returns until when the block is remembered. Until then, a single crash renews it.
    fn remembered_ms(&self, options: &Options) -> u64 {
        self.until_ms + Self::length_ms(self.times, options).max(options.block_ms)
    }
}

impl Block {
    /// Returns whether a request has all blocked features.
    pub fn matches(&self, request: &RequestFeatures) -> bool {
        self.features.iter().all(|it| request.contains(it))
    }

    fn is_in_force(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    fn row(&self, now_ms: u64) -> BlockRow {
        BlockRow {
            fingerprint: Fingerprint::of_all(&self.features),
            features: self.features.clone(),
            caller: self.caller,
            times: self.times,
            left_ms: self.until_ms.saturating_sub(now_ms),
            upstreams: self.upstreams.clone(),
        }
    }
}

/// Changes of the blocks after a request was answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiftedBlocks {
    /// Identities of the blocks that have ended.
    pub ended: Vec<Fingerprint>,
    /// Blocks of the features that remain under suspicion. They replace ended ones.
    pub remaining: Vec<BlockRow>,
}

/// Blocks that are in force or have ended recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocks {
    by_id: HashMap<Fingerprint, Block>,
    /// Identities of blocks by the first of their features.
    ids: BTreeMap<Fingerprint, Vec<Fingerprint>>,
}

impl Blocks {
    /// Returns the blocks that a request matches, in force or recent.
    pub fn matching<'a>(&'a self, request: &'a RequestFeatures) -> impl Iterator<Item = &'a Block> {
        let ids = request.all().filter_map(|feature| self.ids.get(feature));
        let blocks = ids.flatten().filter_map(|id| self.by_id.get(id));
        blocks.filter(|block| block.matches(request))
    }

    /// Returns the block due to which a request is refused now, the one that ends last.
    pub fn in_force(&self, now_ms: u64, request: &RequestFeatures) -> Option<BlockRow> {
        let blocks = self.matching(request);
        let blocks = blocks.filter(|block| block.is_in_force(now_ms));
        let last = blocks.max_by_key(|block| block.until_ms);
        last.map(|block| block.row(now_ms))
    }

    /// Returns whether a feature is among those of a block, in force or recent.
    pub fn contains(&self, feature: &Fingerprint) -> bool {
        let mut blocks = self.by_id.values();
        blocks.any(|block| block.features.contains(feature))
    }

    /// Returns the blocks that have ended recently.
    pub fn ended(&self, now_ms: u64) -> impl Iterator<Item = &Block> {
        let blocks = self.by_id.values();
        blocks.filter(move |block| !block.is_in_force(now_ms))
    }

    /// Returns whether a block refuses all requests with these features, or has done so recently.
    pub fn covers(&self, features: &[Fingerprint]) -> bool {
        let ids = features.iter().filter_map(|feature| self.ids.get(feature));
        let mut blocks = ids.flatten().filter_map(|id| self.by_id.get(id));
        blocks.any(|block| block.features.iter().all(|it| features.contains(it)))
    }

    /// Returns how many times requests with exactly these features have been blocked.
    pub fn times(&self, features: &[Fingerprint]) -> u32 {
        let block = self.by_id.get(&Fingerprint::of_all(features));
        block.map_or(0, |block| block.times)
    }

    /// Records a block that was received from another VM or read from the store. Returns whether it
    /// is new or longer than the known one.
    pub fn record(&mut self, now_ms: u64, row: &BlockRow, options: &Options) -> bool {
        let left_ms = row.left_ms.min(options.max_block_ms);
        let until_ms = now_ms + left_ms;
        let known = self.by_id.get(&row.fingerprint);
        let known_until_ms = known.map_or(0, |block| block.until_ms);
        if left_ms == 0
            || until_ms <= known_until_ms + MIN_EXTENSION_MS
            || row.features.is_empty()
            || row.fingerprint != Fingerprint::of_all(&row.features)
        {
            return false;
        }
        self.insert(Block {
            features: row.features.clone(),
            caller: row.caller,
            times: row.times,
            until_ms,
            upstreams: row.upstreams.clone(),
        });
        self.enforce_limits(row, options);
        true
    }

    fn insert(&mut self, block: Block) {
        let id = Fingerprint::of_all(&block.features);
        let ids = self.ids.entry(block.features[0]).or_default();
        if !ids.contains(&id) {
            ids.push(id);
        }
        self.by_id.insert(id, block);
    }

    fn remove(&mut self, id: &Fingerprint) -> Option<Block> {
        let block = self.by_id.remove(id)?;
        if let Some(ids) = self.ids.get_mut(&block.features[0]) {
            ids.retain(|it| it != id);
            if ids.is_empty() {
                self.ids.remove(&block.features[0]);
            }
        }
        Some(block)
    }

    /// Removes a feature that does not crash upstreams, or the whole block with this identity. The
    /// other features of a block remain blocked.
    pub fn lift(&mut self, now_ms: u64, feature: &Fingerprint) -> LiftedBlocks {
        let affected = self.by_id.iter();
        let affected = affected.filter(|(id, it)| *id == feature || it.features.contains(feature));
        let ids: Vec<Fingerprint> = affected.map(|(id, _)| *id).collect();
        let mut lifted = LiftedBlocks::default();
        for id in ids {
            let Some(mut block) = self.remove(&id) else {
                continue;
            };
            lifted.ended.push(id);
            block.features.retain(|it| it != feature);
            if id == *feature || block.features.is_empty() {
                continue;
            }
            let known = self.by_id.get(&Fingerprint::of_all(&block.features));
            if known.is_none_or(|known| known.until_ms < block.until_ms) {
                if block.is_in_force(now_ms) {
                    lifted.remaining.push(block.row(now_ms));
                }
                self.insert(block);
            }
        }
        lifted
    }

    /// Removes blocks that are no longer remembered, and returns their identities.
    pub fn forget(&mut self, now_ms: u64, options: &Options) -> Vec<Fingerprint> {
        let blocks = self.by_id.iter();
        let expired = blocks.filter(|(_, block)| block.remembered_ms(options) <= now_ms);
        let expired: Vec<Fingerprint> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Returns the blocks in force, sorted by identity.
    pub fn rows(&self, now_ms: u64) -> Vec<BlockRow> {
        let blocks = self.by_id.values();
        let blocks = blocks.filter(|block| block.is_in_force(now_ms));
        let mut rows: Vec<BlockRow> = blocks.map(|block| block.row(now_ms)).collect();
        rows.sort_by_key(|row| row.fingerprint);
        rows
    }

    /// Removes the block that ends first if `new` makes too many: among those of its caller if
    /// these are too many, and among all.
    fn enforce_limits(&mut self, new: &BlockRow, options: &Options) {
        let of_caller = self.by_id.values();
        let of_caller = of_caller.filter(|block| block.caller == new.caller).count();
        let is_other = |id: &Fingerprint| *id != new.fingerprint;
        if of_caller > options.max_blocks_per_caller {
            self.remove_ending_first(|id, block| is_other(id) && block.caller == new.caller);
        }
        if self.by_id.len() > options.max_blocks {
            self.remove_ending_first(|id, _| is_other(id));
        }
    }

    fn remove_ending_first(&mut self, is_removable: impl Fn(&Fingerprint, &Block) -> bool) {
        let first = self
            .by_id
            .iter()
            .filter(|(id, block)| is_removable(id, block))
            .min_by_key(|(_, block)| block.until_ms)
            .map(|(id, _)| *id);
        if let Some(id) = first {
            self.remove(&id);
        }
    }
}
