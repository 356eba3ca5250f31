//! Entry that an engine writes to the store, and its incarnations.

use std::net::SocketAddr;

use serde_json::json;

use crate::platform::engine::PlatformEngine;

/// Start of the first incarnation of each engine, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;

/// Slots that the entry states unless the engine's room is set.
const SLOTS: usize = 8;

/// Time between the starts of two incarnations, in milliseconds.
const RESTART_INTERVAL_MS: u64 = 1_000;

#[derive(Default)]
pub(super) struct Entry {
    address: Option<SocketAddr>,
    revision: u64,
    draining: bool,
    gone: bool,
    restarts: u64,
    /// Start that reports state in place of the engine's own; absent to state its own.
    reported_start_ms: Option<u64>,
}

impl Entry {
    pub fn started_ms(&self) -> u64 {
        FIRST_START_MS + self.restarts * RESTART_INTERVAL_MS
    }

    pub fn reported_start_ms(&self) -> u64 {
        self.reported_start_ms.unwrap_or_else(|| self.started_ms())
    }
}

impl PlatformEngine {
    /// Writes the engine's entry. The address is given at the start and kept for later calls.
    pub fn announce(&self, address: Option<SocketAddr>) {
        let mut entry = self.entry.lock();
        entry.address = address.or(entry.address);
        entry.revision += 1;
        let Some(address) = entry.address.filter(|_| !entry.gone) else {
            return;
        };
        let mut value = self.holdings.lock().describe();
        value["service"] = json!(self.options.service);
        value["address"] = json!(address.to_string());
        value["zone"] = json!(self.options.zone);
        value["version"] = json!(*self.answers.software_version.lock());
        value["slots"] = json!(self.answers.room.stated_slots(SLOTS));
        value["state"] = json!(if entry.draining { "draining" } else { "ready" });
        value["cold_remaining_ms"] = json!(0);
        value["sequence"] = json!(entry.revision);
        value["born"] = json!(entry.started_ms());
        let bytes = value.to_string().into_bytes();
        self.store
            .put("keyed.servers", &self.options.instance, &bytes);
    }

    /// Restarts the engine under its identity: only the models on its disk remain, and it counts
    /// from the beginning. Requests of the previous incarnation stay unanswered. The entry is
    /// written with the next [`PlatformEngine::announce`].
    pub fn restart(&self) {
        let mut entry = self.entry.lock();
        entry.restarts += 1;
        entry.revision = 0;
        entry.draining = false;
        self.holdings.lock().restart();
    }

    /// Sets the start that the engine's reports state, in Unix milliseconds; none for its own.
    pub fn set_reported_start(&self, start_ms: Option<u64>) {
        self.entry.lock().reported_start_ms = start_ms;
    }

    /// Returns the engine's entry as it was last written.
    pub fn entry(&self) -> Option<Vec<u8>> {
        self.store.newest("keyed.servers", &self.options.instance)
    }

    /// Replaces the engine's entry by other bytes.
    pub fn overwrite_entry(&self, bytes: &[u8]) {
        self.store
            .put("keyed.servers", &self.options.instance, bytes);
    }

    /// Writes an entry which says that the engine is draining.
    pub fn drain(&self) {
        self.entry.lock().draining = true;
        self.announce(None);
    }

    /// Removes the engine's entry until [`PlatformEngine::restore_entry`].
    pub fn withdraw(&self) {
        self.entry.lock().gone = true;
        self.store.put("keyed.servers", &self.options.instance, b"");
    }

    /// Writes the engine's entry as it is now, or removes it again, after a rollback of the store.
    pub fn rewrite_entry(&self) {
        let gone = self.entry.lock().gone;
        match gone {
            true => self.withdraw(),
            false => self.announce(None),
        }
    }

    /// Writes the engine's entry again after its removal, as a running engine does whose entry
    /// expired.
    pub fn restore_entry(&self) {
        self.entry.lock().gone = false;
        self.announce(None);
    }
}
