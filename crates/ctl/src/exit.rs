//! Exit codes.

/// `ExitStatus` is how the command ends. Scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExitStatus {
    /// Done: the answer was printed, or the change is in force.
    Done,
    /// The output could not be written.
    OutputFailed,
    /// The command line can't be understood.
    Usage,
    /// The daemon refused: the change was rejected, or the thing asked for is not there.
    Refused,
    /// The daemon was not reached, or it can't answer now. Nothing was changed.
    Unavailable,
    /// The change may be in force. Running the same command again is safe.
    OutcomeUnknown,
    /// A file has problems. Nothing was sent.
    BadFile,
}

impl ExitStatus {
    /// Returns the number with which the process exits.
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
