//! TCP proxy on loopback that injects faults into the connections through it.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
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

/// Stack size of each thread of the proxy; it needs little, and there are two for each connection.
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Interval at which an idle connection checks whether it is to be reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Length of the accept queue when the proxy listens again.
const LISTEN_BACKLOG: i32 = 128;

/// What happens to the bytes of connections through the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are forwarded at once.
    #[default]
    None,
    /// Bytes are forwarded after a delay.
    Delayed {
        /// Delay of each piece that is read, in milliseconds.
        by_ms: u64,
    },
    /// New connections are reset at once.
    Refused,
    /// Bytes towards the server are held back until the fault ends.
    CutToServer,
    /// Bytes towards the client are held back until the fault ends.
    CutToClient,
    /// Bytes in both directions are held back until the fault ends.
    Cut,
    /// Bytes towards the server are held back until the fault ends, from those on that contain a text.
    CutFrom {
        /// Text of which the bytes of one read contain the whole.
        text: &'static str,
    },
}

impl LinkFault {
    fn blocks(self, to_server: bool, bytes: &[u8]) -> bool {
        match self {
            Self::Cut => true,
            Self::CutFrom { text } => {
                let mut windows = bytes.windows(text.len());
                to_server && windows.any(|it| it == text.as_bytes())
            }
            Self::CutToServer => to_server,
            Self::CutToClient => !to_server,
            _ => false,
        }
    }
}

/// One connection of a client through the proxy to the server.
struct ProxiedConnection {
    /// Whether bytes are discarded for the rest of the connection, which stays open.
    silent: AtomicBool,
    /// Whether the connection is to be reset.
    reset: AtomicBool,
    /// Number of directions that have not ended.
    directions: AtomicUsize,
    /// Address of the client, by which faults of single clients apply.
    client_address: IpAddr,
    client: TcpStream,
    server: TcpStream,
}

/// Fault of all connections, and those of the connections of single clients.
#[derive(Default)]
struct LinkFaults {
    of_all: LinkFault,
    by_client: HashMap<IpAddr, LinkFault>,
}

impl LinkFaults {
    fn of(&self, client: IpAddr) -> LinkFault {
        let own = self.by_client.get(&client);
        own.copied().unwrap_or(self.of_all)
    }
}

#[derive(Default)]
struct Shared {
    faults: Mutex<LinkFaults>,
    changed: Condvar,
    target: Mutex<Option<SocketAddr>>,
    connections: Mutex<Vec<Arc<ProxiedConnection>>>,
    /// Number of pieces and ends that are held back.
    held: AtomicUsize,
    stopped: AtomicBool,
    /// Whether the proxy does not listen.
    down: AtomicBool,
}

/// Proxy that forwards connections to a server and injects faults into them.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
    /// Socket that keeps the port reserved while the proxy does not listen.
    reserved_port: Mutex<Option<Socket>>,
}

impl Proxy {
    /// Starts a proxy in front of a server, at a free port of loopback.
    ///
    /// # Errors
    ///
    /// Any error of listening on loopback or starting the thread.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
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

    /// Stops listening and resets the open connections, as when the server's process ends.
    pub fn go_down(&self) {
        self.shared.down.store(true, Ordering::Release);
        self.wake();
        if let Some(accept_thread) = self.accept_thread.lock().take() {
            // The thread has printed its panic.
            let _ = accept_thread.join();
        }
        self.reset_open();
        // No other program may take the port meanwhile.
        *self.reserved_port.lock() = bind_without_listening(self.address).ok();
    }

    /// Listens again at the same address, in front of another server.
    ///
    /// # Errors
    ///
    /// Any error of listening at the address or starting the thread.
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

