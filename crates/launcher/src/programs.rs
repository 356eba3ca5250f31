//! Where the programs are.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::errors::Error;
use crate::errors::Result;

/// `Program` is one of the programs that the launcher starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Program {
    /// The daemon.
    Daemon,
    /// The daemon of an entry VM on the users' platform.
    Entry,
    /// The operators' command.
    Control,
    /// The stand-in of the append-only log.
    Log,
    /// The stand-in of a model engine.
    Engine,
    /// The stand-in of one instance of a plain service.
    Service,
    /// The stand-in of the weight store.
    Weights,
    /// The stand-in of the list of VMs.
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

    /// Returns the program's path, beside the running program.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if it has not been built.
    pub fn path(self) -> Result<PathBuf> {
        let running = env::current_exe()?;
        let path = program_dir(&running).join(self.file_name());
        if path.is_file() {
            return Ok(path);
        }
        Err(Error::MissingProgram(path))
    }
}

/// Returns the directory of the built programs. Cargo puts test programs one level below it.
fn program_dir(running: &Path) -> &Path {
    let dir = running.parent().unwrap_or(Path::new("."));
    match dir.file_name() {
        Some(name) if name == "deps" => dir.parent().unwrap_or(dir),
        _ => dir,
    }
}
