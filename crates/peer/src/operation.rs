//! Waiting for one nng operation at a time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;

/// `Operation` runs one send or receive at a time and waits for its end.
///
/// The handle must not be dropped while nng still runs its callback: the callback holds a reference
/// too, and if that is the last one, nng's thread waits for itself for ever. One would notice that
/// messages stop after a while with all threads alive. Every method here returns only after nng has
/// left the callback, which `Aio::wait` ensures.
#[derive(Debug)]
pub(crate) struct Operation {
    aio: Aio,
    outcome: Arc<Mutex<Option<AioResult>>>,
}

impl Operation {
    /// Returns an operation that is not running.
    pub(crate) fn new() -> nng::Result<Self> {
        let outcome = Arc::new(Mutex::new(None));
        let slot = outcome.clone();
        let aio = Aio::new(move |_, result| {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(result);
        })?;
        Ok(Self { aio, outcome })
    }

    /// Sends a message, waiting until nng has taken it over for a connection.
    pub(crate) fn send(
        &self,
        context: &Context,
        bytes: &[u8],
        timeout: Option<Duration>,
    ) -> nng::Result<()> {
        self.aio.set_timeout(timeout)?;
        context
            .send(&self.aio, Message::from(bytes))
            .map_err(|(_, error)| error)?;
        match self.wait() {
            Some(AioResult::Send(Ok(()))) => Ok(()),
            Some(AioResult::Send(Err((_, error)))) => Err(error),
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Receives a message.
    pub(crate) fn receive(
        &self,
        context: &Context,
        timeout: Option<Duration>,
    ) -> nng::Result<Message> {
        self.aio.set_timeout(timeout)?;
        context.recv(&self.aio)?;
        match self.wait() {
            Some(AioResult::Recv(outcome)) => outcome,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    fn wait(&self) -> Option<AioResult> {
        self.aio.wait();
        self.outcome
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
