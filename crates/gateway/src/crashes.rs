//! Requests under which upstreams crash again and again.
//!
//! Each VM judges by its own requests only, so it takes more crashes than with the word of all VMs.

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

/// Stands for this process, the only one that reports here.
const OWN_RUN: u64 = 1;

/// `Identity` tells whether a request is the same as another, and whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    fingerprint: Fingerprint,
    caller: CallerHash,
}

impl Identity {
    pub(crate) fn of(caller: &CallerName, method: &str, target: &[&str], body: &[u8]) -> Self {
        let caller = CallerHash::of(caller.as_str().as_bytes());
        Self {
            fingerprint: Fingerprint::of(Some(caller), method, target, body),
            caller,
        }
    }
}

/// `CrashGuard` refuses requests under which upstreams crash.
pub(crate) struct CrashGuard {
    watch: Mutex<CrashWatch>,
}

impl CrashGuard {
    pub(crate) fn new() -> Self {
        Self {
            watch: Mutex::new(CrashWatch::new(OWN_RUN, Options::default())),
        }
    }

    /// Returns the refusal of a request under which upstreams crash, or none if it may be sent.
    pub(crate) fn refusal(&self, now_ms: u64, identity: &Identity) -> Option<Refusal> {
        let mut watch = self.watch.lock();
        if watch.is_due(now_ms) {
            for row in watch.due(now_ms, Role::default()).new_blocks {
                log::warn!(
                    fingerprint = row.fingerprint.to_string().as_str(), left_ms = row.left_ms;
                    "request blocked"
                );
            }
        }
        let left_ms = watch.blocked_ms(now_ms, &identity.fingerprint)?;
        let detail = format!("upstreams crashed under request {}", identity.fingerprint);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstreams, detail);
        Some(refusal.retry_after(left_ms))
    }

    /// Returns whether a request may be sent again after a failed try.
    pub(crate) fn may_resend(&self, identity: &Identity) -> bool {
        !self.watch.lock().knows(&identity.fingerprint)
    }

    /// Notes how a try ended.
    pub(crate) fn note_try(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        identity: &Identity,
        outcome: UpstreamOutcome,
        is_cut: bool,
    ) {
        let mut watch = self.watch.lock();
        let fingerprint = identity.fingerprint;
        match outcome {
            UpstreamOutcome::Answered => {
                watch.record_alive(upstream);
                watch.record_answered(now_ms, fingerprint);
            }
            UpstreamOutcome::Lost if is_cut => {
                let lost = LostRequest {
                    fingerprint,
                    caller: identity.caller,
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

    /// Takes in that an upstream is gone.
    pub(crate) fn note_gone(&self, now_ms: u64, upstream: &UpstreamName) {
        self.watch.lock().record_ended(now_ms, upstream);
    }
}
