//! Answers that are sent before the body of their request has been read.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::http::request::Request;

/// Number of bytes of the request's body that [`EarlyEnd::ClosedThenReset`] reads in between.
const READ_BEFORE_RESET_BYTES: u64 = 512 * 1024;

/// Time between the first part and a reset, in which the client reads that part and fills the
/// buffers of the connection.
const BEFORE_RESET: Duration = Duration::from_millis(100);

/// Answer that is sent before the body of its request has been read.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Bytes that are sent before the body is read.
    pub first: Vec<u8>,
    /// Bytes that are sent once the body has been read, if that happens.
    pub rest: Vec<u8>,
    /// What happens between the two and afterwards.
    pub end: EarlyEnd,
}

/// How the connection of an early answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EarlyEnd {
    /// The connection is reset before the body is read, as in a crash.
    Reset,
    /// The sending direction is closed, more of the body is read, and the connection is reset.
    ClosedThenReset,
    /// The body is read, and the connection is closed behind the rest of the answer.
    Whole,
    /// The answer is complete before the body is read. The sending direction is closed first, and
    /// the connection once the body has been read.
    ClosedThenRead,
}

impl EarlyAnswer {
    /// Sends the answer to a request of which only the head has been read.
    pub(crate) fn send(
        self,
        request: &Request,
        reader: &mut BufReader<TcpStream>,
    ) -> io::Result<()> {
        let length = request.header("Content-Length");
        let body_bytes: u64 = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut connection = reader.get_ref().try_clone()?;
        match self.end {
            EarlyEnd::Reset => {
                connection.set_write_timeout(Some(BEFORE_RESET))?;
                // A client that does not read is reset all the same.
                let _ = connection.write_all(&self.first);
                thread::sleep(BEFORE_RESET);
                reset(&connection)
            }
            EarlyEnd::ClosedThenReset => {
                connection.write_all(&self.first)?;
                connection.shutdown(Shutdown::Write)?;
                drop_bytes(reader, READ_BEFORE_RESET_BYTES.min(body_bytes / 2))?;
                reset(&connection)
            }
            EarlyEnd::Whole => {
                connection.write_all(&self.first)?;
                drop_bytes(reader, body_bytes)?;
                connection.write_all(&self.rest)
            }
            EarlyEnd::ClosedThenRead => {
                connection.write_all(&self.first)?;
                connection.write_all(&self.rest)?;
                connection.shutdown(Shutdown::Write)?;
                drop_bytes(reader, body_bytes)
            }
        }
    }
}

fn drop_bytes(reader: &mut BufReader<TcpStream>, bytes: u64) -> io::Result<()> {
    io::copy(&mut reader.take(bytes), &mut io::sink()).map(drop)
}

/// Returns whether the kernel resets the connection when it is closed.
pub(crate) fn resets_at_close(connection: &TcpStream) -> bool {
    let linger = SockRef::from(connection).linger();
    linger.is_ok_and(|it| it == Some(Duration::ZERO))
}

/// Makes the kernel reset the connection when it is closed.
fn reset(connection: &TcpStream) -> io::Result<()> {
    SockRef::from(connection).set_linger(Some(Duration::ZERO))
}
