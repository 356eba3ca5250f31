//! Server that accepts connections and serves each on a thread.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use parking_lot::Mutex;

use crate::http::early;
use crate::http::early::EarlyAnswer;
use crate::http::reply::Reply;
use crate::http::request::Request;

const STACK_BYTES: usize = 256 * 1024;

/// Handler of requests. It is called on many threads at once and may block.
pub trait Handler: Send + Sync {
    /// Returns the reply to a request.
    fn handle(self: Arc<Self>, request: &Request) -> Reply;

    /// Returns the answer that is sent before the body of a request is read; none to read it first.
    /// The connection ends with such an answer.
    fn answer_early(&self, _request: &Request) -> Option<EarlyAnswer> {
        None
    }
}

/// HTTP server that accepts connections on one address until it is stopped.
pub struct Server {
    address: SocketAddr,
    connections: Arc<Connections>,
    accepting: JoinHandle<()>,
}

/// Open connections, which a stopped server breaks.
#[derive(Default)]
struct Connections {
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    stopped: bool,
    next_id: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl Server {
    /// Listens on an address and serves from threads that it starts.
    ///
    /// # Errors
    ///
    /// Errors of listening and of starting a thread.
    pub fn start(listen: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Connections::default());
        let accepted = connections.clone();
        let accepting = thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept(&listener, &handler, &accepted))?;
        Ok(Self {
            address,
            connections,
            accepting,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open.lock().streams.len()
    }

    /// Waits until the server is stopped.
    pub fn wait(self) {
        // A panic in the accepting thread has already been printed by that thread.
        let _ = self.accepting.join();
    }

    /// Stops accepting and breaks every connection, as the end of the process would.
    pub fn stop(self) {
        self.stopper().stop();
        self.wait();
    }

    /// Returns a handle that stops the server from one of its own handlers.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            address: self.address,
            connections: self.connections.clone(),
        }
    }
}

/// Handle that stops a server without waiting for its threads.
#[derive(Clone)]
pub struct Stopper {
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl Stopper {
    /// Stops accepting and breaks every connection. Only the first call has an effect.
    pub fn stop(&self) {
        let streams = {
            let mut open = self.connections.open.lock();
            if std::mem::replace(&mut open.stopped, true) {
                return;
            }
            std::mem::take(&mut open.streams)
        };
        for stream in streams.values() {
            // A connection that the client closed first can't be shut down any more.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread notices the stop only when a connection arrives.
        let _ = TcpStream::connect(self.address);
    }
}

impl Connections {
    /// Records a connection and returns its number, or none once the server is stopped.
    fn add(&self, stream: &TcpStream) -> Option<u64> {
        let mut open = self.open.lock();
        if open.stopped {
            return None;
        }
        let id = open.next_id;
        open.next_id += 1;
        open.streams.insert(id, stream.try_clone().ok()?);
        Some(id)
    }

    fn remove(&self, id: u64) {
        self.open.lock().streams.remove(&id);
    }

    fn is_stopped(&self) -> bool {
        self.open.lock().stopped
    }
}

fn accept(listener: &TcpListener, handler: &Arc<dyn Handler>, connections: &Arc<Connections>) {
    loop {
        let accepted = listener.accept();
        if connections.is_stopped() {
            return;
        }
        // The client disconnected before its connection was accepted.
        let Ok((stream, from)) = accepted else {
            continue;
        };
        let Some(id) = connections.add(&stream) else {
            continue;
        };
        let handler = handler.clone();
        let served = connections.clone();
        let spawned = thread::Builder::new()
            .name("connection".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                // An error means that the client disconnected or sent no valid HTTP. Either way the
                // connection ends.
                let _ = serve(&stream, from.ip(), &handler);
                served.remove(id);
                if !early::resets_at_close(&stream) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            });
        if spawned.is_err() {
            connections.remove(id);
        }
    }
}

fn serve(stream: &TcpStream, from: IpAddr, handler: &Arc<dyn Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut previous = None;
    while let Some(mut request) = Request::read_head(&mut reader, from)? {
        if let Some(answer) = handler.answer_early(&request) {
            return answer.send(&request, &mut reader);
        }
        request.read_body(&mut reader)?;
        let reply = handler.clone().handle(&request);
        let is_head = request.method == "HEAD";
        let bytes = reply.bytes(is_head);
        let reusable = reply.send(stream, is_head, previous.as_deref())?;
        previous = bytes;
        if !reusable || !request.keeps_alive() {
            return Ok(());
        }
    }
    Ok(())
}