    /// Connects to the proxy, so that the accept thread checks whether it is to end.
    fn wake(&self) {
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the address at which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Directs new connections to another server; without one they are reset.
    pub fn retarget(&self, target: Option<SocketAddr>) {
        *self.shared.target.lock() = target;
    }

    /// Sets what happens to bytes from now on. Bytes that were held back are forwarded when the
    /// fault ends.
    pub fn set_fault(&self, fault: LinkFault) {
        self.shared.faults.lock().of_all = fault;
        self.shared.changed.notify_all();
    }

    /// Sets what happens to the bytes of one client's connections from now on, regardless of the
    /// fault of all connections.
    pub fn set_client_fault(&self, client: IpAddr, fault: LinkFault) {
        self.shared.faults.lock().by_client.insert(client, fault);
        self.shared.changed.notify_all();
    }

    /// Ends the fault of one client's connections.
    pub fn clear_client_fault(&self, client: IpAddr) {
        self.shared.faults.lock().by_client.remove(&client);
        self.shared.changed.notify_all();
    }

    /// Returns whether anything is held back.
    pub fn holds_bytes(&self) -> bool {
        self.shared.held.load(Ordering::Acquire) > 0
    }

    /// Resets the open connections of one client.
    pub fn reset_client(&self, client: IpAddr) {
        let mut connections = self.shared.connections.lock();
        connections.retain(|connection| {
            let is_other = connection.client_address != client;
            if !is_other {
                connection.reset.store(true, Ordering::Release);
                connection.close();
            }
            is_other
        });
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

    /// Has the open connections carry no bytes any more, without closing them. New ones work.
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

/// Connects to the server from the client's address if it is one that stands for a single client,
/// so that the server can tell clients apart as well.
fn connect_from(client: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let has_own_address = client.is_loopback() && client != IpAddr::V4(Ipv4Addr::LOCALHOST);
    if !has_own_address || client.is_ipv4() != target.is_ipv4() {
        return TcpStream::connect(target);
    }
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(client, 0).into())?;
    socket.connect(&target.into())?;
    Ok(socket.into())
}

/// Returns a socket bound to an address that does not listen, so that connections are refused.
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

    /// Closes the connections to client and server: with a reset if it is to be reset, so that
    /// neither takes the end for an orderly one.
    fn close(&self) {
        for stream in [&self.client, &self.server] {
            if self.is_reset() {
                // Setting the option fails on a connection that has ended already.
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            } else {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let accepted = listener.accept();
        if shared.stopped.load(Ordering::Acquire) || shared.down.load(Ordering::Acquire) {
            return;
        }
        let Ok((client, from)) = accepted else {
            continue;
        };
        // A client that has reset its connection already has no address any more.
        let from = from.ip();
        let is_refused = shared.faults.lock().of(from) == LinkFault::Refused;
        let target = *shared.target.lock();
        let server = target
            .filter(|_| !is_refused)
            .and_then(|target| connect_from(from, target).ok());
        let Some(server) = server else {
            let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
            continue;
        };
        // A connection for which no thread can be started is dropped, as by an overloaded server.
        let _ = forward_connection(client, from, server, shared);
    }
}

fn forward_connection(
    client: TcpStream,
    client_address: IpAddr,
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
        client_address,
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

/// Forwards bytes in one direction until the connection ends.
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
        hold_while_faulty(connection, shared, to_server, &bytes[..count], || {
            if to.write_all(&bytes[..count]).is_err() {
                connection.reset.store(true, Ordering::Release);
            }
        });
    }
    if !connection.is_reset() && !connection.silent.load(Ordering::Acquire) {
        hold_while_faulty(connection, shared, to_server, &[], || {
            // The other direction may continue: a client can close its side and still read.
            let _ = to.shutdown(Shutdown::Write);
        });
    }
}

/// Forwards a piece or an end once no fault holds it back. What was held back is lost if its sender
/// has reset the connection meanwhile.
fn hold_while_faulty(
    connection: &ProxiedConnection,
    shared: &Shared,
    to_server: bool,
    bytes: &[u8],
    forward: impl FnOnce(),
) {
    let from = match to_server {
        true => &connection.client,
        false => &connection.server,
    };
    shared.held.fetch_add(1, Ordering::AcqRel);
    let is_held = wait_while_faulty(connection, shared, to_server, bytes);
    if is_held && !matches!(from.take_error(), Ok(None)) {
        connection.reset.store(true, Ordering::Release);
    }
    if !connection.is_reset() {
        forward();
    }
    shared.held.fetch_sub(1, Ordering::AcqRel);
}

/// Waits as long as a fault delays bytes or holds them back. Returns whether one held them back.
fn wait_while_faulty(
    connection: &ProxiedConnection,
    shared: &Shared,
    to_server: bool,
    bytes: &[u8],
) -> bool {
    let client = connection.client_address;
    let mut faults = shared.faults.lock();
    if let LinkFault::Delayed { by_ms } = faults.of(client) {
        let until = Instant::now() + Duration::from_millis(by_ms);
        while !connection.is_reset() && Instant::now() < until {
            shared.changed.wait_until(&mut faults, until);
        }
    }
    let mut is_held = false;
    while faults.of(client).blocks(to_server, bytes) && !connection.is_reset() {
        is_held = true;
        shared.changed.wait_for(&mut faults, RESET_POLL_INTERVAL);
    }
    is_held
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
