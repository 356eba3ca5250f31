//! A small test language for scenarios, and their runner.
//!
//! A scenario starts real processes, drives them from the outside and counts effects at the
//! stand-ins. `docs/SCENARIOS.md` describes the language.

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
