//! One nng context with the operation that runs on it.
//!
//! This version of nng frees things that its own threads still use if they are given up in the
//! wrong order, and then stops the process with "pthread_mutex_lock: Invalid argument". A [`Lane`]
//! keeps to the order that is safe:
//!
//! - an operation ends before its handle is dropped,
//! - the handle is dropped before the context, since nng's timeout thread may be about to cancel an
//!   operation on that context,
//! - the context is closed before its socket, since a call on a context that its socket's close
//!   ends from another thread goes on to use the socket.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Socket;

/// `Lane` sends and receives on one context of a socket. It must be dropped before the socket is
/// closed.
#[derive(Debug)]
pub(crate) struct Lane {
    // Fields are dropped in this order, and the handle must be dropped first.
    aio: Aio,
    outcome: Arc<Mutex<Option<AioResult>>>,
    context: Context,
}

impl Lane {
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

    /// Sends a message, waiting until nng has taken it over for a connection.
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

    /// Receives a message.
    pub(crate) fn receive(&self, timeout: Option<Duration>) -> nng::Result<Message> {
        self.aio.set_timeout(timeout)?;
        self.context.recv(&self.aio)?;
        match self.wait() {
            Some(AioResult::Recv(outcome)) => outcome,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Ends the operation that is running, if any, from another thread.
    pub(crate) fn cancel(&self) {
        self.aio.cancel();
    }

    /// Waits until nng has left the callback. The callback holds a reference to the handle; if that
    /// became the last one, nng's thread would wait for itself for ever.
    fn wait(&self) -> Option<AioResult> {
        self.aio.wait();
        self.outcome
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
