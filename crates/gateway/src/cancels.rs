//! Telling engines to end requests that nobody waits for any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use apricotdale_core::engine::EngineServing;
use apricotdale_core::names::RequestId;

use crate::workers::Workers;

/// `Cancels` sends cancellations, each on a thread of its own, so that the request that is given
/// up never waits for an engine that does not answer.
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

    /// Tells an engine to end a request. Returns at once.
    pub(crate) fn send(&self, engine: SocketAddr, id: &RequestId) {
        let place = Place::take(&self.at_once);
        if place.before >= self.max_at_once {
            log::warn!(request_id = id.as_str(); "not cancelled: too many are on their way");
            return;
        }
        let serving = self.serving.clone();
        let cancelled = id.clone();
        let started = self.workers.run(move || {
            let _place = place;
            if let Err(error) = serving.cancel(engine, &cancelled) {
                log::info!(request_id = cancelled.as_str(); "the engine took no cancellation: {error}");
            }
        });
        if let Err(error) = started {
            log::warn!(request_id = id.as_str(); "not cancelled: {error}");
        }
    }
}

/// `Place` counts one cancellation on its way.
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
