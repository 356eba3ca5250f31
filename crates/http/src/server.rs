//! The server: handler interface, start and graceful stop.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::event::EventfdFlags;

use crate::accept;
use crate::errors::Error;
use crate::errors::Result;
use crate::exchange::Responder;
use crate::options::Options;
use crate::protocol::ErrorRenderer;
use crate::request::Request;

/// Answers requests, each on the thread of its connection.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request, responder: Responder<'_>);
}

/// State shared by the accepting thread, the connections and the owner of the server.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) errors: Arc<dyn ErrorRenderer>,
    /// Becomes readable when the server stops, and stays so. Idle connections poll it together with
    /// their socket, so that a stop never races with a request that has just arrived.
    pub(crate) stop_event: OwnedFd,
    stopping: AtomicBool,
    connections: Mutex<usize>,
    all_closed: Condvar,
}

impl Shared {
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Counts one more connection and returns its slot, or none if all slots are in use.
    pub(crate) fn acquire_slot(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut connections = self.lock_connections();
        if *connections >= self.options.max_connections {
            return None;
        }
        *connections += 1;
        Some(ConnectionSlot {
            shared: self.clone(),
        })
    }

    fn lock_connections(&self) -> MutexGuard<'_, usize> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Slot of one open connection. It is released when dropped, even if the connection's thread
/// panics.
pub(crate) struct ConnectionSlot {
    pub(crate) shared: Arc<Shared>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut connections = self.shared.lock_connections();
        *connections -= 1;
        if *connections == 0 {
            self.shared.all_closed.notify_all();
        }
    }
}

/// HTTP server on one listening socket, until it is stopped.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// Starts to serve on a listening socket.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if the system can't provide a file descriptor or the accepting thread.
    pub fn start(
        listener: TcpListener,
        options: Options,
        handler: Arc<dyn Handler>,
        errors: Arc<dyn ErrorRenderer>,
    ) -> Result<Self> {
        let address = listener
            .local_addr()
            .map_err(|error| Error::system("read the listening address", error))?;
        listener
            .set_nonblocking(true)
            .map_err(|error| Error::system("make the listener non-blocking", error))?;
        let stop_event = rustix::event::eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)
            .map_err(|error| Error::system("create the stop event", error))?;
        let shared = Arc::new(Shared {
            options,
            handler,
            errors,
            stop_event,
            stopping: AtomicBool::new(false),
            connections: Mutex::new(0),
            all_closed: Condvar::new(),
        });
        let accept_state = shared.clone();
        thread::Builder::new()
            .name("http-accept".to_owned())
            .spawn(move || accept::run(&accept_state, listener))
            .map_err(|error| Error::system("start the accepting thread", error))?;
        Ok(Self { shared, address })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        *self.shared.lock_connections()
    }

    /// Stops gracefully, without blocking: no further connection is accepted, idle connections are
    /// closed, and those with a request in progress are closed after its answer.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        if let Err(error) = rustix::io::write(&self.shared.stop_event, &1_u64.to_ne_bytes()) {
            log::error!("could not signal the server's stop: {error}");
        }
    }

    /// Waits until no connection is open. Returns false if the timeout passes first.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let connections = self.shared.lock_connections();
        let (connections, _) = self
            .shared
            .all_closed
            .wait_timeout_while(connections, timeout, |open| *open > 0)
            .unwrap_or_else(PoisonError::into_inner);
        *connections == 0
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
