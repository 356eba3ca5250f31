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
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// How often a connection on which nothing comes looks whether it is to be reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 128;

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
    fn blocks(self, to_server: bool) -> bool {
        match self {
            Self::Cut => true,
            Self::CutToServer => to_server,
            Self::CutToClient => !to_server,
            _ => false,
        }
    }
}

/// A connection through the proxy.
struct ProxiedConnection {
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
    connections: Mutex<Vec<Arc<ProxiedConnection>>>,
    stopped: AtomicBool,
    /// Whether nobody listens.
    down: AtomicBool,
}

/// `Proxy` passes connections on to a server.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
    /// Holds the port while nobody listens.
    reserved_port: Mutex<Option<Socket>>,
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
        let accept_thread = listen(listener, shared.clone())?;
        Ok(Self {
            address,
            shared,
            accept_thread: Mutex::new(Some(accept_thread)),
            reserved_port: Mutex::default(),
        })
    }

    /// Listens no more and resets the open connections, as when the server's process ends.
    pub fn go_down(&self) {
        self.shared.down.store(true, Ordering::Release);
        self.wake();
        if let Some(accept_thread) = self.accept_thread.lock().take() {
            // A panic has been printed by its thread.
            let _ = accept_thread.join();
        }
        self.reset_open();
        // Nobody else may take the port meanwhile.
        *self.reserved_port.lock() = bind_without_listening(self.address).ok();
    }

    /// Listens again, in front of a server.
    ///
    /// # Errors
    ///
    /// Any of listening at the same address.
    pub fn come_up(&self, target: SocketAddr) -> io::Result<()> {
        let reserved_port = self.reserved_port.lock().take();
        let socket = match reserved_port {
            Some(socket) => socket,
            None => bind_without_listening(self.address)?,
        };
        socket.listen(LISTEN_BACKLOG)?;
        self.retarget(Some(target));
        self.shared.down.store(false, Ordering::Release);
        *self.accept_thread.lock() = Some(listen(socket.into(), self.shared.clone())?);
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
        for connection in self.shared.connections.lock().drain(..) {
            connection.reset.store(true, Ordering::Release);
            connection.close();
        }
        self.shared.changed.notify_all();
    }

    /// Has the open connections fall silent for good; new ones work.
    pub fn silence_open(&self) {
        for connection in self.shared.connections.lock().iter() {
            connection.silent.store(true, Ordering::Release);
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
fn bind_without_listening(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(listener: TcpListener, shared: Arc<Shared>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("proxy".to_owned())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || accept(&listener, &shared))
}

impl ProxiedConnection {
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
        let _ = forward_connection(client, server, shared);
    }
}

fn forward_connection(
    client: TcpStream,
    server: TcpStream,
    shared: &Arc<Shared>,
) -> io::Result<()> {
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESET_POLL_INTERVAL))?;
    }
    let connection = Arc::new(ProxiedConnection {
        silent: AtomicBool::new(false),
        reset: AtomicBool::new(false),
        directions: AtomicUsize::new(2),
        client,
        server,
    });
    shared.connections.lock().push(connection.clone());
    for to_server in [true, false] {
        let (connection, shared) = (connection.clone(), shared.clone());
        thread::Builder::new()
            .name("proxy-pass".to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || {
                forward_bytes(&connection, &shared, to_server);
                let is_last = connection.directions.fetch_sub(1, Ordering::AcqRel) == 1;
                if is_last || connection.is_reset() {
                    connection.close();
                    let mut connections = shared.connections.lock();
                    connections.retain(|other| !Arc::ptr_eq(other, &connection));
                }
            })?;
    }
    Ok(())
}

/// Passes bytes on in one direction until the connection ends.
fn forward_bytes(connection: &ProxiedConnection, shared: &Shared, to_server: bool) {
    let (mut from, mut to) = match to_server {
        true => (&connection.client, &connection.server),
        false => (&connection.server, &connection.client),
    };
    let mut bytes = [0_u8; 16 * 1024];
    while !connection.is_reset() {
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => {
                connection.reset.store(true, Ordering::Release);
                return;
            }
        };
        if connection.silent.load(Ordering::Acquire) {
            continue;
        }
        wait_while_faulty(connection, shared, to_server);
        if !connection.is_reset() && to.write_all(&bytes[..count]).is_err() {
            connection.reset.store(true, Ordering::Release);
        }
    }
    if !connection.is_reset() && !connection.silent.load(Ordering::Acquire) {
        wait_while_faulty(connection, shared, to_server);
        // The other direction may go on: a client can end its side and still read.
        let _ = to.shutdown(Shutdown::Write);
    }
}

fn wait_while_faulty(connection: &ProxiedConnection, shared: &Shared, to_server: bool) {
    let mut fault = shared.fault.lock();
    if let LinkFault::Delayed { by_ms } = *fault {
        let until = Instant::now() + Duration::from_millis(by_ms);
        while !connection.is_reset() && Instant::now() < until {
            shared.changed.wait_until(&mut fault, until);
        }
    }
    while fault.blocks(to_server) && !connection.is_reset() {
        shared.changed.wait_for(&mut fault, RESET_POLL_INTERVAL);
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
