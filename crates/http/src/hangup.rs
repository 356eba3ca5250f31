//! Detection of clients that close their connection while their request is in progress.

use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use rustix::event::EventfdFlags;
use rustix::event::epoll;

use crate::errors::Error;
use crate::errors::Result;
use crate::request::ClientSocket;

const STOP_TOKEN: u64 = 0;
const MAX_EVENTS_PER_WAIT: usize = 64;

type Callback = Box<dyn FnOnce() + Send>;

struct Shared {
    epoll: OwnedFd,
    stop_event: OwnedFd,
    callbacks: Mutex<HashMap<u64, Callback>>,
    next_token: AtomicU64,
}

impl Shared {
    fn lock_callbacks(&self) -> MutexGuard<'_, HashMap<u64, Callback>> {
        self.callbacks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Watches clients' connections on one thread and calls back once per connection when its client
/// closes it.
///
/// The kernel reports the close itself (`EPOLLRDHUP`). Peeking for an end of input would not do: if
/// the client has already sent a further request, the end of input behind it is not visible. A
/// client that only closes its sending side counts as gone.
pub struct HangupWatcher {
    shared: Arc<Shared>,
}

impl HangupWatcher {
    /// Starts the watching thread.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if the system can't provide a file descriptor or the thread.
    pub fn start() -> Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)
            .map_err(|error| Error::system("create the hang-up poll", error))?;
        let stop_event = rustix::event::eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)
            .map_err(|error| Error::system("create the hang-up wake event", error))?;
        let token = epoll::EventData::new_u64(STOP_TOKEN);
        epoll::add(&epoll, &stop_event, token, epoll::EventFlags::IN)
            .map_err(|error| Error::system("watch the hang-up wake event", error))?;
        let shared = Arc::new(Shared {
            epoll,
            stop_event,
            callbacks: Mutex::new(HashMap::new()),
            next_token: AtomicU64::new(STOP_TOKEN + 1),
        });
        let watch_state = shared.clone();
        thread::Builder::new()
            .name("http-hangup".to_owned())
            .spawn(move || watch(&watch_state))
            .map_err(|error| Error::system("start the hang-up thread", error))?;
        Ok(Self { shared })
    }

    /// Watches a connection until the guard is dropped. The callback must not block.
    ///
    /// # Errors
    ///
    /// [`Error::System`] if the connection can't be watched, or is already watched.
    pub fn watch(
        &self,
        socket: &ClientSocket,
        on_hangup: impl FnOnce() + Send + 'static,
    ) -> Result<HangupGuard> {
        let token = self.shared.next_token.fetch_add(1, Ordering::Relaxed);
        self.shared
            .lock_callbacks()
            .insert(token, Box::new(on_hangup));
        let events = epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let data = epoll::EventData::new_u64(token);
        if let Err(error) = epoll::add(&self.shared.epoll, &*socket.0, data, events) {
            self.shared.lock_callbacks().remove(&token);
            return Err(Error::system("watch a connection", error));
        }
        Ok(HangupGuard {
            shared: self.shared.clone(),
            socket: socket.0.clone(),
            token,
        })
    }
}

impl Drop for HangupWatcher {
    fn drop(&mut self) {
        let _ = rustix::io::write(&self.shared.stop_event, &1_u64.to_ne_bytes());
    }
}

/// Keeps a connection watched. Once it is dropped, no callback is started any more.
pub struct HangupGuard {
    shared: Arc<Shared>,
    socket: Arc<TcpStream>,
    token: u64,
}

impl Drop for HangupGuard {
    fn drop(&mut self) {
        self.shared.lock_callbacks().remove(&self.token);
        let _ = epoll::delete(&self.shared.epoll, &*self.socket);
    }
}

fn watch(shared: &Shared) {
    let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS_PER_WAIT);
    loop {
        events.clear();
        let waited = epoll::wait(
            &shared.epoll,
            rustix::buffer::spare_capacity(&mut events),
            None,
        );
        match waited {
            Ok(_) => {}
            Err(error) if io::Error::from(error).kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => {
                log::error!("hang-ups are no longer detected: {error}");
                return;
            }
        }
        for event in &events {
            let token = event.data.u64();
            if token == STOP_TOKEN {
                return;
            }
            let callback = shared.lock_callbacks().remove(&token);
            if let Some(callback) = callback {
                callback();
            }
        }
    }
}
