//! Processes and configuration of a run, derived from a deployment.

use std::collections::BTreeMap;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::engine::CacheTier;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::cluster::options::Flag;
use apricotdale_launcher::cluster::options::Setting;
use apricotdale_launcher::cluster::options::UpstreamGroup;
use apricotdale_launcher::programs::Program;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::Trace;

use crate::load::options::LoadOptions;
use crate::load::scale::Scale;
use crate::load::schedule::TOKEN_GAP_MS;

const MS_PER_S: f64 = 1_000.0;

/// Path below the service whose calls are idempotent.
pub const SHELF: &str = "/shelf";

/// Of so many engines, one accepts stale fencing tokens; the others refuse them.
const ENGINES_PER_UNFENCED: usize = 3;

/// Age of engine reports and of the VM list when they are read, in the deployment's time.
const LAG_MS: u64 = 1_000;

/// Interval of reading the engine reports and the VM list, in the deployment's time.
const READ_INTERVAL_MS: u64 = 1_000;

/// Lower bound of these intervals in the daemon's settings.
const MIN_INTERVAL_MS: u64 = 100;

/// Timeout for connecting to an upstream, as in Scaravilli's settings. It is not divided by the
/// speed, since connecting is no faster in a run than in the deployment.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Number of prompt prefixes cached by one engine, as in the policy replay.
const PREFIXES_PER_ENGINE: usize = 48;

/// Of so many cache events, one is lost.
const CACHE_EVENTS_PER_GAP: u64 = 10;

/// Set of policies used by the daemons of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// Baseline policies, which serve for comparison.
    Baseline,
    /// Default policies of the daemon.
    Chosen,
}

impl PolicyChoice {
    /// Returns the name in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Chosen => "chosen",
        }
    }

    fn settings(self) -> Vec<Setting> {
        match self {
            Self::Baseline => vec![
                Setting::new("policies", "routing", "least_reported"),
                Setting::new("policies", "admission", "first_come"),
                Setting::new("policies", "placement", "fixed_timeout"),
                Setting::new("policies", "retry", "fixed"),
            ],
            Self::Chosen => Vec::new(),
        }
    }
}

/// Returns the processes of a run with their flags and settings.
pub fn cluster_options(
    deployment: &Deployment,
    scale: &Scale,
    options: &LoadOptions,
    policies: PolicyChoice,
) -> ClusterOptions {
    let interval_ms = scale.time_ms(READ_INTERVAL_MS).max(MIN_INTERVAL_MS);
    let mut settings = policies.settings();
    settings.extend([
        Setting::new("policies", "seed", options.seed),
        Setting::new("upstreams", "connect_timeout_ms", CONNECT_TIMEOUT_MS),
        Setting::new("upstreams", "report_interval_ms", interval_ms),
        Setting::new("platform", "vm_list_interval_ms", interval_ms),
    ]);
    ClusterOptions {
        region: deployment.name.clone(),
        zones: deployment.zones.iter().map(ToString::to_string).collect(),
        vms: options.vms,
        engine_groups: engine_groups(deployment, scale),
        services: vec![UpstreamGroup {
            group: deployment.service.group.to_string(),
            count: deployment.service.instances,
            flags: Vec::new(),
        }],
        flags: BTreeMap::from([
            (Program::Weights, weights_flags(deployment, scale)),
            (
                Program::VmList,
                vec![Flag::new("lag-ms", scale.time_ms(LAG_MS))],
            ),
        ]),
        settings,
        default_class: deployment.classes[0].class.to_string(),
        ..ClusterOptions::default()
    }
}

/// Returns the edits that configure the classes, the models of the trace and the service.
pub fn edits(deployment: &Deployment, trace: &Trace, scale: &Scale) -> Vec<ConfigEdit> {
    let classes = deployment.classes.iter().map(|class| {
        ConfigEdit::PutClass(ClassTarget {
            class: class.class.clone(),
            answer_within_ms: scale.time_ms(class.answer_within_ms),
        })
    });
    let models = trace.models.iter().map(|model| {
        ConfigEdit::PutModel(ModelSpec {
            model: model.model.clone(),
            base: model.base.map(|base| trace.models[base].model.clone()),
            group: deployment.engines.group.clone(),
            bytes: model.bytes,
        })
    });
    let service = ConfigEdit::PutService(ServiceSpec {
        service: deployment.service.group.clone(),
        idempotent_paths: vec![SHELF.to_owned()],
    });
    classes.chain(models).chain([service]).collect()
}

fn engine_groups(deployment: &Deployment, scale: &Scale) -> Vec<UpstreamGroup> {
    let unfenced = deployment.engines.count / ENGINES_PER_UNFENCED;
    let counts = [
        (true, deployment.engines.count - unfenced),
        (false, unfenced),
    ];
    counts
        .into_iter()
        .map(|(checks_fence, count)| UpstreamGroup {
            group: deployment.engines.group.to_string(),
            count,
            flags: engine_flags(deployment, scale, checks_fence),
        })
        .collect()
}

fn engine_flags(deployment: &Deployment, scale: &Scale, checks_fence: bool) -> Vec<Flag> {
    let engines = &deployment.engines;
    let first_token_ms = deployment.classes[0].first_token_ms;
    let tokens_per_s = scale.rate(MS_PER_S / TOKEN_GAP_MS as f64);
    vec![
        Flag::new("checks-fence", checks_fence),
        // A refusal of loads that exceed the memory would hide a wrong placement decision.
        Flag::new("overcommit-check", false),
        Flag::new("capacity-bytes", engines.capacity_bytes),
        Flag::new("slots", engines.slots),
        Flag::new("tokens-per-s", tokens_per_s as u32),
        Flag::new("prefill-ms", scale.time_ms(first_token_ms)),
        Flag::new("prefixes", PREFIXES_PER_ENGINE),
        Flag::new("report-lag-ms", scale.time_ms(LAG_MS)),
        Flag::new("cache-lag-ms", scale.time_ms(LAG_MS)),
        Flag::new("cache-gap-every", CACHE_EVENTS_PER_GAP),
        Flag::new("memory-cache-bytes", engines.host_memory_bytes),
        Flag::new("disk-cache-bytes", engines.host_disk_bytes),
        Flag::new(
            "memory-bytes-per-s",
            bytes_per_s(deployment, scale, CacheTier::Memory),
        ),
        Flag::new(
            "disk-bytes-per-s",
            bytes_per_s(deployment, scale, CacheTier::Disk),
        ),
    ]
}

fn weights_flags(deployment: &Deployment, scale: &Scale) -> Vec<Flag> {
    let store = &deployment.store;
    let loads_per_s = scale.rate(f64::from(store.loads_per_s));
    vec![
        Flag::new("loads-per-s", loads_per_s as u32),
        Flag::new("full-speed-loads", store.full_speed_loads),
        Flag::new(
            "bytes-per-s",
            bytes_per_s(deployment, scale, CacheTier::Remote),
        ),
    ]
}

/// Returns the bandwidth at which a model of mean size loads in the same time as in the deployment.
/// It includes the fixed latency of a load, which the stand-ins don't simulate.
fn bytes_per_s(deployment: &Deployment, scale: &Scale, tier: CacheTier) -> u64 {
    let sizes = &deployment.models.sizes_bytes;
    let mean_bytes = sizes.iter().sum::<u64>() / sizes.len() as u64;
    let load_s = deployment.load_times.total_ms(tier, mean_bytes) as f64 / MS_PER_S;
    scale.rate(mean_bytes as f64 / load_s) as u64
}
