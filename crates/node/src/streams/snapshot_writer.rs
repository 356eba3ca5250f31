//! Appends states to the snapshot stream.

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

/// Interval at which the writer checks whether a section is due.
const TICK: Duration = Duration::from_millis(500);

/// Minimum interval of two sections of one stream.
const MIN_INTERVAL_MS: u64 = 5_000;

/// Upper bound of a stream's average section traffic. A large state is written less often, so that
/// snapshots stay a small part of a VM's traffic.
const MAX_SECTION_BYTES_PER_S: u64 = 2_048;

/// Maximum interval of two sections. The log keeps records for a limited time, so a section has to
/// be written again before it expires even if the state has not changed.
const MAX_INTERVAL_MS: u64 = 600_000;

/// Thread that writes the sections of the streams for which this VM is preferred.
pub struct SnapshotWriter {
    /// Name of the snapshot stream.
    pub stream: StreamName,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// States of all streams, the control stream's first.
    pub states: Vec<Arc<dyn StreamState>>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

/// Last section of one stream, or the start of the interval when this VM became preferred.
#[derive(Clone, Copy, Debug)]
struct LastSection {
    at_ms: u64,
    next: Option<Offset>,
    interval_ms: u64,
}

impl SnapshotWriter {
    /// Writes until the daemon stops.
    pub fn run(self) {
        let mut written: Vec<Option<LastSection>> = vec![None; self.states.len()];
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            for (state, written) in self.states.iter().zip(&mut written) {
                match view.is_preferred(state.stream().as_str()) {
                    true => self.write_if_due(&**state, written),
                    false => *written = None,
                }
            }
            thread::sleep(TICK);
        }
    }

    fn write_if_due(&self, state: &dyn StreamState, written: &mut Option<LastSection>) {
        let now_ms = self.clock.monotonic_ms();
        let Some(position) = state.position() else {
            return;
        };
        let last = *written.get_or_insert(LastSection {
            at_ms: now_ms,
            next: None,
            interval_ms: MIN_INTERVAL_MS,
        });
        let age_ms = now_ms.saturating_sub(last.at_ms);
        let has_changed = last.next != Some(position.next);
        let is_due = (has_changed && age_ms >= last.interval_ms) || age_ms >= MAX_INTERVAL_MS;
        if !is_due {
            return;
        }
        let Some(section) = state.section() else {
            return;
        };
        let interval_ms =
            MIN_INTERVAL_MS.max(section.bytes.len() as u64 * 1_000 / MAX_SECTION_BYTES_PER_S);
        let next = self.write(state.stream(), &section).then_some(section.next);
        *written = Some(LastSection {
            at_ms: now_ms,
            next: next.or(last.next),
            interval_ms,
        });
    }

    /// Appends a section and returns whether all its parts were appended. A part that was appended
    /// twice, or a section of which parts are missing, does no harm: readers use complete sections.
    fn write(&self, stream: &StreamName, section: &Section) -> bool {
        for record in SnapshotRecord::of_section(stream, section, PART_BYTES) {
            let outcome = self.log.append(&self.stream, &record.encode());
            let metric_outcome = append_outcome(&outcome);
            self.metrics
                .node()
                .record_append(StreamKind::Snapshot, metric_outcome);
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
