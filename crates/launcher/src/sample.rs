//! The cluster and the configuration of the demonstration.

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

/// The class of quick answers, which is also that of requests that name none.
pub const QUICK: &str = "quick";
/// The class of careful work that may wait.
pub const REPLAN: &str = "replan";
/// The class of long reviews.
pub const REVIEW: &str = "review";
/// A model of the first group.
pub const SLOT_PLANNER: &str = "slot-planner";
/// A model of the second group.
pub const WEAR_REVIEW: &str = "wear-review";
/// The group whose engines refuse old fencing numbers.
pub const CHECKING_GROUP: &str = "planner-lm";
/// The group whose engines obey every order.
pub const OBEYING_GROUP: &str = "review-lm";
/// The plain service.
pub const BOOKING: &str = "booking-app";

const ENGINES_PER_GROUP: usize = 2;
const BOOKING_INSTANCES: usize = 2;
const ENGINE_MEMORY_BYTES: u64 = 80_000_000_000;
const MODEL_BYTES: u64 = 16_000_000_000;
/// The full speed of one load, which makes a model's load take about a second.
const WEIGHTS_BYTES_PER_S: u64 = 16_000_000_000;
const QUICK_MS: u64 = 5_000;
const REPLAN_MS: u64 = 30_000;
const REVIEW_MS: u64 = 60_000;

/// Returns a cluster of the given number of VMs: four engines in two groups, of which one checks
/// fencing numbers, and two instances of a plain service.
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
