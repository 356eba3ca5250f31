//! Sockets and pipes with which a daemon starts.

use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;

use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::net::TcpListener;
use mio::net::UdpSocket;
use mio::net::UnixStream;

use crate::errors::Error;
use crate::errors::Result;

/// Number of ports that are tried for messages of other VMs if the system chooses one.
const PEER_PORT_ATTEMPTS: u32 = 16;

/// Returns the socket for messages of other VMs and the listener for connections to relay, which have
/// the same address. Port 0 stands for any port that is free for both.
pub(super) fn bind_for_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener)> {
    let listen_error = |source| Error::Listen { address, source };
    let mut attempts = match address.port() {
        0 => PEER_PORT_ATTEMPTS,
        _ => 1,
    };
    loop {
        attempts -= 1;
        let listener = TcpListener::bind(address).map_err(listen_error)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((socket, listener)),
            Err(error) if attempts == 0 => return Err(listen_error(error)),
            Err(_) => {}
        }
    }
}

pub(super) fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

/// Returns a pipe into which each of these signals writes a byte, so that it wakes up the loop.
pub(super) fn signal_pipe(poll: &Poll, token: Token, signals: &[i32]) -> Result<UnixStream> {
    let (read, write) = StdUnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    let mut read = UnixStream::from_std(read);
    poll.registry()
        .register(&mut read, token, Interest::READABLE)?;
    Ok(read)
}

/// Empties a pipe. Returns whether it contained anything.
pub(super) fn drain_pipe(pipe: &mut UnixStream) -> bool {
    let mut bytes = [0_u8; 64];
    let mut any = false;
    while matches!(pipe.read(&mut bytes), Ok(1..)) {
        any = true;
    }
    any
}

/// Returns a random number, by which incarnations of the process differ.
pub(super) fn random_incarnation() -> u64 {
    use std::hash::BuildHasher;
    use std::hash::Hasher;
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}
