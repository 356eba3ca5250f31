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
pub(crate) struct CancelSender {
    serving: Arc<dyn EngineServing>,
    workers: Arc<Workers>,
    max_in_flight: usize,
    in_flight: Arc<AtomicUsize>,
}

impl CancelSender {
    pub(crate) fn new(
        serving: Arc<dyn EngineServing>,
        workers: Arc<Workers>,
        max_in_flight: usize,
    ) -> Self {
        Self {
            serving,
            workers,
            max_in_flight,
            in_flight: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Asks an engine to cancel a request, without blocking. Beyond the limit of concurrent
    /// cancellations, none is sent.
    pub(crate) fn send(&self, engine: SocketAddr, id: &RequestId) {
        let guard = InFlightGuard::acquire(&self.in_flight);
        if guard.count_before >= self.max_in_flight {
            log::warn!(request_id = id.as_str(); "cancellation not sent: too many are in flight");
            return;
        }
        let serving = self.serving.clone();
        let cancelled = id.clone();
        let started = self.workers.run(move || {
            let _guard = guard;
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
struct InFlightGuard {
    in_flight: Arc<AtomicUsize>,
    count_before: usize,
}

impl InFlightGuard {
    fn acquire(in_flight: &Arc<AtomicUsize>) -> Self {
        Self {
            count_before: in_flight.fetch_add(1, Ordering::Relaxed),
            in_flight: in_flight.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
