//! Replay of the control stream.

use std::sync::Arc;

use log::info;
use parking_lot::Mutex;

use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::ControlState;
use apricotdale_state::Result;
use apricotdale_state::Verdict;
use apricotdale_state::catch_up::Position;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;
use apricotdale_telemetry::Metrics;

use super::stream_state::StreamState;
use crate::load_history::LoadHistory;
use crate::replayed::Replayed;

/// State of the control stream; replays its records into the shared control state.
pub struct ControlStream {
    stream: StreamName,
    replayed: Arc<Replayed>,
    loads: Arc<LoadHistory>,
    metrics: Arc<Metrics>,
    changed: Box<dyn Fn() + Send + Sync>,
    lineage: Mutex<Option<Lineage>>,
}

impl ControlStream {
    /// Returns the state of a stream of which nothing has been read. `changed` is called after each
    /// batch.
    pub fn new(
        stream: StreamName,
        replayed: Arc<Replayed>,
        loads: Arc<LoadHistory>,
        metrics: Arc<Metrics>,
        changed: Box<dyn Fn() + Send + Sync>,
    ) -> Self {
        Self {
            stream,
            replayed,
            loads,
            metrics,
            changed,
            lineage: Mutex::new(None),
        }
    }

    fn publish_progress(&self) {
        let (next, version) = self
            .replayed
            .read(|state| (state.next_offset(), state.config().version()));
        self.metrics.node().set_replayed(next);
        self.metrics.node().set_config_version(version);
        (self.changed)();
    }
}

impl StreamState for ControlStream {
    fn stream(&self) -> &StreamName {
        &self.stream
    }

    fn position(&self) -> Option<Position> {
        let lineage = (*self.lineage.lock())?;
        Some(Position {
            lineage,
            next: self.replayed.next_offset(),
        })
    }

    fn begin(&self) {
        *self.lineage.lock() = Some(Lineage::default());
    }

    fn replay(&self, records: &[LogRecord]) {
        for (offset, verdict) in self
            .replayed
            .apply(records, |state| self.loads.update(state))
        {
            self.metrics.node().record_replayed(verdict.as_str());
            match verdict {
                Verdict::Accepted(_) => {}
                Verdict::Rejected(_) | Verdict::Ignored(_) => {
                    info!(
                        "control record {offset} had no effect: {}",
                        verdict.as_str()
                    );
                }
            }
        }
        self.publish_progress();
    }

    fn section(&self) -> Option<Section> {
        let lineage = (*self.lineage.lock())?;
        Some(
            self.replayed
                .read(|state| Section::of_control(lineage, state)),
        )
    }

    fn install(&self, section: &Section) -> Result<()> {
        let state = section.control()?;
        self.replayed.install(state);
        *self.lineage.lock() = Some(section.lineage);
        self.publish_progress();
        Ok(())
    }

    fn fresh_start(&self, next: Offset, outdated: Option<&Section>) -> Vec<u8> {
        let outdated = outdated.and_then(|section| section.control().ok());
        let state = ControlState::after_loss(next, outdated.as_ref());
        Section::of_control(Lineage::default(), &state).bytes
    }

    fn mark_caught_up(&self) {
        self.replayed.mark_caught_up();
    }
}
