//! State of each entry according to the listings read so far.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;

use crate::options::Options;

/// Result of applying one listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingOutcome {
    /// The listing was newer and was applied.
    Accepted,
    /// Its entries were applied, but so many are absent that the absence awaits confirmation.
    Unconfirmed,
    /// The listing was not newer than the last one and was ignored.
    Stale,
}

/// Key of one entry. An entry VM and an upstream may share a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EntryKey {
    Vm(String),
    Upstream(String),
}

/// State of one entry.
#[derive(Clone, Debug)]
pub(crate) struct KnownEntry {
    /// Entry as last listed.
    pub(crate) entry: VmEntry,
    /// Time of the listing in which the entry got its current state.
    pub(crate) state_as_of_ms: u64,
    /// Whether the entry was leaving or gone and has not been live for long enough since.
    excluded: bool,
    /// Time of the first listing that lacks the entry; `None` if it is listed.
    missing_since_ms: Option<u64>,
}

impl KnownEntry {
    fn new(entry: VmEntry, as_of_ms: u64) -> Self {
        Self {
            excluded: entry.state != VmState::Live,
            entry,
            state_as_of_ms: as_of_ms,
            missing_since_ms: None,
        }
    }

    fn is_live(&self) -> bool {
        self.entry.state == VmState::Live
    }

    /// Returns whether the VM list states that the entry is gone, as opposed to lacking it.
    pub(crate) fn is_gone(&self) -> bool {
        self.entry.state == VmState::Gone
    }

    fn update(&mut self, entry: VmEntry, as_of_ms: u64, options: &Options) {
        if entry.state != self.entry.state {
            self.state_as_of_ms = as_of_ms;
        }
        self.entry = entry;
        self.missing_since_ms = None;
        let live_ms = as_of_ms.saturating_sub(self.state_as_of_ms);
        self.excluded = match self.entry.state {
            VmState::Leaving | VmState::Gone => true,
            VmState::Live => self.excluded && live_ms < options.return_after_ms,
        };
    }

    /// Returns for how long the entry has been missing at a time of the VM list.
    fn missing_ms(&self, as_of_ms: u64) -> Option<u64> {
        self.missing_since_ms
            .map(|since_ms| as_of_ms.saturating_sub(since_ms))
    }
}

/// State of all entries according to the VM list.
///
/// All timers run in the time stated by the VM list. During an outage of the VM list that time
/// does not advance, so the last state stays in force.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    as_of_ms: Option<u64>,
    known: BTreeMap<EntryKey, KnownEntry>,
    unconfirmed_since_ms: Option<u64>,
}

impl Listing {
    /// Applies one listing.
    pub(crate) fn apply(&mut self, listing: VmListing, options: &Options) -> ListingOutcome {
        let as_of_ms = listing.as_of_ms;
        // A second server of the platform may return an older copy of the VM list, which would
        // revert leaving upstreams to live. Such a copy is recognised by its earlier time.
        if self.as_of_ms.is_some_and(|last_ms| as_of_ms <= last_ms) {
            return ListingOutcome::Stale;
        }
        self.as_of_ms = Some(as_of_ms);
        let listed: BTreeSet<EntryKey> = listing.entries.iter().map(key_of).collect();
        let is_unconfirmed = self.needs_confirmation(&listed, as_of_ms, options);
        for entry in listing.entries {
            self.update(entry, as_of_ms, options);
        }
        if is_unconfirmed {
            return ListingOutcome::Unconfirmed;
        }
        self.record_missing(&listed, as_of_ms);
        self.remove_expired(as_of_ms, options);
        ListingOutcome::Accepted
    }

    /// Returns the time stated by the last listing, or `None` before the first.
    pub(crate) fn as_of_ms(&self) -> Option<u64> {
        self.as_of_ms
    }

    /// Returns all entries that are listed or have not been missing for long.
    pub(crate) fn known(&self) -> impl Iterator<Item = (&EntryKey, &KnownEntry)> {
        self.known.iter()
    }

    /// Returns the entry with this key.
    pub(crate) fn get(&self, key: &EntryKey) -> Option<&KnownEntry> {
        self.known.get(key)
    }

    /// Returns whether the entry may receive new work.
    pub(crate) fn accepts(&self, known: &KnownEntry, options: &Options) -> bool {
        let missing_ms = known.missing_ms(self.as_of_ms.unwrap_or_default());
        let in_grace = missing_ms.is_none_or(|missing_ms| missing_ms < options.unlisted_grace_ms);
        known.is_live() && !known.excluded && in_grace
    }

    /// Returns whether this listing lacks so many entries that the absence needs confirmation by a
    /// later one. A list server that has just started, or that reads only one availability zone,
    /// omits most entries; applying the absence would take nearly all upstreams out of service at
    /// once. The listed entries are applied at once, so a leaving upstream is recognised.
    fn needs_confirmation(
        &mut self,
        listed: &BTreeSet<EntryKey>,
        as_of_ms: u64,
        options: &Options,
    ) -> bool {
        if !self.drops_most(listed, options) {
            self.unconfirmed_since_ms = None;
            return false;
        }
        let unconfirmed_since_ms = *self.unconfirmed_since_ms.get_or_insert(as_of_ms);
        let confirmed = as_of_ms - unconfirmed_since_ms >= options.confirm_ms;
        if confirmed {
            self.unconfirmed_since_ms = None;
        }
        !confirmed
    }

    fn drops_most(&self, listed: &BTreeSet<EntryKey>, options: &Options) -> bool {
        let present = |known: &KnownEntry| known.is_live() && known.missing_since_ms.is_none();
        let before = self.known.values().filter(|known| present(known)).count();
        let dropped = self
            .known
            .iter()
            .filter(|(key, known)| present(known) && !listed.contains(key))
            .count();
        before >= options.drop_floor && dropped as f64 > options.drop_share * before as f64
    }

    fn update(&mut self, entry: VmEntry, as_of_ms: u64, options: &Options) {
        let key = key_of(&entry);
        match self.known.get_mut(&key) {
            Some(known) => known.update(entry, as_of_ms, options),
            None => {
                self.known.insert(key, KnownEntry::new(entry, as_of_ms));
            }
        }
    }

    fn record_missing(&mut self, listed: &BTreeSet<EntryKey>, as_of_ms: u64) {
        for (key, known) in &mut self.known {
            if !listed.contains(key) {
                known.missing_since_ms.get_or_insert(as_of_ms);
            }
        }
    }

    fn remove_expired(&mut self, as_of_ms: u64, options: &Options) {
        self.known.retain(|_, known| {
            let missing_ms = known.missing_ms(as_of_ms);
            missing_ms.is_none_or(|missing_ms| missing_ms < options.forget_after_ms)
        });
    }
}

fn key_of(entry: &VmEntry) -> EntryKey {
    match entry.role {
        VmRole::Entry => EntryKey::Vm(entry.name.clone()),
        VmRole::Engine | VmRole::Service => EntryKey::Upstream(entry.name.clone()),
    }
}
