//! Table of all settings keys, with their types, defaults and descriptions.

use apricotdale_admission::ADMISSION_POLICIES;
use apricotdale_placement::PLACEMENT_POLICIES;
use apricotdale_routing::RETRY_POLICIES;
use apricotdale_routing::ROUTING_POLICIES;

use self::DefaultValue::Required;
use self::DefaultValue::Text;
use self::DefaultValue::Unset;
use crate::kind::Kind;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MIB: u64 = 1024 * 1024;

/// Log levels, most severe first.
const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Value that applies if a key is not in the file.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DefaultValue {
    /// None: the file must have the key.
    Required,
    /// None: the key's description says what applies instead.
    Unset,
    /// This text, parsed like a value of the file.
    Text(&'static str),
}

/// One key that a settings file may have.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) default: DefaultValue,
    pub(crate) description: &'static str,
}

impl Key {
    /// Returns the name of the section that the key belongs to.
    pub fn section(&self) -> &'static str {
        self.section
    }

    /// Returns the name of the key within its section.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the key's table row as it stands in `docs/SETTINGS.md`.
    pub fn row(&self) -> String {
        let default = match self.default {
            DefaultValue::Required => "required".to_owned(),
            DefaultValue::Unset => "unset".to_owned(),
            DefaultValue::Text(text) => format!("`{text}`"),
        };
        let Self {
            name, description, ..
        } = self;
        let allowed = self.kind.allowed();
        format!("| `{name}` | {description} | {allowed} | {default} |")
    }
}

const fn key(
    section: &'static str,
    name: &'static str,
    kind: Kind,
    default: DefaultValue,
    description: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        default,
        description,
    }
}

const fn milliseconds(min: u64, max: u64) -> Kind {
    Kind::Milliseconds { min, max }
}

const fn bytes(min: u64, max: u64) -> Kind {
    Kind::Bytes { min, max }
}

const fn count(min: u64, max: u64) -> Kind {
    Kind::Count { min, max }
}

