//! Detection of replayed messages.

use std::collections::HashMap;

use apricotdale_core::names::VmName;

/// Width of the replay window: a sequence number that lies this far or further below the highest
/// one received from a sender is rejected.
pub const WINDOW: u64 = 128;

/// Record of which of a sender's latest sequence numbers were received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReplayWindow {
    highest: u64,
    seen: u128,
    last_use: u64,
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = match ahead {
                ahead if ahead < WINDOW => self.seen << ahead,
                _ => 0,
            };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW {
            return false;
        }
        let bit = 1u128 << behind;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}

/// Detects replayed messages of a bounded number of senders.
///
/// A switch that duplicates packets, or an attacker who records messages, could make a demand count
/// twice, and a model would be loaded for requests that nobody sent. The guard recognises the
/// second copy.
#[derive(Debug)]
pub struct ReplayGuard {
    windows: HashMap<(VmName, u64), ReplayWindow>,
    senders_max: usize,
    uses: u64,
}

impl ReplayGuard {
    /// Returns a guard for at most `senders_max` senders, at least 1. Beyond that, the sender with
    /// the oldest message is removed.
    pub fn new(senders_max: usize) -> Self {
        Self {
            windows: HashMap::new(),
            senders_max: senders_max.max(1),
            uses: 0,
        }
    }

    /// Records a message of a sender's process and returns whether it is new.
    pub fn accept(&mut self, sender: &VmName, process_id: u64, sequence: u64) -> bool {
        self.uses += 1;
        let uses = self.uses;
        let key = (sender.clone(), process_id);
        if !self.windows.contains_key(&key) && self.windows.len() >= self.senders_max {
            self.evict_oldest();
        }
        let window = self.windows.entry(key).or_default();
        window.last_use = uses;
        window.accept(sequence)
    }

    /// Returns the number of remembered senders.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.last_use)
            .map(|(key, _)| key.clone());
        if let Some(oldest) = oldest {
            self.windows.remove(&oldest);
        }
    }
}
