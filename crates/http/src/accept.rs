//! Accepts connections and rejects those above the limit.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

use crate::connection::Connection;
use crate::protocol::ProtocolError;
use crate::server::Shared;

/// Maximum number of rejected connections that linger at the same time.
const MAX_LINGERING_CONNECTIONS: usize = 128;

/// Pause after a failed accept, such as for lack of file descriptors. The listener stays readable
/// then, and without a pause the thread would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

const MAX_DISCARD_BYTES: usize = 64 * 1024;

/// Result of waiting for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The socket can be read or accepted from.
    Ready,
    /// The server stops, and the socket is not readable.
    Stopping,
    /// The timeout passed.
    TimedOut,
}

/// Waits until a socket is readable, the server stops, or the timeout passes. A readable socket
/// takes precedence over a stop, so that a request that has arrived is served.
pub(crate) fn wait_readable(
    socket: &impl std::os::fd::AsFd,
    shared: &Shared,
    timeout: Duration,
) -> Readiness {
    let deadline = Instant::now() + timeout;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut descriptors = [
            PollFd::new(socket, PollFlags::IN),
            PollFd::new(&shared.stop_event, PollFlags::IN),
        ];
        let polled = rustix::event::poll(&mut descriptors, Some(&timespec(left)));
        let [socket_events, stop_events] = descriptors.map(|descriptor| descriptor.revents());
        match polled {
            Err(_) if left.is_zero() => return Readiness::TimedOut,
            Err(_) => {}
            Ok(_) if !socket_events.is_empty() => return Readiness::Ready,
            Ok(_) if !stop_events.is_empty() => return Readiness::Stopping,
            Ok(_) if left.is_zero() => return Readiness::TimedOut,
            Ok(_) => {}
        }
    }
}

fn timespec(duration: Duration) -> Timespec {
    Timespec {
        tv_sec: i64::try_from(duration.as_secs()).unwrap_or(i64::MAX),
        tv_nsec: i64::from(duration.subsec_nanos()),
    }
}

/// Accepts connections until the server stops.
pub(crate) fn run(shared: &Arc<Shared>, listener: TcpListener) {
    let mut rejected = RejectedConnections::default();
    while !shared.is_stopping() {
        if wait_readable(&listener, shared, rejected.time_to_next_close()) == Readiness::Stopping {
            return;
        }
        rejected.close_expired();
        match listener.accept() {
            Ok((socket, _)) => start_connection(shared, socket, &mut rejected),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => {
                log::warn!("could not accept a connection: {error}");
                thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

fn start_connection(shared: &Arc<Shared>, socket: TcpStream, rejected: &mut RejectedConnections) {
    let Some(slot) = shared.acquire_slot() else {
        rejected.reject(shared, socket);
        return;
    };
    let socket_copy = socket.try_clone();
    let spawned = thread::Builder::new()
        .name("http-connection".to_owned())
        .stack_size(shared.options.thread_stack_bytes)
        .spawn(move || Connection::serve(slot, socket));
    match (spawned, socket_copy) {
        (Ok(_), _) => {}
        (Err(error), Ok(socket)) => {
            log::warn!("could not start a connection's thread: {error}");
            rejected.reject(shared, socket);
        }
        (Err(error), Err(_)) => log::warn!("could not start a connection's thread: {error}"),
    }
}

/// Connections above the limit that were sent an error response and linger until they are closed.
///
/// If bytes of the client are unread when a connection is closed, it is reset, and the reset can
/// overtake the response: the client then sees a broken connection instead of the reason. Such a
/// connection therefore stays open for a moment, without a thread, and the client's bytes are
/// discarded before the close.
#[derive(Default)]
struct RejectedConnections {
    sockets: VecDeque<(TcpStream, Instant)>,
}

impl RejectedConnections {
    fn reject(&mut self, shared: &Shared, mut socket: TcpStream) {
        let response = shared.errors.render(&ProtocolError::TooManyConnections);
        let framing = [
            ("Connection", "close".to_owned()),
            ("Content-Length", response.body.len().to_string()),
        ];
        let mut bytes = response.head.encode(&framing);
        bytes.extend_from_slice(&response.body);
        // The send buffer of a new connection can hold the response. The accepting thread must
        // not wait for a client.
        let written = socket
            .set_nonblocking(true)
            .and_then(|()| socket.write(&bytes))
            .and_then(|_| socket.shutdown(Shutdown::Write));
        if written.is_err() {
            return;
        }
        if self.sockets.len() >= MAX_LINGERING_CONNECTIONS {
            self.sockets.pop_front();
        }
        let expires = Instant::now() + shared.options.linger_timeout;
        self.sockets.push_back((socket, expires));
    }

    /// Returns how long the accepting thread may wait before a lingering connection is due to
    /// close.
    fn time_to_next_close(&self) -> Duration {
        match self.sockets.front() {
            Some((_, expires)) => expires.saturating_duration_since(Instant::now()),
            None => Duration::from_secs(3600),
        }
    }

    fn close_expired(&mut self) {
        let now = Instant::now();
        while let Some((mut socket, _)) = self.sockets.pop_front_if(|(_, expires)| *expires <= now)
        {
            let _ = socket.read(&mut [0; MAX_DISCARD_BYTES]);
        }
    }
}
