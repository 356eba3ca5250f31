//! Start, reload of settings and planned stop.

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_telemetry::LogOptions;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::errors::Result;
use crate::settings::Settings;
use crate::unanswered::UnansweredReason;

/// How long a stopping VM still accepts connections. The balancer checks readiness once a second
/// and sends no new connections after two failed checks.
const ACCEPTING_MS: u64 = 2_600;

/// How long callers may reuse their connections after a planned stop has begun. After that a
/// connection is closed when it is idle or its answer ends, so that the next request goes to another
/// VM: a caller that reuses its connection would otherwise still send requests when the process has
/// to end.
const CONNECTION_REUSE_MS: u64 = 1_200;

/// How long a stopping VM still serves requests that arrive on open connections, at most. One on a
/// connection that was accepted last has arrived by then. A later one might not end before the
/// process does.
const SERVING_MS: u64 = 3_000;

/// Reserve of the time for a stop, so that the process ends by itself before it is killed.
const STOP_MARGIN_MS: u64 = 300;

/// Starts the log on standard output.
///
/// # Errors
///
/// [`crate::Error::Log`] if the log's thread can't be started.
pub fn start_log(settings: &Settings) -> Result<()> {
    let mut options = LogOptions::new(settings.vm.clone(), settings.zone.clone());
    options.level = settings.log_level;
    apricotdale_telemetry::init_logs(options, Box::new(std::io::stdout()))?;
    Ok(())
}

/// Retry delay stated to the callers of the requests that a stopping VM refuses.
pub(crate) const STOP_RETRY_AFTER_MS: u64 = 50;

/// State of a planned stop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlannedStop {
    /// When the stop began; none before that.
    since_ms: Option<u64>,
    /// Time limit for the stop, as configured when it began.
    stop_ms: u64,
}

impl PlannedStop {
    /// Returns whether a planned stop has begun.
    pub fn has_begun(self) -> bool {
        self.since_ms.is_some()
    }

    /// Returns whether callers' connections are to be closed once they are idle, and after the answer
    /// in progress.
    pub fn closes_idle(self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms >= CONNECTION_REUSE_MS)
    }

    /// Returns whether new connections are no longer accepted.
    pub fn refuses_connections(self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms >= ACCEPTING_MS)
    }

    /// Returns whether requests that arrive now are to be refused.
    pub fn refuses_requests(self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms >= SERVING_MS.min(self.sending_ms()))
    }

    /// Returns whether waiting requests are to be refused, so that their callers can retry at another
    /// VM.
    fn refuses_waiting(self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms >= self.sending_ms())
    }

    /// Returns how long requests are still sent to upstreams. The rest of the stop is for their
    /// answers.
    fn sending_ms(self) -> u64 {
        self.stop_ms / 2
    }

    fn age_ms(self, now_ms: u64) -> Option<u64> {
        self.since_ms
            .map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns whether the process may end. `is_busy` tells whether answers are in progress.
    fn is_done(self, now_ms: u64, is_busy: impl FnOnce() -> bool) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| {
            let is_empty = age_ms >= ACCEPTING_MS && !is_busy();
            is_empty || age_ms >= self.stop_ms.saturating_sub(STOP_MARGIN_MS)
        })
    }
}

impl Daemon {
    /// Begins a planned stop: readiness checks fail from now on, while requests in progress and
    /// those that still arrive are answered.
    pub(crate) fn begin_stop(&mut self) {
        if self.planned_stop.has_begun() {
            return;
        }
        self.planned_stop.since_ms = Some(self.now_ms);
        self.planned_stop.stop_ms = self.settings.stop_ms;
        log::info!(requests = self.active.len(); "planned stop begins");
        self.release_lease();
        self.hand_over_origins();
        self.peers.send_goodbye();
        self.announce_relay_stop();
    }

    /// Returns whether a planned stop is complete.
    pub(crate) fn is_stopped(&self) -> bool {
        self.planned_stop.is_done(self.now_ms, || {
            let mut callers = self.callers.values();
            self.active.len() > 0
                || self.relayed.len() > 0
                || callers.any(|it| it.has_unwritten() || it.is_receiving())
        })
    }

    /// Refuses the requests that still wait when half of the time for a planned stop is over. They
    /// would otherwise end with the process, unanswered or in the middle of their answers.
    pub(crate) fn refuse_waiting_for_stop(&mut self) {
        if !self.planned_stop.refuses_waiting(self.now_ms) {
            return;
        }
        for key in self.active.never_sent() {
            let refusal = Refusal::not_run(RefusalReason::Draining, "this VM stops")
                .retry_after(STOP_RETRY_AFTER_MS);
            self.refuse(key, &refusal, UnansweredReason::PlannedStop);
        }
    }

    /// Refuses the requests in progress whose answers have not begun, when the process ends.
    pub(crate) fn refuse_unbegun(&mut self) {
        let detail = "this VM stops";
        for key in self.active.unbegun() {
            let Some(request) = self.active.get(key) else {
                continue;
            };
            let is_sent = matches!(request.phase, Phase::Sent { .. });
            let refusal = match is_sent || request.job.runs > 0 {
                true => Refusal::unknown(RefusalReason::UpstreamLost, detail),
                false => Refusal::not_run(RefusalReason::Draining, detail)
                    .retry_after(STOP_RETRY_AFTER_MS),
            };
            self.cancel_attempt(key);
            self.refuse(key, &refusal, UnansweredReason::PlannedStop);
        }
    }

    /// Rereads the settings and applies those that can change while the daemon runs.
    pub(crate) fn reload(&mut self) {
        match Settings::read(&self.settings.path) {
            Ok(settings) => {
                let changed = settings != self.settings;
                self.settings.stop_ms = settings.stop_ms;
                self.settings.store = settings.store;
                self.crash_watch.exempt(&settings.exempt);
                self.settings.exempt = settings.exempt;
                self.settings.log_level = settings.log_level;
                log::set_max_level(settings.log_level);
                log::info!(changed; "settings read again");
            }
            Err(error) => {
                log::error!(reason = error.to_string(); "settings not taken over");
            }
        }
    }

    pub(crate) fn log_start(&self) {
        log::info!(
            run = self.incarnation,
            work_us = self.peers.own_record().work_us,
            callers = self.settings.callers.to_string(),
            ready = self.settings.ready.to_string(),
            metrics = self.settings.metrics.to_string(),
            peers = self.settings.peers.to_string(),
            store = self.settings.store.to_string();
            "entry VM starts"
        );
    }

    pub(crate) fn log_end(&mut self) {
        self.record_unanswered_at_end();
        log::info!(
            requests = self.active.len(),
            dropped_lines = self.log_budget.dropped_lines,
            connections_opened = self.outbound.opened;
            "entry VM ends"
        );
        // A separate thread writes the lines, and ends with the process.
        log::logger().flush();
    }
}
