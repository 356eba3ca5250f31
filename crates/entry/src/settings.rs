//! Settings of an entry VM.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quota::Bounds;
use ini::Ini;

use crate::errors::Error;
use crate::errors::Result;

const ORGANISATIONS: &str = "organisations";

/// Least severe level that is logged.
pub type LogLevel = apricotdale_telemetry::LevelFilter;

/// Settings of an entry VM, read from an INI file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Path of the file, which is reread on SIGHUP.
    pub path: PathBuf,
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Source address of the connections that this VM opens; none if the system chooses it.
    pub address: Option<IpAddr>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for datagrams of other VMs.
    pub peers: SocketAddr,
    /// Listening address for readers of metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bandwidth that all reads of the store share, in bytes per second.
    pub read_bytes_per_s: f64,
    /// Time limit for a planned stop.
    pub stop_ms: u64,
    /// Whether all engines reject an order with a lower fencing token than they have seen.
    pub engines_check_fences: bool,
    /// How long a new lease holder waits before its first order if engines don't check fencing
    /// tokens.
    pub order_pause_ms: u64,
    /// Retries that all VMs together may add, as a share of a service's requests.
    pub repeats_per_request: f64,
    /// Retries that all VMs together may add beyond that share.
    pub spare_repeats: f64,
    /// Length of the window in which the operators count retries.
    pub repeats_window_ms: u64,
    /// Requests that are never blocked, even if upstreams crash under them.
    pub exempt: Vec<Fingerprint>,
    /// Accuracy with which the limits of organisations are enforced.
    pub limit_bounds: Bounds,
    /// Whether keys are refused when it is unknown whether they are still valid.
    pub fail_closed: bool,
    /// With `fail_closed`, how long keys are accepted without confirmation that the configuration
    /// is the newest.
    pub revoke_ms: u64,
    /// Least severe level that is logged.
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

    /// Takes the settings from a parsed file. Unknown sections and keys are ignored, so that an
    /// older daemon can read a newer file.
    fn from_ini(path: &Path, ini: &Ini) -> Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            vm: VmName::from(text(ini, "vm", "name")?),
            zone: ZoneName::from(text(ini, "vm", "availability_zone")?),
            address: match ini_text(ini, "vm", "address") {
                None => None,
                Some(_) => Some(parsed(ini, "vm", "address", "an IP address")?),
            },
            callers: address(ini, "callers", "listen")?,
            ready: address(ini, "callers", "ready")?,
            peers: address(ini, "peers", "listen")?,
            metrics: address(ini, "metrics", "listen")?,
            store: address(ini, "store", "address")?,
            stop_ms: seconds_as_ms(ini, "bounds", "stop_s", 1.0..=600.0)?,
            engines_check_fences: parsed(ini, "bounds", "engines_check_fences", "true or false")?,
            order_pause_ms: number(ini, "bounds", "order_pause_ms", 0.0..=60_000.0)?.ceil() as u64,
            read_bytes_per_s: number(ini, "store", "read_mb_per_s", 0.001..=1_000_000.0)?
                * 1_000_000.0,
            repeats_per_request: number(ini, "bounds", "repeats_per_request", 0.0..=1.0)?,
            spare_repeats: number(ini, "bounds", "spare_repeats", 0.0..=100_000.0)?,
            repeats_window_ms: seconds_as_ms(ini, "bounds", "repeats_window_s", 1.0..=600.0)?,
            exempt: fingerprints(ini)?,
            limit_bounds: limit_bounds(ini)?,
            fail_closed: match ini_text(ini, ORGANISATIONS, "fail_closed") {
                None => false,
                Some(_) => parsed(ini, ORGANISATIONS, "fail_closed", "true or false")?,
            },
            revoke_ms: (number_or(ini, ORGANISATIONS, "revoke_ms", 5_000.0, 0.0..=600_000.0)?)
                as u64,
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

/// Returns a number in a range. Fractions are accepted everywhere: the platform may write any bound
/// as a fraction, and a rejected one would keep every VM of the deployment from starting.
fn number(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: RangeInclusive<f64>,
) -> Result<f64> {
    let expected = "a number in its range";
    let number: f64 = parsed(ini, section, key, expected)?;
    if !range.contains(&number) {
        return Err(Error::BadSetting {
            section,
            key,
            value: number.to_string(),
            expected,
        });
    }
    Ok(number)
}

/// Returns a value; none if it is missing or empty.
fn ini_text<'a>(ini: &'a Ini, section: &'static str, key: &'static str) -> Option<&'a str> {
    let value = ini.get_from(Some(section), key).map(str::trim);
    value.filter(|value| !value.is_empty())
}

/// Returns a number in a range, or the default if it is missing or empty.
fn number_or(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    default: f64,
    range: RangeInclusive<f64>,
) -> Result<f64> {
    match ini_text(ini, section, key) {
        None => Ok(default),
        Some(_) => number(ini, section, key, range),
    }
}

fn limit_bounds(ini: &Ini) -> Result<Bounds> {
    let default = Bounds::default();
    let window_s = default.window_ms as f64 / 1_000.0;
    let window_s = number_or(
        ini,
        ORGANISATIONS,
        "limit_window_s",
        window_s,
        1.0..=3_600.0,
    )?;
    Ok(Bounds {
        window_ms: (window_s * 1_000.0) as u64,
        over: number_or(ini, ORGANISATIONS, "limit_over", default.over, 0.0..=10.0)?,
        slack: number_or(ini, ORGANISATIONS, "limit_slack", default.slack, 0.0..=1e12)?,
        ..default
    })
}

/// Returns the fingerprints of exempt requests; empty if the operators list none.
fn fingerprints(ini: &Ini) -> Result<Vec<Fingerprint>> {
    let value = ini.get_from(Some("quarantine"), "exempt").unwrap_or("");
    let items = value.split(',').map(str::trim);
    items
        .filter(|item| !item.is_empty())
        .map(|item| {
            item.parse().map_err(|_| Error::BadSetting {
                section: "quarantine",
                key: "exempt",
                value: item.to_owned(),
                expected: "fingerprints as they are logged, separated by commas",
            })
        })
        .collect()
}

/// Returns a duration that is given in seconds, in milliseconds.
fn seconds_as_ms(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range_s: RangeInclusive<f64>,
) -> Result<u64> {
    Ok((number(ini, section, key, range_s)? * 1_000.0) as u64)
}
