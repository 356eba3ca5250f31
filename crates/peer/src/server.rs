//! Server side: answers requests of other daemons.

use std::fmt;
use std::net::SocketAddr;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use nng::ListenerBuilder;
use nng::Pipe;
use nng::PipeEvent;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::options::Url;

use crate::counters::PeerCounters;
use crate::counters::Rejection;
use crate::counters::add;
use crate::errors::Error;
use crate::errors::Result;
use crate::frame;
use crate::key::ClusterKey;
use crate::key::Tag;
use crate::nng_context::NngContext;
use crate::options::SCHEME;
use crate::options::ServerOptions;
use crate::options::read_limit_bytes;
use crate::replay::ReplayGuard;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;

/// Delay after nng failed to receive, so that a persistent fault, such as a lack of memory, does
/// not keep a core busy.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay between two attempts to stop a worker.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Server that answers requests of other daemons until it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    shared: Arc<Shared>,
    workers: Vec<Worker>,
    socket: Socket,
}

/// Thread that answers requests, and the context that it uses.
#[derive(Debug)]
struct Worker {
    thread: JoinHandle<()>,
    nng_context: Arc<NngContext>,
}

/// State that all workers share.
struct Shared {
    address: SocketAddr,
    key: ClusterKey,
    message_limit_bytes: usize,
    reply_timeout: Duration,
    handler: Arc<dyn PeerHandler>,
    counters: Arc<PeerCounters>,
    replays: Mutex<ReplayGuard>,
    stopping: AtomicBool,
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Shared({})", self.address)
    }
}

impl PeerServer {
    /// Listens on the configured address and starts the workers.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address is in use or not of this machine,
    /// [`Error::NoAdvertisedAddress`] if the server listens on all addresses without an advertised
    /// one, [`Error::Nng`] or [`Error::Worker`] if the machine is short of memory, descriptors or
    /// threads.
    pub fn start(
        options: &ServerOptions,
        key: ClusterKey,
        handler: Arc<dyn PeerHandler>,
        counters: Arc<PeerCounters>,
    ) -> Result<Self> {
        if options.listen.ip().is_unspecified() && options.advertised.is_none() {
            return Err(Error::NoAdvertisedAddress(options.listen));
        }
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(read_limit_bytes(options.message_limit_bytes))?;
        limit_connections(&socket, options.connections_max, counters.clone())?;
        let listening = listen(&socket, options.listen)?;
        let address = options.advertised.unwrap_or(listening);
        let shared = Arc::new(Shared {
            address,
            key,
            message_limit_bytes: options.message_limit_bytes,
            reply_timeout: Duration::from_millis(options.reply_timeout_ms),
            handler,
            counters,
            replays: Mutex::new(ReplayGuard::new(options.senders_max)),
            stopping: AtomicBool::new(false),
        });
        let mut server = Self {
            shared,
            workers: Vec::new(),
            socket,
        };
        for _ in 0..options.workers.max(1) {
            server.start_worker()?;
        }
        Ok(server)
    }

    /// Returns the address by which peers reach the server: the advertised one, or the one that it
    /// listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    fn start_worker(&mut self) -> Result<()> {
        let nng_context = Arc::new(NngContext::open(&self.socket)?);
        let (shared, worker_context) = (self.shared.clone(), nng_context.clone());
        let thread = thread::Builder::new()
            .name("peer-server".to_owned())
            .spawn(move || shared.run(&worker_context))?;
        self.workers.push(Worker {
            thread,
            nng_context,
        });
        Ok(())
    }
}

impl Worker {
    /// Waits until the thread has ended after the server began to stop. A cancellation just before
    /// the worker starts to receive has no effect, so it is repeated. The context is dropped here,
    /// after the last cancellation, and not by the thread.
    fn stop(self) {
        while !self.thread.is_finished() {
            self.nng_context.cancel();
            thread::sleep(STOP_RETRY_DELAY);
        }
        // A worker that panicked has printed why; there is nothing left to do here.
        let _ = self.thread.join();
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        for worker in self.workers.drain(..) {
            worker.stop();
        }
        self.socket.close();
    }
}

