//! Puts states onto the snapshot stream.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::serving::Clock;
use apricotdale_state::parts::SnapshotRecord;
use apricotdale_state::snapshot::PART_BYTES;
use apricotdale_state::snapshot::Section;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::StreamKind;

use super::stream_state::StreamState;
use crate::appender::append_outcome;
use crate::membership_view::SharedMembership;

/// How often the writer looks whether a section is due.
const TICK: Duration = Duration::from_millis(500);

/// The shortest time between two sections of one stream.
const MIN_INTERVAL_MS: u64 = 5_000;

/// The bytes a second that a stream's sections take on average, at most. A large state is written
/// less often, so that snapshots stay a small part of a VM's traffic.
const BYTES_PER_S: u64 = 2_048;

/// The longest time without a section. The log keeps records for a limited time, and a section has
/// to be written anew before it expires even if nothing has changed.
const REFRESH_MS: u64 = 600_000;

/// `SnapshotWriter` writes the sections of the streams for which this VM is preferred.
pub struct SnapshotWriter {
    /// The snapshot stream.
    pub stream: StreamName,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The states.
    pub states: Vec<Arc<dyn StreamState>>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

/// `Written` is what was last written of one stream, or seen when this VM became preferred.
#[derive(Clone, Copy, Debug)]
struct Written {
    at_ms: u64,
    next: Option<Offset>,
    interval_ms: u64,
}

impl SnapshotWriter {
    /// Writes until the daemon stops.
    pub fn run(self) {
        let mut written: Vec<Option<Written>> = vec![None; self.states.len()];
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            for (state, written) in self.states.iter().zip(&mut written) {
                match view.is_preferred(state.stream().as_str()) {
                    true => self.consider(&**state, written),
                    false => *written = None,
                }
            }
            thread::sleep(TICK);
        }
    }

    fn consider(&self, state: &dyn StreamState, written: &mut Option<Written>) {
        let now_ms = self.clock.monotonic_ms();
        let Some(position) = state.position() else {
            return;
        };
        let last = *written.get_or_insert(Written {
            at_ms: now_ms,
            next: None,
            interval_ms: MIN_INTERVAL_MS,
        });
        let age_ms = now_ms.saturating_sub(last.at_ms);
        let has_changed = last.next != Some(position.next);
        let is_due = (has_changed && age_ms >= last.interval_ms) || age_ms >= REFRESH_MS;
        if !is_due {
            return;
        }
        let Some(section) = state.section() else {
            return;
        };
        let interval_ms = MIN_INTERVAL_MS.max(section.bytes.len() as u64 * 1_000 / BYTES_PER_S);
        let next = self.write(state.stream(), &section).then_some(section.next);
        *written = Some(Written {
            at_ms: now_ms,
            next: next.or(last.next),
            interval_ms,
        });
    }

    /// Appends a section and returns whether all its parts are on the stream. A part that was
    /// appended twice, or of which only some came through, does no harm: readers take whole ones.
    fn write(&self, stream: &StreamName, section: &Section) -> bool {
        for record in SnapshotRecord::of_section(stream, section, PART_BYTES) {
            let outcome = self.log.append(&self.stream, &record.encode());
            let counted = append_outcome(&outcome);
            self.metrics
                .node()
                .record_append(StreamKind::Snapshot, counted);
            if let Err(error) = outcome {
                warn!("append of a snapshot of {stream} failed: {error}");
                return false;
            }
        }
        info!(
            "wrote a snapshot of {stream} at {}, {} bytes",
            section.next,
            section.bytes.len()
        );
        true
    }
}
