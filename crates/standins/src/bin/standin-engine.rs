//! Program of the model engine's stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use apricotdale_standins::engine;
use apricotdale_standins::engine::EngineStandin;
use apricotdale_standins::program;

/// Stand-in of a model engine
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(program::DEFAULT_LISTEN), display_fallback)]
    listen: SocketAddr,
    #[bpaf(external(engine::options))]
    options: engine::Options,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let handler = Arc::new(EngineStandin::new(arguments.options));
    program::run(arguments.listen, Ok(handler))
}
