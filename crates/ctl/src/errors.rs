//! Errors of the operators' command.

use std::fmt;
use std::io;
use std::path::PathBuf;

use apricotdale_settings::Problem;
use thiserror::Error;

use crate::exit::ExitStatus;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Problem of a file, with the path of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// Path as it was given on the command line.
    pub file: PathBuf,
    /// Problem that was found in the file.
    pub problem: Problem,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.file.display(), self.problem)
    }
}

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The call of the daemon failed.
    #[error(transparent)]
    Admin(#[from] apricotdale_admin::Error),
    /// Files are invalid or can't be read; the list is not empty.
    #[error("{}", problem_lines(.0))]
    BadFile(Vec<FileProblem>),
    /// A file with log lines can't be read.
    #[error("{file} can't be read: {source}", file = .file.display())]
    LogFile {
        /// Path as it was given on the command line.
        file: PathBuf,
        /// Error of opening or reading the file.
        source: io::Error,
    },
    /// The output can't be written.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit status that the command has after this error.
    pub fn exit_status(&self) -> ExitStatus {
        use apricotdale_admin::Error as Admin;
        match self {
            Self::BadFile(_) | Self::LogFile { .. } => ExitStatus::BadFile,
            Self::Output(_) => ExitStatus::OutputFailed,
            Self::Admin(Admin::OutcomeUnknown(_)) => ExitStatus::OutcomeUnknown,
            Self::Admin(
                Admin::NotFound(_)
                | Admin::BadRequest(_)
                | Admin::MethodNotAllowed(_)
                | Admin::BodyTooLarge(_),
            ) => ExitStatus::Refused,
            Self::Admin(_) => ExitStatus::Unavailable,
        }
    }
}

fn problem_lines(problems: &[FileProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
