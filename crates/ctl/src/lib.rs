//! The operators' command `apricotctl`.
//!
//! The command queries the state of one daemon and publishes changes of the configuration through
//! it. Operators influence routing only by the latency targets of classes: no command has weights,
//! names upstreams, or chooses the VM that a request runs on. The VM that a command names is the
//! one that answers the query or drains.
//!
//! [`ConfigFile`] and [`edits_between`] determine what is published. They do no I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arguments;
mod commands;
mod config_file;
mod edits;
mod errors;
mod exit;
mod story;
mod table;
mod text;

pub use commands::run;
pub use config_file::ConfigFile;
pub use edits::MissingEntries;
pub use edits::edits_between;
pub use errors::Error;
pub use errors::FileProblem;
pub use errors::Result;
pub use exit::ExitStatus;
