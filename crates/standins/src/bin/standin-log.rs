//! Program of the log service's stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use apricotdale_standins::log;
use apricotdale_standins::log::LogStandin;
use apricotdale_standins::program;

/// Stand-in of the platform's append-only log service
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(program::DEFAULT_LISTEN), display_fallback)]
    listen: SocketAddr,
    #[bpaf(external(log::options))]
    options: log::Options,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let handler = Arc::new(LogStandin::new(arguments.options));
    program::run(arguments.listen, Ok(handler))
}
