//! Cancellation of requests at engines once no caller waits for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use apricotdale_core::engine::EngineServing;
use apricotdale_core::names::RequestId;

use crate::workers::Workers;

/// Sends cancellations to engines, each on a worker thread, so that the cancelled request never
/// waits for an engine that does not answer.
pub(crate) struct Cancels {
    serving: Arc<dyn EngineServing>,
    workers: Arc<Workers>,
    max_at_once: usize,
    at_once: Arc<AtomicUsize>,
}

impl Cancels {
    pub(crate) fn new(
        serving: Arc<dyn EngineServing>,
        workers: Arc<Workers>,
        max_at_once: usize,
    ) -> Self {
        Self {
            serving,
            workers,
            max_at_once,
            at_once: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Asks an engine to cancel a request, without blocking. Beyond the limit of concurrent
    /// cancellations, none is sent.
    pub(crate) fn send(&self, engine: SocketAddr, id: &RequestId) {
        let place = Place::take(&self.at_once);
        if place.before >= self.max_at_once {
            log::warn!(request_id = id.as_str(); "cancellation not sent: too many are in flight");
            return;
        }
        let serving = self.serving.clone();
        let cancelled = id.clone();
        let started = self.workers.run(move || {
            let _place = place;
            if let Err(error) = serving.cancel(engine, &cancelled) {
                log::info!(request_id = cancelled.as_str(); "cancellation failed: {error}");
            }
        });
        if let Err(error) = started {
            log::warn!(request_id = id.as_str(); "cancellation not sent: {error}");
        }
    }
}

/// Counts one cancellation in flight until it is dropped.
struct Place {
    at_once: Arc<AtomicUsize>,
    before: usize,
}

impl Place {
    fn take(at_once: &Arc<AtomicUsize>) -> Self {
        Self {
            before: at_once.fetch_add(1, Ordering::Relaxed),
            at_once: at_once.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.at_once.fetch_sub(1, Ordering::Relaxed);
    }
}
