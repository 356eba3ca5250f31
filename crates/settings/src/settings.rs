//! The settings of a daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use apricotdale_core::names::ClassName;
use apricotdale_core::names::RegionName;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;

use crate::checks;
use crate::cluster_key::ClusterKey;
use crate::document::Document;
use crate::problem::Problem;
use crate::values::Values;

/// `Settings` are the settings of a daemon, checked as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM itself.
    pub vm: VmSettings,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// Limits towards callers.
    pub callers: CallerSettings,
    /// Limits towards upstreams.
    pub upstreams: UpstreamSettings,
    /// The planned stop.
    pub drain: DrainSettings,
    /// The log of the daemon itself.
    pub log: LogSettings,
    /// The policies.
    pub policies: PolicySettings,
}

/// `VmSettings` say which VM this is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSettings {
    /// The VM's name, as on the platform's list.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// `ListenSettings` say where the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
    /// For operators, health checks and metrics.
    pub admin: SocketAddr,
}

/// `PlatformSettings` say where the platform is and how it is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The append-only log service.
    pub log: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
    /// The stream of decisions and configuration.
    pub control_stream: StreamName,
    /// The streams of claims, in order of their number.
    pub claim_streams: Vec<StreamName>,
    /// The stream of snapshots.
    pub snapshot_stream: StreamName,
    /// How long a read of the log waits for a first record.
    pub log_wait_ms: u64,
    /// How long an append, or a read beyond its wait, may take.
    pub log_timeout_ms: u64,
    /// How often the list of VMs is read.
    pub vm_list_interval_ms: u64,
}

/// `PeerSettings` say how the daemons deal with each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The secret that all daemons of the deployment share.
    pub cluster_key: ClusterKey,
    /// How often each peer is asked for a heartbeat.
    pub heartbeat_interval_ms: u64,
    /// How long a peer's reply may take.
    pub timeout_ms: u64,
    /// After how many missed heartbeats in a row a peer is suspected.
    pub suspect_after_missed: u32,
}

/// `CallerSettings` are the limits towards callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Connections at once.
    pub max_connections: usize,
    /// The largest request head.
    pub max_head_bytes: usize,
    /// The most header lines of a request.
    pub max_headers: usize,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// How long a request head may take to arrive.
    pub head_timeout_ms: u64,
    /// How long a request body may take to arrive.
    pub body_timeout_ms: u64,
    /// How long a connection may wait for its next request.
    pub idle_timeout_ms: u64,
    /// How long a caller may take to accept one piece of an answer.
    pub write_timeout_ms: u64,
    /// The class of a request that names none.
    pub default_class: ClassName,
    /// The longest time within which a request may ask to be answered.
    pub max_timeout_ms: u64,
}

/// `UpstreamSettings` are the limits towards upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// How long connecting may take.
    pub connect_timeout_ms: u64,
    /// How long a stream may pause between two events.
    pub idle_timeout_ms: u64,
    /// How long an order to load or unload may take until its outcome counts as unknown.
    pub load_timeout_ms: u64,
    /// How often the engines' status and load, and the weight store's use, are read.
    pub report_interval_ms: u64,
}

/// `DrainSettings` say how a planned stop goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// How long it waits for the requests in progress.
    pub grace_ms: u64,
}

/// `LogSettings` say what the daemon logs, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The file, or none for standard error.
    pub file: Option<PathBuf>,
}

/// `PolicySettings` name the policies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// How an upstream is chosen for a request.
    pub routing: String,
    /// Whether a failed try is repeated.
    pub retry: String,
    /// Which requests start, wait or are refused.
    pub admission: String,
    /// Where models are loaded and when they are unloaded.
    pub placement: String,
    /// The seed of random choices, or none for one chosen at each start.
    pub seed: Option<u64>,
}

impl Settings {
    /// Returns the settings that a text stands for.
    ///
    /// # Errors
    ///
    /// Every problem of the text, in order of line, those without a line last.
    pub fn from_text(text: &str) -> Result<Self, Vec<Problem>> {
        let (document, mut problems) = Document::read(text);
        let (values, more) = Values::of(&document);
        problems.extend(more);
        problems.extend(checks::check(&values));
        if problems.is_empty() {
            return Ok(Self::of(&values));
        }
        problems.sort_by_key(|problem| problem.line.unwrap_or(usize::MAX));
        Err(problems)
    }

    /// Returns the settings that a file holds.
    ///
    /// # Errors
    ///
    /// As for `from_text`; one problem if the file can't be read.
    pub fn from_file(path: &Path) -> Result<Self, Vec<Problem>> {
        let text = fs::read_to_string(path).map_err(|error| {
            let detail = format!("the file can't be read: {error}");
            vec![Problem::of_section("", None, detail)]
        })?;
        Self::from_text(&text)
    }

