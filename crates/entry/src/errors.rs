//! Error type of the daemon.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Reason why the daemon can't start or continue.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file can't be read or parsed.
    #[error("settings {path} can't be read: {detail}")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of reading or parsing.
        detail: String,
    },
    /// A required setting is missing or empty.
    #[error("setting {key} in section [{section}] is missing")]
    MissingSetting {
        /// Section of the INI file.
        section: &'static str,
        /// Name of the setting in its section.
        key: &'static str,
    },
    /// A setting has an invalid value.
    #[error("setting {key} in section [{section}] is {value:?}, which is not {expected}")]
    BadSetting {
        /// Section of the INI file.
        section: &'static str,
        /// Name of the setting in its section.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The readiness loop failed.
    #[error("readiness loop: {0}")]
    Loop(#[from] io::Error),
    /// The log can't be started.
    #[error("log: {0}")]
    Log(#[from] apricotdale_telemetry::Error),
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
