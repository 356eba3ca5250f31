//! What one VM tells of its own demand.

use std::collections::HashMap;

use apricotdale_fleet::WantedModel;

use crate::demand::DemandRow;

/// How often a row is told after it last changed. A datagram may be lost, so each change is told
/// twice.
const TOLD_TIMES: u8 = 2;

/// `RequestState` is what a request of a caller does now, as far as the giver of orders has to
/// know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It waits because no engine holds its model.
    Missing,
    /// It waits because all engines that hold its model are full.
    Full,
    /// It is in progress.
    Running,
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    arrived: u64,
    is_busy: bool,
    /// How often it is still to be told.
    untold: u8,
}

/// `OwnDemand` counts a VM's requests by model, and tells what has changed.
///
/// Told whole, with everything that was ever asked for, the demand of hundreds of VMs is tens of
/// thousands of rows a second at the VM that gives orders.
#[derive(Debug, Default)]
pub struct OwnDemand {
    rows: HashMap<WantedModel, Row>,
}

impl OwnDemand {
    /// Notes that a request for a model arrived.
    pub fn note_arrival(&mut self, wanted: &WantedModel) {
        let row = match self.rows.get_mut(wanted) {
            Some(row) => row,
            None => self.rows.entry(wanted.clone()).or_default(),
        };
        row.arrived += 1;
        row.untold = TOLD_TIMES;
    }

    /// Returns the rows to tell now: those with requests in progress, which count only for a short
    /// time after they were told, and those that have changed.
    pub fn rows<'a>(
        &mut self,
        active: impl Iterator<Item = (&'a WantedModel, RequestState)>,
    ) -> Vec<DemandRow> {
        let mut busy: HashMap<&WantedModel, DemandRow> = HashMap::new();
        for (wanted, state) in active {
            let Some(row) = self.rows.get(wanted) else {
                continue;
            };
            let told = busy
                .entry(wanted)
                .or_insert_with(|| idle_row(wanted, row.arrived));
            match state {
                RequestState::Missing => told.missing += 1,
                RequestState::Full => told.crowded += 1,
                RequestState::Running => told.running += 1,
            }
        }
        let mut rows = Vec::new();
        for (wanted, row) in &mut self.rows {
            let was_busy = std::mem::replace(&mut row.is_busy, busy.contains_key(wanted));
            if row.is_busy || was_busy {
                row.untold = TOLD_TIMES;
            }
            if row.untold == 0 {
                continue;
            }
            row.untold -= 1;
            let told = busy
                .remove(wanted)
                .unwrap_or_else(|| idle_row(wanted, row.arrived));
            rows.push(told);
        }
        rows
    }
}

fn idle_row(wanted: &WantedModel, arrived: u64) -> DemandRow {
    DemandRow {
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        missing: 0,
        crowded: 0,
        running: 0,
        arrived,
    }
}
