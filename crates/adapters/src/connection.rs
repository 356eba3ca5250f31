//! The single connection of an exchange, with its state and deadline.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use ureq::Error;
use ureq::Timeout;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;
use ureq::unversioned::transport::time::Duration;

/// State of a connection, shared by the exchange and the connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    connect_attempted: AtomicBool,
    connected: AtomicBool,
    deadline: Mutex<Instant>,
}

impl ConnectionState {
    /// Returns the state of a connection that is not established yet.
    pub(crate) fn new(deadline: Instant) -> Arc<Self> {
        Arc::new(Self {
            connect_attempted: AtomicBool::new(false),
            connected: AtomicBool::new(false),
            deadline: Mutex::new(deadline),
        })
    }

    /// Returns whether the connection was ever established. Before that, nothing was sent.
    pub(crate) fn connected(&self) -> bool {
        self.connected.load(Ordering::SeqCst)
    }

    /// Returns when a pending read or write fails.
    pub(crate) fn deadline(&self) -> Instant {
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets when a pending read or write fails.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        *self.deadline.lock().unwrap_or_else(PoisonError::into_inner) = deadline;
    }

    /// Returns the timeout, shortened to the deadline.
    ///
    /// # Errors
    ///
    /// `Error::Timeout` if the deadline has passed.
    fn limit_to_deadline(
        &self,
        timeout: NextTimeout,
        reason: Timeout,
    ) -> Result<NextTimeout, Error> {
        let left = self.deadline().saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Error::Timeout(reason));
        }
        let is_deadline_sooner = timeout.after.is_not_happening() || left < *timeout.after;
        match is_deadline_sooner {
            true => Ok(NextTimeout {
                after: Duration::Exact(left),
                reason,
                ..timeout
            }),
            false => Ok(timeout),
        }
    }
}

/// Connector that establishes one connection and refuses to establish a second.
///
/// An HTTP client that reconnects and sends again turns a lost answer into a second run, such as a
/// doubled booking or an order executed twice. With this connector a second attempt fails, whatever
/// the library does.
#[derive(Debug)]
pub(crate) struct SingleConnector {
    connection_state: Arc<ConnectionState>,
    tcp: TcpConnector,
}

impl SingleConnector {
    /// Returns a connector that records in `connection_state` whether its connection was
    /// established.
    pub(crate) fn new(connection_state: Arc<ConnectionState>) -> Self {
        Self {
            connection_state,
            tcp: TcpConnector::default(),
        }
    }
}

impl Connector for SingleConnector {
    type Out = DeadlineTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        if self
            .connection_state
            .connect_attempted
            .swap(true, Ordering::SeqCst)
        {
            return Err(Error::ConnectionFailed);
        }
        let transport = self.tcp.connect(details, None::<()>)?;
        let Some(transport) = transport else {
            return Ok(None);
        };
        self.connection_state
            .connected
            .store(true, Ordering::SeqCst);
        Ok(Some(DeadlineTransport {
            inner: Box::new(transport),
            connection_state: self.connection_state.clone(),
        }))
    }
}

/// Connection whose reads and writes end at a deadline that can be moved. The library fixes its own
/// timeouts when a call begins, but the deadline of a stream moves with each event.
#[derive(Debug)]
pub(crate) struct DeadlineTransport {
    inner: Box<dyn Transport>,
    connection_state: Arc<ConnectionState>,
}

impl Transport for DeadlineTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = self
            .connection_state
            .limit_to_deadline(timeout, Timeout::SendRequest)?;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = self
            .connection_state
            .limit_to_deadline(timeout, Timeout::RecvResponse)?;
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

/// Resolver that parses the address in the URL. The library's own resolver starts a thread for
/// every call that has a timeout.
#[derive(Clone, Copy)]
pub(crate) struct AddressResolver;

impl fmt::Debug for AddressResolver {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AddressResolver")
    }
}

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let address: Option<SocketAddr> = uri
            .authority()
            .and_then(|authority| authority.as_str().parse().ok());
        let Some(address) = address else {
            return Err(Error::HostNotFound);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
