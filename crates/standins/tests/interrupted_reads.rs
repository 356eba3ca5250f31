//! Reads of callers that a signal interrupts.

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Caller;
use nix::sys::pthread::pthread_kill;
use nix::sys::pthread::pthread_self;
use nix::sys::signal::Signal;
use signal_hook::consts::SIGUSR1;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Signals that the reading thread gets before its answer goes on.
const SIGNALS: usize = 20;

const SIGNAL_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against an interrupted read that counts as the end of the connection, so that a caller takes
/// a whole answer for one that was cut.
#[test]
fn answer_read_whole() {
    let interrupted = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGUSR1, interrupted.clone()).expect("a handler");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("its address");
    let reader = pthread_self();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("it reads");
        for _ in 0..SIGNALS {
            thread::park_timeout(SIGNAL_INTERVAL);
            pthread_kill(reader, Signal::SIGUSR1).expect("the thread runs");
        }
        stream.write_all(b"ok").expect("it reads");
    });
    let mut caller = Caller::connect(address, READ_TIMEOUT).expect("it listens");
    let answer = caller.answer().expect("an answer");
    assert!(answer.complete);
    server.join().expect("the server's thread ends");
    assert!(interrupted.load(Ordering::Relaxed));
}
