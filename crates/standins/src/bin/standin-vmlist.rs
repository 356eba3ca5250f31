//! Program of the stand-in of the VM list.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use apricotdale_standins::program;
use apricotdale_standins::vm_list;
use apricotdale_standins::vm_list::VmListStandin;

/// Stand-in of the platform's list of VMs, which is published with a lag
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(program::DEFAULT_LISTEN), display_fallback)]
    listen: SocketAddr,
    #[bpaf(external(vm_list::options))]
    options: vm_list::Options,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let handler = Arc::new(VmListStandin::new(arguments.options));
    program::run(arguments.listen, Ok(handler))
}
