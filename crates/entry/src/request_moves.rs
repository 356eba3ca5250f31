//! Requests whose connections have fallen silent, and their moves to other upstreams.
//!
//! Silence is a guess, and a guess never ends a request. A move is decided as a whole before
//! anything is closed: only if another upstream takes the request now is the attempt in progress
//! cancelled. Otherwise the request stays where it is.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::HeadProgress;
use apricotdale_dispatch::Silence;
use apricotdale_dispatch::WaitReason;
use mio::Token;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::outbound::Peer;

/// Silence after which a request that may run again leaves a process that has ended. A request that
/// reached the new process before its entry was read has received data by then, or waits there.
const RESTART_SILENCE_MS: u64 = 500;

/// Evidence on which a request is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MoveReason {
    /// Its connection brings nothing, while its upstream is heard on others.
    DeadConnection,
    /// Its connection brings bytes that never become an answer.
    NoProgress,
    /// The direct path to its upstream is lost, and another VM reaches the upstream.
    LostPath,
    /// The process that it was sent to has ended.
    Restarted,
}

impl MoveReason {
    /// Returns the name used in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::DeadConnection => "dead_connection",
            Self::NoProgress => "no_progress",
            Self::LostPath => "lost_path",
            Self::Restarted => "restarted",
        }
    }
}

impl Daemon {
    /// Checks the requests whose answers have not got on for long.
    pub(crate) fn check_silent_requests(&mut self) {
        self.end_requests_at_ended_incarnations();
        for (token, key) in self.doubted_requests() {
            let connection = self.outbound.get_mut(token);
            let reason = match connection.is_some_and(|it| it.has_received_in_vain()) {
                true => MoveReason::NoProgress,
                false => MoveReason::DeadConnection,
            };
            self.move_request(token, key, reason);
        }
    }

    fn doubted_requests(&mut self) -> Vec<(Token, u64)> {
        let since_ms = self.now_ms.saturating_sub(Dispatcher::least_silence_ms());
        let silent = self.outbound.stalled_requests(since_ms);
        let silences: Vec<Silence<'_>> = silent
            .iter()
            .filter_map(|(token, key, since_ms)| {
                let request = self.active.get(*key)?;
                let head = self.outbound.get_mut(*token)?.head_progress();
                let Phase::Sent { upstream, .. } = &request.phase else {
                    return None;
                };
                Some(Silence {
                    key: *key,
                    job: &request.job,
                    upstream,
                    since_ms: *since_ms,
                    has_begun: request.delivery.has_begun(),
                    head,
                })
            })
            .collect();
        let (now_ms, directory) = (self.now_ms, &self.directory);
        let doubted = self
            .dispatcher
            .doubted(now_ms, directory, &silences, &self.watch);
        let doubted = silent.iter().filter(|(_, key, _)| doubted.contains(key));
        doubted.map(|(token, key, _)| (*token, *key)).collect()
    }

    /// Sends a request in progress to an upstream that takes it now, and cancels the attempt in
    /// progress. Leaves the request as it is if there is none. Returns whether it was moved.
    pub(crate) fn move_request(&mut self, token: Token, key: u64, reason: MoveReason) -> bool {
        self.complete_origin(key);
        let now_ms = self.now_ms;
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let from = match &request.phase {
            Phase::Sent {
                connection,
                upstream,
                ..
            } if *connection == token => upstream.clone(),
            _ => return false,
        };
        request.job.origin = request.delivery.origin().cloned();
        // A request that is suspected of crashing upstreams is sent only as a trial run.
        let is_suspect = request.trial.is_some() || self.crash_watch.knows(&request.features);
        let may_continue =
            request.caller.is_some() && request.delivery.may_continue() && !is_suspect;
        let target =
            self.dispatcher
                .decide_move(now_ms, &self.directory, &request.job, may_continue);
        let Some(to) = target else {
            return false;
        };
        self.log_move(key, &from, &to, reason);
        self.metrics.failed_attempt("moved");
        // An upstream whose answer does not get on has failed, one that is silent may be sound.
        let outcome = match reason {
            MoveReason::NoProgress => UpstreamOutcome::Lost,
            _ => UpstreamOutcome::Cancelled,
        };
        self.end_attempt(key, outcome);
        self.outbound.close(token, self.poll.registry());
        // Connections that were opened as early as this one may be dead as well.
        self.outbound
            .close_idle(&Peer::Upstream(from.clone()), self.poll.registry());
        if let Some(request) = self.active.get_mut(key) {
            request.job.unusable.push(from);
            request.job.runs += 1;
            request.phase = Phase::Waiting(WaitReason::Full);
        }
        self.send(key, to);
        self.redispatch_needed = true;
        true
    }

    fn log_move(&mut self, key: u64, from: &UpstreamName, to: &UpstreamName, reason: MoveReason) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                request_id = request.serving.id.to_string(),
                reason = reason.as_str(),
                from = from.to_string(),
                upstream = to.to_string(),
                tries = request.job.tried.len(),
                begun = request.delivery.has_begun(),
                last_event = request.delivery.last_event(),
                age_ms = self.now_ms - request.job.arrived_ms;
                "request moved from a stalled connection"
            );
        }
    }

    /// Records for how long an answer did not get on before the part that has just come.
    pub(crate) fn record_wait(&mut self, key: u64, had_begun: bool) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let Phase::Sent { connection, .. } = &request.phase else {
            return;
        };
        let connection = self.outbound.get_mut(*connection);
        if let Some(waited_ms) = connection.map(|it| it.take_longest_wait_ms()) {
            self.dispatcher
                .record_wait(self.now_ms, &request.job, had_begun, waited_ms);
        }
    }

    /// Moves or ends requests at processes that have ended. Where the connections fell silent with
    /// the process, these requests would otherwise wait for an answer until their deadlines. A
    /// request that can't be moved is ended only after a silence that no sound process keeps, as it
    /// may have reached the new process before the entry of that was read.
    pub(crate) fn end_requests_at_ended_incarnations(&mut self) {
        let now_ms = self.now_ms;
        for name in std::mem::take(&mut self.ended_incarnations) {
            let peer = Peer::Upstream(name.clone());
            let since_ms = now_ms.saturating_sub(RESTART_SILENCE_MS);
            for (token, key, since_ms) in self.outbound.silent_proxied_requests(&peer, since_ms) {
                let patience_ms = self.patience_ms(key, &name, since_ms);
                let is_moved = self.move_request(token, key, MoveReason::Restarted);
                if !is_moved && now_ms >= since_ms + patience_ms {
                    self.handle_failed_connection(token, key);
                }
            }
            if self.outbound.has_requests(&peer) {
                self.ended_incarnations.push(name);
            }
        }
    }

    fn patience_ms(&mut self, key: u64, upstream: &UpstreamName, since_ms: u64) -> u64 {
        let Some(request) = self.active.get(key) else {
            return 0;
        };
        let silence = Silence {
            key,
            job: &request.job,
            upstream,
            since_ms,
            has_begun: request.delivery.has_begun(),
            head: HeadProgress::None,
        };
        self.dispatcher
            .patience_ms(self.now_ms, &self.directory, &silence)
    }
}