/// All keys, grouped by section.
pub const KEYS: &[Key] = &[
    key(
        "vm",
        "name",
        Kind::Name,
        Required,
        "The VM's name, as on the platform's list",
    ),
    key("vm", "region", Kind::Name, Required, "The VM's region"),
    key(
        "vm",
        "availability_zone",
        Kind::Name,
        Required,
        "The VM's availability zone",
    ),
    key(
        "listen",
        "callers",
        Kind::ListenAddress,
        Required,
        "Where callers are served",
    ),
    key(
        "listen",
        "peers",
        Kind::ListenAddress,
        Required,
        "Where the other daemons are answered",
    ),
    key(
        "listen",
        "admin",
        Kind::ListenAddress,
        Required,
        "Where operators, health checks and metrics are answered",
    ),
    key(
        "platform",
        "log",
        Kind::RemoteAddress,
        Required,
        "The append-only log service",
    ),
    key(
        "platform",
        "weights",
        Kind::RemoteAddress,
        Required,
        "The weight store",
    ),
    key(
        "platform",
        "vm_list",
        Kind::RemoteAddress,
        Required,
        "The list of VMs",
    ),
    key(
        "platform",
        "control_stream",
        Kind::Name,
        Text("control"),
        "The stream of decisions and configuration",
    ),
    key(
        "platform",
        "claim_stream_prefix",
        Kind::Name,
        Text("claims"),
        "The streams of claims are named by this, a `-` and a number from 0",
    ),
    key(
        "platform",
        "claim_streams",
        count(1, 64),
        Text("4"),
        "How many streams of claims there are; the same on every VM",
    ),
    key(
        "platform",
        "snapshot_stream",
        Kind::Name,
        Text("snapshots"),
        "The stream of snapshots",
    ),
    key(
        "platform",
        "log_wait_ms",
        milliseconds(50, 30_000),
        Text("10000"),
        "How long a read of the log waits for a first record",
    ),
    key(
        "platform",
        "log_timeout_ms",
        milliseconds(100, 60_000),
        Text("3000"),
        "How long an append to the log, or a read beyond its wait, may take",
    ),
    key(
        "platform",
        "vm_list_interval_ms",
        milliseconds(100, MINUTE_MS),
        Text("1000"),
        "How often the list of VMs is read",
    ),
    key(
        "peers",
        "cluster_key",
        Kind::ClusterKey,
        Required,
        "The secret that all daemons of the deployment share; the same on every VM",
    ),
    key(
        "peers",
        "heartbeat_interval_ms",
        milliseconds(50, MINUTE_MS),
        Text("500"),
        "How often each peer is asked for a heartbeat",
    ),
    key(
        "peers",
        "timeout_ms",
        milliseconds(20, MINUTE_MS),
        Text("400"),
        "How long a peer's reply may take",
    ),
    key(
        "peers",
        "suspect_after_missed",
        count(2, 100),
        Text("3"),
        "After how many missed heartbeats in a row a peer is suspected",
    ),
    key(
        "callers",
        "max_connections",
        count(1, 100_000),
        Text("2048"),
        "Connections of callers at once",
    ),
    key(
        "callers",
        "max_head_bytes",
        bytes(1024, MIB),
        Text("16384"),
        "The largest request head",
    ),
    key(
        "callers",
        "max_headers",
        count(8, 1024),
        Text("64"),
        "The most header lines of a request",
    ),
    key(
        "callers",
        "max_body_bytes",
        bytes(1024, 1024 * MIB),
        Text("8388608"),
        "The largest request body",
    ),
    key(
        "callers",
        "head_timeout_ms",
        milliseconds(100, HOUR_MS),
        Text("10000"),
        "How long a request head may take to arrive",
    ),
    key(
        "callers",
        "body_timeout_ms",
        milliseconds(100, HOUR_MS),
        Text("30000"),
        "How long a request body may take to arrive",
    ),
    key(
        "callers",
        "idle_timeout_ms",
        milliseconds(100, HOUR_MS),
        Text("60000"),
        "How long a connection may wait for its next request (keep-alive)",
    ),
    key(
        "callers",
        "write_timeout_ms",
        milliseconds(100, HOUR_MS),
        Text("20000"),
        "How long a caller may take to accept one piece of an answer",
    ),
    key(
        "callers",
        "default_class",
        Kind::Name,
        Required,
        "The class of a request that names none",
    ),
    key(
        "callers",
        "max_timeout_ms",
        milliseconds(100, 24 * HOUR_MS),
        Text("600000"),
        "The longest time within which a request may ask to be answered",
    ),
    key(
        "upstreams",
        "connect_timeout_ms",
        milliseconds(10, MINUTE_MS),
        Text("1000"),
        "How long connecting to an upstream may take",
    ),
    key(
        "upstreams",
        "idle_timeout_ms",
        milliseconds(100, HOUR_MS),
        Text("20000"),
        "How long an upstream's stream may pause between two events",
    ),
    key(
        "upstreams",
        "load_timeout_ms",
        milliseconds(1000, 4 * HOUR_MS),
        Text("300000"),
        "How long an order to load or unload may take until its outcome counts as unknown",
    ),
    key(
        "upstreams",
        "report_interval_ms",
        milliseconds(100, MINUTE_MS),
        Text("1000"),
        "How often the engines' status and load, and the weight store's use, are read",
    ),
    key(
        "drain",
        "grace_ms",
        milliseconds(1000, 24 * HOUR_MS),
        Text("660000"),
        "How long a planned stop waits for the requests in progress",
    ),
    key(
        "log",
        "level",
        Kind::Word(LOG_LEVELS),
        Text("info"),
        "The least severe level that is logged",
    ),
    key(
        "log",
        "file",
        Kind::Path,
        Unset,
        "The file to which log lines are appended; standard error if unset",
    ),
    key(
        "policies",
        "routing",
        Kind::Word(ROUTING_POLICIES),
        Text("corrected_load"),
        "How an upstream is chosen for a request",
    ),
    key(
        "policies",
        "retry",
        Kind::Word(RETRY_POLICIES),
        Text("budgeted"),
        "Whether a failed try is repeated",
    ),
    key(
        "policies",
        "admission",
        Kind::Word(ADMISSION_POLICIES),
        Text("earliest_deadline"),
        "Which requests start, wait or are refused",
    ),
    key(
        "policies",
        "placement",
        Kind::Word(PLACEMENT_POLICIES),
        Text("learned"),
        "Where models are loaded and when they are unloaded",
    ),
    key(
        "policies",
        "seed",
        Kind::Seed,
        Unset,
        "The seed of the policies' random choices; chosen at each start if unset",
    ),
];

/// Returns whether a section of this name has any key.
pub(crate) fn is_section(name: &str) -> bool {
    KEYS.iter().any(|key| key.section == name)
}

/// Looks up a key, or returns `None` if it is unknown.
pub(crate) fn find(section: &str, name: &str) -> Option<&'static Key> {
    KEYS.iter()
        .find(|key| key.section == section && key.name == name)
}

/// Returns the names of a section's keys, in the order of [`KEYS`].
pub(crate) fn key_names(section: &str) -> Vec<&'static str> {
    KEYS.iter()
        .filter(|key| key.section == section)
        .map(|key| key.name)
        .collect()
}

/// Returns the names of all sections, in the order of [`KEYS`].
pub(crate) fn sections() -> Vec<&'static str> {
    let mut sections: Vec<&str> = KEYS.iter().map(|key| key.section).collect();
    sections.dedup();
    sections
}
