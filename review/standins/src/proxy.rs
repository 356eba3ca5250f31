//! Proxy between entry VMs and one upstream, which can be cut for the connections of one VM.
//!
//! During a cut nothing passes in either direction and no new connection comes about. What the VM
//! had written meanwhile is sent again as a TCP sender does it: 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s
//! after the first time, as the retransmission timeout doubles. An orderly close of the VM's side
//! does not take back what was written; a reset does.

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
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Times after the first transmission at which a TCP sender sends again, in milliseconds.
const RETRANSMISSIONS_MS: [u64; 7] = [200, 600, 1_400, 3_000, 6_200, 12_600, 25_400];

/// Interval at which a held direction looks for the end of the cut.
const POLL: Duration = Duration::from_millis(2);

/// Cut of one VM's connections.
#[derive(Clone, Copy)]
struct Cut {
    vm: IpAddr,
    until: Instant,
}

/// Handle of a proxy.
#[derive(Clone, Default)]
pub struct Proxy {
    cut: Arc<Mutex<Option<Cut>>>,
}

impl Proxy {
    /// Starts a proxy to an upstream. Returns the handle and the address for the VMs.
    pub fn start(upstream: SocketAddr) -> io::Result<(Self, SocketAddr)> {
        let proxy = Self::default();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.pass_on(stream, upstream));
            }
        });
        Ok((proxy, address))
    }

    /// Cuts the connections of a VM from now on.
    pub fn cut(&self, vm: IpAddr, duration: Duration) {
        let until = Instant::now() + duration;
        *self.cut.lock().expect("no holder panics") = Some(Cut { vm, until });
    }

    /// Returns the end of the cut that a VM's connections are in now.
    fn end_of_cut(&self, vm: IpAddr) -> Option<Instant> {
        let cut = *self.cut.lock().expect("no holder panics");
        let cut = cut.filter(|cut| cut.vm == vm && Instant::now() < cut.until);
        cut.map(|cut| cut.until)
    }

    fn pass_on(&self, near: TcpStream, upstream: SocketAddr) {
        let Ok(vm) = near.peer_addr().map(|address| address.ip()) else {
            return;
        };
        if let Some(until) = self.end_of_cut(vm) {
            // The handshake gets no answer. By the end of the cut the VM has given up.
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return;
        }
        let Ok(far) = TcpStream::connect(upstream) else {
            return;
        };
        let (Ok(near_read), Ok(far_write)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        // Failing to set it makes the connection slower only.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let proxy = self.clone();
        thread::spawn(move || proxy.pass_down(far, near, vm));
        self.pass_up(near_read, far_write, vm);
    }

    /// Passes on what the VM writes, until it closes its side.
    fn pass_up(&self, mut near: TcpStream, mut far: TcpStream, vm: IpAddr) {
        let mut bytes = [0_u8; 16 * 1024];
        loop {
            let read = near.read(&mut bytes);
            if let Some(until) = self.end_of_cut(vm) {
                wait_for_retransmission(until);
                if was_reset(&near) {
                    // A reset takes back what has not been received.
                    let _ = far.shutdown(Shutdown::Both);
                    return;
                }
            }
            match read {
                Ok(0) => {
                    let _ = far.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if far.write_all(&bytes[..count]).is_ok() => {}
                // After a reset by the VM nothing more comes.
                _ => {
                    let _ = far.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    /// Passes on what the upstream writes.
    fn pass_down(&self, mut far: TcpStream, mut near: TcpStream, vm: IpAddr) {
        let mut bytes = [0_u8; 16 * 1024];
        loop {
            let read = far.read(&mut bytes);
            while self.end_of_cut(vm).is_some() {
                thread::sleep(POLL);
            }
            match read {
                Ok(count) if count > 0 && near.write_all(&bytes[..count]).is_ok() => {}
                _ => {
                    // The VM may have closed the connection.
                    let _ = near.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Returns whether the other end has reset a connection.
fn was_reset(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_blocking = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(_) => !is_blocking,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits until a sender whose first transmission is lost now sends again after the end of the cut.
fn wait_for_retransmission(until: Instant) {
    let first = Instant::now();
    let times = RETRANSMISSIONS_MS.map(|after_ms| first + Duration::from_millis(after_ms));
    let at = times.into_iter().find(|at| *at > until).unwrap_or(until);
    thread::sleep(at.saturating_duration_since(first));
}
