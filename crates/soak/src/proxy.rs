//! A proxy on loopback that spoils the connections that go through it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// The stack of a thread that passes bytes on.
const STACK_BYTES: usize = 128 * 1024;

/// How often a connection on which nothing comes looks whether it is to be reset.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// `LinkFault` is what happens to bytes on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// They arrive.
    #[default]
    None,
    /// They arrive later.
    Delayed {
        /// By how much.
        by_ms: u64,
    },
    /// New connections are reset.
    Refused,
    /// Bytes towards the server are held up until the fault ends.
    CutToServer,
    /// Bytes towards the client are held up until the fault ends.
    CutToClient,
    /// Both are held up.
    Cut,
}

impl LinkFault {
    fn holds_up(self, to_server: bool) -> bool {
        match self {
            Self::Cut => true,
            Self::CutToServer => to_server,
            Self::CutToClient => !to_server,
            _ => false,
        }
    }
}

/// A connection through the proxy.
struct Passage {
    /// Whether nothing passes any more, for good, though the connection stands.
    silent: AtomicBool,
    /// Whether it is to be reset.
    reset: AtomicBool,
    /// Directions that still carry bytes.
    directions: AtomicUsize,
    client: TcpStream,
    server: TcpStream,
}

#[derive(Default)]
struct Shared {
    fault: Mutex<LinkFault>,
    changed: Condvar,
    target: Mutex<Option<SocketAddr>>,
    passages: Mutex<Vec<Arc<Passage>>>,
    stopped: AtomicBool,
    /// Whether nobody listens.
    down: AtomicBool,
}

/// `Proxy` passes connections on to a server.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Mutex<Option<JoinHandle<()>>>,
    /// Holds the port while nobody listens.
    held: Mutex<Option<Socket>>,
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// Any of listening on loopback.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        *shared.target.lock() = Some(target);
        let accepting = listen(listener, shared.clone())?;
        Ok(Self {
            address,
            shared,
            accepting: Mutex::new(Some(accepting)),
            held: Mutex::default(),
        })
    }

    /// Listens no more and resets the open connections, as when the server's process ends.
    pub fn go_down(&self) {
        self.shared.down.store(true, Ordering::Release);
        self.wake();
        if let Some(accepting) = self.accepting.lock().take() {
            // A panic has been printed by its thread.
            let _ = accepting.join();
        }
        self.reset_open();
        // Nobody else may take the port meanwhile.
        *self.held.lock() = hold(self.address).ok();
    }

    /// Listens again, in front of a server.
    ///
    /// # Errors
    ///
    /// Any of listening at the same address.
    pub fn come_up(&self, target: SocketAddr) -> io::Result<()> {
        let held = self.held.lock().take();
        let socket = match held {
            Some(socket) => socket,
            None => hold(self.address)?,
        };
        socket.listen(BACKLOG)?;
        self.retarget(Some(target));
        self.shared.down.store(false, Ordering::Release);
        *self.accepting.lock() = Some(listen(socket.into(), self.shared.clone())?);
        Ok(())
    }

    /// Has the accepting thread look whether it is still to accept.
    fn wake(&self) {
        let _ = TcpStream::connect(self.address);
    }

    /// Returns where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has new connections go to another server, or to none, by which they are reset.
    pub fn retarget(&self, target: Option<SocketAddr>) {
        *self.shared.target.lock() = target;
    }

    /// Sets what happens to bytes from now on. What was held up goes on when the fault ends.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.shared.fault.lock() = fault;
        self.shared.changed.notify_all();
    }

    /// Resets the open connections.
    pub fn reset_open(&self) {
        for passage in self.shared.passages.lock().drain(..) {
            passage.reset.store(true, Ordering::Release);
            passage.close();
        }
        self.shared.changed.notify_all();
    }

    /// Has the open connections fall silent for good; new ones work.
    pub fn silence_open(&self) {
        for passage in self.shared.passages.lock().iter() {
            passage.silent.store(true, Ordering::Release);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.reset_open();
        self.wake();
    }
}

/// Returns a socket at an address that does not listen: connections are refused.
fn hold(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(listener: TcpListener, shared: Arc<Shared>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("proxy".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || accept(&listener, &shared))
}

impl Passage {
    fn is_reset(&self) -> bool {
        self.reset.load(Ordering::Acquire)
    }

    /// Ends both connections; with a reset, so that nobody takes the end for an orderly one.
    fn close(&self) {
        for stream in [&self.client, &self.server] {
            if self.is_reset() {
                // A connection that has ended already takes no option any more.
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            } else {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for client in listener.incoming().flatten() {
        if shared.stopped.load(Ordering::Acquire) || shared.down.load(Ordering::Acquire) {
            return;
        }
        let is_refused = *shared.fault.lock() == LinkFault::Refused;
        let target = *shared.target.lock();
        let server = target
            .filter(|_| !is_refused)
            .and_then(|target| TcpStream::connect(target).ok());
        let Some(server) = server else {
            let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
            continue;
        };
        // A connection for which there are no threads is dropped, as a full server would do.
        let _ = pass(client, server, shared);
    }
}

fn pass(client: TcpStream, server: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK_EVERY))?;
    }
    let passage = Arc::new(Passage {
        silent: AtomicBool::new(false),
        reset: AtomicBool::new(false),
        directions: AtomicUsize::new(2),
        client,
        server,
    });
    shared.passages.lock().push(passage.clone());
    for to_server in [true, false] {
        let (passage, shared) = (passage.clone(), shared.clone());
        thread::Builder::new()
            .name("proxy-pass".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                pump(&passage, &shared, to_server);
                let is_last = passage.directions.fetch_sub(1, Ordering::AcqRel) == 1;
                if is_last || passage.is_reset() {
                    passage.close();
                    let mut passages = shared.passages.lock();
                    passages.retain(|other| !Arc::ptr_eq(other, &passage));
                }
            })?;
    }
    Ok(())
}

/// Passes bytes on in one direction until the connection ends.
fn pump(passage: &Passage, shared: &Shared, to_server: bool) {
    let (mut from, mut to) = match to_server {
        true => (&passage.client, &passage.server),
        false => (&passage.server, &passage.client),
    };
    let mut bytes = [0_u8; 16 * 1024];
    while !passage.is_reset() {
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => {
                passage.reset.store(true, Ordering::Release);
                return;
            }
        };
        if passage.silent.load(Ordering::Acquire) {
            continue;
        }
        wait_for_link(passage, shared, to_server);
        if !passage.is_reset() && to.write_all(&bytes[..count]).is_err() {
            passage.reset.store(true, Ordering::Release);
        }
    }
    if !passage.is_reset() && !passage.silent.load(Ordering::Acquire) {
        wait_for_link(passage, shared, to_server);
        // The other direction may go on: a client can end its side and still read.
        let _ = to.shutdown(Shutdown::Write);
    }
}

fn wait_for_link(passage: &Passage, shared: &Shared, to_server: bool) {
    let mut fault = shared.fault.lock();
    if let LinkFault::Delayed { by_ms } = *fault {
        let until = Instant::now() + Duration::from_millis(by_ms);
        while !passage.is_reset() && Instant::now() < until {
            shared.changed.wait_until(&mut fault, until);
        }
    }
    while fault.holds_up(to_server) && !passage.is_reset() {
        shared.changed.wait_for(&mut fault, LOOK_EVERY);
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
