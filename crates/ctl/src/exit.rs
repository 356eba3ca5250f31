//! Exit statuses of the operators' command.

/// Exit status of a command. Scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExitStatus {
    /// The answer was printed, or the change is in force.
    Done,
    /// The output can't be written.
    OutputFailed,
    /// The command line is invalid.
    Usage,
    /// The daemon refused: the change was rejected, or the daemon has no such request.
    Refused,
    /// The daemon can't be reached, or can't answer now. Nothing was changed.
    Unavailable,
    /// The change may be in force. The same command can be retried safely.
    OutcomeUnknown,
    /// A file is invalid or can't be read. Nothing was sent.
    BadFile,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn as_u8(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::OutputFailed => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Unavailable => 4,
            Self::OutcomeUnknown => 5,
            Self::BadFile => 6,
        }
    }
}
