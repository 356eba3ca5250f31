//! Ends the claims of processes that are over.

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

/// How often claims are looked at.
const TICK: Duration = Duration::from_secs(2);

/// `ClaimSweeper` says of each call whose process ended in its midst that its outcome is unknown.
///
/// Without it such a key would stay in progress for ever, and be carried by every snapshot. A claim
/// is ended only if its process was over at two looks in a row: claims and control records are on
/// different streams, and a claim can be seen here before its process's join.
pub struct ClaimSweeper {
    /// The claim streams.
    pub streams: Vec<Arc<ClaimStream>>,
    /// The replayed control state.
    pub replayed: Arc<Replayed>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

type Ended = BTreeSet<(IdempotencyKey, RequestId)>;

impl ClaimSweeper {
    /// Sweeps until the daemon stops.
    pub fn run(self) {
        let mut seen: Vec<Ended> = vec![Ended::new(); self.streams.len()];
        while !self.stop.load(Ordering::Relaxed) {
            let view = self.membership.view();
            for (stream, seen) in self.streams.iter().zip(&mut seen) {
                let sweeps =
                    self.replayed.is_caught_up() && view.is_preferred(stream.name.as_str());
                *seen = if sweeps {
                    self.sweep(stream, seen)
                } else {
                    Ended::new()
                };
            }
            thread::sleep(TICK);
        }
    }

    /// Ends the claims that were over before and still are, and returns those that are over now.
    fn sweep(&self, stream: &ClaimStream, seen: &Ended) -> Ended {
        let is_over = |process_id| {
            self.replayed
                .read(|state| !state.members().has_process(process_id))
        };
        let finishes = stream.with_table(|table| table.finishes_of_ended_processes(is_over));
        let mut ended = Ended::new();
        for finish in finishes {
            let Finish { key, request, .. } = &finish;
            let claim = (key.clone(), request.clone());
            if seen.contains(&claim) {
                info!("request {request} ended with its process; its outcome is unknown");
                stream.finish(finish);
                continue;
            }
            ended.insert(claim);
        }
        ended
    }
}
