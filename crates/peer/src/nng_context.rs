//! An nng context together with the asynchronous operation that runs on it.
//!
//! This version of nng frees resources that its own threads still use if they are dropped in the
//! wrong order, and then aborts the process with "pthread_mutex_lock: Invalid argument". An
//! [`NngContext`] ensures the safe order:
//!
//! - an operation ends before its handle is dropped,
//! - the handle is dropped before the context, since nng's timeout thread may be about to cancel an
//!   operation on that context,
//! - the context is closed before its socket, since a call on a context that another thread ends by
//!   closing the socket continues to use the socket.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Socket;

/// Context of a socket that sends and receives messages. It must be dropped before the socket is
/// closed.
#[derive(Debug)]
pub(crate) struct NngContext {
    // Fields are dropped in this order, and the handle must be dropped first.
    aio: Aio,
    outcome: Arc<Mutex<Option<AioResult>>>,
    context: Context,
}

impl NngContext {
    /// Opens a context on a socket.
    pub(crate) fn open(socket: &Socket) -> nng::Result<Self> {
        let context = Context::new(socket)?;
        let outcome = Arc::new(Mutex::new(None));
        let slot = outcome.clone();
        let aio = Aio::new(move |_, result| {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(result);
        })?;
        Ok(Self {
            aio,
            outcome,
            context,
        })
    }

    /// Sends a message and waits until nng has accepted it for a connection.
    pub(crate) fn send(&self, bytes: &[u8], timeout: Option<Duration>) -> nng::Result<()> {
        self.aio.set_timeout(timeout)?;
        self.context
            .send(&self.aio, Message::from(bytes))
            .map_err(|(_, error)| error)?;
        match self.wait() {
            Some(AioResult::Send(Ok(()))) => Ok(()),
            Some(AioResult::Send(Err((_, error)))) => Err(error),
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Waits for a message. Without a timeout it waits until [`Self::cancel`] is called.
    pub(crate) fn receive(&self, timeout: Option<Duration>) -> nng::Result<Message> {
        self.aio.set_timeout(timeout)?;
        self.context.recv(&self.aio)?;
        match self.wait() {
            Some(AioResult::Recv(outcome)) => outcome,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Cancels the running operation, if any. To be called from another thread.
    pub(crate) fn cancel(&self) {
        self.aio.cancel();
    }

    /// Waits until nng has left the callback. The callback holds a reference to the handle; if that
    /// became the last one, nng's thread would wait for itself forever.
    fn wait(&self) -> Option<AioResult> {
        self.aio.wait();
        self.outcome
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
