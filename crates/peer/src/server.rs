//! Answering other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use apricotdale_core::peer::PeerHandler;
use nng::Context;
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
use crate::operation::Operation;
use crate::options::SCHEME;
use crate::options::ServerOptions;
use crate::replay::ReplayGuard;

/// `PeerServer` answers other daemons until it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    socket: Socket,
    address: SocketAddr,
    workers: Vec<JoinHandle<()>>,
}

/// `Shared` is what all workers use.
struct Shared {
    address: SocketAddr,
    key: ClusterKey,
    message_limit_bytes: usize,
    reply_timeout: Duration,
    handler: Arc<dyn PeerHandler>,
    counters: Arc<PeerCounters>,
    replays: Mutex<ReplayGuard>,
}

impl PeerServer {
    /// Listens and starts the workers.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address is taken or not this machine's, [`Error::Nng`] or
    /// [`Error::Worker`] if the machine is short of memory, descriptors or threads.
    pub fn start(
        options: &ServerOptions,
        key: ClusterKey,
        handler: Arc<dyn PeerHandler>,
        counters: Arc<PeerCounters>,
    ) -> Result<Self> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(options.message_limit_bytes)?;
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
        });
        let mut server = Self {
            socket,
            address,
            workers: Vec::new(),
        };
        for _ in 0..options.workers.max(1) {
            let worker = start_worker(&server.socket, shared.clone())?;
            server.workers.push(worker);
        }
        Ok(server)
    }

    /// Returns the address by which peers reach the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.socket.close();
        for worker in self.workers.drain(..) {
            // A worker that panicked has printed why; there is nothing left to do for it here.
            let _ = worker.join();
        }
    }
}

fn listen(socket: &Socket, address: SocketAddr) -> Result<SocketAddr> {
    let failed = |error| Error::listen(address, error);
    let builder = ListenerBuilder::new(socket, &format!("{SCHEME}{address}")).map_err(failed)?;
    let listener = builder.start().map_err(|(_, error)| failed(error))?;
    // The listener's local address comes with its port in network byte order from this version of
    // the nng crate, so the port chosen by the OS is read from the URL.
    let url = listener.get_opt::<Url>().map_err(failed)?;
    let bound = url
        .strip_prefix(SCHEME)
        .and_then(|bound| bound.parse().ok());
    Ok(bound.unwrap_or(address))
}

/// Closes connections above the limit, so that a peer that reconnects in a loop can't use up this
/// process's descriptors and memory.
fn limit_connections(
    socket: &Socket,
    connections_max: usize,
    counters: Arc<PeerCounters>,
) -> Result<()> {
    let open = AtomicUsize::new(0);
    socket.pipe_notify(move |pipe: Pipe, event| match event {
        PipeEvent::AddPre if open.fetch_add(1, Ordering::SeqCst) >= connections_max => {
            add(&counters.turned_away, 1);
            pipe.close();
        }
        PipeEvent::RemovePost => {
            open.fetch_sub(1, Ordering::SeqCst);
        }
        _ => {}
    })?;
    Ok(())
}

fn start_worker(socket: &Socket, shared: Arc<Shared>) -> Result<JoinHandle<()>> {
    let context = Context::new(socket)?;
    let operation = Operation::new()?;
    let worker = thread::Builder::new()
        .name("peer-server".to_owned())
        .spawn(move || shared.run(&context, &operation))?;
    Ok(worker)
}

impl Shared {
    /// Answers requests until the socket is closed.
    fn run(&self, context: &Context, operation: &Operation) {
        loop {
            let request = match operation.receive(context, None) {
                Ok(request) => request,
                Err(nng::Error::Closed) => return,
                Err(error) => {
                    log::warn!("receiving from peers: {error}");
                    continue;
                }
            };
            add(&self.counters.received_bytes, request.len());
            let reply = match self.answer(&request) {
                Ok(reply) => reply,
                Err(reason) => {
                    self.counters.reject(reason);
                    continue;
                }
            };
            match operation.send(context, &reply, Some(self.reply_timeout)) {
                Ok(()) => add(&self.counters.sent_bytes, reply.len()),
                Err(nng::Error::Closed) => return,
                Err(error) => log::debug!("replying to a peer: {error}"),
            }
        }
    }

    /// Returns the reply to a request that is authentic, meant for this VM and new.
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
        let reply = self.handler.answer(envelope.request);
        add(&self.counters.answered, 1);
        Ok(frame::encode_reply(&self.key, &tag, &reply))
    }
}