fn listen(socket: &Socket, address: SocketAddr) -> Result<SocketAddr> {
    let failed = |error| Error::listen(address, error);
    let builder = ListenerBuilder::new(socket, &format!("{SCHEME}{address}")).map_err(failed)?;
    let listener = builder.start().map_err(|(_, error)| failed(error))?;
    // This version of the nng crate returns the local address with its port in network byte order,
    // so the port chosen by the operating system is read from the URL.
    let url = listener.get_opt::<Url>().map_err(failed)?;
    let bound = url
        .strip_prefix(SCHEME)
        .and_then(|bound| bound.parse().ok());
    Ok(bound.unwrap_or(address))
}

/// Closes connections above the limit, so that a peer that reconnects in a loop can't exhaust this
/// process's descriptors and memory.
fn limit_connections(
    socket: &Socket,
    connections_max: usize,
    counters: Arc<PeerCounters>,
) -> Result<()> {
    let open = AtomicUsize::new(0);
    socket.pipe_notify(move |pipe: Pipe, event| match event {
        PipeEvent::AddPre if open.fetch_add(1, Ordering::SeqCst) >= connections_max => {
            add(&counters.rejected_connections, 1);
            pipe.close();
        }
        PipeEvent::RemovePost => {
            add(&counters.closed, 1);
            open.fetch_sub(1, Ordering::SeqCst);
        }
        _ => {}
    })?;
    Ok(())
}

impl Shared {
    /// Answers requests until the server stops.
    fn run(&self, nng_context: &NngContext) {
        while !self.stopping.load(Ordering::SeqCst) {
            match nng_context.receive(None) {
                Ok(request) => self.serve(nng_context, &request),
                Err(nng::Error::Canceled) => {}
                Err(error) => {
                    log::warn!("failed to receive a peer request: {error}");
                    thread::sleep(RECEIVE_RETRY_DELAY);
                }
            }
        }
    }

    fn serve(&self, nng_context: &NngContext, request: &[u8]) {
        add(&self.counters.received_bytes, request.len());
        let reply = match self.answer(request) {
            Ok(reply) => reply,
            Err(reason) => return self.counters.reject(reason),
        };
        match nng_context.send(&reply, Some(self.reply_timeout)) {
            Ok(()) => add(&self.counters.sent_bytes, reply.len()),
            Err(error) => log::debug!("failed to reply to a peer: {error}"),
        }
    }

    /// Returns the reply to a request that is authentic, addressed to this VM and not a replay.
    fn answer(&self, request: &[u8]) -> std::result::Result<Vec<u8>, Rejection> {
        if request.len() > self.message_limit_bytes {
            return Err(Rejection::TooLong);
        }
        let (envelope, tag) = frame::decode_request(&self.key, request)?;
        if envelope.recipient != self.address {
            return Err(Rejection::WrongRecipient);
        }
        let new = self
            .replays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .accept(&envelope.sender, envelope.process_id, envelope.sequence);
        if !new {
            return Err(Rejection::Replayed);
        }
        let reply = self.handle(envelope.request);
        Ok(self.encode(&tag, &reply))
    }

    /// Returns the handler's reply, or a refusal if the handler panics. A panic must not end the
    /// worker: the process and its connections would stay, but peers would get no more replies.
    fn handle(&self, request: PeerRequest) -> PeerReply {
        let handled = panic::catch_unwind(AssertUnwindSafe(|| self.handler.answer(request)));
        match handled {
            Ok(reply) => {
                add(&self.counters.answered, 1);
                reply
            }
            Err(_) => {
                add(&self.counters.failed, 1);
                log::error!("handler panicked while answering a peer request");
                PeerReply::Declined("internal fault".to_owned())
            }
        }
    }

    /// Returns the encoded reply. A reply above the limit is replaced by a refusal, because its
    /// receiver would drop it and wait until the timeout.
    fn encode(&self, request_tag: &Tag, reply: &PeerReply) -> Vec<u8> {
        let bytes = frame::encode_reply(&self.key, request_tag, reply);
        match bytes.len() {
            length if length > self.message_limit_bytes => {
                let declined = PeerReply::Declined(format!("reply of {length} bytes"));
                frame::encode_reply(&self.key, request_tag, &declined)
            }
            _ => bytes,
        }
    }
}
