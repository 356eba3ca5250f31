//! Replies to requests, and how they are sent.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use chunked_transfer::Encoder;
use serde::Serialize;

use crate::http::caller::Caller;
use crate::http::link::SlowLink;

/// Reply to a request; it need not be a valid HTTP message.
pub enum Reply {
    /// An answer whose body is known in advance.
    Buffered(Buffered),
    /// No answer: the connection is closed.
    Lost,
    /// A stream of server-sent events.
    Stream(Stream),
    /// Bytes that are sent unchanged and need not be a valid answer.
    Raw(Raw),
    /// Bytes that are sent unchanged, with a pause between two parts.
    Paused(Paused),
    /// Bytes that go on without end, until the client closes the connection.
    Endless(Endless),
    /// Bytes that are sent unchanged over a slow link.
    OverLink(Raw, Arc<SlowLink>),
    /// A reply before which the connection's previous one is sent once more.
    AfterPrevious(AfterPrevious),
}

/// Reply before which the connection's previous one is sent once more.
pub struct AfterPrevious {
    /// Statuses of the previous replies that are sent once more.
    pub statuses: Vec<u16>,
    /// Reply to the request.
    pub reply: Box<Reply>,
}

/// Bytes that are sent unchanged.
#[derive(Clone, Debug)]
pub struct Raw {
    /// Head and body, or anything else.
    pub bytes: Vec<u8>,
    /// Whether the connection stays open for more requests.
    pub keep_alive: bool,
}

/// Bytes that are sent unchanged, with a pause. The connection stays open for more requests.
#[derive(Clone, Debug)]
pub struct Paused {
    /// Bytes that are sent before the pause.
    pub before: Vec<u8>,
    /// Time between the two parts.
    pub pause: Duration,
    /// Bytes that are sent after the pause.
    pub after: Vec<u8>,
}

/// Bytes that are sent unchanged and go on until the client closes the connection.
#[derive(Clone, Debug)]
pub struct Endless {
    /// Bytes that are sent once.
    pub before: Vec<u8>,
    /// Bytes that are sent again and again.
    pub repeated: Vec<u8>,
    /// Time between two repetitions.
    pub gap: Duration,
}

/// Answer whose body is known in advance.
#[derive(Clone, Debug)]
pub struct Buffered {
    /// HTTP status.
    pub status: u16,
    /// Headers other than the content type and length.
    pub headers: Vec<(String, String)>,
    /// JSON body; empty for status 304.
    pub body: Vec<u8>,
}

/// Answer that is sent event by event.
pub struct Stream {
    /// Headers other than the content type.
    pub headers: Vec<(String, String)>,
    /// Function that sends the events. It runs on the connection's thread once the head is sent.
    pub produce: Box<dyn FnOnce(&mut EventWriter) -> StreamEnd + Send>,
}

/// How the body of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The body ends properly.
    Closed,
    /// The connection breaks before the end of the body.
    Broken,
}

/// Writer of server-sent events, each of which is sent at once as one chunk.
pub struct EventWriter {
    encoder: Encoder<TcpStream>,
    caller: Caller,
}

impl EventWriter {
    /// Sends one event with the given data.
    ///
    /// # Errors
    ///
    /// Errors of the connection, as when the client has disconnected.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        self.encoder.write_all(event.as_bytes())
    }

    /// Sends bytes of the body unchanged, such as a part of an event.
    ///
    /// # Errors
    ///
    /// As for [`EventWriter::send`].
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.encoder.write_all(bytes)
    }

    /// Returns the client that the events are sent to.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }
}

