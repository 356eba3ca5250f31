//! Start of a stand-in program, shared by all five.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use crate::errors::Result;
use crate::http::Handler;
use crate::http::Server;

/// Default address of a stand-in: loopback, on a port that the system chooses.
pub const DEFAULT_LISTEN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Prints the line `listening ADDRESS` and serves until the process is ended. Returns only if the
/// stand-in can't be started.
pub fn run(listen: SocketAddr, handler: Result<Arc<dyn Handler>>) -> ExitCode {
    match handler.and_then(|handler| start(listen, handler)) {
        Ok(server) => {
            server.wait();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(listen: SocketAddr, handler: Arc<dyn Handler>) -> Result<Server> {
    let server = Server::start(listen, handler)?;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "listening {}", server.address())?;
    stdout.flush()?;
    Ok(server)
}