    fn of(values: &Values) -> Self {
        Self {
            vm: VmSettings {
                name: VmName::new(text(values, "vm", "name")),
                region: RegionName::new(text(values, "vm", "region")),
                zone: ZoneName::new(text(values, "vm", "availability_zone")),
            },
            listen: ListenSettings {
                callers: address(values, "listen", "callers"),
                peers: address(values, "listen", "peers"),
                admin: address(values, "listen", "admin"),
            },
            platform: PlatformSettings::of(values),
            peers: PeerSettings::of(values),
            callers: CallerSettings::of(values),
            upstreams: UpstreamSettings::of(values),
            drain: DrainSettings {
                grace_ms: number(values, "drain", "grace_ms"),
            },
            log: LogSettings {
                level: text(values, "log", "level").to_owned(),
                file: values.text("log", "file").map(PathBuf::from),
            },
            policies: PolicySettings::of(values),
        }
    }
}

impl PlatformSettings {
    fn of(values: &Values) -> Self {
        let prefix = text(values, "platform", "claim_stream_prefix");
        let streams = number(values, "platform", "claim_streams");
        Self {
            log: address(values, "platform", "log"),
            weights: address(values, "platform", "weights"),
            vm_list: address(values, "platform", "vm_list"),
            control_stream: StreamName::new(text(values, "platform", "control_stream")),
            claim_streams: (0..streams)
                .map(|index| StreamName::from(format!("{prefix}-{index}")))
                .collect(),
            snapshot_stream: StreamName::new(text(values, "platform", "snapshot_stream")),
            log_wait_ms: number(values, "platform", "log_wait_ms"),
            log_timeout_ms: number(values, "platform", "log_timeout_ms"),
            vm_list_interval_ms: number(values, "platform", "vm_list_interval_ms"),
        }
    }
}

impl PeerSettings {
    fn of(values: &Values) -> Self {
        let key = values.cluster_key().expect("a required key was read");
        Self {
            cluster_key: key.clone(),
            heartbeat_interval_ms: number(values, "peers", "heartbeat_interval_ms"),
            timeout_ms: number(values, "peers", "timeout_ms"),
            suspect_after_missed: number_u32(values, "peers", "suspect_after_missed"),
        }
    }
}

impl CallerSettings {
    fn of(values: &Values) -> Self {
        Self {
            max_connections: number_usize(values, "callers", "max_connections"),
            max_head_bytes: number_usize(values, "callers", "max_head_bytes"),
            max_headers: number_usize(values, "callers", "max_headers"),
            max_body_bytes: number_usize(values, "callers", "max_body_bytes"),
            head_timeout_ms: number(values, "callers", "head_timeout_ms"),
            body_timeout_ms: number(values, "callers", "body_timeout_ms"),
            idle_timeout_ms: number(values, "callers", "idle_timeout_ms"),
            write_timeout_ms: number(values, "callers", "write_timeout_ms"),
            default_class: ClassName::new(text(values, "callers", "default_class")),
            max_timeout_ms: number(values, "callers", "max_timeout_ms"),
        }
    }
}

impl UpstreamSettings {
    fn of(values: &Values) -> Self {
        Self {
            connect_timeout_ms: number(values, "upstreams", "connect_timeout_ms"),
            idle_timeout_ms: number(values, "upstreams", "idle_timeout_ms"),
            load_timeout_ms: number(values, "upstreams", "load_timeout_ms"),
            report_interval_ms: number(values, "upstreams", "report_interval_ms"),
        }
    }
}

impl PolicySettings {
    fn of(values: &Values) -> Self {
        Self {
            routing: text(values, "policies", "routing").to_owned(),
            retry: text(values, "policies", "retry").to_owned(),
            admission: text(values, "policies", "admission").to_owned(),
            placement: text(values, "policies", "placement").to_owned(),
            seed: values.number("policies", "seed"),
        }
    }
}

// A value that is required or has a default is there once no problem was found.

fn number(values: &Values, section: &'static str, name: &'static str) -> u64 {
    values
        .number(section, name)
        .expect("a number with a default was read")
}

fn number_u32(values: &Values, section: &'static str, name: &'static str) -> u32 {
    u32::try_from(number(values, section, name)).expect("small counts are below 32 bits")
}

fn number_usize(values: &Values, section: &'static str, name: &'static str) -> usize {
    usize::try_from(number(values, section, name)).expect("sizes are below 32 bits")
}

fn text<'a>(values: &'a Values, section: &'static str, name: &'static str) -> &'a str {
    values
        .text(section, name)
        .expect("a text that is required or has a default was read")
}

fn address(values: &Values, section: &'static str, name: &'static str) -> SocketAddr {
    values
        .address(section, name)
        .expect("a required address was read")
}