impl Reply {
    /// Returns an answer with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        Self::Buffered(Buffered {
            status,
            headers: Vec::new(),
            body: serde_json::to_vec(body).expect("answers hold only strings, numbers and lists"),
        })
    }

    /// Returns a successful answer with an empty JSON object.
    pub fn ok() -> Self {
        Self::json(200, &serde_json::json!({}))
    }

    /// Returns the answer with status 304: the version that the client has is current.
    pub fn not_modified() -> Self {
        Self::Buffered(Buffered {
            status: 304,
            headers: Vec::new(),
            body: Vec::new(),
        })
    }

    /// Returns the answer with status 404 to an unknown path.
    pub fn not_found() -> Self {
        Self::json(404, &serde_json::json!({"error": {"code": "unknown_path"}}))
    }

    /// Returns this answer with one more header. A reply without a head is returned unchanged.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let header = (name.to_owned(), value.to_owned());
        match &mut self {
            Self::Buffered(buffered) => buffered.headers.push(header),
            Self::Stream(stream) => stream.headers.push(header),
            Self::AfterPrevious(after) => {
                let reply = std::mem::replace(&mut *after.reply, Self::Lost);
                *after.reply = reply.with_header(name, value);
            }
            Self::Lost | Self::Raw(_) | Self::Paused(_) | Self::Endless(_) | Self::OverLink(..) => {
            }
        }
        self
    }

    /// Returns this reply as one that is sent over a slow link. A stream or a lost reply is returned
    /// unchanged.
    pub fn over_link(self, link: Arc<SlowLink>) -> Self {
        match self {
            Self::Buffered(buffered) => {
                let bytes = buffered.bytes(false);
                let keep_alive = true;
                Self::OverLink(Raw { bytes, keep_alive }, link)
            }
            Self::Raw(raw) => Self::OverLink(raw, link),
            other => other,
        }
    }

    /// Returns the bytes of the reply if its body is known in advance.
    pub(crate) fn bytes(&self, is_head: bool) -> Option<Vec<u8>> {
        match self {
            Self::Buffered(buffered) => Some(buffered.bytes(is_head)),
            Self::Raw(raw) | Self::OverLink(raw, _) => Some(raw.bytes.clone()),
            Self::AfterPrevious(after) => after.reply.bytes(is_head),
            Self::Lost | Self::Stream(_) | Self::Paused(_) | Self::Endless(_) => None,
        }
    }

    /// Sends the reply and returns whether the connection can carry another request. `previous` are
    /// the bytes of the connection's previous reply, if its body was known in advance.
    pub(crate) fn send(
        self,
        connection: &TcpStream,
        is_head: bool,
        previous: Option<&[u8]>,
    ) -> io::Result<bool> {
        match self {
            Self::AfterPrevious(after) => {
                let is_repeated = |bytes: &&[u8]| {
                    let status = status_of(bytes);
                    status.is_some_and(|it| after.statuses.contains(&it))
                };
                if let Some(bytes) = previous.filter(is_repeated) {
                    let mut connection = connection;
                    connection.write_all(bytes)?;
                }
                after.reply.send(connection, is_head, None)
            }
            Self::Buffered(buffered) => buffered.send(connection, is_head),
            Self::Stream(stream) => stream.send(connection),
            Self::Lost => Ok(false),
            Self::Raw(raw) => {
                let mut connection = connection;
                connection.write_all(&raw.bytes)?;
                Ok(raw.keep_alive)
            }
            Self::Paused(paused) => {
                let mut connection = connection;
                connection.write_all(&paused.before)?;
                thread::sleep(paused.pause);
                connection.write_all(&paused.after)?;
                Ok(true)
            }
            Self::Endless(endless) => {
                let mut connection = connection;
                connection.write_all(&endless.before)?;
                loop {
                    connection.write_all(&endless.repeated)?;
                    thread::sleep(endless.gap);
                }
            }
            Self::OverLink(raw, link) => {
                link.send(connection, &raw.bytes)?;
                Ok(raw.keep_alive)
            }
        }
    }
}

impl Buffered {
    fn send(self, mut connection: &TcpStream, is_head: bool) -> io::Result<bool> {
        connection.write_all(&self.bytes(is_head))?;
        Ok(true)
    }

    fn bytes(&self, is_head: bool) -> Vec<u8> {
        let mut answer = head(self.status, "application/json", &self.headers);
        answer.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        if !is_head {
            answer.extend_from_slice(&self.body);
        }
        answer
    }
}

impl Stream {
    fn send(self, mut connection: &TcpStream) -> io::Result<bool> {
        let mut answer = head(200, "text/event-stream", &self.headers);
        answer.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        connection.write_all(&answer)?;
        let mut writer = EventWriter {
            encoder: Encoder::with_flush_after_write(connection.try_clone()?),
            caller: Caller::new(connection.try_clone()?, None),
        };
        let end = (self.produce)(&mut writer);
        if end == StreamEnd::Broken {
            // Dropping the encoder writes the chunk that ends the body, which would make a broken
            // stream look closed to its reader. The socket must be shut down before that.
            connection.shutdown(Shutdown::Both)?;
        }
        Ok(end == StreamEnd::Closed)
    }
}

/// Returns the status of a reply.
fn status_of(bytes: &[u8]) -> Option<u16> {
    let line = bytes.strip_prefix(b"HTTP/1.1 ")?;
    std::str::from_utf8(line.get(..3)?).ok()?.parse().ok()
}

fn head(status: u16, content_type: &str, headers: &[(String, String)]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n",
        reason(status)
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.into_bytes()
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
