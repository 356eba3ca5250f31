//! Program `apricotctl`, the command for operators.

#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let code = apricotdale_ctl::run(&mut io::stdout().lock(), &mut io::stderr().lock());
    ExitCode::from(code.as_u8())
}
