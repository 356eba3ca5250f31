//! Cluster and configuration of the demonstration.

use std::collections::BTreeMap;

use crate::cluster::options::ClusterOptions;
use crate::cluster::options::Flag;
use crate::cluster::options::UpstreamGroup;
use crate::programs::Program;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;

/// Class for quick answers, and default class of requests that name none.
pub const QUICK: &str = "quick";
/// Class for planning, which may wait longer.
pub const REPLAN: &str = "replan";
/// Class for long reviews.
pub const REVIEW: &str = "review";
/// Model of the group whose engines check fencing tokens.
pub const SLOT_PLANNER: &str = "slot-planner";
/// Model of the group whose engines do not check fencing tokens.
pub const WEAR_REVIEW: &str = "wear-review";
/// Group whose engines refuse orders with an outdated fencing token.
pub const CHECKING_GROUP: &str = "planner-lm";
/// Group whose engines execute orders whatever their fencing token.
pub const OBEYING_GROUP: &str = "review-lm";
/// Name of the plain service.
pub const BOOKING: &str = "booking-app";

const ENGINES_PER_GROUP: usize = 2;
const BOOKING_INSTANCES: usize = 2;
const ENGINE_MEMORY_BYTES: u64 = 80_000_000_000;
const MODEL_BYTES: u64 = 16_000_000_000;
/// Maximum speed of one load, at which the load of a model takes about a second.
const WEIGHTS_BYTES_PER_S: u64 = 16_000_000_000;
const QUICK_MS: u64 = 5_000;
const REPLAN_MS: u64 = 30_000;
const REVIEW_MS: u64 = 60_000;

/// Returns the options of a cluster with `vms` VMs, four engines in two groups, one of which checks
/// fencing tokens, and two instances of a plain service.
pub fn options(vms: usize) -> ClusterOptions {
    let weights = vec![Flag::new("bytes-per-s", WEIGHTS_BYTES_PER_S)];
    ClusterOptions {
        vms,
        engine_groups: vec![
            engine_group(CHECKING_GROUP, true),
            engine_group(OBEYING_GROUP, false),
        ],
        services: vec![UpstreamGroup {
            group: BOOKING.to_owned(),
            count: BOOKING_INSTANCES,
            flags: Vec::new(),
        }],
        flags: BTreeMap::from([(Program::Weights, weights)]),
        default_class: QUICK.to_owned(),
        ..ClusterOptions::default()
    }
}

/// Returns the edits that configure classes, models and the service.
pub fn edits() -> Vec<ConfigEdit> {
    vec![
        class(QUICK, QUICK_MS),
        class(REPLAN, REPLAN_MS),
        class(REVIEW, REVIEW_MS),
        model(SLOT_PLANNER, CHECKING_GROUP),
        model(WEAR_REVIEW, OBEYING_GROUP),
        ConfigEdit::PutService(ServiceSpec {
            service: GroupName::new(BOOKING),
            idempotent_paths: Vec::new(),
        }),
    ]
}

fn engine_group(group: &str, checks_fence: bool) -> UpstreamGroup {
    UpstreamGroup {
        group: group.to_owned(),
        count: ENGINES_PER_GROUP,
        flags: vec![
            Flag::new("checks-fence", checks_fence),
            Flag::new("capacity-bytes", ENGINE_MEMORY_BYTES),
        ],
    }
}

fn class(class: &str, answer_within_ms: u64) -> ConfigEdit {
    ConfigEdit::PutClass(ClassTarget {
        class: ClassName::new(class),
        answer_within_ms,
    })
}

fn model(model: &str, group: &str) -> ConfigEdit {
    ConfigEdit::PutModel(ModelSpec {
        model: ModelName::new(model),
        base: None,
        group: GroupName::new(group),
        bytes: MODEL_BYTES,
    })
}
