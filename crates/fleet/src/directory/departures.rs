//! How upstreams stop accepting new work: by their own notice, by a missing entry, or as announced
//! by other VMs.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;

use super::Directory;
use super::DirectoryChange;
use super::EndedIncarnation;
use super::is_before;
use crate::departure::Departure;
use crate::departure::DepartureKind;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;

impl Directory {
    /// Records that another writer has overwritten an upstream's entry. Such an entry contains no
    /// usable address, so the incarnation is not used until its own entry is back.
    pub fn record_foreign_entry(&mut self, instance: &InstanceName) -> DirectoryChange {
        match self.current_incarnation(instance).cloned() {
            Some(name) => self.record_gone(&name),
            None => DirectoryChange::None,
        }
    }

    /// Returns the departure of an upstream that accepts no new work, or `None` if the upstream
    /// accepts work or was never known.
    pub fn departure(&self, name: &UpstreamName) -> Option<Departure> {
        let unknown = Position::default();
        let (revision, read_to, kind) = match (self.upstreams.get(name), self.ended.get(name)) {
            (Some(known), _) if known.phase == UpstreamPhase::Leaving => {
                (known.revision, unknown, DepartureKind::Final)
            }
            (None, Some(ended)) if ended.is_final() => {
                (ended.revision, unknown, DepartureKind::Final)
            }
            (None, Some(ended)) => (ended.revision, ended.read_to, DepartureKind::Missing),
            _ => return None,
        };
        Some(Departure {
            upstream: name.clone(),
            revision,
            read_to,
            kind,
        })
    }

    /// Records an upstream's own notice that it leaves. It is final, whatever its entry says.
    pub fn record_leave_notice(&mut self, name: &UpstreamName) -> DirectoryChange {
        match self.upstreams.get_mut(name) {
            Some(known) if known.phase == UpstreamPhase::Serving => {
                self.changes += 1;
                known.phase = UpstreamPhase::Leaving;
                DirectoryChange::Left
            }
            _ => DirectoryChange::None,
        }
    }

    /// Returns whether a service has upstreams and all of them leave.
    pub fn is_leaving(&self, service: &GroupName) -> bool {
        let mut upstreams = self.upstreams.values().filter(|it| &it.service == service);
        let mut is_any = false;
        upstreams.all(|it| {
            is_any = true;
            it.phase == UpstreamPhase::Leaving
        }) && is_any
    }

    /// Records a departure announced by another VM.
    pub fn record_departure(&mut self, departure: &Departure) -> DirectoryChange {
        let name = &departure.upstream;
        let last_seen_at = self.last_seen_at.get(name).copied().unwrap_or_default();
        let last_seen_at = last_seen_at.max(self.confirmed_up_to);
        let is_later = |known: &Upstream| match is_before(last_seen_at, departure.read_to) {
            Some(is_before) => is_before,
            None => known.revision <= departure.revision,
        };
        match (self.upstreams.get_mut(name), departure.kind) {
            (Some(known), DepartureKind::Final) if known.phase == UpstreamPhase::Serving => {
                known.phase = UpstreamPhase::Leaving;
                DirectoryChange::Left
            }
            // The entry of an upstream that is not known yet may be read later.
            (None, DepartureKind::Final) => {
                self.record_unknown_end(departure);
                DirectoryChange::None
            }
            (Some(known), DepartureKind::Missing) if is_later(known) => {
                known.revision = known.revision.max(departure.revision);
                self.set_read_position(departure.read_to);
                self.record_gone(name)
            }
            _ => DirectoryChange::None,
        }
    }

    fn record_unknown_end(&mut self, departure: &Departure) {
        let ended = self.ended.entry(departure.upstream.clone());
        let ended = ended.or_insert(EndedIncarnation {
            revision: departure.revision,
            read_to: departure.read_to,
            restarted: false,
            gave_notice: true,
        });
        ended.gave_notice = true;
    }

    /// Records that a read of the upstream list failed.
    pub fn record_list_failure(&mut self) {
        self.recovery.record_failure();
    }

    /// Records that a read of the upstream list was answered. Must precede recording its entries.
    pub fn record_list_answer(&mut self, now_ms: u64) {
        self.recovery.record_answer(now_ms);
    }

    /// Records that the store was rolled back, so that entries of live upstreams may be missing.
    pub fn record_list_rollback(&mut self, now_ms: u64) {
        self.recovery.record_rollback(now_ms);
    }

    /// Records that another VM, whose upstream list is complete, read it at `read_ms`.
    pub fn record_complete_list(&mut self, read_ms: u64) {
        self.recovery.record_complete_elsewhere(read_ms);
    }

    /// Returns whether certainly no live upstream is missing, so that other VMs may rely on this
    /// VM's upstream list.
    pub fn is_list_complete(&self, now_ms: u64) -> bool {
        self.recovery.is_known_complete(now_ms)
    }

    /// Returns when the upstream list will be complete again after an outage, and should be read;
    /// `None` if it is complete already or its last read failed.
    pub fn list_complete_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.recovery.complete_at_ms(now_ms)
    }

    /// Removes and returns the upstreams whose entries have not come back after an outage. To be
    /// called when the upstream list was read to its end; returns nothing while live upstreams may
    /// still be missing.
    pub fn drop_lapsed(&mut self, now_ms: u64) -> Vec<UpstreamName> {
        if self.recovery.is_recovering(now_ms) {
            return Vec::new();
        }
        let dropped: Vec<UpstreamName> = self.lapsed.drain().collect();
        for name in &dropped {
            self.remove(name);
        }
        dropped
    }

    /// Records that this VM's upstream list equals another VM's complete one, read up to
    /// `position`. Upstreams kept around an outage are then present.
    pub fn record_same_list(&mut self, position: Position) {
        self.lapsed.clear();
        self.confirmed_up_to = self.confirmed_up_to.max(position);
    }

    /// Records that an upstream's entry is missing. Around an outage the entry of a live upstream
    /// may have lapsed only because its heartbeats could not be written, so the upstream stays in
    /// use until the upstream list is complete again.
    pub fn record_missing_entry(&mut self, now_ms: u64, name: &UpstreamName) -> DirectoryChange {
        let is_recovering = self.recovery.is_recovering(now_ms);
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

    /// Removes an upstream that has certainly left.
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
        self.last_seen_at.remove(name);
        if let Some(known) = self.upstreams.remove(name) {
            let ended = EndedIncarnation {
                revision: known.revision,
                read_to: self.read_to,
                restarted: false,
                gave_notice: known.phase == UpstreamPhase::Leaving,
            };
            self.ended.insert(name.clone(), ended);
        }
    }
}
