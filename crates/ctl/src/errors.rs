//! Errors of the operators' command.

use std::fmt;
use std::io;
use std::path::PathBuf;

use apricotdale_settings::Problem;
use thiserror::Error;

use crate::exit::ExitStatus;

/// `Result` is the result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// `FileProblem` is a problem of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// The file.
    pub file: PathBuf,
    /// The problem.
    pub problem: Problem,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.file.display(), self.problem)
    }
}

/// `Error` is what a command can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The daemon, or the way to it.
    #[error(transparent)]
    Admin(#[from] apricotdale_admin::Error),
    /// Files have problems.
    #[error("{}", problem_lines(.0))]
    BadFile(Vec<FileProblem>),
    /// A file with log lines can't be read.
    #[error("{file} can't be read: {source}", file = .file.display())]
    LogFile {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The output could not be written.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns how the command ends after this error.
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
