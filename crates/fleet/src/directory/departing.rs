//! How upstreams stop taking new work: by notice, by a missing entry, by what other VMs tell.

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;

use super::Directory;
use super::DirectoryChange;
use super::GoneRun;
use super::is_before;
use crate::departure::Departure;
use crate::departure::DepartureKind;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;

impl Directory {
    /// Takes in an entry that is none of the upstream's own: another writer has put it there. It
    /// names nobody to send to, so the run that stood there is not used until its own entry is
    /// back.
    pub fn record_foreign_entry(&mut self, instance: &InstanceName) -> DirectoryChange {
        match self.current_incarnation(instance).cloned() {
            Some(name) => self.record_gone(&name),
            None => DirectoryChange::None,
        }
    }

    /// Returns what is known of an upstream that takes no new work; none if it may, or was never
    /// known.
    pub fn departure(&self, name: &UpstreamName) -> Option<Departure> {
        let unknown = Position::default();
        let (revision, read_to, kind) = match (self.upstreams.get(name), self.gone.get(name)) {
            (Some(known), _) if known.phase == UpstreamPhase::Leaving => {
                (known.revision, unknown, DepartureKind::Final)
            }
            (None, Some(gone)) if gone.restarted => (gone.revision, unknown, DepartureKind::Final),
            (None, Some(gone)) => (gone.revision, gone.read_to, DepartureKind::Missing),
            _ => return None,
        };
        Some(Departure {
            upstream: name.clone(),
            revision,
            read_to,
            kind,
        })
    }

    /// Takes in that an upstream takes no new work any more, as another VM has read.
    pub fn record_departure(&mut self, departure: &Departure) -> DirectoryChange {
        let name = &departure.upstream;
        let there_at = self.there_at.get(name).copied().unwrap_or_default();
        let there_at = there_at.max(self.same_up_to);
        let is_later = |known: &Upstream| match is_before(there_at, departure.read_to) {
            Some(is_before) => is_before,
            None => known.revision <= departure.revision,
        };
        match (self.upstreams.get_mut(name), departure.kind) {
            (Some(known), DepartureKind::Final) if known.phase == UpstreamPhase::Serving => {
                known.phase = UpstreamPhase::Leaving;
                DirectoryChange::Left
            }
            (Some(known), DepartureKind::Missing) if is_later(known) => {
                known.revision = known.revision.max(departure.revision);
                self.set_read_position(departure.read_to);
                self.record_gone(name)
            }
            _ => DirectoryChange::None,
        }
    }

    /// Takes in that a read of the list failed.
    pub fn record_list_failure(&mut self) {
        self.recovery.lost();
    }

    /// Takes in that a read of the list was answered, before its entries are taken in.
    pub fn record_list_answer(&mut self, now_ms: u64) {
        self.recovery.answered(now_ms);
    }

    /// Takes in that the list has come back from an older copy: live upstreams may be missing.
    pub fn record_list_rollback(&mut self, now_ms: u64) {
        self.recovery.set_back(now_ms);
    }

    /// Takes in that another VM, whose list is whole, read it at a moment.
    pub fn record_complete_list(&mut self, read_ms: u64) {
        self.recovery.whole_elsewhere(read_ms);
    }

    /// Returns whether no live upstream is missing for certain, so that other VMs may rely on it.
    pub fn is_list_complete(&self, now_ms: u64) -> bool {
        self.recovery.is_known_whole(now_ms)
    }

    /// Returns when the list is whole again after an outage; it should be read then. None if it is
    /// whole, or can't be read.
    pub fn list_complete_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.recovery.ends_ms(now_ms)
    }

    /// Takes in that the list was read to its end. Drops the upstreams whose entries have not come
    /// back after an outage, and returns them.
    pub fn drop_lapsed(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        if self.recovery.is_under_way(now_ms) {
            return Vec::new();
        }
        let over: Vec<UpstreamName> = self.lapsed.drain().collect();
        for name in &over {
            self.remove(name);
        }
        over
    }

    /// Takes in that this VM's list is the same as one that was read up to a position, in which no
    /// live upstream is missing: what was kept around an outage is there.
    pub fn record_same_list(&mut self, position: Position) {
        self.lapsed.clear();
        self.same_up_to = self.same_up_to.max(position);
    }

    /// Takes in that an upstream's entry is no longer there. Around an outage of the list a live
    /// upstream's entry may have lapsed only because its heartbeats found no one; it is then used
    /// until the list is whole again.
    pub fn record_missing_entry(&mut self, now_ms: u64, name: &UpstreamName) -> DirectoryChange {
        let is_recovering = self.recovery.is_under_way(now_ms);
        match self.upstreams.get(name) {
            Some(known) if is_recovering && known.phase == UpstreamPhase::Serving => {
                match self.lapsed.insert(name.clone()) {
                    true => DirectoryChange::Lapsed,
                    false => DirectoryChange::None,
                }
            }
            _ => self.record_gone(name),
        }
    }

    /// Takes in that an upstream is gone for certain.
    pub fn record_gone(&mut self, name: &UpstreamName) -> DirectoryChange {
        if !self.upstreams.contains_key(name) {
            return DirectoryChange::None;
        }
        self.remove(name);
        DirectoryChange::Left
    }

    pub(super) fn remove(&mut self, name: &UpstreamName) {
        self.changes += 1;
        self.lapsed.remove(name);
        self.there_at.remove(name);
        if let Some(known) = self.upstreams.remove(name) {
            let gone = GoneRun {
                revision: known.revision,
                read_to: self.read_to,
                restarted: false,
            };
            self.gone.insert(name.clone(), gone);
        }
    }
}
