//! Program of the plain service's stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use apricotdale_standins::program;
use apricotdale_standins::service::ServiceStandin;

/// Stand-in of one instance of a plain service
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(program::DEFAULT_LISTEN), display_fallback)]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    program::run(arguments.listen, Ok(Arc::new(ServiceStandin::new())))
}
