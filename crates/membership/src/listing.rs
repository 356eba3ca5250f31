//! What the platform's list has said, reading by reading.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmListing;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;

use crate::options::Options;

/// `ListingOutcome` is what became of one reading of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingOutcome {
    /// It was newer and is taken in.
    Accepted,
    /// Its entries are taken in, but the absence of so many others is not believed yet.
    HeldBack,
    /// It is not newer than the last one and is ignored.
    Stale,
}

/// `EntryKey` names one entry. An entry VM and an upstream may share a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EntryKey {
    Vm(String),
    Upstream(String),
}

/// `Known` is what is known of one entry.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// The entry as last listed.
    pub(crate) entry: VmEntry,
    /// The listing's time at which the entry got its present state.
    pub(crate) state_as_of_ms: u64,
    /// Whether the entry was leaving or gone and is not yet back for long enough.
    barred: bool,
    /// The listing's time since which the entry is missing.
    missing_since_ms: Option<u64>,
}

impl Known {
    fn new(entry: VmEntry, as_of_ms: u64) -> Self {
        Self {
            barred: entry.state != VmState::Live,
            entry,
            state_as_of_ms: as_of_ms,
            missing_since_ms: None,
        }
    }

    fn is_live(&self) -> bool {
        self.entry.state == VmState::Live
    }

    /// Returns whether the list has said that the entry is gone, in words.
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
        self.barred = match self.entry.state {
            VmState::Leaving | VmState::Gone => true,
            VmState::Live => self.barred && live_ms < options.return_after_ms,
        };
    }

    /// Returns for how long the entry has been missing at a time of the list.
    fn missing_ms(&self, as_of_ms: u64) -> Option<u64> {
        self.missing_since_ms
            .map(|since_ms| as_of_ms.saturating_sub(since_ms))
    }
}

/// `Listing` keeps what the list has said of each entry.
///
/// All its timers run in the list's own time. During an outage of the list that time stands still,
/// so the last view stays in force.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    as_of_ms: Option<u64>,
    known: BTreeMap<EntryKey, Known>,
    held_since_ms: Option<u64>,
}

impl Listing {
    /// Takes in one reading.
    pub(crate) fn read(&mut self, listing: VmListing, options: &Options) -> ListingOutcome {
        let as_of_ms = listing.as_of_ms;
        // An older copy of the list, as a second server of the platform may give, would bring back
        // upstreams that are leaving. It shows by a time that goes backward.
        if self.as_of_ms.is_some_and(|last_ms| as_of_ms <= last_ms) {
            return ListingOutcome::Stale;
        }
        self.as_of_ms = Some(as_of_ms);
        let listed: BTreeSet<EntryKey> = listing.entries.iter().map(key_of).collect();
        let held_back = self.hold_back(&listed, as_of_ms, options);
        for entry in listing.entries {
            self.update(entry, as_of_ms, options);
        }
        if held_back {
            return ListingOutcome::HeldBack;
        }
        self.note_missing(&listed, as_of_ms);
        self.forget_old(as_of_ms, options);
        ListingOutcome::Accepted
    }

    /// Returns the time of which the last listing spoke.
    pub(crate) fn as_of_ms(&self) -> Option<u64> {
        self.as_of_ms
    }

    /// Returns every known entry.
    pub(crate) fn known(&self) -> impl Iterator<Item = (&EntryKey, &Known)> {
        self.known.iter()
    }

    /// Returns one entry.
    pub(crate) fn get(&self, key: &EntryKey) -> Option<&Known> {
        self.known.get(key)
    }

    /// Returns whether the entry may receive new work.
    pub(crate) fn accepts(&self, known: &Known, options: &Options) -> bool {
        let missing_ms = known.missing_ms(self.as_of_ms.unwrap_or_default());
        let in_grace = missing_ms.is_none_or(|missing_ms| missing_ms < options.unlisted_grace_ms);
        known.is_live() && !known.barred && in_grace
    }

    /// Returns whether this reading drops so much that it is not believed yet. A list server that
    /// has just started, or reads only one availability zone, leaves out most entries; believing it
    /// would take nearly all upstreams out of service at once. The entries that it does name are
    /// believed, so a leaving upstream is never held back.
    fn hold_back(&mut self, listed: &BTreeSet<EntryKey>, as_of_ms: u64, options: &Options) -> bool {
        if !self.drops_most(listed, options) {
            self.held_since_ms = None;
            return false;
        }
        let held_since_ms = *self.held_since_ms.get_or_insert(as_of_ms);
        let confirmed = as_of_ms - held_since_ms >= options.confirm_ms;
        if confirmed {
            self.held_since_ms = None;
        }
        !confirmed
    }

    fn drops_most(&self, listed: &BTreeSet<EntryKey>, options: &Options) -> bool {
        let present = |known: &Known| known.is_live() && known.missing_since_ms.is_none();
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
                self.known.insert(key, Known::new(entry, as_of_ms));
            }
        }
    }

    fn note_missing(&mut self, listed: &BTreeSet<EntryKey>, as_of_ms: u64) {
        for (key, known) in &mut self.known {
            if !listed.contains(key) {
                known.missing_since_ms.get_or_insert(as_of_ms);
            }
        }
    }

    fn forget_old(&mut self, as_of_ms: u64, options: &Options) {
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
