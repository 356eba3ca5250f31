//! Recognising a message that was received before.

use std::collections::HashMap;

use apricotdale_core::names::VmName;

/// How many sequences below the highest one may still arrive.
pub const WINDOW: u64 = 128;

/// `ReplayWindow` holds which of a sender's last sequences have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReplayWindow {
    highest: u64,
    seen: u128,
    used: u64,
}

impl ReplayWindow {
    /// Notes a sequence and returns whether it is new.
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

/// `ReplayGuard` recognises messages that were received before, for a bounded number of senders.
///
/// A switch that repeats a packet or somebody who records messages could make a demand count twice.
/// One would notice a model loaded for requests that nobody sent. The guard drops the second copy.
#[derive(Debug)]
pub struct ReplayGuard {
    windows: HashMap<(VmName, u64), ReplayWindow>,
    senders_max: usize,
    uses: u64,
}

impl ReplayGuard {
    /// Returns a guard for at most so many senders. When there are more, the one that was silent
    /// for longest is forgotten.
    pub fn new(senders_max: usize) -> Self {
        Self {
            windows: HashMap::new(),
            senders_max: senders_max.max(1),
            uses: 0,
        }
    }

    /// Notes a message of a sender's process and returns whether it is new.
    pub fn accept(&mut self, sender: &VmName, process_id: u64, sequence: u64) -> bool {
        self.uses += 1;
        let uses = self.uses;
        let key = (sender.clone(), process_id);
        if !self.windows.contains_key(&key) && self.windows.len() >= self.senders_max {
            self.forget_one();
        }
        let window = self.windows.entry(key).or_default();
        window.used = uses;
        window.accept(sequence)
    }

    /// Returns how many senders are remembered.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn forget_one(&mut self) {
        let oldest = self
            .windows
            .iter()
            .min_by_key(|(_, window)| window.used)
            .map(|(key, _)| key.clone());
        if let Some(oldest) = oldest {
            self.windows.remove(&oldest);
        }
    }
}
