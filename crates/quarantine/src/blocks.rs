//! Requests that are refused because upstreams crash when they run them.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::options::Options;

/// Time by which a block must end later than the known one to count as new. Clocks and message
/// delays of the VMs differ by less.
const MIN_EXTENSION_MS: u64 = 2_000;

/// Block as VMs send it to each other and as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRow {
    /// Fingerprint of the blocked request.
    pub fingerprint: Fingerprint,
    /// Caller of the request, for the limits per caller.
    pub caller: CallerHash,
    /// How many times the request has been blocked, this time included.
    pub times: u32,
    /// Time for which it is still refused.
    pub left_ms: u64,
    /// Last upstreams that crashed under it.
    pub upstreams: Vec<UpstreamName>,
}

/// Block of one request, with the time of its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Block {
    pub caller: CallerHash,
    pub times: u32,
    pub until_ms: u64,
    pub upstreams: Vec<UpstreamName>,
}

impl Block {
    /// Returns the length of a request's `times`-th block.
    pub fn length_ms(times: u32, options: &Options) -> u64 {
        let factor = 4_u64.saturating_pow(times.saturating_sub(2));
        match times {
            0 | 1 => options.first_block_ms,
            _ => options.block_ms.saturating_mul(factor),
        }
        .min(options.max_block_ms)
    }

    /// Returns until when the block is remembered. Until then, a single crash blocks the request
    /// again.
    fn remembered_ms(&self, options: &Options) -> u64 {
        self.until_ms + Self::length_ms(self.times, options).max(options.block_ms)
    }
}

/// Blocks that are in force or have ended recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocks {
    by_fingerprint: HashMap<Fingerprint, Block>,
}

impl Blocks {
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Block> {
        self.by_fingerprint.get(fingerprint)
    }

    /// Returns the block of a request that is refused now, if there is one.
    pub fn in_force(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<&Block> {
        let block = self.by_fingerprint.get(fingerprint);
        block.filter(|block| now_ms < block.until_ms)
    }

    /// Records a block that was received from another VM or read from the store. Returns whether it
    /// is new or longer than the known one.
    pub fn record(&mut self, now_ms: u64, row: &BlockRow, options: &Options) -> bool {
        let left_ms = row.left_ms.min(options.max_block_ms);
        let until_ms = now_ms + left_ms;
        let known_until_ms = self.get(&row.fingerprint).map_or(0, |block| block.until_ms);
        if left_ms == 0 || until_ms <= known_until_ms + MIN_EXTENSION_MS {
            return false;
        }
        let block = Block {
            caller: row.caller,
            times: row.times,
            until_ms,
            upstreams: row.upstreams.clone(),
        };
        self.by_fingerprint.insert(row.fingerprint, block);
        self.enforce_limits(row, options);
        true
    }

    /// Removes the block of a request. Returns whether there was one.
    pub fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        self.by_fingerprint.remove(fingerprint).is_some()
    }

    /// Removes blocks that are no longer remembered, and returns their requests.
    pub fn forget(&mut self, now_ms: u64, options: &Options) -> Vec<Fingerprint> {
        let blocks = &mut self.by_fingerprint;
        let expired = blocks.extract_if(|_, block| block.remembered_ms(options) <= now_ms);
        expired.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Returns the blocks in force, sorted by fingerprint.
    pub fn rows(&self, now_ms: u64) -> Vec<BlockRow> {
        let mut rows: Vec<BlockRow> = self
            .by_fingerprint
            .iter()
            .filter(|(_, block)| now_ms < block.until_ms)
            .map(|(fingerprint, block)| BlockRow {
                fingerprint: *fingerprint,
                caller: block.caller,
                times: block.times,
                left_ms: block.until_ms - now_ms,
                upstreams: block.upstreams.clone(),
            })
            .collect();
        rows.sort_by_key(|row| row.fingerprint);
        rows
    }

    /// Removes the block that ends first if `new` makes too many: among those of its caller if
    /// these are too many, and among all.
    fn enforce_limits(&mut self, new: &BlockRow, options: &Options) {
        let of_caller = self.by_fingerprint.values();
        let of_caller = of_caller.filter(|block| block.caller == new.caller).count();
        let is_other = |fingerprint: &Fingerprint| *fingerprint != new.fingerprint;
        if of_caller > options.max_blocks_per_caller {
            self.remove_ending_first(|it, block| is_other(it) && block.caller == new.caller);
        }
        if self.by_fingerprint.len() > options.max_blocks {
            self.remove_ending_first(|it, _| is_other(it));
        }
    }

    fn remove_ending_first(&mut self, is_removable: impl Fn(&Fingerprint, &Block) -> bool) {
        let first = self
            .by_fingerprint
            .iter()
            .filter(|(fingerprint, block)| is_removable(fingerprint, block))
            .min_by_key(|(_, block)| block.until_ms)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = first {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
