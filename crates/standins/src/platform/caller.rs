//! Callers of entry VMs.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use apricotdale_http1::BodyDecoder;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::platform::answers::ID;
use crate::platform::answers::SIGNATURE;
use crate::platform::answers::VERSION;
use crate::platform::answers::contains;
use crate::platform::site::RARE_PREFIX;

/// Host that callers name and that the routes of [`crate::platform::Site`] have.
pub const HOST: &str = "site.example";

/// Maximum size of the head of an answer that a caller reads.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Header that lists the parts of a prompt.
const PARTS: &str = "Apricotdale-Prompt-Prefix";

/// Header that names a model, or an adapter after a slash.
const MODEL: &str = "Apricotdale-Model";

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with the query.
    pub target: String,
    /// Identity of this attempt.
    pub id: String,
    /// Headers other than the host, the identity and the length.
    pub headers: Vec<(String, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
}

impl SiteRequest {
    /// Returns a request without further headers and without a body.
    pub fn new(method: &'static str, target: &str, id: &str) -> Self {
        Self {
            method,
            target: target.to_owned(),
            id: id.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns a call to the plain service that may run only once.
    pub fn book(id: &str) -> Self {
        Self::new("POST", "/book/slot?n=1", id).with_body(b"{\"slot\":1}")
    }

    /// Returns a call to the plain service that may be retried.
    pub fn look(id: &str) -> Self {
        Self::new("GET", "/look/shelf", id)
    }

    /// Returns a streaming request whose answer may be resumed.
    pub fn quick(id: &str, model: &str) -> Self {
        Self::stream("/quick/1f", id, model)
    }

    /// Returns a streaming request that may run only once.
    pub fn patient(id: &str, model: &str) -> Self {
        Self::stream("/patient/2f", id, model)
    }

    /// Returns a streaming request for a rarely used model, at a site with ranks.
    pub fn rare(id: &str, model: &str) -> Self {
        Self::stream(&format!("{RARE_PREFIX}3f"), id, model)
    }

    /// Returns the model that the request names, or an adapter after a slash; none if it names none.
    pub fn model(&self) -> Option<&str> {
        let mut headers = self.headers.iter();
        let named = headers.find(|(name, _)| name == MODEL);
        named.map(|(_, model)| model.as_str())
    }

    fn stream(target: &str, id: &str, model: &str) -> Self {
        Self::new("POST", target, id)
            .with(MODEL, model)
            .with("Apricotdale-Token-Count", "100,30")
            .with(PARTS, "5c1e07a2:80,e4402b7d:20")
            .with_body(b"prompt")
    }

    /// Returns the request with one more header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the request as one that resumes a stream after its event `last_event`. `first_id` is
    /// the identity of the attempt that brought the first event.
    pub fn resuming(self, first_id: &str, last_event: u64) -> Self {
        self.with("Resumes", first_id)
            .with("Last-Event-Id", &last_event.to_string())
    }

    /// Returns the request with these parts of its prompt, as `ID:TOKENS` pairs separated by commas,
    /// in place of its own.
    pub fn with_parts(mut self, parts: &str) -> Self {
        self.headers.retain(|(name, _)| name != PARTS);
        self.with(PARTS, parts)
    }

    /// Returns the request with its caller's timeout.
    pub fn with_timeout_ms(self, timeout_ms: u64) -> Self {
        self.with("Apricotdale-Request-Deadline", &timeout_ms.to_string())
    }

    /// Returns the request with a body.
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Returns the bytes of the request as they are sent.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {}\r\n",
            self.method, self.target, self.id
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Answer that a caller receives.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Head; absent if the connection ended before it.
    pub head: Option<ResponseHead>,
    /// Body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the answer is as long as its head announced.
    pub complete: bool,
}

impl Answer {
    /// Returns the status, or 0 without an answer.
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, |head| head.status)
    }

    /// Returns whether the answer is complete and a success.
    pub fn is_success(&self) -> bool {
        self.complete && (200..300).contains(&self.status())
    }

    /// Returns the value of a header, or none without one.
    pub fn header(&self, name: &str) -> Option<String> {
        self.head
            .as_ref()
            .and_then(|head| head.headers.text(name))
            .map(str::to_owned)
    }

    /// Returns the identity of the request that the answer names.
    pub fn id(&self) -> Option<String> {
        self.header(ID)
    }

    /// Returns whether the answer has an upstream's signature.
    pub fn is_signed(&self) -> bool {
        self.header(SIGNATURE).is_some()
    }

    /// Returns the version of the model's weights that the answer names.
    pub fn version(&self) -> Option<String> {
        self.header(VERSION)
    }

    /// Returns whether the connection ends after the answer.
    pub fn closes(&self) -> bool {
        self.head
            .as_ref()
            .is_none_or(|head| !self.complete || head.headers.has_token("Connection", "close"))
    }

    /// Returns the body as text, with replacements for invalid UTF-8.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the event IDs in the body, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = self.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Maximum segment size of a distant caller.
const DISTANT_SEGMENT_BYTES: u32 = 536;

/// Receive buffer of a distant caller.
const DISTANT_WINDOW_BYTES: usize = 16 * 1024;

/// Connection of a caller to a VM.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    pending: Vec<u8>,
}

