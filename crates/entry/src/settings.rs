//! The settings of an entry VM.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use ini::Ini;

use crate::errors::Error;
use crate::errors::Result;

/// `LogLevel` is the least severe level that is written.
pub type LogLevel = apricotdale_telemetry::LevelFilter;

/// `Settings` are the settings of an entry VM, read from an INI file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The file that they were read from, which is read again on request.
    pub path: PathBuf,
    /// The VM's name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM takes callers.
    pub ready: SocketAddr,
    /// Where the other VMs send their messages.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// How long a planned stop may take.
    pub stop_ms: u64,
    /// Whether all engines refuse an order with a lower fencing token than they have seen.
    pub engines_check_fences: bool,
    /// How long a new giver of orders waits before its first order, where engines do not.
    pub order_pause_ms: u64,
    /// Repeats that all VMs together may add to each request of a service.
    pub repeats_per_request: f64,
    /// Repeats that all VMs together may add beyond that.
    pub spare_repeats: f64,
    /// The operators' window for counting repeats.
    pub repeats_window_ms: u64,
    /// What is logged.
    pub log_level: LogLevel,
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// [`Error::SettingsFile`], [`Error::MissingSetting`] and [`Error::BadSetting`].
    pub fn read(path: &Path) -> Result<Self> {
        let file_error = |detail: String| Error::SettingsFile {
            path: PathBuf::from(path),
            detail,
        };
        let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
        let ini = Ini::load_from_str(&text).map_err(|error| file_error(error.to_string()))?;
        Self::from_ini(path, &ini)
    }

    /// Takes the settings from a parsed file. Unknown sections and keys are left alone, so that an
    /// older daemon can read a newer file.
    fn from_ini(path: &Path, ini: &Ini) -> Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            vm: VmName::from(text(ini, "vm", "name")?),
            zone: ZoneName::from(text(ini, "vm", "availability_zone")?),
            callers: address(ini, "callers", "listen")?,
            ready: address(ini, "callers", "ready")?,
            peers: address(ini, "peers", "listen")?,
            metrics: address(ini, "metrics", "listen")?,
            store: address(ini, "store", "address")?,
            stop_ms: number(ini, "bounds", "stop_ms", 1_000..=600_000)?,
            engines_check_fences: parsed(ini, "bounds", "engines_check_fences", "true or false")?,
            order_pause_ms: number(ini, "bounds", "order_pause_ms", 0..=60_000)?,
            repeats_per_request: share(ini, "bounds", "repeats_per_request")?,
            spare_repeats: number(ini, "bounds", "spare_repeats", 0..=100_000)? as f64,
            repeats_window_ms: number(ini, "bounds", "repeats_window_ms", 1_000..=600_000)?,
            log_level: parsed(
                ini,
                "log",
                "level",
                "off, error, warn, info, debug or trace",
            )?,
        })
    }
}

fn text<'a>(ini: &'a Ini, section: &'static str, key: &'static str) -> Result<&'a str> {
    ini.get_from(Some(section), key)
        .map(str::trim)
        .filter(|value| !value.is_empty())
        .ok_or(Error::MissingSetting { section, key })
}

fn parsed<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    expected: &'static str,
) -> Result<T> {
    let value = text(ini, section, key)?;
    value.parse().map_err(|_| Error::BadSetting {
        section,
        key,
        value: value.to_owned(),
        expected,
    })
}

fn address(ini: &Ini, section: &'static str, key: &'static str) -> Result<SocketAddr> {
    parsed(ini, section, key, "an IP address with a port")
}

fn number(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: std::ops::RangeInclusive<u64>,
) -> Result<u64> {
    let expected = "a whole number in its range";
    let number = parsed(ini, section, key, expected)?;
    if !range.contains(&number) {
        let value = number.to_string();
        return Err(Error::BadSetting {
            section,
            key,
            value,
            expected,
        });
    }
    Ok(number)
}

fn share(ini: &Ini, section: &'static str, key: &'static str) -> Result<f64> {
    let expected = "a number from 0 to 1";
    let share: f64 = parsed(ini, section, key, expected)?;
    if !(0.0..=1.0).contains(&share) {
        let value = share.to_string();
        return Err(Error::BadSetting {
            section,
            key,
            value,
            expected,
        });
    }
    Ok(share)
}
