//! Engines that fall silent: they are asked, and what that shows is acted on and told.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::Attempt;
use apricotdale_dispatch::FailedTry;
use apricotdale_dispatch::Silence;
use apricotdale_dispatch::Verdict;
use mio::Token;

use crate::calling::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;

/// How long the answer to a question is awaited. An engine answers within a round trip and a
/// connection of its own, some 5 ms, whatever it is working on.
const ANSWER_MS: u64 = 150;

/// How long a dark engine gets no requests without being found dark again. It is asked each 300 ms.
const DARK_GOOD_MS: u64 = 2_000;

/// How long a request must have been silent to be taken from a dark engine, and how lately an engine
/// must have been heard for another VM's word not to count.
const SILENT_REQUEST_MS: u64 = 200;

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
        match self.watch.asked(self.now_ms, engine, answered) {
            Silence::None => {}
            Silence::Dark => {
                self.peers.send_all(&PeerMessage::Dark(engine.clone()));
                self.engine_dark(engine, "asked");
            }
            Silence::Over => {
                self.peers.send_all(&PeerMessage::Lit(engine.clone()));
                self.engine_lit(engine);
            }
        }
    }

    /// Takes in that another VM has asked an engine in vain. If something has come from the engine
    /// here, the trouble lies between the engine and that VM.
    pub(crate) fn told_dark(&mut self, engine: &UpstreamName) {
        let heard_ms = self.watch.heard_ms(engine);
        let heard = heard_ms.is_some_and(|at_ms| self.now_ms < at_ms + SILENT_REQUEST_MS);
        if !heard && self.directory.upstream(engine).is_some() {
            self.engine_dark(engine, "told");
        }
    }

    /// Sends nothing more to a dark engine for a while, and takes from it what can go on elsewhere.
    fn engine_dark(&mut self, engine: &UpstreamName, how: &str) {
        let until_ms = self.now_ms + DARK_GOOD_MS;
        if self.dispatcher.suspend(self.now_ms, engine, until_ms) {
            self.metrics.dark_engine();
            log::info!(upstream = engine.to_string(), how; "engine is dark");
        }
        let since_ms = self.now_ms.saturating_sub(SILENT_REQUEST_MS);
        let peer = Peer::Upstream(engine.clone());
        for (token, key) in self.outbound.silent_relays(&peer, since_ms) {
            self.move_request(token, key);
        }
        self.outbound.close_idle(&peer, self.poll.registry());
        self.look_again = true;
    }

    /// Takes a request from a dark engine if another one takes it at once. One that can't go on, because
    /// it may run only once, has no repeat left or finds no place, stays: the engine may come back or
    /// may not have been dark, and an end would be worse for the caller than a wait.
    fn move_request(&mut self, token: Token, key: u64) {
        let now_ms = self.now_ms;
        let Some(request) = self.active.get(key) else {
            return;
        };
        let can_go_on = !request.begun || request.events.can_resume();
        if !request.job.kind.is_repeatable() || request.caller.is_none() || !can_go_on {
            return;
        }
        let mut job = request.job.clone();
        job.runs += 1;
        let Verdict::Send(place) = self.dispatcher.decide(now_ms, &self.directory, &job) else {
            return;
        };
        let begun = request.begun;
        let attempt = self
            .dispatcher
            .after_failure(now_ms, &job, FailedTry::Lost, begun);
        if !matches!(attempt, Attempt::AgainAfterMs(_)) {
            return;
        }
        self.metrics.failed_try("dark");
        self.end_try(key, UpstreamOutcome::Lost);
        self.outbound.close(token, self.poll.registry());
        if let Some(request) = self.active.get_mut(key) {
            request.job = job;
            request.events.drop_unfinished();
        }
        self.send(key, place);
    }

    /// Takes in that an engine answers again.
    pub(crate) fn engine_lit(&mut self, engine: &UpstreamName) {
        self.dispatcher.resume(engine);
        log::info!(upstream = engine.to_string(); "engine answers again");
        self.look_again = true;
    }
}