impl Caller {
    /// Opens a connection on which reads and writes time out.
    ///
    /// # Errors
    ///
    /// Errors of connecting.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::over(TcpStream::connect_timeout(&address, timeout)?, timeout)
    }

    /// Opens a connection from a source address.
    ///
    /// # Errors
    ///
    /// Errors of connecting, as for an address that this machine does not have.
    pub fn connect_from(
        source: IpAddr,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.bind(&SocketAddr::new(source, 0).into())?;
        socket.connect_timeout(&address.into(), timeout)?;
        Self::over(socket.into(), timeout)
    }

    /// Opens a connection with small packets and a small window, like that of a distant caller.
    ///
    /// # Errors
    ///
    /// Errors of connecting.
    pub fn connect_distant(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_tcp_mss(DISTANT_SEGMENT_BYTES)?;
        socket.set_recv_buffer_size(DISTANT_WINDOW_BYTES)?;
        socket.connect_timeout(&address.into(), timeout)?;
        Self::over(socket.into(), timeout)
    }

    fn over(stream: TcpStream, timeout: Duration) -> io::Result<Self> {
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            pending: Vec::new(),
        })
    }

    /// Sets the timeout of each read.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Errors of writing.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Errors of writing, and those of [`Caller::answer`].
    pub fn ask(&mut self, request: &SiteRequest) -> io::Result<Answer> {
        self.send(&request.bytes())?;
        self.answer()
    }

    /// Reads the next answer, up to its end or that of the connection or the timeout.
    ///
    /// # Errors
    ///
    /// `InvalidData` for bytes that are no HTTP answer.
    pub fn answer(&mut self) -> io::Result<Answer> {
        self.answer_until(|_| false)
    }

    /// Reads the next answer as [`Caller::answer`] does, but only until its body suffices. Then the
    /// connection can't be used for another answer.
    ///
    /// # Errors
    ///
    /// Those of [`Caller::answer`].
    pub fn answer_until(&mut self, suffices: impl Fn(&[u8]) -> bool) -> io::Result<Answer> {
        let no_answer = |error| io::Error::new(io::ErrorKind::InvalidData, format!("{error}"));
        let mut answer = Answer::default();
        let mut decoder: Option<BodyDecoder> = None;
        loop {
            if decoder.is_none() {
                let parsed = parse_response_head(&self.pending, MAX_HEAD_BYTES, false);
                if let Some((head, length)) = parsed.map_err(no_answer)? {
                    self.pending.drain(..length);
                    decoder = Some(BodyDecoder::new(head.body));
                    answer.head = Some(head);
                }
            }
            if let Some(decoder) = &mut decoder {
                let progress = decoder
                    .decode(&self.pending, &mut answer.body)
                    .map_err(no_answer)?;
                self.pending.drain(..progress.consumed);
                if decoder.is_complete() {
                    answer.complete = true;
                    return Ok(answer);
                }
            }
            if suffices(&answer.body) {
                return Ok(answer);
            }
            let mut bytes = [0_u8; 4096];
            match self.read(&mut bytes) {
                Ok(0) | Err(_) => return Ok(answer),
                Ok(count) => self.pending.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Reads what has arrived, or waits for it. A signal interrupts a read that has a timeout, which is
    /// no end of the connection.
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.read(bytes) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// Reads bytes of an answer and drops them.
    ///
    /// # Errors
    ///
    /// Errors of the socket, and `UnexpectedEof` if the connection ends before that.
    pub fn skip_bytes(&mut self, count: u64) -> io::Result<()> {
        let skipped = io::copy(&mut (&mut self.stream).take(count), &mut io::sink())?;
        match skipped == count {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads until an event of a stream has arrived, and keeps the bytes for [`Caller::answer`].
    ///
    /// # Errors
    ///
    /// `UnexpectedEof`, with the bytes received, if the connection ends before; errors of reading.
    pub fn wait_event(&mut self, event: u64) -> io::Result<()> {
        let line = format!("id: {event}\n");
        let mut bytes = [0_u8; 4096];
        while !contains(&self.pending, line.as_bytes()) {
            match self.read(&mut bytes)? {
                0 => {
                    let received = String::from_utf8_lossy(&self.pending).into_owned();
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, received));
                }
                count => self.pending.extend_from_slice(&bytes[..count]),
            }
        }
        Ok(())
    }

    /// Returns the complete events that have arrived and that [`Caller::answer`] has not returned.
    pub fn received_events(&self) -> String {
        let parsed = parse_response_head(&self.pending, MAX_HEAD_BYTES, false);
        let mut body = Vec::new();
        if let Ok(Some((head, length))) = parsed {
            // What precedes bytes that can't be decoded has arrived all the same.
            let _ = BodyDecoder::new(head.body).decode(&self.pending[length..], &mut body);
        }
        let mut text = String::from_utf8_lossy(&body).into_owned();
        text.truncate(text.rfind("\n\n").map_or(0, |index| index + 2));
        text
    }

    /// Shuts down the sending direction of the connection.
    ///
    /// # Errors
    ///
    /// Errors of the socket.
    pub fn shut_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Reads once, and returns whether the connection ends or fails before more bytes arrive.
    pub fn ends_without_data(&mut self) -> bool {
        !matches!(self.read(&mut [0_u8; 64]), Ok(1..))
    }

    /// Returns whether the VM has closed the connection, without waiting.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false).is_ok();
        match peeked {
            Ok(count) => count == 0 || !restored,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock || !restored,
        }
    }

    /// Closes the connection in both directions.
    pub fn leave(self) {
        // A connection that the VM closed first can't be shut down any more.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sends a plain GET request on a new connection and reads the answer.
///
/// # Errors
///
/// Errors of connecting and writing, and those of [`Caller::answer`].
pub fn get(address: SocketAddr, target: &str, timeout: Duration) -> io::Result<Answer> {
    let mut caller = Caller::connect(address, timeout)?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    caller.send(request.as_bytes())?;
    caller.answer()
}

/// Returns whether a VM answers the load balancer's readiness check with success.
pub fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    get(address, "/api/ready", timeout).is_ok_and(|answer| answer.status() == 200)
}
