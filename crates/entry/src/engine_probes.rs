//! Liveness probes of engines that have become silent, and the reaction to their outcomes.

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::ProbeOutcome;

use crate::calls::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;

/// How long an unresponsive engine receives no requests unless another probe fails. Probes are
/// repeated every 300 ms.
pub(crate) const SUSPENSION_MS: u64 = 2_000;

impl Daemon {
    /// Probes the engines that have been silent for too long.
    pub(crate) fn advance_watch(&mut self) {
        if self.now_ms < self.watch.next_ms() {
            return;
        }
        for engine in self.watch.due(self.now_ms) {
            match self.directory.upstream(&engine) {
                Some(upstream) if self.check_takes_room(upstream) => self.ask_for_check(&engine),
                Some(upstream) => {
                    let address = upstream.address;
                    let (bytes, timeout_ms) = self.path_probe(upstream);
                    let peer = Peer::Upstream(engine.clone());
                    // An idle connection may be broken without a reset while the engine is
                    // responsive.
                    self.call_on_new_connection(
                        peer,
                        address,
                        CallTag::Probe(engine),
                        &bytes,
                        timeout_ms,
                    );
                }
                None => self.watch.removed(&engine),
            }
        }
    }

    /// Handles the outcome of a probe. `answered` includes a reset: an engine that resets a
    /// connection is responsive and has reached its limit of connections. When full engines counted
    /// as unresponsive, the requests that they were working on were lost.
    pub(crate) fn probe_ended(&mut self, engine: &UpstreamName, answered: bool) {
        match self.watch.record_probe(self.now_ms, engine, answered) {
            ProbeOutcome::None => {}
            ProbeOutcome::Unresponsive => {
                self.peers
                    .send_all(&PeerMessage::EngineUnresponsive(engine.clone()));
                self.suspend_engine(engine, SUSPENSION_MS, "asked");
            }
            ProbeOutcome::Responsive => {
                self.peers
                    .send_all(&PeerMessage::EngineResponsive(engine.clone()));
                self.resume_engine(engine);
            }
        }
    }

    /// Sends no more requests to an unresponsive engine for a while. Requests in progress stay
    /// there: an engine that does not answer may be slow and still at work. When requests were
    /// moved away from such engines and then found no free slot, they ended in the middle of their
    /// answers.
    pub(crate) fn suspend_engine(&mut self, engine: &UpstreamName, for_ms: u64, how: &str) {
        if self.paths.is_relayed(engine) {
            return;
        }
        let until_ms = self.now_ms + for_ms;
        if self.dispatcher.suspend(self.now_ms, engine, until_ms) {
            self.metrics.unresponsive_engine();
            log::info!(upstream = engine.to_string(), how; "engine is dark");
        }
        let peer = Peer::Upstream(engine.clone());
        self.outbound.close_idle(&peer, self.poll.registry());
        self.redispatch_needed = true;
    }

    /// Handles that an engine is responsive again.
    pub(crate) fn resume_engine(&mut self, engine: &UpstreamName) {
        self.dispatcher.resume(engine);
        log::info!(upstream = engine.to_string(); "engine answers again");
        self.redispatch_needed = true;
    }
}
