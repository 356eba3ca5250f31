//! Finishes the claims of processes that have ended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::info;

use apricotdale_core::claims::Finish;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;

use super::claim_stream::ClaimStream;
use crate::membership_view::SharedMembership;
use crate::replayed::Replayed;

/// Interval of the sweeps.
const TICK: Duration = Duration::from_secs(2);

/// Finishes claims whose process ended during the call, with an unknown outcome.
///
/// Otherwise such a key would stay in progress for ever and be part of every snapshot. A claim is
/// finished only if its process was not a member in two consecutive sweeps: claims and control
/// records are on different streams, so a claim can be replayed before the join of its process.
pub struct ClaimSweeper {
    /// Claim streams, in the order of the settings.
    pub streams: Vec<Arc<ClaimStream>>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

type Ended = BTreeSet<(IdempotencyKey, RequestId)>;

impl ClaimSweeper {
    /// Sweeps until the daemon stops.
    pub fn run(self) {
        let mut seen_before: Vec<Ended> = vec![Ended::new(); self.streams.len()];
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            for (stream, seen_before) in self.streams.iter().zip(&mut seen_before) {
                let sweeps =
                    self.replayed.is_caught_up() && view.is_preferred(stream.name.as_str());
                *seen_before = if sweeps {
                    self.sweep(stream, seen_before)
                } else {
                    Ended::new()
                };
            }
            thread::sleep(TICK);
        }
    }

    /// Finishes the claims that are in `seen_before` and still belong to processes that have ended.
    /// Returns the claims found in this sweep for the first time.
    fn sweep(&self, stream: &ClaimStream, seen_before: &Ended) -> Ended {
        let has_ended = |process_id| {
            self.replayed
                .read(|state| !state.members().has_process(process_id))
        };
        let finishes = stream.with_table(|table| table.finishes_of_ended_processes(has_ended));
        let mut ended = Ended::new();
        for finish in finishes {
            let Finish { key, request, .. } = &finish;
            let claim = (key.clone(), request.clone());
            if seen_before.contains(&claim) {
                info!("request {request} ended with its process; its outcome is unknown");
                stream.finish(finish);
                continue;
            }
            ended.insert(claim);
        }
        ended
    }
}
