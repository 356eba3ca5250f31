//! Programs that the launcher starts, and their paths.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::errors::Error;
use crate::errors::Result;

/// Program that the launcher can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Program {
    /// Daemon of a VM.
    Daemon,
    /// Daemon of an entry VM on the users' platform.
    Entry,
    /// Command line tool for operators.
    Control,
    /// Stand-in of the append-only log.
    Log,
    /// Stand-in of a model engine.
    Engine,
    /// Stand-in of one instance of a plain service.
    Service,
    /// Stand-in of the weight store.
    Weights,
    /// Stand-in of the platform's VM list.
    VmList,
}

impl Program {
    /// Returns the program's file name.
    pub fn file_name(self) -> &'static str {
        match self {
            Self::Daemon => "apricotdaled",
            Self::Entry => "apricotdale-entry",
            Self::Control => "apricotctl",
            Self::Log => "standin-log",
            Self::Engine => "standin-engine",
            Self::Service => "standin-service",
            Self::Weights => "standin-weights",
            Self::VmList => "standin-vmlist",
        }
    }

    /// Returns the program's path in the directory of the running program.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the program has not been built, `Error::Io` if the running
    /// program's path can't be determined.
    pub fn path(self) -> Result<PathBuf> {
        let running = env::current_exe()?;
        let path = program_dir(&running).join(self.file_name());
        if path.is_file() {
            return Ok(path);
        }
        Err(Error::MissingProgram(path))
    }
}

/// Returns the directory of the built programs. Cargo puts test programs into a directory below it.
fn program_dir(running: &Path) -> &Path {
    let dir = running.parent().unwrap_or(Path::new("."));
    match dir.file_name() {
        Some(name) if name == "deps" => dir.parent().unwrap_or(dir),
        _ => dir,
    }
}
