//! Settings of a daemon, in one struct for each section of the file.

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

/// All settings of a daemon, valid by themselves and together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Section `[vm]`: identity of the VM.
    pub vm: VmSettings,
    /// Section `[listen]`: addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Section `[platform]`: services of the platform.
    pub platform: PlatformSettings,
    /// Section `[peers]`: messages between the daemons.
    pub peers: PeerSettings,
    /// Section `[callers]`: limits for callers' connections and requests.
    pub callers: CallerSettings,
    /// Section `[upstreams]`: timeouts and intervals for upstreams.
    pub upstreams: UpstreamSettings,
    /// Section `[drain]`: planned stop.
    pub drain: DrainSettings,
    /// Section `[log]`: the daemon's log lines (the log service is in `platform`).
    pub log: LogSettings,
    /// Section `[policies]`: names of the policies.
    pub policies: PolicySettings,
}

/// Identity of the VM that the daemon runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSettings {
    /// Name of the VM, as on the platform's VM list.
    pub name: VmName,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
}

/// Addresses on which the daemon listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for messages of the other daemons.
    pub peers: SocketAddr,
    /// Address for operators, health checks and metrics.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services, and how the daemon uses them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the append-only log service.
    pub log: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Address of the service that has the VM list.
    pub vm_list: SocketAddr,
    /// Stream of decisions and configuration changes.
    pub control_stream: StreamName,
    /// Streams of claims, named with the prefix and a number from 0, in order of that number.
    pub claim_streams: Vec<StreamName>,
    /// Stream of snapshots.
    pub snapshot_stream: StreamName,
    /// Time for which a read of the log waits for a first record, in milliseconds.
    pub log_wait_ms: u64,
    /// Timeout of an append, and of a read in addition to `log_wait_ms`, in milliseconds.
    pub log_timeout_ms: u64,
    /// Interval between reads of the VM list, in milliseconds.
    pub vm_list_interval_ms: u64,
}

/// Authentication, heartbeats and timeouts between the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Secret key that all daemons of the deployment share.
    pub cluster_key: ClusterKey,
    /// Interval between heartbeats to each peer, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Timeout of a peer's reply, in milliseconds.
    pub timeout_ms: u64,
    /// Number of consecutive missed heartbeats after which a peer is suspected to have failed.
    pub suspect_after_missed: u32,
}

/// Limits and timeouts for connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header lines in a request.
    pub max_headers: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time within which a request body must arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time for which a connection is kept open without a request, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time within which a caller must accept one piece of an answer, in milliseconds.
    pub write_timeout_ms: u64,
    /// Class of a request that names none.
    pub default_class: ClassName,
    /// Longest timeout that a request may ask for, in milliseconds.
    pub max_timeout_ms: u64,
}

/// Timeouts and intervals for upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Timeout of a connection attempt, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest pause between two events of an upstream's stream, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time after which the outcome of an order to load or unload counts as unknown, in
    /// milliseconds.
    pub load_timeout_ms: u64,
    /// Interval between reads of the engines' status and load, and of the weight store's use, in
    /// milliseconds.
    pub report_interval_ms: u64,
}

/// Limits of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time for which a planned stop waits for the requests in progress, in milliseconds.
    pub grace_ms: u64,
}

/// Level and destination of the daemon's log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// File to which lines are appended, or `None` for standard error.
    pub file: Option<PathBuf>,
}

/// Names of the policies that make the daemon's choices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicySettings {
    /// Policy that chooses an upstream for a request.
    pub routing: String,
    /// Policy that decides whether a failed attempt is retried.
    pub retry: String,
    /// Policy that decides which requests start, wait or are refused.
    pub admission: String,
    /// Policy that decides where models are loaded and when they are unloaded.
    pub placement: String,
    /// Seed of the policies' random choices, or `None` to draw one at each start.
    pub seed: Option<u64>,
}

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// All problems of the text, in the order of their lines; those without a line come last.
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

    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Same as [`Settings::from_text`], or a single problem if the file can't be read.
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
        let key = values.cluster_key().expect("a required key is present");
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

// `Settings::from_text` has reported every required value that is missing or invalid, so the
// lookups below succeed.

fn number(values: &Values, section: &'static str, name: &'static str) -> u64 {
    values
        .number(section, name)
        .expect("a number with a default is present")
}

fn number_u32(values: &Values, section: &'static str, name: &'static str) -> u32 {
    u32::try_from(number(values, section, name)).expect("counts fit into 32 bits")
}

fn number_usize(values: &Values, section: &'static str, name: &'static str) -> usize {
    usize::try_from(number(values, section, name)).expect("sizes fit into a usize")
}

fn text<'a>(values: &'a Values, section: &'static str, name: &'static str) -> &'a str {
    values
        .text(section, name)
        .expect("a required or default text is present")
}

fn address(values: &Values, section: &'static str, name: &'static str) -> SocketAddr {
    values
        .address(section, name)
        .expect("a required address is present")
}
