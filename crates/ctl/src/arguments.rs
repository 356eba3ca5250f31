//! Command line of `apricotctl`. The doc comments of the parsed types are its help texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// Environment variable that is used if `--vm` is absent.
const VM_VARIABLE: &str = "APRICOTDALE_VM";

/// Environment variable that is used if `--operator` is absent.
const OPERATOR_VARIABLE: &str = "APRICOTDALE_OPERATOR";

/// Part of the help text that lists the exit codes.
const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 the output can't be written; 2 the command line is invalid; \
3 the daemon refused: a change was rejected, or the daemon has no such request; \
4 the daemon can't be reached or can't answer now, and nothing was changed; \
5 the change may have been made, and the command can be retried safely; \
6 a file is invalid or can't be read, and nothing was sent.";

/// Output format of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned text for people.
    Text,
    /// One JSON document for programs.
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

/// Queries one daemon of apricotdale, and publishes changes of the configuration.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
pub(crate) struct Arguments {
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) struct Target {
    /// Address of the operators' interface of the VM to call
    #[bpaf(argument("IP:PORT"), env(VM_VARIABLE))]
    pub(crate) vm: SocketAddr,
    /// Output format: text (the default) or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub(crate) format: Format,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Publication {
    /// Name of the operator who publishes the change
    #[bpaf(argument("NAME"), env(OPERATOR_VARIABLE))]
    pub(crate) operator: String,
    /// Publish only if this version is in force, such as the one that a dry run printed
    #[bpaf(argument("VERSION"))]
    pub(crate) base_version: Option<u64>,
    /// Print the edits without publishing them
    pub(crate) dry_run: bool,
}

fn is_positive(number: &u64) -> bool {
    *number > 0
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Publish classes, models and services from files as one change
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        publication: Publication,
        /// Remove entries that are in force but in none of the files
        remove_missing: bool,
        /// INI files with classes, models and services
        #[bpaf(positional("FILE"), some("give at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Set the latency target of a class
    #[bpaf(command("set-class"))]
    SetClass {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        publication: Publication,
        /// Latency target in milliseconds, from arrival to the first token or the complete answer
        #[bpaf(argument("MS"), guard(is_positive, "must be above 0"))]
        answer_within_ms: u64,
        /// Name of the class
        #[bpaf(positional("CLASS"))]
        class: String,
    },
    /// Print the configuration in force
    #[bpaf(command)]
    Config {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the status of the VM's daemon
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
    /// Print the upstreams that the VM has on its list
    #[bpaf(command)]
    Upstreams {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the daemons of the deployment as the VM observes them
    #[bpaf(command)]
    Members {
        #[bpaf(external)]
        target: Target,
    },
    /// Print the steps that the VM took for a request
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        target: Target,
        /// Request ID, as in the X-Request-Id header of the answer
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
    },
    /// Print the log lines about a request from several entry VMs, in order of time
    #[bpaf(command)]
    Story {
        /// Request ID
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
        /// Files with log lines; - means standard input
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Stop the VM's daemon after its requests in progress have been answered
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        target: Target,
    },
    /// Check a settings file of a daemon without starting the daemon
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// INI file with the settings
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
