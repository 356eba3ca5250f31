//! Demand of one VM, and its announcements.

use std::collections::HashMap;

use apricotdale_fleet::WantedModel;

use crate::demand::DemandRow;

/// Number of announcements of a row after each change. Datagrams may be lost, so there are two.
const ANNOUNCEMENTS_PER_CHANGE: u8 = 2;

/// State of a caller's request, as far as the lease holder needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The request waits because no engine holds its model or adapter.
    Missing,
    /// The request waits because all engines that hold its model are full.
    Full,
    /// The request runs on an engine.
    Running,
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    arrived: u64,
    is_busy: bool,
    /// Number of announcements that are still due.
    announcements_left: u8,
}

/// Counts a VM's requests by model and adapter, and produces the rows to announce.
///
/// Only rows in use or recently changed are announced: with complete announcements, the lease
/// holder would receive tens of thousands of rows a second from hundreds of VMs.
#[derive(Debug, Default)]
pub struct LocalDemand {
    rows: HashMap<WantedModel, Row>,
}

impl LocalDemand {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, wanted: &WantedModel) {
        let row = match self.rows.get_mut(wanted) {
            Some(row) => row,
            None => self.rows.entry(wanted.clone()).or_default(),
        };
        row.arrived += 1;
        row.announcements_left = ANNOUNCEMENTS_PER_CHANGE;
    }

    /// Returns the rows to announce now: those with waiting or running requests, whose counts
    /// expire soon after each announcement, and those that have changed.
    pub fn rows<'a>(
        &mut self,
        active: impl Iterator<Item = (&'a WantedModel, RequestState)>,
    ) -> Vec<DemandRow> {
        let mut busy: HashMap<&WantedModel, DemandRow> = HashMap::new();
        for (wanted, state) in active {
            let Some(row) = self.rows.get(wanted) else {
                continue;
            };
            let current = busy
                .entry(wanted)
                .or_insert_with(|| idle_row(wanted, row.arrived));
            match state {
                RequestState::Missing => current.waiting_for_load += 1,
                RequestState::Full => current.waiting_for_slot += 1,
                RequestState::Running => current.running += 1,
            }
        }
        let mut rows = Vec::new();
        for (wanted, row) in &mut self.rows {
            let was_busy = std::mem::replace(&mut row.is_busy, busy.contains_key(wanted));
            if row.is_busy || was_busy {
                row.announcements_left = ANNOUNCEMENTS_PER_CHANGE;
            }
            if row.announcements_left == 0 {
                continue;
            }
            row.announcements_left -= 1;
            let current = busy
                .remove(wanted)
                .unwrap_or_else(|| idle_row(wanted, row.arrived));
            rows.push(current);
        }
        rows
    }
}

fn idle_row(wanted: &WantedModel, arrived: u64) -> DemandRow {
    DemandRow {
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        waiting_for_load: 0,
        waiting_for_slot: 0,
        running: 0,
        arrived,
    }
}
