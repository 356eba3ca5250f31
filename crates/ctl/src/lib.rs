//! The operators' command `apricotctl`.
//!
//! It asks one daemon for what that VM knows, and publishes changes of the configuration by it. An
//! operator steers by the targets of classes alone: no command names a weight, an upstream, or a
//! VM to run something on. The VM that a command names is the one that is asked or drained.
//!
//! [`ConfigFile`] and [`edits_between`] hold what a publication is made of; neither does any input
//! or output.

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
