//! Errors of the daemon.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// `Error` is why the daemon can't start or go on.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file can't be read.
    #[error("settings {path} can't be read: {detail}")]
    SettingsFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A setting is missing.
    #[error("setting {key} in section [{section}] is missing")]
    MissingSetting {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A setting can't be used.
    #[error("setting {key} in section [{section}] is {value:?}, which is not {expected}")]
    BadSetting {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The readiness loop failed.
    #[error("readiness loop: {0}")]
    Loop(#[from] io::Error),
    /// The log can't be written.
    #[error("log: {0}")]
    Log(#[from] apricotdale_telemetry::Error),
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
