//! Engines that fall silent: they are asked, and what that shows is acted on and told.

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::ProbeOutcome;

use crate::calling::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;

/// How long the answer to a question is awaited. An engine answers within a round trip and a
/// connection of its own, some 5 ms, whatever it is working on.
const ANSWER_MS: u64 = 150;

/// How long a dark engine gets no requests without being found dark again. It is asked each 300 ms.
const DARK_GOOD_MS: u64 = 2_000;

/// How lately an engine must have been heard for another VM's word not to count.
const HEARD_MS: u64 = 200;

impl Daemon {
    /// Asks the engines that have been silent for too long.
    pub(crate) fn advance_watch(&mut self) {
        if self.now_ms < self.watch.next_ms() {
            return;
        }
        for engine in self.watch.due(self.now_ms) {
            match self.directory.upstream(&engine) {
                Some(upstream) => {
                    let address = upstream.address;
                    let bytes = self.codecs.engines.report(&upstream.instance);
                    let peer = Peer::Upstream(engine.clone());
                    // An idle connection may be silent for good while the engine is not.
                    self.call_anew(peer, address, CallTag::Look(engine), &bytes, ANSWER_MS);
                }
                None => self.watch.removed(&engine),
            }
        }
    }

    /// Takes in whether anything came from an engine that was silent. One that resets a connection is
    /// not dark: it has only as many as it accepts. Taken for dark, full engines lost the requests
    /// that they were working on.
    pub(crate) fn look_ended(&mut self, engine: &UpstreamName, answered: bool) {
        match self.watch.record_probe(self.now_ms, engine, answered) {
            ProbeOutcome::None => {}
            ProbeOutcome::Unresponsive => {
                self.peers
                    .send_all(&PeerMessage::Unresponsive(engine.clone()));
                self.engine_dark(engine, "asked");
            }
            ProbeOutcome::Responsive => {
                self.peers.send_all(&PeerMessage::Lit(engine.clone()));
                self.engine_lit(engine);
            }
        }
    }

    /// Takes in that another VM has asked an engine in vain. If something has come from the engine
    /// here, the trouble lies between the engine and that VM.
    pub(crate) fn told_dark(&mut self, engine: &UpstreamName) {
        let heard_ms = self.watch.heard_ms(engine);
        let heard = heard_ms.is_some_and(|at_ms| self.now_ms < at_ms + HEARD_MS);
        if !heard && self.directory.upstream(engine).is_some() {
            self.engine_dark(engine, "told");
        }
    }

    /// Sends nothing more to a dark engine for a while. What it has stays there: an engine that does not
    /// answer may be slow and at work all the same, and a request that was taken from it and then found
    /// no place ended in the middle of its answer.
    fn engine_dark(&mut self, engine: &UpstreamName, how: &str) {
        let until_ms = self.now_ms + DARK_GOOD_MS;
        if self.dispatcher.suspend(self.now_ms, engine, until_ms) {
            self.metrics.dark_engine();
            log::info!(upstream = engine.to_string(), how; "engine is dark");
        }
        let peer = Peer::Upstream(engine.clone());
        self.outbound.close_idle(&peer, self.poll.registry());
        self.look_again = true;
    }

    /// Takes in that an engine answers again.
    pub(crate) fn engine_lit(&mut self, engine: &UpstreamName) {
        self.dispatcher.resume(engine);
        log::info!(upstream = engine.to_string(); "engine answers again");
        self.look_again = true;
    }
}
