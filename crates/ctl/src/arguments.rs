//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// The environment variable that stands for `--vm`.
const VM_VARIABLE: &str = "APRICOTDALE_VM";

/// The environment variable that stands for `--operator`.
const OPERATOR_VARIABLE: &str = "APRICOTDALE_OPERATOR";

/// What the help says of the exit codes.
const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 the output can't be written; 2 the command line can't be understood; \
3 the daemon refused: a change was rejected, or the thing asked for is not there; \
4 the daemon was not reached or can't answer now, and nothing was changed; \
5 the change may have been made, and running the command again is safe; \
6 a file has problems, and nothing was sent.";

/// `Format` is how answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("allowed are text and json".to_owned()),
        }
    }
}

/// Asks one daemon of apricotdale, and publishes changes of the configuration.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) struct Arguments {
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) struct Target {
    /// The operators' address of the VM that is asked
    #[bpaf(argument("IP:PORT"), env(VM_VARIABLE))]
    pub(crate) vm: SocketAddr,
    /// How the answer is printed: text (the default) or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub(crate) format: Format,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Publication {
    /// Who publishes
    #[bpaf(argument("NAME"), env(OPERATOR_VARIABLE))]
    pub(crate) operator: String,
    /// Publish only if this is the version in force, such as the one that a dry run printed
    #[bpaf(argument("VERSION"))]
    pub(crate) base_version: Option<u64>,
    /// Print the edits and publish nothing
    pub(crate) dry_run: bool,
}

fn is_positive(number: &u64) -> bool {
    *number > 0
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Publish files of classes, models and services as one change
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        publication: Publication,
        /// Remove what is in force and in none of the files
        remove_missing: bool,
        /// The INI files
        #[bpaf(positional("FILE"), some("give at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Set how soon requests of a class must be answered
    #[bpaf(command("set-class"))]
    SetClass {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        publication: Publication,
        /// The target, in milliseconds from arrival to the first token or the whole answer
        #[bpaf(argument("MS"), guard(is_positive, "must be above 0"))]
        answer_within_ms: u64,
        /// The class
        #[bpaf(positional("CLASS"))]
        class: String,
    },
    /// Print the configuration in force
    #[bpaf(command)]
    Config {
        #[bpaf(external)]
        target: Target,
    },
    /// Print how the VM's daemon is
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the models and their replicas
    #[bpaf(command)]
    Models {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the upstreams that the VM knows
    #[bpaf(command)]
    Upstreams {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the daemons that the VM knows
    #[bpaf(command)]
    Members {
        #[bpaf(external)]
        target: Target,
    },
    /// Print what the VM did for a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        target: Target,
        /// The request, as the answer's X-Request-Id names it
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
    },
    /// Print a request's story from the log lines of entry VMs
    #[bpaf(command)]
    Story {
        /// The request's identity
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
        /// Files with log lines; - is the standard input
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Stop the VM's daemon once its requests in progress are answered
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        target: Target,
    },
    /// Check a daemon's settings without starting it
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// The INI file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
