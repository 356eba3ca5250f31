//! Program of the weight store's stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use apricotdale_standins::http::Handler;
use apricotdale_standins::program;
use apricotdale_standins::weights;
use apricotdale_standins::weights::WeightsStandin;

/// Stand-in of the rate-limited weight store
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(program::DEFAULT_LISTEN), display_fallback)]
    listen: SocketAddr,
    #[bpaf(external(weights::options))]
    options: weights::Options,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let store = WeightsStandin::new(arguments.options);
    let handler = store.map(|store| Arc::new(store) as Arc<dyn Handler>);
    program::run(arguments.listen, handler)
}
