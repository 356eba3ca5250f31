//! Test language for scenarios, with its parser and its runner.
//!
//! A scenario starts a cluster of real processes, sends requests, injects faults and checks
//! conditions: effects counted by the stand-ins and state read from the VMs. The grammar is in
//! `grammar.pest`; `docs/SCENARIOS.md` describes the language.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ast;
pub mod check;
pub mod errors;
pub mod fault;
pub mod layout;
pub mod parser;
pub mod run;

pub use errors::Error;
pub use errors::Result;
