//! Detection of requests that crash upstreams.
//!
//! Each VM counts only the crashes under its own requests, so it needs more of them than a
//! quarantine that combines the reports of all VMs.

use apricotdale_core::names::CallerName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Role;
use parking_lot::Mutex;

/// Incarnation of the only reporter to this watch, which is the local process.
const LOCAL_INCARNATION: u64 = 1;

/// Fingerprint by which equal requests are recognized, and the hash of their caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashKey {
    fingerprint: Fingerprint,
    caller: CallerHash,
}

impl CrashKey {
    pub(crate) fn of(caller: &CallerName, method: &str, target: &[&str], body: &[u8]) -> Self {
        let caller = CallerHash::of(caller.as_str().as_bytes());
        Self {
            fingerprint: Fingerprint::of(Some(caller), method, target, body),
            caller,
        }
    }
}

/// Refuses requests under which upstreams crash.
pub(crate) struct CrashGuard {
    watch: Mutex<CrashWatch>,
}

impl CrashGuard {
    pub(crate) fn new() -> Self {
        Self {
            watch: Mutex::new(CrashWatch::new(LOCAL_INCARNATION, Options::default())),
        }
    }

    /// Returns the refusal of a blocked request, or none if the request may be sent.
    pub(crate) fn refusal(&self, now_ms: u64, crash_key: &CrashKey) -> Option<Refusal> {
        let mut watch = self.watch.lock();
        if watch.is_due(now_ms) {
            for row in watch.due(now_ms, Role::default()).new_blocks {
                log::warn!(
                    fingerprint = row.fingerprint.to_string().as_str(), left_ms = row.left_ms;
                    "request blocked"
                );
            }
        }
        let block = watch.block(now_ms, &crash_key.fingerprint.into())?;
        let detail = format!("upstreams crashed under request {}", crash_key.fingerprint);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstreams, detail);
        Some(refusal.retry_after(block.left_ms))
    }

    /// Returns whether a request may be retried after an attempt that may have run.
    pub(crate) fn may_retry(&self, crash_key: &CrashKey) -> bool {
        !self.watch.lock().knows(&crash_key.fingerprint.into())
    }

    /// Records how an attempt ended. With `connection_lost`, the request was in progress when the
    /// connection was lost, so the upstream may have crashed under it.
    pub(crate) fn record_attempt(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        crash_key: &CrashKey,
        outcome: UpstreamOutcome,
        connection_lost: bool,
    ) {
        let mut watch = self.watch.lock();
        let fingerprint = crash_key.fingerprint;
        match outcome {
            UpstreamOutcome::Answered => {
                watch.record_alive(upstream);
                watch.record_answered(now_ms, &fingerprint.into());
            }
            UpstreamOutcome::Lost if connection_lost => {
                let lost = LostRequest {
                    features: fingerprint.into(),
                    caller: crash_key.caller,
                    is_trial: false,
                };
                watch.record_lost(now_ms, upstream, true, lost);
            }
            UpstreamOutcome::Unreachable => {
                watch.record_ended(now_ms, upstream);
            }
            _ => {}
        }
    }

    /// Records that an upstream has left the upstream list.
    pub(crate) fn record_upstream_gone(&self, now_ms: u64, upstream: &UpstreamName) {
        self.watch.lock().record_ended(now_ms, upstream);
    }
}
